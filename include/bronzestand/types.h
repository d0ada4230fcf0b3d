#ifndef BRONZESTAND_TYPES_H
#define BRONZESTAND_TYPES_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <utility>

namespace bronzestand {

/// The engine's clock. It has no now(); the time is passed as a parameter.
/// The daemon uses CLOCK_BOOTTIME, which also counts the time while the host is suspended.
struct EngineClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<EngineClock>;
  static constexpr bool is_steady = true;
};

using Duration = EngineClock::duration;
using TimePoint = EngineClock::time_point;

/// A string type for each kind of id, so that ids of different kinds can't be mixed up.
template <typename Tag> class StrongString {
public:
  StrongString() = default;
  explicit StrongString(std::string Value) : Value_(std::move(Value)) {}

  const std::string &str() const { return Value_; }
  bool empty() const { return Value_.empty(); }

  friend bool operator==(const StrongString &A, const StrongString &B) {
    return A.Value_ == B.Value_;
  }
  friend bool operator!=(const StrongString &A, const StrongString &B) { return !(A == B); }
  friend bool operator<(const StrongString &A, const StrongString &B) {
    return A.Value_ < B.Value_;
  }

private:
  std::string Value_;
};

using HostId = StrongString<struct HostIdTag>;
using TeamId = StrongString<struct TeamIdTag>;
using ServiceId = StrongString<struct ServiceIdTag>;
using ClassId = StrongString<struct ClassIdTag>;
using DataCentreId = StrongString<struct DataCentreIdTag>;
using RegionId = StrongString<struct RegionIdTag>;
using RequestId = StrongString<struct RequestIdTag>;

/// Number of a run of the process on a host; later runs have greater numbers.
using Incarnation = std::uint64_t;

/// Revision of a value on the platform; 0 if it was never read.
using Revision = std::uint64_t;

/// A position in the history of the platform's store. A store that is restored from a copy starts a
/// new era, in which it gives out the revisions of the lost part again; so a revision is only
/// comparable with another one of its era.
struct StorePosition {
  std::uint64_t Era_ = 0;
  Revision Revision_ = 0;

  friend bool operator==(const StorePosition &A, const StorePosition &B) {
    return A.Era_ == B.Era_ && A.Revision_ == B.Revision_;
  }
  friend bool operator<(const StorePosition &A, const StorePosition &B) {
    return std::tie(A.Era_, A.Revision_) < std::tie(B.Era_, B.Revision_);
  }
  friend bool operator>(const StorePosition &A, const StorePosition &B) { return B < A; }
  friend bool operator<=(const StorePosition &A, const StorePosition &B) { return !(B < A); }
  friend bool operator>=(const StorePosition &A, const StorePosition &B) { return !(A < B); }
};

/// What a node knows from the platform, as it tells other nodes.
struct Knowledge {
  StorePosition Position_;    ///< the node has applied all changes up to it
  std::uint64_t Version_ = 0; ///< of the configuration in force
};

} // namespace bronzestand

template <typename Tag> struct std::hash<bronzestand::StrongString<Tag>> {
  std::size_t operator()(const bronzestand::StrongString<Tag> &Value) const noexcept {
    return std::hash<std::string>()(Value.str());
  }
};

#endif
