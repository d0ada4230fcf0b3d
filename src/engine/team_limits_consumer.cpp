#include <algorithm>
#include <cmath>

#include "bronzestand/team_limits.h"

namespace bronzestand {
namespace {

constexpr double DemandSeconds = 1.0;
/// Demand is leased ahead by this factor, so that normal variation needs no extra message.
constexpr double LeaseAhead = 1.3;
/// A request is held at most 50 ms.
constexpr double HoldSeconds = 0.05;

Duration scaled(Duration Term, double Part) {
  return std::chrono::duration_cast<Duration>(Term * Part);
}

} // namespace

double TeamLimits::leased(TimePoint Now, const detail::TeamState &Team) const {
  double Sum = 0;
  for (const auto &[Host, Lease] : Team.Leases_)
    Sum += Lease.Holding_.at(Now);
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
    if (Lease.Holding_.at(Now) > 0)
      End = std::min(End, Lease.Holding_.End_);
  Team.Bucket_.advance(Now, leasedRate(Now, Team), Team.Rate_, leased(Now, Team) * Team.Burst_,
                       End);
  // Together with the tokens that an answer may bring, the level stays inside the lease.
  for (const auto &[Host, Lease] : Team.Leases_)
    if (Lease.Pending_)
      Team.Bucket_.Level_ = std::min(Team.Bucket_.Level_, Lease.LevelBound_);
}

// Calls per second, corrected for the short time since the first call.
double TeamLimits::demand(TimePoint Now, const detail::TeamState &Team) {
  const double Age = std::chrono::duration<double>(Now - Team.FirstCall_).count();
  return Team.Demand_ / (1 - std::exp(-std::max(Age, 0.1) / DemandSeconds));
}

LimitDecision TeamLimits::admit(TimePoint Now, const TeamId &Name, bool Retried) {
  const auto It = Teams_.find(Name);
  if (It == Teams_.end() || !It->second.Active_ || Leaving_)
    return LimitDecision::Refuse;
  detail::TeamState &Team = It->second;
  const double Idle = std::chrono::duration<double>(Now - Team.LastCall_).count();
  Team.Demand_ =
      Team.Demand_ * std::exp(-Idle / DemandSeconds) + (Retried ? 0 : 1.0 / DemandSeconds);
  Team.LastCall_ = Now;
  if (Idle > 2 * DemandSeconds)
    Team.FirstCall_ = Now;
  advanceBucket(Now, Team);
  if (Team.Bucket_.Level_ >= 1) {
    Team.Bucket_.Level_ -= 1;
    return LimitDecision::Admitted;
  }
  const double Soon = leasedRate(Now, Team) * Team.Rate_ * HoldSeconds + Team.Bucket_.Level_;
  if (Now < Team.EmptyUntil_ && Soon < Team.Missed_ + 1)
    return LimitDecision::Refuse;
  ++Team.Missed_;
  if (Now >= Team.EmptyUntil_)
    askLease(Now, Name, Team);
  drainLocal(Now);
  return LimitDecision::Hold;
}

void TeamLimits::askLease(TimePoint Now, const TeamId &Name, detail::TeamState &Team) {
  for (const auto &[Host, Lease] : Team.Leases_)
    if (Lease.Pending_)
      return;
  HostId Lender = Shards_[Team.Shard_].LocalBroker_;
  // The own share is the last resort while the broker can't be reached.
  if (Team.Leases_[Lender].Unanswered_ >= 2 && (Team.Leases_[Lender].Unanswered_ % 2) == 0)
    Lender = Self_;
  if (Lender == Self_ && Shards_[Team.Shard_].LocalBroker_ != Self_)
    ++Team.Leases_[Shards_[Team.Shard_].LocalBroker_].Unanswered_;
  detail::Borrowing &Lease = Team.Leases_[Lender];
  // Stamps of one lender must differ, or the lender takes the request for a duplicate.
  if (Now <= Lease.Asked_)
    return;
  LeaseRequest Request;
  Request.Team_ = Name;
  Request.Incarnation_ = Run_;
  Request.Stamp_ = Now;
  const double Expected = demand(Now, Team) * LeaseAhead;
  // Requests held longer than 50 ms are gone.
  Team.Missed_ = std::min(Team.Missed_, static_cast<std::uint32_t>(Expected * 0.1) + 1);
  const double ByRate = Team.Rate_ > 0 ? Expected / Team.Rate_ : 0;
  // A long lease is kept until its depth is clearly too small.
  const double Depth = Settings_.LeaseDepth_ * (leasedRate(Now, Team) > 0 ? 0.7 : 1.0);
  // What a broker in a shortage grants may be shallower than the demand.
  const bool Short = Lease.Short_ && Now < Lease.ShortUntil_;
  const double Rate = Short ? std::min(ByRate, Lease.Granted_) : ByRate;
  Request.Spot_ = Rate * Team.Burst_ < Depth;
  if (Request.Spot_ && Lease.Holding_.rateAt(Now) > 0) {
    // A spot lease in its place would lose the accrual of the rest of the term.
    const double Part = std::min(Team.Bucket_.Level_, Lease.Holding_.Fraction_ * Team.Burst_);
    Team.Bucket_.Level_ -= Part;
    send(Lender, LeaseReturn{Name, Run_, Lease.Holding_.Stamp_, Part, false});
    Lease.Holding_ = {};
    advanceBucket(Now, Team);
  }
  const double Ahead = Request.Spot_ ? std::floor(Expected * 0.05) : 1 + Expected * 0.1;
  Request.TokensWanted_ = std::max(0.0, Team.Missed_ + Ahead - Team.Bucket_.Level_);
  if (Request.Spot_)
    Request.TokensWanted_ = std::ceil(Request.TokensWanted_);
  // Room for what accrues until the answer arrives.
  Request.LevelBound_ = Team.Bucket_.Level_ + Team.Bucket_.LastFraction_ * Team.Rate_ * 0.01;
  const double ByBurst =
      Team.Burst_ > 0 ? (Request.TokensWanted_ + Request.LevelBound_) / Team.Burst_ : 0;
  Request.Demand_ = ByRate;
  Request.RateWanted_ = Request.Spot_ ? 0 : std::min(1.0, ByRate);
  Request.Wanted_ = std::min(1.0, std::max(Request.RateWanted_, ByBurst));
  Lease.Pending_ = true;
  Lease.Asked_ = Now;
  Lease.LevelBound_ = Request.LevelBound_;
  Lease.TokensWanted_ = Request.TokensWanted_;
  Lease.RateWanted_ = Request.RateWanted_;
  // Spot leases are not renewed; the next request without a token asks again.
  Team.NextLease_ = Request.Spot_ ? TimePoint::max() : Now + Settings_.LeaseRenewal_;
  send(Lender, std::move(Request));
}

void TeamLimits::on(TimePoint Now, const HostId &From, const LeaseGrant &Message) {
  const auto It = Teams_.find(Message.Team_);
  if (It == Teams_.end() || Message.ToIncarnation_ != Run_ || Message.Incarnation_ < Runs_[From])
    return;
  noteRun(From, Message.Incarnation_);
  detail::TeamState &Team = It->second;
  auto &Loans = Message.Bulk_ ? Team.Bulk_ : Team.Leases_;
  const auto Found = Loans.find(From);
  // Any other answer is late or a duplicate; its tokens are lost.
  if (Found == Loans.end() || !Found->second.Pending_ || Found->second.Asked_ != Message.Stamp_ ||
      !Team.Active_)
    return;
  if (Message.Bulk_)
    advancePool(Now, Team);
  else
    advanceBucket(Now, Team);
  detail::Borrowing &Loan = Found->second;
  Loan.Pending_ = false;
  Loan.Unanswered_ = 0;
  if (Loan.RateWanted_ > 0) {
    Loan.Granted_ = Message.Rate_;
    Loan.Short_ = Message.Rate_ < Loan.RateWanted_ * 0.9;
    Loan.ShortUntil_ = Now + scaled(Settings_.LeaseRenewal_, 0.5);
  }
  Loan.Holding_ = {Message.Fraction_, Message.Rate_,
                   Message.Stamp_ + scaled(Message.Term_, Settings_.BorrowerPart_), Message.Stamp_};
  const bool Valid = Now < Loan.Holding_.End_;
  if (Message.Bulk_) {
    Team.Pool_.Level_ += Valid ? Message.Tokens_ : 0;
    advancePool(Now, Team);
    bool Pending = false;
    for (const auto &[Host, Other] : Team.Bulk_)
      Pending |= Other.Pending_;
    answerWaiting(Now, Team, !Pending);
    return;
  }
  Team.Bucket_.Level_ += Valid ? Message.Tokens_ : 0;
  advanceBucket(Now, Team);
  if (Team.Missed_ == 0)
    return;
  if (Message.Tokens_ < std::min(1.0, Loan.TokensWanted_))
    Team.EmptyUntil_ = Now + std::chrono::milliseconds(20);
  if (Team.Bucket_.Level_ >= 1) {
    Team.Missed_ = 0;
    Effects_.emplace_back(LimitReady{Message.Team_});
  }
}

void TeamLimits::returnLeases(TimePoint Now, const TeamId &Name, detail::TeamState &Team) {
  advanceBucket(Now, Team);
  double Tokens = Team.Bucket_.Level_;
  for (auto &[Host, Lease] : std::exchange(Team.Leases_, {})) {
    if (Lease.Holding_.at(Now) <= 0 || Lease.Pending_)
      continue;
    const double Part = std::min(Tokens, Lease.Holding_.Fraction_ * Team.Burst_);
    Tokens -= Part;
    send(Host, LeaseReturn{Name, Run_, Lease.Holding_.Stamp_, Part, false});
  }
  Team.Bucket_.Level_ = 0;
}

void TeamLimits::tickConsumer(TimePoint Now, const TeamId &Name, detail::TeamState &Team) {
  if (Team.Leases_.empty())
    return;
  advanceBucket(Now, Team);
  bool Pending = false;
  for (auto &[Host, Lease] : Team.Leases_) {
    if (Lease.Pending_ && Now >= Lease.Asked_ + Settings_.AnswerTimeout_) {
      Lease.Pending_ = false;
      ++Lease.Unanswered_;
    }
    Pending |= Lease.Pending_;
  }
  if (Team.Missed_ > 0 && Team.Bucket_.Level_ >= 1) {
    Team.Missed_ = 0;
    Effects_.emplace_back(LimitReady{Name});
  }
  if (Pending)
    return;
  // At eight times the usual gap a pause is hardly chance.
  const Duration Gap = scaled(std::chrono::seconds(8), 1 / std::max(Team.Demand_, 1.0));
  if (Now >= Team.LastCall_ + std::max(Settings_.IdleReturn_, Gap)) {
    Team.Missed_ = 0;
    returnLeases(Now, Name, Team);
    return;
  }
  if (Now >= Team.NextLease_ || (Team.Missed_ > 0 && Now >= Team.EmptyUntil_))
    askLease(Now, Name, Team);
}

} // namespace bronzestand
