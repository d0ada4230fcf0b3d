#include <algorithm>
#include <iterator>

#include "bronzestand/claims.h"
#include "bronzestand/rendezvous.h"

namespace bronzestand {

namespace {

/// The probed hosts are the same for all hosts of a service, so that two majorities of them share
/// a host; nine bound the messages of large services.
constexpr std::size_t PanelSize = 9;

/// A requester that missed more sets than this falls back to the time rule.
constexpr std::size_t HistorySize = 16;

/// Time after a change of set in which requests for entries are repeated at every tick.
constexpr Duration EarlyRequests = std::chrono::seconds(1);

std::size_t majority(std::size_t Count) { return Count / 2 + 1; }

/// Earliest time from which hosts that share a member with every majority of the set know all
/// grants; nothing if too few hosts have answered.
std::optional<TimePoint> quorumFrom(const std::vector<HostId> &Set,
                                    const std::map<HostId, TimePoint> &From) {
  std::vector<TimePoint> Times;
  for (const HostId &Host : Set) {
    if (const auto Found = From.find(Host); Found != From.end())
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

Witness::Witness(HostId Self, Incarnation Own, TimePoint Now, ClaimSettings Settings)
    : Self_(std::move(Self)), Own_(Own), Settings_(Settings), Slots_(ClaimSlots), NextProbe_(Now),
      NextRequest_(Now), NextExpiry_(Now) {
  for (Slot &Place : Slots_)
    Place.KnowsFrom_ = Place.OwnFrom_ = Now + Settings_.Grace_;
}

void Witness::setWallClock(TimePoint Now, std::int64_t UnixMs) {
  WallOffsetUs_ = UnixMs * 1000 - Now.time_since_epoch().count();
}

std::vector<ClaimSend> Witness::setHosts(TimePoint Now, const std::vector<ClaimHost> &Hosts,
                                         Revision List) {
  std::vector<ClaimSend> Sends;
  if (List <= List_)
    return Sends;
  const bool WasFresh = isFresh(Now);
  const Revision Before = List_;
  List_ = List;
  std::vector<HostId> Ids;
  Ids.reserve(Hosts.size());
  for (const ClaimHost &Host : Hosts)
    Ids.push_back(Host.Id_);
  Panel_ = topHosts("claims/panel", Ids, PanelSize);
  for (std::uint32_t Number = 0; Number < ClaimSlots; ++Number) {
    Slot &Place = Slots_[Number];
    std::vector<HostId> Members = witnessSet(Number, Hosts);
    // A fence by a newer list means that another set was in force in between.
    if (Members == Place.Members_ && Place.Fenced_ <= Before)
      continue;
    changeSet(Now, Place, std::move(Members), WasFresh, Before);
    requestEntries(Now, Number, Sends);
  }
  NextProbe_ = Now;
  return Sends;
}

void Witness::changeSet(TimePoint Now, Slot &Place, std::vector<HostId> Members, bool WasFresh,
                        Revision Before) {
  // An unfinished handover keeps its earlier sets, because their entries are still missing.
  const bool Unfinished = Place.Mine_ && !Place.Inherited_ && !Place.Previous_.empty() &&
                          Now - Place.KnowsFrom_ < retention();
  if (!Unfinished) {
    Place.Previous_.clear();
    Place.OwnFrom_ = Place.Mine_ ? Place.KnowsFrom_ : Now + Settings_.Grace_;
    Place.Before_ = Before;
  }
  // A host that was cut off may have missed a set that was active by the time rule.
  if (Before == 0 || !WasFresh) {
    Place.Previous_.clear();
  } else if (Unfinished || Place.Previous_.empty()) {
    Place.Previous_.push_back(Place.Members_);
    for (const auto &[At, Set] : Place.History_) {
      if (At > Before && At < List_ && !contains(Place.Previous_, Set))
        Place.Previous_.push_back(Set);
    }
  }
  Place.FenceFrom_ = {{Self_, Place.OwnFrom_}};
  Place.SyncFrom_.clear();
  Place.Members_ = std::move(Members);
  Place.Mine_ = contains(Place.Members_, Self_);
  Place.Adopted_ = List_;
  Place.AdoptedAt_ = Now;
  Place.Inherited_ = false;
  if (Place.Mine_)
    Place.KnowsFrom_ = Now + Settings_.Grace_;
  Place.History_.emplace_back(List_, Place.Members_);
  if (Place.History_.size() > HistorySize)
    Place.History_.erase(Place.History_.begin());
  inherit(Now, Place);
}

void Witness::requestEntries(TimePoint Now, std::uint32_t Number,
                             std::vector<ClaimSend> &Sends) const {
  const Slot &Place = Slots_[Number];
  if (!Place.Mine_ || Place.Inherited_ || Now - Place.KnowsFrom_ >= retention())
    return;
  // Two hosts that change sets at the same time may each need the other's entries, hence the
  // repeats; after a second only silent hosts are asked again, because tables are large.
  const bool IsEarly = Now - Place.AdoptedAt_ < EarlyRequests;
  HandoverRequest Request{Number, List_, Own_, Place.Before_, true, Place.Members_};
  std::vector<HostId> Asked{Self_};
  for (const auto &Set : Place.Previous_) {
    for (const HostId &Host : Set) {
      if ((IsEarly || Place.FenceFrom_.count(Host) == 0) && !contains(Asked, Host)) {
        Asked.push_back(Host);
        Sends.push_back({Host, Request});
      }
    }
  }
  Request.Fence_ = false;
  for (const HostId &Host : Place.Members_) {
    if (Host != Self_ && (IsEarly || Place.SyncFrom_.count(Host) == 0))
      Sends.push_back({Host, Request});
  }
}

void Witness::inherit(TimePoint Now, Slot &Place) const {
  if (!Place.Mine_ || Place.Inherited_)
    return;
  std::optional<TimePoint> Fenced;
  for (const auto &Set : Place.Previous_) {
    const auto From = quorumFrom(Set, Place.FenceFrom_);
    if (!From) {
      Fenced.reset();
      break;
    }
    Fenced = std::max(Fenced.value_or(*From), *From);
  }
  for (const auto &From : {Fenced, quorumFrom(Place.Members_, Place.SyncFrom_)}) {
    if (From)
      Place.KnowsFrom_ = std::min(Place.KnowsFrom_, *From);
  }
  // Members that also wait for entries give late times; a better answer may follow from them.
  Place.Inherited_ =
      Now - Place.KnowsFrom_ >= retention() ||
      Place.KnowsFrom_ <= std::min(Place.OwnFrom_ + Settings_.Grace_, Place.AdoptedAt_);
}

bool Witness::adopt(TimePoint Now, const HandoverReply &Reply) {
  if (Entries_.size() + Reply.Entries_.size() > Settings_.MaxEntries_)
    return false;
  for (const HandoverEntry &Given : Reply.Entries_) {
    const auto [At, IsNew] = Entries_.try_emplace(Given.Key_);
    Entry &Mine = At->second;
    const TimePoint Granted = Now - Given.Age_;
    if (IsNew) {
      Mine = {Given.BodyHash_, Given.Owner_, Granted, Given.Contested_};
      continue;
    }
    Mine.Granted_ = std::max(Mine.Granted_, Granted);
    if (Mine.Owner_.Host_ == Given.Owner_.Host_ &&
        Mine.Owner_.Incarnation_ == Given.Owner_.Incarnation_)
      Mine.Owner_.Attempt_ = std::max(Mine.Owner_.Attempt_, Given.Owner_.Attempt_);
    else
      Mine.Contested_ = true;
    Mine.Contested_ = Mine.Contested_ || Given.Contested_;
  }
  return true;
}

bool Witness::isFresh(TimePoint Now) const {
  std::size_t Count = 0;
  for (const HostId &Host : Panel_) {
    const auto Reply = ProbeReplies_.find(Host);
    const bool Answered =
        Reply != ProbeReplies_.end() && Now - Reply->second < Settings_.Grace_ / 2;
    Count += Host == Self_ || Answered ? 1 : 0;
  }
  return !Panel_.empty() && Count >= majority(Panel_.size());
}

bool Witness::knows(TimePoint Now, const Slot &Place, const ClaimDigest &Key) const {
  if (!Settings_.StartRule_)
    return true;
  if (Key.KeyUnixMs_ != 0 && WallOffsetUs_) {
    const TimePoint Created(Duration(Key.KeyUnixMs_ * 1000 - *WallOffsetUs_));
    // A key from the future would pass the start rule of a later witness.
    if (Created > Now + Settings_.Skew_)
      return false;
    if (Created >= Place.KnowsFrom_ + Settings_.Skew_)
      return true;
  }
  return Now - Place.KnowsFrom_ >= retention();
}

ClaimVote Witness::vote(TimePoint Now, const ClaimRequest &Request) {
  const Slot &Place = Slots_[slotOf(Request.Key_)];
  ClaimVote Vote;
  Vote.Key_ = Request.Key_;
  Vote.Attempt_ = Request.Owner_.Attempt_;
  Vote.Witness_ = Own_;
  for (const HostId &Host : Place.Members_) {
    const auto Known = Place.Known_.find(Host);
    Vote.Known_.push_back(Known == Place.Known_.end() ? 0 : Known->second);
  }
  if (Leaving_ || !Place.Mine_ || Place.Members_ != Request.Members_ || Place.Fenced_ > List_ ||
      !isFresh(Now) || !knows(Now, Place, Request.Key_))
    return Vote;
  auto Found = Entries_.find(Request.Key_);
  if (Found != Entries_.end() && Now - Found->second.Granted_ > retention()) {
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
  Entry &Mine = Found->second;
  if (!Mine.Contested_ && Mine.Owner_.Host_ == Request.Owner_.Host_ &&
      Mine.Owner_.Incarnation_ == Request.Owner_.Incarnation_) {
    Mine.Owner_.Attempt_ = std::max(Mine.Owner_.Attempt_, Request.Owner_.Attempt_);
    Mine.Granted_ = Now;
    Mine.BodyHash_ = Request.BodyHash_;
    Vote.Verdict_ = ClaimVerdict::Granted;
    return Vote;
  }
  Vote.Verdict_ = ClaimVerdict::Taken;
  Vote.Owner_ = Mine.Owner_;
  Vote.BodyHash_ = Mine.BodyHash_;
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
  const Entry &Mine = Found->second;
  if (!Mine.Contested_ && Mine.Owner_.Host_ == Message.Owner_.Host_ &&
      Mine.Owner_.Incarnation_ == Message.Owner_.Incarnation_ &&
      Mine.Owner_.Attempt_ <= Message.Owner_.Attempt_)
    Entries_.erase(Found);
  return {};
}

TimePoint Witness::knowledgeFor(TimePoint Now, const Slot &Place,
                                const HandoverRequest &Message) const {
  if (!Message.Fence_)
    return Place.KnowsFrom_;
  const TimePoint FromMember = Place.Mine_ ? Place.KnowsFrom_ : Now + Settings_.Grace_;
  // A host that lags behind the requester's base set does not know what that set inherited.
  if (List_ < Message.Before_)
    return Now + Settings_.Grace_;
  // The requester fences all sets since its base, so that the knowledge at the end of the same or
  // a later base is enough.
  if (Place.Adopted_ > Message.Before_ && Message.Before_ <= Place.Before_)
    return std::min(Place.OwnFrom_, FromMember);
  return FromMember;
}

std::vector<ClaimSend> Witness::on(TimePoint Now, const HostId &From,
                                   const HandoverRequest &Message) {
  Slot &Place = Slots_[Message.Slot_ % ClaimSlots];
  if (Message.Fence_) {
    // A request on an older list comes from a set that has been overtaken.
    if (Message.Revision_ < Place.Fenced_ || Message.Revision_ < Place.Adopted_)
      return {};
    Place.Fenced_ = Message.Revision_;
    if (Message.Revision_ > List_ &&
        !contains(Place.History_, std::pair(Message.Revision_, Message.Members_)))
      Place.History_.emplace_back(Message.Revision_, Message.Members_);
  } else if (!Place.Mine_ || Place.Members_ != Message.Members_ || Place.Fenced_ > List_ ||
             !isFresh(Now)) {
    return {};
  }
  Incarnation &Known = Place.Known_[From];
  if (Message.Incarnation_ < Known)
    return {};
  Known = Message.Incarnation_;
  HandoverReply Reply{Message.Slot_,
                      Message.Revision_,
                      Message.Incarnation_,
                      Own_,
                      Message.Fence_,
                      Now - knowledgeFor(Now, Place, Message),
                      {},
                      {}};
  for (const auto &[Key, Mine] : Entries_) {
    if (slotOf(Key) == Message.Slot_)
      Reply.Entries_.push_back(
          {Key, Mine.BodyHash_, Mine.Owner_, Now - Mine.Granted_, Mine.Contested_});
  }
  for (const auto &[At, Set] : Place.History_) {
    if (At > Message.Before_ && At < Message.Revision_)
      Reply.LaterSets_.push_back(Set);
  }
  return {{From, std::move(Reply)}};
}

std::vector<ClaimSend> Witness::on(TimePoint Now, const HostId &From,
                                   const HandoverReply &Message) {
  Slot &Place = Slots_[Message.Slot_ % ClaimSlots];
  if (Message.Incarnation_ != Own_ || Message.Revision_ < Place.Adopted_ || !Place.Mine_ ||
      Place.Inherited_ || !adopt(Now, Message))
    return {};
  Incarnation &Known = Place.Known_[From];
  Known = std::max(Known, Message.Witness_);
  const TimePoint KnowsFrom = Now - Message.KnownFor_;
  auto &Replies = Message.Fence_ ? Place.FenceFrom_ : Place.SyncFrom_;
  TimePoint &Best = Replies.try_emplace(From, KnowsFrom).first->second;
  Best = std::min(Best, KnowsFrom);
  if (Message.Fence_ && !Place.Previous_.empty()) {
    for (const auto &Set : Message.LaterSets_) {
      if (!contains(Place.Previous_, Set))
        Place.Previous_.push_back(Set);
    }
  }
  inherit(Now, Place);
  return {};
}

std::vector<ClaimSend> Witness::on(TimePoint, const HostId &From, const ClaimProbe &Message) {
  return {{From, ClaimProbeReply{Message.Number_, Message.Incarnation_, List_}}};
}

std::vector<ClaimSend> Witness::on(TimePoint, const HostId &From, const ClaimProbeReply &Message) {
  const auto Sent = Probes_.find(Message.Number_);
  if (Message.Incarnation_ != Own_ || Sent == Probes_.end() || Message.Revision_ > List_)
    return {};
  TimePoint &Last = ProbeReplies_.try_emplace(From, Sent->second).first->second;
  Last = std::max(Last, Sent->second);
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
    while (!Probes_.empty() && Now - Probes_.begin()->second > Settings_.Grace_)
      Probes_.erase(Probes_.begin());
    Probes_[++ProbeNumber_] = Now;
    for (const HostId &Host : Panel_) {
      if (Host != Self_)
        Sends.push_back({Host, ClaimProbe{ProbeNumber_, Own_}});
    }
  }
  const bool IsRound = Now >= NextRequest_;
  if (IsRound)
    NextRequest_ = Now + std::chrono::seconds(5);
  for (std::uint32_t Number = 0; Number < ClaimSlots; ++Number) {
    if (IsRound || Now - Slots_[Number].AdoptedAt_ < EarlyRequests)
      requestEntries(Now, Number, Sends);
  }
  if (Now >= NextExpiry_) {
    NextExpiry_ = Now + std::chrono::seconds(10);
    for (auto At = Entries_.begin(); At != Entries_.end();)
      At = Now - At->second.Granted_ > retention() ? Entries_.erase(At) : std::next(At);
  }
  return Sends;
}

WitnessDump Witness::dump(TimePoint Now) const {
  WitnessDump Result = Counts_;
  Result.Entries_ = Entries_.size();
  Result.Fresh_ = isFresh(Now);
  for (const Slot &Place : Slots_) {
    Result.Slots_ += Place.Mine_ ? 1 : 0;
    Result.Inherited_ += Place.Mine_ && Place.Inherited_ ? 1 : 0;
  }
  return Result;
}

} // namespace bronzestand
