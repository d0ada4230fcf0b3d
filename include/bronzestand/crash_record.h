#ifndef BRONZESTAND_CRASH_RECORD_H
#define BRONZESTAND_CRASH_RECORD_H

#include <cstdint>
#include <tuple>

#include "bronzestand/types.h"

namespace bronzestand {

/// A crash of a backend server, stored with each fingerprint that ran at the time.
struct CrashRecord {
  HostId Host_;
  std::uint64_t Number_ = 0; ///< distinguishes the crashes of one host
  bool OnlySuspect_ = false; ///< this fingerprint was the only suspect that ran

  friend bool operator<(const CrashRecord &A, const CrashRecord &B) {
    return std::tie(A.Host_, A.Number_) < std::tie(B.Host_, B.Number_);
  }
};

} // namespace bronzestand

#endif
