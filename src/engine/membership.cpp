#include "bronzestand/membership.h"

#include <algorithm>
#include <array>
#include <set>

namespace bronzestand {
namespace {

using namespace std::chrono_literals;

constexpr Duration HeartbeatInterval = 500ms;
constexpr Duration LinkSilence = 2s;  // the link is replaced after this time
constexpr Duration HostSilence = 3s;  // the host is Silent after this time
constexpr Duration PauseGap = 1s;     // a longer time since the last tick is a pause
constexpr Duration PausedTime = 1s;   // time in state Paused after a new epoch
constexpr Duration GracePeriod = 20s; // time in state Leaving after removal from the list
constexpr Duration MinProbeBackoff = 500ms;
constexpr Duration MaxProbeBackoff = 8s;

constexpr std::array<std::string_view, 5> StateNames{"live", "leaving", "silent", "paused", "gone"};

const Membership::HostRefs NoHosts;

template <typename Index, typename Key>
const Membership::HostRefs &lookUp(const Index &Hosts, const Key &Name) {
  const auto Found = Hosts.find(Name);
  return Found == Hosts.end() ? NoHosts : Found->second;
}

} // namespace

std::string_view hostStateName(HostState State) {
  return StateNames.at(static_cast<std::size_t>(State));
}

Membership::Membership(TimePoint Now, MembershipSettings Settings)
    : Settings_(std::move(Settings)), LastTick_(Now), NextHeartbeat_(Now) {}

MembershipEffects Membership::setList(TimePoint Now, const HostListSpec &List) {
  MembershipEffects Out;
  checkPause(Now, Out);
  const ListKey Key{List.DataCentre_, List.Service_};
  std::vector<HostId> &Known = Lists_[Key];
  std::set<HostId> Kept;
  for (const HostSpec &Spec : List.Hosts_) {
    Kept.insert(Spec.Id_);
    addToList(Now, Spec, Out);
  }
  for (const HostId &Id : Known)
    if (Kept.count(Id) == 0)
      removeFromList(Now, Id, Key, Out);
  Known.assign(Kept.begin(), Kept.end());
  return Out;
}

MembershipEffects Membership::eraseList(TimePoint Now, const DataCentreId &DataCentre,
                                        const ServiceId &Service) {
  HostListSpec Empty;
  Empty.DataCentre_ = DataCentre;
  Empty.Service_ = Service;
  MembershipEffects Out = setList(Now, Empty);
  Lists_.erase({DataCentre, Service});
  return Out;
}

void Membership::addToList(TimePoint Now, const HostSpec &Spec, MembershipEffects &Out) {
  Host &Record = Hosts_[Spec.Id_];
  Record.Id_ = Spec.Id_;
  const auto Same = [&](const HostSpec &Old) {
    return Old.DataCentre_ == Spec.DataCentre_ && Old.Service_ == Spec.Service_;
  };
  const auto Old = std::find_if(Record.Listings_.begin(), Record.Listings_.end(), Same);
  if (Old != Record.Listings_.end() && Old->Address_ == Spec.Address_ && Old->Port_ == Spec.Port_ &&
      Old->Leaving_ == Spec.Leaving_)
    return;
  const bool WasLeaving = Old != Record.Listings_.end() && Old->Leaving_;
  if (Record.Listings_.empty())
    ++Listed_;
  if (Old == Record.Listings_.end())
    Record.Listings_.push_back(Spec);
  else
    *Old = Spec;
  Record.OffListSince_.reset();
  // The list does not say which run is leaving. The mark applies to the run known when it appears,
  // so that a later run is live even while an outdated list still has the mark.
  if (Spec.Leaving_ && !WasLeaving)
    Record.ListLeavingRun_ = Record.Incarnation_;
  if (std::none_of(Record.Listings_.begin(), Record.Listings_.end(),
                   [](const HostSpec &Entry) { return Entry.Leaving_; }))
    Record.ListLeavingRun_.reset();
  removeFromIndexes(Record);
  updateState(Now, Record, Out);
}

void Membership::removeFromList(TimePoint Now, const HostId &Id, const ListKey &Key,
                                MembershipEffects &Out) {
  const auto Found = Hosts_.find(Id);
  if (Found == Hosts_.end())
    return;
  Host &Record = Found->second;
  auto &Listings = Record.Listings_;
  Listings.erase(std::remove_if(Listings.begin(), Listings.end(),
                                [&](const HostSpec &Spec) {
                                  return Spec.DataCentre_ == Key.first &&
                                         Spec.Service_ == Key.second;
                                }),
                 Listings.end());
  if (Listings.empty()) {
    --Listed_;
    Record.OffListSince_ = Now;
    OffList_.emplace_back(Now + GracePeriod, Id);
  }
  removeFromIndexes(Record);
  updateState(Now, Record, Out);
}

bool Membership::noteSender(TimePoint Now, const HostId &From, Incarnation Run, std::uint32_t Epoch,
                            MembershipEffects &Out) {
  checkPause(Now, Out);
  const auto Found = Hosts_.find(From);
  if (Found != Hosts_.end()) {
    const Host &Record = Found->second;
    if (std::make_pair(Run, Epoch) < std::make_pair(Record.Incarnation_, Record.Epoch_))
      return false;
  }
  noteRun(Now, From, Run, Epoch, Out);
  return true;
}

void Membership::noteRun(TimePoint Now, const HostId &Id, Incarnation Run, std::uint32_t Epoch,
                         MembershipEffects &Out) {
  Host &Record = Hosts_[Id];
  Record.Id_ = Id;
  if (Record.Listings_.empty() && !Record.OffListSince_) {
    // A host that sends messages before it is listed is Gone. It is forgotten after the grace
    // period unless it is listed or known to be alive by then.
    Record.OffListSince_ = Now - GracePeriod;
    OffList_.emplace_back(Now + GracePeriod, Id);
  }
  if (Run == Record.Incarnation_ && Epoch > Record.Epoch_) {
    Record.PausedUntil_ = Now + PausedTime;
    Pauses_.emplace_back(Record.PausedUntil_, Id);
  }
  // A leaving mark that appeared before any run was known applies to the first known run.
  if (Record.Incarnation_ == 0 && Record.ListLeavingRun_)
    Record.ListLeavingRun_ = Run;
  Record.Incarnation_ = Run;
  Record.Epoch_ = Epoch;
  updateState(Now, Record, Out);
}

void Membership::noteAlive(TimePoint Now, TimePoint AliveAt, const HostId &Id,
                           MembershipEffects &Out) {
  const auto Found = Links_.find(Id);
  if (Found == Links_.end() || AliveAt > Now)
    return;
  Link &PeerLink = Found->second;
  PeerLink.LastAlive_ = std::max(PeerLink.LastAlive_, AliveAt);
  if (Now - PeerLink.LastAlive_ >= HostSilence)
    return;
  PeerLink.Backoff_ = Duration(0);
  if (const auto Known = Hosts_.find(Id); Known != Hosts_.end() && Known->second.Silent_) {
    Known->second.Silent_ = false;
    updateState(Now, Known->second, Out);
  }
}

void Membership::sendHeartbeat(TimePoint Now, const HostId &To, MembershipEffects &Out) const {
  Heartbeat Message{Settings_.Run_, Epoch_, Leaving_, Now, 0, TimePoint()};
  if (const auto Found = Links_.find(To); Found != Links_.end()) {
    Message.EchoRun_ = Found->second.HeartbeatRun_;
    Message.Echo_ = Found->second.HeartbeatSent_;
  }
  Out.emplace_back(SendMembership{To, Message});
}

void Membership::noteLeaving(TimePoint Now, const HostId &Id, Incarnation Run,
                             MembershipEffects &Out) {
  if (Id == Settings_.Self_)
    return;
  Host &Record = Hosts_[Id];
  Record.Id_ = Id;
  if (Run > Record.Incarnation_)
    noteRun(Now, Id, Run, 0, Out);
  Record.NoticeLeavingRun_ = std::max(Record.NoticeLeavingRun_.value_or(0), Run);
  updateState(Now, Record, Out);
}

MembershipEffects Membership::handle(TimePoint Now, const HostId &From,
                                     const MembershipMessage &Message) {
  MembershipEffects Out;
  checkPause(Now, Out);
  std::visit([&](const auto &Body) { on(Now, From, Body, Out); }, Message);
  return Out;
}

void Membership::on(TimePoint Now, const HostId &From, const LeavingNotice &Message,
                    MembershipEffects &Out) {
  // Only the host itself may announce the leaving of a host that this node does not know.
  if (From == Message.Host_ || Hosts_.count(Message.Host_) != 0)
    noteLeaving(Now, Message.Host_, Message.Incarnation_, Out);
}

void Membership::on(TimePoint Now, const HostId &From, const Heartbeat &Message,
                    MembershipEffects &Out) {
  const Host *Known = find(From);
  const bool NewEpoch = Known == nullptr || Known->Incarnation_ != Message.Incarnation_ ||
                        Known->Epoch_ != Message.Epoch_;
  if (!noteSender(Now, From, Message.Incarnation_, Message.Epoch_, Out))
    return;
  if (Message.Leaving_)
    noteLeaving(Now, From, Message.Incarnation_, Out);
  const auto Found = Links_.find(From);
  if (Found == Links_.end())
    return;
  Link &PeerLink = Found->second;
  if (std::make_pair(PeerLink.HeartbeatRun_, PeerLink.HeartbeatSent_) <
      std::make_pair(Message.Incarnation_, Message.Sent_)) {
    PeerLink.HeartbeatRun_ = Message.Incarnation_;
    PeerLink.HeartbeatSent_ = Message.Sent_;
  }
  if (Message.EchoRun_ == Settings_.Run_)
    noteAlive(Now, Message.Echo_, From, Out);
  // A host that started or resumed counts no peer as alive until it receives an echo, so send one
  // at once.
  if (NewEpoch && PeerLink.Open_)
    sendHeartbeat(Now, From, Out);
}

MembershipEffects Membership::linkOpened(TimePoint Now, const HostId &Peer,
                                         const Heartbeat &Hello) {
  MembershipEffects Out;
  checkPause(Now, Out);
  if (!noteSender(Now, Peer, Hello.Incarnation_, Hello.Epoch_, Out))
    return Out;
  if (Hello.Leaving_)
    noteLeaving(Now, Peer, Hello.Incarnation_, Out);
  Link &PeerLink = Links_[Peer];
  PeerLink.Open_ = true;
  PeerLink.NextAttempt_ = Now;
  noteAlive(Now, Now, Peer, Out);
  sendHeartbeat(Now, Peer, Out);
  return Out;
}

MembershipEffects Membership::linkFailed(TimePoint Now, const HostId &Peer) {
  MembershipEffects Out;
  checkPause(Now, Out);
  const auto [Position, Created] = Links_.try_emplace(Peer);
  Link &PeerLink = Position->second;
  if (Created)
    PeerLink.LastAlive_ = Now;
  PeerLink.Open_ = false;
  PeerLink.Backoff_ = std::clamp<Duration>(PeerLink.Backoff_ * 2, MinProbeBackoff, MaxProbeBackoff);
  PeerLink.NextAttempt_ = Now + PeerLink.Backoff_;
  return Out;
}

void Membership::linkClosed(const HostId &Peer) {
  // Keeps the link of a silent host, so that probes detect its return.
  const auto Known = Hosts_.find(Peer);
  if (Known == Hosts_.end() || !Known->second.Silent_)
    Links_.erase(Peer);
}

MembershipEffects Membership::leave(TimePoint Now) {
  MembershipEffects Out;
  checkPause(Now, Out);
  Leaving_ = true;
  for (const auto &[Peer, PeerLink] : Links_)
    Out.emplace_back(SendMembership{Peer, LeavingNotice{Settings_.Self_, Settings_.Run_}});
  return Out;
}

void Membership::checkPause(TimePoint Now, MembershipEffects &Out) {
  const Duration Gap = Now - LastTick_;
  if (Gap <= PauseGap)
    return;
  LastTick_ = Now;
  ++Epoch_;
  Out.emplace_back(ProcessPaused{Gap, Epoch_});
  // This node handled no heartbeats during the pause, so it does not replace silent links at once.
  // Hosts do not count as alive until they answer, because they may have left during the pause.
  for (auto &[Peer, PeerLink] : Links_)
    PeerLink.NextAttempt_ = std::max(PeerLink.NextAttempt_, Now + HeartbeatInterval);
  NextHeartbeat_ = Now;
}

MembershipEffects Membership::tick(TimePoint Now) {
  MembershipEffects Out;
  checkPause(Now, Out);
  LastTick_ = Now;
  const bool HeartbeatDue = Now >= NextHeartbeat_;
  if (HeartbeatDue)
    NextHeartbeat_ = Now + HeartbeatInterval;
  for (auto &[Peer, PeerLink] : Links_) {
    if (HeartbeatDue && PeerLink.Open_)
      sendHeartbeat(Now, Peer, Out);
    checkLink(Now, Peer, PeerLink, Out);
  }
  for (; !Pauses_.empty() && Pauses_.front().first <= Now; Pauses_.pop_front())
    if (const auto Found = Hosts_.find(Pauses_.front().second); Found != Hosts_.end())
      updateState(Now, Found->second, Out);
  for (; !OffList_.empty() && OffList_.front().first <= Now; OffList_.pop_front()) {
    const auto Found = Hosts_.find(OffList_.front().second);
    if (Found == Hosts_.end() || !Found->second.OffListSince_ ||
        Now - *Found->second.OffListSince_ < GracePeriod)
      continue;
    updateState(Now, Found->second, Out);
    const auto Known = Links_.find(Found->first);
    if (Known != Links_.end() && Now - Known->second.LastAlive_ < HostSilence) {
      // The host is alive but unlisted, so the list may be out of date; keep exchanging heartbeats.
      OffList_.emplace_back(Now + GracePeriod, Found->first);
      continue;
    }
    Links_.erase(Found->first);
    Hosts_.erase(Found);
  }
  return Out;
}

void Membership::checkLink(TimePoint Now, const HostId &Id, Link &PeerLink,
                           MembershipEffects &Out) {
  const Duration Quiet = Now - PeerLink.LastAlive_;
  const auto Known = Hosts_.find(Id);
  if (Known != Hosts_.end() && !Known->second.Silent_ && Quiet >= HostSilence) {
    Known->second.Silent_ = true;
    updateState(Now, Known->second, Out);
  }
  if (Now < PeerLink.NextAttempt_ || (PeerLink.Open_ && Quiet < LinkSilence))
    return;
  PeerLink.Backoff_ = std::clamp<Duration>(PeerLink.Backoff_ * 2, MinProbeBackoff, MaxProbeBackoff);
  PeerLink.NextAttempt_ = Now + PeerLink.Backoff_;
  if (PeerLink.Open_)
    Out.emplace_back(ReplaceLink{Id});
  else
    Out.emplace_back(ProbeHost{Id});
}

HostState Membership::computeState(TimePoint Now, const Host &Record) const {
  if (Record.Listings_.empty())
    return Record.OffListSince_ && Now - *Record.OffListSince_ < GracePeriod ? HostState::Leaving
                                                                             : HostState::Gone;
  for (const std::optional<Incarnation> &Left : {Record.ListLeavingRun_, Record.NoticeLeavingRun_})
    if (Left && Record.Incarnation_ <= *Left)
      return HostState::Leaving;
  if (Record.Silent_)
    return HostState::Silent;
  return Now < Record.PausedUntil_ ? HostState::Paused : HostState::Live;
}

void Membership::updateState(TimePoint Now, Host &Record, MembershipEffects &Out) {
  const HostState State = computeState(Now, Record);
  if (State == HostState::Live)
    addToIndexes(Record);
  else
    removeFromIndexes(Record);
  if (State == Record.State_)
    return;
  Record.State_ = State;
  Out.emplace_back(HostStateChanged{Record.Id_, State});
}

void Membership::addToIndexes(Host &Record) {
  if (Record.Indexed_)
    return;
  Record.Indexed_ = Record.Listings_.back();
  HostRefs &InDataCentre = ByDataCentre_[Record.Indexed_->DataCentre_];
  HostRefs &InService = ByService_[Record.Indexed_->Service_];
  Record.DataCentrePosition_ = InDataCentre.size();
  Record.ServicePosition_ = InService.size();
  InDataCentre.push_back(&*Record.Indexed_);
  InService.push_back(&*Record.Indexed_);
}

void Membership::removeFromIndexes(Host &Record) {
  if (!Record.Indexed_)
    return;
  // The last element takes the place of the removed one, so that removal takes constant time.
  HostRefs &InDataCentre = ByDataCentre_[Record.Indexed_->DataCentre_];
  InDataCentre[Record.DataCentrePosition_] = InDataCentre.back();
  Hosts_[InDataCentre.back()->Id_].DataCentrePosition_ = Record.DataCentrePosition_;
  InDataCentre.pop_back();
  HostRefs &InService = ByService_[Record.Indexed_->Service_];
  InService[Record.ServicePosition_] = InService.back();
  Hosts_[InService.back()->Id_].ServicePosition_ = Record.ServicePosition_;
  InService.pop_back();
  Record.Indexed_.reset();
}

HostState Membership::state(const HostId &Id) const {
  const auto Found = Hosts_.find(Id);
  return Found == Hosts_.end() ? HostState::Gone : Found->second.State_;
}

const Membership::Host *Membership::find(const HostId &Id) const {
  const auto Found = Hosts_.find(Id);
  return Found == Hosts_.end() ? nullptr : &Found->second;
}

const Membership::HostRefs &Membership::liveInDataCentre(const DataCentreId &DataCentre) const {
  return lookUp(ByDataCentre_, DataCentre);
}

const Membership::HostRefs &Membership::liveInService(const ServiceId &Service) const {
  return lookUp(ByService_, Service);
}

} // namespace bronzestand
