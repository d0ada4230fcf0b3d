#include "bronzestand/cold_signs.h"

#include <algorithm>
#include <cmath>

namespace bronzestand {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time over which means are taken. A health request finds a cold server within a second, so that
/// the mean is still mostly that of the warm server then.
constexpr duration<double> MeanTime = seconds(3);
/// A mean without a value for this time is not a recent one.
constexpr Duration MaxAge = seconds(10);
/// Values that a mean needs before others are compared with it.
constexpr std::uint32_t MinValues = 20;
/// Values that are counted at most; more than a server answers within the mean time.
constexpr std::uint32_t MaxCount = 1'000'000;

/// Logarithm of the odds for a slow server from which on they are a sign. A server whose times are
/// distributed as before reaches it once in more than e^10, or 22,000, answers.
constexpr double SignOdds = 10.0;
/// Fewer values are no sign, since a single one may be late for any reason.
constexpr double MinSignValues = 3.0;
/// Rise of a pace over its mean that counts. A cold server takes twice as long.
constexpr double Rise = 0.5;
/// Variance over the square of the mean, the least that is assumed, for a standard deviation of
/// 10 %; equal values would make any rise a sign.
constexpr double MinVariance = 0.01;
/// Rate at which calls of a slow server end, over the usual rate. Odds grow with it while calls
/// take 1.4 times as long or more.
constexpr double SlowRate = 0.5;
/// Calls that must have reached a step for its share of ends to be known.
constexpr double MinReached = 5.0;
/// Bound on the share of calls that end in a step, so that no single late call is a sign.
constexpr double MaxEndShare = 0.95;
/// Interval in which running calls are looked at; a small part of the time of most calls.
constexpr Duration PassInterval = milliseconds(2);

/// Variance of the logarithm of the load at which half of the measured effect of the load counts.
/// That of calls which arrive at random is 0.05 with 20 calls at the server.
constexpr double DoubtfulVariance = 0.02;
/// Bound on a time over its mean, so that a call that got stuck has no lasting effect.
constexpr double MaxRatio = 6.0;
/// Bound on memory.
constexpr std::size_t MaxClasses = 1024;

} // namespace

namespace detail {

bool RecentMean::isKnown(TimePoint Now) const { return Count_ >= MinValues && Now - At_ <= MaxAge; }

double RecentMean::add(TimePoint Now, double Value) {
  if (Now - At_ > MaxAge)
    Count_ = 0;
  Count_ += Count_ < MaxCount ? 1 : 0;
  const duration<double> Age = Now - At_;
  // The first values count alike, until they span the mean time.
  const double Weight = std::max(1.0 / Count_, 1.0 - std::exp(-Age / MeanTime));
  Value_ += Weight * (Value - Value_);
  At_ = Now;
  return Weight;
}

// The sum of the logarithms of the likelihood ratios of a mean that is higher by 2 * Rise, for
// values with a normal distribution; it grows while the values are higher by more than Rise.
void RiseDetector::add(TimePoint Now, double Value) {
  const double Mean = Mean_.value();
  if (Mean_.isKnown(Now)) {
    const double Odds = (Value - (1.0 + Rise) * Mean) * 2.0 * Rise * Mean /
                        std::max(Variance_, MinVariance * Mean * Mean);
    Sum_ = std::clamp(Sum_ + std::min(Odds, SignOdds / MinSignValues), 0.0, SignOdds);
  }
  const double Weight = Mean_.add(Now, Value);
  Variance_ = (1.0 - Weight) * (Variance_ + Weight * (Value - Mean) * (Value - Mean));
}

bool RiseDetector::hasRisen() const { return Sum_ >= SignOdds; }

void TimeDistribution::add(TimePoint Now, std::size_t Step) {
  const double Kept = std::exp(-duration<double>(Now - At_) / MeanTime);
  for (double &Weight : Ended_)
    Weight *= Kept;
  Ended_[Step] += 1.0;
  At_ = Now;
}

std::optional<double> TimeDistribution::endShare(std::size_t Step) const {
  double Reached = 0.0;
  for (std::size_t Later = Step; Later < Ended_.size(); ++Later)
    Reached += Ended_[Later];
  return Reached < MinReached ? std::nullopt : std::optional(Ended_[Step] / Reached);
}

} // namespace detail

