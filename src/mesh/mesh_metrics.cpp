#include "mesh/mesh_metrics.h"

#include <fmt/format.h>

namespace bronzestand::node {
namespace {

/// Routes with a histogram of their own; the rest share one, so that the page stays bounded.
constexpr std::size_t MaxRoutes = 64;

} // namespace

void MeshMetrics::ended(const std::string &Route, const Answer &Result, Duration Time) {
  if (Result.Outcome_ != Outcome::Served) {
    refused(Result.Refusal_);
    return;
  }
  ++Outcomes_[Result.HttpStatus_ < 500 ? "served" : "backend_error"];
  const bool Own = Served_.count(Route) != 0 || Served_.size() < MaxRoutes;
  Served_[Own ? Route : "other"].add(Time);
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
  return {{"outcomes", Outcomes_}, {"retries", Retries_}, {"seconds_by_route", std::move(Times)}};
}

} // namespace bronzestand::node
