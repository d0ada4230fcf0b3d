#ifndef BRONZESTAND_DISPATCHER_H
#define BRONZESTAND_DISPATCHER_H

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include "bronzestand/call.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// Mechanisms of the dispatcher; all are on in the daemon. Measurements switch single ones off.
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

/// Work waiting for the local backend server.
struct QueueEntry {
  CallId Id_ = 0; ///< unique at this dispatcher, so not the number given by the calling node
  TeamId Team_;
  std::string KeyId_;
  Standing Standing_;
  bool Protected_ = false; ///< its class may not be shed
  TimePoint Deadline_;
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
  std::vector<RefusedCall> Refused_; ///< evicted or expired since the last batch; none was run
};

/// Load over the time since the last report, the input of AdmissionLevel.
struct DispatcherLoad {
  std::uint64_t Dispatched_ = 0;
  std::uint64_t Refused_ = 0;
  Duration MeanDelay_{};   ///< queueing delay of the dispatched calls
  Duration TargetDelay_{}; ///< delay above which the backend server counts as overloaded
};

/// Concurrency limit learned from latency alone. Two limits about 30 % apart alternate; latency
/// that grows with the limit shows queueing in the backend server, latency that is equal at both
/// shows free slots, however slow a deeper service is (design section 9).
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(const DispatcherOptions &Options);

  /// Calls that may be in flight now.
  unsigned current() const;
  double mean() const { return Limit_; }
  /// Notes a dispatch; the result goes back into finished(). \param InFlight includes the call.
  std::uint64_t dispatched(TimePoint Now, unsigned InFlight);
  void finished(TimePoint Now, std::uint64_t Stamp, Duration Latency, CallResult Result);

private:
  struct Phase {
    unsigned Limit_ = 0;
    unsigned Stamped_ = 0;
    unsigned Ended_ = 0;
    double LatencySum_ = 0.0;
  };
  void startPair(TimePoint Now);
  void endPhase(TimePoint Now);
  void adjust();

  bool Adaptive_;
  double Limit_;
  bool Growing_ = true; ///< until the first sign of queueing
  std::array<Phase, 2> Phases_;
  std::size_t Active_ = 0;
  std::uint64_t Stamp_ = 1;
  TimePoint LastSample_;
  TimePoint LastShed_;
};

/// Short queue ordered by class rank, then recent use per team (max-min), then deadline.
/// Every operation is logarithmic unless noted.
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
  bool holdsSeveralRanks() const { return Waiting_ > 1; }
  void push(TimePoint Now, const QueueEntry &Entry);
  /// Takes the entry to dispatch next and charges its team. Needs a non-empty queue.
  /// \param LowestRank takes from the lowest class instead of the highest.
  Taken pop(TimePoint Now, bool LowestRank);
  /// Takes the least important entry: lowest rank, longest team queue, latest deadline.
  QueueEntry popLeastImportant();
  bool erase(CallId Id);
  /// Entry with the earliest deadline; nullptr if empty.
  const QueueEntry *earliest() const;
  /// Entries that go before a new one of this team and rank, if all teams take turns.
  std::size_t ahead(std::uint8_t Rank, const TeamId &Team) const;
  /// Ids of the entries that match. Linear.
  std::vector<CallId> match(const std::function<bool(const QueueEntry &)> &Predicate) const;

