#ifndef BRONZESTAND_MESH_LINK_WATCH_H
#define BRONZESTAND_MESH_LINK_WATCH_H

#include <unordered_map>

#include "mesh/entry.h"
#include "node/part.h"
#include "node/peer_links.h"

namespace bronzestand::node {

/// Finds links that went silent while calls wait on them. Only such links are probed, so that a
/// node at rest sends nothing (design section 5).
class LinkWatch final : public Part {
public:
  LinkWatch(PeerLinks &Links, Entry &Calls, EventLog &Events);

  std::string_view name() const override { return "link_watch"; }
  absl::Status start() override;
  void stop() override {}
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override { return {{"probes", Probes_}, {"silent", Silent_}}; }

private:
  struct State {
    TimePoint Heard_{};
    TimePoint Probed_{}; ///< first probe since the host was heard
    TimePoint LastProbe_{};
    TimePoint Reopened_{};
  };

  PeerLinks &Links_;
  Entry &Calls_;
  EventLog &Events_;
  std::unordered_map<HostId, State> Hosts_;
  std::uint64_t Probes_ = 0;
  std::uint64_t Silent_ = 0;
};

} // namespace bronzestand::node

#endif
