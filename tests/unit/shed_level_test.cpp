#include "bronzestand/shed_level.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace bronzestand;

// Guards against urgent requests that are refused while less urgent ones are admitted.
TEST_CASE("shed_level_rising_refuses_least_urgent_requests_first") {
  CHECK(shedShare(0.0, 2) == 0.0);
  CHECK(shedShare(0.5, 2) == 0.5);
  CHECK(shedShare(0.5, 1) == 0.0);
  CHECK(shedShare(1.5, 2) == 1.0);
  CHECK(shedShare(1.5, 1) == 0.5);
  CHECK(shedShare(1.5, 0) == 0.0);
  CHECK(shedShare(0.5, 9) == 0.5);
  CHECK(shedShare(9.0, 0) == 1.0);
}

// Guards against a controller that lets an overloaded server refuse many calls, or leaves it idle.
// Two thirds of the offered requests have the lowest urgency.
TEST_CASE("shed_controller_demand_above_capacity_settles_near_capacity") {
  ShedController Controller;
  constexpr double Capacity = 100.0;
  constexpr double Demand = 150.0;
  double Offered = 0.0;
  double Served = 0.0;
  for (int Tick = 0; Tick < 400; ++Tick) {
    const double Arrives = Demand * (2.0 / 3 * (1.0 - shedShare(Controller.level(), 2)) +
                                     1.0 / 3 * (1.0 - shedShare(Controller.level(), 0)));
    for (int Number = 0; Number < static_cast<int>(Arrives); ++Number) {
      Controller.offered();
      if (Number >= static_cast<int>(Capacity))
        Controller.refused();
    }
    Controller.tick();
    if (Tick < 100)
      continue;
    Offered += Arrives;
    Served += std::min(Arrives, Capacity);
  }
  CHECK(Served >= 0.95 * Capacity * 300);
  CHECK(Offered <= 1.05 * Served);
  for (int Tick = 0; Tick < 100; ++Tick)
    Controller.tick();
  CHECK(Controller.level() < 0.01);
}

// Guards against a service whose requests are refused forever because none reaches it.
TEST_CASE("shed_table_without_answers_decays") {
  ShedTable Table;
  const TimePoint Start(std::chrono::seconds(100));
  const ServiceId Service("a");
  for (int Number = 0; Number < 50; ++Number)
    Table.report(Start, Service, 2.0);
  CHECK(Table.of(Start, Service) > 1.9);
  CHECK(Table.highest(Start) > 1.9);
  CHECK(Table.of(Start + std::chrono::seconds(5), Service) < 0.1);
  CHECK(Table.of(Start, ServiceId("b")) == 0.0);
}

// Guards against a full region that refuses requests which may run elsewhere, and against an
// overload of all regions that refuses none.
TEST_CASE("shed_table_full_region_refuses_only_requests_bound_to_it") {
  ShedTable Table;
  const TimePoint Now(std::chrono::seconds(100));
  const ServiceId Service("a");
  const RegionId East("east");
  const RegionId West("west");
  const AllowedRegions OnlyEast(std::in_place, {East});
  const AllowedRegions OnlyWest(std::in_place, {West});
  for (int Number = 0; Number < 50; ++Number) {
    Table.reportOf(Now, Service, 2.0, OnlyEast, East, {East});
    Table.reportOf(Now, Service, 2.0, std::nullopt, East, {East, West});
    Table.reportOf(Now, Service, 0.0, std::nullopt, West, {East, West});
  }
  CHECK(Table.of(Now, Service, OnlyEast) > 1.9);
  CHECK(Table.of(Now, Service, OnlyWest) == 0.0);
  CHECK(Table.of(Now, Service) == 0.0);
  CHECK(Table.highest(Now) == 0.0);
  for (int Number = 0; Number < 50; ++Number)
    Table.reportOf(Now, Service, 2.0, std::nullopt, West, {East, West});
  CHECK(Table.of(Now, Service) > 1.9);
}

// Guards against an overload further down the chain that no entry notices: each node calls only
// servers of its own region, and a region without answers counts as not overloaded.
TEST_CASE("shed_table_called_service_is_full_level_holds_whatever_region_answers") {
  ShedTable Table;
  const TimePoint Now(std::chrono::seconds(100));
  const ServiceId Service("a");
  const RegionId East("east");
  const RegionId West("west");
  for (int Number = 0; Number < 50; ++Number)
    CHECK(Table.reportOf(Now, Service, 2.0, std::nullopt, East, {East, West}, 1.5) >= 1.5);
  CHECK(Table.of(Now, Service) == Approx(1.5).margin(0.1));
  CHECK(Table.of(Now, Service, AllowedRegions(std::in_place, {West})) == Approx(1.5).margin(0.1));
  CHECK(Table.of(Now, Service, AllowedRegions(std::in_place, {East})) > 1.9);
  for (int Number = 0; Number < 50; ++Number)
    Table.reportOf(Now, Service, 0.0, std::nullopt, East, {East, West}, 0.0);
  CHECK(Table.of(Now, Service) < 0.1);
}

// Guards against a queue in which calls of other servers wait for so short a time that none is
// refused, while the runs above wait in it again and again and fill their own servers.
TEST_CASE("shed_controller_standing_queue_raises_level_without_refusals") {
  constexpr Duration ServiceTime = std::chrono::milliseconds(33);
  ShedController Controller;
  const auto Run = [&](int Ticks, Duration Shortest) {
    for (int Tick = 0; Tick < Ticks; ++Tick) {
      for (int Number = 0; Number < 40; ++Number) {
        Controller.offered();
        Controller.waited(Shortest + Number * ServiceTime / 10);
      }
      Controller.tick(ServiceTime);
    }
  };
  Run(20, 4 * ServiceTime);
  CHECK(Controller.level() > 0.5);
  Run(10, Duration::zero());
  CHECK(Controller.level() == 0.0);
  // A burst, in which some calls find the queue empty, and a short queue say nothing.
  Run(20, Duration::zero());
  Run(20, ServiceTime);
  CHECK(Controller.level() == 0.0);
}
