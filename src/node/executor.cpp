#include "node/executor.h"

#include <algorithm>

#include "node/clock.h"

namespace bronzestand::node {
namespace {

// The backend servers of the reference deployments accept 150 to 550 connections; the learned
// concurrency limit stays far below that.
constexpr std::size_t MaxBackendConnections = 300;
// Applies without Mechanism::Dispatcher, where nothing else limits the calls in flight.
constexpr std::size_t MaxConnectionsWithoutDispatcher = 4096;
// Time after its deadline for which the answer to a claimed call is still awaited, because a late
// answer is returned to resends.
constexpr Duration LateAnswerPeriod = std::chrono::seconds(10);

std::string toMilliseconds(Duration Time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

CallResult resultOf(const HttpResponse &Response) {
  if (Response.Status_ == 503)
    return CallResult::Shed;
  // An error that is returned early is no valid sample of the latency of complete answers.
  return Response.Status_ >= 500 ? CallResult::Failed : CallResult::Served;
}

} // namespace

Executor::Executor(boost::asio::io_context &Io, const Settings &Config, const ConfigPart &Documents,
                   CallContexts &Contexts, ClaimsPart &Claims, CrashGuard &Guard,
                   Metrics &TimeMetrics, const AdmissionPart &Admission, CallAttempts &Attempts)
    : Config_(Config), Documents_(Documents), Contexts_(Contexts), Claims_(Claims), Guard_(Guard),
      Metrics_(TimeMetrics), Admission_(Admission), Attempts_(Attempts),
      Log_(makeLogger("executor")), Queue_(Io, Config),
      Backend_(Io, Config.BackendServer_,
               Config.isEnabled(Mechanism::Dispatcher) ? MaxBackendConnections
                                                       : MaxConnectionsWithoutDispatcher) {}

absl::Status Executor::start() {
  Claims_.setRedirectHandler(
      [this](const HostId &From, Call Request, Incarnation Owner, ClaimsPart::Reply Done) {
        submit(From, std::move(Request), std::move(Done), Owner);
      });
  return absl::OkStatus();
}

void Executor::submit(const HostId &Caller, Call Request, Reply Done,
                      std::optional<Incarnation> Redirected) {
  const CallKey Key(Caller, Request.Id_);
  if (Running_.count(Key) != 0)
    return; // duplicate message; the first one will be answered
  RunningCall &Item = Running_[Key];
  Item.Call_ = std::move(Request);
  Item.Done_ = std::move(Done);
  Item.Redirected_ = Redirected;
  Item.Submitted_ = now();
  Item.Deadline_ = Item.Submitted_ + Item.Call_.TimeLeft_;
  const RouteSpec *Route =
      Documents_.catalogue().matchRoute(Item.Call_.Method_, pathOf(Item.Call_.Target_));
  if (Route != nullptr)
    Item.Route_ = routeName(*Route);
  const Call &Current = Item.Call_;
  // A redirected call may fetch the answer of an earlier run on this host, so it is accepted even
  // while this node drains.
  if (Draining_ && !Redirected)
    finish(Key, Answer::refused(Current.Id_, Refusal::ShuttingDown));
  else if (Current.TimeLeft_ <= Duration::zero())
    finish(Key, Answer::refused(Current.Id_, Refusal::DeadlineTooShort));
  else if (!hasValidKey(Current.Team_, Current.KeyId_))
    finish(Key, Answer::refused(Current.Id_, Refusal::KeyUnknown));
  else if (Claims_.covers(Current))
    claim(Key);
  else
    enqueue(Key);
}

bool Executor::hasValidKey(const TeamId &Team, const std::string &KeyId) const {
  return Team.empty() || Documents_.keys().isValid(Team, KeyId);
}

void Executor::enqueue(const CallKey &Key) {
  RunningCall &Item = Running_.at(Key);
  const Call &Current = Item.Call_;
  const ClassSpec *Class = Documents_.catalogue().findClass(Current.Class_);
  Item.QueueId_ = ++LastQueueId_;
  QueueEntry Entry;
  Entry.Id_ = Item.QueueId_;
  Entry.Team_ = Current.Team_;
  Entry.KeyId_ = Current.KeyId_;
  Entry.Standing_ = Current.Standing_;
  Entry.Protected_ = Class != nullptr && !Class->MayBeShed_;
  Entry.Deadline_ = Item.Deadline_;
  Queue_.offer(Entry, [this, Key](std::optional<Refusal> Reason) { onReady(Key, Reason); });
}

void Executor::onReady(const CallKey &Key, std::optional<Refusal> Reason) {
  const auto Found = Running_.find(Key);
  if (Found == Running_.end())
    return; // the call ended while it was queued
  Found->second.Dispatched_ = !Reason;
  if (Reason)
    finish(Key, Answer::refused(Key.second, *Reason));
  else
    dispatch(Key);
}

void Executor::onKeysChanged() {
  Queue_.removeIf(
      [this](const QueueEntry &Entry) { return !hasValidKey(Entry.Team_, Entry.KeyId_); },
      Refusal::KeyUnknown);
}

void Executor::claim(const CallKey &Key) {
  RunningCall &Item = Running_.at(Key);
  Claims_.begin(Item.Call_, Item.Redirected_,
                [this, Key](ClaimId Id, std::optional<Answer> KnownAnswer) {
                  const auto Found = Running_.find(Key);
                  if (KnownAnswer) {
                    finish(Key, *std::move(KnownAnswer));
                  } else if (Found == Running_.end()) {
                    // The call was cancelled meanwhile; the refusal also answers resends that wait
                    // for this run.
                    Claims_.finished(Id, Answer::refused(Key.second, Refusal::ClaimUnavailable));
                  } else {
                    Found->second.Claim_ = Id;
                    enqueue(Key);
                  }
                });
}

void Executor::dispatch(const CallKey &Key) {
  RunningCall &Item = Running_.at(Key);
  Guard_.enter(Key, Item.Call_, Item.Call_.TimeLeft_ / 2,
               [this, Key](std::optional<Refusal> Reason) {
                 if (Reason)
                   finish(Key, Answer::refused(Key.second, *Reason));
                 else
                   run(Key);
               });
}

void Executor::run(const CallKey &Key) {
  const auto Found = Running_.find(Key);
  if (Found == Running_.end())
    return; // the call ended while it waited for the crash guard
  RunningCall &Item = Found->second;
  Item.Sent_ = now();
  Item.Call_.TimeLeft_ = Item.Deadline_ - Item.Sent_;
  const Call &Current = Item.Call_;
  CallContext Context;
  Context.Route_ = Item.Route_;
  Context.Request_ = Current.Request_;
  Context.Team_ = Current.Team_;
  Context.KeyId_ = Current.KeyId_;
  Context.Class_ = Current.Class_;
  Context.Standing_ = Current.Standing_;
  Context.Deadline_ = Item.Deadline_;
  Context.IdempotencyKey_ = Current.IdempotencyKey_;
  // The call itself uses one attempt of its allowance.
  Context.Attempts_ = Attempts_.account(Context.Route_, std::max(Current.Attempts_, 1U) - 1);
  Item.Token_ = Contexts_.add(std::move(Context));

  HttpRequest Request;
  Request.Method_ = Current.Method_;
  Request.Target_ = Current.Target_;
  Request.Headers_ = Current.Headers_;
  const auto AddHeader = [&](const char *Name, std::string Value) {
    if (!Value.empty())
      Request.Headers_.push_back({Name, std::move(Value)});
  };
  AddHeader("Bronzestand-Call", Item.Token_);
  AddHeader("Bronzestand-Request-Id", Current.Request_.str());
  AddHeader("Bronzestand-Team", Current.Team_.str());
  AddHeader("Bronzestand-Class", Current.Class_.str());
  AddHeader("Bronzestand-Deadline-Ms", toMilliseconds(Current.TimeLeft_));
  AddHeader("Idempotency-Key", Current.IdempotencyKey_);
  SendOptions Options;
  Options.Body_ = Current.Body_;
  const ClaimId Claim = Item.Claim_;
  const Duration Limit = Claim == 0 ? Current.TimeLeft_ : Current.TimeLeft_ + LateAnswerPeriod;
  // The claim is checked again before the request is written, because opening a connection may
  // take time.
  Item.Request_ = Backend_.send(
      std::move(Request), Limit,
      [this, Key](HttpResult Result, HttpResponse Response) {
        onBackendResult(Key, Result, std::move(Response));
      },
      Claim == 0 ? HttpClient::MayWrite() : [this, Claim] { return Claims_.stillValid(Claim); },
      std::move(Options));
}

void Executor::onBackendResult(const CallKey &Key, HttpResult Result, HttpResponse Response) {
  const auto Found = Running_.find(Key);
  if (Found == Running_.end())
    return;
  Found->second.BackendTime_ = now() - Found->second.Sent_;
  const CallId Id = Found->second.Call_.Id_;
  if (Result == HttpResult::Lost) {
    Guard_.lost(Key, [this, Key](const std::vector<CrashRecord> &) {
      finish(Key, Answer::refused(Key.second, Refusal::ConnectionLost));
    });
    return;
  }
  Answer Done;
  switch (Result) {
  case HttpResult::Answered:
    Found->second.Result_ = resultOf(Response);
    Done.Id_ = Id;
    Done.Outcome_ = Outcome::Served;
    Done.HttpStatus_ = Response.Status_;
    Done.Headers_ = std::move(Response.Headers_);
    Done.Body_ = std::move(Response.Body_);
    break;
  case HttpResult::NotSent:
    Done = Answer::refused(Id, Refusal::NoBackendServer);
    break;
  case HttpResult::TimedOut:
    Done = Answer::refused(Id, Refusal::TimedOut);
    break;
  case HttpResult::Cancelled:
    Found->second.Result_ = CallResult::Cancelled;
    Done = Answer::refused(Id, Refusal::ConnectionLost);
    break;
  case HttpResult::Lost:
  case HttpResult::Invalid:
    Done = Answer::refused(Id, Refusal::ConnectionLost);
    break;
  }
  finish(Key, std::move(Done));
}

void Executor::finish(const CallKey &Key, Answer Result) {
  const auto Found = Running_.find(Key);
  if (Found == Running_.end())
    return;
  const RunningCall Item = std::move(Found->second);
  Running_.erase(Found);
  Guard_.leave(Key, Result.Outcome_ == Outcome::Served);
  const bool Ran = !Item.Token_.empty();
  if (Ran)
    Metrics_.executed(now() - Item.Submitted_ - Item.BackendTime_, Item.Sent_ - Item.Submitted_);
  Result.UnusedAttempts_ = Item.Call_.Attempts_;
  if (const auto Context = Contexts_.remove(Item.Token_)) {
    Context->cancelChildren();
    Result.UnusedAttempts_ = Context->Attempts_ ? Context->Attempts_->settle() : 0;
  }
  Result.Levels_ = Admission_.levels(Item.Route_, Queue_.threshold());
  Result.Leaving_ = Draining_;
  ++(Result.Outcome_ == Outcome::Served   ? Served_
     : Result.Outcome_ == Outcome::NotRun ? Refused_
                                          : Unknown_);
  if (Item.Claim_ != 0)
    Claims_.finished(Item.Claim_, Result);
  Item.Done_(Result);
  if (Item.Dispatched_)
    Queue_.finished(Item.QueueId_, now() - Item.Sent_, Item.Result_);
}

void Executor::abort() {
  std::vector<CallKey> Keys;
  for (const auto &[Key, Item] : Running_)
    Keys.push_back(Key);
  for (const CallKey &Key : Keys) {
    const auto Found = Running_.find(Key);
    if (Found == Running_.end())
      continue;
    const RunningCall &Item = Found->second;
    const bool MayRun = !Item.Token_.empty() || (Claims_.covers(Item.Call_) && Item.Claim_ == 0);
    finish(Key,
           Answer::refused(Key.second, MayRun ? Refusal::ConnectionLost : Refusal::ShuttingDown));
  }
}

void Executor::cancel(const HostId &Caller, CallId Id) {
  const auto Found = Running_.find({Caller, Id});
  if (Found == Running_.end())
    return;
  const RunningCall &Item = Found->second;
  if (Claims_.covers(Item.Call_) && Item.Claim_ == 0) {
    // Another executor may be running the call after a redirect, so an undecided claim doesn't
    // prove that the call was not run.
    finish(CallKey(Caller, Id), Answer::refused(Id, Refusal::TimedOut));
    return;
  }
  if (!Item.Dispatched_ && !Queue_.cancel(Item.QueueId_))
    return;                // the call is being taken from the queue right now
  if (Item.Token_.empty()) // queued, or waiting in the crash guard
    finish(CallKey(Caller, Id), Answer::refused(Id, Refusal::Cancelled));
  else if (Item.Claim_ == 0) // a claimed call runs to its end, because resends get its answer
    Backend_.cancel(Item.Request_);
}

nlohmann::json Executor::dump() const {
  return {{"running", Running_.size()},
          {"queue", Queue_.dump()},
          {"backend_server", Config_.BackendServer_.str()},
          {"backend_connections", Backend_.connections()},
          {"served", Served_},
          {"refused", Refused_},
          {"unknown", Unknown_},
          {"draining", Draining_}};
}

} // namespace bronzestand::node
