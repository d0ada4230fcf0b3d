#include "node/clock.h"

#include <ctime>

namespace bronzestand::node {
namespace {

std::int64_t readMicroseconds(clockid_t Clock) {
  timespec Time{};
  clock_gettime(Clock, &Time);
  return static_cast<std::int64_t>(Time.tv_sec) * 1'000'000 + Time.tv_nsec / 1'000;
}

} // namespace

TimePoint now() { return TimePoint(Duration(readMicroseconds(CLOCK_BOOTTIME))); }

std::uint64_t wallMicroseconds() {
  return static_cast<std::uint64_t>(readMicroseconds(CLOCK_REALTIME));
}

} // namespace bronzestand::node
