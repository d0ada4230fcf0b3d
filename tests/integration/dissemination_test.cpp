// Dissemination of configuration in real processes: 8 nodes in 4 data centres of 2 regions. The
// southern region has no path to the platform of its own.
#include <thread>

#include <catch2/catch.hpp>
#include <csignal>
#include <fmt/format.h>

#include "fleet.h"

using namespace bronzestand;
using namespace bronzestand::test;
using namespace std::chrono_literals;

namespace {

using Names = std::vector<std::string>;

constexpr auto ConvergenceLimit = 7s;
const Names Western{"col-1", "col-2", "col-3", "col-4", "neg-1", "neg-2"};
const Names Southern{"gal-1", "mat-1"};

Names allHosts() {
  Names All = Western;
  All.insert(All.end(), Southern.begin(), Southern.end());
  return All;
}

struct SpreadFixture {
  SpreadFixture()
      : Fleet_({{"col-1", "catalogue"},
                {"col-2", "catalogue"},
                {"col-3", "catalogue"},
                {"col-4", "catalogue"},
                {"neg-1", "payments", "negombo"},
                {"neg-2", "payments", "negombo"},
                makeSouthern("gal-1", "galle"),
                makeSouthern("mat-1", "matara")}) {
    Fleet_.putBasics({{"catalogue", "- {method: GET, path: /catalogue/*, class: browsing, "
                                    "idempotent: true}\n"},
                      {"payments", "[]\n"}});
    Fleet_.put("classes/browsing", "target: {served: 0.9, within: 2000}\n");
    Fleet_.putTeam("hotels");
    REQUIRE(waitInForce(allHosts(), "teams/hotels", Fleet_.lastRevision()));
    REQUIRE(Fleet_.waitUntilInForce());
  }

  static HostOptions makeSouthern(const std::string &Id, const std::string &DataCentre) {
    HostOptions Host{Id, "catalogue", DataCentre, "southern"};
    Host.ReachesPlatform_ = false;
    return Host;
  }

  Revision inForce(const std::string &Host, const std::string &Path) {
    const nlohmann::json State = Fleet_.state(Host);
    return State.is_object() ? State["config"]["in_force"].value(Path, Revision(0)) : 0;
  }
  bool waitInForce(const Names &Hosts, const std::string &Path, Revision Wanted) {
    return waitFor(
        [&] {
          return std::all_of(Hosts.begin(), Hosts.end(), [&](const std::string &Host) {
            return inForce(Host, Path) == Wanted;
          });
        },
        ConvergenceLimit);
  }
  bool isReader(const std::string &Host) { return Fleet_.state(Host)["config"]["reader"] == true; }
  Revision change(double Rate) {
    Fleet_.putTeam("hotels", Rate);
    return Fleet_.lastRevision();
  }
  void restart(const std::string &Host) {
    Fleet_.node(Host).signal(SIGKILL);
    Fleet_.node(Host).wait(2s);
    Fleet_.startNode(Host);
  }
  int servedOf(const std::string &Host, int Calls) {
    int Served = 0;
    for (int Index = 0; Index < Calls; ++Index)
      Served += isServed(Host) ? 1 : 0;
    return Served;
  }
  bool isServed(const std::string &Host) {
    return Fleet_.call(Host, "GET", "/catalogue/x", "hotels").status() == 200;
  }

  Fleet Fleet_;
};

} // namespace

// Guards against a change that needs the readers it started with, and against a region that stays
// behind after it was cut off from the platform's region.
TEST_CASE_METHOD(SpreadFixture, "spread_change_is_in_force_with_readers_killed_and_region_cut") {
  REQUIRE(waitInForce(allHosts(), "teams/hotels", change(1001)));
  // All nodes read until they know the host list; then two of the four in colombo go on.
  Names Readers;
  REQUIRE(waitFor(
      [&] {
        Readers.clear();
        std::copy_if(Western.begin(), Western.begin() + 4, std::back_inserter(Readers),
                     [&](const std::string &Host) { return isReader(Host); });
        return Readers.size() == 2;
      },
      ConvergenceLimit));
  Names Left = allHosts();
  for (const std::string &Host : Readers) {
    Fleet_.node(Host).signal(SIGKILL);
    Left.erase(std::find(Left.begin(), Left.end(), Host));
  }
  CHECK(waitInForce(Left, "teams/hotels", change(1002)));

  const Revision Before = Fleet_.lastRevision();
  for (const std::string &West : Western)
    for (const std::string &South : Southern) {
      Fleet_.setFault(West, South, "cut");
      Fleet_.setFault(South, West, "cut");
    }
  const Revision Changed = change(1003);
  Left.resize(4);
  CHECK(waitInForce(Left, "teams/hotels", Changed));
  for (const std::string &South : Southern) {
    CHECK(inForce(South, "teams/hotels") == Before);
    // Until the western hosts are found silent, a call may spend all its tries on them.
    CHECK(waitFor([&] { return servedOf(South, 10) == 10; }, 10s));
  }
  Fleet_.clearFaults();
  CHECK(waitInForce(Southern, "teams/hotels", Changed));
}

