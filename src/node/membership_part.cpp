#include "node/membership_part.h"

#include <boost/algorithm/string/predicate.hpp>

#include "node/clock.h"
#include "node/codec_membership.h"

namespace bronzestand::node {
namespace {

using nlohmann::json;

/// More silent hosts than this in another data centre mean that it is unreachable. Replacing them
/// by other hosts would then probe the whole data centre in turn, and no link would be open when it
/// is reachable again.
constexpr std::size_t MaxSilentRemoteHosts = 4;
/// A gap between ticks up to this length is never a pause, so that checkPause() can return at once.
/// After a longer one, Membership decides.
constexpr Duration PauseGap = std::chrono::seconds(1);

} // namespace

MembershipPart::MembershipPart(PeerLinks &Links, ConfigPart &Documents, const Settings &Config,
                               Incarnation Run)
    : Links_(Links), Documents_(Documents), Config_(Config), Log_(makeLogger("membership")),
      Members_(now(), {Config.Host_, Run}), LastTick_(now()) {
  Links_.setHeard([this](const Peer &From) {
    MembershipEffects Effects;
    const bool Current =
        Members_.noteSender(now(), From.Host_, From.Incarnation_, From.Epoch_, Effects);
    apply(Effects);
    return Current;
  });
  Links_.setHandler(MessageKind::Heartbeat, [this](const Peer &From, const json &Body) {
    apply(Members_.handle(now(), From.Host_, Body.get<Heartbeat>()));
  });
  Links_.setHandler(MessageKind::Leaving, [this](const Peer &From, const json &Body) {
    apply(Members_.handle(now(), From.Host_, Body.get<LeavingNotice>()));
  });
  Links_.addLinkUp([this](const Peer &Other) {
    Heartbeat Hello;
    Hello.Incarnation_ = Other.Incarnation_;
    Hello.Epoch_ = Other.Epoch_;
    Hello.Leaving_ = Other.Leaving_;
    apply(Members_.linkOpened(now(), Other.Host_, Hello));
  });
  Links_.addHostDown([this](const HostId &Host, LinkEnd Reason) { onLinkDown(Host, Reason); });
  Documents_.addChangeCallback([this](const std::string &Path) { onDocument(Path); });
  Documents_.setLiveHosts(
      [this](const DataCentreId &DataCentre) { return hostsForSpread(DataCentre); });
}

std::vector<HostId> MembershipPart::hostsForSpread(const DataCentreId &DataCentre) const {
  std::vector<HostId> Hosts;
  for (const HostSpec *Host : Members_.liveInDataCentre(DataCentre))
    Hosts.push_back(Host->Id_);
  if (DataCentre == Config_.DataCentre_)
    return Hosts;
  std::vector<HostId> Silent;
  for (const auto &[Host, State] : NotLive_)
    if (const HostSpec *Spec = Documents_.catalogue().findHost(Host);
        State == HostState::Silent && Spec != nullptr && Spec->DataCentre_ == DataCentre)
      Silent.push_back(Host);
  if (Hosts.empty() || Silent.size() > MaxSilentRemoteHosts)
    Hosts.insert(Hosts.end(), Silent.begin(), Silent.end());
  return Hosts;
}

void MembershipPart::checkPause(TimePoint Now) {
  if (Now - LastTick_ > PauseGap)
    tick(Now);
}

void MembershipPart::tick(TimePoint Now) {
  LastTick_ = Now;
  apply(Members_.tick(Now));
}

void MembershipPart::noteLeaving(const Peer &From) {
  apply(Members_.handle(now(), From.Host_, LeavingNotice{From.Host_, From.Incarnation_}));
}

void MembershipPart::leave() {
  Links_.setLeaving();
  apply(Members_.leave(now()));
}

void MembershipPart::onDocument(const std::string &Path) {
  constexpr std::string_view Prefix = "hosts/";
  if (!boost::starts_with(Path, Prefix))
    return;
  const std::size_t Slash = Path.find('/', Prefix.size());
  const DataCentreId DataCentre(Path.substr(Prefix.size(), Slash - Prefix.size()));
  const ServiceId Service(Path.substr(Slash + 1));
  const auto &Lists = Documents_.catalogue().hostLists();
  const auto Found = Lists.find({DataCentre, Service});
  apply(Found == Lists.end() ? Members_.eraseList(now(), DataCentre, Service)
                             : Members_.setList(now(), Found->second));
}

void MembershipPart::onLinkDown(const HostId &Host, LinkEnd Reason) {
  if (Reason == LinkEnd::Idle)
    Members_.linkClosed(Host);
  else
    apply(Members_.linkFailed(now(), Host));
}

void MembershipPart::apply(const MembershipEffects &Effects) {
  for (const MembershipEffect &Effect : Effects)
    std::visit([this](const auto &Value) { on(Value); }, Effect);
}

void MembershipPart::on(const SendMembership &Effect) {
  // Heartbeats and leaving notices are only useful on a link that is already open.
  if (!Links_.isLinked(Effect.To_))
    return;
  if (const auto *Beat = std::get_if<Heartbeat>(&Effect.Message_))
    Links_.send(Effect.To_, MessageKind::Heartbeat, *Beat);
  else
    Links_.send(Effect.To_, MessageKind::Leaving, std::get<LeavingNotice>(Effect.Message_));
}

void MembershipPart::on(const ReplaceLink &Effect) {
  Log_->info("link to {} is silent, opening a new one", Effect.Host_.str());
  Links_.open(Effect.Host_);
}

void MembershipPart::on(const ProbeHost &Effect) { Links_.open(Effect.Host_); }

void MembershipPart::on(const ProcessPaused &Effect) {
  ++Pauses_;
  Log_->warn("this process was paused for {} ms", Effect.Gap_.count() / 1000);
  Links_.setEpoch(Effect.Epoch_);
  LastTick_ = now();
  if (OnPause_)
    OnPause_(LastTick_);
}

void MembershipPart::on(const HostStateChanged &Effect) {
  if (const HostSpec *Spec = Documents_.catalogue().findHost(Effect.Host_))
    Documents_.hostsChanged(Spec->DataCentre_);
  const bool WasLive = NotLive_.erase(Effect.Host_) == 0;
  if (Effect.State_ != HostState::Live && Effect.State_ != HostState::Gone)
    NotLive_[Effect.Host_] = Effect.State_;
  // The first list makes all its hosts live at once, which is not logged per host.
  if (Effect.State_ != HostState::Live || !WasLive)
    Log_->info("host {} is {}", Effect.Host_.str(), hostStateName(Effect.State_));
  for (const StateCallback &Callback : StateCallbacks_)
    Callback(Effect.Host_);
}

json MembershipPart::dump() const {
  json NotLive = json::object();
  for (const auto &[Host, State] : NotLive_)
    NotLive[Host.str()] = hostStateName(State);
  return {{"listed", Members_.listed()},
          {"epoch", Members_.epoch()},
          {"pauses", Pauses_},
          {"not_live", std::move(NotLive)}};
}

} // namespace bronzestand::node
