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

enum class LimitDecision : std::uint8_t { Admitted, Hold, Refuse };

struct LimitHost {
  HostId Id_;
  DataCentreId DataCentre_;
  RegionId Region_;
};

struct LimitSettings {
  std::uint32_t Shards_ = 4;
  Duration OwnerTerm_ = std::chrono::seconds(10);
  Duration OwnerRenewal_ = std::chrono::seconds(4);
  Duration LeaseTerm_ = std::chrono::seconds(1);
  Duration LeaseRenewal_ = std::chrono::milliseconds(400);
  Duration BulkTerm_ = std::chrono::milliseconds(800);
  Duration BulkRenewal_ = std::chrono::milliseconds(250);
  /// Terms of leases and bulk loans that carry tokens for requests held now, and little more.
  Duration SpotTerm_ = std::chrono::milliseconds(80);
  Duration SpotBulkTerm_ = std::chrono::milliseconds(130);
  /// Below this part of its capacity a pool asks the fullest other pool for tokens, at most once
  /// per interval.
  double LowLevel_ = 0.5;
  Duration EvenInterval_ = std::chrono::milliseconds(30);
  /// A lease shallower than this many requests is replaced by spot leases, because normal
  /// variation of the demand would empty it while the pool still has tokens.
  double LeaseDepth_ = 40;
  /// Without calls for this time, and for several times the usual gap, a lease is returned.
  Duration IdleReturn_ = std::chrono::milliseconds(40);
  /// Time without an answer after which a request may be repeated.
  Duration AnswerTimeout_ = std::chrono::milliseconds(100);
  /// How long a broker delays an answer while it waits for a bulk loan; leaves room in 50 ms.
  Duration BulkWait_ = std::chrono::milliseconds(35);
  /// How long a host that left the list without notice still counts.
  Duration RetireTerm_ = std::chrono::hours(1);
  /// Silent hosts no longer block a start after this time if no other host uses its right yet.
  Duration ColdStartGrace_ = std::chrono::seconds(20);
  /// Join requests per second, so that joining 22,000 hosts stays inside the control budget.
  std::uint32_t JoinsPerSecond_ = 40;
  /// A host that left and started again is no broker for this time, because its pool rests for
  /// twice the longest lease, and another broker serves its data centre until then.
  Duration BrokerReturn_ = std::chrono::seconds(3);
  /// Fraction of a term that a borrower uses, for drift between two clocks.
  double BorrowerPart_ = 0.95;
};

/// Asks every host to count the sender before the sender uses its right.
struct JoinRequest {
  Incarnation Incarnation_ = 0;
  std::uint64_t HostsHash_ = 0;
  std::uint32_t Count_ = 0;
};
/// Sent once the sender's exposure is at most 1/Count_.
struct JoinAnswer {
  Incarnation ToIncarnation_ = 0;
  std::uint32_t Count_ = 0;
  bool HoldsLoan_ = false;
  bool Active_ = false;             ///< the sender's own right is usable
  std::uint32_t PreviousCount_ = 0; ///< count with which an earlier run of the receiver was active
  std::vector<HostId> Hosts_;       ///< all counted hosts, only if the two sides differ
};
struct LendRequest {
  std::uint32_t Shard_ = 0;
  Incarnation Incarnation_ = 0;
  TimePoint Stamp_;
};
/// Lends the sender's right of all teams of a shard, without tokens.
struct Lend {
  std::uint32_t Shard_ = 0;
  Incarnation Incarnation_ = 0;
  Incarnation ToIncarnation_ = 0;
  TimePoint Stamp_;
  double Fraction_ = 0;
  Duration Term_{};
};
/// Ends a loan of an owner early: the sender grants nothing more out of it, and what it granted has
/// ended once the given time has passed.
struct LendReturn {
  std::uint32_t Shard_ = 0;
  Incarnation Incarnation_ = 0;
  TimePoint Stamp_;    ///< of the last accepted loan
  bool Final_ = false; ///< the sender's run grants nothing more, whatever loan reaches it
  Duration GrantsEnd_{};
};
/// What a loan between a broker and one borrower is for; the two sides keep each kind apart.
enum class LoanKind : std::uint8_t { Lease, Bulk, SpotBulk };

