#include "bronzestand/backend_directory.h"

#include <catch2/catch.hpp>

using namespace bronzestand;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct DirectoryFixture {
  BackendDirectory Directory_;
  TimePoint Now_{seconds(100)};

  static BackendServer makeServer(const std::string &Id, const std::string &Host,
                                  std::uint64_t StartedMs = 1) {
    BackendServer Server;
    Server.Id_ = Id;
    Server.Host_ = HostId(Host);
    Server.Port_ = 80;
    Server.Service_ = ServiceId("orders");
    Server.StartedMs_ = StartedMs;
    return Server;
  }
  static BackendServer makeLeaving(const std::string &Id, const std::string &Host,
                                   std::uint64_t StartedMs = 1) {
    BackendServer Server = makeServer(Id, Host, StartedMs);
    Server.Leaving_ = true;
    return Server;
  }
  /// Replaces the list with what the platform lists after it was restored from a copy.
  bool restore(Duration After, std::vector<BackendServer> Entries) {
    return Directory_.replace(Now_ + After, std::move(Entries), false, true);
  }
  bool isUsed(const std::string &Id) const { return Directory_.find(Id) != nullptr; }
};

} // namespace

// Guards against calls to a server that left while the list was reliable.
TEST_CASE_METHOD(DirectoryFixture,
                 "directory_entry_removed_from_reliable_list_is_removed_at_once") {
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  CHECK(Directory_.remove(Now_, "i-1", true));
  CHECK(Directory_.find("i-1") == nullptr);
}

// Guards against losing all servers when the platform's list loses its entries.
TEST_CASE_METHOD(DirectoryFixture,
                 "directory_entry_missing_from_unreliable_list_is_kept_until_it_recovers") {
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  Directory_.put(makeServer("i-2", "10.0.0.2"));
  CHECK_FALSE(Directory_.replace(Now_, {}, false));
  CHECK(Directory_.find("i-1") != nullptr);
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  CHECK_FALSE(Directory_.expire(Now_ + seconds(2)));
  CHECK(Directory_.expire(Now_ + seconds(3)));
  CHECK(Directory_.find("i-1") != nullptr);
  CHECK(Directory_.find("i-2") == nullptr);
}

// Guards against calls to a leaving server whose entry is lost together with the list.
TEST_CASE_METHOD(DirectoryFixture,
                 "directory_leaving_entry_missing_from_unreliable_list_is_removed") {
  BackendServer Server = makeServer("i-1", "10.0.0.1");
  Server.Leaving_ = true;
  Directory_.put(Server);
  CHECK(Directory_.remove(Now_, "i-1", false));
}

// Guards against a delayed entry of an earlier run that replaces the current one.
TEST_CASE_METHOD(DirectoryFixture, "directory_entry_of_earlier_run_is_ignored") {
  Directory_.put(makeServer("i-1", "10.0.0.1", 2));
  BackendServer Old = makeServer("i-1", "10.0.0.1", 1);
  Old.Leaving_ = true;
  CHECK_FALSE(Directory_.put(Old));
  CHECK_FALSE(Directory_.find("i-1")->Leaving_);
}

// Guards against calls to a stopped server whose address another server now uses.
TEST_CASE_METHOD(DirectoryFixture, "directory_reused_address_belongs_to_the_later_server") {
  Directory_.put(makeServer("i-1", "10.0.0.1", 1));
  Directory_.put(makeServer("i-2", "10.0.0.1", 2));
  CHECK(Directory_.findByHost(HostId("10.0.0.1"))->Id_ == "i-2");
}

// Guards against a live server that is never used again because the restored list is never taken
// as true.
TEST_CASE_METHOD(DirectoryFixture, "directory_held_entry_still_listed_is_used_after_recovery") {
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  Directory_.remove(Now_, "i-1", true);
  CHECK_FALSE(restore(seconds(1), {makeServer("i-1", "10.0.0.1")}));
  CHECK_FALSE(Directory_.expire(Now_ + milliseconds(3499)));
  CHECK_FALSE(isUsed("i-1"));
  CHECK(Directory_.expire(Now_ + milliseconds(3500)));
  CHECK(isUsed("i-1"));
}

// Guards against calls to a removed server whose restored entry lapses within the recovery time.
TEST_CASE_METHOD(DirectoryFixture, "directory_held_entry_removed_meanwhile_is_dropped") {
  const bool Trusted = GENERATE(true, false);
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  Directory_.remove(Now_, "i-1", true);
  restore(seconds(1), {makeServer("i-1", "10.0.0.1")});
  CHECK_FALSE(Directory_.remove(Now_ + seconds(2), "i-1", Trusted));
  CHECK_FALSE(Directory_.expire(Now_ + seconds(10)));
  CHECK_FALSE(isUsed("i-1"));
}

