#include "bronzestand/balancer.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace bronzestand {
namespace {

constexpr Duration SlowStart = std::chrono::seconds(10);
/// Share of its normal draws that a host gets at the beginning of its slow start.
constexpr double SlowStartFloor = 0.05;
/// Admission levels expire after 2 s (design section 9).
constexpr Duration ThresholdLifetime = std::chrono::seconds(2);
/// Half-lives with which old bad news fades, so that an avoided host is tried again.
constexpr double FailureHalfLifeUs = 10e6;
constexpr double RefusalHalfLifeUs = 2e6;
constexpr double LatencyHalfLifeUs = 10e6;
/// Two failures in a row reach FailingRate.
constexpr double FailureGain = 0.3;
constexpr double RefusalGain = 0.2;
constexpr double FailingRate = 0.5;
/// From this failure rate on a host gets one call at a time, which serves as a probe.
constexpr double SuspectRate = 0.25;
constexpr double LatencyGain = 0.1;
constexpr double ServiceLatencyGain = 0.01;
constexpr double FailureCost = 30.0;
constexpr double RefusalCost = 8.0;

double faded(double Value, double ElapsedUs, double HalfLifeUs) {
  return Value * std::exp2(-ElapsedUs / HalfLifeUs);
}

enum class Verdict { Good, Busy, Failed, Neutral };

/// Refusals that say nothing about the host, such as a cancelled call, are neutral.
Verdict verdictOf(const CallReport &Report) {
  if (Report.Outcome_ == Outcome::Served)
    return Report.HttpStatus_ >= 500 ? Verdict::Failed : Verdict::Good;
  if (!Report.Refusal_)
    return Verdict::Failed;
  switch (*Report.Refusal_) {
  case Refusal::Overloaded:
  case Refusal::DeadlineTooShort:
    return Verdict::Busy;
  case Refusal::NoBackendServer:
  case Refusal::NotReady:
  case Refusal::ShuttingDown:
  case Refusal::ConnectionLost:
  case Refusal::TimedOut:
    return Verdict::Failed;
  default:
    return Verdict::Neutral;
  }
}

bool contains(const std::vector<HostId> &Hosts, const HostId &Host) {
  return std::find(Hosts.begin(), Hosts.end(), Host) != Hosts.end();
}

} // namespace

void Balancer::setHosts(TimePoint Now, const ServiceId &Service,
                        const std::vector<BalancerCandidate> &Candidates) {
  const bool First = Services_.count(Service) == 0;
  ServiceRecord &Target = Services_[Service];
  std::unordered_set<HostId> Listed;
  for (auto &Hosts : Target.Hosts_)
    Hosts.clear();
  for (const BalancerCandidate &Candidate : Candidates) {
    if (!Listed.insert(Candidate.Host_).second)
      continue;
    HostRecord &Host = Hosts_[Candidate.Host_];
    const bool New = Host.Id_.empty();
    const bool Restarted = !New && Host.Incarnation_ != Candidate.Incarnation_;
    const bool Returned = Candidate.Available_ && !Host.Available_;
    if (New || Restarted) {
      Host = HostRecord();
      Host.Id_ = Candidate.Host_;
      Host.Updated_ = Now;
    }
    if (Restarted || (Returned && !(New && First)))
      Host.SlowStartUntil_ = Now + SlowStart;
    Host.Service_ = Service;
    Host.Incarnation_ = Candidate.Incarnation_;
    Host.Available_ = Candidate.Available_;
    if (Host.Available_)
      Target.Hosts_[static_cast<std::size_t>(Candidate.Locality_)].push_back(&Host);
  }
  for (auto Entry = Hosts_.begin(); Entry != Hosts_.end();) {
    const bool Removed = Entry->second.Service_ == Service && Listed.count(Entry->first) == 0;
    Entry = Removed ? Hosts_.erase(Entry) : std::next(Entry);
  }
}

const HostId *Balancer::pick(TimePoint Now, const ServiceId &Service,
                             const std::vector<HostId> &Excluded, Standing Level) {
  const auto Found = Services_.find(Service);
  if (Found == Services_.end())
    return nullptr;
  // A failing host is used only when no locality has a better one.
  for (const bool AllowFailing : {false, true})
    for (auto &Hosts : Found->second.Hosts_)
      if (HostRecord *Host = pickFrom(Now, Found->second, Hosts, Excluded, Level, AllowFailing))
        return &Host->Id_;
  return nullptr;
}

