#ifndef BRONZESTAND_TESTS_WHOLE_REQUESTS_REPLAY_H
#define BRONZESTAND_TESTS_WHOLE_REQUESTS_REPLAY_H

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "bronzestand/call_parents.h"
#include "bronzestand/retry_budget.h"
#include "bronzestand/return_order.h"
#include "bronzestand/route_health.h"

namespace bronzestand {

/// Replays the calls of a fleet without a network, on a virtual clock. A request of a class that
/// needs the chain runs at the first service, which calls the second twice, which calls the third
/// once, which calls the last four times. One node stands beside each server; all are entries.
class WholeRequestsReplay {
public:
  static constexpr std::size_t Services = 4;
  static constexpr std::size_t Last = Services - 1;
  static constexpr std::array<std::size_t, Services> Servers{10, 10, 9, 25};
  static constexpr std::array<std::size_t, Last> CallsOfRun{2, 1, 4};
  static constexpr double Answers = 8.0; ///< of the last service that a request needs
  static constexpr std::size_t Nodes = 90;
  static constexpr double RetryRatio = 0.2;
  static constexpr double RetryAllowance = 100.0;

  enum class Law {
    Success, ///< the share of a class follows from the success of its runs
    Room,    ///< and from the room of the classes that they need
  };
  struct Class {
    std::string Name_;
    std::uint32_t Rank_ = 1;
    double PerSecond_ = 0.0;
    bool NeedsChain_ = true;
  };
  struct Options {
    Law Law_ = Law::Room;
    double Rejected_ = 0.55; ///< share of the arrivals at a degraded server
    std::size_t DegradedServers_ = Servers[Last];
    /// The budget counts the requests of up to 15 s.
    Duration DegradedFrom_ = std::chrono::seconds(16);
    Duration DegradedTime_ = std::chrono::milliseconds(8500);
    Duration TimeAfter_ = std::chrono::seconds(3);
    std::vector<Class> Classes_{{"root", 1, 875.0, true}};
    /// Arrivals per second that each degraded server takes; it rejects the others. 0: it rejects a
    /// share of the arrivals.
    double CapacityPerSecond_ = 0.0;
    double LostStates_ = 0.0;      ///< share of the messages and answers that carry no states
    bool RestartsCallers_ = false; ///< nodes that call the last service restart one after another
    bool ParentsKnown_ = true;     ///< the node knows to which run a call of its server belongs
    /// Calls to the last service have a time limit of their own, so that nodes have to find the
    /// runs that make calls; runs of another class are at the same servers.
    bool OwnLimit_ = false;
    double OtherRuns_ = 4.0; ///< that are at such a server on average
    std::uint64_t Seed_ = 1;
  };
  /// Requests by the tenth of a second in which they came first.
  struct Counts {
    std::size_t Offered_ = 0;
    std::size_t Refused_ = 0; ///< not run, counted for each arrival of the request
    std::size_t Whole_ = 0;
    std::size_t InVain_ = 0; ///< run, and not whole
  };

  explicit WholeRequestsReplay(Options Values);
  void run();

  /// Sums the requests of a class that came first in a time.
  Counts sum(const std::string &Name, Duration From, Duration To) const;
  Counts sumDegraded(const std::string &Name) const {
    return sum(Name, Options_.DegradedFrom_, Options_.DegradedFrom_ + Options_.DegradedTime_);
  }
  /// Returns the share of all arrivals in a time that were refused, also of requests that came
  /// back.
  double refused(Duration From, Duration To) const;
  std::size_t runsInVain() const { return RunsInVain_; }
  /// Returns the retries at the last service for requests that became whole, as a share of those
  /// that the fleet's budget allows in a window of usual demand.
  double usefulRetries() const;
  std::size_t repeats(std::size_t Service) const;
  /// Returns the largest part of the fleet's budget that any window of 10 s used at a service.
  double largestUse(std::size_t Service) const;
  /// Returns the requests that the budget of one window can make whole, if it is used for nothing
  /// else.
  double affordable() const;

private:
  static constexpr Duration MessageTime = std::chrono::milliseconds(5);
  static constexpr Duration LeafTime = std::chrono::milliseconds(20);
  static constexpr Duration InnerTime = std::chrono::milliseconds(10);
  static constexpr Duration RejectTime = std::chrono::milliseconds(1);
  static constexpr Duration RequestTime = std::chrono::seconds(2);
  static constexpr Duration OwnLimitTime = std::chrono::milliseconds(700);
  static constexpr Duration OtherRunTime = std::chrono::milliseconds(100);
  static constexpr Duration RefusedRetryAfter = std::chrono::milliseconds(1200);
  static constexpr Duration TickTime = std::chrono::milliseconds(100);
  static constexpr std::size_t TicksPerTell = 2;
  static constexpr std::size_t NewsPeers = 3; ///< as in Entry
  static constexpr unsigned MaxAttempts = 6;  ///< as in EntryCall
  static constexpr unsigned MaxAttemptsLimited = 32;
  static constexpr Duration BinTime = std::chrono::milliseconds(100);

