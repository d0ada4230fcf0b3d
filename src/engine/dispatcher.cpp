#include "bronzestand/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bronzestand {
namespace {

// A queue of twice the limit takes about two service times to drain.
constexpr std::size_t QueuePerLimit = 2;
constexpr std::size_t MinQueue = 16;
// One dispatch in 50: the lowest class gets 2 %.
constexpr unsigned LowestRankInterval = 50;
constexpr double MedianStep = 0.03;
// Refused calls give no samples. Without decay, a high estimate would refuse calls after the server
// has recovered.
constexpr double EstimateHalfLifeSeconds = 0.5;
constexpr double MeanWeight = 1.0 / 32.0;
constexpr auto MinTargetDelay = std::chrono::milliseconds(2);
constexpr double TargetDelayPerLatency = 1.0;

Duration seconds(double Value) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Value));
}

} // namespace

Dispatcher::Dispatcher(const DispatcherOptions &Options)
    : Options_(Options), Limit_(Options), Queue_(Options.ClassOrder_, Options.TeamFairness_) {}

OfferResult Dispatcher::offer(TimePoint Now, const QueueEntry &Entry) {
  if (Queue_.contains(Entry.Id_) || InFlight_.count(Entry.Id_) != 0)
    return Refused{Refusal::BadRequest};
  if (Options_.Deadlines_) {
    const std::uint8_t Rank = Entry.Standing_.ClassRank_;
    const double Rounds = static_cast<double>(Queue_.ahead(Rank, Entry.Team_)) / Limit_.current();
    const Duration Wait = seconds(Rounds * MeanLatency_);
    const Duration Needed = expectedLatency(Now, Rank);
    // The wait counts for at most twice the latency estimate, which decays without samples.
    if (Now + Needed + std::min(Wait, 2 * Needed) >= Entry.Deadline_) {
      // A deadline that is too short even without waiting doesn't indicate overload.
      Load_.Refused_ += Now + Needed < Entry.Deadline_ ? 1 : 0;
      return Refused{Refusal::DeadlineTooShort};
    }
  }
  Queue_.push(Now, Entry);
  const std::size_t Capacity = std::max(MinQueue, QueuePerLimit * Limit_.current());
  if (Queue_.size() <= Capacity || !Options_.AdaptiveLimit_)
    return Queued{};
  ++Load_.Refused_;
  const CallId Evicted = Queue_.popLeastImportant().Id_;
  if (Evicted == Entry.Id_)
    return Refused{Refusal::Overloaded};
  Evicted_.push_back({Evicted, Refusal::Overloaded});
  return Queued{};
}

DispatchBatch Dispatcher::next(TimePoint Now) {
  DispatchBatch Batch;
  Batch.Refused_ = std::exchange(Evicted_, {});
  for (const QueueEntry *First = Queue_.earliest();
       Options_.Deadlines_ && First != nullptr && First->Deadline_ <= Now;
       First = Queue_.earliest()) {
    ++Load_.Refused_;
    Batch.Refused_.push_back({First->Id_, Refusal::DeadlineTooShort});
    Queue_.erase(CallId(First->Id_));
  }
  while (!Queue_.empty() && InFlight_.size() < Limit_.current()) {
    const FairQueue::Taken Taken = Queue_.pop(Now, lowestRankIsDue());
    const QueueEntry &Entry = Taken.Entry_;
    const std::uint8_t Rank = Entry.Standing_.ClassRank_;
    if (Options_.Deadlines_ && Now + expectedLatency(Now, Rank) >= Entry.Deadline_) {
      ++Load_.Refused_;
      Batch.Refused_.push_back({Entry.Id_, Refusal::DeadlineTooShort});
      continue;
    }
    const auto InFlight = static_cast<unsigned>(InFlight_.size() + 1);
    InFlight_.emplace(Entry.Id_, Running{Limit_.dispatched(Now, InFlight), Rank});
    Batch.Dispatch_.push_back(Entry.Id_);
    ++Load_.Dispatched_;
    DelaySum_ += std::max(Duration::zero(), Now - Taken.Arrival_);
  }
  return Batch;
}

bool Dispatcher::lowestRankIsDue() {
  if (!Queue_.holdsSeveralRanks() || Queue_.protectedCount() != 0)
    return false;
  SinceLowest_ = (SinceLowest_ + 1) % LowestRankInterval;
  return SinceLowest_ == 0;
}

void Dispatcher::finished(TimePoint Now, CallId Id, Duration Latency, CallResult Result) {
  const auto Found = InFlight_.find(Id);
  if (Found == InFlight_.end())
    return;
  const Running Call = Found->second;
  InFlight_.erase(Found);
  Limit_.finished(Now, Call.PhaseId_, Latency, Result);
  if (Result == CallResult::Served)
    noteLatency(Now, Call.Rank_, Latency);
}

void Dispatcher::noteLatency(TimePoint Now, std::uint8_t Rank, Duration Latency) {
  const double Sample = std::chrono::duration<double>(Latency).count();
  MeanLatency_ += (Sample - MeanLatency_) * (MeanLatency_ == 0.0 ? 1.0 : MeanWeight);
  LatencyEstimate &Estimate = LatencyEstimates_[Rank];
  // A decayed estimate is replaced by the new sample.
  const double Decayed = std::chrono::duration<double>(expectedLatency(Now, Rank)).count();
  if (Estimate.Seconds_ == 0.0 || Decayed < Estimate.Seconds_ / 2.0)
    Estimate.Seconds_ = Sample;
  else
    Estimate.Seconds_ *= Sample > Estimate.Seconds_ ? 1.0 + MedianStep : 1.0 - MedianStep;
  Estimate.Last_ = Now;
}

Duration Dispatcher::expectedLatency(TimePoint Now, std::uint8_t Rank) const {
  const auto Found = LatencyEstimates_.find(Rank);
  if (Found == LatencyEstimates_.end())
    return Duration::zero();
  const double Age = std::chrono::duration<double>(Now - Found->second.Last_).count();
  return seconds(Found->second.Seconds_ * std::exp2(-std::max(0.0, Age) / EstimateHalfLifeSeconds));
}

std::vector<CallId> Dispatcher::removeIf(const std::function<bool(const QueueEntry &)> &Predicate) {
  std::vector<CallId> Ids = Queue_.match(Predicate);
  for (const CallId Id : Ids)
    Queue_.erase(Id);
  return Ids;
}

TimePoint Dispatcher::nextExpiry() const {
  const QueueEntry *First = Queue_.earliest();
  return First == nullptr ? TimePoint::max() : First->Deadline_;
}

DispatcherLoad Dispatcher::takeLoad() {
  DispatcherLoad Result = std::exchange(Load_, {});
  if (Result.Dispatched_ != 0)
    Result.MeanDelay_ = DelaySum_ / Result.Dispatched_;
  DelaySum_ = Duration::zero();
  Result.TargetDelay_ =
      std::max<Duration>(MinTargetDelay, seconds(MeanLatency_ * TargetDelayPerLatency));
  return Result;
}

} // namespace bronzestand
