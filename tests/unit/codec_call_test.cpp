#include "node/codec_call.h"

#include <catch2/catch.hpp>

using namespace bronzestand;
using nlohmann::json;

namespace {

std::vector<CrashRecord> makeCrashes() {
  return {{HostId("cat-1"), 1, true}, {HostId("cat-2"), 2, false}};
}

} // namespace

// Guards against a server that is leaving and of which other nodes are not told.
TEST_CASE("codec_answer_carries_leaving_server") {
  Answer Result;
  CHECK(!json(Result).get<Answer>().ServerLeaving_);
  Result.ServerLeaving_ = true;
  CHECK(json(Result).get<Answer>().ServerLeaving_);
}

// Guards against a limit of a backend server that is lost between nodes, and against a call or a
// load of an earlier build that is refused.
TEST_CASE("codec_call_carries_server_rate") {
  Call Request;
  CHECK(json(Request).get<Call>().ServerRate_ == 0.0);
  Request.ServerRate_ = 3.5;
  CHECK(json(Request).get<Call>().ServerRate_ == 3.5);
  BackendLoad Load;
  CHECK(json(Load).size() == 6);
  CHECK(json(Load).get<BackendLoad>().Rate_ == 0.0);
  Load.Rate_ = 18.2;
  Load.RateWait_ = std::chrono::milliseconds(7);
  CHECK(json(Load).get<BackendLoad>().Rate_ == 18.2);
  CHECK(json(Load).get<BackendLoad>().RateWait_ == std::chrono::milliseconds(7));
}

// Guards against failing servers that are not told between nodes, and against an answer of an
// earlier build, or one that names too many, that is taken.
TEST_CASE("codec_answer_carries_failing_servers") {
  Answer Result;
  CHECK(json(Result).size() == 14);
  Result.Load_.Failing_ = 0.25;
  Result.Failing_ = {{"i-1", 0.5, std::chrono::milliseconds(40)}};
  const auto Decoded = json(Result).get<Answer>();
  CHECK(Decoded.Load_.Failing_ == 0.25);
  CHECK(Decoded.Load_.Rate_ == 0.0);
  CHECK(!Decoded.ServerLeaving_);
  REQUIRE(Decoded.Failing_.size() == 1);
  CHECK(Decoded.Failing_[0].Server_ == "i-1");
  CHECK(Decoded.Failing_[0].Share_ == 0.5);
  CHECK(Decoded.Failing_[0].Age_ == std::chrono::milliseconds(40));
  Result.Failing_.resize(5);
  CHECK_THROWS_AS(json(Result).get<Answer>(), json::exception);
  Call Request;
  CHECK(json(Request).size() == 22);
  Request.Failing_ = Decoded.Failing_;
  CHECK(json(Request).get<Call>().Failing_.size() == 1);
  CHECK(json(Request).get<Call>().ServerRate_ == 0.0);
}

// Guards against crashes that are lost between nodes, and against a call or an answer of an earlier
// build that is refused.
TEST_CASE("codec_call_carries_crashes") {
  Call Request;
  Request.Crashes_ = makeCrashes();
  json Encoded = Request;
  CHECK(Encoded.get<Call>().Crashes_.size() == 2);
  Encoded.erase(Encoded.size() - 1);
  CHECK(Encoded.get<Call>().Crashes_.empty());
  Answer Result;
  Result.Crashes_ = makeCrashes();
  Encoded = Result;
  REQUIRE(Encoded.get<Answer>().Crashes_.size() == 2);
  CHECK(Encoded.get<Answer>().Crashes_[0].OnlySuspect_);
  Encoded.erase(Encoded.size() - 1);
  CHECK(Encoded.get<Answer>().Crashes_.empty());
}

// Builds without these fields, and calls that do not need them, keep the earlier form.
TEST_CASE("codec_call_carries_standing_of_its_root") {
  Call Sent;
  const std::size_t Plain = json(Sent).size();
  RootStanding Root;
  Root.ClassRank_ = 254;
  Root.Place_ = 17;
  Root.Team_ = TeamId("t");
  Root.Repeated_ = true;
  Sent.Root_ = Root;
  const json Frame = Sent;
  CHECK(Frame.size() > Plain);
  const auto Received = Frame.get<Call>();
  REQUIRE(Received.Root_);
  CHECK(Received.Root_->ClassRank_ == 254);
  CHECK(Received.Root_->Place_ == 17);
  CHECK(Received.Root_->Team_ == TeamId("t"));
  CHECK(Received.Root_->Repeated_);
  CHECK_FALSE(json(Call()).get<Call>().Root_);
}

TEST_CASE("codec_answer_carries_pace_and_room") {
  Answer Sent;
  Sent.Load_.Pace_ = 1.5;
  Sent.Load_.CalleeShed_ = 0.5;
  RouteState State;
  State.Class_ = ClassId("c");
  State.Room_ = 0.25;
  Sent.Routes_ = {State};
  const auto Received = json(Sent).get<Answer>();
  CHECK(Received.Load_.Pace_ == Approx(1.5));
  CHECK(Received.Load_.CalleeShed_ == Approx(0.5));
  REQUIRE(Received.Routes_.size() == 1);
  CHECK(Received.Routes_[0].Room_ == Approx(0.25));
  const auto Plain = json(Answer()).get<Answer>();
  CHECK(Plain.Load_.Pace_ == 1.0);
  CHECK(Plain.Load_.CalleeShed_ == 0.0);
}

// Guards against nodes that measure a room of their own while others know that servers are full,
// and against states that earlier builds do not send.
TEST_CASE("codec_route_state_servers_are_full_is_carried") {
  RouteState State;
  State.Class_ = ClassId("c");
  State.Room_ = 0.25;
  State.Limit_ = ClassId("d");
  CHECK_FALSE(json(State).get<RouteState>().Full_);
  CHECK(json(State).size() == 9);
  State.Full_ = true;
  CHECK(json(State).get<RouteState>().Full_);
}
