#include "node/link_limits.h"

#include <algorithm>

#include <fmt/format.h>
#include <sys/resource.h>

namespace bronzestand::node {
namespace {

/// Descriptors of a node on a small host, and those of them that are left to links when callers
/// (2,500), the backend server (1,024), the listeners of the operator and of metrics (128) and the
/// store, files and timers (38) have theirs.
constexpr std::size_t UsualDescriptors = 4100;
constexpr std::size_t UsualLinks = 410;
/// Links have this part of the descriptors where a process may open few.
constexpr std::size_t FewDescriptorsDivisor = 4;
/// A link takes about 30 KB, so more would take memory that is not counted.
constexpr std::size_t MostLinks = 16'384;

constexpr std::array<std::string_view, LinkMeasureCount> MeasureNames{
    "closed_largest",   "closed_queue",      "closed_unused", "closed_unproved", "closed_oversized",
    "closed_malformed", "failed_handshakes", "refused_links", "protocol_errors"};

} // namespace

std::string_view linkMeasureName(LinkMeasure Measure) {
  return MeasureNames[static_cast<std::size_t>(Measure)];
}

void LinkMeasures::dump(nlohmann::json &Result) const {
  for (std::size_t Index = 0; Index < LinkMeasureCount; ++Index)
    Result[std::string(MeasureNames[Index])] = Counts_[Index];
}

void LinkMeasures::print(std::string &Out) const {
  Out += "# HELP bronzestand_link_measures_total Links refused or closed by reason\n"
         "# TYPE bronzestand_link_measures_total counter\n";
  for (std::size_t Index = 0; Index < LinkMeasureCount; ++Index)
    Out += fmt::format("bronzestand_link_measures_total{{measure=\"{}\"}} {}\n",
                       MeasureNames[Index], Counts_[Index]);
}

std::size_t maxLinksOf(std::size_t Descriptors) {
  if (Descriptors <= UsualDescriptors)
    return std::min(UsualLinks, Descriptors / FewDescriptorsDivisor);
  return std::min(MostLinks, UsualLinks + (Descriptors - UsualDescriptors));
}

std::size_t descriptorLimit() {
  rlimit Limit{};
  if (::getrlimit(RLIMIT_NOFILE, &Limit) != 0 || Limit.rlim_cur == RLIM_INFINITY)
    return UsualDescriptors + MostLinks;
  return Limit.rlim_cur;
}

std::size_t UnprovedConnections::size() {
  prune();
  return Items_.size();
}

ConnectionHandle UnprovedConnections::takeFirst() {
  const auto First =
      std::min_element(Items_.begin(), Items_.end(),
                       [](const auto &A, const auto &B) { return A.second < B.second; });
  if (First == Items_.end())
    return {};
  ConnectionHandle Result = First->first;
  Items_.erase(First);
  return Result;
}

void UnprovedConnections::prune() {
  for (auto Item = Items_.begin(); Item != Items_.end();)
    Item = Item->first.expired() ? Items_.erase(Item) : std::next(Item);
}

} // namespace bronzestand::node
