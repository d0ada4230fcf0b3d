#include "node/http_server_message.h"

#include <algorithm>
#include <string_view>

#include <boost/algorithm/string/predicate.hpp>
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

bool isUnambiguous(const HttpRequest &Head, unsigned Version) {
  const auto Count = [&](std::string_view Name) {
    return std::count_if(Head.Headers_.begin(), Head.Headers_.end(),
                         [&](const Header &Field) { return sameName(Field.Name_, Name); });
  };
  const std::string Length = findHeader(Head.Headers_, "Content-Length").value_or("");
  if (Count("Content-Length") > 1 ||
      std::any_of(Length.begin(), Length.end(), [](char C) { return C < '0' || C > '9'; }))
    return false;
  const auto Encoding = findHeader(Head.Headers_, "Transfer-Encoding");
  if (Count("Transfer-Encoding") > 1 || (Encoding && !boost::iequals(*Encoding, "chunked")))
    return false;
  return Version < 11 || Count("Host") == 1;
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
