#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

#include "bronzestand/rendezvous.h"
#include "bronzestand/team_limits.h"

namespace bronzestand {
namespace {

/// Hash of one host; the XOR over all counted hosts tells whether two nodes count the same ones.
std::uint64_t hostHash(const HostId &Host) {
  return XXH3_64bits(Host.str().data(), Host.str().size());
}

} // namespace

void TeamLimits::addCounted(const HostId &Host) {
  if (Counted_.insert(Host).second)
    CountedHash_ ^= hostHash(Host);
}

void TeamLimits::setHosts(TimePoint Now, const std::vector<LimitHost> &Hosts) {
  const double OldShare = ownShare();
  Hosts_ = Hosts;
  Listed_.clear();
  for (const LimitHost &Host : Hosts) {
    Listed_.insert(Host.Id_);
    RetireAt_.erase(Host.Id_);
    addCounted(Host.Id_);
  }
  for (const HostId &Host : Counted_)
    if (Host != Self_ && Listed_.count(Host) == 0)
      RetireAt_.emplace(Host, Now + Settings_.RetireTerm_);
  if (JoinComplete_ && ownShare() < OldShare)
    PreviousShares_.add(OldShare, OldShare,
                        Now + std::max(Settings_.LeaseTerm_, Settings_.BulkTerm_));
  selectBrokers(Now);
  sendJoins(Now);
  drainLocal(Now);
}

void TeamLimits::retireHosts(TimePoint Now) {
  for (auto It = RetireAt_.begin(); It != RetireAt_.end();) {
    if (Now < It->second) {
      ++It;
      continue;
    }
    if (Counted_.erase(It->first) > 0)
      CountedHash_ ^= hostHash(It->first);
    Departed_.erase(It->first);
    It = RetireAt_.erase(It);
  }
}

void TeamLimits::selectBrokers(TimePoint Now) {
  std::map<DataCentreId, std::vector<HostId>> ByDataCentre;
  for (const LimitHost &Host : Hosts_)
    if (Departed_.count(Host.Id_) == 0)
      ByDataCentre[Host.DataCentre_].push_back(Host.Id_);
  for (std::size_t Index = 0; Index < Shards_.size(); ++Index) {
    detail::ShardState &Shard = Shards_[Index];
    const HostId Before = std::exchange(Shard.LocalBroker_, Self_);
    Shard.OtherBrokers_.clear();
    for (const auto &[DataCentre, Members] : ByDataCentre) {
      const auto Top = topHosts(fmt::format("limit-shard-{}", Index), Members, 1);
      if (DataCentre == DataCentre_)
        Shard.LocalBroker_ = Top.front();
      else
        Shard.OtherBrokers_.push_back(Top.front());
    }
    if (Shard.LocalBroker_ != Before) {
      Shard.BrokerSince_ = Now;
      Shard.NextRequest_ = {};
    }
  }
}

// A host that left may be a broker again some time after the first message of its new run.
void TeamLimits::readmitBrokers(TimePoint Now) {
  bool Changed = false;
  for (auto It = Departed_.begin(); It != Departed_.end();) {
    detail::DepartedRun &Entry = It->second;
    if (Entry.BrokerFrom_ == TimePoint::max() && Runs_[It->first] > Entry.Run_)
      Entry.BrokerFrom_ = Now + Settings_.BrokerReadmitDelay_;
    if (Now < Entry.BrokerFrom_) {
      ++It;
      continue;
    }
    It = Departed_.erase(It);
    Changed = true;
  }
  if (Changed)
    selectBrokers(Now);
}

void TeamLimits::recordRun(const HostId &From, Incarnation Run) {
  Incarnation &Known = Runs_[From];
  Known = std::max(Known, Run);
}

// The largest share that this host or its borrowers may still use, over all shards.
double TeamLimits::exposure(TimePoint Now) {
  double Result = JoinComplete_ ? ownShare() : 0;
  Result = std::max(Result, PreviousShares_.exposure(Now));
  for (detail::ShardState &Shard : Shards_)
    Result = std::max(Result, Shard.Lent_.exposure(Now));
  return Result;
}

bool TeamLimits::earlierLoansOver(TimePoint Now) const {
  if (!EarlierLoansPossible_)
    return true;
  // Hosts that answered a join no longer grant from the loans of this host's earlier run, so only
  // their earlier leases and bulk loans remain. Hosts that did not answer may use such a loan to
  // its end.
  if (AllAnswered_ && Now >= JoinedAt_ + std::max(Settings_.LeaseTerm_, Settings_.BulkTerm_))
    return true;
  return Now >= Start_ + Settings_.OwnerTerm_ + Settings_.BulkTerm_;
}

// Drops the loans of an owner's earlier run. A broker does so when it confirms the join of the new
// run, so that the owner need not wait for the end of their term.
void TeamLimits::dropEarlierLoans(TimePoint Now, const HostId &From, Incarnation Run) {
  for (std::size_t Index = 0; Index < Shards_.size(); ++Index) {
    auto &Owners = Shards_[Index].Owners_;
    const auto It = Owners.find(From);
    if (It == Owners.end() || It->second.Lender_ >= Run)
      continue;
    for (auto &[Name, Team] : Teams_)
      if (Team.Shard_ == Index)
        advancePool(Now, Team);
    Owners.erase(It);
    for (auto &[Name, Team] : Teams_)
      if (Team.Shard_ == Index)
        advancePool(Now, Team);
  }
}

bool TeamLimits::ownShareUsable(TimePoint Now) const {
  return JoinComplete_ && !Leaving_ && Listed_.count(Self_) > 0 && earlierLoansOver(Now);
}

void TeamLimits::checkJoins(TimePoint Now) {
  if (JoinComplete_ || Listed_.count(Self_) == 0)
    return;
  // The join is complete without the hosts that don't answer in two cases: an earlier run of this
  // host was active with at least this count, or the whole fleet is starting (cold start), so that
  // no host uses its share yet.
  const bool CountedBefore =
      PreviousCount_ >= Counted_.size() && Now >= Start_ + Settings_.OwnerTerm_;
  const bool ColdStart = !OthersActive_ && Joined_.size() * 2 + 1 >= Counted_.size() &&
                         Now >= Start_ + Settings_.ColdStartGrace_;
  if (CountedBefore || ColdStart) {
    EarlierLoansPossible_ = true;
    JoinComplete_ = true;
    JoinedAt_ = Now;
    return;
  }
  for (const HostId &Host : Counted_) {
    const auto It = Joined_.find(Host);
    if (Host != Self_ && (It == Joined_.end() || It->second < Counted_.size()))
      return;
  }
  AllAnswered_ = true;
  JoinComplete_ = true;
  JoinedAt_ = Now;
}

void TeamLimits::sendJoins(TimePoint Now) {
  checkJoins(Now);
  if (JoinComplete_ || Listed_.count(Self_) == 0 || Leaving_ || Now < NextJoinRound_)
    return;
  // Sends the joins of a quarter of a second at once, then pauses, also between rounds.
  NextJoinRound_ = Now + std::chrono::milliseconds(250);
  std::uint32_t Remaining = std::max(1U, Settings_.JoinsPerSecond_ / 4);
  const auto Count = static_cast<std::uint32_t>(Counted_.size());
  auto It = Counted_.upper_bound(JoinCursor_);
  for (std::size_t Step = 0; Step < Counted_.size() && Remaining > 0; ++Step, ++It) {
    if (It == Counted_.end())
      It = Counted_.begin();
    JoinCursor_ = *It;
    const auto Known = Joined_.find(*It);
    if (*It == Self_ || (Known != Joined_.end() && Known->second >= Count))
      continue;
    send(*It, JoinRequest{Run_, CountedHash_, Count});
    --Remaining;
  }
}

void TeamLimits::on(TimePoint Now, const HostId &From, const JoinRequest &Message) {
  if (Message.Incarnation_ < Runs_[From])
    return;
  const bool EarlierRun = Runs_[From] != 0 && Runs_[From] < Message.Incarnation_;
  RestartsSeen_ |= EarlierRun;
  recordRun(From, Message.Incarnation_);
  const double OldShare = ownShare();
  addCounted(From);
  if (Listed_.count(From) == 0)
    RetireAt_[From] = Now + Settings_.RetireTerm_;
  if (JoinComplete_ && ownShare() < OldShare)
    PreviousShares_.add(OldShare, OldShare,
                        Now + std::max(Settings_.LeaseTerm_, Settings_.BulkTerm_));
  JoinAnswer Answer;
  Answer.ToIncarnation_ = Message.Incarnation_;
  Answer.Active_ = JoinComplete_;
  // A broker that restarted has forgotten what it granted from the loans of the sender's earlier
  // run. Such grants are ruled out only while no restart was seen, in the first two seconds after
  // this host's join.
  Answer.HoldsLoan_ = JoinComplete_ && (RestartsSeen_ || Now > JoinedAt_ + std::chrono::seconds(2));
  const double Exposure = exposure(Now);
  // A host that confirms a count may not use more than 1/count afterwards.
  Answer.Count_ = static_cast<std::uint32_t>(Counted_.size());
  if (Exposure > 0)
    Answer.Count_ = std::min(Answer.Count_, static_cast<std::uint32_t>(1.0 / Exposure + 1e-6));
  const auto Owned = OwnersCount_.find(From);
  Answer.PreviousCount_ = Owned == OwnersCount_.end() ? 0 : Owned->second;
  for (const detail::ShardState &Shard : Shards_) {
    const auto It = Shard.Owners_.find(From);
    // Leases may still be in use from a loan that was returned.
    Answer.HoldsLoan_ |= It != Shard.Owners_.end();
  }
  dropEarlierLoans(Now, From, Message.Incarnation_);
  for (const auto &[Name, Team] : Teams_) {
    const auto Lease = Team.Leases_.find(From);
    const auto Bulk = Team.Bulk_.find(From);
    Answer.HoldsLoan_ |= Lease != Team.Leases_.end() && Lease->second.Holding_.fractionAt(Now) > 0;
    Answer.HoldsLoan_ |= Bulk != Team.Bulk_.end() && Bulk->second.Holding_.fractionAt(Now) > 0;
    const auto TokenBulk = Team.TokenBulk_.find(From);
    Answer.HoldsLoan_ |=
        TokenBulk != Team.TokenBulk_.end() && TokenBulk->second.Holding_.fractionAt(Now) > 0;
  }
  if (CountedHash_ != Message.HostsHash_)
    Answer.Hosts_.assign(Counted_.begin(), Counted_.end());
  send(From, std::move(Answer));
}

void TeamLimits::on(TimePoint Now, const HostId &From, const JoinAnswer &Message) {
  if (Message.ToIncarnation_ != Run_ || JoinComplete_)
    return;
  for (const HostId &Host : Message.Hosts_) {
    addCounted(Host);
    if (Host != Self_ && Listed_.count(Host) == 0)
      RetireAt_.emplace(Host, Now + Settings_.RetireTerm_);
  }
  std::uint32_t &Known = Joined_[From];
  Known = std::max(Known, Message.Count_);
  EarlierLoansPossible_ |= Message.HoldsLoan_;
  OthersActive_ |= Message.Active_;
  PreviousCount_ = std::max(PreviousCount_, Message.PreviousCount_);
  checkJoins(Now);
}

void TeamLimits::on(TimePoint Now, const HostId &From, const LendRequest &Message) {
  if (Message.Shard_ >= Shards_.size() || Message.Incarnation_ < Runs_[From])
    return;
  recordRun(From, Message.Incarnation_);
  detail::ShardState &Shard = Shards_[Message.Shard_];
  if (!ownShareUsable(Now) || From != Shard.LocalBroker_ || From == Self_)
    return;
  // A new run of the same broker may borrow at once: the earlier run has ended, and the new one
  // waits until the earlier leases have expired before it uses its pool.
  if (Shard.Borrower_ != From && Shard.Lent_.exposure(Now) > 0)
    return;
  if (Shard.Borrower_ == From && Message.Incarnation_ == Shard.Lent_.Borrower_ &&
      Message.Stamp_ <= Shard.Lent_.LastStamp_)
    return;
  for (auto &[Name, Team] : Teams_) {
    if (Team.Shard_ != Message.Shard_ || Shard.Lent_.exposure(Now) > 0)
      continue;
    advancePool(Now, Team);
    // Leases that this node granted from its own pool may still use the share.
    if (lentFraction(Now, Team) > 0)
      return;
  }
  Shard.Borrower_ = From;
  Shard.Lent_.Borrower_ = Message.Incarnation_;
  Shard.Lent_.LastStamp_ = Message.Stamp_;
  Shard.Lent_.add(ownShare(), ownShare(), Now + Settings_.OwnerTerm_);
  for (auto &[Name, Team] : Teams_)
    if (Team.Shard_ == Message.Shard_)
      advancePool(Now, Team);
  send(From, LendGrant{Message.Shard_, Run_, Message.Incarnation_, Message.Stamp_, ownShare(),
                       Settings_.OwnerTerm_});
}

void TeamLimits::on(TimePoint Now, const HostId &From, const LeaveNotice &Message) {
  if (Message.Incarnation_ < Runs_[From] || From == Self_)
    return;
  recordRun(From, Message.Incarnation_);
  if (Listed_.count(From) == 0 && Counted_.count(From) > 0)
    RetireAt_[From] = Now + Message.LoansEnd_ + Settings_.BulkTerm_;
  if (Departed_[From].Run_ >= Message.Incarnation_)
    return;
  Departed_[From] = {Message.Incarnation_, TimePoint::max()};
  // The host will not answer pending requests; the next request goes to another broker.
  for (auto &[Name, Team] : Teams_)
    for (auto *Loans : {&Team.Leases_, &Team.Bulk_, &Team.TokenBulk_}) {
      const auto It = Loans->find(From);
      if (It != Loans->end())
        It->second.Pending_ = false;
    }
  selectBrokers(Now);
}

void TeamLimits::on(TimePoint Now, const HostId &From, const LendReturn &Message) {
  if (Message.Shard_ >= Shards_.size() || Message.Incarnation_ < Runs_[From])
    return;
  recordRun(From, Message.Incarnation_);
  detail::LoanRecord &Lent = Shards_[Message.Shard_].Lent_;
  // Unless the broker's run ends, a later loan to it may be in use.
  if (Shards_[Message.Shard_].Borrower_ != From || Lent.Borrower_ != Message.Incarnation_ ||
      (!Message.Final_ && Lent.LastStamp_ != Message.Stamp_))
    return;
  advanceShard(Now, Message.Shard_);
  // The time counts from the arrival of the message, so that a delay only prolongs the loan.
  Lent.shorten(Now + std::chrono::duration_cast<Duration>(Message.GrantsEnd_ /
                                                          Settings_.BorrowerTermFraction_));
  advanceShard(Now, Message.Shard_);
}

} // namespace bronzestand
