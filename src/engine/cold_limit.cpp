#include "bronzestand/cold_limit.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace bronzestand {
namespace {

using std::chrono::milliseconds;

/// Requests that are sent before and after a span may arrive within it, later or earlier by this
/// part of a second.
constexpr double JitterSeconds = 0.05;
/// Health requests in a second that the bound has to leave room for: QuickRetries and the three
/// that RetryAfterFailure allows.
constexpr double HealthRoom = 6.0;
/// A server that has not shown for this time that it has not restarted may have done so unnoticed.
/// A process needs about this time to end and to start again.
constexpr Duration QuietTime = milliseconds(200);
/// A connection that was opened this soon after the last evidence reaches the same process.
constexpr Duration MinRestartTime = milliseconds(50);
/// An answer that is read this long after a loss was not already received before the loss.
constexpr Duration ReadDelay = milliseconds(2);
/// Time that calls wait for the proof that a loss was that of a single connection, or that a slow
/// server is warm.
constexpr Duration ProvingTime = milliseconds(20);
/// Least time between health requests, after one that proved something, and after the first
/// failures in a row.
constexpr Duration RetryAfterProof = milliseconds(5);
/// Least time after further failures.
constexpr Duration RetryAfterFailure = milliseconds(400);
/// Least time between signs, so that a server that is merely slow costs few health requests.
constexpr Duration SignInterval = std::chrono::seconds(5);
/// Longer times until a request may be sent are not told apart; that for a tiny rate would not fit
/// into a Duration.
constexpr double MaxWaitMicroseconds = 3.6e9;
/// Interval of health requests at a warm server that gets more requests than a cold one may get.
constexpr Duration BusyInterval = std::chrono::seconds(1);

constexpr std::array<std::string_view, 4> TemperatureNames{"off", "unknown", "cold", "warm"};

double secondsOf(Duration Time) { return std::chrono::duration<double>(Time).count(); }

} // namespace

std::string_view temperatureName(Temperature Value) {
  return TemperatureNames[static_cast<std::size_t>(Value)];
}

// A bucket of B tokens that fills at R/s lets up to B + R * T requests pass in a span T. The burst
// is what the bound leaves beside the rate, the jitter and the health requests, but at most the
// slack. If it does not leave one request, the rate is reduced instead; a bound below one request
// is exceeded, so that the server is used at all.
void ColdLimit::configured(TimePoint Now, double Rate, double Over, double Slack) {
  if (Rate <= 0.0) {
    Rate_ = 0.0;
    return;
  }
  if (Rate_ <= 0.0) {
    unknown(Now);
    Tokens_ = 0.0; // nothing was counted before
  }
  constexpr double Span = 1.0 + JitterSeconds;
  const double Most = std::max(1.0, std::floor(Rate * Over + Slack));
  // Fewer than Most + 1 requests fit into the span.
  const double Left = Most + 0.99 - Span * Rate - HealthRoom;
  Tokens_ = tokens(Now);
  FilledAt_ = Now;
  Burst_ = std::max(1.0, std::min(Slack, Left));
  Rate_ = std::min(Rate, (Most + 0.99 - Burst_) / Span);
  HealthCounts_ = Left < 1.0;
  Tokens_ = std::min(Tokens_, Burst_);
}

void ColdLimit::listed(TimePoint Now, const std::string &Id, std::uint64_t StartedMs,
                       Duration ColdFor) {
  const std::pair<std::string, std::uint64_t> Run(Id, StartedMs);
  const bool Cold = ColdFor > Duration::zero();
  const bool NewRun = !Run_.first.empty() && Run_ != Run;
  // The entry may be older than the last health answer, so it only gives cause to ask again. One
  // that has not changed since it was read last is no news.
  if (NewRun || (Cold && ColdFor != ListedColdFor_ && Proof_ == Proof::Warm))
    unknown(Now);
  Run_ = Run;
  ListedColdFor_ = ColdFor;
}

void ColdLimit::unknown(TimePoint Now) {
  ++Doubts_;
  Proof_ = Proof::None;
  Suspected_ = Slow_ = false;
  Signs_.pause();
  UnknownSince_ = Now;
}

void ColdLimit::connectionLost(TimePoint Now) {
  ++Doubts_;
  if (!Suspected_)
    SuspectFirst_ = Now;
  Suspected_ = true;
  SuspectLast_ = Now;
}

void ColdLimit::answered(TimePoint Now, TimePoint SentAt, TimePoint OpenedAt) {
  if (OpenedAt > EvidenceAt_ + MinRestartTime)
    return;
  if (Suspected_) {
    const bool After = SentAt >= SuspectLast_ || Now >= SuspectLast_ + ReadDelay;
    if (OpenedAt >= SuspectFirst_ || !After)
      return;
    Suspected_ = false;
  }
  EvidenceAt_ = Now;
}

// The times of calls at a server that is not known to be warm are not the usual ones, nor news.
void ColdLimit::callStarted(TimePoint Now, CallId Call, const ClassId &Class,
                            std::uint32_t Running) {
  if (state(Now) != Temperature::Warm)
    return;
  Signs_.started(Now, Call, Class, Running);
  checkSigns(Now);
}

void ColdLimit::callEnded(TimePoint Now, CallId Call, bool Served, std::optional<double> Pace) {
  Signs_.ended(Now, Call, Served, Pace);
  checkSigns(Now);
}

