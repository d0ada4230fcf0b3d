#ifndef BRONZESTAND_MESH_FLEET_STATE_H
#define BRONZESTAND_MESH_FLEET_STATE_H

#include <algorithm>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bronzestand/backend_directory.h"
#include "bronzestand/evacuations.h"
#include "bronzestand/fleet_config.h"
#include "bronzestand/key_table.h"
#include "bronzestand/region_table.h"
#include "bronzestand/store_readers.h"
#include "mesh/event_log.h"
#include "mesh/fleet_change.h"
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
  /// \return an error if it names a region that the settings do not have; it changes nothing.
  absl::Status apply(FleetConfig Config);
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
  /// \param Evacuated data centres that are being evacuated at that position.
  /// \param Followed that node is a reader which this node follows.
  void adopt(std::vector<BackendServer> Entries, const std::vector<std::string> &Missing,
             StorePosition Value, const std::set<DataCentreId> &Evacuated = {},
             bool Followed = false);
  /// Records that the platform has a key by which a data centre is evacuated.
  void evacuate(const DataCentreId &Name);
  /// Records that the key of an evacuation was removed.
  void endEvacuation(const DataCentreId &Name);
  /// Replaces the set of evacuated data centres. At the start of the process it comes before
  /// replace(), so that a data centre found evacuated is left out at once.
  void replaceEvacuations(const std::set<DataCentreId> &Names);
  /// Runs a function that applies several changes, and reports changes of servers once at its end.
  /// The cost of a report grows with the fleet.
  void applyTogether(const std::function<void()> &Changes);
  /// Records the position of a change that this node has applied; earlier ones are ignored.
  void setPosition(StorePosition Value) { Known_ = std::max(Known_, Value); }
  StorePosition position() const { return Known_; }
  Knowledge knowledge() const { return {Known_, Config_.Version_}; }
  /// Returns what other nodes need not send. A version that was refused is not asked for again.
  Knowledge received() const {
    return {Known_, Config_.Version_ == 0 ? 0 : std::max(Config_.Version_, RefusedVersion_)};
  }
  /// Records what another node knows. If this node does not receive it soon, its connection to the
  /// platform is assumed to be dead and is replaced.
  void noteKnowledge(const Knowledge &Other);
  /// Records that the platform answered, so that this node has all changes up to now.
  /// \param Validity time within which the next answer is expected.
  /// \param Checked position up to which this node has all changes. It is later than position() if
  ///        the last changes did not concern the fleet.
  void noteConfirmed(TimePoint Now, Duration Validity, StorePosition Checked);
  /// Records that a request of this node to the platform failed.
  void noteSourceLost();
  /// Records that the whole list was read at a position.
  void noteListed(StorePosition Value) { ListedAt_ = std::max(ListedAt_, Value); }
  /// Records that the platform answered this node, and passes on what it told.
  void publish(const FleetChange &Change);
  /// Applies the changes that a reader has found, if this node has all changes before them.
  void applyChange(const FleetChange &Change);
  /// Records that a reader shows that this node has all changes up to a position.
  /// \param RespondedAt time at which the platform answered the reader.
  /// \param Trusted as in FleetChange.
  void noteFollowed(TimePoint RespondedAt, StorePosition Checked, bool Trusted);
  /// Returns the position up to which this node has all changes.
  StorePosition completeUntil() const { return std::max(Known_, Checked_); }
  /// Returns the first position at which another node must be to need nothing from this one. Later
  /// than position() after a listing, which does not show when a server was removed.
  StorePosition toldPosition() const { return std::max(Known_, ListedAt_); }
  /// Returns what this node tells those that follow it.
  ReaderKnowledge readerKnowledge() const;
  /// Decides which nodes of the data centre read from the platform.
  StoreReaders &readers() { return Readers_; }
  /// Records that a node that has all changes knows no more than this one.
  void noteVouched(TimePoint Until) { VouchedUntil_ = Until; }
  /// Returns whether the platform does not answer this node, or another node knows a later change,
  /// or the only configuration that this node has received is refused.
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
  /// The regions in which requests may be served, by the configuration in force.
  const RegionTable &regions() const { return Regions_; }
  const FleetTeam *findTeam(const TeamId &Name) const;
  const BackendDirectory &servers() const { return Directory_; }
  /// Returns the data centres whose servers this node must not choose now.
  std::set<DataCentreId> evacuated(TimePoint Now) const { return Evacuations_.unused(Now); }
  /// Returns the data centres that are evacuated as far as this node knows from the platform.
  std::set<DataCentreId> evacuations() const { return Evacuations_.listed(); }
  /// Returns whether this node must refuse calls of other nodes, because its data centre is
  /// evacuated.
  bool isClosed(TimePoint Now) const { return Evacuations_.isClosed(Now, ownDataCentre()); }
  /// The backend server beside this node, as the platform lists it.
  const BackendServer *ownServer() const { return Directory_.findByHost(Host_); }

  using Callback = std::function<void()>;
  void onConfig(Callback Handler) { OnConfig_.push_back(std::move(Handler)); }
  void onServers(Callback Handler) { OnServers_.push_back(std::move(Handler)); }
  /// Adds a function that is called with true when this node begins to refuse calls because its
  /// data centre is evacuated, and with false when an evacuation of the data centre ends.
  void onOwnEvacuation(std::function<void(bool)> Handler) {
    OnOwnEvacuation_.push_back(std::move(Handler));
  }
  /// Sets the function with which the platform adapter reads from the platform again over a new
  /// connection. Called when this node is behind other nodes.
  void setRefresh(Callback Handler) { Refresh_ = std::move(Handler); }
  /// Sets the function that sends what this node has read to the nodes that follow it.
  void setPublisher(std::function<void(const FleetChange &)> Handler) {
    Publisher_ = std::move(Handler);
  }
  /// Sets the function with which the platform adapter learns up to where this node has followed a
  /// reader, and whether the list is trusted there.
  void setOnFollowed(std::function<void(StorePosition, bool)> Handler) {
    OnFollowed_ = std::move(Handler);
  }

  std::string_view name() const override { return "fleet_state"; }
  absl::Status start() override { return absl::OkStatus(); }
  void stop() override {}
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override;

