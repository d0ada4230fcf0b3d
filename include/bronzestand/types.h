#ifndef BRONZESTAND_TYPES_H
#define BRONZESTAND_TYPES_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace bronzestand {

/// The engine's clock. It has no now(): callers pass the time in.
/// In the daemon it is CLOCK_BOOTTIME, which also counts the time a host is suspended.
struct EngineClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<EngineClock>;
  static constexpr bool is_steady = true;
};

using Duration = EngineClock::duration;
using TimePoint = EngineClock::time_point;

/// A string that can't be confused with a string of another meaning.
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

/// Tells two runs of the process on one host apart; a later run has a greater number.
using Incarnation = std::uint64_t;

/// The revision of a value on the platform; 0 means never read.
using Revision = std::uint64_t;

} // namespace bronzestand

template <typename Tag> struct std::hash<bronzestand::StrongString<Tag>> {
  std::size_t operator()(const bronzestand::StrongString<Tag> &Value) const noexcept {
    return std::hash<std::string>()(Value.str());
  }
};

#endif
