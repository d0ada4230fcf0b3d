// Discrete-event measurement of overload control: clients, an entry node, service front (2 backend
// servers with 15 slots) that calls service deep (2 with 5 slots, 1,000 calls/s in all).
// Argument: seed (default 1).
#include <algorithm>
#include <array>
#include <cstdlib>
#include <deque>
#include <functional>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "bronzestand/admission.h"
#include "bronzestand/attempts.h"
#include "bronzestand/dispatcher.h"

using namespace bronzestand;
using std::chrono::milliseconds;

namespace {

constexpr double Capacity = 1000.0;
constexpr double BaseRate = 800.0;
constexpr unsigned Teams = 8;
constexpr std::array<double, 3> ClassShare{0.5, 0.3, 0.2}; // ranks 1, 2 and 3 (protected)
constexpr auto TriggerStart = std::chrono::seconds(4);
constexpr auto TriggerEnd = std::chrono::seconds(24);
constexpr auto RunEnd = std::chrono::seconds(30);
constexpr auto Within = milliseconds(400);
constexpr auto Hop = milliseconds(1);
constexpr int ClientTries = 5;
constexpr int HopTries = 3;

struct Variant {
  const char *Name_;
  DispatcherOptions Dispatcher_;
  bool Admission_ = true, RetryBudget_ = true;
};

struct Scenario {
  const char *Name_;
  double Load_ = 1.0, Slow_ = 1.0, TeamLoad_ = 1.0; ///< factors during the trigger
};

struct Request {
  unsigned Team_ = 0;
  std::uint8_t Rank_ = 1;
  Duration Arrival_{};
  Standing Standing_;
  TimePoint Deadline_;
  int Try_ = 0, Work_ = 0;
  bool Served_ = false;
};
using RequestPtr = std::shared_ptr<Request>;
using Done = std::function<void(bool Served, bool NotRun)>;

class Simulation {
public:
  Simulation(const Variant &Setup, const Scenario &Case, unsigned Seed)
      : Setup_(Setup), Case_(Case), Random_(Seed) {
    for (std::size_t Index = 0; Index < 4; ++Index)
      Servers_.push_back(std::make_unique<Server>(Setup.Dispatcher_, Index < 2 ? 15 : 5));
  }

  void run() {
    tick();
    arrive();
    while (!Events_.empty() && Now_ < Start_ + RunEnd) {
      const Event Next = std::move(const_cast<Event &>(Events_.top()));
      Events_.pop();
      Now_ = Next.Time_;
      Next.Run_();
    }
  }

  void report() const {
    std::array<double, 3> Asked{}, Served{};
    std::array<std::array<double, Teams>, 3> TeamAsked{};
    std::array<double, Teams> TeamShare{}, TeamServed{};
    std::vector<double> Buckets(RunEnd / milliseconds(100)), Offered(Buckets.size());
    for (const RequestPtr &Each : Requests_) {
      const auto Bucket = static_cast<std::size_t>(Each->Arrival_ / milliseconds(100));
      Offered[Bucket] += 1.0;
      Buckets[Bucket] += Each->Served_ ? 1.0 : 0.0;
      // The first second is the transition; requests after the trigger count for the recovery.
      if (Each->Arrival_ < TriggerStart + std::chrono::seconds(1) || Each->Arrival_ >= TriggerEnd)
        continue;
      Asked[Each->Rank_ - 1] += 1.0;
      Served[Each->Rank_ - 1] += Each->Served_ ? 1.0 : 0.0;
      TeamAsked[Each->Rank_ - 1U][Each->Team_] += 1.0;
      TeamServed[Each->Team_] += Each->Served_ ? 1.0 : 0.0;
    }
    double Left = 19.0 * Capacity / Case_.Slow_;
    double Possible = 0.0;
    fmt::print("{:<16}", Setup_.Name_);
    for (std::size_t Rank = 3; Rank-- > 0;) {
      const double Share = std::min(Left, Asked[Rank]);
      Left -= Share;
      Possible += Share;
      addFairShares(TeamAsked[Rank], Share, TeamShare);
      if (Share < 0.01 * Asked[Rank])
        fmt::print("{:>8}", "-");
      else
        fmt::print("{:>8.1f}", 100.0 * Served[Rank] / Share);
    }
    double Worst = 1.0;
    for (unsigned Team = 0; Team < Teams; ++Team)
      Worst = std::min(Worst, TeamServed[Team] / TeamShare[Team]);
    const double Total = Served[0] + Served[1] + Served[2];
    fmt::print("{:>9.1f}{:>9}{:>8.1f}{:>8.1f}\n", 100.0 * Total / Possible,
               recovery(Buckets, Offered), 100.0 * Worst, 100.0 * wasted());
  }

private:
  struct Event {
    TimePoint Time_;
    std::uint64_t Order_;
    std::function<void()> Run_;
    bool operator<(const Event &Other) const {
      return std::tie(Other.Time_, Other.Order_) < std::tie(Time_, Order_);
    }
  };
  struct Job {
    RequestPtr Request_;
    Done Done_;
    TimePoint Start_;
  };
  struct Server {
    Server(const DispatcherOptions &Options, unsigned Slots)
        : Dispatcher_(Options), Slots_(Slots) {}
    Dispatcher Dispatcher_;
    AdmissionLevel Level_;
    unsigned Slots_, Busy_ = 0;
    std::deque<CallId> Backlog_; ///< internal queue of the backend server
    std::unordered_map<CallId, Job> Jobs_;
    LevelTable Deeper_;
  };

