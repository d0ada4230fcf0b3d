#include "mesh/codec_fleet_state.h"

#include <algorithm>

#include "node/codec_call.h"

namespace bronzestand::node {
namespace {

using nlohmann::json;

enum class Form : std::uint8_t { Query, Reply, Notice, Change };

/// A notice with a greater age is malformed; a process that was suspended for longer restarts.
constexpr std::chrono::milliseconds MaxAge{std::chrono::hours(24 * 365)};

Duration durationOf(const json &In) { return Duration(In.get<Duration::rep>()); }

// Fields that only some fleets use are appended when they are set, so that the messages of the
// others stay as they are.
void appendRegions(json &Out, const AllowedRegions &In) {
  if (In)
    Out.push_back(*In);
}

AllowedRegions decodeRegions(const json &In, std::size_t Position) {
  if (In.size() <= Position)
    return std::nullopt;
  return In.at(Position).get<std::set<RegionId>>();
}

json encode(const FleetRoute &In) {
  json Parts = json::array();
  for (const TrafficPart &Part : In.Parts_)
    Parts.push_back({Part.Service_, Part.Weight_});
  json Out =
      json::array({In.Name_, In.HostName_, In.Prefix_, std::move(Parts), In.Idempotent_,
                   In.Timeout_.count(), In.Objective_.count(), In.Rank_, In.MaxRuns_, In.Open_});
  appendRegions(Out, In.AllowedRegions_);
  return Out;
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
  Out.AllowedRegions_ = decodeRegions(In, 10);
  return Out;
}

json encode(const FleetTeam &In) {
  json Keys = json::array();
  for (const KeySpec &Key : In.Spec_.Keys_)
    Keys.push_back({Key.Id_, Key.Hash_, Key.Withdrawn_});
  json Out = json::array({In.Spec_.Name_, In.Spec_.Rate_, In.Spec_.Burst_, std::move(Keys),
                          In.Rank_ ? json(*In.Rank_) : json()});
  appendRegions(Out, In.AllowedRegions_);
  return Out;
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
  Out.AllowedRegions_ = decodeRegions(In, 5);
  return Out;
}

json encode(const ServiceId &Name, const ServiceSettings &In) {
  json Out = json::array({Name, In.MaxConnections_});
  if (In.ColdRate_ > 0.0)
    Out.insert(Out.end(), {In.HealthPath_, In.ColdStart_.count(), In.ColdRate_});
  return Out;
}

ServiceSettings decodeService(const json &In) {
  ServiceSettings Out;
  In.at(1).get_to(Out.MaxConnections_);
  if (In.size() <= 2)
    return Out;
  In.at(2).get_to(Out.HealthPath_);
  Out.ColdStart_ = durationOf(In.at(3));
  In.at(4).get_to(Out.ColdRate_);
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
  json Services = json::array();
  for (const auto &[Name, Service] : In.Services_)
    Services.push_back(encode(Name, Service));
  return json::array(
      {In.Version_, std::move(Routes), std::move(Teams), std::move(Services), encode(In.Limits_)});
}

FleetConfig decodeConfig(const json &In) {
  FleetConfig Out;
  In.at(0).get_to(Out.Version_);
  for (const json &Route : In.at(1))
    Out.Routes_.push_back(decodeRoute(Route));
  for (const json &Team : In.at(2))
    Out.Teams_.push_back(decodeTeam(Team));
  for (const json &Item : In.at(3))
    Out.Services_[Item.at(0).get<ServiceId>()] = decodeService(Item);
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
  json Out =
      json::array({static_cast<unsigned>(Form::Reply), In.Position_.Era_, In.Position_.Revision_,
                   In.Confirmed_, In.Config_ ? encode(*In.Config_) : json(),
                   In.Servers_ ? encode(*In.Servers_) : json(), In.Missing_});
  if (!In.Evacuated_.empty())
    Out.push_back(In.Evacuated_);
  return Out;
}

json encode(const FleetFollow &In) {
  json Out = encode(FleetStateQuery{In.Known_});
  Out.push_back(In.Follow_.Sequence_);
  return Out;
}

std::int64_t millisecondsUp(Duration Value) {
  return std::chrono::ceil<std::chrono::milliseconds>(Value).count();
}

json encode(const ReaderNotice &In) {
  const Revision Beyond = std::max(In.Checked_, In.Known_.Revision_) - In.Known_.Revision_;
  return json::array({static_cast<unsigned>(Form::Notice), In.Known_.Era_, In.Known_.Revision_,
                      static_cast<unsigned>(In.State_), In.Trusted_, Beyond, In.Echo_,
                      millisecondsUp(In.ResponseAge_)});
}

json encode(const FleetChange &In) {
  json Servers = json::array();
  for (const auto &[Id, Server] : In.Servers_)
    Servers.push_back(encode(Server));
  json Evacuated = json::array();
  for (const auto &[Name, Begun] : In.Evacuated_)
    Evacuated.push_back({Name, Begun});
  return json::array({static_cast<unsigned>(Form::Change), In.To_.Era_, In.To_.Revision_,
                      In.From_.Revision_, In.Trusted_, In.Config_ ? encode(*In.Config_) : json(),
                      std::move(Servers), In.Removed_, std::move(Evacuated)});
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
  if (In.size() > 7)
    In.at(7).get_to(Out.Evacuated_);
  return Out;
}

FleetStateBody decodeQuery(const json &In) {
  const Knowledge Known{decodePosition(In), In.at(3).get<std::uint64_t>()};
  if (In.size() <= 4)
    return FleetStateQuery{Known};
  const auto Sequence = In.at(4).get<unsigned>();
  if (Sequence >= StoreReaders::SequenceCount)
    throw json::out_of_range::create(401, "sequence", &In);
  return FleetFollow{Known, {static_cast<std::uint8_t>(Sequence)}};
}

ReaderNotice decodeNotice(const json &In) {
  ReaderNotice Out;
  Out.Known_ = decodePosition(In);
  const auto State = In.at(3).get<unsigned>();
  const auto Echo = In.at(6).get<unsigned>();
  const auto Age = In.at(7).get<std::int64_t>();
  if (State > static_cast<unsigned>(ReaderState::Stopping) || Echo >= StoreReaders::SequenceCount ||
      Age < 0 || Age > MaxAge.count())
    throw json::out_of_range::create(401, "notice", &In);
  Out.State_ = static_cast<ReaderState>(State);
  In.at(4).get_to(Out.Trusted_);
  Out.Checked_ = Out.Known_.Revision_ + In.at(5).get<Revision>();
  Out.Echo_ = static_cast<std::uint8_t>(Echo);
  Out.ResponseAge_ = std::chrono::milliseconds(Age);
  return Out;
}

FleetChange decodeChange(const json &In) {
  FleetChange Out;
  Out.To_ = decodePosition(In);
  Out.From_ = {Out.To_.Era_, In.at(3).get<Revision>()};
  In.at(4).get_to(Out.Trusted_);
  if (!In.at(5).is_null())
    Out.Config_ = decodeConfig(In.at(5));
  for (const json &Server : In.at(6))
    Out.put(decodeServer(Server));
  for (const json &Id : In.at(7))
    Out.remove(Id.get<std::string>());
  for (const json &Item : In.at(8))
    Out.Evacuated_[Item.at(0).get<DataCentreId>()] = Item.at(1).get<bool>();
  return Out;
}

} // namespace

json encodeFleetState(const FleetStateBody &In) {
  return std::visit([](const auto &Value) { return encode(Value); }, In);
}

FleetStateBody decodeFleetState(const json &In) {
  switch (In.at(0).get<unsigned>()) {
  case static_cast<unsigned>(Form::Query):
    return decodeQuery(In);
  case static_cast<unsigned>(Form::Reply):
    return decodeReply(In);
  case static_cast<unsigned>(Form::Notice):
    return decodeNotice(In);
  case static_cast<unsigned>(Form::Change):
    return decodeChange(In);
  default:
    throw json::out_of_range::create(401, "unknown form", &In);
  }
}

} // namespace bronzestand::node
