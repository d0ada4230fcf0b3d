#ifndef BRONZESTAND_NODE_HTTP_CLIENT_MESSAGE_H
#define BRONZESTAND_NODE_HTTP_CLIENT_MESSAGE_H

#include <string>

#include "node/http_message.h"

namespace bronzestand::node::detail {

/// Returns the text of a request up to its body. The library's own form can't be used: it throws
/// for a field of 65,534 bytes or more, and for a TRACE request with a body, and callers may send
/// both.
///
/// \param Host value of the Host field if the request has none.
/// \param BodyBytes length of the body that follows.
/// Errors: none. Cost: linear in the bytes of the head.
std::string serializeHead(const HttpRequest &Request, const std::string &Host,
                          std::size_t BodyBytes);

} // namespace bronzestand::node::detail

#endif
