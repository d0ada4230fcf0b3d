#include <algorithm>
#include <cmath>

#include "bronzestand/team_limits.h"

namespace bronzestand {
namespace {

/// A lender whose bulk loans of tokens to this node exceed this fraction of the burst gets no
/// further requests; without the bound, repeated loans would add up to the lender's whole capacity.
constexpr double MaxTokenBulkFraction = 0.2;

Duration scaled(Duration Term, double Factor) {
  return std::chrono::duration_cast<Duration>(Term * Factor);
}

} // namespace

bool TeamLimits::poolUsable(TimePoint Now) const {
  // Leases that an earlier run of this broker granted may still be in use.
  return !Leaving_ && ((JoinComplete_ && !EarlierLoansPossible_) ||
                       Now >= Start_ + 2 * std::max(Settings_.LeaseTerm_, Settings_.BulkTerm_));
}

void TeamLimits::requestOwnerLoans(TimePoint Now) {
  for (std::size_t Index = 0; Index < Shards_.size(); ++Index) {
    detail::ShardState &Shard = Shards_[Index];
    // When another host has become the broker, it needs the loans, also those that arrive here
    // later.
    if (Shard.LocalBroker_ != Self_ && !Leaving_)
      returnOwnerLoans(Now, Index);
    if (Shard.LocalBroker_ != Self_ || Leaving_ || Listed_.count(Self_) == 0 ||
        Now < Shard.NextRequest_)
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
    // Early requests often succeed within a short time: owners that start at the same time can lend
    // after one round trip, and owners that lent to another broker once its leases have expired.
    const bool Starting = Now < std::max(Start_, Shard.BrokerSince_) + Settings_.OwnerRenewal_;
    const Duration Retry = std::chrono::milliseconds(Starting ? 50 : 1000);
    Shard.NextRequest_ = Now + (Missing ? Retry : std::chrono::milliseconds(200));
  }
}

void TeamLimits::advanceShard(TimePoint Now, std::size_t Index) {
  for (auto &[Name, Team] : Teams_)
    if (Team.Shard_ == Index)
      advancePool(Now, Team);
}

// Returns the loans of all owners of a shard. As many loans as cover everything that this node has
// granted stay in use until those grants expire; the others end at once.
void TeamLimits::returnOwnerLoans(TimePoint Now, std::size_t Index) {
  detail::ShardState &Shard = Shards_[Index];
  // The grants of an earlier run are not known; they expire by this time.
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
    // A loan may be in transit to this run, which leaves and will not use it.
    const bool MayBeInTransit = Leaving_ && Shard.LocalBroker_ == Self_ &&
                                Host.DataCentre_ == DataCentre_ && Host.Id_ != Self_;
    if (!MayBeInTransit && (It == Shard.Owners_.end() || It->second.fractionAt(Now) <= 0))
      continue;
    LendReturn Message;
    Message.Shard_ = static_cast<std::uint32_t>(Index);
    Message.Incarnation_ = Run_;
    Message.Final_ = Leaving_;
    if (Used > 0)
      Message.GrantsEnd_ = std::max(Duration::zero(), End - Now);
    if (It != Shard.Owners_.end()) {
      Used -= It->second.fractionAt(Now);
      Message.Stamp_ = It->second.Stamp_;
      // The entry is kept, so that a duplicate of the loan is not accepted.
      It->second.End_ = std::min(It->second.End_, Now);
    }
    send(Host.Id_, Message);
  }
  advanceShard(Now, Index);
}

void TeamLimits::on(TimePoint Now, const HostId &From, const LendGrant &Message) {
  if (Message.ToIncarnation_ != Run_ || Message.Shard_ >= Shards_.size() ||
      Message.Incarnation_ < Runs_[From])
    return;
  recordRun(From, Message.Incarnation_);
  detail::Holding &Held = Shards_[Message.Shard_].Owners_[From];
  if (Message.Stamp_ <= Held.Stamp_)
    return;
  for (auto &[Name, Team] : Teams_)
    if (Team.Shard_ == Message.Shard_)
      advancePool(Now, Team);
  Held = {Message.Fraction_, Message.Fraction_,
          Message.Stamp_ + scaled(Message.Term_, Settings_.BorrowerTermFraction_), Message.Stamp_,
          Message.Incarnation_};
  if (Message.Fraction_ > 0) {
    std::uint32_t &Count = OwnersCount_[From];
    Count = std::max(Count, static_cast<std::uint32_t>(1.0 / Message.Fraction_ + 1e-6));
  }
}

