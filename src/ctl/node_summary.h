#ifndef BRONZESTAND_CTL_NODE_SUMMARY_H
#define BRONZESTAND_CTL_NODE_SUMMARY_H

#include <map>
#include <string>
#include <vector>

#include "ctl/node_page.h"

namespace bronzestand::ctl {

/// What `status` and `top` show of one node. Counts are of callers' requests since its start.
struct NodeSummary {
  std::string Node_; ///< operator address
  ExitCode Code_ = ExitCode::Ok;
  std::string Error_;
  std::string Host_;
  std::string State_; ///< live, leaving, not-ready or unreadable
  std::uint64_t Version_ = 0;
  std::uint64_t InFlight_ = 0; ///< calls on the backend server
  std::uint64_t Served_ = 0;
  std::uint64_t Refused_ = 0;                 ///< all refusals and unknown outcomes
  std::map<std::string, std::uint64_t> Shed_; ///< refused as overloaded, by class
  std::map<std::string, double> ShareByTeam_; ///< of the served requests
};

NodeSummary readSummary(const std::string &Node);
std::vector<NodeSummary> readSummaries(const std::vector<std::string> &Nodes);
nlohmann::json toJson(const NodeSummary &Summary);
/// Ok if all nodes could be read, else the first node's failure.
ExitCode worstCode(const std::vector<NodeSummary> &Summaries);

/// Formats rows as columns of equal width.
std::string formatTable(const std::vector<std::vector<std::string>> &Rows);
std::string describeShed(const NodeSummary &Summary);
std::string describeShares(const NodeSummary &Summary);

} // namespace bronzestand::ctl

#endif
