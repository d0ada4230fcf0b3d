#include <deque>

#include "mesh_backend_fixture.h"
#include "node/clock.h"
#include "stopped_clock.h"

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

/// Time on the way to a server and from it, by the clock of the nodes. A call is matched to its run
/// if both ways take up to 1 ms; the rest is for readings of the clock on the way.
constexpr Duration WayTime = 200us;
/// A rounded time left differs from the exact one only if time passes between two readings.
constexpr Duration ReadingTime = 1us;
/// Between the starts of two requests. The deadlines of two runs differ by more than the 4 ms in
/// which a call matches a run, and each call is in another part of its millisecond.
constexpr Duration RequestInterval = 8370us;
constexpr Duration CallTime = 2310us;
/// Of runs, longer than the test takes, and the least of calls that have a limit of their own.
constexpr std::chrono::seconds RunLimit{60};
constexpr std::chrono::seconds OwnLimit{30};

/// Backend servers that make calls of their own for each request to "/once/", one after another,
/// through the node of their host. As real servers do, they pass on the time that is left of the
/// deadline that they were told, in whole milliseconds. Calls are answered when the test lets them.
struct MeshParentsFixture : MeshBackendFixture {
  static constexpr int CallsPerRun = 3;

  bool HaveOwnLimit_ = false; ///< the calls have time limits shorter than that of their run
  std::vector<std::unique_ptr<node::HttpClient>> Callers_; ///< by server
  std::deque<std::function<void()>> Held_;                 ///< answers to calls
  unsigned Served_ = 0;                                    ///< calls of the servers
  std::optional<StoppedClock> Clock_;                      ///< set once the nodes are ready

  MeshParentsFixture() {
    putConfigWithRetries(4, false);
    for (std::size_t Index = 0; Index < ServerCount; ++Index) {
      REQUIRE(runUntil([&] { return versionOf(hostOf(Index)) == 4; }));
      Callers_.push_back(
          std::make_unique<node::HttpClient>(Io_, node::Endpoint{hostOf(Index), CallerPort_}, 64));
      Backends_[Index]->Work_ = [this, Index](const node::HttpRequest &Request,
                                              const std::function<void()> &Answer) {
        const auto Left = node::findHeader(Request.Headers_, "Deadline-Ms").value_or("0");
        if (Request.Target_.rfind("/once/", 0) != 0) {
          Held_.push_back(Answer);
          return;
        }
        StoppedClock::advance(WayTime);
        makeCalls(Index, node::now() + milliseconds(std::stoi(Left)), CallsPerRun, Answer);
      };
    }
    Clock_.emplace(ReadingTime);
  }

  void makeCalls(std::size_t Index, TimePoint Deadline, int Count,
                 const std::function<void()> &Done) {
    if (Count == 0) {
      Done();
      return;
    }
    auto Left = std::chrono::floor<milliseconds>(Deadline - node::now());
    // Calls made at the same moment differ, so that they don't match the runs of each other.
    if (HaveOwnLimit_)
      Left = OwnLimit + LastCall_ % 50 * 10ms;
    node::HttpRequest Request;
    Request.Method_ = "GET";
    Request.Target_ = "/open/call";
    Request.Headers_ = {{"Host", "a.example"},
                        {"Request-Id", "c" + std::to_string(++LastCall_)},
                        {"Deadline-Ms", std::to_string(Left.count())}};
    StoppedClock::advance(WayTime);
    Callers_[Index]->send(
        std::move(Request), RunLimit,
        [this, Index, Deadline, Count, Done](node::HttpResult, const node::HttpResponse &Result) {
          Served_ += Result.Status_ == 200 ? 1 : 0;
          makeCalls(Index, Deadline, Count - 1, Done);
        });
  }

  /// Returns the number of calls of all servers whose run was found in one of the given ways.
  std::size_t callsFound(const std::vector<std::string> &Ways) {
    std::size_t Result = 0;
    for (std::size_t Index = 0; Index < ServerCount; ++Index) {
      const json State = stateOf(hostOf(Index));
      for (const std::string &Way : Ways)
        Result += State.at("backend_gate").at("own_calls_by_parent").at(Way).get<std::size_t>();
    }
    return Result;
  }
  /// Runs requests that overlap and have different deadlines. Only one call is on its way at a
  /// time, so that it takes the time of its own way only.
  void runRequests(std::size_t Count) {
    std::vector<ReplyPtr> Replies;
    for (std::size_t Number = 0; Number < Count; ++Number) {
      StoppedClock::advance(RequestInterval);
      Replies.push_back(sendTo(Number, "/once/" + std::to_string(Number), "b", RunLimit));
      REQUIRE(runUntil([&] { return Held_.size() == Number + 1; }));
    }
    const auto Ended = [&] {
      return static_cast<std::size_t>(
          std::count_if(Replies.begin(), Replies.end(),
                        [](const ReplyPtr &Item) { return Item->status() == 200; }));
    };
    while (!Held_.empty()) {
      StoppedClock::advance(CallTime);
      const std::size_t Open = Held_.size() + Ended();
      Held_.front()();
      Held_.pop_front();
      REQUIRE(runUntil([&] { return Held_.size() + Ended() == Open; }));
    }
    REQUIRE(Ended() == Count);
  }

private:
  int LastCall_ = 0;
};

} // namespace

// Guards against calls of servers whose run is not found, because what a node tells the server and
// what the server tells the node are rounded and take time on their way.
TEST_CASE_METHOD(MeshParentsFixture, "mesh_parents_calls_of_servers_find_their_run") {
  constexpr std::size_t Requests = 24;
  runRequests(Requests);
  CHECK(Served_ == Requests * CallsPerRun);
  CHECK(callsFound({"deadline", "ambiguous", "class", "none"}) == Requests * CallsPerRun);
  CHECK(callsFound({"deadline"}) == Requests * CallsPerRun);
}

// Guards against calls with a time limit of their own that are rejected or lost because they match
// no run.
TEST_CASE_METHOD(MeshParentsFixture, "mesh_parents_calls_with_own_limit_are_served") {
  HaveOwnLimit_ = true;
  constexpr std::size_t Requests = 24;
  runRequests(Requests);
  CHECK(Served_ == Requests * CallsPerRun);
  CHECK(callsFound({"deadline", "ambiguous", "class", "none"}) == Requests * CallsPerRun);
  CHECK(callsFound({"deadline", "ambiguous"}) <= Requests * CallsPerRun / 10);
}
