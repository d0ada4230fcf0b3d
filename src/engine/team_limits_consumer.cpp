#include <algorithm>
#include <cmath>

#include "bronzestand/team_limits.h"

namespace bronzestand {
namespace {

/// Time constant of the average demand.
constexpr double DemandWindowSeconds = 1.0;
/// Time constant of the recent demand. The longer average alone would keep a lease for a second
/// after the calls have moved to other nodes.
constexpr double RecentWindowSeconds = 0.1;
/// A full lease is too large when the recent demand is below this fraction of the average.
constexpr double DemandDropFraction = 0.5;
/// Ratio of leased to measured demand, so that normal variation needs no extra message.
constexpr double LeaseHeadroom = 1.3;
/// The longest time for which a request is held.
constexpr double MaxHoldSeconds = 0.05;

Duration scaled(Duration Term, double Factor) {
  return std::chrono::duration_cast<Duration>(Term * Factor);
}

} // namespace

double TeamLimits::leased(TimePoint Now, const detail::TeamState &Team) const {
  double Sum = 0;
  for (const auto &[Host, Lease] : Team.Leases_)
    Sum += Lease.Holding_.fractionAt(Now);
  return Sum;
}

double TeamLimits::leasedRate(TimePoint Now, const detail::TeamState &Team) const {
  double Sum = 0;
  for (const auto &[Host, Lease] : Team.Leases_)
    Sum += Lease.Holding_.rateAt(Now);
  return Sum;
}

void TeamLimits::advanceBucket(TimePoint Now, detail::TeamState &Team) {
  TimePoint End = TimePoint::max();
  for (const auto &[Host, Lease] : Team.Leases_)
    if (Lease.Holding_.fractionAt(Now) > 0)
      End = std::min(End, Lease.Holding_.End_);
  Team.Bucket_.advance(Now, leasedRate(Now, Team), Team.Rate_, leased(Now, Team) * Team.Burst_,
                       End);
  // The bound keeps the level within the lease after an answer adds its tokens.
  for (const auto &[Host, Lease] : Team.Leases_)
    if (Lease.Pending_)
      Team.Bucket_.Level_ = std::min(Team.Bucket_.Level_, Lease.LevelBound_);
}

// Calls per second, corrected for an average that has not run for its full window yet.
double TeamLimits::demand(TimePoint Now, const detail::TeamState &Team) {
  const double Age = std::chrono::duration<double>(Now - Team.FirstCall_).count();
  return Team.Demand_ / (1 - std::exp(-std::max(Age, 0.1) / DemandWindowSeconds));
}

LimitDecision TeamLimits::admit(TimePoint Now, const TeamId &Name, bool Retried) {
  const auto It = Teams_.find(Name);
  if (It == Teams_.end() || !It->second.Active_ || Leaving_)
    return LimitDecision::Refuse;
  detail::TeamState &Team = It->second;
  const double Idle = std::chrono::duration<double>(Now - Team.LastCall_).count();
  Team.Demand_ = Team.Demand_ * std::exp(-Idle / DemandWindowSeconds) +
                 (Retried ? 0 : 1.0 / DemandWindowSeconds);
  Team.RecentDemand_ = Team.RecentDemand_ * std::exp(-Idle / RecentWindowSeconds) +
                       (Retried ? 0 : 1 / RecentWindowSeconds);
  Team.LastCall_ = Now;
  if (Idle > 2 * DemandWindowSeconds)
    Team.FirstCall_ = Now;
  advanceBucket(Now, Team);
  if (Team.Bucket_.Level_ >= 1) {
    Team.Bucket_.Level_ -= 1;
    return LimitDecision::Admitted;
  }
  const double Soon = leasedRate(Now, Team) * Team.Rate_ * MaxHoldSeconds + Team.Bucket_.Level_;
  // A single empty answer may be chance, and the request may still get a token within its 50 ms.
  if (Now < Team.EmptyUntil_ && Team.EmptyAnswers_ > 1 && Soon < Team.HeldCount_ + 1)
    return LimitDecision::Refuse;
  ++Team.HeldCount_;
  if (Now >= Team.EmptyUntil_)
    requestLease(Now, Name, Team);
  drainLocal(Now);
  return LimitDecision::Hold;
}

void TeamLimits::requestLease(TimePoint Now, const TeamId &Name, detail::TeamState &Team) {
  for (const auto &[Host, Lease] : Team.Leases_)
    if (Lease.Pending_)
      return;
  HostId Lender = Shards_[Team.Shard_].LocalBroker_;
  // After two requests without an answer from the broker, every second one goes to the own share.
  if (Team.Leases_[Lender].Unanswered_ >= 2 && (Team.Leases_[Lender].Unanswered_ % 2) == 0)
    Lender = Self_;
  if (Lender == Self_ && Shards_[Team.Shard_].LocalBroker_ != Self_)
    ++Team.Leases_[Shards_[Team.Shard_].LocalBroker_].Unanswered_;
  detail::Borrowing &Lease = Team.Leases_[Lender];
  // Requests to one lender need different stamps, or it takes the second for a duplicate.
  if (Now <= Lease.RequestedAt_)
    return;
  LeaseRequest Request;
  Request.Team_ = Name;
  Request.Incarnation_ = Run_;
  Request.Stamp_ = Now;
  const double Expected = demand(Now, Team) * LeaseHeadroom;
  // Requests that were held for 50 ms have been refused; this bounds how many can be held now.
  Team.HeldCount_ = std::min(Team.HeldCount_, static_cast<std::uint32_t>(Expected * 0.1) + 1);
  const double ByRate = Team.Rate_ > 0 ? Expected / Team.Rate_ : 0;
  // Hysteresis: a lease with a rate is kept until its capacity is clearly too small.
  const double MinCapacity = Settings_.MinLeaseCapacity_ * (leasedRate(Now, Team) > 0 ? 0.7 : 1.0);
  // A broker in a shortage may grant less than the demand.
  const bool Shortage = Lease.Shortage_ && Now < Lease.ShortageUntil_;
  const double Rate = Shortage ? std::min(ByRate, Lease.Granted_) : ByRate;
  Request.TokensOnly_ = Rate * Team.Burst_ < MinCapacity;
  if (Request.TokensOnly_ && Lease.Holding_.rateAt(Now) > 0) {
    // If a tokens-only lease replaced this one, its rate would be lost for the rest of its term.
    const double Returned = std::min(Team.Bucket_.Level_, Lease.Holding_.Fraction_ * Team.Burst_);
    Team.Bucket_.Level_ -= Returned;
    send(Lender, LeaseReturn{Name, Run_, Lease.Holding_.Stamp_, Returned, LoanKind::Lease});
    Lease.Holding_ = {};
    advanceBucket(Now, Team);
  }
  const double Prefetch = Request.TokensOnly_ ? std::floor(Expected * 0.05) : 1 + Expected * 0.1;
  Request.TokensWanted_ = std::max(0.0, Team.HeldCount_ + Prefetch - Team.Bucket_.Level_);
  if (Request.TokensOnly_)
    Request.TokensWanted_ = std::ceil(Request.TokensWanted_);
  // The level now and the tokens that accrue until the answer arrives.
  Request.LevelBound_ = Team.Bucket_.Level_ + Team.Bucket_.LastFraction_ * Team.Rate_ * 0.01;
  const double ByBurst =
      Team.Burst_ > 0 ? (Request.TokensWanted_ + Request.LevelBound_) / Team.Burst_ : 0;
  Request.Demand_ = ByRate;
  Request.RateWanted_ = Request.TokensOnly_ ? 0 : std::min(1.0, ByRate);
  Request.FractionWanted_ = std::min(1.0, std::max(Request.RateWanted_, ByBurst));
  Lease.Pending_ = true;
  Lease.RequestedAt_ = Now;
  Lease.LevelBound_ = Request.LevelBound_;
  Lease.TokensWanted_ = Request.TokensWanted_;
  Lease.RateWanted_ = Request.RateWanted_;
  // Tokens-only leases are not renewed; the next request without a token starts a new one.
  Team.NextLease_ = Request.TokensOnly_ ? TimePoint::max() : Now + Settings_.LeaseRenewal_;
  send(Lender, std::move(Request));
}

void TeamLimits::on(TimePoint Now, const HostId &From, const LeaseGrant &Message) {
  const auto It = Teams_.find(Message.Team_);
  if (It == Teams_.end() || Message.ToIncarnation_ != Run_ || Message.Incarnation_ < Runs_[From])
    return;
  recordRun(From, Message.Incarnation_);
  detail::TeamState &Team = It->second;
  const bool Bulk = Message.Kind_ != LoanKind::Lease;
  auto &Loans = Message.Kind_ == LoanKind::Bulk        ? Team.Bulk_
                : Message.Kind_ == LoanKind::TokenBulk ? Team.TokenBulk_
                                                       : Team.Leases_;
  const auto Found = Loans.find(From);
  // Any other answer is late or a duplicate, and its tokens are lost.
  if (Found == Loans.end() || !Found->second.Pending_ ||
      Found->second.RequestedAt_ != Message.Stamp_ || !Team.Active_)
    return;
  if (Bulk)
    advancePool(Now, Team);
  else
    advanceBucket(Now, Team);
  detail::Borrowing &Loan = Found->second;
  Loan.Pending_ = false;
  Loan.Unanswered_ = 0;
  if (Loan.RateWanted_ > 0) {
    Loan.Granted_ = Message.Rate_;
    Loan.Shortage_ = Message.Rate_ < Loan.RateWanted_ * 0.9;
    Loan.ShortageUntil_ = Now + scaled(Settings_.LeaseRenewal_, 0.5);
  }
  Loan.Holding_ = {Message.Fraction_, Message.Rate_,
                   Message.Stamp_ + scaled(Message.Term_, Settings_.BorrowerTermFraction_),
                   Message.Stamp_};
  const bool Valid = Now < Loan.Holding_.End_;
  if (Bulk) {
    Team.Pool_.Level_ += Valid ? Message.Tokens_ : 0;
    advancePool(Now, Team);
    answerWaiting(Now, Team, false);
    if (Message.Kind_ == LoanKind::TokenBulk) {
      Loan.Granted_ = Message.Level_;
      if (Message.Tokens_ < 0.5)
        Loan.ShortageUntil_ = Now + std::chrono::milliseconds(25);
      returnTokenBulk(Now, Message.Team_, Team, From);
    }
    return;
  }
  Team.Bucket_.Level_ += Valid ? Message.Tokens_ : 0;
  advanceBucket(Now, Team);
  if (Team.HeldCount_ == 0)
    return;
  if (Message.Tokens_ < std::min(1.0, Loan.TokensWanted_)) {
    Team.EmptyUntil_ = Now + std::chrono::milliseconds(20);
    ++Team.EmptyAnswers_;
  } else {
    Team.EmptyAnswers_ = 0;
  }
  if (Team.Bucket_.Level_ >= 1) {
    Team.HeldCount_ = 0;
    Effects_.emplace_back(LimitReady{Message.Team_});
  }
}

void TeamLimits::returnLeases(TimePoint Now, const TeamId &Name, detail::TeamState &Team) {
  advanceBucket(Now, Team);
  double Tokens = Team.Bucket_.Level_;
  for (auto &[Host, Lease] : std::exchange(Team.Leases_, {})) {
    // An expired lease is returned too, so that the broker drops this node's demand. The broker
    // itself drops demand that was reported longer ago than a lease term.
    if (Lease.Pending_ || Lease.Holding_.Stamp_ == TimePoint{} ||
        (Lease.Holding_.fractionAt(Now) <= 0 && Now > Lease.RequestedAt_ + Settings_.LeaseTerm_))
      continue;
    const double Returned = std::min(Tokens, Lease.Holding_.fractionAt(Now) * Team.Burst_);
    Tokens -= Returned;
    send(Host, LeaseReturn{Name, Run_, Lease.Holding_.Stamp_, Returned, LoanKind::Lease});
  }
  Team.Bucket_.Level_ = 0;
}

// Returns leases whose demand has moved to other nodes, and requests a smaller one.
bool TeamLimits::returnOversizedLease(TimePoint Now, const TeamId &Name, detail::TeamState &Team) {
  const double Idle = std::chrono::duration<double>(Now - Team.LastCall_).count();
  const double Recent = Team.RecentDemand_ * std::exp(-Idle / RecentWindowSeconds);
  const bool Full = Team.Bucket_.Level_ >= 0.9 * leased(Now, Team) * Team.Burst_;
  if (leasedRate(Now, Team) <= 0 || !Full || Recent >= DemandDropFraction * demand(Now, Team) ||
      Now < Team.FirstCall_ + std::chrono::milliseconds(300))
    return false;
  returnLeases(Now, Name, Team);
  Team.Demand_ = Recent;
  requestLease(Now, Name, Team);
  return true;
}

void TeamLimits::tickConsumer(TimePoint Now, const TeamId &Name, detail::TeamState &Team) {
  if (Team.Leases_.empty())
    return;
  advanceBucket(Now, Team);
  bool Pending = false;
  for (auto &[Host, Lease] : Team.Leases_) {
    if (Lease.Pending_ && Now >= Lease.RequestedAt_ + Settings_.AnswerTimeout_) {
      Lease.Pending_ = false;
      ++Lease.Unanswered_;
    }
    Pending |= Lease.Pending_;
  }
  if (Team.HeldCount_ > 0 && Team.Bucket_.Level_ >= 1) {
    Team.HeldCount_ = 0;
    Effects_.emplace_back(LimitReady{Name});
  }
  if (Pending)
    return;
  // A pause of five mean gaps is unlikely to be chance. The lease is unused until then.
  const Duration Gap = scaled(std::chrono::seconds(5), 1 / std::max(Team.Demand_, 1.0));
  if (Now >= Team.LastCall_ + std::max(Settings_.IdleReturnDelay_, Gap)) {
    Team.HeldCount_ = 0;
    returnLeases(Now, Name, Team);
    return;
  }
  if (returnOversizedLease(Now, Name, Team))
    return;
  if (Now >= Team.NextLease_ || (Team.HeldCount_ > 0 && Now >= Team.EmptyUntil_))
    requestLease(Now, Name, Team);
}

} // namespace bronzestand
