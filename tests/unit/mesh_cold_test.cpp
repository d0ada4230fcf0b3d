#include "mesh_backend_fixture.h"

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

using Clock = standin::MeshBackend::Clock;

constexpr double ColdRate = 10.0;
constexpr double Over = 1.5;
constexpr double Slack = 8.0;
constexpr int MostPerSecond = 23; ///< 10 * 1.5 + 8

/// Nodes with the settings of cold servers. The servers are cold for ColdTime after each start.
struct MeshColdFixture : MeshBackendFixture {
  std::vector<ReplyPtr> Replies_;

  /// \param Near as of MeshBackendFixture.
  explicit MeshColdFixture(std::size_t Near = ServerCount)
      : MeshBackendFixture(Near, std::pair(Over, Slack)) {}

  void setCold(milliseconds Time) {
    for (const auto &Server : Backends_)
      Server->ColdTime_ = Time;
  }
  void putColdConfig(std::uint64_t Version) {
    putConfigWithRetries(Version, true, ColdRate);
    for (std::size_t Index = 0; Index < ServerCount; ++Index)
      REQUIRE(runUntil([&] { return versionOf(hostOf(Index)) == Version; }));
  }
  /// Sends requests to all nodes in turn at a rate for a time.
  void load(double PerSecond, Clock::duration Time) {
    const Clock::time_point Start = Clock::now();
    for (std::size_t Number = 0; Clock::now() - Start < Time; ++Number) {
      Replies_.push_back(sendTo(Number, "/safe/" + std::to_string(Replies_.size()), "", 1s));
      runUntil([&] {
        return std::chrono::duration<double>(Clock::now() - Start).count() * PerSecond >=
               static_cast<double>(Number + 1);
      });
    }
  }
  bool allEnded() {
    return runUntil([&] {
      return std::all_of(Replies_.begin(), Replies_.end(),
                         [](const ReplyPtr &Item) { return Item->Ended_; });
    });
  }
  std::size_t served() const {
    return static_cast<std::size_t>(
        std::count_if(Replies_.begin(), Replies_.end(),
                      [](const ReplyPtr &Item) { return Item->status() == 200; }));
  }
  /// Returns the most requests that a server got in a second while it was cold.
  int mostCold(std::size_t Index) const {
    std::vector<Clock::time_point> Times;
    for (const auto &Item : Backends_[Index]->arrivals())
      if (Item.Cold_ && !Item.Rejected_)
        Times.push_back(Item.At_);
    int Most = 0;
    for (std::size_t First = 0, Last = 0; Last < Times.size(); ++Last) {
      while (Times[Last] - Times[First] > 1s)
        ++First;
      Most = std::max(Most, static_cast<int>(Last - First + 1));
    }
    return Most;
  }
  std::size_t healthRequests() const { return runsOf("/health"); }
  json temperatureOf(std::size_t Index) {
    return stateOf(hostOf(Index)).at("backend_gate").at("temperature");
  }
};

/// The first two servers are in a data centre that is evacuated.
struct ColdEvacuationFixture : MeshColdFixture {
  static constexpr std::size_t Near = 2;

  ColdEvacuationFixture() : MeshColdFixture(Near) {}
};

} // namespace

// Guards against servers that return cold together, get their whole demand and crash again; and
// against the allowance of a node that restarts beside its server.
TEST_CASE_METHOD(MeshColdFixture, "mesh_cold_servers_and_nodes_that_restart_keep_the_bound") {
  putColdConfig(5);
  load(200.0, 1s);
  setCold(2s);
  for (const auto &Server : Backends_)
    Server->crash();
  load(200.0, 2s);
  restartNode(0, hostOf(0));
  Backends_[1]->crash();
  load(200.0, 1s);
  restartNode(1, hostOf(1));
  load(200.0, 2s);
  for (std::size_t Index = 0; Index < ServerCount; ++Index) {
    INFO(Index);
    CHECK(mostCold(Index) <= MostPerSecond);
  }
  CHECK(allEnded());
}

