#include "node/remote_calls.h"

#include <algorithm>

#include "node/clock.h"
#include "node/codec_call.h"

namespace bronzestand::node {
namespace {

using nlohmann::json;

/// A link is replaced after 2 s of silence; the caller asks as soon as the new one is open.
constexpr Duration KeepTime = std::chrono::seconds(10);
constexpr std::size_t MaxAnswers = 8192;
constexpr std::size_t MaxAnswerBytes = 4ULL * 1024 * 1024;
constexpr std::size_t MaxRefused = 1024; ///< single ids a node, before ids are refused as a range
constexpr std::size_t MaxCallers = 4096;

} // namespace

RemoteCalls::RemoteCalls(CallRunner &Local, PeerLinks &Links, Incarnation Run)
    : Runner_(Local), Links_(Links), Run_(Run) {}

absl::Status RemoteCalls::start() {
  Links_.setHandler(MessageKind::Call,
                    [this](const Peer &From, const json &Body) { onCall(From, Body.get<Call>()); });
  Links_.setHandler(MessageKind::CallQuery,
                    [this](const Peer &From, const json &Body) { onQuery(From, Body); });
  Links_.setHandler(MessageKind::Cancel, [this](const Peer &From, const json &Body) {
    onCancel(From, Body.get<CallId>());
  });
  return absl::OkStatus();
}

RemoteCalls::Caller &RemoteCalls::callerOf(const HostId &Host) {
  const auto Found = Callers_.find(Host);
  if (Found != Callers_.end())
    return Found->second;
  if (Callers_.size() >= MaxCallers) {
    const auto Idle = std::find_if(Callers_.begin(), Callers_.end(),
                                   [](const auto &Item) { return Item.second.Running_.empty(); });
    if (Idle != Callers_.end()) {
      Callers_.erase(Idle);
      DroppedCaller_ = true;
    }
  }
  Caller &Added = Callers_[Host];
  Added.Complete_ = !DroppedCaller_;
  return Added;
}

std::optional<Answer> RemoteCalls::knownEnd(const HostId &Host, CallId Id) {
  if (const auto Kept = Answers_.find({Host, Id}); Kept != Answers_.end())
    return Kept->second;
  const Caller &Owner = callerOf(Host);
  if (Owner.Refused_.count(Id) != 0)
    return Answer::refused(Id, Refusal::NoBackendServer);
  if (Id <= Owner.ForgottenUpTo_)
    return Answer::refused(Id, Refusal::OutcomeUnknown);
  if (Id <= Owner.RefusedUpTo_)
    return Answer::refused(Id, Refusal::NoBackendServer);
  return std::nullopt;
}

void RemoteCalls::onCall(const Peer &From, Call Request) {
  const HostId Host = From.Host_;
  const CallId Id = Request.Id_;
  if (callerOf(Host).Running_.count(Id) != 0)
    return; // a doubled message; the first one is answered
  if (const auto End = knownEnd(Host, Id)) {
    Links_.send(Host, MessageKind::Answer, *End);
    return;
  }
  callerOf(Host).Running_.insert(Id);
  Runner_.submitCall(Host, std::move(Request),
                     [this, Host](const Answer &Result) { onFinished(Host, Result); });
}

void RemoteCalls::onFinished(const HostId &Host, const Answer &Result) {
  callerOf(Host).Running_.erase(Result.Id_);
  Finished Entry{{Host, Result.Id_}, now(), Result.Body_.size()};
  Links_.send(Host, MessageKind::Answer, Result);
  if (Entry.Bytes_ > MaxAnswerBytes / 4) {
    Answers_[Entry.Key_] = Answer::refused(Result.Id_, Refusal::OutcomeUnknown);
    Entry.Bytes_ = 0;
  } else {
    Answers_[Entry.Key_] = Result;
  }
  Bytes_ += Entry.Bytes_;
  Finished_.push_back(std::move(Entry));
  while (Finished_.size() > MaxAnswers || Bytes_ > MaxAnswerBytes)
    forgetOldest();
}

void RemoteCalls::forgetOldest() {
  const Finished &Oldest = Finished_.front();
  Caller &Owner = callerOf(Oldest.Key_.first);
  Owner.ForgottenUpTo_ = std::max(Owner.ForgottenUpTo_, Oldest.Key_.second);
  Bytes_ -= Oldest.Bytes_;
  Answers_.erase(Oldest.Key_);
  Finished_.pop_front();
}

void RemoteCalls::refuseForGood(Caller &Owner, CallId Id) {
  Owner.Refused_.insert(Id);
  if (Owner.Refused_.size() <= MaxRefused)
    return;
  Owner.RefusedUpTo_ = std::max(Owner.RefusedUpTo_, *Owner.Refused_.begin());
  Owner.Refused_.erase(Owner.Refused_.begin());
}

void RemoteCalls::onQuery(const Peer &From, const json &Body) {
  const auto Id = Body.at(0).get<CallId>();
  const auto Run = Body.at(1).get<Incarnation>();
  ++Queries_;
  Caller &Owner = callerOf(From.Host_);
  if (Run != Run_) {
    Links_.send(From.Host_, MessageKind::Answer, Answer::refused(Id, Refusal::ConnectionLost));
    return;
  }
  if (Owner.Running_.count(Id) != 0)
    return; // the answer follows
  if (const auto End = knownEnd(From.Host_, Id)) {
    ++SentAgain_;
    Links_.send(From.Host_, MessageKind::Answer, *End);
    return;
  }
  if (!Owner.Complete_) {
    Links_.send(From.Host_, MessageKind::Answer, Answer::refused(Id, Refusal::OutcomeUnknown));
    return;
  }
  ++NeverReceived_;
  refuseForGood(Owner, Id);
  Links_.send(From.Host_, MessageKind::Answer, Answer::refused(Id, Refusal::NoBackendServer));
}

void RemoteCalls::onCancel(const Peer &From, CallId Id) {
  Caller &Owner = callerOf(From.Host_);
  if (Owner.Running_.count(Id) != 0)
    Runner_.cancel(From.Host_, Id);
  else if (!knownEnd(From.Host_, Id))
    refuseForGood(Owner, Id); // the cancellation has overtaken the call
}

void RemoteCalls::tick(TimePoint Now) {
  while (!Finished_.empty() && Now - Finished_.front().At_ > KeepTime)
    forgetOldest();
}

json RemoteCalls::dump() const {
  std::size_t Running = 0;
  std::size_t Refused = 0;
  for (const auto &[Host, Item] : Callers_) {
    Running += Item.Running_.size();
    Refused += Item.Refused_.size();
  }
  return {{"running", Running},
          {"kept_answers", Answers_.size()},
          {"kept_bytes", Bytes_},
          {"refused_ids", Refused},
          {"queries", Queries_},
          {"answers_sent_again", SentAgain_},
          {"never_received", NeverReceived_}};
}

} // namespace bronzestand::node
