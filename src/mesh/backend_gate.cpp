#include "mesh/backend_gate.h"

#include <algorithm>

#include <fmt/format.h>

#include "bronzestand/quarantine.h"
#include "node/clock.h"

namespace bronzestand::node {
namespace {

/// Assumed while the platform doesn't report the number of slots of the server.
constexpr unsigned DefaultSlots = 32;
/// Limit on connections to the server, as the configuration has none; well above the slots.
constexpr std::size_t MaxConnections = 1024;
/// Part of the memory of the process for the answers that the server is sending.
constexpr std::size_t answerMemoryOf(std::size_t ProcessBytes) { return ProcessBytes / 16 * 3; }
/// Weight of one call in the moving averages of the service time.
constexpr double MeanWeight = 0.1;
/// Longest idle time of a connection that is reused, for a request that must not run twice and for
/// an idempotent one. The server may have closed a connection that was idle for longer without this
/// node noticing.
constexpr Duration MaxIdleTime = std::chrono::milliseconds(1000);
constexpr Duration MaxIdleTimeIdempotent = std::chrono::seconds(4);
/// The allowed queueing time of a call is at most MaxWaitShare of its latency objective, but at
/// least MinWaitShare of its time left, so that a short queue smooths bursts. It is short because a
/// call that won't be served should be refused at once instead of waiting.
constexpr double MaxWaitShare = 0.5;
constexpr double MinWaitShare = 0.1;
/// Part of its time left for which a suspect of a crash waits for others, so that its caller can
/// try again.
constexpr double MaxSuspectWaitShare = 0.55;
/// A queued call is refused after this many times its allowed queueing time, which is compared with
/// an estimate when it arrives.
constexpr int MaxQueueWaits = 2;
/// Part of its latency objective for which a call may wait because of a limit that the server
/// names, but at least until the limit allows one more call.
constexpr double MaxRateWaitShare = 0.15;
constexpr double MaxIntervalS = 3600.0;
/// A server counts as making calls if it makes at least OwnCallShare calls per request that it
/// served, because a few requests of other callers on open routes look like its calls. Until it has
/// served MinServed requests, it is assumed to make calls.
constexpr double OwnCallShare = 0.2;
constexpr std::uint64_t MinServed = 10;
/// Each rejection by the server withholds ReduceStep slots, up to MaxReducedShare of the limit.
/// They are restored at RestorePerSecond slots a second.
constexpr double ReduceStep = 1.0;
constexpr double RestorePerSecond = 2.0;
constexpr double MaxReducedShare = 0.3;
/// Status of a server that is not the expected one; it does not run the request.
constexpr unsigned WrongServerStatus = 421;
/// A server that was replaced at its address is not asked again for this time. It may start again
/// with the id that it had.
constexpr Duration ReplacedTime = std::chrono::seconds(2);
/// Rejections in a row that show the replacement; a single one may be a copy of another answer.
constexpr unsigned MinReplacedAnswers = 2;
constexpr std::string_view LeavingValue = "1";
/// A call with less time left is refused.
constexpr Duration MinTimeLeft = std::chrono::milliseconds(5);

/// Place of a request of which it is not known; in the middle.
constexpr std::uint8_t UnknownPlace = 128;

/// The region that entry nodes take a server of this node's data centre to be in.
RegionId regionOf(const Settings &Config) {
  const auto Found = Config.Mesh_->Regions_.find(Config.DataCentre_.str());
  return Found == Config.Mesh_->Regions_.end() ? Config.Region_ : RegionId(Found->second);
}

/// Returns the team by which the queue is fair. That of a root is used for nothing else.
const TeamId &queueTeamOf(const Call &Request) {
  return Request.Team_.empty() && Request.Root_ ? Request.Root_->Team_ : Request.Team_;
}

/// Returns the standing that the calls of a run get; none if it is not known.
std::optional<RootStanding> rootOf(const Call &Request) {
  if (Request.Root_ || Request.Team_.empty())
    return Request.Root_;
  // A node of an earlier build sends no root, but the request is one itself.
  return RootStanding{Request.Standing_.ClassRank_, UnknownPlace, Request.Team_, false};
}

} // namespace

BackendGate::BackendGate(boost::asio::io_context &Io, const Settings &Config,
                         const HeaderNames &Names, FleetState &Fleet, CrashGuard &Guard,
                         RouteHealth &Health, EventLog &Events)
    : Config_(Config), Region_(regionOf(Config)), Names_(Names), Fleet_(Fleet), Guard_(Guard),
      Health_(Health), Events_(Events), ExpiryTimer_(Io),
      Client_(Io, Config.BackendServer_, MaxConnections, answerMemoryOf(Config.MemoryBytes_)),
      Queue_(true, true), Temperature_(Io, Config, Names, Fleet, Events, [this] { dispatch(); }) {}

absl::Status BackendGate::start() {
  Fleet_.onOwnEvacuation([this](bool Closed) {
    if (Closed)
      refuseWaiting();
    else
      serverMayBeCold();
  });
  return absl::OkStatus();
}

unsigned BackendGate::limit() const {
  const BackendServer *Own = Fleet_.ownServer();
  const unsigned Slots = Own != nullptr && Own->Slots_ != 0 ? Own->Slots_ : DefaultSlots;
  const auto Reduction = static_cast<unsigned>(ReducedSlots_);
  return std::max(1U, Slots - std::min(Reduction, Slots - 1));
}

BackendLoad BackendGate::load() const {
  BackendLoad Result;
  Result.Running_ = InFlight_;
  Result.Waiting_ = static_cast<std::uint32_t>(Queue_.size() + Guard_.waiting());
  Result.Limit_ = limit();
  Result.ServiceTime_ = std::chrono::microseconds(static_cast<std::int64_t>(MeanSeconds_ * 1e6));
  Result.MakesCalls_ = makesCalls();
  Result.CalleeShed_ = DownstreamLevels_.highest(now());
  Result.Shed_ = std::max(shedLevel(), Result.CalleeShed_);
  Result.Rate_ = Limits_.rate(now()).value_or(0.0);
  Result.RateWait_ = Limits_.timeUntil(now(), Queue_.size() + 1);
  Result.Failing_ = Failures_.share(now());
  Result.Pace_ = Pace_.factor();
  return Result;
}

bool BackendGate::makesCalls() const {
  return Served_ < MinServed ||
         static_cast<double>(OwnCalls_) >= OwnCallShare * static_cast<double>(Served_);
}

CallParents::Parent BackendGate::noteOwnCall(const ClassId &Called,
                                             std::optional<Duration> TimeLeft) {
  ++OwnCalls_;
  CallParents::Parent Found =
      Parents_.find(Called, TimeLeft ? std::optional(now() + *TimeLeft) : std::nullopt);
  ++ParentMatches_[static_cast<std::size_t>(Found.Match_)];
  return Found;
}

void BackendGate::noteDownstreamLevel(const ServiceId &Service, ShedLevel Level) {
  DownstreamLevels_.report(now(), Service, Level);
}

Duration BackendGate::meanServiceTime(const Call &Request) const {
  const auto Found = SecondsByClass_.find(Request.Class_.str());
  const double Seconds = Found == SecondsByClass_.end() ? MeanSeconds_ : Found->second;
  return std::chrono::microseconds(static_cast<std::int64_t>(Seconds * Pace_.factor() * 1e6));
}

Duration BackendGate::expectedWait(const Call &Request) const {
  const unsigned Limit = limit();
  if (InFlight_ < Limit)
    return Duration::zero();
  // The classes differ in their time at the server by more than ten times, so the calls that wait
  // and those that run are counted with the time of their own.
  const Duration UntilFree = InFlightWork_ / InFlight_;
  return (Queue_.workAhead(Request.Standing_.ClassRank_, queueTeamOf(Request)) + UntilFree) / Limit;
}

std::size_t BackendGate::callsUntil(const Call &Request) const {
  return Queue_.ahead(Request.Standing_.ClassRank_, queueTeamOf(Request)) + 1;
}

// Calls that wait longer make no better use of the rate, and another server may have room.
bool BackendGate::fitsRate(const Call &Request) const {
  const std::optional<double> Rate = Limits_.rate(now());
  if (!Rate)
    return true;
  const Duration Wait = Limits_.timeUntil(now(), callsUntil(Request));
  // A tiny rate has an interval that does not fit into a Duration.
  const std::chrono::duration<double> Interval(std::min(1.0 / *Rate, MaxIntervalS));
  const auto Most =
      std::max(std::chrono::duration_cast<Duration>(Request.Objective_ * MaxRateWaitShare),
               std::chrono::duration_cast<Duration>(Interval));
  return Wait <= std::min(Most, allowedWait(Request)) &&
         Wait + meanServiceTime(Request) <= Request.TimeLeft_;
}

ShedLevel BackendGate::shedLevel() const {
  return Temperature_.isLimiting(now()) ? std::max(Shed_.level(), ColdShed_.level())
                                        : Shed_.level();
}

ShedController &BackendGate::shed() { return Temperature_.isLimiting(now()) ? ColdShed_ : Shed_; }

// A server may keep running for a while after the platform has removed its entry, and other nodes,
// which learn of the removal later, may still send calls.
bool BackendGate::isServerGone() const {
  const BackendServer *Own = Fleet_.ownServer();
  return Own == nullptr ? WasListed_ : Own->Leaving_;
}

bool BackendGate::isClosed() const { return Fleet_.isClosed(now()); }

void BackendGate::refuseWaiting() {
  std::vector<CallKey> Keys;
  for (const auto &[Key, Current] : Calls_)
    if (!Current.AtServer_)
      Keys.push_back(Key);
  for (const CallKey &Key : Keys)
    end(Key, Refusal::Evacuated);
  scheduleExpiry();
}

bool BackendGate::isReplaced(const Call &Request) const {
  return ReplacedAnswers_ >= MinReplacedAnswers && now() < ReplacedUntil_ &&
         findHeader(Request.Headers_, Names_.ExpectedServer_) == ReplacedServer_;
}

void BackendGate::noteReplaced(const std::string &Id) {
  const TimePoint Now = now();
  const bool Repeated = Id == ReplacedServer_ && Now < ReplacedUntil_;
  ReplacedAnswers_ = Repeated ? ReplacedAnswers_ + 1 : 1;
  ReplacedServer_ = Id;
  ReplacedUntil_ = Now + ReplacedTime;
}

// A call may come from a node with an older configuration.
bool BackendGate::isRegionAllowed(const Call &Request) const {
  return Fleet_.regions().allows(Request.Class_, Request.Team_, Region_);
}

std::optional<Refusal> BackendGate::findRefusal(const Call &Request) const {
  if (Request.Service_ != Config_.Service_)
    return Refusal::NoBackendServer;
  if (Draining_)
    return Refusal::ShuttingDown;
  if (Temperature_.isUnconfigured())
    return Refusal::NotReady;
  if (isClosed())
    return Refusal::Evacuated;
  if (isServerGone() || isReplaced(Request))
    return Refusal::NoBackendServer;
  if (!isRegionAllowed(Request))
    return Refusal::RegionNotAllowed;
  if (Request.TimeLeft_ < MinTimeLeft)
    return Refusal::DeadlineTooShort;
  if (!fitsRate(Request))
    return Refusal::Overloaded;
  const Duration Wait = expectedWait(Request);
  if (Wait == Duration::zero())
    return std::nullopt;
  const Duration Mean = meanServiceTime(Request);
  if (Wait + Mean > Request.TimeLeft_)
    return Refusal::Overloaded;
  return Wait > allowedWait(Request) ? std::optional(Refusal::Overloaded) : std::nullopt;
}

// Limits the queueing time, so that calls whose answers would come too late to be useful don't
// delay the others.
Duration BackendGate::allowedWait(const Call &Request) const {
  const auto Least = std::chrono::duration_cast<Duration>(Request.TimeLeft_ * MinWaitShare);
  const auto Most = std::chrono::duration_cast<Duration>(Request.Objective_ * MaxWaitShare);
  return std::max(Least, std::min(Most, Request.Objective_ - meanServiceTime(Request)));
}

void BackendGate::submitCall(const HostId &Caller, Call Request, Reply Done) {
  Fleet_.noteKnowledge(Request.Known_);
  if (FailureSink_ && !Request.Failing_.empty())
    FailureSink_(Request.Failing_);
  checkServerRun();
  if (Request.ServerRate_ > 0.0)
    Rate_.adopt(now(), Request.ServerRate_);
  const CallKey Key(Caller, Request.Id_);
  const auto Reason = findRefusal(Request);
  shed().offered();
  PendingCall &Added = Calls_[Key];
  Added.Call_ = std::move(Request);
  Added.Done_ = std::move(Done);
  Added.Arrived_ = now();
  Added.Deadline_ = Added.Arrived_ + Added.Call_.TimeLeft_;
  if (Reason) {
    refuse(Key, *Reason);
    return;
  }
  Added.QueueNumber_ = ++LastQueueNumber_;
  ByQueueNumber_[Added.QueueNumber_] = Key;
  QueueEntry Entry;
  Entry.Id_ = Added.QueueNumber_;
  Entry.Team_ = queueTeamOf(Added.Call_);
  Entry.Standing_ = Added.Call_.Standing_;
  Entry.Continues_ = Added.Call_.Team_.empty() && Added.Call_.Root_;
  Entry.Place_ = Entry.Continues_ ? Added.Call_.Root_->Place_ : 0;
  // The refusal of a call that was not sent should reach its entry before the entry ends the call.
  Entry.Deadline_ =
      std::min(Added.Deadline_ - std::max(meanServiceTime(Added.Call_) / 2, MinTimeLeft),
               Added.Arrived_ + MaxQueueWaits * allowedWait(Added.Call_));
  Entry.Work_ = Added.Work_ = meanServiceTime(Added.Call_);
  Queue_.push(Added.Arrived_, Entry);
  dispatch();
}

void BackendGate::dispatch() {
  const TimePoint Now = now();
  while (!Queue_.empty() && InFlight_ < limit() && Limits_.timeUntil(Now, 1) == Duration::zero()) {
    const FairQueue::Taken Next = Queue_.pop(Now, false);
    const auto Found = ByQueueNumber_.find(Next.Entry_.Id_);
    if (Found != ByQueueNumber_.end())
      send(CallKey(Found->second));
  }
  scheduleExpiry();
}

std::optional<Refusal> BackendGate::findPlacementRefusal(const Call &Request) const {
  if (!isRegionAllowed(Request))
    return Refusal::RegionNotAllowed;
  if (isClosed())
    return Refusal::Evacuated;
  return isServerGone() || isReplaced(Request) ? std::optional(Refusal::NoBackendServer)
                                               : std::nullopt;
}

std::optional<Refusal> BackendGate::findLateRefusal(const PendingCall &Current) const {
  if (const auto Reason = findPlacementRefusal(Current.Call_))
    return Reason;
  if (Current.Deadline_ - now() < MinTimeLeft)
    return Refusal::DeadlineTooShort;
  // A call that has waited for the crash guard has no token of its own.
  return Temperature_.mustWait(now()) ? std::optional(Refusal::Overloaded) : std::nullopt;
}

void BackendGate::send(const CallKey &Key) {
  PendingCall &Current = Calls_.at(Key);
  ByQueueNumber_.erase(Current.QueueNumber_);
  if (const auto Reason = findLateRefusal(Current)) {
    finish(Key, Answer::refused(Key.second, *Reason));
    return;
  }
  const TimePoint Now = now();
  const Duration Allowed = MaxQueueWaits * allowedWait(Current.Call_) - (Now - Current.Arrived_);
  Current.Call_.TimeLeft_ = Current.Deadline_ - Now;
  const auto MaxWait = std::min(
      Allowed, std::chrono::duration_cast<Duration>(Current.Call_.TimeLeft_ * MaxSuspectWaitShare));
  // A call that waits here for other suspects takes no slot, and says nothing of the load.
  Guard_.enter(Key, Current.Call_, MaxWait, [this, Key](std::optional<Refusal> Reason) {
    if (Reason)
      finish(Key, Answer::refused(Key.second, *Reason));
    else
      transmit(Key);
  });
}

void BackendGate::transmit(const CallKey &Key) {
  const auto Found = Calls_.find(Key);
  if (Found == Calls_.end())
    return; // the call ended while it waited for the crash guard
  PendingCall &Current = Found->second;
  if (const auto Reason = findLateRefusal(Current)) {
    finish(Key, Answer::refused(Key.second, *Reason));
    return;
  }
  const TimePoint Now = now();
  const Duration Left = Current.Deadline_ - Now;
  // A call that waits for a limit says nothing of the load.
  if (Current.Call_.Team_.empty() && !Limits_.rate(Now))
    Shed_.waited(Now - Current.Arrived_);
  Limits_.sent(Now);
  Current.SentAt_ = Now;
  Current.AtServer_ = true;
  ++InFlight_;
  InFlightWork_ += Current.Work_;
  Temperature_.callStarted(Current.QueueNumber_, Current.Call_.Class_, InFlight_);
  HttpRequest Request;
  Request.Method_ = Current.Call_.Method_;
  Request.Target_ = Current.Call_.Target_;
  Request.Headers_ = Current.Call_.Headers_;
  // The calls of the run carry what is left of the deadline that the server is told.
  const auto ToldLeft = std::chrono::floor<std::chrono::milliseconds>(Left);
  Request.Headers_.push_back({Names_.Deadline_, std::to_string(ToldLeft.count())});
  Parents_.add(Current.QueueNumber_, Now + ToldLeft, Current.Call_.Class_, rootOf(Current.Call_));
  SendOptions Options;
  Options.Body_ = Current.Call_.Body_;
  Options.MaxIdle_ = Current.Call_.Idempotent_ ? MaxIdleTimeIdempotent : MaxIdleTime;
  // A call that was not sent ends before its entry gives it up as one that may have run.
  Options.ConnectTimeout_ = std::max(Left - MinTimeLeft, Left / 2);
  Options.EchoHeader_ = Names_.RequestId_;
  Options.SaysNotRun_ = [this](const HttpResponse &Response) { return saysNotRun(Response); };
  Options.EndsByClose_ = true;
  Current.Request_ = Client_.send(
      std::move(Request), Left,
      [this, Key](HttpResult Result, HttpResponse Response) {
        onResult(Key, Result, std::move(Response));
      },
      [this, Key, HasRoom = Temperature_.writeCheck([this, Key] {
        noteWithheld(Key, Refusal::Overloaded);
      })] { return mayWrite(Key) && (!HasRoom || HasRoom()); },
      std::move(Options));
}

// A call that is written at once, before its request has a number, was examined just before.
bool BackendGate::mayWrite(const CallKey &Key) {
  const auto Found = Calls_.find(Key);
  if (Found == Calls_.end() || Found->second.Request_ == 0)
    return true;
  const auto Reason = findPlacementRefusal(Found->second.Call_);
  if (Reason)
    noteWithheld(Key, *Reason);
  return !Reason;
}

void BackendGate::noteWithheld(const CallKey &Key, Refusal Reason) {
  if (const auto Found = Calls_.find(Key); Found != Calls_.end())
    Found->second.Withheld_ = Reason;
}

bool BackendGate::isNamed(const Call &Request, const HttpResponse &Response) const {
  return findHeader(Response.Headers_, Names_.RequestId_) == Request.Request_.str();
}

// A response of any status is passed on only with the signature header of a backend server and the
// id of the request. Without them it may be of another server at the address, or belong to another
// request, and a caller that trusts an error such as 404 would not try again.
bool BackendGate::isFromServer(const Call &Request, const HttpResponse &Response) const {
  return findHeader(Response.Headers_, Names_.Signature_).has_value() && isNamed(Request, Response);
}

bool BackendGate::saysNotRun(const HttpResponse &Response) const {
  return Response.Status_ == WrongServerStatus ||
         findHeader(Response.Headers_, Names_.NotRun_).has_value();
}

bool BackendGate::saysLeaving(const HttpResponse &Response) const {
  return findHeader(Response.Headers_, Names_.Leaving_) == LeavingValue;
}

// A refusal without the id of the request may be a copy of an earlier one, while the server runs
// the request. The id proves that the server has seen this request, because the client does not use
// a connection again for a request after saysNotRun() there.
bool BackendGate::isRefusal(const Call &Request, const HttpResponse &Response) const {
  return saysNotRun(Response) && isNamed(Request, Response);
}

Answer BackendGate::toAnswer(const Call &Request, HttpResult Result, HttpResponse &&Response) {
  switch (Result) {
  case HttpResult::NotSent:
    return Answer::refused(Request.Id_, Refusal::NoBackendServer);
  case HttpResult::Invalid:
    Events_.write(now(), EventClass::Decision, "backend_gate", "answer_invalid",
                  {{"request", Request.Request_.str()}, {"status", Response.Status_}});
    return Answer::refused(Request.Id_, Refusal::ConnectionLost);
  case HttpResult::Lost:
  case HttpResult::Cancelled:
    return Answer::refused(Request.Id_, Refusal::ConnectionLost);
  case HttpResult::TimedOut:
    return Answer::refused(Request.Id_, Refusal::TimedOut);
  case HttpResult::Answered:
    break;
  }
  if (isRefusal(Request, Response)) {
    if (Response.Status_ == WrongServerStatus) {
      noteReplaced(findHeader(Request.Headers_, Names_.ExpectedServer_).value_or(""));
      return Answer::refused(Request.Id_, Refusal::WrongBackend);
    }
    ReducedSlots_ = std::min(ReducedSlots_ + ReduceStep, MaxReducedShare * limit());
    return Answer::refused(Request.Id_, Refusal::BackendRejected);
  }
  if (!isFromServer(Request, Response)) {
    Events_.write(now(), EventClass::Decision, "backend_gate", "answer_unsigned",
                  {{"request", Request.Request_.str()}, {"status", Response.Status_}});
    return Answer::refused(Request.Id_, Refusal::ConnectionLost);
  }
  ReplacedAnswers_ = 0;
  Answer Done;
  Done.Id_ = Request.Id_;
  Done.Outcome_ = Outcome::Served;
  Done.HttpStatus_ = Response.Status_;
  Done.Headers_ = std::move(Response.Headers_);
  Done.Body_ = std::move(Response.Body_);
  return Done;
}

bool BackendGate::isOwn(const Call &Request, const HttpResponse &Response) const {
  return Response.Status_ != WrongServerStatus &&
         (isRefusal(Request, Response) || isFromServer(Request, Response));
}

void BackendGate::noteServerState(PendingCall &Current, const HttpResponse &Response) {
  const Call &Request = Current.Call_;
  if (!isOwn(Request, Response))
    return;
  Current.ServerLeaving_ = saysLeaving(Response);
  if (Current.ServerLeaving_)
    Fleet_.noteLeaving(findHeader(Request.Headers_, Names_.ExpectedServer_).value_or(""));
  const auto Named = findHeader(Response.Headers_, Names_.Rate_);
  const auto Rate = Named ? parseRate(*Named) : std::nullopt;
  if (Rate_.answered(now(), Rate, Current.SentAt_))
    Events_.write(now(), EventClass::Belief, "backend_gate", "server_limit",
                  {{"limit", Named.value_or("")}, {"rate", Rate_.rate().value_or(0.0)}});
}

bool BackendGate::isNamedServerLeaving(const Call &Request) const {
  const auto Id = findHeader(Request.Headers_, Names_.ExpectedServer_);
  const BackendServer *Server = Id ? Fleet_.servers().find(*Id) : nullptr;
  return Server != nullptr && Server->Leaving_;
}

void BackendGate::checkServerRun() {
  const BackendServer *Own = Fleet_.ownServer();
  if (Own == nullptr || ServerRun_ == std::pair(Own->Id_, Own->StartedMs_))
    return;
  ServerRun_ = {Own->Id_, Own->StartedMs_};
  Rate_.reset();
  Pace_.reset();
}

void BackendGate::noteEnd(const Call &Request, HttpResult Result, const HttpResponse &Response) {
  if (Result == HttpResult::Cancelled ||
      (Result == HttpResult::Answered && Response.Status_ == WrongServerStatus))
    return;
  // An error of a server that makes calls may be that of a service further down.
  const bool Error = Response.Status_ >= 500;
  const bool Rejected = Result == HttpResult::Answered && isRefusal(Request, Response);
  const bool Ours = Result == HttpResult::Answered && isFromServer(Request, Response);
  const TimePoint Now = now();
  Failures_.ended(Now, Rejected || !Ours || (Error && !makesCalls()));
  if (Rejected)
    Health_.ended(Now, Request.Class_, RunEnd::Rejected);
  else if (Ours || Result == HttpResult::TimedOut)
    Health_.ended(Now, Request.Class_, Ours && !Error ? RunEnd::Served : RunEnd::Failed);
}

void BackendGate::noteServiceTime(const Call &Request, Duration Time) {
  const double Seconds = std::chrono::duration<double>(Time).count();
  double &ClassMean = SecondsByClass_[Request.Class_.str()];
  if (ClassMean > 0.0)
    Pace_.ran(Seconds / ClassMean);
  const double Usual = Seconds / Pace_.factor();
  for (double *Mean : {&MeanSeconds_, &ClassMean})
    *Mean = *Mean <= 0.0 ? Usual : *Mean + MeanWeight * (Usual - *Mean);
}

void BackendGate::onResult(const CallKey &Key, HttpResult Result, HttpResponse Response) {
  const auto Found = Calls_.find(Key);
  if (Found == Calls_.end())
    return;
  const Call &Request = Found->second.Call_;
  const bool Own = Result == HttpResult::Answered && isOwn(Request, Response);
  std::optional<double> Pace;
  if (Own) {
    const auto Named = findHeader(Response.Headers_, Names_.Load_);
    const auto Load = Named ? parseInstanceLoad(*Named) : std::nullopt;
    Pace = Load ? Load->Pace_ : std::nullopt;
    Pace_.answered(now(), Pace);
  }
  const bool Ran = Own && Response.Status_ < 500 && !isRefusal(Request, Response);
  Temperature_.callEnded(Found->second.QueueNumber_, Ran, Pace);
  if (Result == HttpResult::Answered && Response.Status_ < 500)
    noteServiceTime(Request, now() - Found->second.SentAt_);
  if (Found->second.Withheld_) {
    refuse(Key, *Found->second.Withheld_);
    return;
  }
  Temperature_.requestEnded(Found->second.SentAt_, Result, Response);
  noteEnd(Request, Result, Response);
  if (Result == HttpResult::Answered)
    noteServerState(Found->second, Response);
  // The connections of a server that is leaving may end with it.
  if (Result == HttpResult::Lost && !isServerGone()) {
    Guard_.lost(Key, [this, Key](std::vector<CrashRecord> Crashes) {
      Answer Failed = Answer::refused(Key.second, Refusal::ConnectionLost);
      Failed.Crashes_ = std::move(Crashes);
      finish(Key, std::move(Failed));
    });
    return;
  }
  finish(Key, toAnswer(Request, Result, std::move(Response)));
}

void BackendGate::refuse(const CallKey &Key, Refusal Reason) {
  if (Reason == Refusal::Overloaded) {
    shed().refused();
    if (Temperature_.isLimiting(now()))
      Temperature_.noteRefused();
  }
  finish(Key, Answer::refused(Key.second, Reason));
}

void BackendGate::finish(const CallKey &Key, Answer Result) {
  const auto Found = Calls_.find(Key);
  if (Found == Calls_.end())
    return;
  const PendingCall Ended = std::move(Found->second);
  Calls_.erase(Found);
  ByQueueNumber_.erase(Ended.QueueNumber_);
  Parents_.remove(Ended.QueueNumber_);
  InFlight_ -= Ended.AtServer_ ? 1 : 0;
  InFlightWork_ -= Ended.AtServer_ ? Ended.Work_ : Duration::zero();
  Guard_.leave(Key, Result.Outcome_ == Outcome::Served);
  Result.Load_ = load();
  if (FailureSource_)
    Result.Failing_ = FailureSource_();
  Result.Routes_ = Health_.states(now());
  Result.Leaving_ = Draining_;
  Result.ServerLeaving_ = Ended.ServerLeaving_ || isNamedServerLeaving(Ended.Call_);
  Result.Known_ = Fleet_.knowledge();
  ++(Result.Outcome_ == Outcome::Served   ? Served_
     : Result.Outcome_ == Outcome::NotRun ? Refused_
                                          : Unknown_);
  RefusedByRegion_ += Result.Refusal_ == Refusal::RegionNotAllowed ? 1 : 0;
  if (Result.Outcome_ == Outcome::NotRun && Result.Refusal_ == Refusal::Evacuated)
    ++Evacuated_;
  const TimePoint Now = now();
  if (Result.Outcome_ != Outcome::Served && Events_.mayWrite(Now, EventClass::Decision))
    Events_.write(Now, EventClass::Decision, "backend_gate", "call_failed",
                  {{"request", Ended.Call_.Request_.str()},
                   {"fingerprint", fingerprintText(Ended.Call_.Fingerprint_)},
                   {"caller", Key.first.str()},
                   {"reason", refusalInfo(Result.Refusal_).Name_},
                   {"reached_server", Ended.AtServer_},
                   {"running", InFlight_},
                   {"waiting", Queue_.size()},
                   {"limit", Result.Load_.Limit_},
                   {"age_us", (Now - Ended.Arrived_).count()},
                   {"time_left_us", (Ended.Deadline_ - Now).count()},
                   {"revision", Result.Known_.Position_.Revision_}});
  Ended.Done_(Result);
  if (Ended.AtServer_)
    dispatch();
}

void BackendGate::cancel(const HostId &Caller, CallId Id) { end({Caller, Id}, Refusal::Cancelled); }

bool BackendGate::isWaiting(const HostId &Caller, CallId Id) const {
  const auto Found = Calls_.find({Caller, Id});
  return Found != Calls_.end() && !Found->second.AtServer_;
}

void BackendGate::end(const CallKey &Key, Refusal Reason) {
  const auto Found = Calls_.find(Key);
  if (Found == Calls_.end())
    return;
  if (Found->second.AtServer_) {
    Client_.cancel(Found->second.Request_);
    return;
  }
  Queue_.erase(Found->second.QueueNumber_);
  finish(Key, Answer::refused(Key.second, Reason));
}

void BackendGate::abort() {
  std::vector<CallKey> Keys;
  for (const auto &[Key, Current] : Calls_)
    Keys.push_back(Key);
  for (const CallKey &Key : Keys)
    end(Key, Refusal::ShuttingDown);
}

void BackendGate::scheduleExpiry() {
  const QueueEntry *First = Queue_.earliest();
  if (First == nullptr) {
    ExpiryTimer_.cancel();
    return;
  }
  const TimePoint Now = now();
  Duration Wait = std::max(Duration::zero(), First->Deadline_ - Now);
  if (InFlight_ < limit())
    Wait = std::min(Wait, Limits_.timeUntil(Now, 1));
  ExpiryTimer_.expires_after(Wait);
  ExpiryTimer_.async_wait([this](const boost::system::error_code &Failure) {
    if (Failure)
      return;
    expire();
    dispatch();
  });
}

void BackendGate::expire() {
  const TimePoint Now = now();
  while (const QueueEntry *First = Queue_.earliest()) {
    if (First->Deadline_ > Now)
      break;
    const CallId Number = First->Id_;
    Queue_.erase(Number);
    if (const auto Found = ByQueueNumber_.find(Number); Found != ByQueueNumber_.end()) {
      const CallKey Key = Found->second;
      refuse(Key, isClosed() ? Refusal::Evacuated : Refusal::Overloaded);
    }
  }
  scheduleExpiry();
}

void BackendGate::tick(TimePoint Now) {
  Shed_.tick(std::chrono::microseconds(static_cast<std::int64_t>(MeanSeconds_ * 1e6)));
  ColdShed_.tick();
  Temperature_.tick(Now);
  WasListed_ = WasListed_ || Fleet_.ownServer() != nullptr;
  const double Time = std::chrono::duration<double>(Now - RestoredAt_).count();
  RestoredAt_ = Now;
  ReducedSlots_ = std::max(0.0, ReducedSlots_ - RestorePerSecond * std::clamp(Time, 0.0, 1.0));
}

void BackendGate::print(TimePoint Now, std::string &Out) const {
  Temperature_.print(Now, Out);
  Out +=
      "# HELP bronzestand_own_calls_total Calls of the backend server by how their run was found\n"
      "# TYPE bronzestand_own_calls_total counter\n";
  for (std::size_t Index = 0; Index < ParentMatches_.size(); ++Index)
    Out += fmt::format("bronzestand_own_calls_total{{parent=\"{}\"}} {}\n",
                       parentMatchName(static_cast<ParentMatch>(Index)), ParentMatches_[Index]);
  const AnswerBudget &Answers = Client_.answers();
  Out += fmt::format("# HELP bronzestand_answer_memory_measures_total Measures for answers of the "
                     "server without room\n"
                     "# TYPE bronzestand_answer_memory_measures_total counter\n"
                     "bronzestand_answer_memory_measures_total{{measure=\"paused\"}} {}\n"
                     "bronzestand_answer_memory_measures_total{{measure=\"given_up\"}} {}\n",
                     Answers.paused(), Answers.givenUp());
  if (Evacuated_ != 0)
    Out += fmt::format("# HELP bronzestand_evacuated_calls_total Calls of nodes that were refused "
                       "because the data centre is evacuated\n"
                       "# TYPE bronzestand_evacuated_calls_total counter\n"
                       "bronzestand_evacuated_calls_total {}\n",
                       Evacuated_);
}

nlohmann::json BackendGate::dump() const {
  nlohmann::json Matches = nlohmann::json::object();
  for (std::size_t Index = 0; Index < ParentMatches_.size(); ++Index)
    Matches[std::string(parentMatchName(static_cast<ParentMatch>(Index)))] = ParentMatches_[Index];
  return {{"running", InFlight_},
          {"waiting", Queue_.size()},
          {"limit", limit()},
          {"mean_s", MeanSeconds_},
          {"pace", Pace_.factor()},
          {"backend_server", Config_.BackendServer_.str()},
          {"connections", Client_.connections()},
          {"answer_bytes", Client_.answerBytes()},
          {"answers_waiting", Client_.answers().waiting()},
          {"answers_paused", Client_.answers().paused()},
          {"answers_given_up", Client_.answers().givenUp()},
          {"connections_opened", Client_.opened()},
          {"served", Served_},
          {"refused", Refused_},
          {"refused_by_region", RefusedByRegion_},
          {"unknown", Unknown_},
          {"own_calls_by_parent", std::move(Matches)},
          {"temperature", Temperature_.dump(now())},
          {"closed", isClosed()},
          {"refused_evacuated", Evacuated_},
          {"draining", Draining_}};
}

} // namespace bronzestand::node
