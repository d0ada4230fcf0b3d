#ifndef BRONZESTAND_TESTS_CLAIMS_SIM_H
#define BRONZESTAND_TESTS_CLAIMS_SIM_H

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "bronzestand/claims.h"

namespace bronzestand::sim {

using namespace std::chrono_literals;

/// Returns shorter times than the defaults; grace, skew and windows keep their proportions.
inline ClaimSettings shortSettings() {
  ClaimSettings Settings;
  Settings.Lifetime_ = 20s;
  Settings.Grace_ = 4s;
  Settings.Skew_ = 1s;
  Settings.DispatchWindow_ = 1s;
  Settings.Timeout_ = 400ms;
  Settings.ProbeEvery_ = 500ms;
  return Settings;
}

struct Faults {
  double Loss_ = 0;
  double Duplicate_ = 0;
  double LateDelivery_ = 0; ///< share of messages that are delayed by up to 12 s
  bool Crash_ = false;
  bool Pause_ = false;
  bool Partition_ = false;
  bool ListChange_ = false;
};

struct Host {
  ClaimHost Spec_;
  std::unique_ptr<Witness> Witness_;
  std::unique_ptr<Claimant> Claimant_;
  Incarnation Incarnation_ = 0;
  Revision ListRevision_ = 0;
  TimePoint PausedUntil_;
  TimePoint ListBlockedUntil_;
  bool Up_ = false;
};

/// A fleet on a virtual clock. Faults and message delays are drawn from the seed.
class Fleet {
public:
  Fleet(std::uint64_t Seed, int Hosts, Faults EnabledFaults,
        ClaimSettings Settings = shortSettings())
      : Random_(Seed), EnabledFaults_(EnabledFaults), Settings_(Settings), Now_(1000s) {
    for (int HostIndex = 0; HostIndex < Hosts; ++HostIndex) {
      auto &NewHost = Hosts_.emplace_back(std::make_unique<Host>());
      NewHost->Spec_ = {HostId(fmt::format("h{}", HostIndex)),
                        DataCentreId(fmt::format("dc{}", HostIndex % 4)),
                        RegionId(HostIndex % 4 < 3 ? "near" : "far")};
      ListedHosts_.insert(HostIndex);
    }
    Lists_.push_back(list());
    for (int HostIndex = 0; HostIndex < Hosts; ++HostIndex)
      start(HostIndex);
  }

  double randomFraction() { return std::uniform_real_distribution<>(0, 1)(Random_); }
  int randomBelow(int Count) { return std::uniform_int_distribution<>(0, Count - 1)(Random_); }
  Duration randomDuration(Duration Max) {
    return Duration(
        static_cast<Duration::rep>(randomFraction() * static_cast<double>(Max.count())));
  }
  void schedule(Duration After, std::function<void()> Run) {
    Queue_.emplace(Now_ + After, std::move(Run));
  }

  void runFor(Duration Time) {
    const TimePoint End = Now_ + Time;
    while (!Queue_.empty() && Queue_.begin()->first <= End) {
      auto Node = Queue_.extract(Queue_.begin());
      Now_ = Node.key();
      Node.mapped()();
    }
    Now_ = End;
  }

  ClaimKey makeKey(bool Timed) {
    const auto UnixMs = unixMs() + (Timed && HasFaults_ ? randomBelow(1600) - 800 : 0);
    const auto Hex = fmt::format("{:012x}", UnixMs);
    const auto Tail = fmt::format("{:012x}", ++KeyCount_);
    return {TeamId("t"), "POST /deposits",
            Timed ? Hex.substr(0, 8) + "-" + Hex.substr(8) + "-7000-8000-" + Tail : Tail};
  }

  /// Sends a request to a host; the outcome is counted by name in Outcomes_.
  void call(int HostIndex, const ClaimKey &Key, std::uint64_t Body = 1,
            std::optional<Incarnation> Redirected = std::nullopt) {
    if (!isAwake(HostIndex)) {
      ++Outcomes_["unreachable"];
      return;
    }
    ClaimEffects Effects;
    Host &Target = *Hosts_[HostIndex];
    // Ids are assigned in order; the request is stored first because begin() may decide it at once.
    Requests_[{HostIndex, Target.Incarnation_, ++LastIds_[{HostIndex, Target.Incarnation_}]}] = {
        Key, Body};
    Target.Claimant_->begin(Now_, Key, Body, Effects, Redirected);
    apply(HostIndex, Effects);
  }

