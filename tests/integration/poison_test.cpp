// The quarantine in real nodes: a request that crashes each backend server that runs it.
#include <algorithm>
#include <atomic>
#include <thread>

#include <catch2/catch.hpp>

#include "fleet.h"

using namespace bronzestand;
using namespace bronzestand::test;

namespace {

const std::vector<std::string> Catalogue{"cat-1", "cat-2", "cat-3", "cat-4"};

std::vector<HostOptions> makeHosts() {
  std::vector<HostOptions> Hosts{{"entry-1", "bookings"}, {"entry-2", "bookings"}};
  for (const std::string &Id : Catalogue)
    Hosts.push_back(
        {Id, "catalogue", "colombo", "western", {}, "32", "5000", {"--crash-on", "poison"}});
  return Hosts;
}

struct PoisonFixture {
  PoisonFixture() : Fleet_(makeHosts()) {
    Fleet_.putBasics({{"catalogue", "- {method: POST, path: /search, class: browsing, "
                                    "idempotent: true}\n"}});
    Fleet_.put("classes/browsing", "target: {served: 0.9, within: 4000}\n");
    Fleet_.putTeam("hotels");
    Fleet_.putTeam("builders");
    REQUIRE(Fleet_.waitUntilInForce());
  }

  /// Starts backend servers again that have crashed, as a process supervisor does.
  void restartCrashed() {
    for (const std::string &Host : Catalogue)
      if (!Fleet_.backend(Host).isRunning()) {
        ++Crashes_;
        Fleet_.startBackend(Host);
      }
  }

  bool allRestarted() {
    restartCrashed();
    return std::all_of(Catalogue.begin(), Catalogue.end(),
                       [&](const auto &Host) { return Fleet_.backend(Host).isRunning(); });
  }

  HttpReply search(const std::string &Entry, const std::string &Team, const std::string &Body) {
    return Fleet_.call(Entry, "POST", "/search", Team, {}, Body);
  }

  Fleet Fleet_;
  int Crashes_ = 0;
};

} // namespace

// Guards against a resent poison request that takes down backend server after backend server, and
// against a quarantine that also stops other requests or other teams.
TEST_CASE_METHOD(PoisonFixture, "poison_resent_to_several_nodes_is_quarantined") {
  std::atomic<bool> Stop{false};
  std::atomic<int> Served{0};
  std::atomic<int> Failed{0};
  // Other work of the same team runs beside the poison all the time.
  std::thread Others([&] {
    for (int Number = 0; !Stop; ++Number) {
      const HttpReply Reply = search("entry-2", "hotels", "washer " + std::to_string(Number));
      ++(Reply.status() == 200 ? Served : Failed);
    }
  });
  int Resends = 0;
  HttpReply Last;
  for (; Resends < 30 && Last.refusal() != "quarantined"; ++Resends) {
    Last = search(Resends % 2 == 0 ? "entry-1" : "entry-2", "hotels", "poison");
    restartCrashed();
  }
  const int CrashesAtQuarantine = Crashes_;
  for (int Number = 0; Number < 10; ++Number) {
    Last = search(Number % 2 == 0 ? "entry-1" : "entry-2", "hotels", "poison");
    CHECK(Last.refusal() == "quarantined");
    CHECK(Last.outcome() == "not-run");
  }
  CHECK(allRestarted());
  Stop = true;
  Others.join();
  WARN("crashes " << Crashes_ << ", resends until quarantined " << Resends << ", others served "
                  << Served << ", failed " << Failed);
  CHECK(Crashes_ == CrashesAtQuarantine);
  CHECK(Crashes_ >= 2);
  CHECK(Crashes_ <= 4);
  CHECK(Served > 0);
  CHECK(Failed == 0);
  CHECK(search("entry-1", "hotels", "washer").status() == 200);
  CHECK(search("entry-1", "builders", "washer").status() == 200);
  const auto Table = Fleet_.state("cat-1")["quarantine"]["table"];
  CHECK(std::any_of(Table.begin(), Table.end(), [](const auto &Item) {
    return Item["team"] == "hotels" && Item["state"] == "quarantined" && Item["crashes"] >= 2;
  }));
  std::uint64_t Refused = 0;
  for (const std::string &Host : Catalogue) {
    CHECK(waitFor([&] { return Fleet_.state(Host)["quarantine"]["quarantined"] == 1; },
                  std::chrono::seconds(2)));
    Refused += Fleet_.state(Host)["quarantine"]["refused"].get<std::uint64_t>();
  }
  CHECK(Refused >= 10);
}

// Guards against a request that ran out of time and is taken for a crash.
TEST_CASE_METHOD(PoisonFixture, "poison_timed_out_request_is_no_crash") {
  for (const std::string &Host : Catalogue)
    Fleet_.backendStats(Host, "service_us=500000");
  const HttpReply Reply = Fleet_.call("entry-1", "POST", "/search", "hotels",
                                      {{"Bronzestand-Deadline-Ms", "100"}}, "washer");
  CHECK(Reply.outcome() == "unknown");
  for (const std::string &Host : Catalogue)
    CHECK(Fleet_.state(Host)["quarantine"]["entries"] == 0);
}
