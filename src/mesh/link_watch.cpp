#include "mesh/link_watch.h"

#include <algorithm>

#include "node/clock.h"

namespace bronzestand::node {
namespace {

/// A link on which a call waits is probed after this silence, and again in this interval.
constexpr Duration ProbeAfter = std::chrono::milliseconds(500);
/// A probe that is not answered in this time shows a silent link. It covers a lost packet that is
/// sent again after some 200 ms, twice.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(700);
/// A link that replaces a silent one gets this long to open.
constexpr Duration ReopenInterval = std::chrono::milliseconds(1500);

enum class Probe : unsigned { Question, Reply };

} // namespace

LinkWatch::LinkWatch(PeerLinks &Links, Entry &Calls, EventLog &Events)
    : Links_(Links), Calls_(Calls), Events_(Events) {}

absl::Status LinkWatch::start() {
  Links_.setHeard([this](const Peer &From) {
    State &Item = Hosts_[From.Host_];
    Item.Heard_ = now();
    Item.Probed_ = TimePoint();
    return true;
  });
  Links_.setHandler(MessageKind::Heartbeat, [this](const Peer &From, const nlohmann::json &Body) {
    if (Body.get<unsigned>() == static_cast<unsigned>(Probe::Question))
      Links_.send(From.Host_, MessageKind::Heartbeat, static_cast<unsigned>(Probe::Reply));
  });
  return absl::OkStatus();
}

void LinkWatch::tick(TimePoint Now) {
  for (const auto &[Host, Since] : Calls_.waitingHosts()) {
    State &Item = Hosts_[Host];
    if (!Links_.isLinked(Host) || Now - std::max(Item.Heard_, Since) < ProbeAfter)
      continue;
    if (Item.Probed_ == TimePoint() || Now - Item.LastProbe_ >= ProbeAfter) {
      Item.Probed_ = Item.Probed_ == TimePoint() ? Now : Item.Probed_;
      Item.LastProbe_ = Now;
      ++Probes_;
      Links_.send(Host, MessageKind::Heartbeat, static_cast<unsigned>(Probe::Question));
      continue;
    }
    if (Now - Item.Probed_ < ProbeTimeout || Now - Item.Reopened_ < ReopenInterval)
      continue;
    Item.Reopened_ = Now;
    ++Silent_;
    Events_.write(
        Now, EventClass::Belief, "link_watch", "link_silent",
        {{"peer", Host.str()}, {"silent_us", (Now - std::max(Item.Heard_, Since)).count()}});
    Calls_.hostDown(Host);
    Links_.open(Host);
  }
}

} // namespace bronzestand::node
