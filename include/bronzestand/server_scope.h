#ifndef BRONZESTAND_SERVER_SCOPE_H
#define BRONZESTAND_SERVER_SCOPE_H

#include <optional>
#include <set>
#include <string>

#include "bronzestand/types.h"

namespace bronzestand {

/// The regions in which a request may be served; no value allows all of them, an empty set none.
using AllowedRegions = std::optional<std::set<RegionId>>;

/// Returns the regions that both allow.
AllowedRegions intersectRegions(const AllowedRegions &A, const AllowedRegions &B);

/// The regions that a route and a team allowed when a request of theirs arrived.
struct RequestRegions {
  AllowedRegions Route_;
  AllowedRegions Team_;
};

/// The backend servers that one attempt of a call may use. docs/design/placement-terms.md.
struct ServerScope {
  std::set<std::string> Excluded_; ///< ids that must not be chosen, such as those already tried
  AllowedRegions Regions_;
  std::set<DataCentreId> Evacuated_; ///< data centres whose servers must not be used

  /// Returns whether a server may be used. \param Region region of its data centre.
  bool allows(const std::string &Id, const DataCentreId &DataCentre, const RegionId &Region) const {
    return Excluded_.count(Id) == 0 && Evacuated_.count(DataCentre) == 0 &&
           (!Regions_ || Regions_->count(Region) != 0);
  }
};

} // namespace bronzestand

#endif
