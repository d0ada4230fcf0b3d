#ifndef BRONZESTAND_NODE_HOST_CHOICE_H
#define BRONZESTAND_NODE_HOST_CHOICE_H

#include <map>
#include <set>

#include <nlohmann/json.hpp>

#include "bronzestand/balancer.h"
#include "node/config_part.h"
#include "node/settings.h"

namespace bronzestand::node {

/// Chooses the host of a call: feeds the balancer with the host lists in force and with what this
/// node observes of its own calls (design section 9).
class HostChoice {
public:
  HostChoice(const Settings &Config, ConfigPart &Documents, Incarnation Run);

  /// Returns the host for a call; empty if no host may be used.
  /// \param Excluded hosts that this call has already tried.
  HostId choose(const Call &Request, const std::set<HostId> &Excluded);
  /// Tells whether a host of the service may get new calls at all.
  bool hasHosts(const ServiceId &Service) const;

  void started(const HostId &Host);
  void finished(const HostId &Host, Duration Latency, const Answer &Result);

  /// Takes in what a host told of itself. A leaving host gets no new calls until a later run.
  /// Messages of an earlier incarnation are ignored.
  void observe(const HostId &Host, Incarnation Run, bool Leaving);

  nlohmann::json dump() const;

private:
  struct Observed {
    Incarnation Run_ = 0;
    std::uint32_t Restarts_ = 0;
    bool Leaving_ = false;
  };

  void onDocument(const std::string &Path);
  void rebuild(const ServiceId &Service);
  void markChanged(const ServiceId &Service);
  Locality localityOf(const DataCentreId &DataCentre) const;
  bool isAvailable(const HostSpec &Host) const;
  HostId chooseByKey(const Call &Request, const std::set<HostId> &Excluded) const;

  const Settings &Config_;
  const ConfigPart &Documents_;
  Logger Log_;
  Balancer Balancer_;
  /// Services that this node has called: whether the balancer has their present candidates. The
  /// lists of others are not taken in, so that state and start-up time do not grow with the fleet.
  std::map<ServiceId, bool> Current_;
  std::map<HostId, Observed> Observed_;
  std::map<HostId, std::uint64_t> Sent_; ///< calls by host, for the dump
};

} // namespace bronzestand::node

#endif