  void after(Duration Delay, std::function<void()> Run) {
    Events_.push({Now_ + Delay, ++Order_, std::move(Run)});
  }
  bool triggered() const { return Now_ >= Start_ + TriggerStart && Now_ < Start_ + TriggerEnd; }
  double uniform() { return std::uniform_real_distribution<double>()(Random_); }

  void tick() {
    Standings_.tick(Now_);
    for (const auto &Each : Servers_) {
      Each->Level_.tick(Now_, Each->Dispatcher_.takeLoad());
      pump(*Each);
    }
    after(milliseconds(100), [this] { tick(); });
  }

  void arrive() {
    const double TeamLoad = triggered() ? Case_.TeamLoad_ : 1.0;
    const double Rate =
        BaseRate * (triggered() ? Case_.Load_ : 1.0) * (Teams - 1 + TeamLoad) / Teams;
    const double Team = uniform() * (Teams - 1 + TeamLoad);
    const double Class = uniform();
    auto New = std::make_shared<Request>();
    New->Team_ =
        Team < TeamLoad ? 0 : std::min(Teams - 1, 1U + static_cast<unsigned>(Team - TeamLoad));
    New->Rank_ = Class < ClassShare[0] ? 1 : Class < ClassShare[0] + ClassShare[1] ? 2 : 3;
    New->Arrival_ = Now_ - Start_;
    Requests_.push_back(New);
    attempt(New);
    after(Duration(static_cast<int>(std::exponential_distribution<double>(Rate)(Random_) * 1e6)),
          [this] { arrive(); });
  }

  void attempt(const RequestPtr &Each) {
    const int Try = ++Each->Try_;
    const TeamId Team(Setup_.Dispatcher_.TeamFairness_ ? std::to_string(Each->Team_) : "all");
    Each->Deadline_ = Now_ + Within;
    Each->Standing_ = Standings_.standing(Now_, Team, Each->Rank_, Random_());
    const auto Again = [this, Each, Try](Duration Delay) {
      if (Each->Served_ || Each->Try_ != Try || Try >= ClientTries)
        return;
      after(Delay, [this, Each, Try] {
        if (Each->Try_ == Try && !Each->Served_)
          attempt(Each);
      });
    };
    const Duration Pause(20000 + static_cast<int>(uniform() * 60000.0));
    if (Setup_.Admission_ && Entry_.overloaded(Now_, "front", Each->Standing_))
      return Again(Pause);
    Standings_.noteAdmitted(Now_, Team);
    after(Within, [Again] { Again(Duration::zero()); });
    // A copy keeps the deadline of this attempt when the client has sent the next one.
    auto Copy = std::make_shared<Request>(*Each);
    Attempts_.push_back(Copy);
    call(0, Copy, 1, [this, Each, Copy, Again, Pause](bool Served, bool) {
      Copy->Served_ = Served && Now_ <= Copy->Deadline_;
      Each->Served_ = Each->Served_ || Copy->Served_;
      if (!Served)
        Again(Pause);
    });
  }

