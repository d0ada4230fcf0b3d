#include "http_server_fixture.h"

using namespace bronzestand;
using namespace bronzestand::node;
using boost::asio::ip::tcp;

// Guards against answers out of order, or a second request that is lost.
TEST_CASE_METHOD(ServerFixture, "server_pipelined_requests_are_answered_in_order") {
  const std::string Answer = exchange("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                                      "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
                                      "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
                                      false);
  const auto First = Answer.find("GET /1");
  const auto Second = Answer.find("POST /2 abc");
  const auto Third = Answer.find("GET /3");
  CHECK(First < Second);
  CHECK(Second < Third);
  CHECK(Third != std::string::npos);
}

TEST_CASE_METHOD(ServerFixture, "server_chunked_body_is_read_whole") {
  const std::string Answer =
      exchange("POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n"
               "\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
               false);
  CHECK(has(Answer, "POST /c abcde"));
}

// Guards against shapes that two parsers read differently, which lets a request hide in another.
TEST_CASE_METHOD(ServerFixture, "server_ambiguous_length_is_refused_as_not_run") {
  const std::string Body = "0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n";
  for (const std::string &Headers :
       {std::string("Content-Length: 3\r\nContent-Length: 5\r\n"),
        std::string("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
        std::string("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"),
        std::string("Content-Length: -1\r\n"), std::string("Content-Length: 5, 5\r\n"),
        std::string("Content-Length : 5\r\n"),
        std::string("Transfer-Encoding: chunked, identity\r\n")}) {
    INFO(Headers);
    std::string Text = "POST /x HTTP/1.1\r\nHost: a\r\n";
    Text.append(Headers).append("\r\n").append(Body);
    const std::string Answer = exchange(Text);
    CHECK(has(Answer, "Bronzestand-Outcome: not-run"));
    CHECK_FALSE(has(Answer, "/hidden"));
  }
  CHECK(Handled_ == 0);
}

TEST_CASE_METHOD(ServerFixture, "server_oversized_input_is_refused_by_type") {
  const std::string LongHeader = "X-Long: " + std::string(20'000, 'x') + "\r\n";
  CHECK(has(exchange("GET / HTTP/1.1\r\nHost: a\r\n" + LongHeader + "\r\n"), "header_too_large"));
  CHECK(has(exchange("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n"),
            "body_too_large"));
  CHECK(has(exchange("GET / HTTP/1.1\r\n\r\n"), "bad_request"));
  CHECK(has(exchange("nonsense\r\n\r\n"), "bad_request"));
  CHECK(Handled_ == 0);
}

// Guards against memory that grows while a caller sends a header, a body or trailers without end.
TEST_CASE_METHOD(ServerFixture, "server_endless_bytes_end_the_connection") {
  const std::string Line = "X-Filler: " + std::string(1000, 'x') + "\r\n";
  const std::string Chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::pair<std::string, std::string> Streams[] = {
      {"", std::string(1000, 'x')},
      {"POST / HTTP/1.1\r\n", Line},
      {Chunked, "64\r\n" + std::string(100, 'x') + "\r\n"},
      {Chunked + "0\r\n", Line},
  };
  constexpr std::size_t MaxEndlessBytes = 16UL * 1024 * 1024;
  for (const auto &[First, Rest] : Streams) {
    boost::asio::io_context Io;
    tcp::socket Socket(Io);
    Socket.connect({boost::asio::ip::make_address(Address_.Address_), Address_.Port_});
    boost::system::error_code Failure;
    std::size_t Sent = boost::asio::write(Socket, boost::asio::buffer(First), Failure);
    while (!Failure && Sent < 4 * MaxEndlessBytes)
      Sent += boost::asio::write(Socket, boost::asio::buffer(Rest), Failure);
    INFO("stream " << First << " / " << Rest.substr(0, 20));
    CHECK(Sent <= MaxEndlessBytes);
    CHECK(Handled_ == 0);
  }
}

// Guards against a body that was cut short and is passed on as whole.
TEST_CASE_METHOD(ServerFixture, "server_truncated_body_is_not_handled") {
  exchange("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
  exchange("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab");
  CHECK(Handled_ == 0);
}

// Guards against slow senders that hold connections.
TEST_CASE_METHOD(ServerFixture, "server_slow_sender_is_dropped") {
  const auto Start = std::chrono::steady_clock::now();
  exchange("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc", false);
  CHECK(std::chrono::steady_clock::now() - Start < std::chrono::seconds(4));
  CHECK(Handled_ == 0);
}

// Guards against work that goes on for a caller who has gone away.
TEST_CASE_METHOD(ServerFixture, "server_caller_gone_cancels_the_request") {
  {
    boost::asio::io_context Io;
    tcp::socket Socket(Io);
    Socket.connect({boost::asio::ip::make_address(Address_.Address_), Address_.Port_});
    boost::asio::write(Socket, boost::asio::buffer("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"));
    while (Handled_ == 0)
      std::this_thread::yield();
  }
  const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(2);
  while (Cancelled_ == 0 && std::chrono::steady_clock::now() < End)
    std::this_thread::yield();
  CHECK(Cancelled_ == 1);
}

// Guards against requests that were read ahead and are never handled, because the connection waits
// for more input.
TEST_CASE_METHOD(ServerFixture, "server_requests_behind_a_running_one_are_handled_after_it") {
  boost::asio::io_context Io;
  tcp::socket Socket(Io);
  Socket.connect({boost::asio::ip::make_address(Address_.Address_), Address_.Port_});
  const std::string Text = "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"
                           "GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  boost::asio::write(Socket, boost::asio::buffer(Text));
  while (Handled_ == 0)
    std::this_thread::yield();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  boost::asio::post(Io_, [this] { Held_->respond({200, {}, "slow"}); });
  const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(2);
  while (Handled_ < 2 && std::chrono::steady_clock::now() < End)
    std::this_thread::yield();
  CHECK(Handled_ == 2);
}

// Guards against a slow request that holds up the ones behind it, and against answers that
// overtake.
TEST_CASE_METHOD(PipelineFixture,
                 "server_pipelined_requests_run_together_and_are_answered_in_order") {
  boost::asio::io_context Io;
  tcp::socket Socket(Io);
  Socket.connect({boost::asio::ip::make_address(Address_.Address_), Address_.Port_});
  const std::string Text = "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"
                           "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
                           "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  boost::asio::write(Socket, boost::asio::buffer(Text));
  const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(2);
  while (Handled_ < 3 && std::chrono::steady_clock::now() < End)
    std::this_thread::yield();
  CHECK(Handled_ == 3);
  boost::asio::post(Io_, [this] { Held_->respond({200, {}, "slow"}); });
  std::string Answer;
  boost::system::error_code Ignored;
  boost::asio::read(Socket, boost::asio::dynamic_buffer(Answer), Ignored);
  CHECK(Answer.find("slow") < Answer.find("GET /2"));
  CHECK(Answer.find("GET /2") < Answer.find("GET /3"));
  CHECK(has(Answer, "GET /3"));
}

// Guards against work that goes on for a caller who has gone away while others are read ahead.
TEST_CASE_METHOD(PipelineFixture, "server_caller_gone_cancels_while_reading_ahead") {
  {
    boost::asio::io_context Io;
    tcp::socket Socket(Io);
    Socket.connect({boost::asio::ip::make_address(Address_.Address_), Address_.Port_});
    const std::string Text = "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n";
    boost::asio::write(Socket, boost::asio::buffer(Text));
    while (Handled_ == 0)
      std::this_thread::yield();
  }
  const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(2);
  while (Cancelled_ == 0 && std::chrono::steady_clock::now() < End)
    std::this_thread::yield();
  CHECK(Cancelled_ == 1);
}

// Guards against callers that open connections and send nothing, or part of a head, and so shut out
// ordinary callers.
TEST_CASE_METHOD(ServerFixture, "server_silent_connections_make_way_for_callers") {
  HttpServerLimits Limits;
  Limits.Connections_ = 4;
  withServer([&](HttpServer &Server) { Server.setLimits(Limits); });
  boost::asio::io_context Io;
  std::vector<boost::asio::ip::tcp::socket> Silent;
  for (std::size_t Index = 0; Index < 2 * Limits.Connections_; ++Index) {
    Silent.emplace_back(Io);
    Silent.back().connect({boost::asio::ip::make_address(Address_.Address_), Address_.Port_});
    if (Index % 2 == 0)
      boost::asio::write(Silent.back(), boost::asio::buffer(std::string("GET / HT")));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  CHECK(has(exchange("GET /a HTTP/1.1\r\nHost: a\r\n\r\n"), "GET /a"));
  CHECK(withServer([](HttpServer &Server) { return Server.connections(); }) <= Limits.Connections_);
}
