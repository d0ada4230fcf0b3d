#include "bronzestand/balancer.h"

#include <map>

#include <catch2/catch.hpp>

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

const ServiceId Stock("stock");
const Standing Ordinary{100, 0};

CallReport served(Duration Latency, unsigned HttpStatus = 200) {
  return {Latency, Outcome::Served, std::nullopt, HttpStatus, std::nullopt};
}

CallReport refused(Duration Latency, Refusal Reason) {
  return {Latency, refusalInfo(Reason).Outcome_, Reason, 0, std::nullopt};
}

struct BalancerFixture {
  explicit BalancerFixture(std::size_t Count = 6) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      List_.push_back({HostId("h" + std::to_string(Index)), Locality::SameDataCentre, 1, true});
    publish();
  }
  void publish() { Balancer_.setHosts(Now_, Stock, List_); }
  const HostId *pick(const std::vector<HostId> &Excluded = {}, Standing Level = Ordinary) {
    return Balancer_.pick(Now_, Stock, Excluded, Level);
  }
  /// Sends sequential calls, 5 ms apart. Reports_ sets what a host answers; the default is success
  /// after 10 ms.
  void run(int Calls) {
    Picked_.clear();
    for (int Call = 0; Call < Calls; ++Call) {
      Now_ += 5ms;
      const HostId *Host = pick();
      REQUIRE(Host != nullptr);
      ++Picked_[Host->str()];
      const HostId Chosen = *Host;
      Balancer_.started(Now_, Chosen);
      const auto Found = Reports_.find(Chosen.str());
      Balancer_.finished(Now_, Chosen, Found == Reports_.end() ? served(10ms) : Found->second);
    }
  }
  TimePoint Now_{1s};
  Balancer Balancer_{7, 4};
  std::vector<BalancerCandidate> List_;
  std::map<std::string, CallReport> Reports_;
  std::map<std::string, int> Picked_;
};

} // namespace

// Guards against a host that attracts traffic because its errors are fast.
TEST_CASE_METHOD(BalancerFixture, "pick_host_with_fast_errors_is_avoided_but_probed") {
  Reports_["h0"] = served(100us, 500);
  Reports_["h1"] = refused(100us, Refusal::ConnectionLost);
  run(12'000); // one minute
  for (const char *Host : {"h0", "h1"}) {
    CHECK(Picked_[Host] >= 3);
    CHECK(Picked_[Host] < 120);
  }
  Reports_.clear();
  run(6'000);
  run(6'000);
  CHECK(Picked_["h0"] > 500); // recovered hosts get a fair share (1,000) or close to it
}

// Guards against a host that attracts traffic because its refusals are fast.
TEST_CASE_METHOD(BalancerFixture, "pick_host_that_refuses_gets_less") {
  Reports_["h0"] = refused(100us, Refusal::Overloaded);
  run(6'000);
  CHECK(Picked_["h0"] < 300);
}

// Guards against a host that seems fast because its first answers were fast errors or refusals.
// Each seed gives another order in which the hosts are first used.
TEST_CASE("pick_host_that_starts_with_fast_errors_gets_less") {
  const auto Seed = GENERATE(range(1, 21));
  const CallReport Report = GENERATE(refused(100us, Refusal::Overloaded), served(100us, 500));
  BalancerFixture Fixture;
  Fixture.Balancer_ = Balancer(static_cast<std::uint64_t>(Seed), 4);
  Fixture.publish();
  Fixture.Reports_["h0"] = Report;
  Fixture.run(6'000);
  INFO("seed " << Seed);
  CHECK(Fixture.Picked_["h0"] < 300);
}

// Guards against a slow host that is never tried again.
TEST_CASE_METHOD(BalancerFixture, "pick_slow_host_is_avoided_but_probed") {
  Reports_["h0"] = served(100ms);
  run(12'000);
  CHECK(Picked_["h0"] >= 3);
  CHECK(Picked_["h0"] < 200);
}

// Guards against calls to a host whose admission level is above the standing of the request.
TEST_CASE_METHOD(BalancerFixture, "pick_below_admission_level_returns_no_host_until_expiry") {
  for (const BalancerCandidate &Candidate : List_)
    Balancer_.finished(Now_, Candidate.Host_,
                       {10ms, Outcome::Served, {}, 200, Standing{200, 0}.value()});
  CHECK(pick() == nullptr);
  CHECK(pick({}, Standing{200, 0}) != nullptr);
  Now_ += 2s;
  CHECK(pick() != nullptr);
}

// Guards against full load on a host that has just started or become available again, for each of
// the three conditions that cause a slow start.
TEST_CASE_METHOD(BalancerFixture, "pick_host_in_slow_start_ramps_up_within_ten_seconds") {
  run(100);
  SECTION("new host") { List_.push_back({HostId("cold"), Locality::SameDataCentre, 1, true}); }
  SECTION("new incarnation") { List_[0] = {HostId("h0"), Locality::SameDataCentre, 2, true}; }
  SECTION("available again") {
    List_[0].Available_ = false;
    publish();
    List_[0].Available_ = true;
  }
  const std::string SlowStarting = List_.size() > 6 ? "cold" : "h0";
  publish();
  run(200); // first second
  CHECK(Picked_[SlowStarting] < 15);
  run(1'800);
  run(1'200);
  CHECK(Picked_[SlowStarting] > 120);
}

// Guards against calls that leave the data centre needlessly, and against calls that stay in it
// although no host there can serve.
TEST_CASE_METHOD(BalancerFixture, "pick_nearer_hosts_are_used_until_they_cannot_serve") {
  for (std::size_t Index = 0; Index < List_.size(); ++Index)
    List_[Index].Locality_ = static_cast<Locality>(Index / 2);
  publish();
  run(1'000);
  CHECK(Picked_["h0"] + Picked_["h1"] == 1'000);
  CHECK(pick({HostId("h0"), HostId("h1")})->str() < "h4");
  Reports_["h0"] = Reports_["h1"] = refused(1ms, Refusal::TimedOut);
  run(1'000);
  CHECK(Picked_["h2"] + Picked_["h3"] > 950);
  CHECK(Picked_["h4"] + Picked_["h5"] == 0);
}

// Guards against a retry on the same host, an unbounded number of calls in flight and a crash on
// an unknown host or service.
TEST_CASE_METHOD(BalancerFixture, "pick_host_excluded_or_at_call_limit_is_not_used") {
  std::vector<HostId> Excluded;
  for (const BalancerCandidate &Candidate : List_)
    Excluded.push_back(Candidate.Host_);
  CHECK(pick(Excluded) == nullptr);
  for (int Call = 0; Call < 24; ++Call) {
    const HostId *Host = pick();
    REQUIRE(Host != nullptr);
    Balancer_.started(Now_, *Host);
  }
  CHECK(pick() == nullptr);
  Balancer_.finished(Now_, HostId("h3"), CallReport{});
  CHECK(Balancer_.inFlight(HostId("h3")) == 3);
  REQUIRE(pick() != nullptr);
  CHECK(*pick() == HostId("h3"));
  Balancer_.finished(Now_, HostId("absent"), CallReport{});
  CHECK(Balancer_.pick(Now_, ServiceId("absent"), {}, Ordinary) == nullptr);
}
