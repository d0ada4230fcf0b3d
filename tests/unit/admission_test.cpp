#include "bronzestand/admission.h"

#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

using namespace bronzestand;
using std::chrono::milliseconds;

namespace {

struct AdmissionFixture {
  /// Simulates 100 ms. Requests below the threshold are refused; the others reach a dispatcher that
  /// completes at most Capacity_ calls. Returns the number of completed calls.
  unsigned interval(unsigned Requests, std::uint8_t Ranks) {
    std::vector<std::uint16_t> Passed;
    for (unsigned Count = 0; Count < Requests; ++Count) {
      const auto Rank = static_cast<std::uint8_t>(1 + Random_() % Ranks);
      const Standing Value{Rank, static_cast<std::uint8_t>(224 + Random_() % 32)};
      if (Value.value() < Level_.threshold()) {
        ProtectedRefused_ += Rank == 3 ? 1 : 0;
        continue;
      }
      Level_.noteOffered(Value);
      Passed.push_back(Value.value());
    }
    Now_ += milliseconds(100);
    DispatcherLoad Load;
    Load.Dispatched_ = std::min<std::uint64_t>(Passed.size(), Capacity_);
    Load.Refused_ = Passed.size() - Load.Dispatched_;
    Load.TargetDelay_ = milliseconds(10);
    Load.MeanDelay_ = milliseconds(Load.Refused_ > 0 ? 15 : 1);
    Refused_ += Load.Refused_;
    Level_.tick(Now_, Load);
    return static_cast<unsigned>(Load.Dispatched_);
  }

  std::mt19937 Random_{Catch::rngSeed()};
  TimePoint Now_{std::chrono::seconds(10)};
  AdmissionLevel Level_;
  unsigned Capacity_ = 100;
  unsigned ProtectedRefused_ = 0;
  std::uint64_t Refused_ = 0;
};

const ServiceId Deep("deep");

} // namespace

// Guards against a threshold that oscillates, so that far too much or too little is refused.
TEST_CASE_METHOD(AdmissionFixture, "admission_threshold_surge_refuses_only_the_excess") {
  INFO("seed " << Catch::rngSeed());
  for (int Count = 0; Count < 20; ++Count)
    interval(400, 3);
  unsigned Completed = 0;
  Refused_ = ProtectedRefused_ = 0;
  for (int Count = 0; Count < 200; ++Count)
    Completed += interval(400, 3);
  CHECK(Completed >= 0.95 * 200 * Capacity_);
  CHECK(Refused_ <= 0.4 * Completed);
}

// Guards against protected calls refused at the entry although refusing lower classes is enough.
TEST_CASE_METHOD(AdmissionFixture, "admission_threshold_overload_refuses_protected_calls_last") {
  Capacity_ = 160; // 133 of the 400 requests are protected
  for (int Count = 0; Count < 200; ++Count)
    interval(400, 3);
  CHECK(ProtectedRefused_ == 0);
}

// Guards against a threshold that remains raised after a surge.
TEST_CASE_METHOD(AdmissionFixture, "admission_threshold_after_surge_returns_within_two_seconds") {
  for (int Count = 0; Count < 100; ++Count)
    interval(400, 3);
  for (int Count = 0; Count < 15; ++Count)
    interval(80, 3);
  unsigned Completed = 0;
  for (int Count = 0; Count < 5; ++Count)
    Completed += interval(80, 3);
  CHECK(Completed >= 0.95 * 5 * 80);
}

// Guards against one bad backend server that causes refusals for a whole service, and against
// levels that never expire.
TEST_CASE("admission_levels_of_several_hosts_combine_by_median_and_expire") {
  LevelTable Table;
  const TimePoint Now{std::chrono::seconds(10)};
  Table.note(Now, HostId("bad"), "route", {{Deep, 900}});
  CHECK(Table.level(Now, Deep) == 900);
  Table.note(Now, HostId("good"), "route", {{Deep, 0}});
  CHECK(Table.level(Now, Deep) == 0);
  Table.note(Now, HostId("third"), "route", {{Deep, 500}});
  CHECK(Table.level(Now, Deep) == 500);
  CHECK(Table.level(Now + milliseconds(2001), Deep) == 0);
  REQUIRE(Table.levels(Now, "route").size() == 1);
  CHECK(Table.levels(Now, "route").front().Threshold_ == 500);
}

