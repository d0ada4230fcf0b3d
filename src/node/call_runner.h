#ifndef BRONZESTAND_NODE_CALL_RUNNER_H
#define BRONZESTAND_NODE_CALL_RUNNER_H

#include <functional>

#include "bronzestand/call.h"

namespace bronzestand::node {

/// Interface that runs calls of this and of other nodes on the local backend server.
class CallRunner {
public:
  using Reply = std::function<void(const Answer &Result)>;

  CallRunner() = default;
  CallRunner(const CallRunner &) = delete;
  CallRunner &operator=(const CallRunner &) = delete;
  virtual ~CallRunner() = default;

  /// Accepts a call. Done is called once.
  /// \param Caller node that sent the call; together with the call's id it identifies the call.
  virtual void submitCall(const HostId &Caller, Call Request, Reply Done) = 0;
  /// Cancels a queued or running call whose answer is no longer needed. Done is still called.
  virtual void cancel(const HostId &Caller, CallId Id) = 0;
};

} // namespace bronzestand::node

#endif