private:
  struct TeamQueue;
  struct ByTeam;
  struct ByDeadline;
  struct Arrived;
  struct Item : boost::intrusive::set_base_hook<boost::intrusive::tag<ByTeam>>,
                boost::intrusive::set_base_hook<boost::intrusive::tag<ByDeadline>>,
                boost::intrusive::list_base_hook<boost::intrusive::tag<Arrived>> {
    QueueEntry Entry_;
    TimePoint Arrival_;
    TeamQueue *Queue_ = nullptr;
  };
  struct EarlierDeadline {
    bool operator()(const Item &A, const Item &B) const {
      return A.Entry_.Deadline_ < B.Entry_.Deadline_;
    }
  };
  template <typename Tag>
  using ItemSet = boost::intrusive::multiset<
      Item,
      boost::intrusive::base_hook<boost::intrusive::set_base_hook<boost::intrusive::tag<Tag>>>,
      boost::intrusive::compare<EarlierDeadline>>;
  struct ByUse;
  struct ByLength;
  struct RankQueue;
  struct TeamQueue : boost::intrusive::set_base_hook<boost::intrusive::tag<ByUse>>,
                     boost::intrusive::set_base_hook<boost::intrusive::tag<ByLength>> {
    ItemSet<ByTeam> Items_;
    double Use_ = 0.0; ///< recent dispatches, in units that grow with time
    RankQueue *Rank_ = nullptr;
  };
  struct LessUse {
    bool operator()(const TeamQueue &A, const TeamQueue &B) const { return A.Use_ < B.Use_; }
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
    TeamSet<ByUse, LessUse> Use_;
    TeamSet<ByLength, Shorter> Length_;
    std::size_t Size_ = 0;
  };

  void link(TeamQueue &Queue);
  void unlink(TeamQueue &Queue);
  void detach(Item &Entry);
  double useUnit(TimePoint Now);
  void forgetIdleTeams(double Unit);

  bool ClassOrder_;
  bool TeamFairness_;
  std::unordered_map<CallId, Item> Items_;
  ItemSet<ByDeadline> Deadlines_;
  boost::intrusive::list<
      Item,
      boost::intrusive::base_hook<boost::intrusive::list_base_hook<boost::intrusive::tag<Arrived>>>>
      Arrivals_;
  std::map<std::uint8_t, RankQueue> Ranks_;
  std::size_t Protected_ = 0;
  std::size_t Waiting_ = 0; ///< ranks that hold entries
  TimePoint UseEpoch_;
};

/// Decides which work goes to the local backend server and when (design section 9).
/// The caller reports every dispatched call as finished, at the latest at its deadline.
class Dispatcher {
public:
  explicit Dispatcher(const DispatcherOptions &Options = {});

  /// Takes a call into the queue. It is refused at once if its deadline cannot be met
  /// (DeadlineTooShort) or if the queue is full of work at least as important (Overloaded).
  /// An entry evicted in its favour is in the next batch. A repeated id is refused (BadRequest).
  /// Cost: logarithmic.
  OfferResult offer(TimePoint Now, const QueueEntry &Entry);
  /// Returns the calls to dispatch now and those that will not be run.
  DispatchBatch next(TimePoint Now);
  /// Ends a dispatched call. Unknown and repeated ids change nothing. Cost: constant.
  void finished(TimePoint Now, CallId Id, Duration Latency, CallResult Result);
  /// Removes a queued call; false if it is not queued (dispatched, ended or unknown).
  bool cancel(CallId Id) { return Queue_.erase(Id); }
  /// Removes queued work, for example of a withdrawn key, and returns the ids. Linear.
  std::vector<CallId> removeIf(const std::function<bool(const QueueEntry &)> &Predicate);
  /// Time of the first expiry in the queue; TimePoint::max() if there is none.
  TimePoint nextExpiry() const;
  /// Load since the last report; starts a new interval.
  DispatcherLoad takeLoad();

  std::size_t queued() const { return Queue_.size(); }
  std::size_t inFlight() const { return InFlight_.size(); }
  unsigned limit() const { return Limit_.current(); }
  double meanLimit() const { return Limit_.mean(); }

private:
  struct Running {
    std::uint64_t Stamp_;
    std::uint8_t Rank_;
  };
  struct Typical {
    double Seconds_ = 0.0; ///< median latency
    TimePoint Last_;
  };
  Duration timeNeeded(TimePoint Now, std::uint8_t Rank) const;
  void noteLatency(TimePoint Now, std::uint8_t Rank, Duration Latency);
  bool lowestRankIsDue();

  DispatcherOptions Options_;
  ConcurrencyLimit Limit_;
  FairQueue Queue_;
  std::unordered_map<CallId, Running> InFlight_;
  std::map<std::uint8_t, Typical> Typical_;
  std::vector<RefusedCall> Evicted_;
  unsigned SinceLowest_ = 0;
  double MeanLatency_ = 0.0; ///< seconds
  DispatcherLoad Load_;
  Duration DelaySum_{};
};

} // namespace bronzestand

#endif
