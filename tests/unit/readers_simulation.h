#ifndef BRONZESTAND_READERS_SIMULATION_H
#define BRONZESTAND_READERS_SIMULATION_H

#include <deque>
#include <memory>
#include <optional>

#include "bronzestand/store_readers.h"
#include "virtual_network.h"

namespace bronzestand::testing {

using std::chrono::milliseconds;

/// Nodes of one data centre with StoreReaders on a virtual clock, and a store that they watch as
/// StoreWatch does. Deterministic for a seed.
class ReadersSimulation {
public:
  static constexpr Duration ApplyTime = milliseconds(3000);
  static constexpr Duration TickInterval = milliseconds(100);
  static constexpr Duration LinkLatency = milliseconds(1);
  static constexpr Duration StoreLatency = milliseconds(100);

  /// What a node can do. Silent: requests to the store get no response.
  struct Faults {
    bool Dead_ = false;
    bool Frozen_ = false;
    bool StoreSilent_ = false;
    bool StoreRefuses_ = false;
    bool StoreStale_ = false; ///< responses say that nothing changed since the fault began
    int Group_ = 0;           ///< nodes of different groups do not reach each other
  };
  struct Node {
    HostId Host_;
    std::unique_ptr<StoreReaders> Readers_;
    Faults Faults_;
    StorePosition Known_;
    TimePoint DisturbedAt_{}; ///< last time at which it did not run or not reach the store
    std::uint64_t Request_ = 0;
    bool Pending_ = false; ///< a request is sent or the next one is scheduled
    bool Responded_ = false;
    bool Probe_ = true;
    StorePosition StaleAt_;
    std::optional<TimePoint> BehindSince_;
    std::vector<std::function<void()>> Deferred_; ///< arrived while it was frozen
    std::uint64_t Calls_ = 0;
  };

