#include "bronzestand/membership.h"

#include <algorithm>
#include <array>
#include <set>

namespace bronzestand {
namespace {

using namespace std::chrono_literals;

constexpr Duration HeartbeatInterval = 500ms;
constexpr Duration LinkSilence = 2s;
constexpr Duration HostSilence = 3s;
constexpr Duration PauseGap = 1s;
constexpr Duration PausedTime = 1s;
constexpr Duration GracePeriod = 20s;
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
    list(Now, Spec, Out);
  }
  for (const HostId &Id : Known)
    if (Kept.count(Id) == 0)
      unlist(Now, Id, Key, Out);
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

void Membership::list(TimePoint Now, const HostSpec &Spec, MembershipEffects &Out) {
  Host &Value = Hosts_[Spec.Id_];
  Value.Id_ = Spec.Id_;
  const auto Same = [&](const HostSpec &Old) {
    return Old.DataCentre_ == Spec.DataCentre_ && Old.Service_ == Spec.Service_;
  };
  const auto Old = std::find_if(Value.Listings_.begin(), Value.Listings_.end(), Same);
  if (Old != Value.Listings_.end() && Old->Address_ == Spec.Address_ && Old->Port_ == Spec.Port_ &&
      Old->Leaving_ == Spec.Leaving_)
    return;
  const bool WasLeaving = Old != Value.Listings_.end() && Old->Leaving_;
  if (Value.Listings_.empty())
    ++Listed_;
  if (Old == Value.Listings_.end())
    Value.Listings_.push_back(Spec);
  else
    *Old = Spec;
  Value.OffListSince_.reset();
  // The list names no run. A mark counts for the run known when it appears, so that a later run is
  // live although the lagging list still carries the mark.
  if (Spec.Leaving_ && !WasLeaving)
    Value.ListLeftRun_ = Value.Incarnation_;
  if (std::none_of(Value.Listings_.begin(), Value.Listings_.end(),
                   [](const HostSpec &Entry) { return Entry.Leaving_; }))
    Value.ListLeftRun_.reset();
  removeFromIndexes(Value);
  update(Now, Value, Out);
}

void Membership::unlist(TimePoint Now, const HostId &Id, const ListKey &Key,
                        MembershipEffects &Out) {
  const auto Found = Hosts_.find(Id);
  if (Found == Hosts_.end())
    return;
  Host &Value = Found->second;
  auto &Listings = Value.Listings_;
  Listings.erase(std::remove_if(Listings.begin(), Listings.end(),
                                [&](const HostSpec &Spec) {
                                  return Spec.DataCentre_ == Key.first &&
                                         Spec.Service_ == Key.second;
                                }),
                 Listings.end());
  if (Listings.empty()) {
    --Listed_;
    Value.OffListSince_ = Now;
    OffList_.emplace_back(Now + GracePeriod, Id);
  }
  removeFromIndexes(Value);
  update(Now, Value, Out);
}

bool Membership::heard(TimePoint Now, const HostId &From, Incarnation Run, std::uint32_t Epoch,
                       MembershipEffects &Out) {
  checkPause(Now, Out);
  const auto Found = Hosts_.find(From);
  if (Found != Hosts_.end()) {
    const Host &Value = Found->second;
    if (std::make_pair(Run, Epoch) < std::make_pair(Value.Incarnation_, Value.Epoch_))
      return false;
  }
  noteRun(Now, From, Run, Epoch, Out);
  return true;
}

void Membership::noteRun(TimePoint Now, const HostId &Id, Incarnation Run, std::uint32_t Epoch,
                         MembershipEffects &Out) {
  Host &Value = Hosts_[Id];
  Value.Id_ = Id;
  if (Value.Listings_.empty() && !Value.OffListSince_) {
    // A host heard of before the list names it is forgotten unless it is listed in time.
    Value.OffListSince_ = Now - GracePeriod;
    OffList_.emplace_back(Now + GracePeriod, Id);
  }
  if (Run == Value.Incarnation_ && Epoch > Value.Epoch_) {
    Value.PausedUntil_ = Now + PausedTime;
    Pauses_.emplace_back(Value.PausedUntil_, Id);
  }
  // A mark of the list that came before any run was heard of belongs to the first run heard.
  if (Value.Incarnation_ == 0 && Value.ListLeftRun_)
    Value.ListLeftRun_ = Run;
  Value.Incarnation_ = Run;
  Value.Epoch_ = Epoch;
  update(Now, Value, Out);
}

void Membership::noteAlive(TimePoint Now, TimePoint Proven, const HostId &Id,
                           MembershipEffects &Out) {
  const auto Found = Links_.find(Id);
  if (Found == Links_.end() || Proven > Now)
    return;
  Link &Value = Found->second;
  Value.Proven_ = std::max(Value.Proven_, Proven);
  if (Now - Value.Proven_ >= HostSilence)
    return;
  Value.Backoff_ = Duration(0);
  if (const auto Known = Hosts_.find(Id); Known != Hosts_.end() && Known->second.Silent_) {
    Known->second.Silent_ = false;
    update(Now, Known->second, Out);
  }
}

void Membership::sendHeartbeat(TimePoint Now, const HostId &To, MembershipEffects &Out) const {
  Heartbeat Beat{Settings_.Run_, Epoch_, Leaving_, Now, 0, TimePoint()};
  if (const auto Found = Links_.find(To); Found != Links_.end()) {
    Beat.EchoRun_ = Found->second.BeatRun_;
    Beat.Echo_ = Found->second.BeatSent_;
  }
  Out.emplace_back(SendMembership{To, Beat});
}

void Membership::noteLeaving(TimePoint Now, const HostId &Id, Incarnation Run,
                             MembershipEffects &Out) {
  if (Id == Settings_.Self_)
    return;
  Host &Value = Hosts_[Id];
  Value.Id_ = Id;
  if (Run > Value.Incarnation_)
    noteRun(Now, Id, Run, 0, Out);
  Value.NoticeLeftRun_ = std::max(Value.NoticeLeftRun_.value_or(0), Run);
  update(Now, Value, Out);
}

MembershipEffects Membership::handle(TimePoint Now, const HostId &From,
                                     const MembershipMessage &Message) {
  MembershipEffects Out;
  checkPause(Now, Out);
  std::visit([&](const auto &Body) { on(Now, From, Body, Out); }, Message);
  return Out;
}

void Membership::on(TimePoint Now, const HostId &From, const LeavingNotice &Notice,
                    MembershipEffects &Out) {
  // Only the host itself may start a run that this node has not heard of.
  if (From == Notice.Host_ || Hosts_.count(Notice.Host_) != 0)
    noteLeaving(Now, Notice.Host_, Notice.Incarnation_, Out);
}

void Membership::on(TimePoint Now, const HostId &From, const Heartbeat &Beat,
                    MembershipEffects &Out) {
  const Host *Known = find(From);
  const bool Resumed =
      Known == nullptr || Known->Incarnation_ != Beat.Incarnation_ || Known->Epoch_ != Beat.Epoch_;
  if (!heard(Now, From, Beat.Incarnation_, Beat.Epoch_, Out))
    return;
  if (Beat.Leaving_)
    noteLeaving(Now, From, Beat.Incarnation_, Out);
  const auto Found = Links_.find(From);
  if (Found == Links_.end())
    return;
  Link &Value = Found->second;
  if (std::make_pair(Value.BeatRun_, Value.BeatSent_) <
      std::make_pair(Beat.Incarnation_, Beat.Sent_)) {
    Value.BeatRun_ = Beat.Incarnation_;
    Value.BeatSent_ = Beat.Sent_;
  }
  if (Beat.EchoRun_ == Settings_.Run_)
    noteAlive(Now, Beat.Echo_, From, Out);
  // A host that resumes trusts no link until it has an echo, so it gets one without delay.
  if (Resumed && Value.Open_)
    sendHeartbeat(Now, From, Out);
}

MembershipEffects Membership::linkOpened(TimePoint Now, const HostId &Peer,
                                         const Heartbeat &Hello) {
  MembershipEffects Out;
  checkPause(Now, Out);
  if (!heard(Now, Peer, Hello.Incarnation_, Hello.Epoch_, Out))
    return Out;
  if (Hello.Leaving_)
    noteLeaving(Now, Peer, Hello.Incarnation_, Out);
  Link &Value = Links_[Peer];
  Value.Open_ = true;
  Value.NextAttempt_ = Now;
  noteAlive(Now, Now, Peer, Out);
  sendHeartbeat(Now, Peer, Out);
  return Out;
}

MembershipEffects Membership::linkFailed(TimePoint Now, const HostId &Peer) {
  MembershipEffects Out;
  checkPause(Now, Out);
  const auto [Position, Created] = Links_.try_emplace(Peer);
  Link &Value = Position->second;
  if (Created)
    Value.Proven_ = Now;
  Value.Open_ = false;
  Value.Backoff_ = std::clamp<Duration>(Value.Backoff_ * 2, MinProbeBackoff, MaxProbeBackoff);
  Value.NextAttempt_ = Now + Value.Backoff_;
  return Out;
}

void Membership::linkClosed(const HostId &Peer) {
  // A silent host stays observed, so that its return is noticed.
  const auto Known = Hosts_.find(Peer);
  if (Known == Hosts_.end() || !Known->second.Silent_)
    Links_.erase(Peer);
}

MembershipEffects Membership::leave(TimePoint Now) {
  MembershipEffects Out;
  checkPause(Now, Out);
  Leaving_ = true;
  for (const auto &[Peer, Value] : Links_)
    Out.emplace_back(SendMembership{Peer, LeavingNotice{Settings_.Self_, Settings_.Run_}});
  return Out;
}

void Membership::checkPause(TimePoint Now, MembershipEffects &Out) {
  const Duration Gap = Now - LastTick_;
  if (Gap <= PauseGap)
    return;
  LastTick_ = Now;
  ++Epoch_;
  Out.emplace_back(OwnPause{Gap, Epoch_});
  // The silence was this node's own, so links are not replaced at once. Hosts stay unproven until
  // they answer, because they may have left during the pause.
  for (auto &[Peer, Value] : Links_)
    Value.NextAttempt_ = std::max(Value.NextAttempt_, Now + HeartbeatInterval);
  NextHeartbeat_ = Now;
}

MembershipEffects Membership::tick(TimePoint Now) {
  MembershipEffects Out;
  checkPause(Now, Out);
  LastTick_ = Now;
  const bool Beat = Now >= NextHeartbeat_;
  if (Beat)
    NextHeartbeat_ = Now + HeartbeatInterval;
  for (auto &[Peer, Value] : Links_) {
    if (Beat && Value.Open_)
      sendHeartbeat(Now, Peer, Out);
    checkLink(Now, Peer, Value, Out);
  }
  for (; !Pauses_.empty() && Pauses_.front().first <= Now; Pauses_.pop_front())
    if (const auto Found = Hosts_.find(Pauses_.front().second); Found != Hosts_.end())
      update(Now, Found->second, Out);
  for (; !OffList_.empty() && OffList_.front().first <= Now; OffList_.pop_front()) {
    const auto Found = Hosts_.find(OffList_.front().second);
    if (Found == Hosts_.end() || !Found->second.OffListSince_ ||
        Now - *Found->second.OffListSince_ < GracePeriod)
      continue;
    update(Now, Found->second, Out);
    const auto Known = Links_.find(Found->first);
    if (Known != Links_.end() && Now - Known->second.Proven_ < HostSilence) {
      // The list lags behind a host that is at work; its link keeps its heartbeats.
      OffList_.emplace_back(Now + GracePeriod, Found->first);
      continue;
    }
    Links_.erase(Found->first);
    Hosts_.erase(Found);
  }
  return Out;
}

void Membership::checkLink(TimePoint Now, const HostId &Id, Link &Value, MembershipEffects &Out) {
  const Duration Quiet = Now - Value.Proven_;
  const auto Known = Hosts_.find(Id);
  if (Known != Hosts_.end() && !Known->second.Silent_ && Quiet >= HostSilence) {
    Known->second.Silent_ = true;
    update(Now, Known->second, Out);
  }
  if (Now < Value.NextAttempt_ || (Value.Open_ && Quiet < LinkSilence))
    return;
  Value.Backoff_ = std::clamp<Duration>(Value.Backoff_ * 2, MinProbeBackoff, MaxProbeBackoff);
  Value.NextAttempt_ = Now + Value.Backoff_;
  if (Value.Open_)
    Out.emplace_back(ReplaceLink{Id});
  else
    Out.emplace_back(ProbeHost{Id});
}

HostState Membership::derive(TimePoint Now, const Host &Value) const {
  if (Value.Listings_.empty())
    return Value.OffListSince_ && Now - *Value.OffListSince_ < GracePeriod ? HostState::Leaving
                                                                           : HostState::Gone;
  for (const std::optional<Incarnation> &Left : {Value.ListLeftRun_, Value.NoticeLeftRun_})
    if (Left && Value.Incarnation_ <= *Left)
      return HostState::Leaving;
  if (Value.Silent_)
    return HostState::Silent;
  return Now < Value.PausedUntil_ ? HostState::Paused : HostState::Live;
}

void Membership::update(TimePoint Now, Host &Value, MembershipEffects &Out) {
  const HostState State = derive(Now, Value);
  if (State == HostState::Live)
    addToIndexes(Value);
  else
    removeFromIndexes(Value);
  if (State == Value.State_)
    return;
  Value.State_ = State;
  Out.emplace_back(HostStateChanged{Value.Id_, State});
}

void Membership::addToIndexes(Host &Value) {
  if (Value.Indexed_)
    return;
  Value.Indexed_ = Value.Listings_.back();
  HostRefs &InDataCentre = ByDataCentre_[Value.Indexed_->DataCentre_];
  HostRefs &InService = ByService_[Value.Indexed_->Service_];
  Value.DataCentreSlot_ = InDataCentre.size();
  Value.ServiceSlot_ = InService.size();
  InDataCentre.push_back(&*Value.Indexed_);
  InService.push_back(&*Value.Indexed_);
}

void Membership::removeFromIndexes(Host &Value) {
  if (!Value.Indexed_)
    return;
  // The last element fills the gap, so that a change costs no more than the host itself.
  HostRefs &InDataCentre = ByDataCentre_[Value.Indexed_->DataCentre_];
  InDataCentre[Value.DataCentreSlot_] = InDataCentre.back();
  Hosts_[InDataCentre.back()->Id_].DataCentreSlot_ = Value.DataCentreSlot_;
  InDataCentre.pop_back();
  HostRefs &InService = ByService_[Value.Indexed_->Service_];
  InService[Value.ServiceSlot_] = InService.back();
  Hosts_[InService.back()->Id_].ServiceSlot_ = Value.ServiceSlot_;
  InService.pop_back();
  Value.Indexed_.reset();
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
