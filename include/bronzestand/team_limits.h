#ifndef BRONZESTAND_TEAM_LIMITS_H
#define BRONZESTAND_TEAM_LIMITS_H

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "bronzestand/types.h"

namespace bronzestand {

/// Decision on one request; a held request waits for tokens.
enum class LimitDecision : std::uint8_t { Admitted, Hold, Refuse };

/// A host of the fleet and its location.
struct LimitHost {
  HostId Id_;
  DataCentreId DataCentre_;
  RegionId Region_;
};

/// Terms, intervals and thresholds of TeamLimits.
struct LimitSettings {
  /// Number of groups that teams are hashed into; each group has one broker per data centre.
  std::uint32_t Shards_ = 4;
  /// Term of the loans of owners to brokers, and the age at which a broker requests a new one.
  Duration OwnerTerm_ = std::chrono::seconds(10);
  Duration OwnerRenewal_ = std::chrono::seconds(4);
  /// The same for leases of brokers to consumers.
  Duration LeaseTerm_ = std::chrono::seconds(1);
  Duration LeaseRenewal_ = std::chrono::milliseconds(400);
  /// The same for bulk loans of rate between brokers.
  Duration BulkTerm_ = std::chrono::milliseconds(800);
  Duration BulkRenewal_ = std::chrono::milliseconds(250);
  /// Terms of tokens-only leases and bulk loans, which serve the requests that are held now.
  Duration TokenLeaseTerm_ = std::chrono::milliseconds(80);
  Duration TokenBulkTerm_ = std::chrono::milliseconds(130);
  /// A broker whose pool is below this fraction of its capacity requests tokens from the broker
  /// with the fullest pool, at most once per RebalanceInterval_.
  double RebalanceLevel_ = 0.5;
  Duration RebalanceInterval_ = std::chrono::milliseconds(30);
  /// Smallest capacity of a lease with a rate, in requests. Below it a node uses tokens-only
  /// leases, because normal variation of the demand would empty the lease while the pool still has
  /// tokens.
  double MinLeaseCapacity_ = 40;
  /// A node returns its leases after this time without calls, but not before five times the mean
  /// gap between calls.
  Duration IdleReturnDelay_ = std::chrono::milliseconds(40);
  /// Time without an answer after which a request to a lender may be repeated.
  Duration AnswerTimeout_ = std::chrono::milliseconds(100);
  /// How long a broker delays an answer while it waits for a bulk loan; less than the 50 ms for
  /// which a request is held.
  Duration BulkWait_ = std::chrono::milliseconds(35);
  /// How long a host that disappeared from the list without a LeaveNotice is still counted.
  Duration RetireTerm_ = std::chrono::hours(1);
  /// After this time, hosts that don't answer no longer block the start of this one, if more than
  /// half of the hosts take part (this one included) and none of them uses its share yet.
  Duration ColdStartGrace_ = std::chrono::seconds(20);
  /// Join requests per second, so that joining 22,000 hosts stays inside the control budget.
  std::uint32_t JoinsPerSecond_ = 40;
  /// Time before a host that left and started again may be a broker. Its pool is unused for twice
  /// the longest lease term; until then another broker serves its data centre.
  Duration BrokerReadmitDelay_ = std::chrono::seconds(3);
  /// Fraction of a term that a borrower uses; the rest allows for drift between two clocks.
  double BorrowerTermFraction_ = 0.95;
};

/// Asks a host to count the sender among the owners. The sender uses its share once every host has
/// confirmed; TeamLimits::checkJoins has the exceptions for hosts that don't answer.
struct JoinRequest {
  Incarnation Incarnation_ = 0;
  std::uint64_t HostsHash_ = 0;
  std::uint32_t Count_ = 0;
};
/// Confirms that the sender and its borrowers use at most a share of 1/Count_.
struct JoinAnswer {
  Incarnation ToIncarnation_ = 0;
  std::uint32_t Count_ = 0;
  bool HoldsLoan_ = false;          ///< loans of an earlier run of the receiver may be in use
  bool Active_ = false;             ///< the sender's join is complete
  std::uint32_t PreviousCount_ = 0; ///< count with which an earlier run of the receiver was active
  std::vector<HostId> Hosts_;       ///< all counted hosts, only if the two sides differ
};
/// Asks an owner to lend its share of all teams of a shard to the broker that sends this.
struct LendRequest {
  std::uint32_t Shard_ = 0;
  Incarnation Incarnation_ = 0;
  TimePoint Stamp_;
};
/// Lends the sender's share of all teams of a shard, without tokens.
struct LendGrant {
  std::uint32_t Shard_ = 0;
  Incarnation Incarnation_ = 0;
  Incarnation ToIncarnation_ = 0;
  TimePoint Stamp_;
  double Fraction_ = 0;
  Duration Term_{};
};
/// Returns the loan of an owner before its term ends. The sender grants nothing more from it, and
/// everything that it granted has expired after GrantsEnd_.
struct LendReturn {
  std::uint32_t Shard_ = 0;
  Incarnation Incarnation_ = 0;
  TimePoint Stamp_;    ///< of the last accepted loan
  bool Final_ = false; ///< the sender's run uses no loan that arrives later
  Duration GrantsEnd_{};
};
/// Kind of a loan of a broker: a lease to a consumer, or a bulk loan of rate or of tokens to
/// another broker. Both sides account for each kind separately.
enum class LoanKind : std::uint8_t { Lease, Bulk, TokenBulk };

/// Asks a broker for a lease or a bulk loan.
struct LeaseRequest {
  TeamId Team_;
  Incarnation Incarnation_ = 0;
  TimePoint Stamp_;
  double Demand_ = 0;         ///< expected calls per second, as a fraction of the team's rate; for
                              ///< a bulk loan of tokens the tokens in the sender's pool
  double RateWanted_ = 0;     ///< fraction of the team's rate
  double FractionWanted_ = 0; ///< fraction of the team's burst
  double TokensWanted_ = 0;   ///< requests
  double LevelBound_ = 0;     ///< the sender keeps at most so many tokens until the answer
  bool Bulk_ = false;
  bool TokensOnly_ = false; ///< tokens for requests held now, with a short term and no rate

