#include "node/http_client.h"

#include <deque>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace bronzestand;
using namespace bronzestand::node;
using boost::asio::ip::tcp;

namespace {

constexpr Duration Timeout = std::chrono::milliseconds(500);

/// What a scripted server writes for one request.
struct Reply {
  std::string Text_;
  bool Close_ = false;
};

std::string answerTo(const std::string &Id, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + Id +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// A client and a server that answers the requests of all connections from one list.
struct ClientFixture {
  boost::asio::io_context Io_;
  tcp::acceptor Acceptor_{Io_, {boost::asio::ip::make_address("127.0.0.1"), 0}};
  HttpClient Client_{Io_, {"127.0.0.1", Acceptor_.local_endpoint().port()}, 8};
  std::deque<Reply> Replies_;
  int Accepted_ = 0;

  struct Connection {
    explicit Connection(tcp::socket Socket) : Socket_(std::move(Socket)) {}
    tcp::socket Socket_;
    std::string Input_;
    std::string Output_;
  };

  ClientFixture() { accept(); }

  void accept() {
    Acceptor_.async_accept([this](boost::system::error_code Failure, tcp::socket Socket) {
      if (Failure)
        return;
      ++Accepted_;
      serve(std::make_shared<Connection>(std::move(Socket)));
      accept();
    });
  }
  void serve(const std::shared_ptr<Connection> &Item) {
    boost::asio::async_read_until(
        Item->Socket_, boost::asio::dynamic_buffer(Item->Input_), "\r\n\r\n",
        [this, Item](boost::system::error_code Failure, std::size_t Size) {
          if (Failure || Replies_.empty())
            return;
          Item->Input_.erase(0, Size);
          const Reply Next = Replies_.front();
          Replies_.pop_front();
          Item->Output_ = Next.Text_;
          boost::asio::async_write(Item->Socket_, boost::asio::buffer(Item->Output_),
                                   [this, Item, Next](boost::system::error_code, std::size_t) {
                                     if (Next.Close_)
                                       Item->Socket_.close();
                                     else
                                       serve(Item);
                                   });
        });
  }
  std::pair<HttpResult, std::string> request(const std::string &Id, bool EndsByClose = false) {
    HttpRequest Request;
    Request.Method_ = "GET";
    Request.Target_ = "/";
    Request.Headers_ = {{"Request-Id", Id}};
    SendOptions Options;
    Options.EchoHeader_ = "Request-Id";
    Options.EndsByClose_ = EndsByClose;
    std::optional<std::pair<HttpResult, std::string>> End;
    Client_.send(
        std::move(Request), Timeout,
        [&End](HttpResult Result, const HttpResponse &Response) {
          End.emplace(Result, Response.Body_);
        },
        {}, Options);
    while (!End)
      Io_.run_one();
    return *End;
  }
};

} // namespace

// Guards against the late answer to an earlier request that is taken for the present one's.
TEST_CASE_METHOD(ClientFixture, "client_answer_to_other_request_is_dropped") {
  Replies_ = {{answerTo("a", "one")},
              {answerTo("a", "again") + answerTo("b", "two")},
              {answerTo("c", "three")}};
  CHECK(request("a") == std::make_pair(HttpResult::Answered, std::string("one")));
  CHECK(request("b") == std::make_pair(HttpResult::Answered, std::string("two")));
  CHECK(request("c") == std::make_pair(HttpResult::Answered, std::string("three")));
  // The connection that carried a foreign answer is not used again.
  CHECK(Accepted_ == 2);
}

// Guards against bytes behind an answer that become the start of the next one.
TEST_CASE_METHOD(ClientFixture, "client_bytes_behind_an_answer_end_the_connection") {
  Replies_ = {{answerTo("a", "one") + "garbage"}, {answerTo("b", "two")}};
  CHECK(request("a").second == "one");
  CHECK(request("b").second == "two");
  CHECK(Accepted_ == 2);
}

// Guards against a connection that is opened for each request.
TEST_CASE_METHOD(ClientFixture, "client_sound_connection_is_used_again") {
  Replies_ = {{answerTo("a", "one")}, {answerTo("b", "two")}};
  CHECK(request("a").second == "one");
  CHECK(request("b").second == "two");
  CHECK(Accepted_ == 1);
}

// Guards against a body that was cut short and is taken as whole.
TEST_CASE_METHOD(ClientFixture, "client_cut_answer_is_lost") {
  const std::string Open = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n";
  Replies_ = {{Open + "Content-Length: 10\r\n\r\nabc", true},
              {Open + "Transfer-Encoding: chunked\r\n\r\n5\r\nab", true},
              {"nonsense\r\n\r\n", true},
              {Open + "\r\nabc", true}};
  CHECK(request("a").first == HttpResult::Lost);
  CHECK(request("a").first == HttpResult::Lost);
  CHECK(request("a").first == HttpResult::Lost);
  CHECK(request("a").first == HttpResult::Lost);
}

// Guards against an answer without a length that is dropped although its server ends answers so.
TEST_CASE_METHOD(ClientFixture, "client_answer_that_ends_with_its_connection_is_whole") {
  Replies_ = {{"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nabc", true}};
  CHECK(request("a", true) == std::make_pair(HttpResult::Answered, std::string("abc")));
}

// Guards against a request that waits for ever on a silent server.
TEST_CASE_METHOD(ClientFixture, "client_silent_server_times_out") {
  Replies_ = {{""}};
  CHECK(request("a").first == HttpResult::TimedOut);
}
