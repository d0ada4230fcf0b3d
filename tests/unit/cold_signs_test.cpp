#include "bronzestand/cold_limit.h"

#include <functional>
#include <map>
#include <random>

#include <catch2/catch.hpp>

#include "window_count.h"

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};
constexpr Duration Step = 1ms;
constexpr Duration HealthTime = 5ms;
constexpr double ColdRate = 13.0;
constexpr int MostPerSecond = 27; ///< 13 * 1.5 + 8
constexpr std::size_t Slots = 40;
constexpr Duration ServeTime = 30ms; ///< mean, at the usual speed

/// A node and its server on virtual time. Calls wait for a slot and for the limit.
struct SignsFixture {
  using Noise = std::function<double(std::mt19937 &)>;

  ColdLimit Limit_{Start};
  std::mt19937 Random_{5};
  Noise Noise_ = [](std::mt19937 &) { return 1.0; }; ///< of the time of a call
  double Demand_ = 600.0;                            ///< calls/s
  double Slower_ = 1.0;                              ///< factor on the time of a call
  double LoadShare_ = 0.0;                           ///< exponent of the load in that
  bool TellsPace_ = false;
  TimePoint Now_ = Start;
  TimePoint ColdUntil_ = Start;
  std::optional<TimePoint> HealthEnd_;
  struct Running {
    TimePoint Sent_;
    CallId Id_ = 0;
  };
  std::multimap<TimePoint, Running> Running_; ///< by end
  CallId LastId_ = 0;
  double Waiting_ = 0.0;
  std::vector<TimePoint> Sent_;
  std::vector<TimePoint> Health_;

  SignsFixture() { Limit_.configured(Start, ColdRate, 1.5, 8.0); }

  double factor() const { return Slower_ * (Now_ < ColdUntil_ ? 2.0 : 1.0); }
  void runHealth() {
    if (HealthEnd_ && Now_ >= *HealthEnd_) {
      HealthEnd_.reset();
      Limit_.healthEnded(Now_, std::max(Duration::zero(), ColdUntil_ - Now_));
    }
    if (!Limit_.healthDue(Now_))
      return;
    Limit_.healthSent(Now_);
    Health_.push_back(Now_);
    HealthEnd_ = Now_ + std::chrono::duration_cast<Duration>(HealthTime * factor());
  }
  void step() {
    while (!Running_.empty() && Running_.begin()->first <= Now_) {
      const Running Ended = Running_.begin()->second;
      Running_.erase(Running_.begin());
      Limit_.answered(Now_, Ended.Sent_, Start);
      Limit_.callEnded(Now_, Ended.Id_, true, TellsPace_ ? std::optional(factor()) : std::nullopt);
    }
    runHealth();
    Waiting_ = std::min(Waiting_ + Demand_ * std::chrono::duration<double>(Step).count(), 100.0);
    while (Waiting_ >= 1.0 && Running_.size() < Slots &&
           Limit_.timeUntil(Now_, 1) == Duration::zero()) {
      Waiting_ -= 1.0;
      Limit_.sent(Now_);
      Sent_.push_back(Now_);
      const std::size_t Beside = Running_.size() + 1;
      const double Load = std::pow(static_cast<double>(Beside) / Slots, LoadShare_);
      const auto Time = ServeTime * (Noise_(Random_) * factor() * Load);
      Running_.insert({Now_ + std::chrono::duration_cast<Duration>(Time), {Now_, ++LastId_}});
      Limit_.callStarted(Now_, LastId_, ClassId("c"), static_cast<std::uint32_t>(Beside));
    }
    Now_ += Step;
  }
  void run(Duration Time) {
    for (const TimePoint End = Now_ + Time; Now_ < End;)
      step();
  }
  /// Runs until the health request of a busy server has been answered, so that the next one of them
  /// is a second away.
  void runToHealth() {
    run(5s);
    const std::size_t Before = Health_.size();
    while (Health_.size() == Before || HealthEnd_)
      step();
    Sent_.clear();
    Health_.clear();
  }
};