  struct Node {
    explicit Node(std::uint64_t Seed) : Budget_({RetryRatio, RetryAllowance}), Order_(Seed) {}
    RouteHealth Health_;
    RouteAdmission Admission_;
    RetryBudget Budget_;
    RoomMeter Rooms_;
    ReturnOrder Order_;
    CallParents Parents_;
    std::size_t Ticks_ = 0;
    bool Restarted_ = false;
  };
  struct Event {
    TimePoint At_;
    std::uint64_t Number_;
    std::function<void()> Action_;
    bool operator>(const Event &Other) const {
      return std::tie(At_, Number_) > std::tie(Other.At_, Other.Number_);
    }
  };
  struct Attempted {
    std::size_t From_ = 0;
    std::size_t Service_ = 0;
    ClassId Class_;
    bool NeedsChain_ = true;
    bool Repeated_ = false; ///< made for a repeated run, or its own run is one
    bool FromTeam_ = false;
    double Place_ = 0.0;               ///< of the request; 0 as soon as it has got an answer
    std::optional<RootStanding> Root_; ///< as the node that makes the call knows it
    CallParents::Parent Parent_;
    unsigned Attempts_ = 0;
    TimePoint Deadline_;
    std::shared_ptr<std::size_t> Retries_; ///< of all calls to the last service for the request
    std::function<void(bool Served)> Done_;
  };
  using CallPtr = std::shared_ptr<Attempted>;

  static ClassId classOf(std::size_t Service) { return ClassId("hop" + std::to_string(Service)); }
  bool draw(double Share) { return std::uniform_real_distribution<double>()(Random_) < Share; }
  void after(Duration Time, std::function<void()> Action) {
    Events_.push({Now_ + Time, ++LastEvent_, std::move(Action)});
  }
  std::size_t bin() const { return static_cast<std::size_t>((Now_ - Start_) / BinTime); }
  /// Returns whether a server of the last service rejects an arrival of now.
  bool rejects(std::size_t Server);
  bool isDegraded(std::size_t Server) const {
    const Duration Time = Now_ - Start_;
    return Server < Options_.DegradedServers_ && Time >= Options_.DegradedFrom_ &&
           Time < Options_.DegradedFrom_ + Options_.DegradedTime_;
  }

  Duration draw(std::chrono::duration<double> Mean) {
    return std::chrono::duration_cast<Duration>(Mean *
                                                std::exponential_distribution<double>()(Random_));
  }
  ParentRun parentOf(const Attempted &Item) const;
  void findParent(Attempted &Item, std::size_t At);
  void otherRun(std::size_t At);
  void arrive(std::size_t Number);
  void request(std::size_t Number, std::size_t FirstBin, Fingerprint Id, bool Returning);
  void start(const CallPtr &Item);
  void attempt(const CallPtr &Item);
  void atServer(const CallPtr &Item, std::size_t Server, std::size_t At);
  void callNext(const CallPtr &Parent, std::size_t At, std::size_t Left,
                const std::function<void(bool)> &End);
  void answered(const CallPtr &Item, std::size_t At, RunEnd End);
  bool mayRetry(const Attempted &Item, RunEnd End);
  Node freshNode();
  void tick(std::size_t Number);

