#include "node/routed_call.h"

#include "node/clock.h"
#include "node/codec_call.h"

namespace bronzestand::node {
namespace {

constexpr std::uint32_t MaxTries = 3; ///< including the first
/// Time after the deadline in which the executor can still report that the call was not run.
constexpr Duration AnswerGracePeriod = std::chrono::milliseconds(50);

CallEnd callEndOf(const Answer &Result) {
  return Result.Outcome_ == Outcome::Served && Result.HttpStatus_ < 500 ? CallEnd::Good
                                                                        : CallEnd::Failed;
}
/// A query or its reply may also be lost with a link, so the query is repeated until an answer
/// arrives.
constexpr std::chrono::milliseconds QueryInterval{1000};
/// The outcome is unknown once this many queries in a row could not be sent.
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
                       std::shared_ptr<CallContext> Parent, std::string Route)
    : Owner_(Owner), Call_(std::move(Request)), Exchange_(std::move(Exchange)),
      Parent_(std::move(Parent)), Route_(std::move(Route)),
      Attempts_(Parent_ ? Parent_->Attempts_
                        : Owner.Env_.Attempts_.account("entry " + Route_, Call_.Attempts_)),
      Timer_(Owner.Env_.Io_), QueryTimer_(Owner.Env_.Io_), Deadline_(now() + Call_.TimeLeft_),
      Started_(now()) {
  Record_.Request_ = Call_.Request_;
  Record_.Team_ = Call_.Team_;
  Record_.Class_ = Call_.Class_;
  Record_.Service_ = Call_.Service_;
  Record_.Method_ = Call_.Method_;
  Record_.Child_ = Parent_ != nullptr;
  Record_.Allowance_ = Attempts_ ? Attempts_->balance() : Call_.Attempts_;
}

Duration RoutedCall::timeLeft() const { return Deadline_ - now(); }

void RoutedCall::start() {
  Exchange_->onCancelled([Self = Ptr(this)] { Self->cancel(); });
  Timer_.expires_after(Call_.TimeLeft_);
  Timer_.async_wait([Self = Ptr(this)](const boost::system::error_code &Failure) {
    if (!Failure)
      Self->onDeadline();
  });
  Owner_.Env_.Attempts_.noteCall(Call_.Service_);
  send();
}

void RoutedCall::send() {
  Host_ = Owner_.chooseHost(Call_, TriedHosts_);
  if (Host_.empty()) {
    const bool AllBusy = Owner_.Env_.Hosts_.hasHosts(Call_.Service_);
    const Refusal Reason = AllBusy ? Refusal::Overloaded : Refusal::NoBackendServer;
    finish(Answer::refused(Call_.Id_, LastRefusal_.value_or(Reason)));
    return;
  }
  if (Attempts_) {
    const auto AttemptShare = Attempts_->open(Call_.Id_, Call_.Service_.str());
    if (!AttemptShare) {
      finish(Answer::refused(Call_.Id_, LastRefusal_.value_or(Refusal::AttemptsExhausted)));
      return;
    }
    Call_.Attempts_ = *AttemptShare;
  }
  if (Parent_)
    Parent_->CancelChild_[Call_.Id_] = [Self = Ptr(this)] { Self->cancel(); };
  Owner_.Env_.Hosts_.started(Host_);
  TryActive_ = true;
  TryStarted_ = now();
  ++Try_;
  TryEnded_ = false;
  LostWithLink_ = false;
  Link_ = 0;
  HostIncarnation_ = 0;
  LostQueries_ = 0;
  TriedHosts_.insert(Host_);
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
  // The predicate keeps a call that was already reported as not run from being sent when a link
  // opens later.
  Owner_.Env_.Links_.send(
      Host_, MessageKind::Call, Call_,
      [Self = Ptr(this), Try = Try_](LinkId Link) { Self->onSent(Try, Link); },
      [Self = Ptr(this), Try = Try_] {
        return !Self->Done_ && !Self->Cancelled_ && Try == Self->Try_;
      },
      Try_ > 1 ? Sending::Repeat : Sending::First);
}

void RoutedCall::onSent(std::uint32_t Try, LinkId Link) {
  if (Done_ || Try != Try_)
    return;
  Link_ = Link;
  if (Link != 0)
    return;
  Answer Result = Answer::refused(Call_.Id_, Refusal::NoBackendServer);
  Result.UnusedAttempts_ = Call_.Attempts_; // the call was never sent
  TryEnded_ = true;
  retryOrFinish(Result);
}

void RoutedCall::onAnswer(const Answer &Result) {
  if (Done_ || Result.Id_ != Call_.Id_)
    return;
  TryEnded_ = true;
  Owner_.Env_.Admission_.note(Host_, Parent_ ? Parent_->Route_ : Route_, Result.Levels_);
  if (Result.Outcome_ == Outcome::Served) {
    Owner_.Env_.Attempts_.noteLatency(Call_.Service_, now() - TryStarted_);
    finish(Result);
  } else if (Result.Refusal_ == Refusal::Cancelled) {
    finish(Answer::refused(Call_.Id_, Refusal::DeadlineTooShort));
  } else if (Cancelled_ && Result.Outcome_ == Outcome::Unknown) {
    finish(Answer::refused(Call_.Id_, Refusal::TimedOut));
  } else {
    // The call was lost with its link and never ran. The host answered the query over a new link,
    // so it may be chosen again.
    LostWithLink_ = HostIncarnation_ != 0 && Result.Outcome_ == Outcome::NotRun;
    if (LostWithLink_)
      TriedHosts_.erase(Host_);
    retryOrFinish(Result);
  }
}

void RoutedCall::onLinkDown(const HostId &Host) {
  // The link that was lost may be another one to the same host, because the answer may arrive over
  // a different link than the call was sent over.
  if (Done_ || Host != Host_ || Link_ == 0 || HostIncarnation_ != 0)
    return;
  const Answer Lost = Answer::refused(Call_.Id_, Refusal::ConnectionLost);
  const auto PeerIncarnation = Owner_.LinkIncarnations_.find(Link_);
  const bool Repeatable = Call_.Idempotent_ && !Call_.AtMostOnce_;
  if (Repeatable || PeerIncarnation == Owner_.LinkIncarnations_.end()) {
    retryOrFinish(Lost);
    return;
  }
  HostIncarnation_ = PeerIncarnation->second;
  query();
}

void RoutedCall::query() {
  QueryTimer_.expires_after(QueryInterval);
  QueryTimer_.async_wait([Self = Ptr(this)](const boost::system::error_code &Failure) {
    if (!Failure && !Self->Done_ && Self->HostIncarnation_ != 0)
      Self->query();
  });
  const CallId Id = Call_.Id_;
  Owner_.Env_.Links_.send(Host_, MessageKind::CallQuery,
                          nlohmann::json::array({Id, HostIncarnation_}),
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
  if (Cancelled_ || Try_ >= MaxTries)
    return false;
  // A call that never reached its host caused no load there, so its retry isn't counted against
  // the retry budget.
  if (LostWithLink_)
    return timeLeft() > Duration::zero();
  FailedCall Failed;
  Failed.Service_ = Call_.Service_;
  Failed.Outcome_ = Result.Outcome_;
  Failed.Refusal_ = Result.Refusal_;
  Failed.Idempotent_ = Call_.Idempotent_ && !Call_.AtMostOnce_;
  Failed.TimeLeft_ = timeLeft();
  return Owner_.Env_.Attempts_.mayRetry(Failed);
}

void RoutedCall::endTry(const Answer &Result) {
  if (Attempts_)
    Attempts_->close(Call_.Id_, Result.UnusedAttempts_,
                     TryEnded_ ? callEndOf(Result) : CallEnd::Lost);
  if (Parent_)
    Parent_->CancelChild_.erase(Call_.Id_);
  if (!std::exchange(TryActive_, false))
    return;
  const Duration Time = now() - TryStarted_;
  const bool Served = Result.Outcome_ == Outcome::Served;
  Record_.Tries_.push_back({Host_, Result.Outcome_,
                            Served ? std::nullopt : std::optional<Refusal>(Result.Refusal_), Time});
  const bool CancelledByCaller = Cancelled_ && !DeadlinePassed_ && !Served;
  // A cancelled call is no evidence of its host's health.
  Owner_.Env_.Hosts_.finished(
      Host_, Time, CancelledByCaller ? Answer::refused(Call_.Id_, Refusal::Cancelled) : Result);
}

void RoutedCall::retryOrFinish(const Answer &Result) {
  endTry(Result);
  if (!mayRetry(Result)) {
    finish(Result);
    return;
  }
  if (Result.Outcome_ == Outcome::Unknown)
    MayHaveRunReason_ = Result.Refusal_;
  LastRefusal_ = Result.Refusal_;
  // Each try has its own id, so that a late answer to an earlier try is not taken for the answer to
  // this one.
  const Ptr Self(this);
  Owner_.Running_.erase(Call_.Id_);
  Call_.Id_ = ++Owner_.LastCall_;
  Owner_.Running_.emplace(Call_.Id_, Self);
  send();
}

bool RoutedCall::wasNeverSent() const {
  // From the second try on, an earlier try may have run with its outcome unknown.
  return Host_ != Owner_.Env_.Config_.Host_ && Link_ == 0 && Try_ <= 1;
}

void RoutedCall::abort() {
  const Refusal Reason = wasNeverSent() ? Refusal::ShuttingDown : Refusal::ConnectionLost;
  cancel();
  finish(Answer::refused(Call_.Id_, Reason));
}

void RoutedCall::onDeadline() {
  if (Done_)
    return;
  Cancelled_ = true;
  DeadlinePassed_ = true;
  if (wasNeverSent()) {
    finish(Answer::refused(Call_.Id_, Refusal::DeadlineTooShort));
    return;
  }
  Timer_.expires_after(AnswerGracePeriod);
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

void RoutedCall::finish(const Answer &FinalAnswer) {
  if (Done_)
    return;
  const Ptr Self(this);
  endTry(FinalAnswer);
  Answer Result = FinalAnswer;
  // The request as a whole is "not run" only if no earlier try may have run.
  if (MayHaveRunReason_ && Result.Outcome_ == Outcome::NotRun) {
    Result.Outcome_ = Outcome::Unknown;
    Result.Refusal_ = *MayHaveRunReason_;
  }
  Done_ = true;
  Timer_.cancel();
  QueryTimer_.cancel();
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
