#include <catch2/catch.hpp>

#include "node/http_client_message.h"

using namespace bronzestand::node;

namespace {

std::string headOf(const std::string &Method, std::size_t BodyBytes) {
  return detail::serializeHead({Method, "/p?q=1", {}, ""}, "127.0.0.1:80", BodyBytes);
}

} // namespace

// Guards against a body whose end the server can't tell, or an empty one that it waits for.
TEST_CASE("client_head_states_length_of_body") {
  const std::string Start = " /p?q=1 HTTP/1.1\r\nHost: 127.0.0.1:80\r\n";
  for (const std::string Method : {"GET", "HEAD", "DELETE", "TRACE", "BREW"}) {
    CHECK(headOf(Method, 0) == Method + Start + "\r\n");
    CHECK(headOf(Method, 4) == Method + Start + "Content-Length: 4\r\n\r\n");
  }
  for (const std::string Method : {"POST", "PUT", "OPTIONS"})
    CHECK(headOf(Method, 0) == Method + Start + "Content-Length: 0\r\n\r\n");
}

// Guards against fields of the caller's connection, or of its framing, that reach the server.
TEST_CASE("client_head_leaves_out_fields_of_one_connection") {
  const HttpRequest Request{"GET",
                            "/",
                            {{"Connection", "close"},
                             {"host", "a.example"},
                             {"Transfer-Encoding", "chunked"},
                             {"X-One", "1"},
                             {"content-length", "9"},
                             {"X-One", "2"}},
                            ""};
  CHECK(detail::serializeHead(Request, "127.0.0.1:80", 0) ==
        "GET / HTTP/1.1\r\nhost: a.example\r\nX-One: 1\r\nX-One: 2\r\n\r\n");
}
