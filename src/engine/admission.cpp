#include "bronzestand/admission.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace bronzestand {
namespace {

constexpr std::size_t MaxTeams = 4096;
constexpr double UseWindowSeconds = 4.0;
constexpr double NegligibleUse = 0.02;
// Equal requests differ by up to 31 in their band, so that one step of the level moves about 3 %
// of them.
constexpr unsigned TopBand = 255;
constexpr unsigned SpreadPositions = 32;
// A team at 41 % above its share is below all requests of a team inside its share. At 256 noise of
// 9 % in the estimate shut a team out for a moment, and the next one after it. The band follows the
// admitted work, not the demand, so that teams of nearly equal demand are cut equally.
constexpr double BandPerDoubling = 64.0;

constexpr double RateWeight = 0.2;
// Below the level nothing is seen: remembered rates fade, so that the level falls soon after a
// surge; if the surge lasts, the rate is seen again before it is fully admitted.
constexpr double UnseenKeep = 0.9;
constexpr double NegligibleRate = 0.01;
// An interval of few calls says little about the capacity: it counts as Calls / (Calls + 50).
constexpr double CompletedCalls = 50.0;
constexpr double MinCompletedWeight = 0.1;
constexpr double OverloadFactor = 0.95;
// Arrivals vary by 14 to 30 % between intervals of 50 to 10 calls. With a level at the capacity
// itself, protected work reached 74 % of what was possible in overload_bench; the queue refuses the
// excess in the right order.
constexpr double AllowedMargin = 1.15;
constexpr double RecoveryFactor = 1.05;
constexpr double RefusedShare = 0.1;
// The level is lifted once this many calls per completed call would fit.
constexpr double UnboundedFactor = 4.0;

constexpr auto LevelLifetime = std::chrono::seconds(2);
constexpr auto RouteLifetime = std::chrono::seconds(60);
constexpr auto PassInterval = std::chrono::milliseconds(500);
constexpr std::size_t MaxServices = 2048;
constexpr std::size_t MaxRoutes = 4096;
constexpr std::size_t MaxReporters = 64;
constexpr std::size_t MaxDownstream = 32;

double secondsBetween(TimePoint From, TimePoint To) {
  return std::max(0.0, std::chrono::duration<double>(To - From).count());
}

/// Highest share such that teams with less demand get all of it and the sum is the total.
double maxMinShare(std::vector<double> Demands, double Total) {
  std::sort(Demands.begin(), Demands.end());
  double Left = Total;
  for (std::size_t Index = 0; Index < Demands.size(); ++Index) {
    const double Equal = Left / static_cast<double>(Demands.size() - Index);
    if (Demands[Index] > Equal)
      return Equal;
    Left -= Demands[Index];
  }
  return 0.0;
}

} // namespace

void StandingSource::decay(TimePoint Now, Use &Team) {
  const double Kept = std::exp(-secondsBetween(Team.Last_, Now) / UseWindowSeconds);
  Team.Demand_ *= Kept;
  Team.Admitted_ *= Kept;
  Team.Last_ = Now;
}

StandingSource::Use *StandingSource::use(TimePoint Now, const TeamId &Team) {
  if (Teams_.size() >= MaxTeams && Teams_.count(Team) == 0)
    return nullptr;
  Use &Result = Teams_[Team];
  decay(Now, Result);
  return &Result;
}

Standing StandingSource::standing(TimePoint Now, const TeamId &Team, std::uint8_t ClassRank,
                                  std::uint64_t Spread) {
  double Down = 0.0;
  if (Use *Own = use(Now, Team)) {
    Own->Demand_ += 1.0;
    if (FairShare_ > 0.0 && Own->Admitted_ > FairShare_)
      Down = BandPerDoubling * std::log2(Own->Admitted_ / FairShare_);
  }
  Down = std::min(Down, static_cast<double>(TopBand + 1 - SpreadPositions));
  const auto Position = static_cast<unsigned>(Spread % SpreadPositions);
  return {ClassRank, static_cast<std::uint8_t>(TopBand - Position - static_cast<unsigned>(Down))};
}

void StandingSource::noteAdmitted(TimePoint Now, const TeamId &Team) {
  if (Use *Own = use(Now, Team))
    Own->Admitted_ += 1.0;
}

void StandingSource::tick(TimePoint Now) {
  std::vector<double> Demands;
  double Total = 0.0;
  for (auto Team = Teams_.begin(); Team != Teams_.end();) {
    decay(Now, Team->second);
    if (Team->second.Demand_ < NegligibleUse) {
      Team = Teams_.erase(Team);
      continue;
    }
    Demands.push_back(Team->second.Demand_);
    Total += Team->second.Admitted_;
    ++Team;
  }
  FairShare_ = maxMinShare(std::move(Demands), Total);
}

void AdmissionLevel::noteOffered(Standing Value) { Offered_[Value.value()].Now_ += 1.0; }

