#include "bronzestand/cold_limit.h"

#include <algorithm>
#include <deque>
#include <random>

#include <catch2/catch.hpp>

#include "window_count.h"

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};
constexpr Duration Step = 1ms;
constexpr Duration HealthTime = 3ms; ///< of a health request that is answered
constexpr Duration ServeTime = 5ms;

/// A node and its server on virtual time. Calls always wait; each one uses one of a few
/// connections. The arrivals are those at a cold server.
struct ColdSimulation {
  double Rate_ = 13.0;
  double Over_ = 1.5;
  double Slack_ = 8.0;
  double Demand_ = 1150.0; ///< calls/s
  double LossShare_ = 0.0; ///< calls whose connection is reset
  double HealthLossShare_ = 0.0;
  Duration ColdTime_ = 3s;

  TimePoint Now_ = Start;
  ColdLimit Limit_{Start};
  std::mt19937 Random_{1};
  TimePoint ColdUntil_ = Start;
  TimePoint UpSince_ = Start;
  TimePoint HealthEnd_{};
  bool HealthRuns_ = false;
  bool HealthOld_ = false; ///< the server has ended since the health request was sent
  struct Running {
    TimePoint Sent_;
    TimePoint Opened_;
  };
  std::deque<Running> Running_;
  std::vector<TimePoint> Connections_ = std::vector<TimePoint>(16, Start); ///< when opened
  std::vector<TimePoint> Cold_;   ///< arrivals at the cold server, with health requests
  std::vector<TimePoint> Health_; ///< health requests
  int Sent_ = 0;
  double Waiting_ = 0.0; ///< calls
  Duration LongestWait_{};
  TimePoint LastSent_ = Start;

  void configure() { Limit_.configured(Now_, Rate_, Over_, Slack_); }
  bool chance(double Share) { return std::uniform_real_distribution<>(0.0, 1.0)(Random_) < Share; }
  bool isCold() const { return Now_ < ColdUntil_; }
  void arrive() {
    if (isCold())
      Cold_.push_back(Now_);
  }

  void restartNode() {
    Limit_ = ColdLimit(Now_);
    HealthRuns_ = false;
    Running_.clear();
    Connections_.assign(Connections_.size(), Now_);
    configure();
  }
  void restartServer() {
    if (!Running_.empty())
      Limit_.connectionLost(Now_);
    Running_.clear();
    HealthOld_ = true;
    Connections_.assign(Connections_.size(), Now_ + Step);
    UpSince_ = Now_;
    ColdUntil_ = Now_ + ColdTime_;
  }

  void runHealth() {
    if (HealthRuns_ && Now_ >= HealthEnd_) {
      HealthRuns_ = false;
      const bool Lost = HealthOld_ || chance(HealthLossShare_);
      const Duration Left = std::max(Duration::zero(), ColdUntil_ - Now_);
      Limit_.healthEnded(Now_, Lost ? std::nullopt : std::optional(Left));
    }
    if (!Limit_.healthDue(Now_))
      return;
    HealthRuns_ = true;
    HealthOld_ = false;
    HealthEnd_ = Now_ + HealthTime;
    Limit_.healthSent(Now_);
    Health_.push_back(Now_);
    arrive();
  }

  void step() {
    while (!Running_.empty() && Running_.front().Sent_ + ServeTime <= Now_) {
      const Running Ended = Running_.front();
      Running_.pop_front();
      const auto Connection = std::find(Connections_.begin(), Connections_.end(), Ended.Opened_);
      if (chance(LossShare_)) {
        Limit_.connectionLost(Now_);
        if (Connection != Connections_.end())
          *Connection = Now_;
      } else {
        Limit_.answered(Now_, Ended.Sent_, Ended.Opened_);
      }
    }
    runHealth();
    Waiting_ = std::min(Waiting_ + Demand_ * std::chrono::duration<double>(Step).count(), 50.0);
    while (Waiting_ >= 1.0 && Limit_.timeUntil(Now_, 1) == Duration::zero()) {
      Waiting_ -= 1.0;
      LongestWait_ = std::max(LongestWait_, Now_ - LastSent_);
      LastSent_ = Now_;
      Limit_.sent(Now_);
      Running_.push_back({Now_, Connections_[Random_() % Connections_.size()]});
      ++Sent_;
      arrive();
    }
    Now_ += Step;
  }
  void run(Duration Time) {
    for (const TimePoint End = Now_ + Time; Now_ < End;)
      step();
  }
  bool isBounded() const {
    return mostInWindow(Cold_, 1s) <= static_cast<int>(Rate_ * Over_ + Slack_);
  }
};

} // namespace

