#include "mesh_backend_fixture.h"
#include "node/clock.h"

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

/// Servers 0 and 1 are in the region "r", servers 2 and 3 in "q".
struct RegionFixture : MeshBackendFixture {
  static constexpr std::size_t Near = 2;
  const json All_;
  const json OnlyR_ = json::array({"r"});
  const json OnlyQ_ = json::array({"q"});

  RegionFixture() : MeshBackendFixture(Near) {}

  /// Stores a configuration in which the route "/safe/" and the only team have allowed regions.
  static void putRegions(standin::PlatformStore &Store, std::uint64_t Version, const json &Route,
                         const json &Team = {}, bool Open = true, double TeamRate = 1000) {
    const json Columns{"Name",   "Host",        "Prefix",   "Kind",          "Service",
                       "Public", "MaxAttempts", "Priority", "AllowedRegions"};
    const json Rows =
        json::array({{"/safe/", "a.example", "/safe/", "safe", "s", Open, 3, 2, Route},
                     {"/once/", "a.example", "/once/", "unsafe", "s", Open, 3, 2, nullptr}});
    const json TeamColumns{"Name", "ApiKeys", "RatePerS", "Burst", "AllowedRegions"};
    Store.put("op/config",
              json{{"Version", Version},
                   {"Routes", {{"Columns", Columns}, {"Rows", Rows}}},
                   {"Tenants",
                    {{"Columns", TeamColumns},
                     {"Rows", json::array({{"t", {"key"}, TeamRate, TeamRate, Team}})}}}}
                  .dump());
  }
  bool isInForce(std::uint64_t Version, std::size_t From = 0) {
    return runUntil([&] {
      for (std::size_t Index = From; Index < ServerCount; ++Index)
        if (versionOf(hostOf(Index)) != Version)
          return false;
      return true;
    });
  }
  std::size_t arrivalsIn(std::size_t First, std::size_t Last) const {
    std::size_t Result = 0;
    for (std::size_t Index = First; Index < Last; ++Index)
      Result += Backends_[Index]->arrivals().size();
    return Result;
  }
  std::size_t arrivalsInR() const { return arrivalsIn(0, Near); }
  std::size_t arrivalsInQ() const { return arrivalsIn(Near, ServerCount); }
  /// Counts the arrivals of a request at the servers from First to before Last.
  std::size_t runsIn(std::size_t First, std::size_t Last, const std::string &Target) const {
    std::size_t Result = 0;
    for (std::size_t Index = First; Index < Last; ++Index)
      Result += Backends_[Index]->runsOf(Target);
    return Result;
  }
  std::size_t runsInR(const std::string &Target) const { return runsIn(0, Near, Target); }
  std::size_t runsInQ(const std::string &Target) const { return runsIn(Near, ServerCount, Target); }
  /// Sends first attempts that earn one retry at a node, and lets the servers be slow afterwards.
  void earnRetry(std::size_t Index) {
    std::vector<ReplyPtr> Earlier;
    for (std::size_t Number = 0; Number < 160; ++Number)
      Earlier.push_back(sendTo(Index, "/once/" + std::to_string(Number)));
    REQUIRE(runUntil([&] {
      return std::all_of(Earlier.begin(), Earlier.end(),
                         [](const ReplyPtr &Item) { return Item->Ended_; });
    }));
    for (const auto &Server : Backends_)
      Server->ServeTime_ = 1500ms;
  }
  /// Repeats a request every 20 ms until it gets a status, as the shares of a team begin some time
  /// after the nodes. Without a pause, a fast machine uses up the rate of the team and the
  /// connections of the node.
  bool getsStatus(unsigned Status, const std::string &Target) {
    for (int Number = 0; Number < 250; ++Number) {
      if (call(0, Target)->status() == Status)
        return true;
      wait(20ms);
    }
    return false;
  }
  /// Ends a server for good.
  void endServer(std::size_t Index) {
    Backends_[Index]->RestartAfter_ = 1h;
    Backends_[Index]->crash();
    Store_.remove("servers/" + Backends_[Index]->id());
  }
  bool isListed(std::size_t Index) {
    const json State = stateOf(hostOf(0));
    for (const json &Server : State.at("fleet_state").at("servers"))
      if (Server.at("id") == Backends_[Index]->id())
        return true;
    return false;
  }
};

/// The nodes of the region "r" have an event loop of their own, and are destroyed before it.
struct RegionCutFixture : RegionFixture {
  boost::asio::io_context Cut_;

