#ifndef BRONZESTAND_ROUTE_HEALTH_H
#define BRONZESTAND_ROUTE_HEALTH_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bronzestand/call.h"
#include "bronzestand/retry_budget.h"
#include "bronzestand/return_order.h"
#include "bronzestand/room_meter.h"
#include "bronzestand/server_failures.h"

namespace bronzestand {

/// How a call at the backend server beside a node ended.
enum class RunEnd {
  Served,
  Failed,   ///< it ran, and ended with an error or without an answer in time
  Rejected, ///< the server refused to run it
};

/// Stores for each class of requests how many of its runs succeed and how many of its calls are
/// accepted, over the whole fleet. Nodes measure it beside their backend servers and pass it on
/// with their answers, so that a node learns of a service several calls further down which turns
/// everything away. Runs count as wasted only while a class that the server calls is in trouble:
/// a server that fails for a reason of its own, or a class that needs no other, changes nothing.
/// Load pattern: call chains whose last service rejects all or most calls for seconds, so that work
/// of the services above is done in vain (retry amplification; Site Reliability Engineering 2016,
/// chapter 22, Cascading failures). Design section 9.
class RouteHealth {
public:
  /// States of classes that an answer carries at most.
  static constexpr std::size_t MaxStates = 4;
  /// Time for which a node passes on news.
  static constexpr Duration NewsTime = std::chrono::milliseconds(300);

  RouteHealth();

  /// Records a call that the backend server beside this node makes.
  /// \param Parent class of the run that makes it; no value if it is not known.
  void called(TimePoint Now, const ClassId &Class,
              const std::optional<ClassId> &Parent = std::nullopt);
  /// Records what the calls of this node show of a class that it calls.
  /// \param Accepted share of its calls that servers accept, 0 to 1.
  void measured(TimePoint Now, const ClassId &Class, double Accepted, const RoomMeter::Room &Room);
  /// The same if the room is not to be told.
  void measured(TimePoint Now, const ClassId &Class, double Accepted);
  /// Records the end of a call at the backend server beside this node.
  void ended(TimePoint Now, const ClassId &Class, RunEnd End);
  /// Takes over what another node has told.
  void heard(TimePoint Now, const std::vector<RouteState> &States);
  /// Returns the states to pass on, the newest ones; empty while no class is in trouble.
  std::vector<RouteState> states(TimePoint Now);
  /// Returns the state of a class that is or was in trouble; nothing if none is known.
  std::optional<RouteState> find(TimePoint Now, const ClassId &Class) const;
  /// Returns the class of which the fewest calls are accepted and succeed, if any is in trouble.
  std::optional<RouteState> worst(TimePoint Now) const;
  /// Returns whether a class needs, or is, one whose servers reject a part of the calls, or did
  /// recently.
  bool isLimited(TimePoint Now, const ClassId &Class) const;
  /// Returns whether a class needs another one whose servers reject a part of the calls, or did
  /// recently. A failed run of it is not repeated: that would cost the other class a retry for each
  /// of its calls, and the retries of the calling services are lent to it.
  bool needsLimited(TimePoint Now, const ClassId &Class) const;
  /// Returns whether the room of a class has risen much within the last NewsTime. Many requests are
  /// refused until all entry nodes know it.
  bool hasNews(TimePoint Now) const;
  /// Returns whether the room of any class is less than its calls.
  bool isAnyLimited(TimePoint Now) const;

private:
  struct Entry {
    double Success_ = 1.0;
    double Accepted_ = 1.0;
    TimePoint At_;         ///< time of the newest measurement
    TimePoint TroubleAt_;  ///< last time at which few calls succeeded or were accepted
    RoomMeter::Room Room_; ///< of the limiting class, if that has no newer one of its own
    double Answers_ = 1.0; ///< of the limiting class that a run needs
    ClassId Limit_;        ///< class that limits the room; empty if the room is not known
    TimePoint RoomAt_;
    double NewsShare_ = 1.0; ///< least room since the last news
  };
  struct OwnRuns {
    FailureMeter Failures_;
    TimePoint LastRun_;
    double Counted_ = 0.0; ///< runs to which the calls in Needs_ belong
    RateMeter Rate_;       ///< runs while no class is limited
    OwnRuns();
  };

  void merge(const ClassId &Class, double Success, double Accepted, TimePoint At);
  struct Need {
    TimePoint At_; ///< last call
    double Calls_ = 0.0;
  };

  /// A room as it is known for a class: that of the class that limits it.
  struct KnownRoom {
    RoomMeter::Room Room_;
    double Answers_ = 1.0;
    ClassId Limit_;
    TimePoint At_;
  };

