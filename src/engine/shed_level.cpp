#include "bronzestand/shed_level.h"

#include <algorithm>
#include <cmath>

namespace bronzestand {
namespace {

/// Urgency of the least urgent work; operators use three ranks of routes.
constexpr std::uint32_t LeastUrgent = 2;
/// Some of the most urgent work is always let through, so that a level that is too high shows.
constexpr ShedLevel MaxLevel = LeastUrgent + 0.6;
/// Refusals up to this part are what a short queue needs to stay busy.
constexpr double NormalRefusals = 0.02;
/// Rise for each tenth of a second in which all calls were refused, and fall in one without.
constexpr double RiseGain = 0.25;
constexpr double Fall = 0.015;
/// Weight of one answer in the level of a service.
constexpr double ReportWeight = 0.2;
/// A level halves in this time without answers.
constexpr double HalfLifeS = 1.0;

} // namespace

double shedShare(ShedLevel Level, std::uint32_t Urgency) {
  const std::uint32_t Place = LeastUrgent - std::min(Urgency, LeastUrgent);
  return std::clamp(Level - Place, 0.0, 1.0);
}

void ShedController::tick() {
  const double Share = Offered_ == 0 ? 0.0 : static_cast<double>(Refused_) / Offered_;
  Offered_ = Refused_ = 0;
  Level_ += Share > NormalRefusals ? RiseGain * Share : -Fall;
  Level_ = std::clamp(Level_, 0.0, MaxLevel);
}

ShedLevel ShedTable::faded(TimePoint Now, const Entry &Item) {
  const double Age = std::chrono::duration<double>(Now - Item.At_).count();
  return Item.Level_ * std::exp2(-std::max(0.0, Age) / HalfLifeS);
}

void ShedTable::report(TimePoint Now, const ServiceId &Service, ShedLevel Level) {
  Entry &Item = Entries_[Service];
  Item.Level_ = faded(Now, Item);
  Item.Level_ += ReportWeight * (Level - Item.Level_);
  Item.At_ = Now;
}

ShedLevel ShedTable::of(TimePoint Now, const ServiceId &Service) const {
  const auto Found = Entries_.find(Service);
  return Found == Entries_.end() ? 0.0 : faded(Now, Found->second);
}

ShedLevel ShedTable::highest(TimePoint Now) const {
  ShedLevel Result = 0.0;
  for (const auto &[Service, Item] : Entries_)
    Result = std::max(Result, faded(Now, Item));
  return Result;
}

} // namespace bronzestand