void ColdLimit::checkSigns(TimePoint Now) {
  if (state(Now) != Temperature::Warm || !Signs_.isSlow(Now) || Now < NextSignAt_ || hasRoom(Now))
    return;
  ++Doubts_;
  ++SignCount_;
  Slow_ = true;
  SlowSince_ = UnknownSince_ = Now;
  NextSignAt_ = Now + SignInterval;
}

void ColdLimit::healthSent(TimePoint Now) {
  HealthRuns_ = true;
  HealthSentAt_ = Now;
  if (HealthCounts_)
    sent(Now);
}

bool ColdLimit::healthEnded(TimePoint Now, std::optional<Duration> ColdFor) {
  HealthRuns_ = false;
  FailedHealth_ = ColdFor ? 0 : FailedHealth_ + 1;
  NextHealthAt_ = Now + (FailedHealth_ > QuickRetries ? RetryAfterFailure : RetryAfterProof);
  if (!ColdFor)
    return false;
  const bool Current =
      HealthSentAt_ >= UnknownSince_ && (!Suspected_ || HealthSentAt_ >= SuspectLast_);
  const bool Cold = *ColdFor > Duration::zero();
  if (!Current && !Cold)
    return false;
  // Also a warm server that turned cold: what it got before counts against its first second.
  if (Cold && Proof_ == Proof::Warm)
    ++Doubts_;
  Proof_ = Cold ? Proof::Cold : Proof::Warm;
  ColdUntil_ = Now + *ColdFor;
  Suspected_ = Suspected_ && !Current;
  if (Cold)
    Signs_.pause();
  else if (Slow_ && Current)
    Signs_.reset();
  Slow_ = Slow_ && !Current;
  ProvedAt_ = EvidenceAt_ = Now;
  return Current;
}

bool ColdLimit::isQuiet(TimePoint Now) const { return Now - EvidenceAt_ > QuietTime; }

Temperature ColdLimit::state(TimePoint Now) const {
  if (Rate_ <= 0.0)
    return Temperature::Off;
  if (Proof_ == Proof::None || Suspected_ || Slow_)
    return Temperature::Unknown;
  if (Proof_ == Proof::Cold)
    return Now < ColdUntil_ ? Temperature::Cold : Temperature::Unknown;
  return isQuiet(Now) ? Temperature::Unknown : Temperature::Warm;
}

bool ColdLimit::isLimiting(TimePoint Now) const {
  const Temperature Value = state(Now);
  return Value == Temperature::Unknown || Value == Temperature::Cold;
}

bool ColdLimit::isProving(TimePoint Now) const {
  return (Suspected_ || Slow_) && Proof_ == Proof::Warm &&
         (!Suspected_ || Now - SuspectFirst_ < ProvingTime) &&
         (!Slow_ || Now - SlowSince_ < ProvingTime);
}

bool ColdLimit::hasRoom(TimePoint Now) const { return tokens(Now) >= std::max(1.0, Burst_ / 2); }

bool ColdLimit::healthDue(TimePoint Now) const {
  const Temperature Value = state(Now);
  if (Value == Temperature::Off || Value == Temperature::Cold || HealthRuns_ ||
      Now < NextHealthAt_ || (HealthCounts_ && tokens(Now) < 1.0))
    return false;
  // A restart makes the server no warmer, so a lost connection is no reason to ask. One request for
  // each loss would exceed the bound at a server that resets connections.
  if (Proof_ == Proof::Cold && Now < ColdUntil_)
    return false;
  if (Value == Temperature::Warm)
    return tokens(Now) < 1.0 && Now - ProvedAt_ >= BusyInterval;
  return !isOnlyQuiet() || !hasRoom(Now);
}

std::optional<double> ColdLimit::rate(TimePoint Now) const {
  const bool Unnoticed = isProving(Now) || (isOnlyQuiet() && tokens(Now) >= 1.0);
  return isLimiting(Now) && !Unnoticed ? std::optional(Rate_) : std::nullopt;
}

double ColdLimit::tokens(TimePoint Now) const {
  return std::min(Burst_, Tokens_ + Rate_ * std::max(0.0, secondsOf(Now - FilledAt_)));
}

Duration ColdLimit::timeUntil(TimePoint Now, std::size_t Requests) const {
  if (!isLimiting(Now))
    return Duration::zero();
  const double Missing = static_cast<double>(Requests) - tokens(Now);
  if (Missing <= 0.0)
    return Duration::zero();
  // Rounded up, so that the tokens are there when the time is over.
  return Duration(
      static_cast<Duration::rep>(std::min(std::ceil(Missing / Rate_ * 1e6), MaxWaitMicroseconds)) +
      1);
}

// Also counts while the server is warm, so that the bucket of a busy server is empty when the
// server turns cold.
void ColdLimit::sent(TimePoint Now) {
  if (Rate_ <= 0.0)
    return;
  Tokens_ = std::max(0.0, tokens(Now) - 1.0);
  FilledAt_ = Now;
}

bool ColdLimit::mayWrite(TimePoint Now, TimePoint SentAt, std::uint64_t Doubts) {
  if (!isLimiting(Now))
    return true;
  if (Doubts != Doubts_)
    return !rate(Now);
  if (secondsOf(Now - SentAt) <= JitterSeconds)
    return true;
  if (timeUntil(Now, 1) > Duration::zero())
    return false;
  sent(Now);
  return true;
}

} // namespace bronzestand
