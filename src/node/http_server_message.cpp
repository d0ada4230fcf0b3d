#include "node/http_server_message.h"

#include <algorithm>
#include <iterator>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

namespace bronzestand::node::detail {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

std::size_t memoryOf(const std::vector<Header> &Fields) {
  std::size_t Bytes = Fields.capacity() * sizeof(Header);
  for (const Header &Field : Fields)
    Bytes += Field.Name_.capacity() + Field.Value_.capacity();
  return Bytes;
}

} // namespace

Refusal refusalOfParseError(const error_code &Failure) {
  if (Failure == http::error::header_limit || Failure == http::error::buffer_overflow)
    return Refusal::HeaderTooLarge;
  if (Failure == http::error::body_limit)
    return Refusal::BodyTooLarge;
  return Refusal::BadRequest;
}

bool isUnambiguous(const http::request_header<> &Message) {
  const auto Length = Message.equal_range(http::field::content_length);
  if (std::distance(Length.first, Length.second) > 1)
    return false;
  const auto Stated = Message[http::field::content_length];
  if (std::any_of(Stated.begin(), Stated.end(), [](char C) { return C < '0' || C > '9'; }))
    return false;
  const auto Encoding = Message.equal_range(http::field::transfer_encoding);
  if (std::distance(Encoding.first, Encoding.second) > 1)
    return false;
  if (Encoding.first != Encoding.second && !beast::iequals(Encoding.first->value(), "chunked"))
    return false;
  return Message.version() < 11 || Message.count(http::field::host) == 1;
}

bool isParseError(const error_code &Failure) {
  return Failure.category() == http::make_error_code(http::error::bad_method).category() &&
         Failure != http::error::end_of_stream && Failure != http::error::partial_message;
}

bool hasBody(unsigned Status) { return Status >= 200 && Status != 204 && Status != 304; }

std::string serializeHead(const HttpResponse &Response, bool KeepAlive) {
  std::string Text = "HTTP/1.1 " + std::to_string(Response.Status_) + " ";
  const beast::string_view Reason = http::obsolete_reason(http::int_to_status(Response.Status_));
  Text.append(Reason.data(), Reason.size()).append("\r\n");
  for (const Header &Field : Response.Headers_)
    if (!isHopByHop(Field.Name_))
      Text.append(Field.Name_).append(": ").append(Field.Value_).append("\r\n");
  if (!KeepAlive)
    Text.append("Connection: close\r\n");
  if (hasBody(Response.Status_))
    Text.append("Content-Length: ").append(std::to_string(Response.Body_.size())).append("\r\n");
  return Text.append("\r\n");
}

std::size_t memoryOf(const HttpResponse &Response) {
  return sizeof(Response) + Response.Body_.capacity() + memoryOf(Response.Headers_);
}

std::size_t memoryOf(const HttpRequest &Request) {
  return sizeof(Request) + Request.Method_.capacity() + Request.Target_.capacity() +
         Request.Body_.capacity() + memoryOf(Request.Headers_);
}

} // namespace bronzestand::node::detail
