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

/// The executor's queue: the dispatcher with its timer and the host's own admission level (design
/// section 9). Without Mechanism::Dispatcher every call is dispatched at once.
class DispatchQueue {
public:
  /// Called once per call: with nothing when it is to be run now, otherwise with the reason why it
  /// is not run. May be called within any function of the queue.
  using Ready = std::function<void(std::optional<Refusal> Reason)>;

  DispatchQueue(boost::asio::io_context &Io, const Settings &Config);

  /// \param Entry its id must not have been used before.
  void offer(const QueueEntry &Entry, Ready Callback);
  /// Ends a dispatched call. \param Latency of the backend server.
  void finished(CallId Id, Duration Latency, CallResult Result);
  /// Forgets a queued call without calling back; false if it is not queued.
  bool cancel(CallId Id);
  /// Refuses the queued calls that match. Linear.
  void removeIf(const std::function<bool(const QueueEntry &)> &Predicate, Refusal Reason);
  /// Adjusts the admission level; call it every 100 ms.
  void tick(TimePoint Now);
  void stop();

  /// Threshold for the standing of calls; 0 while everything is admitted.
  std::uint16_t threshold() const { return Level_.threshold(); }
  std::size_t queued() const { return Waiting_.size(); }
  nlohmann::json dump() const;

private:
  void pump();
  void answer(CallId Id, std::optional<Refusal> Reason);
  void scheduleExpiry();

  bool Enabled_;
  Dispatcher Dispatcher_;
  AdmissionLevel Level_;
  boost::asio::steady_timer Timer_;
  TimePoint TimerEnd_ = TimePoint::max();
  std::unordered_map<CallId, Ready> Waiting_;
  TimePoint LastTick_;
  bool Pumping_ = false;
  bool PumpAgain_ = false;
};

} // namespace bronzestand::node

#endif
