#include "node/leaving_part.h"

#include <algorithm>
#include <set>

namespace bronzestand::node {

absl::Status LeavingPart::start() {
  Links_.setHandler(MessageKind::Leaving, [this](const Peer &From, const nlohmann::json &) {
    if (From.Incarnation_ >= Newest_[From.Host_])
      onNotice(From.Host_);
  });
  Links_.addLinkUp([this](const Peer &Other) { onLinkUp(Other); });
  Links_.addLinkDown([this](const HostId &Host, LinkId Link) {
    Linked_.erase(Link);
    const bool Linked = std::any_of(Linked_.begin(), Linked_.end(),
                                    [&](const auto &Item) { return Item.second.Host_ == Host; });
    if (!Linked && !isLeaving(Host))
      Newest_.erase(Host);
  });
  return absl::OkStatus();
}

void LeavingPart::onLinkUp(const Peer &Other) {
  Linked_[Other.Link_] = Other;
  Incarnation &Newest = Newest_[Other.Host_];
  Newest = std::max(Newest, Other.Incarnation_);
  const auto Notice = Leaving_.find(Other.Host_);
  if (Notice != Leaving_.end() && Other.Incarnation_ > Notice->second)
    Leaving_.erase(Notice);
  if (Announced_)
    Links_.send(Other.Host_, MessageKind::Leaving, nullptr);
}

void LeavingPart::onNotice(const HostId &Host) {
  const auto Newest = Newest_.find(Host);
  if (Newest == Newest_.end() || !Leaving_.emplace(Host, Newest->second).second)
    return;
  Log_->info("{} is leaving", Host.str());
  if (OnNotice_)
    OnNotice_(Host, Newest->second);
}

void LeavingPart::announce() {
  Announced_ = true;
  std::set<HostId> Hosts;
  for (const auto &[Link, Other] : Linked_)
    Hosts.insert(Other.Host_);
  for (const HostId &Host : Hosts)
    Links_.send(Host, MessageKind::Leaving, nullptr);
}

nlohmann::json LeavingPart::dump() const {
  nlohmann::json Hosts = nlohmann::json::object();
  for (const auto &[Host, Run] : Leaving_)
    Hosts[Host.str()] = Run;
  return {{"announced", Announced_}, {"leaving", Hosts}};
}

} // namespace bronzestand::node
