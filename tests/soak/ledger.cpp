#include "ledger.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

#include "daemons.h"
#include "node/clock.h"
#include "wire_names.h"

namespace bronzestand::soak {
namespace {

using node::findHeader;

constexpr std::array<std::string_view, 18> PromiseNames{"runs_once",
                                                        "refused_not_run",
                                                        "answer_whole",
                                                        "request_unchanged",
                                                        "routed",
                                                        "attempts_bounded",
                                                        "retries_bounded",
                                                        "team_limited",
                                                        "answered_in_time",
                                                        "change_in_force",
                                                        "leaving_spared",
                                                        "caller_gone",
                                                        "planned_cuts_nothing",
                                                        "ends_in_grace",
                                                        "recovers",
                                                        "cold_bounded",
                                                        "regions_kept",
                                                        "evacuated_spared"};

/// Of the requests that reach their time-out, more than half may not be late, nor more than a
/// quarter if so many are.
constexpr std::size_t ManyLate = 8;
/// The platform tolerates this many requests that go to more servers than allowed, arrive long
/// after their caller has left, or have no answer at their time-out.
constexpr std::size_t Tolerated = 3;
/// Time after which work for a caller that left, or a missing answer, counts.
constexpr Duration AfterLimit = std::chrono::milliseconds(500);

bool promisesNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

/// Calls a check for each event with its time and the number of events in the window that it ends.
template <typename Check>
void slide(const std::vector<TimePoint> &Times, Duration Window, const Check &Use) {
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Times.size(); ++Last) {
    while (Times[Last] - Times[First] > Window)
      ++First;
    Use(Times[Last], Last - First + 1);
  }
}

std::size_t countBetween(const std::vector<TimePoint> &Times, TimePoint From, TimePoint To) {
  return static_cast<std::size_t>(std::upper_bound(Times.begin(), Times.end(), To) -
                                  std::lower_bound(Times.begin(), Times.end(), From));
}

} // namespace

const node::HeaderNames &wireNames() {
  static const node::HeaderNames Names = platform::headerNames();
  return Names;
}

std::string_view promiseName(Promise Value) {
  return PromiseNames[static_cast<std::size_t>(Value)];
}

void Ledger::setTeamLimit(const std::string &Team, double Rate, double Burst) {
  Limits_[Team] = {Rate, Burst};
}

void Ledger::disturb(std::size_t Node, TimePoint Until) {
  TimePoint &End = Disturbed_[Node];
  End = std::max(End, Until);
}

bool Ledger::isQuiet(std::size_t Node, TimePoint Now) const {
  const auto Found = Disturbed_.find(Node);
  return Now - StoreDisturbed_ > Bounds_.Contact_ &&
         (Found == Disturbed_.end() || Now - Found->second > Bounds_.Contact_);
}

void Ledger::violated(Promise Broken, const std::string &Request, std::string Detail) {
  Violations_.push_back({Broken, Request, std::move(Detail)});
}

void Ledger::sent(Sent Request) {
  std::string Id = Request.Id_;
  Records_[std::move(Id)].Sent_ = std::move(Request);
}

void Ledger::started(const node::HttpRequest &Request, Run Begun) {
  const std::string Id = findHeader(Request.Headers_, wireNames().RequestId_).value_or("");
  const auto Found = Records_.find(Id);
  if (Found == Records_.end()) {
    violated(Promise::RequestUnchanged, Id, "no caller sent it");
    return;
  }
  Record &Item = Found->second;
  checkPlace(Item, Begun);
  if (!Begun.Rejected_)
    checkArrival(Item, Request, Begun);
  Item.Runs_.push_back(std::move(Begun));
}

void Ledger::evacuated(const std::string &DataCentre, bool Begins) {
  if (Begins)
    Evacuated_[DataCentre] = node::now();
  else
    Evacuated_.erase(DataCentre);
}