struct LeaseRequest {
  TeamId Team_;
  Incarnation Incarnation_ = 0;
  TimePoint Stamp_;
  double Demand_ = 0;       ///< calls at the sender, as a fraction of the team's rate; for a spot
                            ///< bulk loan the sender's level
  double RateWanted_ = 0;   ///< fraction of the team's rate
  double Wanted_ = 0;       ///< fraction of the team's burst
  double TokensWanted_ = 0; ///< requests
  double LevelBound_ = 0;   ///< the sender's level stays at or below this until the answer
  bool Bulk_ = false;
  bool Spot_ = false; ///< for requests held now: short term, no accrual

  LoanKind kind() const {
    return Bulk_ ? (Spot_ ? LoanKind::SpotBulk : LoanKind::Bulk) : LoanKind::Lease;
  }
};
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
  double Level_ = 0; ///< tokens that the lender has left
};
/// Ends all leases of a team from one lender, with the tokens left.
struct LeaseReturn {
  TeamId Team_;
  Incarnation Incarnation_ = 0;
  TimePoint Stamp_; ///< of the last accepted grant
  double Tokens_ = 0;
  LoanKind Kind_ = LoanKind::Lease;
};
/// The sender has stopped using its right for good.
struct LeaveNotice {
  Incarnation Incarnation_ = 0;
  Duration LoansEnd_{};
};

using LimitMessage = std::variant<JoinRequest, JoinAnswer, LendRequest, Lend, LeaseRequest,
                                  LeaseGrant, LeaseReturn, LeaveNotice, LendReturn>;

struct LimitSend {
  HostId To_;
  LimitMessage Message_;
};
/// Held requests of the team may call admit() again.
struct LimitReady {
  TeamId Team_;
};
using LimitEffect = std::variant<LimitSend, LimitReady>;

struct TeamLimitsDump {
  struct Team {
    TeamId Team_;
    double LeasedFraction_ = 0, Level_ = 0, PoolFraction_ = 0, PoolLent_ = 0, PoolLevel_ = 0;
  };
  std::size_t HostsCounted_ = 0, JoinsMissing_ = 0;
  bool OwnRightUsable_ = false;
  std::vector<Team> Teams_;
};

/// Strategy of a team limit; team limits and the measurement baselines implement it.
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

/// Lender's record of what one borrower may still use. A smaller renewal doesn't shorten an
/// earlier, larger loan: the message that carries it may be lost.
class LoanRecord {
public:
  void add(double Fraction, double Rate, TimePoint End);
  double exposure(TimePoint Now);
  double rateExposure(TimePoint Now);
  TimePoint end() const;
  /// Ends all loans at the given time at the latest.
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
  double Rate_ = 0; ///< 0 on a spot loan: the lender keeps the accrual
  TimePoint End_{}, Stamp_{};
  Incarnation Lender_ = 0; ///< run of the owner; 0 on loans between brokers and on leases
  double rateAt(TimePoint Time) const { return Time < End_ ? Rate_ : 0; }
  double at(TimePoint Time) const { return Time < End_ ? Fraction_ : 0; }
};

/// A bucket whose rate and capacity follow a fraction that changes over time.
struct Bucket {
  double Level_ = 0;
  double LastFraction_ = 0;
  TimePoint Updated_{};
  TimePoint ValidUntil_{};
  /// Accrues at the smaller of the last and the present fraction, until the first loan behind the
  /// last fraction ends.
  void advance(TimePoint Now, double RateFraction, double Rate, double Capacity,
               TimePoint ValidUntil);
};

