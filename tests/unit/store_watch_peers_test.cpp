#include "store_fixture.h"

using namespace bronzestand;
using namespace bronzestand::platform;

// Guards against a removed server that comes back for good with the state of a peer that is behind.
TEST_CASE_METHOD(StoreFixture, "store_watch_state_of_peer_behind_listing_is_ignored") {
  putServer("i-1", "ready");
  putServer("i-2", "ready");
  putServer("i-3", "ready");
  putConfig(3);
  Store_.remove("servers/i-3");
  const StorePosition Peer{Store_.era(), Store_.revision()};
  Store_.remove("servers/i-2");
  REQUIRE(Watch_->start().ok());
  REQUIRE(runUntil([&] { return Fleet_->isReady() && Store_.isWatched(); }));
  Fleet_->noteKnowledge({Peer, 3});
  CHECK_FALSE(Fleet_->isBehind(node::now()));
  Fleet_->adopt(serversLikeFirst({"i-1", "i-2"}), {}, Peer);
  CHECK(Fleet_->servers().find("i-2") == nullptr);
}

// Guards against a server that stays lost, because an older listing replaced the state of a peer
// and the watch continued behind the server's registration.
TEST_CASE_METHOD(StoreFixture, "store_watch_state_of_peer_during_listing_loses_no_server") {
  startWatch();
  Store_.setDelay(milliseconds(500));
  const int Before = Store_.listings();
  Store_.forgetHistory();
  REQUIRE(runUntil([&] { return Store_.listings() > Before; }));
  putServer("i-9", "ready");
  Fleet_->adopt(serversLikeFirst({"i-1", "i-9"}), {}, {Store_.era(), Store_.revision()});
  runFor(milliseconds(800));
  CHECK(isListed("i-9", true, ContactTime));
}

// Guards against a removed server that stays listed, because an older answer arrived after the
// state of a peer.
TEST_CASE_METHOD(StoreFixture, "store_watch_late_answer_after_state_of_peer_is_corrected") {
  startWatch();
  Store_.setDelay(milliseconds(600));
  putServer("i-2", "ready");
  runFor(milliseconds(50));
  Store_.remove("servers/i-2");
  Fleet_->adopt(serversLikeFirst({"i-1"}), {}, {Store_.era(), Store_.revision()});
  runFor(milliseconds(800));
  CHECK(isListed("i-2", false, ContactTime));
}

// Guards against an entry that a peer keeps only for now and that this node would keep for good.
TEST_CASE_METHOD(StoreFixture, "store_watch_missing_server_of_peer_expires") {
  startWatch();
  Store_.setSilent(true);
  Store_.failWatches(503);
  Fleet_->adopt(serversLikeFirst({"i-1", "i-2"}), {"i-2"}, {Store_.era(), Store_.revision() + 1});
  CHECK(Fleet_->servers().isMissing("i-2"));
  CHECK(isListed("i-2", false, ContactTime));
}