// Fraction that owners have lent to this node at least until Time, and its own share unless lent.
double TeamLimits::ownedFraction(TimePoint Now, const detail::TeamState &Team, TimePoint Time) {
  if (!poolUsable(Now))
    return 0;
  detail::ShardState &Shard = Shards_[Team.Shard_];
  double Sum = ownShareUsable(Now) && Shard.Lent_.exposure(Now) <= 0 ? ownShare() : 0;
  for (const auto &[Host, Held] : Shard.Owners_)
    Sum += Held.fractionAt(Time);
  return Sum;
}

double TeamLimits::poolFraction(TimePoint Now, const detail::TeamState &Team, TimePoint Time) {
  double Sum = ownedFraction(Now, Team, Time);
  if (!poolUsable(Now))
    return 0;
  for (const auto &[Host, Loan] : Team.Bulk_)
    Sum += Loan.Holding_.fractionAt(Time);
  for (const auto &[Host, Loan] : Team.TokenBulk_)
    Sum += Loan.Holding_.fractionAt(Time);
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
    if (Held.fractionAt(Now) > 0)
      Result = std::min(Result, Held.End_);
  };
  for (const auto &[Host, Held] : Shards_[Team.Shard_].Owners_)
    Consider(Held);
  for (const auto *Loans : {&Team.Bulk_, &Team.TokenBulk_})
    for (const auto &[Host, Loan] : *Loans)
      Consider(Loan.Holding_);
  return Result;
}

double TeamLimits::totalDemand(const detail::TeamState &Team) {
  double Sum = 0;
  for (const auto &[Host, Reported] : Team.ReportedDemand_)
    Sum += Reported.first;
  return Sum;
}

Duration TeamLimits::termOf(const LeaseRequest &Request) const {
  if (Request.Bulk_)
    return Request.TokensOnly_ ? Settings_.TokenBulkTerm_ : Settings_.BulkTerm_;
  return Request.TokensOnly_ ? Settings_.TokenLeaseTerm_ : Settings_.LeaseTerm_;
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
  recordRun(From, Message.Incarnation_);
  detail::TeamState &Team = It->second;
  detail::LoanRecord &Record = Team.Lent_[{From, Message.kind()}];
  // A new run of a consumer doesn't use the lease of the earlier run. Bulk loans remain on record,
  // because the earlier run may have granted leases from them.
  if (Message.Incarnation_ > Record.Borrower_ && !Message.Bulk_)
    Record.clear();
  if (Message.Incarnation_ == Record.Borrower_ && Message.Stamp_ <= Record.LastStamp_)
    return;
  Record.Borrower_ = Message.Incarnation_;
  Record.LastStamp_ = Message.Stamp_;
  if (!Message.Bulk_)
    Team.ReportedDemand_[From] = {Message.Demand_, Now};
  if (grant(Now, Team, From, Message, !Message.Bulk_))
    return;
  Team.Waiting_.push_back({From, Message, Now + Settings_.BulkWait_});
  requestBulk(Now, Message.Team_, Team);
  requestTokenBulk(Now, Message.Team_, Team);
}