/// Borrower side of leases from one lender; at most one request is outstanding.
struct Borrowing {
  Holding Holding_;
  bool Pending_ = false, Short_ = false;
  double RateWanted_ = 0, Granted_ = 0;
  std::uint32_t Unanswered_ = 0;
  double LevelBound_ = 0, TokensWanted_ = 0;
  TimePoint Asked_{}, ShortUntil_{};
};

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
  double Demand_ = 0; ///< calls per second, smoothed
  double Recent_ = 0; ///< the same, over a tenth of the time
  std::uint32_t Missed_ = 0, EmptyAnswers_ = 0;
  TimePoint FirstCall_{}, LastCall_{}, EmptyUntil_{}, NextLease_{};
  // Broker role.
  Bucket Pool_;
  std::map<std::pair<HostId, LoanKind>, LoanRecord> Lent_;
  std::map<HostId, std::pair<double, TimePoint>> Wanted_; ///< demand and when it was reported
  std::map<HostId, Borrowing> Bulk_;                      ///< loans of rate from other brokers
  std::map<HostId, Borrowing> SpotBulk_;                  ///< loans of tokens from other brokers
  std::vector<WaitingRequest> Waiting_;
  TimePoint NextBulk_{}, NextEven_{};
};

struct ShardState {
  // Owner role.
  HostId Borrower_;
  LoanRecord Lent_;
  // Broker role.
  std::map<HostId, Holding> Owners_;
  TimePoint NextAsk_{}, BrokerSince_{};
  HostId LocalBroker_;
  std::vector<HostId> OtherBrokers_;
};

/// A run of a host that has left.
struct LeftRun {
  Incarnation Run_ = 0;
  TimePoint BrokerFrom_ = TimePoint::max(); ///< when a later run may be a broker
};

} // namespace detail

/// Enforces each team's rate and burst over all hosts (design section 6). The node has three roles
/// at once: owner of 1/N of every right, broker of shards, and consumer of leases.
class TeamLimits : public TeamLimitStrategy {
public:
  /// \param Start time of start; rights stay unused until every host has counted this one.
  TeamLimits(HostId Self, DataCentreId DataCentre, Incarnation Run, TimePoint Start,
             LimitSettings Settings = {});

  /// Decides on one request. A held request is retried after LimitReady and refused by the caller
  /// of this function after 50 ms.
  /// \param Retried the request was held before, so it isn't new demand.
  /// Cost: logarithmic in the number of teams.
  LimitDecision admit(TimePoint Now, const TeamId &Team, bool Retried = false) override;
  void handle(TimePoint Now, const HostId &From, const LimitMessage &Message) override;
  /// To be called about every 10 ms.
  void tick(TimePoint Now) override;
  void setHosts(TimePoint Now, const std::vector<LimitHost> &Hosts) override;
  /// \param Rate requests per second, not negative. \param Burst requests, not negative.
  void setTeam(TimePoint Now, const TeamId &Team, double Rate, double Burst) override;
  void removeTeam(TimePoint Now, const TeamId &Team);
  /// Returns leases and stops using the own right for good.
  void leaving(TimePoint Now);
  /// Drops what may have expired during a pause; to be called before any other function.
  void wakeAfterPause(TimePoint Now);
  std::vector<LimitEffect> takeEffects() override;
  TeamLimitsDump dump(TimePoint Now);

private:
  void on(TimePoint Now, const HostId &From, const JoinRequest &Message);
  void on(TimePoint Now, const HostId &From, const JoinAnswer &Message);
  void on(TimePoint Now, const HostId &From, const LendRequest &Message);
  void on(TimePoint Now, const HostId &From, const Lend &Message);
  void on(TimePoint Now, const HostId &From, const LeaseRequest &Message);
  void on(TimePoint Now, const HostId &From, const LeaseGrant &Message);
  void on(TimePoint Now, const HostId &From, const LeaseReturn &Message);
  void on(TimePoint Now, const HostId &From, const LeaveNotice &Message);
  void on(TimePoint Now, const HostId &From, const LendReturn &Message);