  void crash(int HostIndex) {
    Host &Crashed = *Hosts_[HostIndex];
    Crashed.Up_ = false;
    schedule(100ms + randomDuration(2s), [this, HostIndex] { start(HostIndex); });
  }
  void stop(int HostIndex) { Hosts_[HostIndex]->Up_ = false; }
  void start(int HostIndex) {
    Host &Started = *Hosts_[HostIndex];
    Started.Up_ = true;
    const Incarnation OwnIncarnation = ++Started.Incarnation_;
    Started.Witness_ =
        std::make_unique<Witness>(Started.Spec_.Id_, OwnIncarnation, Now_, Settings_);
    Started.Claimant_ = std::make_unique<Claimant>(Started.Spec_.Id_, OwnIncarnation, Settings_);
    // A restarted host may at first have an older list.
    Started.ListRevision_ = 0;
    takeList(HostIndex, std::max<Revision>(1, Lists_.size() - (HasFaults_ ? randomBelow(2) : 0)));
    schedule(randomDuration(2s), [this, HostIndex, NewestRevision = Lists_.size()] {
      takeList(HostIndex, NewestRevision);
    });
    tick(HostIndex, OwnIncarnation);
  }
  /// Adds the host to the list or removes it. Each host that is not cut off receives the list
  /// within half of the grace period.
  void changeList(int HostIndex) {
    if (ListedHosts_.erase(HostIndex) == 0)
      ListedHosts_.insert(HostIndex);
    Lists_.push_back(list());
    for (int Index = 0; Index < size(); ++Index)
      deliverList(Index, Lists_.size());
  }
  void startFaults();

  int size() const { return static_cast<int>(Hosts_.size()); }
  std::int64_t unixMs() const { return 1700000000000 + Now_.time_since_epoch().count() / 1000; }
  Host &host(int HostIndex) { return *Hosts_[HostIndex]; }

  std::map<std::string, int> Outcomes_;
  std::map<std::string, int> Dispatches_; ///< by idempotency key
  std::string Violation_;
  std::uint64_t Messages_ = 0;
  bool HasFaults_ = false;

private:
  struct Request {
    ClaimKey Key_;
    std::uint64_t Body_ = 0;
    bool Ran_ = false;
  };
  using RequestRef = std::tuple<int, Incarnation, ClaimId>;

