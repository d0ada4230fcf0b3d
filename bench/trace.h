#ifndef BRONZESTAND_BENCH_TRACE_H
#define BRONZESTAND_BENCH_TRACE_H

#include <chrono>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

namespace bronzestand::bench {

/// One request of a caller in a recorded trace.
struct TraceRequest {
  std::chrono::milliseconds Time_{}; ///< from the start of the trace
  std::string Team_;
  std::string Class_;
  std::string Method_;
  std::string Target_;
  std::chrono::milliseconds Deadline_{};
  unsigned Retries_ = 0; ///< how often the caller sends it again after a failure
};

/// Reads a trace: one JSON object per line, in the order of time.
absl::StatusOr<std::vector<TraceRequest>> readTrace(const std::string &File);

/// Writes a trace in the form that readTrace reads.
void writeTrace(const std::string &File, const std::vector<TraceRequest> &Requests);

/// A kind of request within a generated trace.
struct TraceKind {
  std::string Class_;
  std::string Method_;
  std::string Target_;
  std::chrono::milliseconds Deadline_{};
  double Share_ = 0.0; ///< of all requests; the shares add up to 1
};

struct TraceTeam {
  std::string Team_;
  double Rate_ = 0.0; ///< requests a second outside the surge
};

/// The shape of a generated trace: steady load, a surge, steady load again.
struct TraceShape {
  std::vector<TraceKind> Kinds_;
  std::vector<TraceTeam> Teams_;
  std::chrono::milliseconds Length_{12'000};
  std::chrono::milliseconds SurgeStart_{4'000};
  std::chrono::milliseconds SurgeEnd_{8'000};
  double SurgeFactor_ = 1.0; ///< for all teams
  std::string GreedyTeam_;   ///< a team with a factor of its own during the surge
  double GreedyFactor_ = 1.0;
  unsigned Retries_ = 3;
};

/// Generates a trace with exponential gaps; equal seeds give equal traces.
std::vector<TraceRequest> generateTrace(const TraceShape &Shape, unsigned Seed);

/// The trace shapes of the two reference deployments, scaled to the hosts of deploymentHosts().
TraceShape wijesingheShape();
TraceShape imbaragaShape();

} // namespace bronzestand::bench

#endif
