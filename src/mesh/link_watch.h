#ifndef BRONZESTAND_MESH_LINK_WATCH_H
#define BRONZESTAND_MESH_LINK_WATCH_H

#include <unordered_map>

#include "mesh/entry.h"
#include "node/part.h"
#include "node/peer_links.h"

namespace bronzestand::node {

/// Detects links that are silent while calls wait for answers on them, and opens new ones. Only
/// links with waiting calls are probed, so that an idle node sends nothing. Design section 5.
class LinkWatch final : public Part {
public:
  LinkWatch(PeerLinks &Links, Entry &Calls, EventLog &Events);

  std::string_view name() const override { return "link_watch"; }
  absl::Status start() override;
  void stop() override {}
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override { return {{"probes", Probes_}, {"silent", Silent_}}; }

private:
  struct LinkState {
    TimePoint LastHeard_{};
    TimePoint FirstProbe_{}; ///< first probe since the last message from the host
    TimePoint LastProbe_{};
    TimePoint ReopenedAt_{};
  };

  PeerLinks &Links_;
  Entry &Calls_;
  EventLog &Events_;
  std::unordered_map<HostId, LinkState> Hosts_;
  std::uint64_t Probes_ = 0;
  std::uint64_t Silent_ = 0;
};

} // namespace bronzestand::node

#endif
