#include <ostream>

#include "ctl/node_summary.h"

namespace bronzestand::ctl {

const char *const StatusUsage = R"(Usage: bronzestandctl status [--json] NODE...

Shows nodes as a table: version of the configuration in force, state of the host, calls in flight
on its backend server, requests shed by class and the share of each team in the served requests.
NODE is the operator address of a node, for example 127.0.0.1:7004.

Options:
  --json  Print the result as JSON.

Exit codes: 0 ok, 2 wrong usage, 3 a node cannot be read.
)";

ExitCode runStatus(const Arguments &Given, CommandIo &Io) {
  const auto Summaries = readSummaries(Given.at("NODE").asStringList());
  if (Given.at("--json").asBool()) {
    nlohmann::json Result = nlohmann::json::array();
    for (const NodeSummary &Item : Summaries)
      Result.push_back(toJson(Item));
    Io.Out_ << Result.dump(2) << '\n';
    return worstCode(Summaries);
  }
  std::vector<std::vector<std::string>> Rows{
      {"NODE", "HOST", "STATE", "VERSION", "IN FLIGHT", "SHED", "SHARE"}};
  for (const NodeSummary &Item : Summaries) {
    if (Item.Code_ != ExitCode::Ok) {
      Rows.push_back({Item.Node_, "-", Item.State_});
      Io.Err_ << Item.Error_ << '\n';
      continue;
    }
    Rows.push_back({Item.Node_, Item.Host_, Item.State_, std::to_string(Item.Version_),
                    std::to_string(Item.InFlight_), describeShed(Item), describeShares(Item)});
  }
  Io.Out_ << formatTable(Rows);
  return worstCode(Summaries);
}

} // namespace bronzestand::ctl
