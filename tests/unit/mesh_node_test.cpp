#include "mesh_fixture.h"

using namespace bronzestand;

namespace {

const std::string First = "127.0.0.2";

} // namespace

// Guards against an unknown route that is answered as anything but 404 while the store answers.
TEST_CASE_METHOD(MeshFixture, "mesh_node_unknown_route_in_calm_fleet_returns_404") {
  putConfig(3, {"/x/"});
  startNode(First);
  REQUIRE(runUntil([&] { return statusOf(First, "/y/") == 404; }));
  CHECK(statusOf(First, "/x/") == 503);
}

// Guards against a definite refusal (404, 401) by a node that may not have the newest
// configuration.
TEST_CASE_METHOD(MeshFixture, "mesh_node_unknown_route_while_store_is_lost_returns_503") {
  putConfig(3, {"/x/"});
  startNode(First);
  REQUIRE(runUntil([&] { return statusOf(First, "/y/") == 404; }));
  Store_.setFailure(503);
  Store_.failWatches(503);
  CHECK(runUntil([&] { return statusOf(First, "/y/") == 503; }, std::chrono::seconds(2)));
  Store_.setFailure(0);
  CHECK(runUntil([&] { return statusOf(First, "/y/") == 404; }, std::chrono::seconds(3)));
}
