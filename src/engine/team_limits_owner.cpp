#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

#include "bronzestand/rendezvous.h"
#include "bronzestand/team_limits.h"

namespace bronzestand {
namespace {

/// Two sides that count different hosts exchange their lists; order must not matter.
std::uint64_t hostHash(const HostId &Host) {
  return XXH3_64bits(Host.str().data(), Host.str().size());
}

} // namespace

void TeamLimits::count(const HostId &Host) {
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
    count(Host.Id_);
  }
  for (const HostId &Host : Counted_)
    if (Host != Self_ && Listed_.count(Host) == 0)
      RetireAt_.emplace(Host, Now + Settings_.RetireTerm_);
  if (JoinComplete_ && ownShare() < OldShare)
    OwnUsed_.add(OldShare, OldShare, Now + std::max(Settings_.LeaseTerm_, Settings_.BulkTerm_));
  placeBrokers(Now);
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
    Left_.erase(It->first);
    It = RetireAt_.erase(It);
  }
}

void TeamLimits::placeBrokers(TimePoint Now) {
  std::map<DataCentreId, std::vector<HostId>> ByDataCentre;
  for (const LimitHost &Host : Hosts_)
    if (Left_.count(Host.Id_) == 0)
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
      Shard.NextAsk_ = {};
    }
  }
}

// A host is a broker again some time after its new run was first heard.
void TeamLimits::readmitBrokers(TimePoint Now) {
  bool Changed = false;
  for (auto It = Left_.begin(); It != Left_.end();) {
    detail::LeftRun &Entry = It->second;
    if (Entry.BrokerFrom_ == TimePoint::max() && Runs_[It->first] > Entry.Run_)
      Entry.BrokerFrom_ = Now + Settings_.BrokerReturn_;
    if (Now < Entry.BrokerFrom_) {
      ++It;
      continue;
    }
    It = Left_.erase(It);
    Changed = true;
  }
  if (Changed)
    placeBrokers(Now);
}

void TeamLimits::noteRun(const HostId &From, Incarnation Run) {
  Incarnation &Known = Runs_[From];
  Known = std::max(Known, Run);
}

// The largest share that this host or its borrowers may still use, over all shards.
double TeamLimits::exposure(TimePoint Now) {
  double Result = JoinComplete_ ? ownShare() : 0;
  Result = std::max(Result, OwnUsed_.exposure(Now));
  for (detail::ShardState &Shard : Shards_)
    Result = std::max(Result, Shard.Lent_.exposure(Now));
  return Result;
}

bool TeamLimits::previousLoansOver(TimePoint Now) const {
  if (!HeldBefore_)
    return true;
  // Hosts that answered a join stopped lending on the loans of an earlier run, so only leases and
  // bulk loans of before are left. Hosts that did not answer may use such a loan to its end.
  if (AllAnswered_ && Now >= JoinedAt_ + std::max(Settings_.LeaseTerm_, Settings_.BulkTerm_))
    return true;
  return Now >= Start_ + Settings_.OwnerTerm_ + Settings_.BulkTerm_;
}

// A broker gives up the loans of an owner's earlier run when it confirms the new run's join, so
// that the owner need not wait for the end of their term.
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

bool TeamLimits::ownRightUsable(TimePoint Now) const {
  return JoinComplete_ && !Leaving_ && Listed_.count(Self_) > 0 && previousLoansOver(Now);
}

void TeamLimits::checkJoins(TimePoint Now) {
  if (JoinComplete_ || Listed_.count(Self_) == 0)
    return;
  // Hosts that are silent now had confirmed the count of an earlier run of this host, or, on a
  // cold start, have no run that uses rights.
  const bool Known = PreviousCount_ >= Counted_.size() && Now >= Start_ + Settings_.OwnerTerm_;
  const bool Cold = !OthersActive_ && Joined_.size() * 2 + 1 >= Counted_.size() &&
                    Now >= Start_ + Settings_.ColdStartGrace_;
  if (Known || Cold) {
    HeldBefore_ = true;
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
  if (JoinComplete_ || Listed_.count(Self_) == 0 || Leaving_ || Now < JoinAt_)
    return;
  // A quarter of a second's joins at once, then a pause, also before the next round.
  JoinAt_ = Now + std::chrono::milliseconds(250);
  std::uint32_t Left = std::max(1U, Settings_.JoinsPerSecond_ / 4);
  const auto Count = static_cast<std::uint32_t>(Counted_.size());
  auto It = Counted_.upper_bound(JoinCursor_);
  for (std::size_t Step = 0; Step < Counted_.size() && Left > 0; ++Step, ++It) {
    if (It == Counted_.end())
      It = Counted_.begin();
    JoinCursor_ = *It;
    const auto Known = Joined_.find(*It);
    if (*It == Self_ || (Known != Joined_.end() && Known->second >= Count))
      continue;
    send(*It, JoinRequest{Run_, CountedHash_, Count});
    --Left;
  }
}

void TeamLimits::on(TimePoint Now, const HostId &From, const JoinRequest &Message) {
  if (Message.Incarnation_ < Runs_[From])
    return;
  const bool EarlierRun = Runs_[From] != 0 && Runs_[From] < Message.Incarnation_;
  RestartsSeen_ |= EarlierRun;
  noteRun(From, Message.Incarnation_);
  const double OldShare = ownShare();
  count(From);
  if (Listed_.count(From) == 0)
    RetireAt_[From] = Now + Settings_.RetireTerm_;
  if (JoinComplete_ && ownShare() < OldShare)
    OwnUsed_.add(OldShare, OldShare, Now + std::max(Settings_.LeaseTerm_, Settings_.BulkTerm_));
  JoinAnswer Answer;
  Answer.ToIncarnation_ = Message.Incarnation_;
  Answer.Active_ = JoinComplete_;
  // Loans of an earlier run may have been lent on by a broker that restarted too and forgot them.
  // Only in the first two seconds of a fleet without restarts can there be none.
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
    // Leases may also run out of a loan that was returned.
    Answer.HoldsLoan_ |= It != Shard.Owners_.end();
  }
  dropEarlierLoans(Now, From, Message.Incarnation_);
  for (const auto &[Name, Team] : Teams_) {
    const auto Lease = Team.Leases_.find(From);
    const auto Bulk = Team.Bulk_.find(From);
    Answer.HoldsLoan_ |= Lease != Team.Leases_.end() && Lease->second.Holding_.at(Now) > 0;
    Answer.HoldsLoan_ |= Bulk != Team.Bulk_.end() && Bulk->second.Holding_.at(Now) > 0;
    const auto Spot = Team.SpotBulk_.find(From);
    Answer.HoldsLoan_ |= Spot != Team.SpotBulk_.end() && Spot->second.Holding_.at(Now) > 0;
  }
  if (CountedHash_ != Message.HostsHash_)
    Answer.Hosts_.assign(Counted_.begin(), Counted_.end());
  send(From, std::move(Answer));
}

