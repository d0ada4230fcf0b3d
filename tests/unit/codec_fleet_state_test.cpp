#include "mesh/codec_fleet_state.h"

#include <catch2/catch.hpp>

using namespace bronzestand;
using namespace bronzestand::node;
using nlohmann::json;

namespace {

FleetStateReply roundTrip(const FleetStateReply &In) {
  const json Text = json::from_cbor(json::to_cbor(encodeFleetState(In)));
  return std::get<FleetStateReply>(decodeFleetState(Text));
}

FleetConfig sampleConfig() {
  FleetConfig Config;
  Config.Version_ = 7;
  FleetRoute Split;
  Split.Name_ = "r-1";
  Split.HostName_ = "a.example";
  Split.Prefix_ = "/x/";
  Split.Parts_ = {{ServiceId("s1"), 90.0}, {ServiceId("s2"), 10.0}};
  Split.Idempotent_ = true;
  Split.Timeout_ = std::chrono::milliseconds(1200);
  Split.Objective_ = std::chrono::milliseconds(1500);
  Split.Rank_ = 2;
  Split.MaxRuns_ = 3;
  FleetRoute Plain;
  Plain.Name_ = "r-2";
  Plain.Parts_ = {{ServiceId("s3"), 1.0}};
  Plain.Open_ = true;
  Config.Routes_ = {Split, Plain};
  FleetTeam Team;
  Team.Spec_ = {TeamId("t1"), 40.0, 50.0, {{"id-1", "hash-1", false}, {"id-2", "hash-2", true}}};
  Team.Rank_ = 4;
  FleetTeam Unranked;
  Unranked.Spec_.Name_ = TeamId("t2");
  Config.Teams_ = {Team, Unranked};
  Config.Services_[ServiceId("s1")].MaxConnections_ = 316;
  Config.Services_[ServiceId("s2")] = {520, "/health", std::chrono::milliseconds(3000), 13.5};
  Config.Routes_[0].AllowedRegions_.emplace({RegionId("western")});
  Config.Teams_[0].AllowedRegions_.emplace({RegionId("western"), RegionId("southern")});
  Config.Limits_ = {8192, 1000, std::chrono::milliseconds(3000), std::chrono::milliseconds(15'000)};
  return Config;
}

} // namespace

// Guards against a field of the configuration that is lost between nodes.
TEST_CASE("codec_fleet_state_config_round_trip_keeps_all_fields") {
  FleetStateReply Reply;
  Reply.Position_ = {2, 31};
  Reply.Confirmed_ = true;
  Reply.Config_ = sampleConfig();
  const FleetStateReply Decoded = roundTrip(Reply);
  CHECK(Decoded.Position_ == StorePosition{2, 31});
  CHECK(Decoded.Confirmed_);
  CHECK_FALSE(Decoded.Servers_);
  REQUIRE(Decoded.Config_);
  const FleetConfig &Config = *Decoded.Config_;
  CHECK(Config.Version_ == 7);
  REQUIRE(Config.Routes_.size() == 2);
  const FleetRoute &Split = Config.Routes_[0];
  CHECK(Split.Name_ == "r-1");
  CHECK(Split.HostName_ == "a.example");
  CHECK(Split.Prefix_ == "/x/");
  REQUIRE(Split.Parts_.size() == 2);
  CHECK(Split.Parts_[0].Service_.str() == "s1");
  CHECK(Split.Parts_[1].Weight_ == 10.0);
  CHECK(Split.Idempotent_);
  CHECK(Split.Timeout_ == std::chrono::milliseconds(1200));
  CHECK(Split.Objective_ == std::chrono::milliseconds(1500));
  CHECK(Split.Rank_ == 2);
  CHECK(Split.MaxRuns_ == 3);
  CHECK_FALSE(Split.Open_);
  CHECK(Config.Routes_[1].Open_);
  CHECK_FALSE(Config.Routes_[1].Idempotent_);
  REQUIRE(Config.Teams_.size() == 2);
  const FleetTeam &Team = Config.Teams_[0];
  CHECK(Team.Spec_.Name_.str() == "t1");
  CHECK(Team.Spec_.Rate_ == 40.0);
  CHECK(Team.Spec_.Burst_ == 50.0);
  REQUIRE(Team.Spec_.Keys_.size() == 2);
  CHECK(Team.Spec_.Keys_[0].Id_ == "id-1");
  CHECK(Team.Spec_.Keys_[0].Hash_ == "hash-1");
  CHECK(Team.Spec_.Keys_[1].Withdrawn_);
  CHECK(Team.Rank_ == 4U);
  CHECK_FALSE(Config.Teams_[1].Rank_);
  CHECK(Config.Services_.at(ServiceId("s1")).MaxConnections_ == 316);
  const ServiceSettings &Service = Config.Services_.at(ServiceId("s2"));
  CHECK(Service.MaxConnections_ == 520);
  CHECK(Service.HealthPath_ == "/health");
  CHECK(Service.ColdStart_ == std::chrono::milliseconds(3000));
  CHECK(Service.ColdRate_ == 13.5);
  CHECK(Config.Routes_[0].AllowedRegions_ == AllowedRegions({RegionId("western")}));
  CHECK_FALSE(Config.Routes_[1].AllowedRegions_);
  CHECK(Config.Teams_[0].AllowedRegions_->size() == 2);
  CHECK_FALSE(Config.Teams_[1].AllowedRegions_);
  CHECK(Config.Limits_.HeaderBytes_ == 8192);
  CHECK(Config.Limits_.BodyBytes_ == 1000);
  CHECK(Config.Limits_.HeaderTimeout_ == std::chrono::milliseconds(3000));
  CHECK(Config.Limits_.IdleTimeout_ == std::chrono::milliseconds(15'000));
}

// Guards against a field of a server that is lost between nodes.
TEST_CASE("codec_fleet_state_servers_round_trip_keeps_all_fields") {
  BackendServer Server;
  Server.Id_ = "i-1";
  Server.Host_ = HostId("10.0.0.1");
  Server.Port_ = 8080;
  Server.Service_ = ServiceId("s");
  Server.DataCentre_ = DataCentreId("z");
  Server.Slots_ = 36;
  Server.StartedMs_ = 1'700'000'000'123;
  Server.ColdFor_ = std::chrono::milliseconds(250);
  Server.Leaving_ = true;
  FleetStateReply Reply;
  Reply.Servers_ = std::vector<BackendServer>{Server};
  Reply.Missing_ = {"i-1"};
  const FleetStateReply Decoded = roundTrip(Reply);
  CHECK_FALSE(Decoded.Config_);
  REQUIRE(Decoded.Servers_);
  REQUIRE(Decoded.Servers_->size() == 1);
  const BackendServer &Out = Decoded.Servers_->front();
  CHECK(Out.Id_ == "i-1");
  CHECK(Out.Host_ == Server.Host_);
  CHECK(Out.Port_ == 8080);
  CHECK(Out.Service_ == Server.Service_);
  CHECK(Out.DataCentre_ == Server.DataCentre_);
  CHECK(Out.Slots_ == 36);
  CHECK(Out.StartedMs_ == Server.StartedMs_);
  CHECK(Out.ColdFor_ == Server.ColdFor_);
  CHECK(Out.Leaving_);
  CHECK(Decoded.Missing_ == std::vector<std::string>{"i-1"});
}

// Guards against an evacuation that is lost between nodes, and against messages of fleets without
// one that nodes of the previous build would not read.
TEST_CASE("codec_fleet_state_evacuated_data_centres_are_appended_if_any") {
  FleetStateReply Reply;
  Reply.Position_ = {2, 31};
  Reply.Servers_.emplace();
  CHECK(encodeFleetState(Reply) == json::parse("[1,2,31,false,null,[],[]]"));
  CHECK(roundTrip(Reply).Evacuated_.empty());
  Reply.Evacuated_ = {DataCentreId("east"), DataCentreId("west")};
  CHECK(roundTrip(Reply).Evacuated_ == Reply.Evacuated_);
}

// Guards against a field of the messages of readers that is lost, against a follower that a node of
// the previous build does not understand, and against notices that cost more than planned.
TEST_CASE("codec_fleet_state_messages_of_readers_round_trip") {
  const auto Decode = [](const FleetStateBody &In) {
    return decodeFleetState(json::from_cbor(json::to_cbor(encodeFleetState(In))));
  };
  CHECK(encodeFleetState(FleetFollow{{{2, 31}, 7}, {5}}) == json::parse("[0,2,31,7,5]"));
  CHECK(std::get<FleetFollow>(Decode(FleetFollow{{{2, 31}, 7}, {5}})).Follow_.Sequence_ == 5);
  const ReaderNotice Notice{
      ReaderState::Lost, {2, 31}, 40, std::chrono::milliseconds(1510), 5, false};
  const auto Out = std::get<ReaderNotice>(Decode(Notice));
  CHECK(Out.State_ == ReaderState::Lost);
  CHECK(Out.Known_ == Notice.Known_);
  CHECK(Out.Checked_ == 40);
  CHECK(Out.ResponseAge_ == Notice.ResponseAge_);
  CHECK(Out.Echo_ == 5);
  CHECK_FALSE(Out.Trusted_);
  CHECK(json::to_cbor(encodeFleetState(Notice)).size() <= 16);
  FleetChange Change;
  Change.From_ = {2, 31};
  Change.To_ = {2, 33};
  Change.Config_ = sampleConfig();
  BackendServer Server;
  Server.Id_ = "i-1";
  Change.put(Server);
  Change.remove("i-2");
  Change.Evacuated_ = {{DataCentreId("east"), true}, {DataCentreId("west"), false}};
  const auto Changed = std::get<FleetChange>(Decode(Change));
  CHECK(Changed.From_ == Change.From_);
  CHECK(Changed.To_ == Change.To_);
  CHECK(Changed.Config_->Version_ == 7);
  CHECK(Changed.Servers_.count("i-1") == 1);
  CHECK(Changed.Removed_ == Change.Removed_);
  CHECK(Changed.Evacuated_ == Change.Evacuated_);
}

// Guards against a malformed message that ends the node or is taken as a state.
TEST_CASE("codec_fleet_state_malformed_message_is_rejected") {
  for (const char *Text :
       {"[]", "[2,1,1,1]", "[0,1]", "[0,1,1,\"x\"]", "[1,1,1,true,[1],null]",
        "[1,1,1,true,null,[[1]]]", "[1,1,1,true,null,[],[],[1]]", "[1,1,1,1,null,null]", "{}",
        "[0,1,1,1,24]", "[2,1,1,3,true,0,1,5]", "[2,1,1,0,true,0,1,-5]", "[2,1,1,0,true,0,99,5]",
        "[3,1,2,1,true,null,[[1]],[],[]]"})
    CHECK_THROWS_AS(decodeFleetState(json::parse(Text)), json::exception);
}
