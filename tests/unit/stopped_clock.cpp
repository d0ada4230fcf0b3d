#include "stopped_clock.h"

#include <chrono>
#include <optional>

#include "node/clock.h"

namespace bronzestand {
namespace {

struct StoppedTime {
  TimePoint Now_;
  Duration PerReading_{};
};

/// Empty while the clock runs. Each test program runs its nodes in one thread.
std::optional<StoppedTime> Stopped;

template <typename Clock> Duration timeOf() {
  return std::chrono::duration_cast<Duration>(Clock::now().time_since_epoch());
}

} // namespace

StoppedClock::StoppedClock(Duration PerReading) { Stopped = {node::now(), PerReading}; }
StoppedClock::~StoppedClock() { Stopped.reset(); }
void StoppedClock::advance(Duration Time) { Stopped->Now_ += Time; }

} // namespace bronzestand

namespace bronzestand::node {

TimePoint now() {
  if (!Stopped)
    return TimePoint(timeOf<std::chrono::steady_clock>());
  Stopped->Now_ += Stopped->PerReading_;
  return Stopped->Now_;
}

std::uint64_t wallMicroseconds() {
  return static_cast<std::uint64_t>(timeOf<std::chrono::system_clock>().count());
}

} // namespace bronzestand::node
