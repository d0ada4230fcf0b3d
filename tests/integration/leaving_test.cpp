// Hosts that leave, freeze or are cut off, in real processes behind the fault proxy.
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "fleet.h"

using namespace bronzestand;
using namespace bronzestand::test;
using namespace std::chrono_literals;

namespace {

constexpr int Calls = 30;

struct LeavingFixture {
  LeavingFixture()
      : Fleet_({{"cat-1", "catalogue", "colombo", "western", {}, "32", "50000"},
                {"cat-2", "catalogue", "colombo", "western", {}, "32", "50000"},
                {"pay-1", "payments", "negombo"}}) {
    Fleet_.putBasics({{"catalogue", "- {method: GET, path: /catalogue/*, class: browsing}\n"},
                      {"payments", "[]\n"}});
    Fleet_.put("classes/browsing", "target: {served: 0.9, within: 1500}\n");
    Fleet_.putTeam("hotels", 1e6, 1e6);
    REQUIRE(Fleet_.waitUntilInForce());
    REQUIRE(callsServed() == Calls);
    REQUIRE(received("cat-1") > 0);
  }

  /// Sends calls at once and returns how many were served.
  int callsServed() {
    const node::HttpRequest Request{"GET", "/catalogue/x", {{"X-Api-Key", "key-hotels"}}, {}};
    const auto Replies =
        httpCalls(Fleet_.callerAddress("pay-1"), std::vector<node::HttpRequest>(Calls, Request));
    return static_cast<int>(std::count_if(Replies.begin(), Replies.end(),
                                          [](const auto &Reply) { return Reply.status() == 200; }));
  }
  int received(const std::string &Host) { return Fleet_.backendStats(Host)["received"]; }
  std::string stateOf(const std::string &Host) {
    return Fleet_.state("pay-1")["membership"]["not_live"].value(Host, "live");
  }
  bool waitForState(const std::string &Host, const std::string &State,
                    std::chrono::milliseconds Limit) {
    return waitFor([&] { return stateOf(Host) == State; }, Limit);
  }
  /// Checks that all calls are served without the host.
  void checkGetsNoCalls(const std::string &Host) {
    const int Before = received(Host);
    CHECK(callsServed() == Calls);
    CHECK(received(Host) == Before);
  }
  bool waitForCalls(const std::string &Host, std::chrono::milliseconds Limit) {
    const int Before = received(Host);
    return waitFor([&] { return callsServed() == Calls && received(Host) > Before; }, Limit);
  }

  Fleet Fleet_;
};

} // namespace

// Guards against work for a host that the list marks as leaving.
TEST_CASE_METHOD(LeavingFixture, "leaving_host_on_the_list_gets_no_new_work") {
  Fleet_.putHosts({"cat-1"});
  std::this_thread::sleep_for(3s);
  checkGetsNoCalls("cat-1");
  CHECK(stateOf("cat-1") == "leaving");
}

// Guards against work for a host that shuts down before the list says so.
TEST_CASE_METHOD(LeavingFixture, "leaving_host_that_shuts_down_announces_it") {
  Fleet_.node("cat-1").signal(SIGTERM);
  CHECK(waitFor([&] { return stateOf("cat-1") != "live"; }, 1s));
  checkGetsNoCalls("cat-1");
  CHECK(Fleet_.node("cat-1").wait(5s) == 0);
  Fleet_.startNode("cat-1");
  CHECK(waitForCalls("cat-1", 10s));
}

// Guards against calls that are lost in a frozen process, and against a process that goes on as if
// no time had passed.
TEST_CASE_METHOD(LeavingFixture, "frozen_host_gets_no_calls_until_it_is_back") {
  Fleet_.node("cat-1").signal(SIGSTOP);
  CHECK(waitForState("cat-1", "silent", 5s));
  checkGetsNoCalls("cat-1");
  Fleet_.node("cat-1").signal(SIGCONT);
  CHECK(waitForCalls("cat-1", 12s));
  CHECK(Fleet_.state("cat-1")["membership"]["pauses"] == 1);
}

// Guards against a host that counts as live because its own messages still arrive.
TEST_CASE_METHOD(LeavingFixture, "host_held_in_one_direction_gets_no_calls") {
  Fleet_.setFault("pay-1", "cat-1", "hold");
  CHECK(waitForState("cat-1", "silent", 6s));
  checkGetsNoCalls("cat-1");
  Fleet_.clearFaults();
  CHECK(waitForCalls("cat-1", 12s));
}
