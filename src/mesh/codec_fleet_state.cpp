#include "mesh/codec_fleet_state.h"

#include "node/codec_call.h"

namespace bronzestand::node {
namespace {

using nlohmann::json;

enum class Form : std::uint8_t { Query, Reply };

Duration durationOf(const json &In) { return Duration(In.get<Duration::rep>()); }

json encode(const FleetRoute &In) {
  json Parts = json::array();
  for (const TrafficPart &Part : In.Parts_)
    Parts.push_back({Part.Service_, Part.Weight_});
  return json::array({In.Name_, In.HostName_, In.Prefix_, std::move(Parts), In.Idempotent_,
                      In.Timeout_.count(), In.Objective_.count(), In.Rank_, In.MaxRuns_, In.Open_});
}

FleetRoute decodeRoute(const json &In) {
  FleetRoute Out;
  In.at(0).get_to(Out.Name_);
  In.at(1).get_to(Out.HostName_);
  In.at(2).get_to(Out.Prefix_);
  for (const json &Part : In.at(3))
    Out.Parts_.push_back({Part.at(0).get<ServiceId>(), Part.at(1).get<double>()});
  if (Out.Parts_.empty())
    throw json::out_of_range::create(401, "route without a service", &In);
  In.at(4).get_to(Out.Idempotent_);
  Out.Timeout_ = durationOf(In.at(5));
  Out.Objective_ = durationOf(In.at(6));
  In.at(7).get_to(Out.Rank_);
  In.at(8).get_to(Out.MaxRuns_);
  In.at(9).get_to(Out.Open_);
  return Out;
}

json encode(const FleetTeam &In) {
  json Keys = json::array();
  for (const KeySpec &Key : In.Spec_.Keys_)
    Keys.push_back({Key.Id_, Key.Hash_, Key.Withdrawn_});
  return json::array({In.Spec_.Name_, In.Spec_.Rate_, In.Spec_.Burst_, std::move(Keys),
                      In.Rank_ ? json(*In.Rank_) : json()});
}

FleetTeam decodeTeam(const json &In) {
  FleetTeam Out;
  In.at(0).get_to(Out.Spec_.Name_);
  In.at(1).get_to(Out.Spec_.Rate_);
  In.at(2).get_to(Out.Spec_.Burst_);
  for (const json &Key : In.at(3))
    Out.Spec_.Keys_.push_back(
        {Key.at(0).get<std::string>(), Key.at(1).get<std::string>(), Key.at(2).get<bool>()});
  if (!In.at(4).is_null())
    Out.Rank_ = In.at(4).get<std::uint32_t>();
  return Out;
}

json encode(const CallerLimits &In) {
  return json::array(
      {In.HeaderBytes_, In.BodyBytes_, In.HeaderTimeout_.count(), In.IdleTimeout_.count()});
}

CallerLimits decodeLimits(const json &In) {
  CallerLimits Out;
  In.at(0).get_to(Out.HeaderBytes_);
  In.at(1).get_to(Out.BodyBytes_);
  Out.HeaderTimeout_ = std::chrono::milliseconds(In.at(2).get<std::int64_t>());
  Out.IdleTimeout_ = std::chrono::milliseconds(In.at(3).get<std::int64_t>());
  return Out;
}

json encode(const FleetConfig &In) {
  json Routes = json::array();
  for (const FleetRoute &Route : In.Routes_)
    Routes.push_back(encode(Route));
  json Teams = json::array();
  for (const FleetTeam &Team : In.Teams_)
    Teams.push_back(encode(Team));
  json Connections = json::array();
  for (const auto &[Service, Count] : In.MaxConnections_)
    Connections.push_back({Service, Count});
  return json::array({In.Version_, std::move(Routes), std::move(Teams), std::move(Connections),
                      encode(In.Limits_)});
}

FleetConfig decodeConfig(const json &In) {
  FleetConfig Out;
  In.at(0).get_to(Out.Version_);
  for (const json &Route : In.at(1))
    Out.Routes_.push_back(decodeRoute(Route));
  for (const json &Team : In.at(2))
    Out.Teams_.push_back(decodeTeam(Team));
  for (const json &Item : In.at(3))
    Out.MaxConnections_[Item.at(0).get<ServiceId>()] = Item.at(1).get<std::uint32_t>();
  Out.Limits_ = decodeLimits(In.at(4));
  return Out;
}

json encode(const BackendServer &In) {
  return json::array({In.Id_, In.Host_, In.Port_, In.Service_, In.DataCentre_, In.Slots_,
                      In.StartedMs_, In.ColdFor_.count(), In.Leaving_});
}

BackendServer decodeServer(const json &In) {
  BackendServer Out;
  In.at(0).get_to(Out.Id_);
  In.at(1).get_to(Out.Host_);
  In.at(2).get_to(Out.Port_);
  In.at(3).get_to(Out.Service_);
  In.at(4).get_to(Out.DataCentre_);
  In.at(5).get_to(Out.Slots_);
  In.at(6).get_to(Out.StartedMs_);
  Out.ColdFor_ = durationOf(In.at(7));
  In.at(8).get_to(Out.Leaving_);
  return Out;
}

json encode(const std::vector<BackendServer> &In) {
  json Out = json::array();
  for (const BackendServer &Server : In)
    Out.push_back(encode(Server));
  return Out;
}

json encode(const FleetStateQuery &In) {
  return json::array({static_cast<unsigned>(Form::Query), In.Known_.Position_.Era_,
                      In.Known_.Position_.Revision_, In.Known_.Version_});
}

json encode(const FleetStateReply &In) {
  return json::array({static_cast<unsigned>(Form::Reply), In.Position_.Era_, In.Position_.Revision_,
                      In.Confirmed_, In.Config_ ? encode(*In.Config_) : json(),
                      In.Servers_ ? encode(*In.Servers_) : json(), In.Missing_});
}

StorePosition decodePosition(const json &In) {
  return {In.at(1).get<std::uint64_t>(), In.at(2).get<Revision>()};
}

FleetStateReply decodeReply(const json &In) {
  FleetStateReply Out;
  Out.Position_ = decodePosition(In);
  In.at(3).get_to(Out.Confirmed_);
  if (!In.at(4).is_null())
    Out.Config_ = decodeConfig(In.at(4));
  if (In.at(5).is_null())
    return Out;
  Out.Servers_.emplace();
  for (const json &Server : In.at(5))
    Out.Servers_->push_back(decodeServer(Server));
  In.at(6).get_to(Out.Missing_);
  return Out;
}

} // namespace

json encodeFleetState(const FleetStateBody &In) {
  return std::visit([](const auto &Value) { return encode(Value); }, In);
}

FleetStateBody decodeFleetState(const json &In) {
  switch (In.at(0).get<unsigned>()) {
  case static_cast<unsigned>(Form::Query):
    return FleetStateQuery{{decodePosition(In), In.at(3).get<std::uint64_t>()}};
  case static_cast<unsigned>(Form::Reply):
    return decodeReply(In);
  default:
    throw json::out_of_range::create(401, "unknown form", &In);
  }
}

} // namespace bronzestand::node
