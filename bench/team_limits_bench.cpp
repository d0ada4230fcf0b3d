// Measures overshoot, wrong refusals, control traffic and time per decision of team limits and of
// two baselines, on a virtual clock.
#include "bronzestand/team_limits.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <queue>
#include <random>

#include <fmt/format.h>

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

/// Each node admits 1/N of rate and burst on its own, by its own list.
class StaticShare : public TeamLimitStrategy {
public:
  LimitDecision admit(TimePoint Now, const TeamId & /*Team*/, bool /*Retried*/) override {
    Bucket_.advance(Now, 1, Rate_ / Count_, Burst_ / Count_, TimePoint::max());
    if (Bucket_.Level_ < 1)
      return LimitDecision::Refuse;
    Bucket_.Level_ -= 1;
    return LimitDecision::Admitted;
  }
  void handle(TimePoint /*Now*/, const HostId & /*From*/, const LimitMessage & /*M*/) override {}
  void tick(TimePoint /*Now*/) override {}
  void setHosts(TimePoint /*Now*/, const std::vector<LimitHost> &Hosts) override {
    Count_ = static_cast<double>(Hosts.size());
  }
  void setTeam(TimePoint /*Now*/, const TeamId & /*Team*/, double Rate, double Burst) override {
    Rate_ = Rate;
    Burst_ = Burst;
  }
  std::vector<LimitEffect> takeEffects() override { return {}; }

private:
  detail::Bucket Bucket_;
  double Rate_ = 0, Burst_ = 0, Count_ = 1;
};

/// The first host of the list decides on each request; one message each way.
class SingleBroker : public TeamLimitStrategy {
public:
  explicit SingleBroker(HostId Self) : Self_(std::move(Self)) {}
  LimitDecision admit(TimePoint Now, const TeamId &Team, bool /*Retried*/) override {
    if (Broker_ == Self_)
      return take(Now) ? LimitDecision::Admitted : LimitDecision::Refuse;
    if (Granted_ > 0) {
      --Granted_;
      return LimitDecision::Admitted;
    }
    LeaseRequest Request;
    Request.Team_ = Team;
    Effects_.emplace_back(LimitSend{Broker_, Request});
    return LimitDecision::Hold;
  }
  void handle(TimePoint Now, const HostId &From, const LimitMessage &Message) override {
    if (const auto *Request = std::get_if<LeaseRequest>(&Message)) {
      LeaseGrant Grant;
      Grant.Team_ = Request->Team_;
      Grant.Tokens_ = take(Now) ? 1 : 0;
      Effects_.emplace_back(LimitSend{From, Grant});
    } else if (const auto *Grant = std::get_if<LeaseGrant>(&Message)) {
      Granted_ += Grant->Tokens_ > 0 ? 1 : 0;
      if (Grant->Tokens_ > 0)
        Effects_.emplace_back(LimitReady{Grant->Team_});
    }
  }
  void tick(TimePoint /*Now*/) override {}
  void setHosts(TimePoint /*Now*/, const std::vector<LimitHost> &Hosts) override {
    Broker_ = Hosts.front().Id_;
  }
  void setTeam(TimePoint /*Now*/, const TeamId & /*Team*/, double Rate, double Burst) override {
    Rate_ = Rate;
    Burst_ = Burst;
  }
  std::vector<LimitEffect> takeEffects() override { return std::exchange(Effects_, {}); }

private:
  bool take(TimePoint Now) {
    Bucket_.advance(Now, 1, Rate_, Burst_, TimePoint::max());
    if (Bucket_.Level_ < 1)
      return false;
    Bucket_.Level_ -= 1;
    return true;
  }
  HostId Self_, Broker_;
  detail::Bucket Bucket_;
  double Rate_ = 0, Burst_ = 0;
  std::uint32_t Granted_ = 0;
  std::vector<LimitEffect> Effects_;
};

enum class Kind { Ours, Static, Single };
enum class Fault { None, Loss, Duplication, Restart, Partition, Growth };
enum class Pattern { One, Few, All, Moving, Overload };
struct Packet {
  TimePoint At_;
  std::size_t From_ = 0, To_ = 0;
  LimitMessage Message_;
  bool operator<(const Packet &Other) const { return At_ > Other.At_; }
};
struct Result {
  double Overshoot_ = 0, Refused_ = 0, MessagesPerNode_ = 0, BytesPerNode_ = 0, MaxBytes_ = 0;
};

/// Estimated CBOR size: plain fields, plus names of hosts and teams and 45 bytes of envelope.
std::size_t sizeOf(const LimitMessage &Message) {
  const auto *Answer = std::get_if<JoinAnswer>(&Message);
  const std::size_t Hosts = Answer != nullptr ? Answer->Hosts_.size() * 8 : 0;
  static constexpr std::size_t Fields[] = {30, 25, 30, 55, 90, 70, 45, 20};
  return 45 + Fields[Message.index()] + Hosts;
}

