#include "ctl/node_summary.h"

#include <algorithm>

#include <boost/algorithm/string/trim.hpp>
#include <fmt/format.h>

namespace bronzestand::ctl {
namespace {

using nlohmann::json;

void countRequests(const json &Requests, NodeSummary &Summary) {
  std::map<std::string, std::uint64_t> ServedByTeam;
  for (const json &Row : Requests) {
    if (Row.value("origin", "") != "caller")
      continue;
    const auto Count = Row.value("count", std::uint64_t{0});
    if (Row.value("outcome", "") == "served") {
      Summary.Served_ += Count;
      ServedByTeam[Row.value("team", "")] += Count;
      continue;
    }
    Summary.Refused_ += Count;
    if (Row.value("refusal", "") == "overloaded")
      Summary.Shed_[Row.value("class", "")] += Count;
  }
  for (const auto &[Team, Count] : ServedByTeam)
    Summary.ShareByTeam_[Team] = static_cast<double>(Count) / static_cast<double>(Summary.Served_);
}

} // namespace

NodeSummary readSummary(const std::string &Node) {
  NodeSummary Summary;
  Summary.Node_ = Node;
  Summary.State_ = "unreadable";
  const NodePage Page = readPage(Node, "/state");
  Summary.Code_ = Page.Code_;
  Summary.Error_ = Page.Error_;
  if (Page.Code_ != ExitCode::Ok)
    return Summary;
  try {
    const json &State = Page.Json_;
    Summary.Host_ = State.at("host").get<std::string>();
    Summary.Version_ = State.at("config").at("revision").get<std::uint64_t>();
    Summary.InFlight_ = State.at("executor").at("running").get<std::uint64_t>();
    countRequests(State.at("metrics").at("requests"), Summary);
    Summary.State_ = State.at("draining").get<bool>() ? "leaving"
                     : Summary.Version_ == 0          ? "not-ready"
                                                      : "live";
  } catch (const json::exception &) {
    Summary.Code_ = ExitCode::Unreadable;
    Summary.Error_ = fmt::format("{}: unexpected state dump", Node);
  }
  return Summary;
}

std::vector<NodeSummary> readSummaries(const std::vector<std::string> &Nodes) {
  std::vector<NodeSummary> Result;
  Result.reserve(Nodes.size());
  for (const std::string &Node : Nodes)
    Result.push_back(readSummary(Node));
  return Result;
}

ExitCode worstCode(const std::vector<NodeSummary> &Summaries) {
  const auto Failed = std::find_if(Summaries.begin(), Summaries.end(), [](const NodeSummary &Item) {
    return Item.Code_ != ExitCode::Ok;
  });
  return Failed == Summaries.end() ? ExitCode::Ok : Failed->Code_;
}

json toJson(const NodeSummary &Summary) {
  json Result{{"node", Summary.Node_}, {"state", Summary.State_}};
  if (Summary.Code_ != ExitCode::Ok) {
    Result["error"] = Summary.Error_;
    return Result;
  }
  Result["host"] = Summary.Host_;
  Result["version"] = Summary.Version_;
  Result["in_flight"] = Summary.InFlight_;
  Result["served"] = Summary.Served_;
  Result["refused"] = Summary.Refused_;
  Result["shed"] = Summary.Shed_;
  Result["share_by_team"] = Summary.ShareByTeam_;
  return Result;
}

std::string formatTable(const std::vector<std::vector<std::string>> &Rows) {
  std::vector<std::size_t> Widths;
  for (const auto &Row : Rows)
    for (std::size_t Index = 0; Index < Row.size(); ++Index) {
      Widths.resize(std::max(Widths.size(), Row.size()));
      Widths[Index] = std::max(Widths[Index], Row[Index].size());
    }
  std::string Text;
  for (const auto &Row : Rows) {
    std::string Line;
    for (std::size_t Index = 0; Index < Row.size(); ++Index)
      Line += fmt::format("{:<{}}  ", Row[Index], Widths[Index]);
    Text += boost::trim_right_copy(Line) + "\n";
  }
  return Text;
}

std::string describeShed(const NodeSummary &Summary) {
  std::string Text;
  for (const auto &[Class, Count] : Summary.Shed_)
    Text += fmt::format("{}{}:{}", Text.empty() ? "" : " ", Class, Count);
  return Text.empty() ? "-" : Text;
}

std::string describeShares(const NodeSummary &Summary) {
  std::string Text;
  for (const auto &[Team, Share] : Summary.ShareByTeam_)
    Text += fmt::format("{}{}:{:.0f}%", Text.empty() ? "" : " ", Team, Share * 100.0);
  return Text.empty() ? "-" : Text;
}

} // namespace bronzestand::ctl
