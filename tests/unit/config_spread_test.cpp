#include <catch2/catch.hpp>

#include "spread_simulation.h"

using namespace bronzestand;
using namespace bronzestand::testing;

namespace {

std::string team(std::uint64_t Rate) { return fmt::format("{{rate: {}, burst: 1}}", Rate); }

DocumentState stateOf(const SpreadSimulation &World, std::size_t Node, const std::string &Path) {
  for (const DocumentState &State : World.Nodes_[Node].Spread_->dump().Documents_)
    if (State.Path_ == Path)
      return State;
  return {};
}

/// Publishes a valid or an invalid version or removes a document, then injects one random fault.
void injectFault(SpreadSimulation &World) {
  VirtualNetwork &Net = World.Net_;
  const std::string Path = fmt::format("teams/t{}", Net.randomBelow(6));
  const std::uint64_t Kind = Net.randomBelow(10);
  if (Kind == 0)
    World.publish(Path, std::nullopt);
  else if (Kind < 3)
    World.publish(Path, "{rate: wrong}");
  else
    World.publish(Path, team(Net.randomBelow(100)));
  const std::size_t Node = Net.randomBelow(World.Nodes_.size());
  const std::size_t DataCentre = Net.randomBelow(World.Partitioned_.size());
  switch (Net.randomBelow(6)) {
  case 0:
    World.Nodes_[Node].PausedUntil_ = Net.now() + Duration(Net.randomBelow(4'000'000));
    break;
  case 1:
    World.start(Node);
    break;
  case 2:
    World.Partitioned_[DataCentre] = !World.Partitioned_[DataCentre];
    break;
  case 3:
    World.PlatformDown_[DataCentre] = !World.PlatformDown_[DataCentre];
    break;
  case 4:
    World.Lag_ = Net.randomBelow(8);
    break;
  default:
    World.Net_.Loss_ = static_cast<double>(Net.randomBelow(40)) / 100.0;
  }
}

void clearFaults(SpreadSimulation &World) {
  World.Net_.Loss_ = 0.0;
  World.Net_.LongDelay_ = 0.0;
  World.Lag_ = 0;
  std::fill(World.Partitioned_.begin(), World.Partitioned_.end(), false);
  std::fill(World.PlatformDown_.begin(), World.PlatformDown_.end(), false);
  for (auto &Node : World.Nodes_)
    Node.PausedUntil_ = World.Net_.now();
}

} // namespace