  void noteNews(Entry &Item);
  void mergeRoom(const ClassId &Class, const KnownRoom &Known);
  /// Returns the room of a class; the newest one of the class that limits it.
  std::optional<KnownRoom> roomOf(TimePoint Now, const ClassId &Class) const;
  /// Takes over the least room of the classes that the runs of a class need.
  void deriveRoom(TimePoint Now, const ClassId &Class);
  /// Returns whether the calls of the runs of a class are to be counted.
  bool mayCount(TimePoint Now, const ClassId &Class);
  /// Counts a run to which the counted calls of a class belong.
  void countRun(const ClassId &Class);
  /// Returns how many calls of a class a run needs. If the runs that make them are not known, the
  /// calls are divided among the runs of all classes that need them.
  double callsOf(TimePoint Now, const ClassId &Class, const ClassId &Callee,
                 const Need &Item) const;
  /// Records that the runs of a class need the called classes without room, because they fail.
  void learnNeeds(TimePoint Now, const ClassId &Class);
  /// Returns the only class that runs at the server beside this node, if it is just one.
  std::optional<ClassId> onlyClass(TimePoint Now) const;
  /// Merges what was measured at the backend server beside this node.
  void measure(TimePoint Now, const ClassId &Class);
  bool isCalleeInTrouble(TimePoint Now) const;

  std::map<ClassId, Entry> Entries_;
  std::map<ClassId, OwnRuns> OwnRuns_;
  std::map<ClassId, TimePoint> Called_; ///< classes that the server calls, last time of each
  /// For each class that runs here, the classes that its runs call.
  std::map<ClassId, std::map<ClassId, Need>> Needs_;
  /// Calls whose run is not known, by class, while no class is limited.
  std::map<ClassId, RateMeter> LooseCalls_;
  bool CalleeInTrouble_ = false; ///< when the states were last passed on
  FailureMeter Rejections_;
  TimePoint NewsAt_{};
};

/// Passes on what a node knows of the services that it calls and that are degraded: lends the
/// retries of the services above to them and has their room told. The room of services to which
/// nothing can be lent is not told: it is so small that admission by the success of the runs makes
/// more requests whole.
void shareRooms(TimePoint Now, RoomMeter &Rooms, RetryBudget &Budget, RouteHealth &Health);

/// Decides which share of the requests of a class is admitted, so that those that are admitted get
/// all the answers that they need. If the room of the classes that it needs is known, the share
/// follows from it: urgent classes get the room first, classes of a rank get the same share.
/// Otherwise it follows from the success of its runs: while less than a target succeeds, it shrinks
/// step by step, less urgent classes earlier. A few requests are always admitted, since only their
/// calls show the recovery. Load pattern: as RouteHealth. docs/design/whole-requests.md.
class RouteAdmission {
public:
  /// A class of requests, with what is known of it.
  struct Demand {
    ClassId Class_;
    std::uint32_t Urgency_ = 0; ///< rank of the class; 0 is the most urgent
    std::optional<RouteState> State_;
  };

  /// Returns whether to admit a request that arrives at this node. Requests that come back after a
  /// refusal go first; together with them, no more are admitted than the share of the new ones.
  bool admit(TimePoint Now, const ClassId &Class, const ReturnOrder::Place &Place);
  /// Adapts the shares of all classes; to be called every 100 ms.
  void update(TimePoint Now, const std::vector<Demand> &Classes);
  /// Adapts the share of a class; to be called every 100 ms.
  /// \param Urgency rank of the class; 0 is the most urgent.
  /// \param Success share of its runs that succeed, 0 to 1; nothing if it is not known.
  void update(const ClassId &Class, std::uint32_t Urgency, std::optional<double> Success);
  /// Returns the share of the requests that are admitted, 0 to 1.
  double share(const ClassId &Class) const;
  /// Returns the time in which room for a number of requests of a limited class becomes free at
  /// this node; no value if the class is not limited by room.
  std::optional<Duration> timeForRoom(TimePoint Now, const ClassId &Class,
                                      std::size_t Requests) const;
  /// Returns whether all requests of all classes are admitted.
  bool isOpen() const { return Shares_.empty(); }

private:
  using Group = std::vector<const Demand *>;
  struct Limit {
    double Share_ = 1.0;
    bool ByRoom_ = false;
    double Credit_ = 0.0; ///< requests that may be admitted beyond those that were
  };

  /// Distributes the room of one limiting class among the classes that need it.
  void distribute(TimePoint Now, const Group &Classes);
  /// Lowers a share at once, and raises it stepwise.
  void move(const ClassId &Class, double Target);

  std::map<ClassId, Limit> Shares_; ///< of classes of which not all requests are admitted
  std::map<ClassId, RateMeter> Offered_;
};

} // namespace bronzestand

#endif