// Guards against limits and health requests on deployments that do not ask for them.
TEST_CASE("cold_limit_without_rate_does_nothing") {
  ColdLimit Limit(Start);
  for (int Number = 0; Number < 1000; ++Number) {
    CHECK(Limit.timeUntil(Start, 1) == Duration::zero());
    Limit.sent(Start);
  }
  Limit.connectionLost(Start);
  Limit.unknown(Start);
  Limit.configured(Start, 0.0, 1.5, 8.0);
  CHECK(Limit.state(Start) == Temperature::Off);
  CHECK(!Limit.healthDue(Start));
  CHECK(!Limit.rate(Start).has_value());
}

// Guards against more requests than the bound at any rate, and against room that is left unused.
TEST_CASE("cold_limit_cold_server_gets_its_rate_within_the_bound") {
  ColdSimulation Node;
  Node.Rate_ = GENERATE(0.4, 1.0, 5.0, 13.0, 60.0);
  Node.Over_ = GENERATE(1.0, 1.5, 3.0);
  Node.Slack_ = GENERATE(0.0, 1.0, 8.0);
  INFO(Node.Rate_ << " " << Node.Over_ << " " << Node.Slack_);
  Node.ColdUntil_ = Start + 60s;
  Node.configure();
  Node.run(60s);
  CHECK(mostInWindow(Node.Cold_, 1s) <=
        std::max(1, static_cast<int>(Node.Rate_ * Node.Over_ + Node.Slack_)));
  CHECK(Node.Sent_ >= static_cast<int>(0.9 * 60.0 * Node.Rate_));
}

// Guards against the allowances of two runs of the node, of the server, or of both that add up.
TEST_CASE("cold_limit_bound_holds_over_restarts_of_node_and_server") {
  const bool Node = GENERATE(true, false);
  const bool Server = GENERATE(true, false);
  const auto Interval = GENERATE(Duration(300ms), Duration(1100ms), Duration(3400ms));
  INFO(Node << " " << Server << " " << Interval.count());
  ColdSimulation Run;
  Run.configure();
  Run.restartServer();
  for (int Round = 0; Round < 10; ++Round) {
    Run.run(Interval);
    if (Server)
      Run.restartServer();
    if (Node)
      Run.restartNode();
  }
  CHECK(Run.isBounded());
}

// Guards against a warm server that turns cold without a restart and gets its demand on. The node
// learns of it from the list, or from the health requests of a busy server within a second.
TEST_CASE("cold_limit_server_that_turns_cold_is_bounded_once_that_is_known") {
  const bool Listed = GENERATE(true, false);
  ColdSimulation Run;
  Run.configure();
  Run.Limit_.listed(Run.Now_, "i-1", 1, Duration::zero());
  Run.run(2s);
  CHECK(Run.Limit_.state(Run.Now_) == Temperature::Warm);
  Run.ColdUntil_ = Run.Now_ + 5s;
  if (Listed)
    Run.Limit_.listed(Run.Now_, "i-1", 1, 5s);
  else
    Run.run(1100ms);
  Run.Cold_.clear();
  Run.Sent_ = 0;
  Run.run(3s);
  CHECK(Run.isBounded());
  CHECK(Run.Sent_ >= static_cast<int>(0.9 * 3 * Run.Rate_));
  Run.run(2500ms);
  CHECK(Run.Limit_.state(Run.Now_) == Temperature::Warm);
}

