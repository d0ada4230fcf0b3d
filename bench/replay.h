#ifndef BRONZESTAND_BENCH_REPLAY_H
#define BRONZESTAND_BENCH_REPLAY_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet.h"
#include "trace.h"

namespace bronzestand::bench {

/// What became of the requests of a class or a team.
struct Tally {
  std::uint64_t Requests_ = 0;
  std::uint64_t Served_ = 0;  ///< answered in whole within the deadline of the try
  std::uint64_t Unknown_ = 0; ///< the last try had an unknown outcome
  std::uint64_t Tries_ = 0;
  std::map<std::string, std::uint64_t> Refusals_; ///< tries by refusal name

  double servedShare() const {
    return Requests_ == 0 ? 1.0 : static_cast<double>(Served_) / static_cast<double>(Requests_);
  }
};

struct ReplayResult {
  static constexpr std::chrono::milliseconds Bin{250};

  std::map<std::string, Tally> ByClass_;
  std::map<std::string, Tally> ByTeam_;
  std::vector<std::uint64_t> SentByBin_;   ///< requests by the time of their first try
  std::vector<std::uint64_t> ServedByBin_; ///< requests by the time of their answer
  std::map<std::string, std::vector<std::uint64_t>> ServedByClassAndBin_;

  /// Requests served a second between two times of the trace.
  double goodput(std::chrono::milliseconds From, std::chrono::milliseconds To) const;
  /// Time from a moment until goodput over one second stays at a share of a reference rate.
  std::chrono::milliseconds recoveryTime(std::chrono::milliseconds From, double Reference,
                                         double Share) const;
};

/// One of the reference deployments, scaled down: one host of each service in each data centre.
struct Deployment {
  std::string Name_;
  std::string Documents_; ///< file under examples/
  std::vector<test::HostOptions> Hosts_;
  TraceShape Shape_;
};

Deployment wijesinghe();
Deployment imbaraga();

/// Starts a deployment and waits until its documents are in force.
std::unique_ptr<test::Fleet> startDeployment(const Deployment &Scaled, const std::string &Disabled);

/// Sends the requests of a trace at their times, whatever the answers do, each to the next node.
/// A caller sends a request again 50 ms after a failure, with the same idempotency key.
/// \param During called once at a time of the trace, for example to slow a backend server.
ReplayResult replay(test::Fleet &Hosts, const std::vector<TraceRequest> &Trace,
                    const std::map<std::chrono::milliseconds, std::function<void()>> &During = {});

/// Formats the outcomes by class and by team.
std::string formatTable(const ReplayResult &Result);

} // namespace bronzestand::bench

#endif
