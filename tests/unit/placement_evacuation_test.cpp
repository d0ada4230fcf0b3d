#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "bronzestand/backend_choice.h"
#include "bronzestand/evacuations.h"

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Zones = 4;
constexpr std::size_t Servers = 40;
constexpr std::size_t Entries = 80;
constexpr unsigned Slots = 22;
constexpr Duration MeanServiceTime = 50ms;
constexpr Duration RoundTrip = 3ms;
constexpr Duration Objective = 500ms;
constexpr double Load = 0.7; ///< of the capacity of all data centres
constexpr Duration EvacuateTime = 5s;
/// The change reaches the nodes by the store's watch within this time.
constexpr Duration WatchTime = 300ms;
/// A load report is used for this long; a server that has more calls than slots for longer gets
/// them from entries that know it.
constexpr Duration ReportTime = 1s;

/// Entry nodes that send the calls of a fleet to the servers of one service, on a virtual clock.
struct EvacuationFixture {
  struct Server {
    BackendServer Entry_;
    std::vector<TimePoint> Busy_ = std::vector<TimePoint>(Slots); ///< when each slot is free
    std::size_t Outstanding_ = 0;
    TimePoint FullSince_{};  ///< since when it has had more calls than slots
    Duration LongestFull_{}; ///< longest such time
    Duration LongestWait_{}; ///< of a call in its queue
    TimePoint LastCall_{};   ///< arrival of the last call
    std::size_t Calls_ = 0;
  };
  struct Entry {
    BackendChoice Choice_;
    Evacuations Evacuations_;
  };

  std::mt19937_64 Random_{11};
  BackendDirectory Directory_;
  std::vector<Server> Servers_{Servers};
  std::vector<Entry> Entries_;
  std::multimap<TimePoint, std::function<void()>> Events_;
  TimePoint Now_{100s};

  explicit EvacuationFixture(std::size_t RegionCount = 1) {
    std::unordered_map<std::string, std::string> Regions;
    for (std::size_t Zone = 0; Zone < Zones; ++Zone)
      Regions[zoneOf(Zone).str()] = "r" + std::to_string(Zone % RegionCount);
    for (std::size_t Index = 0; Index < Servers; ++Index) {
      BackendServer &Item = Servers_[Index].Entry_;
      Item.Id_ = std::to_string(Index);
      Item.Host_ = HostId("10.0.0." + Item.Id_);
      Item.Service_ = ServiceId("s");
      Item.DataCentre_ = zoneOf(Index);
      Item.Slots_ = Slots;
      Item.StartedMs_ = 1;
      Directory_.put(Item);
    }
    Entries_.reserve(Entries);
    for (std::size_t Index = 0; Index < Entries; ++Index) {
      Entries_.push_back({BackendChoice(zoneOf(Index), Regions, Index),
                          Evacuations(HostId("10.0.1." + std::to_string(Index)), EvacuateTime)});
      Entries_.back().Choice_.update(Now_, Directory_);
      scheduleCall(Index);
    }
  }
  static DataCentreId zoneOf(std::size_t Index) {
    return DataCentreId("z" + std::to_string(Index % Zones));
  }

