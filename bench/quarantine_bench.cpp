// Measures the quarantine on a virtual clock: crashes of backend servers by poison requests whose
// callers resend them, with and without the quarantine, and innocent requests quarantined.

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "bronzestand/quarantine.h"

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Nodes = 14;
constexpr std::size_t Teams = 8;
constexpr double CallsPerSecond = 155.0; // per node
constexpr double ServiceMs = 20.0;
constexpr double LossRate = 0.05;
constexpr Duration MessageDelay = 1500us;
constexpr Duration ResendDelay = 50ms;
constexpr Duration CrashDelay = 5ms; // from the start of a poison request
constexpr Duration RestartTime = 1s; // of a backend server
constexpr Duration RunTime = 20s;
constexpr Fingerprint FirstUnique = 1'000'000;
constexpr Fingerprint PopularCount = 40; // fingerprints 100 to 139 make half of the traffic

struct Result {
  std::size_t Crashes_ = 0;
  std::size_t CrashesUntilQuarantine_ = 0;
  Duration LastCrash_{};
  std::size_t Innocents_ = 0;
  std::size_t Missed_ = 0;
};

class Simulation {
public:
  Simulation(std::uint64_t Seed, Fingerprint PoisonCount, bool Enabled)
      : Random_(Seed), PoisonCount_(PoisonCount), Enabled_(Enabled) {
    std::set<HostId> Hosts;
    for (std::size_t Index = 0; Index < Nodes; ++Index)
      Hosts.insert(hostOf(Index));
    for (std::size_t Index = 0; Index < Nodes; ++Index) {
      Nodes_.push_back({std::make_unique<Quarantine>(hostOf(Index)), {}, {}});
      Nodes_.back().Logic_->setPeers(Now_, Hosts);
    }
  }

  Result run() {
    at(0us, [this] { arrive(); });
    at(0us, [this] { tick(); });
    for (Fingerprint Poison = 0; Poison < PoisonCount_; ++Poison)
      at(2s, [this, Poison] { request(Poison, RunTime); });
    while (!Events_.empty() && Events_.begin()->first < TimePoint(RunTime)) {
      auto Event = Events_.extract(Events_.begin());
      Now_ = Event.key();
      Event.mapped()();
    }
    for (Fingerprint Poison = 0; Poison < PoisonCount_; ++Poison)
      Result_.Missed_ += Blocked_.count(Poison) == 0 ? 1 : 0;
    Result_.Innocents_ = Blocked_.size() - (PoisonCount_ - Result_.Missed_);
    return Result_;
  }

private:
  struct Node {
    std::unique_ptr<Quarantine> Logic_;
    std::map<CallId, Fingerprint> Running_;
    TimePoint DownUntil_;
  };

  static HostId hostOf(std::size_t Index) { return HostId(fmt::format("h{:02}", Index)); }
  static TeamId teamOf(Fingerprint Print) { return TeamId(fmt::format("t{}", Print % Teams)); }
  void at(Duration Delay, std::function<void()> Action) {
    Events_.emplace(Now_ + Delay, std::move(Action));
  }

  void arrive() {
    const double Rate = CallsPerSecond * Nodes / 1e6;
    at(Duration(1 +
                static_cast<std::int64_t>(std::exponential_distribution<double>(Rate)(Random_))),
       [this] { arrive(); });
    request(Random_() % 2 == 0 ? 100 + Random_() % PopularCount : NextUnique_++, 1s);
  }

  /// Sends a request to a random node that is up; TimeLeft bounds waiting and resends.
  void request(Fingerprint Print, Duration TimeLeft) {
    if (TimeLeft <= 0us)
      return;
    const std::size_t Index = Random_() % Nodes;
    Node &Target = Nodes_[Index];
    if (Now_ < Target.DownUntil_) {
      at(5ms, [this, Print, TimeLeft] { request(Print, TimeLeft - 5ms); });
      return;
    }
    if (Enabled_) {
      const StartVerdict Verdict = Target.Logic_->mayStart(Now_, Print, teamOf(Print));
      if (Verdict == StartVerdict::Quarantined && Blocked_.insert(Print).second &&
          Print < PoisonCount_)
        Result_.CrashesUntilQuarantine_ = Result_.Crashes_;
      if (Verdict != StartVerdict::Start) {
        const Duration Wait = Verdict == StartVerdict::WaitAlone ? 5ms : ResendDelay;
        at(Wait, [this, Print, TimeLeft, Wait] { request(Print, TimeLeft - Wait); });
        return;
      }
    }
    start(Index, Print);
  }

