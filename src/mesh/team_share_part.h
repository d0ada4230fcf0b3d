#ifndef BRONZESTAND_MESH_TEAM_SHARE_PART_H
#define BRONZESTAND_MESH_TEAM_SHARE_PART_H

#include <deque>
#include <functional>
#include <map>

#include <boost/asio/steady_timer.hpp>

#include "bronzestand/team_shares.h"
#include "mesh/fleet_state.h"
#include "node/part.h"
#include "node/peer_links.h"

namespace bronzestand::node {

/// Connects TeamShares to the links between nodes and stores the requests that wait for tokens.
class TeamSharePart final : public Part {
public:
  /// Called once per request with the decision.
  using DecisionCallback = std::function<void(bool Admitted)>;

  TeamSharePart(boost::asio::io_context &Io, const Settings &Config, FleetState &Fleet,
                PeerLinks &Links);

  /// Decides on a request of a team, at once or after an exchange with the team's broker.
  void admit(const TeamId &Team, DecisionCallback Done);
  Duration retryAfter(TimePoint Now, const TeamId &Team) const {
    return Shares_.retryAfter(Now, Team);
  }

  std::string_view name() const override { return "team_shares"; }
  absl::Status start() override;
  void stop() override;
  void tick(TimePoint Now) override { updateHosts(Now); }
  nlohmann::json dump() const override;

private:
  struct HeldRequest {
    TimePoint Since_;
    DecisionCallback Done_;
  };

  void configChanged();
  void updateHosts(TimePoint Now);
  void onMessage(const Peer &From, const nlohmann::json &Body);
  void requestTokens(const TeamId &Team);
  void onGrant(const TeamShares::Grant &Value);
  void scheduleTimeout();
  void onTimeout();

  HostId Self_;
  FleetState &Fleet_;
  PeerLinks &Links_;
  TeamShares Shares_;
  boost::asio::steady_timer Timer_;
  std::map<TeamId, std::deque<HeldRequest>> Held_;
  std::map<HostId, TimePoint> LastListed_; ///< last time at which each host of the fleet was listed
  std::map<HostId, TimePoint>
      Down_; ///< time of the last link failure of each host that can't be reached
  std::uint64_t TokenRequests_ = 0;
  std::uint64_t DecidedWithoutBroker_ = 0;
};

} // namespace bronzestand::node

#endif
