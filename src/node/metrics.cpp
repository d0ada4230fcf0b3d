#include "node/metrics.h"

#include <algorithm>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/replace.hpp>
#include <fmt/format.h>

namespace bronzestand::node {
namespace {

using nlohmann::json;

const std::string Other = "other";
const std::string None = "none";

std::string escaped(std::string Text) {
  boost::replace_all(Text, "\\", "\\\\");
  boost::replace_all(Text, "\"", "\\\"");
  boost::replace_all(Text, "\n", "\\n");
  return Text;
}

void printHeader(std::string &Out, std::string_view Name, std::string_view Type,
                 std::string_view Help) {
  Out += fmt::format("# HELP {} {}\n# TYPE {} {}\n", Name, Help, Name, Type);
}

} // namespace

Metrics::Metrics(ConfigPart &Documents) : Documents_(Documents) {
  Documents_.addChangeCallback([this](const std::string &Path) {
    if (boost::starts_with(Path, "teams/") || boost::starts_with(Path, "classes/"))
      dropRemovedNames();
  });
}

std::string Metrics::classLabel(const std::string &Name) const {
  if (Name.empty() || Name == None)
    return None;
  return Documents_.catalogue().findClass(ClassId(Name)) == nullptr ? Other : Name;
}

std::string Metrics::teamLabel(const std::string &Name) const {
  if (Name.empty() || Name == None)
    return None;
  return Documents_.catalogue().findTeam(TeamId(Name)) == nullptr ? Other : Name;
}

// Without this, the number of labels would grow with every team and class that ever existed.
void Metrics::dropRemovedNames() {
  const auto Counts = std::exchange(Requests_, {});
  for (const auto &[Row, Count] : Counts)
    Requests_[{Row.Child_, classLabel(Row.Class_), teamLabel(Row.Team_), Row.Outcome_,
               Row.Refusal_}] += Count;
  for (auto Item = RequestTimesByClass_.begin(); Item != RequestTimesByClass_.end();)
    Item = classLabel(Item->first) == Item->first || Item->first == Other
               ? std::next(Item)
               : RequestTimesByClass_.erase(Item);
}

void Metrics::ended(const RequestRecord &Record) {
  const std::string Class = classLabel(Record.Class_.str());
  const std::string_view Reason = Record.Refusal_ ? refusalInfo(*Record.Refusal_).Name_ : "";
  ++Requests_[{Record.Child_, Class, teamLabel(Record.Team_.str()), outcomeName(Record.Outcome_),
               Reason}];
  if (!Record.Child_)
    RequestTimesByClass_[Class].add(Record.Whole_);
  if (!Record.Tries_.empty())
    AddedAtEntry_.add(Record.added());
}

void Metrics::executed(Duration Added, Duration Queued) {
  AddedAtExecutor_.add(Added);
  QueueTimes_.add(Queued);
}

std::string Metrics::prometheusText() const {
  std::string Out;
  printHeader(Out, "bronzestand_requests_total", "counter", "Requests that ended at this node.");
  for (const auto &[Row, Count] : Requests_)
    Out += fmt::format("bronzestand_requests_total{{origin=\"{}\",class=\"{}\",team=\"{}\","
                       "outcome=\"{}\",refusal=\"{}\"}} {}\n",
                       Row.Child_ ? "service" : "caller", escaped(Row.Class_), escaped(Row.Team_),
                       Row.Outcome_, Row.Refusal_, Count);
  printHeader(Out, "bronzestand_request_seconds", "histogram",
              "Time of whole requests of callers.");
  for (const auto &[Class, Times] : RequestTimesByClass_)
    Times.print(Out, "bronzestand_request_seconds", fmt::format("class=\"{}\",", escaped(Class)));
  printHeader(Out, "bronzestand_added_seconds", "histogram",
              "Time in this node besides waiting for a backend server or its node.");
  AddedAtEntry_.print(Out, "bronzestand_added_seconds", "role=\"entry\",");
  AddedAtExecutor_.print(Out, "bronzestand_added_seconds", "role=\"executor\",");
  printHeader(Out, "bronzestand_queue_seconds", "histogram",
              "Time from the arrival of a call to its dispatch to the backend server.");
  QueueTimes_.print(Out, "bronzestand_queue_seconds", "");
  return Out;
}

json Metrics::dump() const {
  json Requests = json::array();
  for (const auto &[Row, Count] : Requests_)
    Requests.push_back({{"origin", Row.Child_ ? "service" : "caller"},
                        {"class", Row.Class_},
                        {"team", Row.Team_},
                        {"outcome", std::string(Row.Outcome_)},
                        {"refusal", std::string(Row.Refusal_)},
                        {"count", Count}});
  json Whole = json::object();
  for (const auto &[Class, Times] : RequestTimesByClass_)
    Whole[Class] = Times.dump();
  return {{"requests", std::move(Requests)},
          {"request_seconds", std::move(Whole)},
          {"added_at_entry", AddedAtEntry_.dump()},
          {"added_at_executor", AddedAtExecutor_.dump()},
          {"queue", QueueTimes_.dump()}};
}

} // namespace bronzestand::node