  LoanKind kind() const {
    return Bulk_ ? (TokensOnly_ ? LoanKind::TokenBulk : LoanKind::Bulk) : LoanKind::Lease;
  }
};
/// Answers a LeaseRequest.
struct LeaseGrant {
  TeamId Team_;
  Incarnation Incarnation_ = 0;
  Incarnation ToIncarnation_ = 0;
  TimePoint Stamp_;
  double Fraction_ = 0; ///< of the burst
  double Rate_ = 0;     ///< of the rate
  double Tokens_ = 0;
  Duration Term_{};
  LoanKind Kind_ = LoanKind::Lease;
  double Level_ = 0; ///< tokens left in the lender's pool
};
/// Returns a team's loans of one kind to their lender, with the unused tokens.
struct LeaseReturn {
  TeamId Team_;
  Incarnation Incarnation_ = 0;
  TimePoint Stamp_; ///< of the last accepted grant
  double Tokens_ = 0;
  LoanKind Kind_ = LoanKind::Lease;
};
/// This run of the sender no longer uses its share.
struct LeaveNotice {
  Incarnation Incarnation_ = 0;
  Duration LoansEnd_{}; ///< longest term of a loan of the sender, from now
};

using LimitMessage = std::variant<JoinRequest, JoinAnswer, LendRequest, LendGrant, LeaseRequest,
                                  LeaseGrant, LeaseReturn, LeaveNotice, LendReturn>;

/// A message to send.
struct LimitSend {
  HostId To_;
  LimitMessage Message_;
};
/// Held requests of the team may call admit() again.
struct LimitReady {
  TeamId Team_;
};
using LimitEffect = std::variant<LimitSend, LimitReady>;

/// State for the status page. Fractions are parts of a team's burst, levels are tokens.
struct TeamLimitsDump {
  struct Team {
    TeamId Team_;
    double LeasedFraction_ = 0, Level_ = 0, PoolFraction_ = 0, PoolLent_ = 0, PoolLevel_ = 0;
  };
  std::size_t HostsCounted_ = 0, JoinsMissing_ = 0;
  bool OwnShareUsable_ = false;
  std::vector<Team> Teams_;
};

/// Interface of TeamLimits and of the baselines that the benchmark compares it with.
class TeamLimitStrategy {
public:
  virtual ~TeamLimitStrategy() = default;
  virtual LimitDecision admit(TimePoint Now, const TeamId &Team, bool Retried = false) = 0;
  virtual void handle(TimePoint Now, const HostId &From, const LimitMessage &Message) = 0;
  virtual void tick(TimePoint Now) = 0;
  virtual void setHosts(TimePoint Now, const std::vector<LimitHost> &Hosts) = 0;
  virtual void setTeam(TimePoint Now, const TeamId &Team, double Rate, double Burst) = 0;
  virtual std::vector<LimitEffect> takeEffects() = 0;
};

namespace detail {

/// Lender's record of what one borrower may still use. A smaller renewal doesn't replace an
/// earlier, larger loan, because the message that carries the renewal may be lost.
class LoanRecord {
public:
  void add(double Fraction, double Rate, TimePoint End);
  /// Largest fraction and largest rate of the loans that have not expired.
  double exposure(TimePoint Now);
  double rateExposure(TimePoint Now);
  /// Time at which the last loan expires.
  TimePoint end() const;
  /// Makes all loans expire at the given time at the latest.
  void shorten(TimePoint End);
  void clear() { Loans_.clear(); }
  Incarnation Borrower_ = 0;
  TimePoint LastStamp_{};
  TimePoint GrantStamp_{};

private:
  struct Loan {
    double Fraction_, Rate_;
    TimePoint End_;
  };
  void expire(TimePoint Now);
  std::vector<Loan> Loans_;
};

/// Borrower's view of a loan.
struct Holding {
  double Fraction_ = 0;
  double Rate_ = 0; ///< 0 on a tokens-only loan
  TimePoint End_{}, Stamp_{};
  Incarnation Lender_ = 0; ///< run of the owner; 0 on loans between brokers and on leases
  double rateAt(TimePoint Time) const { return Time < End_ ? Rate_ : 0; }
  double fractionAt(TimePoint Time) const { return Time < End_ ? Fraction_ : 0; }
};

/// A token bucket whose rate and capacity are fractions of the team's and change over time.
struct Bucket {
  double Level_ = 0;
  double LastFraction_ = 0;
  TimePoint Updated_{};
  TimePoint ValidUntil_{};
  /// Adds tokens at the smaller of the previous and the new rate fraction, until the first of the
  /// loans that made up the previous one expires.
  /// \param RateFraction new fraction of the rate. \param Rate requests per second.
  /// \param Capacity requests. \param ValidUntil when the first loan behind RateFraction expires.
  void advance(TimePoint Now, double RateFraction, double Rate, double Capacity,
               TimePoint ValidUntil);
};

/// Borrower's state for loans of one kind from one lender; at most one request is outstanding.
struct Borrowing {
  Holding Holding_;
  bool Pending_ = false;
  bool Shortage_ = false; ///< the last grant was below 90 % of the rate requested
  double RateWanted_ = 0;
  /// Rate of the last grant; for a bulk loan of tokens the level that the lender had left.
  double Granted_ = 0;
  std::uint32_t Unanswered_ = 0;
  double LevelBound_ = 0, TokensWanted_ = 0;
  TimePoint RequestedAt_{}, ShortageUntil_{};
};

/// A request whose answer waits for a bulk loan.
struct WaitingRequest {
  HostId From_;
  LeaseRequest Request_;
  TimePoint Deadline_;
};

struct TeamState {
  bool Active_ = false;
  std::uint32_t Shard_ = 0;
  double Rate_ = 0, Burst_ = 0;
  // Consumer role.
  Bucket Bucket_;
  std::map<HostId, Borrowing> Leases_;
  double Demand_ = 0;       ///< calls per second, moving average
  double RecentDemand_ = 0; ///< the same over a tenth of the time
  std::uint32_t HeldCount_ = 0, EmptyAnswers_ = 0;
  TimePoint FirstCall_{}, LastCall_{}, EmptyUntil_{}, NextLease_{};
  // Broker role.
  Bucket Pool_;
  std::map<std::pair<HostId, LoanKind>, LoanRecord> Lent_;
  /// Demand of each consumer and when it was reported.
  std::map<HostId, std::pair<double, TimePoint>> ReportedDemand_;
  std::map<HostId, Borrowing> Bulk_;      ///< loans of rate from other brokers
  std::map<HostId, Borrowing> TokenBulk_; ///< loans of tokens from other brokers
  std::vector<WaitingRequest> Waiting_;
  TimePoint NextBulk_{}, NextRebalance_{};
};

struct ShardState {
  // Owner role.
  HostId Borrower_;
  LoanRecord Lent_;
  // Broker role.
  std::map<HostId, Holding> Owners_;
  TimePoint NextRequest_{}, BrokerSince_{};
  HostId LocalBroker_;
  std::vector<HostId> OtherBrokers_;
};

/// A run of a host that has left the fleet.
struct DepartedRun {
  Incarnation Run_ = 0;
  TimePoint BrokerFrom_ = TimePoint::max(); ///< when a later run may be a broker
};

} // namespace detail

/// Enforces each team's rate and burst over all hosts (design section 6). Every node has three
/// roles:
/// - owner of a share of 1/N of every team's rate and burst, which it lends to the broker of its
///   data centre, one loan per shard of teams;
/// - broker of shards: pools the shares of its data centre, grants leases to the nodes there, and
///   exchanges bulk loans with the brokers of the other data centres;
/// - consumer: admits requests out of the leases that it holds.
/// Every loan expires by itself, so that no two nodes use the same share when messages are lost.
class TeamLimits : public TeamLimitStrategy {
public:
  /// \param Start time of start; the own share is unused until every host has counted this one, or
  /// until the exceptions for hosts that don't answer apply.
  TeamLimits(HostId Self, DataCentreId DataCentre, Incarnation Run, TimePoint Start,
             LimitSettings Settings = {});

