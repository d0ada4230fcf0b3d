#ifndef BRONZESTAND_NODE_HTTP_SERVER_H
#define BRONZESTAND_NODE_HTTP_SERVER_H

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "absl/status/status.h"
#include "node/http_message.h"
#include "node/memory_account.h"
#include "node/settings.h"

namespace bronzestand::node {

/// One request on a server connection and the way to answer it.
class HttpExchange
    : public boost::intrusive_ref_counter<HttpExchange, boost::thread_unsafe_counter> {
public:
  virtual ~HttpExchange() = default;
  /// Sends the answer. Only the first call has an effect.
  virtual void respond(HttpResponse Response) = 0;
  /// Sets what is done when the caller closes the connection before the answer.
  virtual void onCancelled(std::function<void()> Callback) = 0;
  /// Asks for the body of a request that came with its head alone; called at most once. The
  /// callback is not called if the connection ends or the request is refused for lack of memory
  /// before.
  virtual void receiveBody(std::function<void(std::string Body)> Callback) = 0;
};
using HttpExchangePtr = boost::intrusive_ptr<HttpExchange>;

using HttpHandler = std::function<void(HttpRequest Request, HttpExchangePtr Exchange)>;

struct HttpServerLimits {
  std::uint32_t HeaderBytes_ = 16 * 1024;
  std::uint64_t BodyBytes_ = 1024ULL * 1024;
  /// A header that takes longer to arrive is dropped, so that slow senders hold no connection.
  std::chrono::milliseconds HeaderTimeout_{15'000};
  /// The same for the whole request, and for a caller that does not read its answer.
  std::chrono::milliseconds ReadTimeout_{15'000};
  std::chrono::milliseconds IdleTimeout_{60'000};
  std::size_t Connections_ = 1024;
  /// Pipelined requests of one connection that are handled at the same time, at least 1.
  std::size_t Pipelined_ = 1;
  /// Memory of all answers that wait for their callers to read. Beyond it the connection that holds
  /// the most is closed.
  std::size_t AnswerBytes_ = 32UL * 1024 * 1024;
  /// Copies of the head of a request that its handler holds at the same time, at least 1. They
  /// share the body.
  std::size_t HeadCopies_ = 1;
};

struct HttpServerOptions {
  /// Gives the handler the head of a request, without the body. A handler that answers it at once
  /// refuses it unread; one that accepts it asks for the body with HttpExchange::receiveBody().
  bool HeadFirst_ = false;
  /// Account of the memory of requests; if null, the server has one of its own without a bound.
  std::shared_ptr<MemoryAccount> Memory_;
};

/// A connection that the server closed before its caller had acknowledged all answers.
struct CutConnection {
  std::size_t UnacknowledgedBytes_ = 0; ///< of answers that were handed to the system
  std::size_t UnreadBytes_ = 0; ///< received and not read; the system then resets the connection
};
using CutCallback = std::function<void(const CutConnection &Item)>;

/// HTTP/1.1 server with keep-alive and pipelining; answers leave in the order of their requests.
/// Runs on one io_context thread.
class HttpServer {
public:
  HttpServer(boost::asio::io_context &Io, Endpoint Listen, HttpServerLimits Limits,
             HttpHandler Handler, HttpServerOptions Options = {});
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  ~HttpServer();

  absl::Status start();
  /// Replaces the limits; they hold for the requests that are read from now on.
  void setLimits(const HttpServerLimits &Limits);
  /// Sets a callback for each connection that is closed while answers may be lost.
  void onCut(CutCallback Callback);
  /// From now on each answer asks its caller to close the connection; new ones are still accepted.
  void announceClose();
  /// Stops accepting connections and closes idle ones; running requests are finished. A connection
  /// ends when its caller has received all answers.
  void drain();
  /// Closes everything at once.
  void stop();
  std::size_t connections() const;
  std::size_t runningRequests() const;
  /// Memory of the answers that wait for their callers to read.
  std::size_t answerBytes() const;
  /// Tells whether answers wait that must not be written before that to an earlier request.
  bool hasBlockedAnswers() const;
  /// Closes the connection that holds the most answers, of those whose callers have read nothing
  /// for some time.
  /// \param EvenBlocked also one whose answers must not be written yet.
  /// \return false if there is none.
  bool closeUnread(bool EvenBlocked);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace bronzestand::node

#endif
