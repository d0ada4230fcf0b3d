#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include <catch2/catch.hpp>

#include "bronzestand/call_parents.h"
#include "bronzestand/dispatcher.h"

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

enum class Law {
  ByRoute, ///< all calls of servers have the rank of the called route and no team
  ByRoot,
};

/// Root classes of different rank whose runs at front servers call a shared service that has room
/// for a part of its demand, on a virtual clock. The gates of the service queue and refuse as
/// BackendGate does. A run needs all its calls.
class SharedService {
public:
  struct RootClass {
    std::string Name_;
    std::uint8_t Rank_ = 0;
    double PerSecond_ = 0.0;
    Duration TimeLimit_{};
    bool CallsHaveOwnLimit_ = false; ///< its calls do not carry the deadline of their run
    std::size_t Runs_ = 0;
    std::size_t Whole_ = 0;

    double wholeShare() const { return static_cast<double>(Whole_) / static_cast<double>(Runs_); }
  };
  struct Variant {
    std::size_t Fronts_ = 8;
    bool Concurrent_ = false; ///< a run makes its calls at the same time
  };

  static constexpr std::size_t CallsPerRun = 3;
  static constexpr std::size_t Gates = 4;
  static constexpr unsigned Slots = 4;
  static constexpr Duration ServiceTime = 10ms;
  static constexpr Duration FrontTime = 20ms; ///< from the start of a run to its first call
  static constexpr double Room = 0.7;         ///< part of the demand that the service can serve
  static constexpr Duration TotalTime = 20s;
  /// Calls per second that the service can serve.
  static constexpr double Capacity = Gates * Slots * 100.0;

  SharedService(Law Kind, const Variant &Case, std::vector<RootClass> Classes, std::uint64_t Seed)
      : Kind_(Kind), Case_(Case), Classes_(std::move(Classes)), Random_(Seed),
        Fronts_(Case.Fronts_) {
    for (std::size_t Index = 0; Index < Gates; ++Index)
      Gates_.push_back(std::make_unique<Gate>());
  }

  void run() {
    for (std::size_t Index = 0; Index < Classes_.size(); ++Index)
      startRuns(Index);
    while (!Events_.empty()) {
      Now_ = Events_.begin()->first;
      const auto Action = std::move(Events_.begin()->second);
      Events_.erase(Events_.begin());
      Action();
    }
  }

  const RootClass &rootClass(std::size_t Index) const { return Classes_[Index]; }
  std::size_t matches(ParentMatch Kind) const { return Matches_[static_cast<std::size_t>(Kind)]; }
  std::size_t mostRuns() const { return MostRuns_; } ///< at one front server

private:
  struct Gate {
    FairQueue Queue_{true, true};
    unsigned InFlight_ = 0;
  };
  struct Run {
    CallParents::RunNumber Number_ = 0;
    std::size_t Class_ = 0;
    std::size_t Front_ = 0;
    TimePoint Deadline_; ///< as the front server knows it
    std::size_t Answers_ = 0;
    bool Ended_ = false;
  };
  using RunPtr = std::shared_ptr<Run>;
  struct PendingCall {
    RunPtr Run_;
    QueueEntry Entry_;
    TimePoint Started_;
    TimePoint Deadline_;
    unsigned Attempts_ = 0;
    std::size_t Gate_ = 0;
  };
  using CallPtr = std::shared_ptr<PendingCall>;

  void at(Duration Delay, std::function<void()> Action) {
    Events_.emplace(Now_ + Delay, std::move(Action));
  }
  Duration between(Duration Least, Duration Most) {
    return Duration(
        std::uniform_int_distribution<Duration::rep>(Least.count(), Most.count())(Random_));
  }

