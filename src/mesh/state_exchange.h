#ifndef BRONZESTAND_MESH_STATE_EXCHANGE_H
#define BRONZESTAND_MESH_STATE_EXCHANGE_H

#include <random>

#include "mesh/codec_fleet_state.h"
#include "mesh/fleet_state.h"
#include "node/part.h"
#include "node/peer_links.h"

namespace bronzestand::node {

/// Gets from other nodes what this node cannot get from the platform. A node asks after its start,
/// while the platform does not answer it, and while another node knows more, so that a healthy
/// fleet sends nothing. Design section 4.
class StateExchange final : public Part {
public:
  StateExchange(const Settings &Config, FleetState &Fleet, PeerLinks &Links, EventLog &Events,
                Incarnation Run);

  std::string_view name() const override { return "state_exchange"; }
  absl::Status start() override;
  void stop() override {}
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override { return {{"queries", Queries_}, {"adopted", Adopted_}}; }

private:
  void onMessage(const HostId &From, const nlohmann::json &Body);
  void onQuery(const HostId &From, const FleetStateQuery &Query);
  void onReply(const HostId &From, FleetStateReply Reply);
  /// Tells whether no other node has answered since the start.
  bool isStarting() const;
  /// Returns a random host of the fleet other than this one; empty if none is known.
  HostId randomPeer();

  const HostId Self_;
  FleetState &Fleet_;
  PeerLinks &Links_;
  EventLog &Events_;
  std::mt19937_64 Random_;
  TimePoint BehindSince_ = TimePoint::max();
  TimePoint AskedAt_{};
  bool Answered_ = false; ///< a node has answered since the start
  std::uint64_t Queries_ = 0;
  std::uint64_t Adopted_ = 0; ///< replies that changed what this node knows
};

} // namespace bronzestand::node

#endif