void TeamLimits::on(TimePoint Now, const HostId &From, const JoinAnswer &Message) {
  if (Message.ToIncarnation_ != Run_ || JoinComplete_)
    return;
  for (const HostId &Host : Message.Hosts_) {
    count(Host);
    if (Host != Self_ && Listed_.count(Host) == 0)
      RetireAt_.emplace(Host, Now + Settings_.RetireTerm_);
  }
  std::uint32_t &Known = Joined_[From];
  Known = std::max(Known, Message.Count_);
  HeldBefore_ |= Message.HoldsLoan_;
  OthersActive_ |= Message.Active_;
  PreviousCount_ = std::max(PreviousCount_, Message.PreviousCount_);
  checkJoins(Now);
}

void TeamLimits::on(TimePoint Now, const HostId &From, const LendRequest &Message) {
  if (Message.Shard_ >= Shards_.size() || Message.Incarnation_ < Runs_[From])
    return;
  noteRun(From, Message.Incarnation_);
  detail::ShardState &Shard = Shards_[Message.Shard_];
  if (!ownRightUsable(Now) || From != Shard.LocalBroker_ || From == Self_)
    return;
  // A later run of the same broker replaces the earlier one, which no longer exists; its leases
  // are covered because the new run waits for them before it uses its pool.
  if (Shard.Borrower_ != From && Shard.Lent_.exposure(Now) > 0)
    return;
  if (Shard.Borrower_ == From && Message.Incarnation_ == Shard.Lent_.Borrower_ &&
      Message.Stamp_ <= Shard.Lent_.LastStamp_)
    return;
  for (auto &[Name, Team] : Teams_) {
    if (Team.Shard_ != Message.Shard_ || Shard.Lent_.exposure(Now) > 0)
      continue;
    advancePool(Now, Team);
    // The share may still be behind a lease that this node granted from its own pool.
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
  send(From, Lend{Message.Shard_, Run_, Message.Incarnation_, Message.Stamp_, ownShare(),
                  Settings_.OwnerTerm_});
}

void TeamLimits::on(TimePoint Now, const HostId &From, const LeaveNotice &Message) {
  if (Message.Incarnation_ < Runs_[From] || From == Self_)
    return;
  noteRun(From, Message.Incarnation_);
  if (Listed_.count(From) == 0 && Counted_.count(From) > 0)
    RetireAt_[From] = Now + Message.LoansEnd_ + Settings_.BulkTerm_;
  if (Left_[From].Run_ >= Message.Incarnation_)
    return;
  Left_[From] = {Message.Incarnation_, TimePoint::max()};
  // No answer will come; the next request goes to the next broker.
  for (auto &[Name, Team] : Teams_)
    for (auto *Loans : {&Team.Leases_, &Team.Bulk_, &Team.SpotBulk_}) {
      const auto It = Loans->find(From);
      if (It != Loans->end())
        It->second.Pending_ = false;
    }
  placeBrokers(Now);
}

void TeamLimits::on(TimePoint Now, const HostId &From, const LendReturn &Message) {
  if (Message.Shard_ >= Shards_.size() || Message.Incarnation_ < Runs_[From])
    return;
  noteRun(From, Message.Incarnation_);
  detail::LoanRecord &Lent = Shards_[Message.Shard_].Lent_;
  // A later loan to a run that goes on may be in use.
  if (Shards_[Message.Shard_].Borrower_ != From || Lent.Borrower_ != Message.Incarnation_ ||
      (!Message.Final_ && Lent.LastStamp_ != Message.Stamp_))
    return;
  advanceShard(Now, Message.Shard_);
  // The time starts when the message arrives, so a delay only makes the loan longer.
  Lent.shorten(Now +
               std::chrono::duration_cast<Duration>(Message.GrantsEnd_ / Settings_.BorrowerPart_));
  advanceShard(Now, Message.Shard_);
}

} // namespace bronzestand
