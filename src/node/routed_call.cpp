#include "node/routed_call.h"

#include "node/clock.h"
#include "node/codec_call.h"

namespace bronzestand::node {
namespace {

constexpr std::uint32_t MaxTries = 3;
/// A query or its reply may be lost with a second link, so it is repeated until the answer is here.
constexpr std::chrono::milliseconds QueryInterval{1000};
/// A host that cannot be reached for this many queries in a row leaves the outcome unknown.
constexpr std::uint32_t MaxLostQueries = 3;
constexpr std::chrono::milliseconds LostQueryInterval{300};

HttpResponse toResponse(const Answer &Result, const RequestId &Request) {
  if (Result.Outcome_ != Outcome::Served)
    return refusalResponse(Result.Refusal_, Request);
  HttpResponse Response;
  Response.Status_ = Result.HttpStatus_;
  Response.Headers_ = Result.Headers_;
  Response.Headers_.push_back({"Bronzestand-Outcome", "served"});
  Response.Headers_.push_back({"Bronzestand-Request-Id", Request.str()});
  Response.Body_ = Result.Body_;
  return Response;
}

} // namespace

RoutedCall::RoutedCall(Router &Owner, Call Request, HttpExchangePtr Exchange,
                       std::shared_ptr<CallContext> Parent)
    : Owner_(Owner), Call_(std::move(Request)), Exchange_(std::move(Exchange)),
      Parent_(std::move(Parent)), Timer_(Owner.Env_.Io_), QueryTimer_(Owner.Env_.Io_),
      Deadline_(now() + Call_.TimeLeft_), Started_(now()) {
  Record_.Request_ = Call_.Request_;
  Record_.Team_ = Call_.Team_;
  Record_.Class_ = Call_.Class_;
  Record_.Service_ = Call_.Service_;
  Record_.Method_ = Call_.Method_;
  Record_.Child_ = Parent_ != nullptr;
  Record_.Allowance_ = Call_.Attempts_;
}

Duration RoutedCall::timeLeft() const { return Deadline_ - now(); }

void RoutedCall::start() {
  Exchange_->onCancelled([Self = Ptr(this)] { Self->cancel(); });
  Timer_.expires_after(Call_.TimeLeft_);
  Timer_.async_wait([Self = Ptr(this)](const boost::system::error_code &Failure) {
    if (!Failure)
      Self->onDeadline();
  });
  send();
}

void RoutedCall::send() {
  Host_ = Owner_.chooseHost(Call_, Tried_);
  if (Host_.empty()) {
    const bool AllBusy = Owner_.Env_.Hosts_.hasHosts(Call_.Service_);
    const Refusal Reason = AllBusy ? Refusal::Overloaded : Refusal::NoBackendServer;
    finish(Answer::refused(Call_.Id_, LastRefusal_.value_or(Reason)));
    return;
  }
  Owner_.Env_.Hosts_.started(Host_);
  TryRuns_ = true;
  TryStarted_ = now();
  ++Try_;
  Link_ = 0;
  HostRun_ = 0;
  LostQueries_ = 0;
  Tried_.insert(Host_);
  Call_.TimeLeft_ = timeLeft();
  if (Host_ != Owner_.Env_.Config_.Host_) {
    sendRemote();
    return;
  }
  Owner_.Env_.Executor_.submit(
      Host_, Call_, [Self = Ptr(this)](const Answer &Result) { Self->onAnswer(Result); });
}

void RoutedCall::sendRemote() {
  if (!Owner_.Env_.LinkBudget_.mayCall(Host_, Call_)) {
    Answer Result = Answer::refused(Call_.Id_, Refusal::Overloaded);
    Result.UnusedAttempts_ = Call_.Attempts_;
    retryOrFinish(Result);
    return;
  }
  // A call that was reported as not run must not leave the node when a link opens later.
  Owner_.Env_.Links_.send(
      Host_, MessageKind::Call, Call_,
      [Self = Ptr(this), Try = Try_](LinkId Link) { Self->onSent(Try, Link); },
      [Self = Ptr(this), Try = Try_] {
        return !Self->Done_ && !Self->Cancelled_ && Try == Self->Try_;
      });
}

void RoutedCall::onSent(std::uint32_t Try, LinkId Link) {
  if (Done_ || Try != Try_)
    return;
  Link_ = Link;
  if (Link != 0)
    return;
  Answer Result = Answer::refused(Call_.Id_, Refusal::NoBackendServer);
  Result.UnusedAttempts_ = Call_.Attempts_; // the call was never written
  retryOrFinish(Result);
}

void RoutedCall::onAnswer(const Answer &Result) {
  if (Done_ || Result.Id_ != Call_.Id_)
    return;
  if (Result.Outcome_ == Outcome::Served)
    finish(Result);
  else
    retryOrFinish(Result);
}

void RoutedCall::onLinkDown(const HostId &Host) {
  // The answer may come over another link to the host than the one that carried the call.
  if (Done_ || Host != Host_ || Link_ == 0 || HostRun_ != 0)
    return;
  const Answer Lost = Answer::refused(Call_.Id_, Refusal::ConnectionLost);
  const auto Run = Owner_.LinkRuns_.find(Link_);
  if (mayRetry(Lost) || Run == Owner_.LinkRuns_.end()) {
    retryOrFinish(Lost);
    return;
  }
  HostRun_ = Run->second;
  query();
}

void RoutedCall::query() {
  QueryTimer_.expires_after(QueryInterval);
  QueryTimer_.async_wait([Self = Ptr(this)](const boost::system::error_code &Failure) {
    if (!Failure && !Self->Done_ && Self->HostRun_ != 0)
      Self->query();
  });
  const CallId Id = Call_.Id_;
  Owner_.Env_.Links_.send(Host_, MessageKind::CallQuery, nlohmann::json::array({Id, HostRun_}),
                          [Self = Ptr(this), Id](LinkId Link) {
                            if (Link == 0)
                              Self->onQueryLost(Id);
                            else
                              Self->LostQueries_ = 0;
                          });
}

void RoutedCall::onQueryLost(CallId Id) {
  if (Done_ || Id != Call_.Id_)
    return;
  if (++LostQueries_ >= MaxLostQueries) {
    retryOrFinish(Answer::refused(Id, Refusal::ConnectionLost));
    return;
  }
  QueryTimer_.expires_after(LostQueryInterval);
  QueryTimer_.async_wait([Self = Ptr(this), Id](const boost::system::error_code &Failure) {
    if (!Failure && !Self->Done_ && Id == Self->Call_.Id_)
      Self->query();
  });
}

bool RoutedCall::mayRetry(const Answer &Result) const {
  if (Cancelled_ || Try_ >= MaxTries || timeLeft() <= Duration::zero())
    return false;
  if (Result.Outcome_ == Outcome::NotRun)
    return refusalInfo(Result.Refusal_).MayRetry_;
  return Call_.Idempotent_ && !Call_.AtMostOnce_;
}

void RoutedCall::endTry(const Answer &Result) {
  if (!std::exchange(TryRuns_, false))
    return;
  const Duration Time = now() - TryStarted_;
  const bool Served = Result.Outcome_ == Outcome::Served;
  Record_.Tries_.push_back({Host_, Result.Outcome_,
                            Served ? std::nullopt : std::optional<Refusal>(Result.Refusal_), Time});
  const bool Ended = Cancelled_ && !Served;
  // A cancelled call says nothing about its host.
  Owner_.Env_.Hosts_.finished(Host_, Time,
                              Ended ? Answer::refused(Call_.Id_, Refusal::Cancelled) : Result);
}

void RoutedCall::retryOrFinish(const Answer &Result) {
  endTry(Result);
  if (!mayRetry(Result)) {
    finish(Result);
    return;
  }
  if (Result.Outcome_ == Outcome::Unknown)
    MayHaveRun_ = Result.Refusal_;
  LastRefusal_ = Result.Refusal_;
  // Each try has an id of its own, so that a late answer to an earlier one is not taken for this.
  const Ptr Keep(this);
  Owner_.Running_.erase(Call_.Id_);
  Call_.Id_ = ++Owner_.LastCall_;
  Call_.Attempts_ =
      std::min(Call_.Attempts_ - 1,
               Result.Outcome_ == Outcome::NotRun ? Call_.Attempts_ : Result.UnusedAttempts_);
  if (Call_.Attempts_ == 0) {
    finish(Answer::refused(Call_.Id_, Refusal::AttemptsExhausted));
    return;
  }
  Owner_.Running_.emplace(Call_.Id_, Keep);
  send();
}

bool RoutedCall::isNeverSent() const {
  // A second try may follow a first one whose outcome is unknown.
  return Host_ != Owner_.Env_.Config_.Host_ && Link_ == 0 && Try_ <= 1;
}

void RoutedCall::abort() {
  const Refusal Reason = isNeverSent() ? Refusal::ShuttingDown : Refusal::ConnectionLost;
  cancel();
  finish(Answer::refused(Call_.Id_, Reason));
}

void RoutedCall::onDeadline() {
  if (Done_)
    return;
  const Refusal Reason = isNeverSent() ? Refusal::DeadlineTooShort : Refusal::TimedOut;
  const Answer Result = Answer::refused(Call_.Id_, Reason);
  endTry(Result); // before the cancellation, which would hide the time-out from the balancer
  cancel();
  finish(Result);
}

void RoutedCall::cancel() {
  if (Done_)
    return;
  Cancelled_ = true;
  if (Host_ == Owner_.Env_.Config_.Host_)
    Owner_.Env_.Executor_.cancel(Host_, Call_.Id_);
  else if (Link_ != 0)
    Owner_.Env_.Links_.send(Host_, MessageKind::Cancel, Call_.Id_);
}

void RoutedCall::finish(const Answer &Last) {
  if (Done_)
    return;
  const Ptr Keep(this);
  endTry(Last);
  Answer Result = Last;
  // "Not run" holds for the whole request only if no earlier try may have run.
  if (MayHaveRun_ && Result.Outcome_ == Outcome::NotRun) {
    Result.Outcome_ = Outcome::Unknown;
    Result.Refusal_ = *MayHaveRun_;
  }
  Done_ = true;
  Timer_.cancel();
  QueryTimer_.cancel();
  if (Parent_)
    Parent_->AttemptsLeft_ += std::min(Result.UnusedAttempts_, Call_.Attempts_);
  Record_.Path_ = std::string(pathOf(Call_.Target_));
  Record_.Unused_ = Result.UnusedAttempts_;
  Record_.Outcome_ = Result.Outcome_;
  if (Result.Outcome_ != Outcome::Served)
    Record_.Refusal_ = Result.Refusal_;
  Record_.Whole_ = now() - Started_;
  Owner_.record(std::move(Record_));
  Owner_.finished(Call_.Id_);
  Exchange_->respond(toResponse(Result, Call_.Request_));
  Exchange_ = nullptr;
}

} // namespace bronzestand::node
