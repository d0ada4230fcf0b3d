#ifndef BRONZESTAND_NODE_HTTP_MESSAGE_H
#define BRONZESTAND_NODE_HTTP_MESSAGE_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bronzestand/call.h"

namespace bronzestand::node {

struct HttpRequest {
  std::string Method_;
  std::string Target_; ///< path and query
  std::vector<Header> Headers_;
  std::string Body_;
};

struct HttpResponse {
  unsigned Status_ = 200;
  std::vector<Header> Headers_;
  std::string Body_;
  bool Close_ = false; ///< the connection is closed behind this answer
};

/// Compares header names without regard to case.
bool sameName(std::string_view A, std::string_view B);

/// Returns the value of the first header with a name; nothing if there is none.
std::optional<std::string> findHeader(const std::vector<Header> &Headers, std::string_view Name);

/// Tells whether a header belongs to one connection only and is not passed on.
bool isHopByHop(std::string_view Name);

/// The part of a target before the query.
std::string_view pathOf(std::string_view Target);

/// Makes the answer to a request that was not served (design section 2).
/// \param RetryAfter sent with retryable refusals; one second if not given.
HttpResponse refusalResponse(Refusal Reason, const RequestId &Request,
                             std::optional<Duration> RetryAfter = std::nullopt);

} // namespace bronzestand::node

#endif