  Options Options_;
  std::mt19937_64 Random_;
  std::vector<Node> Nodes_;
  std::array<std::size_t, Services> FirstNode_{}; ///< beside the first server of each service
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events_;
  std::uint64_t LastEvent_ = 0;
  CallParents::RunNumber LastRun_ = 0;
  Fingerprint LastRequest_ = 0;
  const TimePoint Start_{std::chrono::seconds(1000)};
  TimePoint Now_ = Start_;
  TimePoint End_;
  std::vector<std::vector<Counts>> Counts_; ///< by class and time
  /// Arrivals of requests at their entry, and those that were refused, by time.
  std::vector<std::size_t> Arrivals_;
  std::vector<std::size_t> Refusals_;
  std::array<std::vector<std::size_t>, Services> Requests_;
  std::array<std::vector<std::size_t>, Services> Repeats_;
  std::array<TimePoint, Servers[Last]> FreeAt_{}; ///< at which a full server takes a call again
  std::size_t RunsInVain_ = 0;
  std::size_t UsefulRetries_ = 0; ///< at the last service, of requests that became whole
};

inline WholeRequestsReplay::WholeRequestsReplay(Options Values)
    : Options_(std::move(Values)), Random_(Options_.Seed_),
      End_(Start_ + Options_.DegradedFrom_ + Options_.DegradedTime_ + Options_.TimeAfter_) {
  const auto Bins = static_cast<std::size_t>((End_ - Start_) / BinTime) + 1;
  Arrivals_.resize(Bins);
  Refusals_.resize(Bins);
  Counts_.resize(Options_.Classes_.size(), std::vector<Counts>(Bins));
  for (std::size_t Service = 0; Service < Services; ++Service) {
    Requests_[Service].resize(Bins);
    Repeats_[Service].resize(Bins);
    if (Service > 0)
      FirstNode_[Service] = FirstNode_[Service - 1] + Servers[Service - 1];
  }
  for (std::size_t Number = 0; Number < Nodes; ++Number)
    Nodes_.push_back(freshNode());
}

inline void WholeRequestsReplay::run() {
  for (std::size_t Number = 0; Number < Nodes; ++Number)
    after(TickTime * static_cast<int>(Number) / static_cast<int>(Nodes),
          [this, Number] { tick(Number); });
  for (std::size_t Number = 0; Number < Options_.Classes_.size(); ++Number)
    arrive(Number);
  for (std::size_t At = FirstNode_[Last - 1]; Options_.OwnLimit_ && At < FirstNode_[Last]; ++At)
    otherRun(At);
  while (Events_.top().At_ < End_) {
    Event Next = std::move(const_cast<Event &>(Events_.top())); // NOLINT(*-const-cast)
    Events_.pop();
    Now_ = Next.At_;
    Next.Action_();
  }
}

inline void WholeRequestsReplay::arrive(std::size_t Number) {
  const std::chrono::duration<double> Pause(
      std::exponential_distribution<double>(Options_.Classes_[Number].PerSecond_)(Random_));
  after(std::chrono::duration_cast<Duration>(Pause), [this, Number] {
    ++Counts_[Number][bin()].Offered_;
    request(Number, bin(), ++LastRequest_, false);
    arrive(Number);
  });
}

inline void WholeRequestsReplay::request(std::size_t Number, std::size_t FirstBin, Fingerprint Id,
                                         bool Returning) {
  const std::size_t At = Id % Nodes; // a caller comes back to the node of its host
  Node &Entry = Nodes_[At];
  const Class &Kind = Options_.Classes_[Number];
  Counts &Count = Counts_[Number][FirstBin];
  const ReturnOrder::Place Place = Entry.Order_.arrived(Now_, Id);
  ++Arrivals_[bin()];
  if (!Entry.Admission_.admit(Now_, ClassId(Kind.Name_), Place)) {
    ++Count.Refused_;
    ++Refusals_[bin()];
    Entry.Order_.refused(Now_, Id, Place);
    const auto Free = Entry.Admission_.timeForRoom(Now_, ClassId(Kind.Name_), Entry.Order_.size());
    if (!Returning)
      after(Free ? Entry.Order_.retryWithin(*Free, RequestTime)
                 : Entry.Order_.retryAfter(RefusedRetryAfter, RequestTime),
            [=] { request(Number, FirstBin, Id, true); });
    return;
  }
  const auto Item = std::make_shared<Attempted>();
  Item->From_ = At;
  Item->Class_ = ClassId(Kind.Name_);
  Item->NeedsChain_ = Kind.NeedsChain_;
  Item->FromTeam_ = true;
  Item->Place_ = Place.Position_;
  Item->Root_ =
      RootStanding{static_cast<std::uint8_t>(255 - Kind.Rank_),
                   static_cast<std::uint8_t>(Place.Position_ * 255.0), TeamId("team"), false};
  Item->Deadline_ = Now_ + RequestTime;
  Item->Retries_ = std::make_shared<std::size_t>(0);
  Item->Done_ = [this, &Count, Retries = Item->Retries_](bool Served) {
    ++(Served ? Count.Whole_ : Count.InVain_);
    UsefulRetries_ += Served ? *Retries : 0;
  };
  start(Item);
}

inline void WholeRequestsReplay::start(const CallPtr &Item) {
  Node &From = Nodes_[Item->From_];
  const ServiceId Service(classOf(Item->Service_).str());
  const ParentRun Parent = parentOf(*Item);
  if (Parent == ParentRun::Repeated && !From.Budget_.mayRepeat(Now_, Service)) {
    Item->Done_(false);
    return;
  }
  ++(Item->Repeated_ ? Repeats_ : Requests_)[Item->Service_][bin()];
  From.Budget_.noteFirst(Now_, Service, Item->FromTeam_, Parent, Item->Parent_.RepeatedShare_);
  From.Rooms_.first(Now_, Service, Item->Class_);
  attempt(Item);
}

inline ParentRun WholeRequestsReplay::parentOf(const Attempted &Item) const {
  if (Item.FromTeam_ || Options_.Law_ != Law::Room || !Options_.ParentsKnown_)
    return ParentRun::Unknown;
  if (!Options_.OwnLimit_)
    return Item.Repeated_ ? ParentRun::Repeated : ParentRun::First;
  if (Item.Parent_.Standing_ && Item.Parent_.Standing_->Repeated_)
    return ParentRun::Repeated;
  return Item.Parent_.First_ ? ParentRun::First : ParentRun::Unknown;
}

inline void WholeRequestsReplay::findParent(Attempted &Item, std::size_t At) {
  if (Item.Service_ == Last)
    Item.Deadline_ = std::min(Item.Deadline_, Now_ + OwnLimitTime);
  Item.Parent_ = Nodes_[At].Parents_.find(Item.Class_, Item.Deadline_);
  Item.Root_ = Item.Parent_.Standing_;
  Item.Place_ = Item.Root_ ? std::min(Item.Place_, Item.Root_->Place_ / 255.0) : 0.0;
}

inline void WholeRequestsReplay::otherRun(std::size_t At) {
  after(draw(OtherRunTime / Options_.OtherRuns_), [=] {
    const CallParents::RunNumber Run = ++LastRun_;
    Nodes_[At].Parents_.add(Run, Now_ + RequestTime, ClassId("other"), std::nullopt);
    after(draw(OtherRunTime), [=] { Nodes_[At].Parents_.remove(Run); });
    otherRun(At);
  });
}

inline void WholeRequestsReplay::attempt(const CallPtr &Item) {
  ++Item->Attempts_;
  const std::size_t Server = Random_() % Servers[Item->Service_];
  after(MessageTime, [=] { atServer(Item, Server, FirstNode_[Item->Service_] + Server); });
}

inline bool WholeRequestsReplay::rejects(std::size_t Server) {
  if (!isDegraded(Server))
    return false;
  if (Options_.CapacityPerSecond_ == 0.0)
    return draw(Options_.Rejected_);
  TimePoint &Free = FreeAt_[Server];
  if (Free > Now_)
    return true;
  Free = std::max(Free, Now_ - Duration(std::chrono::seconds(1)) / 20) +
         std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(1.0 / Options_.CapacityPerSecond_));
  return false;
}