// Guards against a node that goes back to an older version when the platform shows one, also after
// a restart, and against a fleet that stops serving without the platform.
TEST_CASE_METHOD(SpreadFixture, "spread_stale_platform_never_reverts") {
  Fleet_.setPlatformMode("stale");
  Fleet_.setPlatformMode("up");
  const Revision Newest = change(1001);
  REQUIRE(waitInForce(allHosts(), "teams/hotels", Newest));
  Fleet_.setPlatformMode("old");
  const Names Restarted(Western.begin() + 1, Western.end());
  for (const std::string &Host : Restarted)
    restart(Host);
  for (const std::string &South : Southern)
    restart(South);
  for (const std::string &Host : allHosts()) {
    const bool Ready = waitFor([&] { return Fleet_.state(Host)["config"]["ready"] == true; }, 5s);
    CHECK(Ready);
    CHECK(inForce(Host, "teams/hotels") == Newest);
  }
  Fleet_.setPlatformMode("down");
  restart("neg-1");
  REQUIRE(waitFor([&] { return Fleet_.state("neg-1")["config"]["ready"] == true; }, 5s));
  for (const std::string &Host : allHosts()) {
    CHECK(inForce(Host, "teams/hotels") == Newest);
    // Until the loans of their earlier runs have ended (10.8 s), restarted hosts may not use their
    // share of the team limit.
    CHECK(waitFor([&] { return isServed(Host); }, 15s));
  }
  Fleet_.setPlatformMode("up");
  CHECK(waitInForce(allHosts(), "teams/hotels", change(1004)));
}

// Guards against nodes that end on different versions, and against a bad document that reverts its
// own last version or holds up other changes.
TEST_CASE_METHOD(SpreadFixture, "spread_racing_and_bad_changes_leave_one_version") {
  const auto Race = [&](const std::string &Host) {
    node::HttpRequest Request;
    Request.Method_ = "PUT";
    Request.Target_ = "/control/value?path=classes/browsing";
    for (int Index = 0; Index < 20; ++Index) {
      Request.Body_ =
          fmt::format("target: {{served: 0.9, within: {}}}\n# {}\n", 2000 + Index, Host);
      httpCall(Fleet_.platformAddress(), Request);
    }
  };
  std::thread First(Race, "first");
  std::thread Second(Race, "second");
  First.join();
  Second.join();
  const Revision Raced = Fleet_.platformStats()["revision"];
  CHECK(waitInForce(allHosts(), "classes/browsing", Raced));

  const Revision Good = inForce("col-1", "teams/hotels");
  Fleet_.put("teams/hotels", "rate: -1\n");
  const Revision Bad = Fleet_.lastRevision();
  Fleet_.putTeam("clinics");
  CHECK(waitInForce(allHosts(), "teams/clinics", Fleet_.lastRevision()));
  for (const std::string &Host : allHosts()) {
    const auto Refused = [&] {
      return Fleet_.state(Host)["config"]["refused"].value("teams/hotels",
                                                           nlohmann::json::object());
    };
    CHECK(
        waitFor([&] { return Refused().value("revision", Revision(0)) == Bad; }, ConvergenceLimit));
    CHECK_FALSE(Refused()["errors"].empty());
    CHECK(inForce(Host, "teams/hotels") == Good);
    CHECK(isServed(Host));
  }
}

// Guards against a withdrawn key that goes on working for a caller that stays connected.
TEST_CASE_METHOD(SpreadFixture, "spread_withdrawn_key_is_refused_on_open_connections") {
  boost::asio::io_context Io(1);
  std::map<std::string, std::unique_ptr<node::HttpClient>> Callers;
  std::map<std::string, unsigned> Status;
  const auto CallAll = [&] {
    for (auto &[Host, Client] : Callers) {
      const std::string Name = Host;
      Client->send({"GET", "/catalogue/x", {{"X-Api-Key", "key-hotels"}}, {}}, 2s,
                   [&Status, Name](node::HttpResult, const node::HttpResponse &Response) {
                     Status[Name] = Response.Status_;
                   });
    }
    Io.restart();
    Io.run();
  };
  const auto AllAre = [&](unsigned Wanted) {
    CallAll();
    return std::all_of(Status.begin(), Status.end(),
                       [&](const auto &Row) { return Row.second == Wanted; });
  };
  for (const std::string &Host : allHosts())
    Callers[Host] = std::make_unique<node::HttpClient>(Io, Fleet_.callerAddress(Host), 1);
  CHECK(AllAre(200));
  Fleet_.putTeam("hotels", 1000, 1000, true);
  CHECK(waitFor([&] { return AllAre(401); }, ConvergenceLimit));
  for (const auto &[Host, Client] : Callers)
    CHECK(Client->connections() == 1);
}
