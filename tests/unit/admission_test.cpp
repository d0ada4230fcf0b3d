#include "bronzestand/admission.h"

#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

using namespace bronzestand;
using std::chrono::milliseconds;

namespace {

struct AdmissionFixture {
  /// One interval of 100 ms: requests pass the level, the rest meets a dispatcher that completes
  /// at most Capacity_ calls in order of standing. Returns the completed calls.
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

// Guards against a level that oscillates: shedding far more than needed, or too little.
TEST_CASE_METHOD(AdmissionFixture, "level_surge_sheds_about_what_is_needed") {
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

// Guards against protected work shed at the entry while lesser work suffices.
TEST_CASE_METHOD(AdmissionFixture, "level_protected_work_is_shed_last") {
  Capacity_ = 160; // 133 of the 400 requests are protected
  for (int Count = 0; Count < 200; ++Count)
    interval(400, 3);
  CHECK(ProtectedRefused_ == 0);
}

// Guards against a level that outlasts the surge.
TEST_CASE_METHOD(AdmissionFixture, "level_after_surge_is_lifted_within_two_seconds") {
  for (int Count = 0; Count < 100; ++Count)
    interval(400, 3);
  for (int Count = 0; Count < 15; ++Count)
    interval(80, 3);
  unsigned Completed = 0;
  for (int Count = 0; Count < 5; ++Count)
    Completed += interval(80, 3);
  CHECK(Completed >= 0.95 * 5 * 80);
}

// Guards against one bad backend server that sheds the work of a whole service, and a lost level.
TEST_CASE("levels_combine_by_median_and_expire") {
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

// Guards against a refusal for a service the route does not use, and a route that never learns of
// a lower level because nothing passes.
TEST_CASE("entry_refuses_below_level_of_learned_services_only") {
  LevelTable Table;
  const TimePoint Now{std::chrono::seconds(10)};
  Table.note(Now, HostId("a"), "uses", {{Deep, 600}});
  Table.note(Now, HostId("a"), "other", {});
  CHECK_FALSE(Table.overloaded(Now, "uses", {1, 255})); // the one that passes in 500 ms
  CHECK(Table.overloaded(Now + milliseconds(1), "uses", {1, 255}));
  CHECK_FALSE(Table.overloaded(Now + milliseconds(1), "uses", {3, 0}));
  CHECK_FALSE(Table.overloaded(Now + milliseconds(1), "other", {1, 255}));
}

// Guards against a team inside its share that stands below one beyond it, and against demotion
// while all work is admitted.
TEST_CASE("standing_falls_with_admitted_work_beyond_the_share") {
  StandingSource Source;
  TimePoint Now{std::chrono::seconds(10)};
  const TeamId Small("small");
  const TeamId Flood("flood");
  const auto Run = [&](unsigned FloodAdmitted) {
    for (int Step = 0; Step < 200; ++Step) {
      Source.standing(Now, Small, 2, 0);
      Source.noteAdmitted(Now, Small);
      for (unsigned Count = 0; Count < 5; ++Count) {
        Source.standing(Now, Flood, 2, 0);
        if (Count < FloodAdmitted)
          Source.noteAdmitted(Now, Flood);
      }
      Now += milliseconds(20);
      Source.tick(Now);
    }
  };
  Run(5);
  CHECK(Source.standing(Now, Flood, 2, 0).Band_ == 255);
  // Two teams admit 1 + 4 of a demand of 1 + 5; a third one joins with the same demand as flood.
  for (int Step = 0; Step < 400; ++Step) {
    for (int Count = 0; Count < 5; ++Count)
      Source.standing(Now, TeamId("late"), 2, 0);
    Source.noteAdmitted(Now, TeamId("late"));
    Source.standing(Now, Small, 2, 0);
    Source.noteAdmitted(Now, Small);
    for (int Count = 0; Count < 5; ++Count)
      Source.standing(Now, Flood, 2, 0);
    for (int Count = 0; Count < 4; ++Count)
      Source.noteAdmitted(Now, Flood);
    Now += milliseconds(20);
    Source.tick(Now);
  }
  CHECK(Source.standing(Now, Small, 2, 0).Band_ == 255);
  CHECK(Source.standing(Now, TeamId("late"), 2, 0).Band_ == 255);
  CHECK(Source.standing(Now, Flood, 2, 0).Band_ < 255 - 31);
  CHECK(Source.standing(Now, Flood, 3, 0).value() > Source.standing(Now, Small, 2, 0).value());
}

// Guards against state that grows with teams that are gone.
TEST_CASE("standing_forgets_idle_teams") {
  StandingSource Source;
  const TimePoint Now{std::chrono::seconds(10)};
  for (int Count = 0; Count < 5000; ++Count)
    Source.standing(Now, TeamId(std::to_string(Count)), 1, 0);
  CHECK(Source.teams() == 4096);
  Source.tick(Now + std::chrono::seconds(60));
  CHECK(Source.teams() == 0);
}
