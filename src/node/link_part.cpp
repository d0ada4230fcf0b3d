#include "node/link_part.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <boost/algorithm/string/predicate.hpp>

#include "node/clock.h"
#include "node/codec_call.h"

namespace bronzestand::node {
namespace {

/// Returns the size of a call's frame in bytes, with the epoch at its largest encoding.
std::size_t frameSizeOf(const Call &Request) {
  constexpr auto LargestEpoch = std::numeric_limits<std::uint64_t>::max();
  return encode({MessageKind::Call, LargestEpoch, Request, HostId(), 0}).size();
}

} // namespace

LinkPart::LinkPart(const Settings &Config, ConfigPart &Documents, PeerLinks &Links)
    : Config_(Config), Documents_(Documents), Links_(Links) {
  Documents_.addChangeCallback([this](const std::string &Path) {
    Changed_ = Changed_ || Path == "fleet" || boost::starts_with(Path, "hosts/") ||
               boost::starts_with(Path, "classes/");
  });
}

absl::Status LinkPart::start() {
  Links_.setSentCounter([this](const HostId &To, MessageKind Kind, std::size_t Bytes) {
    // Calls were deducted by mayCall.
    if (Kind != MessageKind::Call && crosses(To))
      Budget_.send(now(), Kind == MessageKind::Answer ? LinkTraffic::Answer : LinkTraffic::Control,
                   Bytes);
  });
  return absl::OkStatus();
}

bool LinkPart::crosses(const HostId &To) const {
  const HostSpec *Host = Documents_.catalogue().findHost(To);
  return Host != nullptr && Documents_.catalogue().regionOf(Host->DataCentre_) != Config_.Region_;
}

bool LinkPart::mayCall(const HostId &To, const Call &Request) {
  if (!crosses(To))
    return true;
  refresh();
  if (Config_.isEnabled(Mechanism::LinkBudget))
    return Budget_.trySend(now(), Request.Standing_.ClassRank_, frameSizeOf(Request));
  Budget_.send(now(), LinkTraffic::Call, frameSizeOf(Request));
  return true;
}

void LinkPart::tick(TimePoint /*Now*/) { refresh(); }

// Called from tick and mayCall instead of for each change, because many documents change at once
// when a node starts.
void LinkPart::refresh() {
  if (!std::exchange(Changed_, false))
    return;
  const Catalogue &Documents = Documents_.catalogue();
  std::size_t Live = 0;
  for (const auto &[Name, List] : Documents.hostLists())
    if (Documents.regionOf(List.DataCentre_) == Config_.Region_)
      Live += static_cast<std::size_t>(
          std::count_if(List.Hosts_.begin(), List.Hosts_.end(),
                        [](const HostSpec &Host) { return !Host.Leaving_; }));
  Budget_.setShare(now(), Documents.fleet().CrossRegionMbit_, Live);
  if (Documents.classes().empty())
    return;
  std::uint8_t Lowest = 255;
  std::uint8_t Highest = 0;
  for (const auto &[Name, Spec] : Documents.classes()) {
    Lowest = std::min(Lowest, Documents.rankOf(Name));
    Highest = std::max(Highest, Documents.rankOf(Name));
  }
  Budget_.setRanks(Lowest, Highest);
}

nlohmann::json LinkPart::dump() const {
  nlohmann::json Result{{"bytes_per_second", Budget_.bytesPerSecond()},
                        {"tokens", Budget_.tokens()}};
  for (const LinkTraffic Kind : {LinkTraffic::Call, LinkTraffic::Answer, LinkTraffic::Control}) {
    const LinkCounter &Counter = Budget_.counter(Kind);
    Result["sent"][std::string(linkTrafficName(Kind))] = {
        {"bytes", Counter.Bytes_},
        {"messages", Counter.Messages_},
        {"refused_bytes", Counter.RefusedBytes_},
        {"refused_messages", Counter.RefusedMessages_}};
  }
  return Result;
}

} // namespace bronzestand::node
