#ifndef BRONZESTAND_NODE_LEAVING_PART_H
#define BRONZESTAND_NODE_LEAVING_PART_H

#include <functional>
#include <map>

#include "node/log.h"
#include "node/part.h"
#include "node/peer_links.h"

namespace bronzestand::node {

/// Announces the shutdown of this node to linked nodes and remembers theirs (design section 10).
/// A notice holds for the incarnation that sent it.
class LeavingPart final : public Part {
public:
  explicit LeavingPart(PeerLinks &Links) : Links_(Links), Log_(makeLogger("leaving")) {}

  /// Tells all linked nodes, and those that open a link later, to send no new work.
  void announce();
  bool isLeaving(const HostId &Host) const { return Leaving_.count(Host) != 0; }
  using NoticeCallback = std::function<void(const HostId &Host, Incarnation Run)>;
  /// Told of each node that announces its shutdown.
  void setNoticeCallback(NoticeCallback Callback) { OnNotice_ = std::move(Callback); }

  std::string_view name() const override { return "leaving"; }
  absl::Status start() override;
  void stop() override {}
  nlohmann::json dump() const override;

private:
  void onNotice(const HostId &Host);
  void onLinkUp(const Peer &Other);

  PeerLinks &Links_;
  Logger Log_;
  NoticeCallback OnNotice_;
  std::map<LinkId, Peer> Linked_;
  std::map<HostId, Incarnation> Newest_;  ///< of linked hosts and of those that leave
  std::map<HostId, Incarnation> Leaving_; ///< incarnation that leaves
  bool Announced_ = false;
};

} // namespace bronzestand::node

#endif
