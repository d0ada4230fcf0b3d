#include "mesh/mesh_metrics.h"

#include <fmt/format.h>

namespace bronzestand::node {
namespace {

/// Routes with a histogram or counter of their own; the rest share one, so that the page stays
/// bounded.
constexpr std::size_t MaxRoutes = 64;

/// Returns the name under which a table counts a route.
template <typename Table> std::string labelOf(const Table &Counts, const std::string &Route) {
  return Counts.count(Route) != 0 || Counts.size() < MaxRoutes ? Route : "other";
}

} // namespace

void MeshMetrics::ended(const std::string &Route, const Answer &Result, Duration Time) {
  if (Result.Outcome_ != Outcome::Served) {
    refused(Result.Refusal_);
    if (Result.Refusal_ == Refusal::NoAllowedServer)
      ++NoAllowedServer_[labelOf(NoAllowedServer_, Route)];
    return;
  }
  ++Outcomes_[Result.HttpStatus_ < 500 ? "served" : "backend_error"];
  Served_[labelOf(Served_, Route)].add(Time);
}

void MeshMetrics::refused(Refusal Reason) { ++Outcomes_[std::string(refusalInfo(Reason).Name_)]; }

std::string MeshMetrics::text() const {
  std::string Out = "# HELP bronzestand_requests_total Requests of callers by outcome\n"
                    "# TYPE bronzestand_requests_total counter\n";
  for (const auto &[Name, Count] : Outcomes_)
    Out += fmt::format("bronzestand_requests_total{{outcome=\"{}\"}} {}\n", Name, Count);
  Out += fmt::format("# HELP bronzestand_retries_total Tries beyond the first of a request\n"
                     "# TYPE bronzestand_retries_total counter\nbronzestand_retries_total {}\n",
                     Retries_);
  if (!NoAllowedServer_.empty())
    Out += "# HELP bronzestand_no_allowed_server_total Requests without a server in the allowed "
           "regions\n# TYPE bronzestand_no_allowed_server_total counter\n";
  for (const auto &[Route, Count] : NoAllowedServer_)
    Out += fmt::format("bronzestand_no_allowed_server_total{{route=\"{}\"}} {}\n", Route, Count);
  Out += "# HELP bronzestand_request_seconds Time to the whole answer\n"
         "# TYPE bronzestand_request_seconds histogram\n";
  for (const auto &[Route, Times] : Served_)
    Times.print(Out, "bronzestand_request_seconds", fmt::format("route=\"{}\",", Route));
  return Out;
}

nlohmann::json MeshMetrics::dump() const {
  nlohmann::json Times = nlohmann::json::object();
  for (const auto &[Route, Histogram] : Served_)
    Times[Route] = Histogram.dump();
  nlohmann::json Result{
      {"outcomes", Outcomes_}, {"retries", Retries_}, {"seconds_by_route", std::move(Times)}};
  if (!NoAllowedServer_.empty())
    Result["no_allowed_server_by_route"] = NoAllowedServer_;
  return Result;
}

} // namespace bronzestand::node
