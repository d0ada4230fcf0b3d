#ifndef BRONZESTAND_NODE_CALL_CONTEXTS_H
#define BRONZESTAND_NODE_CALL_CONTEXTS_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "bronzestand/call.h"
#include "node/call_attempts.h"

namespace bronzestand::node {

/// What child calls of a call that runs on the local backend server inherit.
struct CallContext {
  RequestId Request_;
  TeamId Team_;
  std::string KeyId_;
  ClassId Class_;
  std::string Route_; ///< name of the route of the call
  Standing Standing_;
  TimePoint Deadline_;
  std::string IdempotencyKey_;
  AttemptAccountPtr Attempts_; ///< null without Mechanism::Attempts
  std::uint32_t ChildCalls_ = 0;
  std::map<CallId, std::function<void()>> CancelChild_; ///< of the child calls that still run

  void cancelChildren();
};

/// Calls that run on the local backend server, by the token that it was given.
class CallContexts {
public:
  /// Adds a context and returns its token, which cannot be guessed.
  std::string add(CallContext Context);
  /// Finds a running call; null if it has ended or the token is wrong.
  std::shared_ptr<CallContext> find(const std::string &Token) const;
  /// Ends a call and returns its context; child calls that still run keep it alive.
  std::shared_ptr<CallContext> remove(const std::string &Token);
  std::size_t size() const { return ByToken_.size(); }

private:
  std::unordered_map<std::string, std::shared_ptr<CallContext>> ByToken_;
};

/// Makes a random identifier of 32 hexadecimal digits.
std::string randomToken();

} // namespace bronzestand::node

#endif
