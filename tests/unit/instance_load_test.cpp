#include "bronzestand/instance_load.h"

#include <random>

#include <catch2/catch.hpp>

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

struct PaceFixture {
  PaceMeter Meter_;
  TimePoint Now_{100s};
  std::mt19937 Random_{3};

  /// Runs calls whose host changes its pace between 1 and 2 ten times a second.
  /// \param Follows whether their times do.
  void run(int Calls, bool Follows) {
    for (int Call = 0; Call < Calls; ++Call) {
      Now_ += 10ms;
      const double Pace = Now_.time_since_epoch() / 100ms * 7 % 5 < 2 ? 2.0 : 1.0;
      Meter_.answered(Now_, Pace);
      const double Work = std::exponential_distribution<double>(1.0)(Random_);
      Meter_.ran(Follows ? Work * Pace : Work);
    }
  }
};

} // namespace

// Guards against a wrong pace from a header that only looks like the expected one.
TEST_CASE("instance_load_unreadable_or_implausible_pace_is_not_taken") {
  for (const char *Text : {"", ",", "1,2", "1,2,", "1,2,3,", "1,2,3,100,5", "1,2,3,-100",
                           "1,2,3,+50", "1,2,3, 100", "1,2,3,1e2", "1,2,3,100.0", "a,2,3,100",
                           "1,2,3,0x64", "1,2,3,1000000", "99999999999,2,3,100"}) {
    INFO(Text);
    CHECK_FALSE(parseInstanceLoad(Text));
  }
  for (const char *Text : {"1,2,3", "1,2,3,0", "1,2,3,9", "1,2,3,1001", "1,2,3,999999"}) {
    INFO(Text);
    REQUIRE(parseInstanceLoad(Text));
    CHECK_FALSE(parseInstanceLoad(Text)->Pace_);
  }
  const auto Load = parseInstanceLoad("1,2,3,250");
  REQUIRE(Load);
  CHECK(Load->Running_ == 1);
  CHECK(Load->Waiting_ == 2);
  CHECK(Load->Slots_ == 3);
  CHECK(Load->Pace_ == 2.5);
}

// Guards against a single figure that moves all calls, and against one that holds after its time.
TEST_CASE_METHOD(PaceFixture, "instance_load_pace_is_smoothed_over_some_100_ms") {
  for (int Answer = 0; Answer < 100; ++Answer)
    Meter_.answered(Now_ += 10ms, 1.0);
  Meter_.answered(Now_ += 10ms, 3.0);
  CHECK(Meter_.factor() < 1.3);
  for (int Answer = 0; Answer < 30; ++Answer)
    Meter_.answered(Now_ += 10ms, 3.0);
  CHECK(Meter_.factor() > 2.8);
  Meter_.answered(Now_ += 500ms, std::nullopt);
  CHECK(Meter_.factor() < 1.1);
}

// Guards against calls that are moved by a pace which the times of the calls do not show.
TEST_CASE_METHOD(PaceFixture, "instance_load_pace_without_effect_on_times_is_ignored") {
  run(4000, false);
  while (Meter_.factor() == 1.0)
    run(1, false);
  Meter_.answered(Now_ += 1s, 2.0);
  CHECK(Meter_.factor() < 1.3);
  run(8000, true);
  Meter_.answered(Now_ += 1s, 2.0);
  CHECK(Meter_.factor() > 1.6);
}
