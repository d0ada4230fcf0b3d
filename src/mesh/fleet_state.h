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

/// What this node knows of the fleet: the configuration in force and the backend servers. It is fed
/// by the adapter to the platform. A version is only replaced by a later one (design section 4).
class FleetState final : public Part {
public:
  FleetState(const Settings &Config, EventLog &Events);

  /// Puts a configuration in force unless it is not newer than the present one.
  void apply(FleetConfig Config);
  /// Adds or replaces a backend server.
  void put(BackendServer Entry);
  /// \param Trusted as in BackendDirectory::remove().
  void remove(const std::string &Id, bool Trusted);
  void replace(std::vector<BackendServer> Entries, bool Trusted);
  /// Revision of a change that this node has taken in.
  void setRevision(Revision Value) { Known_ = std::max(Known_, Value); }
  Revision revision() const { return Known_; }
  /// Another node knows a change of this revision. If this node does not learn of it by itself
  /// soon, its connection to the platform is taken for dead.
  void noteRevision(Revision Other);

  /// Tells whether requests can be served: a configuration and a list are known.
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
  void onConfig(Callback Use) { OnConfig_.push_back(std::move(Use)); }
  void onServers(Callback Use) { OnServers_.push_back(std::move(Use)); }
  /// Set by the adapter: asks the platform again over a new connection, because this node is
  /// behind.
  void setRefresh(Callback Use) { Refresh_ = std::move(Use); }

  std::string_view name() const override { return "fleet_state"; }
  absl::Status start() override { return absl::OkStatus(); }
  void stop() override {}
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override;

private:
  void serversChanged();

  HostId Host_;
  EventLog &Events_;
  FleetConfig Config_;
  RouteTable Routes_;
  KeyTable Keys_;
  std::string Salt_;
  BackendDirectory Directory_;
  bool Listed_ = false;
  Revision Known_ = 0;
  Revision Ahead_ = 0; ///< newest change that other nodes know
  TimePoint BehindSince_{};
  std::vector<Callback> OnConfig_;
  std::vector<Callback> OnServers_;
  Callback Refresh_;
};

} // namespace bronzestand::node

#endif
