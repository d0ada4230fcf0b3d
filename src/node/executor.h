#ifndef BRONZESTAND_NODE_EXECUTOR_H
#define BRONZESTAND_NODE_EXECUTOR_H

#include <functional>
#include <map>
#include <utility>

#include "node/admission_part.h"
#include "node/call_contexts.h"
#include "node/call_runner.h"
#include "node/claims_part.h"
#include "node/config_part.h"
#include "node/crash_guard.h"
#include "node/dispatch_queue.h"
#include "node/http_client.h"
#include "node/metrics.h"
#include "node/part.h"

namespace bronzestand::node {

/// Runs calls on the local backend server (design sections 2 and 9).
class Executor final : public Part, public CallRunner {
public:
  Executor(boost::asio::io_context &Io, const Settings &Config, const ConfigPart &Documents,
           CallContexts &Contexts, ClaimsPart &Claims, CrashGuard &Guard, Metrics &TimeMetrics,
           const AdmissionPart &Admission, CallAttempts &Attempts);

  /// Accepts a call. Done is called once; a duplicate of a call in progress is ignored.
  /// \param Caller node that sent the call; together with the call's id it identifies the call.
  /// \param Redirected incarnation named in the redirect, if another executor redirected the call
  ///        here.
  void submit(const HostId &Caller, Call Request, Reply Done,
              std::optional<Incarnation> Redirected = std::nullopt);
  void submitCall(const HostId &Caller, Call Request, Reply Done) override {
    submit(Caller, std::move(Request), std::move(Done));
  }
  /// Cancels a queued or running call whose answer is no longer needed. Done is still called.
  void cancel(const HostId &Caller, CallId Id) override;
  /// Refuses queued calls whose key is no longer valid. To be called when the documents change.
  void onKeysChanged();
  /// Refuses new calls from now on.
  void drain() { Draining_ = true; }
  /// Ends all calls immediately, each with an outcome and a refusal reason.
  void abort();
  /// Number of calls in progress, including queued ones.
  std::size_t running() const { return Running_.size(); }

  std::string_view name() const override { return "executor"; }
  absl::Status start() override;
  void stop() override { Queue_.stop(); }
  void tick(TimePoint Now) override { Queue_.tick(Now); }
  nlohmann::json dump() const override;

private:
  using CallKey = std::pair<HostId, CallId>;
  struct RunningCall {
    Call Call_;
    Reply Done_;
    TimePoint Submitted_;
    TimePoint Deadline_;
    TimePoint Sent_;
    Duration BackendTime_{};
    std::string Route_;
    CallId QueueId_ = 0;      ///< id in the dispatch queue
    bool Dispatched_ = false; ///< was taken from the queue to be run
    CallResult Result_ = CallResult::Failed;
    std::string Token_; ///< empty until the call is sent to the backend server
    HttpClient::RequestNumber Request_ = 0;
    std::optional<Incarnation> Redirected_;
    ClaimId Claim_ = 0; ///< claim that allows the call to be dispatched; 0 without one
  };

  bool hasValidKey(const TeamId &Team, const std::string &KeyId) const;
  void enqueue(const CallKey &Key);
  void onReady(const CallKey &Key, std::optional<Refusal> Reason);
  void claim(const CallKey &Key);
  void dispatch(const CallKey &Key);
  void run(const CallKey &Key);
  void onBackendResult(const CallKey &Key, HttpResult Result, HttpResponse Response);
  void finish(const CallKey &Key, Answer Result);

  const Settings &Config_;
  const ConfigPart &Documents_;
  CallContexts &Contexts_;
  ClaimsPart &Claims_;
  CrashGuard &Guard_;
  Metrics &Metrics_;
  const AdmissionPart &Admission_;
  CallAttempts &Attempts_;
  Logger Log_;
  DispatchQueue Queue_;
  CallId LastQueueId_ = 0;
  HttpClient Backend_;
  std::map<CallKey, RunningCall> Running_;
  bool Draining_ = false;
  std::uint64_t Served_ = 0;
  std::uint64_t Refused_ = 0;
  std::uint64_t Unknown_ = 0;
};

} // namespace bronzestand::node

#endif
