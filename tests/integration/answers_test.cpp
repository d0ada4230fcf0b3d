// Answers and outcomes when links between nodes delay, lose or cut them, in separate processes.
#include <future>
#include <iostream>
#include <thread>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "fleet.h"

using namespace bronzestand;
using namespace bronzestand::test;

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

struct AnswersFixture {
  AnswersFixture()
      : Fleet_({{"pay-1", "payments"},
                makeHost("book-1", "bookings"),
                makeHost("book-2", "bookings"),
                makeHost("hist-1", "history", {"GET /slow"}),
                makeHost("slow-1", "slow"),
                makeHost("bad-1", "bad")}) {
    Fleet_.putBasics({{"payments", "[]\n"},
                      {"bookings", "- {method: POST, path: /bookings, class: work}\n"
                                   "- {method: GET, path: /bookings, class: work, "
                                   "idempotent: true}\n"},
                      {"history", "- {method: GET, path: /history, class: work}\n"},
                      {"slow", "- {method: GET, path: /slow, class: work}\n"},
                      {"bad", "- {method: GET, path: /length, class: work}\n"
                              "- {method: GET, path: /chunked, class: work}\n"
                              "- {method: GET, path: /close, class: work}\n"}});
    Fleet_.put("classes/work", "target: {served: 0.9, within: 10000}\n");
    Fleet_.putTeam("hotels");
    REQUIRE(Fleet_.waitUntilInForce());
    REQUIRE(send("warm-up").outcome() == "served");
  }

  static HostOptions makeHost(const std::string &Id, const std::string &Service,
                              const std::vector<std::string> &Children = {}) {
    HostOptions Host{Id, Service, "negombo"};
    Host.Children_ = Children;
    Host.ServiceTimeUs_ = Service == "slow" ? "1500000" : "300000";
    Host.Slots_ = Service == "slow" ? "1" : "64";
    if (Service == "bad")
      Host.BackendProgram_ = "tests/standin_truncating";
    return Host;
  }

  HttpReply send(const std::string &Body, const std::string &Method = "POST") {
    return Fleet_.call("pay-1", Method, "/bookings", "hotels", {{"Idempotency-Key", Body}}, Body);
  }

  std::vector<std::future<HttpReply>> sendMany(const std::string &Method = "POST") {
    std::vector<std::future<HttpReply>> Pending;
    Pending.reserve(Calls);
    for (int Index = 0; Index < Calls; ++Index)
      Pending.push_back(std::async(std::launch::async, [this, Index, Method] {
        return send(fmt::format("body-{}", Index), Method);
      }));
    return Pending;
  }

  /// Waits until the requests have reached the backend servers.
  void waitUntilRunning() {
    REQUIRE(waitFor(
        [&] {
          return Fleet_.backendStats("book-1")["in_flight"].get<int>() +
                     Fleet_.backendStats("book-2")["in_flight"].get<int>() ==
                 Calls;
        },
        milliseconds(3000)));
  }

  void checkOwnAnswers(std::vector<std::future<HttpReply>> &Pending, bool Once) {
    for (int Index = 0; Index < Calls; ++Index) {
      const HttpReply Reply = Pending[static_cast<std::size_t>(Index)].get();
      const std::string Body = fmt::format("body-{}", Index);
      INFO(Reply.refusal());
      REQUIRE(Reply.outcome() == "served");
      CHECK(nlohmann::json::parse(Reply.Response_.Body_)["echo"] == Body);
      std::uint64_t Runs = 0;
      for (const char *Host : {"book-1", "book-2"})
        Runs += Fleet_.backendStats(Host)["runs_by_key"].value(Body, std::uint64_t(0));
      if (Once)
        CHECK(Runs == 1);
    }
  }

  static constexpr int Calls = 16;
  Fleet Fleet_;
};

double secondsSince(Clock::time_point Start) {
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

} // namespace

