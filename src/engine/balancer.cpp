#include "bronzestand/balancer.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace bronzestand {
namespace {

constexpr Duration SlowStart = std::chrono::seconds(10);
/// Share of its usual traffic that a host receives at the beginning of its slow start.
constexpr double SlowStartFloor = 0.05;
/// Admission levels expire after 2 s (design section 9).
constexpr Duration ThresholdLifetime = std::chrono::seconds(2);
/// Half-lives of the failure rate, the refusal rate and the latency above average. They decay also
/// without calls, so that an avoided host is tried again.
constexpr double FailureHalfLifeUs = 10e6;
constexpr double RefusalHalfLifeUs = 2e6;
constexpr double LatencyHalfLifeUs = 10e6;
/// Weight of one result in the failure rate; two failures in quick succession exceed FailingRate.
constexpr double FailureGain = 0.3;
constexpr double RefusalGain = 0.2;
constexpr double FailingRate = 0.5;
/// Above this failure rate a host receives one call at a time, as a probe.
constexpr double SuspectRate = 0.25;
constexpr double LatencyGain = 0.1;
constexpr double ServiceLatencyGain = 0.01;
constexpr double FailureCost = 30.0;
constexpr double RefusalCost = 8.0;

double decayed(double Value, double ElapsedUs, double HalfLifeUs) {
  return Value * std::exp2(-ElapsedUs / HalfLifeUs);
}

/// What a finished call shows about its host.
enum class Observation { Success, Overload, Failure, None };

/// Classifies a call. Refusals that are not caused by the host, such as a cancelled call, are None.
Observation observe(const CallReport &Report) {
  if (Report.Outcome_ == Outcome::Served)
    return Report.HttpStatus_ >= 500 ? Observation::Failure : Observation::Success;
  if (!Report.Refusal_)
    return Observation::Failure;
  switch (*Report.Refusal_) {
  case Refusal::Overloaded:
  case Refusal::DeadlineTooShort:
    return Observation::Overload;
  case Refusal::NoBackendServer:
  case Refusal::NotReady:
  case Refusal::ShuttingDown:
  case Refusal::ConnectionLost:
  case Refusal::TimedOut:
    return Observation::Failure;
  default:
    return Observation::None;
  }
}

bool contains(const std::vector<HostId> &Hosts, const HostId &Host) {
  return std::find(Hosts.begin(), Hosts.end(), Host) != Hosts.end();
}

} // namespace

void Balancer::setHosts(TimePoint Now, const ServiceId &Service,
                        const std::vector<BalancerCandidate> &Candidates) {
  const bool First = Services_.count(Service) == 0;
  ServiceRecord &Record = Services_[Service];
  std::unordered_set<HostId> Listed;
  for (auto &Hosts : Record.Hosts_)
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
      Host.DecayedAt_ = Now;
    }
    if (Restarted || (Returned && !(New && First)))
      Host.SlowStartUntil_ = Now + SlowStart;
    Host.Service_ = Service;
    Host.Incarnation_ = Candidate.Incarnation_;
    Host.Available_ = Candidate.Available_;
    if (Host.Available_)
      Record.Hosts_[static_cast<std::size_t>(Candidate.Locality_)].push_back(&Host);
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
  // A failing host is used only if no locality has any other usable host.
  for (const bool AllowFailing : {false, true})
    for (auto &Hosts : Found->second.Hosts_)
      if (HostRecord *Host =
              pickFromLocality(Now, Found->second, Hosts, Excluded, Level, AllowFailing))
        return &Host->Id_;
  return nullptr;
}

