// Cost of configuration and membership with real processes: reads on the platform per change and at
// rest, messages and bytes between nodes at rest by kind, and CPU time per node at rest.
// Arguments of the test runner: [8] or [32] for one size only.
#include <fstream>
#include <iostream>
#include <map>
#include <thread>

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <unistd.h>

#include "fleet.h"

using namespace bronzestand;
using namespace bronzestand::test;

namespace {

constexpr std::chrono::seconds SettleTime{66};
constexpr std::chrono::seconds RestTime{20};
constexpr int Changes = 20;
constexpr std::chrono::milliseconds ChangeInterval{500};

std::vector<HostOptions> makeHosts(int Count) {
  const std::vector<std::pair<std::string, std::string>> Places{{"colombo", "western"},
                                                                {"negombo", "western"},
                                                                {"galle", "southern"},
                                                                {"matara", "southern"}};
  std::vector<HostOptions> Hosts;
  for (int Index = 0; Index < Count; ++Index) {
    const auto &[DataCentre, Region] = Places[static_cast<std::size_t>(Index) % Places.size()];
    Hosts.push_back({fmt::format("cat-{}", Index), "catalogue", DataCentre, Region});
  }
  return Hosts;
}

double cpuSeconds(pid_t Pid) {
  std::ifstream In(fmt::format("/proc/{}/stat", Pid));
  std::string Field;
  double Ticks = 0;
  for (int Index = 1; In >> Field && Index <= 15; ++Index)
    if (Index >= 14)
      Ticks += std::stod(Field);
  return Ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

struct Totals {
  std::map<std::string, std::pair<double, double>> Sent_; ///< messages and bytes by kind
  double Cpu_ = 0;
  double Reads_ = 0;
  int Readers_ = 0;
  std::size_t Links_ = 0;
};

Totals totalsOf(Fleet &Hosts) {
  Totals Sum;
  for (const HostOptions &Host : Hosts.hosts()) {
    const nlohmann::json State = Hosts.state(Host.Id_);
    for (const auto &[Kind, Counter] : State["peer_links"]["sent"].items()) {
      Sum.Sent_[Kind].first += Counter["messages"].get<double>();
      Sum.Sent_[Kind].second += Counter["bytes"].get<double>();
    }
    Sum.Links_ += State["peer_links"]["links"].size();
    Sum.Readers_ += State["config"]["reader"] == true ? 1 : 0;
    Sum.Cpu_ += cpuSeconds(Hosts.node(Host.Id_).pid());
  }
  Sum.Reads_ = Hosts.platformStats()["reads"];
  return Sum;
}

void measure(int Count) {
  Fleet Hosts(makeHosts(Count), Fleet::PeerPath::Direct);
  Hosts.putBasics({{"catalogue", "- {method: GET, path: /catalogue/*, class: browsing}\n"}});
  Hosts.put("classes/browsing", "target: {served: 0.9, within: 5000}\n");
  REQUIRE(Hosts.waitUntilInForce(std::chrono::seconds(20)));
  // Links of the start that are not used any more are closed after 60 s.
  std::this_thread::sleep_for(SettleTime);

  const Totals Before = totalsOf(Hosts);
  std::this_thread::sleep_for(RestTime);
  const Totals After = totalsOf(Hosts);
  const double Scale = static_cast<double>(RestTime.count()) * Count;
  std::cout << fmt::format("{} nodes, {} readers, {:.1f} links a node\n", Count, After.Readers_,
                           static_cast<double>(After.Links_) / Count);
  std::cout << fmt::format("at rest: {:.2f} platform reads/s, CPU {:.3f} % of a core a node\n",
                           (After.Reads_ - Before.Reads_) / static_cast<double>(RestTime.count()),
                           (After.Cpu_ - Before.Cpu_) / Scale * 100);
  std::cout << fmt::format("{:<16}{:>18}{:>18}\n", "sent at rest", "messages/s a node",
                           "bytes/s a node");
  double Messages = 0;
  double Bytes = 0;
  for (const auto &[Kind, Counter] : After.Sent_) {
    const auto &Old = Before.Sent_.at(Kind);
    if (Counter.first == Old.first)
      continue;
    std::cout << fmt::format("{:<16}{:>18.2f}{:>18.1f}\n", Kind,
                             (Counter.first - Old.first) / Scale,
                             (Counter.second - Old.second) / Scale);
    Messages += Counter.first - Old.first;
    Bytes += Counter.second - Old.second;
  }
  std::cout << fmt::format("{:<16}{:>18.2f}{:>18.1f}\n", "total", Messages / Scale, Bytes / Scale);

  const auto Begin = std::chrono::steady_clock::now();
  for (int Change = 0; Change < Changes; ++Change) {
    Hosts.putTeam("hotels", 1000 + Change);
    std::this_thread::sleep_for(ChangeInterval);
  }
  const double Seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - Begin).count();
  const Totals Changed = totalsOf(Hosts);
  std::cout << fmt::format(
      "{} changes in {:.1f} s: {:.2f} reads a change, {:.1f} messages and "
      "{:.0f} bytes of configuration a node and change\n",
      Changes, Seconds, (Changed.Reads_ - After.Reads_) / Changes,
      (Changed.Sent_.at("config_spread").first - After.Sent_.at("config_spread").first) / Changes /
          Count,
      (Changed.Sent_.at("config_spread").second - After.Sent_.at("config_spread").second) /
          Changes / Count);
}

} // namespace

TEST_CASE("control_cost_at_8_nodes", "[8]") { measure(8); }
TEST_CASE("control_cost_at_32_nodes", "[32]") { measure(32); }
