#include "bronzestand/region_table.h"

namespace bronzestand {
namespace {

const AllowedRegions AllRegions;

template <typename Key>
const AllowedRegions &find(const std::unordered_map<Key, AllowedRegions> &Table, const Key &Name,
                           const AllowedRegions &Default) {
  const auto Found = Table.find(Name);
  return Found == Table.end() ? Default : Found->second;
}

bool contains(const AllowedRegions &Allowed, const RegionId &Region) {
  return !Allowed || Allowed->count(Region) != 0;
}

} // namespace

RegionTable::RegionTable(const FleetConfig &Config) {
  for (const FleetRoute &Route : Config.Routes_) {
    AllowedRegions &Regions = Routes_[ClassId(Route.Name_)];
    Regions = intersectRegions(Regions, Route.AllowedRegions_);
    Restricting_ = Restricting_ || Route.AllowedRegions_;
  }
  for (const FleetTeam &Team : Config.Teams_) {
    AllowedRegions &Regions = Teams_[Team.Spec_.Name_];
    Regions = intersectRegions(Regions, Team.AllowedRegions_);
    Restricting_ = Restricting_ || Team.AllowedRegions_;
  }
}

AllowedRegions RegionTable::regionsOf(const ClassId &Route, const TeamId &Team,
                                      const RequestRegions &Start) const {
  if (!Restricting_ && !Start.Route_ && !Start.Team_)
    return std::nullopt;
  return intersectRegions(find(Routes_, Route, Start.Route_), find(Teams_, Team, Start.Team_));
}

bool RegionTable::allows(const ClassId &Route, const TeamId &Team, const RegionId &Region) const {
  return !Restricting_ || (contains(find(Routes_, Route, AllRegions), Region) &&
                           contains(find(Teams_, Team, AllRegions), Region));
}

} // namespace bronzestand
