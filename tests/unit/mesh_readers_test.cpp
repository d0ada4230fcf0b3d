#include <algorithm>

#include "mesh_readers_fixture.h"

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

/// Times of the requirements, from the acknowledgement of a change; ApplyTime as in the settings.
constexpr std::chrono::milliseconds ApplyTime{2000};
constexpr std::chrono::milliseconds LeavingTime{3000};
/// Most control bytes of a node a second, with 24 nodes in a data centre.
constexpr double MaxBytesPerSecond = 300.0;

} // namespace

// Guards against a fleet in which more than two nodes of a data centre read, against followers that
// miss a change, and against notices that cost more than planned.
TEST_CASE_METHOD(MeshReadersFixture, "mesh_readers_calm_fleet_is_served_by_two") {
  constexpr std::size_t Count = 24;
  constexpr std::chrono::seconds Time{5};
  startFleet(Count);
  CHECK(allFrom(2, SettleTime, follows));
  CHECK(Store_.listings() + Store_.watches() <= static_cast<int>(3 * Count));
  wait(milliseconds(500));
  const int Before = Store_.watches();
  const double Bytes = bytesSent();
  wait(Time);
  CHECK(Store_.watches() == Before);
  const double PerSecond =
      (bytesSent() - Bytes) / (Count * std::chrono::duration<double>(Time).count());
  INFO(PerSecond << " bytes a second");
  CHECK(PerSecond < MaxBytesPerSecond);
  put(4, {"/x/", "/y/"});
  CHECK(allHave(4));
  Store_.remove("servers/i-" + Hosts_.back());
  Replica_.remove("servers/i-" + Hosts_.back());
  CHECK(allFrom(0, LeavingTime,
                [](const json &State) { return State["servers"].size() == Count - 1; }));
  CHECK(Store_.watches() == Before);
}

// Guards against changes that wait for frozen readers, whose links look open, and against frozen
// readers that move others back when they go on.
TEST_CASE_METHOD(MeshReadersFixture, "mesh_readers_frozen_at_once_changes_arrive_in_time") {
  startFleet(9);
  freeze(0);
  freeze(1);
  put(4, {"/x/"});
  CHECK(allHave(4, 2));
  CHECK(runUntil([&] { return Store_.waitingWatches() == 2; }, SettleTime));
  for (standin::PlatformStore *Store : {&Store_, &Replica_})
    putServer(*Store, "i-" + Hosts_.back(), Hosts_.back(), "s", "draining");
  CHECK(allFrom(2, LeavingTime, [&](const json &State) {
    return std::any_of(State["servers"].begin(), State["servers"].end(),
                       [](const json &Server) { return Server["leaving"]; });
  }));
  resume(0);
  resume(1);
  CHECK(allHave(4));
  CHECK(runUntil([&] { return Store_.waitingWatches() == 0 && readers() == 2; }, SettleTime));
}

// Guards against changes that wait for readers that were killed.
TEST_CASE_METHOD(MeshReadersFixture, "mesh_readers_killed_at_once_changes_arrive_in_time") {
  startFleet(9);
  killReaders();
  put(4, {"/x/"});
  CHECK(allHave(4, 2));
  CHECK(runUntil([&] { return Store_.waitingWatches() == 2; }, SettleTime));
  CHECK(allFrom(4, SettleTime, follows));
}

// Guards against readers that the store refuses and on which the others rely, and against refused
// readers that do not follow their successors.
TEST_CASE_METHOD(MeshReadersFixture, "mesh_readers_refused_by_store_follow_others") {
  startFleet(9);
  Replica_.setFailure(503);
  Replica_.failWatches(503);
  put(4, {"/x/"});
  CHECK(allHave(4));
  CHECK(runUntil([&] { return Store_.waitingWatches() == 2; }, SettleTime));
  CHECK(statusOf(Hosts_[0], "/unknown/") == 404);
  Replica_.setFailure(0);
  CHECK(runUntil([&] { return Store_.waitingWatches() == 0 && readers() == 2; }, SettleTime));
}

// Guards against followers that stay in the history before a restore of the store.
TEST_CASE_METHOD(MeshReadersFixture, "mesh_readers_restored_store_is_followed") {
  startFleet(9);
  const auto Copy = Store_.copy();
  const auto ReplicaCopy = Replica_.copy();
  put(4, {"/x/"});
  CHECK(allHave(4));
  Store_.restore(Copy);
  Replica_.restore(ReplicaCopy);
  put(5, {"/x/", "/z/"});
  CHECK(allHave(5));
  CHECK(allFrom(0, ApplyTime, [&](const json &State) { return State["era"] == Store_.era(); }));
}
