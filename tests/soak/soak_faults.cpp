// The faults of a soak run: what each kind does to nodes, links, store and servers.
#include <csignal>

#include <stdexcept>

#include <fmt/format.h>

#include "soak_run.h"

namespace bronzestand::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Nodes start within this time.
constexpr Duration StartTime = milliseconds(500);
constexpr Duration StoreDelay = milliseconds(600);
/// Entries of living servers are back this soon after the store.
constexpr int MaxReturnMs = 1500;
constexpr double ErrorShare = 0.5;
/// Resets of a server's connections come in this interval and refuse new ones for this time.
constexpr Duration ResetGap = milliseconds(100);
constexpr Duration ResetTime = milliseconds(15);
/// The kernel has loaded a program after this time.
constexpr Duration LoadTime = milliseconds(50);
/// Exit code of a process that a signal ended, less the signal.
constexpr int SignalExit = 128;
constexpr const char *Any = "*";

} // namespace

void SoakRun::inject(const Fault &Item) {
  switch (Item.Kind_) {
  case FaultKind::NodeTerm:
  case FaultKind::NodeKill:
  case FaultKind::NodePause:
  case FaultKind::NodeHup:
  case FaultKind::HerdKill:
    injectNode(Item);
    return;
  case FaultKind::LinksHold:
  case FaultKind::LinksOneWay:
  case FaultKind::LinksReset:
  case FaultKind::LinksSilent:
  case FaultKind::LinksDelay:
    injectLinks(Item);
    return;
  case FaultKind::ServerErrors:
  case FaultKind::ServerFull:
  case FaultKind::ServerSlow:
  case FaultKind::ServerReset:
  case FaultKind::ServerHold:
  case FaultKind::ServerLeaves:
    injectServer(Item);
    return;
  case FaultKind::ConfigChange:
    changeConfig();
    return;
  case FaultKind::Evacuate:
    evacuate(Daemons::dataCentreOf(Item.Target_), Item.For_);
    return;
  case FaultKind::ColdReturn:
    for (std::size_t Number = 0; Number < Nodes_.size(); ++Number)
      if (Daemons::dataCentreOf(Number) == Daemons::dataCentreOf(Item.Target_))
        endServer(Number, Item.For_);
    return;
  default:
    injectStore(Item);
    return;
  }
}

void SoakRun::injectNode(const Fault &Item) {
  switch (Item.Kind_) {
  case FaultKind::NodeTerm:
    terminate(Item.Target_, Item.For_);
    return;
  case FaultKind::NodeKill:
    kill(Item.Target_, Item.For_);
    return;
  case FaultKind::NodePause:
    pause(Item.Target_, Item.For_);
    return;
  case FaultKind::HerdKill:
    for (std::size_t Number = 0; Number < Nodes_.size(); Number += 2)
      kill((Item.Target_ + Number) % Nodes_.size(), Item.For_);
    return;
  default:
    if (Nodes_[Item.Target_].State_ != NodeState::Down)
      Daemons_.process(Item.Target_)->signal(SIGHUP);
    return;
  }
}

void SoakRun::terminate(std::size_t Number, Duration StartAfter) {
  Node &Item = Nodes_[Number];
  if (Item.State_ == NodeState::Down)
    return;
  Book_.disturb(Number, node::now());
  // A second signal ends the process at once, which planned work does not do.
  if (Item.State_ == NodeState::Stopping && Plan_.Profile_ == Profile::Planned)
    return;
  Daemons_.process(Number)->signal(SIGTERM);
  if (Item.State_ == NodeState::Stopping)
    return;
  Item.State_ = NodeState::Stopping;
  Item.Stopping_ = node::now();
  Item.Disturbed_ = Item.Pauses_ != 0;
  Item.StartAfter_ = StartAfter;
}

void SoakRun::kill(std::size_t Number, Duration StartAfter) {
  Node &Item = Nodes_[Number];
  if (Item.State_ == NodeState::Down)
    return;
  Book_.disturb(Number, node::now() + StartAfter + StartTime);
  Item.Disturbed_ = true;
  Item.StartAfter_ = StartAfter;
  Daemons_.process(Number)->signal(SIGKILL);
}

