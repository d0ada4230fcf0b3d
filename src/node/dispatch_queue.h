#ifndef BRONZESTAND_NODE_DISPATCH_QUEUE_H
#define BRONZESTAND_NODE_DISPATCH_QUEUE_H

#include <functional>
#include <optional>
#include <unordered_map>

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "bronzestand/admission.h"
#include "bronzestand/dispatcher.h"
#include "node/settings.h"

namespace bronzestand::node {

/// Queue of the executor: the dispatcher, its expiry timer and this host's admission level (design
/// section 9). Without Mechanism::Dispatcher every call is dispatched immediately.
class DispatchQueue {
public:
  /// Called once per call: without a reason when the call must be run now, otherwise with the
  /// reason why it is refused. May be called from within any function of the queue.
  using Ready = std::function<void(std::optional<Refusal> Reason)>;

  DispatchQueue(boost::asio::io_context &Io, const Settings &Config);

  /// Adds a call to the queue.
  /// \param Entry has an id that was not used before.
  void offer(const QueueEntry &Entry, Ready Callback);
  /// Reports the end of a dispatched call.
  /// \param Latency time that the backend server took.
  void finished(CallId Id, Duration Latency, CallResult Result);
  /// Removes a queued call without calling its callback; false if it is not queued.
  bool cancel(CallId Id);
  /// Refuses the queued calls that match. Cost: linear in the queue.
  void removeIf(const std::function<bool(const QueueEntry &)> &Predicate, Refusal Reason);
  /// Adjusts the admission level. To be called every 100 ms.
  void tick(TimePoint Now);
  void stop();

  /// Lowest standing that is admitted; 0 while every call is admitted.
  std::uint16_t threshold() const { return Level_.threshold(); }
  std::size_t queued() const { return Waiting_.size(); }
  nlohmann::json dump() const;

private:
  void processQueue();
  void notify(CallId Id, std::optional<Refusal> Reason);
  void scheduleExpiry();

  bool Enabled_;
  Dispatcher Dispatcher_;
  AdmissionLevel Level_;
  boost::asio::steady_timer Timer_;
  TimePoint TimerExpiry_ = TimePoint::max();
  std::unordered_map<CallId, Ready> Waiting_;
  TimePoint LastTick_;
  bool Processing_ = false;
  bool ProcessAgain_ = false;
};

} // namespace bronzestand::node

#endif
