#include "bronzestand/retry_budget.h"

#include <algorithm>
#include <array>
#include <functional>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

using namespace bronzestand;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Now{seconds(1000)};

} // namespace

// Guards against repeats of many nodes that together exceed what the fleet may send. The chain is
// as deep as the budget assumes, every call fails, and each repeated run repeats all calls below
// it.
TEST_CASE("budget_failing_chain_repeats_stay_within_the_fleet_budget") {
  constexpr double Ratio = 0.2;
  constexpr double Allowance = 50.0;
  constexpr std::size_t Nodes = 17;
  constexpr int Requests = 300; // of each node to the first service, in a window
  constexpr int CallsOfLast = 4;
  const std::array<ServiceId, 4> Chain{ServiceId("a"), ServiceId("b"), ServiceId("c"),
                                       ServiceId("d")};
  std::vector<RetryBudget> Budgets(Nodes, RetryBudget({Ratio, Allowance}));
  for (RetryBudget &Budget : Budgets) {
    Budget.setNodes(Nodes);
    Budget.noteCalls(Chain.back(), false);
  }
  std::array<int, 4> First{};
  std::array<int, 4> Again{};
  // A run that is a repeat makes all runs below it repeats too.
  std::function<void(std::size_t, std::size_t, bool)> Call = [&](std::size_t Depth,
                                                                 std::size_t Node, bool Repeat) {
    ++(Repeat ? Again : First)[Depth];
    Budgets[Node].noteFirst(Now, Chain[Depth], true);
    const auto Below = [&](bool Repeated) {
      const int Times = Depth + 2 == Chain.size() ? CallsOfLast : 1;
      for (int Number = 0; Depth + 1 < Chain.size() && Number < Times; ++Number)
        Call(Depth + 1, (Node * 7 + Depth + static_cast<std::size_t>(Number)) % Nodes, Repeated);
    };
    Below(Repeat);
    if (!Budgets[Node].take(Now, Chain[Depth], true))
      return;
    ++Again[Depth];
    Below(true);
  };
  for (int Number = 0; Number < Requests; ++Number)
    for (std::size_t Node = 0; Node < Nodes; ++Node)
      Call(0, Node, false);
  for (std::size_t Depth = 0; Depth < Chain.size(); ++Depth) {
    INFO("depth " << Depth << ": " << First[Depth] << " first, " << Again[Depth] << " again");
    CHECK(Again[Depth] <= Ratio * First[Depth] + Allowance);
  }
}

// Guards against routine calls that leave nothing for urgent requests, and against both together
// taking more than all first sends have earned.
TEST_CASE("budget_routine_calls_leave_what_urgent_requests_earned") {
  RetryBudget Budget({0.2, 0.0});
  const ServiceId Service("a");
  Budget.noteCalls(Service, false);
  for (int Number = 0; Number < 500; ++Number) {
    Budget.noteFirst(Now, Service, true);
    Budget.noteFirst(Now - seconds(8), Service, true);
    Budget.noteFirst(Now, Service, false);
    Budget.noteFirst(Now - seconds(8), Service, false);
  }
  int Routine = 0;
  while (Budget.take(Now, Service, false))
    ++Routine;
  int Urgent = 0;
  while (Budget.take(Now, Service, true))
    ++Urgent;
  CHECK(Routine > 0);
  CHECK(Urgent >= Routine);
  CHECK(Routine + Urgent <= 200); // a tenth of the first sends, as half of the budget is kept
}

// Guards against a node with few requests that can never repeat one.
TEST_CASE("budget_first_failure_at_a_last_service_may_be_repeated") {
  RetryBudget Budget({0.2, 50.0});
  Budget.setNodes(17);
  Budget.noteCalls(ServiceId("a"), false);
  Budget.noteFirst(Now, ServiceId("a"), true);
  CHECK(Budget.take(Now, ServiceId("a"), true));
  CHECK_FALSE(Budget.take(Now, ServiceId("a"), true));
}

// Guards against requests that fail for good although the fleet has repeated next to nothing for
// seconds: the servers of a service begin to reject half of all arrivals, and most callers stop.
TEST_CASE("budget_unused_repeats_of_the_window_are_there_when_servers_begin_to_reject") {
  RetryBudget Budget({0.2, 0.0});
  const ServiceId Service("a");
  Budget.noteCalls(Service, false);
  constexpr int PerSecond = 100;
  for (int Time = 0; Time < 15 * PerSecond; ++Time)
    Budget.noteFirst(Now + milliseconds(1000 / PerSecond * Time), Service, false);
  const TimePoint Then = Now + seconds(15);
  int Again = 0;
  for (int Number = 0; Number < 200; ++Number) {
    const TimePoint At = Then + milliseconds(20) * Number; // half as many calls
    Budget.noteFirst(At, Service, false);
    Again += Budget.take(At, Service, false) ? 1 : 0;
  }
  CHECK(Again >= 70); // of 0.2 x 0.5 x 1,000 in a window
}

// Guards against a budget that the nodes of a fleet exceed together while the traffic moves between
// them, stops and comes back, and nodes start anew. Every repeat that is allowed is made.
TEST_CASE("budget_moving_traffic_stays_within_the_fleet_budget_in_every_window") {
  constexpr double Ratio = 0.2;
  constexpr double Allowance = 20.0;
  constexpr std::size_t Nodes = 12;
  const ServiceId Service("a");
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    std::mt19937_64 Random(Seed);
    std::vector<RetryBudget> Budgets(Nodes, RetryBudget({Ratio, Allowance}));
    const auto Begin = [&](RetryBudget &Budget) {
      Budget = RetryBudget({Ratio, Allowance});
      Budget.setNodes(Nodes);
      Budget.noteCalls(Service, false);
    };
    for (RetryBudget &Budget : Budgets)
      Begin(Budget);
    std::vector<TimePoint> First;
    std::vector<TimePoint> Again;
    std::size_t Busy = 0;
    double Gap = 0.01;
    for (TimePoint At = Now; At < Now + seconds(60);) {
      At += std::chrono::microseconds(
          static_cast<std::int64_t>(1e6 * std::exponential_distribution<double>(1 / Gap)(Random)));
      if (Random() % 400 == 0) {
        Busy = Random() % Nodes;
        Gap = std::array<double, 3>{0.003, 0.02, 0.3}[Random() % 3];
      }
      if (Random() % 500 == 0)
        Begin(Budgets[Random() % Nodes]);
      // Most requests enter at a few nodes.
      RetryBudget &Budget = Budgets[Random() % 4 == 0 ? Random() % Nodes : Busy];
      const bool Urgent = Random() % 2 == 0;
      Budget.noteFirst(At, Service, Urgent);
      First.push_back(At);
      while (Budget.take(At, Service, Urgent))
        Again.push_back(At);
    }
    const auto Count = [](const std::vector<TimePoint> &Times, TimePoint From, TimePoint To) {
      return std::upper_bound(Times.begin(), Times.end(), To) -
             std::upper_bound(Times.begin(), Times.end(), From);
    };
    for (const TimePoint End : Again) {
      const auto Sent = std::max({Count(First, End - seconds(10), End),
                                  Count(First, End - seconds(15), End - seconds(5)),
                                  Count(First, End - seconds(20), End - seconds(10))});
      INFO("seed " << Seed);
      REQUIRE(Count(Again, End - seconds(10), End) <= Ratio * Sent + Allowance);
    }
  }
}
