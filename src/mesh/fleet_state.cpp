#include "mesh/fleet_state.h"

#include <algorithm>

#include <fmt/format.h>

#include "node/clock.h"

namespace bronzestand::node {
namespace {

/// A change reaches all nodes within this time if their connections to the platform work.
constexpr Duration MaxPropagationDelay = std::chrono::milliseconds(500);
/// What a node told is forgotten after this time, because no node may know it any more.
constexpr Duration PeerHintLifetime = std::chrono::seconds(3);

} // namespace

FleetState::FleetState(const Settings &Config, EventLog &Events)
    : Host_(Config.Host_), Events_(Events), ConfirmedAt_(now()) {}

void FleetState::apply(FleetConfig Config) {
  if (Config.Version_ <= Config_.Version_)
    return;
  const TimePoint Now = now();
  Events_.write(Now, EventClass::Belief, "fleet_state", "config_in_force",
                {{"version", Config.Version_},
                 {"previous", Config_.Version_},
                 {"routes", Config.Routes_.size()},
                 {"teams", Config.Teams_.size()},
                 {"confirmed_age_us", confirmationAge(Now).count()}});
  std::set<TeamId> Names;
  for (const FleetTeam &Team : Config.Teams_) {
    Names.insert(Team.Spec_.Name_);
    Keys_.setTeam(Team.Spec_);
  }
  for (const FleetTeam &Team : Config_.Teams_)
    if (Names.count(Team.Spec_.Name_) == 0)
      Keys_.eraseTeam(Team.Spec_.Name_);
  Routes_ = RouteTable(Config.Routes_);
  Config_ = std::move(Config);
  for (const Callback &Handler : OnConfig_)
    Handler();
}

void FleetState::noteKnowledge(const Knowledge &Other) {
  if (Other.Position_ <= completeUntil() && Other.Version_ <= Config_.Version_)
    return;
  const TimePoint Now = now();
  if (!isBehindPeers(Now)) {
    BehindSince_ = Now;
    PeerKnown_ = {};
  }
  PeerKnown_.Position_ = std::max(PeerKnown_.Position_, Other.Position_);
  PeerKnown_.Version_ = std::max(PeerKnown_.Version_, Other.Version_);
  PeerHeardAt_ = Now;
}

bool FleetState::isBehindPeers(TimePoint Now) const {
  return Now - PeerHeardAt_ <= PeerHintLifetime &&
         (PeerKnown_.Position_ > completeUntil() || PeerKnown_.Version_ > Config_.Version_);
}

void FleetState::noteConfirmed(TimePoint Now, Duration Validity, StorePosition Checked) {
  Checked_ = std::max(Checked_, Checked);
  ConfirmedAt_ = Now;
  ConfirmedUntil_ = Now + Validity;
  SourceLost_ = false;
}

bool FleetState::needsPeers(TimePoint Now) const {
  return SourceLost_ || Now > ConfirmedUntil_ || isBehindPeers(Now);
}

bool FleetState::isBehind(TimePoint Now) const {
  return isBehindPeers(Now) || (needsPeers(Now) && Now > VouchedUntil_);
}

const FleetTeam *FleetState::findTeam(const TeamId &Name) const {
  const auto Found = std::find_if(Config_.Teams_.begin(), Config_.Teams_.end(),
                                  [&](const FleetTeam &Team) { return Team.Spec_.Name_ == Name; });
  return Found == Config_.Teams_.end() ? nullptr : &*Found;
}

void FleetState::put(BackendServer Entry) {
  const nlohmann::json Server = Entry.Id_;
  const bool Leaving = Entry.Leaving_;
  const std::string Host = Entry.Host_.str();
  const std::string Service = Entry.Service_.str();
  if (!Directory_.put(std::move(Entry)))
    return;
  Events_.write(
      now(), EventClass::Belief, "fleet_state", "server_listed",
      {{"server", Server}, {"address", Host}, {"service", Service}, {"leaving", Leaving}});
  serversChanged();
}

void FleetState::noteLeaving(const std::string &Id) {
  if (!Directory_.markLeaving(Id))
    return;
  Events_.write(now(), EventClass::Belief, "fleet_state", "server_leaving", {{"server", Id}});
  serversChanged();
}

void FleetState::remove(const std::string &Id, bool Trusted) {
  const bool Changed = Directory_.remove(now(), Id, Trusted);
  Events_.write(now(), EventClass::Belief, "fleet_state",
                Changed ? "server_removed" : "server_missing",
                {{"server", Id}, {"list_trusted", Trusted}});
  if (Changed)
    serversChanged();
}

void FleetState::replace(std::vector<BackendServer> Entries, bool Trusted, bool NewHistory) {
  const std::size_t Count = Entries.size();
  const bool Changed =
      Directory_.replace(now(), std::move(Entries), Trusted, NewHistory) || !Listed_;
  Listed_ = true;
  Events_.write(now(), EventClass::Belief, "fleet_state", "list_read",
                {{"servers", Count},
                 {"changed", Changed},
                 {"list_trusted", Trusted},
                 {"new_history", NewHistory}});
  if (Changed)
    serversChanged();
}

// Inside an era, entries that the other node does not have were removed, because it keeps those
// that are only missing. A node that started after the store was restored never had them.
void FleetState::adopt(std::vector<BackendServer> Entries, const std::vector<std::string> &Missing,
                       StorePosition Value) {
  if (Value <= completeUntil())
    return;
  const bool NewHistory = Listed_ && Value.Era_ != Known_.Era_;
  replace(std::move(Entries), !NewHistory, NewHistory);
  for (const std::string &Id : Missing)
    remove(Id, false);
  setPosition(Value);
}

void FleetState::tick(TimePoint Now) {
  if (isBehindPeers(Now) && Now - BehindSince_ >= MaxPropagationDelay && Refresh_) {
    Events_.write(Now, EventClass::Belief, "fleet_state", "behind_peers",
                  {{"era", Known_.Era_},
                   {"revision", Known_.Revision_},
                   {"version", Config_.Version_},
                   {"peer_era", PeerKnown_.Position_.Era_},
                   {"peer_revision", PeerKnown_.Position_.Revision_},
                   {"peer_version", PeerKnown_.Version_}});
    BehindSince_ = Now;
    Refresh_();
  }
  if (Directory_.expire(Now))
    serversChanged();
}

void FleetState::serversChanged() {
  for (const Callback &Handler : OnServers_)
    Handler();
}

nlohmann::json FleetState::dump() const {
  nlohmann::json Servers = nlohmann::json::array();
  for (const auto &[Id, Server] : Directory_.all())
    Servers.push_back({{"id", Id},
                       {"host", Server.Host_.str()},
                       {"service", Server.Service_.str()},
                       {"data_centre", Server.DataCentre_.str()},
                       {"slots", Server.Slots_},
                       {"leaving", Server.Leaving_}});
  return {{"version", Config_.Version_},
          {"era", Known_.Era_},
          {"revision", Known_.Revision_},
          {"peer_revision", PeerKnown_.Position_.Revision_},
          {"confirmed_age_us", confirmationAge(now()).count()},
          {"behind", isBehind(now())},
          {"routes", Config_.Routes_.size()},
          {"teams", Config_.Teams_.size()},
          {"listed", Listed_},
          {"servers", std::move(Servers)}};
}

void FleetState::print(TimePoint Now, std::string &Out) const {
  Out += fmt::format(
      "# HELP bronzestand_config_version Version of the configuration in force\n"
      "# TYPE bronzestand_config_version gauge\nbronzestand_config_version {}\n"
      "# HELP bronzestand_confirmed_age_seconds Time since the platform last answered\n"
      "# TYPE bronzestand_confirmed_age_seconds gauge\nbronzestand_confirmed_age_seconds {:.3f}\n",
      Config_.Version_, std::chrono::duration<double>(confirmationAge(Now)).count());
}

} // namespace bronzestand::node
