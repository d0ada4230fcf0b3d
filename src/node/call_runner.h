#ifndef BRONZESTAND_NODE_CALL_RUNNER_H
#define BRONZESTAND_NODE_CALL_RUNNER_H

#include <functional>

#include "bronzestand/call.h"

namespace bronzestand::node {

/// Runs calls on the local backend server, for this node and for others.
class CallRunner {
public:
  using Reply = std::function<void(const Answer &Result)>;

  CallRunner() = default;
  CallRunner(const CallRunner &) = delete;
  CallRunner &operator=(const CallRunner &) = delete;
  virtual ~CallRunner() = default;

  /// Takes a call. Done is called once.
  /// \param Caller node that sent the call; with the call's id it names the call.
  virtual void submitCall(const HostId &Caller, Call Request, Reply Done) = 0;
  /// Cancels a call that nobody needs any more, queued or running. It is still answered.
  virtual void cancel(const HostId &Caller, CallId Id) = 0;
};

} // namespace bronzestand::node

#endif
