#ifndef BRONZESTAND_TESTS_STOPPED_CLOCK_H
#define BRONZESTAND_TESTS_STOPPED_CLOCK_H

#include "bronzestand/types.h"

namespace bronzestand {

/// Stops the clock of all nodes of this process while it exists, so that the time that a message
/// takes between a node and its backend server does not depend on the speed of the machine. Timers
/// still run in real time. For programs with stopped_clock.cpp, which replaces node/clock.cpp of
/// the library.
class StoppedClock {
public:
  /// \param PerReading time by which each reading of the clock moves it on.
  explicit StoppedClock(Duration PerReading = Duration::zero());
  StoppedClock(const StoppedClock &) = delete;
  StoppedClock &operator=(const StoppedClock &) = delete;
  ~StoppedClock();

  static void advance(Duration Time);
};

} // namespace bronzestand

#endif
