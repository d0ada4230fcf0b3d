#ifndef BRONZESTAND_TEAM_SHARES_H
#define BRONZESTAND_TEAM_SHARES_H

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "bronzestand/types.h"

namespace bronzestand {

/// A node tells the broker of a team how many requests of the team arrive at it.
struct ShareReport {
  TeamId Team_;
  double Demand_ = 0.0; ///< requests a second
};

/// The broker's answer: the rate that the node may admit until the grant expires.
struct ShareGrant {
  TeamId Team_;
  double Rate_ = 0.0; ///< requests a second
};

/// Shares the rates of teams over the fleet in proportion to where their requests arrive. Nodes
/// with little demand keep to a fixed small share and send nothing. Nodes beyond it report to the
/// team's broker, which is chosen by rendezvous hashing and needs no state beyond the last reports.
/// Without a broker a node falls back to an equal share. Design section 6.
///
/// The rate can be exceeded for as long as old grants live while demand moves between nodes; the
/// tolerance of the limits is meant for that.
class TeamShares {
public:
  explicit TeamShares(HostId Self) : Self_(std::move(Self)) {}

  struct Limit {
    double Rate_ = 0.0;  ///< requests a second over the whole fleet; 0 for no limit
    double Burst_ = 0.0; ///< requests
  };
  struct SendReport {
    HostId To_;
    ShareReport Report_;
  };

  /// \param Hosts all nodes of the fleet, this one included.
  void setHosts(std::vector<HostId> Hosts);
  void setLimits(TimePoint Now, const std::map<TeamId, Limit> &Limits);

  /// Takes one request of a team. \return false if it is over the limit.
  bool admit(TimePoint Now, const TeamId &Team);
  /// Time until the next request of the team may be admitted.
  Duration retryAfter(TimePoint Now, const TeamId &Team) const;
  /// Answers a report as the broker of the team.
  ShareGrant handle(TimePoint Now, const HostId &From, const ShareReport &Report);
  void handle(TimePoint Now, const ShareGrant &Grant);
  /// Reports that are due. Call every 100 ms.
  std::vector<SendReport> tick(TimePoint Now);

private:
  struct Demand {
    double Rate_ = 0.0;
    TimePoint At_{};
  };
  struct Team {
    Limit Limit_;
    double Tokens_ = 0.0;
    TimePoint Filled_{};
    double Demand_ = 0.0; ///< moving average of arrivals
    TimePoint Measured_{};
    double Granted_ = 0.0;
    TimePoint GrantEnd_{};
    TimePoint NextReport_{};
    bool Short_ = false;               ///< a request was refused since the last report
    std::map<HostId, Demand> Reports_; ///< held by the broker
  };

  double equalShare(const Team &Item) const;
  double rateOf(TimePoint Now, const Team &Item) const;
  double capacityOf(TimePoint Now, const Team &Item) const;
  void refill(TimePoint Now, Team &Item) const;
  static double demandOf(TimePoint Now, const Team &Item);

  HostId Self_;
  std::vector<HostId> Hosts_;
  std::map<TeamId, Team> Teams_;
};

} // namespace bronzestand

#endif
