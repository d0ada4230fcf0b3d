#ifndef BRONZESTAND_NODE_REMOTE_CALLS_H
#define BRONZESTAND_NODE_REMOTE_CALLS_H

#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "node/call_runner.h"
#include "node/peer_links.h"

namespace bronzestand::node {

/// The executor's end of calls from other nodes (design sections 2 and 5). It knows which calls
/// run, keeps finished answers for a short time, and tells a caller that lost a link what became of
/// its call. A call that never arrived is refused for good, so that "not run" stays true.
class RemoteCalls final : public Part {
public:
  RemoteCalls(CallRunner &Local, PeerLinks &Links, Incarnation Run);

  std::string_view name() const override { return "remote_calls"; }
  absl::Status start() override;
  void stop() override {}
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override;

private:
  using CallKey = std::pair<HostId, CallId>;
  /// Calls of one node. Its call ids grow, over its restarts too.
  struct Caller {
    std::set<CallId> Running_;
    std::set<CallId> Refused_;
    CallId RefusedUpTo_ = 0;   ///< ids up to this that are not known are refused
    CallId ForgottenUpTo_ = 0; ///< ids up to this may belong to a forgotten answer
    bool Complete_ = true;     ///< no earlier record of this node was dropped
  };
  struct Finished {
    CallKey Key_;
    TimePoint At_;
    std::size_t Bytes_ = 0;
  };

  void onCall(const Peer &From, Call Request);
  void onQuery(const Peer &From, const nlohmann::json &Body);
  void onCancel(const Peer &From, CallId Id);
  void onFinished(const HostId &Host, const Answer &Result);
  Caller &callerOf(const HostId &Host);
  /// What is known of a call that does not run; nothing if it never arrived.
  std::optional<Answer> knownEnd(const HostId &Host, CallId Id);
  void refuseForGood(Caller &Owner, CallId Id);
  void forgetOldest();

  CallRunner &Runner_;
  PeerLinks &Links_;
  Incarnation Run_;
  std::unordered_map<HostId, Caller> Callers_;
  std::map<CallKey, Answer> Answers_;
  std::deque<Finished> Finished_; ///< in the order of their ends
  std::size_t Bytes_ = 0;
  bool DroppedCaller_ = false;
  std::uint64_t Queries_ = 0;
  std::uint64_t SentAgain_ = 0;
  std::uint64_t NeverReceived_ = 0;
};

} // namespace bronzestand::node

#endif
