#include "bronzestand/route_health.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Nodes = 96;
constexpr std::size_t Services = 3;
constexpr double ChainPerSecond = 60.0;
constexpr double SolePerSecond = 40.0;
constexpr Duration HopTime = 100ms;
constexpr std::size_t CallsPerRun = 4;
constexpr Duration Tick = 100ms;
constexpr std::size_t TicksPerTell = 2; ///< a node tells one other node what it knows

/// Requests of the class "chain" run at the first service, which calls the second, which calls the
/// third four times. Those of the class "sole" run at the first service and call nothing. Each node
/// is an entry, and stands beside a server of one service; a call goes to any server of a service.
struct ChainFixture {
  struct Node {
    RouteHealth Health_;
    RouteAdmission Admission_;
  };
  struct Counts {
    std::size_t Offered_ = 0;
    std::size_t Refused_ = 0;
    std::size_t Ran_ = 0; ///< at the first service
    std::size_t Served_ = 0;
  };
  using Done = std::function<void(bool Served)>;

  std::mt19937_64 Random_{11};
  std::vector<Node> Nodes_{Nodes};
  std::multimap<TimePoint, std::function<void()>> Events_;
  TimePoint Now_{100s};
  std::size_t Ticks_ = 0;
  const TimePoint Start_ = Now_;
  double Rejected_ = 0.0; ///< share of the calls that servers of the third service reject
  std::size_t RejectingServers_ = Nodes / Services;
  unsigned Tries_ = 2;                                           ///< of a call to the third service
  std::map<std::string, std::map<std::int64_t, Counts>> Counts_; ///< by class and second

  static ClassId classOf(std::size_t Service) { return ClassId("hop" + std::to_string(Service)); }

  bool draw(double Share) { return std::uniform_real_distribution<double>()(Random_) < Share; }
  void after(Duration Time, std::function<void()> Action) {
    Events_.emplace(Now_ + Time, std::move(Action));
  }

  /// Calls a service from a node. The node learns what the node beside the server knows.
  void call(std::size_t From, std::size_t Service, const ClassId &Class, unsigned Tries,
            const Done &Finished) {
    const std::size_t Number = Random_() % (Nodes / Services);
    const std::size_t At = Number * Services + Service;
    const auto Answered = [this, From, At, Finished](bool Served) {
      Nodes_[From].Health_.heard(Now_, Nodes_[At].Health_.states(Now_));
      Finished(Served);
    };
    if (Service + 1 == Services && Number < RejectingServers_ && draw(Rejected_)) {
      Nodes_[At].Health_.ended(Now_, Class, RunEnd::Rejected);
      Nodes_[From].Health_.heard(Now_, Nodes_[At].Health_.states(Now_));
      if (Tries > 1)
        after(1ms, [=] { call(From, Service, Class, Tries - 1, Finished); });
      else
        Finished(false);
      return;
    }
    after(HopTime, [=] {
      const auto End = [=](bool Served) {
        Nodes_[At].Health_.ended(Now_, Class, Served ? RunEnd::Served : RunEnd::Failed);
        Answered(Served);
      };
      if (Class == ClassId("sole") || Service + 1 == Services)
        End(true);
      else
        callNext(At, Service + 1, Service + 2 == Services ? CallsPerRun : 1, End);
    });
  }

  void callNext(std::size_t From, std::size_t Service, std::size_t Times, const Done &End) {
    Nodes_[From].Health_.called(Now_, classOf(Service));
    call(From, Service, classOf(Service), Tries_, [=](bool Served) {
      if (Served && Times > 1)
        callNext(From, Service, Times - 1, End);
      else
        End(Served);
    });
  }

  void request(const std::string &Class) {
    const std::size_t Entry = Random_() % Nodes;
    Counts &Second =
        Counts_[Class][std::chrono::duration_cast<std::chrono::seconds>(Now_ - Start_).count()];
    ++Second.Offered_;
    if (!draw(Nodes_[Entry].Admission_.share(ClassId(Class)))) {
      ++Second.Refused_;
      return;
    }
    ++Second.Ran_;
    call(Entry, 0, ClassId(Class), 1, [&Second](bool Served) { Second.Served_ += Served ? 1 : 0; });
  }

  void arrive(const std::string &Class, double PerSecond) {
    const std::chrono::duration<double> Pause(
        std::exponential_distribution<double>(PerSecond)(Random_));
    after(std::chrono::duration_cast<Duration>(Pause), [=] {
      request(Class);
      arrive(Class, PerSecond);
    });
  }

  void tick() {
    for (Node &Item : Nodes_)
      for (const ClassId &Class : {ClassId("chain"), ClassId("sole")}) {
        const auto State = Item.Health_.find(Now_, Class);
        Item.Admission_.update(Class, 2, State ? std::optional(State->Success_) : std::nullopt);
      }
    if (++Ticks_ % TicksPerTell == 0)
      for (Node &Item : Nodes_)
        Nodes_[Random_() % Nodes].Health_.heard(Now_, Item.Health_.states(Now_));
    after(Tick, [this] { tick(); });
  }

  void runTo(Duration Time) {
    if (Events_.empty()) {
      tick();
      arrive("chain", ChainPerSecond);
      arrive("sole", SolePerSecond);
    }
    const TimePoint End = Start_ + Time;
    while (Events_.begin()->first < End) {
      const auto Next = Events_.begin();
      const std::function<void()> Action = std::move(Next->second);
      Now_ = Next->first;
      Events_.erase(Next);
      Action();
    }
    Now_ = End;
  }

