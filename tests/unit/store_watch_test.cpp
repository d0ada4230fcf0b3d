#include "store_watch.h"

#include <map>

#include <absl/strings/escaping.h>
#include <boost/algorithm/string/predicate.hpp>
#include <catch2/catch.hpp>

#include "free_port.h"
#include "node/clock.h"
#include "node/http_server.h"

using namespace bronzestand;
using namespace bronzestand::platform;

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// A stand-in of the platform's store that speaks the published calls, and a watch on it.
struct StoreFixture {
  boost::asio::io_context Io_;
  const std::uint16_t Port_ = freePort();
  std::map<std::string, std::pair<std::string, Revision>> Items_;
  std::vector<json> Events_;
  Revision Revision_ = 10;
  Revision Forgotten_ = 0; ///< changes up to this are no longer kept
  int Watches_ = 0;
  int Listings_ = 0;
  unsigned Fail_ = 0; ///< status of all answers; 0 to serve
  std::vector<std::pair<Revision, node::HttpExchangePtr>> Waiting_;
  node::Settings Config_;
  node::EventLog Log_{"test"};
  std::unique_ptr<node::FleetState> Fleet_;
  std::unique_ptr<StoreWatch> Watch_;
  node::HttpServer Server_{
      Io_,
      {"127.0.0.1", Port_},
      {},
      [this](const node::HttpRequest &Request, const node::HttpExchangePtr &Exchange) {
        handle(Request, Exchange);
      }};

  StoreFixture() {
    Config_.Host_ = HostId("10.0.0.1");
    Config_.Mesh_.emplace();
    Config_.Mesh_->Store_ = {"127.0.0.1", Port_};
    Fleet_ = std::make_unique<node::FleetState>(Config_, Log_);
    Watch_ = std::make_unique<StoreWatch>(Io_, Config_, *Fleet_, Log_);
    REQUIRE(Server_.start().ok());
  }
  ~StoreFixture() {
    Watch_->stop();
    Server_.stop();
    Waiting_.clear();
  }
  StoreFixture(const StoreFixture &) = delete;
  StoreFixture &operator=(const StoreFixture &) = delete;

  static json itemOf(const std::string &Key, const std::string &Value, Revision Changed) {
    return {{"Key", Key}, {"Value", absl::Base64Escape(Value)}, {"Rev", Changed}, {"Lease", 0}};
  }
  void put(const std::string &Key, const std::string &Value) {
    Items_[Key] = {Value, ++Revision_};
    Events_.push_back(itemOf(Key, Value, Revision_));
    wake();
  }
  void remove(const std::string &Key) {
    Items_.erase(Key);
    Events_.push_back({{"Key", Key}, {"Rev", ++Revision_}, {"Removed", true}});
    wake();
  }
  void putServer(const std::string &Id, const std::string &State) {
    put("servers/" + Id, json{{"Address", "10.0.0.9:80"},
                              {"Info", {{"Service", "s"}, {"Zone", "z"}, {"Slots", 4}}},
                              {"Status", {{"State", State}, {"ColdRemainingMs", 0}}},
                              {"born", 5}}
                             .dump());
  }
  void putConfig(std::uint64_t Version) {
    put("op/config", json{{"Version", Version},
                          {"Routes", {{"Columns", json::array()}, {"Rows", json::array()}}}}
                         .dump());
  }
  json eventsAfter(Revision After) const {
    json Result = json::array();
    for (const json &Event : Events_)
      if (Event.at("Rev").get<Revision>() > After)
        Result.push_back(Event);
    return Result;
  }
  static void answer(const node::HttpExchangePtr &Exchange, unsigned Status, const json &Body) {
    Exchange->respond({Status, {}, Body.dump()});
  }
  void wake() {
    for (const auto &[After, Exchange] : std::exchange(Waiting_, {}))
      answer(Exchange, 200, {{"events", eventsAfter(After)}, {"CurrentRev", Revision_}});
  }
  void handle(const node::HttpRequest &Request, const node::HttpExchangePtr &Exchange) {
    if (Fail_ != 0) {
      answer(Exchange, Fail_, {});
      return;
    }
    if (boost::starts_with(Request.Target_, "/api/kv-range")) {
      ++Listings_;
      json List = json::array();
      for (const auto &[Key, Item] : Items_)
        List.push_back(itemOf(Key, Item.first, Item.second));
      answer(Exchange, 200, {{"items", List}, {"MorePages", false}, {"CurrentRev", Revision_}});
      return;
    }
    ++Watches_;
    const std::size_t Start = Request.Target_.find("after=") + 6;
    const Revision After = std::stoull(Request.Target_.substr(Start));
    if (After < Forgotten_)
      answer(Exchange, 410, {});
    else if (const json Events = eventsAfter(After); !Events.empty())
      answer(Exchange, 200, {{"events", Events}, {"CurrentRev", Revision_}});
    else
      Waiting_.emplace_back(After, Exchange);
  }
  /// Runs until a condition holds; fails after 5 s.
  template <typename Condition> bool until(Condition Holds) {
    const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!Holds() && std::chrono::steady_clock::now() < End)
      Io_.run_one_for(milliseconds(20));
    return Holds();
  }
  void begin() {
    putConfig(3);
    putServer("i-1", "ready");
    REQUIRE(Watch_->start().ok());
    REQUIRE(until([&] { return Fleet_->isReady() && !Waiting_.empty(); }));
  }
};

} // namespace