  /// Decides on one request. The caller repeats the call for held requests after LimitReady, and
  /// refuses them after 50 ms.
  /// \param Retried the request was held before, so it is no new demand.
  /// Complexity: logarithmic in the number of teams.
  LimitDecision admit(TimePoint Now, const TeamId &Team, bool Retried = false) override;
  void handle(TimePoint Now, const HostId &From, const LimitMessage &Message) override;
  /// Must be called about every 10 ms.
  void tick(TimePoint Now) override;
  void setHosts(TimePoint Now, const std::vector<LimitHost> &Hosts) override;
  /// \param Rate requests per second, not negative. \param Burst requests, not negative.
  void setTeam(TimePoint Now, const TeamId &Team, double Rate, double Burst) override;
  void removeTeam(TimePoint Now, const TeamId &Team);
  /// Returns the leases and the loans of owners, and stops using the own share until the next run.
  void leaving(TimePoint Now);
  /// Drops tokens and pending requests that may have expired during a pause of the process. Must be
  /// called before any other function.
  void wakeAfterPause(TimePoint Now);
  std::vector<LimitEffect> takeEffects() override;
  TeamLimitsDump dump(TimePoint Now);

private:
  void on(TimePoint Now, const HostId &From, const JoinRequest &Message);
  void on(TimePoint Now, const HostId &From, const JoinAnswer &Message);
  void on(TimePoint Now, const HostId &From, const LendRequest &Message);
  void on(TimePoint Now, const HostId &From, const LendGrant &Message);
  void on(TimePoint Now, const HostId &From, const LeaseRequest &Message);
  void on(TimePoint Now, const HostId &From, const LeaseGrant &Message);
  void on(TimePoint Now, const HostId &From, const LeaseReturn &Message);
  void on(TimePoint Now, const HostId &From, const LeaveNotice &Message);
  void on(TimePoint Now, const HostId &From, const LendReturn &Message);