  /// Calls a service (0: front, 2: deep) on the less busy of its two backend servers.
  void call(std::size_t Service, const RequestPtr &Each, int Try, const Done &End,
            LevelTable *Caller = nullptr) {
    const auto Busy = [this](std::size_t Index) {
      return Servers_[Index]->Dispatcher_.inFlight() + Servers_[Index]->Dispatcher_.queued();
    };
    const std::size_t Index = Busy(Service) <= Busy(Service + 1) ? Service : Service + 1;
    const ServiceId Name(Service == 0 ? "front" : "deep");
    if (Try == 1)
      Retries_.noteCall(Now_, Name);
    const auto Answer = [=](bool Served, bool NotRun) {
      Server &From = *Servers_[Index];
      std::vector<ServiceLevel> Levels = From.Deeper_.levels(Now_, "deep");
      Levels.push_back({Name, From.Level_.threshold()});
      LevelTable &To = Service == 0 ? Entry_ : *Caller;
      To.note(Now_, HostId(std::to_string(Index)), Service == 0 ? "front" : "deep", Levels);
      FailedCall Failed{Name,
                        NotRun ? Outcome::NotRun : Outcome::Served,
                        Refusal::Overloaded,
                        true,
                        Each->Deadline_ - Now_,
                        milliseconds(20)};
      const bool Retry = Setup_.RetryBudget_ ? Retries_.mayRetry(Now_, Failed) : true;
      if (!Served && Try < HopTries && Retry)
        return call(Service, Each, Try + 1, End, Caller);
      End(Served, NotRun);
    };
    after(Hop, [=] {
      submit(*Servers_[Index], Each,
             [=](bool Served, bool NotRun) { after(Hop, [=] { Answer(Served, NotRun); }); });
    });
  }

  void submit(Server &To, const RequestPtr &Each, const Done &End) {
    const CallId Id = ++LastId_;
    To.Level_.noteOffered(Each->Standing_);
    const OfferResult Result =
        To.Dispatcher_.offer(Now_, {Id, TeamId(std::to_string(Each->Team_)), "", Each->Standing_,
                                    Each->Rank_ == 3, Each->Deadline_});
    if (std::holds_alternative<Refused>(Result))
      return End(false, true);
    To.Jobs_[Id] = {Each, End, Now_};
    pump(To);
  }

  void pump(Server &To) {
    const DispatchBatch Batch = To.Dispatcher_.next(Now_);
    for (const RefusedCall &Call : Batch.Refused_) {
      const Done End = To.Jobs_[Call.Id_].Done_;
      To.Jobs_.erase(Call.Id_);
      End(false, true);
    }
    for (const CallId Id : Batch.Dispatch_) {
      To.Jobs_[Id].Start_ = Now_;
      To.Backlog_.push_back(Id);
    }
    for (; To.Busy_ < To.Slots_ && !To.Backlog_.empty(); To.Backlog_.pop_front(), ++To.Busy_)
      serve(To, To.Backlog_.front());
  }

  void serve(Server &At, CallId Id) {
    const RequestPtr Each = At.Jobs_[Id].Request_;
    const bool Deep = At.Slots_ == 5;
    const double Mean = 10000.0 * (Deep && triggered() ? Case_.Slow_ : 1.0);
    const Duration Time(static_cast<int>(Mean * (0.5 + uniform())));
    ++Each->Work_;
    after(Time, [=, &At] {
      if (Deep)
        return end(At, Id, true);
      call(
          2, Each, 1, [=, &At](bool Served, bool) { end(At, Id, Served); }, &At.Deeper_);
    });
  }

  void end(Server &At, CallId Id, bool Served) {
    const Job Ended = At.Jobs_[Id];
    At.Jobs_.erase(Id);
    --At.Busy_;
    At.Dispatcher_.finished(Now_, Id, Now_ - Ended.Start_,
                            Served ? CallResult::Served : CallResult::Failed);
    Ended.Done_(Served, false);
    pump(At);
  }

