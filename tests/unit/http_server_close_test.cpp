#include <memory>
#include <vector>

#include "http_server_fixture.h"

using namespace bronzestand::node;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// A caller with a small receive buffer, so that answers wait at the server until it reads.
struct SlowCaller {
  static constexpr int ReceiveBytes = 8192;

  explicit SlowCaller(const Endpoint &Server) {
    Socket_.open(tcp::v4());
    Socket_.set_option(boost::asio::socket_base::receive_buffer_size(ReceiveBytes));
    Socket_.connect({boost::asio::ip::make_address(Server.Address_), Server.Port_});
  }
  void send(const std::string &Text) {
    boost::system::error_code Ignored;
    boost::asio::write(Socket_, boost::asio::buffer(Text), Ignored);
  }
  void get(const std::string &Target, const std::string &Headers = "") {
    send("GET " + Target + " HTTP/1.1\r\nHost: a\r\n" + Headers + "\r\n");
  }
  /// Reads until the connection ends.
  std::string readAll() {
    std::string Input;
    boost::system::error_code Ignored;
    boost::asio::read(Socket_, boost::asio::dynamic_buffer(Input), Ignored);
    return Input;
  }

  boost::asio::io_context Io_;
  tcp::socket Socket_{Io_};
};

/// Time in which the server takes a request and hands its answer to the system.
constexpr auto AnswerTime = 200ms;

struct CloseFixture : PipelineFixture {
  std::size_t connections() {
    return withServer([](HttpServer &Server) { return Server.connections(); });
  }
  bool endsWithin(std::chrono::milliseconds Limit) {
    const auto End = std::chrono::steady_clock::now() + Limit;
    while (connections() != 0 && std::chrono::steady_clock::now() < End)
      std::this_thread::sleep_for(20ms);
    return connections() == 0;
  }
};

/// Ways to make the server close a connection whose answer the caller has not read yet. The last
/// two also hold for later connections.
enum class Ending { AskedByCaller, RefusedRequest, Announced, Drained };
constexpr Ending Endings[] = {Ending::AskedByCaller, Ending::RefusedRequest, Ending::Announced,
                              Ending::Drained};

} // namespace

// Guards against a reset that drops answers: the server closes after handing them to the system,
// and the next request of the caller, which has not read that far, meets a closed socket.
TEST_CASE_METHOD(CloseFixture, "server_close_unread_answer_arrives_whole") {
  for (const Ending Way : Endings) {
    INFO("way " << static_cast<int>(Way));
    SlowCaller Caller(Address_);
    if (Way == Ending::Announced)
      withServer([](HttpServer &Server) { Server.announceClose(); });
    Caller.get("/large", Way == Ending::AskedByCaller ? "Connection: close\r\n" : "");
    std::this_thread::sleep_for(AnswerTime);
    if (Way == Ending::Drained)
      withServer([](HttpServer &Server) { Server.drain(); });
    if (Way == Ending::RefusedRequest)
      Caller.send("nonsense\r\n\r\n");
    std::this_thread::sleep_for(AnswerTime);
    Caller.get("/crossing");
    std::this_thread::sleep_for(AnswerTime);
    const std::string Input = Caller.readAll();
    const std::size_t Body = Input.find("\r\n\r\n") + 4;
    CHECK(Input.size() >= Body + LargeBytes);
    CHECK(Input.find('x', Body + LargeBytes - 1) == Body + LargeBytes - 1);
  }
}

// Guards against connections that stay for good, because the caller neither reads nor closes.
TEST_CASE_METHOD(CloseFixture, "server_close_ends_without_the_caller") {
  SlowCaller Silent(Address_);
  Silent.get("/large", "Connection: close\r\n");
  SlowCaller Reader(Address_);
  Reader.get("/short", "Connection: close\r\n");
  std::this_thread::sleep_for(AnswerTime);
  CHECK(connections() == 2);
  // The read timeout of the server is 1 s.
  CHECK(endsWithin(4s));
}

// Guards against a server that counts as drained while callers still read their answers, so that
// its process ends and cuts them.
TEST_CASE_METHOD(CloseFixture, "server_close_connection_counts_until_answer_is_read") {
  SlowCaller Caller(Address_);
  Caller.get("/large");
  std::this_thread::sleep_for(AnswerTime);
  withServer([](HttpServer &Server) { Server.drain(); });
  CHECK(connections() == 1);
  std::string Input(LargeBytes, ' ');
  boost::asio::read(Caller.Socket_, boost::asio::buffer(Input));
  CHECK(connections() == 1);
  Caller.readAll();
  Caller.Socket_.close();
  CHECK(endsWithin(500ms));
}