Balancer::HostRecord *Balancer::pickFrom(TimePoint Now, ServiceRecord &Service,
                                         std::vector<HostRecord *> &Hosts,
                                         const std::vector<HostId> &Excluded, Standing Level,
                                         bool AllowFailing) {
  HostRecord *Best = nullptr;
  HostRecord *Cold = nullptr;
  const std::size_t Scans = std::min(Hosts.size(), ScanLimit);
  for (std::size_t Index = 0; Index < Scans; ++Index) {
    // Draws without replacement by shuffling the front of the list.
    std::uniform_int_distribution<std::size_t> Positions(Index, Hosts.size() - 1);
    std::swap(Hosts[Index], Hosts[Positions(Random_)]);
    HostRecord *Host = Hosts[Index];
    age(Now, *Host, Service.LatencyUs_);
    if (contains(Excluded, Host->Id_) || !mayUse(Now, *Host, Level, AllowFailing))
      continue;
    if (Now < Host->SlowStartUntil_) {
      const double Left = static_cast<double>((Host->SlowStartUntil_ - Now).count());
      const double Warm = 1.0 - Left / static_cast<double>(SlowStart.count());
      if (draw() > std::max(SlowStartFloor, Warm)) {
        Cold = Host;
        continue;
      }
    }
    if (Best != nullptr)
      return better(Service, Best, Host);
    Best = Host;
  }
  return Best != nullptr ? Best : Cold;
}

bool Balancer::mayUse(TimePoint Now, const HostRecord &Host, Standing Level,
                      bool AllowFailing) const {
  if (Host.InFlight_ >= MaxInFlight_)
    return false;
  if (Now < Host.ThresholdUntil_ && Level.value() < Host.Threshold_)
    return false;
  if (AllowFailing)
    return true;
  return Host.FailureRate_ <= SuspectRate ||
         (Host.FailureRate_ <= FailingRate && Host.InFlight_ == 0);
}

Balancer::HostRecord *Balancer::better(const ServiceRecord &Service, HostRecord *A, HostRecord *B) {
  const auto Cost = [&Service](const HostRecord &Host) {
    const double Latency = Host.LatencyUs_ > 0.0 ? Host.LatencyUs_ : Service.LatencyUs_;
    return (1.0 + Host.InFlight_) * std::max(Latency, 1.0) *
           (1.0 + FailureCost * Host.FailureRate_) * (1.0 + RefusalCost * Host.RefusalRate_);
  };
  // The cube favours the better host clearly, yet equal hosts share evenly and a slow one still
  // gets the odd call that shows when it recovers.
  const double CostA = std::pow(Cost(*A), 3.0);
  const double CostB = std::pow(Cost(*B), 3.0);
  return draw() * (CostA + CostB) < CostB ? A : B;
}

void Balancer::age(TimePoint Now, HostRecord &Host, double AverageUs) const {
  const auto Elapsed = static_cast<double>((Now - Host.Updated_).count());
  if (Elapsed <= 0.0)
    return;
  Host.Updated_ = Now;
  Host.FailureRate_ = faded(Host.FailureRate_, Elapsed, FailureHalfLifeUs);
  Host.RefusalRate_ = faded(Host.RefusalRate_, Elapsed, RefusalHalfLifeUs);
  if (Host.LatencyUs_ > AverageUs)
    Host.LatencyUs_ = AverageUs + faded(Host.LatencyUs_ - AverageUs, Elapsed, LatencyHalfLifeUs);
}

void Balancer::started(TimePoint /*Now*/, const HostId &Host) {
  if (const auto Found = Hosts_.find(Host); Found != Hosts_.end())
    ++Found->second.InFlight_;
}

void Balancer::finished(TimePoint Now, const HostId &Id, const CallReport &Report) {
  const auto Found = Hosts_.find(Id);
  if (Found == Hosts_.end())
    return;
  HostRecord &Host = Found->second;
  ServiceRecord &Service = Services_[Host.Service_];
  age(Now, Host, Service.LatencyUs_);
  if (Host.InFlight_ > 0)
    --Host.InFlight_;
  if (Report.Threshold_) {
    Host.Threshold_ = *Report.Threshold_;
    Host.ThresholdUntil_ = Now + ThresholdLifetime;
  }
  const Verdict Result = verdictOf(Report);
  if (Result == Verdict::Neutral)
    return;
  Host.FailureRate_ += FailureGain * ((Result == Verdict::Failed ? 1.0 : 0.0) - Host.FailureRate_);
  Host.RefusalRate_ += RefusalGain * ((Result == Verdict::Busy ? 1.0 : 0.0) - Host.RefusalRate_);
  const auto Latency = static_cast<double>(Report.Latency_.count());
  const bool WholeAnswer = Result == Verdict::Good && Report.HttpStatus_ < 400;
  // A fast refusal or error must not make a host look fast, also as the first thing it does.
  if (!WholeAnswer &&
      (Service.LatencyUs_ <= 0.0 || Latency <= std::max(Host.LatencyUs_, Service.LatencyUs_)))
    return;
  if (WholeAnswer)
    Service.LatencyUs_ +=
        (Service.LatencyUs_ > 0.0 ? ServiceLatencyGain : 1.0) * (Latency - Service.LatencyUs_);
  // Follows a rise at once by half, a fall slowly.
  if (Host.LatencyUs_ <= 0.0)
    Host.LatencyUs_ = std::max(Latency, Service.LatencyUs_);
  else
    Host.LatencyUs_ +=
        (Latency > Host.LatencyUs_ ? 0.5 : LatencyGain) * (Latency - Host.LatencyUs_);
}

std::uint32_t Balancer::inFlight(const HostId &Host) const {
  const auto Found = Hosts_.find(Host);
  return Found == Hosts_.end() ? 0 : Found->second.InFlight_;
}

} // namespace bronzestand
