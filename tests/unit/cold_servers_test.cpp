#include <map>
#include <queue>
#include <random>

#include <catch2/catch.hpp>

#include "bronzestand/backend_choice.h"
#include "bronzestand/cold_limit.h"
#include "bronzestand/dispatcher.h"
#include "window_count.h"

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};
constexpr Duration Step = 1ms;
constexpr Duration LinkTime = 1ms;
constexpr Duration Objective = 1s;
constexpr std::size_t Entries = 76;
constexpr int MaxTries = 3;
constexpr double ColdRate = 13.0;
constexpr int MostPerSecond = 27; ///< 13 * 1.5 + 8
constexpr std::uint8_t UrgentRank = 250;
constexpr std::uint8_t OtherRank = 100;
const ServiceId Service("s");

struct SimCall {
  std::size_t Entry_ = 0;
  bool Urgent_ = false;
  std::set<std::string> Tried_;
};

/// A server with the node beside it, which refuses calls that would wait as BackendGate does.
struct SimServer {
  ColdLimit Limit_{Start};
  FairQueue Queue_{true, true};
  std::map<CallId, SimCall> Waiting_;
  std::vector<TimePoint> Arrivals_;
  std::vector<TimePoint> Asked_; ///< calls that reached the node
  TimePoint ColdUntil_ = Start;
  CallId Last_ = 0;

  Duration serveTime(TimePoint Now) const { return Now < ColdUntil_ ? 60ms : 30ms; }
  BackendLoad load(TimePoint Now) const {
    BackendLoad Result{0, static_cast<std::uint32_t>(Queue_.size()), 40, 30ms, false};
    Result.Rate_ = Limit_.rate(Now).value_or(0.0);
    Result.RateWait_ = Limit_.timeUntil(Now, Queue_.size() + 1);
    return Result;
  }
  bool fits(TimePoint Now, std::uint8_t Rank) const {
    const auto Rate = Limit_.rate(Now);
    const auto Most = std::max(std::chrono::duration<double>(Objective) * 0.15,
                               std::chrono::duration<double>(1.0 / Rate.value_or(1.0)));
    return !Rate || Limit_.timeUntil(Now, Queue_.ahead(Rank, TeamId()) + 1) <= Most;
  }
};

/// Entry nodes that choose among servers of a service, on virtual time.
struct ColdFleet {
  using Event = std::pair<TimePoint, std::function<void()>>;
  struct Later {
    bool operator()(const Event &A, const Event &B) const { return A.first > B.first; }
  };

  TimePoint Now_ = Start;
  BackendDirectory Directory_;
  std::vector<BackendChoice> Choices_;
  std::map<std::string, SimServer> Servers_;
  std::priority_queue<Event, std::vector<Event>, Later> Events_;
  std::mt19937 Random_{7};
  std::map<bool, int> Offered_; ///< by urgency
  std::map<bool, int> Served_;
  double Due_ = 0.0;
  double DueUrgent_ = 0.0;