inline void WholeRequestsReplay::atServer(const CallPtr &Item, std::size_t Server, std::size_t At) {
  if (Item->Service_ == Last) {
    const bool Rejected = rejects(Server);
    after(Rejected ? RejectTime : LeafTime,
          [=] { answered(Item, At, Rejected ? RunEnd::Rejected : RunEnd::Served); });
    return;
  }
  const CallParents::RunNumber Run = ++LastRun_;
  if (Options_.OwnLimit_)
    Nodes_[At].Parents_.add(Run, Item->Deadline_, Item->Class_, Item->Root_);
  after(InnerTime, [=] {
    const auto End = [=](bool Served) {
      Nodes_[At].Parents_.remove(Run);
      RunsInVain_ += Served ? 0 : 1;
      answered(Item, At, Served ? RunEnd::Served : RunEnd::Failed);
    };
    if (!Item->NeedsChain_)
      End(true);
    else
      callNext(Item, At, CallsOfRun[Item->Service_], End);
  });
}

inline void WholeRequestsReplay::callNext(const CallPtr &Parent, std::size_t At, std::size_t Left,
                                          const std::function<void(bool)> &End) {
  const auto Item = std::make_shared<Attempted>();
  Item->From_ = At;
  Item->Service_ = Parent->Service_ + 1;
  Item->Class_ = classOf(Item->Service_);
  Item->Repeated_ = Parent->Repeated_;
  Item->Place_ = Left < CallsOfRun[Parent->Service_] ? 0.0 : Parent->Place_;
  Item->Retries_ = Parent->Retries_;
  Item->Deadline_ = Parent->Deadline_;
  Item->Done_ = [=](bool Served) {
    if (Served && Left > 1)
      callNext(Parent, At, Left - 1, End);
    else
      End(Served);
  };
  ClassId Caller = Options_.ParentsKnown_ ? Parent->Class_ : ClassId();
  if (Options_.OwnLimit_) {
    findParent(*Item, At);
    Caller = Item->Parent_.Class_;
  }
  Nodes_[At].Health_.called(Now_, Item->Class_,
                            Caller.empty() ? std::nullopt : std::optional(Caller));
  start(Item);
}

