#ifndef BRONZESTAND_NODE_CALL_ATTEMPTS_H
#define BRONZESTAND_NODE_CALL_ATTEMPTS_H

#include <memory>
#include <string>
#include <unordered_map>

#include "bronzestand/attempts.h"
#include "node/settings.h"

namespace bronzestand::node {

using AttemptAccountPtr = std::shared_ptr<AttemptAccount>;

/// Attempt accounts and retry decisions of one node (design section 7).
class CallAttempts {
public:
  explicit CallAttempts(const Settings &Config) : Enabled_(Config.isEnabled(Mechanism::Attempts)) {}

  /// Opens an account; null if the mechanism is off.
  AttemptAccountPtr account(const std::string &Parent, std::uint32_t Allowance);
  /// Notes the first attempt of a call.
  void noteCall(const ServiceId &Service);
  /// Notes a served call.
  void noteLatency(const ServiceId &Service, Duration Latency);
  bool mayRetry(FailedCall Failed);

private:
  bool Enabled_;
  SubtreeNeeds Needs_;
  RetryPolicy Retries_;
  std::unordered_map<ServiceId, Duration> Typical_; ///< mean latency
};

} // namespace bronzestand::node

#endif
