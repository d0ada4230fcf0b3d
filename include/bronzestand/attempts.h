#ifndef BRONZESTAND_ATTEMPTS_H
#define BRONZESTAND_ATTEMPTS_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "bronzestand/call.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// Learns how many attempts the subtrees below each kind of call need (design section 7).
/// Bounded: 1,024 parents with 32 children each; beyond that, calls count as unknown.
class SubtreeNeeds {
public:
  struct Child {
    double Attempts_ = 1.0; ///< decaying maximum over recent calls
    double Calls_ = 1.0;    ///< decaying maximum of calls in one run of the parent
  };
  using Children = std::map<std::string, Child>;

  /// Returns what was learned for a parent; nullptr if it is unknown.
  const Children *find(const std::string &Parent) const;
  /// Records the attempts that a child call used. Cost: logarithmic.
  void noteUse(const std::string &Parent, const std::string &ChildName, std::uint32_t Used);
  /// Records the number of calls to a child in one run of the parent.
  void noteCalls(const std::string &Parent, const std::string &ChildName, std::uint32_t Calls);

private:
  Child *slot(const std::string &Parent, const std::string &ChildName);
  std::unordered_map<std::string, Children> Parents_;
};

/// Attempt allowance of one call that runs on the local backend server (design section 7).
/// The allowance is split among child calls and never copied; each call sent costs one attempt.
class AttemptAccount {
public:
  /// \param Needs outlives the account.
  /// \param Parent kind of the call, for example its route.
  /// \param Allowance attempts for all calls below this one: at the entry the class's bound, at
  ///        an executor Call::Attempts_ minus one for the call itself.
  AttemptAccount(SubtreeNeeds &Needs, std::string Parent, std::uint32_t Allowance)
      : Needs_(Needs), Parent_(std::move(Parent)), Balance_(Allowance) {}

  /// Takes the share of a new attempt; nothing means Refusal::AttemptsExhausted.
  /// \param Id not used before in this account; a repeated id is refused.
  /// \param ChildName kind of the child call, for example its service.
  /// Cost: linear in the kinds of children, at most 32.
  std::optional<std::uint32_t> open(CallId Id, const std::string &ChildName);

  /// Takes back what an answer reports as unused, at most the share minus the attempt itself.
  /// Duplicates, unknown ids and answers after settle() change nothing.
  void close(CallId Id, std::uint32_t Unused);

  /// Ends the account and returns its unused attempts, for Answer::UnusedAttempts_. Shares of
  /// calls that are still open are lost.
  std::uint32_t settle();

  std::uint32_t balance() const { return Balance_; }

private:
  struct OpenCall {
    std::string ChildName_;
    std::uint32_t Share_;
  };
  std::uint32_t shareOf(const std::string &ChildName) const;

  SubtreeNeeds &Needs_;
  std::string Parent_;
  std::uint32_t Balance_;
  bool Settled_ = false;
  std::unordered_map<CallId, OpenCall> Open_;
  std::map<std::string, std::uint32_t> Calls_;
};

/// What is known when a call ended without an answer from the backend server.
struct FailedCall {
  ServiceId Service_;
  Outcome Outcome_ = Outcome::Unknown;
  Refusal Refusal_ = Refusal::ConnectionLost;
  bool Idempotent_ = false;
  Duration TimeLeft_{};   ///< until the deadline
  Duration TimeNeeded_{}; ///< typical latency of the service
};

/// Retry decision with a budget per service: 10 % of recent calls, at least 1/s, both over 10 s
/// (design section 7). Bounded: 2,048 services; no retries for services beyond that.
class RetryPolicy {
public:
  /// \param Share budget as a share of first attempts, 0 to 1.
  explicit RetryPolicy(double Share = 0.1) : Share_(Share) {}

  void noteCall(TimePoint Now, const ServiceId &Service);
  /// Decides on a retry and charges the budget if the answer is yes. Cost: constant.
  bool mayRetry(TimePoint Now, const FailedCall &Failed);

private:
  struct Counts {
    double Calls_ = 0.0;
    double Retries_ = 0.0;
    TimePoint Last_;
  };
  Counts *counts(TimePoint Now, const ServiceId &Service);

  double Share_;
  std::unordered_map<ServiceId, Counts> Services_;
};

} // namespace bronzestand

#endif