inline void WholeRequestsReplay::answered(const CallPtr &Item, std::size_t At, RunEnd End) {
  RouteHealth &Health = Nodes_[At].Health_;
  Health.ended(Now_, Item->Class_, End);
  after(MessageTime, [=, States = Health.states(Now_)] {
    if (!draw(Options_.LostStates_))
      Nodes_[Item->From_].Health_.heard(Now_, States);
    Nodes_[Item->From_].Rooms_.arrived(Now_, ServiceId(classOf(Item->Service_).str()),
                                       End != RunEnd::Rejected);
    if (End != RunEnd::Served && mayRetry(*Item, End)) {
      Item->Repeated_ = Item->Repeated_ || End == RunEnd::Failed;
      if (Item->Root_)
        Item->Root_->Repeated_ = Item->Root_->Repeated_ || End == RunEnd::Failed;
      ++Repeats_[Item->Service_][bin()];
      *Item->Retries_ += Item->Service_ == Last ? 1 : 0;
      attempt(Item);
      return;
    }
    Item->Done_(End == RunEnd::Served);
  });
}

inline bool WholeRequestsReplay::mayRetry(const Attempted &Item, RunEnd End) {
  Node &From = Nodes_[Item.From_];
  const bool Limited = Options_.Law_ == Law::Room && From.Health_.isLimited(Now_, Item.Class_);
  if (Now_ >= Item.Deadline_ ||
      (Limited && End == RunEnd::Failed && From.Health_.needsLimited(Now_, Item.Class_)) ||
      Item.Attempts_ >= (Limited ? MaxAttemptsLimited : MaxAttempts))
    return false;
  return Nodes_[Item.From_].Budget_.take(Now_, ServiceId(classOf(Item.Service_).str()),
                                         Item.FromTeam_,
                                         Options_.Law_ == Law::Room ? Item.Place_ : 0.0);
}

inline WholeRequestsReplay::Node WholeRequestsReplay::freshNode() {
  Node Result(Random_());
  Result.Budget_.setNodes(Nodes);
  for (std::size_t Service = 0; Service < Services; ++Service)
    Result.Budget_.noteCalls(ServiceId(classOf(Service).str()), Service != Last);
  return Result;
}

inline void WholeRequestsReplay::tick(std::size_t Number) {
  if (Options_.RestartsCallers_ && Number >= FirstNode_[Last - 1] && Number < FirstNode_[Last] &&
      Now_ >=
          Start_ + Options_.DegradedFrom_ + std::chrono::seconds(Number - FirstNode_[Last - 1]) &&
      !Nodes_[Number].Restarted_) {
    Nodes_[Number] = freshNode();
    Nodes_[Number].Restarted_ = true;
  }
  Node &Item = Nodes_[Number];
  if (Options_.Law_ == Law::Room) {
    shareRooms(Now_, Item.Rooms_, Item.Budget_, Item.Health_);
    std::vector<RouteAdmission::Demand> Demands;
    for (const Class &Kind : Options_.Classes_)
      Demands.push_back(
          {ClassId(Kind.Name_), Kind.Rank_, Item.Health_.find(Now_, ClassId(Kind.Name_))});
    Item.Admission_.update(Now_, Demands);
  } else {
    for (const Class &Kind : Options_.Classes_) {
      const auto State = Item.Health_.find(Now_, ClassId(Kind.Name_));
      Item.Admission_.update(ClassId(Kind.Name_), Kind.Rank_,
                             State ? std::optional(State->Success_) : std::nullopt);
    }
  }
  const bool HasNews = Options_.Law_ == Law::Room && Item.Health_.hasNews(Now_);
  ++Item.Ticks_;
  for (std::size_t Left = HasNews                           ? NewsPeers
                          : Item.Ticks_ % TicksPerTell == 0 ? 1
                                                            : 0;
       Left > 0; --Left)
    after(MessageTime, [this, To = Random_() % Nodes, States = Item.Health_.states(Now_)] {
      if (!draw(Options_.LostStates_))
        Nodes_[To].Health_.heard(Now_, States);
    });
  after(TickTime, [this, Number] { tick(Number); });
}

