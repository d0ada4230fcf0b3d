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

/// Binds team limits to the catalogue, the peer links and the clock (design section 6).
class LimitsPart final : public Part {
public:
  /// Told once: whether the request may go on.
  using Decided = std::function<void(bool Admitted)>;

  LimitsPart(boost::asio::io_context &Io, const Settings &Config, const ConfigPart &Documents,
             PeerLinks &Links, Incarnation Run);

  /// Notes a changed document; it is read at the next tick.
  void onChange(const std::string &Path);

  /// Decides on one request of a team, at once or within 50 ms.
  void admit(const TeamId &Team, Decided Done);

  /// Drops what may have expired during a pause. Needed before anything else after a pause; the
  /// part also finds a pause by itself, by a gap between its ticks.
  void wakeAfterPause(TimePoint Now);
  /// Returns leases and gives up the own right once no request is held.
  void leaving(TimePoint Now);

  std::string_view name() const override { return "limits"; }
  absl::Status start() override;
  void stop() override;
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override;

private:
  struct HeldRequest {
    TimePoint Deadline_;
    Decided Done_;
  };

  void applyCatalogue(TimePoint Now);
  void applyTeams(TimePoint Now);
  void checkPause(TimePoint Now);
  void runTick(TimePoint Now);
  void keepTicking(TimePoint Now);
  void scheduleTick();
  void applyEffects(TimePoint Now);
  void retryHeld(TimePoint Now, const TeamId &Team);
  void refuseExpired(TimePoint Now);
  void giveUpRight(TimePoint Now);

  const Settings &Config_;
  const ConfigPart &Documents_;
  PeerLinks &Links_;
  Logger Log_;
  bool Enabled_;
  boost::asio::steady_timer Timer_;
  // dump() of the engine advances its buckets, which changes no decision.
  mutable TeamLimits Limits_;
  std::map<TeamId, std::pair<double, double>> Teams_; ///< rate and burst as told to the engine
  std::map<TeamId, std::deque<HeldRequest>> Held_;
  std::size_t HeldCount_ = 0;
  bool HostsChanged_ = false, TeamsChanged_ = false;
  bool Ticking_ = false, Leaving_ = false, Left_ = false, Running_ = false;
  TimePoint LastTick_;
  TimePoint ActiveUntil_;
  std::uint64_t Admitted_ = 0, Refused_ = 0, Queued_ = 0, Ticks_ = 0, Pauses_ = 0;
};

} // namespace bronzestand::node

#endif
