#ifndef BRONZESTAND_NODE_LIMITS_PART_H
#define BRONZESTAND_NODE_LIMITS_PART_H

#include <deque>
#include <functional>
#include <map>

#include <boost/asio/steady_timer.hpp>

#include "bronzestand/team_limits.h"
#include "node/config_part.h"
#include "node/part.h"
#include "node/peer_links.h"

namespace bronzestand::node {

/// Runs this node's TeamLimits with the host list, the teams, the peer links and the clock, and
/// holds the requests that wait for tokens (design section 6).
class LimitsPart final : public Part {
public:
  /// Receives the decision on a request. Called once, unless stop() drops the held request.
  using DecisionCallback = std::function<void(bool Admitted)>;

  LimitsPart(boost::asio::io_context &Io, const Settings &Config, const ConfigPart &Documents,
             PeerLinks &Links, Incarnation Run);

  /// Marks a document as changed. Host lists are applied at the next tick, teams at the next tick
  /// or request.
  void onChange(const std::string &Path);

  /// Decides on one request of a team, at once or after holding it for up to 50 ms.
  /// \param Done may be called before this returns.
  void admit(const TeamId &Team, DecisionCallback Done);

  /// Drops leases and held requests that may have expired during a pause of the process. Must run
  /// before any other work after the pause; the part also detects a pause by a gap between its
  /// ticks.
  void wakeAfterPause(TimePoint Now);
  /// Returns the leases and stops using this host's share as soon as no request is held.
  void leaving(TimePoint Now);

  std::string_view name() const override { return "limits"; }
  absl::Status start() override;
  void stop() override;
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override;

private:
  struct HeldRequest {
    TimePoint Deadline_;
    DecisionCallback Done_;
  };

  void applyCatalogue(TimePoint Now);
  void applyTeams(TimePoint Now);
  void checkPause(TimePoint Now);
  void runTick(TimePoint Now);
  void startFastTicks(TimePoint Now);
  void scheduleFastTick();
  void applyEffects(TimePoint Now);
  void retryHeld(TimePoint Now, const TeamId &Team);
  void refuseExpired(TimePoint Now);
  void releaseShare(TimePoint Now);

  const Settings &Config_;
  const ConfigPart &Documents_;
  PeerLinks &Links_;
  Logger Log_;
  bool Enabled_;
  boost::asio::steady_timer Timer_;
  // Mutable because its dump() advances the token buckets, which changes no decision.
  mutable TeamLimits Limits_;
  std::map<TeamId, std::pair<double, double>> Teams_; ///< rate and burst last passed to Limits_
  std::map<TeamId, std::deque<HeldRequest>> Held_;
  std::size_t HeldCount_ = 0;
  bool HostsChanged_ = false, TeamsChanged_ = false;
  bool FastTicking_ = false, Leaving_ = false, ShareReleased_ = false, Running_ = false;
  TimePoint LastTick_;
  TimePoint FastTicksEnd_;
  std::uint64_t Admitted_ = 0, Refused_ = 0, Queued_ = 0, Ticks_ = 0, Pauses_ = 0;
};

} // namespace bronzestand::node

#endif
