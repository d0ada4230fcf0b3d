#include "bronzestand/admission.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace bronzestand {
namespace {

constexpr std::size_t MaxTeams = 4096;
constexpr double UsageWindowSeconds = 4.0;
constexpr double NegligibleUsage = 0.02;
// The bands of otherwise equal requests differ by up to 31, so that one step of the threshold
// affects about 3 % of them.
constexpr unsigned TopBand = 255;
constexpr unsigned SpreadPositions = 32;
// With 64, all requests of a team 41 % above its share rank below those of teams within their
// share. With 256, noise of 9 % in the usage estimate refused one team after another completely.
// The band depends on admitted work instead of demand, so that teams of similar demand are limited
// equally.
constexpr double BandPerDoubling = 64.0;

constexpr double RateWeight = 0.2;
// Calls below the threshold don't reach the dispatcher, so their recorded rates decay. The
// threshold then falls soon after a surge; if the surge goes on, the rate is measured again before
// all of it is admitted.
constexpr double UnmeasuredDecay = 0.9;
constexpr double NegligibleRate = 0.01;
// The capacity measured in an interval has the weight Calls / (Calls + 50), since an interval with
// few calls is a noisy sample.
constexpr double HalfWeightCalls = 50.0;
constexpr double MinCompletedWeight = 0.1;
constexpr double OverloadFactor = 0.95;
// Arrivals vary by 14 to 30 % between intervals of 50 to 10 calls. Without a margin, protected
// classes reached only 74 % of the possible throughput in overload_bench. The queue refuses the
// excess, least important calls first.
constexpr double AllowedMargin = 1.15;
constexpr double RecoveryFactor = 1.05;
constexpr double RefusedShare = 0.1;
// The limit is removed once it exceeds this multiple of the completed calls.
constexpr double UnboundedFactor = 4.0;

constexpr auto ReportLifetime = std::chrono::seconds(2);
constexpr auto RouteLifetime = std::chrono::seconds(60);
constexpr auto ProbeInterval = std::chrono::milliseconds(500);
constexpr std::size_t MaxServices = 2048;
constexpr std::size_t MaxRoutes = 4096;
constexpr std::size_t MaxReporters = 64;
constexpr std::size_t MaxDownstream = 32;

double secondsBetween(TimePoint From, TimePoint To) {
  return std::max(0.0, std::chrono::duration<double>(To - From).count());
}

/// Returns the max-min fair share: teams that demand less get their whole demand, the others get
/// the share, and the sum is Total. Returns 0 if Total covers all demands.
double maxMinShare(std::vector<double> Demands, double Total) {
  std::sort(Demands.begin(), Demands.end());
  double Remaining = Total;
  for (std::size_t Index = 0; Index < Demands.size(); ++Index) {
    const double EqualShare = Remaining / static_cast<double>(Demands.size() - Index);
    if (Demands[Index] > EqualShare)
      return EqualShare;
    Remaining -= Demands[Index];
  }
  return 0.0;
}

} // namespace

void StandingSource::decay(TimePoint Now, Usage &Team) {
  const double Decay = std::exp(-secondsBetween(Team.Last_, Now) / UsageWindowSeconds);
  Team.Demand_ *= Decay;
  Team.Admitted_ *= Decay;
  Team.Last_ = Now;
}

StandingSource::Usage *StandingSource::usage(TimePoint Now, const TeamId &Team) {
  if (Teams_.size() >= MaxTeams && Teams_.count(Team) == 0)
    return nullptr;
  Usage &Result = Teams_[Team];
  decay(Now, Result);
  return &Result;
}

Standing StandingSource::standing(TimePoint Now, const TeamId &Team, std::uint8_t ClassRank,
                                  std::uint64_t Spread) {
  double Penalty = 0.0;
  if (Usage *Entry = usage(Now, Team)) {
    Entry->Demand_ += 1.0;
    if (FairShare_ > 0.0 && Entry->Admitted_ > FairShare_)
      Penalty = BandPerDoubling * std::log2(Entry->Admitted_ / FairShare_);
  }
  Penalty = std::min(Penalty, static_cast<double>(TopBand + 1 - SpreadPositions));
  const auto Position = static_cast<unsigned>(Spread % SpreadPositions);
  return {ClassRank,
          static_cast<std::uint8_t>(TopBand - Position - static_cast<unsigned>(Penalty))};
}

void StandingSource::noteAdmitted(TimePoint Now, const TeamId &Team) {
  if (Usage *Entry = usage(Now, Team))
    Entry->Admitted_ += 1.0;
}

void StandingSource::tick(TimePoint Now) {
  std::vector<double> Demands;
  double Total = 0.0;
  for (auto Team = Teams_.begin(); Team != Teams_.end();) {
    decay(Now, Team->second);
    if (Team->second.Demand_ < NegligibleUsage) {
      Team = Teams_.erase(Team);
      continue;
    }
    Demands.push_back(Team->second.Demand_);
    Total += Team->second.Admitted_;
    ++Team;
  }
  FairShare_ = maxMinShare(std::move(Demands), Total);
}

void AdmissionLevel::noteOffered(Standing Value) { Offered_[Value.value()].Current_ += 1.0; }

