#ifndef BRONZESTAND_TESTS_PLACEMENT_FIXTURE_H
#define BRONZESTAND_TESTS_PLACEMENT_FIXTURE_H

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "bronzestand/backend_choice.h"

namespace bronzestand {

using namespace std::chrono_literals;

constexpr std::size_t Zones = 8;
constexpr std::size_t ServersPerZone = 5;
constexpr std::size_t Servers = Zones * ServersPerZone;
constexpr unsigned Slots = 22;
constexpr double FleetCallsPerSecond = 260.0;
constexpr Duration RunTime = 30s;
constexpr Duration MeanServiceTime = 250ms;
constexpr Duration RoundTrip = 3ms;
constexpr Duration Objective = 1500ms;
constexpr int SlowFactor = 7;

/// Entry nodes that send the calls of a fleet to the servers of one service, on a virtual clock.
/// Each server serves first come, first served; a failing one answers at once with an error.
struct PlacementFixture {
  struct Server {
    BackendServer Entry_;
    std::vector<TimePoint> Busy_; ///< when each slot is free again
    FailureMeter Failures_;
    Duration MeanTime_ = MeanServiceTime;
    bool Failing_ = false;
    bool Slow_ = false;
    double Speed_ = 1.0;
    double Work_ = 0.0; ///< expected work of its calls, in mean calls
    std::size_t Calls_ = 0;
    std::uint32_t Outstanding_ = 0; ///< calls that run or wait
  };

  /// A call at a server.
  struct Visit {
    std::size_t Entry_ = 0;
    std::string Id_; ///< of the server
    Server &Target_;
    TimePoint Arrived_;
    TimePoint Start_;
    TimePoint End_;
  };

  const std::size_t ZoneCount_;
  const unsigned Slots_;
  std::mt19937_64 Random_{7};
  BackendDirectory Directory_;
  std::unordered_map<std::string, std::string> Regions_;
  std::vector<Server> Servers_;
  std::vector<std::unique_ptr<BackendChoice>> Entries_;
  std::multimap<TimePoint, std::function<void()>> Events_;
  TimePoint Now_{100s};
  std::vector<Duration> Waits_;
  double FleetRate_ = FleetCallsPerSecond;
  double BoundShare_ = 0.0;   ///< share of the calls that may run in the region "east" only
  bool TellsWaiting_ = false; ///< whether reports count the calls that wait
  std::vector<Duration> BoundWaits_;
  std::size_t BoundOutside_ = 0;  ///< such calls at servers in other regions
  std::size_t Crossings_ = 0;     ///< other calls at servers outside the region of their entry
  std::size_t LeavingCentre_ = 0; ///< calls at servers outside the data centre of their entry
  std::size_t Calls_ = 0;
  std::size_t FailedCalls_ = 0;

  explicit PlacementFixture(std::size_t ZoneCount = Zones, std::size_t ServerCount = Servers,
                            unsigned SlotsPerServer = Slots)
      : ZoneCount_(std::max<std::size_t>(1, ZoneCount)), Slots_(SlotsPerServer) {
    Servers_.reserve(ServerCount + 1); // events refer to servers
    for (std::size_t Zone = 0; Zone < ZoneCount_; ++Zone)
      Regions_["z" + std::to_string(Zone)] = Zone % 2 == 0 ? "east" : "west";
    for (std::size_t Index = 0; Index < ServerCount; ++Index)
      addServer();
  }
  virtual ~PlacementFixture() = default;
  PlacementFixture(const PlacementFixture &) = delete;
  PlacementFixture &operator=(const PlacementFixture &) = delete;

  /// Returns the calls per second of an entry.
  virtual double rateOf(std::size_t /*Index*/) const {
    return FleetRate_ / static_cast<double>(Entries_.size());
  }
  virtual Duration objective() const { return Objective; }
  /// Returns when a call ends. \param Work in mean calls.
  virtual TimePoint endOf(const Server &Target, TimePoint Start, double Work) const {
    return Start + std::chrono::duration_cast<Duration>(Work * MeanServiceTime *
                                                        (Target.Slow_ ? SlowFactor : 1));
  }
  /// Schedules the answer to a call.
  virtual void scheduleAnswer(const Visit &Call) {
    Events_.emplace(Call.End_ + RoundTrip, [this, Call] {
      --Call.Target_.Outstanding_;
      Call.Target_.MeanTime_ += (Call.End_ - Call.Arrived_ - Call.Target_.MeanTime_) / 10;
      answer(Call.Entry_, Call.Id_, Call.Target_, report(Call.Target_));
    });
  }

  void addServer() {
    const std::size_t Index = Servers_.size();
    Server Added;
    Added.Entry_.Id_ = "i-" + std::to_string(100 + Index);
    Added.Entry_.Host_ = HostId("10.0.0." + std::to_string(Index));
    Added.Entry_.Service_ = ServiceId("s");
    Added.Entry_.DataCentre_ = DataCentreId("z" + std::to_string(Index % ZoneCount_));
    Added.Entry_.Slots_ = Slots_;
    Added.Entry_.StartedMs_ = 1;
    Added.Busy_.assign(Slots_, TimePoint());
    Directory_.put(Added.Entry_);
    Servers_.push_back(std::move(Added));
  }

