#ifndef BRONZESTAND_TESTS_HTTP_SERVER_FIXTURE_H
#define BRONZESTAND_TESTS_HTTP_SERVER_FIXTURE_H

#include <atomic>
#include <future>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "free_port.h"
#include "node/http_server.h"

namespace bronzestand::node {

/// A server in a thread of its own that echoes method, target and body.
struct ServerFixture {
  explicit ServerFixture(std::size_t Pipelined = 1) : Pipelined_(Pipelined) {
    Address_ = {"127.0.0.1", freePort()};
    std::promise<absl::Status> Started;
    Thread_ = std::thread([this, &Started] {
      HttpServerLimits Limits;
      Limits.BodyBytes_ = 1000;
      Limits.ReadTimeout_ = std::chrono::seconds(1);
      Limits.Pipelined_ = Pipelined_;
      HttpServer Server(Io_, Address_, Limits,
                        [this](const HttpRequest &Request, const HttpExchangePtr &Exchange) {
                          handle(Request, Exchange);
                        });
      Server_ = &Server;
      Started.set_value(Server.start());
      const auto Guard = boost::asio::make_work_guard(Io_);
      Io_.run();
    });
    REQUIRE(Started.get_future().get().ok());
  }
  ~ServerFixture() {
    Io_.stop();
    Thread_.join();
  }
  ServerFixture(const ServerFixture &) = delete;
  ServerFixture &operator=(const ServerFixture &) = delete;

  void handle(const HttpRequest &Request, const HttpExchangePtr &Exchange) {
    ++Handled_;
    if (Request.Target_ == "/slow") {
      Held_ = Exchange;
      Exchange->onCancelled([this] {
        ++Cancelled_;
        Held_ = nullptr;
      });
      return;
    }
    if (Request.Target_ == "/large") {
      Exchange->respond({200, {}, std::string(LargeBytes, 'x')});
      return;
    }
    Exchange->respond({200, {}, Request.Method_ + " " + Request.Target_ + " " + Request.Body_});
  }

  /// Calls a function with the server in the thread of the server, and returns its result.
  template <typename Function> auto withServer(Function Action) {
    using Result = decltype(Action(*Server_));
    std::packaged_task<Result()> Task([&] { return Action(*Server_); });
    auto Done = Task.get_future();
    boost::asio::post(Io_, [&Task] { Task(); });
    return Done.get();
  }

  /// Sends a text and returns all that the server answers until it closes the connection.
  std::string exchange(const std::string &Text, bool CloseSending = true) {
    boost::asio::io_context Io;
    boost::asio::ip::tcp::socket Socket(Io);
    Socket.connect({boost::asio::ip::make_address(Address_.Address_), Address_.Port_});
    boost::system::error_code Ignored;
    boost::asio::write(Socket, boost::asio::buffer(Text), Ignored);
    if (CloseSending)
      Socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, Ignored);
    std::string Answer;
    boost::asio::read(Socket, boost::asio::dynamic_buffer(Answer), Ignored);
    return Answer;
  }

  static bool has(const std::string &Text, const std::string &Part) {
    return Text.find(Part) != std::string::npos;
  }

  static constexpr std::size_t LargeBytes = 400'000; ///< answer to "/large"
  std::size_t Pipelined_;
  boost::asio::io_context Io_;
  Endpoint Address_;
  std::thread Thread_;
  std::atomic<int> Handled_{0};
  std::atomic<int> Cancelled_{0};
  HttpExchangePtr Held_;
  HttpServer *Server_ = nullptr; ///< used in the thread of the server only
};

/// Handles several requests of a connection at the same time.
struct PipelineFixture : ServerFixture {
  PipelineFixture() : ServerFixture(4) {}
};

} // namespace bronzestand::node

#endif
