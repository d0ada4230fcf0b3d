#include "bronzestand/fleet_config.h"

#include <map>

#include <catch2/catch.hpp>

using namespace bronzestand;

namespace {

FleetRoute makeRoute(const std::string &Name, const std::string &HostName,
                     const std::string &Prefix) {
  FleetRoute Route;
  Route.Name_ = Name;
  Route.HostName_ = HostName;
  Route.Prefix_ = Prefix;
  Route.Parts_ = {{ServiceId("orders"), 1.0}};
  return Route;
}

struct RouteTableFixture {
  RouteTable Table_{
      {makeRoute("all", "a.example", "/"), makeRoute("orders", "a.example", "/orders/"),
       makeRoute("old", "a.example", "/orders/old/"), makeRoute("other", "b.example", "/orders/")}};

  std::string nameOf(std::string_view HostName, std::string_view Path) const {
    const FleetRoute *Route = Table_.find(HostName, Path);
    return Route == nullptr ? "" : Route->Name_;
  }
};

} // namespace

// Guards against a request that is matched to the route of a shorter prefix or of another host
// name.
TEST_CASE_METHOD(RouteTableFixture, "route_table_several_prefixes_longest_wins") {
  CHECK(nameOf("a.example", "/orders/old/7") == "old");
  CHECK(nameOf("a.example", "/orders/7") == "orders");
  CHECK(nameOf("a.example", "/orders/") == "orders");
  CHECK(nameOf("a.example", "/x") == "all");
  CHECK(nameOf("b.example", "/orders/old/7") == "other");
}

// Guards against a prefix that matches only a part of a path segment.
TEST_CASE_METHOD(RouteTableFixture, "route_table_partial_segment_does_not_match") {
  CHECK(nameOf("a.example", "/ordersold/7") == "all");
  CHECK(nameOf("a.example", "/orders") == "all");
  CHECK(nameOf("b.example", "/orders").empty());
  CHECK(nameOf("c.example", "/orders/7").empty());
  CHECK(nameOf("a.example", "").empty());
  CHECK(nameOf("a.example", "*").empty());
}

// Guards against services whose shares of the requests differ from their weights.
TEST_CASE("splitter_weights_are_kept_over_few_requests") {
  FleetRoute Route = makeRoute("split", "a.example", "/");
  Route.Parts_ = {{ServiceId("a"), 90.0}, {ServiceId("b"), 10.0}, {ServiceId("c"), 0.0}};
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    INFO("seed " << Seed);
    TrafficSplitter Splitter(Seed);
    std::map<std::string, int> Counts;
    for (int Index = 0; Index < 100; ++Index)
      ++Counts[Splitter.next(Route).str()];
    CHECK(Counts["a"] >= 88);
    CHECK(Counts["b"] >= 8);
    CHECK(Counts["c"] == 0);
  }
}

// Guards against nodes that all choose the same service for their first request.
TEST_CASE("splitter_many_nodes_share_first_requests_by_weight") {
  FleetRoute Route = makeRoute("split", "a.example", "/");
  Route.Parts_ = {{ServiceId("a"), 50.0}, {ServiceId("b"), 50.0}};
  int First = 0;
  for (std::uint64_t Seed = 1; Seed <= 400; ++Seed)
    First += TrafficSplitter(Seed).next(Route).str() == "a" ? 1 : 0;
  CHECK(First > 140);
  CHECK(First < 260);
}

// Guards against old weights that stay in use after the weights of a route have changed.
TEST_CASE("splitter_changed_weights_take_effect_at_once") {
  FleetRoute Route = makeRoute("split", "a.example", "/");
  Route.Parts_ = {{ServiceId("a"), 100.0}, {ServiceId("b"), 0.0}};
  TrafficSplitter Splitter(1);
  CHECK(Splitter.next(Route).str() == "a");
  Route.Parts_ = {{ServiceId("a"), 0.0}, {ServiceId("b"), 100.0}};
  for (int Index = 0; Index < 10; ++Index)
    CHECK(Splitter.next(Route).str() == "b");
}
