#include "store_watch.h"

#include <catch2/catch.hpp>

#include "free_port.h"
#include "node/clock.h"
#include "standins/platform_store.h"

using namespace bronzestand;
using namespace bronzestand::platform;

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Time within which an acknowledged change must be in force.
constexpr milliseconds ApplyTime{2000};
/// Time after an outage of the store at which every node must be up to date again.
constexpr milliseconds ContactTime{3000};

/// A watch on a local stand-in for the platform's store.
struct StoreFixture {
  boost::asio::io_context Io_;
  const std::uint16_t Port_ = freePort();
  node::Settings Config_;
  node::EventLog Log_{"test"};
  std::unique_ptr<node::FleetState> Fleet_;
  std::unique_ptr<StoreWatch> Watch_;
  standin::PlatformStore Store_{Io_, {"127.0.0.1", Port_}};

  StoreFixture() {
    Config_.Host_ = HostId("10.0.0.1");
    Config_.Mesh_.emplace();
    Config_.Mesh_->Store_ = {"127.0.0.1", Port_};
    Fleet_ = std::make_unique<node::FleetState>(Config_, Log_);
    Watch_ = std::make_unique<StoreWatch>(Io_, Config_, *Fleet_, Log_);
    REQUIRE(Store_.start().ok());
  }
  ~StoreFixture() {
    Watch_->stop();
    Store_.stop();
  }
  StoreFixture(const StoreFixture &) = delete;
  StoreFixture &operator=(const StoreFixture &) = delete;

  void putServer(const std::string &Id, const std::string &State) {
    Store_.put("servers/" + Id, json{{"Address", "10.0.0.9:80"},
                                     {"Info", {{"Service", "s"}, {"Zone", "z"}, {"Slots", 4}}},
                                     {"Status", {{"State", State}, {"ColdRemainingMs", 0}}},
                                     {"born", 5}}
                                    .dump());
  }
  void putConfig(std::uint64_t Version) {
    Store_.put("op/config", json{{"Version", Version},
                                 {"Routes", {{"Columns", json::array()}, {"Rows", json::array()}}}}
                                .dump());
  }
  /// Runs the event loop until a condition holds; returns false if it does not in time.
  template <typename Condition>
  bool runUntil(Condition Holds, milliseconds Limit = std::chrono::seconds(5)) {
    const auto End = std::chrono::steady_clock::now() + Limit;
    while (!Holds() && std::chrono::steady_clock::now() < End)
      Io_.run_one_for(milliseconds(20));
    return Holds();
  }
  bool isInForce(std::uint64_t Version, milliseconds Limit) {
    return runUntil(
        [&] {
          Fleet_->tick(node::now());
          return Fleet_->version() >= Version;
        },
        Limit);
  }
  /// Returns servers like "i-1" under other ids.
  std::vector<BackendServer> serversLikeFirst(const std::vector<std::string> &Ids) const {
    std::vector<BackendServer> Result;
    for (const std::string &Id : Ids) {
      Result.push_back(*Fleet_->servers().find("i-1"));
      Result.back().Id_ = Id;
    }
    return Result;
  }
  /// Tells whether a server is listed, or not listed, at some time within the limit.
  bool isListed(const std::string &Id, bool Expected, milliseconds Limit) {
    return runUntil(
        [&] {
          Fleet_->tick(node::now());
          return (Fleet_->servers().find(Id) != nullptr) == Expected;
        },
        Limit);
  }
  /// Lets the store fail a watch and leave the retry unanswered; the store serves afterwards.
  void loseRetryInOutage() {
    Store_.setSilent(true);
    Store_.failWatches(503);
    const int Before = Store_.watches();
    REQUIRE(runUntil([&] { return Store_.watches() > Before; }));
    Store_.setSilent(false);
  }
  void runFor(milliseconds Time) {
    const auto End = std::chrono::steady_clock::now() + Time;
    runUntil([&] { return std::chrono::steady_clock::now() >= End; }, 2 * Time);
  }
  void startWatch() {
    putConfig(3);
    putServer("i-1", "ready");
    REQUIRE(Watch_->start().ok());
    REQUIRE(runUntil([&] { return Fleet_->isReady() && Store_.isWatched(); }));
  }
};

} // namespace

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
