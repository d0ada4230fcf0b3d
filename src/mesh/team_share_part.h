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

/// Binds TeamShares to the links between nodes and keeps the requests that wait for tokens.
class TeamSharePart final : public Part {
public:
  /// Told once: whether the request is admitted.
  using Decided = std::function<void(bool Admitted)>;

  TeamSharePart(boost::asio::io_context &Io, const Settings &Config, FleetState &Fleet,
                PeerLinks &Links);

  /// Decides at once, or after one exchange with the team's broker.
  void admit(const TeamId &Team, Decided Done);
  Duration retryAfter(TimePoint Now, const TeamId &Team) const {
    return Shares_.retryAfter(Now, Team);
  }

  std::string_view name() const override { return "team_shares"; }
  absl::Status start() override;
  void stop() override;
  void tick(TimePoint Now) override { updateHosts(Now); }
  nlohmann::json dump() const override;

private:
  struct Waiting {
    TimePoint Since_;
    Decided Done_;
  };

  void configChanged();
  void updateHosts(TimePoint Now);
  void onMessage(const Peer &From, const nlohmann::json &Body);
  void ask(const TeamId &Team);
  void onGrant(const TeamShares::Grant &Value);
  void scheduleTimeout();
  void onTimeout();

  HostId Self_;
  FleetState &Fleet_;
  PeerLinks &Links_;
  TeamShares Shares_;
  boost::asio::steady_timer Timer_;
  std::map<TeamId, std::deque<Waiting>> Waiting_;
  std::map<HostId, TimePoint> Listed_; ///< hosts of the fleet, with the time they were listed last
  std::map<HostId, TimePoint> Down_;   ///< hosts that could not be reached, with the time
  std::uint64_t Asks_ = 0;
  std::uint64_t Alone_ = 0;
};

} // namespace bronzestand::node

#endif
