#ifndef BRONZESTAND_SHED_LEVEL_H
#define BRONZESTAND_SHED_LEVEL_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "bronzestand/server_scope.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// How many requests the entry nodes should refuse so that a service further down the call chain is
/// not overloaded (design section 9). 0: none; between 0 and 1: this fraction of the least urgent
/// requests; between 1 and 2: all of those and a fraction of the next more urgent ones; and so on.
using ShedLevel = double;

/// Returns the fraction of the requests of an urgency that a level refuses, 0 to 1.
/// \param Urgency rank of the requests; 0 is the most urgent.
double shedShare(ShedLevel Level, std::uint32_t Urgency);

/// Controls the level of one backend server by the calls that its node refused for lack of
/// capacity, and by the time that calls of other backend servers wait here. The level rises with
/// the fraction of refused calls and falls slowly at first, so that it settles where the server is
/// just fully used, and faster after a second without refusals. Load pattern: demand above the
/// capacity for seconds that ends at once; with call chains, a queue that stays short enough to
/// refuse hardly any call, while the runs above, each of which waits in it several times, fill
/// their servers.
class ShedController {
public:
  ShedController();

  void offered() { ++Offered_; }
  void refused() { ++Refused_; }
  /// Records that a call of another backend server has left the queue for the server.
  void waited(Duration Time);
  /// Call every 100 ms. \param ServiceTime mean time of a call at the server.
  void tick(Duration ServiceTime = Duration::zero());
  ShedLevel level() const { return Level_; }

private:
  /// Returns the share of refusals to which the shortest wait since the last tick corresponds.
  double standingShare(Duration ServiceTime) const;

  std::uint32_t Offered_ = 0;
  std::uint32_t Refused_ = 0;
  std::optional<Duration> ShortestWait_; ///< since the last tick
  ShedLevel Level_ = 0.0;
  ShedLevel Fall_; ///< by which the level falls at the next tick without refusals
};

/// Stores the levels of services that their answers report. Levels decay without answers. Requests
/// with allowed regions have a level for each set of regions, so that a full region refuses none
/// that may run elsewhere.
class ShedTable {
public:
  /// Records the level of an answer, smoothed with the earlier ones.
  /// \param Regions that the request allows; no value: all.
  /// Cost: one lookup; linear in the sets of regions in use when a new one is added.
  void report(TimePoint Now, const ServiceId &Service, ShedLevel Level,
              const AllowedRegions &Regions = std::nullopt);
  /// Records the level of an answer where the configuration has allowed regions: for the region of
  /// the server that answered, and the least level of Choices for the regions of the request. A
  /// region without recent answers counts as not overloaded.
  /// \param Answering region of the server that answered.
  /// \param Choices regions with servers that the request may use.
  /// \param CalleeLevel part of Level that is of the services that the server calls. It applies in
  /// all regions, because those services are not in the region of the server that answered.
  /// \return the level that applies to the request.
  ShedLevel reportOf(TimePoint Now, const ServiceId &Service, ShedLevel Level,
                     const AllowedRegions &Regions, const RegionId &Answering,
                     const std::set<RegionId> &Choices, ShedLevel CalleeLevel = 0.0);
  /// Returns the level of a service; 0 if there is no report.
  ShedLevel of(TimePoint Now, const ServiceId &Service,
               const AllowedRegions &Regions = std::nullopt) const;
  /// Returns the highest level of all requests without allowed regions.
  ShedLevel highest(TimePoint Now) const;

private:
  struct Entry {
    ShedLevel Level_ = 0.0;
    TimePoint Updated_{};
  };

  using RegionKey = std::pair<ServiceId, std::set<RegionId>>;

  using Entries = std::unordered_map<ServiceId, Entry>;

  static ShedLevel decayed(TimePoint Now, const Entry &Item);
  static ShedLevel find(TimePoint Now, const Entries &Items, const ServiceId &Service);
  static void update(TimePoint Now, Entry &Item, ShedLevel Level);
  /// Returns the entry of a key; a new one replaces those that have decayed.
  Entry &entryOf(TimePoint Now, const ServiceId &Service, const AllowedRegions &Regions);

  Entries Entries_;
  Entries CalleeEntries_; ///< of the services that a service calls, by the calling service
  std::map<RegionKey, Entry> RegionEntries_;
};

} // namespace bronzestand

#endif
