#ifndef BRONZESTAND_MESH_TEAM_SHARE_PART_H
#define BRONZESTAND_MESH_TEAM_SHARE_PART_H

#include "bronzestand/team_shares.h"
#include "mesh/fleet_state.h"
#include "node/part.h"
#include "node/peer_links.h"

namespace bronzestand::node {

/// Binds TeamShares to the links between nodes.
class TeamSharePart final : public Part {
public:
  TeamSharePart(const Settings &Config, FleetState &Fleet, PeerLinks &Links);

  bool admit(TimePoint Now, const TeamId &Team) { return Shares_.admit(Now, Team); }
  Duration retryAfter(TimePoint Now, const TeamId &Team) const {
    return Shares_.retryAfter(Now, Team);
  }

  std::string_view name() const override { return "team_shares"; }
  absl::Status start() override;
  void stop() override {}
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override { return {{"reports", Reports_}, {"grants", Grants_}}; }

private:
  void configChanged();
  void onMessage(const Peer &From, const nlohmann::json &Body);

  HostId Self_;
  FleetState &Fleet_;
  PeerLinks &Links_;
  TeamShares Shares_;
  std::uint64_t Reports_ = 0;
  std::uint64_t Grants_ = 0;
};

} // namespace bronzestand::node

#endif
