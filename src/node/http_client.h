#ifndef BRONZESTAND_NODE_HTTP_CLIENT_H
#define BRONZESTAND_NODE_HTTP_CLIENT_H

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "node/http_message.h"
#include "node/settings.h"

namespace bronzestand::node {

/// How a request of the client ended.
enum class HttpResult {
  Answered,  ///< the whole response arrived
  NotSent,   ///< no byte of the request was sent
  Lost,      ///< the connection failed after the request was sent, at least in part
  TimedOut,  ///< no whole response in time
  Cancelled, ///< cancelled by the user of the client
};

/// Called once per request. The response is valid only if the result is Answered.
using HttpCallback = std::function<void(HttpResult Result, HttpResponse Response)>;

/// HTTP/1.1 client of one server, with a pool of kept connections.
class HttpClient {
public:
  /// \param MaxConnections requests beyond this number fail as NotSent.
  HttpClient(boost::asio::io_context &Io, Endpoint Server, std::size_t MaxConnections);
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;
  ~HttpClient();

  using RequestNumber = std::uint64_t;

  /// Asked immediately before the first byte is written; if false, the request ends as NotSent.
  using MayWrite = std::function<bool()>;

  /// Sends a request and returns a number for cancel().
  RequestNumber send(HttpRequest Request, Duration Timeout, HttpCallback Callback,
                     MayWrite Check = {});
  /// Closes the connection of a running request, which tells the server that nobody waits.
  void cancel(RequestNumber Number);
  std::size_t connections() const;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace bronzestand::node

#endif
