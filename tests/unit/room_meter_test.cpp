#include "bronzestand/room_meter.h"

#include <random>

#include <catch2/catch.hpp>

#include "bronzestand/route_health.h"

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

constexpr int PerSecond = 200;
const ServiceId Service("s");
const ClassId Class("c");

/// One node that calls a service with a constant rate and doesn't repeat its calls.
struct CallerFixture {
  RoomMeter Rooms_;
  std::mt19937_64 Random_{7};
  TimePoint Now_{1000s};

  /// Makes calls for a time, of which a share is rejected.
  void call(Duration Time, double Rejected, int Rate = PerSecond, bool AreFirst = true) {
    for (const TimePoint End = Now_ + Time; Now_ < End; Now_ += Duration(1s) / Rate) {
      if (AreFirst)
        Rooms_.first(Now_, Service, Class);
      Rooms_.arrived(Now_, Service, std::uniform_real_distribution<double>()(Random_) >= Rejected);
    }
  }

  /// Makes calls to servers that take a constant number per second, while retries raise what
  /// arrives.
  RoomMeter::Room callFull() {
    constexpr double TakenPerSecond = 0.4 * PerSecond;
    call(10s, 0.0);
    RoomMeter::Room Result;
    for (const int Arriving : {PerSecond, 3 * PerSecond, 6 * PerSecond, 6 * PerSecond}) {
      call(400ms, 1.0 - TakenPerSecond / Arriving, Arriving, false);
      Result = Rooms_.room(Now_, Service, 10.0 * PerSecond);
    }
    return Result;
  }
};

} // namespace

// Guards against a node that refuses requests for a service whose servers reject hardly any call.
TEST_CASE_METHOD(CallerFixture, "room_meter_few_rejections_room_is_full") {
  call(10s, 0.03);
  CHECK_FALSE(Rooms_.isDegraded(Service));
  CHECK(Rooms_.room(Now_, Service, 0.0).Share_ == 1.0);
  CHECK(Rooms_.told(Now_).empty());
}

// Guards against a room that does not follow the retries that are left, and against one that rises
// because fewer requests are admitted.
TEST_CASE_METHOD(CallerFixture, "room_meter_half_is_rejected_room_is_share_of_usual_calls") {
  call(10s, 0.0);
  call(1s, 0.5);
  REQUIRE(Rooms_.isDegraded(Service));
  CHECK(Rooms_.accepted(Now_, Service) == Approx(0.5).margin(0.1));
  CHECK(Rooms_.room(Now_, Service, 10.0 * PerSecond).Share_ == 1.0);
  CHECK(Rooms_.room(Now_, Service, 0.0).Share_ < 1.0);
  double Before = 1.0;
  for (int Step = 0; Step < 20; ++Step) {
    call(100ms, 0.5, PerSecond / 10);
    Before = Rooms_.room(Now_, Service, 0.4 * PerSecond).Share_;
  }
  // Each call needs a retry, and 0.4 retries per usual call are spread over two seconds.
  CHECK(Before == Approx(0.2).margin(0.08));
}

// Guards against a service that is limited for long after its servers accept everything again,
// while few requests are admitted.
TEST_CASE_METHOD(CallerFixture, "room_meter_rejections_end_few_calls_show_it") {
  call(10s, 0.0);
  call(5s, 0.55);
  REQUIRE(Rooms_.isDegraded(Service));
  call(1s, 0.0, 20);
  CHECK_FALSE(Rooms_.isDegraded(Service));
  CHECK(Rooms_.told(Now_) == std::vector<ServiceId>{Service});
  CHECK(Rooms_.told(Now_ + 3s).empty());
}

// Guards against retries that full servers reject again, and against a room that follows from the
// retries that are left instead of the calls that full servers take.
TEST_CASE_METHOD(CallerFixture,
                 "room_meter_more_arrive_and_no_more_are_accepted_servers_are_full") {
  const RoomMeter::Room Room = callFull();
  CHECK(Room.Full_);
  CHECK(Room.Share_ == Approx(0.4).margin(0.1));
  CHECK_FALSE(Rooms_.gainsByRetries(Now_, Service));
}

// Guards against requests that are refused for ever because demand fell while servers were full, so
// that no more calls show that they take all.
TEST_CASE_METHOD(CallerFixture, "room_meter_demand_falls_while_servers_are_full_limit_ends") {
  REQUIRE(callFull().Full_);
  const int Rate = GENERATE(PerSecond / 10, 0);
  RoomMeter::Room Room;
  for (const TimePoint End = Now_ + 10s; Now_ < End;) {
    if (Rate == 0)
      Now_ += 100ms;
    else
      call(100ms, 0.0, Rate);
    Room = Rooms_.room(Now_, Service, 10.0 * PerSecond);
  }
  CHECK_FALSE(Room.Full_);
  CHECK(Room.Share_ == 1.0);
}

// Guards against servers that count as full although they reject a share of what arrives.
TEST_CASE_METHOD(CallerFixture,
                 "room_meter_more_arrive_and_as_large_a_share_is_accepted_not_full") {
  Random_.seed(GENERATE(1U, 2U, 3U, 4U, 5U));
  call(10s, 0.0);
  for (int Step = 0; Step < 80; ++Step) {
    call(100ms, 0.55, Step % 10 < 5 ? PerSecond : 6 * PerSecond, false);
    CHECK_FALSE(Rooms_.room(Now_, Service, 10.0 * PerSecond).Full_);
  }
  CHECK(Rooms_.gainsByRetries(Now_, Service));
}

// Guards against a service that stays limited because nobody calls it.
TEST_CASE_METHOD(CallerFixture, "room_meter_no_more_calls_degradation_ends") {
  call(10s, 0.0);
  call(2s, 1.0);
  REQUIRE(Rooms_.isDegraded(Service));
  CHECK(Rooms_.room(Now_ + 6s, Service, 0.0).Share_ == 1.0);
  CHECK_FALSE(Rooms_.isDegraded(Service));
}

// Guards against requests that are refused although most of them would succeed: with one answer
// each, refusing them spares no work of others.
TEST_CASE("route_admission_class_needs_one_answer_is_admitted") {
  RouteAdmission Admission;
  RouteState State;
  State.Limit_ = Class;
  State.Room_ = 0.1;
  State.Open_ = 0.5;
  Admission.update(TimePoint(100s), {{Class, 1, State}});
  CHECK(Admission.share(Class) == 1.0);
  State.Answers_ = 8.0;
  Admission.update(TimePoint(100s), {{Class, 1, State}});
  CHECK(Admission.share(Class) == Approx(0.1));
}