  RegionCutFixture() = default;
  ~RegionCutFixture() {
    for (std::size_t Index = 0; Index < Near; ++Index)
      Nodes_[Index].reset();
  }
  RegionCutFixture(const RegionCutFixture &) = delete;
  RegionCutFixture &operator=(const RegionCutFixture &) = delete;
};

} // namespace

// Guards against first attempts or retries that leave the allowed regions when servers lose their
// connections or end.
TEST_CASE_METHOD(RegionFixture, "mesh_regions_retries_after_losses_stay_in_allowed_regions") {
  putRegions(Store_, 4, OnlyR_);
  REQUIRE(isInForce(4));
  std::vector<ReplyPtr> Replies;
  for (int Round = 0; Round < 6; ++Round) {
    for (std::size_t Number = 0; Number < 12; ++Number)
      Replies.push_back(sendTo(Number, "/safe/" + std::to_string(Replies.size())));
    wait(20ms);
    if (Round % 2 == 0)
      Backends_[static_cast<std::size_t>(Round / 2) % Near]->dropConnections();
    else
      Backends_[static_cast<std::size_t>(Round / 2) % Near]->crash();
    wait(80ms);
  }
  REQUIRE(runUntil([&] {
    return std::all_of(Replies.begin(), Replies.end(),
                       [](const ReplyPtr &Item) { return Item->Ended_; });
  }));
  std::uint64_t Retries = 0;
  for (std::size_t Index = 0; Index < ServerCount; ++Index)
    Retries += stateOf(hostOf(Index)).at("metrics").at("retries").get<std::uint64_t>();
  CHECK(Retries > 0);
  CHECK(arrivalsInR() > 0);
  CHECK(arrivalsInQ() == 0);
}

// Guards against a request that is sent to another region, or gets a reason that hides the cause,
// when its regions have no server.
TEST_CASE_METHOD(RegionFixture, "mesh_regions_without_allowed_server_refuse_by_name") {
  putRegions(Store_, 4, OnlyQ_);
  REQUIRE(isInForce(4));
  CHECK(call(0, "/safe/first")->status() == 200);
  const std::size_t Before = arrivalsInR();
  endServer(2);
  endServer(3);
  REQUIRE(runUntil([&] { return !isListed(2) && !isListed(3); }));
  const ReplyPtr Refused = call(0, "/safe/a");
  CHECK(Refused->status() == 503);
  CHECK_FALSE(Refused->header("Retry-After").empty());
  CHECK(arrivalsInR() == Before);
  CHECK(call(0, "/once/b", "b")->status() == 200);
  const json Metrics = stateOf(hostOf(0)).at("metrics");
  CHECK(Metrics.at("outcomes").at("no_allowed_server") == 1);
  CHECK(Metrics.at("no_allowed_server_by_route").at("/safe/") == 1);
}

// Guards against a team's regions that are ignored, and against regions without a common one that
// are taken for no restriction.
TEST_CASE_METHOD(RegionFixture, "mesh_regions_of_route_and_team_both_apply") {
  putRegions(Store_, 4, All_, OnlyQ_, false);
  REQUIRE(isInForce(4));
  REQUIRE(getsStatus(200, "/safe/team"));
  CHECK(arrivalsInR() == 0);
  putRegions(Store_, 5, OnlyR_, OnlyQ_, false);
  REQUIRE(isInForce(5));
  const std::size_t Before = arrivalsInQ();
  CHECK(call(0, "/safe/none")->status() == 503);
  CHECK(arrivalsInR() == 0);
  CHECK(arrivalsInQ() == Before);
}

// Guards against requests that are refused without having run and use up the rate of their team, so
// that requests which could run are refused as over it.
TEST_CASE_METHOD(RegionFixture, "mesh_regions_refused_requests_leave_rate_of_team") {
  putRegions(Store_, 4, OnlyR_, OnlyQ_, false, 2);
  REQUIRE(isInForce(4));
  REQUIRE(getsStatus(503, "/safe/start"));
  for (int Number = 0; Number < 12; ++Number)
    CHECK(call(0, "/safe/" + std::to_string(Number))->status() == 503);
  CHECK(stateOf(hostOf(0)).at("team_shares").at("tokens_returned").get<std::uint64_t>() >= 12);
}

