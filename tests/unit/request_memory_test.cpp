#include "crowd_fixture.h"

using namespace bronzestand;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

// Guards against bodies of legal size that together take more than the memory of the machine.
TEST_CASE_METHOD(CrowdFixture, "request_memory_bodies_that_do_not_end_stay_bounded") {
  checkShortBodies("/r/large", CallerPort_);
}

// The same at a path without a route, whose request is refused whatever its body is.
TEST_CASE_METHOD(CrowdFixture, "request_memory_bodies_without_route_stay_bounded") {
  checkShortBodies("/other/", CallerPort_);
}

// The same at the listeners of the operator, and at the path of the readiness check.
TEST_CASE_METHOD(CrowdFixture, "request_memory_bodies_for_operator_stay_bounded") {
  const std::string Path = GENERATE("/healthz", "/state", "/metrics");
  const std::uint16_t Port = Path == "/metrics" ? *MetricsPort_ : OperatorPort_;
  const auto Body = std::make_shared<const std::string>(MiB - 1, 'x');
  check(
      [&](Caller &Item) {
        Item.send(head(Path, "Content-Length: " + std::to_string(MiB) + "\r\n"), Body, 1);
      },
      Port);
}

// Guards against bodies that are held although they are over the limit.
TEST_CASE_METHOD(CrowdFixture, "request_memory_bodies_over_limit_stay_bounded") {
  const auto Chunk =
      std::make_shared<const std::string>("fff0\r\n" + std::string(0xfff0, 'x') + "\r\n");
  const std::string Field = GENERATE(std::string("Content-Length: 4294967296\r\n"),
                                     std::string("Transfer-Encoding: chunked\r\n"));
  check([&](Caller &Item) { Item.send(head("/r/huge", Field), Chunk, 100); }, CallerPort_);
}

// Guards against heads that take much more memory than bytes on the wire: 2,500 fields of five
// bytes, in requests that wait for their bodies.
TEST_CASE_METHOD(CrowdFixture, "request_memory_short_fields_stay_bounded") {
  std::string Fields;
  for (int Index = 0; Index < 2500; ++Index)
    Fields += "a:b\r\n";
  check(
      [&](Caller &Item) {
        Item.send(head("/r/fields", Fields + "Content-Length: 10\r\n"),
                  std::make_shared<const std::string>("x"), 1);
      },
      CallerPort_, 300);
}

// Guards against answers and requests that pile up for callers that pipeline and never read.
TEST_CASE_METHOD(CrowdFixture, "request_memory_pipelining_without_reading_stays_bounded") {
  const std::string Target = GENERATE(std::string("/r/x"), std::string("/other/"));
  const auto Request = std::make_shared<const std::string>(head(Target, "Content-Length: 0\r\n"));
  check([&](Caller &Item) { Item.send(*Request, Request, 300); }, CallerPort_);
}

// Guards against a bound that hurts slow callers in calm: a body arrives in pieces over a second.
TEST_CASE_METHOD(CrowdFixture, "request_memory_slow_body_in_calm_is_served") {
  tcp::socket Socket(Io_);
  Socket.connect({boost::asio::ip::make_address(Host_), CallerPort_});
  boost::asio::write(Socket, boost::asio::buffer(head("/r/slow", "Content-Length: 20000\r\n")));
  for (int Part = 0; Part < 20; ++Part) {
    boost::asio::write(Socket, boost::asio::buffer(std::string(1000, 'x')));
    const auto Next = std::chrono::steady_clock::now() + 50ms;
    runUntil([&] { return std::chrono::steady_clock::now() >= Next; });
  }
  std::string Answer(2000, ' ');
  std::size_t Count = 0;
  Socket.async_read_some(boost::asio::buffer(Answer), [&](const boost::system::error_code &,
                                                          std::size_t Read) { Count = Read; });
  REQUIRE(runUntil([&] { return Count != 0; }));
  CHECK(Answer.find("no_backend_server") != std::string::npos);
}

// Guards against a legal body that is refused although there is room for it, because it counts for
// each of its holders. No backend server is there, which only a request that was taken on learns.
TEST_CASE_METHOD(CrowdFixture, "request_memory_legal_body_in_calm_has_room") {
  // Large requests may have three quarters of the account of 24 MiB; three copies had 45 MiB.
  constexpr std::size_t LegalBytes = 15 * MiB;
  const auto Body = std::make_shared<const std::string>(LegalBytes, 'x');
  Caller Item(Io_, Host_, CallerPort_);
  Item.send(head("/r/legal", "Content-Length: " + std::to_string(LegalBytes) + "\r\n"), Body, 1);
  CHECK(Item.answer([this](const auto &Ended) { return runUntil(Ended); })
            .find("no_backend_server") != std::string::npos);
  // The request for the state counts too.
  CHECK(runUntil([&] {
    return stateOf(Host_).at("request_memory").at("bytes").at("running").get<std::size_t>() < MiB;
  }));
}
