#include "bronzestand/retry_budget.h"

#include <array>
#include <functional>
#include <vector>

#include <catch2/catch.hpp>

using namespace bronzestand;

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
    Budgets[Node].noteFirst(Chain[Depth]);
    const auto Below = [&](bool Repeated) {
      const int Times = Depth + 2 == Chain.size() ? CallsOfLast : 1;
      for (int Number = 0; Depth + 1 < Chain.size() && Number < Times; ++Number)
        Call(Depth + 1, (Node * 7 + Depth + static_cast<std::size_t>(Number)) % Nodes, Repeated);
    };
    Below(Repeat);
    if (!Budgets[Node].take(Chain[Depth], true))
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

// Guards against routine calls that leave nothing for urgent requests.
TEST_CASE("budget_part_of_the_bucket_is_kept_for_urgent_requests") {
  RetryBudget Budget({0.2, 1000.0});
  const ServiceId Service("a");
  Budget.noteCalls(Service, false);
  for (int Number = 0; Number < 1000; ++Number)
    Budget.noteFirst(Service);
  int Routine = 0;
  while (Budget.take(Service, false))
    ++Routine;
  int Urgent = 0;
  while (Budget.take(Service, true))
    ++Urgent;
  CHECK(Routine > 0);
  CHECK(Urgent > 0);
  CHECK(Routine + Urgent == 4);
}

// Guards against a node with few requests that can never repeat one.
TEST_CASE("budget_first_failure_at_a_last_service_may_be_repeated") {
  RetryBudget Budget({0.2, 50.0});
  Budget.setNodes(17);
  Budget.noteCalls(ServiceId("a"), false);
  Budget.noteFirst(ServiceId("a"));
  CHECK(Budget.take(ServiceId("a"), true));
  CHECK_FALSE(Budget.take(ServiceId("a"), true));
}