  void startRuns(std::size_t Class) {
    if (Now_ >= Start + TotalTime)
      return;
    const double Pause = std::exponential_distribution<double>(Classes_[Class].PerSecond_)(Random_);
    at(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Pause)), [this, Class] {
      startRun(Class);
      startRuns(Class);
    });
  }
  void startRun(std::size_t Class) {
    RootClass &Root = Classes_[Class];
    ++Root.Runs_;
    const auto Item = std::make_shared<Run>();
    Item->Number_ = ++LastNumber_;
    Item->Class_ = Class;
    Item->Front_ = std::uniform_int_distribution<std::size_t>(0, Fronts_.size() - 1)(Random_);
    const auto Told = std::chrono::floor<std::chrono::milliseconds>(Root.TimeLimit_);
    const auto Place = static_cast<std::uint8_t>(Random_());
    CallParents &Parents = Fronts_[Item->Front_];
    Parents.add(Item->Number_, Now_ + Told, ClassId(Root.Name_),
                RootStanding{Root.Rank_, Place, TeamId("t-" + Root.Name_), false});
    MostRuns_ = std::max(MostRuns_, Parents.size());
    const Duration Transit = between(50us, 300us);
    Item->Deadline_ = Now_ + Transit + Told;
    at(Transit + FrontTime, [this, Item] {
      for (std::size_t Number = 0; Number < (Case_.Concurrent_ ? CallsPerRun : 1); ++Number)
        makeCall(Item);
    });
  }
  void endRun(const RunPtr &Item, bool Whole) {
    if (std::exchange(Item->Ended_, true))
      return;
    Classes_[Item->Class_].Whole_ += Whole ? 1 : 0;
    Fronts_[Item->Front_].remove(Item->Number_);
  }

  void makeCall(const RunPtr &Item) {
    if (Item->Ended_)
      return;
    const Duration Left = Item->Deadline_ - Now_;
    auto Told = std::chrono::floor<std::chrono::milliseconds>(Left);
    if (Classes_[Item->Class_].CallsHaveOwnLimit_)
      Told = std::min(Told, OwnLimit);
    at(between(50us, 300us), [this, Item, Told] {
      const auto Call = std::make_shared<PendingCall>();
      Call->Run_ = Item;
      Call->Started_ = Now_;
      Call->Deadline_ = Now_ + Told;
      Call->Entry_.Standing_.ClassRank_ = RouteRank;
      const CallParents::Parent Found =
          Fronts_[Item->Front_].find(ClassId("shared"), Call->Deadline_);
      ++Matches_[static_cast<std::size_t>(Found.Match_)];
      if (Kind_ == Law::ByRoot && Found.Standing_) {
        Call->Entry_.Standing_.ClassRank_ = Found.Standing_->ClassRank_;
        Call->Entry_.Team_ = Found.Standing_->Team_;
        Call->Entry_.Continues_ = true;
        Call->Entry_.Place_ = Found.Standing_->Place_;
      }
      submit(Call);
    });
  }
  Duration workAhead(const Gate &At, const QueueEntry &Entry) const {
    return At.InFlight_ < Slots
               ? Duration::zero()
               : (At.Queue_.workAhead(Entry.Standing_.ClassRank_, Entry.Team_) + ServiceTime) /
                     Slots;
  }
  void submit(const CallPtr &Call) {
    ++Call->Attempts_;
    // Two gates are drawn, and the one with the shorter queue is used, as entry nodes do.
    std::uniform_int_distribution<std::size_t> Draw(0, Gates - 1);
    Call->Gate_ = Draw(Random_);
    if (const std::size_t Other = Draw(Random_);
        Gates_[Other]->Queue_.size() < Gates_[Call->Gate_]->Queue_.size())
      Call->Gate_ = Other;
    Gate &At = *Gates_[Call->Gate_];
    const Duration Left = Call->Deadline_ - Now_;
    const Duration Allowed = std::max(Left / 10, std::min(Left / 2, Left - ServiceTime));
    if (const Duration Wait = workAhead(At, Call->Entry_);
        Wait > Allowed || Wait + ServiceTime > Left) {
      refused(Call);
      return;
    }
    Call->Entry_.Id_ = ++LastNumber_;
    Call->Entry_.Deadline_ = std::min(Call->Deadline_ - ServiceTime / 2, Now_ + 2 * Allowed);
    Call->Entry_.Work_ = ServiceTime;
    At.Queue_.push(Now_, Call->Entry_);
    Waiting_[Call->Entry_.Id_] = Call;
    dispatch(At);
  }
  void refused(const CallPtr &Call) {
    const bool Late = Now_ - Call->Started_ > (Call->Deadline_ - Call->Started_) / 4;
    if (Call->Attempts_ >= 4 || Late || Call->Run_->Ended_)
      endRun(Call->Run_, false);
    else
      at(1ms, [this, Call] { submit(Call); });
  }
  void dispatch(Gate &At) {
    while (!At.Queue_.empty() && At.Queue_.earliest()->Deadline_ <= Now_) {
      const CallId Expired = At.Queue_.earliest()->Id_;
      At.Queue_.erase(Expired);
      refused(take(Expired));
    }
    while (!At.Queue_.empty() && At.InFlight_ < Slots) {
      const CallPtr Call = take(At.Queue_.pop(Now_, false).Entry_.Id_);
      ++At.InFlight_;
      at(ServiceTime, [this, &At, Call] {
        --At.InFlight_;
        answered(Call->Run_);
        dispatch(At);
      });
    }
  }
  CallPtr take(CallId Id) {
    const auto Found = Waiting_.find(Id);
    CallPtr Result = std::move(Found->second);
    Waiting_.erase(Found);
    return Result;
  }
  void answered(const RunPtr &Item) {
    if (++Item->Answers_ == CallsPerRun)
      endRun(Item, Now_ <= Item->Deadline_);
    else if (!Case_.Concurrent_)
      makeCall(Item);
  }

  static constexpr TimePoint Start{100s};
  static constexpr std::uint8_t RouteRank = 240; ///< of calls whose root is not known
  static constexpr std::chrono::milliseconds OwnLimit{150};

  Law Kind_;
  Variant Case_;
  std::vector<RootClass> Classes_;
  std::mt19937_64 Random_;
  TimePoint Now_ = Start;
  std::multimap<TimePoint, std::function<void()>> Events_;
  std::vector<CallParents> Fronts_;
  std::vector<std::unique_ptr<Gate>> Gates_;
  std::map<CallId, CallPtr> Waiting_;
  std::uint64_t LastNumber_ = 0;
  std::array<std::size_t, 4> Matches_{};
  std::size_t MostRuns_ = 0;
};