void SoakRun::pause(std::size_t Number, Duration For) {
  Node &Item = Nodes_[Number];
  if (Item.State_ == NodeState::Down)
    return;
  Book_.disturb(Number, node::now() + For);
  Item.Disturbed_ = true;
  ++Item.Pauses_;
  Daemons_.process(Number)->signal(SIGSTOP);
  after(For, [this, Number] {
    if (--Nodes_[Number].Pauses_ == 0 && Nodes_[Number].State_ != NodeState::Down)
      Daemons_.process(Number)->signal(SIGCONT);
  });
}

void SoakRun::watchNodes() {
  for (std::size_t Number = 0; Number < Nodes_.size(); ++Number)
    if (Nodes_[Number].State_ != NodeState::Down && !Daemons_.process(Number)->isRunning())
      noteEnd(Number);
}

void SoakRun::noteEnd(std::size_t Number) {
  Node &Item = Nodes_[Number];
  const Duration Took = node::now() - Item.Stopping_;
  const auto Code = Daemons_.process(Number)->wait(milliseconds(0));
  // A signal that reaches a new process before its first instruction ends it.
  const bool NeverBegan = (Code == SignalExit + SIGTERM || Code == SignalExit + SIGHUP) &&
                          node::now() - Item.Started_ < LoadTime &&
                          Daemons_.process(Number)->log().empty();
  if (Item.State_ == NodeState::Running && !Item.Disturbed_ && !NeverBegan)
    Book_.violated(Promise::EndsInGrace, "",
                   fmt::format("node {} ended by itself with {}", Number, Code.value_or(-1)));
  if (Item.State_ == NodeState::Stopping && !Item.Disturbed_ && !NeverBegan &&
      (Code != 0 || Took > Bounds().Grace_ + EndSlack))
    Book_.violated(Promise::EndsInGrace, "",
                   fmt::format("node {} ended with {} after {} ms", Number, Code.value_or(-1),
                               std::chrono::duration_cast<milliseconds>(Took).count()));
  Item.State_ = NodeState::Down;
  Book_.disturb(Number, node::now() + Item.StartAfter_ + StartTime);
  after(Item.StartAfter_, [this, Number] { startNode(Number); });
}

void SoakRun::startNode(std::size_t Number) {
  if (Ending_)
    return;
  Daemons_.start(Number);
  Node &Item = Nodes_[Number];
  Item.State_ = NodeState::Running;
  Item.Started_ = node::now();
  Item.Disturbed_ = false;
  if (Item.Pauses_ != 0)
    Daemons_.process(Number)->signal(SIGSTOP);
}

void SoakRun::injectLinks(const Fault &Item) {
  const std::string Host = Daemons_.hostName(Item.Target_);
  Book_.disturb(Item.Target_, node::now() + Item.For_);
  switch (Item.Kind_) {
  case FaultKind::LinksHold:
    Daemons_.setBoth(Host, "hold");
    break;
  case FaultKind::LinksReset:
    Daemons_.setBoth(Host, "cut");
    break;
  case FaultKind::LinksOneWay:
    Daemons_.setRule(Any, Host, "hold");
    break;
  case FaultKind::LinksDelay:
    Daemons_.setRule(Any, Host, "delay");
    break;
  default:
    Daemons_.freeze(Any, Host);
    Daemons_.freeze(Host, Any);
    return;
  }
  after(Item.For_, [this, Host] { Daemons_.setBoth(Host, "pass"); });
}

void SoakRun::injectStore(const Fault &Item) {
  const TimePoint End = node::now() + Item.For_;
  const std::string Name = Daemons::storeName(Item.Target_);
  switch (Item.Kind_) {
  case FaultKind::StoreHold:
  case FaultKind::StoreReset:
    Book_.disturb(Item.Target_, End);
    Daemons_.setBoth(Name, Item.Kind_ == FaultKind::StoreHold ? "hold" : "cut");
    after(Item.For_, [this, Name] { Daemons_.setBoth(Name, "pass"); });
    return;
  case FaultKind::StoreDown:
    Store_.setFailure(503);
    after(Item.For_, [this] { Store_.setFailure(0); });
    break;
  case FaultKind::StoreSilent:
    Store_.setSilent(true);
    after(Item.For_, [this] { Store_.setSilent(false); });
    break;
  case FaultKind::StoreSlow:
    Store_.setDelay(std::chrono::duration_cast<milliseconds>(StoreDelay));
    after(Item.For_, [this] { Store_.setDelay(milliseconds(0)); });
    break;
  case FaultKind::StoreForgets:
    Store_.holdWatches();
    changeConfig();
    after(Item.For_, [this] { Store_.forgetHistory(); });
    break;
  default:
    lapse(Item.For_);
    break;
  }
  Book_.disturbStore(End);
}

