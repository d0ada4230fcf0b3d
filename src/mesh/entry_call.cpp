#include "mesh/entry_call.h"

#include <algorithm>

#include "bronzestand/quarantine.h"
#include "node/clock.h"
#include "node/codec_call.h"

namespace bronzestand::node {
namespace {

/// Attempts of one request. Attempts that a node refuses before they reach a backend server don't
/// use the retry budget; while there are only such attempts, the lower limit applies.
constexpr std::uint32_t MaxAttempts = 6;
/// The same for a request of a class of which many are rejected without being run. At 55 %
/// rejections six attempts fail for 3 % of the calls, and so for a fifth of the requests that need
/// eight.
constexpr std::uint32_t MaxAttemptsDegraded = 32;
constexpr std::uint32_t MaxAttemptsUnreached = 4;
/// Interval between queries for a lost answer, sent over a new link.
constexpr Duration QueryInterval = std::chrono::milliseconds(400);
/// An idempotent request can be sent elsewhere if the first query is not answered.
constexpr std::uint32_t MaxQueriesIdempotent = 1;
/// A request that was only refused as overloaded is not sent again after this part of its time, so
/// that its caller learns in time that it has not run.
constexpr double MaxRefusedShare = 0.25;
/// A request with less time left is not retried.
constexpr Duration MinAttemptTime = std::chrono::milliseconds(20);
/// Attempts at whose end the backend server crashed; each further one may cost another server.
constexpr std::uint32_t MaxCrashes = 2;
/// A quarantined request is refused until its entry expires.
constexpr auto QuarantineRetryAfter =
    std::chrono::duration_cast<std::chrono::seconds>(Quarantine::Lifetime);
constexpr Duration MinRetryAfter = std::chrono::milliseconds(250);
constexpr Duration MaxRetryAfter = std::chrono::seconds(2);
/// An evacuation that leaves a service without servers lasts for seconds at least.
constexpr Duration EvacuatedRetryAfter = std::chrono::seconds(1);

bool reachedServer(const Answer &Result) {
  return Result.Outcome_ != Outcome::NotRun || Result.Refusal_ == Refusal::BackendRejected;
}

/// The node beside the server refused the call because its data centre is evacuated. This is no
/// evidence about the server, and concerns all servers of the data centre.
bool isDiverted(const Answer &Result) {
  return Result.Outcome_ == Outcome::NotRun && Result.Refusal_ == Refusal::Evacuated;
}

/// Also true if the request arrived at a server other than the chosen one, which rejects it. Such
/// an arrival uses the retry budget, but is not one of the servers that the request may reach.
bool arrivedAtServer(const Answer &Result) {
  return reachedServer(Result) || Result.Refusal_ == Refusal::WrongBackend;
}

/// Returns the place of the request to which a call of a backend server belongs, 0 to 1.
double rootPlace(const Call &Outgoing) {
  constexpr double Places = 256.0; // RootStanding::Place_ has one byte
  return Outgoing.Root_ ? Outgoing.Root_->Place_ / Places : 0.0;
}

AttemptResult resultOf(const Answer &Result) {
  if (Result.Outcome_ == Outcome::Served)
    return Result.HttpStatus_ >= 500 ? AttemptResult::Failed : AttemptResult::Served;
  if (!Result.Crashes_.empty())
    return AttemptResult::Unreachable;
  switch (Result.Refusal_) {
  case Refusal::BackendRejected:
    return AttemptResult::Rejected;
  case Refusal::NoBackendServer:
  case Refusal::ShuttingDown:
    return AttemptResult::Unreachable;
  case Refusal::WrongBackend:
    return AttemptResult::WrongServer;
  case Refusal::Overloaded:
  case Refusal::NotReady:
  case Refusal::DeadlineTooShort:
  case Refusal::Quarantined:
  case Refusal::Evacuated:
    return AttemptResult::Busy;
  case Refusal::Cancelled:
  case Refusal::RegionNotAllowed:
    return AttemptResult::Cancelled;
  default:
    return AttemptResult::Failed;
  }
}

HttpResponse toResponse(const Answer &Result, const RequestId &Request, Duration RetryAfter) {
  HttpResponse Response;
  if (Result.Outcome_ != Outcome::Served) {
    Response = refusalResponse(Result.Refusal_, Request, RetryAfter);
    if (Result.Refusal_ == Refusal::Quarantined)
      Response.Headers_.push_back({"Retry-After", std::to_string(QuarantineRetryAfter.count())});
    return Response;
  }
  Response.Status_ = Result.HttpStatus_;
  Response.Headers_ = Result.Headers_;
  Response.Body_ = Result.Body_;
  return Response;
}

} // namespace

EntryCall::EntryCall(Entry &Owner, Call Outgoing, std::string Key, HttpExchangePtr Exchange,
                     std::uint32_t MaxRuns, const ReturnOrder::Place &Place)
    : Owner_(Owner), Call_(std::move(Outgoing)), Key_(std::move(Key)),
      ConfigVersion_(Owner.Env_.Fleet_.version()), Exchange_(std::move(Exchange)),
      MaxRuns_(std::max(1U, MaxRuns)), Place_(Place), Timer_(Owner.Env_.Io_),
      QueryTimer_(Owner.Env_.Io_), Started_(now()), Deadline_(Started_ + Call_.TimeLeft_),
      Objective_(Call_.Objective_) {}

Duration EntryCall::timeLeft() const { return Deadline_ - now(); }

void EntryCall::start() {
  Exchange_->onCancelled([Self = Ptr(this)] { Self->cancel(); });
  Timer_.expires_after(Call_.TimeLeft_);
  Timer_.async_wait([Self = Ptr(this)](const boost::system::error_code &Failure) {
    if (!Failure)
      Self->onTimeout();
  });
  startAttempt();
}

void EntryCall::startAttempt() {
  const Ptr Keep(this);
  const TimePoint Now = now();
  if (Call_.Id_ != 0)
    Owner_.Running_.erase(Call_.Id_);
  // Each attempt has its own id, so that a late answer to an earlier attempt is not mistaken for
  // the answer to this one.
  Call_.Id_ = ++Owner_.LastCall_;
  Owner_.Running_.emplace(Call_.Id_, Keep);
  const BackendServer *Server = chooseServer(Now);
  if (Server == nullptr) {
    finish(Answer::refused(Call_.Id_, reasonWithoutServer()));
    return;
  }
  Server_ = Server->Id_;
  DataCentre_ = Server->DataCentre_;
  Host_ = Server->Host_;
  Region_ = Owner_.Choice_.regionOf(*Server);
  TriedServers_.insert(Server_);
  Owner_.Choice_.started(Server_);
  AttemptRunning_ = true;
  AttemptStarted_ = Now;
  ++Attempt_;
  Link_ = 0;
  QueriedIncarnation_ = 0;
  Queries_ = 0;
  Call_.TimeLeft_ = Deadline_ - Now;
  Call_.Objective_ = std::max(Duration::zero(), Started_ + Objective_ - Now);
  Call_.Known_ = Owner_.Env_.Fleet_.knowledge();
  Call_.ServerRate_ = Owner_.Choice_.rateOf(Now, Server_);
  Call_.Failing_ = Owner_.Choice_.failures(Now, Owner_.Env_.Fleet_.servers());
  // What an earlier attempt has run is repeated by this one, also the calls that it made.
  if (Call_.Root_ && (MayHaveRun_ || LastError_))
    Call_.Root_->Repeated_ = true;
  const std::string &Name = Owner_.Env_.Names_.ExpectedServer_;
  if (!Call_.Headers_.empty() && Call_.Headers_.back().Name_ == Name)
    Call_.Headers_.pop_back();
  Call_.Headers_.push_back({Name, Server_});
  if (Host_ != Owner_.Env_.Config_.Host_) {
    sendRemote();
    return;
  }
  Owner_.Env_.Gate_.submitCall(Host_, Call_,
                               [Self = Ptr(this), Attempt = Attempt_](const Answer &Result) {
                                 if (Attempt == Self->Attempt_)
                                   Self->onAnswer(Result);
                               });
}

ServerScope EntryCall::scope() const {
  ServerScope Scope = Owner_.scopeOf(Call_);
  Scope.Evacuated_.insert(ClosedCentres_.begin(), ClosedCentres_.end());
  return Scope;
}

// A request may reach at most MaxRuns_ servers. After that it may only be sent again to a server
// that rejected it, because that server may have been full briefly or reject only some of its
// requests.
const BackendServer *EntryCall::chooseServer(TimePoint Now) const {
  const BackendDirectory &Servers = Owner_.Env_.Fleet_.servers();
  ServerScope Scope = scope();
  if (ReachedServers_.size() >= MaxRuns_) {
    for (const BackendServer *Server : Servers.findByService(Call_.Service_))
      if (RejectingServers_.count(Server->Id_) == 0)
        Scope.Excluded_.insert(Server->Id_);
  } else {
    Scope.Excluded_ = TriedServers_;
  }
  // The configuration of a node that refused the request may be newer than that of this node.
  if (!RefusedRegions_.empty())
    for (const BackendServer *Server : Servers.findByService(Call_.Service_))
      if (RefusedRegions_.count(Owner_.Choice_.regionOf(*Server)) != 0)
        Scope.Excluded_.insert(Server->Id_);
  return Owner_.Choice_.choose(Now, Servers, Call_.Service_, Scope, Objective_,
                               Owner_.expectedBytes(Call_));
}

Refusal EntryCall::reasonWithoutServer() const {
  if (!RefusedRegions_.empty())
    return Refusal::RegionNotAllowed;
  const ServerScope Scope = scope();
  bool Allowed = false;
  bool Open = false; // an allowed server outside the evacuated data centres
  for (const BackendServer *Server : Owner_.Env_.Fleet_.servers().findByService(Call_.Service_)) {
    if (Server->Leaving_ ||
        (Scope.Regions_ && Scope.Regions_->count(Owner_.Choice_.regionOf(*Server)) == 0))
      continue;
    Allowed = true;
    Open = Open || Scope.Evacuated_.count(Server->DataCentre_) == 0;
  }
  if (!Allowed)
    return Scope.Regions_ ? Refusal::NoAllowedServer : Refusal::NoBackendServer;
  return Open ? Refusal::NoBackendServer : Refusal::Evacuated;
}

std::optional<Refusal> EntryCall::placementRefusal() const {
  const ServerScope Scope = scope();
  if (Scope.Regions_ && Scope.Regions_->count(Region_) == 0)
    return Refusal::RegionNotAllowed;
  return Scope.Evacuated_.count(DataCentre_) != 0 ? std::optional(Refusal::Evacuated)
                                                  : std::nullopt;
}

bool EntryCall::isAuthorized() const {
  const FleetState &Fleet = Owner_.Env_.Fleet_;
  if (Call_.Team_.empty() || Fleet.version() == ConfigVersion_ || Fleet.config().Teams_.empty())
    return true;
  const auto Found = Fleet.keys().authenticate(Key_);
  return Found && Found->Team_ == Call_.Team_;
}

void EntryCall::sendRemote() {
  // A call that was already reported as not run must not be sent when a link opens later, and none
  // to a region that the configuration no longer allows, to an evacuated data centre, or with a key
  // that was withdrawn.
  Owner_.Env_.Links_.send(
      Host_, MessageKind::Call, Call_,
      [Self = Ptr(this), Attempt = Attempt_](LinkId Link) { Self->onSent(Attempt, Link); },
      [Self = Ptr(this), Attempt = Attempt_] {
        return !Self->Done_ && !Self->CallerGone_ && Attempt == Self->Attempt_ &&
               !Self->placementRefusal() && Self->isAuthorized();
      },
      Attempt_ > 1 ? Sending::Repeat : Sending::First);
}

void EntryCall::onSent(std::uint32_t Attempt, LinkId Link) {
  if (Done_ || Attempt != Attempt_)
    return;
  Link_ = Link;
  if (Link == 0)
    onAttemptEnd(Answer::refused(Call_.Id_, placementRefusal().value_or(Refusal::NoBackendServer)));
}

void EntryCall::onAnswer(const Answer &Result) {
  if (Done_ || Result.Id_ != Call_.Id_)
    return;
  if (Result.ServerLeaving_)
    Owner_.Env_.Fleet_.noteLeaving(Server_);
  if (Result.Load_.Limit_ != 0)
    Owner_.Choice_.report(now(), Server_, Result.Load_);
  if (!isDiverted(Result))
    Owner_.noteLoad(Call_, Server_, Result.Load_);
  Owner_.noteBytes(Call_, Result);
  onAttemptEnd(Result);
}

void EntryCall::onLinkDown(const HostId &Host) {
  // The answer may arrive on a different link to the host than the one that carried the call, so
  // the loss of any link to the host starts a query.
  if (Done_ || Host != Host_ || Link_ == 0 || QueriedIncarnation_ != 0)
    return;
  const auto Run = Owner_.LinkIncarnations_.find(Link_);
  if (Run == Owner_.LinkIncarnations_.end()) {
    onAttemptEnd(Answer::refused(Call_.Id_, Refusal::ConnectionLost));
    return;
  }
  QueriedIncarnation_ = Run->second;
  query();
}

// The host stores answers for some seconds. If the call never arrived, the host refuses it, also
// when it arrives later. A host that does not reply may only be silent for a while, so a call that
// is not sent elsewhere stays there until its deadline; a host that has restarted says so.
void EntryCall::query() {
  const Answer Lost = Answer::refused(Call_.Id_, Refusal::ConnectionLost);
  if (Queries_ >= MaxQueriesIdempotent && Call_.Idempotent_ && mayRetry(Lost)) {
    endAttempt(Lost);
    retry(Lost);
    return;
  }
  ++Queries_;
  QueryTimer_.expires_after(QueryInterval);
  QueryTimer_.async_wait(
      [Self = Ptr(this), Id = Call_.Id_](const boost::system::error_code &Failure) {
        if (!Failure && !Self->Done_ && Id == Self->Call_.Id_ && Self->QueriedIncarnation_ != 0)
          Self->query();
      });
  Owner_.Env_.Links_.send(Host_, MessageKind::CallQuery,
                          nlohmann::json::array({Call_.Id_, QueriedIncarnation_}));
}

bool EntryCall::mayRetry(const Answer &Result) {
  const std::uint32_t Attempts = Attempt_ - Diverted_;
  const RouteHealth &Health = Owner_.Env_.Health_;
  const bool Rejected =
      Result.Outcome_ == Outcome::NotRun && Result.Refusal_ == Refusal::BackendRejected;
  const std::uint32_t Most =
      Rejected && Health.isLimited(now(), Call_.Class_) ? MaxAttemptsDegraded : MaxAttempts;
  if (Result.Outcome_ != Outcome::NotRun && Health.needsLimited(now(), Call_.Class_))
    return false;
  if (CallerGone_ || !isAuthorized() || Attempts >= Most || timeLeft() < MinAttemptTime ||
      Owner_.mayOutlastDrain(timeLeft()))
    return false;
  const bool Served = Result.Outcome_ == Outcome::Served;
  if (Served && (Result.HttpStatus_ < 500 || !Call_.Idempotent_))
    return false;
  if (Result.Outcome_ == Outcome::Unknown && !Call_.Idempotent_)
    return false;
  if (Result.Outcome_ == Outcome::NotRun &&
      (Result.Refusal_ == Refusal::Cancelled || Result.Refusal_ == Refusal::Quarantined))
    return false;
  if (Crashes_ >= MaxCrashes)
    return false;
  // The attempt was paid for when it began, and each such refusal leaves out a whole data centre.
  if (isDiverted(Result))
    return true;
  if (Arrivals_ == 0) {
    const bool Late = now() - Started_ > (Deadline_ - Started_) * MaxRefusedShare;
    return Attempts < MaxAttemptsUnreached && !(Late && Result.Refusal_ == Refusal::Overloaded);
  }
  return (ReachedServers_.size() < MaxRuns_ || !RejectingServers_.empty()) &&
         Owner_.Budget_.take(now(), Call_.Service_, !Call_.Team_.empty(), rootPlace(Call_));
}

void EntryCall::endAttempt(const Answer &Result) {
  if (!std::exchange(AttemptRunning_, false))
    return;
  if (!Result.Crashes_.empty()) {
    ++Crashes_;
    Call_.Crashes_ = Result.Crashes_;
  }
  if (isDiverted(Result)) {
    ++Diverted_;
    ClosedCentres_.insert(DataCentre_);
  }
  Arrivals_ += arrivedAtServer(Result) ? 1 : 0;
  if (Result.Outcome_ == Outcome::NotRun && Result.Refusal_ == Refusal::RegionNotAllowed)
    RefusedRegions_.insert(Region_);
  if (reachedServer(Result)) {
    ReachedServers_.insert(Server_);
    Owner_.Rooms_.arrived(now(), Call_.Service_, Result.Outcome_ != Outcome::NotRun);
  }
  if (Result.Outcome_ == Outcome::NotRun && Result.Refusal_ == Refusal::BackendRejected)
    RejectingServers_.insert(Server_);
  else
    RejectingServers_.erase(Server_);
  const AttemptResult End = CallerGone_ ? AttemptResult::Cancelled : resultOf(Result);
  Owner_.Choice_.finished(now(), Server_, End);
}

void EntryCall::onAttemptEnd(const Answer &Result) {
  const Ptr Keep(this);
  endAttempt(Result);
  if (mayRetry(Result))
    retry(Result);
  else
    finish(Result);
}

void EntryCall::retry(const Answer &Result) {
  if (Result.Outcome_ == Outcome::Unknown)
    MayHaveRun_ = Result.Refusal_;
  if (Result.Outcome_ != Outcome::NotRun && Call_.Root_)
    Call_.Root_->Repeated_ = true;
  if (Result.Outcome_ == Outcome::Served)
    LastError_ = Result;
  log(Result, false);
  Owner_.Env_.Metrics_.retried();
  startAttempt();
}

void EntryCall::onTimeout() {
  if (Done_)
    return;
  const bool Unsent = isUnsent();
  sendCancel();
  finish(Answer::refused(Call_.Id_, Unsent ? Refusal::DeadlineTooShort : Refusal::TimedOut));
}

// finish() considers the earlier attempts. The message of a call that waits for a link is dropped
// once the call has ended.
bool EntryCall::isUnsent() const {
  if (Host_ == Owner_.Env_.Config_.Host_)
    return Owner_.Env_.Gate_.isWaiting(Host_, Call_.Id_);
  return Link_ == 0;
}

void EntryCall::cancel() {
  if (Done_ || std::exchange(CallerGone_, true))
    return;
  sendCancel();
  if (!Done_)
    finish(Answer::refused(Call_.Id_, Refusal::Cancelled));
}

void EntryCall::abort() {
  if (Done_)
    return;
  const bool Unsent = isUnsent();
  sendCancel();
  finish(Answer::refused(Call_.Id_, Unsent ? Refusal::ShuttingDown : Refusal::ConnectionLost));
}

void EntryCall::sendCancel() {
  if (!AttemptRunning_)
    return;
  if (Host_ == Owner_.Env_.Config_.Host_) {
    ++Attempt_; // ignores its answer
    Owner_.Env_.Gate_.cancel(Host_, Call_.Id_);
  } else if (Link_ != 0) {
    Owner_.Env_.Links_.send(Host_, MessageKind::Cancel, Call_.Id_);
  }
}

void EntryCall::finish(const Answer &Last) {
  if (Done_)
    return;
  const Ptr Keep(this);
  endAttempt(Last);
  Done_ = true;
  Timer_.cancel();
  QueryTimer_.cancel();
  Answer Result = Last;
  if (Result.Outcome_ != Outcome::Served && LastError_) {
    Result = *LastError_; // more informative than the failed retry
  } else if (MayHaveRun_ && Result.Outcome_ == Outcome::NotRun) {
    // The request as a whole was "not run" only if no earlier attempt may have run.
    Result = Answer::refused(Call_.Id_, *MayHaveRun_);
  }
  Owner_.Running_.erase(Call_.Id_);
  log(Result, true);
  Owner_.Env_.Metrics_.ended(Call_.Class_.str(), Result, now() - Started_);
  if (Result.Outcome_ == Outcome::NotRun && !Call_.Team_.empty()) {
    // A call that is cancelled may be running.
    if (Result.Refusal_ != Refusal::Cancelled)
      Owner_.returnToken(Call_);
    Owner_.Order_.refused(now(), Call_.Fingerprint_, Place_);
  }
  Duration Wait =
      Owner_.Choice_.expectedWait(now(), Owner_.Env_.Fleet_.servers(), Call_.Service_, scope());
  if (isDiverted(Result))
    Wait = std::max(Wait, EvacuatedRetryAfter);
  // A server returns to the allowed regions, or a change of the configuration is made, in seconds.
  if (Result.Refusal_ == Refusal::NoAllowedServer)
    Wait = MaxRetryAfter;
  Call_.TimeLeft_ = timeLeft();
  Exchange_->respond(
      toResponse(Result, Call_.Request_,
                 Owner_.retryAfter(std::clamp(Wait, MinRetryAfter, MaxRetryAfter), Call_)));
  Exchange_ = nullptr;
}

void EntryCall::log(const Answer &Result, bool Final) {
  const TimePoint Now = now();
  const bool Served = Result.Outcome_ == Outcome::Served;
  const EventClass Class = Served && Final && Result.HttpStatus_ < 500 && Attempt_ == 1
                               ? EventClass::Routine
                               : EventClass::Decision;
  if (!Owner_.Env_.Events_.mayWrite(Now, Class))
    return;
  Owner_.Env_.Events_.write(
      Now, Class, "entry", Final ? "answered" : "retry",
      {{"request", Call_.Request_.str()},
       {"call", Call_.Id_},
       {"route", Call_.Class_.str()},
       {"team", Call_.Team_.str()},
       {"service", Call_.Service_.str()},
       {"fingerprint", fingerprintText(Call_.Fingerprint_)},
       {"server", Server_},
       {"server_host", Host_.str()},
       {"outcome", outcomeName(Result.Outcome_)},
       {"status", Served ? Result.HttpStatus_ : refusalInfo(Result.Refusal_).HttpStatus_},
       {"reason", Served ? "" : refusalInfo(Result.Refusal_).Name_},
       {"tries", Attempt_},
       {"arrivals", Arrivals_},
       {"age_us", (Now - Started_).count()},
       {"time_left_us", (Deadline_ - Now).count()},
       {"config_version", Owner_.Env_.Fleet_.version()},
       {"revision", Call_.Known_.Position_.Revision_}});
}

} // namespace bronzestand::node
