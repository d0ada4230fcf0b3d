#include "store_fixture.h"

using namespace bronzestand;
using namespace bronzestand::platform;

// Guards against a change that is never seen because a restored store gave out its revision again.
TEST_CASE_METHOD(StoreFixture, "store_watch_restored_store_reusing_revisions_applies_changes") {
  startWatch();
  const auto Copy = Store_.copy();
  putConfig(5);
  putServer("i-2", "ready");
  REQUIRE(runUntil([&] { return Fleet_->servers().find("i-2") != nullptr; }));
  Store_.restore(Copy);
  putConfig(7);
  putServer("i-3", "ready");
  CHECK(isInForce(7, ApplyTime));
  CHECK(runUntil([&] { return Fleet_->servers().find("i-3") != nullptr; }, ApplyTime));
}

// Guards against a node that regards itself as behind, or not as behind, because of a revision of
// an earlier era.
TEST_CASE_METHOD(StoreFixture, "store_watch_restored_store_is_not_behind_itself") {
  startWatch();
  const auto Copy = Store_.copy();
  putConfig(5);
  REQUIRE(isInForce(5, ApplyTime));
  Store_.restore(Copy);
  putConfig(7);
  REQUIRE(isInForce(7, ApplyTime));
  CHECK(runUntil([&] { return !Fleet_->isBehind(node::now()); }, ApplyTime));
}

// Guards against a configuration that goes back to an older version with the store.
TEST_CASE_METHOD(StoreFixture, "store_watch_restored_store_keeps_configuration_in_force") {
  startWatch();
  const auto Copy = Store_.copy();
  putConfig(5);
  REQUIRE(isInForce(5, ApplyTime));
  Store_.restore(Copy);
  putServer("i-4", "ready");
  REQUIRE(runUntil([&] { return Fleet_->servers().find("i-4") != nullptr; }));
  CHECK(Fleet_->version() == 5);
}

// Guards against a live server that gets no requests because its registration was lost with the
// store's last seconds.
TEST_CASE_METHOD(StoreFixture, "store_watch_restored_store_keeps_server_until_registered_again") {
  startWatch();
  const auto Copy = Store_.copy();
  putServer("i-2", "ready");
  REQUIRE(runUntil([&] { return Fleet_->servers().find("i-2") != nullptr; }));
  Store_.restore(Copy);
  putServer("i-3", "ready");
  REQUIRE(runUntil([&] { return Fleet_->servers().find("i-3") != nullptr; }));
  CHECK(Fleet_->servers().find("i-2") != nullptr);
  const auto IsGone = [&] {
    Fleet_->tick(node::now());
    return Fleet_->servers().find("i-2") == nullptr;
  };
  CHECK_FALSE(runUntil(IsGone, milliseconds(1800)));
  CHECK(runUntil(IsGone, milliseconds(1500)));
}

// Guards against new requests to a server whose leaving the store acknowledged before it was
// restored.
TEST_CASE_METHOD(StoreFixture, "store_watch_restored_store_keeps_server_leaving") {
  startWatch();
  const auto Copy = Store_.copy();
  putServer("i-1", "draining");
  REQUIRE(runUntil([&] { return Fleet_->servers().find("i-1")->Leaving_; }));
  Store_.restore(Copy);
  putServer("i-3", "ready");
  REQUIRE(runUntil([&] { return Fleet_->servers().find("i-3") != nullptr; }));
  CHECK(Fleet_->servers().find("i-1")->Leaving_);
}

// Guards against new requests to a server that was removed before the store was restored, and
// against a live server that stays unused although it is still listed.
TEST_CASE_METHOD(StoreFixture, "store_watch_restored_store_holds_back_removed_servers") {
  putServer("i-2", "ready");
  startWatch();
  const auto Copy = Store_.copy();
  Store_.remove("servers/i-1");
  Store_.remove("servers/i-2");
  REQUIRE(runUntil([&] { return Fleet_->servers().all().empty(); }));
  Store_.restore(Copy);
  putServer("i-3", "ready");
  REQUIRE(runUntil([&] { return Fleet_->servers().find("i-3") != nullptr; }));
  CHECK(Fleet_->servers().find("i-1") == nullptr);
  CHECK(Fleet_->servers().find("i-2") == nullptr);
  Store_.remove("servers/i-1");
  CHECK(runUntil([&] {
    Fleet_->tick(node::now());
    return Fleet_->servers().find("i-2") != nullptr;
  }));
  CHECK(Fleet_->servers().find("i-1") == nullptr);
}

// Guards against a list whose pages come from before and after a restore.
TEST_CASE_METHOD(StoreFixture, "store_watch_restore_between_pages_lists_again") {
  putServer("i-1", "ready");
  putServer("i-2", "ready");
  const auto Copy = Store_.copy();
  Store_.remove("servers/i-1");
  putServer("i-3", "ready");
  putConfig(3);
  Store_.setPageItems(1);
  Store_.setDelay(milliseconds(100));
  REQUIRE(Watch_->start().ok());
  REQUIRE(runUntil([&] { return Store_.listings() == 2; }));
  Store_.restore(Copy);
  putConfig(4);
  for (int Count = 0; Count < 3; ++Count)
    putServer("i-2", "ready");
  CHECK(isInForce(4, std::chrono::seconds(5)));
  CHECK(runUntil([&] {
    Fleet_->tick(node::now());
    return Fleet_->servers().all().size() == 2 && Fleet_->servers().find("i-1") != nullptr;
  }));
}

// Guards against an answer of an earlier era that is taken for a new state of the store.
TEST_CASE_METHOD(StoreFixture, "store_watch_answer_of_earlier_era_is_ignored") {
  startWatch();
  const auto Copy = Store_.copy();
  Store_.restore(Copy);
  putConfig(5);
  REQUIRE(isInForce(5, ApplyTime));
  const std::uint64_t Era = Store_.era();
  Store_.setEra(Era - 1);
  putServer("i-1", "draining");
  const auto IsLeaving = [&] { return Fleet_->servers().find("i-1")->Leaving_; };
  CHECK_FALSE(runUntil(IsLeaving, milliseconds(500)));
  Store_.setEra(Era);
  CHECK(runUntil(IsLeaving, ApplyTime));
}

// Guards against listings without a pause when the store keeps saying that the history is lost.
TEST_CASE_METHOD(StoreFixture, "store_watch_restored_store_without_era_is_not_flooded") {
  Store_.setEra(0);
  startWatch();
  const auto Copy = Store_.copy();
  for (int Count = 0; Count < 20; ++Count)
    putServer("i-2", Count % 2 == 0 ? "draining" : "ready");
  putConfig(5);
  REQUIRE(isInForce(5, ApplyTime));
  Store_.restore(Copy);
  Store_.setEra(0);
  const int Before = Store_.listings();
  runFor(milliseconds(2000));
  CHECK(Store_.listings() - Before <= 4);
}
