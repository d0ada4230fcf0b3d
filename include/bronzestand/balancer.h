#ifndef BRONZESTAND_BALANCER_H
#define BRONZESTAND_BALANCER_H

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "bronzestand/call.h"
#include "bronzestand/refusal.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// Distance of a backend server from this node; nearer servers are used first.
enum class Locality : std::uint8_t { SameDataCentre, SameRegion, OtherRegion };

/// A host whose backend server may be chosen for calls of a service.
struct BalancerCandidate {
  HostId Host_;
  Locality Locality_ = Locality::SameDataCentre;
  Incarnation Incarnation_ = 0;
  bool Available_ = true; ///< false while leaving, silent, paused or gone
};

/// What this node observed about one call.
struct CallReport {
  Duration Latency_{};
  Outcome Outcome_ = Outcome::Served;
  std::optional<Refusal> Refusal_;         ///< set unless Outcome_ is Served
  unsigned HttpStatus_ = 200;              ///< valid if Outcome_ is Served
  std::optional<std::uint16_t> Threshold_; ///< admission level in the answer
};

/// Chooses a backend server for each call from this node's own measurements (design section 9).
/// Health and load endpoints are not an input, so they cannot override the measurements.
/// Memory: one record per candidate.
class Balancer {
public:
  /// \param Seed seed of the random number generator.
  /// \param MaxInFlight maximum of calls in flight from this node to one host, at least 1.
  explicit Balancer(std::uint64_t Seed, std::uint32_t MaxInFlight = 64)
      : Random_(Seed), MaxInFlight_(MaxInFlight) {}

  /// Replaces the candidates of a service and keeps the measurements of those that remain. A host
  /// that is new after the first list, has a new incarnation or becomes available again receives
  /// traffic with slow start.
  /// \param Candidates hosts of the service; a host belongs to one service only.
  /// Cost: linear in all known hosts.
  void setHosts(TimePoint Now, const ServiceId &Service,
                const std::vector<BalancerCandidate> &Candidates);

  /// Chooses a host from the nearest locality with a usable one: draws two random usable hosts and
  /// prefers the one with the lower cost.
  /// \param Excluded hosts that were already tried for this request.
  /// \param Level standing of the request, compared with the hosts' admission levels.
  /// \return the host, valid until the next setHosts(); null if none may be used.
  /// Cost: at most ScanLimit random draws per locality, twice; independent of the number of hosts.
  const HostId *pick(TimePoint Now, const ServiceId &Service, const std::vector<HostId> &Excluded,
                     Standing Level);

  /// Records that a call was sent to a host. Unknown hosts are ignored.
  void started(TimePoint Now, const HostId &Host);
  /// Records the end of a call that was sent to a host. Unknown hosts are ignored.
  void finished(TimePoint Now, const HostId &Host, const CallReport &Report);

  /// Returns the number of calls in flight from this node to a host; 0 if the host is unknown.
  std::uint32_t inFlight(const HostId &Host) const;

private:
  static constexpr std::size_t ScanLimit = 8;
  static constexpr std::size_t LocalityCount = 3;

  struct HostRecord {
    HostId Id_;
    ServiceId Service_;
    Incarnation Incarnation_ = 0;
    bool Available_ = false;
    std::uint32_t InFlight_ = 0;
    double LatencyUs_ = 0.0; ///< 0 until the first measurement
    double FailureRate_ = 0.0;
    double RefusalRate_ = 0.0;
    std::uint16_t Threshold_ = 0;
    TimePoint ThresholdUntil_{};
    TimePoint DecayedAt_{};
    TimePoint SlowStartUntil_{};
  };
  struct ServiceRecord {
    std::array<std::vector<HostRecord *>, LocalityCount> Hosts_;
    double LatencyUs_ = 0.0; ///< moving average over all hosts, used for hosts not yet measured
  };

  HostRecord *pickFromLocality(TimePoint Now, ServiceRecord &Service,
                               std::vector<HostRecord *> &Hosts,
                               const std::vector<HostId> &Excluded, Standing Level,
                               bool AllowFailing);
  bool isUsable(TimePoint Now, const HostRecord &Host, Standing Level, bool AllowFailing) const;
  HostRecord *chooseByCost(const ServiceRecord &Service, HostRecord *First, HostRecord *Second);
  void decay(TimePoint Now, HostRecord &Host, double AverageUs) const;
  double draw() { return std::uniform_real_distribution<double>()(Random_); }

  std::mt19937_64 Random_;
  std::uint32_t MaxInFlight_;
  std::unordered_map<HostId, HostRecord> Hosts_;
  std::unordered_map<ServiceId, ServiceRecord> Services_;
};

} // namespace bronzestand

#endif