  /// Milliseconds from the end of the trigger until 95 % of the requests of 500 ms are served, and
  /// of each later 500 ms.
  static std::string recovery(const std::vector<double> &Served, const std::vector<double> &Asked) {
    const std::size_t End = TriggerEnd / milliseconds(100);
    std::size_t Result = End;
    for (std::size_t From = End; From + 10 <= Served.size(); ++From) {
      const double Got = std::accumulate(&Served[From], &Served[From] + 5, 0.0);
      if (Got < 0.95 * std::accumulate(&Asked[From], &Asked[From] + 5, 0.0))
        Result = From + 1;
    }
    return Result + 10 > Served.size() ? "never" : fmt::format("{} ms", (Result - End) * 100);
  }

  /// Adds the max-min share of each team in the possible work of one class: by rising demand, a
  /// team gets its demand or an equal part of what is left.
  static void addFairShares(const std::array<double, Teams> &Asked, double Possible,
                            std::array<double, Teams> &Shares) {
    std::array<std::size_t, Teams> Order{};
    std::iota(Order.begin(), Order.end(), 0U);
    std::sort(Order.begin(), Order.end(), [&](auto A, auto B) { return Asked[A] < Asked[B]; });
    for (std::size_t Index = 0; Index < Teams; ++Index) {
      const double Share =
          std::min(Asked[Order[Index]], Possible / static_cast<double>(Teams - Index));
      Possible -= Share;
      Shares[Order[Index]] += Share;
    }
  }

  double wasted() const {
    double Useful = 0.0, All = 0.0;
    for (const RequestPtr &Each : Attempts_) {
      All += Each->Work_;
      Useful += Each->Served_ ? std::min(Each->Work_, 2) : 0;
    }
    return 1.0 - Useful / All;
  }

  Variant Setup_;
  Scenario Case_;
  std::mt19937 Random_;
  TimePoint Start_{std::chrono::seconds(10)}, Now_ = Start_;
  std::priority_queue<Event> Events_;
  std::uint64_t Order_ = 0;
  std::vector<std::unique_ptr<Server>> Servers_;
  StandingSource Standings_;
  LevelTable Entry_;
  RetryPolicy Retries_;
  std::vector<RequestPtr> Requests_, Attempts_;
  CallId LastId_ = 0;
};

} // namespace

int main(int argc, char **argv) {
  const unsigned Seed = argc > 1 ? static_cast<unsigned>(std::strtoul(argv[1], nullptr, 10)) : 1;
  std::vector<Variant> Variants(8);
  const std::array<const char *, 8> Names{"all",          "no limit",     "no class order",
                                          "no fairness",  "no admission", "no budget",
                                          "no deadlines", "no control"};
  for (std::size_t Index = 0; Index < Names.size(); ++Index)
    Variants[Index].Name_ = Names[Index];
  Variants[1].Dispatcher_.AdaptiveLimit_ = Variants[7].Dispatcher_.AdaptiveLimit_ = false;
  Variants[2].Dispatcher_.ClassOrder_ = Variants[7].Dispatcher_.ClassOrder_ = false;
  Variants[3].Dispatcher_.TeamFairness_ = Variants[7].Dispatcher_.TeamFairness_ = false;
  Variants[4].Admission_ = Variants[7].Admission_ = false;
  Variants[5].RetryBudget_ = Variants[7].RetryBudget_ = false;
  Variants[6].Dispatcher_.Deadlines_ = Variants[7].Dispatcher_.Deadlines_ = false;
  for (const Scenario &Case :
       {Scenario{"surge of 4 times capacity", 4.0 * Capacity / BaseRate, 1.0, 1.0},
        Scenario{"deep service 5 times slower", 1.0, 5.0, 1.0},
        Scenario{"surge, and deep service 5 times slower", 4.0 * Capacity / BaseRate, 5.0, 1.0},
        Scenario{"one team at 5 times its rate", 1.0, 1.0, 5.0}}) {
    fmt::print("\n{}, seed {}\n{:<16}{:>8}{:>8}{:>8}{:>9}{:>9}{:>8}{:>8}\n", Case.Name_, Seed,
               "% of possible", "rank 3", "rank 2", "rank 1", "all", "recovery", "team", "wasted");
    for (const Variant &Setup : Variants) {
      Simulation Run(Setup, Case, Seed);
      Run.run();
      Run.report();
    }
  }
  return 0;
}