// Guards against a busy warm server that gets its demand although the list says again that it has
// turned cold, and against health requests for an entry that was known before.
TEST_CASE("cold_limit_new_time_in_the_list_starts_the_bound_at_once") {
  ColdSimulation Run;
  Run.configure();
  Run.Limit_.listed(Run.Now_, "i-1", 1, 3s);
  Run.run(2s);
  REQUIRE(Run.Limit_.state(Run.Now_) == Temperature::Warm);
  Run.Limit_.listed(Run.Now_, "i-1", 1, 3s);
  CHECK(Run.Limit_.state(Run.Now_) == Temperature::Warm);
  Run.ColdUntil_ = Run.Now_ + 5s;
  Run.Limit_.listed(Run.Now_, "i-1", 1, 5s);
  CHECK(Run.Limit_.rate(Run.Now_) == Run.Rate_);
  Run.run(3s);
  CHECK(Run.isBounded());
  CHECK(Run.Limit_.state(Run.Now_) == Temperature::Cold);
}

// Guards against a bound that is lifted, or calls that starve, because no health answer arrives.
TEST_CASE("cold_limit_lost_health_answers_leave_the_bound_in_force") {
  ColdSimulation Run;
  Run.HealthLossShare_ = 1.0;
  Run.ColdUntil_ = Start + 20s;
  Run.configure();
  Run.run(20s);
  CHECK(Run.isBounded());
  CHECK(Run.Sent_ >= static_cast<int>(0.9 * 20 * Run.Rate_));
  CHECK(Run.Health_.size() <= 63); // three a second, and three quick retries
}

// Guards against a warm server that is throttled because connections to it are reset.
TEST_CASE("cold_limit_random_losses_delay_a_warm_server_by_milliseconds") {
  ColdSimulation Run;
  Run.LossShare_ = GENERATE(0.02, 0.1);
  INFO(Run.LossShare_);
  Run.HealthLossShare_ = Run.LossShare_;
  Run.configure();
  Run.run(200ms);
  Run.LongestWait_ = {};
  Run.Sent_ = 0;
  Run.LastSent_ = Run.Now_;
  Run.run(10s);
  CHECK(Run.LongestWait_.count() <= 30000);
  CHECK(Run.Sent_ >= static_cast<int>(0.98 * 10 * Run.Demand_));
}

// Guards against health requests to a warm server with few requests, and against more than one a
// second to a busy one.
TEST_CASE("cold_limit_warm_server_gets_few_health_requests") {
  ColdSimulation Run;
  Run.Demand_ = GENERATE(2.0, 8.0, 1150.0);
  INFO(Run.Demand_);
  Run.configure();
  Run.run(1s);
  Run.Health_.clear();
  Run.run(10s);
  CHECK(Run.Health_.size() <= (Run.Demand_ > Run.Rate_ ? 11U : 0U));
}

// Guards against an answer that was received before a restart and lifts the bound after it.
TEST_CASE("cold_limit_answers_from_before_a_doubt_prove_nothing") {
  ColdLimit Limit(Start);
  Limit.configured(Start, 13.0, 1.5, 8.0);
  Limit.healthSent(Start);
  CHECK(Limit.healthEnded(Start + 1ms, Duration::zero()));
  Limit.healthSent(Start + 30ms);
  Limit.connectionLost(Start + 31ms);
  CHECK(Limit.state(Start + 31ms) == Temperature::Unknown);
  CHECK(!Limit.healthEnded(Start + 32ms, Duration::zero()));
  Limit.answered(Start + 32ms, Start + 20ms, Start);        // may have been received before
  Limit.answered(Start + 40ms, Start + 32ms, Start + 32ms); // a new connection
  CHECK(Limit.state(Start + 40ms) == Temperature::Unknown);
  Limit.answered(Start + 41ms, Start + 30ms, Start);
  CHECK(Limit.state(Start + 41ms) == Temperature::Warm);
  // After an evacuation, or as another run, the server may be cold on its old connections.
  Limit.unknown(Start + 50ms);
  Limit.answered(Start + 60ms, Start + 55ms, Start);
  CHECK(Limit.state(Start + 60ms) == Temperature::Unknown);
  CHECK(Limit.healthDue(Start + 60ms));
}