// Guards against cold servers whose room is not used, and against a bound that is never lifted.
TEST_CASE_METHOD(MeshColdFixture, "mesh_cold_servers_are_used_and_become_warm") {
  setCold(7s); // longer than the restart and the loads until served() is checked
  putColdConfig(5);
  for (const auto &Server : Backends_)
    Server->crash();
  REQUIRE(allUp());
  load(100.0, 1s);
  Replies_.clear();
  load(100.0, 4s);
  REQUIRE(allEnded());
  CHECK(static_cast<double>(served()) >= 0.9 * 4 * ServerCount * ColdRate);
  load(100.0, 3s);
  REQUIRE(allEnded());
  Replies_.clear();
  load(100.0, 2s);
  REQUIRE(allEnded());
  CHECK(static_cast<double>(served()) >= 0.95 * static_cast<double>(Replies_.size()));
}

// Guards against health requests and bounds that the configuration does not ask for.
TEST_CASE_METHOD(MeshColdFixture, "mesh_cold_without_rate_in_configuration_does_nothing") {
  load(200.0, 1s);
  REQUIRE(allEnded());
  CHECK(served() == Replies_.size());
  CHECK(healthRequests() == 0);
}

// Guards against a bound that is lifted by the health answer of a server that is not the listed
// one.
TEST_CASE_METHOD(MeshColdFixture, "mesh_cold_health_answer_of_another_server_proves_nothing") {
  for (const auto &Server : Backends_)
    Server->HealthId_ = "i-other";
  putColdConfig(5);
  load(200.0, 2s);
  REQUIRE(allEnded());
  CHECK(served() <= 2 * ServerCount * MostPerSecond);
  CHECK(healthRequests() > 0);
}

// Guards against a busy server that turns cold without a restart and gets its demand until the
// health request of the next second.
TEST_CASE_METHOD(MeshColdFixture, "mesh_cold_server_that_turns_cold_under_load_keeps_the_bound") {
  for (const auto &Server : Backends_)
    Server->SlowIfCold_ = true;
  putColdConfig(5);
  load(200.0, 2s);
  // From the next health request on, none is due for a second.
  const std::size_t Before = Backends_[0]->runsOf("/health");
  while (Backends_[0]->runsOf("/health") == Before)
    load(200.0, 50ms);
  Backends_[0]->turnCold(3s);
  load(200.0, 2s);
  CHECK(mostCold(0) <= MostPerSecond);
  CHECK(temperatureOf(0).at("temperature") == "cold");
  CHECK(temperatureOf(0).at("signs") == 1);
  load(200.0, 2s);
  CHECK(allEnded());
  CHECK(temperatureOf(0).at("temperature") == "warm");
}

// Guards against a warm server that is throttled because it has become slow.
TEST_CASE_METHOD(MeshColdFixture, "mesh_cold_slow_warm_server_serves_all_calls") {
  putColdConfig(5);
  load(200.0, 2s);
  REQUIRE(allEnded());
  Replies_.clear();
  const std::size_t Before = healthRequests();
  for (const auto &Server : Backends_)
    Server->ServeTime_ = 60ms;
  load(200.0, 4s);
  REQUIRE(allEnded());
  CHECK(served() == Replies_.size());
  CHECK(healthRequests() - Before <= ServerCount * (5 + 1)); // one a second, and one in 5 s
}

// Guards against a returning data centre whose servers are cold and get what warm ones get, and
// against nodes beside them that take them for warm because they were so before.
TEST_CASE_METHOD(ColdEvacuationFixture, "mesh_cold_servers_after_evacuation_keep_the_bound") {
  putColdConfig(5);
  load(200.0, 1s);
  Store_.put("op/evacuate/z", "");
  load(200.0, EvacuateTime);
  const auto Closed = Clock::now();
  for (std::size_t Index = 0; Index < Near; ++Index)
    Backends_[Index]->turnCold(4s);
  load(200.0, 500ms);
  Store_.remove("op/evacuate/z");
  load(200.0, 3500ms);
  REQUIRE(allEnded());
  CHECK(static_cast<double>(served()) >= 0.95 * static_cast<double>(Replies_.size()));
  load(200.0, 3s);
  for (std::size_t Index = 0; Index < Near; ++Index) {
    INFO(Index);
    const auto &Arrivals = Backends_[Index]->arrivals();
    CHECK(mostCold(Index) <= MostPerSecond);
    CHECK(Arrivals.back().At_ > Closed);
    CHECK(temperatureOf(Index).at("temperature") == "warm");
    for (const auto &Item : Arrivals)
      CHECK_FALSE((Item.At_ > Closed + 50ms && Item.At_ < Closed + 500ms));
  }
}
