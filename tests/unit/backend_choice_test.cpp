#include "bronzestand/backend_choice.h"

#include <catch2/catch.hpp>

using namespace bronzestand;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct ChoiceFixture {
  BackendDirectory Directory_;
  BackendChoice Choice_{DataCentreId("galle"),
                        {{"galle", "southern"}, {"matara", "southern"}, {"colombo", "western"}}};
  TimePoint Now_{seconds(100)};
  ServiceId Service_{"orders"};

  ChoiceFixture() {
    add("i-near", "10.0.0.1", "galle");
    add("i-region", "10.0.0.2", "matara");
    add("i-far", "10.0.0.3", "colombo");
  }

  void add(const std::string &Id, const std::string &Host, const std::string &DataCentre) {
    BackendServer Server;
    Server.Id_ = Id;
    Server.Host_ = HostId(Host);
    Server.Port_ = 80;
    Server.Service_ = Service_;
    Server.DataCentre_ = DataCentreId(DataCentre);
    Server.Slots_ = 10;
    Server.StartedMs_ = 1;
    Directory_.put(Server);
    Choice_.update(Now_, Directory_);
    Choice_.report(Now_, Id, {0, 0, 10, milliseconds(100), false});
  }

  std::string choose(const std::set<std::string> &Excluded = {}, double Bytes = 1000.0) {
    const BackendServer *Server =
        Choice_.choose(Now_, Directory_, Service_, {Excluded, {}, {}}, seconds(1), Bytes);
    return Server == nullptr ? "" : Server->Id_;
  }
  void finishAttempts(const std::string &Id, AttemptResult Result, int Times) {
    for (int Number = 0; Number < Times; ++Number) {
      Choice_.started(Id);
      Choice_.finished(Now_, Id, Result);
    }
  }
};

} // namespace

// Guards against billed traffic between data centres that makes no answer faster.
TEST_CASE_METHOD(ChoiceFixture, "choice_all_servers_idle_nearest_is_used") {
  CHECK(choose() == "i-near");
  CHECK(choose({"i-near"}) == "i-region");
  CHECK(choose({"i-near", "i-region"}) == "i-far");
  CHECK(choose({"i-near", "i-region", "i-far"}).empty());
}

// Guards against calls that queue at a full server while another one in the region is idle.
TEST_CASE_METHOD(ChoiceFixture, "choice_near_server_full_server_in_region_is_used") {
  Choice_.report(Now_, "i-near", {10, 20, 10, milliseconds(300), false});
  CHECK(choose() == "i-region");
}

// Guards against calls to a server that takes no more for now while others have room.
TEST_CASE_METHOD(ChoiceFixture, "choice_server_at_its_rate_limit_is_avoided_until_it_has_room") {
  Choice_.report(Now_, "i-near", {0, 0, 10, milliseconds(100), false, 0.0, 2.0, milliseconds(400)});
  CHECK(choose() == "i-region");
  CHECK(Choice_.rateOf(Now_, "i-near") == 2.0);
  Now_ += milliseconds(450);
  CHECK(choose() == "i-near");
  Choice_.started("i-near");
  CHECK(choose() == "i-region");
  CHECK(Choice_.expectedWait(Now_, Directory_, Service_, {}) == Duration::zero());
  CHECK(Choice_.rateOf(Now_ + seconds(6), "i-near") == 0.0);
}

// Guards against large answers that cross regions although the wait within the region is short.
TEST_CASE_METHOD(ChoiceFixture, "choice_region_busy_large_answers_stay_in_region") {
  Choice_.report(Now_, "i-near", {10, 10, 10, milliseconds(200), false});
  Choice_.report(Now_, "i-region", {10, 10, 10, milliseconds(200), false});
  CHECK(choose({}, 6000.0) != "i-far");
  Choice_.report(Now_, "i-near", {10, 60, 10, milliseconds(300), false});
  Choice_.report(Now_, "i-region", {10, 60, 10, milliseconds(300), false});
  CHECK(choose({}, 500.0) == "i-far");
}

// Guards against a server that seems idle because it fails fast.
TEST_CASE_METHOD(ChoiceFixture, "choice_server_that_fails_is_avoided_and_tried_again") {
  finishAttempts("i-near", AttemptResult::Failed, 20);
  CHECK(choose() == "i-region");
  Now_ += seconds(20);
  CHECK(choose() == "i-near");
}

// Guards against calls to an unreachable node, and against a service without any usable server
// because all of its nodes were briefly unreachable.
TEST_CASE_METHOD(ChoiceFixture, "choice_unreachable_servers_are_used_only_if_all_are") {
  Choice_.unreachable(Now_, "i-near");
  CHECK(choose() == "i-region");
  Choice_.unreachable(Now_ + milliseconds(1), "i-region");
  Choice_.unreachable(Now_ + milliseconds(2), "i-far");
  CHECK(choose() == "i-near");
  Choice_.reachable("i-far");
  CHECK(choose() == "i-far");
}

// Guards against new calls to a leaving server, and to one whose address another server now uses.
TEST_CASE_METHOD(ChoiceFixture, "choice_leaving_or_replaced_server_is_not_used") {
  BackendServer Leaving = *Directory_.find("i-near");
  Leaving.Leaving_ = true;
  Directory_.put(Leaving);
  CHECK(choose() == "i-region");
  BackendServer Other = *Directory_.find("i-region");
  Other.Id_ = "i-other";
  Other.Service_ = ServiceId("stock");
  Other.StartedMs_ = 2;
  Directory_.put(Other);
  CHECK(choose() == "i-far");
}

// Guards against failures of an earlier run that keep calls from a restarted server.
TEST_CASE_METHOD(ChoiceFixture, "choice_restarted_server_starts_without_failures") {
  finishAttempts("i-near", AttemptResult::Failed, 20);
  BackendServer Restarted = *Directory_.find("i-near");
  Restarted.StartedMs_ = 2;
  Directory_.put(Restarted);
  Choice_.update(Now_, Directory_);
  Choice_.report(Now_, "i-near", {0, 0, 10, milliseconds(100), false});
  CHECK(choose() == "i-near");
}

// Guards against requests to a server that left while this node did not trust the platform's list,
// although another server can take them.
TEST_CASE_METHOD(ChoiceFixture, "choice_server_missing_from_list_is_the_last_resort") {
  Directory_.remove(Now_, "i-near", false);
  CHECK(choose() == "i-region");
  Choice_.unreachable(Now_, "i-region");
  CHECK(choose({"i-far"}) == "i-near");
  CHECK(choose({"i-far", "i-near"}) == "i-region");
  Directory_.remove(Now_, "i-region", false);
  Directory_.remove(Now_, "i-far", false);
  CHECK(choose() == "i-near");
  add("i-region", "10.0.0.2", "matara");
  Choice_.reachable("i-region");
  CHECK(choose() == "i-region");
}
