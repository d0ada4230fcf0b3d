#include "fuzz/targets.h"

#include <algorithm>
#include <stdexcept>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "node/http_client.h"

namespace bronzestand::fuzz {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t MaxBodyBytes = 4UL * 1024 * 1024;
/// Far beyond what one exchange over loopback takes on a busy machine.
constexpr std::chrono::seconds Limit{20};

/// Parser of the answers of servers, in HttpClient. The input is all that the server sends until it
/// closes the connection.
class ResponseTarget final : public Target {
public:
  ResponseTarget() : Acceptor_(Io_, {boost::asio::ip::address_v4::loopback(), 0}) {}

  std::string run(const std::string &Input, Mutator &Choice) override {
    const auto Address = Acceptor_.local_endpoint();
    node::HttpClient Client(Io_, {Address.address().to_string(), Address.port()}, 1);
    node::HttpRequest Request;
    Request.Method_ = Choice.below(8) == 0 ? "HEAD" : "GET";
    Request.Target_ = "/x";
    Request.Headers_ = {{"Host", "a"}, {"Request-Id", "q"}};
    node::SendOptions Options;
    Options.EchoHeader_ = "Request-Id";
    Options.SaysNotRun_ = [](const node::HttpResponse &Response) {
      return node::findHeader(Response.Headers_, "Not-Run").has_value();
    };
    Options.EndsByClose_ = Choice.below(2) == 0;
    std::size_t Ends = 0;
    node::HttpResult Result = node::HttpResult::NotSent;
    node::HttpResponse Answer;
    Client.send(
        std::move(Request), Limit,
        [&](node::HttpResult Outcome, node::HttpResponse Response) {
          ++Ends;
          Result = Outcome;
          Answer = std::move(Response);
        },
        {}, std::move(Options));
    tcp::socket Server(Io_);
    bool Accepted = false;
    Acceptor_.async_accept(Server, [&](error_code Failure) { Accepted = !Failure; });
    runUntil([&] { return Accepted || Ends != 0; });
    if (!Accepted)
      throw std::runtime_error("the client does not connect");
    serve(Server, Input, Choice, Ends);
    runUntil([&] { return Ends != 0; });
    return check(Ends, Result, Answer, Client);
  }

private:
  template <typename Condition> void runUntil(Condition Holds) {
    const auto End = std::chrono::steady_clock::now() + 2 * Limit;
    while (!Holds() && std::chrono::steady_clock::now() < End) {
      Io_.restart();
      Io_.run_one_for(std::chrono::milliseconds(50));
    }
  }

  /// Sends the input in up to three pieces and closes the connection.
  void serve(tcp::socket &Server, const std::string &Input, Mutator &Choice,
             const std::size_t &Ends) {
    std::string Request(1024, ' ');
    error_code Failure;
    Server.non_blocking(true, Failure);
    runUntil([&] {
      Server.read_some(boost::asio::buffer(Request), Failure);
      return Failure != boost::asio::error::would_block || Ends != 0;
    });
    Server.set_option(tcp::no_delay(true), Failure);
    std::size_t Offset = 0;
    for (int Piece = 0; Piece < 3 && Offset < Input.size(); ++Piece) {
      const std::size_t End =
          Piece == 2 ? Input.size() : Offset + 1 + Choice.below(Input.size() - Offset);
      while (Offset < End && Ends == 0) {
        const std::size_t Count =
            Server.write_some(boost::asio::buffer(Input.data() + Offset, End - Offset), Failure);
        if (Failure && Failure != boost::asio::error::would_block)
          return;
        Offset += Count;
        poll();
      }
      poll();
    }
    Server.shutdown(tcp::socket::shutdown_send, Failure);
  }

  void poll() {
    Io_.restart();
    Io_.poll();
  }

  static std::string check(std::size_t Ends, node::HttpResult Result,
                           const node::HttpResponse &Answer, const node::HttpClient &Client) {
    if (Ends != 1)
      return "request ended " + std::to_string(Ends) + " times";
    if (Result == node::HttpResult::TimedOut || Result == node::HttpResult::NotSent)
      return "request did not end with its connection";
    if (Client.answerBytes() != 0)
      return "memory of an answer that ended";
    if (Result != node::HttpResult::Answered)
      return "";
    if (Answer.Status_ < 200 || Answer.Status_ > 599)
      return "answer with the status " + std::to_string(Answer.Status_);
    if (Answer.Body_.size() > MaxBodyBytes)
      return "answer of " + std::to_string(Answer.Body_.size()) + " bytes";
    const auto Echo = node::findHeader(Answer.Headers_, "Request-Id");
    return Echo && *Echo != "q" ? "answer of another request" : "";
  }

  boost::asio::io_context Io_;
  tcp::acceptor Acceptor_;
};

} // namespace

std::unique_ptr<Target> makeResponseTarget() { return std::make_unique<ResponseTarget>(); }

} // namespace bronzestand::fuzz
