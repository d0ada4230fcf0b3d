#include "node/remote_calls.h"

#include <algorithm>

#include "node/clock.h"
#include "node/codec_call.h"

namespace bronzestand::node {
namespace {

using nlohmann::json;

/// Time for which answers are kept. A link is replaced after 2 s of silence, and the caller queries
/// as soon as the new one is open.
constexpr Duration AnswerRetention = std::chrono::seconds(10);
constexpr std::size_t MaxKeptAnswers = 8192;
constexpr std::size_t MaxKeptBytes = 4ULL * 1024 * 1024;
/// Ids per node; beyond them ids are refused as a range.
constexpr std::size_t MaxRefusedIds = 1024;
constexpr std::size_t MaxCallers = 4096;
/// Messages of a run that has ended may arrive until its links are closed.
constexpr Duration ReplacedRetention = std::chrono::seconds(60);

std::size_t memoryOf(const Answer &Result) {
  std::size_t Bytes = Result.Body_.size();
  for (const Header &Field : Result.Headers_)
    Bytes += sizeof(Field) + Field.Name_.size() + Field.Value_.size();
  return Bytes;
}

} // namespace

RemoteCalls::RemoteCalls(CallRunner &Local, PeerLinks &Links, Incarnation OwnIncarnation)
    : Runner_(Local), Links_(Links), OwnIncarnation_(OwnIncarnation) {}

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

RemoteCalls::Caller &RemoteCalls::callerOf(const CallerRun &Run) {
  const auto Found = Callers_.find(Run);
  if (Found != Callers_.end())
    return Found->second;
  if (Callers_.size() >= MaxCallers) {
    const auto Idle = std::find_if(Callers_.begin(), Callers_.end(),
                                   [](const auto &Item) { return Item.second.Running_.empty(); });
    if (Idle != Callers_.end()) {
      Callers_.erase(Idle);
      CallerDropped_ = true;
    }
  }
  replaceOtherRuns(Run);
  Caller &Added = Callers_[Run];
  Added.HistoryComplete_ = !CallerDropped_;
  return Added;
}

void RemoteCalls::replaceOtherRuns(const CallerRun &Run) {
  const TimePoint Now = now();
  for (auto Item = Callers_.lower_bound({Run.first, 0});
       Item != Callers_.end() && Item->first.first == Run.first;) {
    Caller &Other = Item->second;
    if (!Other.ReplacedAt_)
      Other.ReplacedAt_ = Now;
    if (Other.Running_.empty() && Now - *Other.ReplacedAt_ > ReplacedRetention)
      Item = Callers_.erase(Item);
    else
      ++Item;
  }
}

std::optional<Answer> RemoteCalls::findAnswer(const CallerRun &Run, CallId Id) {
  if (const auto Kept = Answers_.find({Run, Id}); Kept != Answers_.end())
    return Kept->second;
  const Caller &Sender = callerOf(Run);
  if (Sender.Refused_.count(Id) != 0)
    return Answer::refused(Id, Refusal::NoBackendServer);
  if (Id <= Sender.DroppedUpTo_)
    return Answer::refused(Id, Refusal::OutcomeUnknown);
  if (Id <= Sender.RefusedUpTo_)
    return Answer::refused(Id, Refusal::NoBackendServer);
  return std::nullopt;
}

void RemoteCalls::onCall(const Peer &From, Call Request) {
  const CallerRun Run(From.Host_, From.Incarnation_);
  const CallId Id = Request.Id_;
  if (callerOf(Run).Running_.count(Id) != 0)
    return; // duplicate message; the first one will be answered
  if (const auto Known = findAnswer(Run, Id)) {
    Links_.send(From.Host_, MessageKind::Answer, *Known);
    return;
  }
  callerOf(Run).Running_.insert(Id);
  Runner_.submitCall(From.Host_, std::move(Request),
                     [this, Run](const Answer &Result) { onFinished(Run, Result); });
}

void RemoteCalls::onFinished(const CallerRun &Run, const Answer &Result) {
  callerOf(Run).Running_.erase(Result.Id_);
  Finished Entry{{Run, Result.Id_}, now(), memoryOf(Result)};
  Links_.send(Run.first, MessageKind::Answer, Result);
  if (Entry.Bytes_ > MaxKeptBytes / 4) {
    Answers_[Entry.Key_] = Answer::refused(Result.Id_, Refusal::OutcomeUnknown);
    Entry.Bytes_ = 0;
  } else {
    Answers_[Entry.Key_] = Result;
  }
  Bytes_ += Entry.Bytes_;
  Finished_.push_back(std::move(Entry));
  while (Finished_.size() > MaxKeptAnswers || Bytes_ > MaxKeptBytes)
    dropOldestAnswer();
}

void RemoteCalls::dropOldestAnswer() {
  const Finished &Oldest = Finished_.front();
  if (const auto Sender = Callers_.find(Oldest.Key_.first); Sender != Callers_.end())
    Sender->second.DroppedUpTo_ = std::max(Sender->second.DroppedUpTo_, Oldest.Key_.second);
  Bytes_ -= Oldest.Bytes_;
  Answers_.erase(Oldest.Key_);
  Finished_.pop_front();
}

void RemoteCalls::refusePermanently(Caller &Sender, CallId Id) {
  Sender.Refused_.insert(Id);
  if (Sender.Refused_.size() <= MaxRefusedIds)
    return;
  Sender.RefusedUpTo_ = std::max(Sender.RefusedUpTo_, *Sender.Refused_.begin());
  Sender.Refused_.erase(Sender.Refused_.begin());
}

void RemoteCalls::onQuery(const Peer &From, const json &Body) {
  const auto Id = Body.at(0).get<CallId>();
  const auto QueriedIncarnation = Body.at(1).get<Incarnation>();
  ++Queries_;
  const CallerRun Run(From.Host_, From.Incarnation_);
  Caller &Sender = callerOf(Run);
  if (QueriedIncarnation != OwnIncarnation_) {
    Links_.send(From.Host_, MessageKind::Answer, Answer::refused(Id, Refusal::ConnectionLost));
    return;
  }
  if (Sender.Running_.count(Id) != 0)
    return; // the answer is sent when the call ends
  if (const auto Known = findAnswer(Run, Id)) {
    ++ResentAnswers_;
    Links_.send(From.Host_, MessageKind::Answer, *Known);
    return;
  }
  if (!Sender.HistoryComplete_) {
    Links_.send(From.Host_, MessageKind::Answer, Answer::refused(Id, Refusal::OutcomeUnknown));
    return;
  }
  ++NeverReceived_;
  refusePermanently(Sender, Id);
  Links_.send(From.Host_, MessageKind::Answer, Answer::refused(Id, Refusal::NoBackendServer));
}

void RemoteCalls::onCancel(const Peer &From, CallId Id) {
  const CallerRun Run(From.Host_, From.Incarnation_);
  Caller &Sender = callerOf(Run);
  if (Sender.Running_.count(Id) != 0)
    Runner_.cancel(From.Host_, Id);
  else if (!findAnswer(Run, Id))
    refusePermanently(Sender, Id); // the cancellation arrived before the call
}

void RemoteCalls::tick(TimePoint Now) {
  while (!Finished_.empty() && Now - Finished_.front().At_ > AnswerRetention)
    dropOldestAnswer();
}

json RemoteCalls::dump() const {
  std::size_t Running = 0;
  std::size_t Refused = 0;
  for (const auto &[Run, Item] : Callers_) {
    Running += Item.Running_.size();
    Refused += Item.Refused_.size();
  }
  return {{"running", Running},
          {"kept_answers", Answers_.size()},
          {"kept_bytes", Bytes_},
          {"refused_ids", Refused},
          {"queries", Queries_},
          {"answers_sent_again", ResentAnswers_},
          {"never_received", NeverReceived_}};
}

} // namespace bronzestand::node
