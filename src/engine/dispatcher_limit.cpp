#include "bronzestand/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace bronzestand {
namespace {

constexpr double MinLimit = 2.0;
constexpr double MaxLimit = 4096.0;
constexpr double LimitDeviation = 0.15;
// Ratio of the relative growth in latency to that in the limit. Close to 1, so that the lower of
// the two limits still fills all slots and measuring costs little goodput.
constexpr double TargetElasticity = 0.9;
constexpr double Gain = 0.1;
// Noise or a change in a downstream service may disturb a pair of phases. The resulting step is
// limited, equally in both directions, so that noise doesn't make the limit drift.
constexpr double MaxError = 1.0;
constexpr double SlowStartFactor = 1.3;
constexpr double MaxSlowStartElasticity = 0.6;
constexpr double ShedFactor = 0.9;
// With 32 samples, exponential service times at 10 slots changed the limit by a third.
constexpr unsigned MinSamples = 96;
constexpr double SaturatedShare = 0.9;
constexpr double CompletedShare = 0.95;
// Samples taken before a pause in the load aren't compared with later ones.
constexpr auto MaxSampleAge = std::chrono::seconds(10);
constexpr auto ShedInterval = std::chrono::milliseconds(100);

/// The phase with the higher limit takes twice as many samples: only the lower limit may leave
/// slots idle.
unsigned requiredSamples(std::size_t PhaseIndex, unsigned Limit) {
  return std::max(MinSamples, 2 * Limit) * (PhaseIndex == 0 ? 2 : 1);
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit(const DispatcherOptions &Options)
    : Adaptive_(Options.AdaptiveLimit_), Limit_(Options.InitialLimit_) {
  startPhasePair(TimePoint());
}

unsigned ConcurrencyLimit::current() const {
  return Adaptive_ ? Phases_[Active_].Limit_ : static_cast<unsigned>(MaxLimit);
}

void ConcurrencyLimit::startPhasePair(TimePoint Now) {
  const auto Low =
      static_cast<unsigned>(std::max(1.0, std::round(Limit_ * (1.0 - LimitDeviation))));
  const auto High = static_cast<unsigned>(std::round(Limit_ * (1.0 + LimitDeviation)));
  Phases_ = {};
  Phases_[0].Limit_ = std::max(High, Low + 1);
  Phases_[1].Limit_ = Low;
  Active_ = 0;
  LastSample_ = Now;
  ++PhaseId_;
}

std::uint64_t ConcurrencyLimit::dispatched(TimePoint Now, unsigned InFlight) {
  if (Now - LastSample_ > MaxSampleAge && (Active_ != 0 || Phases_[0].Dispatched_ != 0))
    startPhasePair(Now);
  Phase &Active = Phases_[Active_];
  // Only calls dispatched close to the limit are samples: light load doesn't change the limit.
  const bool Saturated = InFlight >= SaturatedShare * Active.Limit_;
  const unsigned Required = requiredSamples(Active_, Active.Limit_);
  if (!Saturated || Active.Dispatched_ >= Required)
    return 0;
  LastSample_ = Now;
  ++Active.Dispatched_;
  return PhaseId_;
}

void ConcurrencyLimit::finished(TimePoint Now, std::uint64_t PhaseId, Duration Latency,
                                CallResult Result) {
  if (Result == CallResult::Shed && Now - LastShed_ >= ShedInterval) {
    LastShed_ = Now;
    SlowStart_ = false;
    Limit_ = std::max(MinLimit, Limit_ * ShedFactor);
    startPhasePair(Now);
    return;
  }
  if (PhaseId != PhaseId_)
    return;
  Phase &Active = Phases_[Active_];
  if (Result != CallResult::Served) {
    // The latency of failed and cancelled calls is unrelated to queueing; another call is sampled.
    --Active.Dispatched_;
    return;
  }
  ++Active.Completed_;
  Active.LatencySum_ += std::chrono::duration<double>(Latency).count();
  // Waits for nearly all samples, because the first ones to complete are the fastest.
  const unsigned Required = requiredSamples(Active_, Active.Limit_);
  if (Active.Dispatched_ >= Required && Active.Completed_ >= CompletedShare * Active.Dispatched_)
    endPhase(Now);
}

void ConcurrencyLimit::endPhase(TimePoint Now) {
  if (Active_ == 0) {
    Active_ = 1;
    LastSample_ = Now;
    ++PhaseId_;
    return;
  }
  adjust();
  startPhasePair(Now);
}

void ConcurrencyLimit::adjust() {
  const Phase &High = Phases_[0];
  const Phase &Low = Phases_[1];
  const double LatencyRatio =
      (High.LatencySum_ / High.Completed_) / std::max(1e-9, Low.LatencySum_ / Low.Completed_);
  const double LimitRatio = static_cast<double>(High.Limit_) / Low.Limit_;
  const double Elasticity = std::log(std::max(1e-9, LatencyRatio)) / std::log(LimitRatio);
  SlowStart_ = SlowStart_ && Elasticity < MaxSlowStartElasticity;
  const double Error = std::clamp(TargetElasticity - Elasticity, -MaxError, MaxError);
  Limit_ *= SlowStart_ ? SlowStartFactor : 1.0 + Gain * Error;
  Limit_ = std::clamp(Limit_, MinLimit, MaxLimit);
}

} // namespace bronzestand
