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

/// Shorter times than the defaults, in the same proportions of grace, skew and windows.
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
  double LateDelivery_ = 0; ///< share of messages delayed by up to 12 s
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
  Revision List_ = 0;
  TimePoint PausedUntil_;
  TimePoint NoListUntil_;
  bool Up_ = false;
};

/// A fleet on a virtual clock with a message network that injects faults from a seed.
class Fleet {
public:
  Fleet(std::uint64_t Seed, int Hosts, Faults Kinds, ClaimSettings Settings = shortSettings())
      : Random_(Seed), Kinds_(Kinds), Settings_(Settings), Now_(1000s) {
    for (int At = 0; At < Hosts; ++At) {
      auto &Made = Hosts_.emplace_back(std::make_unique<Host>());
      Made->Spec_ = {HostId(fmt::format("h{}", At)), DataCentreId(fmt::format("dc{}", At % 4)),
                     RegionId(At % 4 < 3 ? "near" : "far")};
      Listed_.insert(At);
    }
    Lists_.push_back(list());
    for (int At = 0; At < Hosts; ++At)
      start(At);
  }

  double chance() { return std::uniform_real_distribution<>(0, 1)(Random_); }
  int pick(int Count) { return std::uniform_int_distribution<>(0, Count - 1)(Random_); }
  Duration upTo(Duration Most) {
    return Duration(static_cast<Duration::rep>(chance() * static_cast<double>(Most.count())));
  }
  void at(Duration After, std::function<void()> Run) {
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

  ClaimKey key(bool Timed) {
    const auto Ms = unixMs() + (Timed && HasFaults_ ? pick(1600) - 800 : 0);
    const auto Hex = fmt::format("{:012x}", Ms);
    const auto Tail = fmt::format("{:012x}", ++KeyCount_);
    return {TeamId("t"), "POST /deposits",
            Timed ? Hex.substr(0, 8) + "-" + Hex.substr(8) + "-7000-8000-" + Tail : Tail};
  }

  /// Sends a request to a host; the outcome is counted under a name in Outcomes_.
  void call(int At, const ClaimKey &Key, std::uint64_t Body = 1,
            std::optional<Incarnation> Redirected = std::nullopt) {
    if (!isAwake(At)) {
      ++Outcomes_["unreachable"];
      return;
    }
    ClaimEffects Effects;
    Host &To = *Hosts_[At];
    // Ids are given in order, so that a decision inside begin finds its request.
    Requests_[{At, To.Incarnation_, ++IdOf_[{At, To.Incarnation_}]}] = {Key, Body};
    To.Claimant_->begin(Now_, Key, Body, Effects, Redirected);
    apply(At, Effects);
  }

  void crash(int At) {
    Host &Down = *Hosts_[At];
    Down.Up_ = false;
    at(100ms + upTo(2s), [this, At] { start(At); });
  }
  void stop(int At) { Hosts_[At]->Up_ = false; }
  void start(int At) {
    Host &Made = *Hosts_[At];
    Made.Up_ = true;
    const Incarnation Own = ++Made.Incarnation_;
    Made.Witness_ = std::make_unique<Witness>(Made.Spec_.Id_, Own, Now_, Settings_);
    Made.Claimant_ = std::make_unique<Claimant>(Made.Spec_.Id_, Own, Settings_);
    // A restarted host may at first have an older list.
    Made.List_ = 0;
    takeList(At, std::max<Revision>(1, Lists_.size() - (HasFaults_ ? pick(2) : 0)));
    at(upTo(2s), [this, At, Last = Lists_.size()] { takeList(At, Last); });
    tick(At, Own);
  }
  /// Changes the list; each host that is not cut off has it within half of the grace period.
  void changeList(int At) {
    if (Listed_.erase(At) == 0)
      Listed_.insert(At);
    Lists_.push_back(list());
    for (int Each = 0; Each < size(); ++Each)
      deliverList(Each, Lists_.size());
  }
  void startFaults();

  int size() const { return static_cast<int>(Hosts_.size()); }
  std::int64_t unixMs() const { return 1700000000000 + Now_.time_since_epoch().count() / 1000; }
  Host &host(int At) { return *Hosts_[At]; }

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
    for (const int At : Listed_)
      Specs.push_back(Hosts_[At]->Spec_);
    return Specs;
  }
  bool isAwake(int At) const { return Hosts_[At]->Up_ && Hosts_[At]->PausedUntil_ <= Now_; }
  void deliverList(int At, Revision Number) {
    const Duration Cut = std::max(Duration(0), Hosts_[At]->NoListUntil_ - Now_);
    at(Cut + upTo(HasFaults_ ? 1800ms : 50ms), [this, At, Number] { takeList(At, Number); });
  }
  void takeList(int At, Revision Number) {
    Host &To = *Hosts_[At];
    if (!To.Up_ || Number <= To.List_)
      return;
    if (To.PausedUntil_ > Now_) {
      at(To.PausedUntil_ - Now_ + 1ms, [this, At, Number] { takeList(At, Number); });
      return;
    }
    To.List_ = Number;
    To.Witness_->setWallClock(Now_, unixMs());
    send(At, To.Witness_->setHosts(Now_, Lists_[Number - 1], Number));
    To.Claimant_->setHosts(Lists_[Number - 1], Number);
  }
  void tick(int At, Incarnation Own) {
    Host &To = *Hosts_[At];
    if (!To.Up_ || To.Incarnation_ != Own)
      return;
    if (To.PausedUntil_ <= Now_) {
      ClaimEffects Effects;
      if (To.PausedUntil_ != TimePoint{}) {
        To.PausedUntil_ = {};
        To.Witness_->wakeAfterPause();
        To.Claimant_->wakeAfterPause(Now_, Effects);
      }
      send(At, To.Witness_->tick(Now_));
      To.Claimant_->tick(Now_, Effects);
      apply(At, Effects);
    }
    at(100ms, [this, At, Own] { tick(At, Own); });
  }
  int indexOf(const HostId &Id) const { return std::stoi(Id.str().substr(1)); }
  void send(int From, const std::vector<ClaimSend> &Sends) {
    for (const ClaimSend &Each : Sends)
      send(From, indexOf(Each.To_), Each.Message_);
  }
  void send(int From, int To, const ClaimMessage &Message) {
    ++Messages_;
    for (int Copy = 0; Copy < 2; ++Copy) {
      const bool IsLocal = From == To;
      if (Copy == 1 && (IsLocal || chance() >= Kinds_.Duplicate_))
        return;
      if (!IsLocal && (chance() < Kinds_.Loss_ || Cuts_.count({From, To}) != 0))
        continue;
      const Duration Late = chance() < Kinds_.LateDelivery_ ? upTo(12s) : upTo(3ms);
      at(IsLocal ? Duration(0) : Late, [this, From, To, Message] { deliver(From, To, Message); });
    }
  }
  void deliver(int From, int To, const ClaimMessage &Message) {
    Host &At = *Hosts_[To];
    if (!At.Up_)
      return;
    if (At.PausedUntil_ > Now_) {
      at(At.PausedUntil_ - Now_ + upTo(200ms),
         [this, From, To, Message] { deliver(From, To, Message); });
      return;
    }
    ClaimEffects Effects;
    const HostId Sender = Hosts_[From]->Spec_.Id_;
    if (isForClaimant(Message))
      At.Claimant_->handle(Now_, Sender, Message, Effects);
    else
      send(To, At.Witness_->handle(Now_, Sender, Message));
    apply(To, Effects);
  }
  void apply(int At, const ClaimEffects &Effects) {
    for (const ClaimEffect &Each : Effects) {
      if (const auto *Out = std::get_if<ClaimSend>(&Each))
        send(At, indexOf(Out->To_), Out->Message_);
      else
        decided(At, std::get<ClaimDecided>(Each));
    }
  }
  void decided(int At, const ClaimDecided &Each) {
    const RequestRef Ref{At, Hosts_[At]->Incarnation_, Each.Id_};
    Request &Of = Requests_.at(Ref);
    if (const auto *Refused = std::get_if<ClaimRefuse>(&Each.Decision_)) {
      ++Outcomes_[std::string(refusalInfo(Refused->Refusal_).Name_)];
      if (Of.Ran_ && refusalInfo(Refused->Refusal_).Outcome_ == Outcome::NotRun)
        Violation_ = "not-run refusal of a dispatched request";
    } else if (std::holds_alternative<ClaimReplay>(Each.Decision_)) {
      ++Outcomes_["replayed"];
    } else if (const auto *Elsewhere = std::get_if<ClaimRedirect>(&Each.Decision_)) {
      ++Outcomes_["redirected"];
      call(indexOf(Elsewhere->Host_), Of.Key_, Of.Body_, Elsewhere->Incarnation_);
    } else if (std::holds_alternative<ClaimDispatch>(Each.Decision_)) {
      write(Ref, HasFaults_ && chance() < 0.1 ? upTo(3s) : Duration(0));
    }
  }
  /// Writes the request to the backend server after the daemon's delay.
  void write(const RequestRef &Ref, Duration Delay) {
    at(Delay, [this, Ref] {
      const auto [At, Own, Id] = Ref;
      Host &On = *Hosts_[At];
      if (!On.Up_ || On.Incarnation_ != Own)
        return;
      if (On.PausedUntil_ > Now_) {
        write(Ref, On.PausedUntil_ - Now_ + 1ms);
        return;
      }
      Answer Result;
      Request &Of = Requests_.at(Ref);
      if (On.Claimant_->stillValid(Now_, Id)) {
        Of.Ran_ = true;
        ++Outcomes_["dispatched"];
        if (++Dispatches_[Of.Key_.IdempotencyKey_] > 1)
          Violation_ = "second dispatch of " + Of.Key_.IdempotencyKey_;
        Result.Outcome_ = HasFaults_ && chance() < 0.1 ? Outcome::Unknown : Outcome::Served;
        Result.Body_ = Of.Key_.IdempotencyKey_;
      } else {
        Result = Answer::refused(Id, Refusal::ClaimUnavailable);
      }
      at(Of.Ran_ ? 5ms + upTo(1s) : Duration(0), [this, Ref, Result] {
        const auto [At, Own, Id] = Ref;
        ClaimEffects Effects;
        if (Hosts_[At]->Up_ && Hosts_[At]->Incarnation_ == Own)
          Hosts_[At]->Claimant_->finished(Now_, Id, Result, Effects);
        apply(At, Effects);
      });
    });
  }
  void oneFault();