// Guards against retries by the configuration with which the request started.
TEST_CASE_METHOD(RegionFixture, "mesh_regions_change_between_attempts_moves_retry") {
  putRegions(Store_, 4, OnlyR_);
  REQUIRE(isInForce(4));
  earnRetry(2);
  const ReplyPtr Moved = sendTo(2, "/safe/moved", "", 5s);
  REQUIRE(runUntil([&] { return runsInR("/safe/moved") == 1; }));
  putRegions(Store_, 5, OnlyQ_);
  REQUIRE(isInForce(5));
  Backends_[0]->dropConnections();
  Backends_[1]->dropConnections();
  REQUIRE(runUntil([&] { return Moved->Ended_; }));
  CHECK(Moved->status() == 200);
  CHECK(runsInR("/safe/moved") == 1);
  CHECK(runsInQ("/safe/moved") == 1);
}

// Guards against a route that leaves the configuration while a request runs, whose retry may then
// go anywhere.
TEST_CASE_METHOD(RegionFixture, "mesh_regions_of_vanished_route_hold_for_running_request") {
  putRegions(Store_, 4, OnlyQ_);
  REQUIRE(isInForce(4));
  earnRetry(0);
  const ReplyPtr Running = sendTo(0, "/safe/gone", "", 5s);
  REQUIRE(runUntil([&] { return runsInQ("/safe/gone") == 1; }));
  putConfig(Store_, 5, {"/else/"});
  REQUIRE(isInForce(5));
  Backends_[2]->dropConnections();
  Backends_[3]->dropConnections();
  REQUIRE(runUntil([&] { return Running->Ended_; }));
  CHECK(Running->status() == 200);
  CHECK(runsInR("/safe/gone") == 0);
  CHECK(runsInQ("/safe/gone") == 2);
}

// Guards against a server that runs a request which the newer configuration of its node does not
// allow there, and against an entry node that gives up instead of trying another region.
TEST_CASE_METHOD(RegionFixture, "mesh_regions_gate_with_newer_configuration_refuses") {
  // Node 0 reads from a store that stays behind, and its own server has ended.
  const std::uint16_t Port = freePort();
  standin::PlatformStore Behind(Io_, {"127.0.0.1", Port});
  REQUIRE(Behind.start().ok());
  endServer(0);
  for (std::size_t Index = 1; Index < ServerCount; ++Index)
    Behind.put(
        "servers/" + Backends_[Index]->id(),
        json{{"Address", hostOf(Index) + ":" + std::to_string(BackendPort_)},
             {"Info", {{"Service", "s"}, {"Zone", Index < Near ? "z" : "far"}, {"Slots", 9}}},
             {"Status", {{"State", "ready"}, {"ColdRemainingMs", 0}}},
             {"born", 1}}
            .dump());
  putRegions(Behind, 4, All_);
  putRegions(Store_, 4, All_);
  REQUIRE(isInForce(4));
  restartNode(0, hostOf(0), Port);
  REQUIRE(runUntil([&] { return statusOf(hostOf(0), "/other/") == 404; }));
  wait(3s); // until its queries after the start have ended
  putRegions(Store_, 5, OnlyQ_);
  REQUIRE(isInForce(5, 1));
  REQUIRE(versionOf(hostOf(0)) == 4);
  CHECK(call(0, "/safe/moved")->status() == 200);
  CHECK(arrivalsInR() == 0);
  CHECK(arrivalsInQ() == 1);
  CHECK(stateOf(hostOf(1)).at("backend_gate").at("refused_by_region") == 1);
  Behind.stop();
}

// Guards against a call that waits at a node and is sent to its server although the configuration
// has excluded the region meanwhile, or is refused to its caller.
TEST_CASE_METHOD(RegionFixture, "mesh_regions_change_while_call_waits_moves_it") {
  putRegions(Store_, 4, OnlyR_);
  REQUIRE(isInForce(4));
  endServer(1);
  Backends_[0]->Slots_ = 1;
  Backends_[0]->announce();
  REQUIRE(runUntil(
      [&] { return !isListed(1) && stateOf(hostOf(0)).at("backend_gate").at("limit") == 1; }));
  // Answered below, when the new configuration is in force everywhere.
  std::vector<std::function<void()>> Answers;
  Backends_[0]->Work_ = [&](const node::HttpRequest &, std::function<void()> Answer) {
    Answers.push_back(std::move(Answer));
  };
  const ReplyPtr Running = sendTo(2, "/safe/running", "", 8s);
  REQUIRE(runUntil([&] { return !Answers.empty(); }));
  const ReplyPtr Waiting = sendTo(2, "/safe/waiting", "", 8s);
  REQUIRE(runUntil([&] { return stateOf(hostOf(0)).at("backend_gate").at("waiting") == 1; }));
  putRegions(Store_, 5, OnlyQ_);
  REQUIRE(isInForce(5));
  Answers.front()();
  REQUIRE(runUntil([&] { return Running->Ended_ && Waiting->Ended_; }));
  CHECK(Running->status() == 200);
  CHECK(Waiting->status() == 200);
  CHECK(runsInR("/safe/waiting") == 0);
  CHECK(runsInQ("/safe/waiting") == 1);
  CHECK(stateOf(hostOf(0)).at("backend_gate").at("refused_by_region") == 1);
}

