#ifndef BRONZESTAND_TEAM_SHARES_H
#define BRONZESTAND_TEAM_SHARES_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "bronzestand/types.h"

namespace bronzestand {

/// Bounds the rate of each team over the fleet. A team's bucket stands at its broker, a node chosen
/// by rendezvous hashing. Other nodes fetch tokens in small batches a little ahead of their demand,
/// so that most requests wait for no message, and a request that finds none waits for one exchange.
/// Design section 6.
///
/// A broker that does not answer leaves its team a part of the equal share at each node. A new
/// broker starts with half a bucket; that and the unused batches are all that can be admitted
/// beyond the rate and the burst.
class TeamShares {
public:
  explicit TeamShares(HostId Self) : Self_(std::move(Self)) {}

  struct Limit {
    double Rate_ = 0.0;  ///< requests a second over the whole fleet; 0 for no limit
    double Burst_ = 0.0; ///< requests
  };
  enum class Verdict {
    Admitted,
    Held,   ///< waits for tokens; decide() tells the end
    Refused ///< the bucket is empty
  };
  /// A node asks the broker of a team for tokens.
  struct Ask {
    HostId To_;
    TeamId Team_;
    std::uint32_t Count_ = 0;
  };
  /// The broker's answer.
  struct Grant {
    TeamId Team_;
    std::uint32_t Count_ = 0;
    Duration DryFor_{}; ///< asking again before then is in vain; zero if all was granted
  };

  /// \param Hosts all nodes of the fleet, this one included. Nodes that the platform no longer
  /// lists belong to it for a while, because they may still serve callers. \param Down those of
  /// them that this node can't reach. They are no brokers, and as a broker this node gives out only
  /// the part of the rates that the others make up, because nodes beyond a partition have a broker
  /// of their own.
  void setHosts(std::vector<HostId> Hosts, const std::set<HostId> &Down);
  void setLimits(TimePoint Now, const std::map<TeamId, Limit> &Limits);

  /// Takes one request of a team.
  Verdict admit(TimePoint Now, const TeamId &Team);
  /// Decides a held request after a grant. \return Held if it must wait on.
  Verdict decide(TimePoint Now, const TeamId &Team);
  /// Decides a held request when the broker did not answer in time.
  Verdict decideAlone(TimePoint Now, const TeamId &Team);
  /// Time until the next request of the team may be admitted.
  Duration retryAfter(TimePoint Now, const TeamId &Team) const;
  /// Tokens to ask for now; nothing if there are enough or an answer is due.
  std::optional<Ask> nextAsk(TimePoint Now, const TeamId &Team);
  /// Answers as the broker of a team.
  Grant serve(TimePoint Now, const TeamId &Team, std::uint32_t Count);
  void granted(TimePoint Now, const Grant &Value);

private:
  struct Bucket {
    double Tokens_ = 0.0;
    TimePoint Filled_{};

    void refill(TimePoint Now, double Rate, double Capacity);
    bool take();
  };
  struct Team {
    Limit Limit_;
    double Tokens_ = 0.0; ///< fetched from the broker
    TimePoint Fetched_{};
    double Demand_ = 0.0; ///< moving average of arrivals
    TimePoint Measured_{};
    std::uint32_t Held_ = 0;
    std::optional<TimePoint> AskedAt_;
    TimePoint DryUntil_{};
    Bucket Reserve_; ///< used while the broker does not answer
    Bucket Broker_;  ///< of the whole fleet; used only at the broker
  };

  Team *find(const TeamId &Name);
  static double demandOf(TimePoint Now, const Team &Item);
  double brokerCapacity(const Team &Item) const;

  HostId Self_;
  std::vector<HostId> Hosts_;
  std::vector<HostId> Brokers_; ///< hosts that can be reached
  double Reachable_ = 1.0;
  std::map<TeamId, Team> Teams_;
};

} // namespace bronzestand

#endif
