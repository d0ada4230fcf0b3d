// Measures the balancer on a virtual clock: traffic to a slow, a failing-fast and a cold backend
// server against random and round-robin choice, and the time of a pick.

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "bronzestand/balancer.h"

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t HostCount = 14;
constexpr std::size_t EntryNodes = 14;
constexpr std::size_t Slots = 35;
constexpr double CallsPerSecond = 155.0; // per entry node, as at the two-year scale
constexpr double ServiceMs = 20.0;
constexpr Duration RunTime = 60s;
constexpr Duration ReturnTime = 20s; // the cold backend server is silent until then
constexpr Standing Ordinary{100, 0};
const ServiceId Service("orders");

std::vector<BalancerCandidate> candidates(std::size_t Count) {
  std::vector<BalancerCandidate> Result;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Result.push_back({HostId(fmt::format("h{}", Index)), Locality::SameDataCentre, 1, true});
  return Result;
}

enum class Fault { None, Slow, FailingFast, Cold };
enum class Policy { Random, RoundRobin, Balancer };

struct Result {
  std::size_t Calls_ = 0;
  std::size_t ToFaulty_ = 0;
  std::size_t Failed_ = 0;
  std::vector<std::int64_t> LatenciesUs_;
};

/// Host 0 has the fault. Each host serves first come, first served with a fixed number of slots.
class Simulation {
public:
  Simulation(Fault Kind, Policy Choice, std::uint64_t Seed)
      : Fault_(Kind), Policy_(Choice), Random_(Seed), Busy_(HostCount) {
    for (auto &Host : Busy_)
      Host.assign(Slots, TimePoint());
    List_ = candidates(HostCount);
    List_[0].Available_ = Kind != Fault::Cold;
    for (std::size_t Index = 0; Index < EntryNodes; ++Index) {
      Nodes_.push_back(std::make_unique<Balancer>(Seed * 100 + Index));
      Nodes_.back()->setHosts(Now_, Service, List_);
    }
    Next_.assign(EntryNodes, 0);
  }

  Result run() {
    std::exponential_distribution<double> Gap(CallsPerSecond * EntryNodes / 1e6);
    while (Now_ < TimePoint(RunTime)) {
      const TimePoint Arrival = Now_ + Duration(static_cast<std::int64_t>(Gap(Random_)) + 1);
      while (!Ends_.empty() && Ends_.top().Time_ <= Arrival)
        finishOne();
      Now_ = Arrival;
      if (!List_[0].Available_ && Now_ >= TimePoint(ReturnTime)) {
        List_[0].Available_ = true;
        for (auto &Node : Nodes_)
          Node->setHosts(Now_, Service, List_);
      }
      startOne();
    }
    return std::move(Result_);
  }

private:
  struct End {
    TimePoint Time_;
    std::size_t Node_;
    std::size_t Host_;
    CallReport Report_;
    bool operator<(const End &Other) const { return Time_ > Other.Time_; }
  };

  std::size_t choose(std::size_t Node) {
    const std::size_t First = List_[0].Available_ ? 0 : 1;
    if (Policy_ == Policy::Random)
      return First + Random_() % (HostCount - First);
    if (Policy_ == Policy::RoundRobin)
      return First + Next_[Node]++ % (HostCount - First);
    const HostId *Host = Nodes_[Node]->pick(Now_, Service, {}, Ordinary);
    return Host == nullptr ? HostCount : std::stoul(Host->str().substr(1));
  }

