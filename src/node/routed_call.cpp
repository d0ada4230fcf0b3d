#include "node/routed_call.h"

#include "node/clock.h"
#include "node/codec_call.h"

namespace bronzestand::node {
namespace {

constexpr std::uint32_t MaxTries = 3;
// Time after the deadline in which the executor can still tell that the call was not run.
constexpr Duration AnswerGrace = std::chrono::milliseconds(50);

CallEnd endOf(const Answer &Result) {
  return Result.Outcome_ == Outcome::Served && Result.HttpStatus_ < 500 ? CallEnd::Good
                                                                        : CallEnd::Failed;
}

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
                       std::shared_ptr<CallContext> Parent, std::string Route)
    : Owner_(Owner), Call_(std::move(Request)), Exchange_(std::move(Exchange)),
      Parent_(std::move(Parent)), Route_(std::move(Route)),
      Attempts_(Parent_ ? Parent_->Attempts_
                        : Owner.Env_.Attempts_.account("entry " + Route_, Call_.Attempts_)),
      Timer_(Owner.Env_.Io_), Deadline_(now() + Call_.TimeLeft_) {}

Duration RoutedCall::timeLeft() const { return Deadline_ - now(); }

void RoutedCall::start() {
  Exchange_->onCancelled([Self = Ptr(this)] { Self->cancel(); });
  Timer_.expires_after(Call_.TimeLeft_);
  Timer_.async_wait([Self = Ptr(this)](const boost::system::error_code &Failure) {
    if (!Failure)
      Self->onDeadline();
  });
  Owner_.Env_.Attempts_.noteCall(Call_.Service_);
  send(Answer::refused(Call_.Id_, Refusal::NoBackendServer));
}

void RoutedCall::send(const Answer &Failed) {
  Host_ = Owner_.chooseHost(Call_, Tried_);
  if (Host_.empty()) {
    finish(Failed);
    return;
  }
  if (Attempts_) {
    const auto Share = Attempts_->open(Call_.Id_, Call_.Service_.str());
    if (!Share) {
      finish(Try_ == 0 ? Answer::refused(Call_.Id_, Refusal::AttemptsExhausted) : Failed);
      return;
    }
    Call_.Attempts_ = *Share;
  }
  if (Parent_)
    Parent_->CancelChild_[Call_.Id_] = [Self = Ptr(this)] { Self->cancel(); };
  ++Try_;
  Ended_ = false;
  SentAt_ = now();
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
  Owner_.Env_.Links_.send(Host_, MessageKind::Call, Call_,
                          [Self = Ptr(this), Try = Try_](LinkId Link) { Self->onSent(Try, Link); });
}

void RoutedCall::onSent(std::uint32_t Try, LinkId Link) {
  if (Done_ || Try != Try_)
    return;
  Link_ = Link;
  if (Link != 0)
    return;
  Answer NotSent = Answer::refused(Call_.Id_, Refusal::NoBackendServer);
  NotSent.UnusedAttempts_ = Call_.Attempts_;
  Ended_ = true;
  retryOrFinish(NotSent);
}

void RoutedCall::onAnswer(const Answer &Result) {
  if (Done_ || Result.Id_ != Call_.Id_)
    return;
  Ended_ = true;
  Owner_.Env_.Admission_.note(Host_, Parent_ ? Parent_->Route_ : Route_, Result.Levels_);
  if (Result.Outcome_ == Outcome::Served) {
    Owner_.Env_.Attempts_.noteLatency(Call_.Service_, now() - SentAt_);
    finish(Result);
  } else if (Result.Refusal_ == Refusal::Cancelled) {
    finish(Answer::refused(Call_.Id_, Refusal::DeadlineTooShort));
  } else if (Cancelled_ && Result.Outcome_ == Outcome::Unknown) {
    finish(Answer::refused(Call_.Id_, Refusal::TimedOut));
  } else {
    retryOrFinish(Result);
  }
}

void RoutedCall::onLinkDown(const HostId &Host, LinkId Link) {
  if (!Done_ && Host == Host_ && Link == Link_)
    retryOrFinish(Answer::refused(Call_.Id_, Refusal::ConnectionLost));
}

bool RoutedCall::mayRetry(const Answer &Result) const {
  if (Try_ >= MaxTries || Cancelled_)
    return false;
  FailedCall Failed;
  Failed.Service_ = Call_.Service_;
  Failed.Outcome_ = Result.Outcome_;
  Failed.Refusal_ = Result.Refusal_;
  Failed.Idempotent_ = Call_.Idempotent_ && !Call_.AtMostOnce_;
  Failed.TimeLeft_ = timeLeft();
  return Owner_.Env_.Attempts_.mayRetry(Failed);
}

void RoutedCall::retryOrFinish(const Answer &Result) {
  if (!mayRetry(Result)) {
    finish(Result);
    return;
  }
  // Each try has an id of its own, so that a late answer to an earlier one is not taken for this.
  const Ptr Keep(this);
  endTry(Result);
  Owner_.Running_.erase(Call_.Id_);
  Call_.Id_ = ++Owner_.LastCall_;
  Owner_.Running_.emplace(Call_.Id_, Keep);
  send(Result);
}

void RoutedCall::endTry(const Answer &Result) {
  if (Attempts_)
    Attempts_->close(Call_.Id_, Result.UnusedAttempts_, Ended_ ? endOf(Result) : CallEnd::Lost);
  if (Parent_)
    Parent_->CancelChild_.erase(Call_.Id_);
}

void RoutedCall::onDeadline() {
  if (Done_)
    return;
  Cancelled_ = true;
  const bool NeverSent = Host_ != Owner_.Env_.Config_.Host_ && Link_ == 0 && Try_ <= 1;
  if (NeverSent) {
    finish(Answer::refused(Call_.Id_, Refusal::DeadlineTooShort));
    return;
  }
  Timer_.expires_after(AnswerGrace);
  Timer_.async_wait([Self = Ptr(this)](const boost::system::error_code &Failure) {
    if (!Failure)
      Self->finish(Answer::refused(Self->Call_.Id_, Refusal::TimedOut));
  });
  sendCancel();
}

void RoutedCall::cancel() {
  if (Done_ || std::exchange(Cancelled_, true))
    return;
  sendCancel();
}

void RoutedCall::sendCancel() {
  if (Host_ == Owner_.Env_.Config_.Host_)
    Owner_.Env_.Executor_.cancel(Host_, Call_.Id_);
  else if (Link_ != 0)
    Owner_.Env_.Links_.send(Host_, MessageKind::Cancel, Call_.Id_);
}

void RoutedCall::finish(const Answer &Result) {
  if (Done_)
    return;
  const Ptr Keep(this);
  Done_ = true;
  Timer_.cancel();
  endTry(Result);
  ++Owner_.Outcomes_[Result.Outcome_ == Outcome::Served
                         ? "served"
                         : std::string(refusalInfo(Result.Refusal_).Name_)];
  Owner_.finished(Call_.Id_);
  Exchange_->respond(toResponse(Result, Call_.Request_));
  Exchange_ = nullptr;
}

} // namespace bronzestand::node
