#ifndef BRONZESTAND_COLD_LIMIT_H
#define BRONZESTAND_COLD_LIMIT_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "bronzestand/cold_signs.h"
#include "bronzestand/rate_limit.h"

namespace bronzestand {

/// What is known of the temperature of a backend server.
enum class Temperature {
  Off,     ///< the servers of the service are never treated as cold
  Unknown, ///< treated as cold
  Cold,
  Warm,
};

std::string_view temperatureName(Temperature Value);

/// Bounds the requests to the backend server beside a node while the server is cold or may be, with
/// a token bucket. Load pattern: servers that return cold, one or all at once, to a demand far
/// above what they bear and that crash again above it. docs/design/cold-servers.md.
class ColdLimit final : public RateLimit {
public:
  /// \param Start start of the node. The bucket is empty then, because the node does not know what
  ///        its previous run has just sent.
  explicit ColdLimit(TimePoint Start) : FilledAt_(Start), UnknownSince_(Start) {}

  /// Sets the bound: in any second at most Rate * Over + Slack requests.
  /// \param Rate requests/s that a cold server bears; 0 turns the limit off.
  void configured(TimePoint Now, double Rate, double Over, double Slack);
  /// Records the entry of the server in the platform's list, which is read late.
  /// \param ColdFor remaining time that the entry names.
  void listed(TimePoint Now, const std::string &Id, std::uint64_t StartedMs, Duration ColdFor);
  /// Records that the server may have become cold without a restart.
  void unknown(TimePoint Now);
  /// Records that a connection to the server was refused or lost, so that it may have restarted.
  void connectionLost(TimePoint Now);
  /// Records an answer of the server. One on a connection that was open all the time proves that
  /// the server has not restarted. \param OpenedAt when the connection was opened.
  void answered(TimePoint Now, TimePoint SentAt, TimePoint OpenedAt);
  /// Records a call that is sent to the server, and its end, as in ColdSigns. A warm server that
  /// becomes slow while it gets more than a cold one may get is taken for one that may be cold,
  /// until a health answer.
  void callStarted(TimePoint Now, CallId Call, const ClassId &Class, std::uint32_t Running);
  void callEnded(TimePoint Now, CallId Call, bool Served, std::optional<double> Pace);
  /// Records that a health request is sent; its end has to follow.
  void healthSent(TimePoint Now);
  /// Records the end of the health request. \param ColdFor remaining time that the answer names,
  /// zero if the server is warm; std::nullopt if there is no answer that proves anything.
  /// \return whether it was believed. It is not if the server may have restarted meanwhile.
  bool healthEnded(TimePoint Now, std::optional<Duration> ColdFor);

  Temperature state(TimePoint Now) const;
  /// Returns whether a health request should be sent now.
  bool healthDue(TimePoint Now) const;
  /// Returns whether the server was warm until a connection was lost or answers became slow a few
  /// milliseconds ago, so that other answers will probably clear it soon. Calls may wait for that.
  bool isProving(TimePoint Now) const;
  /// Increases whenever the server may have become cold.
  std::uint64_t doubts() const { return Doubts_; }
  /// Returns the number of times that slow answers were taken for a sign of a cold server.
  std::uint64_t signs() const { return SignCount_; }

  /// Names no rate while the limit will probably not be felt, although timeUntil() applies it:
  /// while isProving(), and at a quiet server.
  std::optional<double> rate(TimePoint Now) const override;
  Duration timeUntil(TimePoint Now, std::size_t Requests) const override;
  void sent(TimePoint Now) override;
  /// Returns whether a request may be written now. One that is written long after sent() needs room
  /// of its own, and takes it: a server that accepts connections late would get the requests of the
  /// whole wait at once.
  /// \param SentAt when sent() was called for it. \param Doubts value of doubts() then.
  bool mayWrite(TimePoint Now, TimePoint SentAt, std::uint64_t Doubts);

private:
  enum class Proof { None, Cold, Warm };

  /// First failed health requests in a row that are repeated at once, as they may be those of
  /// single connections.
  static constexpr std::uint32_t QuickRetries = 3;

  bool isLimiting(TimePoint Now) const;
  /// Returns whether no answer has shown for a while that the server has not restarted.
  bool isQuiet(TimePoint Now) const;
  /// Returns whether that is the only possible reason not to know the temperature.
  bool isOnlyQuiet() const { return Proof_ == Proof::Warm && !Suspected_ && !Slow_; }
  /// Returns whether the server gets so few requests that no proof is needed to keep the bound.
  bool hasRoom(TimePoint Now) const;
  double tokens(TimePoint Now) const;
  void checkSigns(TimePoint Now);

  // The bound; no requests at all are limited while Rate_ is 0.
  double Rate_ = 0.0;
  double Burst_ = 1.0;
  bool HealthCounts_ = false; ///< the bound leaves no room for health requests beside the bucket

  double Tokens_ = 0.0; ///< at FilledAt_
  TimePoint FilledAt_;

  Proof Proof_ = Proof::None;
  TimePoint ColdUntil_{};    ///< valid if Proof_ is Cold
  TimePoint UnknownSince_;   ///< of the last reason to think so other than a lost connection
  TimePoint ProvedAt_{};     ///< of the last health answer that was believed
  TimePoint EvidenceAt_{};   ///< the server has not restarted since Proof_ until then
  bool Suspected_ = false;   ///< a connection was lost and nothing has cleared that yet
  TimePoint SuspectFirst_{}; ///< first and last loss of this suspicion
  TimePoint SuspectLast_{};
  bool Slow_ = false; ///< the server has become slow and no health answer has cleared that yet
  TimePoint SlowSince_{};
  TimePoint NextSignAt_{}; ///< signs are ignored until then
  std::uint64_t Doubts_ = 0;
  std::uint64_t SignCount_ = 0;
  ColdSigns Signs_;

  bool HealthRuns_ = false;
  TimePoint HealthSentAt_{};
  TimePoint NextHealthAt_{};
  /// Health requests in a row that proved nothing. A new process has no quick retries, because
  /// those of several short lives of a node would add up.
  std::uint32_t FailedHealth_ = QuickRetries;

  std::pair<std::string, std::uint64_t> Run_; ///< id and start of the server, as listed
  Duration ListedColdFor_{};
};

} // namespace bronzestand

#endif
