#include "mesh/server_temperature.h"

#include <vector>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "node/clock.h"
#include "stopped_clock.h"
#include "window_count.h"

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

/// The temperature of a server that has just said that it is cold. Nothing is sent.
struct TemperatureFixture {
  static constexpr double Rate = 13.0;
  static constexpr double Over = 1.5;
  static constexpr double Slack = 8.0;

  StoppedClock Clock_;
  boost::asio::io_context Io_;
  node::Settings Config_;
  node::HeaderNames Names_;
  node::EventLog Log_{"test"};
  std::unique_ptr<node::FleetState> Fleet_;
  std::unique_ptr<node::ServerTemperature> Temperature_;
  std::vector<TimePoint> Written_;

  TemperatureFixture() {
    Config_.Host_ = HostId("10.0.0.1");
    Config_.Service_ = ServiceId("s");
    Config_.Mesh_.emplace();
    Config_.Mesh_->ColdOver_ = Over;
    Config_.Mesh_->ColdSlack_ = Slack;
    Fleet_ = std::make_unique<node::FleetState>(Config_, Log_);
    Temperature_ =
        std::make_unique<node::ServerTemperature>(Io_, Config_, Names_, *Fleet_, Log_, [] {});
    FleetConfig Values;
    Values.Version_ = 1;
    Values.Services_[Config_.Service_].ColdRate_ = Rate;
    REQUIRE(Fleet_->apply(Values).ok());
    limit().healthSent(node::now());
    limit().healthEnded(node::now(), 60s);
    StoppedClock::advance(2s); // the bucket is full
  }
  ColdLimit &limit() { return Temperature_->limit(); }
  /// Takes the tokens that are there for calls, as BackendGate does.
  std::vector<node::HttpClient::MayWrite> takeCalls() {
    std::vector<node::HttpClient::MayWrite> Result;
    while (!Temperature_->mustWait(node::now())) {
      limit().sent(node::now());
      Result.push_back(Temperature_->writeCheck([] {}));
    }
    return Result;
  }
  /// Writes the calls whose connection is there now.
  void write(const std::vector<node::HttpClient::MayWrite> &Calls) {
    for (const node::HttpClient::MayWrite &Check : Calls)
      if (!Check || Check())
        Written_.push_back(node::now());
  }
};

} // namespace

// Guards against calls of a whole second that a cold server gets at once, because it accepted no
// connection until then.
TEST_CASE_METHOD(TemperatureFixture, "server_temperature_late_connections_keep_the_bound") {
  std::vector<node::HttpClient::MayWrite> Connecting;
  for (int Millisecond = 0; Millisecond < 1000; ++Millisecond, StoppedClock::advance(1ms))
    for (const auto &Check : takeCalls())
      Connecting.push_back(Check);
  write(Connecting);
  for (int Millisecond = 0; Millisecond < 1000; ++Millisecond, StoppedClock::advance(1ms))
    write(takeCalls());
  CHECK(mostInWindow(Written_, 1s) <= static_cast<int>(Rate * Over + Slack));
}

// Guards against calls that are withheld although the server accepts connections within the time
// that the bound allows for the way.
TEST_CASE_METHOD(TemperatureFixture, "server_temperature_short_connection_time_withholds_nothing") {
  std::vector<node::HttpClient::MayWrite> Connecting;
  std::size_t Taken = 0;
  for (int Millisecond = 0; Millisecond < 2000; ++Millisecond, StoppedClock::advance(1ms)) {
    if (Millisecond % 20 == 0)
      write(std::exchange(Connecting, {}));
    for (const auto &Check : takeCalls()) {
      Connecting.push_back(Check);
      ++Taken;
    }
  }
  write(Connecting);
  CHECK(Written_.size() == Taken);
  CHECK(mostInWindow(Written_, 1s) <= static_cast<int>(Rate * Over + Slack));
}