// Returns false if the answer should wait for a bulk loan.
bool TeamLimits::grant(TimePoint Now, detail::TeamState &Team, const HostId &To,
                       const LeaseRequest &Request, bool MayWait) {
  const Duration Term = termOf(Request);
  advancePool(Now, Team);
  detail::LoanRecord &Record = Team.Lent_[{To, Request.kind()}];
  const double Old = Record.exposure(Now);
  const double LentToOthers = lentFraction(Now, Team) - Old;
  // Bulk loans are granted only from the loans of owners, so that nothing is lent back to its
  // lender. What is free at the end of the term is free until then, because loans to the pool only
  // expire.
  const double FractionUntil =
      Request.Bulk_ ? ownedFraction(Now, Team, Now + Term) : poolFraction(Now, Team, Now + Term);
  const double RateUntil = Request.Bulk_ ? FractionUntil : poolRate(Now, Team, Now + Term);
  const double RateFree = RateUntil - (lentRate(Now, Team) - Record.rateExposure(Now));
  const double Free = FractionUntil - LentToOthers;
  const double Total = totalDemand(Team);
  double Rate = Request.RateWanted_;
  if (Request.Bulk_)
    Rate = std::min(Rate, FractionUntil - Total);
  else if (Total > RateUntil)
    Rate = std::min(Rate, RateUntil * Request.Demand_ / Total);
  Rate = std::max(0.0, std::min(Rate, RateFree));
  double Fraction = std::max(0.0, std::min(Request.FractionWanted_, Free));
  double Tokens = 0;
  if (Request.TokensOnly_ && Team.Burst_ > 0) {
    // Capacity without tokens would only tie up the pool, so the grant has just enough capacity for
    // its tokens. A broker gets at most half of the difference between the levels of the two pools.
    const double Available =
        Request.Bulk_ ? std::max(0.0, Team.Pool_.Level_ - Request.Demand_) / 2 : Team.Pool_.Level_;
    const double FreeCapacity = std::max(0.0, Fraction * Team.Burst_ - Request.LevelBound_);
    Tokens = std::min({Request.TokensWanted_, Available, FreeCapacity});
    // A fraction of a token is of no use to a consumer and would be lost.
    if (!Request.Bulk_)
      Tokens = std::floor(Tokens);
    Fraction = std::min(Fraction, (Tokens + Request.LevelBound_) / Team.Burst_);
  } else {
    // In a shortage, capacity is divided in proportion to demand, as the rate is.
    if (Request.Bulk_)
      Fraction = std::min(Fraction, Rate);
    else if (Total > RateUntil)
      Fraction = std::min(Fraction, FractionUntil * Request.Demand_ / Total);
    const double PoolCap =
        std::max(0.0, FractionUntil - LentToOthers - std::max(Old, Fraction)) * Team.Burst_;
    const double FreeCapacity = std::max(0.0, Fraction * Team.Burst_ - Request.LevelBound_);
    // Tokens above the pool's remaining capacity would be lost, so they are granted too.
    Tokens = std::min({std::max(Request.TokensWanted_, Team.Pool_.Level_ - PoolCap),
                       Team.Pool_.Level_, FreeCapacity});
  }
  // For a tokens-only loan one token is sufficient: it serves a held request now, and the consumer
  // asks again for the others.
  const double OneToken = std::min(1.0, Request.TokensWanted_);
  const double SufficientTokens =
      Request.TokensOnly_ ? OneToken : std::max(OneToken, std::floor(Request.TokensWanted_ * 0.9));
  const bool Shortage = Rate < Request.RateWanted_ * 0.9 || Tokens < SufficientTokens;
  if (Shortage && MayWait && !Shards_[Team.Shard_].OtherBrokers_.empty())
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
  const double Missing = std::min(1.0, totalDemand(Team)) - Owned;
  // Consumers report more demand than they measure, as headroom, which needs no bulk loan.
  return Missing < 0.3 * Owned ? 0 : Missing;
}

// Borrows rate from other brokers when the demand exceeds what the owners of this data centre lent.
void TeamLimits::requestBulk(TimePoint Now, const TeamId &Name, detail::TeamState &Team) {
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
    Parts += Loan.Shortage_ ? 0 : 1;
  }
  for (const HostId &Host : Shard.OtherBrokers_) {
    detail::Borrowing &Loan = Team.Bulk_[Host];
    if (Loan.Pending_ || Now < Loan.RequestedAt_ + std::chrono::milliseconds(25))
      continue;
    LeaseRequest Request;
    Request.Team_ = Name;
    Request.Incarnation_ = Run_;
    Request.Stamp_ = Now;
    Request.Bulk_ = true;
    // What one lender lacks is requested from those that granted everything.
    const double Share = (Missing - Held) / static_cast<double>(std::max<std::size_t>(1, Parts));
    const double Present = Loan.Holding_.rateAt(Now);
    Request.RateWanted_ = std::max(0.0, Loan.Shortage_ && Parts > 0 ? Present : Present + Share);
    if (Request.RateWanted_ <= 0)
      continue;
    // Leases granted from the loan may hold its full burst, so a renewal brings tokens only for the
    // fraction that it adds.
    Request.LevelBound_ = Loan.Holding_.fractionAt(Now) * Team.Burst_;
    Request.TokensWanted_ = 1;
    Request.FractionWanted_ = Request.RateWanted_;
    Loan.Pending_ = true;
    Loan.RequestedAt_ = Now;
    Loan.RateWanted_ = Request.RateWanted_;
    send(Host, Request);
  }
}

