#include "bronzestand/server_scope.h"

#include <catch2/catch.hpp>

#include "bronzestand/region_table.h"

using namespace bronzestand;

namespace {

const RegionId West("western");
const RegionId South("southern");

} // namespace

// Guards against a team's or a route's regions that are ignored because the other has none or more.
TEST_CASE("server_scope_intersection_keeps_regions_of_both") {
  CHECK_FALSE(intersectRegions(std::nullopt, std::nullopt));
  CHECK(intersectRegions(AllowedRegions({West}), std::nullopt) == AllowedRegions({West}));
  CHECK(intersectRegions(std::nullopt, AllowedRegions({West})) == AllowedRegions({West}));
  CHECK(intersectRegions(AllowedRegions({West, South}), AllowedRegions({South})) ==
        AllowedRegions({South}));
}

// Guards against regions without a common one that are taken for no restriction.
TEST_CASE("server_scope_disjoint_regions_allow_no_server") {
  const AllowedRegions None = intersectRegions(AllowedRegions({West}), AllowedRegions({South}));
  REQUIRE(None);
  CHECK(None->empty());
  const ServerScope Scope{{}, None, {}};
  CHECK_FALSE(Scope.allows("i-1", DataCentreId("colombo"), West));
}

// Guards against a server that is used although one of the three conditions excludes it.
TEST_CASE("server_scope_each_condition_excludes_a_server") {
  const DataCentreId Colombo("colombo");
  CHECK(ServerScope().allows("i-1", Colombo, West));
  CHECK_FALSE(ServerScope{{"i-1"}, {}, {}}.allows("i-1", Colombo, West));
  CHECK_FALSE(ServerScope{{}, AllowedRegions({South}), {}}.allows("i-1", Colombo, West));
  CHECK(ServerScope{{}, AllowedRegions({South, West}), {}}.allows("i-1", Colombo, West));
  CHECK_FALSE(ServerScope{{}, {}, {Colombo}}.allows("i-1", Colombo, West));
}

// Guards against a route or a team whose regions are lost with the configuration, or that keeps
// regions which the configuration has lifted.
TEST_CASE("region_table_uses_start_regions_only_for_what_the_configuration_lacks") {
  FleetConfig Config;
  Config.Routes_.emplace_back();
  Config.Routes_.back().Name_ = "a";
  Config.Routes_.back().AllowedRegions_ = {West, South};
  Config.Teams_.emplace_back();
  Config.Teams_.back().Spec_.Name_ = TeamId("t");
  const RegionTable Table(Config);
  const RequestRegions Start{AllowedRegions({South}), AllowedRegions({South})};
  const AllowedRegions Both({West, South});
  CHECK(Table.regionsOf(ClassId("a"), TeamId("t"), Start) == Both);
  CHECK(Table.regionsOf(ClassId("a"), TeamId(), {}) == Both);
  CHECK(Table.regionsOf(ClassId("gone"), TeamId("t"), Start) == AllowedRegions({South}));
  CHECK(Table.regionsOf(ClassId("a"), TeamId("gone"), Start) == AllowedRegions({South}));
  CHECK_FALSE(Table.regionsOf(ClassId("gone"), TeamId("gone"), {}));
  CHECK(RegionTable().regionsOf(ClassId("a"), TeamId(), Start) == AllowedRegions({South}));
  CHECK(Table.allows(ClassId("a"), TeamId("t"), West));
  CHECK_FALSE(Table.allows(ClassId("a"), TeamId("t"), RegionId("other")));
  CHECK(Table.allows(ClassId("b"), TeamId("t"), RegionId("other")));
}
