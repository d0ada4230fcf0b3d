#include "bronzestand/server_limit.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace bronzestand {
namespace {

/// Time for which unused requests add up, but at least one request.
constexpr double BurstSeconds = 0.25;
/// Requests per second that are sent to a server with a lower limit, because only an answer tells
/// when the limit ends.
constexpr double MinRate = 0.1;

double capacityOf(double Rate) { return std::max(1.0, Rate * BurstSeconds); }

double secondsOf(Duration Time) { return std::chrono::duration<double>(Time).count(); }

} // namespace

std::optional<double> parseRate(std::string_view Text) {
  double Value = 0.0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || !std::isfinite(Value) || Value < 0.0)
    return std::nullopt;
  return Value;
}

bool ServerLimit::answered(TimePoint Now, std::optional<double> Rate, TimePoint SentAt) {
  const std::optional<double> Before = Rate_;
  Answered_ = true;
  if (Rate) {
    NamedAt_ = Now;
    const double Value = std::max(*Rate, MinRate);
    start(Now, Value, Rate_ ? tokens(Now) : capacityOf(Value));
  } else if (SentAt >= NamedAt_) {
    Rate_.reset();
  }
  return Rate_ != Before;
}

void ServerLimit::adopt(TimePoint Now, double Rate) {
  if (!Answered_ && !Rate_)
    start(Now, std::max(Rate, MinRate), 1.0);
}

void ServerLimit::start(TimePoint Now, double Rate, double Tokens) {
  Rate_ = Rate;
  Tokens_ = std::min(Tokens, capacityOf(Rate));
  FilledAt_ = Now;
}

double ServerLimit::tokens(TimePoint Now) const {
  const double Added = *Rate_ * std::max(0.0, secondsOf(Now - FilledAt_));
  return std::min(capacityOf(*Rate_), Tokens_ + Added);
}

Duration ServerLimit::timeUntil(TimePoint Now, std::size_t Requests) const {
  if (!Rate_)
    return Duration::zero();
  const double Missing = static_cast<double>(Requests) - tokens(Now);
  if (Missing <= 0.0)
    return Duration::zero();
  // Rounded up, so that the tokens are there when the time is over.
  return Duration(static_cast<Duration::rep>(std::ceil(Missing / *Rate_ * 1e6)) + 1);
}

void ServerLimit::sent(TimePoint Now) {
  if (Rate_)
    start(Now, *Rate_, tokens(Now) - 1.0);
}

} // namespace bronzestand
