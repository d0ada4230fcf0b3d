#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "mesh_fixture.h"

using namespace bronzestand;
using boost::asio::ip::tcp;

namespace {

const std::string Host = "127.0.0.2";
/// The containers of the HTTP library throw from 65,534 bytes of a field on.
constexpr std::size_t LongBytes = 66'000;

/// A node that callers may send long heads.
struct DoorsFixture : MeshFixture {
  DoorsFixture() {
    MetricsPort_ = freePort();
    putConfig(Store_, 3, {"/r/"});
    json Config = json::parse(Store_.copy().Items_.at("op/config").first);
    Config["Limits"] = {{"MaxHeaderBytes", 131072}};
    Store_.put("op/config", Config.dump());
    startNode(Host);
    REQUIRE(runUntil([&] { return statusOf(Host, "/other/") == 404; }));
  }

  /// Sends bytes on a new connection, and waits until the node answers or closes it.
  /// \return whether it did.
  bool isAnswered(std::uint16_t Port, const std::string &Text) {
    tcp::socket Socket(Io_);
    Socket.connect({boost::asio::ip::make_address(Host), Port});
    std::string Answer(100, ' ');
    bool Ended = false;
    boost::asio::async_write(Socket, boost::asio::buffer(Text),
                             [](boost::system::error_code, std::size_t) {});
    Socket.async_read_some(boost::asio::buffer(Answer),
                           [&](boost::system::error_code, std::size_t) { Ended = true; });
    const bool Result = runUntil([&] { return Ended; });
    Socket.close();
    Io_.poll(); // the handlers refer to the text
    return Result;
  }
};

std::string requestTo(const std::string &Method, const std::string &Path, const std::string &Rest) {
  return Method + " " + Path +
         " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q\r\nDeadline-Ms: 1000\r\n" + Rest;
}

const std::string Chunks = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n";

} // namespace

// Guards against a node that ends because the HTTP library throws for a message: a long field or
// trailer, or a body of TRACE, at each listener.
TEST_CASE_METHOD(DoorsFixture, "doors_messages_library_throws_for_do_not_end_the_node") {
  const std::vector<std::pair<std::uint16_t, std::string>> Listeners{
      {CallerPort_, "/r/x"},     {CallerPort_, "/other/"},    {OperatorPort_, "/healthz"},
      {OperatorPort_, "/state"}, {*MetricsPort_, "/metrics"}, {PeerPort_, "/"}};
  const std::string Long(LongBytes, 'x');
  const std::string LongName = Long + ": 1\r\n\r\n";
  const std::string LongValue = "X-Long: " + Long + "\r\n\r\n";
  for (const auto &[Port, Path] : Listeners)
    for (const std::string &Text :
         {requestTo("GET", Path, LongValue), requestTo("GET", Path, LongName),
          requestTo("GET", Path + Long, "\r\n"), requestTo(Long, Path, "\r\n"),
          requestTo("POST", Path, Chunks + LongValue), requestTo("POST", Path, Chunks + LongName),
          requestTo("TRACE", Path, "Content-Length: 3\r\n\r\nabc"),
          requestTo("TRACE", Path, Chunks + "\r\n")}) {
      INFO(Path << " at port " << Port << ": " << Text.substr(0, 120));
      CHECK(isAnswered(Port, Text));
      CHECK(statusOf(Host, "/r/ordinary") == 503); // there is no server
      CHECK_FALSE(stateOf(Host).is_discarded());
    }
}
