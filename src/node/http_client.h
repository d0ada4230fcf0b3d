#ifndef BRONZESTAND_NODE_HTTP_CLIENT_H
#define BRONZESTAND_NODE_HTTP_CLIENT_H

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "node/answer_budget.h"
#include "node/http_message.h"
#include "node/settings.h"

namespace bronzestand::node {

/// How a request of the client ended.
enum class HttpResult {
  Answered,  ///< the whole response arrived
  NotSent,   ///< no byte of the request was sent
  Lost,      ///< the connection failed after the request was sent, at least in part, or the bytes
             ///< that came are no answer
  Invalid,   ///< the server answered with a status that is none; the request may have run
  TimedOut,  ///< no whole response in time
  Cancelled, ///< cancelled by the user of the client
};

/// Called once per request. The response is valid only if the result is Answered; if it is Invalid,
/// it has the status, 0 if that is not known.
using HttpCallback = std::function<void(HttpResult Result, HttpResponse Response)>;

/// How one request uses its connection.
struct SendOptions {
  /// A kept connection that was idle for longer is not used, because its server may have closed or
  /// forgotten it.
  Duration MaxIdle_ = std::chrono::hours(24);
  /// Header of the request that each answer repeats; empty if the server does not. An answer with
  /// another value belongs to an earlier request and is dropped.
  std::string EchoHeader_;
  /// Tells whether an answer says that the request did not run, so that the request may be sent
  /// again. The server may send such an answer once more, so a kept connection that carried one is
  /// not used for a request with the same value of EchoHeader_. Empty if the server sends no such
  /// answers.
  std::function<bool(const HttpResponse &)> SaysNotRun_;
  /// Bound on opening a connection; the time of the whole request counts too.
  Duration ConnectTimeout_ = std::chrono::hours(24);
  /// Lets the system probe the connection while the server is silent, because it may take long to
  /// answer and the connection may be dead.
  bool ProbeWhenSilent_ = false;
  /// Body of the request in place of its own, if not empty; shared with its other holders.
  SharedBody Body_;
  /// Takes an answer without a length as whole when the server closes the connection, but not when
  /// it resets it.
  bool EndsByClose_ = false;
};

/// HTTP/1.1 client of one server, with a pool of kept connections.
class HttpClient {
public:
  static constexpr std::size_t DefaultAnswerBytes = 64UL * 1024 * 1024;

  /// \param MaxConnections requests beyond this number fail as NotSent.
  /// \param MaxAnswerBytes bounds the memory of all answers that are being received; see
  /// AnswerBudget. A single answer is bounded by 4 MiB in any case.
  HttpClient(boost::asio::io_context &Io, Endpoint Server, std::size_t MaxConnections,
             std::size_t MaxAnswerBytes = DefaultAnswerBytes);
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;
  ~HttpClient();

  using RequestNumber = std::uint64_t;

  /// Asked immediately before the first byte is written; if false, the request ends as NotSent.
  using MayWrite = std::function<bool()>;

  /// Sends a request and returns a number for cancel().
  RequestNumber send(HttpRequest Request, Duration Timeout, HttpCallback Callback,
                     MayWrite Check = {}, SendOptions Options = {});
  /// Closes the connection of a running request, which tells the server that nobody waits.
  void cancel(RequestNumber Number);
  std::size_t connections() const;
  /// Sets where answers go, so that no more are read than can be passed on.
  void setOutlet(AnswerOutlet Outlet);
  const AnswerBudget &answers() const;
  /// Memory of the answers that are being received.
  std::size_t answerBytes() const;
  /// Connections opened since the start.
  std::uint64_t opened() const;
  /// Closes the kept connections that no request uses.
  void closeIdle();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace bronzestand::node

#endif