void SoakRun::lapse(Duration For) {
  Store_.setFailure(503);
  after(For / 2, [this] {
    for (const auto &Item : Servers_)
      Store_.remove("servers/" + Item->id());
  });
  after(For, [this] {
    Store_.setFailure(0);
    std::uniform_int_distribution<int> Return(0, MaxReturnMs);
    for (std::size_t Number = 0; Number < Nodes_.size(); ++Number)
      after(milliseconds(Return(Random_)), [this, Number] {
        if (!Nodes_[Number].Gone_)
          list(Number, Nodes_[Number].Leaves_ ? "draining" : "ready");
      });
  });
}

void SoakRun::injectServer(const Fault &Item) {
  Server &Target = *Servers_[Item.Target_];
  const std::string Name = Daemons::serverName(Item.Target_);
  switch (Item.Kind_) {
  case FaultKind::ServerErrors:
    Target.setErrorShare(ErrorShare);
    after(Item.For_, [&Target] { Target.setErrorShare(0.0); });
    return;
  case FaultKind::ServerFull:
    Target.setFull(true);
    after(Item.For_, [&Target] { Target.setFull(false); });
    return;
  case FaultKind::ServerSlow:
    Target.setSlow(true);
    after(Item.For_, [&Target] { Target.setSlow(false); });
    return;
  case FaultKind::ServerReset:
    Book_.disturb(Item.Target_, node::now() + Item.For_);
    // Again and again, so that requests are cut while they run.
    for (Duration At{}; At <= Item.For_; At += ResetGap) {
      after(At, [this, Name] { Daemons_.setBoth(Name, "cut"); });
      after(At + ResetTime, [this, Name] { Daemons_.setBoth(Name, "pass"); });
    }
    return;
  case FaultKind::ServerHold:
    Book_.disturb(Item.Target_, node::now() + Item.For_);
    Daemons_.setBoth(Name, "hold");
    after(Item.For_, [this, Name] { Daemons_.setBoth(Name, "pass"); });
    return;
  default:
    leave(Item.Target_, Item.For_);
    return;
  }
}

void SoakRun::endServer(std::size_t Number, Duration For) {
  if (Nodes_[Number].ServerDown_)
    return;
  Nodes_[Number].ServerDown_ = true;
  Book_.disturb(Number, node::now() + For);
  Servers_[Number]->end();
  after(For, [this, Number] {
    Node &Item = Nodes_[Number];
    Server &Target = *Servers_[Number];
    Item.ServerDown_ = false;
    Store_.remove("servers/" + Target.id());
    Target.replace();
    if (!Target.start().ok())
      throw std::runtime_error("a server can't listen again");
    if (Item.Gone_)
      return;
    if (Item.Leaves_)
      Book_.leaving(Target.id());
    list(Number, Item.Leaves_ ? "draining" : "ready");
  });
}

void SoakRun::evacuate(const std::string &DataCentre, Duration For) {
  if (!Evacuated_.insert(DataCentre).second)
    return;
  Store_.put("op/evacuate/" + DataCentre, "");
  Book_.evacuated(DataCentre, true);
  after(For, [this, DataCentre] {
    Evacuated_.erase(DataCentre);
    Store_.remove("op/evacuate/" + DataCentre);
    Book_.evacuated(DataCentre, false);
    for (std::size_t Number = 0; Number < Nodes_.size(); ++Number)
      if (Daemons::dataCentreOf(Number) == DataCentre)
        Servers_[Number]->turnCold();
  });
}

// The server drains and goes on for a while; later another one has its address.
void SoakRun::leave(std::size_t Number, Duration For) {
  Node &Item = Nodes_[Number];
  if (Item.Leaves_)
    return;
  Item.Leaves_ = true;
  list(Number, "draining");
  Book_.leaving(Servers_[Number]->id());
  after(For, [this, Number] {
    Store_.remove("servers/" + Servers_[Number]->id());
    Nodes_[Number].Gone_ = true;
    Servers_[Number]->replace();
  });
  after(For + seconds(1), [this, Number] {
    Nodes_[Number].Leaves_ = Nodes_[Number].Gone_ = false;
    list(Number, "ready");
  });
}

} // namespace bronzestand::soak
