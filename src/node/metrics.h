#ifndef BRONZESTAND_NODE_METRICS_H
#define BRONZESTAND_NODE_METRICS_H

#include <map>
#include <string>
#include <string_view>
#include <tuple>

#include "node/config_part.h"
#include "node/part.h"
#include "node/recent_requests.h"
#include "node/time_histogram.h"

namespace bronzestand::node {

/// Counters and histograms of this node, for the state dump and as Prometheus text (design section
/// 12).
/// Labels are bounded: classes and teams that are not in the configuration are counted as "other",
/// and requests without a class or team as "none".
class Metrics final : public Part {
public:
  explicit Metrics(ConfigPart &Documents);

  /// Records a request that ended at its entry node, or a call of the local backend server.
  void ended(const RequestRecord &Record);
  /// Records a call that ended at the node beside the backend server that ran it.
  /// \param Added time in this node without the time of waiting for the backend server.
  /// \param Queued part of Added before the call was sent to the backend server.
  void executed(Duration Added, Duration Queued);

  std::string prometheusText() const;

  std::string_view name() const override { return "metrics"; }
  absl::Status start() override { return absl::OkStatus(); }
  void stop() override {}
  nlohmann::json dump() const override;

private:
  struct Labels {
    bool Child_ = false;
    std::string Class_;
    std::string Team_;
    std::string_view Outcome_;
    std::string_view Refusal_;

    friend bool operator<(const Labels &A, const Labels &B) {
      return std::tie(A.Child_, A.Class_, A.Team_, A.Outcome_, A.Refusal_) <
             std::tie(B.Child_, B.Class_, B.Team_, B.Outcome_, B.Refusal_);
    }
  };

  std::string classLabel(const std::string &Name) const;
  std::string teamLabel(const std::string &Name) const;
  void dropRemovedNames();

  ConfigPart &Documents_;
  std::map<Labels, std::uint64_t> Requests_;
  std::map<std::string, TimeHistogram> RequestTimesByClass_; ///< requests of callers only
  TimeHistogram AddedAtEntry_;
  TimeHistogram AddedAtExecutor_;
  TimeHistogram QueueTimes_;
};

} // namespace bronzestand::node

#endif
