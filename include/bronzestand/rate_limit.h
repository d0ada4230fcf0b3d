#ifndef BRONZESTAND_RATE_LIMIT_H
#define BRONZESTAND_RATE_LIMIT_H

#include <cstddef>
#include <optional>

#include "bronzestand/types.h"

namespace bronzestand {

/// A limit on the requests that are sent to one backend server. The node beside the server asks
/// several of them; the strictest one applies.
class RateLimit {
public:
  /// Returns the rate that calls have to expect, in requests/s; std::nullopt if there is none.
  virtual std::optional<double> rate(TimePoint Now) const = 0;
  /// Returns the time until a number of further requests may have been sent; zero without a rate.
  /// \param Requests at least 1.
  virtual Duration timeUntil(TimePoint Now, std::size_t Requests) const = 0;
  /// Records that a request is sent.
  virtual void sent(TimePoint Now) = 0;

protected:
  RateLimit() = default;
  RateLimit(const RateLimit &) = default;
  RateLimit &operator=(const RateLimit &) = default;
  ~RateLimit() = default;
};

} // namespace bronzestand

#endif
