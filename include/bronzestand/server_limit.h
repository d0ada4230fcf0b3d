#ifndef BRONZESTAND_SERVER_LIMIT_H
#define BRONZESTAND_SERVER_LIMIT_H

#include <optional>
#include <string_view>

#include "bronzestand/rate_limit.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// Reads a number of requests per second; std::nullopt unless it is a finite number, at least 0.
std::optional<double> parseRate(std::string_view Text);

/// Keeps the requests to a backend server to the rate that its answers name, as a token bucket. The
/// rate holds until an answer to a request that was sent after it was last named does not name it.
/// Design section 9.
class ServerLimit final : public RateLimit {
public:
  /// Records the rate that an answer names.
  /// \param Rate requests per second; std::nullopt if the answer names none.
  /// \param SentAt when the request was sent that was answered.
  /// \return whether the rate in force changed.
  bool answered(TimePoint Now, std::optional<double> Rate, TimePoint SentAt);
  /// Takes over a rate that another node has heard, unless the server has answered this node.
  void adopt(TimePoint Now, double Rate);
  /// Forgets everything, because the server is another one now.
  void reset() { *this = ServerLimit(); }

  /// Returns the rate in force, in requests per second.
  std::optional<double> rate() const { return Rate_; }
  std::optional<double> rate(TimePoint) const override { return Rate_; }
  Duration timeUntil(TimePoint Now, std::size_t Requests) const override;
  void sent(TimePoint Now) override;

private:
  /// Returns the requests that may be sent at once.
  double tokens(TimePoint Now) const;
  void start(TimePoint Now, double Rate, double Tokens);

  std::optional<double> Rate_;
  TimePoint NamedAt_{};
  bool Answered_ = false;
  double Tokens_ = 0.0; ///< at FilledAt_
  TimePoint FilledAt_{};
};

} // namespace bronzestand

#endif
