#include "bronzestand/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace bronzestand {
namespace {

constexpr double MinLimit = 2.0;
constexpr double MaxLimit = 4096.0;
constexpr double HalfSpread = 0.15;
// Share of the growth of the limit that appears as latency. Close to 1, so that the lower of the
// two limits still fills all slots and the measurement itself costs little goodput.
constexpr double TargetElasticity = 0.9;
constexpr double Gain = 0.1;
// One pair of phases may be disturbed by noise or by a change in a deeper service; the step it
// causes stays small, and symmetric so that noise has no drift.
constexpr double MaxError = 1.0;
constexpr double GrowthFactor = 1.3;
constexpr double GrowthEnds = 0.6;
constexpr double ShedFactor = 0.9;
// With 32 samples and 10 slots, exponential service times moved the limit by a third.
constexpr unsigned MinSamples = 96;
constexpr double BoundShare = 0.9;
constexpr double EndedShare = 0.95;
// Samples from before a pause in the load are not compared with later ones.
constexpr auto SampleLifetime = std::chrono::seconds(10);
constexpr auto ShedInterval = std::chrono::milliseconds(100);

/// The higher limit holds twice as long: only the lower one may leave slots idle.
unsigned wantedSamples(std::size_t PhaseIndex, unsigned Limit) {
  return std::max(MinSamples, 2 * Limit) * (PhaseIndex == 0 ? 2 : 1);
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit(const DispatcherOptions &Options)
    : Adaptive_(Options.AdaptiveLimit_), Limit_(Options.InitialLimit_) {
  startPair(TimePoint());
}

unsigned ConcurrencyLimit::current() const {
  return Adaptive_ ? Phases_[Active_].Limit_ : static_cast<unsigned>(MaxLimit);
}

void ConcurrencyLimit::startPair(TimePoint Now) {
  const auto Low = static_cast<unsigned>(std::max(1.0, std::round(Limit_ * (1.0 - HalfSpread))));
  const auto High = static_cast<unsigned>(std::round(Limit_ * (1.0 + HalfSpread)));
  Phases_ = {};
  Phases_[0].Limit_ = std::max(High, Low + 1);
  Phases_[1].Limit_ = Low;
  Active_ = 0;
  LastSample_ = Now;
  ++Stamp_;
}

std::uint64_t ConcurrencyLimit::dispatched(TimePoint Now, unsigned InFlight) {
  if (Now - LastSample_ > SampleLifetime && (Active_ != 0 || Phases_[0].Stamped_ != 0))
    startPair(Now);
  Phase &Active = Phases_[Active_];
  // Calls below the limit say nothing about it: light load never changes the limit.
  const bool Bound = InFlight >= BoundShare * Active.Limit_;
  const unsigned Wanted = wantedSamples(Active_, Active.Limit_);
  if (!Bound || Active.Stamped_ >= Wanted)
    return 0;
  LastSample_ = Now;
  ++Active.Stamped_;
  return Stamp_;
}

void ConcurrencyLimit::finished(TimePoint Now, std::uint64_t Stamp, Duration Latency,
                                CallResult Result) {
  if (Result == CallResult::Shed && Now - LastShed_ >= ShedInterval) {
    LastShed_ = Now;
    Growing_ = false;
    Limit_ = std::max(MinLimit, Limit_ * ShedFactor);
    startPair(Now);
    return;
  }
  if (Stamp != Stamp_)
    return;
  Phase &Active = Phases_[Active_];
  if (Result != CallResult::Served) {
    // Failed and cancelled calls say nothing about queueing; another call takes their place.
    --Active.Stamped_;
    return;
  }
  ++Active.Ended_;
  Active.LatencySum_ += std::chrono::duration<double>(Latency).count();
  // Waits for nearly all samples: the first to end are the shortest.
  const unsigned Wanted = wantedSamples(Active_, Active.Limit_);
  if (Active.Stamped_ >= Wanted && Active.Ended_ >= EndedShare * Active.Stamped_)
    endPhase(Now);
}

void ConcurrencyLimit::endPhase(TimePoint Now) {
  if (Active_ == 0) {
    Active_ = 1;
    LastSample_ = Now;
    ++Stamp_;
    return;
  }
  adjust();
  startPair(Now);
}

void ConcurrencyLimit::adjust() {
  const Phase &High = Phases_[0];
  const Phase &Low = Phases_[1];
  const double LatencyRatio =
      (High.LatencySum_ / High.Ended_) / std::max(1e-9, Low.LatencySum_ / Low.Ended_);
  const double LimitRatio = static_cast<double>(High.Limit_) / Low.Limit_;
  const double Elasticity = std::log(std::max(1e-9, LatencyRatio)) / std::log(LimitRatio);
  Growing_ = Growing_ && Elasticity < GrowthEnds;
  const double Error = std::clamp(TargetElasticity - Elasticity, -MaxError, MaxError);
  Limit_ *= Growing_ ? GrowthFactor : 1.0 + Gain * Error;
  Limit_ = std::clamp(Limit_, MinLimit, MaxLimit);
}

} // namespace bronzestand