void AdmissionLevel::tick(TimePoint Now, const DispatcherLoad &Load) {
  const double Seconds = std::clamp(secondsBetween(LastTick_, Now), 0.02, 1.0);
  LastTick_ = Now;
  const bool Overload = adjustAllowed(Seconds, Load);
  for (auto Slot = Offered_.begin(); Slot != Offered_.end();) {
    Rate &Offered = Slot->second;
    const double Sample = Offered.Now_ / Seconds;
    if (Slot->first >= Threshold_ || Sample > Offered.Mean_)
      Offered.Mean_ += (Sample - Offered.Mean_) * RateWeight;
    else if (!Overload)
      Offered.Mean_ *= UnseenKeep;
    Offered.Now_ = 0.0;
    Slot = Offered.Mean_ < NegligibleRate ? Offered_.erase(Slot) : std::next(Slot);
  }
  chooseThreshold();
}

bool AdmissionLevel::adjustAllowed(double Seconds, const DispatcherLoad &Load) {
  const double Dispatched = static_cast<double>(Load.Dispatched_);
  const double Refused = static_cast<double>(Load.Refused_);
  const bool Overload =
      Load.MeanDelay_ > Load.TargetDelay_ || Refused > RefusedShare * (Dispatched + Refused);
  if (Overload) {
    const double Rate = Dispatched / Seconds;
    const double Weight = std::max(MinCompletedWeight, Dispatched / (Dispatched + CompletedCalls));
    Completed_ = Completed_ == 0.0 ? Rate : Completed_ + (Rate - Completed_) * Weight;
    const double Least = Completed_ * AllowedMargin;
    Allowed_ = Allowed_ == 0.0 ? Least : std::max(Allowed_ * OverloadFactor, Least);
  } else if (Allowed_ != 0.0) {
    Allowed_ *= RecoveryFactor;
    if (Allowed_ > UnboundedFactor * Completed_)
      Allowed_ = Completed_ = 0.0;
  }
  return Overload;
}

void AdmissionLevel::chooseThreshold() {
  Threshold_ = 0;
  if (Allowed_ == 0.0)
    return;
  double Sum = 0.0;
  for (auto Slot = Offered_.rbegin(); Slot != Offered_.rend(); ++Slot) {
    Sum += Slot->second.Mean_;
    if (Sum > Allowed_) {
      // The slot that crosses the bound is admitted: what exceeds it is shed by the queue.
      Threshold_ = Slot->first;
      return;
    }
  }
}

void LevelTable::note(TimePoint Now, const HostId &From, const std::string &Route,
                      const std::vector<ServiceLevel> &Levels) {
  RouteInfo *Known =
      Routes_.size() < MaxRoutes || Routes_.count(Route) != 0 ? &Routes_[Route] : nullptr;
  for (const ServiceLevel &Level : Levels) {
    if (Known && (Known->Downstream_.size() < MaxDownstream ||
                  Known->Downstream_.count(Level.Service_) != 0))
      Known->Downstream_[Level.Service_] = Now;
    if (Services_.size() >= MaxServices && Services_.count(Level.Service_) == 0)
      continue;
    auto &Opinions = Services_[Level.Service_];
    if (Opinions.size() >= MaxReporters && Opinions.count(From) == 0) {
      for (auto Old = Opinions.begin(); Old != Opinions.end();)
        Old = Now - Old->second.Time_ > LevelLifetime ? Opinions.erase(Old) : std::next(Old);
      if (Opinions.size() >= MaxReporters)
        continue;
    }
    Opinions[From] = {Level.Threshold_, Now};
  }
}

std::uint16_t LevelTable::level(TimePoint Now, const ServiceId &Service) const {
  const auto Found = Services_.find(Service);
  if (Found == Services_.end())
    return 0;
  std::vector<std::uint16_t> Values;
  for (const auto &[Host, Opinion] : Found->second)
    if (Now - Opinion.Time_ <= LevelLifetime)
      Values.push_back(Opinion.Threshold_);
  if (Values.empty())
    return 0;
  // The lower median: with two hosts, the better one decides.
  const auto Middle = Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

std::vector<ServiceLevel> LevelTable::levels(TimePoint Now, const std::string &Route) const {
  std::vector<ServiceLevel> Result;
  const auto Found = Routes_.find(Route);
  if (Found == Routes_.end())
    return Result;
  for (const auto &[Service, Seen] : Found->second.Downstream_)
    if (Now - Seen <= RouteLifetime)
      Result.push_back({Service, level(Now, Service)});
  return Result;
}

bool LevelTable::overloaded(TimePoint Now, const std::string &Route, Standing Value) {
  const auto Found = Routes_.find(Route);
  if (Found == Routes_.end())
    return false;
  RouteInfo &Known = Found->second;
  for (auto Next = Known.Downstream_.begin(); Next != Known.Downstream_.end();) {
    if (Now - Next->second > RouteLifetime) {
      Next = Known.Downstream_.erase(Next);
      continue;
    }
    if (Value.value() < level(Now, Next->first)) {
      if (Now - Known.LastPass_ < PassInterval)
        return true;
      break;
    }
    ++Next;
  }
  Known.LastPass_ = Now;
  return false;
}

} // namespace bronzestand
