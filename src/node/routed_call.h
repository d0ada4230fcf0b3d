#ifndef BRONZESTAND_NODE_ROUTED_CALL_H
#define BRONZESTAND_NODE_ROUTED_CALL_H

#include <set>

#include <boost/asio/steady_timer.hpp>

#include "node/router.h"

namespace bronzestand::node {

/// Sends one call to a host of its service and retries it until it has a final answer
/// (design section 7).
class RoutedCall final
    : public boost::intrusive_ref_counter<RoutedCall, boost::thread_unsafe_counter> {
public:
  RoutedCall(Router &Owner, Call Request, HttpExchangePtr Exchange,
             std::shared_ptr<CallContext> Parent, std::string Route);

  void start();
  void onAnswer(const Answer &Result);
  /// Handles the loss of a link to a host. If this call was sent to that host, retries it or asks
  /// the host for its outcome.
  void onLinkDown(const HostId &Host);
  const HostId &host() const { return Host_; }
  /// Cancels the call, because the caller has disconnected or the parent call has ended.
  void cancel();
  /// Ends the call immediately, because the node is stopping.
  void abort();

private:
  using Ptr = boost::intrusive_ptr<RoutedCall>;

  void send();
  void sendRemote();
  void onSent(std::uint32_t Try, LinkId Link);
  void query();
  void onQueryLost(CallId Id);
  void onDeadline();
  void sendCancel();
  bool wasNeverSent() const;
  bool mayRetry(const Answer &Result) const;
  void retryOrFinish(const Answer &Result);
  void finish(const Answer &Result);
  /// Ends the current try: returns its unused attempts to the account and, once per try, reports
  /// its result to the balancer.
  void endTry(const Answer &Result);
  Duration timeLeft() const;

  Router &Owner_;
  Call Call_;
  HttpExchangePtr Exchange_;
  std::shared_ptr<CallContext> Parent_; ///< null for a caller's request
  std::string Route_;                   ///< name of the call's own route
  AttemptAccountPtr Attempts_; ///< the parent call's, or the request's own at the entry node
  boost::asio::steady_timer Timer_;
  boost::asio::steady_timer QueryTimer_;
  TimePoint Deadline_;
  std::set<HostId> TriedHosts_;
  HostId Host_;     ///< host of the current or last try
  LinkId Link_ = 0; ///< link that the call was sent over; 0 while it waits for a link
  Incarnation HostIncarnation_ = 0; ///< incarnation that is queried; 0 before the first query
  std::uint32_t LostQueries_ = 0;
  std::uint32_t Try_ = 0;
  bool TryEnded_ = false;     ///< the result of the current try and its unused attempts are known
  bool LostWithLink_ = false; ///< the host never received the current try
  bool DeadlinePassed_ = false;
  bool Done_ = false;
  bool TryActive_ = false;
  bool Cancelled_ = false; ///< no one waits for the answer any more, or the deadline has passed
  TimePoint TryStarted_;
  TimePoint Started_;
  RequestRecord Record_;
  std::optional<Refusal> LastRefusal_;      ///< reason for which the last try failed
  std::optional<Refusal> MayHaveRunReason_; ///< reason of an earlier failed try that may have run
};

} // namespace bronzestand::node

#endif
