#include "mesh/fleet_state.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "absl/cleanup/cleanup.h"
#include "node/clock.h"

namespace bronzestand::node {
namespace {

/// A change reaches all nodes within this time if their connections to the platform work.
constexpr Duration MaxPropagationDelay = std::chrono::milliseconds(500);
/// What a node told is forgotten after this time, because no node may know it any more.
constexpr Duration PeerHintLifetime = std::chrono::seconds(3);
/// The platform answers a reader again within this part of the time to apply a change and a pause
/// between two watches; as for a node that reads itself.
constexpr double FollowedShare = 0.85;
constexpr Duration FollowedPause = std::chrono::milliseconds(150);

} // namespace

FleetState::FleetState(const Settings &Config, EventLog &Events)
    : Host_(Config.Host_), DataCentre_(Config.DataCentre_),
      Readers_(Config.Host_, Config.Mesh_->ApplyTime_),
      FollowedValidity_(FollowedPause + std::chrono::duration_cast<Duration>(
                                            Config.Mesh_->ApplyTime_ * FollowedShare)),
      Events_(Events), Evacuations_(Config.Host_, Config.Mesh_->EvacuateTime_),
      ConfirmedAt_(now()) {
  for (const auto &[DataCentre, Region] : Config.Mesh_->Regions_)
    KnownRegions_.insert(RegionId(Region));
}

absl::Status FleetState::apply(FleetConfig Config) {
  if (Config.Version_ <= Config_.Version_) {
    if (Config.Version_ == Config_.Version_)
      RefusedVersion_ = 0; // the source went back to the version in force
    return absl::OkStatus();
  }
  if (absl::Status Checked = checkRegions(Config, KnownRegions_); !Checked.ok()) {
    RefusedVersion_ = Config.Version_;
    return Checked;
  }
  RefusedVersion_ = 0;
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
  Regions_ = RegionTable(Config);
  Config_ = std::move(Config);
  for (const Callback &Handler : OnConfig_)
    Handler();
  return absl::OkStatus();
}

void FleetState::noteKnowledge(const Knowledge &Other) {
  if (Other.Position_ <= completeUntil() && Other.Version_ <= received().Version_)
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
         (PeerKnown_.Position_ > completeUntil() || PeerKnown_.Version_ > received().Version_);
}

void FleetState::noteConfirmed(TimePoint Now, Duration Validity, StorePosition Checked) {
  Checked_ = std::max(Checked_, Checked);
  ConfirmedAt_ = Now;
  ConfirmedUntil_ = Now + Validity;
  SourceLost_ = false;
}

// A node that follows a reader is not cut off from the platform.
void FleetState::noteSourceLost() {
  Readers_.noteLost();
  SourceLost_ = SourceLost_ || Readers_.followed(now()).empty();
}

ReaderKnowledge FleetState::readerKnowledge() const {
  const StorePosition Told = toldPosition();
  const StorePosition Complete = std::max(completeUntil(), Told);
  return {Told, Complete.Era_ == Told.Era_ ? Complete.Revision_ : Told.Revision_, Trusted_};
}

void FleetState::publish(const FleetChange &Change) {
  Trusted_ = Change.Trusted_;
  Readers_.noteResponse(now());
  if (Publisher_)
    Publisher_(Change);
}

void FleetState::applyChange(const FleetChange &Change) {
  const StorePosition Complete = completeUntil();
  if (!Listed_ || Complete < Change.From_ || Complete >= Change.To_ ||
      Change.From_.Era_ != Complete.Era_ || Change.To_.Era_ != Complete.Era_)
    return;
  setPosition(Change.To_);
  applyTogether([&] { applyItems(Change); });
  if (OnFollowed_)
    OnFollowed_(Change.To_, Change.Trusted_);
}

void FleetState::applyItems(const FleetChange &Change) {
  if (Change.Config_)
    if (const absl::Status Applied = apply(*Change.Config_); !Applied.ok())
      Events_.write(now(), EventClass::Belief, "fleet_state", "config_refused",
                    {{"version", Change.Config_->Version_}, {"reason", Applied.message()}});
  for (const auto &[Name, Begun] : Change.Evacuated_)
    Begun ? evacuate(Name) : endEvacuation(Name);
  for (const auto &[Id, Server] : Change.Servers_)
    put(Server);
  for (const std::string &Id : Change.Removed_)
    if (Directory_.find(Id) != nullptr)
      remove(Id, Change.Trusted_);
}

void FleetState::applyTogether(const std::function<void()> &Changes) {
  {
    const auto End = absl::MakeCleanup([this] { Applying_ = false; });
    Applying_ = true;
    Changes();
  }
  if (std::exchange(ServersChanged_, false))
    serversChanged();
}

void FleetState::noteFollowed(TimePoint RespondedAt, StorePosition Checked, bool Trusted) {
  noteConfirmed(std::max(RespondedAt, ConfirmedAt_), FollowedValidity_, Checked);
  if (OnFollowed_)
    OnFollowed_(Checked, Trusted);
}

bool FleetState::needsPeers(TimePoint Now) const {
  return SourceLost_ || Now > ConfirmedUntil_ || isBehindPeers(Now) ||
         (RefusedVersion_ != 0 && Config_.Version_ == 0);
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
                       StorePosition Value, const std::set<DataCentreId> &Evacuated,
                       bool Followed) {
  if (Value <= completeUntil())
    return;
  // This node has not heard from the platform, so the change may be as old as its last answer.
  replaceEvacuations(Evacuated, Listed_ ? ConfirmedAt_ : TimePoint::min());
  const bool NewHistory = Listed_ && Value.Era_ != Known_.Era_;
  replace(std::move(Entries), !NewHistory, NewHistory);
  for (const std::string &Id : Missing)
    remove(Id, false);
  setPosition(Value);
  if (Followed && OnFollowed_)
    OnFollowed_(Value, !NewHistory);
}

DataCentreId FleetState::ownDataCentre() const {
  const BackendServer *Own = ownServer();
  return Own == nullptr ? DataCentre_ : Own->DataCentre_;
}

TimePoint FleetState::changedAfter(TimePoint Now) const {
  if (!Listed_)
    return TimePoint::min();
  return SourceLost_ || Now > ConfirmedUntil_ ? ConfirmedAt_ : Now;
}

void FleetState::evacuate(const DataCentreId &Name) { beginEvacuation(Name, changedAfter(now())); }

void FleetState::beginEvacuation(const DataCentreId &Name, TimePoint WrittenAfter) {
  const TimePoint Now = now();
  if (!Evacuations_.begin(Now, Name, WrittenAfter))
    return;
  Events_.write(Now, EventClass::Belief, "fleet_state", "evacuation_began",
                {{"data_centre", Name.str()},
                 {"own", Name == ownDataCentre()},
                 {"at_once", evacuated(Now).count(Name) != 0},
                 {"confirmed_age_us", confirmationAge(Now).count()}});
  checkOwnEvacuation(Now);
}

void FleetState::endEvacuation(const DataCentreId &Name) {
  const TimePoint Now = now();
  const TimePoint BegunAt = Evacuations_.isListed(Name) ? Evacuations_.begunAt(Name) : Now;
  if (!Evacuations_.end(Now, Name))
    return;
  const bool Own = Name == ownDataCentre();
  Events_.write(Now, EventClass::Belief, "fleet_state", "evacuation_ended",
                {{"data_centre", Name.str()}, {"own", Own}, {"age_us", (Now - BegunAt).count()}});
  if (!Own)
    return;
  Closed_ = false;
  for (const auto &Handler : OnOwnEvacuation_)
    Handler(false);
}

void FleetState::replaceEvacuations(const std::set<DataCentreId> &Names) {
  replaceEvacuations(Names, changedAfter(now()));
}

void FleetState::replaceEvacuations(const std::set<DataCentreId> &Names, TimePoint WrittenAfter) {
  for (const DataCentreId &Name : Evacuations_.listed())
    if (Names.count(Name) == 0)
      endEvacuation(Name);
  for (const DataCentreId &Name : Names)
    beginEvacuation(Name, WrittenAfter);
}

void FleetState::checkOwnEvacuation(TimePoint Now) {
  if (!isClosed(Now) || std::exchange(Closed_, true))
    return;
  for (const auto &Handler : OnOwnEvacuation_)
    Handler(true);
}

void FleetState::tick(TimePoint Now) {
  checkOwnEvacuation(Now);
  Evacuations_.expire(Now);
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
  if (Applying_) {
    ServersChanged_ = true;
    return;
  }
  const DataCentreId Own = ownDataCentre();
  std::set<HostId> Hosts;
  for (const auto &[Id, Server] : Directory_.all())
    if (Server.DataCentre_ == Own)
      Hosts.insert(Server.Host_);
  Readers_.setHosts({Hosts.begin(), Hosts.end()});
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
  const TimePoint Now = now();
  const std::set<DataCentreId> Unused = evacuated(Now);
  nlohmann::json Evacuated = nlohmann::json::array();
  for (const DataCentreId &Name : evacuations())
    Evacuated.push_back({{"data_centre", Name.str()},
                         {"age_us", (Now - Evacuations_.begunAt(Name)).count()},
                         {"unused", Unused.count(Name) != 0},
                         {"closed", Evacuations_.isClosed(Now, Name)}});
  nlohmann::json Resuming = nlohmann::json::array();
  for (const DataCentreId &Name : Unused)
    if (!Evacuations_.isListed(Name))
      Resuming.push_back(Name.str());
  return {{"version", Config_.Version_},
          {"evacuated", std::move(Evacuated)},
          {"resuming", std::move(Resuming)},
          {"era", Known_.Era_},
          {"revision", Known_.Revision_},
          {"peer_revision", PeerKnown_.Position_.Revision_},
          {"confirmed_age_us", confirmationAge(now()).count()},
          {"behind", isBehind(now())},
          {"routes", Config_.Routes_.size()},
          {"teams", Config_.Teams_.size()},
          {"restricts_regions", Regions_.isRestricting()},
          {"refused_version", RefusedVersion_},
          {"listed", Listed_},
          {"store_reader",
           {{"duty", readDutyName(Readers_.duty(Now))},
            {"follows", Readers_.followed(Now).str()},
            {"followers", Readers_.followers().size()},
            {"takeovers", Readers_.takeovers()}}},
          {"servers", std::move(Servers)}};
}

void FleetState::print(TimePoint Now, std::string &Out) const {
  Out += fmt::format(
      "# HELP bronzestand_config_version Version of the configuration in force\n"
      "# TYPE bronzestand_config_version gauge\nbronzestand_config_version {}\n"
      "# HELP bronzestand_confirmed_age_seconds Time since the platform last answered\n"
      "# TYPE bronzestand_confirmed_age_seconds gauge\nbronzestand_confirmed_age_seconds {:.3f}\n",
      Config_.Version_, std::chrono::duration<double>(confirmationAge(Now)).count());
  if (Readers_.isShared())
    Out += fmt::format(
        "# HELP bronzestand_store_reader Whether this node reads from the platform\n"
        "# TYPE bronzestand_store_reader gauge\nbronzestand_store_reader {}\n"
        "# HELP bronzestand_store_followers Nodes that follow this node\n"
        "# TYPE bronzestand_store_followers gauge\nbronzestand_store_followers {}\n"
        "# HELP bronzestand_store_takeovers_total Times at which this node became a reader\n"
        "# TYPE bronzestand_store_takeovers_total counter\nbronzestand_store_takeovers_total {}\n",
        Readers_.duty(Now) == ReadDuty::None ? 0 : 1, Readers_.followers().size(),
        Readers_.takeovers());
  if (evacuations().empty())
    return;
  Out += "# HELP bronzestand_evacuated_seconds Time since this node learned of an evacuation\n"
         "# TYPE bronzestand_evacuated_seconds gauge\n";
  for (const DataCentreId &Name : evacuations())
    Out += fmt::format("bronzestand_evacuated_seconds{{data_centre=\"{}\"}} {:.3f}\n", Name.str(),
                       std::chrono::duration<double>(Now - Evacuations_.begunAt(Name)).count());
}

} // namespace bronzestand::node
