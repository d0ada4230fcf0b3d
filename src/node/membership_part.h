#ifndef BRONZESTAND_NODE_MEMBERSHIP_PART_H
#define BRONZESTAND_NODE_MEMBERSHIP_PART_H

#include <functional>
#include <map>
#include <vector>

#include "bronzestand/membership.h"
#include "node/config_part.h"
#include "node/log.h"
#include "node/part.h"
#include "node/peer_links.h"

namespace bronzestand::node {

/// Keeps the state of all hosts, derived from the host lists and from the peer links (design
/// section 5).
class MembershipPart final : public Part {
public:
  using PauseCallback = std::function<void(TimePoint Now)>;

  MembershipPart(PeerLinks &Links, ConfigPart &Documents, const Settings &Config, Incarnation Run);

  /// Sets the function that is called after a pause of this process, before any other effect of the
  /// pause. It must drop all state that may have expired.
  void setPauseCallback(PauseCallback Callback) { OnPause_ = std::move(Callback); }
  using StateCallback = std::function<void(const HostId &Host)>;
  /// Adds a function that is called after the state of a host changed.
  void addStateCallback(StateCallback Callback) { StateCallbacks_.push_back(std::move(Callback)); }
  /// Handles a pause of this process if there was one. Call it before handling a request, which may
  /// arrive before the first timer after a pause. Cost: constant unless there was a pause.
  void checkPause(TimePoint Now);

  HostState state(const HostId &Host) const { return Members_.state(Host); }
  /// Returns whether calls may be sent to a host.
  bool isLive(const HostId &Host) const { return state(Host) == HostState::Live; }
  const Membership &members() const { return Members_; }

  /// Records that an answer reported its sender as leaving.
  void noteLeaving(const Peer &From);
  /// Announces that this host is leaving.
  void leave();

  std::string_view name() const override { return "membership"; }
  absl::Status start() override { return absl::OkStatus(); }
  void stop() override {}
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override;

private:
  void apply(const MembershipEffects &Effects);
  void on(const SendMembership &Effect);
  void on(const ReplaceLink &Effect);
  void on(const ProbeHost &Effect);
  void on(const ProcessPaused &Effect);
  void on(const HostStateChanged &Effect);
  /// Returns the hosts of a data centre that this node may exchange configuration with.
  std::vector<HostId> hostsForSpread(const DataCentreId &DataCentre) const;
  void onDocument(const std::string &Path);
  void onLinkDown(const HostId &Host, LinkEnd Reason);

  PeerLinks &Links_;
  ConfigPart &Documents_;
  const Settings &Config_;
  Logger Log_;
  Membership Members_;
  TimePoint LastTick_;
  PauseCallback OnPause_;
  std::vector<StateCallback> StateCallbacks_;
  std::map<HostId, HostState> NotLive_; ///< listed hosts that calls are not sent to
  std::uint64_t Pauses_ = 0;
};

} // namespace bronzestand::node

#endif
