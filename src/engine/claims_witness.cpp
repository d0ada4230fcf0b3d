#include <algorithm>
#include <iterator>

#include "bronzestand/claims.h"
#include "bronzestand/rendezvous.h"

namespace bronzestand {

namespace {

/// Limits the probes of large services. All hosts of a service probe the same hosts, so that two
/// majorities of them have a host in common.
constexpr std::size_t MaxProbedHosts = 9;

/// Witness sets remembered per slot. A requester that missed more falls back to the time rule.
constexpr std::size_t MaxSetHistory = 16;

/// Requests for entries are repeated at every tick for this long after a change of set.
constexpr Duration FastRequestPeriod = std::chrono::seconds(1);

std::size_t majority(std::size_t Hosts) { return Hosts / 2 + 1; }

/// Earliest time since which enough hosts know all grants that every majority of the set includes
/// one of them; nothing if too few hosts have answered.
std::optional<TimePoint> quorumKnownSince(const std::vector<HostId> &Set,
                                          const std::map<HostId, TimePoint> &KnownSince) {
  std::vector<TimePoint> Times;
  for (const HostId &Host : Set) {
    if (const auto Found = KnownSince.find(Host); Found != KnownSince.end())
      Times.push_back(Found->second);
  }
  const std::size_t Needed = Set.size() - majority(Set.size()) + 1;
  if (Set.empty() || Times.size() < Needed)
    return std::nullopt;
  std::sort(Times.begin(), Times.end());
  return Times[Needed - 1];
}

template <typename T> bool contains(const std::vector<T> &Values, const T &Value) {
  return std::find(Values.begin(), Values.end(), Value) != Values.end();
}

} // namespace

Witness::Witness(HostId Self, Incarnation OwnIncarnation, TimePoint Now, ClaimSettings Settings)
    : Self_(std::move(Self)), OwnIncarnation_(OwnIncarnation), Settings_(Settings),
      Slots_(ClaimSlots), NextProbe_(Now), NextRequest_(Now), NextExpiry_(Now) {
  for (SlotState &State : Slots_)
    State.KnownSince_ = State.BaseKnownSince_ = Now + Settings_.Grace_;
}

void Witness::setWallClock(TimePoint Now, std::int64_t UnixMs) {
  WallOffsetUs_ = UnixMs * 1000 - Now.time_since_epoch().count();
}

std::vector<ClaimSend> Witness::setHosts(TimePoint Now, const std::vector<ClaimHost> &Hosts,
                                         Revision ListRevision) {
  std::vector<ClaimSend> Sends;
  if (ListRevision <= ListRevision_)
    return Sends;
  const bool WasFresh = isFresh(Now);
  const Revision PreviousRevision = ListRevision_;
  ListRevision_ = ListRevision;
  std::vector<HostId> Ids;
  Ids.reserve(Hosts.size());
  for (const ClaimHost &Host : Hosts)
    Ids.push_back(Host.Id_);
  ProbedHosts_ = topHosts("claims/panel", Ids, MaxProbedHosts);
  for (std::uint32_t SlotNumber = 0; SlotNumber < ClaimSlots; ++SlotNumber) {
    SlotState &State = Slots_[SlotNumber];
    std::vector<HostId> Members = witnessSet(SlotNumber, Hosts);
    // A fence by a list newer than the previous one means that another set was in force meanwhile.
    if (Members == State.Members_ && State.FenceRevision_ <= PreviousRevision)
      continue;
    changeSet(Now, State, std::move(Members), WasFresh, PreviousRevision);
    requestEntries(Now, SlotNumber, Sends);
  }
  NextProbe_ = Now;
  return Sends;
}

void Witness::changeSet(TimePoint Now, SlotState &State, std::vector<HostId> Members, bool WasFresh,
                        Revision PreviousRevision) {
  // An unfinished handover keeps its previous sets, because their entries are still missing.
  const bool IsUnfinished = State.IsMember_ && !State.Inherited_ && !State.PreviousSets_.empty() &&
                            Now - State.KnownSince_ < retention();
  if (!IsUnfinished) {
    State.PreviousSets_.clear();
    State.BaseKnownSince_ = State.IsMember_ ? State.KnownSince_ : Now + Settings_.Grace_;
    State.BaseRevision_ = PreviousRevision;
  }
  // A host that was cut off may have missed a set that granted keys under the time rule.
  if (PreviousRevision == 0 || !WasFresh) {
    State.PreviousSets_.clear();
  } else if (IsUnfinished || State.PreviousSets_.empty()) {
    State.PreviousSets_.push_back(State.Members_);
    for (const auto &[SetRevision, Set] : State.SetHistory_) {
      if (SetRevision > PreviousRevision && SetRevision < ListRevision_ &&
          !contains(State.PreviousSets_, Set))
        State.PreviousSets_.push_back(Set);
    }
  }
  State.FenceReplies_ = {{Self_, State.BaseKnownSince_}};
  State.SyncReplies_.clear();
  State.Members_ = std::move(Members);
  State.IsMember_ = contains(State.Members_, Self_);
  State.AdoptedRevision_ = ListRevision_;
  State.AdoptedAt_ = Now;
  State.Inherited_ = false;
  if (State.IsMember_)
    State.KnownSince_ = Now + Settings_.Grace_;
  State.SetHistory_.emplace_back(ListRevision_, State.Members_);
  if (State.SetHistory_.size() > MaxSetHistory)
    State.SetHistory_.erase(State.SetHistory_.begin());
  updateKnownSince(Now, State);
}

void Witness::requestEntries(TimePoint Now, std::uint32_t SlotNumber,
                             std::vector<ClaimSend> &Sends) const {
  const SlotState &State = Slots_[SlotNumber];
  if (!State.IsMember_ || State.Inherited_ || Now - State.KnownSince_ >= retention())
    return;
  // Requests are repeated because two hosts that change sets at the same time may each need the
  // other's entries. Later only hosts that have not answered are asked, because tables are large.
  const bool IsFastPeriod = Now - State.AdoptedAt_ < FastRequestPeriod;
  HandoverRequest Request{SlotNumber,          ListRevision_, OwnIncarnation_,
                          State.BaseRevision_, true,          State.Members_};
  std::vector<HostId> Asked{Self_};
  for (const auto &Set : State.PreviousSets_) {
    for (const HostId &Host : Set) {
      if ((IsFastPeriod || State.FenceReplies_.count(Host) == 0) && !contains(Asked, Host)) {
        Asked.push_back(Host);
        Sends.push_back({Host, Request});
      }
    }
  }
  Request.Fence_ = false;
  for (const HostId &Host : State.Members_) {
    if (Host != Self_ && (IsFastPeriod || State.SyncReplies_.count(Host) == 0))
      Sends.push_back({Host, Request});
  }
}

void Witness::updateKnownSince(TimePoint Now, SlotState &State) const {
  if (!State.IsMember_ || State.Inherited_)
    return;
  std::optional<TimePoint> FencedSince;
  for (const auto &Set : State.PreviousSets_) {
    const auto Since = quorumKnownSince(Set, State.FenceReplies_);
    if (!Since) {
      FencedSince.reset();
      break;
    }
    FencedSince = std::max(FencedSince.value_or(*Since), *Since);
  }
  for (const auto &Since : {FencedSince, quorumKnownSince(State.Members_, State.SyncReplies_)}) {
    if (Since)
      State.KnownSince_ = std::min(State.KnownSince_, *Since);
  }
  // Members that still wait for entries themselves report late times and may report earlier ones
  // afterwards, so the handover goes on until the time is early enough.
  State.Inherited_ =
      Now - State.KnownSince_ >= retention() ||
      State.KnownSince_ <= std::min(State.BaseKnownSince_ + Settings_.Grace_, State.AdoptedAt_);
}

bool Witness::mergeEntries(TimePoint Now, const HandoverReply &Reply) {
  if (Entries_.size() + Reply.Entries_.size() > Settings_.MaxEntries_)
    return false;
  for (const HandoverEntry &Received : Reply.Entries_) {
    const auto [Position, IsNew] = Entries_.try_emplace(Received.Key_);
    Entry &Stored = Position->second;
    const TimePoint GrantedAt = Now - Received.Age_;
    if (IsNew) {
      Stored = {Received.BodyHash_, Received.Owner_, GrantedAt, Received.Contested_};
      continue;
    }
    Stored.GrantedAt_ = std::max(Stored.GrantedAt_, GrantedAt);
    if (Stored.Owner_.Host_ == Received.Owner_.Host_ &&
        Stored.Owner_.Incarnation_ == Received.Owner_.Incarnation_)
      Stored.Owner_.Attempt_ = std::max(Stored.Owner_.Attempt_, Received.Owner_.Attempt_);
    else
      Stored.Contested_ = true;
    Stored.Contested_ = Stored.Contested_ || Received.Contested_;
  }
  return true;
}

bool Witness::isFresh(TimePoint Now) const {
  std::size_t AnsweredCount = 0;
  for (const HostId &Host : ProbedHosts_) {
    const auto Reply = ProbeReplies_.find(Host);
    const bool Answered =
        Reply != ProbeReplies_.end() && Now - Reply->second < Settings_.Grace_ / 2;
    AnsweredCount += Host == Self_ || Answered ? 1 : 0;
  }
  return !ProbedHosts_.empty() && AnsweredCount >= majority(ProbedHosts_.size());
}

bool Witness::knowsAllGrants(TimePoint Now, const SlotState &State, const ClaimDigest &Key) const {
  if (!Settings_.EnforceTimeRule_)
    return true;
  if (Key.KeyUnixMs_ != 0 && WallOffsetUs_) {
    const TimePoint Created(Duration(Key.KeyUnixMs_ * 1000 - *WallOffsetUs_));
    // A key from the future could pass the time rule at a later witness that does not know its
    // grant.
    if (Created > Now + Settings_.Skew_)
      return false;
    if (Created >= State.KnownSince_ + Settings_.Skew_)
      return true;
  }
  return Now - State.KnownSince_ >= retention();
}

ClaimVote Witness::vote(TimePoint Now, const ClaimRequest &Request) {
  const SlotState &State = Slots_[slotOf(Request.Key_)];
  ClaimVote Vote;
  Vote.Key_ = Request.Key_;
  Vote.Attempt_ = Request.Owner_.Attempt_;
  Vote.Witness_ = OwnIncarnation_;
  for (const HostId &Host : State.Members_) {
    const auto KnownIncarnation = State.KnownIncarnations_.find(Host);
    Vote.Known_.push_back(
        KnownIncarnation == State.KnownIncarnations_.end() ? 0 : KnownIncarnation->second);
  }
  if (VotingStopped_ || !State.IsMember_ || State.Members_ != Request.Members_ ||
      State.FenceRevision_ > ListRevision_ || !isFresh(Now) ||
      !knowsAllGrants(Now, State, Request.Key_))
    return Vote;
  auto Found = Entries_.find(Request.Key_);
  if (Found != Entries_.end() && Now - Found->second.GrantedAt_ > retention()) {
    Entries_.erase(Found);
    Found = Entries_.end();
  }
  if (Found == Entries_.end()) {
    if (Entries_.size() >= Settings_.MaxEntries_)
      return Vote;
    Entries_.emplace(Request.Key_, Entry{Request.BodyHash_, Request.Owner_, Now, false});
    Vote.Verdict_ = ClaimVerdict::Granted;
    return Vote;
  }
  Entry &Stored = Found->second;
  if (!Stored.Contested_ && Stored.Owner_.Host_ == Request.Owner_.Host_ &&
      Stored.Owner_.Incarnation_ == Request.Owner_.Incarnation_) {
    Stored.Owner_.Attempt_ = std::max(Stored.Owner_.Attempt_, Request.Owner_.Attempt_);
    Stored.GrantedAt_ = Now;
    Stored.BodyHash_ = Request.BodyHash_;
    Vote.Verdict_ = ClaimVerdict::Granted;
    return Vote;
  }
  Vote.Verdict_ = ClaimVerdict::Taken;
  Vote.Owner_ = Stored.Owner_;
  Vote.BodyHash_ = Stored.BodyHash_;
  return Vote;
}

std::vector<ClaimSend> Witness::on(TimePoint Now, const HostId &From, const ClaimRequest &Message) {
  ClaimVote Vote = vote(Now, Message);
  Counts_.Granted_ += Vote.Verdict_ == ClaimVerdict::Granted ? 1 : 0;
  Counts_.Taken_ += Vote.Verdict_ == ClaimVerdict::Taken ? 1 : 0;
  Counts_.Abstained_ += Vote.Verdict_ == ClaimVerdict::Abstained ? 1 : 0;
  return {{From, std::move(Vote)}};
}

std::vector<ClaimSend> Witness::on(TimePoint, const HostId &, const ClaimRelease &Message) {
  const auto Found = Entries_.find(Message.Key_);
  if (Found == Entries_.end())
    return {};
  const Entry &Stored = Found->second;
  if (!Stored.Contested_ && Stored.Owner_.Host_ == Message.Owner_.Host_ &&
      Stored.Owner_.Incarnation_ == Message.Owner_.Incarnation_ &&
      Stored.Owner_.Attempt_ <= Message.Owner_.Attempt_)
    Entries_.erase(Found);
  return {};
}

TimePoint Witness::knownSinceFor(TimePoint Now, const SlotState &State,
                                 const HandoverRequest &Message) const {
  if (!Message.Fence_)
    return State.KnownSince_;
  const TimePoint MemberKnownSince = State.IsMember_ ? State.KnownSince_ : Now + Settings_.Grace_;
  // A host with an older list than the requester's base does not know what the base set took over.
  if (ListRevision_ < Message.Before_)
    return Now + Settings_.Grace_;
  // The requester fences all sets since its base, so it needs only what was known at the end of
  // the same or a later base set.
  if (State.AdoptedRevision_ > Message.Before_ && Message.Before_ <= State.BaseRevision_)
    return std::min(State.BaseKnownSince_, MemberKnownSince);
  return MemberKnownSince;
}

std::vector<ClaimSend> Witness::on(TimePoint Now, const HostId &From,
                                   const HandoverRequest &Message) {
  SlotState &State = Slots_[Message.Slot_ % ClaimSlots];
  if (Message.Fence_) {
    // A request on an older list comes from a set that has been replaced.
    if (Message.Revision_ < State.FenceRevision_ || Message.Revision_ < State.AdoptedRevision_)
      return {};
    State.FenceRevision_ = Message.Revision_;
    if (Message.Revision_ > ListRevision_ &&
        !contains(State.SetHistory_, std::pair(Message.Revision_, Message.Members_)))
      State.SetHistory_.emplace_back(Message.Revision_, Message.Members_);
  } else if (!State.IsMember_ || State.Members_ != Message.Members_ ||
             State.FenceRevision_ > ListRevision_ || !isFresh(Now)) {
    return {};
  }
  Incarnation &KnownIncarnation = State.KnownIncarnations_[From];
  if (Message.Incarnation_ < KnownIncarnation)
    return {};
  KnownIncarnation = Message.Incarnation_;
  HandoverReply Reply{Message.Slot_,
                      Message.Revision_,
                      Message.Incarnation_,
                      OwnIncarnation_,
                      Message.Fence_,
                      Now - knownSinceFor(Now, State, Message),
                      {},
                      {}};
  for (const auto &[Key, Stored] : Entries_) {
    if (slotOf(Key) == Message.Slot_)
      Reply.Entries_.push_back(
          {Key, Stored.BodyHash_, Stored.Owner_, Now - Stored.GrantedAt_, Stored.Contested_});
  }
  for (const auto &[SetRevision, Set] : State.SetHistory_) {
    if (SetRevision > Message.Before_ && SetRevision < Message.Revision_)
      Reply.LaterSets_.push_back(Set);
  }
  return {{From, std::move(Reply)}};
}

std::vector<ClaimSend> Witness::on(TimePoint Now, const HostId &From,
                                   const HandoverReply &Message) {
  SlotState &State = Slots_[Message.Slot_ % ClaimSlots];
  if (Message.Incarnation_ != OwnIncarnation_ || Message.Revision_ < State.AdoptedRevision_ ||
      !State.IsMember_ || State.Inherited_ || !mergeEntries(Now, Message))
    return {};
  Incarnation &KnownIncarnation = State.KnownIncarnations_[From];
  KnownIncarnation = std::max(KnownIncarnation, Message.Witness_);
  const TimePoint KnownSince = Now - Message.KnownFor_;
  auto &Replies = Message.Fence_ ? State.FenceReplies_ : State.SyncReplies_;
  TimePoint &Earliest = Replies.try_emplace(From, KnownSince).first->second;
  Earliest = std::min(Earliest, KnownSince);
  if (Message.Fence_ && !State.PreviousSets_.empty()) {
    for (const auto &Set : Message.LaterSets_) {
      if (!contains(State.PreviousSets_, Set))
        State.PreviousSets_.push_back(Set);
    }
  }
  updateKnownSince(Now, State);
  return {};
}

std::vector<ClaimSend> Witness::on(TimePoint, const HostId &From, const ClaimProbe &Message) {
  return {{From, ClaimProbeReply{Message.Number_, Message.Incarnation_, ListRevision_}}};
}

std::vector<ClaimSend> Witness::on(TimePoint, const HostId &From, const ClaimProbeReply &Message) {
  const auto SentProbe = SentProbes_.find(Message.Number_);
  if (Message.Incarnation_ != OwnIncarnation_ || SentProbe == SentProbes_.end() ||
      Message.Revision_ > ListRevision_)
    return {};
  TimePoint &LastAnswered = ProbeReplies_.try_emplace(From, SentProbe->second).first->second;
  LastAnswered = std::max(LastAnswered, SentProbe->second);
  return {};
}

std::vector<ClaimSend> Witness::handle(TimePoint Now, const HostId &From,
                                       const ClaimMessage &Message) {
  return std::visit([&](const auto &Body) { return on(Now, From, Body); }, Message);
}

std::vector<ClaimSend> Witness::tick(TimePoint Now) {
  std::vector<ClaimSend> Sends;
  if (Now >= NextProbe_) {
    NextProbe_ = Now + Settings_.ProbeEvery_;
    while (!SentProbes_.empty() && Now - SentProbes_.begin()->second > Settings_.Grace_)
      SentProbes_.erase(SentProbes_.begin());
    SentProbes_[++ProbeNumber_] = Now;
    for (const HostId &Host : ProbedHosts_) {
      if (Host != Self_)
        Sends.push_back({Host, ClaimProbe{ProbeNumber_, OwnIncarnation_}});
    }
  }
  const bool IsRequestDue = Now >= NextRequest_;
  if (IsRequestDue)
    NextRequest_ = Now + std::chrono::seconds(5);
  for (std::uint32_t SlotNumber = 0; SlotNumber < ClaimSlots; ++SlotNumber) {
    if (IsRequestDue || Now - Slots_[SlotNumber].AdoptedAt_ < FastRequestPeriod)
      requestEntries(Now, SlotNumber, Sends);
  }
  if (Now >= NextExpiry_) {
    NextExpiry_ = Now + std::chrono::seconds(10);
    for (auto At = Entries_.begin(); At != Entries_.end();)
      At = Now - At->second.GrantedAt_ > retention() ? Entries_.erase(At) : std::next(At);
  }
  return Sends;
}

WitnessDump Witness::dump(TimePoint Now) const {
  WitnessDump Result = Counts_;
  Result.Entries_ = Entries_.size();
  Result.Fresh_ = isFresh(Now);
  for (const SlotState &State : Slots_) {
    Result.Slots_ += State.IsMember_ ? 1 : 0;
    Result.Inherited_ += State.IsMember_ && State.Inherited_ ? 1 : 0;
  }
  return Result;
}

} // namespace bronzestand
