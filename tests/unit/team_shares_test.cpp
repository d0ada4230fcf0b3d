#include "bronzestand/team_shares.h"

#include <algorithm>
#include <memory>
#include <random>
#include <set>

#include <catch2/catch.hpp>

using namespace bronzestand;

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double Rate = 100.0;
constexpr double Burst = 100.0;
/// Tolerance of the limits: a quarter and 20 requests in any window of 5 s.
constexpr double Window = 5.0;
constexpr double Overage = 1.25;
constexpr double Slack = 20.0;
constexpr Duration HoldTime = milliseconds(160);

/// Nodes with a virtual clock; an exchange with the broker takes no time, or has no answer.
struct SharesFixture {
  TeamId Team_{"hotels"};
  std::vector<HostId> Hosts_;
  std::vector<std::unique_ptr<TeamShares>> Nodes_;
  std::set<std::pair<std::size_t, std::size_t>> Cut_;
  TimePoint Now_{seconds(1000)};
  std::vector<TimePoint> Admitted_;
  int Refused_ = 0;

  explicit SharesFixture(std::size_t Count = 16) {
    for (std::size_t Number = 0; Number < Count; ++Number)
      Hosts_.emplace_back("10.0.0." + std::to_string(Number + 1));
    for (std::size_t Number = 0; Number < Count; ++Number) {
      Nodes_.emplace_back();
      restart(Number);
    }
  }
  void restart(std::size_t Number) {
    Nodes_[Number] = std::make_unique<TeamShares>(Hosts_[Number]);
    Nodes_[Number]->setHosts(Hosts_, {});
    Nodes_[Number]->setLimits(Now_, {{Team_, {Rate, Burst}}});
  }
  void setHosts(const std::set<HostId> &Down) {
    for (const auto &Node : Nodes_)
      Node->setHosts(Hosts_, Down);
  }
  bool isCut(std::size_t A, std::size_t B) const {
    return Cut_.count({std::min(A, B), std::max(A, B)}) != 0;
  }
  std::size_t numberOf(const HostId &Host) const {
    return static_cast<std::size_t>(std::find(Hosts_.begin(), Hosts_.end(), Host) - Hosts_.begin());
  }
  void ask(std::size_t Number) {
    const auto Ask = Nodes_[Number]->nextAsk(Now_, Team_);
    if (!Ask)
      return;
    const std::size_t Broker = numberOf(Ask->To_);
    if (!isCut(Number, Broker))
      Nodes_[Number]->granted(Now_, Nodes_[Broker]->serve(Now_, Team_, Ask->Count_));
  }
  void send(std::size_t Number) {
    TeamShares &Node = *Nodes_[Number];
    TeamShares::Verdict End = Node.admit(Now_, Team_);
    ask(Number);
    if (End == TeamShares::Verdict::Held)
      End = Node.decide(Now_, Team_);
    if (End == TeamShares::Verdict::Held)
      End = Node.decideAlone(Now_ + HoldTime, Team_);
    if (End == TeamShares::Verdict::Admitted)
      Admitted_.push_back(Now_);
    else
      ++Refused_;
  }
  /// Sends requests at random nodes.
  void run(Duration Time, double PerSecond, std::mt19937_64 &Random, std::size_t First = 0,
           std::size_t Last = 15) {
    const TimePoint End = Now_ + Time;
    std::exponential_distribution<double> Gap(PerSecond);
    std::uniform_int_distribution<std::size_t> Node(First, Last);
    for (;;) {
      Now_ += microseconds(static_cast<std::int64_t>(Gap(Random) * 1e6));
      if (Now_ >= End)
        return;
      send(Node(Random));
    }
  }
  int mostInWindow() const {
    int Most = 0;
    for (std::size_t First = 0, Last = 0; Last < Admitted_.size(); ++Last) {
      while (std::chrono::duration<double>(Admitted_[Last] - Admitted_[First]).count() > Window)
        ++First;
      Most = std::max(Most, static_cast<int>(Last - First + 1));
    }
    return Most;
  }
  static int allowed() { return static_cast<int>((Rate * Window + Burst) * Overage + Slack); }
};

} // namespace

