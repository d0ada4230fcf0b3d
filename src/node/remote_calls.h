#ifndef BRONZESTAND_NODE_REMOTE_CALLS_H
#define BRONZESTAND_NODE_REMOTE_CALLS_H

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "node/call_runner.h"
#include "node/peer_links.h"

namespace bronzestand::node {

/// Receives calls from other nodes and runs them here (design sections 2 and 5). Tracks the running
/// calls and keeps answers for a short time, so that a node that lost its link can query the
/// outcome of its call. The id of a call that never arrived is refused permanently, so that the
/// answer "not run" remains true if the call arrives later.
class RemoteCalls final : public Part {
public:
  RemoteCalls(CallRunner &Local, PeerLinks &Links, Incarnation OwnIncarnation);

  std::string_view name() const override { return "remote_calls"; }
  absl::Status start() override;
  void stop() override {}
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override;

private:
  /// A run of the process of a node. The ids of its calls increase; those of a later run may be
  /// lower, because they begin at the wall clock.
  using CallerRun = std::pair<HostId, Incarnation>;
  using CallKey = std::pair<CallerRun, CallId>;
  /// Calls from one run of a node.
  struct Caller {
    std::set<CallId> Running_;
    std::set<CallId> Refused_;
    CallId RefusedUpTo_ = 0;      ///< unknown ids up to this one are refused
    CallId DroppedUpTo_ = 0;      ///< the answers of ids up to this one may have been dropped
    bool HistoryComplete_ = true; ///< no earlier entry for this run was dropped
    std::optional<TimePoint> ReplacedAt_; ///< when another run of the node was first heard of
  };
  struct Finished {
    CallKey Key_;
    TimePoint At_;
    std::size_t Bytes_ = 0;
  };

  void onCall(const Peer &From, Call Request);
  void onQuery(const Peer &From, const nlohmann::json &Body);
  void onCancel(const Peer &From, CallId Id);
  void onFinished(const CallerRun &Run, const Answer &Result);
  Caller &callerOf(const CallerRun &Run);
  /// Notes that a run has replaced the earlier ones of its node, and forgets those that were
  /// replaced long ago.
  void replaceOtherRuns(const CallerRun &Run);
  /// Returns the answer to a call that is not running; nothing if the call never arrived.
  std::optional<Answer> findAnswer(const CallerRun &Run, CallId Id);
  void refusePermanently(Caller &Sender, CallId Id);
  void dropOldestAnswer();

  CallRunner &Runner_;
  PeerLinks &Links_;
  Incarnation OwnIncarnation_;
  std::map<CallerRun, Caller> Callers_;
  std::map<CallKey, Answer> Answers_;
  std::deque<Finished> Finished_; ///< oldest first
  std::size_t Bytes_ = 0;
  bool CallerDropped_ = false;
  std::uint64_t Queries_ = 0;
  std::uint64_t ResentAnswers_ = 0;
  std::uint64_t NeverReceived_ = 0;
};

} // namespace bronzestand::node

#endif