  std::mt19937_64 Random_;
  Faults Kinds_;
  ClaimSettings Settings_;
  TimePoint Now_;
  std::vector<std::unique_ptr<Host>> Hosts_;
  std::set<int> Listed_;
  std::vector<std::vector<ClaimHost>> Lists_;
  std::multimap<TimePoint, std::function<void()>> Queue_;
  std::set<std::pair<int, int>> Cuts_;
  std::map<RequestRef, Request> Requests_;
  std::map<std::pair<int, Incarnation>, ClaimId> IdOf_;
  std::uint64_t KeyCount_ = 0;
};

inline void Fleet::startFaults() {
  HasFaults_ = true;
  at(upTo(3s), [this] { oneFault(); });
}

inline void Fleet::oneFault() {
  const int At = pick(size());
  const int Kind = pick(4);
  if (Kind == 0 && Kinds_.Crash_ && isAwake(At)) {
    crash(At);
  } else if (Kind == 1 && Kinds_.Pause_ && isAwake(At)) {
    Hosts_[At]->PausedUntil_ = Now_ + upTo(chance() < 0.5 ? 1s : 15s);
  } else if (Kind == 2 && Kinds_.ListChange_ && (Listed_.size() > 2 || Listed_.count(At) == 0)) {
    changeList(At);
  } else if (Kind == 3 && Kinds_.Partition_) {
    // Up to half of the hosts are cut off, in one direction or both.
    const bool OneWay = chance() < 0.4;
    const int Count = 1 + pick(std::max(1, size() / 2));
    const Duration Time = upTo(10s);
    std::set<std::pair<int, int>> Cut;
    for (int Inside = At; Inside < At + Count; ++Inside) {
      Hosts_[Inside % size()]->NoListUntil_ = Now_ + Time;
      for (int Other = At + Count; Other < At + size(); ++Other) {
        Cut.insert({Inside % size(), Other % size()});
        if (!OneWay)
          Cut.insert({Other % size(), Inside % size()});
      }
    }
    Cuts_.insert(Cut.begin(), Cut.end());
    at(Time, [this, Cut] {
      for (const auto &Each : Cut)
        Cuts_.erase(Each);
    });
  }
  at(upTo(2s), [this] { oneFault(); });
}

/// Runs one seeded schedule: keys of both kinds, each resent to random hosts within its lifetime.
inline void runSchedule(Fleet &Sim, int Keys = 12) {
  Sim.runFor(28s); // opaque keys are accepted from here on
  Sim.startFaults();
  for (int Made = 0; Made < Keys; ++Made) {
    Sim.at(Sim.upTo(15s), [&Sim] {
      const ClaimKey Key = Sim.key(Sim.chance() < 0.5);
      for (int Sent = 0; Sent < 5; ++Sent)
        Sim.at(Sent == 0 ? Duration(0) : Sim.upTo(Sim.chance() < 0.5 ? 100ms : 17s),
               [&Sim, Key] { Sim.call(Sim.pick(Sim.size()), Key); });
    });
  }
  Sim.runFor(33s);
}

} // namespace bronzestand::sim

#endif
