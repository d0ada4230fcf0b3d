#ifndef BRONZESTAND_DISPATCHER_H
#define BRONZESTAND_DISPATCHER_H

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include "bronzestand/call.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// Mechanisms of the dispatcher. The daemon enables all; benchmarks disable them one by one.
struct DispatcherOptions {
  bool AdaptiveLimit_ = true;
  bool ClassOrder_ = true;
  bool TeamFairness_ = true;
  bool Deadlines_ = true;
  double InitialLimit_ = 10.0;
};

/// How a dispatched call ended at the backend server.
enum class CallResult {
  Served,
  Shed,      ///< the backend server refused it as overloaded (503)
  Failed,    ///< no answer, or the connection was lost
  Cancelled, ///< stopped by the caller
};

/// A call that waits for the local backend server.
struct QueueEntry {
  CallId Id_ = 0; ///< unique at this dispatcher, unlike the id given by the calling node
  TeamId Team_;
  std::string KeyId_;
  Standing Standing_;
  bool Protected_ = false; ///< its class must not be shed
  TimePoint Deadline_;
  Duration Work_{}; ///< expected time at the server; zero if not known
  /// The call is made by a run of a request that was admitted before.
  bool Continues_ = false;
  std::uint8_t Place_ = 0; ///< RootStanding::Place_ of a call that continues a request
};

struct Queued {};
struct Refused {
  Refusal Reason_;
};
using OfferResult = std::variant<Queued, Refused>;

struct RefusedCall {
  CallId Id_;
  Refusal Reason_;
};

struct DispatchBatch {
  std::vector<CallId> Dispatch_;
  std::vector<RefusedCall> Refused_; ///< evicted or expired since the last batch, and never run
};

/// Load since the last report, the input of AdmissionLevel.
struct DispatcherLoad {
  std::uint64_t Dispatched_ = 0;
  std::uint64_t Refused_ = 0;
  Duration MeanDelay_{};   ///< queueing delay of the dispatched calls
  Duration TargetDelay_{}; ///< delay above which the backend server counts as overloaded
};

/// Adapts the concurrency limit by latency alone (design section 9). It alternates between two
/// limits about 30 % apart and compares their latencies: latency that grows with the limit
/// indicates queueing in the backend server. Equal latencies indicate free slots, even while a
/// downstream service is slow.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(const DispatcherOptions &Options);

  /// Returns the number of calls that may be in flight now.
  unsigned current() const;
  double mean() const { return Limit_; }
  /// Records a dispatched call. Returns the value to pass to finished(): the id of the phase that
  /// samples the call, 0 if it is not sampled.
  /// \param InFlight calls in flight, including this one.
  std::uint64_t dispatched(TimePoint Now, unsigned InFlight);
  void finished(TimePoint Now, std::uint64_t PhaseId, Duration Latency, CallResult Result);

private:
  struct Phase {
    unsigned Limit_ = 0;
    unsigned Dispatched_ = 0; ///< samples taken
    unsigned Completed_ = 0;  ///< samples completed
    double LatencySum_ = 0.0;
  };
  void startPhasePair(TimePoint Now);
  void endPhase(TimePoint Now);
  void adjust();

  bool Adaptive_;
  double Limit_;
  bool SlowStart_ = true; ///< until the first sign of queueing
  std::array<Phase, 2> Phases_;
  std::size_t Active_ = 0;
  std::uint64_t PhaseId_ = 1;
  TimePoint LastSample_;
  TimePoint LastShed_;
};

/// Priority queue ordered by class rank, then by recent usage per team (max-min fairness). Within a
/// team, calls that continue a request go first, by place; then by deadline. Operations are
/// logarithmic unless noted otherwise.
class FairQueue {
public:
  FairQueue(bool ClassOrder, bool TeamFairness)
      : ClassOrder_(ClassOrder), TeamFairness_(TeamFairness) {}
  FairQueue(const FairQueue &) = delete;
  FairQueue &operator=(const FairQueue &) = delete;
  ~FairQueue();

