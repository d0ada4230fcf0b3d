#include "mesh_fixture.h"
#include "node/peer_links.h"

using namespace bronzestand;

namespace {

const std::string First = "127.0.0.2";
const std::string Second = "127.0.0.3";
/// Time within which an acknowledged change must be in force.
constexpr std::chrono::milliseconds ApplyTime{2000};

/// Two nodes, the second of which reads from a replica of the store that can refuse it.
struct TwoNodesFixture : MeshFixture {
  const std::uint16_t ReplicaPort_ = freePort();
  standin::PlatformStore Replica_{Io_, {"127.0.0.1", ReplicaPort_}};

  TwoNodesFixture() {
    REQUIRE(Replica_.start().ok());
    for (standin::PlatformStore *Item : {&Store_, &Replica_}) {
      putServer(*Item, "i-1", First);
      putServer(*Item, "i-2", Second);
      putConfig(*Item, 3, {"/x/"});
    }
    startNode(First);
    startNode(Second, ReplicaPort_);
    REQUIRE(runUntil([&] { return statusOf(Second, "/y/") == 404; }));
  }
  ~TwoNodesFixture() { Replica_.stop(); }
  TwoNodesFixture(const TwoNodesFixture &) = delete;
  TwoNodesFixture &operator=(const TwoNodesFixture &) = delete;
};

} // namespace

// Guards against an unknown route that is answered as anything but 404 while the store answers.
TEST_CASE_METHOD(MeshFixture, "mesh_node_unknown_route_in_calm_fleet_returns_404") {
  putConfig(Store_, 3, {"/x/"});
  startNode(First);
  REQUIRE(runUntil([&] { return statusOf(First, "/y/") == 404; }));
  CHECK(statusOf(First, "/x/") == 503);
}

// Guards against a definite refusal (404, 401) by a node that may not have the newest
// configuration.
TEST_CASE_METHOD(MeshFixture, "mesh_node_unknown_route_while_store_is_lost_returns_503") {
  putConfig(Store_, 3, {"/x/"});
  startNode(First);
  REQUIRE(runUntil([&] { return statusOf(First, "/y/") == 404; }));
  Store_.setFailure(503);
  Store_.failWatches(503);
  CHECK(runUntil([&] { return statusOf(First, "/y/") == 503; }, std::chrono::seconds(2)));
  Store_.setFailure(0);
  CHECK(runUntil([&] { return statusOf(First, "/y/") == 404; }, std::chrono::seconds(3)));
}

// Guards against a node that does not learn of changes while the store turns it away.
TEST_CASE_METHOD(TwoNodesFixture, "mesh_node_refused_by_store_learns_changes_from_peer") {
  Replica_.setFailure(503);
  Replica_.failWatches(503);
  putConfig(Store_, 5, {"/x/", "/new/"});
  CHECK(runUntil([&] { return versionOf(Second) == 5; }, ApplyTime));
  Store_.remove("servers/i-1");
  CHECK(runUntil([&] { return stateOf(Second).at("fleet_state").at("servers").size() == 1; },
                 ApplyTime));
}

// Guards against calls to an evacuated data centre by a node that the store turns away, and against
// one that never uses it again.
TEST_CASE_METHOD(TwoNodesFixture, "mesh_node_refused_by_store_learns_evacuation_from_peer") {
  Replica_.setFailure(503);
  Replica_.failWatches(503);
  const auto Evacuated = [&] { return stateOf(Second).at("fleet_state").at("evacuated"); };
  Store_.put("op/evacuate/far", "");
  const auto IsUnused = [&] {
    const json Items = Evacuated();
    return Items.size() == 1 && Items[0].at("data_centre") == "far" && Items[0].at("unused");
  };
  REQUIRE(runUntil(IsUnused, EvacuateTime));
  Store_.remove("op/evacuate/far");
  CHECK(runUntil([&] { return Evacuated().empty(); }, ApplyTime));
}

// Guards against definite refusals that are withheld although a peer knows that nothing is missing.
TEST_CASE_METHOD(TwoNodesFixture, "mesh_node_refused_by_store_with_confirmed_peer_returns_404") {
  Replica_.setFailure(503);
  Replica_.failWatches(503);
  REQUIRE(runUntil([&] { return statusOf(Second, "/y/") == 503; }, ApplyTime));
  CHECK(runUntil([&] { return statusOf(Second, "/y/") == 404; }, ApplyTime));
}

// Guards against a newly started node that uses an older configuration than its peers, because the
// store was restored from a copy.
TEST_CASE_METHOD(TwoNodesFixture, "mesh_node_started_after_restore_learns_version_from_peer") {
  const auto Copy = Store_.copy();
  putConfig(Store_, 5, {"/x/", "/new/"});
  REQUIRE(runUntil([&] { return versionOf(First) == 5; }, ApplyTime));
  Store_.restore(Copy);
  Replica_.restore(Replica_.copy());
  const std::string Third = "127.0.0.4";
  startNode(Third);
  REQUIRE(runUntil([&] { return versionOf(Third) >= 3; }, ApplyTime));
  CHECK(runUntil([&] { return versionOf(Third) == 5; }, ApplyTime));
}

// Guards against a request for the state that ends the process, because a name in it is not valid
// UTF-8: JSON can't have such texts. Settings and links do not check names.
TEST_CASE_METHOD(MeshFixture, "mesh_node_state_with_names_that_are_not_utf8_is_served") {
  Service_ = ServiceId("s\xFF");
  putConfig(Store_, 3, {"/x/"});
  startNode(First);
  REQUIRE(runUntil([&] { return statusOf(First, "/y/") == 404; }));
  node::Settings Other;
  Other.Host_ = HostId("h\xC3(");
  Other.PeerListen_ = {Second, PeerPort_};
  node::PeerLinks Links(Io_, Other, 1);
  REQUIRE(Links.start().ok());
  Links.connect({First, PeerPort_});
  CHECK(runUntil([&] { return Links.isLinked(HostId(First)); }));
  const json State = stateOf(First);
  REQUIRE_FALSE(State.is_discarded());
  CHECK(State.at("service") == "s\uFFFD");
  REQUIRE(State.at("peer_links").at("links").size() == 1);
  CHECK(State.at("peer_links").at("links")[0].at("host") == "h\uFFFD(");
  Links.stop();
  Io_.poll(); // handlers of its sockets refer to it
}