// Guards against calls to a removed server that a second listing does not contain.
TEST_CASE_METHOD(DirectoryFixture, "directory_held_entry_absent_from_second_list_is_dropped") {
  const bool NewHistory = GENERATE(true, false);
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  Directory_.remove(Now_, "i-1", true);
  restore(seconds(1), {makeServer("i-1", "10.0.0.1")});
  Directory_.replace(Now_ + seconds(2), {}, false, NewHistory);
  CHECK_FALSE(Directory_.expire(Now_ + seconds(10)));
  CHECK_FALSE(isUsed("i-1"));
}

// Guards against a live server that is held back although it has written its entry again.
TEST_CASE_METHOD(DirectoryFixture, "directory_held_entry_put_again_is_used_at_once") {
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  Directory_.remove(Now_, "i-1", true);
  restore(seconds(1), {makeServer("i-1", "10.0.0.1")});
  CHECK(Directory_.put(makeServer("i-1", "10.0.0.1")));
  CHECK(isUsed("i-1"));
  CHECK_FALSE(Directory_.expire(Now_ + seconds(10)));
  CHECK(isUsed("i-1"));
}

// Guards against holding back a restarted server because its earlier run was removed.
TEST_CASE_METHOD(DirectoryFixture, "directory_new_run_of_removed_server_is_used_at_once") {
  Directory_.put(makeServer("i-1", "10.0.0.1", 1));
  Directory_.remove(Now_, "i-1", true);
  SECTION("listed after a restore") {
    CHECK(restore(seconds(1), {makeServer("i-1", "10.0.0.1", 2)}));
  }
  SECTION("put while its earlier run is held back") {
    restore(seconds(1), {makeServer("i-1", "10.0.0.1", 1)});
    CHECK(Directory_.put(makeServer("i-1", "10.0.0.1", 2)));
  }
  REQUIRE(isUsed("i-1"));
  CHECK_FALSE(Directory_.expire(Now_ + seconds(10)));
  CHECK(Directory_.find("i-1")->StartedMs_ == 2);
}

// Guards against calls to a leaving server that a restored list or a late entry shows as ready.
TEST_CASE_METHOD(DirectoryFixture, "directory_leaving_run_listed_as_ready_stays_leaving") {
  Directory_.put(makeLeaving("i-1", "10.0.0.1"));
  SECTION("put") { CHECK_FALSE(Directory_.put(makeServer("i-1", "10.0.0.1"))); }
  SECTION("restored list") { CHECK_FALSE(restore({}, {makeServer("i-1", "10.0.0.1")})); }
  REQUIRE(isUsed("i-1"));
  CHECK(Directory_.find("i-1")->Leaving_);
}

// Guards against a server that is never used again because its earlier run was leaving.
TEST_CASE_METHOD(DirectoryFixture, "directory_restarted_run_of_leaving_server_is_ready") {
  Directory_.put(makeLeaving("i-1", "10.0.0.1", 1));
  CHECK(Directory_.put(makeServer("i-1", "10.0.0.1", 2)));
  CHECK_FALSE(Directory_.find("i-1")->Leaving_);
}

// Guards against a removal that is remembered for ever and holds back a server for no reason.
TEST_CASE_METHOD(DirectoryFixture, "directory_removal_is_forgotten_after_a_minute") {
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  Directory_.remove(Now_, "i-1", true);
  Directory_.expire(Now_ + seconds(60));
  restore(seconds(60), {makeServer("i-1", "10.0.0.1")});
  CHECK_FALSE(isUsed("i-1"));
  restore(seconds(60), {});
  Directory_.expire(Now_ + milliseconds(60001));
  CHECK(restore(milliseconds(60001), {makeServer("i-1", "10.0.0.1")}));
  CHECK(isUsed("i-1"));
}

// Guards against an early return of a removed server when the platform is restored twice in a row.
TEST_CASE_METHOD(DirectoryFixture, "directory_held_entry_after_second_restore_is_held_again") {
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  Directory_.remove(Now_, "i-1", true);
  restore(seconds(1), {makeServer("i-1", "10.0.0.1")});
  CHECK_FALSE(restore(seconds(3), {makeServer("i-1", "10.0.0.1")}));
  CHECK_FALSE(Directory_.expire(Now_ + milliseconds(5499)));
  CHECK_FALSE(isUsed("i-1"));
  CHECK(Directory_.expire(Now_ + milliseconds(5500)));
  CHECK(isUsed("i-1"));
}