  // Owner role: team_limits_owner.cpp.
  void addCounted(const HostId &Host);
  void retireHosts(TimePoint Now);
  void selectBrokers(TimePoint Now);
  void readmitBrokers(TimePoint Now);
  void sendJoins(TimePoint Now);
  bool ownShareUsable(TimePoint Now) const;
  bool poolUsable(TimePoint Now) const;
  void dropEarlierLoans(TimePoint Now, const HostId &From, Incarnation Run);
  bool earlierLoansOver(TimePoint Now) const;
  void checkJoins(TimePoint Now);
  void recordRun(const HostId &From, Incarnation Run);
  double exposure(TimePoint Now);
  double ownShare() const { return 1.0 / static_cast<double>(Counted_.size()); }

  // Broker role: team_limits_broker.cpp.
  void requestOwnerLoans(TimePoint Now);
  void returnOwnerLoans(TimePoint Now, std::size_t Index);
  void advanceShard(TimePoint Now, std::size_t Index);
  double ownedFraction(TimePoint Now, const detail::TeamState &Team, TimePoint Time);
  double poolFraction(TimePoint Now, const detail::TeamState &Team, TimePoint Time);
  double poolRate(TimePoint Now, const detail::TeamState &Team, TimePoint Time);
  double lentFraction(TimePoint Now, detail::TeamState &Team);
  double lentRate(TimePoint Now, detail::TeamState &Team);
  TimePoint poolEnd(TimePoint Now, const detail::TeamState &Team) const;
  static double totalDemand(const detail::TeamState &Team);
  Duration termOf(const LeaseRequest &Request) const;
  void advancePool(TimePoint Now, detail::TeamState &Team);
  bool grant(TimePoint Now, detail::TeamState &Team, const HostId &To, const LeaseRequest &Request,
             bool MayWait);
  void returnTokenBulk(TimePoint Now, const TeamId &Name, detail::TeamState &Team,
                       const HostId &Lender);
  void requestTokenBulk(TimePoint Now, const TeamId &Name, detail::TeamState &Team);
  void returnBulk(TimePoint Now, const TeamId &Name, detail::TeamState &Team);
  double missingRate(TimePoint Now, const detail::TeamState &Team);
  void requestBulk(TimePoint Now, const TeamId &Name, detail::TeamState &Team);
  void answerWaiting(TimePoint Now, detail::TeamState &Team, bool All);
  void tickBroker(TimePoint Now, const TeamId &Name, detail::TeamState &Team);

