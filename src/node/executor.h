#ifndef BRONZESTAND_NODE_EXECUTOR_H
#define BRONZESTAND_NODE_EXECUTOR_H

#include <functional>
#include <map>
#include <utility>

#include "node/call_contexts.h"
#include "node/claims_part.h"
#include "node/config_part.h"
#include "node/crash_guard.h"
#include "node/http_client.h"
#include "node/metrics.h"
#include "node/part.h"

namespace bronzestand::node {

/// Runs calls on the local backend server (design sections 2 and 9).
class Executor final : public Part {
public:
  using Reply = std::function<void(Answer Result)>;

  Executor(boost::asio::io_context &Io, const Settings &Config, const ConfigPart &Documents,
           CallContexts &Contexts, ClaimsPart &Claims, CrashGuard &Guard, Metrics &Times);

  /// Takes a call. Reply is called once, unless the call is cancelled before.
  /// \param Caller node that sent the call; with the call's id it names the call.
  /// \param Redirected incarnation in the redirect of another executor that brought the call here.
  void submit(const HostId &Caller, Call Request, Reply Done,
              std::optional<Incarnation> Redirected = std::nullopt);
  /// Cancels a call whose answer nobody waits for.
  void cancel(const HostId &Caller, CallId Id);
  /// Told of a call that ended without an answer, for its child calls that still run.
  using Abandoned = std::function<void(const CallContext &Parent)>;
  void setAbandoned(Abandoned Callback) { OnAbandoned_ = std::move(Callback); }
  /// Refuses new calls from now on.
  void drain() { Draining_ = true; }
  /// Ends all running calls at once with typed outcomes.
  void abort();
  std::size_t running() const { return Running_.size(); }

  std::string_view name() const override { return "executor"; }
  absl::Status start() override;
  void stop() override {}
  nlohmann::json dump() const override;

private:
  using CallKey = std::pair<HostId, CallId>;
  struct RunningCall {
    Call Call_;
    Reply Done_;
    std::string Token_;
    TimePoint Submitted_;
    TimePoint Deadline_;
    TimePoint Sent_;
    Duration BackendTime_{};
    HttpClient::RequestNumber Request_ = 0;
    std::optional<Incarnation> Redirected_;
    ClaimId Claim_ = 0; ///< claim by which the call may be dispatched; 0 without one
  };

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
  Metrics &Times_;
  Logger Log_;
  HttpClient Backend_;
  std::map<CallKey, RunningCall> Running_;
  Abandoned OnAbandoned_;
  bool Draining_ = false;
  std::uint64_t Served_ = 0;
  std::uint64_t Refused_ = 0;
  std::uint64_t Unknown_ = 0;
};

} // namespace bronzestand::node

#endif
