// The whole path in separate processes: caller, entry node, executor node, backend server.
#include <catch2/catch.hpp>

#include "fleet.h"

using namespace bronzestand;
using namespace bronzestand::test;

namespace {

struct PathFixture {
  PathFixture()
      : Fleet_({{"cat-1", "catalogue"},
                {"book-1", "bookings", "colombo", "western", {"POST /deposits"}},
                {"pay-1", "payments", "negombo"}}) {
    Fleet_.putBasics({{"catalogue", "- {method: GET, path: /catalogue/*, class: browsing, "
                                    "idempotent: true}\n"
                                    "- {method: GET, path: /status, class: public}\n"},
                      {"bookings", "- {method: POST, path: /bookings, class: booking}\n"},
                      {"payments", "- {method: POST, path: /deposits, class: charging}\n"}});
    Fleet_.put("classes/browsing", "target: {served: 0.9, within: 2000}\n");
    Fleet_.put("classes/public", "{target: {served: 0.9, within: 2000}, open: true}\n");
    Fleet_.put("classes/booking", "{target: {served: 0.99, within: 3000}, may_be_shed: false, "
                                  "at_most_once: true}\n");
    Fleet_.put("classes/charging", "{target: {served: 0.999, within: 3000}, may_be_shed: false, "
                                   "at_most_once: true}\n");
    Fleet_.putTeam("hotels");
    REQUIRE(Fleet_.waitUntilInForce());
  }
  Fleet Fleet_;
};

} // namespace

// Guards against a path that does not hold from end to end.
TEST_CASE_METHOD(PathFixture, "path_keyed_request_is_served_by_another_host") {
  const HttpReply Reply = Fleet_.call("pay-1", "GET", "/catalogue/washers", "hotels");
  CHECK(Reply.status() == 200);
  CHECK(Reply.outcome() == "served");
  CHECK(Fleet_.backendStats("cat-1")["received"] == 1);
}

// Guards against a chain that loses the team or the idempotency key on the way.
TEST_CASE_METHOD(PathFixture, "path_booking_runs_its_deposit") {
  const HttpReply Reply =
      Fleet_.call("cat-1", "POST", "/bookings", "hotels", {{"Idempotency-Key", "b-1"}}, "washer 7");
  CHECK(Reply.status() == 200);
  CHECK(Reply.Response_.Body_.find("washer 7") != std::string::npos);
  CHECK(Fleet_.backendStats("pay-1")["runs_by_team"]["hotels"] == 1);
  CHECK(Fleet_.call("cat-1", "POST", "/bookings", "hotels").refusal() == "idempotency_key_missing");
}

// Guards against a key that reaches a backend server, and against routes that need no key.
TEST_CASE_METHOD(PathFixture, "path_key_stays_at_the_entry") {
  Fleet_.backendStats("cat-1", "secret=key-hotels");
  CHECK(Fleet_.call("pay-1", "GET", "/status?api_key=key-hotels&a=1", "hotels").status() == 200);
  CHECK(Fleet_.call("pay-1", "GET", "/status", "").status() == 200);
  CHECK(Fleet_.call("pay-1", "GET", "/catalogue/x", "hotels", {{"X-Api-Key", "key-hotels"}})
            .status() == 200);
  CHECK(Fleet_.call("pay-1", "GET", "/catalogue/x", "hotels", {{"X-Api-Key", "other"}}).refusal() ==
        "key_ambiguous");
  CHECK(Fleet_.call("pay-1", "GET", "/catalogue/x", "").refusal() == "key_missing");
  CHECK(Fleet_.backendStats("cat-1")["secrets_seen"] == 0);
  CHECK(Fleet_.backendStats("cat-1")["received"] == 3);
}

// Guards against a withdrawn key that goes on working.
TEST_CASE_METHOD(PathFixture, "path_withdrawn_key_is_refused") {
  CHECK(Fleet_.call("pay-1", "GET", "/catalogue/x", "hotels").status() == 200);
  Fleet_.putTeam("hotels", 1000, 1000, true);
  CHECK(waitFor(
      [&] {
        return Fleet_.call("pay-1", "GET", "/catalogue/x", "hotels").refusal() == "key_unknown";
      },
      std::chrono::seconds(7)));
}
