#include "mesh/link_watch.h"

#include <algorithm>

#include "node/clock.h"

namespace bronzestand::node {
namespace {

/// A link on which a call waits is probed after it was silent for this long, and again at this
/// interval.
constexpr Duration ProbeAfter = std::chrono::milliseconds(500);
/// If nothing is received for this long after the first probe, the link is treated as silent. Long
/// enough for a lost packet to be retransmitted twice, each after some 200 ms.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(700);
/// Time allowed for a new link to open before another one replaces it.
constexpr Duration ReopenInterval = std::chrono::milliseconds(1500);

enum class Probe : unsigned { Request, Reply };

} // namespace

LinkWatch::LinkWatch(PeerLinks &Links, Entry &Calls, EventLog &Events)
    : Links_(Links), Calls_(Calls), Events_(Events) {}

absl::Status LinkWatch::start() {
  Links_.setHeard([this](const Peer &From) {
    LinkState &Link = Hosts_[From.Host_];
    Link.LastHeard_ = now();
    Link.FirstProbe_ = TimePoint();
    return true;
  });
  Links_.setHandler(MessageKind::Heartbeat, [this](const Peer &From, const nlohmann::json &Body) {
    if (Body.get<unsigned>() == static_cast<unsigned>(Probe::Request))
      Links_.send(From.Host_, MessageKind::Heartbeat, static_cast<unsigned>(Probe::Reply));
  });
  return absl::OkStatus();
}

void LinkWatch::tick(TimePoint Now) {
  for (const auto &[Host, Since] : Calls_.waitingHosts()) {
    LinkState &Link = Hosts_[Host];
    if (!Links_.isLinked(Host) || Now - std::max(Link.LastHeard_, Since) < ProbeAfter)
      continue;
    if (Link.FirstProbe_ == TimePoint() || Now - Link.LastProbe_ >= ProbeAfter) {
      Link.FirstProbe_ = Link.FirstProbe_ == TimePoint() ? Now : Link.FirstProbe_;
      Link.LastProbe_ = Now;
      ++Probes_;
      Links_.send(Host, MessageKind::Heartbeat, static_cast<unsigned>(Probe::Request));
      continue;
    }
    if (Now - Link.FirstProbe_ < ProbeTimeout || Now - Link.ReopenedAt_ < ReopenInterval)
      continue;
    Link.ReopenedAt_ = Now;
    ++Silent_;
    Events_.write(
        Now, EventClass::Belief, "link_watch", "link_silent",
        {{"peer", Host.str()}, {"silent_us", (Now - std::max(Link.LastHeard_, Since)).count()}});
    Calls_.hostDown(Host);
    Links_.open(Host);
  }
}

} // namespace bronzestand::node
