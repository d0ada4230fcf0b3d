#include "store_fixture.h"

using namespace bronzestand;
using namespace bronzestand::platform;

// Guards against changes that are lost between the listing and the watch.
TEST_CASE_METHOD(StoreFixture, "store_watch_changes_are_applied_in_order") {
  startWatch();
  CHECK(Fleet_->version() == 3);
  putConfig(5);
  putServer("i-1", "draining");
  putServer("i-2", "ready");
  CHECK(runUntil([&] { return Fleet_->servers().find("i-2") != nullptr; }));
  CHECK(Fleet_->version() == 5);
  CHECK(Fleet_->servers().find("i-1")->Leaving_);
  Store_.remove("servers/i-1");
  CHECK(runUntil([&] { return Fleet_->servers().find("i-1") == nullptr; }));
}

// Guards against an older configuration that replaces a newer one, and against a malformed one that
// replaces the last valid one.
TEST_CASE_METHOD(StoreFixture, "store_watch_older_or_malformed_configuration_is_ignored") {
  startWatch();
  putConfig(2);
  Store_.put("op/config", "{\"Version\":9");
  Store_.put("servers/i-x", "\xff\xfe");
  putServer("i-2", "ready");
  CHECK(runUntil([&] { return Fleet_->servers().find("i-2") != nullptr; }));
  CHECK(Fleet_->version() == 3);
  CHECK(Fleet_->servers().find("i-x") == nullptr);
}

// Guards against changes that a node misses because the store discarded its history.
TEST_CASE_METHOD(StoreFixture, "store_watch_lost_history_triggers_new_listing") {
  startWatch();
  Store_.holdWatches();
  Store_.drop("servers/i-1");
  putServer("i-2", "ready");
  Store_.forgetHistory();
  CHECK(runUntil([&] { return Fleet_->servers().find("i-2") != nullptr; }));
  CHECK(runUntil([&] { return Fleet_->servers().find("i-1") == nullptr; }));
  CHECK(Store_.listings() == 2);
}

// Guards against a flood of requests to a store that refuses them, and against a node that stops
// retrying.
TEST_CASE_METHOD(StoreFixture, "store_watch_refused_request_is_retried_with_backoff") {
  startWatch();
  Store_.setFailure(503);
  putServer("i-2", "ready");
  const int Before = Store_.watches() + Store_.listings();
  const auto End = std::chrono::steady_clock::now() + milliseconds(700);
  runUntil([&] { return std::chrono::steady_clock::now() > End; });
  CHECK(Store_.watches() + Store_.listings() - Before <= 6);
  CHECK(Fleet_->servers().find("i-1") != nullptr);
  Store_.setFailure(0);
  putServer("i-3", "ready");
  CHECK(runUntil([&] { return Fleet_->servers().find("i-3") != nullptr; }));
}

// Guards against a node that stays on a dead connection although a peer knows a later revision.
TEST_CASE_METHOD(StoreFixture, "store_watch_revision_behind_peers_restarts_watch") {
  startWatch();
  Store_.silenceWatches();
  putServer("i-2", "ready");
  Fleet_->noteKnowledge({{Store_.era(), Store_.revision()}, 0});
  CHECK(runUntil([&] {
    Fleet_->tick(node::now());
    return Fleet_->servers().find("i-2") != nullptr;
  }));
}

// Guards against a node that waits for the answer to a watch that was lost while its connection
// lives.
TEST_CASE_METHOD(StoreFixture, "store_watch_lost_answer_is_noticed_without_peers") {
  startWatch();
  Store_.silenceWatches();
  putConfig(5);
  CHECK(isInForce(5, ApplyTime));
}

// Guards against a node that waits for the answer to a request that it sent during an outage, after
// an earlier one had failed.
TEST_CASE_METHOD(StoreFixture, "store_watch_retry_sent_during_outage_recovers_after_it") {
  startWatch();
  loseRetryInOutage();
  putConfig(5);
  CHECK(isInForce(5, ContactTime));
}

// Guards against a node that knows from its peers that it is behind and does not read again,
// because an earlier request had failed.
TEST_CASE_METHOD(StoreFixture, "store_watch_behind_peers_after_failure_reads_again") {
  startWatch();
  loseRetryInOutage();
  putConfig(5);
  Fleet_->noteKnowledge({{Store_.era(), Store_.revision()}, 0});
  CHECK(isInForce(5, ContactTime));
}

// Guards against watches that pile up at the store while a node is behind its peers.
TEST_CASE_METHOD(StoreFixture, "store_watch_behind_peers_keeps_one_watch") {
  startWatch();
  Store_.silenceWatches();
  Fleet_->noteKnowledge({{Store_.era(), Store_.revision() + 100}, 0});
  const auto End = std::chrono::steady_clock::now() + ContactTime;
  runUntil(
      [&] {
        Fleet_->tick(node::now());
        return std::chrono::steady_clock::now() > End;
      },
      2 * ContactTime);
  CHECK(Store_.waitingWatches() <= 1);
}

// Guards against a node that never receives a change because each request is given up before a slow
// store answers it.
TEST_CASE_METHOD(StoreFixture, "store_watch_slow_store_is_followed") {
  startWatch();
  Store_.setDelay(milliseconds(1600));
  runFor(milliseconds(4000));
  putConfig(5);
  CHECK(isInForce(5, milliseconds(8000)));
}

// Guards against a node that takes itself for behind again and again while the store is slow.
TEST_CASE_METHOD(StoreFixture, "store_watch_slow_store_does_not_make_node_behind") {
  startWatch();
  Store_.setDelay(milliseconds(1000));
  runFor(milliseconds(4000));
  const bool Behind = runUntil([&] { return Fleet_->isBehind(node::now()); }, milliseconds(6000));
  CHECK_FALSE(Behind);
}
