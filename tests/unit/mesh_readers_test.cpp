#include <algorithm>

#include "bronzestand/store_readers.h"
#include "mesh_fixture.h"

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

/// Times of the requirements, from the acknowledgement of a change; ApplyTime as in the settings.
constexpr std::chrono::milliseconds ApplyTime{2000};
constexpr std::chrono::milliseconds LeavingTime{3000};
/// The number of nodes that read is two again within this time.
constexpr std::chrono::milliseconds SettleTime{6000};
/// Most control bytes of a node a second, with 24 nodes in a data centre.
constexpr double MaxBytesPerSecond = 300.0;

/// Nodes of one data centre, each with an event loop of its own, which can be stopped. The first
/// two in rank read from a replica of the store, which can fail for them alone.
struct MeshReadersFixture : MeshFixture {
  const std::uint16_t ReplicaPort_ = freePort();
  standin::PlatformStore Replica_{Io_, {"127.0.0.1", ReplicaPort_}};
  std::vector<std::unique_ptr<boost::asio::io_context>> Loops_;
  std::vector<std::string> Hosts_; ///< in rank

  MeshReadersFixture() { REQUIRE(Replica_.start().ok()); }
  ~MeshReadersFixture() {
    // Before their event loops, which end with this class.
    Nodes_.clear();
    Stopped_.clear();
    Replica_.stop();
  }
  MeshReadersFixture(const MeshReadersFixture &) = delete;
  MeshReadersFixture &operator=(const MeshReadersFixture &) = delete;

  void startFleet(std::size_t Count) {
    std::vector<HostId> Hosts;
    for (std::size_t Index = 0; Index < Count; ++Index)
      Hosts.emplace_back("127.0.0." + std::to_string(Index + 2));
    for (standin::PlatformStore *Store : {&Store_, &Replica_}) {
      putConfig(*Store, 3, {"/x/"});
      for (const HostId &Host : Hosts)
        putServer(*Store, "i-" + Host.str(), Host.str());
    }
    for (const HostId &Host : StoreReaders::rank(Hosts)) {
      Loops_.push_back(std::make_unique<boost::asio::io_context>());
      OtherLoops_.push_back(Loops_.back().get());
      startNode(Host.str(), Hosts_.size() < 2 ? ReplicaPort_ : StorePort_, Loops_.back().get());
      Hosts_.push_back(Host.str());
    }
    REQUIRE(runUntil([&] { return readers() == 2; }, SettleTime));
    REQUIRE(runUntil([&] { return Replica_.waitingWatches() == 2; }, SettleTime));
  }
  std::size_t readers() { return Store_.waitingWatches() + Replica_.waitingWatches(); }
  void put(std::uint64_t Version, const std::vector<std::string> &Prefixes) {
    putConfig(Store_, Version, Prefixes);
    putConfig(Replica_, Version, Prefixes);
  }
  void freeze(std::size_t Index) {
    OtherLoops_.erase(std::find(OtherLoops_.begin(), OtherLoops_.end(), Loops_[Index].get()));
  }
  void resume(std::size_t Index) { OtherLoops_.push_back(Loops_[Index].get()); }
  void wait(milliseconds Time) {
    const auto End = std::chrono::steady_clock::now() + Time;
    runUntil([&] { return std::chrono::steady_clock::now() >= End; }, 2 * Time);
  }
  /// Tells whether a condition on the state holds at all nodes from a position in rank on, in time.
  template <typename Condition>
  bool allFrom(std::size_t First, milliseconds Limit, Condition Holds) {
    const auto End = std::chrono::steady_clock::now() + Limit;
    for (std::size_t Index = First; Index < Hosts_.size(); ++Index)
      while (!Holds(stateOf(Hosts_[Index]).at("fleet_state")))
        if (std::chrono::steady_clock::now() > End)
          return false;
    return std::chrono::steady_clock::now() <= End;
  }
  bool allHave(std::uint64_t Version, std::size_t First = 0) {
    return allFrom(First, ApplyTime,
                   [&](const json &State) { return State["version"] == Version; });
  }
  /// Returns the bytes that all nodes have sent to read the store together.
  double bytesSent() {
    double Sum = 0.0;
    for (const std::string &Host : Hosts_)
      Sum += stateOf(Host)["peer_links"]["sent"]["config_spread"]["bytes"].get<double>();
    return Sum;
  }
};

bool follows(const nlohmann::json &State) {
  return !State["store_reader"]["follows"].get<std::string>().empty();
}

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
    Store->put("servers/i-" + Hosts_.back(),
               json{{"Address", Hosts_.back() + ":" + std::to_string(BackendPort_)},
                    {"Info", {{"Service", "s"}, {"Zone", "z"}, {"Slots", 4}}},
                    {"Status", {{"State", "draining"}, {"ColdRemainingMs", 0}}},
                    {"born", 5}}
                   .dump());
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
  for (const std::size_t Index : {0U, 1U}) {
    Nodes_[Index]->shutdown();
    Nodes_[Index]->shutdown();
    Stopped_.push_back(std::move(Nodes_[Index]));
  }
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