  std::vector<ClaimHost> list() const {
    std::vector<ClaimHost> Specs;
    for (const int HostIndex : ListedHosts_)
      Specs.push_back(Hosts_[HostIndex]->Spec_);
    return Specs;
  }
  bool isAwake(int HostIndex) const {
    return Hosts_[HostIndex]->Up_ && Hosts_[HostIndex]->PausedUntil_ <= Now_;
  }
  void deliverList(int HostIndex, Revision ListRevision) {
    const Duration BlockedFor = std::max(Duration(0), Hosts_[HostIndex]->ListBlockedUntil_ - Now_);
    schedule(BlockedFor + randomDuration(HasFaults_ ? 1800ms : 50ms),
             [this, HostIndex, ListRevision] { takeList(HostIndex, ListRevision); });
  }
  void takeList(int HostIndex, Revision ListRevision) {
    Host &Target = *Hosts_[HostIndex];
    if (!Target.Up_ || ListRevision <= Target.ListRevision_)
      return;
    if (Target.PausedUntil_ > Now_) {
      schedule(Target.PausedUntil_ - Now_ + 1ms,
               [this, HostIndex, ListRevision] { takeList(HostIndex, ListRevision); });
      return;
    }
    Target.ListRevision_ = ListRevision;
    Target.Witness_->setWallClock(Now_, unixMs());
    send(HostIndex, Target.Witness_->setHosts(Now_, Lists_[ListRevision - 1], ListRevision));
    Target.Claimant_->setHosts(Lists_[ListRevision - 1], ListRevision);
  }
  void tick(int HostIndex, Incarnation OwnIncarnation) {
    Host &Target = *Hosts_[HostIndex];
    if (!Target.Up_ || Target.Incarnation_ != OwnIncarnation)
      return;
    if (Target.PausedUntil_ <= Now_) {
      ClaimEffects Effects;
      if (Target.PausedUntil_ != TimePoint{}) {
        Target.PausedUntil_ = {};
        Target.Witness_->wakeAfterPause();
        Target.Claimant_->wakeAfterPause(Now_, Effects);
      }
      send(HostIndex, Target.Witness_->tick(Now_));
      Target.Claimant_->tick(Now_, Effects);
      apply(HostIndex, Effects);
    }
    schedule(100ms, [this, HostIndex, OwnIncarnation] { tick(HostIndex, OwnIncarnation); });
  }
  int indexOf(const HostId &Id) const { return std::stoi(Id.str().substr(1)); }
  void send(int From, const std::vector<ClaimSend> &Sends) {
    for (const ClaimSend &Item : Sends)
      send(From, indexOf(Item.To_), Item.Message_);
  }
  void send(int From, int To, const ClaimMessage &Message) {
    ++Messages_;
    for (int Copy = 0; Copy < 2; ++Copy) {
      const bool IsLocal = From == To;
      if (Copy == 1 && (IsLocal || randomFraction() >= EnabledFaults_.Duplicate_))
        return;
      if (!IsLocal &&
          (randomFraction() < EnabledFaults_.Loss_ || BlockedLinks_.count({From, To}) != 0))
        continue;
      const Duration Delay = randomFraction() < EnabledFaults_.LateDelivery_ ? randomDuration(12s)
                                                                             : randomDuration(3ms);
      schedule(IsLocal ? Duration(0) : Delay,
               [this, From, To, Message] { deliver(From, To, Message); });
    }
  }
  void deliver(int From, int To, const ClaimMessage &Message) {
    Host &Receiver = *Hosts_[To];
    if (!Receiver.Up_)
      return;
    if (Receiver.PausedUntil_ > Now_) {
      schedule(Receiver.PausedUntil_ - Now_ + randomDuration(200ms),
               [this, From, To, Message] { deliver(From, To, Message); });
      return;
    }
    ClaimEffects Effects;
    const HostId Sender = Hosts_[From]->Spec_.Id_;
    if (isForClaimant(Message))
      Receiver.Claimant_->handle(Now_, Sender, Message, Effects);
    else
      send(To, Receiver.Witness_->handle(Now_, Sender, Message));
    apply(To, Effects);
  }
  void apply(int HostIndex, const ClaimEffects &Effects) {
    for (const ClaimEffect &Effect : Effects) {
      if (const auto *Sent = std::get_if<ClaimSend>(&Effect))
        send(HostIndex, indexOf(Sent->To_), Sent->Message_);
      else
        applyDecision(HostIndex, std::get<ClaimDecided>(Effect));
    }
  }
  void applyDecision(int HostIndex, const ClaimDecided &Decided) {
    const RequestRef Ref{HostIndex, Hosts_[HostIndex]->Incarnation_, Decided.Id_};
    Request &Current = Requests_.at(Ref);
    if (const auto *Refused = std::get_if<ClaimRefuse>(&Decided.Decision_)) {
      ++Outcomes_[std::string(refusalInfo(Refused->Refusal_).Name_)];
      if (Current.Ran_ && refusalInfo(Refused->Refusal_).Outcome_ == Outcome::NotRun)
        Violation_ = "not-run refusal of a dispatched request";
    } else if (std::holds_alternative<ClaimReplay>(Decided.Decision_)) {
      ++Outcomes_["replayed"];
    } else if (const auto *Redirect = std::get_if<ClaimRedirect>(&Decided.Decision_)) {
      ++Outcomes_["redirected"];
      call(indexOf(Redirect->Host_), Current.Key_, Current.Body_, Redirect->Incarnation_);
    } else if (std::holds_alternative<ClaimDispatch>(Decided.Decision_)) {
      write(Ref, HasFaults_ && randomFraction() < 0.1 ? randomDuration(3s) : Duration(0));
    }
  }
  /// Writes the request to the backend server after the delay, if the claim is still valid.
  void write(const RequestRef &Ref, Duration Delay) {
    schedule(Delay, [this, Ref] {
      const auto [HostIndex, OwnIncarnation, Id] = Ref;
      Host &Target = *Hosts_[HostIndex];
      if (!Target.Up_ || Target.Incarnation_ != OwnIncarnation)
        return;
      if (Target.PausedUntil_ > Now_) {
        write(Ref, Target.PausedUntil_ - Now_ + 1ms);
        return;
      }
      Answer Result;
      Request &Current = Requests_.at(Ref);
      if (Target.Claimant_->stillValid(Now_, Id)) {
        Current.Ran_ = true;
        ++Outcomes_["dispatched"];
        if (++Dispatches_[Current.Key_.IdempotencyKey_] > 1)
          Violation_ = "second dispatch of " + Current.Key_.IdempotencyKey_;
        Result.Outcome_ = HasFaults_ && randomFraction() < 0.1 ? Outcome::Unknown : Outcome::Served;
        Result.Body_ = Current.Key_.IdempotencyKey_;
      } else {
        Result = Answer::refused(Id, Refusal::ClaimUnavailable);
      }
      schedule(Current.Ran_ ? 5ms + randomDuration(1s) : Duration(0), [this, Ref, Result] {
        const auto [HostIndex, OwnIncarnation, Id] = Ref;
        ClaimEffects Effects;
        if (Hosts_[HostIndex]->Up_ && Hosts_[HostIndex]->Incarnation_ == OwnIncarnation)
          Hosts_[HostIndex]->Claimant_->finished(Now_, Id, Result, Effects);
        apply(HostIndex, Effects);
      });
    });
  }
  void injectFault();

