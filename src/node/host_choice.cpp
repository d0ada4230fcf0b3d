#include "node/host_choice.h"

#include <boost/algorithm/string/predicate.hpp>

#include "bronzestand/rendezvous.h"
#include "node/clock.h"

namespace bronzestand::node {

HostChoice::HostChoice(const Settings &Config, ConfigPart &Documents, MembershipPart &Members,
                       Incarnation Run)
    : Config_(Config), Documents_(Documents), Members_(Members), Log_(makeLogger("host_choice")),
      Balancer_(Run) {
  Documents.addChangeCallback([this](const std::string &Path) { onDocument(Path); });
  Members.addStateCallback([this](const HostId &Host) {
    if (const HostSpec *Spec = Documents_.catalogue().findHost(Host))
      markChanged(Spec->Service_);
  });
}

void HostChoice::onDocument(const std::string &Path) {
  if (Path == "fleet") {
    for (auto &[Service, Current] : Current_)
      Current = false;
    return;
  }
  if (!boost::starts_with(Path, "hosts/"))
    return;
  markChanged(ServiceId(Path.substr(Path.rfind('/') + 1)));
  const auto Drop = [this](auto &Hosts) {
    for (auto Item = Hosts.begin(); Item != Hosts.end();)
      Item = Documents_.catalogue().findHost(Item->first) == nullptr ? Hosts.erase(Item)
                                                                     : std::next(Item);
  };
  Drop(Observed_);
  Drop(Sent_);
}

void HostChoice::markChanged(const ServiceId &Service) {
  if (const auto Found = Current_.find(Service); Found != Current_.end())
    Found->second = false;
}

Locality HostChoice::localityOf(const DataCentreId &DataCentre) const {
  if (DataCentre == Config_.DataCentre_)
    return Locality::SameDataCentre;
  return Documents_.catalogue().regionOf(DataCentre) == Config_.Region_ ? Locality::SameRegion
                                                                        : Locality::OtherRegion;
}

bool HostChoice::isAvailable(const HostSpec &Host) const {
  const auto Found = Observed_.find(Host.Id_);
  return Members_.isLive(Host.Id_) && (Found == Observed_.end() || !Found->second.Leaving_);
}

void HostChoice::rebuild(const ServiceId &Service) {
  std::vector<BalancerCandidate> Candidates;
  for (const auto &[Name, List] : Documents_.catalogue().hostLists()) {
    if (List.Service_ != Service)
      continue;
    const Locality Distance = localityOf(List.DataCentre_);
    for (const HostSpec &Host : List.Hosts_) {
      const auto Found = Observed_.find(Host.Id_);
      // The count of restarts stands for the incarnation, because learning the first incarnation
      // of a host is no restart.
      const Incarnation Runs = Found == Observed_.end() ? 0 : Found->second.Restarts_;
      Candidates.push_back({Host.Id_, Distance, Runs, isAvailable(Host)});
    }
  }
  Balancer_.setHosts(now(), Service, Candidates);
  Current_[Service] = true;
}

HostId HostChoice::choose(const Call &Request, const std::set<HostId> &Excluded) {
  if (Request.AtMostOnce_ || !Config_.isEnabled(Mechanism::Balancer))
    return chooseByKey(Request, Excluded);
  if (const auto Found = Current_.find(Request.Service_); Found == Current_.end() || !Found->second)
    rebuild(Request.Service_);
  const std::vector<HostId> Tried(Excluded.begin(), Excluded.end());
  const HostId *Host = Balancer_.pick(now(), Request.Service_, Tried, Request.Standing_);
  return Host == nullptr ? HostId() : *Host;
}

// Resends of an idempotency key go to the same host while the list stays the same, so that they
// rarely need a redirect.
HostId HostChoice::chooseByKey(const Call &Request, const std::set<HostId> &Excluded) const {
  std::vector<HostId> Candidates;
  for (const auto &[Name, List] : Documents_.catalogue().hostLists())
    if (List.Service_ == Request.Service_)
      for (const HostSpec &Host : List.Hosts_)
        if (isAvailable(Host) && Excluded.count(Host.Id_) == 0)
          Candidates.push_back(Host.Id_);
  const std::string Key =
      Request.AtMostOnce_ ? Request.IdempotencyKey_ : std::to_string(Request.Id_);
  const auto Chosen = topHosts(Key, Candidates, 1);
  return Chosen.empty() ? HostId() : Chosen.front();
}

bool HostChoice::hasHosts(const ServiceId &Service) const {
  for (const auto &[Name, List] : Documents_.catalogue().hostLists())
    if (List.Service_ == Service)
      for (const HostSpec &Host : List.Hosts_)
        if (isAvailable(Host))
          return true;
  return false;
}

void HostChoice::started(const HostId &Host) {
  ++Sent_[Host];
  Balancer_.started(now(), Host);
}

void HostChoice::finished(const HostId &Host, Duration Latency, const Answer &Result) {
  CallReport Report;
  Report.Latency_ = Latency;
  Report.Outcome_ = Result.Outcome_;
  Report.HttpStatus_ = Result.HttpStatus_;
  if (Result.Outcome_ != Outcome::Served)
    Report.Refusal_ = Result.Refusal_;
  if (const HostSpec *Spec = Documents_.catalogue().findHost(Host))
    for (const ServiceLevel &Level : Result.Levels_)
      if (Level.Service_ == Spec->Service_)
        Report.Threshold_ = Level.Threshold_;
  Balancer_.finished(now(), Host, Report);
}

void HostChoice::observe(const HostId &Host, Incarnation Run, bool Leaving) {
  const HostSpec *Spec = Documents_.catalogue().findHost(Host);
  if (Spec == nullptr)
    return;
  Observed &Known = Observed_[Host];
  if (Run < Known.Run_)
    return;
  const bool Restarted = Run > Known.Run_ && Known.Run_ != 0;
  const bool WasLeaving = Known.Leaving_;
  Known.Leaving_ = Leaving || (WasLeaving && !Restarted);
  Known.Run_ = Run;
  Known.Restarts_ += Restarted ? 1 : 0;
  if (!Restarted && Known.Leaving_ == WasLeaving)
    return;
  Log_->info("host {} {}", Host.str(), Known.Leaving_ ? "is leaving" : "runs again");
  markChanged(Spec->Service_);
}

nlohmann::json HostChoice::dump() const {
  nlohmann::json Result = nlohmann::json::object();
  for (const auto &[Host, Count] : Sent_)
    Result[Host.str()] = {{"sent", Count}, {"in_flight", Balancer_.inFlight(Host)}};
  for (const auto &[Host, Known] : Observed_) {
    Result[Host.str()]["incarnation"] = Known.Run_;
    Result[Host.str()]["leaving"] = Known.Leaving_;
  }
  return Result;
}

} // namespace bronzestand::node
