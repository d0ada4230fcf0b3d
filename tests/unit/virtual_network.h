#ifndef BRONZESTAND_TESTS_VIRTUAL_NETWORK_H
#define BRONZESTAND_TESTS_VIRTUAL_NETWORK_H

#include <algorithm>
#include <functional>
#include <random>
#include <vector>

#include "bronzestand/types.h"

namespace bronzestand::testing {

/// Number of seeds of a test. With the address sanitizer it is a tenth, because each run takes
/// about 15 times as long.
constexpr std::uint64_t seeds(std::uint64_t Count) {
#ifdef __SANITIZE_ADDRESS__
  return Count / 10;
#else
  return Count;
#endif
}

/// Runs events in the order of their virtual times and injects faults into messages. Equal seeds
/// give equal runs.
class VirtualNetwork {
public:
  explicit VirtualNetwork(std::uint64_t Seed) : Random_(Seed) {}

  TimePoint now() const { return Now_; }
  std::mt19937_64 &random() { return Random_; }
  std::uint64_t randomBelow(std::uint64_t Limit) { return Random_() % Limit; }
  bool chance(double Probability) {
    return static_cast<double>(randomBelow(1 << 20)) < Probability * (1 << 20);
  }

  /// Schedules an action, at the present time if Time is in the past.
  void schedule(TimePoint Time, std::function<void()> Action) {
    Events_.push_back({std::max(Time, Now_), NextOrder_++, std::move(Action)});
    std::push_heap(Events_.begin(), Events_.end());
  }

  /// Schedules an action as the arrival of a message, which may be lost, duplicated, delayed or
  /// reordered.
  void deliver(Duration Latency, const std::function<void()> &Action) {
    if (chance(Loss_))
      return;
    const int Copies = chance(Duplication_) ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy) {
      Duration Extra(
          static_cast<Duration::rep>(randomBelow(static_cast<std::uint64_t>(Jitter_.count()) + 1)));
      if (chance(LongDelay_))
        Extra += std::chrono::seconds(randomBelow(5));
      schedule(Now_ + Latency + Extra, Action);
    }
  }

  /// Runs all events up to and including End.
  void runUntil(TimePoint End) {
    while (!Events_.empty() && Events_.front().Time_ <= End) {
      std::pop_heap(Events_.begin(), Events_.end());
      const Event Next = std::move(Events_.back());
      Events_.pop_back();
      Now_ = Next.Time_;
      Next.Action_();
    }
    Now_ = End;
  }

  // Probabilities of faults per message, and the largest random addition to the latency.
  double Loss_ = 0.0;
  double Duplication_ = 0.0;
  double LongDelay_ = 0.0; ///< of an additional delay of up to 4 s
  Duration Jitter_{500};

private:
  struct Event {
    TimePoint Time_;
    std::uint64_t Order_; ///< events at the same time run in the order of scheduling
    std::function<void()> Action_;
    bool operator<(const Event &Other) const {
      return Time_ != Other.Time_ ? Time_ > Other.Time_ : Order_ > Other.Order_;
    }
  };
  std::mt19937_64 Random_;
  TimePoint Now_{std::chrono::seconds(1000)};
  std::uint64_t NextOrder_ = 0;
  std::vector<Event> Events_; ///< heap, the earliest event first
};

} // namespace bronzestand::testing

#endif