  std::mt19937_64 Random_;
  Faults EnabledFaults_;
  ClaimSettings Settings_;
  TimePoint Now_;
  std::vector<std::unique_ptr<Host>> Hosts_;
  std::set<int> ListedHosts_;
  std::vector<std::vector<ClaimHost>> Lists_;
  std::multimap<TimePoint, std::function<void()>> Queue_;
  std::set<std::pair<int, int>> BlockedLinks_;
  std::map<RequestRef, Request> Requests_;
  std::map<std::pair<int, Incarnation>, ClaimId> LastIds_;
  std::uint64_t KeyCount_ = 0;
};

inline void Fleet::startFaults() {
  HasFaults_ = true;
  schedule(randomDuration(3s), [this] { injectFault(); });
}

inline void Fleet::injectFault() {
  const int HostIndex = randomBelow(size());
  const int FaultKind = randomBelow(4);
  if (FaultKind == 0 && EnabledFaults_.Crash_ && isAwake(HostIndex)) {
    crash(HostIndex);
  } else if (FaultKind == 1 && EnabledFaults_.Pause_ && isAwake(HostIndex)) {
    Hosts_[HostIndex]->PausedUntil_ = Now_ + randomDuration(randomFraction() < 0.5 ? 1s : 15s);
  } else if (FaultKind == 2 && EnabledFaults_.ListChange_ &&
             (ListedHosts_.size() > 2 || ListedHosts_.count(HostIndex) == 0)) {
    changeList(HostIndex);
  } else if (FaultKind == 3 && EnabledFaults_.Partition_) {
    // Up to half of the hosts are cut off, in one direction or both.
    const bool OneWay = randomFraction() < 0.4;
    const int Count = 1 + randomBelow(std::max(1, size() / 2));
    const Duration Time = randomDuration(10s);
    std::set<std::pair<int, int>> Links;
    for (int Inside = HostIndex; Inside < HostIndex + Count; ++Inside) {
      Hosts_[Inside % size()]->ListBlockedUntil_ = Now_ + Time;
      for (int Other = HostIndex + Count; Other < HostIndex + size(); ++Other) {
        Links.insert({Inside % size(), Other % size()});
        if (!OneWay)
          Links.insert({Other % size(), Inside % size()});
      }
    }
    BlockedLinks_.insert(Links.begin(), Links.end());
    schedule(Time, [this, Links] {
      for (const auto &Link : Links)
        BlockedLinks_.erase(Link);
    });
  }
  schedule(randomDuration(2s), [this] { injectFault(); });
}

/// Runs one seeded schedule of opaque and UUIDv7 keys, each sent to random hosts within its
/// lifetime.
inline void runSchedule(Fleet &Sim, int Keys = 12) {
  Sim.runFor(28s); // opaque keys are accepted from here on
  Sim.startFaults();
  for (int KeyNumber = 0; KeyNumber < Keys; ++KeyNumber) {
    Sim.schedule(Sim.randomDuration(15s), [&Sim] {
      const ClaimKey Key = Sim.makeKey(Sim.randomFraction() < 0.5);
      for (int SendNumber = 0; SendNumber < 5; ++SendNumber)
        Sim.schedule(SendNumber == 0 ? Duration(0)
                                     : Sim.randomDuration(Sim.randomFraction() < 0.5 ? 100ms : 17s),
                     [&Sim, Key] { Sim.call(Sim.randomBelow(Sim.size()), Key); });
    });
  }
  Sim.runFor(33s);
}

} // namespace bronzestand::sim

#endif
