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

/// Computes the priority of requests at the entry node (design section 9). A team that was admitted
/// more than its max-min fair share of the work over about 4 s gets a lower priority in its class.
/// Tracks at most 4,096 teams; further teams are treated as within their share.
class StandingSource {
public:
  /// Counts a request towards the team's demand and returns its priority.
  /// \param Spread any hash of the request. It varies the band of requests that are otherwise
  ///        equal, so that a threshold can refuse a fraction of them.
  /// Cost: constant.
  Standing standing(TimePoint Now, const TeamId &Team, std::uint8_t ClassRank,
                    std::uint64_t Spread);
  /// Records that a request passed the check at the entry node.
  void noteAdmitted(TimePoint Now, const TeamId &Team);
  /// Recomputes the fair share; call it every 100 ms. Cost: n log n in the number of recent teams.
  void tick(TimePoint Now);
  std::size_t teams() const { return Teams_.size(); }

private:
  struct Usage {
    double Demand_ = 0.0;
    double Admitted_ = 0.0;
    TimePoint Last_;
  };
  static void decay(TimePoint Now, Usage &Team);
  Usage *usage(TimePoint Now, const TeamId &Team);

  std::unordered_map<TeamId, Usage> Teams_;
  double FairShare_ = 0.0; ///< requests per window; 0 for no limit
};

/// Chooses the admission threshold of the local dispatcher (design section 9): the lowest priority
/// whose calls, together with all calls of higher priority, the backend server can complete.
class AdmissionLevel {
public:
  /// Records a call that reached the dispatcher, before it is offered. Cost: constant.
  void noteOffered(Standing Value);
  /// Adjusts the threshold; call it every 100 ms with the dispatcher's load since the last call.
  /// Cost: linear in the number of distinct recent priorities.
  void tick(TimePoint Now, const DispatcherLoad &Load);
  std::uint16_t threshold() const { return Threshold_; }

private:
  struct Rate {
    double Current_ = 0.0; ///< calls in the current interval
    double Mean_ = 0.0;    ///< moving average in calls per second
  };
  bool adjustAllowed(double Seconds, const DispatcherLoad &Load);
  void chooseThreshold();

  std::map<std::uint16_t, Rate> Offered_;
  std::uint16_t Threshold_ = 0;
  double Completed_ = 0.0; ///< completed calls per second while overloaded
  double Allowed_ = 0.0;   ///< calls per second to admit; 0 for no limit
  TimePoint LastTick_;
};

/// Stores the admission levels that answers report, and checks requests against them at the entry
/// node. Levels expire after 2 s. Limits: 64 reporting hosts per service, 32 downstream services
/// per route, 2,048 services and 4,096 routes.
class LevelTable {
public:
  /// Records the levels of an answer.
  /// \param From host that answered; only its latest report for each service is kept.
  /// \param Route route that the answer belongs to; the reported services are remembered as
  ///        downstream services of the route.
  /// Cost: linear in the number of levels.
  void note(TimePoint Now, const HostId &From, const std::string &Route,
            const std::vector<ServiceLevel> &Levels);
  /// Returns the median threshold reported for a service, 0 if there is no recent report. The
  /// median keeps one bad backend server from causing refusals for the whole service.
  /// Cost: linear in the number of reporting hosts.
  std::uint16_t level(TimePoint Now, const ServiceId &Service) const;
  /// Returns the levels to add to answers of a route. Cost: level() for each downstream service.
  std::vector<ServiceLevel> levels(TimePoint Now, const std::string &Route) const;
  /// Returns whether a request must be refused as Overloaded. Each route lets one request pass
  /// every 500 ms regardless of its priority: without answers it would not learn of a lower level.
  bool overloaded(TimePoint Now, const std::string &Route, Standing Value);
  /// Discards all levels, for example after a pause of the process.
  void clear() { Services_.clear(); }

private:
  struct Report {
    std::uint16_t Threshold_;
    TimePoint Time_;
  };
  struct RouteInfo {
    std::unordered_map<ServiceId, TimePoint> Downstream_;
    TimePoint LastProbe_;
  };
  std::unordered_map<ServiceId, std::unordered_map<HostId, Report>> Services_;
  std::unordered_map<std::string, RouteInfo> Routes_;
};

} // namespace bronzestand

#endif
