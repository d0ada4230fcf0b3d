#ifndef BRONZESTAND_MESH_FLEET_STATE_H
#define BRONZESTAND_MESH_FLEET_STATE_H

#include <algorithm>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bronzestand/backend_directory.h"
#include "bronzestand/fleet_config.h"
#include "bronzestand/key_table.h"
#include "mesh/event_log.h"
#include "node/part.h"
#include "node/settings.h"

namespace bronzestand::node {

/// Stores the configuration in force and the backend servers, as this node knows them. The platform
/// adapter updates it. A configuration is only replaced by one with a higher version. Design
/// section 4.
class FleetState final : public Part {
public:
  FleetState(const Settings &Config, EventLog &Events);

  /// Puts a configuration in force if its version is higher than the current one.
  void apply(FleetConfig Config);
  /// Adds or replaces a backend server.
  void put(BackendServer Entry);
  /// Records that a backend server said in an answer that it is leaving.
  void noteLeaving(const std::string &Id);
  /// \param Trusted as in BackendDirectory::remove().
  void remove(const std::string &Id, bool Trusted);
  /// \param NewHistory as in BackendDirectory::replace().
  void replace(std::vector<BackendServer> Entries, bool Trusted, bool NewHistory = false);
  /// Takes over the server list of a node that has applied all changes up to a position, if this
  /// node has not.
  /// \param Missing ids of entries that are missing from the platform's list and kept by that node.
  void adopt(std::vector<BackendServer> Entries, const std::vector<std::string> &Missing,
             StorePosition Value);
  /// Records the position of a change that this node has applied; earlier ones are ignored.
  void setPosition(StorePosition Value) { Known_ = std::max(Known_, Value); }
  StorePosition position() const { return Known_; }
  Knowledge knowledge() const { return {Known_, Config_.Version_}; }
  /// Records what another node knows. If this node does not receive it soon, its connection to the
  /// platform is assumed to be dead and is replaced.
  void noteKnowledge(const Knowledge &Other);
  /// Records that the platform answered, so that this node has all changes up to now.
  /// \param Validity time within which the next answer is expected.
  /// \param Checked position up to which this node has all changes. It is later than position() if
  ///        the last changes did not concern the fleet.
  void noteConfirmed(TimePoint Now, Duration Validity, StorePosition Checked);
  /// Records that a request to the platform failed.
  void noteSourceLost() { SourceLost_ = true; }
  /// Records that a node that has all changes knows no more than this one.
  void noteVouched(TimePoint Until) { VouchedUntil_ = Until; }
  /// Returns whether the platform does not answer this node, or another node knows a later change.
  bool needsPeers(TimePoint Now) const;
  /// Returns whether changes may exist that this node does not have: it needs its peers, and none
  /// of them has vouched for it.
  bool isBehind(TimePoint Now) const;
  /// Returns the time since the platform last answered; since the start if it never did.
  Duration confirmationAge(TimePoint Now) const { return Now - ConfirmedAt_; }
  /// Appends metrics as Prometheus text.
  void print(TimePoint Now, std::string &Out) const;

  /// Returns whether requests can be served: a configuration and a server list have been received.
  bool isReady() const { return Config_.Version_ != 0 && Listed_; }
  std::uint64_t version() const { return Config_.Version_; }
  const FleetConfig &config() const { return Config_; }
  const RouteTable &routes() const { return Routes_; }
  const KeyTable &keys() const { return Keys_; }
  const FleetTeam *findTeam(const TeamId &Name) const;
  const BackendDirectory &servers() const { return Directory_; }
  /// The backend server beside this node, as the platform lists it.
  const BackendServer *ownServer() const { return Directory_.findByHost(Host_); }

  using Callback = std::function<void()>;
  void onConfig(Callback Handler) { OnConfig_.push_back(std::move(Handler)); }
  void onServers(Callback Handler) { OnServers_.push_back(std::move(Handler)); }
  /// Sets the function with which the platform adapter reads from the platform again over a new
  /// connection. Called when this node is behind other nodes.
  void setRefresh(Callback Handler) { Refresh_ = std::move(Handler); }

  std::string_view name() const override { return "fleet_state"; }
  absl::Status start() override { return absl::OkStatus(); }
  void stop() override {}
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override;

private:
  void serversChanged();
  /// Returns the position up to which this node has all changes.
  StorePosition completeUntil() const { return std::max(Known_, Checked_); }
  /// Returns whether another node has recently told more than this node knows.
  bool isBehindPeers(TimePoint Now) const;

  HostId Host_;
  EventLog &Events_;
  FleetConfig Config_;
  RouteTable Routes_;
  KeyTable Keys_;
  std::string Salt_;
  BackendDirectory Directory_;
  bool Listed_ = false;
  StorePosition Known_;
  StorePosition Checked_;
  Knowledge PeerKnown_; ///< the most that other nodes have told
  TimePoint PeerHeardAt_{};
  TimePoint BehindSince_{};
  TimePoint ConfirmedAt_;
  TimePoint ConfirmedUntil_{}; ///< the platform should have answered again by then
  TimePoint VouchedUntil_{};
  bool SourceLost_ = false;
  std::vector<Callback> OnConfig_;
  std::vector<Callback> OnServers_;
  Callback Refresh_;
};

} // namespace bronzestand::node

#endif
