#ifndef BRONZESTAND_RETURN_ORDER_H
#define BRONZESTAND_RETURN_ORDER_H

#include <cstdint>
#include <deque>
#include <random>
#include <unordered_map>

#include "bronzestand/quarantine.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// Orders the requests of which only a part can be admitted: one that was refused before and comes
/// back goes before those that come for the first time, the more often it was refused the further.
/// Also spreads the times at which refused callers are told to come back, so that they do not come
/// at the same moment. Load pattern: demand of several times the capacity for seconds, with callers
/// that repeat refused requests. Memory: Capacity entries. Design section 9.
class ReturnOrder {
public:
  static constexpr std::size_t Capacity = 4096;
  /// A refusal is remembered for this time.
  static constexpr Duration Lifetime = std::chrono::seconds(10);

  /// The place of a request.
  struct Place {
    double Position_ = 0.0;      ///< 0 to 1; a request with a lower one is admitted first
    std::uint32_t Refusals_ = 0; ///< how often it was refused before
  };

  /// \param Seed of the random numbers; should differ between nodes.
  explicit ReturnOrder(std::uint64_t Seed) : Random_(Seed) {}

  /// Returns the place of a request that arrives. Each refusal serves for one arrival, because
  /// several callers may send the same request.
  Place arrived(TimePoint Now, Fingerprint Request);
  /// Records that a request was refused, so that its caller may come back.
  void refused(TimePoint Now, Fingerprint Request, const Place &Place);
  /// Returns the time after which a refused caller should come back.
  /// \param Expected time until there is room.
  /// \param TimeLeft until the caller gives up.
  Duration retryAfter(Duration Expected, Duration TimeLeft);
  /// Returns the time after which a caller should come back that was refused for lack of room: at
  /// random within the time in which room becomes free.
  /// \param Free time until there is room for all callers that were refused.
  /// \param TimeLeft until the caller gives up.
  Duration retryWithin(Duration Free, Duration TimeLeft);
  std::size_t size() const { return Waiting_.size(); }

private:
  struct Refused {
    std::uint32_t Callers_ = 0;  ///< that may come back
    std::uint32_t Refusals_ = 0; ///< most of one caller
    TimePoint At_;
  };

  void dropOld(TimePoint Now);

  std::unordered_map<Fingerprint, Refused> Waiting_;
  std::deque<std::pair<TimePoint, Fingerprint>> Order_; ///< refusals, oldest first
  std::mt19937_64 Random_;
};

} // namespace bronzestand

#endif