// Borrows tokens for requests that are held now. Also requests tokens before this pool is empty,
// because a full pool elsewhere loses the tokens that it accrues.
void TeamLimits::requestTokenBulk(TimePoint Now, const TeamId &Name, detail::TeamState &Team) {
  const detail::ShardState &Shard = Shards_[Team.Shard_];
  if (Shard.OtherBrokers_.empty() || Shard.LocalBroker_ != Self_ || Leaving_ || Team.Burst_ <= 0)
    return;
  advancePool(Now, Team);
  double Missing = -Team.Pool_.Level_;
  for (const detail::WaitingRequest &Entry : Team.Waiting_)
    Missing += Entry.Request_.TokensWanted_;
  const double Capacity = ownedFraction(Now, Team, Now) * Team.Burst_;
  const bool Low =
      Team.Pool_.Level_ < Settings_.RebalanceLevel_ * Capacity && !Team.ReportedDemand_.empty();
  if (Missing <= 0 && (!Low || Now < Team.NextRebalance_))
    return;
  Team.NextRebalance_ = Now + Settings_.RebalanceInterval_;
  std::vector<HostId> Lenders;
  for (const HostId &Host : Shard.OtherBrokers_) {
    const detail::Borrowing &Loan = Team.TokenBulk_[Host];
    if (!Loan.Pending_ && Now >= Loan.RequestedAt_ + std::chrono::milliseconds(25) &&
        Now >= Loan.ShortageUntil_ &&
        Loan.Holding_.fractionAt(Now) <= (Missing > 0 ? MaxTokenBulkFraction : 0))
      Lenders.push_back(Host);
  }
  if (Missing <= 0 && Lenders.size() > 1) {
    // The lender that had the most tokens left when it last answered.
    const auto Best =
        std::max_element(Lenders.begin(), Lenders.end(), [&](const HostId &A, const HostId &B) {
          return Team.TokenBulk_[A].Granted_ < Team.TokenBulk_[B].Granted_;
        });
    // If the fullest pool had fewer than two tokens more than this one, no pool has tokens to
    // spare, and it is asked at most once per renewal interval.
    const detail::Borrowing &Loan = Team.TokenBulk_[*Best];
    if (Loan.Granted_ < 2 - Missing && Now < Loan.RequestedAt_ + Settings_.BulkRenewal_)
      return;
    Lenders = {*Best};
  }
  for (const HostId &Host : Lenders) {
    detail::Borrowing &Loan = Team.TokenBulk_[Host];
    LeaseRequest Request;
    Request.Team_ = Name;
    Request.Incarnation_ = Run_;
    Request.Stamp_ = Now;
    Request.Bulk_ = Request.TokensOnly_ = true;
    Request.Demand_ = std::max(0.0, -Missing);
    Request.TokensWanted_ =
        std::max(Missing, Settings_.RebalanceLevel_ * Capacity - Team.Pool_.Level_) + 1;
    // The capacity borrowed already may be in use by leases.
    Request.LevelBound_ = Loan.Holding_.fractionAt(Now) * Team.Burst_;
    Request.FractionWanted_ = (Request.TokensWanted_ + Request.LevelBound_) / Team.Burst_;
    Loan.Pending_ = true;
    Loan.RequestedAt_ = Now;
    Loan.RateWanted_ = 0;
    send(Host, Request);
  }
}

