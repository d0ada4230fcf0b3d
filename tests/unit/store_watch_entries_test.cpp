#include "store_fixture.h"

using namespace bronzestand;
using namespace bronzestand::platform;

// Guards against an entry with a start in the far future, after which no entry of the same id is
// accepted any more.
TEST_CASE_METHOD(StoreFixture, "store_watch_start_in_future_does_not_hide_later_entries") {
  startWatch();
  Store_.put("servers/i-2", R"({"Address":"10.0.0.9:80","born":18446744073709551615,)"
                            R"("Info":{"Service":"s","Zone":"z","Slots":4},)"
                            R"("Status":{"State":"ready","ColdRemainingMs":0}})");
  putServer("i-3", "ready");
  REQUIRE(runUntil([&] { return Fleet_->servers().find("i-3") != nullptr; }));
  putServer("i-2", "ready");
  REQUIRE(runUntil([&] { return Fleet_->servers().find("i-2") != nullptr; }));
  CHECK(Fleet_->servers().find("i-2")->StartedMs_ == 5);
}

// Guards against a listing that ends early, or that reads one page for ever, because no item of a
// page can be decoded.
TEST_CASE_METHOD(StoreFixture, "store_watch_page_of_unreadable_items_is_passed") {
  Store_.setPageItems(2);
  putConfig(3);
  putServer("i-1", "ready");
  for (const char *Key : {"servers/i-2", "servers/i-3", "servers/i-4", "servers/i-5"})
    Store_.putUnreadable(Key);
  putServer("i-6", "ready");
  REQUIRE(Watch_->start().ok());
  REQUIRE(runUntil([&] { return Fleet_->isReady() && Store_.isWatched(); }));
  CHECK(Store_.listings() == 4);
  CHECK(Fleet_->servers().find("i-1") != nullptr);
  CHECK(Fleet_->servers().find("i-6") != nullptr);
  CHECK(Fleet_->servers().all().size() == 2);
}

// Guards against an unreadable item at the end of a page, from which the next page does not
// continue.
TEST_CASE_METHOD(StoreFixture, "store_watch_unreadable_item_at_end_of_page_is_read_once") {
  Store_.setPageItems(2);
  putServer("i-1", "ready");
  putConfig(3);
  Store_.putUnreadable("servers/i-2");
  Store_.putUnreadable("servers/i-3");
  putServer("i-4", "ready");
  REQUIRE(Watch_->start().ok());
  REQUIRE(runUntil([&] { return Fleet_->isReady() && Store_.isWatched(); }));
  CHECK(Store_.listings() == 3);
  CHECK(Fleet_->servers().find("i-4") != nullptr);
}

// Guards against a watch that stops at a change that cannot be decoded.
TEST_CASE_METHOD(StoreFixture, "store_watch_unreadable_change_does_not_stop_watch") {
  startWatch();
  Store_.putUnreadable("servers/i-1");
  Store_.putUnreadable("op/config");
  REQUIRE(runUntil([&] { return Store_.isWatched(); }));
  putServer("i-2", "ready");
  CHECK(runUntil([&] { return Fleet_->servers().find("i-2") != nullptr; }));
  CHECK(Fleet_->version() == 3);
}

// Guards against an entry of another program that ends the node or stops it from following the
// store, in the list as well as in a change.
TEST_CASE_METHOD(StoreFixture, "store_watch_odd_entry_names_no_server_and_others_hold") {
  const std::string Deep = std::string(100'000, '[') + std::string(100'000, ']');
  const std::string Info = R"("born":5,"Info":{"Service":"s","Zone":"z","Slots":4},)";
  const std::vector<std::string> Odd{Deep,
                                     std::string(100'000, '['),
                                     R"({"Address":)" + Deep + "}",
                                     R"({"Address":"10.0.0.9:65536",)" + Info +
                                         R"("Status":{"State":"ready","ColdRemainingMs":0}})",
                                     R"({"Address":"10.0.0.9:80",)" + Info +
                                         R"("Status":{"State":"ready","ColdRemainingMs":1e300}})",
                                     R"({"Address":"10.0.0.9:80","born":1e999})"};
  for (std::size_t Index = 0; Index < Odd.size(); ++Index)
    Store_.put("servers/a-" + std::to_string(Index), Odd[Index]);
  startWatch();
  CHECK(Fleet_->servers().all().size() == 1);
  for (std::size_t Index = 0; Index < Odd.size(); ++Index)
    Store_.put("servers/j-" + std::to_string(Index), Odd[Index]);
  putServer("i-2", "ready");
  CHECK(runUntil([&] { return Fleet_->servers().find("i-2") != nullptr; }));
  CHECK(Fleet_->servers().all().size() == 2);
  Store_.put("op/config", Deep);
  putConfig(5);
  CHECK(isInForce(5, ApplyTime));
}

// Guards against nodes that do nothing else while a data centre returns. Each report costs a time
// that grows with the fleet, 17 ms with 22,000 servers, and 880 cold servers write their entries
// every 1.5 s.
TEST_CASE_METHOD(StoreFixture, "store_watch_changes_of_many_servers_are_reported_together") {
  constexpr int Count = 40;
  startWatch();
  int Reports = 0;
  Fleet_->onServers([&] { ++Reports; });
  const auto IdOf = [](int Number) { return "i-" + std::to_string(Number); };
  for (int Number = 2; Number <= Count; ++Number)
    putServer(IdOf(Number), "ready");
  REQUIRE(runUntil([&] { return Fleet_->servers().find(IdOf(Count)) != nullptr; }));
  CHECK(Reports <= 3); // the watch returns with the first change, and then with the others
  CHECK(Fleet_->servers().all().size() == Count);

  Reports = 0;
  node::FleetChange Change;
  Change.From_ = Fleet_->completeUntil();
  Change.To_ = {Change.From_.Era_, Change.From_.Revision_ + 1};
  for (int Number = 2; Number <= Count; ++Number) {
    BackendServer Server = *Fleet_->servers().find(IdOf(Number));
    Server.ColdFor_ = std::chrono::seconds(3);
    Change.put(std::move(Server));
  }
  Change.remove("i-1");
  Fleet_->applyChange(Change);
  CHECK(Reports == 1);
  CHECK(Fleet_->servers().find("i-1") == nullptr);
  CHECK(Fleet_->servers().find("i-2")->ColdFor_ == std::chrono::seconds(3));
}