// Guards against a close that takes time although the caller has read its answers long ago.
TEST_CASE_METHOD(CloseFixture, "server_close_idle_connection_ends_at_once") {
  SlowCaller Caller(Address_);
  Caller.get("/short");
  std::this_thread::sleep_for(1500ms);
  withServer([](HttpServer &Server) { Server.drain(); });
  CHECK(connections() == 0);
}

// Guards against an idle time that begins while the caller still reads the answer.
TEST_CASE_METHOD(CloseFixture, "server_close_idle_time_begins_when_answer_is_received") {
  HttpServerLimits Limits;
  Limits.IdleTimeout_ = 1s;
  withServer([&](HttpServer &Server) { Server.setLimits(Limits); });
  SlowCaller Caller(Address_);
  Caller.get("/short"); // the limits hold from the next request on
  Caller.get("/large");
  std::string Input(LargeBytes / 16, ' ');
  for (int Part = 0; Part < 16; ++Part) {
    boost::asio::read(Caller.Socket_, boost::asio::buffer(Input));
    std::this_thread::sleep_for(100ms);
  }
  std::this_thread::sleep_for(500ms);
  Caller.get("/next", "Connection: close\r\n");
  CHECK(has(Caller.readAll(), "GET /next"));
}

// Guards against answers to earlier requests that are lost because a later one arrives too slowly.
TEST_CASE_METHOD(CloseFixture, "server_close_slow_request_leaves_earlier_answer") {
  SlowCaller Caller(Address_);
  Caller.get("/slow");
  Caller.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
  std::this_thread::sleep_for(2s); // the read timeout of the server is 1 s
  CHECK(Cancelled_ == 0);
  boost::asio::post(Io_, [this] {
    if (Held_)
      Held_->respond({200, {}, "slow"});
  });
  CHECK(has(Caller.readAll(), "slow"));
}

// Guards against memory that grows with the callers that do not read their answers.
TEST_CASE_METHOD(CloseFixture, "server_close_unread_answers_together_stay_bounded") {
  constexpr std::size_t MaxBytes = 8'000'000;
  constexpr std::size_t Callers = 6;
  constexpr int Requests = 40; // more than the socket of a connection holds
  HttpServerLimits Limits;
  Limits.Pipelined_ = Requests;
  Limits.AnswerBytes_ = MaxBytes;
  withServer([&](HttpServer &Server) { Server.setLimits(Limits); });
  std::vector<std::unique_ptr<SlowCaller>> Silent;
  for (std::size_t Number = 0; Number < Callers; ++Number) {
    Silent.push_back(std::make_unique<SlowCaller>(Address_));
    for (int Request = 0; Request < Requests; ++Request)
      Silent.back()->get("/large");
  }
  std::this_thread::sleep_for(AnswerTime);
  SlowCaller Reader(Address_);
  Reader.get("/large", "Connection: close\r\n");
  CHECK(Reader.readAll().size() > LargeBytes);
  CHECK(withServer([](HttpServer &Server) { return Server.answerBytes(); }) <= MaxBytes);
  CHECK(connections() < Callers);
  CHECK(connections() > 0);
}

// Guards against requests that wait for their bodies or their answers when the server is destroyed
// and are never released, because they and their connections refer to each other.
TEST_CASE("server_destroyed_with_pending_request_releases_it") {
  const std::string Length = GENERATE("0", "10");
  boost::asio::io_context Io;
  const Endpoint Address{"127.0.0.1", bronzestand::freePort()};
  const auto Token = std::make_shared<int>();
  bool Handled = false;
  auto Server = std::make_unique<HttpServer>(
      Io, Address, HttpServerLimits(),
      [&](const HttpRequest & /*Request*/, const HttpExchangePtr &Exchange) {
        Handled = true;
        Exchange->onCancelled([Token, Exchange] {});
        Exchange->receiveBody([Token, Exchange](const std::string & /*Body*/) {});
      },
      HttpServerOptions{true, nullptr});
  REQUIRE(Server->start().ok());
  SlowCaller Caller(Address);
  Caller.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + Length + "\r\n\r\n");
  while (!Handled)
    REQUIRE(Io.run_one_for(5s) == 1);
  REQUIRE(Token.use_count() > 1);
  Server.reset();
  CHECK(Token.use_count() == 1);
}
