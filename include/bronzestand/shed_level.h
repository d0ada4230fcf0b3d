#ifndef BRONZESTAND_SHED_LEVEL_H
#define BRONZESTAND_SHED_LEVEL_H

#include <cstdint>
#include <unordered_map>

#include "bronzestand/types.h"

namespace bronzestand {

/// How much work should be refused where it enters the fleet, so that a service deeper in its chain
/// is not overloaded. 0: nothing; up to 1: a growing part of the least urgent work; up to 2: all of
/// it and a growing part of the work above; and so on. Design section 9.
using ShedLevel = double;

/// Part of the work of an urgency that a level refuses, 0 to 1.
/// \param Urgency 0 for the most urgent work.
double shedShare(ShedLevel Level, std::uint32_t Urgency);

/// Learns the level of one backend server from the calls that its node had to refuse for lack of
/// room. Rises with the part that was refused and falls slowly, so that it settles where the server
/// is just full.
class ShedController {
public:
  void offered() { ++Offered_; }
  void refused() { ++Refused_; }
  /// Call every 100 ms.
  void tick();
  ShedLevel level() const { return Level_; }

private:
  std::uint32_t Offered_ = 0;
  std::uint32_t Refused_ = 0;
  ShedLevel Level_ = 0.0;
};

/// Levels of services as their answers report them; they fade without answers.
class ShedTable {
public:
  void report(TimePoint Now, const ServiceId &Service, ShedLevel Level);
  ShedLevel of(TimePoint Now, const ServiceId &Service) const;
  /// Highest level of all services in the table.
  ShedLevel highest(TimePoint Now) const;

private:
  struct Entry {
    ShedLevel Level_ = 0.0;
    TimePoint At_{};
  };

  static ShedLevel faded(TimePoint Now, const Entry &Item);

  std::unordered_map<ServiceId, Entry> Entries_;
};

} // namespace bronzestand

#endif
