#ifndef BRONZESTAND_BENCH_SURGE_REFERENCE_H
#define BRONZESTAND_BENCH_SURGE_REFERENCE_H

#include "bronzestand/config.h"
#include "replay.h"

namespace bronzestand::bench {

/// What the capacity allows during a surge: the capacity of each service is given out by class
/// rank, within a class to the teams by max-min share.
class SurgeReference {
public:
  /// \param Trace outlives this object.
  /// \param Slower factor of the service time during the surge, by service.
  SurgeReference(const Deployment &Scaled, const std::vector<TraceRequest> &Trace,
                 const TraceShape &Shape, const std::map<std::string, double> &Slower);

  /// Served during the surge as a share of what is possible. Each class counts at most its own
  /// possible work, so that lesser work does not make up for more important work.
  double goodputShare(const ReplayResult &Result) const;
  /// The team with the smallest part of its fair share.
  double worstTeamShare(const ReplayResult &Result) const;
  /// Time from the end of the surge until, of the requests first sent within any second, 95 % are
  /// served within their deadline, retries included.
  std::chrono::milliseconds recoveryTime(const ReplayResult &Result) const;
  /// Rows by class and by team.
  std::string table(const ReplayResult &Result) const;

private:
  std::map<std::string, double> served(const ReplayResult &Result,
                                       std::string TraceRequest::*Name) const;
  bool isCounted(const TraceRequest &Request) const;

  const std::vector<TraceRequest> &Trace_;
  TraceShape Shape_;
  std::map<std::string, double> Demand_;       ///< requests during the surge, by class
  std::map<std::string, double> Possible_;     ///< requests, by class
  std::map<std::string, double> TeamDemand_;   ///< requests, by team
  std::map<std::string, double> TeamPossible_; ///< fair share in requests, by team
};

} // namespace bronzestand::bench

#endif