// Guards against a late entry of an earlier run that creates an empty entry or replaces the run
// that was put while its earlier run was held back.
TEST_CASE_METHOD(DirectoryFixture, "directory_late_entry_of_earlier_run_leaves_current_run") {
  Directory_.put(makeServer("i-1", "10.0.0.1", 2));
  Directory_.remove(Now_, "i-1", true);
  restore(seconds(1), {makeServer("i-1", "10.0.0.1", 2)});
  CHECK(Directory_.put(makeServer("i-1", "10.0.0.1", 2)));
  CHECK_FALSE(Directory_.put(makeServer("i-1", "10.0.0.9", 1)));
  CHECK(Directory_.all().size() == 1);
  CHECK(Directory_.find("i-1")->Host_ == HostId("10.0.0.1"));
}

// Guards against a server that is kept for ever when an entry of its earlier run arrives late.
TEST_CASE_METHOD(DirectoryFixture,
                 "directory_late_entry_of_earlier_run_does_not_prolong_kept_one") {
  Directory_.put(makeServer("i-1", "10.0.0.1", 2));
  restore({}, {});
  CHECK_FALSE(Directory_.put(makeServer("i-1", "10.0.0.1", 1)));
  CHECK(Directory_.isMissing("i-1"));
  CHECK(Directory_.expire(Now_ + milliseconds(2500)));
  CHECK_FALSE(isUsed("i-1"));
}

// Guards against calls to a removed run that is listed again after a restore, when an entry of an
// earlier run was put in between.
TEST_CASE_METHOD(DirectoryFixture, "directory_entry_of_earlier_run_keeps_removal_of_later_one") {
  Directory_.put(makeServer("i-1", "10.0.0.1", 2));
  Directory_.remove(Now_, "i-1", true);
  Directory_.put(makeServer("i-1", "10.0.0.1", 1));
  SECTION("still listed") {}
  SECTION("removed too") { Directory_.remove(Now_, "i-1", true); }
  restore(seconds(1), {makeServer("i-1", "10.0.0.1", 2)});
  const BackendServer *Used = Directory_.find("i-1");
  CHECK((Used == nullptr || Used->StartedMs_ == 1));
  CHECK(Directory_.expire(Now_ + milliseconds(3500)));
  REQUIRE(isUsed("i-1"));
  CHECK(Directory_.find("i-1")->StartedMs_ == 2);
}

// Guards against an early return of a removed server when the list is read again after a restore,
// as after a lost watch.
TEST_CASE_METHOD(DirectoryFixture, "directory_held_entry_in_second_list_stays_held_back") {
  const bool Trusted = GENERATE(true, false);
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  Directory_.remove(Now_, "i-1", true);
  restore(seconds(1), {makeServer("i-1", "10.0.0.1")});
  CHECK_FALSE(
      Directory_.replace(Now_ + seconds(2), {makeServer("i-1", "10.0.0.1")}, Trusted, false));
  CHECK_FALSE(isUsed("i-1"));
  CHECK(Directory_.expire(Now_ + milliseconds(3500)));
  CHECK(isUsed("i-1"));
}

// Guards against calls to a server that left, whose entry of before it began to leave is restored.
TEST_CASE_METHOD(DirectoryFixture,
                 "directory_removed_leaving_run_restored_as_ready_stays_leaving") {
  Directory_.put(makeLeaving("i-1", "10.0.0.1"));
  Directory_.remove(Now_, "i-1", GENERATE(true, false));
  restore(seconds(1), {makeServer("i-1", "10.0.0.1")});
  SECTION("still listed after the recovery time") {
    CHECK(Directory_.expire(Now_ + milliseconds(3500)));
  }
  SECTION("put") { CHECK(Directory_.put(makeServer("i-1", "10.0.0.1"))); }
  REQUIRE(isUsed("i-1"));
  CHECK(Directory_.find("i-1")->Leaving_);
}

// Guards against the loss of live servers that a second restore gives no time to write again.
TEST_CASE_METHOD(DirectoryFixture, "directory_kept_entry_after_second_restore_is_kept_again") {
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  restore({}, {});
  restore(seconds(2), {});
  CHECK_FALSE(Directory_.expire(Now_ + milliseconds(4499)));
  CHECK(isUsed("i-1"));
  CHECK(Directory_.expire(Now_ + milliseconds(4500)));
  CHECK_FALSE(isUsed("i-1"));
}
