#include "bronzestand/membership.h"

#include <map>
#include <memory>
#include <set>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "virtual_network.h"

using namespace bronzestand;
using namespace bronzestand::testing;
using namespace std::chrono_literals;

namespace {

const HostId Peer("h1");
const TimePoint Start{1000s};

HostListSpec listOf(const std::string &Service, const std::vector<std::string> &Ids,
                    bool Leaving = false) {
  HostListSpec List;
  List.DataCentre_ = DataCentreId("colombo");
  List.Service_ = ServiceId(Service);
  for (const std::string &Id : Ids) {
    HostSpec Host;
    Host.Id_ = HostId(Id);
    Host.DataCentre_ = List.DataCentre_;
    Host.Service_ = List.Service_;
    Host.Leaving_ = Leaving;
    List.Hosts_.push_back(Host);
  }
  return List;
}

Heartbeat hello(Incarnation Run, std::uint32_t Epoch = 0, bool Leaving = false) {
  return {Run, Epoch, Leaving, TimePoint(), 0, TimePoint()};
}

struct MembershipFixture {
  MembershipFixture() { Hosts_.setList(Start, listOf("payments", {"h1", "h2"})); }
  bool receiveHeartbeat(TimePoint Now, Incarnation Run, std::uint32_t Epoch, bool Leaving = false) {
    MembershipEffects Out;
    const bool Accepted = Hosts_.noteSender(Now, Peer, Run, Epoch, Out);
    Hosts_.handle(Now, Peer, hello(Run, Epoch, Leaving));
    return Accepted;
  }
  template <typename Effect> std::size_t countEffects(TimePoint From, TimePoint End) {
    std::size_t Count = 0;
    for (TimePoint Now = From; Now <= End; Now += 100ms)
      for (const MembershipEffect &Item : Hosts_.tick(Now))
        Count += std::holds_alternative<Effect>(Item) ? 1 : 0;
    return Count;
  }
  Membership Hosts_{Start, {HostId("self"), 1}};
};

/// Nodes that are linked to each other over a simulated network with faults.
struct MembershipCluster {
  struct Node {
    std::unique_ptr<Membership> Hosts_;
    Incarnation Run_ = 0;
    TimePoint PausedUntil_;
    std::optional<TimePoint> LeftAt_;
    std::set<std::size_t> Linked_; ///< nodes that this run has completed a handshake with
  };
  static constexpr std::size_t Size = 4;