  void startOne() {
    const std::size_t Node = Random_() % EntryNodes;
    const std::size_t Host = choose(Node);
    const bool Counted = Fault_ != Fault::Cold || Now_ >= TimePoint(ReturnTime);
    if (Host == HostCount) {
      ++Result_.Calls_;
      ++Result_.Failed_;
      return;
    }
    double Ms = std::exponential_distribution<double>(1.0 / ServiceMs)(Random_);
    CallReport Report;
    if (Host == 0 && Fault_ == Fault::Slow)
      Ms *= 10;
    if (Host == 0 && Fault_ == Fault::FailingFast) {
      Ms = 0.2;
      Report.HttpStatus_ = 500;
    }
    if (Host == 0 && Fault_ == Fault::Cold) // 10 times slower, warm after 10 s
      Ms *= std::max(
          1.0, 10.0 - 0.9 * std::chrono::duration<double>(Now_ - TimePoint(ReturnTime)).count());
    const auto Slot = std::min_element(Busy_[Host].begin(), Busy_[Host].end());
    *Slot = std::max(*Slot, Now_) + Duration(static_cast<std::int64_t>(Ms * 1'000));
    Report.Latency_ = *Slot - Now_;
    Nodes_[Node]->started(Now_, List_[Host].Host_);
    Ends_.push({*Slot, Node, Host, Report});
    if (!Counted || (Fault_ == Fault::Cold && Now_ > TimePoint(ReturnTime + 10s)))
      return;
    ++Result_.Calls_;
    Result_.ToFaulty_ += Host == 0 ? 1 : 0;
    Result_.Failed_ += Report.HttpStatus_ == 500 ? 1 : 0;
    Result_.LatenciesUs_.push_back(Report.Latency_.count());
  }

  void finishOne() {
    const End Done = Ends_.top();
    Ends_.pop();
    Nodes_[Done.Node_]->finished(Done.Time_, List_[Done.Host_].Host_, Done.Report_);
  }

  Fault Fault_;
  Policy Policy_;
  std::mt19937_64 Random_;
  TimePoint Now_{};
  std::vector<std::vector<TimePoint>> Busy_;
  std::vector<BalancerCandidate> List_;
  std::vector<std::unique_ptr<Balancer>> Nodes_;
  std::vector<std::size_t> Next_;
  std::priority_queue<End> Ends_;
  Result Result_;
};

void measureShares() {
  const std::map<Fault, const char *> Faults{{Fault::None, "none"},
                                             {Fault::Slow, "slow (10 x)"},
                                             {Fault::FailingFast, "failing fast"},
                                             {Fault::Cold, "cold, first 10 s"}};
  const std::map<Policy, const char *> Policies{{Policy::Random, "random"},
                                                {Policy::RoundRobin, "round robin"},
                                                {Policy::Balancer, "balancer"}};
  fmt::print("{} hosts, {} entry nodes, {} calls/s each, fair share {:.2f} %, 5 seeds\n", HostCount,
             EntryNodes, CallsPerSecond, 100.0 / HostCount);
  fmt::print("{:<18}{:<13}{:>10}{:>12}{:>10}{:>10}\n", "fault of a host", "policy", "share %",
             "errors %", "p50 ms", "p99 ms");
  for (const auto &[Kind, FaultName] : Faults) {
    for (const auto &[Choice, PolicyName] : Policies) {
      Result Sum;
      for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
        const Result One = Simulation(Kind, Choice, Seed).run();
        Sum.Calls_ += One.Calls_;
        Sum.ToFaulty_ += One.ToFaulty_;
        Sum.Failed_ += One.Failed_;
        Sum.LatenciesUs_.insert(Sum.LatenciesUs_.end(), One.LatenciesUs_.begin(),
                                One.LatenciesUs_.end());
      }
      std::sort(Sum.LatenciesUs_.begin(), Sum.LatenciesUs_.end());
      const auto At = [&Sum](double Part) {
        const auto Index =
            static_cast<std::size_t>(Part * static_cast<double>(Sum.LatenciesUs_.size() - 1));
        return static_cast<double>(Sum.LatenciesUs_[Index]) / 1'000.0;
      };
      const auto Calls = static_cast<double>(Sum.Calls_);
      fmt::print("{:<18}{:<13}{:>10.3f}{:>12.3f}{:>10.1f}{:>10.1f}\n", FaultName, PolicyName,
                 100.0 * static_cast<double>(Sum.ToFaulty_) / Calls,
                 100.0 * static_cast<double>(Sum.Failed_) / Calls, At(0.5), At(0.99));
    }
  }
}

void measurePick(std::size_t Count) {
  constexpr int Picks = 1'000'000;
  Balancer Node(1);
  TimePoint Now{};
  Node.setHosts(Now, Service, candidates(Count));
  const auto Start = std::chrono::steady_clock::now();
  for (int Index = 0; Index < Picks; ++Index) {
    Now += 6ms;
    const HostId *Host = Node.pick(Now, Service, {}, Ordinary);
    Node.started(Now, *Host);
    CallReport Report;
    Report.Latency_ = Duration(10'000 + Index % 5'000);
    Node.finished(Now, *Host, Report);
  }
  const std::chrono::duration<double, std::nano> Both = std::chrono::steady_clock::now() - Start;
  const auto PickStart = std::chrono::steady_clock::now();
  std::size_t Found = 0;
  for (int Index = 0; Index < Picks; ++Index)
    Found += Node.pick(Now, Service, {}, Ordinary) != nullptr ? 1 : 0;
  const std::chrono::duration<double, std::nano> Pick =
      std::chrono::steady_clock::now() - PickStart;
  fmt::print("{} hosts: {:.0f} ns per pick, {:.0f} ns per pick, started and finished ({} found)\n",
             Count, Pick.count() / Picks, Both.count() / Picks, Found);
}

} // namespace

int main() {
  measureShares();
  for (const std::size_t Count : {HostCount, std::size_t{880}})
    measurePick(Count);
}
