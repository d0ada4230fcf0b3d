#ifndef BRONZESTAND_MESH_STATE_EXCHANGE_H
#define BRONZESTAND_MESH_STATE_EXCHANGE_H

#include <random>
#include <vector>

#include "mesh/codec_fleet_state.h"
#include "mesh/fleet_state.h"
#include "node/part.h"
#include "node/peer_links.h"

namespace bronzestand::node {

/// Gets from other nodes what this node cannot get from the platform. A node asks after its start,
/// while the platform does not answer it, and while another node knows more. In a large data centre
/// it also carries the messages between readers of the platform and the nodes that follow them; in
/// a healthy fleet of small ones it sends nothing. Design section 4, docs/design/store-readers.md.
class StateExchange final : public Part {
public:
  StateExchange(const Settings &Config, FleetState &Fleet, PeerLinks &Links, EventLog &Events,
                Incarnation Run);

  /// Stops being a reader, because the process ends.
  void drain();

  std::string_view name() const override { return "state_exchange"; }
  absl::Status start() override;
  void stop() override {}
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override {
    return {{"queries", Queries_}, {"adopted", Adopted_}, {"changes_sent", ChangesSent_}};
  }

private:
  void onMessage(const HostId &From, const nlohmann::json &Body);
  void onQuery(const HostId &From, const FleetStateQuery &Query);
  void onReply(const HostId &From, FleetStateReply Reply);
  void onFollow(const HostId &From, const FleetFollow &Message);
  void onNotice(const HostId &From, const ReaderNotice &Message);
  void onChange(const HostId &From, const FleetChange &Message);
  /// Sends the messages of the readers that are due.
  void sendDue(TimePoint Now);
  /// Sends what this node has read to the nodes that follow it, or keeps it for a moment if another
  /// reader will probably send the same.
  void publish(const FleetChange &Change);
  void sendChange(const FleetChange &Change);
  void sendHeldChanges(TimePoint Now);
  /// Tells whether no other node has answered since the start.
  bool isStarting() const;
  /// Returns the reader that has told of changes which this node lacks, else a random host of the
  /// fleet other than this one; empty if none is known.
  HostId choosePeer(TimePoint Now);

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
  struct HeldChange {
    FleetChange Change_;
    TimePoint DueAt_;
  };
  std::vector<HeldChange> Held_;
  StorePosition ReaderTold_; ///< the latest position that a reader has told
  HostId Ahead_;             ///< reader that last told of changes which this node lacks
  std::uint64_t ChangesSent_ = 0;
};

} // namespace bronzestand::node

#endif