// Guards against answers that are mixed up when they arrive late and all at once.
TEST_CASE_METHOD(AnswersFixture, "answers_held_for_a_second_reach_their_callers") {
  auto Pending = sendMany();
  waitUntilRunning();
  Fleet_.setFault("*", "pay-1", "hold");
  std::this_thread::sleep_for(milliseconds(1000));
  Fleet_.clearFaults();
  checkOwnAnswers(Pending, true);
}

// Guards against answers that are lost with a link that goes silent for good while new ones work.
TEST_CASE_METHOD(AnswersFixture, "answers_lost_with_a_silent_link_are_sent_again") {
  const auto Start = Clock::now();
  auto Pending = sendMany();
  waitUntilRunning();
  Fleet_.freezeLinks("*", "pay-1");
  checkOwnAnswers(Pending, true);
  std::cout << fmt::format("silent towards the caller: resolved after {:.1f} s\n",
                           secondsSince(Start));
  CHECK(secondsSince(Start) < 6.0);
  CHECK(Fleet_.state("book-1")["remote_calls"]["answers_sent_again"].get<int>() +
            Fleet_.state("book-2")["remote_calls"]["answers_sent_again"].get<int>() >
        0);
}

// Guards against calls that are lost on their way and then reported as unknown or run twice.
TEST_CASE_METHOD(AnswersFixture, "answers_calls_that_never_arrived_run_once_elsewhere") {
  const auto Start = Clock::now();
  Fleet_.freezeLinks("pay-1", "*");
  auto Pending = sendMany();
  checkOwnAnswers(Pending, true);
  std::cout << fmt::format("silent towards the executor: resolved after {:.1f} s\n",
                           secondsSince(Start));
  CHECK(secondsSince(Start) < 6.0);
}

// Guards against a call that leaves the node after it was reported as not run.
TEST_CASE_METHOD(AnswersFixture, "answers_not_run_call_does_not_run_when_a_link_opens_later") {
  // Ends the links that are open, so that the call has to wait for a new one.
  Fleet_.setFault("pay-1", "*", "cut");
  std::this_thread::sleep_for(milliseconds(200));
  Fleet_.setFault("pay-1", "*", "hold");
  node::HttpRequest Request{"GET", "/slow", {{"X-Api-Key", "key-hotels"}}, {}};
  Request.Headers_.push_back({"Bronzestand-Deadline-Ms", "500"});
  const HttpReply Reply = httpCall(Fleet_.callerAddress("pay-1"), Request);
  CHECK(Reply.outcome() == "not-run");
  Fleet_.clearFaults();
  REQUIRE(waitFor(
      [&] {
        return Fleet_.call("pay-1", "GET", "/slow", "hotels", {{"Bronzestand-Deadline-Ms", "5000"}})
                   .outcome() == "served";
      },
      milliseconds(8000)));
  CHECK(Fleet_.backendStats("slow-1")["received"] == 1);
}

// Guards against a truncated answer of a backend server that is passed on as whole.
TEST_CASE_METHOD(AnswersFixture, "answers_truncated_by_the_backend_server_are_not_passed_on") {
  for (const char *Path : {"/length", "/chunked", "/close"}) {
    const HttpReply Reply = Fleet_.call("pay-1", "GET", Path, "hotels");
    INFO(Path);
    CHECK(Reply.outcome() == "unknown");
    CHECK(Reply.status() == 502);
  }
}

// Guards against child calls that go on after the caller has gone away.
TEST_CASE_METHOD(AnswersFixture, "answers_nobody_waits_for_are_cancelled_down_the_tree") {
  node::HttpRequest Request{"GET", "/history", {{"X-Api-Key", "key-hotels"}}, {}};
  // The second child call waits for the only slot of the slow backend server.
  httpCalls(Fleet_.callerAddress("pay-1"), {Request, Request}, milliseconds(800));
  CHECK(waitFor([&] { return Fleet_.state("slow-1")["executor"]["running"] == 0; },
                milliseconds(500)));
  CHECK(waitFor([&] { return Fleet_.backendStats("slow-1")["skipped"] == 1; }, milliseconds(3000)));
  CHECK(Fleet_.backendStats("slow-1")["received"] == 2);
}