  void start(std::size_t Index, Fingerprint Print) {
    const CallId Call = ++LastCall_;
    Node &Target = Nodes_[Index];
    Target.Running_[Call] = Print;
    if (Enabled_)
      Target.Logic_->started(Call, Print, teamOf(Print));
    const auto Ms = std::exponential_distribution<double>(1.0 / ServiceMs)(Random_);
    const bool Poison = Print < PoisonCount_;
    at(Poison ? CrashDelay : Duration(static_cast<std::int64_t>(Ms * 1'000)),
       [this, Index, Call, Poison] {
         Node &Server = Nodes_[Index];
         if (Server.Running_.count(Call) == 0)
           return; // ended by a crash
         if (Poison) {
           crash(Index);
           return;
         }
         Server.Running_.erase(Call);
         if (Enabled_)
           deliver(Index, Server.Logic_->finished(Now_, Call, true));
       });
  }

  void crash(std::size_t Index) {
    ++Result_.Crashes_;
    Result_.LastCrash_ = Now_ - TimePoint(2s);
    Node &Server = Nodes_[Index];
    Server.DownUntil_ = Now_ + RestartTime;
    for (const auto &[Call, Print] : Server.Running_) {
      const Fingerprint Resent = Print;
      const Duration TimeLeft = Resent < PoisonCount_ ? RunTime : 1s;
      at(ResendDelay, [this, Resent, TimeLeft] { request(Resent, TimeLeft); });
    }
    Server.Running_.clear();
    if (Enabled_)
      deliver(Index, Server.Logic_->crashed(Now_));
  }

  void deliver(std::size_t From, const std::vector<QuarantineSend> &Sends) {
    for (const QuarantineSend &Send : Sends) {
      if (std::uniform_real_distribution<double>()(Random_) < LossRate)
        continue;
      const std::size_t To = std::stoul(Send.To_.str().substr(1));
      at(MessageDelay, [this, From, To, Message = Send.Message_] {
        Nodes_[To].Logic_->handle(Now_, hostOf(From), Message);
      });
    }
  }

  void tick() {
    for (std::size_t Index = 0; Index < Nodes; ++Index)
      deliver(Index, Nodes_[Index].Logic_->tick(Now_));
    at(100ms, [this] { tick(); });
  }

  std::mt19937_64 Random_;
  Fingerprint PoisonCount_;
  bool Enabled_;
  TimePoint Now_{};
  std::vector<Node> Nodes_;
  std::multimap<TimePoint, std::function<void()>> Events_;
  std::set<Fingerprint> Blocked_;
  Fingerprint NextUnique_ = FirstUnique;
  CallId LastCall_ = 0;
  Result Result_;
};

void measure(Fingerprint PoisonCount, bool Enabled, std::uint64_t Seeds) {
  std::vector<std::size_t> Crashes;
  std::size_t Sum = 0;
  std::size_t Innocents = 0;
  std::size_t Missed = 0;
  Duration Longest{};
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const Result One = Simulation(Seed, PoisonCount, Enabled).run();
    Crashes.push_back(One.Crashes_);
    Sum += One.Crashes_;
    Innocents += One.Innocents_;
    Missed += One.Missed_;
    Longest = std::max(Longest, One.LastCrash_);
  }
  std::sort(Crashes.begin(), Crashes.end());
  fmt::print("{:>7}{:>12}{:>7}{:>10.2f}{:>8}{:>6}{:>16.3f}{:>11}{:>8}\n", PoisonCount,
             Enabled ? "on" : "off", Seeds, static_cast<double>(Sum) / static_cast<double>(Seeds),
             Crashes[Crashes.size() / 2], Crashes.back(),
             std::chrono::duration<double>(Longest).count(), Innocents, Missed);
  std::fflush(stdout);
}

} // namespace

int main() {
  fmt::print("{} nodes, {} calls/s each, {:.0f} % message loss, {} s per run\n", Nodes,
             CallsPerSecond, 100 * LossRate,
             std::chrono::duration_cast<std::chrono::seconds>(RunTime).count());
  fmt::print("{:>7}{:>12}{:>7}{:>10}{:>8}{:>6}{:>16}{:>11}{:>8}\n", "poison", "quarantine", "runs",
             "crashes", "median", "max", "last crash s", "innocents", "missed");
  for (const Fingerprint PoisonCount : {1, 3, 8}) {
    measure(PoisonCount, false, 10);
    measure(PoisonCount, true, 100);
  }
}