  void addEntries(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Entries_.push_back(std::make_unique<BackendChoice>(
          DataCentreId("z" + std::to_string(Index % ZoneCount_)), Regions_, Index));
      Entries_.back()->update(Now_, Directory_);
    }
  }

  /// Each entry sends calls at random times.
  void scheduleCall(std::size_t Index) {
    const std::chrono::duration<double> Pause(
        std::exponential_distribution<double>(rateOf(Index))(Random_));
    Events_.emplace(Now_ + std::chrono::duration_cast<Duration>(Pause), [this, Index] {
      call(Index);
      scheduleCall(Index);
    });
  }

  void call(std::size_t Index) {
    BackendChoice &Choice = *Entries_[Index];
    const bool Bound =
        BoundShare_ > 0.0 && std::uniform_real_distribution<double>()(Random_) < BoundShare_;
    ServerScope Scope;
    if (Bound)
      Scope.Regions_ = {RegionId("east")};
    const BackendServer *Chosen =
        Choice.choose(Now_, Directory_, ServiceId("s"), Scope, objective(), 1500.0);
    REQUIRE(Chosen != nullptr);
    const std::string Id = Chosen->Id_;
    BoundOutside_ += Bound && Choice.regionOf(*Chosen) != RegionId("east") ? 1 : 0;
    Crossings_ += !Bound && Choice.localityOf(*Chosen) == Locality::OtherRegion ? 1 : 0;
    LeavingCentre_ += Choice.localityOf(*Chosen) != Locality::SameDataCentre ? 1 : 0;
    Server &Target = *std::find_if(Servers_.begin(), Servers_.end(),
                                   [&](const Server &Item) { return Item.Entry_.Id_ == Id; });
    Choice.started(Id);
    // The node beside the server is an entry too.
    entryBeside(Target).heard(Now_, Choice.failures(Now_, Directory_));
    ++Calls_;
    ++Target.Calls_;
    ++Target.Outstanding_;
    FailedCalls_ += Target.Failing_ ? 1 : 0;
    Visit Call{Index, Id, Target, Now_, Now_, Now_};
    if (!Target.Failing_) {
      TimePoint &Slot = *std::min_element(Target.Busy_.begin(), Target.Busy_.end());
      Call.Start_ = std::max(Slot, Now_);
      const double Work = std::exponential_distribution<double>(1.0)(Random_);
      Target.Work_ += Work;
      (Bound ? BoundWaits_ : Waits_).push_back(Call.Start_ - Now_);
      Call.End_ = Slot = endOf(Target, Call.Start_, Work);
    }
    scheduleAnswer(Call);
  }

  BackendChoice &entryBeside(const Server &Target) {
    return *Entries_[static_cast<std::size_t>(&Target - Servers_.data()) % Entries_.size()];
  }

  /// Returns what the node beside a server reports now.
  BackendLoad report(const Server &Target) const {
    BackendLoad Load;
    Load.Running_ = static_cast<std::uint32_t>(
        std::count_if(Target.Busy_.begin(), Target.Busy_.end(),
                      [this](const TimePoint &Free) { return Free > Now_; }));
    if (TellsWaiting_)
      Load.Waiting_ = Target.Outstanding_ - std::min(Target.Outstanding_, Load.Running_);
    Load.Limit_ = Slots_;
    Load.ServiceTime_ = Target.MeanTime_;
    return Load;
  }

  void answer(std::size_t Index, const std::string &Id, Server &Target, BackendLoad Load) {
    Target.Failures_.ended(Now_, Target.Failing_);
    Load.Failing_ = Target.Failures_.share(Now_);
    BackendChoice &Choice = *Entries_[Index];
    Choice.report(Now_, Id, Load);
    Choice.heard(Now_, entryBeside(Target).failures(Now_, Directory_));
    Choice.finished(Now_, Id, Target.Failing_ ? AttemptResult::Failed : AttemptResult::Served);
  }

  void run(Duration Time) {
    if (Events_.empty())
      for (std::size_t Index = 0; Index < Entries_.size(); ++Index)
        scheduleCall(Index);
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

  double busiestAgainstMean() const {
    std::size_t Most = 0;
    for (const Server &Item : Servers_)
      Most = std::max(Most, Item.Calls_);
    return static_cast<double>(Most * Servers_.size()) / static_cast<double>(Calls_);
  }
  Duration waitOf99InHundred() {
    const auto Position = Waits_.begin() + static_cast<std::ptrdiff_t>(Waits_.size() * 99 / 100);
    std::nth_element(Waits_.begin(), Position, Waits_.end());
    return *Position;
  }
};

} // namespace bronzestand

#endif
