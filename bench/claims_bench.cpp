// Prints the cost of a claim, the memory of its tables and the share of outcomes under each fault.

#include <chrono>
#include <malloc.h>

#include <fmt/format.h>

#include "../tests/unit/claims_sim.h"

namespace bronzestand {
namespace {

using namespace std::chrono_literals;

/// Fields of a message without the lengths and names that a codec adds.
std::size_t payloadBytes(const ClaimMessage &Message) {
  constexpr std::size_t KeyBytes = 24;
  constexpr std::size_t HostBytes = 12;
  constexpr std::size_t OwnerBytes = HostBytes + 16;
  if (const auto *Request = std::get_if<ClaimRequest>(&Message))
    return KeyBytes + 8 + OwnerBytes + Request->Members_.size() * HostBytes;
  if (const auto *Vote = std::get_if<ClaimVote>(&Message))
    return KeyBytes + 8 + 1 + 8 + OwnerBytes + 8 + Vote->Known_.size() * 8;
  return KeyBytes + OwnerBytes;
}

/// Claims made by one executor at three witnesses without a network in between.
void measureClaims(int Count) {
  const std::vector<ClaimHost> Hosts{{HostId("host-0001"), DataCentreId("a"), RegionId("r")},
                                     {HostId("host-0002"), DataCentreId("b"), RegionId("r")},
                                     {HostId("host-0003"), DataCentreId("c"), RegionId("r")}};
  ClaimSettings Settings;
  TimePoint Now(1000s);
  std::map<HostId, Witness> Witnesses;
  for (const ClaimHost &Host : Hosts) {
    Witness &Made = Witnesses.try_emplace(Host.Id_, Host.Id_, 1, Now, Settings).first->second;
    Made.setHosts(Now, Hosts, 1);
  }
  Now += 700s;
  for (auto &[Id, Each] : Witnesses) {
    for (const ClaimSend &Probe : Each.tick(Now)) {
      for (const ClaimSend &Reply : Witnesses.at(Probe.To_).handle(Now, Id, Probe.Message_))
        Each.handle(Now, Probe.To_, Reply.Message_);
    }
  }
  const std::size_t MemoryBefore = mallinfo2().uordblks;
  auto Running = std::make_unique<Claimant>(Hosts[0].Id_, 1, Settings);
  Claimant &Executor = *Running;
  Executor.setHosts(Hosts, 1);

  std::size_t Messages = 0;
  std::size_t Bytes = 0;
  std::size_t Dispatched = 0;
  std::chrono::nanoseconds Spent{};
  for (int Number = 0; Number < Count; ++Number) {
    const ClaimKey Key{TeamId("team"), "POST /deposits", fmt::format("{:036}", Number)};
    ClaimEffects Effects;
    const auto Start = std::chrono::steady_clock::now();
    Executor.begin(Now, Key, 1, Effects);
    for (std::size_t At = 0; At < Effects.size(); ++At) {
      const auto *Out = std::get_if<ClaimSend>(&Effects[At]);
      if (Out == nullptr)
        continue;
      const ClaimSend Claim = *Out;
      for (const ClaimSend &Vote :
           Witnesses.at(Claim.To_).handle(Now, Hosts[0].Id_, Claim.Message_)) {
        Executor.handle(Now, Claim.To_, Vote.Message_, Effects);
        Messages += 2;
        Bytes += payloadBytes(Claim.Message_) + payloadBytes(Vote.Message_);
      }
    }
    Spent += std::chrono::steady_clock::now() - Start;
    for (const ClaimEffect &Each : Effects) {
      const auto *Made = std::get_if<ClaimDecided>(&Each);
      Dispatched += Made != nullptr && std::holds_alternative<ClaimDispatch>(Made->Decision_);
    }
  }
  const double Total = Count;
  const std::size_t Memory = mallinfo2().uordblks - MemoryBefore;
  fmt::print("{} claims, {} dispatched: {:.2f} us a claim (executor and three witnesses), "
             "{:.1f} messages, {:.0f} payload bytes\n",
             Count, Dispatched, static_cast<double>(Spent.count()) / 1000 / Total,
             static_cast<double>(Messages) / Total, static_cast<double>(Bytes) / Total);
  const auto Start = std::chrono::steady_clock::now();
  ClaimEffects None;
  Executor.tick(Now + 1s, None);
  for (auto &[Id, Each] : Witnesses)
    Each.tick(Now + 1s);
  const std::chrono::duration<double, std::micro> Ticks = std::chrono::steady_clock::now() - Start;
  fmt::print("tick with expiry of these four tables: {:.0f} us\n", Ticks.count());
  Running.reset();
  const double Witnessed = static_cast<double>(mallinfo2().uordblks - MemoryBefore) / 3;
  const double Executed = static_cast<double>(Memory) - 3 * Witnessed;
  fmt::print("memory: executor {:.1f} MB ({:.0f} bytes a key, without the answer), "
             "witness {:.1f} MB ({:.0f} bytes a key)\n",
             Executed / 1e6, Executed / Total, Witnessed / 1e6, Witnessed / Total);
}

void measureFault(const char *Name, const sim::Faults &Kinds, int Schedules) {
  std::map<std::string, int> Outcomes;
  int Violations = 0;
  for (int Seed = 1; Seed <= Schedules; ++Seed) {
    sim::Fleet Sim(Seed, 3 + Seed % 5, Kinds);
    runSchedule(Sim);
    for (const auto &[Outcome, Count] : Sim.Outcomes_)
      Outcomes[Outcome] += Count;
    Violations += Sim.Violation_.empty() ? 0 : 1;
  }
  const double Requests = Schedules * 60.0;
  fmt::print("{:<12} violations {}", Name, Violations);
  for (const auto &[Outcome, Count] : Outcomes)
    fmt::print(", {} {:.1f} %", Outcome, 100 * Count / Requests);
  fmt::print("\n");
}

} // namespace
} // namespace bronzestand

int main() {
  using bronzestand::measureFault;
  bronzestand::measureClaims(1000);
  bronzestand::measureClaims(100000);
  fmt::print("share of decisions per request (12 keys of 5 requests, 3 to 7 hosts, 100 seeds); "
             "a redirected request has two decisions\n");
  measureFault("none", {}, 100);
  measureFault("loss", {0.05, 0.1, 0, false, false, false, false}, 100);
  measureFault("late", {0, 0, 0.05, false, false, false, false}, 100);
  measureFault("crash", {0, 0, 0, true, false, false, false}, 100);
  measureFault("pause", {0, 0, 0, false, true, false, false}, 100);
  measureFault("partition", {0, 0, 0, false, false, true, false}, 100);
  measureFault("list change", {0, 0, 0, false, false, false, true}, 100);
  measureFault("all", {0.05, 0.1, 0.05, true, true, true, true}, 100);
  return 0;
}