// Guards against schedules that no other test names.
TEST_CASE("cold_limit_bound_holds_in_random_schedules") {
  const auto Seed = GENERATE(range(1U, 61U));
  INFO("seed " << Seed);
  ColdSimulation Run;
  Run.Random_.seed(Seed);
  Run.LossShare_ = Seed % 3 == 0 ? 0.05 : 0.0;
  Run.HealthLossShare_ = Seed % 4 == 0 ? 0.5 : 0.0;
  Run.configure();
  Run.restartServer();
  for (int Event = 0; Event < 15; ++Event) {
    Run.run(std::chrono::milliseconds(20 + Run.Random_() % 1500));
    // Nothing tells the node that a server without running calls has ended.
    const bool Noticed = !Run.Running_.empty();
    switch (Run.Random_() % 4) {
    case 0:
      Run.restartNode();
      break;
    case 1:
      if (Noticed)
        Run.restartServer();
      break;
    case 2:
      Run.Limit_.unknown(Run.Now_);
      Run.ColdUntil_ = Run.Now_ + 2s;
      break;
    default:
      Run.Demand_ = Run.Demand_ > 500.0 ? 30.0 : 1150.0;
      break;
    }
  }
  CHECK(Run.isBounded());
}

// Guards against health requests that exceed the bound at a cold server that resets connections:
// each loss is a reason to ask, and each answer allows the next request.
TEST_CASE("cold_limit_cold_server_that_resets_connections_keeps_the_bound") {
  ColdSimulation Run;
  Run.LossShare_ = GENERATE(0.3, 1.0);
  Run.Over_ = GENERATE(1.0, 1.5);
  INFO(Run.LossShare_ << " " << Run.Over_);
  Run.ColdUntil_ = Start + 60s;
  Run.configure();
  // After each pause the bucket is full.
  for (int Round = 0; Round < 10; ++Round) {
    Run.Demand_ = 0.0;
    Run.run(1s);
    Run.Demand_ = Run.Rate_ * 3.0;
    Run.run(3s);
  }
  CHECK(Run.isBounded());
  CHECK(Run.Sent_ >= static_cast<int>(0.9 * 30 * Run.Rate_));
  // The end of the named time is noticed nevertheless.
  Run.ColdUntil_ = Run.Now_;
  Run.LossShare_ = 0.0;
  Run.run(21s);
  CHECK(Run.Limit_.state(Run.Now_) == Temperature::Warm);
}

// Guards against a bucket that is full when the bound comes into force again, while the requests
// of the time without a bound still count.
TEST_CASE("cold_limit_bucket_is_empty_when_the_configuration_names_a_rate_again") {
  ColdSimulation Run;
  Run.Demand_ = 2.0;
  Run.ColdUntil_ = Start + 20s;
  Run.configure();
  Run.run(3s);
  Run.Limit_.configured(Run.Now_, 0.0, Run.Over_, Run.Slack_);
  Run.Demand_ = 20.0;
  Run.run(2s);
  Run.Demand_ = 1150.0;
  Run.configure();
  Run.run(2s);
  CHECK(Run.isBounded());
}

// Guards against a rate so small that the time for one request exceeds what a time can hold, which
// lifts the bound.
TEST_CASE("cold_limit_tiny_rate_keeps_the_bound") {
  ColdLimit Limit(Start);
  Limit.configured(Start, GENERATE(1e-300, 1e-14, 1e-6), 1.5, 0.0);
  CHECK(Limit.timeUntil(Start, 1) > 1min);
  CHECK(Limit.timeUntil(Start, 1000000) > 1min);
  Limit.sent(Start);
  CHECK(Limit.timeUntil(Start + 1h, 1) > Duration::zero());
}

// Guards against a node that is restarted again and again, whose quick health requests of each run
// add up to more than the bound leaves for them.
TEST_CASE("cold_limit_restarted_node_without_health_answers_keeps_the_bound") {
  ColdSimulation Run;
  Run.Rate_ = GENERATE(5.0, 13.0);
  Run.Over_ = GENERATE(1.0, 1.5);
  INFO(Run.Rate_ << " " << Run.Over_);
  Run.HealthLossShare_ = 1.0;
  Run.ColdUntil_ = Start + 60s;
  Run.configure();
  for (int Round = 0; Round < 8; ++Round) {
    Run.run(300ms);
    Run.restartNode();
  }
  CHECK(Run.isBounded());
  // A single restart while the bucket is full.
  Run.Demand_ = 0.0;
  Run.run(3s);
  Run.Demand_ = 1150.0;
  Run.run(500ms);
  Run.restartNode();
  Run.run(2s);
  CHECK(Run.isBounded());
}
