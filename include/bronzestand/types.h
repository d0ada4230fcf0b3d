#ifndef BRONZESTAND_TYPES_H
#define BRONZESTAND_TYPES_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
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

} // namespace bronzestand

template <typename Tag> struct std::hash<bronzestand::StrongString<Tag>> {
  std::size_t operator()(const bronzestand::StrongString<Tag> &Value) const noexcept {
    return std::hash<std::string>()(Value.str());
  }
};

#endif
