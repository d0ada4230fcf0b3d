#include "bronzestand/team_limits.h"

#include <algorithm>

#include <xxhash.h>

namespace bronzestand {
namespace detail {

void LoanRecord::add(double Fraction, double Rate, TimePoint End) {
  // Loans that the new one covers in fraction, rate and term need no record.
  Loans_.erase(std::remove_if(Loans_.begin(), Loans_.end(),
                              [&](const Loan &L) {
                                return L.Fraction_ <= Fraction && L.Rate_ <= Rate && L.End_ <= End;
                              }),
               Loans_.end());
  Loans_.push_back({Fraction, Rate, End});
}

void LoanRecord::expire(TimePoint Now) {
  Loans_.erase(
      std::remove_if(Loans_.begin(), Loans_.end(), [&](const Loan &L) { return L.End_ <= Now; }),
      Loans_.end());
}

double LoanRecord::exposure(TimePoint Now) {
  expire(Now);
  double Result = 0;
  for (const Loan &Entry : Loans_)
    Result = std::max(Result, Entry.Fraction_);
  return Result;
}

double LoanRecord::rateExposure(TimePoint Now) {
  expire(Now);
  double Result = 0;
  for (const Loan &Entry : Loans_)
    Result = std::max(Result, Entry.Rate_);
  return Result;
}

TimePoint LoanRecord::end() const {
  TimePoint Result{};
  for (const Loan &Entry : Loans_)
    Result = std::max(Result, Entry.End_);
  return Result;
}

void LoanRecord::shorten(TimePoint End) {
  for (Loan &Entry : Loans_)
    Entry.End_ = std::min(Entry.End_, End);
}

void Bucket::advance(TimePoint Now, double RateFraction, double Rate, double Capacity,
                     TimePoint ValidUntil) {
  const Duration Passed = std::max(Duration::zero(), std::min(Now, ValidUntil_) - Updated_);
  const double Seconds = std::chrono::duration<double>(Passed).count();
  Level_ += Seconds * Rate * std::min(RateFraction, LastFraction_);
  Level_ = std::clamp(Level_, 0.0, std::max(0.0, Capacity));
  LastFraction_ = std::max(0.0, RateFraction);
  Updated_ = std::max(Updated_, Now);
  ValidUntil_ = ValidUntil;
}

} // namespace detail

TeamLimits::TeamLimits(HostId Self, DataCentreId DataCentre, Incarnation Run, TimePoint Start,
                       LimitSettings Settings)
    : Self_(std::move(Self)), DataCentre_(std::move(DataCentre)), Run_(Run), Start_(Start),
      Settings_(Settings), Shards_(Settings.Shards_) {
  addCounted(Self_);
}

void TeamLimits::setTeam(TimePoint Now, const TeamId &Team, double Rate, double Burst) {
  detail::TeamState &State = Teams_[Team];
  if (State.Active_) {
    advanceBucket(Now, State);
    advancePool(Now, State);
  }
  State.Active_ = true;
  State.Shard_ = static_cast<std::uint32_t>(XXH3_64bits(Team.str().data(), Team.str().size()) %
                                            Shards_.size());
  State.Rate_ = std::max(0.0, Rate);
  State.Burst_ = std::max(0.0, Burst);
  advanceBucket(Now, State);
  advancePool(Now, State);
}

void TeamLimits::removeTeam(TimePoint Now, const TeamId &Team) {
  // The record of outstanding leases is kept, because the team may be added again before they
  // expire.
  const auto It = Teams_.find(Team);
  if (It == Teams_.end())
    return;
  returnLeases(Now, Team, It->second);
  It->second.Active_ = false;
  It->second.Waiting_.clear();
  It->second.Pool_.Level_ = 0;
  drainLocal(Now);
}

void TeamLimits::handle(TimePoint Now, const HostId &From, const LimitMessage &Message) {
  std::visit([&](const auto &M) { on(Now, From, M); }, Message);
  drainLocal(Now);
}

void TeamLimits::tick(TimePoint Now) {
  retireHosts(Now);
  readmitBrokers(Now);
  sendJoins(Now);
  requestOwnerLoans(Now);
  for (auto &[Name, Team] : Teams_) {
    if (!Team.Active_)
      continue;
    tickBroker(Now, Name, Team);
    tickConsumer(Now, Name, Team);
  }
  drainLocal(Now);
}

void TeamLimits::leaving(TimePoint Now) {
  for (auto &[Name, Team] : Teams_)
    returnLeases(Now, Name, Team);
  drainLocal(Now);
  Leaving_ = true;
  for (std::size_t Index = 0; Index < Shards_.size(); ++Index)
    returnOwnerLoans(Now, Index);
  const Duration Longest =
      std::max({Settings_.OwnerTerm_, Settings_.LeaseTerm_, Settings_.BulkTerm_});
  for (const HostId &Host : Counted_)
    send(Host, LeaveNotice{Run_, Longest});
}

void TeamLimits::wakeAfterPause(TimePoint Now) {
  for (auto &[Name, Team] : Teams_) {
    // Any of the loans behind a bucket may have expired, so its tokens are dropped.
    Team.Bucket_ = {};
    Team.Pool_ = {};
    Team.Bucket_.Updated_ = Team.Pool_.Updated_ = Now;
    for (auto &[Host, Lease] : Team.Leases_)
      Lease.Pending_ = false;
    for (auto *Loans : {&Team.Bulk_, &Team.TokenBulk_})
      for (auto &[Host, Loan] : *Loans)
        Loan.Pending_ = false;
    Team.Waiting_.clear();
  }
}

std::vector<LimitEffect> TeamLimits::takeEffects() { return std::exchange(Effects_, {}); }

TeamLimitsDump TeamLimits::dump(TimePoint Now) {
  TeamLimitsDump Result;
  Result.HostsCounted_ = Counted_.size();
  Result.OwnShareUsable_ = ownShareUsable(Now);
  for (const HostId &Host : Counted_) {
    const auto It = Joined_.find(Host);
    Result.JoinsMissing_ +=
        Host != Self_ && (It == Joined_.end() || It->second < Counted_.size()) ? 1U : 0U;
  }
  for (auto &[Name, Team] : Teams_)
    if (Team.Active_)
      Result.Teams_.push_back({Name, leased(Now, Team), Team.Bucket_.Level_,
                               poolFraction(Now, Team, Now), lentFraction(Now, Team),
                               Team.Pool_.Level_});
  return Result;
}

void TeamLimits::send(const HostId &To, LimitMessage Message) {
  if (To == Self_)
    LocalMessages_.push_back(std::move(Message));
  else
    Effects_.emplace_back(LimitSend{To, std::move(Message)});
}

void TeamLimits::drainLocal(TimePoint Now) {
  if (Draining_)
    return;
  Draining_ = true;
  while (!LocalMessages_.empty()) {
    const std::vector<LimitMessage> Batch = std::exchange(LocalMessages_, {});
    for (const LimitMessage &Message : Batch)
      std::visit([&](const auto &M) { on(Now, Self_, M); }, Message);
  }
  Draining_ = false;
}

} // namespace bronzestand