// Returns a bulk loan of tokens once the pool's other free capacity holds its tokens.
void TeamLimits::returnTokenBulk(TimePoint Now, const TeamId &Name, detail::TeamState &Team,
                                 const HostId &Lender) {
  detail::Borrowing &Loan = Team.TokenBulk_[Lender];
  const double Borrowed = Loan.Holding_.fractionAt(Now);
  advancePool(Now, Team);
  const double Free = poolFraction(Now, Team, Now) - lentFraction(Now, Team) - Borrowed;
  if (Borrowed <= 0 || Free * Team.Burst_ < Team.Pool_.Level_)
    return;
  send(Lender, LeaseReturn{Name, Run_, Loan.Holding_.Stamp_, 0, LoanKind::TokenBulk});
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
  // A return of an earlier grant is ignored, because a later grant may be in transit.
  if (Lent == Team.Lent_.end() || Lent->second.Borrower_ != Message.Incarnation_ ||
      Lent->second.GrantStamp_ != Message.Stamp_)
    return;
  advancePool(Now, Team);
  Lent->second.clear();
  Lent->second.GrantStamp_ = {};
  if (Message.Kind_ == LoanKind::Lease)
    Team.ReportedDemand_.erase(From);
  Team.Pool_.Level_ += Message.Tokens_;
  advancePool(Now, Team);
}

void TeamLimits::tickBroker(TimePoint Now, const TeamId &Name, detail::TeamState &Team) {
  advancePool(Now, Team);
  for (auto It = Team.ReportedDemand_.begin(); It != Team.ReportedDemand_.end();)
    It = It->second.second + Settings_.LeaseTerm_ < Now ? Team.ReportedDemand_.erase(It)
                                                        : std::next(It);
  bool Pending = false;
  for (auto *Loans : {&Team.Bulk_, &Team.TokenBulk_})
    for (auto &[Host, Loan] : *Loans) {
      if (Loan.Pending_ && Now >= Loan.RequestedAt_ + Settings_.AnswerTimeout_)
        Loan.Pending_ = false;
      Pending |= Loan.Pending_;
    }
  if (!Team.Waiting_.empty())
    answerWaiting(Now, Team, false);
  requestTokenBulk(Now, Name, Team);
  if (!Team.ReportedDemand_.empty() && Now >= Team.NextBulk_) {
    Team.NextBulk_ = Now + Settings_.BulkRenewal_;
    for (auto &[Host, Loan] : Team.Bulk_)
      Loan.Shortage_ = false;
    requestBulk(Now, Name, Team);
  }
  if (!Pending && missingRate(Now, Team) <= 0)
    returnBulk(Now, Name, Team);
}

// Returns bulk loans that the demand no longer needs, once no lease depends on them. While there is
// demand, each loan returns its proportion of the tokens; otherwise all tokens are returned.
void TeamLimits::returnBulk(TimePoint Now, const TeamId &Name, detail::TeamState &Team) {
  const bool Idle = Team.ReportedDemand_.empty();
  const auto Return = [&](std::map<HostId, detail::Borrowing> &Loans, LoanKind Kind) {
    for (auto &[Host, Loan] : std::exchange(Loans, {})) {
      const double Fraction = Loan.Holding_.fractionAt(Now);
      if (Fraction <= 0)
        continue;
      const double All = poolFraction(Now, Team, Now) + Fraction;
      const double Share = Idle ? 1 : Fraction / All;
      const double Returned = std::min(Team.Pool_.Level_ * Share, Fraction * Team.Burst_);
      Team.Pool_.Level_ -= Returned;
      send(Host, LeaseReturn{Name, Run_, Loan.Holding_.Stamp_, Returned, Kind});
    }
  };
  if ((Team.Bulk_.empty() && Team.TokenBulk_.empty()) ||
      lentFraction(Now, Team) > ownedFraction(Now, Team, Now + Settings_.BulkTerm_))
    return;
  Return(Team.Bulk_, LoanKind::Bulk);
  if (Idle)
    Return(Team.TokenBulk_, LoanKind::TokenBulk);
  advancePool(Now, Team);
}

} // namespace bronzestand