// A rejected request has reached its server too, unless another server was meant.
void Ledger::checkPlace(const Record &Item, const Run &Begun) {
  const Sent &Wanted = Item.Sent_;
  const std::string Region = Daemons::regionOf(Begun.Node_);
  if (!Wanted.Region_.empty() && Region != Wanted.Region_)
    violated(Promise::RegionsKept, Wanted.Id_,
             fmt::format("reached {} in {}, allowed in {}", Begun.Server_, Region, Wanted.Region_));
  const auto Found = Evacuated_.find(Daemons::dataCentreOf(Begun.Node_));
  if (Begun.Status_ == 421 || Found == Evacuated_.end())
    return;
  // A node that was stopped or cut off has its time from when it is in contact with the store
  // again.
  TimePoint Known = std::max(Found->second, StoreDisturbed_ + Bounds_.Contact_);
  for (const std::size_t Node : {Wanted.Node_, Begun.Node_})
    if (const auto End = Disturbed_.find(Node); End != Disturbed_.end())
      Known = std::max(Known, End->second + Bounds_.Contact_);
  if (Begun.At_ - Known > Bounds_.Evacuate_)
    violated(
        Promise::EvacuatedSpared, Wanted.Id_,
        fmt::format("reached {} in {} {} ms after the key", Begun.Server_, Found->first,
                    std::chrono::duration_cast<std::chrono::milliseconds>(Begun.At_ - Found->second)
                        .count()));
}

void Ledger::checkArrival(const Record &Item, const node::HttpRequest &Request, const Run &Begun) {
  const Sent &Wanted = Item.Sent_;
  const auto Compare = [&](std::string_view What, const std::string &Got, const std::string &Want) {
    if (Got != Want)
      violated(Promise::RequestUnchanged, Wanted.Id_,
               fmt::format("{} is '{}', not '{}'", What, Got, Want));
  };
  Compare("target", Request.Target_, Wanted.Path_);
  Compare("body", Request.Body_, Wanted.Body_);
  Compare("team", findHeader(Request.Headers_, wireNames().Team_).value_or(""), Wanted.Team_);
  Compare("caller", findHeader(Request.Headers_, wireNames().CallingService_).value_or(""),
          Wanted.CallingService_);
  Compare("key", findHeader(Request.Headers_, "Authorization").value_or(""), "");
  if (Begun.Service_ != Wanted.Service_)
    violated(Promise::Routed, Wanted.Id_, "ran at " + Begun.Service_);
  if (!Wanted.Idempotent_) {
    for (const Run &Earlier : Item.Runs_)
      if (!Earlier.Rejected_)
        violated(Promise::RunsOnce, Wanted.Id_,
                 fmt::format("ran at {} and at {}", Earlier.Server_, Begun.Server_));
    if (Item.PromisedNotRun_)
      violated(Promise::RefusedNotRun, Wanted.Id_, "ran after it was refused");
  }
  const bool Quiet = isQuiet(Wanted.Node_, Begun.At_) && isQuiet(Begun.Node_, Begun.At_);
  const auto Left = Leaving_.find(Begun.Server_);
  if (Quiet && Left != Leaving_.end() && Begun.At_ - Left->second > Bounds_.Drain_)
    violated(Promise::LeavingSpared, Wanted.Id_, "reached " + Begun.Server_ + " after its time");
  if (Quiet && Item.Cancelled_ && Begun.At_ - *Item.Cancelled_ > AfterLimit)
    ++AfterCallerLeft_;
}

void Ledger::finished(const std::string &Request, const std::string &Signature, unsigned Status) {
  for (Run &Item : Records_.at(Request).Runs_)
    if (Item.Signature_ == Signature)
      Item.Status_ = Status;
}