inline WholeRequestsReplay::Counts WholeRequestsReplay::sum(const std::string &Name, Duration From,
                                                            Duration To) const {
  Counts Result;
  for (std::size_t Number = 0; Number < Options_.Classes_.size(); ++Number)
    if (Options_.Classes_[Number].Name_ == Name)
      for (auto Bin = static_cast<std::size_t>(From / BinTime);
           Bin < static_cast<std::size_t>(To / BinTime); ++Bin) {
        const Counts &Item = Counts_[Number][Bin];
        Result.Offered_ += Item.Offered_;
        Result.Refused_ += Item.Refused_;
        Result.Whole_ += Item.Whole_;
        Result.InVain_ += Item.InVain_;
      }
  return Result;
}

inline double WholeRequestsReplay::refused(Duration From, Duration To) const {
  const auto Sum = [&](const std::vector<std::size_t> &Bins) {
    return static_cast<double>(std::accumulate(Bins.begin() + From / BinTime,
                                               Bins.begin() + To / BinTime, std::size_t{0}));
  };
  return Sum(Refusals_) / std::max(1.0, Sum(Arrivals_));
}

inline std::size_t WholeRequestsReplay::repeats(std::size_t Service) const {
  return std::accumulate(Repeats_[Service].begin(), Repeats_[Service].end(), std::size_t{0});
}

inline double WholeRequestsReplay::largestUse(std::size_t Service) const {
  constexpr std::ptrdiff_t Window = std::chrono::seconds(10) / BinTime;
  const auto Sum = [Window](const std::vector<std::size_t> &Bins, std::ptrdiff_t End) {
    const auto Begin = Bins.begin();
    return std::accumulate(Begin + std::max<std::ptrdiff_t>(0, End - Window),
                           Begin + std::max<std::ptrdiff_t>(0, End), std::size_t{0});
  };
  const std::vector<std::size_t> &Requests = Requests_[Service];
  double Result = 0.0;
  for (std::ptrdiff_t End = Window; End <= static_cast<std::ptrdiff_t>(Requests.size()); ++End) {
    const std::size_t Most = std::max(
        {Sum(Requests, End), Sum(Requests, End - Window / 2), Sum(Requests, End - Window)});
    Result = std::max(Result, static_cast<double>(Sum(Repeats_[Service], End)) /
                                  (RetryRatio * static_cast<double>(Most) + RetryAllowance));
  }
  return Result;
}

inline double WholeRequestsReplay::usefulRetries() const {
  double PerSecond = 0.0;
  for (const Class &Kind : Options_.Classes_)
    PerSecond += Kind.NeedsChain_ ? Kind.PerSecond_ : 0.0;
  return static_cast<double>(UsefulRetries_) /
         (RetryRatio * 10.0 * PerSecond * Answers + RetryAllowance);
}

inline double WholeRequestsReplay::affordable() const {
  double PerSecond = 0.0;
  for (const Class &Kind : Options_.Classes_)
    PerSecond += Kind.NeedsChain_ ? Kind.PerSecond_ : 0.0;
  const double Rejected = Options_.Rejected_ * static_cast<double>(Options_.DegradedServers_) /
                          static_cast<double>(Servers[Last]);
  const double RetriesOfRequest = Answers * Rejected / (1.0 - Rejected);
  const double Budget = RetryRatio * 10.0 * PerSecond * Answers + RetryAllowance;
  const double Offered = PerSecond * std::chrono::duration<double>(Options_.DegradedTime_).count();
  return std::min(Offered, Budget / RetriesOfRequest);
}

} // namespace bronzestand

#endif