// Guards against a version in force that is replaced by an older one, and against nodes whose
// documents still differ 7 s after the last fault.
TEST_CASE("spread_random_faults_converges_and_never_reverts") {
  for (std::uint64_t Seed = 1; Seed <= seeds(2000); ++Seed) {
    SpreadSimulation World(Seed, 1 + Seed % 4, 2 + Seed % 5);
    World.Net_.Duplication_ = 0.1;
    World.Net_.LongDelay_ = 0.05;
    World.Net_.Jitter_ = 200ms;
    for (int Step = 0; Step < 15; ++Step) {
      injectFault(World);
      World.run(Duration(World.Net_.randomBelow(800'000)));
    }
    clearFaults(World);
    World.run(7s);
    INFO("seed " << Seed);
    REQUIRE(World.RevisionRollbacks_ == 0);
    REQUIRE(World.converged());
  }
}

// Guards against a refused version that replaces the accepted one or is missing from the state
// dump.
TEST_CASE("spread_refused_version_leaves_accepted_in_force") {
  SpreadSimulation World(3, 2, 5);
  const Revision Accepted = World.publish("teams/a", team(1));
  World.run(5s);
  const Revision Refused = World.publish("teams/a", "{rate: wrong}");
  World.run(5s);
  for (std::size_t Node = 0; Node < World.Nodes_.size(); ++Node) {
    const DocumentState State = stateOf(World, Node, "teams/a");
    CHECK(State.Accepted_ == Accepted);
    CHECK(State.Refused_ == Refused);
    CHECK_FALSE(State.Errors_.empty());
  }
}

// Guards against a removed document that is restored by a delayed or stale copy.
TEST_CASE("store_older_copy_after_removal_is_ignored") {
  DocumentStore Store;
  ParsedDocument Parsed;
  CHECK(Store.update({"teams/a", 5, team(1)}, Parsed) == UpdateResult::Accepted);
  CHECK(Store.update({"teams/a", 7, std::nullopt}, Parsed) == UpdateResult::Accepted);
  CHECK(Store.update({"teams/a", 5, team(1)}, Parsed) == UpdateResult::Ignored);
  CHECK(Store.update({"teams/a", 6, team(2)}, Parsed) == UpdateResult::Ignored);
  CHECK(Store.states().front().Removed_);
}

// Guards against restarted nodes that take old versions from a stale platform instead of the newest
// ones from the only node that kept running. Here the platform is down.
TEST_CASE("spread_all_but_one_restarted_keeps_newest") {
  for (std::uint64_t Seed = 1; Seed <= seeds(300); ++Seed) {
    SpreadSimulation World(Seed, 2, 5);
    for (int Count = 0; Count < 10; ++Count)
      World.publish(fmt::format("teams/t{}", Count % 3), team(1));
    World.run(6s);
    std::fill(World.PlatformDown_.begin(), World.PlatformDown_.end(), true);
    const std::size_t Survivor = World.Net_.randomBelow(World.Nodes_.size());
    for (std::size_t Node = 0; Node < World.Nodes_.size(); ++Node)
      if (Node != Survivor)
        World.start(Node);
    World.run(7s);
    INFO("seed " << Seed);
    REQUIRE(World.converged());
    REQUIRE(World.Nodes_[0].Spread_->ready());
  }
}

// Guards against a data centre without readers after both readers die but are still listed as live.
TEST_CASE("spread_readers_killed_others_take_over") {
  for (std::uint64_t Seed = 1; Seed <= seeds(200); ++Seed) {
    SpreadSimulation World(Seed, 1, 12);
    World.run(5s);
    for (std::size_t Node = 0; Node < World.Nodes_.size(); ++Node)
      if (World.Nodes_[Node].Spread_->isReader())
        World.stop(Node);
    World.publish("teams/a", team(1));
    World.run(7s);
    INFO("seed " << Seed);
    REQUIRE(World.converged());
    World.run(5s);
    const auto Readers =
        std::count_if(World.Nodes_.begin(), World.Nodes_.end(),
                      [](const auto &Node) { return Node.Spread_ && Node.Spread_->isReader(); });
    REQUIRE(Readers == 2);
  }
}

// Guards against a reply of unlimited size when a restarted node pulls all documents.
TEST_CASE("spread_large_set_is_pulled_in_bounded_parts") {
  SpreadSimulation World(1, 1, 4);
  for (int Count = 0; Count < 600; ++Count)
    World.publish(fmt::format("teams/t{}", Count), team(1) + std::string(1000, ' '));
  World.run(5s);
  World.PlatformDown_[0] = true;
  World.start(0);
  World.run(2s);
  CHECK(World.converged());
  CHECK(World.LargestReply_ > 30'000);
  CHECK(World.LargestReply_ <= 65'536);
}

// Guards against a node degree that grows with the number of hosts, and against an overlay that is
// not connected.
TEST_CASE("overlay_large_data_centre_is_connected_with_bounded_degree") {
  SpreadSimulation World(1, 1, 300);
  std::map<HostId, std::vector<HostId>> Links;
  for (const auto &Node : World.Nodes_) {
    Links[Node.Id_] = Node.Spread_->neighbours();
    REQUIRE(Links[Node.Id_].size() <= 6);
  }
  std::set<HostId> Reached{World.Nodes_[0].Id_};
  std::vector<HostId> Pending(Reached.begin(), Reached.end());
  while (!Pending.empty()) {
    const HostId Next = Pending.back();
    Pending.pop_back();
    for (const HostId &Neighbour : Links[Next])
      if (Reached.insert(Neighbour).second)
        Pending.push_back(Neighbour);
  }
  CHECK(Reached.size() == 300);
}
