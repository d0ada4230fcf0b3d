#ifndef BRONZESTAND_TESTS_MESH_READERS_FIXTURE_H
#define BRONZESTAND_TESTS_MESH_READERS_FIXTURE_H

#include <algorithm>

#include "bronzestand/store_readers.h"
#include "mesh_fixture.h"
#include "standins/earlier_node.h"
#include "standins/link_relay.h"

namespace bronzestand {

/// Nodes of one data centre, each with an event loop of its own, which can be stopped. The first
/// two in rank read from a replica of the store, which can fail for them alone.
struct MeshReadersFixture : MeshFixture {
  /// The number of nodes that read is two again within this time.
  static constexpr milliseconds SettleTime{6000};
  static constexpr milliseconds ChangeInterval{300};

  const std::uint16_t ReplicaPort_ = freePort();
  standin::PlatformStore Replica_{Io_, {"127.0.0.1", ReplicaPort_}};
  std::vector<std::unique_ptr<boost::asio::io_context>> Loops_;
  std::vector<std::unique_ptr<standin::LinkRelay>> Relays_;
  std::size_t EarlierCount_ = 0; ///< the first in rank are nodes of an earlier build
  std::vector<std::unique_ptr<standin::EarlierNode>> Earlier_;
  std::vector<std::string> Hosts_;  ///< in rank
  std::uint64_t LastVersion_ = 3;   ///< of the configuration in the store
  std::string ListedService_ = "s"; ///< of the servers that are listed and not running

  MeshReadersFixture() { REQUIRE(Replica_.start().ok()); }
  ~MeshReadersFixture() {
    // Before their event loops, which end with this class.
    Earlier_.clear();
    Nodes_.clear();
    Stopped_.clear();
    Replica_.stop();
  }
  MeshReadersFixture(const MeshReadersFixture &) = delete;
  MeshReadersFixture &operator=(const MeshReadersFixture &) = delete;