// Guards against changes that are missed between the listing and the watch.
TEST_CASE_METHOD(StoreFixture, "store_watch_changes_are_in_force_in_order") {
  begin();
  CHECK(Fleet_->version() == 3);
  putConfig(5);
  putServer("i-1", "draining");
  putServer("i-2", "ready");
  CHECK(until([&] { return Fleet_->servers().find("i-2") != nullptr; }));
  CHECK(Fleet_->version() == 5);
  CHECK(Fleet_->servers().find("i-1")->Leaving_);
  remove("servers/i-1");
  CHECK(until([&] { return Fleet_->servers().find("i-1") == nullptr; }));
}

// Guards against a configuration that goes back, and against an unreadable one that takes the last
// good one out of force.
TEST_CASE_METHOD(StoreFixture, "store_watch_older_or_unreadable_configuration_changes_nothing") {
  begin();
  putConfig(2);
  put("op/config", "{\"Version\":9");
  put("servers/i-x", "\xff\xfe");
  putServer("i-2", "ready");
  CHECK(until([&] { return Fleet_->servers().find("i-2") != nullptr; }));
  CHECK(Fleet_->version() == 3);
  CHECK(Fleet_->servers().find("i-x") == nullptr);
}

// Guards against a node that misses what changed while the store forgot its history.
TEST_CASE_METHOD(StoreFixture, "store_watch_lost_history_is_read_anew") {
  begin();
  const auto Held = std::exchange(Waiting_, {});
  Items_.erase("servers/i-1");
  putServer("i-2", "ready");
  Forgotten_ = Revision_;
  for (const auto &[After, Exchange] : Held)
    answer(Exchange, 410, {});
  CHECK(until([&] { return Fleet_->servers().find("i-2") != nullptr; }));
  CHECK(until([&] { return Fleet_->servers().find("i-1") == nullptr; }));
  CHECK(Listings_ == 2);
}

// Guards against a flood of calls to a store that refuses, and against a node that gives up.
TEST_CASE_METHOD(StoreFixture, "store_watch_refusing_store_is_asked_with_pauses") {
  begin();
  Fail_ = 503;
  putServer("i-2", "ready");
  const int Before = Watches_ + Listings_;
  const auto End = std::chrono::steady_clock::now() + milliseconds(700);
  until([&] { return std::chrono::steady_clock::now() > End; });
  CHECK(Watches_ + Listings_ - Before <= 6);
  CHECK(Fleet_->servers().find("i-1") != nullptr);
  Fail_ = 0;
  putServer("i-3", "ready");
  CHECK(until([&] { return Fleet_->servers().find("i-3") != nullptr; }));
}

// Guards against a watch on a silent connection: another node knows a later change.
TEST_CASE_METHOD(StoreFixture, "store_watch_behind_other_nodes_asks_again") {
  begin();
  const auto Silent = std::exchange(Waiting_, {});
  putServer("i-2", "ready");
  Fleet_->noteRevision(Revision_);
  CHECK(until([&] {
    Fleet_->tick(node::now());
    return Fleet_->servers().find("i-2") != nullptr;
  }));
}
