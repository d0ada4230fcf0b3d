#ifndef BRONZESTAND_REGION_TABLE_H
#define BRONZESTAND_REGION_TABLE_H

#include <unordered_map>

#include "bronzestand/fleet_config.h"
#include "bronzestand/server_scope.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// Answers in which regions the requests of a route and a team may be served, by one configuration.
/// Load pattern: asked for each attempt of a call and twice at the server's node, with thousands of
/// routes and teams of which few or none are restricted. docs/design/allowed-regions.md.
class RegionTable {
public:
  RegionTable() = default;
  /// Routes with the same name share one restriction, because calls carry only the name.
  explicit RegionTable(const FleetConfig &Config);

  /// Returns whether any route or team has allowed regions.
  bool isRestricting() const { return Restricting_; }
  /// Returns the regions in which a request may be served.
  /// \param Team empty if the request has none.
  /// \param Start applies to a route or a team that is not in the configuration.
  /// Cost: two hash lookups, none without restrictions.
  AllowedRegions regionsOf(const ClassId &Route, const TeamId &Team,
                           const RequestRegions &Start) const;
  /// Returns whether a request may be served in a region. A route or a team that is not in the
  /// configuration does not restrict it. Cost: as above.
  bool allows(const ClassId &Route, const TeamId &Team, const RegionId &Region) const;

private:
  std::unordered_map<ClassId, AllowedRegions> Routes_;
  std::unordered_map<TeamId, AllowedRegions> Teams_;
  bool Restricting_ = false;
};

} // namespace bronzestand

#endif