void Ledger::answered(const std::string &Request, node::HttpResult Result,
                      const node::HttpResponse &Response) {
  Record &Item = Records_.at(Request);
  Item.Ended_ = node::now();
  Item.Result_ = Result;
  const auto Signature = findHeader(Response.Headers_, wireNames().Signature_);
  if (Result == node::HttpResult::Answered) {
    Item.Status_ = Response.Status_;
    if (Signature || Response.Status_ < 300)
      checkServed(Item, Response);
    else if (promisesNotRun(Response.Status_))
      checkRefused(Item);
  }
  const bool HasRun = std::any_of(Item.Runs_.begin(), Item.Runs_.end(),
                                  [](const Run &Each) { return !Each.Rejected_; });
  const bool Cut = Result == node::HttpResult::Lost &&
                   (HasRun || Item.Ended_ - Item.Sent_.At_ > Bounds_.LossSlack_);
  const bool Replaced = Result == node::HttpResult::Answered && !Signature && HasRun &&
                        Response.Status_ >= 500 && !promisesNotRun(Response.Status_) &&
                        Item.Ended_ - Item.Sent_.At_ < Item.Sent_.Timeout_;
  if (PlannedOnly_ && !Item.Cancelled_ && (Cut || Replaced))
    violated(Promise::PlannedCutsNothing, Request,
             Cut ? "connection ended without an answer"
                 : fmt::format("answered {} while a server worked on it", Response.Status_));
}

void Ledger::checkConfig(const std::string &Request, unsigned Wanted, unsigned Unexpected) {
  const Record &Item = Records_.at(Request);
  if (Item.Result_ != node::HttpResult::Answered || promisesNotRun(Item.Status_) ||
      !isQuiet(Item.Sent_.Node_, Item.Ended_))
    return;
  const bool Old =
      Wanted != 0 ? Item.Status_ != Wanted : Unexpected != 0 && Item.Status_ == Unexpected;
  if (Old)
    violated(Promise::ChangeInForce, Request,
             fmt::format("answered {} by node {} as an older configuration has it", Item.Status_,
                         Item.Sent_.Node_));
}

void Ledger::checkServed(const Record &Item, const node::HttpResponse &Response) {
  const std::string Signature = findHeader(Response.Headers_, wireNames().Signature_).value_or("");
  const auto Match = std::find_if(Item.Runs_.begin(), Item.Runs_.end(), [&](const Run &Each) {
    return !Each.Rejected_ && Each.Signature_ == Signature && Each.Status_ == Response.Status_;
  });
  if (Match == Item.Runs_.end())
    violated(
        Promise::AnswerWhole, Item.Sent_.Id_,
        fmt::format("status {} with signature '{}' is no server's", Response.Status_, Signature));
  else if (Response.Body_ != bodyOf(Signature, Item.Sent_.Body_))
    violated(Promise::AnswerWhole, Item.Sent_.Id_, "body differs");
  else if (findHeader(Response.Headers_, wireNames().RequestId_) != Item.Sent_.Id_)
    violated(Promise::AnswerWhole, Item.Sent_.Id_, "is the answer to another request");
}

void Ledger::checkRefused(Record &Item) {
  Item.PromisedNotRun_ = true;
  if (Item.Sent_.Idempotent_)
    return;
  for (const Run &Each : Item.Runs_)
    if (!Each.Rejected_)
      violated(Promise::RefusedNotRun, Item.Sent_.Id_,
               fmt::format("answered {}, but ran at {}", Item.Status_, Each.Server_));
}

void Ledger::cancelled(const std::string &Request) {
  Records_.at(Request).Cancelled_ = node::now();
}

void Ledger::timedOut(const std::string &Request, bool Late) {
  const Record &Item = Records_.at(Request);
  if (Item.Result_ || Item.Cancelled_ || !isQuiet(Item.Sent_.Node_, node::now()))
    return;
  ++(Late ? LateAnswers_ : OpenAtTimeout_);
}