  // Owner role: team_limits_owner.cpp.
  void count(const HostId &Host);
  void retireHosts(TimePoint Now);
  void placeBrokers(TimePoint Now);
  void readmitBrokers(TimePoint Now);
  void sendJoins(TimePoint Now);
  bool ownRightUsable(TimePoint Now) const;
  bool poolUsable(TimePoint Now) const;
  void dropEarlierLoans(TimePoint Now, const HostId &From, Incarnation Run);
  bool previousLoansOver(TimePoint Now) const;
  void checkJoins(TimePoint Now);
  void noteRun(const HostId &From, Incarnation Run);
  double exposure(TimePoint Now);
  double ownShare() const { return 1.0 / static_cast<double>(Counted_.size()); }

  // Broker role: team_limits_broker.cpp.
  void askOwners(TimePoint Now);
  void returnOwnersLoans(TimePoint Now, std::size_t Index);
  void advanceShard(TimePoint Now, std::size_t Index);
  double ownedFraction(TimePoint Now, const detail::TeamState &Team, TimePoint Time);
  double poolFraction(TimePoint Now, const detail::TeamState &Team, TimePoint Time);
  double poolRate(TimePoint Now, const detail::TeamState &Team, TimePoint Time);
  double lentFraction(TimePoint Now, detail::TeamState &Team);
  double lentRate(TimePoint Now, detail::TeamState &Team);
  TimePoint poolEnd(TimePoint Now, const detail::TeamState &Team) const;
  static double wantedTotal(const detail::TeamState &Team);
  Duration termOf(const LeaseRequest &Request) const;
  void advancePool(TimePoint Now, detail::TeamState &Team);
  bool grant(TimePoint Now, detail::TeamState &Team, const HostId &To, const LeaseRequest &Request,
             bool MayWait);
  void returnSpotRoom(TimePoint Now, const TeamId &Name, detail::TeamState &Team,
                      const HostId &Lender);
  void askSpotBulk(TimePoint Now, const TeamId &Name, detail::TeamState &Team);
  void returnBulk(TimePoint Now, const TeamId &Name, detail::TeamState &Team);
  double missingRate(TimePoint Now, const detail::TeamState &Team);
  void askBulk(TimePoint Now, const TeamId &Name, detail::TeamState &Team);
  void answerWaiting(TimePoint Now, detail::TeamState &Team, bool All);
  void tickBroker(TimePoint Now, const TeamId &Name, detail::TeamState &Team);

  // Consumer role: team_limits_consumer.cpp.
  double leased(TimePoint Now, const detail::TeamState &Team) const;
  static double demand(TimePoint Now, const detail::TeamState &Team);
  double leasedRate(TimePoint Now, const detail::TeamState &Team) const;
  void advanceBucket(TimePoint Now, detail::TeamState &Team);
  void askLease(TimePoint Now, const TeamId &Name, detail::TeamState &Team);
  void returnLeases(TimePoint Now, const TeamId &Name, detail::TeamState &Team);
  bool dropOversized(TimePoint Now, const TeamId &Name, detail::TeamState &Team);
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
  std::map<HostId, TimePoint> RetireAt_;
  std::map<HostId, Incarnation> Runs_;
  std::map<HostId, detail::LeftRun> Left_;
  std::map<HostId, std::uint32_t> Joined_; ///< count that each host confirmed
  std::uint64_t CountedHash_ = 0;
  HostId JoinCursor_;
  TimePoint JoinAt_{};
  bool JoinComplete_ = false, HeldBefore_ = false, OthersActive_ = false;
  bool RestartsSeen_ = false, AllAnswered_ = false;
  TimePoint JoinedAt_{};
  std::uint32_t PreviousCount_ = 0;
  std::map<HostId, std::uint32_t> OwnersCount_; ///< largest count of each lending owner
  detail::LoanRecord OwnUsed_;
  bool Leaving_ = false;
  std::vector<LimitEffect> Effects_;
  std::vector<LimitMessage> Local_;
  bool Draining_ = false;
};

} // namespace bronzestand

#endif
