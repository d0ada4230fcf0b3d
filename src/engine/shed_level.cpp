#include "bronzestand/shed_level.h"

#include <algorithm>
#include <cmath>

namespace bronzestand {
namespace {

/// Urgency of the least urgent requests; operators use three ranks of routes.
constexpr std::uint32_t LeastUrgent = 2;
/// Some of the most urgent requests are always admitted, since a level that is too high can only be
/// detected by calls that reach the server.
constexpr ShedLevel MaxLevel = LeastUrgent + 0.6;
/// Refusals up to this fraction are normal: a short queue needs them to keep the server busy.
constexpr double NormalRefusals = 0.02;
/// Rise per tick (100 ms) in which all calls were refused, and fall per tick without more than the
/// normal refusals.
constexpr double RiseGain = 0.25;
constexpr double FallPerTick = 0.015;
/// A queue in which all calls of a tick wait for longer than the server takes for a call does not
/// smooth a burst but only delays. Share of refusals to which it corresponds if they wait for twice
/// that time or longer; small, because the effect shows only after the runs above have ended.
constexpr double MaxStandingShare = 0.12;
/// Factor on the fall for each further such tick in a row. In an overload refusals follow within a
/// few ticks, so a longer row means that it is over.
constexpr double FallFactor = 1.6;
constexpr double MaxFallPerTick = 0.3;
/// Weight of one answer in the level of a service.
constexpr double ReportWeight = 0.2;
/// Half-life of a level without answers, in seconds.
constexpr double HalfLifeSeconds = 1.0;
/// A level of allowed regions without answers for this time is practically 0 and is removed.
constexpr Duration RegionLifetime = std::chrono::seconds(30);

} // namespace

double shedShare(ShedLevel Level, std::uint32_t Urgency) {
  const std::uint32_t Offset = LeastUrgent - std::min(Urgency, LeastUrgent);
  return std::clamp(Level - Offset, 0.0, 1.0);
}

ShedController::ShedController() : Fall_(FallPerTick) {}

void ShedController::waited(Duration Time) {
  ShortestWait_ = ShortestWait_ ? std::min(*ShortestWait_, Time) : Time;
}

double ShedController::standingShare(Duration ServiceTime) const {
  if (!ShortestWait_ || ServiceTime <= Duration::zero())
    return 0.0;
  const double Excess = static_cast<double>((*ShortestWait_ - ServiceTime).count()) /
                        static_cast<double>(ServiceTime.count());
  return MaxStandingShare * std::clamp(Excess, 0.0, 1.0);
}

void ShedController::tick(Duration ServiceTime) {
  const double RefusedShare = Offered_ == 0 ? 0.0 : static_cast<double>(Refused_) / Offered_;
  const double Share = std::max(RefusedShare, standingShare(ServiceTime));
  Offered_ = Refused_ = 0;
  ShortestWait_.reset();
  if (Share > NormalRefusals) {
    Level_ += RiseGain * Share;
    Fall_ = FallPerTick;
  } else {
    Level_ -= Fall_;
    Fall_ = std::min(MaxFallPerTick, Fall_ * FallFactor);
  }
  Level_ = std::clamp(Level_, 0.0, MaxLevel);
}

ShedLevel ShedTable::decayed(TimePoint Now, const Entry &Item) {
  const double Age = std::chrono::duration<double>(Now - Item.Updated_).count();
  return Item.Level_ * std::exp2(-std::max(0.0, Age) / HalfLifeSeconds);
}

ShedLevel ShedTable::find(TimePoint Now, const Entries &Items, const ServiceId &Service) {
  const auto Found = Items.find(Service);
  return Found == Items.end() ? 0.0 : decayed(Now, Found->second);
}

void ShedTable::update(TimePoint Now, Entry &Item, ShedLevel Level) {
  Item.Level_ = decayed(Now, Item);
  Item.Level_ += ReportWeight * (Level - Item.Level_);
  Item.Updated_ = Now;
}

ShedTable::Entry &ShedTable::entryOf(TimePoint Now, const ServiceId &Service,
                                     const AllowedRegions &Regions) {
  if (!Regions)
    return Entries_[Service];
  const RegionKey Key(Service, *Regions);
  const auto Found = RegionEntries_.find(Key);
  if (Found != RegionEntries_.end())
    return Found->second;
  for (auto Item = RegionEntries_.begin(); Item != RegionEntries_.end();)
    Item =
        Now - Item->second.Updated_ > RegionLifetime ? RegionEntries_.erase(Item) : std::next(Item);
  return RegionEntries_[Key];
}

void ShedTable::report(TimePoint Now, const ServiceId &Service, ShedLevel Level,
                       const AllowedRegions &Regions) {
  update(Now, entryOf(Now, Service, Regions), Level);
}

ShedLevel ShedTable::reportOf(TimePoint Now, const ServiceId &Service, ShedLevel Level,
                              const AllowedRegions &Regions, const RegionId &Answering,
                              const std::set<RegionId> &Choices, ShedLevel CalleeLevel) {
  update(Now, CalleeEntries_[Service], CalleeLevel);
  const AllowedRegions Own(std::in_place, {Answering});
  report(Now, Service, Level, Own);
  if (Regions == Own)
    return Level;
  for (const RegionId &Region : Choices)
    Level = std::min(Level, of(Now, Service, AllowedRegions(std::in_place, {Region})));
  report(Now, Service, Level, Regions);
  return std::max(Level, CalleeLevel);
}

ShedLevel ShedTable::of(TimePoint Now, const ServiceId &Service,
                        const AllowedRegions &Regions) const {
  const ShedLevel Callees = find(Now, CalleeEntries_, Service);
  if (!Regions)
    return std::max(Callees, find(Now, Entries_, Service));
  const auto Found = RegionEntries_.find({Service, *Regions});
  return std::max(Callees, Found == RegionEntries_.end() ? 0.0 : decayed(Now, Found->second));
}

ShedLevel ShedTable::highest(TimePoint Now) const {
  ShedLevel Result = 0.0;
  for (const auto &[Service, Item] : Entries_)
    Result = std::max(Result, decayed(Now, Item));
  return Result;
}

} // namespace bronzestand