double ColdSigns::loadEffect() const {
  return std::clamp(Covariance_ / (LoadVariance_ + DoubtfulVariance), 0.0, 1.0);
}

void ColdSigns::started(TimePoint Now, CallId Call, const ClassId &Class, std::uint32_t Running) {
  const double Load = std::log(static_cast<double>(std::max(1U, Running)));
  double MeanS = 0.0;
  const auto Usual = Classes_.find(Class);
  if (Usual != Classes_.end() && Usual->second.isKnown(Now))
    MeanS = Usual->second.value() *
            (Load_.isKnown(Now) ? std::exp(loadEffect() * (Load - Load_.value())) : 1.0);
  Running_[Call] = {Class, Now, MeanS, Load, 0};
}

void ColdSigns::addOdds(double Odds) { Odds_ = std::clamp(Odds_ + Odds, 0.0, SignOdds); }

// The logarithm of the likelihood ratio of the two rates for a call that has not ended in a step.
void ColdSigns::pass(TimePoint Now, Running &Call) {
  if (Call.MeanS_ <= 0.0)
    return;
  const double Steps = duration<double>(Now - Call.SentAt_).count() / Call.MeanS_ *
                       detail::TimeDistribution::StepsPerMean;
  const auto Reached = static_cast<std::size_t>(
      std::min(Steps, static_cast<double>(detail::TimeDistribution::Steps)));
  for (; Call.Step_ < Reached; ++Call.Step_) {
    const double Ends = std::min(Times_.endShare(Call.Step_).value_or(0.0), MaxEndShare);
    addOdds(std::log((1.0 - SlowRate * Ends) / (1.0 - Ends)));
  }
}

void ColdSigns::learn(TimePoint Now, const Running &Call, double Time) {
  if (Classes_.size() >= MaxClasses && Classes_.count(Call.Class_) == 0)
    Classes_.clear();
  const double MeanS = Call.MeanS_;
  Classes_[Call.Class_].add(Now, MeanS > 0.0 ? std::min(Time, MaxRatio * MeanS) : Time);
  if (MeanS <= 0.0)
    return;
  const double More = Load_.isKnown(Now) ? Call.Load_ - Load_.value() : 0.0;
  // Over the mean without the load, as MeanS contains its effect.
  const double Ratio = std::min(Time / MeanS, MaxRatio) * std::exp(loadEffect() * More);
  const double Weight = Load_.add(Now, Call.Load_);
  LoadVariance_ = (1.0 - Weight) * (LoadVariance_ + Weight * More * More);
  Covariance_ = (1.0 - Weight) * (Covariance_ + Weight * More * (Ratio - 1.0));
  Times_.add(Now, Call.Step_);
}

void ColdSigns::ended(TimePoint Now, CallId Call, bool Served, std::optional<double> Pace) {
  const auto Found = Running_.find(Call);
  if (Found == Running_.end())
    return;
  Running Ended = std::move(Found->second);
  Running_.erase(Found);
  if (!Served)
    return;
  pass(Now, Ended);
  if (Ended.MeanS_ > 0.0 && Times_.endShare(0))
    addOdds(std::log(SlowRate));
  learn(Now, Ended, duration<double>(Now - Ended.SentAt_).count());
  if (Pace)
    Paces_.add(Now, *Pace);
}

bool ColdSigns::isSlow(TimePoint Now) {
  if (Now - PassedAt_ >= PassInterval) {
    PassedAt_ = Now;
    for (auto &[Id, Call] : Running_)
      pass(Now, Call);
  }
  return Odds_ >= SignOdds || Paces_.hasRisen();
}

void ColdSigns::pause() {
  Running_.clear();
  Odds_ = 0.0;
}

} // namespace bronzestand