void AdmissionLevel::tick(TimePoint Now, const DispatcherLoad &Load) {
  const double Seconds = std::clamp(secondsBetween(LastTick_, Now), 0.02, 1.0);
  LastTick_ = Now;
  const bool Overloaded = adjustAllowed(Seconds, Load);
  for (auto Entry = Offered_.begin(); Entry != Offered_.end();) {
    Rate &Offered = Entry->second;
    const double Sample = Offered.Current_ / Seconds;
    if (Entry->first >= Threshold_ || Sample > Offered.Mean_)
      Offered.Mean_ += (Sample - Offered.Mean_) * RateWeight;
    else if (!Overloaded)
      Offered.Mean_ *= UnmeasuredDecay;
    Offered.Current_ = 0.0;
    Entry = Offered.Mean_ < NegligibleRate ? Offered_.erase(Entry) : std::next(Entry);
  }
  chooseThreshold();
}

bool AdmissionLevel::adjustAllowed(double Seconds, const DispatcherLoad &Load) {
  const double Dispatched = static_cast<double>(Load.Dispatched_);
  const double Refused = static_cast<double>(Load.Refused_);
  const bool Overloaded =
      Load.MeanDelay_ > Load.TargetDelay_ || Refused > RefusedShare * (Dispatched + Refused);
  if (Overloaded) {
    const double Rate = Dispatched / Seconds;
    const double Weight = std::max(MinCompletedWeight, Dispatched / (Dispatched + HalfWeightCalls));
    Completed_ = Completed_ == 0.0 ? Rate : Completed_ + (Rate - Completed_) * Weight;
    const double Floor = Completed_ * AllowedMargin;
    Allowed_ = Allowed_ == 0.0 ? Floor : std::max(Allowed_ * OverloadFactor, Floor);
  } else if (Allowed_ != 0.0) {
    Allowed_ *= RecoveryFactor;
    if (Allowed_ > UnboundedFactor * Completed_)
      Allowed_ = Completed_ = 0.0;
  }
  return Overloaded;
}

void AdmissionLevel::chooseThreshold() {
  Threshold_ = 0;
  if (Allowed_ == 0.0)
    return;
  double Sum = 0.0;
  for (auto Entry = Offered_.rbegin(); Entry != Offered_.rend(); ++Entry) {
    Sum += Entry->second.Mean_;
    if (Sum > Allowed_) {
      // The priority that crosses the limit is still admitted; the queue refuses the excess.
      Threshold_ = Entry->first;
      return;
    }
  }
}

void LevelTable::note(TimePoint Now, const HostId &From, const std::string &Route,
                      const std::vector<ServiceLevel> &Levels) {
  RouteInfo *Info =
      Routes_.size() < MaxRoutes || Routes_.count(Route) != 0 ? &Routes_[Route] : nullptr;
  for (const ServiceLevel &Level : Levels) {
    if (Info &&
        (Info->Downstream_.size() < MaxDownstream || Info->Downstream_.count(Level.Service_) != 0))
      Info->Downstream_[Level.Service_] = Now;
    if (Services_.size() >= MaxServices && Services_.count(Level.Service_) == 0)
      continue;
    auto &Reports = Services_[Level.Service_];
    if (Reports.size() >= MaxReporters && Reports.count(From) == 0) {
      for (auto Expired = Reports.begin(); Expired != Reports.end();)
        Expired = Now - Expired->second.Time_ > ReportLifetime ? Reports.erase(Expired)
                                                               : std::next(Expired);
      if (Reports.size() >= MaxReporters)
        continue;
    }
    Reports[From] = {Level.Threshold_, Now};
  }
}

std::uint16_t LevelTable::level(TimePoint Now, const ServiceId &Service) const {
  const auto Found = Services_.find(Service);
  if (Found == Services_.end())
    return 0;
  std::vector<std::uint16_t> Values;
  for (const auto &[Host, Report] : Found->second)
    if (Now - Report.Time_ <= ReportLifetime)
      Values.push_back(Report.Threshold_);
  if (Values.empty())
    return 0;
  // The lower median: with two hosts, the lower threshold counts.
  const auto Middle = Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

std::vector<ServiceLevel> LevelTable::levels(TimePoint Now, const std::string &Route) const {
  std::vector<ServiceLevel> Result;
  const auto Found = Routes_.find(Route);
  if (Found == Routes_.end())
    return Result;
  for (const auto &[Service, LastReport] : Found->second.Downstream_)
    if (Now - LastReport <= RouteLifetime)
      Result.push_back({Service, level(Now, Service)});
  return Result;
}

bool LevelTable::overloaded(TimePoint Now, const std::string &Route, Standing Value) {
  const auto Found = Routes_.find(Route);
  if (Found == Routes_.end())
    return false;
  RouteInfo &Info = Found->second;
  for (auto Service = Info.Downstream_.begin(); Service != Info.Downstream_.end();) {
    if (Now - Service->second > RouteLifetime) {
      Service = Info.Downstream_.erase(Service);
      continue;
    }
    if (Value.value() < level(Now, Service->first)) {
      if (Now - Info.LastProbe_ < ProbeInterval)
        return true;
      break;
    }
    ++Service;
  }
  Info.LastProbe_ = Now;
  return false;
}

} // namespace bronzestand
