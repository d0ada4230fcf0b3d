#include "bronzestand/refusal.h"

#include <array>

namespace bronzestand {
namespace {

constexpr std::array<std::string_view, 3> OutcomeNames{"served", "not-run", "unknown"};

// In the order of the enumerators.
constexpr std::array<RefusalInfo, 29> RefusalTable{{
    {"bad_request", 400, Outcome::NotRun, false},
    {"key_missing", 401, Outcome::NotRun, false},
    {"key_unknown", 401, Outcome::NotRun, false},
    {"key_ambiguous", 400, Outcome::NotRun, false},
    {"route_unknown", 404, Outcome::NotRun, false},
    {"call_context_missing", 400, Outcome::NotRun, false},
    {"idempotency_key_missing", 400, Outcome::NotRun, false},
    {"idempotency_key_reused", 409, Outcome::NotRun, false},
    {"header_too_large", 431, Outcome::NotRun, false},
    {"body_too_large", 413, Outcome::NotRun, false},
    {"over_team_limit", 429, Outcome::NotRun, true},
    {"overloaded", 503, Outcome::NotRun, true},
    {"deadline_too_short", 503, Outcome::NotRun, true},
    {"no_backend_server", 503, Outcome::NotRun, true},
    {"attempts_exhausted", 503, Outcome::NotRun, false},
    {"quarantined", 503, Outcome::NotRun, false},
    {"claim_unavailable", 503, Outcome::NotRun, true},
    {"not_ready", 503, Outcome::NotRun, true},
    {"shutting_down", 503, Outcome::NotRun, true},
    {"cancelled", 499, Outcome::NotRun, false},
    {"connection_lost", 502, Outcome::Unknown, false},
    {"timed_out", 504, Outcome::Unknown, false},
    {"outcome_unknown", 409, Outcome::Unknown, false},
    {"backend_rejected", 503, Outcome::NotRun, true},
    {"wrong_backend_server", 503, Outcome::NotRun, true},
    {"stale_configuration", 503, Outcome::NotRun, true},
    {"no_allowed_server", 503, Outcome::NotRun, true},
    {"region_not_allowed", 503, Outcome::NotRun, true},
    {"data_centre_evacuated", 503, Outcome::NotRun, true},
}};
static_assert(static_cast<std::size_t>(Refusal::Evacuated) + 1 == RefusalTable.size());

} // namespace

std::string_view outcomeName(Outcome Value) {
  return OutcomeNames[static_cast<std::size_t>(Value)];
}

const RefusalInfo &refusalInfo(Refusal Value) {
  return RefusalTable[static_cast<std::size_t>(Value)];
}

std::optional<Refusal> refusalByName(std::string_view Name) {
  for (std::size_t Index = 0; Index < RefusalTable.size(); ++Index)
    if (RefusalTable[Index].Name_ == Name)
      return static_cast<Refusal>(Index);
  return std::nullopt;
}

} // namespace bronzestand
