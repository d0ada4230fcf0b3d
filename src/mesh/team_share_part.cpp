#include "mesh/team_share_part.h"

#include "node/clock.h"

namespace bronzestand::node {
namespace {

using nlohmann::json;

/// Rates travel as whole thousandths of a request a second.
constexpr double Milli = 1000.0;
enum class ShareMessage : unsigned { Report, Grant };

json encode(ShareMessage Kind, const TeamId &Team, double Rate) {
  return json::array({static_cast<unsigned>(Kind), Team.str(),
                      static_cast<std::uint64_t>(std::max(0.0, Rate) * Milli)});
}

} // namespace

TeamSharePart::TeamSharePart(const Settings &Config, FleetState &Fleet, PeerLinks &Links)
    : Self_(Config.Host_), Fleet_(Fleet), Links_(Links), Shares_(Config.Host_) {}

absl::Status TeamSharePart::start() {
  Links_.setHandler(MessageKind::TeamLimits,
                    [this](const Peer &From, const json &Body) { onMessage(From, Body); });
  Fleet_.onConfig([this] { configChanged(); });
  Fleet_.onServers([this] {
    std::set<HostId> Hosts = Fleet_.servers().hosts();
    Hosts.insert(Self_);
    Shares_.setHosts({Hosts.begin(), Hosts.end()});
  });
  return absl::OkStatus();
}

void TeamSharePart::configChanged() {
  std::map<TeamId, TeamShares::Limit> Limits;
  for (const FleetTeam &Team : Fleet_.config().Teams_)
    Limits[Team.Spec_.Name_] = {Team.Spec_.Rate_, Team.Spec_.Burst_};
  Shares_.setLimits(now(), Limits);
}

void TeamSharePart::onMessage(const Peer &From, const json &Body) {
  const TeamId Team(Body.at(1).get<std::string>());
  const double Rate = static_cast<double>(Body.at(2).get<std::uint64_t>()) / Milli;
  if (Body.at(0).get<unsigned>() == static_cast<unsigned>(ShareMessage::Grant)) {
    ++Grants_;
    Shares_.handle(now(), ShareGrant{Team, Rate});
    return;
  }
  const ShareGrant Grant = Shares_.handle(now(), From.Host_, ShareReport{Team, Rate});
  Links_.send(From.Host_, MessageKind::TeamLimits,
              encode(ShareMessage::Grant, Grant.Team_, Grant.Rate_));
}

void TeamSharePart::tick(TimePoint Now) {
  for (const TeamShares::SendReport &Send : Shares_.tick(Now)) {
    ++Reports_;
    if (Send.To_ == Self_)
      Shares_.handle(Now, Shares_.handle(Now, Self_, Send.Report_));
    else
      Links_.send(Send.To_, MessageKind::TeamLimits,
                  encode(ShareMessage::Report, Send.Report_.Team_, Send.Report_.Demand_));
  }
}

} // namespace bronzestand::node