// Guards against refusals of a team inside its rate, wherever its requests arrive.
TEST_CASE_METHOD(SharesFixture, "shares_team_inside_its_rate_is_hardly_refused") {
  std::mt19937_64 Random(1);
  run(seconds(10), Rate * 0.65, Random);
  run(seconds(10), Rate * 0.65, Random, 0, 1);
  run(seconds(10), Rate * 0.65, Random, 9, 9);
  CHECK(Refused_ <= 2);
}

// Guards against a team with many times its rate that gets more than its rate and burst.
TEST_CASE_METHOD(SharesFixture, "shares_greedy_team_gets_its_rate_and_no_more") {
  std::mt19937_64 Random(2);
  run(seconds(20), Rate * 6, Random);
  CHECK(mostInWindow() <= allowed());
  CHECK(static_cast<double>(Admitted_.size()) >= Rate * 20 * 0.95);
}

// Guards against two groups of nodes that both hand out the whole rate, and against a node that
// becomes a broker with a bucket that filled up in the meantime.
TEST_CASE_METHOD(SharesFixture, "shares_partition_and_new_broker_stay_within_tolerance") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    SharesFixture World;
    std::mt19937_64 Random(Seed);
    World.run(seconds(6), Rate * 4, Random);
    // A third of the nodes is cut off from the rest.
    for (std::size_t A = 0; A < 5; ++A)
      for (std::size_t B = 5; B < 16; ++B)
        World.Cut_.insert({A, B});
    World.run(seconds(4), Rate * 4, Random);
    // Each side finds that it can't reach the other.
    const std::set<HostId> Left(World.Hosts_.begin(), World.Hosts_.begin() + 5);
    const std::set<HostId> Right(World.Hosts_.begin() + 5, World.Hosts_.end());
    for (std::size_t Number = 0; Number < 16; ++Number)
      World.Nodes_[Number]->setHosts(World.Hosts_, Number < 5 ? Right : Left);
    World.run(seconds(6), Rate * 4, Random);
    World.Cut_.clear();
    World.setHosts({});
    World.run(seconds(6), Rate * 4, Random);
    INFO("seed " << Seed);
    REQUIRE(World.mostInWindow() <= allowed());
  }
}

// Guards against the whole rate on both sides of a partition, each with a broker of its own.
TEST_CASE_METHOD(SharesFixture, "shares_brokers_on_both_sides_share_the_rate") {
  std::mt19937_64 Random(5);
  const std::set<HostId> Left(Hosts_.begin(), Hosts_.begin() + 6);
  const std::set<HostId> Right(Hosts_.begin() + 6, Hosts_.end());
  for (std::size_t Number = 0; Number < 16; ++Number)
    Nodes_[Number]->setHosts(Hosts_, Number < 6 ? Right : Left);
  run(seconds(12), Rate * 4, Random);
  CHECK(mostInWindow() <= allowed());
}

// Guards against a fleet that starts with a burst for each node after all were killed.
TEST_CASE_METHOD(SharesFixture, "shares_restart_of_all_nodes_stays_within_tolerance") {
  std::mt19937_64 Random(3);
  run(seconds(6), Rate * 4, Random);
  Now_ += seconds(1);
  for (std::size_t Number = 0; Number < Nodes_.size(); ++Number)
    restart(Number);
  run(seconds(8), Rate * 4, Random);
  CHECK(mostInWindow() <= allowed());
}

// Guards against a team that is shut out while its broker does not answer.
TEST_CASE_METHOD(SharesFixture, "shares_silent_broker_leaves_a_part_of_the_rate") {
  for (std::size_t A = 0; A < 16; ++A)
    for (std::size_t B = A + 1; B < 16; ++B)
      Cut_.insert({A, B});
  std::mt19937_64 Random(4);
  run(seconds(10), Rate * 0.6, Random);
  CHECK(static_cast<double>(Admitted_.size()) >= Rate * 10 * 0.2);
  CHECK(mostInWindow() <= allowed());
}