void Ledger::finish() {
  if ((LateAnswers_ > Tolerated && LateAnswers_ * 2 > OpenAtTimeout_) ||
      (LateAnswers_ >= ManyLate && LateAnswers_ * 4 > OpenAtTimeout_))
    violated(Promise::AnsweredInTime, "",
             fmt::format("{} of {} requests that reached their time-out had no answer 0.5 s later",
                         LateAnswers_, OpenAtTimeout_));
  if (AfterCallerLeft_ > Tolerated)
    violated(Promise::CallerGone, "",
             fmt::format("{} requests reached servers 0.5 s after their callers had left",
                         AfterCallerLeft_));
  std::size_t Over = 0;
  for (const auto &[Id, Item] : Records_) {
    std::set<std::string> Servers;
    for (const Run &Each : Item.Runs_)
      Servers.insert(Each.Server_);
    Over += Servers.size() > Item.Sent_.MaxRuns_ ? 1 : 0;
  }
  if (Over > Tolerated)
    violated(Promise::AttemptsBounded, "",
             fmt::format("{} requests reached more servers than allowed", Over));
  checkRetries();
  checkTeams();
}

void Ledger::checkRetries() {
  std::map<std::string, std::pair<std::vector<TimePoint>, std::vector<TimePoint>>> Services;
  for (const auto &[Id, Item] : Records_) {
    auto &[Requests, Repeats] = Services[Item.Sent_.Service_];
    Requests.push_back(Item.Sent_.At_);
    for (std::size_t Number = 1; Number < Item.Runs_.size(); ++Number)
      Repeats.push_back(Item.Runs_[Number].At_);
  }
  for (auto &[Service, Times] : Services) {
    auto &[Requests, Repeats] = Times;
    std::sort(Requests.begin(), Requests.end());
    std::sort(Repeats.begin(), Repeats.end());
    slide(Repeats, Bounds_.RetryWindow_,
          [&, &Name = Service, &All = Requests](TimePoint End, std::size_t Count) {
            const TimePoint Start = End - Bounds_.RetryWindow_;
            const auto Sent = std::max(countBetween(All, Start, End),
                                       countBetween(All, Start - Bounds_.RetryWindow_, Start));
            const double Most =
                Bounds_.RetryRatio_ * static_cast<double>(Sent) + Bounds_.RetrySlack_;
            if (static_cast<double>(Count) > Most)
              violated(
                  Promise::RetriesBounded, "",
                  fmt::format("{} repeats to {} in a window, {:.0f} allowed", Count, Name, Most));
          });
  }
}

void Ledger::checkTeams() {
  for (const auto &[Team, Limit] : Limits_) {
    std::vector<TimePoint> Times;
    for (const auto &[Id, Item] : Records_)
      for (const Run &Each : Item.Runs_)
        if (Item.Sent_.Team_ == Team && !Each.Rejected_ && &Each == &Item.Runs_.front())
          Times.push_back(Each.At_);
    std::sort(Times.begin(), Times.end());
    const double Seconds = std::chrono::duration<double>(Bounds_.LimitWindow_).count();
    const double Most = (Limit.first * Seconds + Limit.second) * (1.0 + Bounds_.LimitOverage_) +
                        Bounds_.LimitSlack_;
    std::size_t Highest = 0;
    slide(Times, Bounds_.LimitWindow_,
          [&](TimePoint, std::size_t Count) { Highest = std::max(Highest, Count); });
    if (static_cast<double>(Highest) > Most)
      violated(Promise::TeamLimited, "",
               fmt::format("{} requests of {} in a window, {:.0f} allowed", Highest, Team, Most));
  }
}

std::map<unsigned, std::size_t> Ledger::statuses() const {
  std::map<unsigned, std::size_t> Result;
  for (const auto &[Id, Item] : Records_)
    ++Result[Item.Status_];
  return Result;
}

std::optional<double> Ledger::servedShare(TimePoint From, TimePoint To) const {
  std::size_t All = 0;
  std::size_t Served = 0;
  for (const auto &[Id, Item] : Records_) {
    const Sent &Each = Item.Sent_;
    if (Each.At_ < From || Each.At_ >= To || Each.Team_.empty() || Item.Cancelled_ || Each.Probe_ ||
        Limits_.count(Each.Team_) != 0)
      continue;
    ++All;
    Served += Item.Status_ != 0 && Item.Status_ < 300 ? 1 : 0;
  }
  if (All == 0)
    return std::nullopt;
  return static_cast<double>(Served) / static_cast<double>(All);
}

} // namespace bronzestand::soak
