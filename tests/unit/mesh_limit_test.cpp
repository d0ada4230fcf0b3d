#include "mesh_backend_fixture.h"

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

using Clock = standin::MeshBackend::Clock;

constexpr Clock::duration Window = 4s;
/// Time after which a node that has passed on a limit must keep it.
constexpr std::chrono::milliseconds ReactionTime{500};
/// Requests that a server may get in a window beyond one and a half times what its limit allows.
constexpr double Slack = 5.0;

struct MeshLimitFixture : MeshBackendFixture {
  std::vector<ReplyPtr> Replies_;

  void setLimit(std::size_t Index, const std::string &Rate) {
    Backends_[Index]->MoreHeaders_ = {{"Server-Limit", Rate}};
  }
  void setLimits(const std::string &Rate) {
    for (std::size_t Index = 0; Index < ServerCount; ++Index)
      setLimit(Index, Rate);
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
  /// Returns the most requests that a server got in a window that begins at Start or later.
  std::size_t mostArrivals(std::size_t Index, Clock::time_point Start) const {
    const auto &Items = Backends_[Index]->arrivals();
    std::size_t Most = 0;
    for (auto First = Items.begin(); First != Items.end(); ++First) {
      if (First->At_ < Start)
        continue;
      const auto Count = std::count_if(
          First, Items.end(), [&](const auto &Item) { return Item.At_ - First->At_ < Window; });
      Most = std::max(Most, static_cast<std::size_t>(Count));
    }
    return Most;
  }
  static double allowed(double Rate) {
    return 1.5 * Rate * std::chrono::duration<double>(Window).count() + Slack;
  }
};

} // namespace

// Guards against servers that get far more requests than the limit that they name.
TEST_CASE_METHOD(MeshLimitFixture, "mesh_limit_named_by_all_servers_is_kept") {
  setLimits("8.5");
  const Clock::time_point Start = Clock::now();
  load(100.0, 5500ms);
  for (std::size_t Index = 0; Index < ServerCount; ++Index)
    CHECK(static_cast<double>(mostArrivals(Index, Start + ReactionTime)) <= allowed(8.5));
  REQUIRE(allEnded());
  // 95 % of what the limits allow (design section 1).
  CHECK(static_cast<double>(served()) >= 0.95 * 4 * 8.5 * 5.5);
}

// Guards against requests that are refused because one server has a limit while others have room.
TEST_CASE_METHOD(MeshLimitFixture, "mesh_limit_of_some_servers_moves_requests_to_others") {
  setLimit(0, "2");
  setLimit(1, "2");
  const Clock::time_point Start = Clock::now();
  load(60.0, 5500ms);
  for (std::size_t Index = 0; Index < 2; ++Index)
    CHECK(static_cast<double>(mostArrivals(Index, Start + ReactionTime)) <= allowed(2.0));
  REQUIRE(allEnded());
  CHECK(static_cast<double>(served()) >= 0.95 * static_cast<double>(Replies_.size()));
}

// Guards against requests of a team that are shed because the near servers have limits and refuse
// many, while one in another region has room.
TEST_CASE_METHOD(MeshLimitFixture, "mesh_limit_of_near_servers_sheds_no_request_that_fits") {
  Backends_.back()->Zone_ = "far";
  Backends_.back()->announce();
  putConfigWithRetries(5, false);
  for (std::size_t Index = 0; Index < ServerCount; ++Index)
    REQUIRE(runUntil([&] { return versionOf(hostOf(Index)) == 5; }));
  for (std::size_t Index = 0; Index + 1 < ServerCount; ++Index)
    setLimit(Index, "4");
  load(80.0, 4s);
  REQUIRE(allEnded());
  CHECK(static_cast<double>(served()) >= 0.95 * static_cast<double>(Replies_.size()));
}

// Guards against a limit that a restarted node forgets, and that no other node tells it.
TEST_CASE_METHOD(MeshLimitFixture, "mesh_limit_is_kept_by_restarted_node") {
  setLimits("5");
  load(60.0, 1s);
  const Clock::time_point Start = Clock::now();
  for (std::size_t Round = 0; Round < 4; ++Round) {
    restartNode(0, hostOf(0));
    load(60.0, 1s);
  }
  CHECK(static_cast<double>(mostArrivals(0, Start)) <= allowed(5.0));
  CHECK(allEnded()); // also releases what still runs
}

// Guards against a limit that outlasts the answers that name it.
TEST_CASE_METHOD(MeshLimitFixture, "mesh_limit_no_longer_named_is_lifted") {
  setLimits("5");
  load(60.0, 1s);
  REQUIRE(allEnded());
  for (const auto &Server : Backends_)
    Server->MoreHeaders_.clear();
  load(20.0, 2s); // levels fall again
  REQUIRE(allEnded());
  Replies_.clear();
  load(60.0, 2s);
  REQUIRE(allEnded());
  CHECK(static_cast<double>(served()) >= 0.95 * static_cast<double>(Replies_.size()));
}

// Guards against a server that gets no request at all, and against a limit that can't be read.
TEST_CASE_METHOD(MeshLimitFixture, "mesh_limit_below_one_a_second_still_serves") {
  const std::string Limit = GENERATE("0.5", "0", "-1", "many", "", "nan", "1e999");
  INFO(Limit);
  setLimits(Limit);
  load(20.0, 500ms);
  REQUIRE(allEnded());
  CHECK(served() >= 1);
}

// Guards against requests to a server that says in its answers that it is leaving.
TEST_CASE_METHOD(MeshLimitFixture, "mesh_leaving_server_named_by_answers_gets_no_further_request") {
  const bool StoreAway = GENERATE(false, true);
  INFO(StoreAway);
  if (StoreAway) {
    Store_.setSilent(true);
    Store_.silenceWatches();
  }
  load(100.0, 500ms);
  Backends_[0]->MoreHeaders_ = {{"Server-Leaving", "1"}};
  load(100.0, 500ms);
  const std::size_t Before = Backends_[0]->arrivals().size();
  load(100.0, 1s);
  // A restarted node needs the store.
  if (!StoreAway) {
    restartNode(0, hostOf(0));
    load(100.0, 1s);
  }
  // The restarted node may send a request there until it knows.
  CHECK(Backends_[0]->arrivals().size() <= Before + 1);
  REQUIRE(allEnded());
  CHECK(static_cast<double>(served()) >= 0.95 * static_cast<double>(Replies_.size()));
}