/// Two classes with half of the demand each.
std::vector<SharedService::RootClass> twoClasses(Duration UrgentLimit, Duration BatchLimit) {
  constexpr double Runs =
      SharedService::Capacity / SharedService::Room / SharedService::CallsPerRun / 2.0;
  return {{"urgent", 255, Runs, UrgentLimit}, {"batch", 240, Runs, BatchLimit}};
}

std::string describe(const SharedService &Item) {
  return "urgent " + std::to_string(Item.rootClass(0).wholeShare()) + ", batch " +
         std::to_string(Item.rootClass(1).wholeShare()) + "; matches " +
         std::to_string(Item.matches(ParentMatch::Deadline)) + " one, " +
         std::to_string(Item.matches(ParentMatch::Ambiguous)) + " several, " +
         std::to_string(Item.matches(ParentMatch::Class)) + " class, " +
         std::to_string(Item.matches(ParentMatch::None)) + " none; most runs at a server " +
         std::to_string(Item.mostRuns());
}

} // namespace

// Guards against calls for less urgent requests that take the capacity of a shared service from
// those for more urgent ones, also while up to 70 runs at a server have similar deadlines, and
// against a rest of the capacity that many requests use and few complete with.
TEST_CASE("call_order_shared_service_serves_urgent_roots_first") {
  SharedService::Variant Case;
  Case.Fronts_ = GENERATE(32, 6);
  Case.Concurrent_ = GENERATE(false, true);
  const std::uint64_t Seed = GENERATE(1, 2, 3);
  SharedService Today(Law::ByRoute, Case, twoClasses(500ms, 800ms), Seed);
  SharedService ByRoot(Law::ByRoot, Case, twoClasses(500ms, 800ms), Seed);
  Today.run();
  ByRoot.run();
  INFO("today: " << describe(Today) << "\nby root: " << describe(ByRoot));
  CHECK((Case.Fronts_ == 32 || ByRoot.mostRuns() >= 50));
  CHECK(Today.rootClass(0).wholeShare() < 0.5);
  CHECK(ByRoot.rootClass(0).wholeShare() >= 0.95);
  CHECK(ByRoot.rootClass(1).wholeShare() < ByRoot.rootClass(0).wholeShare());
  // Each class has half of the demand.
  constexpr double LeftForBatch = (SharedService::Room - 0.5) / 0.5;
  CHECK(ByRoot.rootClass(1).wholeShare() >= 0.9 * LeftForBatch);
}

// Guards against requests that are served worse than before because no run is found for their
// calls.
TEST_CASE("call_order_calls_without_parent_are_served_as_before") {
  SharedService::Variant Case;
  Case.Fronts_ = GENERATE(32, 6);
  Case.Concurrent_ = GENERATE(false, true);
  auto Classes = twoClasses(500ms, 800ms);
  for (SharedService::RootClass &Item : Classes)
    Item.CallsHaveOwnLimit_ = true;
  SharedService Today(Law::ByRoute, Case, Classes, 1);
  SharedService ByRoot(Law::ByRoot, Case, Classes, 1);
  Today.run();
  ByRoot.run();
  INFO("today: " << describe(Today) << "\nby root: " << describe(ByRoot));
  CHECK(ByRoot.matches(ParentMatch::None) > 10 * ByRoot.matches(ParentMatch::Class));
  constexpr double Noise = 0.05; // 0.03 was seen between seeds
  for (const std::size_t Class : {0U, 1U})
    CHECK(ByRoot.rootClass(Class).wholeShare() >= Today.rootClass(Class).wholeShare() - Noise);
}

// Guards against calls of admitted requests that wait behind new requests of their rank and team,
// so that work which was already done is lost.
TEST_CASE("call_order_call_of_admitted_request_precedes_new_ones_of_its_team") {
  FairQueue Queue(true, true);
  const TimePoint Now(100s);
  CallId Last = 0;
  const auto Push = [&](const std::string &Team, Duration Left, bool Continues, int Place) {
    QueueEntry Entry;
    Entry.Id_ = ++Last;
    Entry.Team_ = TeamId(Team);
    Entry.Deadline_ = Now + Left;
    Entry.Continues_ = Continues;
    Entry.Place_ = static_cast<std::uint8_t>(Place);
    Queue.push(Now, Entry);
    return Last;
  };
  const CallId New = Push("a", 100ms, false, 0);
  const CallId Behind = Push("a", 200ms, true, 9);
  const CallId First = Push("a", 300ms, true, 3);
  const CallId SameRoot = Push("a", 250ms, true, 3);
  CHECK(Queue.earliest()->Id_ == New);
  for (const CallId Expected : {SameRoot, First, Behind, New})
    CHECK(Queue.pop(Now, false).Entry_.Id_ == Expected);
  // A team whose calls continue requests gets no more than its share.
  Push("b", 100ms, false, 0);
  for (int Number = 0; Number < 20; ++Number)
    Push("a", 100ms, true, 0);
  CHECK(Queue.pop(Now, false).Entry_.Team_ == TeamId("b"));
}