  struct Taken {
    QueueEntry Entry_;
    TimePoint Arrival_;
  };

  bool empty() const { return Items_.empty(); }
  std::size_t size() const { return Items_.size(); }
  bool contains(CallId Id) const { return Items_.count(Id) != 0; }
  std::size_t protectedCount() const { return Protected_; }
  bool holdsSeveralRanks() const { return NonEmptyRanks_ > 1; }
  void push(TimePoint Now, const QueueEntry &Entry);
  /// Removes the entry to dispatch next and charges its team. The queue must not be empty.
  /// \param LowestRank take an entry of the lowest rank instead of the highest.
  Taken pop(TimePoint Now, bool LowestRank);
  /// Removes the least important entry: lowest rank, longest team queue, last in
  /// it.
  QueueEntry popLeastImportant();
  bool erase(CallId Id);
  /// Returns the entry with the earliest deadline; nullptr if the queue is empty.
  const QueueEntry *earliest() const;
  /// Estimates the number of entries that are dispatched before a new one of this rank and team,
  /// assuming that the teams take turns.
  std::size_t ahead(std::uint8_t Rank, const TeamId &Team) const;
  /// Estimates the sum of the expected times at the server of these entries.
  Duration workAhead(std::uint8_t Rank, const TeamId &Team) const;
  /// Returns the ids of the entries that match, in order of arrival. Linear.
  std::vector<CallId> match(const std::function<bool(const QueueEntry &)> &Predicate) const;

private:
  struct TeamQueue;
  struct ByTeam;
  struct ByDeadline;
  struct ByArrival;
  struct Item : boost::intrusive::set_base_hook<boost::intrusive::tag<ByTeam>>,
                boost::intrusive::set_base_hook<boost::intrusive::tag<ByDeadline>>,
                boost::intrusive::list_base_hook<boost::intrusive::tag<ByArrival>> {
    QueueEntry Entry_;
    TimePoint Arrival_;
    TeamQueue *Queue_ = nullptr;
  };
  struct EarlierDeadline {
    bool operator()(const Item &A, const Item &B) const {
      return A.Entry_.Deadline_ < B.Entry_.Deadline_;
    }
  };
  /// Work was already done for a request whose run makes the call, and is lost if the call is not
  /// served; so it does not wait behind new requests of its team. By the place, the same requests
  /// go first at every service, so that those that are served get all the answers that they need.
  struct EarlierInTeam {
    bool operator()(const Item &A, const Item &B) const {
      return std::tuple(!A.Entry_.Continues_, A.Entry_.Place_, A.Entry_.Deadline_) <
             std::tuple(!B.Entry_.Continues_, B.Entry_.Place_, B.Entry_.Deadline_);
    }
  };
  template <typename Tag, typename Order>
  using ItemSet = boost::intrusive::multiset<
      Item,
      boost::intrusive::base_hook<boost::intrusive::set_base_hook<boost::intrusive::tag<Tag>>>,
      boost::intrusive::compare<Order>>;
  struct ByUsage;
  struct ByLength;
  struct RankQueue;
  struct TeamQueue : boost::intrusive::set_base_hook<boost::intrusive::tag<ByUsage>>,
                     boost::intrusive::set_base_hook<boost::intrusive::tag<ByLength>> {
    ItemSet<ByTeam, EarlierInTeam> Items_;
    double Usage_ = 0.0; ///< recent dispatches, in units that grow with time
    RankQueue *Rank_ = nullptr;
  };
  struct LessUsage {
    bool operator()(const TeamQueue &A, const TeamQueue &B) const { return A.Usage_ < B.Usage_; }
  };
  struct Shorter {
    bool operator()(const TeamQueue &A, const TeamQueue &B) const {
      return A.Items_.size() < B.Items_.size();
    }
  };
  template <typename Tag, typename Order>
  using TeamSet = boost::intrusive::multiset<
      TeamQueue,
      boost::intrusive::base_hook<boost::intrusive::set_base_hook<boost::intrusive::tag<Tag>>>,
      boost::intrusive::compare<Order>>;
  struct RankQueue {
    std::unordered_map<TeamId, TeamQueue> Teams_;
    TeamSet<ByUsage, LessUsage> ByUsage_;
    TeamSet<ByLength, Shorter> ByLength_;
    std::size_t Size_ = 0;
    Duration Work_{}; ///< of all entries
  };