  ColdFleet() {
    for (std::size_t Index = 0; Index < Entries; ++Index) {
      Choices_.emplace_back(DataCentreId("a"),
                            std::unordered_map<std::string, std::string>{{"a", "r"}, {"b", "r"}},
                            Index);
      Choices_.back().setColdServices({Service});
    }
  }
  /// Lists a server.
  void list(const std::string &Id, const std::string &Centre, std::uint64_t StartedMs,
            Duration ColdFor) {
    BackendServer Item;
    Item.Id_ = Id;
    Item.Host_ = HostId(Id);
    Item.Port_ = 80;
    Item.Service_ = Service;
    Item.DataCentre_ = DataCentreId(Centre);
    Item.Slots_ = 40;
    Item.StartedMs_ = StartedMs;
    Item.ColdFor_ = ColdFor;
    Directory_.put(Item);
  }
  /// Starts a server and lists it.
  void put(const std::string &Id, const std::string &Centre, std::uint64_t StartedMs,
           Duration ColdFor) {
    list(Id, Centre, StartedMs, ColdFor);
    SimServer &Server = Servers_[Id];
    Server.ColdUntil_ = Now_ + ColdFor;
    if (Server.Limit_.state(Now_) == Temperature::Off)
      Server.Limit_.configured(Now_, ColdRate, 1.5, 8.0);
    Server.Limit_.listed(Now_, Id, StartedMs, ColdFor);
    Server.Limit_.connectionLost(Now_);
  }
  void updateChoices() {
    for (BackendChoice &Choice : Choices_)
      Choice.update(Now_, Directory_);
  }
  void after(Duration Time, std::function<void()> Action) {
    Events_.emplace(Now_ + Time, std::move(Action));
  }
  void answer(const SimCall &Call, const std::string &Id, AttemptResult Result) {
    const BackendLoad Load = Servers_[Id].load(Now_);
    after(LinkTime, [this, Call, Id, Result, Load] {
      Choices_[Call.Entry_].report(Now_, Id, Load);
      Choices_[Call.Entry_].finished(Now_, Id, Result);
      if (Result == AttemptResult::Served)
        ++Served_[Call.Urgent_];
      else
        attempt(Call);
    });
  }
  void attempt(SimCall Call) {
    if (Call.Tried_.size() >= MaxTries)
      return;
    BackendChoice &Choice = Choices_[Call.Entry_];
    const BackendServer *Chosen =
        Choice.choose(Now_, Directory_, Service, {Call.Tried_, {}, {}}, Objective, 1000.0);
    if (Chosen == nullptr)
      return;
    const std::string Id = Chosen->Id_;
    Call.Tried_.insert(Id);
    Choice.started(Id);
    after(LinkTime, [this, Call, Id] { submit(Call, Id); });
  }
  void submit(const SimCall &Call, const std::string &Id) {
    SimServer &Server = Servers_[Id];
    Server.Asked_.push_back(Now_);
    const std::uint8_t Rank = Call.Urgent_ ? UrgentRank : OtherRank;
    if (!Server.fits(Now_, Rank)) {
      answer(Call, Id, AttemptResult::Busy);
      return;
    }
    QueueEntry Entry;
    Entry.Id_ = ++Server.Last_;
    Entry.Standing_.ClassRank_ = Rank;
    Entry.Deadline_ = Now_ + Objective;
    Server.Queue_.push(Now_, Entry);
    Server.Waiting_[Entry.Id_] = Call;
  }
  void runServer(const std::string &Id, SimServer &Server) {
    if (Server.Limit_.healthDue(Now_)) {
      Server.Limit_.healthSent(Now_);
      Server.Arrivals_.push_back(Now_);
      after(3ms, [this, &Server] {
        Server.Limit_.healthEnded(Now_, std::max(Duration::zero(), Server.ColdUntil_ - Now_));
      });
    }
    while (const QueueEntry *First = Server.Queue_.earliest()) {
      if (First->Deadline_ > Now_)
        break;
      const CallId Number = First->Id_;
      Server.Queue_.erase(Number);
      Server.Waiting_.erase(Number);
    }
    while (!Server.Queue_.empty() && Server.Limit_.timeUntil(Now_, 1) == Duration::zero()) {
      const CallId Number = Server.Queue_.pop(Now_, false).Entry_.Id_;
      const SimCall Call = Server.Waiting_.at(Number);
      Server.Waiting_.erase(Number);
      Server.Limit_.sent(Now_);
      Server.Arrivals_.push_back(Now_);
      after(Server.serveTime(Now_), [this, Call, Id, &Server, SentAt = Now_] {
        Server.Limit_.answered(Now_, SentAt, Start);
        answer(Call, Id, AttemptResult::Served);
      });
    }
  }
  void offer(bool Urgent) {
    ++Offered_[Urgent];
    attempt({Random_() % Entries, Urgent, {}});
  }
  void run(Duration Time, double PerSecond, double UrgentPerSecond) {
    const double StepS = std::chrono::duration<double>(Step).count();
    for (const TimePoint End = Now_ + Time; Now_ < End; Now_ += Step) {
      for (Due_ += PerSecond * StepS; Due_ >= 1.0; Due_ -= 1.0)
        offer(false);
      for (DueUrgent_ += UrgentPerSecond * StepS; DueUrgent_ >= 1.0; DueUrgent_ -= 1.0)
        offer(true);
      while (!Events_.empty() && Events_.top().first <= Now_) {
        const auto Action = Events_.top().second;
        Events_.pop();
        Action();
      }
      for (auto &[Id, Server] : Servers_)
        runServer(Id, Server);
    }
  }
};

} // namespace

