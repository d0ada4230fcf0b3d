#ifndef BRONZESTAND_TEAM_SHARES_H
#define BRONZESTAND_TEAM_SHARES_H

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "bronzestand/share_loans.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// Limits the rate of each team over the fleet. Each team belongs to a shard, and a broker keeps a
/// token bucket for each team of its shards. The bucket fills at the fraction of the rate that the
/// loans to this broker amount to (ShareLoans), and its capacity is the same fraction of the burst.
/// The other nodes fetch tokens in small batches before they need them, so that most requests wait
/// for no message; a request without a token waits for one exchange with the broker. Design section
/// 6.
///
/// In any time T, all nodes together admit at most rate x (T + BatchLifetime) + burst +
/// SlackRequests, because the fractions of all brokers add up to at most 1. A bucket that can't
/// hold a whole token admits at random, with the probability of its content; only the expected
/// value keeps to the bound then.
class TeamShares {
public:
  /// \param Started start of this run of the process.
  /// \param Seed of the random source.
  TeamShares(HostId Self, TimePoint Started, std::uint64_t Seed);

  struct Limit {
    double Rate_ = 0.0;  ///< requests a second over the whole fleet; 0 for no limit
    double Burst_ = 0.0; ///< requests
  };
  enum class Decision {
    Admitted,
    Held,   ///< waits for tokens; decide() returns the result
    Refused ///< the bucket is empty
  };
  /// Asks the broker of a team for tokens.
  struct TokenRequest {
    HostId To_;
    TeamId Team_;
    std::uint32_t Count_ = 0;
    TimePoint SentAt_;           ///< on the clock of the sender
    std::optional<Limit> Limit_; ///< only for a broker that does not know the team
  };
  /// The broker's answer.
  struct Grant {
    TeamId Team_;
    std::uint32_t Count_ = 0;
    TimePoint SentAt_;       ///< of the request
    Duration EmptyFor_{};    ///< time until the bucket has enough tokens; zero if all were granted
    bool Unlimited_ = false; ///< the broker knows no limit of the team, and granted nothing
  };

  /// Sets the nodes of the fleet.
  /// \param Hosts all nodes, this one included. Nodes that the platform no longer lists remain for
  /// a while, because they may still serve callers.
  void setHosts(std::vector<HostId> Hosts) { Loans_.setHosts(std::move(Hosts)); }
  void setLimits(TimePoint Now, const std::map<TeamId, Limit> &Limits);
  /// As in ShareLoans.
  void unreachable(TimePoint Now, const HostId &Host) { Loans_.unreachable(Now, Host); }
  void reachable(const HostId &Host) { Loans_.reachable(Host); }
  std::vector<std::pair<HostId, ShareLoans::Answer>> leave(TimePoint Now);
  std::vector<ShareLoans::Outgoing> tick(TimePoint Now);
  ShareLoans::Answer offered(TimePoint Now, const HostId &From, const ShareLoans::Offer &Value);
  std::vector<ShareLoans::Outgoing> answered(TimePoint Now, const HostId &From,
                                             const ShareLoans::Answer &Value);
  /// Records that messages to and from a host were lost, so that they are sent again at once.
  void messagesLost(const HostId &Host);

  /// The token with which a request was admitted.
  struct Token {
    TimePoint Expires_{}; ///< not set for a team without a limit
  };

  /// Decides on one request of a team. \param Taken receives the token of an admitted request;
  /// may be null.
  Decision admit(TimePoint Now, const TeamId &Team, Token *Taken = nullptr);
  /// Decides on a held request after a grant. \return Held if it must wait longer.
  Decision decide(TimePoint Now, const TeamId &Team, Token *Taken = nullptr);
  /// Decides on a held request when the broker did not answer in time. Uses the own share if it is
  /// not lent.
  Decision decideWithoutBroker(TimePoint Now, const TeamId &Team, Token *Taken = nullptr);
  /// Takes back the token of a request that has not run, so that another request of the team can
  /// use it until it expires. Load pattern: a service without room refuses requests that callers
  /// repeat; they must not use up the rate of their teams without running.
  void returned(TimePoint Now, const TeamId &Team, const Token &Unused);
  /// Time after which a refused caller should try again. After a start of the fleet, the callers
  /// are spread over some time, because all buckets are empty.
  Duration retryAfter(TimePoint Now, const TeamId &Team);
  /// Request to send to the broker now; none if there are enough tokens, an answer is outstanding
  /// or the bucket was empty recently.
  std::optional<TokenRequest> nextRequest(TimePoint Now, const TeamId &Team);
  /// Answers a request for tokens as the broker of a team.
  Grant serve(TimePoint Now, const TokenRequest &Request);
  /// Handles the broker's answer.
  void granted(TimePoint Now, const Grant &Value);

  /// Fraction of the rate of a team that this node may grant as a broker.
  double rateFraction(const TeamId &Name) const;
  /// The node that this one takes to be the broker of a team; empty if it knows no hosts.
  const HostId &brokerOf(const TeamId &Name) const;
  const ShareLoans &loans() const { return Loans_; }

private:
  /// Tokens of a team at its broker.
  struct Bucket {
    double Tokens_ = 0.0;
    double Integral_ = 0.0; ///< ShareLoans::integral() when it was last filled
  };
  struct Team {
    ShareLoans::Shard Shard_ = 0;
    Limit Limit_;
    bool Provisional_ = false;                   ///< the limit comes from another node's request
    bool SendLimit_ = false;                     ///< the broker does not know the team
    std::map<TimePoint, std::uint32_t> Batches_; ///< fetched tokens by the time when they expire
    double Demand_ = 0.0;                        ///< requests per second, moving average
    TimePoint DemandUpdated_{};
    std::uint32_t Held_ = 0;
    std::optional<TimePoint> RequestedAt_;
    TimePoint EmptyUntil_{};
    Bucket Bucket_;
  };

  Team *find(const TeamId &Name);
  Team &add(const TeamId &Name, const Limit &Value);
  static double demandOf(TimePoint Now, const Team &Item);
  static std::uint32_t fetchedTokens(TimePoint Now, Team &Item);
  static bool takeFetched(TimePoint Now, Team &Item, Token *Taken);
  double capacity(const Team &Item) const;
  void refill(Team &Item) const;
  void refillShard(ShareLoans::Shard Item);
  void dropExcess(ShareLoans::Shard Item, double FractionBefore);
  void advance(TimePoint Now, ShareLoans::Shard Item);
  void advanceAll(TimePoint Now);
  std::uint32_t takeTokens(TimePoint Now, Team &Item, std::uint32_t Count);

  ShareLoans Loans_;
  std::mt19937_64 Random_;
  std::map<TeamId, Team> Teams_;
};

} // namespace bronzestand

#endif