  void scheduleCall(std::size_t Index) {
    const double Capacity =
        Servers * Slots / std::chrono::duration<double>(MeanServiceTime).count();
    std::exponential_distribution<double> Pause(Load * Capacity / Entries);
    after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Pause(Random_))),
          [this, Index] {
            call(Entries_[Index]);
            scheduleCall(Index);
          });
  }
  void after(Duration Time, std::function<void()> Action) {
    Events_.emplace(Now_ + Time, std::move(Action));
  }

  void call(Entry &From) {
    const ServerScope Scope{{}, {}, From.Evacuations_.unused(Now_)};
    const BackendServer *Chosen =
        From.Choice_.choose(Now_, Directory_, ServiceId("s"), Scope, Objective, 1500.0);
    REQUIRE(Chosen != nullptr);
    Server &To = Servers_[std::stoul(Chosen->Id_)];
    From.Choice_.started(Chosen->Id_);
    ++To.Calls_;
    To.LastCall_ = Now_;
    if (++To.Outstanding_ == Slots + 1)
      To.FullSince_ = Now_;
    TimePoint &Slot = *std::min_element(To.Busy_.begin(), To.Busy_.end());
    const TimePoint Start = std::max(Slot, Now_);
    To.LongestWait_ = std::max(To.LongestWait_, Start - Now_);
    const double Work = std::exponential_distribution<double>(1.0)(Random_);
    Slot = Start + std::chrono::duration_cast<Duration>(Work * MeanServiceTime);
    after(Slot - Now_, [this, &From, &To] { ended(From, To); });
  }

  void ended(Entry &From, Server &To) {
    if (--To.Outstanding_ == Slots)
      To.LongestFull_ = std::max(To.LongestFull_, Now_ - To.FullSince_);
    BackendLoad Report;
    Report.Running_ = static_cast<std::uint32_t>(std::min<std::size_t>(To.Outstanding_, Slots));
    Report.Waiting_ = static_cast<std::uint32_t>(To.Outstanding_ - Report.Running_);
    Report.Limit_ = Slots;
    Report.ServiceTime_ = MeanServiceTime;
    after(RoundTrip, [&From, &To, Report, this] {
      From.Choice_.report(Now_, To.Entry_.Id_, Report);
      From.Choice_.finished(Now_, To.Entry_.Id_, AttemptResult::Served);
    });
  }

  void run(Duration Time) {
    const TimePoint End = Now_ + Time;
    while (Events_.begin()->first < End) {
      const auto Next = Events_.begin();
      const std::function<void()> Action = std::move(Next->second);
      Now_ = Next->first;
      Events_.erase(Next);
      Action();
    }
    Now_ = End;
  }
  /// Lets each entry learn of a change at a moment of its own.
  void tellAll(const std::function<void(Evacuations &)> &Change) {
    std::uniform_int_distribution<Duration::rep> Delay(0, WatchTime.count());
    for (Entry &Item : Entries_)
      after(Duration(Delay(Random_)), [&Item, Change] { Change(Item.Evacuations_); });
  }
  /// Returns the calls that a data centre got since the last time.
  std::size_t takeCalls(const DataCentreId &Zone) {
    std::size_t Sum = 0;
    for (Server &Item : Servers_)
      if (Item.Entry_.DataCentre_ == Zone)
        Sum += std::exchange(Item.Calls_, 0);
    return Sum;
  }
  /// Evacuates a data centre, lets it return, and checks the load of all.
  void evacuateAndReturn();
  void checkCalm(const char *Phase) {
    Duration Wait{};
    Duration Full{};
    for (Server &Item : Servers_) {
      Wait = std::max(Wait, std::exchange(Item.LongestWait_, {}));
      Full = std::max(Full, std::exchange(Item.LongestFull_, {}));
    }
    INFO(Phase << ": longest wait " << Wait.count() << " us, longest time over the slots "
               << Full.count() << " us");
    CHECK(Wait <= Objective);
    CHECK(Full <= ReportTime);
  }
};

struct TwoRegionsFixture : EvacuationFixture {
  TwoRegionsFixture() : EvacuationFixture(2) {}
};

void EvacuationFixture::evacuateAndReturn() {
  const DataCentreId Gone = zoneOf(1);
  run(5s);
  checkCalm("before");
  tellAll([this, Gone](Evacuations &Item) { Item.begin(Now_, Gone, Now_); });
  const TimePoint Written = Now_;
  run(20s);
  checkCalm("evacuated");
  for (const Server &Item : Servers_)
    if (Item.Entry_.DataCentre_ == Gone)
      CHECK(Item.LastCall_ < Written + EvacuateTime);
  takeCalls(Gone);
  run(5s);
  CHECK(takeCalls(Gone) == 0);
  tellAll([this, Gone](Evacuations &Item) { Item.end(Now_, Gone); });
  run(EvacuateTime);
  checkCalm("returning");
  takeCalls(Gone);
  takeCalls(zoneOf(0));
  run(5s);
  checkCalm("after");
  CHECK(takeCalls(Gone) >= takeCalls(zoneOf(0)) / 2);
}

} // namespace

// Guards against servers that are overloaded by the load that moves, and against a call to the data
// centre after its time. The bounds also hold without the spread, which
// evacuations_test checks.
TEST_CASE_METHOD(EvacuationFixture, "placement_evacuated_quarter_moves_without_overload") {
  evacuateAndReturn();
}

// Guards against a queue that lasts at the other data centre of the region while servers of another
// region have free slots.
TEST_CASE_METHOD(TwoRegionsFixture, "placement_evacuated_quarter_of_two_regions_is_spread") {
  evacuateAndReturn();
}
