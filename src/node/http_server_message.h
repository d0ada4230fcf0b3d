#ifndef BRONZESTAND_NODE_HTTP_SERVER_MESSAGE_H
#define BRONZESTAND_NODE_HTTP_SERVER_MESSAGE_H

#include <string>

#include <boost/system/error_code.hpp>

#include "node/http_message.h"

namespace bronzestand::node::detail {

/// Tells whether a read failed because the input is no valid request, rather than because the
/// connection ended.
bool isParseError(const boost::system::error_code &Failure);

/// Maps a parse error to the refusal that the caller gets.
Refusal refusalOfParseError(const boost::system::error_code &Failure);

/// Tells whether the length of the body and the host are stated in one way only. The parser lets
/// some other forms pass, which a second parser may read differently.
/// \param Version 10 or 11.
bool isUnambiguous(const HttpRequest &Head, unsigned Version);

/// Tells whether responses with a status have a body.
bool hasBody(unsigned Status);

/// Returns the text of a response up to its body.
std::string serializeHead(const HttpResponse &Response, bool KeepAlive);

/// Returns the memory that a response holds, in bytes.
std::size_t memoryOf(const HttpResponse &Response);

/// Returns the memory that a request holds, in bytes; fields count at their size in memory.
std::size_t memoryOf(const HttpRequest &Request);

} // namespace bronzestand::node::detail

#endif
