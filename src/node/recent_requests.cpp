#include "node/recent_requests.h"

namespace bronzestand::node {
namespace {

using nlohmann::json;

/// Bounds the memory of the ring; paths are the only text that callers choose.
constexpr std::size_t MaxPath = 200;

json refusalName(const std::optional<Refusal> &Reason) {
  return Reason ? json(std::string(refusalInfo(*Reason).Name_)) : json();
}

json toJson(const TryRecord &Try) {
  return {{"host", Try.Host_.str()},
          {"outcome", std::string(outcomeName(Try.Outcome_))},
          {"refusal", refusalName(Try.Refusal_)},
          {"microseconds", Try.Time_.count()}};
}

} // namespace

Duration RequestRecord::added() const {
  Duration Result = Whole_;
  for (const TryRecord &Try : Tries_)
    Result -= Try.Time_;
  return std::max(Result, Duration::zero());
}

void RecentRequests::add(RequestRecord Record) {
  if (Record.Path_.size() > MaxPath)
    Record.Path_.resize(MaxPath);
  Records_.push_back(std::move(Record));
  if (Records_.size() > Capacity)
    Records_.pop_front();
}

json RecentRequests::find(const std::string &Request) const {
  json Result;
  for (const RequestRecord &Record : Records_) {
    if (Record.Request_.str() != Request)
      continue;
    json Tries = json::array();
    for (const TryRecord &Try : Record.Tries_)
      Tries.push_back(toJson(Try));
    const bool Refused = Record.Refusal_.has_value();
    const bool AtHost =
        Refused && !Record.Tries_.empty() && Record.Tries_.back().Refusal_ == Record.Refusal_;
    const HostId &Where = AtHost ? Record.Tries_.back().Host_ : Self_;
    Result.push_back({{"request_id", Request},
                      {"origin", Record.Child_ ? "service" : "caller"},
                      {"team", Record.Team_.str()},
                      {"class", Record.Class_.str()},
                      {"service", Record.Service_.str()},
                      {"method", Record.Method_},
                      {"path", Record.Path_},
                      {"outcome", std::string(outcomeName(Record.Outcome_))},
                      {"refusal", refusalName(Record.Refusal_)},
                      {"refused_at", Refused ? json(Where.str()) : json()},
                      {"attempts", Record.Allowance_ - std::min(Record.Unused_, Record.Allowance_)},
                      {"attempt_allowance", Record.Allowance_},
                      {"microseconds", Record.Whole_.count()},
                      {"tries", std::move(Tries)}});
  }
  return Result;
}

} // namespace bronzestand::node