  // Consumer role: team_limits_consumer.cpp.
  double leased(TimePoint Now, const detail::TeamState &Team) const;
  static double demand(TimePoint Now, const detail::TeamState &Team);
  double leasedRate(TimePoint Now, const detail::TeamState &Team) const;
  void advanceBucket(TimePoint Now, detail::TeamState &Team);
  void requestLease(TimePoint Now, const TeamId &Name, detail::TeamState &Team);
  void returnLeases(TimePoint Now, const TeamId &Name, detail::TeamState &Team);
  bool returnOversizedLease(TimePoint Now, const TeamId &Name, detail::TeamState &Team);
  void tickConsumer(TimePoint Now, const TeamId &Name, detail::TeamState &Team);

  void send(const HostId &To, LimitMessage Message);
  void drainLocal(TimePoint Now);

  HostId Self_;
  DataCentreId DataCentre_;
  Incarnation Run_;
  TimePoint Start_;
  LimitSettings Settings_;
  std::map<TeamId, detail::TeamState> Teams_;
  std::vector<detail::ShardState> Shards_;
  std::vector<LimitHost> Hosts_;
  std::set<HostId> Listed_;
  std::set<HostId> Counted_;
  std::map<HostId, TimePoint> RetireAt_; ///< when unlisted hosts are no longer counted
  std::map<HostId, Incarnation> Runs_;
  std::map<HostId, detail::DepartedRun> Departed_;
  std::map<HostId, std::uint32_t> Joined_; ///< count that each host confirmed
  std::uint64_t CountedHash_ = 0;          ///< hash of Counted_, independent of the order
  HostId JoinCursor_;
  TimePoint NextJoinRound_{};
  bool JoinComplete_ = false, EarlierLoansPossible_ = false, OthersActive_ = false;
  bool RestartsSeen_ = false, AllAnswered_ = false;
  TimePoint JoinedAt_{};
  std::uint32_t PreviousCount_ = 0;
  std::map<HostId, std::uint32_t> OwnersCount_; ///< largest count of each lending owner
  detail::LoanRecord PreviousShares_; ///< larger shares from before the last hosts were counted
  bool Leaving_ = false;
  std::vector<LimitEffect> Effects_;
  std::vector<LimitMessage> LocalMessages_;
  bool Draining_ = false;
};

} // namespace bronzestand

#endif
