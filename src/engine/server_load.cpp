#include "bronzestand/server_load.h"

#include <algorithm>
#include <cmath>

namespace bronzestand {
namespace {

double seconds(Duration Time) { return std::chrono::duration<double>(Time).count(); }

/// The number of calls in a load report is ignored after this time, because it is out of date.
constexpr Duration ReportLifetime = std::chrono::seconds(1);
/// Time over which the mean load of a server is taken; demand swings over some 10 s. With 300 nodes
/// a node has a few reports of a server in this time.
constexpr Duration MeanLoadTime = std::chrono::seconds(3);
/// The mean is forgotten once no report has come for this time, about a swing.
constexpr Duration MeanLoadLifetime = std::chrono::seconds(10);
/// The same for its service time. The node beside the server averages some ten calls, whose times
/// vary as much as their mean.
constexpr Duration MeanServiceTime = std::chrono::seconds(10);
/// The pace of a host changes some ten times a second.
constexpr Duration PaceLifetime = std::chrono::milliseconds(100);
constexpr Duration MeanPaceTime = std::chrono::seconds(5);
/// Weight of a value in the mean however soon it follows the last one; values of calls that end
/// together are not independent.
constexpr double MinWeight = 0.02;
/// Mean share of the slots in use for which a queue is estimated at most; beyond it the error of
/// the mean would be most of the result.
constexpr double MaxUsedShare = 0.93;

} // namespace

void AgedValue::add(TimePoint Now, double Value, Duration MeanTime) {
  const double Weight =
      Known_ ? std::max(MinWeight, 1.0 - std::exp(-seconds(Now - At_) / seconds(MeanTime))) : 1.0;
  Mean_ += Weight * (Value - Mean_);
  Last_ = Value;
  At_ = Now;
  Known_ = true;
}

double AgedValue::weight(TimePoint Now, Duration Lifetime) const {
  return Lifetime <= Duration::zero() ? 0.0 : std::exp(-seconds(Now - At_) / seconds(Lifetime));
}

double AgedValue::at(TimePoint Now, Duration Lifetime) const {
  return Last_ == Mean_ ? Mean_ : Mean_ + (Last_ - Mean_) * weight(Now, Lifetime);
}

void ServerLoad::started() {
  ++InFlight_;
  ++StartedSinceReport_;
}

void ServerLoad::finished() { InFlight_ -= InFlight_ == 0 ? 0 : 1; }

void ServerLoad::report(TimePoint Now, const BackendLoad &Load) {
  Load_ = Load;
  ReportedAt_ = Now;
  StartedSinceReport_ = 0;
  if (Load.Limit_ != 0) {
    const double Slots = Load.Limit_;
    Share_.add(Now, (Load.Running_ + Load.Waiting_) / Slots, MeanLoadTime);
    Used_.add(Now, std::min(1.0, Load.Running_ / Slots), MeanLoadTime);
  }
  if (Load.ServiceTime_ > Duration::zero())
    ServiceS_.add(Now, seconds(Load.ServiceTime_), MeanServiceTime);
  Pace_.add(Now, Load.Pace_, MeanPaceTime);
}

ServerLoad ServerLoad::restarted() const {
  ServerLoad Result;
  Result.InFlight_ = InFlight_;
  return Result;
}

bool ServerLoad::isFresh(TimePoint Now) const { return Now - ReportedAt_ < ReportLifetime; }

std::uint32_t ServerLoad::outstanding(TimePoint Now) const {
  const std::uint32_t Reported = Load_.Running_ + Load_.Waiting_ + StartedSinceReport_;
  return std::max(InFlight_, isFresh(Now) ? Reported : 0U);
}

std::uint32_t ServerLoad::limit(const BackendServer &Server) const {
  return Load_.Limit_ != 0 ? Load_.Limit_ : Server.Slots_;
}

// The calls that a report counted end at about the rate of one per service time and slot.
Duration ServerLoad::queueLifetime(TimePoint Now) const {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(serviceTime(Now)));
}

double ServerLoad::share(TimePoint Now, std::uint32_t Limit) const {
  if (Limit == 0)
    return 0.0;
  const double Known = Share_.at(Now, queueLifetime(Now)) * meanWeight(Now);
  return std::max(Known + static_cast<double>(StartedSinceReport_) / Limit,
                  static_cast<double>(InFlight_) / Limit);
}

double ServerLoad::meanWeight(TimePoint Now) const {
  const Duration Late = Now - ReportedAt_ - MeanLoadLifetime;
  return Late <= Duration::zero() ? 1.0 : std::exp(-seconds(Late) / seconds(MeanLoadTime));
}

double ServerLoad::expectedQueueTime(TimePoint Now, std::uint32_t Limit, double UsedShare,
                                     double MeanShare) const {
  if (Limit == 0)
    return 0.0;
  // Sakasegawa 1977, An approximation formula Lq = alpha * rho^beta / (1 - rho).
  const double Slots = Limit;
  const double Used = std::clamp(UsedShare, 0.0, MaxUsedShare);
  const double Usual = std::max(std::pow(Used, std::sqrt(2.0 * (Slots + 1.0)) - 1.0) / (1.0 - Used),
                                (MeanShare - 1.0) * Slots);
  const double Outstanding =
      std::max<double>(Share_.last() * Slots + StartedSinceReport_, InFlight_);
  const double Last = std::max(0.0, Outstanding - Slots + 1.0);
  const double Weight = Share_.weight(Now, queueLifetime(Now));
  return (Usual + (Last - Usual) * Weight) * serviceTime(Now) / Slots;
}

double ServerLoad::serviceTime(TimePoint Now) const {
  return ServiceS_.mean() * (Pace_.isKnown() ? Pace_.at(Now, PaceLifetime) : 1.0);
}

Duration ServerLoad::queueTime(TimePoint Now, std::uint32_t Limit) const {
  const std::uint32_t Outstanding = outstanding(Now);
  if (Limit == 0 || Outstanding < Limit)
    return Duration::zero();
  return Load_.ServiceTime_ * (Outstanding - Limit + 1) / Limit;
}

Duration ServerLoad::rateTime(TimePoint Now) const {
  if (Load_.Rate_ <= 0.0)
    return Duration::zero();
  const auto Started = std::chrono::duration<double>(StartedSinceReport_ / Load_.Rate_);
  const Duration Wait =
      Load_.RateWait_ + std::chrono::duration_cast<Duration>(Started) - (Now - ReportedAt_);
  return std::max(Duration::zero(), Wait);
}

} // namespace bronzestand