const SignsFixture::Noise Exponential = [](std::mt19937 &Random) {
  return std::exponential_distribution<double>(1.0)(Random);
};
const SignsFixture::Noise FactorThree = [](std::mt19937 &Random) {
  return std::uniform_real_distribution<double>(0.5, 1.5)(Random);
};

} // namespace

// Guards against a busy server that turns cold without a restart and gets its demand until the
// health request of the next second.
TEST_CASE_METHOD(SignsFixture, "cold_signs_server_that_turns_cold_is_bounded_from_first_sign") {
  struct Kind {
    Noise Noise_;
    bool TellsPace_;
    Duration Latest_; ///< from the moment that it turns cold to the sign
  };
  const Noise Constant = Noise_;
  const auto Index = GENERATE(0U, 1U, 2U, 3U);
  const std::array<Kind, 4> Kinds{Kind{Constant, true, 20ms}, Kind{Exponential, true, 20ms},
                                  Kind{Constant, false, 2 * ServeTime + 10ms},
                                  Kind{Exponential, false, 250ms}};
  Demand_ = GENERATE(600.0, 1150.0);
  INFO(Index << " " << Demand_);
  Noise_ = Kinds[Index].Noise_;
  TellsPace_ = Kinds[Index].TellsPace_;
  runToHealth();
  REQUIRE(Limit_.signs() == 0);
  ColdUntil_ = Now_ + 5s;
  const TimePoint TurnsCold = Now_;
  while (Limit_.signs() == 0 && Now_ < ColdUntil_)
    step();
  CHECK(Now_ - TurnsCold <= Kinds[Index].Latest_);
  run(50ms);
  CHECK(Limit_.state(Now_) == Temperature::Cold);
  Sent_.erase(Sent_.begin(), std::find_if(Sent_.begin(), Sent_.end(), [&](TimePoint At) {
                return At >= TurnsCold + Kinds[Index].Latest_;
              }));
  run(4s);
  CHECK(mostInWindow(Sent_, 1s) <= MostPerSecond);
  CHECK(Sent_.size() >= static_cast<std::size_t>(0.9 * 4 * ColdRate));
  run(3s);
  CHECK(Limit_.state(Now_) == Temperature::Warm);
}

// Guards against a warm server that loses throughput, or gets many health requests, because its
// speed falls by half and stays so.
TEST_CASE_METHOD(SignsFixture, "cold_signs_lasting_slowness_of_a_warm_server_costs_nothing") {
  if (GENERATE(false, true))
    Noise_ = Exponential;
  Demand_ = GENERATE(600.0, 1150.0);
  INFO(Demand_);
  runToHealth();
  Slower_ = 2.0;
  run(20s);
  const double Capacity = Slots / std::chrono::duration<double>(2 * ServeTime).count();
  CHECK(static_cast<double>(Sent_.size()) >= 0.98 * 20 * std::min(Demand_, Capacity));
  CHECK(Health_.size() <= 21U + 4U); // one a second, and one in 5 s
}

// Guards against the same at a server whose times vary at random, or with its load.
TEST_CASE_METHOD(SignsFixture, "cold_signs_times_that_vary_cost_a_warm_server_nothing") {
  const bool ByLoad = GENERATE(false, true);
  INFO(ByLoad);
  if (ByLoad)
    LoadShare_ = 1.0;
  else
    Noise_ = FactorThree;
  runToHealth();
  double Offered = 0.0;
  for (int Second = 0; Second < 20; ++Second) {
    Demand_ = ByLoad && Second % 2 == 0 ? 300.0 : 900.0;
    Offered += Demand_;
    run(1s);
  }
  CHECK(static_cast<double>(Sent_.size()) >= 0.98 * Offered);
  CHECK(Limit_.signs() <= (ByLoad ? 1U : 0U));
  CHECK(Health_.size() <= 21U + Limit_.signs());
}

// Guards against health requests because of signs at a server that gets what a cold one may get.
TEST_CASE_METHOD(SignsFixture, "cold_signs_at_a_quiet_server_are_ignored") {
  Demand_ = 10.0;
  TellsPace_ = true;
  run(10s);
  Health_.clear();
  Slower_ = 3.0;
  run(10s);
  CHECK(Limit_.signs() == 0);
  CHECK(Health_.empty());
}
