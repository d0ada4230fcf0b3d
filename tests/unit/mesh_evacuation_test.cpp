#include "mesh_backend_fixture.h"

using namespace bronzestand;

namespace {

/// The last two backend servers are in another data centre and region.
struct EvacuationFixture : MeshBackendFixture {
  EvacuationFixture() {
    for (const std::size_t Index : {2U, 3U}) {
      Backends_[Index]->Zone_ = "far";
      Backends_[Index]->announce();
    }
    REQUIRE(runUntil([&] { return zoneAt(0, Backends_[3]->id()) == "far"; }));
  }
  std::string zoneAt(std::size_t Node, const std::string &Id) {
    const json State = stateOf(hostOf(Node));
    for (const json &Item : State.at("fleet_state").at("servers"))
      if (Item.at("id") == Id)
        return Item.at("data_centre").get<std::string>();
    return {};
  }
  void evacuate(const std::string &Name) { Store_.put("op/evacuate/" + Name, ""); }
  void end(const std::string &Name) { Store_.remove("op/evacuate/" + Name); }
  std::size_t arrivalsAt(std::size_t Index) const { return Backends_[Index]->arrivals().size(); }
  /// Calls the first node until one of two backend servers has got a call; each call keeps a
  /// descriptor.
  bool isUsed(std::size_t A, std::size_t B, milliseconds Limit) {
    const std::size_t Before = arrivalsAt(A) + arrivalsAt(B);
    const auto End = std::chrono::steady_clock::now() + Limit;
    while (arrivalsAt(A) + arrivalsAt(B) == Before && std::chrono::steady_clock::now() < End) {
      call(0, "/safe/x");
      wait(milliseconds(20));
    }
    return arrivalsAt(A) + arrivalsAt(B) > Before;
  }
  /// Returns whether the first two nodes, which are in "z", have a state.
  bool isAt(bool Listed, bool Closed) {
    return runUntil([&] {
      for (const std::size_t Index : {0U, 1U}) {
        const json State = stateOf(hostOf(Index));
        if (State.at("fleet_state").at("evacuated").empty() == Listed ||
            State.at("backend_gate").at("closed") != Closed)
          return false;
      }
      return true;
    });
  }
  std::size_t refusals() {
    std::size_t Result = 0;
    for (std::size_t Node = 0; Node < ServerCount; ++Node)
      Result += stateOf(hostOf(Node)).at("backend_gate").at("refused_evacuated").get<std::size_t>();
    return Result;
  }
  /// Sends calls to all nodes for a time and returns how many did not get a 200.
  int callFor(milliseconds Time) {
    int Failed = 0;
    const auto End = std::chrono::steady_clock::now() + Time;
    while (std::chrono::steady_clock::now() < End) {
      std::vector<ReplyPtr> Replies;
      for (std::size_t Node = 0; Node < ServerCount; ++Node)
        Replies.push_back(sendTo(Node, "/once/x"));
      for (const ReplyPtr &Item : Replies) {
        runUntil([&] { return Item->Ended_; });
        Failed += Item->status() == 200 ? 0 : 1;
      }
      wait(milliseconds(20));
    }
    return Failed;
  }
};

} // namespace

// Guards against calls that fail because a data centre is evacuated, calls that reach it after its
// time, and one that is not used again.
TEST_CASE_METHOD(EvacuationFixture, "mesh_evacuation_calls_move_away_and_return") {
  REQUIRE(callFor(milliseconds(200)) == 0);
  REQUIRE(arrivalsAt(0) + arrivalsAt(1) > 0);
  evacuate("z");
  CHECK(callFor(EvacuateTime) == 0);
  const std::size_t Before = arrivalsAt(0) + arrivalsAt(1);
  CHECK(callFor(milliseconds(500)) == 0);
  CHECK(arrivalsAt(0) + arrivalsAt(1) == Before);
  end("z");
  evacuate("z"); // within one batch of changes
  CHECK(callFor(EvacuateTime) == 0);
  CHECK(arrivalsAt(0) + arrivalsAt(1) == Before);
  end("z");
  CHECK(callFor(2 * EvacuateTime) == 0);
  CHECK(arrivalsAt(0) + arrivalsAt(1) > Before);
}

