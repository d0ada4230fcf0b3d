#ifndef BRONZESTAND_NODE_HTTP_SESSION_H
#define BRONZESTAND_NODE_HTTP_SESSION_H

#include <chrono>
#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/intrusive/list.hpp>

#include "node/http_server.h"

namespace bronzestand::node::detail {

/// A connection of an HttpServer. Sessions own themselves through the handlers of their pending
/// operations; the list of the server only enumerates them.
class HttpSession : public boost::intrusive_ref_counter<HttpSession, boost::thread_unsafe_counter>,
                    public boost::intrusive::list_base_hook<
                        boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
  using Clock = std::chrono::steady_clock;

  virtual ~HttpSession() = default;
  virtual void readFirst() = 0;
  /// Closes the connection at once; answers that the caller has not received may be lost.
  virtual void close() = 0;
  /// Closes the connection at once and releases its requests without a notice to their handlers,
  /// which may have ended.
  virtual void abandon() = 0;
  /// Takes no further request, and closes the connection when the caller has received what was
  /// written to it.
  virtual void closeAfterDelivery() = 0;
  /// Tells whether no request has arrived, not even in part, that is not answered yet.
  virtual bool isIdle() = 0;
  virtual bool isNew() const = 0;
  /// Returns for how long the caller has kept the connection without using it: silent between two
  /// requests or within one, sending a head that does not end, or not reading its answers. Zero if
  /// a request runs.
  virtual Clock::duration unusedFor(Clock::time_point Now) const = 0;
  /// When the caller last took bytes of its answers, or none waited; to the precision of
  /// checkTimeouts().
  virtual Clock::time_point lastDelivery() const = 0;
  /// Tells whether answers wait that must not be written before that to an earlier request.
  virtual bool isBlocked() const = 0;
  /// Memory of the answers that wait to be written.
  virtual std::size_t answerBytes() const = 0;
  /// Closes the connection if no request arrives in time.
  virtual void closeUnlessUsed(std::chrono::milliseconds Limit) = 0;
  /// Closes the connection if the caller was too slow or idle for too long.
  virtual void checkTimeouts(Clock::time_point Now) = 0;
};
using HttpSessionPtr = boost::intrusive_ptr<HttpSession>;
using HttpSessionList =
    boost::intrusive::list<HttpSession, boost::intrusive::constant_time_size<false>>;

/// State that the sessions of one server share.
struct HttpServerState {
  HttpServerLimits Limits_;
  HttpHandler Handler_;
  bool HeadFirst_ = false;
  std::shared_ptr<MemoryAccount> Memory_;
  CutCallback OnCut_;
  HttpSessionList Sessions_;
  std::size_t RunningRequests_ = 0;
  std::size_t AnswerBytes_ = 0; ///< sum over all sessions
  bool Draining_ = false;
  bool Closing_ = false; ///< answers ask the callers to close
};

/// Makes a session of a connection and adds it to the sessions of the server.
HttpSessionPtr makeHttpSession(boost::asio::ip::tcp::socket Socket,
                               std::shared_ptr<HttpServerState> State);

} // namespace bronzestand::node::detail

#endif
