#include "http_server_fixture.h"

using namespace bronzestand::node;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// A server with few connections, all of which a crowd of callers holds.
struct CrowdServerFixture : ServerFixture {
  static constexpr std::size_t Connections = 4;
  /// A connection makes way after a second without use.
  static constexpr std::chrono::milliseconds EntryLimit{2500};

  boost::asio::io_context Callers_;
  std::vector<std::unique_ptr<tcp::socket>> Crowd_;

  /// Opens all connections that the server takes and sends a text on each.
  void fill(const std::string &Text, std::size_t Count = Connections) {
    HttpServerLimits Limits;
    Limits.Connections_ = Count;
    Limits.BodyBytes_ = 1000;
    withServer([&](HttpServer &Server) { Server.setLimits(Limits); });
    for (std::size_t Number = 0; Number < Count; ++Number) {
      Crowd_.push_back(std::make_unique<tcp::socket>(Callers_));
      Crowd_.back()->open(tcp::v4());
      Crowd_.back()->set_option(boost::asio::socket_base::receive_buffer_size(8192));
      Crowd_.back()->connect({boost::asio::ip::make_address(Address_.Address_), Address_.Port_});
      boost::asio::write(*Crowd_.back(), boost::asio::buffer(Text));
    }
    std::this_thread::sleep_for(100ms);
  }
  /// Tells whether a sound caller that tries again gets an answer in time.
  /// \param Drip what each of the crowd sends between two attempts.
  bool entersInTime(const std::string &Drip = "") {
    const auto End = std::chrono::steady_clock::now() + EntryLimit;
    while (std::chrono::steady_clock::now() < End) {
      boost::system::error_code Ignored;
      for (const auto &Item : Crowd_)
        boost::asio::write(*Item, boost::asio::buffer(Drip), Ignored);
      if (has(exchange("GET /sound HTTP/1.1\r\nHost: a\r\n\r\n"), "/sound"))
        return true;
      std::this_thread::sleep_for(100ms);
    }
    return false;
  }
};

} // namespace

// Guards against a crowd that takes all connections of a listener and stops in the middle of a
// body, so that nobody else is served until the read timeout.
TEST_CASE_METHOD(CrowdServerFixture, "server_crowd_that_stops_in_body_makes_way") {
  fill("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nx");
  CHECK(entersInTime());
}

// The same with heads of which a byte arrives now and then, until the header timeout.
TEST_CASE_METHOD(CrowdServerFixture, "server_crowd_that_drips_heads_makes_way") {
  fill("GET / HTTP/1.1\r\nHost: a\r\nX-Filler: ");
  CHECK(entersInTime("x"));
}

// The same with answers that are not read.
TEST_CASE_METHOD(CrowdServerFixture, "server_crowd_that_does_not_read_makes_way") {
  const std::string Request = "GET /large HTTP/1.1\r\nHost: a\r\n\r\n";
  std::string Pipelined;
  for (int Number = 0; Number < 30; ++Number)
    Pipelined += Request;
  fill(Pipelined);
  CHECK(entersInTime());
}

// Guards against a caller whose request runs and whose connection is closed for that of another.
TEST_CASE_METHOD(CrowdServerFixture, "server_crowd_with_running_request_keeps_its_connection") {
  fill("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n", 1);
  CHECK_FALSE(entersInTime());
  CHECK(Cancelled_ == 0);
  CHECK(withServer([](HttpServer &Server) { return Server.connections(); }) == 1);
}

// Guards against a request that ends the process when it is refused, because its id is no UTF-8.
TEST_CASE("server_refusal_of_id_that_is_no_text_is_json") {
  const HttpResponse Response =
      refusalResponse(bronzestand::Refusal::RouteUnknown, bronzestand::RequestId("a\xFF\xC0"));
  const auto Body = nlohmann::json::parse(Response.Body_, nullptr, false);
  REQUIRE_FALSE(Body.is_discarded());
  CHECK(Body.at("request_id").get<std::string>().substr(0, 1) == "a");
}