// Guards against refusals because of a service that the route does not use, and against a route
// that never learns of a lower level because all its requests are refused.
TEST_CASE("admission_check_below_level_of_downstream_service_refuses") {
  LevelTable Table;
  const TimePoint Now{std::chrono::seconds(10)};
  Table.note(Now, HostId("a"), "uses", {{Deep, 600}});
  Table.note(Now, HostId("a"), "other", {});
  CHECK_FALSE(Table.overloaded(Now, "uses", {1, 255})); // one request passes every 500 ms
  CHECK(Table.overloaded(Now + milliseconds(1), "uses", {1, 255}));
  CHECK_FALSE(Table.overloaded(Now + milliseconds(1), "uses", {3, 0}));
  CHECK_FALSE(Table.overloaded(Now + milliseconds(1), "other", {1, 255}));
}

// Guards against a team within its fair share that gets a lower priority than one above it, and
// against a lowered priority while all requests are admitted.
TEST_CASE("priority_of_team_above_fair_share_is_lowered") {
  StandingSource Assigner;
  TimePoint Now{std::chrono::seconds(10)};
  const TeamId Small("small");
  const TeamId Flood("flood");
  const auto Run = [&](unsigned FloodAdmitted) {
    for (int Step = 0; Step < 200; ++Step) {
      Assigner.standing(Now, Small, 2, 0);
      Assigner.noteAdmitted(Now, Small);
      for (unsigned Count = 0; Count < 5; ++Count) {
        Assigner.standing(Now, Flood, 2, 0);
        if (Count < FloodAdmitted)
          Assigner.noteAdmitted(Now, Flood);
      }
      Now += milliseconds(20);
      Assigner.tick(Now);
    }
  };
  Run(5);
  CHECK(Assigner.standing(Now, Flood, 2, 0).Band_ == 255);
  // Of each step, 1 of 1 (small) and 4 of 5 requests (flood) are admitted. A third team joins with
  // the demand of flood.
  for (int Step = 0; Step < 400; ++Step) {
    for (int Count = 0; Count < 5; ++Count)
      Assigner.standing(Now, TeamId("late"), 2, 0);
    Assigner.noteAdmitted(Now, TeamId("late"));
    Assigner.standing(Now, Small, 2, 0);
    Assigner.noteAdmitted(Now, Small);
    for (int Count = 0; Count < 5; ++Count)
      Assigner.standing(Now, Flood, 2, 0);
    for (int Count = 0; Count < 4; ++Count)
      Assigner.noteAdmitted(Now, Flood);
    Now += milliseconds(20);
    Assigner.tick(Now);
  }
  CHECK(Assigner.standing(Now, Small, 2, 0).Band_ == 255);
  CHECK(Assigner.standing(Now, TeamId("late"), 2, 0).Band_ == 255);
  CHECK(Assigner.standing(Now, Flood, 2, 0).Band_ < 255 - 31);
  CHECK(Assigner.standing(Now, Flood, 3, 0).value() > Assigner.standing(Now, Small, 2, 0).value());
}

// Guards against entries of idle teams that are never removed.
TEST_CASE("priority_state_of_idle_teams_is_removed") {
  StandingSource Assigner;
  const TimePoint Now{std::chrono::seconds(10)};
  for (int Count = 0; Count < 5000; ++Count)
    Assigner.standing(Now, TeamId(std::to_string(Count)), 1, 0);
  CHECK(Assigner.teams() == 4096);
  Assigner.tick(Now + std::chrono::seconds(60));
  CHECK(Assigner.teams() == 0);
}
