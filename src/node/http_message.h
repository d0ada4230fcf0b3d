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
  bool Close_ = false; ///< close the connection after this response
  /// When the connection was opened that a response to HttpClient came on.
  TimePoint ConnectionOpenedAt_{};
};

/// Compares header names, ignoring case.
bool sameName(std::string_view A, std::string_view B);

/// Returns the value of the first header with a name, std::nullopt if there is none.
std::optional<std::string> findHeader(const std::vector<Header> &Headers, std::string_view Name);

/// Tells whether a header applies to a single connection or to the framing of the message, and is
/// therefore not forwarded.
bool isHopByHop(std::string_view Name);

/// Returns the part of a target before the query.
std::string_view pathOf(std::string_view Target);

/// Builds the response to a request that was not served (design section 2).
/// \param RetryAfter value of the Retry-After header of retryable refusals; one second if not
/// given.
HttpResponse refusalResponse(Refusal Reason, const RequestId &Request,
                             std::optional<Duration> RetryAfter = std::nullopt);

} // namespace bronzestand::node

#endif
