// Latency that the two-node path adds to a call, against direct calls to the same stand-in backend
// server in the same run; calls a second of one node on one core; memory of a node.
#include <algorithm>
#include <fstream>
#include <iostream>

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <unistd.h>

#include "fleet.h"
#include "node/clock.h"

using namespace bronzestand;
using namespace bronzestand::test;

namespace {

constexpr std::chrono::microseconds CallInterval{1'000'000 / 155};
constexpr int PacedCalls = 3000;
constexpr int ThroughputCalls = 20'000;
constexpr int Parallel = 16;

node::HttpRequest makeRequest() {
  return {"GET", "/catalogue/washers", {{"X-Api-Key", "key-hotels"}}, {}};
}

/// Sends calls at the rate of one node, whatever the answers do, and returns their times in ms.
std::vector<double> pacedTimes(const node::Endpoint &Server,
                               const std::function<node::HttpRequest()> &Make = makeRequest) {
  boost::asio::io_context Io(1);
  node::HttpClient Client(Io, Server, 500);
  boost::asio::steady_timer Timer(Io);
  std::vector<double> Times;
  int Sent = 0;
  const auto Start = std::chrono::steady_clock::now();
  std::function<void()> Next = [&] {
    if (Sent == PacedCalls)
      return;
    Timer.expires_at(Start + Sent++ * CallInterval);
    Timer.async_wait([&](const boost::system::error_code &) {
      const TimePoint Begin = node::now();
      Client.send(Make(), std::chrono::seconds(5),
                  [&, Begin](node::HttpResult Result, const node::HttpResponse &Response) {
                    REQUIRE(Result == node::HttpResult::Answered);
                    REQUIRE(Response.Status_ == 200);
                    Times.push_back(static_cast<double>((node::now() - Begin).count()) / 1000.0);
                  });
      Next();
    });
  };
  Next();
  Io.run();
  std::sort(Times.begin(), Times.end());
  return Times;
}

double quantile(const std::vector<double> &Sorted, double Share) {
  return Sorted[static_cast<std::size_t>(Share * static_cast<double>(Sorted.size() - 1))];
}

double closedLoopRate(const node::Endpoint &Server) {
  boost::asio::io_context Io(1);
  node::HttpClient Client(Io, Server, Parallel);
  int Started = 0;
  std::function<void()> Next = [&] {
    if (Started++ >= ThroughputCalls)
      return;
    Client.send(makeRequest(), std::chrono::seconds(5),
                [&](node::HttpResult, const node::HttpResponse &) { Next(); });
  };
  const TimePoint Begin = node::now();
  for (int Index = 0; Index < Parallel; ++Index)
    Next();
  Io.run();
  return ThroughputCalls / (static_cast<double>((node::now() - Begin).count()) / 1e6);
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

double residentMegabytes(pid_t Pid) {
  std::ifstream In(fmt::format("/proc/{}/statm", Pid));
  double Size = 0;
  double Resident = 0;
  In >> Size >> Resident;
  return Resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

} // namespace

TEST_CASE("path_two_nodes_against_direct_call") {
  Fleet Hosts({{"cat-1", "catalogue"}, {"pay-1", "payments", "negombo"}}, Fleet::PeerPath::Direct);
  Hosts.putBasics({{"catalogue", "- {method: GET, path: /catalogue/*, class: browsing}\n"},
                   {"payments", "[]\n"}});
  Hosts.put("classes/browsing", "target: {served: 0.9, within: 5000}\n");
  Hosts.putTeam("hotels", 1e6, 1e6);
  REQUIRE(Hosts.waitUntilInForce());
  REQUIRE(Hosts.call("pay-1", "GET", "/catalogue/x", "hotels").status() == 200);
  const pid_t Entry = Hosts.node("pay-1").pid();
  const double MemoryBefore = residentMegabytes(Entry);

  const auto Direct = pacedTimes(Hosts.backendAddress("cat-1"));
  const auto Path = pacedTimes(Hosts.callerAddress("pay-1"));
  std::cout << fmt::format("{:<10}{:>12}{:>12}\n", "ms", "median", "99th");
  for (const auto &[Name, Times] : {std::pair("direct", &Direct), std::pair("path", &Path)})
    std::cout << fmt::format("{:<10}{:>12.3f}{:>12.3f}\n", Name, quantile(*Times, 0.5),
                             quantile(*Times, 0.99));
  std::cout << fmt::format("{:<10}{:>12.3f}{:>12.3f}\n", "added",
                           quantile(Path, 0.5) - quantile(Direct, 0.5),
                           quantile(Path, 0.99) - quantile(Direct, 0.99));

  const double CpuBefore = cpuSeconds(Entry);
  const double Rate = closedLoopRate(Hosts.callerAddress("pay-1"));
  const double Cpu = cpuSeconds(Entry) - CpuBefore;
  std::cout << fmt::format("closed loop {:.0f} calls/s; entry node {:.1f} us CPU a call, {:.0f} "
                           "calls/s a core\n",
                           Rate, Cpu / ThroughputCalls * 1e6, ThroughputCalls / Cpu);
  std::cout << fmt::format("entry node memory {:.1f} MB at start, {:.1f} MB after {} calls\n",
                           MemoryBefore, residentMegabytes(Entry),
                           PacedCalls + ThroughputCalls + 1);
}

// Time that the claim of an idempotency key adds, against the same route with claims switched off.
TEST_CASE("path_claimed_call_against_unclaimed_call") {
  std::cout << fmt::format("{:<12}{:>12}{:>12}\n", "ms", "median", "99th");
  for (const char *Disabled : {"claims", ""}) {
    Fleet Hosts({{"pay-1", "payments", "colombo"},
                 {"pay-2", "payments", "negombo"},
                 {"pay-3", "payments", "gampaha"},
                 {"cat-1", "catalogue", "colombo"}},
                Fleet::PeerPath::Direct, Disabled);
    Hosts.putBasics({{"payments", "- {method: POST, path: /deposits, class: charging}\n"},
                     {"catalogue", "[]\n"}});
    Hosts.put("classes/charging", "{target: {served: 0.9, within: 5000}, at_most_once: true}\n");
    Hosts.putTeam("hotels", 1e6, 1e6);
    REQUIRE(Hosts.waitUntilInForce());
    const auto Make = [] {
      return node::HttpRequest{
          "POST", "/deposits", {{"X-Api-Key", "key-hotels"}, {"Idempotency-Key", uuidV7()}}, {}};
    };
    const auto Times = pacedTimes(Hosts.callerAddress("cat-1"), Make);
    std::cout << fmt::format("{:<12}{:>12.3f}{:>12.3f}\n", *Disabled == 0 ? "claimed" : "unclaimed",
                             quantile(Times, 0.5), quantile(Times, 0.99));
  }
}