  /// Sums the seconds from First up to, without, Last.
  Counts sum(const std::string &Class, std::int64_t First, std::int64_t Last) {
    Counts Result;
    for (std::int64_t Second = First; Second < Last; ++Second) {
      const Counts &Item = Counts_[Class][Second];
      Result.Offered_ += Item.Offered_;
      Result.Refused_ += Item.Refused_;
      Result.Ran_ += Item.Ran_;
      Result.Served_ += Item.Served_;
    }
    return Result;
  }
  static double share(std::size_t Part, std::size_t Whole) {
    return Whole == 0 ? 0.0 : static_cast<double>(Part) / static_cast<double>(Whole);
  }
};

} // namespace

// Guards against work that is done in vain for requests whose last call is rejected by all servers,
// against requests that do not need it and are refused too, and against a slow recovery.
TEST_CASE_METHOD(ChainFixture, "route_health_last_hop_rejects_all_chain_is_refused_at_entry") {
  runTo(10s);
  CHECK(sum("chain", 0, 10).Refused_ == 0);
  Rejected_ = 1.0;
  runTo(18s);
  Rejected_ = 0.0;
  runTo(22s);
  const Counts During = sum("chain", 12, 18);
  INFO("ran in vain " << share(During.Ran_, During.Offered_));
  CHECK(share(During.Ran_, During.Offered_) <= 0.25);
  const Counts Sole = sum("sole", 0, 21);
  CHECK(Sole.Refused_ == 0);
  CHECK(Sole.Served_ == Sole.Offered_);
  const Counts After = sum("chain", 19, 21);
  INFO("served after the recovery " << share(After.Served_, After.Offered_));
  CHECK(share(After.Served_, After.Offered_) >= 0.9);
}

// Guards against a service that is shut off because its servers reject a part of the calls.
TEST_CASE_METHOD(ChainFixture, "route_health_last_hop_rejects_part_chain_is_admitted") {
  Rejected_ = 0.3;
  Tries_ = 4;
  runTo(10s);
  const Counts All = sum("chain", 0, 9);
  INFO("refused " << share(All.Refused_, All.Offered_));
  CHECK(share(All.Refused_, All.Offered_) <= 0.05);
}

// Guards against a service that is shut off because one of its servers rejects everything.
TEST_CASE_METHOD(ChainFixture, "route_health_one_server_rejects_all_chain_is_admitted") {
  Rejected_ = 1.0;
  RejectingServers_ = 1;
  runTo(10s);
  const Counts All = sum("chain", 0, 9);
  CHECK(share(All.Refused_, All.Offered_) <= 0.05);
}

// Guards against nodes that refuse requests long after the trouble, because they heard of its start
// and of nothing since.
TEST_CASE_METHOD(ChainFixture, "route_health_trouble_ended_all_nodes_admit_all_requests") {
  Rejected_ = 1.0;
  runTo(5s);
  Rejected_ = 0.0;
  runTo(10s);
  for (const Node &Item : Nodes_)
    CHECK(Item.Admission_.isOpen());
}

// Guards against calls that cannot be matched to their runs, because they have a time limit of
// their own: the class that makes them then counts as needing no answer, and is not limited.
TEST_CASE("route_health_calls_of_unknown_runs_count_for_the_class_that_fails") {
  constexpr std::size_t CallsOfRun = 4;
  const ClassId Leaf("leaf");
  const ClassId Needing("needing");
  const ClassId Other("other");
  RouteHealth Health;
  TimePoint Now{100s};
  const auto Run = [&](RunEnd End) {
    Now += 10ms;
    Health.ended(Now, Other, RunEnd::Served);
    for (std::size_t Number = 0; Number < CallsOfRun; ++Number)
      Health.called(Now, Leaf);
    Health.ended(Now, Needing, End);
  };
  for (int Number = 0; Number < 300; ++Number)
    Run(RunEnd::Served);
  for (int Number = 0; Number < 60; ++Number) {
    Health.measured(Now, Leaf, 0.45, {0.2, 0.5});
    Run(RunEnd::Failed);
  }
  const auto State = Health.find(Now, Needing);
  REQUIRE(State);
  CHECK(State->Limit_ == Leaf);
  CHECK(State->Answers_ == Approx(CallsOfRun).epsilon(0.1));
  CHECK_FALSE(Health.isLimited(Now, Other));
}

// Guards against a class that is limited although its runs do not need the limited one: a few calls
// of other runs are taken for its own, because they have its deadline by accident.
TEST_CASE("route_health_few_calls_are_taken_for_those_of_a_class_it_is_not_limited") {
  const ClassId Leaf("leaf");
  const ClassId Needing("needing");
  const ClassId Other("other");
  RouteHealth Health;
  TimePoint Now{100s};
  const auto Run = [&](int Number, RunEnd End) {
    Now += 10ms;
    Health.called(Now, Leaf, Number % 5 == 0 ? Other : Needing);
    Health.called(Now, Leaf, Needing);
    Health.ended(Now, Other, RunEnd::Served);
    Health.ended(Now, Needing, End);
  };
  for (int Number = 0; Number < 300; ++Number)
    Run(Number, RunEnd::Served);
  for (int Number = 0; Number < 60; ++Number) {
    Health.measured(Now, Leaf, 0.45, {0.2, 0.5});
    Run(Number, RunEnd::Failed);
  }
  CHECK(Health.isLimited(Now, Needing));
  CHECK_FALSE(Health.isLimited(Now, Other));
}
