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
             std::shared_ptr<CallContext> Parent);

  void start();
  void onAnswer(const Answer &Result);
  void onLinkDown(const HostId &Host, LinkId Link);
  const HostId &host() const { return Host_; }
  /// The caller has gone away.
  void cancel();

private:
  using Ptr = boost::intrusive_ptr<RoutedCall>;

  void send();
  void sendRemote();
  void onSent(std::uint32_t Try, LinkId Link);
  void onDeadline();
  bool mayRetry(const Answer &Result) const;
  void retryOrFinish(const Answer &Result);
  void finish(const Answer &Result);
  /// Reports the end of the present try to the balancer, once.
  void endTry(const Answer &Result);
  Duration timeLeft() const;

  Router &Owner_;
  Call Call_;
  HttpExchangePtr Exchange_;
  std::shared_ptr<CallContext> Parent_; ///< null for a caller's request
  boost::asio::steady_timer Timer_;
  TimePoint Deadline_;
  std::set<HostId> Tried_;
  HostId Host_;     ///< host that the call was sent to last
  LinkId Link_ = 0; ///< link that it was sent over; 0 while it waits for a link
  std::uint32_t Try_ = 0;
  bool Done_ = false;
  bool TryRuns_ = false;
  bool Cancelled_ = false; ///< the caller has gone away
  TimePoint TryStarted_;
  TimePoint Started_;
  RequestRecord Record_;
  std::optional<Refusal> LastRefusal_; ///< why the last try ended
  std::optional<Refusal> MayHaveRun_;  ///< end of an earlier try that may have run
};

} // namespace bronzestand::node

#endif