// Guards against servers that return together, get their whole demand and crash again, and against
// room that is left unused or taken by less urgent calls.
TEST_CASE("cold_servers_all_cold_are_used_up_to_their_rate_urgent_first") {
  ColdFleet Fleet;
  for (int Index = 0; Index < 6; ++Index)
    Fleet.put("i-" + std::to_string(Index), "a", 1, 0s);
  Fleet.updateChoices();
  Fleet.run(1s, 6 * 1100.0, 50.0);
  for (int Index = 0; Index < 6; ++Index) {
    Fleet.put("i-" + std::to_string(Index), "a", 2, 10s);
    Fleet.Servers_["i-" + std::to_string(Index)].Arrivals_.clear();
  }
  Fleet.updateChoices();
  Fleet.run(500ms, 6 * 1100.0, 50.0);
  Fleet.Offered_.clear();
  Fleet.Served_.clear();
  Fleet.run(9s, 6 * 1100.0, 50.0);
  for (const auto &[Id, Server] : Fleet.Servers_)
    CHECK(mostInWindow(Server.Arrivals_, 1s) <= MostPerSecond);
  CHECK(Fleet.Served_[true] + Fleet.Served_[false] >= static_cast<int>(0.9 * 6 * ColdRate * 9));
  CHECK(Fleet.Served_[true] >= static_cast<int>(0.9 * Fleet.Offered_[true]));
}

// Guards against all entry nodes that ask the servers of a returning data centre at the same moment
// while the others have room, and against a data centre that is not used again.
TEST_CASE("cold_servers_of_returning_data_centre_are_asked_little_by_little") {
  ColdFleet Fleet;
  for (int Index = 0; Index < 19; ++Index)
    Fleet.put("far-" + std::to_string(Index), "b", 1, 0s);
  Fleet.updateChoices();
  Fleet.run(500ms, 1900.0, 0.0);
  for (int Index = 0; Index < 19; ++Index)
    Fleet.put("near-" + std::to_string(Index), "a", 2, 3s);
  Fleet.updateChoices();
  Fleet.Offered_.clear();
  Fleet.Served_.clear();
  Fleet.run(3s, 1900.0, 0.0);
  for (int Index = 0; Index < 19; ++Index) {
    const SimServer &Server = Fleet.Servers_["near-" + std::to_string(Index)];
    CHECK(mostInWindow(Server.Asked_, 1s) <= MostPerSecond);
  }
  CHECK(Fleet.Served_[false] >= static_cast<int>(0.95 * Fleet.Offered_[false]));
  for (int Index = 0; Index < 19; ++Index)
    Fleet.list("near-" + std::to_string(Index), "a", 2, 0s);
  Fleet.updateChoices();
  Fleet.run(4s, 1900.0, 0.0);
  for (int Index = 0; Index < 19; ++Index)
    Fleet.Servers_["near-" + std::to_string(Index)].Asked_.clear();
  Fleet.run(1s, 1900.0, 0.0);
  std::size_t Asked = 0;
  for (int Index = 0; Index < 19; ++Index)
    Asked += Fleet.Servers_["near-" + std::to_string(Index)].Asked_.size();
  CHECK(Asked >= 1900 / 2);
}
