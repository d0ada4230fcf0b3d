#ifndef BRONZESTAND_TESTS_STORE_FIXTURE_H
#define BRONZESTAND_TESTS_STORE_FIXTURE_H

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "free_port.h"
#include "node/clock.h"
#include "standins/platform_store.h"
#include "store_watch.h"

namespace bronzestand::platform {

using nlohmann::json;
using std::chrono::milliseconds;

/// Time within which an acknowledged change must be in force.
constexpr milliseconds ApplyTime{2000};
/// Time after an outage of the store at which every node must be up to date again.
constexpr milliseconds ContactTime{3000};

/// Time within which an evacuated data centre must get no more requests.
constexpr milliseconds EvacuateTime{1000};

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
    Config_.DataCentre_ = DataCentreId("z");
    Config_.Mesh_->Regions_ = {{"z", "r"}, {"far", "q"}, {"farther", "q"}};
    Config_.Mesh_->EvacuateTime_ = EvacuateTime;
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

} // namespace bronzestand::platform

#endif
