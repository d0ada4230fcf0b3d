#ifndef BRONZESTAND_NODE_CALLER_KEY_H
#define BRONZESTAND_NODE_CALLER_KEY_H

#include <optional>
#include <string>

#include "node/http_message.h"

namespace bronzestand::node {

/// Key that was removed from a request.
struct TakenKey {
  std::optional<std::string> Key_;
  bool Ambiguous_ = false; ///< the request carried different keys
};

/// Removes every form of a caller's key from a request and returns the key: the headers
/// Authorization (Bearer) and X-Api-Key and the query parameter api_key. Other forms of
/// Authorization and Proxy-Authorization are removed as well.
TakenKey takeKey(HttpRequest &Request);

/// Removes the headers that only a node may set, Idempotency-Key and the hop-by-hop headers.
void removeNodeHeaders(HttpRequest &Request);

} // namespace bronzestand::node

#endif