class Fleet {
public:
  Fleet(Kind K, std::size_t Count, std::size_t Listed) : Kind_(K), Listed_(Listed) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      Hosts_.push_back({HostId(std::to_string(Index)), DataCentreId(std::to_string(Index % 4)),
                        RegionId(std::to_string(Index % 2))});
    Nodes_.resize(Count);
    Bytes_.resize(Count);
    for (std::size_t Index = 0; Index < Listed; ++Index)
      start(Index);
  }
  void start(std::size_t Index) {
    const LimitHost &Host = Hosts_[Index];
    if (Kind_ == Kind::Ours)
      Nodes_[Index] = std::make_unique<TeamLimits>(Host.Id_, Host.DataCentre_, ++Runs_, Now_);
    else if (Kind_ == Kind::Static)
      Nodes_[Index] = std::make_unique<StaticShare>();
    else
      Nodes_[Index] = std::make_unique<SingleBroker>(Host.Id_);
    Nodes_[Index]->setTeam(Now_, Team_, Rate_, Burst_);
    list(Index);
  }
  void list(std::size_t Index) {
    Nodes_[Index]->setHosts(
        Now_, {Hosts_.begin(), Hosts_.begin() + static_cast<std::ptrdiff_t>(Listed_)});
    flush(Index);
  }
  void flush(std::size_t Index) {
    for (const LimitEffect &Effect : Nodes_[Index]->takeEffects()) {
      const auto *Send = std::get_if<LimitSend>(&Effect);
      if (Send == nullptr) {
        Ready_.push_back(Index);
        continue;
      }
      const std::size_t To = std::stoul(Send->To_.str());
      ++Messages_;
      Bytes_[Index] += sizeOf(Send->Message_);
      const int Copies = Fault_ == Fault::Duplication && chance() < 0.2 ? 2 : 1;
      const bool Cut = Fault_ == Fault::Partition && Index % 2 != To % 2;
      if (Cut || (Fault_ == Fault::Loss && chance() < 0.05))
        continue;
      for (int Copy = 0; Copy < Copies; ++Copy)
        Network_.push({Now_ + (Index % 2 == To % 2 ? 1500us : 10000us) + Copy * 30ms, Index, To,
                       Send->Message_});
    }
  }
  void admit(std::size_t Index) {
    const LimitDecision Decision = Nodes_[Index]->admit(Now_, Team_);
    flush(Index);
    if (Decision == LimitDecision::Hold)
      Held_.push_back({Now_ + 50ms, Index});
    else
      settle(Decision == LimitDecision::Admitted);
  }
  void settle(bool Admitted) {
    ++(Admitted ? Admitted_ : Refused_);
    if (!Admitted)
      return;
    Bound_ = std::min(Burst_, Bound_ + Rate_ * std::chrono::duration<double>(Now_ - At_).count());
    Bound_ -= 1;
    At_ = Now_;
    Worst_ = std::min(Worst_, Bound_);
  }
  void step() {
    Now_ += 1ms;
    while (!Network_.empty() && Network_.top().At_ <= Now_) {
      const Packet Next = Network_.top();
      Network_.pop();
      Nodes_[Next.To_]->handle(Now_, Hosts_[Next.From_].Id_, Next.Message_);
      flush(Next.To_);
    }
    if (++Steps_ % 10 == 0)
      for (std::size_t Index = 0; Index < Listed_; ++Index) {
        Nodes_[Index]->tick(Now_);
        flush(Index);
      }
    for (const std::size_t Index : std::exchange(Ready_, {}))
      for (auto &Entry : Held_)
        if (Entry.second == Index && (Kind_ != Kind::Single || Entry.first != TimePoint{}) &&
            Nodes_[Index]->admit(Now_, Team_, true) == LimitDecision::Admitted) {
          settle(true);
          Entry.first = {};
          if (Kind_ == Kind::Single)
            break;
        }
    for (auto &Entry : Held_)
      if (Entry.first != TimePoint{} && Now_ >= Entry.first) {
        settle(false);
        Entry.first = {};
      }
    Held_.erase(std::remove_if(Held_.begin(), Held_.end(),
                               [](const auto &E) { return E.first == TimePoint{}; }),
                Held_.end());
  }
  double chance() { return std::uniform_real_distribution<double>(0, 1)(Random_); }
  void call(Pattern P) {
    const double PerStep = Rate_ / 1000 * (P == Pattern::Overload ? 4 : 0.85);
    const std::size_t Shift = P == Pattern::Moving ? static_cast<std::size_t>(Steps_ / 3000) : 0;
    const std::size_t Used =
        P == Pattern::One ? 1 : (P == Pattern::Few || P == Pattern::Moving ? 3 : Listed_);
    if (chance() < PerStep)
      admit((Shift + Random_() % Used) % Listed_);
  }

  Kind Kind_;
  Fault Fault_ = Fault::None;
  std::mt19937_64 Random_{11};
  std::vector<LimitHost> Hosts_;
  std::vector<std::unique_ptr<TeamLimitStrategy>> Nodes_;
  std::vector<std::size_t> Bytes_, Ready_;
  std::vector<std::pair<TimePoint, std::size_t>> Held_;
  std::priority_queue<Packet> Network_;
  std::size_t Listed_, Messages_ = 0, Admitted_ = 0, Refused_ = 0;
  Incarnation Runs_ = 0;
  std::int64_t Steps_ = 0;
  TeamId Team_{"t"};
  double Rate_ = 200, Burst_ = 40, Bound_ = 40, Worst_ = 0;
  TimePoint Now_{1h}, At_{1h};
};

