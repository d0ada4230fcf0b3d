#ifndef BRONZESTAND_TESTS_HTTP_CLIENT_FIXTURE_H
#define BRONZESTAND_TESTS_HTTP_CLIENT_FIXTURE_H

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "node/http_client.h"

namespace bronzestand::node {

using boost::asio::ip::tcp;

constexpr Duration Timeout = std::chrono::milliseconds(500);
constexpr Duration Pause = std::chrono::milliseconds(30);
/// What a server without an end may get rid of: a few times the largest answer, and socket buffers.
constexpr std::size_t MaxEndlessBytes = 32UL * 1024 * 1024;

/// What a scripted server writes for one request.
struct Reply {
  std::string Text_;
  bool Close_ = false;
  std::string Endless_ = {}; ///< sent again and again after the text, until the client closes
  bool Reset_ = false;       ///< with Close_: reset the connection instead
  bool Shutdown_ = false;    ///< with Close_: end the sending side before the connection
  bool Late_ = false;        ///< with Close_: after a pause, so that the client has read the text
  std::string Later_ = {};   ///< written after a pause
};

inline Reply inTwoParts(std::string First, std::string Second) {
  Reply Next{std::move(First)};
  Next.Later_ = std::move(Second);
  return Next;
}

inline std::string answerTo(const std::string &Id, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + Id +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// An answer in chunks with a body of three bytes, up to its trailers.
inline std::string chunkedAnswerTo(const std::string &Id) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + Id +
         "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n";
}

/// A client and a server that answers the requests of all connections from one list.
struct ClientFixture {
  boost::asio::io_context Io_;
  tcp::acceptor Acceptor_{Io_, {boost::asio::ip::make_address("127.0.0.1"), 0}};
  HttpClient Client_{Io_, {"127.0.0.1", Acceptor_.local_endpoint().port()}, 8};
  std::deque<Reply> Replies_;
  int Accepted_ = 0;
  std::size_t Sent_ = 0;            ///< bytes of endless replies
  std::size_t Ended_ = 0;           ///< endless replies that the client has ended
  std::vector<Header> LastHeaders_; ///< of the last answer

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
                                     if (Next.Close_ && Next.Late_)
                                       after(Pause, [this, Item, Next] { end(*Item, Next); });
                                     else if (Next.Close_)
                                       end(*Item, Next);
                                     else if (!Next.Endless_.empty())
                                       sendEndless(Item, Next.Endless_);
                                     else if (!Next.Later_.empty())
                                       sendLater(Item, Next.Later_);
                                     else
                                       serve(Item);
                                   });
        });
  }
  static void end(Connection &Item, const Reply &Next) {
    if (Next.Shutdown_)
      Item.Socket_.shutdown(tcp::socket::shutdown_send);
    if (Next.Reset_)
      Item.Socket_.set_option(boost::asio::socket_base::linger(true, 0));
    Item.Socket_.close();
  }
  void after(Duration Time, std::function<void()> Action) {
    const auto Timer = std::make_shared<boost::asio::steady_timer>(Io_, Time);
    Timer->async_wait([Timer, Action = std::move(Action)](boost::system::error_code) { Action(); });
  }
  void sendLater(const std::shared_ptr<Connection> &Item, const std::string &Text) {
    after(Pause, [this, Item, Text] {
      Item->Output_ = Text;
      boost::asio::async_write(
          Item->Socket_, boost::asio::buffer(Item->Output_),
          [this, Item](boost::system::error_code, std::size_t) { serve(Item); });
    });
  }
  void sendEndless(const std::shared_ptr<Connection> &Item, const std::string &Text) {
    Item->Output_ = Text;
    boost::asio::async_write(
        Item->Socket_, boost::asio::buffer(Item->Output_),
        [this, Item, Text](boost::system::error_code Failure, std::size_t Size) {
          Sent_ += Size;
          if (Failure)
            ++Ended_;
          else
            sendEndless(Item, Text);
        });
  }
  std::pair<HttpResult, std::string> request(const std::string &Id, bool EndsByClose = false,
                                             const std::string &Body = "") {
    HttpRequest Request;
    Request.Method_ = "GET";
    Request.Target_ = "/";
    Request.Headers_ = {{"Request-Id", Id}};
    Request.Body_ = Body;
    SendOptions Options;
    Options.EchoHeader_ = "Request-Id";
    Options.SaysNotRun_ = [](const HttpResponse &Response) {
      return findHeader(Response.Headers_, "Not-Run").has_value();
    };
    Options.EndsByClose_ = EndsByClose;
    std::optional<std::pair<HttpResult, std::string>> End;
    Client_.send(
        std::move(Request), Timeout,
        [this, &End](HttpResult Result, const HttpResponse &Response) {
          LastHeaders_ = Response.Headers_;
          End.emplace(Result, Response.Body_);
        },
        {}, Options);
    while (!End)
      Io_.run_one();
    return *End;
  }
};

} // namespace bronzestand::node

#endif
