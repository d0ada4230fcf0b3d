// The balancer in real nodes: shares of slow, failing and dead hosts, and leaving hosts.
#include <csignal>

#include <catch2/catch.hpp>

#include "fleet.h"

using namespace bronzestand;
using namespace bronzestand::test;

namespace {

constexpr int Requests = 400;
constexpr std::size_t Batch = 8;

struct BalanceFixture {
  BalanceFixture()
      : Fleet_({{"entry", "bookings"},
                {"good-1", "catalogue"},
                {"good-2", "catalogue"},
                {"slow", "catalogue", "colombo", "western", {}, "32", "400000"},
                {"failing", "catalogue"},
                {"dead", "catalogue"},
                {"far", "catalogue", "galle", "southern"}}) {
    Fleet_.putBasics({{"catalogue", "- {method: GET, path: /catalogue/*, class: browsing, "
                                    "idempotent: true}\n"},
                      {"bookings", "- {method: GET, path: /bookings, class: browsing}\n"}});
    Fleet_.put("classes/browsing", "target: {served: 0.9, within: 4000}\n");
    Fleet_.putTeam("hotels");
    REQUIRE(Fleet_.waitUntilInForce());
  }

  /// Sends requests in batches and returns how many were served.
  int run(int Count) {
    int Served = 0;
    for (int Sent = 0; Sent < Count; Sent += static_cast<int>(Batch)) {
      node::HttpRequest Request;
      Request.Method_ = "GET";
      Request.Target_ = "/catalogue/washers";
      Request.Headers_ = {{"Authorization", "Bearer key-hotels"}};
      for (const HttpReply &Reply :
           httpCalls(Fleet_.callerAddress("entry"), std::vector<node::HttpRequest>(Batch, Request)))
        if (Reply.status() == 200 && Reply.outcome() == "served")
          ++Served;
        else
          ++Refusals_[Reply.refusal()];
    }
    return Served;
  }

  std::uint64_t received(const std::string &Host) {
    return Fleet_.backendStats(Host)["received"].get<std::uint64_t>();
  }

  Fleet Fleet_;
  std::map<std::string, int> Refusals_;
};

} // namespace

// Guards against a slow, a failing or a dead host that keeps its equal share or loses requests.
TEST_CASE_METHOD(BalanceFixture, "balance_bad_hosts_get_small_shares_and_nothing_is_lost") {
  Fleet_.backend("failing").signal(SIGKILL); // its node answers at once with a refusal
  Fleet_.node("dead").signal(SIGKILL);
  Fleet_.backend("dead").signal(SIGKILL);
  CHECK(run(Requests) == Requests);
  const auto Hosts = Fleet_.state("entry")["router"]["hosts"];
  const auto Sent = [&Hosts](const char *Host) {
    return Hosts.contains(Host) ? Hosts[Host].value("sent", 0) : 0;
  };
  WARN("sent: good " << Sent("good-1") << " and " << Sent("good-2") << ", slow " << Sent("slow")
                     << ", failing " << Sent("failing") << ", dead " << Sent("dead"));
  CHECK(Sent("slow") < Requests / 10);
  CHECK(Sent("failing") < Requests / 20);
  CHECK(Sent("dead") < Requests / 20);
  CHECK(Sent("good-1") > Requests / 4);
  CHECK(Sent("good-2") > Requests / 4);
  CHECK(received("far") == 0);
}

// Guards against a leaving host that gets new calls although the host list does not yet say so.
TEST_CASE_METHOD(BalanceFixture, "balance_leaving_answer_stops_new_calls") {
  Fleet_.backendStats("good-1", "service_us=300000");
  CHECK(run(40) == 40);
  // A running call keeps the node alive while it drains.
  CHECK(waitFor([&] { return run(8) == 8 && received("good-1") > 0; }, std::chrono::seconds(10)));
  const auto Before = Fleet_.state("entry")["router"]["hosts"]["good-1"];
  CHECK_FALSE(Before["leaving"].get<bool>());
  Fleet_.node("good-1").signal(SIGTERM);
  CHECK(run(200) == 200);
  const auto After = Fleet_.state("entry")["router"]["hosts"]["good-1"];
  CHECK(After["sent"].get<int>() - Before["sent"].get<int>() <= 5);
}

// Guards against a region that is not left when its hosts cannot serve.
TEST_CASE_METHOD(BalanceFixture, "balance_far_region_serves_when_near_hosts_leave") {
  Fleet_.putHosts({"good-1", "good-2", "slow", "failing", "dead"});
  REQUIRE(Fleet_.waitUntilInForce());
  CHECK(run(16) == 16);
  CHECK(received("far") == 16);
}

// Guards against bytes between regions that are not counted, and against calls beyond the budget.
TEST_CASE_METHOD(BalanceFixture, "balance_calls_between_regions_keep_to_the_budget") {
  Fleet_.putHosts({"good-1", "good-2", "slow", "failing", "dead"});
  REQUIRE(Fleet_.waitUntilInForce());
  CHECK(run(16) == 16);
  const auto Sent = Fleet_.state("entry")["link_budget"]["sent"];
  CHECK(Sent["call"]["messages"] == 16);
  CHECK(Sent["call"]["bytes"].get<int>() > 16 * 100);
  CHECK(waitFor(
      [&] {
        return Fleet_.state("entry")["link_budget"]["sent"]["control"]["bytes"].get<int>() > 0;
      },
      std::chrono::seconds(3)));
  CHECK(Fleet_.state("far")["link_budget"]["sent"]["answer"]["messages"] == 16);
  Fleet_.put("fleet", "{key_salt: test-salt, cross_region_mbit: 0.1, "
                      "regions: {western: [colombo], southern: [galle]}}");
  REQUIRE(Fleet_.waitUntilInForce());
  CHECK(run(160) < 160);
  CHECK(Refusals_["overloaded"] > 0);
  CHECK(Refusals_.size() == 1);
  CHECK(Fleet_.state("entry")["link_budget"]["sent"]["call"]["refused_messages"].get<int>() > 0);
}
