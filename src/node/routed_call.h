#ifndef BRONZESTAND_NODE_ROUTED_CALL_H
#define BRONZESTAND_NODE_ROUTED_CALL_H

#include <set>

#include <boost/asio/steady_timer.hpp>

#include "node/router.h"

namespace bronzestand::node {

/// One call on its way to a backend server, from the first send to the answer, with its retries
/// (design section 7).
class RoutedCall final
    : public boost::intrusive_ref_counter<RoutedCall, boost::thread_unsafe_counter> {
public:
  RoutedCall(Router &Owner, Call Request, HttpExchangePtr Exchange,
             std::shared_ptr<CallContext> Parent, std::string Route);

  void start();
  void onAnswer(const Answer &Result);
  /// A link to a host was lost; if this call was sent there, asks what became of it.
  void onLinkDown(const HostId &Host);
  const HostId &host() const { return Host_; }
  /// The caller has gone away or the parent call has ended.
  void cancel();
  /// Ends the call at once, because the node stops.
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
  bool isNeverSent() const;
  bool mayRetry(const Answer &Result) const;
  void retryOrFinish(const Answer &Result);
  void finish(const Answer &Result);
  /// Settles the present try: its attempts, and once its end for the balancer.
  void endTry(const Answer &Result);
  Duration timeLeft() const;

  Router &Owner_;
  Call Call_;
  HttpExchangePtr Exchange_;
  std::shared_ptr<CallContext> Parent_; ///< null for a caller's request
  std::string Route_;                   ///< name of the call's own route
  AttemptAccountPtr Attempts_;          ///< the parent's, or the request's own at the entry
  boost::asio::steady_timer Timer_;
  boost::asio::steady_timer QueryTimer_;
  TimePoint Deadline_;
  std::set<HostId> Tried_;
  HostId Host_;             ///< host that the call was sent to last
  LinkId Link_ = 0;         ///< link that it was sent over; 0 while it waits for a link
  Incarnation HostRun_ = 0; ///< incarnation that was asked; 0 before the first query
  std::uint32_t LostQueries_ = 0;
  std::uint32_t Try_ = 0;
  bool Ended_ = false;        ///< the end of the current try is known, with its unused attempts
  bool LostWithLink_ = false; ///< the host never received the current try
  bool Expired_ = false;      ///< the deadline has passed
  bool Done_ = false;
  bool TryRuns_ = false;
  bool Cancelled_ = false; ///< nobody waits any more, or the deadline has passed
  TimePoint TryStarted_;
  TimePoint Started_;
  RequestRecord Record_;
  std::optional<Refusal> LastRefusal_; ///< why the last try ended
  std::optional<Refusal> MayHaveRun_;  ///< end of an earlier try that may have run
};

} // namespace bronzestand::node

#endif
