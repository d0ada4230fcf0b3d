#ifndef BRONZESTAND_MESH_MESH_METRICS_H
#define BRONZESTAND_MESH_MESH_METRICS_H

#include <map>
#include <string>

#include "bronzestand/call.h"
#include "node/part.h"
#include "node/time_histogram.h"

namespace bronzestand::node {

/// Counters and times of the requests that callers sent to this node.
class MeshMetrics final : public Part {
public:
  /// A request ended that was admitted.
  void ended(const std::string &Route, const Answer &Result, Duration Time);
  /// A request was refused before it was sent anywhere.
  void refused(Refusal Reason);
  void retried() { ++Retries_; }
  /// Prometheus text.
  std::string text() const;

  std::string_view name() const override { return "metrics"; }
  absl::Status start() override { return absl::OkStatus(); }
  void stop() override {}
  nlohmann::json dump() const override;

private:
  std::map<std::string, std::uint64_t> Outcomes_; ///< by name of the outcome or refusal
  std::map<std::string, TimeHistogram> Served_;   ///< times of whole answers, by route
  /// Requests for which no allowed server existed, by route.
  std::map<std::string, std::uint64_t> NoAllowedServer_;
  std::uint64_t Retries_ = 0;
};

} // namespace bronzestand::node

#endif