  ReadersSimulation(std::size_t Count, std::uint64_t Seed) : Net_(Seed) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      Hosts_.emplace_back("10.0.0." + std::to_string(Index + 1));
    Nodes_.resize(Count);
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Nodes_[Index].Host_ = Hosts_[Index];
      restart(Index);
      Net_.schedule(Net_.now() + Duration(Net_.randomBelow(100'000)), [=] { tick(Index); });
    }
  }

  void run(Duration Time) { Net_.runUntil(Net_.now() + Time); }
  std::size_t size() const { return Nodes_.size(); }
  Node &at(std::size_t Index) { return Nodes_[Index]; }
  VirtualNetwork &network() { return Net_; }
  /// Returns the running nodes that read beside what they are told, or those that only cover.
  std::vector<std::size_t> readers(bool Covering = false) {
    std::vector<std::size_t> Result;
    for (std::size_t Index = 0; Index < size(); ++Index) {
      const ReadDuty Duty = Nodes_[Index].Readers_->duty(Net_.now());
      if (!Nodes_[Index].Faults_.Dead_ &&
          (Covering ? Duty == ReadDuty::Cover : Duty >= ReadDuty::Second))
        Result.push_back(Index);
    }
    return Result;
  }
  std::uint64_t calls() const {
    std::uint64_t Sum = 0;
    for (const Node &Item : Nodes_)
      Sum += Item.Calls_;
    return Sum;
  }
  /// Writes to the store; the change is acknowledged now.
  StorePosition change() {
    ++Store_.Revision_;
    Net_.schedule(Net_.now() + milliseconds(250), [this, Now = Store_] { Elsewhere_ = Now; });
    for (std::size_t Index = 0; Index < size(); ++Index)
      if (Nodes_[Index].Pending_ && !Nodes_[Index].Probe_)
        respond(Index, Nodes_[Index].Request_, Net_.now());
    return Store_;
  }
  /// Restores the store from a copy: a new era with fewer revisions.
  void restore() { Store_ = {Store_.Era_ + 1, Store_.Revision_ / 2}; }
  /// Applies a change of faults to a node.
  template <typename Function> void disturb(std::size_t Index, Function Change) {
    Node &Item = Nodes_[Index];
    const Faults Before = Item.Faults_;
    Change(Item.Faults_);
    Item.DisturbedAt_ = Net_.now();
    Item.StaleAt_ = Item.Known_;
    if (Before.Dead_ && !Item.Faults_.Dead_)
      restart(Index);
    if (Before.Frozen_ && !Item.Faults_.Frozen_)
      for (const auto &Action : std::exchange(Item.Deferred_, {}))
        Action();
  }
  /// Returns how many nodes that ran and reached the store since a time lack a change.
  std::size_t lacking(StorePosition Change, TimePoint Since) {
    std::size_t Count = 0;
    for (const Node &Item : Nodes_) {
      const Faults &Now = Item.Faults_;
      const bool Disturbed =
          Now.Dead_ || Now.Frozen_ || Now.StoreSilent_ || Now.StoreRefuses_ || Now.StoreStale_;
      Count += !Disturbed && Item.DisturbedAt_ < Since && Item.Known_ < Change ? 1 : 0;
    }
    return Count;
  }

  bool Calls_ = false;        ///< nodes compare positions by calls
  std::size_t Backwards_ = 0; ///< times at which a node went back

private:
  void restart(std::size_t Index) {
    Node &Item = Nodes_[Index];
    Item.Readers_ = std::make_unique<StoreReaders>(Item.Host_, ApplyTime);
    Item.Readers_->setHosts(Hosts_);
    Item.Known_ = {};
    Item.Deferred_.clear();
    ++Item.Request_;
    Item.Pending_ = false;
    request(Index, Duration::zero());
  }
  /// Runs an action at a node, later if it is frozen and never if it is dead.
  void runAt(std::size_t Index, const std::function<void()> &Action) {
    Node &Item = Nodes_[Index];
    if (Item.Faults_.Frozen_)
      Item.Deferred_.push_back(Action);
    else if (!Item.Faults_.Dead_)
      Action();
  }
  void send(std::size_t From, const HostId &To, const std::function<void(std::size_t)> &Action) {
    const auto Target =
        static_cast<std::size_t>(std::find(Hosts_.begin(), Hosts_.end(), To) - Hosts_.begin());
    Node &Sender = Nodes_[From];
    if (Nodes_[Target].Faults_.Dead_)
      Net_.schedule(Net_.now() + LinkLatency, [=] {
        runAt(From, [=] { Nodes_[From].Readers_->noteUnreachable(Net_.now(), To); });
      });
    else if (Sender.Faults_.Group_ == Nodes_[Target].Faults_.Group_)
      Net_.deliver(LinkLatency, [=] { runAt(Target, [=] { Action(Target); }); });
  }
  void setKnown(Node &Item, StorePosition Value) {
    Backwards_ += Value < Item.Known_ ? 1 : 0;
    Item.Known_ = std::max(Item.Known_, Value);
  }
  void tick(std::size_t Index) {
    Net_.schedule(Net_.now() + TickInterval, [=] { tick(Index); });
    Node &Item = Nodes_[Index];
    if (Item.Faults_.Dead_ || Item.Faults_.Frozen_)
      return;
    sendDue(Index);
    if (Calls_)
      compare(Item);
    const bool Forced = Item.BehindSince_ && Net_.now() - *Item.BehindSince_ > milliseconds(500);
    if (Forced)
      Item.BehindSince_.reset();
    if (!Item.Pending_ && (Forced || Item.Readers_->duty(Net_.now()) != ReadDuty::None))
      request(Index, Duration::zero());
  }
  /// Compares positions in a call with a node of another data centre.
  void compare(Node &Item) {
    if (Item.Known_ >= Elsewhere_)
      Item.BehindSince_.reset();
    else if (!Item.BehindSince_ && Item.Faults_.Group_ == 0)
      Item.BehindSince_ = Net_.now();
  }
  void sendDue(std::size_t Index) {
    Node &Item = Nodes_[Index];
    for (const ReaderMessage &Message :
         Item.Readers_->tick(Net_.now(), {Item.Known_, Item.Known_.Revision_, true}))
      send(Index, Message.To_, [=, From = Item.Host_](std::size_t To) {
        if (const auto *Follow = std::get_if<ReaderFollow>(&Message.Body_)) {
          Nodes_[To].Readers_->handle(Net_.now(), From, *Follow);
          sendDue(To);
        } else {
          onNotice(To, From, std::get<ReaderNotice>(Message.Body_));
        }
      });
  }
  /// A node that lacks a preceding change asks for the whole state after a while.
  void onNotice(std::size_t Index, const HostId &From, const ReaderNotice &Notice) {
    Node &Item = Nodes_[Index];
    Item.Readers_->handle(Net_.now(), From, Notice, Item.Known_);
    if (Notice.Known_ > Item.Known_)
      Net_.schedule(Net_.now() + milliseconds(400), [=] {
        runAt(Index,
              [=] { setKnown(Nodes_[Index], std::max(Nodes_[Index].Known_, Notice.Known_)); });
      });
  }
  void request(std::size_t Index, Duration Wait) {
    Node &Item = Nodes_[Index];
    const std::uint64_t Number = ++Item.Request_;
    Item.Pending_ = true;
    Item.Responded_ = false;
    Item.Probe_ = Wait == Duration::zero();
    ++Item.Calls_;
    if (Item.Faults_.StoreRefuses_) {
      Net_.schedule(Net_.now() + StoreLatency, [=] { runAt(Index, [=] { fail(Index, Number); }); });
      return;
    }
    if (!Item.Probe_ && Item.Known_ < Store_) {
      respond(Index, Number, Net_.now());
      return;
    }
    respond(Index, Number, Net_.now() + Wait);
    Net_.schedule(Net_.now() + Wait + ApplyTime * 35 / 100,
                  [=] { runAt(Index, [=] { fail(Index, Number); }); });
  }
  void respond(std::size_t Index, std::uint64_t Number, TimePoint Time) {
    Net_.schedule(Time, [=] {
      const Node &Item = Nodes_[Index];
      if (Item.Faults_.StoreSilent_ || Item.Request_ != Number)
        return;
      const StorePosition Found = Item.Faults_.StoreStale_ ? Item.StaleAt_ : Store_;
      Net_.schedule(Net_.now() + StoreLatency,
                    [=] { runAt(Index, [=] { onResponse(Index, Number, Found); }); });
    });
  }
  void onResponse(std::size_t Index, std::uint64_t Number, StorePosition Found) {
    Node &Item = Nodes_[Index];
    if (Item.Request_ != Number || Item.Responded_)
      return;
    Item.Responded_ = true;
    const StorePosition From = Item.Known_;
    const bool Changed = Found > From;
    setKnown(Item, std::max(Found, From));
    Item.Readers_->noteResponse(Net_.now());
    if (Changed && Found.Era_ == From.Era_)
      for (const HostId &Host : Item.Readers_->followers())
        send(Index, Host, [=](std::size_t To) {
          if (Nodes_[To].Known_ >= From && Nodes_[To].Known_ < Found)
            setKnown(Nodes_[To], Found);
        });
    sendDue(Index);
    Net_.schedule(Net_.now() + milliseconds(Changed ? 150 : 0),
                  [=] { runAt(Index, [=] { next(Index, Number); }); });
  }
  void next(std::size_t Index, std::uint64_t Number) {
    Node &Item = Nodes_[Index];
    if (Item.Request_ != Number)
      return;
    Item.Pending_ = false;
    const ReadDuty Duty = Item.Readers_->duty(Net_.now());
    if (Duty != ReadDuty::None)
      request(Index, Duty == ReadDuty::Second ? ApplyTime : ApplyTime / 2);
  }
  void fail(std::size_t Index, std::uint64_t Number) {
    Node &Item = Nodes_[Index];
    if (Item.Request_ != Number || Item.Responded_)
      return;
    Item.Pending_ = false;
    Item.Readers_->noteLost();
  }

  VirtualNetwork Net_;
  std::vector<HostId> Hosts_;
  std::vector<Node> Nodes_;
  StorePosition Store_{1, 100};
  StorePosition Elsewhere_; ///< what nodes of other data centres have
};

} // namespace bronzestand::testing

#endif