Result measure(Kind K, std::size_t Count, Fault F, Pattern P, bool Calls, int Seconds) {
  Fleet Net(K, Count, F == Fault::Growth ? Count / 2 : Count);
  for (int Step = 0; Step < 3000; ++Step)
    Net.step();
  Net.Messages_ = 0;
  std::fill(Net.Bytes_.begin(), Net.Bytes_.end(), 0);
  Net.Fault_ = F;
  for (int Step = 0; Step < Seconds * 1000; ++Step) {
    if (F == Fault::Restart && Step % 2000 == 1000)
      Net.start(Net.Random_() % Count);
    if (F == Fault::Growth && Step == 3000) { // new hosts at once, old lists 5 s later
      const std::size_t Old = std::exchange(Net.Listed_, Count);
      for (std::size_t Index = Old; Index < Count; ++Index)
        Net.start(Index);
    }
    if (F == Fault::Growth && Step == 8000)
      for (std::size_t Index = 0; Index < Count; ++Index)
        Net.list(Index);
    if (Calls)
      Net.call(P);
    Net.step();
  }
  const double PerNode = static_cast<double>(Seconds) * static_cast<double>(Count);
  Result R;
  R.Overshoot_ = -Net.Worst_;
  R.Refused_ = static_cast<double>(Net.Refused_) /
               static_cast<double>(std::max<std::size_t>(1, Net.Admitted_ + Net.Refused_));
  R.MessagesPerNode_ = static_cast<double>(Net.Messages_) / PerNode;
  double Sum = 0;
  for (const std::size_t Bytes : Net.Bytes_) {
    Sum += static_cast<double>(Bytes);
    R.MaxBytes_ = std::max(R.MaxBytes_, static_cast<double>(Bytes) / Seconds);
  }
  R.BytesPerNode_ = Sum / PerNode;
  return R;
}

double microsecondsPerAdmit() {
  Fleet Net(Kind::Ours, 17, 17);
  for (int Step = 0; Step < 3000; ++Step) {
    Net.step();
    if (Step > 2000)
      Net.call(Pattern::One);
  }
  const auto Start = std::chrono::steady_clock::now();
  constexpr int Count = 200'000;
  for (int Index = 0; Index < Count; ++Index)
    (void)Net.Nodes_[0]->admit(Net.Now_ + std::chrono::microseconds(Index), Net.Team_);
  const std::chrono::duration<double, std::micro> Passed = std::chrono::steady_clock::now() - Start;
  return Passed.count() / Count;
}

} // namespace

int main() {
  static constexpr const char *Kinds[] = {"ours", "static", "single"};
  static constexpr const char *Faults[] = {"none",    "loss 5%",   "duplication",
                                           "restart", "partition", "growth"};
  static constexpr const char *Patterns[] = {"one", "few", "all", "moving", "overload"};
  fmt::print("17 hosts, rate 200/s, burst 40, demand 85 % of the rate (overload: 400 %), 20 s\n");
  fmt::print("{:12} {:9} {:>27} {:>30}\n", "fault", "pattern", "overshoot (requests)",
             "refused (%)");
  for (int F = 0; F < 6; ++F)
    for (int P = 0; P < 5; ++P) {
      Result R[3];
      for (int K = 0; K < 3; ++K)
        R[K] = measure(static_cast<Kind>(K), 17, static_cast<Fault>(F), static_cast<Pattern>(P),
                       true, 20);
      fmt::print("{:12} {:9}", Faults[F], Patterns[P]);
      for (int K = 0; K < 3; ++K)
        fmt::print(" {} {:.0f}", Kinds[K], R[K].Overshoot_);
      fmt::print("  |");
      for (int K = 0; K < 3; ++K)
        fmt::print(" {} {:.2f}", Kinds[K], 100 * R[K].Refused_);
      fmt::print("\n");
    }
  for (const std::size_t Count : {8U, 32U, 128U})
    for (const bool Busy : {false, true}) {
      const Result R = measure(Kind::Ours, Count, Fault::None, Pattern::All, Busy, 20);
      fmt::print("{} nodes {}: {:.1f} messages/s and {:.0f} B/s per node, {:.0f} B/s at most\n",
                 Count, Busy ? "busy" : "idle", R.MessagesPerNode_, R.BytesPerNode_, R.MaxBytes_);
    }
  fmt::print("{:.2f} us per admit\n", microsecondsPerAdmit());
  return 0;
}
