#include "node/dispatch_queue.h"

#include <utility>

#include "node/clock.h"

namespace bronzestand::node {
namespace {

// A longer time between two ticks means that the process was paused (design section 5).
constexpr Duration PauseThreshold = std::chrono::seconds(1);

DispatcherOptions optionsFor(const Settings &Config) {
  DispatcherOptions Options;
  Options.TeamFairness_ = Config.isEnabled(Mechanism::Fairness);
  return Options;
}

} // namespace

DispatchQueue::DispatchQueue(boost::asio::io_context &Io, const Settings &Config)
    : Enabled_(Config.isEnabled(Mechanism::Dispatcher)), Dispatcher_(optionsFor(Config)),
      Timer_(Io) {}

void DispatchQueue::offer(const QueueEntry &Entry, Ready Callback) {
  if (!Enabled_) {
    Callback(std::nullopt);
    return;
  }
  Level_.noteOffered(Entry.Standing_);
  Waiting_.emplace(Entry.Id_, std::move(Callback));
  const OfferResult Result = Dispatcher_.offer(now(), Entry);
  if (const auto *Refusal = std::get_if<Refused>(&Result))
    notify(Entry.Id_, Refusal->Reason_);
  processQueue();
}

void DispatchQueue::finished(CallId Id, Duration Latency, CallResult Result) {
  if (!Enabled_)
    return;
  Dispatcher_.finished(now(), Id, Latency, Result);
  processQueue();
}

bool DispatchQueue::cancel(CallId Id) {
  if (!Dispatcher_.cancel(Id))
    return false;
  Waiting_.erase(Id);
  return true;
}

void DispatchQueue::removeIf(const std::function<bool(const QueueEntry &)> &Predicate,
                             Refusal Reason) {
  for (const CallId Id : Dispatcher_.removeIf(Predicate))
    notify(Id, Reason);
}

void DispatchQueue::tick(TimePoint Now) {
  if (!Enabled_)
    return;
  const bool Paused = LastTick_ != TimePoint() && Now - LastTick_ > PauseThreshold;
  LastTick_ = Now;
  if (Paused)
    removeIf([](const QueueEntry &) { return true; }, Refusal::NotReady);
  processQueue();
  Level_.tick(Now, Dispatcher_.takeLoad());
}

void DispatchQueue::stop() {
  Timer_.cancel();
  removeIf([](const QueueEntry &) { return true; }, Refusal::ShuttingDown);
}

void DispatchQueue::notify(CallId Id, std::optional<Refusal> Reason) {
  const auto Found = Waiting_.find(Id);
  if (Found == Waiting_.end())
    return;
  const Ready Callback = std::move(Found->second);
  Waiting_.erase(Found);
  Callback(Reason);
}

void DispatchQueue::processQueue() {
  ProcessAgain_ = true;
  if (Processing_)
    return; // called from a callback of the loop below
  Processing_ = true;
  while (std::exchange(ProcessAgain_, false)) {
    const DispatchBatch Batch = Dispatcher_.next(now());
    for (const RefusedCall &Call : Batch.Refused_)
      notify(Call.Id_, Call.Reason_);
    for (const CallId Id : Batch.Dispatch_)
      notify(Id, std::nullopt);
  }
  Processing_ = false;
  scheduleExpiry();
}

void DispatchQueue::scheduleExpiry() {
  const TimePoint Expiry = Dispatcher_.nextExpiry();
  if (Expiry == TimerExpiry_)
    return;
  TimerExpiry_ = Expiry;
  Timer_.cancel();
  if (Expiry == TimePoint::max())
    return;
  Timer_.expires_after(Expiry - now());
  Timer_.async_wait([this](const boost::system::error_code &Failure) {
    if (Failure)
      return;
    TimerExpiry_ = TimePoint::max();
    processQueue();
  });
}

nlohmann::json DispatchQueue::dump() const {
  return {{"enabled", Enabled_},
          {"queued", Dispatcher_.queued()},
          {"in_flight", Dispatcher_.inFlight()},
          {"limit", Dispatcher_.meanLimit()},
          {"threshold", Level_.threshold()}};
}

} // namespace bronzestand::node
