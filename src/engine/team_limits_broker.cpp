#include <algorithm>
#include <cmath>

#include "bronzestand/team_limits.h"

namespace bronzestand {
namespace {

/// Fraction of a burst that repeated spot loans of one lender may add up to; without a bound they
/// would add up to its whole room.
constexpr double MaxSpotRoom = 0.2;

Duration scaled(Duration Term, double Part) {
  return std::chrono::duration_cast<Duration>(Term * Part);
}

} // namespace

bool TeamLimits::poolUsable(TimePoint Now) const {
  // Leases of an earlier run of this broker may still be in use.
  return !Leaving_ && ((JoinComplete_ && !HeldBefore_) ||
                       Now >= Start_ + 2 * std::max(Settings_.LeaseTerm_, Settings_.BulkTerm_));
}

void TeamLimits::askOwners(TimePoint Now) {
  for (std::size_t Index = 0; Index < Shards_.size(); ++Index) {
    detail::ShardState &Shard = Shards_[Index];
    // Another broker needs the loans, also one that arrives after the change.
    if (Shard.LocalBroker_ != Self_ && !Leaving_)
      returnOwnersLoans(Now, Index);
    if (Shard.LocalBroker_ != Self_ || Leaving_ || Listed_.count(Self_) == 0 ||
        Now < Shard.NextAsk_)
      continue;
    bool Missing = false;
    for (const LimitHost &Host : Hosts_) {
      if (Host.DataCentre_ != DataCentre_ || Host.Id_ == Self_)
        continue;
      const auto It = Shard.Owners_.find(Host.Id_);
      const TimePoint Due =
          It == Shard.Owners_.end() ? TimePoint{} : It->second.Stamp_ + Settings_.OwnerRenewal_;
      if (It != Shard.Owners_.end() && Now < Due)
        continue;
      Missing = true;
      send(Host.Id_, LendRequest{static_cast<std::uint32_t>(Index), Run_, Now});
    }
    // Owners that start at the same time become able to lend within one round trip, and those that
    // had lent to another broker once its leases have ended.
    const bool Starting = Now < std::max(Start_, Shard.BrokerSince_) + Settings_.OwnerRenewal_;
    const Duration Retry = std::chrono::milliseconds(Starting ? 50 : 1000);
    Shard.NextAsk_ = Now + (Missing ? Retry : std::chrono::milliseconds(200));
  }
}

void TeamLimits::advanceShard(TimePoint Now, std::size_t Index) {
  for (auto &[Name, Team] : Teams_)
    if (Team.Shard_ == Index)
      advancePool(Now, Team);
}

// Returns the loans of all owners of a shard. Some of them cover all that is granted at present and
// end with it; the others end at once.
void TeamLimits::returnOwnersLoans(TimePoint Now, std::size_t Index) {
  detail::ShardState &Shard = Shards_[Index];
  // An earlier run's grants are not known here.
  TimePoint End = Start_ + 2 * std::max(Settings_.LeaseTerm_, Settings_.BulkTerm_);
  double Used = Now < End ? 1 : 0;
  for (auto &[Name, Team] : Teams_) {
    if (Team.Shard_ != Index)
      continue;
    Used = std::max({Used, lentFraction(Now, Team), lentRate(Now, Team)});
    for (const auto &[Key, Record] : Team.Lent_)
      End = std::max(End, Record.end());
  }
  advanceShard(Now, Index);
  for (const LimitHost &Host : Hosts_) {
    const auto It = Shard.Owners_.find(Host.Id_);
    // A run that leaves never uses a loan that is still on its way.
    const bool Coming = Leaving_ && Shard.LocalBroker_ == Self_ &&
                        Host.DataCentre_ == DataCentre_ && Host.Id_ != Self_;
    if (!Coming && (It == Shard.Owners_.end() || It->second.at(Now) <= 0))
      continue;
    LendReturn Message;
    Message.Shard_ = static_cast<std::uint32_t>(Index);
    Message.Incarnation_ = Run_;
    Message.Final_ = Leaving_;
    if (Used > 0)
      Message.GrantsEnd_ = std::max(Duration::zero(), End - Now);
    if (It != Shard.Owners_.end()) {
      Used -= It->second.at(Now);
      Message.Stamp_ = It->second.Stamp_;
      // The entry stays, so that a duplicate of the loan is not accepted.
      It->second.End_ = std::min(It->second.End_, Now);
    }
    send(Host.Id_, Message);
  }
  advanceShard(Now, Index);
}

void TeamLimits::on(TimePoint Now, const HostId &From, const Lend &Message) {
  if (Message.ToIncarnation_ != Run_ || Message.Shard_ >= Shards_.size() ||
      Message.Incarnation_ < Runs_[From])
    return;
  noteRun(From, Message.Incarnation_);
  detail::Holding &Held = Shards_[Message.Shard_].Owners_[From];
  if (Message.Stamp_ <= Held.Stamp_)
    return;
  for (auto &[Name, Team] : Teams_)
    if (Team.Shard_ == Message.Shard_)
      advancePool(Now, Team);
  Held = {Message.Fraction_, Message.Fraction_,
          Message.Stamp_ + scaled(Message.Term_, Settings_.BorrowerPart_), Message.Stamp_,
          Message.Incarnation_};
  if (Message.Fraction_ > 0) {
    std::uint32_t &Count = OwnersCount_[From];
    Count = std::max(Count, static_cast<std::uint32_t>(1.0 / Message.Fraction_ + 1e-6));
  }
}

// Fraction that owners have lent to this node until a time, and its own share unless lent.
double TeamLimits::ownedFraction(TimePoint Now, const detail::TeamState &Team, TimePoint Time) {
  if (!poolUsable(Now))
    return 0;
  detail::ShardState &Shard = Shards_[Team.Shard_];
  double Sum = ownRightUsable(Now) && Shard.Lent_.exposure(Now) <= 0 ? ownShare() : 0;
  for (const auto &[Host, Held] : Shard.Owners_)
    Sum += Held.at(Time);
  return Sum;
}

double TeamLimits::poolFraction(TimePoint Now, const detail::TeamState &Team, TimePoint Time) {
  double Sum = ownedFraction(Now, Team, Time);
  if (!poolUsable(Now))
    return 0;
  for (const auto &[Host, Loan] : Team.Bulk_)
    Sum += Loan.Holding_.at(Time);
  for (const auto &[Host, Loan] : Team.SpotBulk_)
    Sum += Loan.Holding_.at(Time);
  return Sum;
}

double TeamLimits::poolRate(TimePoint Now, const detail::TeamState &Team, TimePoint Time) {
  if (!poolUsable(Now))
    return 0;
  double Sum = ownedFraction(Now, Team, Time);
  for (const auto &[Host, Loan] : Team.Bulk_)
    Sum += Loan.Holding_.rateAt(Time);
  return Sum;
}

double TeamLimits::lentRate(TimePoint Now, detail::TeamState &Team) {
  double Sum = 0;
  for (auto &[Key, Record] : Team.Lent_)
    Sum += Record.rateExposure(Now);
  return Sum;
}

double TeamLimits::lentFraction(TimePoint Now, detail::TeamState &Team) {
  double Sum = 0;
  for (auto &[Key, Record] : Team.Lent_)
    Sum += Record.exposure(Now);
  return Sum;
}

TimePoint TeamLimits::poolEnd(TimePoint Now, const detail::TeamState &Team) const {
  TimePoint Result = TimePoint::max();
  const auto Consider = [&](const detail::Holding &Held) {
    if (Held.at(Now) > 0)
      Result = std::min(Result, Held.End_);
  };
  for (const auto &[Host, Held] : Shards_[Team.Shard_].Owners_)
    Consider(Held);
  for (const auto *Loans : {&Team.Bulk_, &Team.SpotBulk_})
    for (const auto &[Host, Loan] : *Loans)
      Consider(Loan.Holding_);
  return Result;
}

double TeamLimits::wantedTotal(const detail::TeamState &Team) {
  double Sum = 0;
  for (const auto &[Host, Wanted] : Team.Wanted_)
    Sum += Wanted.first;
  return Sum;
}

Duration TeamLimits::termOf(const LeaseRequest &Request) const {
  if (Request.Bulk_)
    return Request.Spot_ ? Settings_.SpotBulkTerm_ : Settings_.BulkTerm_;
  return Request.Spot_ ? Settings_.SpotTerm_ : Settings_.LeaseTerm_;
}

void TeamLimits::advancePool(TimePoint Now, detail::TeamState &Team) {
  const double Free = poolFraction(Now, Team, Now) - lentFraction(Now, Team);
  const double Rate = poolRate(Now, Team, Now) - lentRate(Now, Team);
  Team.Pool_.advance(Now, Rate, Team.Rate_, Free * Team.Burst_, poolEnd(Now, Team));
}

void TeamLimits::on(TimePoint Now, const HostId &From, const LeaseRequest &Message) {
  const auto It = Teams_.find(Message.Team_);
  if (It == Teams_.end() || !It->second.Active_ || Leaving_ || Message.Incarnation_ < Runs_[From])
    return;
  noteRun(From, Message.Incarnation_);
  detail::TeamState &Team = It->second;
  detail::LoanRecord &Record = Team.Lent_[{From, Message.kind()}];
  // A new run of a consumer has no use of its earlier lease. Bulk loans stay, because the earlier
  // run may have lent them on.
  if (Message.Incarnation_ > Record.Borrower_ && !Message.Bulk_)
    Record.clear();
  if (Message.Incarnation_ == Record.Borrower_ && Message.Stamp_ <= Record.LastStamp_)
    return;
  Record.Borrower_ = Message.Incarnation_;
  Record.LastStamp_ = Message.Stamp_;
  if (!Message.Bulk_)
    Team.Wanted_[From] = {Message.Demand_, Now};
  if (grant(Now, Team, From, Message, !Message.Bulk_))
    return;
  Team.Waiting_.push_back({From, Message, Now + Settings_.BulkWait_});
  askBulk(Now, Message.Team_, Team);
  askSpotBulk(Now, Message.Team_, Team);
}

// Returns false if the answer should wait for a bulk loan.
bool TeamLimits::grant(TimePoint Now, detail::TeamState &Team, const HostId &To,
                       const LeaseRequest &Request, bool MayWait) {
  const Duration Term = termOf(Request);
  advancePool(Now, Team);
  detail::LoanRecord &Record = Team.Lent_[{To, Request.kind()}];
  const double Old = Record.exposure(Now);
  const double LentToOthers = lentFraction(Now, Team) - Old;
  // Bulk loans are granted from owners' loans only, so that no loan returns to its lender.
  // What is free at the end of the term is free until then: loans behind the pool only end.
  const double Until =
      Request.Bulk_ ? ownedFraction(Now, Team, Now + Term) : poolFraction(Now, Team, Now + Term);
  const double RateUntil = Request.Bulk_ ? Until : poolRate(Now, Team, Now + Term);
  const double RateFree = RateUntil - (lentRate(Now, Team) - Record.rateExposure(Now));
  const double Free = Until - LentToOthers;
  const double Total = wantedTotal(Team);
  double Rate = Request.RateWanted_;
  if (Request.Bulk_)
    Rate = std::min(Rate, Until - Total);
  else if (Total > RateUntil)
    Rate = std::min(Rate, RateUntil * Request.Demand_ / Total);
  Rate = std::max(0.0, std::min(Rate, RateFree));
  double Fraction = std::max(0.0, std::min(Request.Wanted_, Free));
  double Tokens = 0;
  if (Request.Spot_ && Team.Burst_ > 0) {
    // Room without tokens would only lock the pool, so both are granted together. A spot loan to a
    // broker takes at most half of what this pool has more than the other one.
    const double SpotTokens =
        Request.Bulk_ ? std::max(0.0, Team.Pool_.Level_ - Request.Demand_) / 2 : Team.Pool_.Level_;
    const double Room = std::max(0.0, Fraction * Team.Burst_ - Request.LevelBound_);
    Tokens = std::min({Request.TokensWanted_, SpotTokens, Room});
    // Part of a token is worth nothing to a consumer and would be lost.
    if (!Request.Bulk_)
      Tokens = std::floor(Tokens);
    Fraction = std::min(Fraction, (Tokens + Request.LevelBound_) / Team.Burst_);
  } else {
    // In a shortage room is shared like the rate.
    if (Request.Bulk_)
      Fraction = std::min(Fraction, Rate);
    else if (Total > RateUntil)
      Fraction = std::min(Fraction, Until * Request.Demand_ / Total);
    const double PoolCap =
        std::max(0.0, Until - LentToOthers - std::max(Old, Fraction)) * Team.Burst_;
    const double Room = std::max(0.0, Fraction * Team.Burst_ - Request.LevelBound_);
    // Tokens above the pool's remaining capacity would be lost, so they go along.
    Tokens = std::min(
        {std::max(Request.TokensWanted_, Team.Pool_.Level_ - PoolCap), Team.Pool_.Level_, Room});
  }
  // Part of what is wanted serves some held requests now; the others ask again.
  const double One = std::min(1.0, Request.TokensWanted_);
  const double Enough =
      Request.Spot_ ? One : std::max(One, std::floor(Request.TokensWanted_ * 0.9));
  const bool Short = Rate < Request.RateWanted_ * 0.9 || Tokens < Enough;
  if (Short && MayWait && !Shards_[Team.Shard_].OtherBrokers_.empty())
    return false;
  Record.add(Fraction, Rate, Now + Term);
  Record.GrantStamp_ = Request.Stamp_;
  Team.Pool_.Level_ -= Tokens;
  advancePool(Now, Team);
  send(To, LeaseGrant{Request.Team_, Run_, Request.Incarnation_, Request.Stamp_, Fraction, Rate,
                      Tokens, Term, Request.kind(), Team.Pool_.Level_});
  return true;
}

// Rate to borrow from other brokers, as a fraction of the team's rate.
double TeamLimits::missingRate(TimePoint Now, const detail::TeamState &Team) {
  const double Owned = ownedFraction(Now, Team, Now);
  const double Missing = std::min(1.0, wantedTotal(Team)) - Owned;
  // Demand is reported ahead of what was measured; the part ahead is not worth a bulk loan.
  return Missing < 0.3 * Owned ? 0 : Missing;
}

// Borrows rate where the demand exceeds what the owners of this data centre have lent.
void TeamLimits::askBulk(TimePoint Now, const TeamId &Name, detail::TeamState &Team) {
  const detail::ShardState &Shard = Shards_[Team.Shard_];
  if (Shard.OtherBrokers_.empty() || Shard.LocalBroker_ != Self_ || Leaving_ || Team.Burst_ <= 0)
    return;
  advancePool(Now, Team);
  const double Missing = missingRate(Now, Team);
  if (Missing <= 0)
    return;
  double Held = 0;
  std::size_t Parts = 0;
  for (const HostId &Host : Shard.OtherBrokers_) {
    const detail::Borrowing &Loan = Team.Bulk_[Host];
    Held += Loan.Holding_.rateAt(Now);
    Parts += Loan.Short_ ? 0 : 1;
  }
  for (const HostId &Host : Shard.OtherBrokers_) {
    detail::Borrowing &Loan = Team.Bulk_[Host];
    if (Loan.Pending_ || Now < Loan.Asked_ + std::chrono::milliseconds(25))
      continue;
    LeaseRequest Request;
    Request.Team_ = Name;
    Request.Incarnation_ = Run_;
    Request.Stamp_ = Now;
    Request.Bulk_ = true;
    // What one lender lacks is asked of those that gave all they were asked for.
    const double Share = (Missing - Held) / static_cast<double>(std::max<std::size_t>(1, Parts));
    const double Present = Loan.Holding_.rateAt(Now);
    Request.RateWanted_ = std::max(0.0, Loan.Short_ && Parts > 0 ? Present : Present + Share);
    if (Request.RateWanted_ <= 0)
      continue;
    // Leases granted on the loan may hold its full burst, so a renewal brings tokens only for the
    // fraction that it adds.
    Request.LevelBound_ = Loan.Holding_.at(Now) * Team.Burst_;
    Request.TokensWanted_ = 1;
    Request.Wanted_ = Request.RateWanted_;
    Loan.Pending_ = true;
    Loan.Asked_ = Now;
    Loan.RateWanted_ = Request.RateWanted_;
    send(Host, Request);
  }
}

// Borrows tokens for requests that are held now, and evens out levels before the pool is empty: a
// full pool elsewhere loses what accrues.
void TeamLimits::askSpotBulk(TimePoint Now, const TeamId &Name, detail::TeamState &Team) {
  const detail::ShardState &Shard = Shards_[Team.Shard_];
  if (Shard.OtherBrokers_.empty() || Shard.LocalBroker_ != Self_ || Leaving_ || Team.Burst_ <= 0)
    return;
  advancePool(Now, Team);
  double Missing = -Team.Pool_.Level_;
  for (const detail::WaitingRequest &Entry : Team.Waiting_)
    Missing += Entry.Request_.TokensWanted_;
  const double Capacity = ownedFraction(Now, Team, Now) * Team.Burst_;
  const bool Low = Team.Pool_.Level_ < Settings_.LowLevel_ * Capacity && !Team.Wanted_.empty();
  if (Missing <= 0 && (!Low || Now < Team.NextEven_))
    return;
  Team.NextEven_ = Now + Settings_.EvenInterval_;
  std::vector<HostId> Lenders;
  for (const HostId &Host : Shard.OtherBrokers_) {
    const detail::Borrowing &Loan = Team.SpotBulk_[Host];
    if (!Loan.Pending_ && Now >= Loan.Asked_ + std::chrono::milliseconds(25) &&
        Now >= Loan.ShortUntil_ && Loan.Holding_.at(Now) <= (Missing > 0 ? MaxSpotRoom : 0))
      Lenders.push_back(Host);
  }
  if (Missing <= 0 && Lenders.size() > 1) {
    // The lender that had most left when it answered last.
    const auto Best =
        std::max_element(Lenders.begin(), Lenders.end(), [&](const HostId &A, const HostId &B) {
          return Team.SpotBulk_[A].Granted_ < Team.SpotBulk_[B].Granted_;
        });
    // Where the fullest pool had no more than this one, none of them has tokens to spare.
    const detail::Borrowing &Loan = Team.SpotBulk_[*Best];
    if (Loan.Granted_ < 2 - Missing && Now < Loan.Asked_ + Settings_.BulkRenewal_)
      return;
    Lenders = {*Best};
  }
  for (const HostId &Host : Lenders) {
    detail::Borrowing &Loan = Team.SpotBulk_[Host];
    LeaseRequest Request;
    Request.Team_ = Name;
    Request.Incarnation_ = Run_;
    Request.Stamp_ = Now;
    Request.Bulk_ = Request.Spot_ = true;
    Request.Demand_ = std::max(0.0, -Missing);
    Request.TokensWanted_ =
        std::max(Missing, Settings_.LowLevel_ * Capacity - Team.Pool_.Level_) + 1;
    // Leases may stand on the room that is held already.
    Request.LevelBound_ = Loan.Holding_.at(Now) * Team.Burst_;
    Request.Wanted_ = (Request.TokensWanted_ + Request.LevelBound_) / Team.Burst_;
    Loan.Pending_ = true;
    Loan.Asked_ = Now;
    Loan.RateWanted_ = 0;
    send(Host, Request);
  }
}

// Tokens that fit into the own capacity no longer need the room that they came with.
void TeamLimits::returnSpotRoom(TimePoint Now, const TeamId &Name, detail::TeamState &Team,
                                const HostId &Lender) {
  detail::Borrowing &Loan = Team.SpotBulk_[Lender];
  const double Room = Loan.Holding_.at(Now);
  advancePool(Now, Team);
  const double Free = poolFraction(Now, Team, Now) - lentFraction(Now, Team) - Room;
  if (Room <= 0 || Free * Team.Burst_ < Team.Pool_.Level_)
    return;
  send(Lender, LeaseReturn{Name, Run_, Loan.Holding_.Stamp_, 0, LoanKind::SpotBulk});
  Loan.Holding_ = {};
  advancePool(Now, Team);
}

void TeamLimits::answerWaiting(TimePoint Now, detail::TeamState &Team, bool All) {
  std::vector<detail::WaitingRequest> Waiting = std::exchange(Team.Waiting_, {});
  for (detail::WaitingRequest &Entry : Waiting) {
    const bool Final = All || Now >= Entry.Deadline_;
    if (!grant(Now, Team, Entry.From_, Entry.Request_, !Final))
      Team.Waiting_.push_back(std::move(Entry));
  }
}

void TeamLimits::on(TimePoint Now, const HostId &From, const LeaseReturn &Message) {
  const auto It = Teams_.find(Message.Team_);
  if (It == Teams_.end())
    return;
  detail::TeamState &Team = It->second;
  const auto Lent = Team.Lent_.find({From, Message.Kind_});
  // Only the last grant may be returned: a later one may be on its way.
  if (Lent == Team.Lent_.end() || Lent->second.Borrower_ != Message.Incarnation_ ||
      Lent->second.GrantStamp_ != Message.Stamp_)
    return;
  advancePool(Now, Team);
  Lent->second.clear();
  Lent->second.GrantStamp_ = {};
  if (Message.Kind_ == LoanKind::Lease)
    Team.Wanted_.erase(From);
  Team.Pool_.Level_ += Message.Tokens_;
  advancePool(Now, Team);
}

void TeamLimits::tickBroker(TimePoint Now, const TeamId &Name, detail::TeamState &Team) {
  advancePool(Now, Team);
  for (auto It = Team.Wanted_.begin(); It != Team.Wanted_.end();)
    It = It->second.second + Settings_.LeaseTerm_ < Now ? Team.Wanted_.erase(It) : std::next(It);
  bool Pending = false;
  for (auto *Loans : {&Team.Bulk_, &Team.SpotBulk_})
    for (auto &[Host, Loan] : *Loans) {
      if (Loan.Pending_ && Now >= Loan.Asked_ + Settings_.AnswerTimeout_)
        Loan.Pending_ = false;
      Pending |= Loan.Pending_;
    }
  if (!Team.Waiting_.empty())
    answerWaiting(Now, Team, false);
  askSpotBulk(Now, Name, Team);
  if (!Team.Wanted_.empty() && Now >= Team.NextBulk_) {
    Team.NextBulk_ = Now + Settings_.BulkRenewal_;
    for (auto &[Host, Loan] : Team.Bulk_)
      Loan.Short_ = false;
    askBulk(Now, Name, Team);
  }
  if (!Pending && missingRate(Now, Team) <= 0)
    returnBulk(Now, Name, Team);
}

// Bulk loans that the demand no longer needs are returned once no lease stands on them. While there
// is demand, each takes its part of the tokens along.
void TeamLimits::returnBulk(TimePoint Now, const TeamId &Name, detail::TeamState &Team) {
  const bool Idle = Team.Wanted_.empty();
  const auto Return = [&](std::map<HostId, detail::Borrowing> &Loans, LoanKind Kind) {
    for (auto &[Host, Loan] : std::exchange(Loans, {})) {
      const double Fraction = Loan.Holding_.at(Now);
      if (Fraction <= 0)
        continue;
      const double All = poolFraction(Now, Team, Now) + Fraction;
      const double Share = Idle ? 1 : Fraction / All;
      const double Part = std::min(Team.Pool_.Level_ * Share, Fraction * Team.Burst_);
      Team.Pool_.Level_ -= Part;
      send(Host, LeaseReturn{Name, Run_, Loan.Holding_.Stamp_, Part, Kind});
    }
  };
  if ((Team.Bulk_.empty() && Team.SpotBulk_.empty()) ||
      lentFraction(Now, Team) > ownedFraction(Now, Team, Now + Settings_.BulkTerm_))
    return;
  Return(Team.Bulk_, LoanKind::Bulk);
  if (Idle)
    Return(Team.SpotBulk_, LoanKind::SpotBulk);
  advancePool(Now, Team);
}

} // namespace bronzestand