  /// \param Relayed all links between the first two nodes in rank and the others pass relays.
  void startFleet(std::size_t Count, bool Relayed = false) {
    std::vector<HostId> Hosts;
    for (std::size_t Index = 0; Index < Count; ++Index)
      Hosts.emplace_back("127.0.0." + std::to_string(Index + 2));
    for (standin::PlatformStore *Store : {&Store_, &Replica_}) {
      putConfig(*Store, LastVersion_, {"/x/"});
      for (const HostId &Host : Hosts)
        putServer(*Store, "i-" + Host.str(), Host.str(), ListedService_);
    }
    const std::uint16_t FollowerPort = PeerPort_;
    const std::uint16_t ReaderPort = Relayed ? freePort() : FollowerPort;
    for (const HostId &Host : StoreReaders::rank(Hosts)) {
      // A node connects to others at the port at which it listens itself.
      const bool Reader = Hosts_.size() < 2;
      PeerPort_ = Reader ? ReaderPort : FollowerPort;
      if (Relayed)
        Relays_.push_back(std::make_unique<standin::LinkRelay>(
            Io_, node::Endpoint{Host.str(), Reader ? FollowerPort : ReaderPort},
            node::Endpoint{Host.str(), PeerPort_}));
      Loops_.push_back(std::make_unique<boost::asio::io_context>());
      OtherLoops_.push_back(Loops_.back().get());
      const std::uint16_t StorePort = Reader ? ReplicaPort_ : StorePort_;
      if (Hosts_.size() < EarlierCount_) {
        Earlier_.push_back(std::make_unique<standin::EarlierNode>(
            *Loops_.back(), settingsOf(Host.str(), StorePort)));
        REQUIRE(Earlier_.back()->start());
        Nodes_.push_back(nullptr);
      } else {
        startNode(Host.str(), StorePort, Loops_.back().get());
      }
      Hosts_.push_back(Host.str());
    }
    REQUIRE(runUntil([&] { return readers() == 2 + EarlierCount_; }, SettleTime));
    REQUIRE(runUntil([&] { return Replica_.waitingWatches() == 2; }, SettleTime));
  }
  std::size_t readers() { return Store_.waitingWatches() + Replica_.waitingWatches(); }
  void put(std::uint64_t Version, const std::vector<std::string> &Prefixes) {
    LastVersion_ = Version;
    putConfig(Store_, Version, Prefixes);
    putConfig(Replica_, Version, Prefixes);
  }
  /// Ends the first two nodes in rank that are not of an earlier build at once.
  void killReaders() {
    for (const std::size_t Index : {EarlierCount_, EarlierCount_ + 1}) {
      Nodes_[Index]->shutdown();
      Nodes_[Index]->shutdown(); // the second call ends it without waiting
      Stopped_.push_back(std::move(Nodes_[Index]));
    }
  }
  void freeze(std::size_t Index) {
    OtherLoops_.erase(std::find(OtherLoops_.begin(), OtherLoops_.end(), Loops_[Index].get()));
  }
  void resume(std::size_t Index) { OtherLoops_.push_back(Loops_[Index].get()); }
  void wait(milliseconds Time) {
    const auto End = std::chrono::steady_clock::now() + Time;
    runUntil([&] { return std::chrono::steady_clock::now() >= End; }, 2 * Time);
  }
  /// Tells whether a condition on the state holds at all nodes from a position in rank on, in time.
  template <typename Condition>
  bool allFrom(std::size_t First, milliseconds Limit, Condition Holds) {
    const auto End = std::chrono::steady_clock::now() + Limit;
    for (std::size_t Index = First; Index < Hosts_.size(); ++Index)
      while (!Holds(stateOf(Hosts_[Index]).at("fleet_state")))
        if (std::chrono::steady_clock::now() > End)
          return false;
    return std::chrono::steady_clock::now() <= End;
  }
  bool allHave(std::uint64_t Version, std::size_t First = 0) {
    return allFrom(First, std::chrono::duration_cast<milliseconds>(ApplyTime_),
                   [&](const json &State) { return State["version"] == Version; });
  }
  /// Puts configurations for a time, one every 300 ms.
  /// \return the most milliseconds until a node from a position in rank on had one of them in
  /// force.
  milliseconds::rep slowestChange(std::size_t First, milliseconds Time) {
    using Clock = std::chrono::steady_clock;
    const std::uint64_t Before = LastVersion_;
    const auto End = Clock::now() + Time;
    std::vector<Clock::time_point> PutAt;
    std::vector<std::size_t> Applied(Hosts_.size());
    Clock::duration Slowest{};
    for (bool Complete = false; Clock::now() < End || (!Complete && Slowest < 3 * ApplyTime_);) {
      if (Clock::now() < End && (PutAt.empty() || Clock::now() - PutAt.back() >= ChangeInterval)) {
        PutAt.push_back(Clock::now());
        put(LastVersion_ + 1, {"/x/"});
      }
      Complete = true;
      for (std::size_t Index = First; Index < Hosts_.size(); ++Index) {
        const std::uint64_t Count = std::max(versionOf(Hosts_[Index]), Before) - Before;
        while (Applied[Index] < Count)
          Slowest = std::max(Slowest, Clock::now() - PutAt[Applied[Index]++]);
        if (Applied[Index] == PutAt.size())
          continue;
        Slowest = std::max(Slowest, Clock::now() - PutAt[Applied[Index]]);
        Complete = false;
      }
    }
    return std::chrono::duration_cast<milliseconds>(Slowest).count();
  }
  static bool follows(const json &State) {
    return !State["store_reader"]["follows"].get<std::string>().empty();
  }
  /// Returns the bytes that all nodes have sent to read the store together.
  double bytesSent() {
    double Sum = 0.0;
    for (const std::string &Host : Hosts_)
      Sum += stateOf(Host)["peer_links"]["sent"]["config_spread"]["bytes"].get<double>();
    return Sum;
  }
};

} // namespace bronzestand

#endif