  explicit MembershipCluster(std::uint64_t Seed) : Net_(Seed), Nodes_(Size) {
    for (std::size_t Index = 0; Index < Size; ++Index) {
      start(Index);
      Net_.schedule(Net_.now() + Duration(Net_.randomBelow(100'000)),
                    [this, Index] { tick(Index); });
    }
  }
  static HostId name(std::size_t Index) { return HostId(fmt::format("n{}", Index)); }

  void start(std::size_t Index) {
    Node &Current = Nodes_[Index];
    Current.LeftAt_.reset();
    Current.Linked_.clear();
    Current.Hosts_ =
        std::make_unique<Membership>(Net_.now(), MembershipSettings{name(Index), ++Current.Run_});
    Current.Hosts_->setList(Net_.now(), listOf("payments", {"n0", "n1", "n2", "n3"}));
    for (std::size_t To = 0; To < Size; ++To)
      if (To != Index) {
        connect(Index, To);
        connect(To, Index);
      }
  }
  void connect(std::size_t From, std::size_t To) {
    Node &Current = Nodes_[From];
    if (!Current.Hosts_ || !Nodes_[To].Hosts_)
      return;
    // A handshake needs several answers from the peer, so it fails if the peer is cut off or
    // paused.
    if (Cut_ == From || Cut_ == To || Nodes_[To].PausedUntil_ > Net_.now())
      apply(From, Current.Hosts_->linkFailed(Net_.now(), name(To)));
    else {
      Current.Linked_.insert(To);
      apply(From, Current.Hosts_->linkOpened(Net_.now(), name(To),
                                             hello(Nodes_[To].Run_, Nodes_[To].Hosts_->epoch(),
                                                   Nodes_[To].LeftAt_.has_value())));
    }
  }
  void leave(std::size_t Index) {
    if (Nodes_[Index].PausedUntil_ > Net_.now())
      return;
    Nodes_[Index].LeftAt_ = Net_.now();
    apply(Index, Nodes_[Index].Hosts_->leave(Net_.now()));
  }
  void tick(std::size_t Index) {
    Node &Current = Nodes_[Index];
    if (Current.PausedUntil_ <= Net_.now()) {
      apply(Index, Current.Hosts_->tick(Net_.now()));
      countStaleLiveHosts(Index);
    }
    Net_.schedule(Net_.now() + 100ms, [this, Index] { tick(Index); });
  }
  /// Counts hosts that are returned as live more than 3 s after they began to leave. Skips hosts
  /// that this run never linked to, because a handshake precedes any call to them.
  void countStaleLiveHosts(std::size_t Index) {
    for (const HostSpec *Live : Nodes_[Index].Hosts_->liveInService(ServiceId("payments")))
      for (std::size_t Other = 0; Other < Size; ++Other)
        if (Live->Id_ == name(Other) && Other != Index && Nodes_[Other].LeftAt_ &&
            Nodes_[Index].Linked_.count(Other) != 0 && Net_.now() - *Nodes_[Other].LeftAt_ > 3s)
          ++StaleLiveHosts_;
  }
  void apply(std::size_t Index, const MembershipEffects &Effects) {
    for (const MembershipEffect &Effect : Effects) {
      if (const auto *Link = std::get_if<ReplaceLink>(&Effect))
        reconnect(Index, Link->Host_);
      else if (const auto *Probe = std::get_if<ProbeHost>(&Effect))
        reconnect(Index, Probe->Host_);
      else if (const auto *Send = std::get_if<SendMembership>(&Effect))
        deliver(Index, indexOf(Send->To_), Send->Message_);
    }
  }
  void reconnect(std::size_t Index, const HostId &To) {
    Net_.schedule(Net_.now() + 1ms, [this, Index, Other = indexOf(To)] { connect(Index, Other); });
  }
  static std::size_t indexOf(const HostId &Id) {
    return static_cast<std::size_t>(Id.str()[1] - '0');
  }
  void deliver(std::size_t From, std::size_t To, const MembershipMessage &Message) {
    if (Cut_ != From && Cut_ != To)
      Net_.deliver(1ms, [this, From, To, Message] { receive(From, To, Message); });
  }
  void receive(std::size_t From, std::size_t To, const MembershipMessage &Message) {
    if (Nodes_[To].PausedUntil_ > Net_.now())
      Net_.schedule(Nodes_[To].PausedUntil_,
                    [this, From, To, Message] { receive(From, To, Message); });
    else
      apply(To, Nodes_[To].Hosts_->handle(Net_.now(), name(From), Message));
  }
  void injectFault() {
    const std::size_t Index = Net_.randomBelow(Size);
    switch (Net_.randomBelow(5)) {
    case 0:
      Nodes_[Index].PausedUntil_ = Net_.now() + Duration(Net_.randomBelow(4'000'000));
      break;
    case 1:
      start(Index);
      break;
    case 2:
      leave(Index);
      break;
    case 3:
      Cut_ = Net_.randomBelow(Size + 1);
      break;
    default:
      Net_.Loss_ = static_cast<double>(Net_.randomBelow(40)) / 100.0;
    }
    Net_.runUntil(Net_.now() + Duration(Net_.randomBelow(1'500'000)));
  }

  VirtualNetwork Net_;
  std::vector<Node> Nodes_;
  std::size_t Cut_ = Size; ///< node that is cut off, Size for none
  std::uint64_t StaleLiveHosts_ = 0;
};

} // namespace

// Guards against a leaving host that still counts as live after 3 s, and against a host that does
// not become live again after the faults end.
TEST_CASE("membership_random_faults_leaving_host_is_not_live") {
  for (std::uint64_t Seed = 1; Seed <= seeds(3000); ++Seed) {
    MembershipCluster Cluster(Seed);
    Cluster.Net_.Duplication_ = 0.1;
    Cluster.Net_.LongDelay_ = 0.05;
    Cluster.Net_.Jitter_ = 100ms;
    for (int Step = 0; Step < 12; ++Step)
      Cluster.injectFault();
    Cluster.Net_.Loss_ = 0.0;
    Cluster.Net_.LongDelay_ = 0.0;
    Cluster.Cut_ = MembershipCluster::Size;
    for (auto &Node : Cluster.Nodes_)
      Node.PausedUntil_ = Cluster.Net_.now();
    Cluster.Net_.runUntil(Cluster.Net_.now() + 12s);
    INFO("seed " << Seed);
    REQUIRE(Cluster.StaleLiveHosts_ == 0);
    for (std::size_t Node = 0; Node < MembershipCluster::Size; ++Node)
      for (std::size_t Other = 0; Other < MembershipCluster::Size; ++Other) {
        const bool Left = Node != Other && Cluster.Nodes_[Other].LeftAt_.has_value();
        const HostState Expected = Left ? HostState::Leaving : HostState::Live;
        REQUIRE(Cluster.Nodes_[Node].Hosts_->state(MembershipCluster::name(Other)) == Expected);
      }
  }
}

// Guards against a leaving notice for an earlier run that marks a restarted host as leaving.
TEST_CASE_METHOD(MembershipFixture, "host_left_with_new_incarnation_is_live_again") {
  CHECK(receiveHeartbeat(Start, 7, 0));
  Hosts_.handle(Start, HostId("h2"), LeavingNotice{Peer, 7});
  CHECK(Hosts_.state(Peer) == HostState::Leaving);
  CHECK(receiveHeartbeat(Start, 8, 0));
  CHECK(Hosts_.state(Peer) == HostState::Live);
  Hosts_.handle(Start, Peer, LeavingNotice{Peer, 7});
  CHECK(Hosts_.state(Peer) == HostState::Live);
  CHECK_FALSE(receiveHeartbeat(Start, 7, 0, true));
}

// Guards against a leaving mark in an outdated list that keeps a restarted host from being used.
TEST_CASE_METHOD(MembershipFixture,
                 "host_marked_leaving_by_list_with_new_incarnation_is_live_again") {
  receiveHeartbeat(Start, 7, 0);
  Hosts_.setList(Start, listOf("payments", {"h1", "h2"}, true));
  CHECK(Hosts_.state(Peer) == HostState::Leaving);
  CHECK(Hosts_.state(HostId("h2")) == HostState::Leaving);
  receiveHeartbeat(Start, 8, 0);
  CHECK(Hosts_.state(Peer) == HostState::Live);
  Hosts_.setList(Start, listOf("payments", {"h1", "h2"}));
  CHECK(Hosts_.state(HostId("h2")) == HostState::Live);
}

// Guards against a host that becomes silent although its new connection works, and against calls
// to a silent host.
TEST_CASE_METHOD(MembershipFixture, "link_silent_is_replaced_before_host_is_silent") {
  Hosts_.linkOpened(Start, Peer, hello(7));
  CHECK(countEffects<ReplaceLink>(Start, Start + 2100ms) == 1);
  CHECK(Hosts_.state(Peer) == HostState::Live);
  SECTION("new connection works") {
    Hosts_.linkOpened(Start + 2200ms, Peer, hello(7));
    countEffects<ReplaceLink>(Start + 2200ms, Start + 4000ms);
    CHECK(Hosts_.state(Peer) == HostState::Live);
  }
  SECTION("no connection works") {
    Hosts_.linkFailed(Start + 2200ms, Peer);
    CHECK(countEffects<ProbeHost>(Start + 2200ms, Start + 10s) >= 1);
    CHECK(Hosts_.state(Peer) == HostState::Silent);
    CHECK(Hosts_.liveInService(ServiceId("payments")).size() == 1);
    Hosts_.linkOpened(Start + 10s, Peer, hello(7));
    CHECK(Hosts_.state(Peer) == HostState::Live);
  }
}

// Guards against accepting messages from before a pause of the sender, and against a resumed node
// that relies on observations from before its own pause or on delayed heartbeats.
TEST_CASE_METHOD(MembershipFixture, "membership_resumed_after_pause_starts_new_epoch") {
  Hosts_.linkOpened(Start, Peer, hello(7));
  const MembershipEffects Effects = Hosts_.tick(Start + 5s);
  REQUIRE_FALSE(Effects.empty());
  REQUIRE(std::holds_alternative<ProcessPaused>(Effects.front()));
  CHECK(std::get<ProcessPaused>(Effects.front()).Gap_ == 5s);
  CHECK(Hosts_.epoch() == 1);
  CHECK(Hosts_.state(Peer) == HostState::Silent);
  Hosts_.handle(Start + 5s, Peer, Heartbeat{7, 0, false, Start, 1, Start + 1s});
  CHECK(Hosts_.state(Peer) == HostState::Silent);
  Hosts_.handle(Start + 5s, Peer, Heartbeat{7, 0, false, Start, 1, Start + 5s});
  CHECK(Hosts_.state(Peer) == HostState::Live);

  receiveHeartbeat(Start + 5s, 7, 1);
  CHECK(Hosts_.state(Peer) == HostState::Paused);
  CHECK_FALSE(receiveHeartbeat(Start + 5s, 7, 0));
  countEffects<ProcessPaused>(Start + 5s, Start + 6100ms);
  CHECK(Hosts_.state(Peer) == HostState::Live);
}

// Guards against a host that is forgotten at once when an outdated list omits it.
TEST_CASE_METHOD(MembershipFixture, "host_off_list_is_gone_after_grace_period") {
  Hosts_.setList(Start, listOf("payments", {"h2"}));
  CHECK(Hosts_.listed() == 1);
  countEffects<ProcessPaused>(Start, Start + 19s);
  CHECK(Hosts_.state(Peer) == HostState::Leaving);
  countEffects<ProcessPaused>(Start + 19s, Start + 21s);
  CHECK(Hosts_.state(Peer) == HostState::Gone);
  CHECK(Hosts_.find(Peer) == nullptr);
}

// Guards against missing or stale index entries when a list change affects only some hosts.
TEST_CASE("indexes_random_list_changes_match_lists") {
  std::mt19937_64 Random(5);
  Membership Hosts(Start, {HostId("self"), 1});
  std::map<std::string, std::set<std::string>> Lists;
  for (int Step = 0; Step < 2000; ++Step) {
    const std::string Service = fmt::format("s{}", Random() % 4);
    std::set<std::string> Ids;
    for (std::uint64_t Count = Random() % 8; Count > 0; --Count)
      Ids.insert(fmt::format("{}-h{}", Service, Random() % 10));
    Lists[Service] = Ids;
    Hosts.setList(Start, listOf(Service, {Ids.begin(), Ids.end()}));
    std::size_t Total = 0;
    for (const auto &[Name, Expected] : Lists) {
      std::set<std::string> Found;
      for (const HostSpec *Host : Hosts.liveInService(ServiceId(Name)))
        Found.insert(Host->Id_.str());
      REQUIRE(Found == Expected);
      Total += Expected.size();
    }
    REQUIRE(Hosts.liveInDataCentre(DataCentreId("colombo")).size() == Total);
  }
}
