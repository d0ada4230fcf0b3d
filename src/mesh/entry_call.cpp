#include "mesh/entry_call.h"

#include <algorithm>

#include "node/clock.h"
#include "node/codec_call.h"

namespace bronzestand::node {
namespace {

/// Tries of one request. Those that end at a node's queue and reach no backend server need no
/// budget, so there are fewer of them.
constexpr std::uint32_t MaxTries = 6;
constexpr std::uint32_t MaxTriesUnreached = 4;
/// A lost answer is asked for in this interval, over a new link.
constexpr Duration QueryInterval = std::chrono::milliseconds(400);
constexpr std::uint32_t MaxQueries = 3;
/// A request that may be repeated is not worth more than one question.
constexpr std::uint32_t MaxQueriesIdempotent = 1;
/// Shortest time in which another try makes sense.
constexpr Duration MinTryTime = std::chrono::milliseconds(20);
constexpr Duration MinRetryAfter = std::chrono::milliseconds(250);
constexpr Duration MaxRetryAfter = std::chrono::seconds(2);

bool reachedServer(const Answer &Result) {
  return Result.Outcome_ != Outcome::NotRun || Result.Refusal_ == Refusal::BackendRejected;
}

AttemptResult resultOf(const Answer &Result) {
  if (Result.Outcome_ == Outcome::Served)
    return Result.HttpStatus_ >= 500 ? AttemptResult::Failed : AttemptResult::Served;
  switch (Result.Refusal_) {
  case Refusal::BackendRejected:
    return AttemptResult::Rejected;
  case Refusal::NoBackendServer:
  case Refusal::ShuttingDown:
    return AttemptResult::Unreachable;
  case Refusal::WrongBackend:
    return AttemptResult::WrongServer;
  case Refusal::Overloaded:
  case Refusal::DeadlineTooShort:
    return AttemptResult::Busy;
  case Refusal::Cancelled:
    return AttemptResult::Cancelled;
  default:
    return AttemptResult::Failed;
  }
}

HttpResponse toResponse(const Answer &Result, const RequestId &Request, Duration RetryAfter) {
  if (Result.Outcome_ != Outcome::Served)
    return refusalResponse(Result.Refusal_, Request, RetryAfter);
  HttpResponse Response;
  Response.Status_ = Result.HttpStatus_;
  Response.Headers_ = Result.Headers_;
  Response.Body_ = Result.Body_;
  return Response;
}

} // namespace

EntryCall::EntryCall(Entry &Owner, Call Work, HttpExchangePtr Exchange, std::uint32_t MaxRuns)
    : Owner_(Owner), Work_(std::move(Work)), Exchange_(std::move(Exchange)),
      MaxRuns_(std::max(1U, MaxRuns)), Timer_(Owner.Env_.Io_), QueryTimer_(Owner.Env_.Io_),
      Started_(now()), Deadline_(Started_ + Work_.TimeLeft_), Objective_(Work_.Objective_) {}

Duration EntryCall::timeLeft() const { return Deadline_ - now(); }

void EntryCall::start() {
  Exchange_->onCancelled([Self = Ptr(this)] { Self->cancel(); });
  Timer_.expires_after(Work_.TimeLeft_);
  Timer_.async_wait([Self = Ptr(this)](const boost::system::error_code &Failure) {
    if (!Failure)
      Self->onTimeout();
  });
  attempt();
}

void EntryCall::attempt() {
  const Ptr Keep(this);
  const TimePoint Now = now();
  if (Work_.Id_ != 0)
    Owner_.Running_.erase(Work_.Id_);
  // Each try has an id of its own, so that a late answer to an earlier one is not taken for this.
  Work_.Id_ = ++Owner_.LastCall_;
  Owner_.Running_.emplace(Work_.Id_, Keep);
  const BackendServer *Server = chooseServer(Now);
  if (Server == nullptr) {
    finish(Answer::refused(Work_.Id_, Refusal::NoBackendServer));
    return;
  }
  Server_ = Server->Id_;
  Host_ = Server->Host_;
  Tried_.insert(Server_);
  Owner_.Choice_.started(Server_);
  TryRuns_ = true;
  TryStarted_ = Now;
  ++Try_;
  Link_ = 0;
  HostRun_ = 0;
  Queries_ = 0;
  Work_.TimeLeft_ = Deadline_ - Now;
  Work_.Objective_ = std::max(Duration::zero(), Started_ + Objective_ - Now);
  Work_.Known_ = Owner_.Env_.Fleet_.revision();
  const std::string &Name = Owner_.Env_.Names_.ExpectedServer_;
  if (!Work_.Headers_.empty() && Work_.Headers_.back().Name_ == Name)
    Work_.Headers_.pop_back();
  Work_.Headers_.push_back({Name, Server_});
  if (Host_ != Owner_.Env_.Config_.Host_) {
    sendRemote();
    return;
  }
  Owner_.Env_.Gate_.submitCall(Host_, Work_, [Self = Ptr(this), Try = Try_](const Answer &Result) {
    if (Try == Self->Try_)
      Self->onAnswer(Result);
  });
}

// A request may go to a number of servers. Beyond it, it may go again to one that rejected it,
// which may be full for a moment or reject a part of its requests only.
const BackendServer *EntryCall::chooseServer(TimePoint Now) const {
  const BackendDirectory &Servers = Owner_.Env_.Fleet_.servers();
  std::set<std::string> Excluded = Tried_;
  if (Reached_.size() >= MaxRuns_) {
    Excluded.clear();
    for (const BackendServer *Server : Servers.findByService(Work_.Service_))
      if (Rejected_.count(Server->Id_) == 0)
        Excluded.insert(Server->Id_);
  }
  return Owner_.Choice_.choose(Now, Servers, Work_.Service_, Excluded, Objective_,
                               Owner_.expectedBytes(Work_));
}

void EntryCall::sendRemote() {
  // A call that was reported as not run must not leave the node when a link opens later.
  Owner_.Env_.Links_.send(
      Host_, MessageKind::Call, Work_,
      [Self = Ptr(this), Try = Try_](LinkId Link) { Self->onSent(Try, Link); },
      [Self = Ptr(this), Try = Try_] {
        return !Self->Done_ && !Self->CallerGone_ && Try == Self->Try_;
      });
}

void EntryCall::onSent(std::uint32_t Try, LinkId Link) {
  if (Done_ || Try != Try_)
    return;
  Link_ = Link;
  if (Link == 0)
    onTryEnd(Answer::refused(Work_.Id_, Refusal::NoBackendServer));
}

void EntryCall::onAnswer(const Answer &Result) {
  if (Done_ || Result.Id_ != Work_.Id_)
    return;
  if (Result.Load_.Limit_ != 0)
    Owner_.Choice_.report(now(), Server_, Result.Load_);
  Owner_.noteLoad(Work_, Result.Load_);
  Owner_.noteBytes(Work_, Result);
  onTryEnd(Result);
}

void EntryCall::onLinkDown(const HostId &Host) {
  // The answer may come over another link to the host than the one that carried the call.
  if (Done_ || Host != Host_ || Link_ == 0 || HostRun_ != 0)
    return;
  const auto Run = Owner_.LinkRuns_.find(Link_);
  if (Run == Owner_.LinkRuns_.end()) {
    onTryEnd(Answer::refused(Work_.Id_, Refusal::ConnectionLost));
    return;
  }
  HostRun_ = Run->second;
  query();
}

// The host keeps answers for some seconds, and refuses for good a call that never arrived.
void EntryCall::query() {
  const std::uint32_t Most = Work_.Idempotent_ ? MaxQueriesIdempotent : MaxQueries;
  if (Queries_ >= Most) {
    onTryEnd(Answer::refused(Work_.Id_, Refusal::ConnectionLost));
    return;
  }
  ++Queries_;
  const CallId Id = Work_.Id_;
  QueryTimer_.expires_after(QueryInterval);
  QueryTimer_.async_wait([Self = Ptr(this), Id](const boost::system::error_code &Failure) {
    if (!Failure && !Self->Done_ && Id == Self->Work_.Id_ && Self->HostRun_ != 0)
      Self->query();
  });
  Owner_.Env_.Links_.send(Host_, MessageKind::CallQuery, nlohmann::json::array({Id, HostRun_}));
}

bool EntryCall::mayRetry(const Answer &Result) {
  if (CallerGone_ || Try_ >= MaxTries || timeLeft() < MinTryTime)
    return false;
  const bool Served = Result.Outcome_ == Outcome::Served;
  if (Served && (Result.HttpStatus_ < 500 || !Work_.Idempotent_))
    return false;
  if (Result.Outcome_ == Outcome::Unknown && !Work_.Idempotent_)
    return false;
  if (Result.Outcome_ == Outcome::NotRun && Result.Refusal_ == Refusal::Cancelled)
    return false;
  if (Reached_.empty())
    return Try_ < MaxTriesUnreached;
  return (Reached_.size() < MaxRuns_ || !Rejected_.empty()) &&
         Owner_.Budget_.take(now(), Work_.Service_, !Work_.Team_.empty());
}

void EntryCall::endTry(const Answer &Result) {
  if (!std::exchange(TryRuns_, false))
    return;
  if (reachedServer(Result)) {
    ++Arrivals_;
    Reached_.insert(Server_);
  }
  if (Result.Outcome_ == Outcome::NotRun && Result.Refusal_ == Refusal::BackendRejected)
    Rejected_.insert(Server_);
  else
    Rejected_.erase(Server_);
  const AttemptResult End = CallerGone_ ? AttemptResult::Cancelled : resultOf(Result);
  Owner_.Choice_.finished(now(), Server_, End);
}

void EntryCall::onTryEnd(const Answer &Result) {
  const Ptr Keep(this);
  endTry(Result);
  if (!mayRetry(Result)) {
    finish(Result);
    return;
  }
  if (Result.Outcome_ == Outcome::Unknown)
    MayHaveRun_ = Result.Refusal_;
  if (Result.Outcome_ == Outcome::Served)
    LastError_ = Result;
  log(Result, false);
  Owner_.Env_.Metrics_.retried();
  attempt();
}

void EntryCall::onTimeout() {
  if (Done_)
    return;
  sendCancel();
  const bool NeverSent = Try_ <= 1 && Link_ == 0 && Host_ != Owner_.Env_.Config_.Host_;
  finish(Answer::refused(Work_.Id_, NeverSent ? Refusal::DeadlineTooShort : Refusal::TimedOut));
}

void EntryCall::cancel() {
  if (Done_ || std::exchange(CallerGone_, true))
    return;
  sendCancel();
  if (!Done_)
    finish(Answer::refused(Work_.Id_, Refusal::Cancelled));
}

void EntryCall::abort() {
  if (Done_)
    return;
  sendCancel();
  finish(Answer::refused(Work_.Id_, Refusal::ConnectionLost));
}

void EntryCall::sendCancel() {
  if (!TryRuns_)
    return;
  if (Host_ == Owner_.Env_.Config_.Host_) {
    ++Try_; // its answer is of no use
    Owner_.Env_.Gate_.cancel(Host_, Work_.Id_);
  } else if (Link_ != 0) {
    Owner_.Env_.Links_.send(Host_, MessageKind::Cancel, Work_.Id_);
  }
}

void EntryCall::finish(const Answer &Last) {
  if (Done_)
    return;
  const Ptr Keep(this);
  endTry(Last);
  Done_ = true;
  Timer_.cancel();
  QueryTimer_.cancel();
  Answer Result = Last;
  if (Result.Outcome_ != Outcome::Served && LastError_) {
    Result = *LastError_; // the answer of a backend server tells more than the failed repetition
  } else if (MayHaveRun_ && Result.Outcome_ == Outcome::NotRun) {
    // "Not run" holds for the whole request only if no earlier try may have run.
    Result = Answer::refused(Work_.Id_, *MayHaveRun_);
  }
  Owner_.Running_.erase(Work_.Id_);
  log(Result, true);
  Owner_.Env_.Metrics_.ended(Work_.Class_.str(), Result, now() - Started_);
  const Duration Wait =
      Owner_.Choice_.expectedWait(now(), Owner_.Env_.Fleet_.servers(), Work_.Service_);
  Exchange_->respond(
      toResponse(Result, Work_.Request_, std::clamp(Wait, MinRetryAfter, MaxRetryAfter)));
  Exchange_ = nullptr;
}

void EntryCall::log(const Answer &Result, bool Final) {
  const TimePoint Now = now();
  const bool Served = Result.Outcome_ == Outcome::Served;
  const EventClass Class = Served && Final && Result.HttpStatus_ < 500 && Try_ == 1
                               ? EventClass::Routine
                               : EventClass::Decision;
  if (!Owner_.Env_.Events_.mayWrite(Now, Class))
    return;
  Owner_.Env_.Events_.write(
      Now, Class, "entry", Final ? "answered" : "retry",
      {{"request", Work_.Request_.str()},
       {"call", Work_.Id_},
       {"route", Work_.Class_.str()},
       {"team", Work_.Team_.str()},
       {"service", Work_.Service_.str()},
       {"server", Server_},
       {"server_host", Host_.str()},
       {"outcome", outcomeName(Result.Outcome_)},
       {"status", Served ? Result.HttpStatus_ : refusalInfo(Result.Refusal_).HttpStatus_},
       {"reason", Served ? "" : refusalInfo(Result.Refusal_).Name_},
       {"tries", Try_},
       {"arrivals", Arrivals_},
       {"age_us", (Now - Started_).count()},
       {"time_left_us", (Deadline_ - Now).count()},
       {"config_version", Owner_.Env_.Fleet_.version()},
       {"revision", Work_.Known_}});
}

} // namespace bronzestand::node
