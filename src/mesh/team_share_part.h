#ifndef BRONZESTAND_MESH_TEAM_SHARE_PART_H
#define BRONZESTAND_MESH_TEAM_SHARE_PART_H

#include <deque>
#include <functional>
#include <map>

#include <boost/asio/steady_timer.hpp>

#include "bronzestand/team_shares.h"
#include "mesh/codec_team_shares.h"
#include "mesh/event_log.h"
#include "mesh/fleet_state.h"
#include "node/part.h"
#include "node/peer_links.h"

namespace bronzestand::node {

/// Connects TeamShares to the links between nodes and stores the requests that wait for tokens.
class TeamSharePart final : public Part {
public:
  /// Called once per request with the decision.
  /// \param Taken the token of an admitted request; to be returned if the request does not run.
  using DecisionCallback = std::function<void(bool Admitted, const TeamShares::Token &Taken)>;

  TeamSharePart(boost::asio::io_context &Io, const Settings &Config, FleetState &Fleet,
                PeerLinks &Links, EventLog &Events);

  /// Returns the shares that other nodes have lent to this one, which stops.
  void drain();
  /// Decides on a request of a team, at once or after an exchange with the team's broker.
  void admit(const TeamId &Team, DecisionCallback Done);
  /// Takes back the token of a request that has not run.
  void returned(const TeamId &Team, const TeamShares::Token &Unused);
  Duration retryAfter(TimePoint Now, const TeamId &Team) { return Shares_.retryAfter(Now, Team); }

  std::string_view name() const override { return "team_shares"; }
  absl::Status start() override;
  void stop() override;
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override;
  /// Appends counters in Prometheus text.
  void print(std::string &Out) const;

private:
  struct HeldRequest {
    TimePoint Since_;
    DecisionCallback Done_;
  };
  struct Listing {
    TimePoint Last_;       ///< last time at which the platform listed the host
    bool Leaving_ = false; ///< its server was leaving at that time
  };
  /// What happened to the tokens of one team since the last report.
  struct TokenCounts {
    std::uint64_t Granted_ = 0; ///< granted by this node as a broker
    std::uint64_t Denied_ = 0;  ///< requested from this node and not granted
    std::set<HostId> Requesters_;
    std::uint64_t AdmittedAlone_ = 0; ///< admitted without an answer of the broker
    std::uint64_t RefusedAlone_ = 0;
  };

  TeamShares::Grant serve(TimePoint Now, const HostId &From,
                          const TeamShares::TokenRequest &Request);
  void sendOffers(const std::vector<ShareLoans::Outgoing> &Offers);
  void send(const HostId &To, const TeamShareBody &Body);
  void report(TimePoint Now);
  void configChanged();
  void updateHosts(TimePoint Now);
  void onMessage(const Peer &From, const nlohmann::json &Body);
  void onHostDown(const HostId &Host, LinkEnd Reason);
  void requestTokens(const TeamId &Team);
  void onGrant(const TeamShares::Grant &Value);
  void scheduleTimeout();
  void onTimeout();

  HostId Self_;
  FleetState &Fleet_;
  PeerLinks &Links_;
  EventLog &Events_;
  TeamShares Shares_;
  boost::asio::steady_timer Timer_;
  std::map<TeamId, std::deque<HeldRequest>> Held_;
  std::map<HostId, Listing> Listings_; ///< hosts of the fleet
  std::map<TeamId, TokenCounts> Counts_;
  TimePoint ReportedAt_{};
  std::array<HostId, ShareLoans::ShardCount> ReportedBrokers_;
  std::uint64_t TokenRequests_ = 0;
  std::uint64_t TokensGranted_ = 0;
  std::uint64_t TokensDenied_ = 0;
  std::uint64_t DecidedWithoutBroker_ = 0;
  std::uint64_t TokensReturned_ = 0;
};

} // namespace bronzestand::node

#endif