Balancer::HostRecord *Balancer::pickFromLocality(TimePoint Now, ServiceRecord &Service,
                                                 std::vector<HostRecord *> &Hosts,
                                                 const std::vector<HostId> &Excluded,
                                                 Standing Level, bool AllowFailing) {
  HostRecord *Best = nullptr;
  HostRecord *SlowStarting = nullptr;
  const std::size_t Scans = std::min(Hosts.size(), ScanLimit);
  for (std::size_t Index = 0; Index < Scans; ++Index) {
    // Partial Fisher-Yates shuffle: draws hosts without replacement.
    std::uniform_int_distribution<std::size_t> Positions(Index, Hosts.size() - 1);
    std::swap(Hosts[Index], Hosts[Positions(Random_)]);
    HostRecord *Host = Hosts[Index];
    decay(Now, *Host, Service.LatencyUs_);
    if (contains(Excluded, Host->Id_) || !isUsable(Now, *Host, Level, AllowFailing))
      continue;
    if (Now < Host->SlowStartUntil_) {
      const double Remaining = static_cast<double>((Host->SlowStartUntil_ - Now).count());
      const double Share = 1.0 - Remaining / static_cast<double>(SlowStart.count());
      if (draw() > std::max(SlowStartFloor, Share)) {
        SlowStarting = Host;
        continue;
      }
    }
    if (Best != nullptr)
      return chooseByCost(Service, Best, Host);
    Best = Host;
  }
  return Best != nullptr ? Best : SlowStarting;
}

bool Balancer::isUsable(TimePoint Now, const HostRecord &Host, Standing Level,
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

Balancer::HostRecord *Balancer::chooseByCost(const ServiceRecord &Service, HostRecord *First,
                                             HostRecord *Second) {
  const auto Cost = [&Service](const HostRecord &Host) {
    const double Latency = Host.LatencyUs_ > 0.0 ? Host.LatencyUs_ : Service.LatencyUs_;
    return (1.0 + Host.InFlight_) * std::max(Latency, 1.0) *
           (1.0 + FailureCost * Host.FailureRate_) * (1.0 + RefusalCost * Host.RefusalRate_);
  };
  // The probability of a host is inversely proportional to the cube of its cost: the cheaper host
  // is clearly preferred, hosts of equal cost share evenly, and a slow host still receives an
  // occasional call that shows when it has recovered.
  const double FirstCost = std::pow(Cost(*First), 3.0);
  const double SecondCost = std::pow(Cost(*Second), 3.0);
  return draw() * (FirstCost + SecondCost) < SecondCost ? First : Second;
}

void Balancer::decay(TimePoint Now, HostRecord &Host, double AverageUs) const {
  const auto Elapsed = static_cast<double>((Now - Host.DecayedAt_).count());
  if (Elapsed <= 0.0)
    return;
  Host.DecayedAt_ = Now;
  Host.FailureRate_ = decayed(Host.FailureRate_, Elapsed, FailureHalfLifeUs);
  Host.RefusalRate_ = decayed(Host.RefusalRate_, Elapsed, RefusalHalfLifeUs);
  if (Host.LatencyUs_ > AverageUs)
    Host.LatencyUs_ = AverageUs + decayed(Host.LatencyUs_ - AverageUs, Elapsed, LatencyHalfLifeUs);
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
  decay(Now, Host, Service.LatencyUs_);
  if (Host.InFlight_ > 0)
    --Host.InFlight_;
  if (Report.Threshold_) {
    Host.Threshold_ = *Report.Threshold_;
    Host.ThresholdUntil_ = Now + ThresholdLifetime;
  }
  const Observation Result = observe(Report);
  if (Result == Observation::None)
    return;
  Host.FailureRate_ +=
      FailureGain * ((Result == Observation::Failure ? 1.0 : 0.0) - Host.FailureRate_);
  Host.RefusalRate_ +=
      RefusalGain * ((Result == Observation::Overload ? 1.0 : 0.0) - Host.RefusalRate_);
  const auto Latency = static_cast<double>(Report.Latency_.count());
  const bool WithoutError = Result == Observation::Success && Report.HttpStatus_ < 400;
  // A fast refusal or error must not lower the latency of a host, even as its first result.
  if (!WithoutError &&
      (Service.LatencyUs_ <= 0.0 || Latency <= std::max(Host.LatencyUs_, Service.LatencyUs_)))
    return;
  if (WithoutError)
    Service.LatencyUs_ +=
        (Service.LatencyUs_ > 0.0 ? ServiceLatencyGain : 1.0) * (Latency - Service.LatencyUs_);
  // A higher latency counts with weight one half, a lower one with LatencyGain, so that the average
  // rises fast and falls slowly.
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
