#include <algorithm>
#include <cmath>

#include "bronzestand/team_limits.h"

namespace bronzestand {
namespace {

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
    // Owners that start at the same time become able to lend within one round trip.
    const bool Starting = Now < Start_ + Settings_.OwnerRenewal_;
    const Duration Retry = std::chrono::milliseconds(Starting ? 50 : 1000);
    Shard.NextAsk_ = Now + (Missing ? Retry : std::chrono::milliseconds(200));
  }
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
          Message.Stamp_ + scaled(Message.Term_, Settings_.BorrowerPart_), Message.Stamp_};
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
  for (const auto &[Host, Loan] : Team.Bulk_)
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
  detail::LoanRecord &Record = Team.Lent_[{From, Message.Bulk_}];
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
}

// Returns false if the answer should wait for a bulk loan.
bool TeamLimits::grant(TimePoint Now, detail::TeamState &Team, const HostId &To,
                       const LeaseRequest &Request, bool MayWait) {
  const Duration Term = termOf(Request);
  advancePool(Now, Team);
  detail::LoanRecord &Record = Team.Lent_[{To, Request.Bulk_}];
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
    // broker takes at most half of the tokens that local consumers may need.
    const double Room = std::max(0.0, Fraction * Team.Burst_ - Request.LevelBound_);
    Tokens =
        std::min({Request.TokensWanted_, Team.Pool_.Level_ * (Request.Bulk_ ? 0.5 : 1.0), Room});
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
  const bool Short =
      Rate < Request.RateWanted_ * 0.9 || Tokens < std::floor(Request.TokensWanted_ * 0.9);
  if (Short && MayWait && !Shards_[Team.Shard_].OtherBrokers_.empty())
    return false;
  Record.add(Fraction, Rate, Now + Term);
  Record.GrantStamp_ = Request.Stamp_;
  Team.Pool_.Level_ -= Tokens;
  advancePool(Now, Team);
  send(To, LeaseGrant{Request.Team_, Run_, Request.Incarnation_, Request.Stamp_, Fraction, Rate,
                      Tokens, Term, Request.Bulk_});
  return true;
}

void TeamLimits::askBulk(TimePoint Now, const TeamId &Name, detail::TeamState &Team) {
  const detail::ShardState &Shard = Shards_[Team.Shard_];
  if (Shard.OtherBrokers_.empty() || Shard.LocalBroker_ != Self_ || Leaving_)
    return;
  advancePool(Now, Team);
  const double Owned = ownedFraction(Now, Team, Now);
  // Demand is reported ahead of what was measured; the part ahead is not worth a bulk loan.
  double Missing = std::min(1.0, wantedTotal(Team)) - Owned;
  if (Missing < 0.3 * Owned)
    Missing = 0;
  double TokensMissing = -Team.Pool_.Level_, Held = 0;
  for (const detail::WaitingRequest &Entry : Team.Waiting_)
    TokensMissing += Entry.Request_.TokensWanted_;
  if ((Missing <= 0 && TokensMissing <= 0) || Team.Burst_ <= 0)
    return;
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
    // A lender without a rate to spare may still have tokens.
    if (Loan.Short_ && Present <= 0 && TokensMissing > 0)
      Request.RateWanted_ = 0;
    Request.Spot_ = Request.RateWanted_ <= 0;
    // Leases granted on the loan may hold its full burst, so a renewal brings tokens only for the
    // fraction that it adds.
    const double Room = Loan.Holding_.at(Now);
    // Repeated spot loans would add up to the lender's whole room.
    if (Request.Spot_ && Room > 0)
      continue;
    Request.LevelBound_ = Room * Team.Burst_;
    if (TokensMissing > 0)
      Request.TokensWanted_ = TokensMissing / static_cast<double>(Shard.OtherBrokers_.size()) + 1;
    // Room for tokens is borrowed for a short time only: brokers that all did so for long would
    // lock each other's pools.
    Request.Wanted_ = Request.RateWanted_;
    if (Request.Spot_ && TokensMissing > 0)
      Request.Wanted_ = Room + Request.TokensWanted_ / Team.Burst_;
    if (Request.Wanted_ <= 0)
      continue;
    Loan.Pending_ = true;
    Loan.Asked_ = Now;
    Loan.RateWanted_ = Request.RateWanted_;
    send(Host, Request);
  }
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
  const auto Lent = Team.Lent_.find({From, Message.Bulk_});
  // Only the last grant may be returned: a later one may be on its way.
  if (Lent == Team.Lent_.end() || Lent->second.Borrower_ != Message.Incarnation_ ||
      Lent->second.GrantStamp_ != Message.Stamp_)
    return;
  advancePool(Now, Team);
  Lent->second.clear();
  Lent->second.GrantStamp_ = {};
  if (!Message.Bulk_)
    Team.Wanted_.erase(From);
  Team.Pool_.Level_ += Message.Tokens_;
  advancePool(Now, Team);
}

void TeamLimits::tickBroker(TimePoint Now, const TeamId &Name, detail::TeamState &Team) {
  advancePool(Now, Team);
  for (auto It = Team.Wanted_.begin(); It != Team.Wanted_.end();)
    It = It->second.second + Settings_.LeaseTerm_ < Now ? Team.Wanted_.erase(It) : std::next(It);
  bool Pending = false;
  for (auto &[Host, Loan] : Team.Bulk_) {
    if (Loan.Pending_ && Now >= Loan.Asked_ + Settings_.AnswerTimeout_)
      Loan.Pending_ = false;
    Pending |= Loan.Pending_;
  }
  if (!Team.Waiting_.empty())
    answerWaiting(Now, Team, !Pending);
  if (!Team.Wanted_.empty() && Now >= Team.NextBulk_) {
    Team.NextBulk_ = Now + Settings_.BulkRenewal_;
    for (auto &[Host, Loan] : Team.Bulk_)
      Loan.Short_ = false;
    askBulk(Now, Name, Team);
  }
  // Bulk loans without demand are returned once no lease stands on them.
  if (Team.Bulk_.empty() || Pending || !Team.Wanted_.empty() ||
      lentFraction(Now, Team) > ownedFraction(Now, Team, Now + Settings_.BulkTerm_))
    return;
  double Tokens = Team.Pool_.Level_;
  for (auto &[Host, Loan] : std::exchange(Team.Bulk_, {}))
    if (Loan.Holding_.at(Now) > 0) {
      const double Part = std::min(Tokens, Loan.Holding_.Fraction_ * Team.Burst_);
      Tokens -= Part;
      Team.Pool_.Level_ -= Part;
      send(Host, LeaseReturn{Name, Run_, Loan.Holding_.Stamp_, Part, true});
    }
  advancePool(Now, Team);
}

} // namespace bronzestand