private:
  void applyItems(const FleetChange &Change);
  /// Reports that servers have changed, now or at the end of applyTogether().
  void serversChanged();
  /// Returns the data centre of the server beside this node.
  DataCentreId ownDataCentre() const;
  /// \param WrittenAfter as in Evacuations::begin().
  void beginEvacuation(const DataCentreId &Name, TimePoint WrittenAfter);
  void replaceEvacuations(const std::set<DataCentreId> &Names, TimePoint WrittenAfter);
  /// Returns a moment after which a change that the platform tells now was very probably written.
  TimePoint changedAfter(TimePoint Now) const;
  /// Calls the handlers when this node begins to refuse calls.
  void checkOwnEvacuation(TimePoint Now);
  /// Returns whether another node has recently told more than this node knows.
  bool isBehindPeers(TimePoint Now) const;

  HostId Host_;
  DataCentreId DataCentre_;
  StoreReaders Readers_;
  Duration FollowedValidity_;       ///< time after an answer of the platform to a reader
  std::set<RegionId> KnownRegions_; ///< regions of the data centres of the settings
  EventLog &Events_;
  FleetConfig Config_;
  RouteTable Routes_;
  KeyTable Keys_;
  RegionTable Regions_;
  std::uint64_t RefusedVersion_ = 0; ///< the last higher version, if it was not valid
  std::string Salt_;
  BackendDirectory Directory_;
  Evacuations Evacuations_;
  bool Closed_ = false; ///< the handlers were told that this node refuses calls
  bool Listed_ = false;
  bool Applying_ = false;       ///< applyTogether() runs
  bool ServersChanged_ = false; ///< since it began
  StorePosition Known_;
  StorePosition Checked_;
  StorePosition ListedAt_; ///< of the last listing
  bool Trusted_ = true;    ///< as in FleetChange, when the platform last answered this node
  Knowledge PeerKnown_;    ///< the most that other nodes have told
  TimePoint PeerHeardAt_{};
  TimePoint BehindSince_{};
  TimePoint ConfirmedAt_;
  TimePoint ConfirmedUntil_{}; ///< the platform should have answered again by then
  TimePoint VouchedUntil_{};
  bool SourceLost_ = false;
  std::vector<Callback> OnConfig_;
  std::vector<Callback> OnServers_;
  std::vector<std::function<void(bool)>> OnOwnEvacuation_;
  Callback Refresh_;
  std::function<void(const FleetChange &)> Publisher_;
  std::function<void(StorePosition, bool)> OnFollowed_;
};

} // namespace bronzestand::node

#endif
