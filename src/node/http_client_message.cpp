#include "node/http_client_message.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace bronzestand::node::detail {
namespace {

/// Methods that give a body a meaning, so that an empty one is stated too (RFC 9110, section 8.6).
constexpr std::array<std::string_view, 3> MethodsWithBody{"POST", "PUT", "OPTIONS"};

bool statesLength(std::string_view Method, std::size_t BodyBytes) {
  return BodyBytes != 0 ||
         std::find(MethodsWithBody.begin(), MethodsWithBody.end(), Method) != MethodsWithBody.end();
}

} // namespace

std::string serializeHead(const HttpRequest &Request, const std::string &Host,
                          std::size_t BodyBytes) {
  std::string Text = Request.Method_ + " " + Request.Target_ + " HTTP/1.1\r\n";
  if (!findHeader(Request.Headers_, "Host"))
    Text.append("Host: ").append(Host).append("\r\n");
  for (const Header &Field : Request.Headers_)
    if (!isHopByHop(Field.Name_))
      Text.append(Field.Name_).append(": ").append(Field.Value_).append("\r\n");
  if (statesLength(Request.Method_, BodyBytes))
    Text.append("Content-Length: ").append(std::to_string(BodyBytes)).append("\r\n");
  return Text.append("\r\n");
}

} // namespace bronzestand::node::detail