// Guards against a fall-back into an evacuated data centre, and a refusal that is not "not run",
// names no time to come back, or takes the nodes out of service.
TEST_CASE_METHOD(EvacuationFixture, "mesh_evacuation_of_all_data_centres_refuses_calls") {
  evacuate("z");
  evacuate("far");
  wait(EvacuateTime);
  const std::size_t Before = arrivalsAt(0) + arrivalsAt(1) + arrivalsAt(2) + arrivalsAt(3);
  for (std::size_t Node = 0; Node < ServerCount; ++Node) {
    const ReplyPtr Reply = call(Node, "/safe/x");
    CHECK(Reply->status() == 503);
    CHECK_FALSE(Reply->header("Retry-After").empty());
    CHECK(Reply->header("Bronzestand-Refusal") == "data_centre_evacuated");
    CHECK(Reply->header("Bronzestand-Outcome") == "not-run");
    CHECK(statusOf(hostOf(Node), "/other/") == 404);
  }
  CHECK(arrivalsAt(0) + arrivalsAt(1) + arrivalsAt(2) + arrivalsAt(3) == Before);
  end("far");
  CHECK(isUsed(2, 3, 2 * EvacuateTime));
  CHECK(call(0, "/safe/x")->status() == 200);
}

// Guards against waiting calls that are sent to an evacuated server or refused to their callers,
// running calls that are cut, and refusals that count against the server when it returns.
TEST_CASE_METHOD(EvacuationFixture, "mesh_evacuation_waiting_calls_are_sent_elsewhere") {
  Store_.remove("servers/" + Backends_[1]->id());
  Store_.remove("servers/" + Backends_[2]->id());
  Store_.put("servers/" + Backends_[0]->id(),
             json{{"Address", hostOf(0) + ":" + std::to_string(BackendPort_)},
                  {"Info", {{"Service", "s"}, {"Zone", "z"}, {"Slots", 1}}},
                  {"Status", {{"State", "ready"}, {"ColdRemainingMs", 0}}},
                  {"born", 1}}
                 .dump());
  REQUIRE(runUntil([&] {
    return stateOf(hostOf(0)).at("fleet_state").at("servers").size() == 2 &&
           stateOf(hostOf(0)).at("backend_gate").at("limit") == 1;
  }));
  Backends_[0]->ServeTime_ = 2 * EvacuateTime;
  const ReplyPtr Running = sendTo(0, "/once/running", "", 3 * EvacuateTime);
  REQUIRE(runUntil([&] { return Backends_[0]->runsOf("/once/running") == 1; }));
  std::vector<ReplyPtr> Waiting;
  for (const char *Target : {"/once/a", "/once/b"})
    Waiting.push_back(sendTo(0, Target, "", 3 * EvacuateTime));
  wait(milliseconds(50));
  REQUIRE(stateOf(hostOf(0)).at("backend_gate").at("waiting") == 2);
  evacuate("z");
  REQUIRE(runUntil([&] { return Waiting[0]->Ended_ && Waiting[1]->Ended_; }, EvacuateTime));
  CHECK(Waiting[0]->status() == 200);
  CHECK(Waiting[1]->status() == 200);
  CHECK(runUntil([&] { return Running->Ended_; }));
  CHECK(Running->status() == 200);
  CHECK(arrivalsAt(0) == 1);
  const json Gate = stateOf(hostOf(0)).at("backend_gate");
  CHECK(Gate.at("refused_evacuated") == 2);
  Backends_[0]->ServeTime_ = milliseconds(30);
  end("z");
  evacuate("far"); // the server was slow, so that calls prefer the other one
  CHECK(isUsed(0, 1, 2 * EvacuateTime));
  CHECK(call(0, "/once/y")->status() == 200);
}

// Guards against a data centre that is left later by a node that has not stopped using it when the
// evacuation ends.
TEST_CASE_METHOD(EvacuationFixture, "mesh_evacuation_ended_before_nodes_stopped_changes_nothing") {
  evacuate("z");
  REQUIRE(isAt(true, false));
  end("z");
  REQUIRE(isAt(false, false));
  CHECK(callFor(EvacuateTime) == 0);
  CHECK(refusals() == 0);
  CHECK(isUsed(0, 1, EvacuateTime));
}

// Guards against calls between two evacuations that follow each other within the time in which no
// node has resumed.
TEST_CASE_METHOD(EvacuationFixture, "mesh_evacuation_again_at_once_sends_nothing_in_between") {
  evacuate("z");
  CHECK(callFor(EvacuateTime) == 0);
  REQUIRE(isAt(true, true));
  const std::size_t Before = arrivalsAt(0) + arrivalsAt(1);
  std::vector<ReplyPtr> Replies;
  for (int Round = 0; Round < 3; ++Round) {
    end("z");
    evacuate("z");
    for (std::size_t Node = 0; Node < ServerCount; ++Node)
      Replies.push_back(sendTo(Node, "/once/x"));
    wait(milliseconds(100));
  }
  REQUIRE(isAt(true, true));
  REQUIRE(runUntil([&] {
    return std::all_of(Replies.begin(), Replies.end(),
                       [](const ReplyPtr &Item) { return Item->status() == 200; });
  }));
  CHECK(arrivalsAt(0) + arrivalsAt(1) == Before);
}
