#include "node/routed_call.h"

#include "node/clock.h"
#include "node/codec_call.h"

namespace bronzestand::node {
namespace {

constexpr std::uint32_t MaxTries = 3;

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
      Parent_(std::move(Parent)), Timer_(Owner.Env_.Io_), Deadline_(now() + Call_.TimeLeft_),
      Started_(now()) {
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
  Owner_.Env_.Links_.send(Host_, MessageKind::Call, Call_,
                          [Self = Ptr(this), Try = Try_](LinkId Link) { Self->onSent(Try, Link); });
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

void RoutedCall::onLinkDown(const HostId &Host, LinkId Link) {
  if (!Done_ && Host == Host_ && Link == Link_)
    retryOrFinish(Answer::refused(Call_.Id_, Refusal::ConnectionLost));
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
  Call_.Attempts_ = std::min(Call_.Attempts_ - 1, Result.UnusedAttempts_);
  if (Call_.Attempts_ == 0) {
    finish(Answer::refused(Call_.Id_, Refusal::AttemptsExhausted));
    return;
  }
  Owner_.Running_.emplace(Call_.Id_, Keep);
  send();
}

void RoutedCall::onDeadline() {
  if (Done_)
    return;
  const bool NeverSent = Host_ != Owner_.Env_.Config_.Host_ && Link_ == 0 && Try_ <= 1;
  const Refusal Reason = NeverSent ? Refusal::DeadlineTooShort : Refusal::TimedOut;
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