  void link(TeamQueue &Queue);
  void unlink(TeamQueue &Queue);
  void unlinkItem(Item &Entry);
  double usageUnit(TimePoint Now);
  void removeIdleTeams(double Unit);

  bool ClassOrder_;
  bool TeamFairness_;
  std::unordered_map<CallId, Item> Items_;
  ItemSet<ByDeadline, EarlierDeadline> Deadlines_;
  boost::intrusive::list<Item, boost::intrusive::base_hook<boost::intrusive::list_base_hook<
                                   boost::intrusive::tag<ByArrival>>>>
      Arrivals_;
  std::map<std::uint8_t, RankQueue> Ranks_;
  std::size_t Protected_ = 0;
  std::size_t NonEmptyRanks_ = 0; ///< ranks that have entries
  TimePoint UsageEpoch_;
};

/// Decides which calls are sent to the local backend server and when (design section 9).
/// Its user reports every dispatched call as finished, no later than at its deadline.
class Dispatcher {
public:
  explicit Dispatcher(const DispatcherOptions &Options = {});

  /// Adds a call to the queue. The call is refused if its deadline can't be met (DeadlineTooShort),
  /// if the queue is full of calls that are at least as important (Overloaded), or if its id is in
  /// use (BadRequest). An entry that is evicted to make room is reported in the next batch.
  /// Cost: logarithmic.
  OfferResult offer(TimePoint Now, const QueueEntry &Entry);
  /// Returns the calls to dispatch now, and those that are refused without having run.
  DispatchBatch next(TimePoint Now);
  /// Ends a dispatched call. Unknown and repeated ids are ignored. Cost: constant.
  void finished(TimePoint Now, CallId Id, Duration Latency, CallResult Result);
  /// Removes a queued call; returns false if no such call is queued.
  bool cancel(CallId Id) { return Queue_.erase(Id); }
  /// Removes the queued calls that match, for example those of a withdrawn key, and returns their
  /// ids. Linear.
  std::vector<CallId> removeIf(const std::function<bool(const QueueEntry &)> &Predicate);
  /// Returns the earliest deadline in the queue; TimePoint::max() if the queue is empty.
  TimePoint nextExpiry() const;
  /// Returns the load since the last report and starts a new interval.
  DispatcherLoad takeLoad();

  std::size_t queued() const { return Queue_.size(); }
  std::size_t inFlight() const { return InFlight_.size(); }
  unsigned limit() const { return Limit_.current(); }
  double meanLimit() const { return Limit_.mean(); }

private:
  struct Running {
    std::uint64_t PhaseId_;
    std::uint8_t Rank_;
  };
  struct LatencyEstimate {
    double Seconds_ = 0.0; ///< median
    TimePoint Last_;
  };
  Duration expectedLatency(TimePoint Now, std::uint8_t Rank) const;
  void noteLatency(TimePoint Now, std::uint8_t Rank, Duration Latency);
  bool lowestRankIsDue();

  DispatcherOptions Options_;
  ConcurrencyLimit Limit_;
  FairQueue Queue_;
  std::unordered_map<CallId, Running> InFlight_;
  std::map<std::uint8_t, LatencyEstimate> LatencyEstimates_; ///< by class rank
  std::vector<RefusedCall> Evicted_;
  unsigned SinceLowest_ = 0; ///< dispatches since the lowest rank was last due
  double MeanLatency_ = 0.0; ///< seconds
  DispatcherLoad Load_;
  Duration DelaySum_{};
};

} // namespace bronzestand

#endif
