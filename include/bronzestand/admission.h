#ifndef BRONZESTAND_ADMISSION_H
#define BRONZESTAND_ADMISSION_H

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "bronzestand/call.h"
#include "bronzestand/dispatcher.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// Computes the standing of requests at the entry (design section 9). A team's demand and
/// admitted work over about 4 s are compared with the max-min fair share of what was admitted.
/// Bounded: 4,096 teams; teams beyond that count as inside their share.
class StandingSource {
public:
  /// \param Spread any hash of the request. It fills the low bits of the band, so that a level
  ///        can refuse a part of otherwise equal requests.
  /// Cost: constant.
  Standing standing(TimePoint Now, const TeamId &Team, std::uint8_t ClassRank,
                    std::uint64_t Spread);
  /// Notes that a request passed the check at the entry.
  void noteAdmitted(TimePoint Now, const TeamId &Team);
  /// Recomputes the fair share; call it every 100 ms. Cost: n log n in the recent teams.
  void tick(TimePoint Now);
  std::size_t teams() const { return Teams_.size(); }

private:
  struct Use {
    double Demand_ = 0.0;
    double Admitted_ = 0.0;
    TimePoint Last_;
  };
  static void decay(TimePoint Now, Use &Team);
  Use *use(TimePoint Now, const TeamId &Team);

  std::unordered_map<TeamId, Use> Teams_;
  double FairShare_ = 0.0; ///< requests per window; 0 means no bound known
};

/// Admission level of the local dispatcher (design section 9): the lowest standing whose work,
/// together with all work above it, fits into what the backend server completes.
class AdmissionLevel {
public:
  /// Notes a call that reached the dispatcher, before it is offered. Cost: constant.
  void noteOffered(Standing Value);
  /// Adjusts the level; call it every 100 ms with the dispatcher's load since the last call.
  /// Cost: linear in the standings in use.
  void tick(TimePoint Now, const DispatcherLoad &Load);
  std::uint16_t threshold() const { return Threshold_; }

private:
  struct Rate {
    double Now_ = 0.0;  ///< calls in the current interval
    double Mean_ = 0.0; ///< calls per interval
  };
  bool adjustAllowed(double Seconds, const DispatcherLoad &Load);
  void chooseThreshold();

  std::map<std::uint16_t, Rate> Offered_;
  std::uint16_t Threshold_ = 0;
  double Completed_ = 0.0; ///< calls per second while overloaded
  double Allowed_ = 0.0;   ///< calls per second; 0 means no bound
  TimePoint LastTick_;
};

/// Levels collected from answers, and the check at the entry. Levels expire after 2 s.
/// Bounded: 64 reporting hosts per service, 32 downstream services per route, 2,048 services and
/// 4,096 routes.
class LevelTable {
public:
  /// Takes the levels of an answer. Cost: linear in the levels of the answer.
  /// \param From host that answered; a level of a service is one opinion per host.
  /// \param Route route that the answer belongs to; its downstream services are learned.
  void note(TimePoint Now, const HostId &From, const std::string &Route,
            const std::vector<ServiceLevel> &Levels);
  /// Median of the opinions on a service, so that one bad backend server does not refuse the
  /// work of all; 0 if none is known. Cost: linear in the reporting hosts.
  std::uint16_t level(TimePoint Now, const ServiceId &Service) const;
  /// Levels to add to answers of a route. Cost: as level() for each downstream service.
  std::vector<ServiceLevel> levels(TimePoint Now, const std::string &Route) const;
  /// Tells whether a request must be refused as Overloaded. One request of a route passes every
  /// 500 ms whatever its standing, or a route without answers would never learn of a lower level.
  bool overloaded(TimePoint Now, const std::string &Route, Standing Value);
  /// Drops all levels, for example after a pause.
  void clear() { Services_.clear(); }

private:
  struct Opinion {
    std::uint16_t Threshold_;
    TimePoint Time_;
  };
  struct RouteInfo {
    std::unordered_map<ServiceId, TimePoint> Downstream_;
    TimePoint LastPass_;
  };
  std::unordered_map<ServiceId, std::unordered_map<HostId, Opinion>> Services_;
  std::unordered_map<std::string, RouteInfo> Routes_;
};

} // namespace bronzestand

#endif
