// The bound on attempts over a chain of 18 services in separate processes.
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "fleet.h"

using namespace bronzestand;
using namespace bronzestand::test;

namespace {

constexpr unsigned Depth = 18;
constexpr std::uint64_t MaxAttempts = 64;

/// Service s<n> calls s<n+1>; every backend server tries a failed child call twice more.
std::vector<HostOptions> chain() {
  std::vector<HostOptions> Hosts;
  for (unsigned Level = 1; Level <= Depth; ++Level) {
    HostOptions Host{fmt::format("host-{}", Level), fmt::format("s{}", Level)};
    if (Level < Depth)
      Host.Children_ = {fmt::format("GET /s{}", Level + 1)};
    Host.BackendOptions_ = {"--child-retries", "2"};
    Hosts.push_back(std::move(Host));
  }
  return Hosts;
}

struct ChainWorld {
  explicit ChainWorld(const std::string &Disabled)
      : Fleet_(chain(), Fleet::PeerPath::Direct, Disabled) {
    std::map<std::string, std::string> Routes;
    for (unsigned Level = 1; Level <= Depth; ++Level)
      Routes[fmt::format("s{}", Level)] =
          fmt::format("- {{method: GET, path: /s{}, class: deep, idempotent: true}}\n", Level);
    Fleet_.putBasics(Routes);
    Fleet_.put("classes/deep", fmt::format("{{target: {{served: 0.9, within: 3000}}, "
                                           "max_attempts: {}}}\n",
                                           MaxAttempts));
    Fleet_.putTeam("hotels");
    REQUIRE(Fleet_.waitUntilInForce());
  }

  /// Requests that all backend servers received.
  std::uint64_t received() {
    std::uint64_t Sum = 0;
    for (const HostOptions &Host : Fleet_.hosts())
      Sum += Fleet_.backendStats(Host.Id_)["received"].get<std::uint64_t>();
    return Sum;
  }

  HttpReply call() { return Fleet_.call("host-9", "GET", "/s1", "hotels"); }

  /// Greatest number of backend runs that one of some requests causes while the deepest fails.
  std::uint64_t worstWhileDeepestFails(unsigned Requests) {
    Fleet_.backendStats(fmt::format("host-{}", Depth), "status=500");
    std::uint64_t Worst = 0;
    for (unsigned Request = 0; Request < Requests; ++Request) {
      const std::uint64_t Before = received();
      CHECK(call().status() >= 500);
      Worst = std::max(Worst, received() - Before);
    }
    return Worst;
  }

  Fleet Fleet_;
};

} // namespace

// Guards against a share too small for a deep chain, and against retries that multiply per hop.
TEST_CASE("attempts_chain_of_18_is_served_and_bounded") {
  ChainWorld World("");
  for (unsigned Request = 0; Request < 5; ++Request) {
    const std::uint64_t Before = World.received();
    const HttpReply Reply = World.call();
    CHECK(Reply.status() == 200);
    CHECK(Reply.outcome() == "served");
    CHECK(World.received() - Before == Depth);
  }
  const std::uint64_t Worst = World.worstWhileDeepestFails(6);
  INFO("backend runs " << Worst);
  CHECK(Worst <= MaxAttempts);
  CHECK(Worst >= Depth);
  World.Fleet_.backendStats(fmt::format("host-{}", Depth), "status=200");
  CHECK(waitFor([&] { return World.call().status() == 200; }, std::chrono::seconds(5)));
}

// Guards against a check that would pass without the mechanism.
TEST_CASE("attempts_chain_without_accounts_exceeds_the_bound") {
  ChainWorld World("attempts");
  CHECK(World.call().status() == 200);
  CHECK(World.worstWhileDeepestFails(1) > MaxAttempts);
}