// Guards against a call that runs in a region because its nodes were cut off when the configuration
// excluded the region, and against one that leaves its regions because their nodes are cut off.
TEST_CASE_METHOD(RegionCutFixture, "mesh_regions_change_while_link_is_cut_keeps_call_back") {
  putRegions(Store_, 4, OnlyR_);
  REQUIRE(isInForce(4));
  // The nodes of the region listen, but open no link until their event loop runs.
  for (std::size_t Index = 0; Index < Near; ++Index)
    restartNode(Index, hostOf(Index), std::nullopt, &Cut_);
  const ReplyPtr Held = sendTo(2, "/safe/held", "", 5s);
  wait(500ms);
  CHECK(arrivalsInR() + arrivalsInQ() == 0);
  putRegions(Store_, 5, OnlyQ_);
  REQUIRE(isInForce(5, Near));
  OtherLoops_ = {&Cut_};
  CHECK(runUntil([&] { return Held->Ended_; }));
  CHECK(isInForce(5));
  CHECK(call(2, "/safe/later")->status() == 200);
  CHECK(arrivalsInR() == 0);
  CHECK(runsInQ("/safe/later") == 1);
  // Whether it moved or was refused as not run depends on when the attempt gave up the link.
  CHECK((Held->status() == 200 || Held->status() == 503));
  CHECK(runsInQ("/safe/held") == (Held->status() == 200 ? 1 : 0));
}

// Guards against a configuration with an unknown region that replaces the one in force, and against
// a node that restarts and does not ask its peers for that one.
TEST_CASE_METHOD(RegionFixture, "mesh_regions_unknown_region_keeps_configuration_in_force") {
  putRegions(Store_, 4, OnlyQ_);
  REQUIRE(isInForce(4));
  putRegions(Store_, 5, json::array({"q", "nowhere"}));
  REQUIRE(
      runUntil([&] { return stateOf(hostOf(1)).at("fleet_state").at("refused_version") == 5; }));
  CHECK(isInForce(4));
  CHECK(call(0, "/safe/a")->status() == 200);
  restartNode(1, hostOf(1));
  CHECK(isInForce(4));
  CHECK(call(1, "/safe/b")->status() == 200);
  CHECK(arrivalsInR() == 0);
}

// Guards against an error that does not name the place, and against a configuration of a peer that
// is not checked.
TEST_CASE("fleet_state_unknown_region_is_typed_error_and_changes_nothing") {
  node::Settings Settings;
  Settings.Mesh_.emplace();
  Settings.Mesh_->Regions_ = {{"z", "r"}};
  node::EventLog Log("test");
  node::FleetState Fleet(Settings, Log);
  FleetConfig Config;
  Config.Version_ = 3;
  Config.Document_ = "op/config";
  Config.Teams_.emplace_back();
  Config.Teams_.back().Spec_.Name_ = TeamId("t");
  Config.Teams_.back().AllowedRegions_ = {RegionId("r")};
  REQUIRE(Fleet.apply(Config).ok());
  Config.Version_ = 4;
  Config.Teams_.back().AllowedRegions_->insert(RegionId("nowhere"));
  const auto Detail = errorDetail(Fleet.apply(Config));
  REQUIRE(Detail);
  CHECK(Detail->Code_ == ErrorCode::UnknownReference);
  CHECK(Detail->Source_ == "op/config");
  CHECK(Detail->Path_ == "Tenants.t.AllowedRegions");
  CHECK(Fleet.version() == 3);
  // Another node that has it, by other settings, must not make this one ask again and again.
  Fleet.noteKnowledge({{}, 4});
  CHECK(Fleet.received().Version_ == 4);
  Fleet.noteConfirmed(node::now(), 1s, {});
  CHECK_FALSE(Fleet.needsPeers(node::now()));
}
