#include "node/http_message.h"

#include <algorithm>
#include <array>

#include <boost/algorithm/string/predicate.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bronzestand::node {
namespace {

constexpr std::array<std::string_view, 9> HopByHopNames{
    "connection", "keep-alive",        "proxy-connection", "te", "trailer", "upgrade",
    "expect",     "transfer-encoding", "content-length"};

/// Formats seconds. Whole seconds get no fraction, because not every client accepts one.
std::string retryAfterText(std::optional<Duration> Time) {
  const double Seconds = Time ? std::chrono::duration<double>(*Time).count() : 1.0;
  return fmt::format("{:.3g}", Seconds);
}

} // namespace

bool sameName(std::string_view A, std::string_view B) {
  return A.size() == B.size() && boost::iequals(A, B);
}

std::optional<std::string> findHeader(const std::vector<Header> &Headers, std::string_view Name) {
  for (const Header &Field : Headers)
    if (sameName(Field.Name_, Name))
      return Field.Value_;
  return std::nullopt;
}

bool isHopByHop(std::string_view Name) {
  return std::any_of(HopByHopNames.begin(), HopByHopNames.end(),
                     [&](std::string_view Known) { return sameName(Known, Name); });
}

std::string_view pathOf(std::string_view Target) { return Target.substr(0, Target.find('?')); }

HttpResponse refusalResponse(Refusal Reason, const RequestId &Request,
                             std::optional<Duration> RetryAfter) {
  const RefusalInfo &Info = refusalInfo(Reason);
  HttpResponse Response;
  Response.Status_ = Info.HttpStatus_;
  Response.Headers_ = {{"Content-Type", "application/json"},
                       {"Bronzestand-Outcome", std::string(outcomeName(Info.Outcome_))},
                       {"Bronzestand-Refusal", std::string(Info.Name_)}};
  if (Info.MayRetry_)
    Response.Headers_.push_back({"Retry-After", retryAfterText(RetryAfter)});
  if (!Request.empty())
    Response.Headers_.push_back({"Bronzestand-Request-Id", Request.str()});
  const nlohmann::json Body{{"outcome", outcomeName(Info.Outcome_)},
                            {"refusal", Info.Name_},
                            {"request_id", Request.str()}};
  // The value of a header may be no UTF-8.
  Response.Body_ = Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return Response;
}

} // namespace bronzestand::node
