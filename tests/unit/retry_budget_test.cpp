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

// Guards against retries of many nodes that together exceed the budget of the fleet. The chain has
// the maximum depth, every call fails, and each retried run repeats all calls below it.
TEST_CASE("retry_budget_failing_chain_stays_within_fleet_budget") {
  constexpr double Ratio = 0.2;
  constexpr double Allowance = 50.0;
  constexpr std::size_t Nodes = 17;
  constexpr int Requests = 300; // of each node to the first service, per window
  constexpr int CallsOfLeaf = 4;
  const std::array<ServiceId, 4> Chain{ServiceId("a"), ServiceId("b"), ServiceId("c"),
                                       ServiceId("d")};
  std::vector<RetryBudget> Budgets(Nodes, RetryBudget({Ratio, Allowance}));
  for (RetryBudget &Budget : Budgets) {
    Budget.setNodes(Nodes);
    Budget.noteCalls(Chain.back(), false);
  }
  std::array<int, 4> First{};
  std::array<int, 4> Retries{};
  // All calls made by a retried run are retries too.
  std::function<void(std::size_t, std::size_t, bool)> Call = [&](std::size_t Depth,
                                                                 std::size_t Node, bool IsRetry) {
    ++(IsRetry ? Retries : First)[Depth];
    Budgets[Node].noteFirst(Now, Chain[Depth], true);
    const auto CallChildren = [&](bool Retried) {
      const int Times = Depth + 2 == Chain.size() ? CallsOfLeaf : 1;
      for (int Number = 0; Depth + 1 < Chain.size() && Number < Times; ++Number)
        Call(Depth + 1, (Node * 7 + Depth + static_cast<std::size_t>(Number)) % Nodes, Retried);
    };
    CallChildren(IsRetry);
    if (!Budgets[Node].take(Now, Chain[Depth], true))
      return;
    ++Retries[Depth];
    CallChildren(true);
  };
  for (int Number = 0; Number < Requests; ++Number)
    for (std::size_t Node = 0; Node < Nodes; ++Node)
      Call(0, Node, false);
  for (std::size_t Depth = 0; Depth < Chain.size(); ++Depth) {
    INFO("depth " << Depth << ": " << First[Depth] << " first attempts, " << Retries[Depth]
                  << " retries");
    CHECK(Retries[Depth] <= Ratio * First[Depth] + Allowance);
  }
}

// Guards against other calls that use up the retries of urgent requests, and against both together
// exceeding what all first attempts have earned.
TEST_CASE("retry_budget_other_calls_leave_retries_of_urgent_requests") {
  RetryBudget Budget({0.2, 0.0});
  const ServiceId Service("a");
  Budget.noteCalls(Service, false);
  for (int Number = 0; Number < 500; ++Number) {
    Budget.noteFirst(Now, Service, true);
    Budget.noteFirst(Now - seconds(8), Service, true);
    Budget.noteFirst(Now, Service, false);
    Budget.noteFirst(Now - seconds(8), Service, false);
  }
  int Other = 0;
  while (Budget.take(Now, Service, false))
    ++Other;
  int Urgent = 0;
  while (Budget.take(Now, Service, true))
    ++Urgent;
  CHECK(Other > 0);
  CHECK(Urgent >= Other);
  // A tenth of the first attempts: a leaf service gets half of the budget.
  CHECK(Other + Urgent <= 200);
}

// Guards against a node with few requests that can never retry one.
TEST_CASE("retry_budget_first_failure_at_leaf_service_may_be_retried") {
  RetryBudget Budget({0.2, 50.0});
  Budget.setNodes(17);
  Budget.noteCalls(ServiceId("a"), false);
  Budget.noteFirst(Now, ServiceId("a"), true);
  CHECK(Budget.take(Now, ServiceId("a"), true));
  CHECK_FALSE(Budget.take(Now, ServiceId("a"), true));
}

// Guards against requests that fail permanently although the fleet has hardly retried for seconds:
// the servers of a service begin to reject half of all arrivals, and half of the callers stop.
TEST_CASE("retry_budget_unused_retries_are_available_when_servers_begin_to_reject") {
  RetryBudget Budget({0.2, 0.0});
  const ServiceId Service("a");
  Budget.noteCalls(Service, false);
  constexpr int PerSecond = 100;
  for (int Time = 0; Time < 15 * PerSecond; ++Time)
    Budget.noteFirst(Now + milliseconds(1000 / PerSecond * Time), Service, false);
  const TimePoint Then = Now + seconds(15);
  int Retries = 0;
  for (int Number = 0; Number < 200; ++Number) {
    const TimePoint At = Then + milliseconds(20) * Number; // half as many calls
    Budget.noteFirst(At, Service, false);
    Retries += Budget.take(At, Service, false) ? 1 : 0;
  }
  CHECK(Retries >= 70); // of 0.2 x 0.5 x 1,000 in a window
}

// Guards against nodes that together exceed the budget of the fleet while traffic moves between
// them, stops and resumes, and nodes restart. Every retry that is allowed is made.
TEST_CASE("retry_budget_moving_traffic_stays_within_fleet_budget_in_every_window") {
  constexpr double Ratio = 0.2;
  constexpr double Allowance = 20.0;
  constexpr std::size_t Nodes = 12;
  const ServiceId Service("a");
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    std::mt19937_64 Random(Seed);
    std::vector<RetryBudget> Budgets(Nodes, RetryBudget({Ratio, Allowance}));
    const auto Reset = [&](RetryBudget &Budget) {
      Budget = RetryBudget({Ratio, Allowance});
      Budget.setNodes(Nodes);
      Budget.noteCalls(Service, false);
    };
    for (RetryBudget &Budget : Budgets)
      Reset(Budget);
    std::vector<TimePoint> First;
    std::vector<TimePoint> Retries;
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
        Reset(Budgets[Random() % Nodes]);
      // Most requests enter at a few nodes.
      RetryBudget &Budget = Budgets[Random() % 4 == 0 ? Random() % Nodes : Busy];
      const bool Urgent = Random() % 2 == 0;
      Budget.noteFirst(At, Service, Urgent);
      First.push_back(At);
      while (Budget.take(At, Service, Urgent))
        Retries.push_back(At);
    }
    const auto Count = [](const std::vector<TimePoint> &Times, TimePoint From, TimePoint To) {
      return std::upper_bound(Times.begin(), Times.end(), To) -
             std::upper_bound(Times.begin(), Times.end(), From);
    };
    for (const TimePoint End : Retries) {
      const auto Sent = std::max({Count(First, End - seconds(10), End),
                                  Count(First, End - seconds(15), End - seconds(5)),
                                  Count(First, End - seconds(20), End - seconds(10))});
      INFO("seed " << Seed);
      REQUIRE(Count(Retries, End - seconds(10), End) <= Ratio * Sent + Allowance);
    }
  }
}
