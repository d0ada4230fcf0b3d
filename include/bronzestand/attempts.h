#ifndef BRONZESTAND_ATTEMPTS_H
#define BRONZESTAND_ATTEMPTS_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "bronzestand/call.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// Estimates how many attempts the child calls of each kind of call need, including all calls below
/// them (design section 7). Limits: 1,024 parents with 32 children each; there is no estimate for
/// calls beyond that.
class SubtreeNeeds {
public:
  struct Child {
    double Attempts_ = 1.0; ///< decaying maximum of the attempts that recent calls used
    double Calls_ = 1.0;    ///< decaying maximum of the calls made during one run of the parent
  };
  using Children = std::map<std::string, Child>;

  /// Returns the estimates for the children of a parent; nullptr if there are none.
  const Children *find(const std::string &Parent) const;
  /// Records the attempts that a child call used. Cost: logarithmic.
  void noteUse(const std::string &Parent, const std::string &ChildName, std::uint32_t Used);
  /// Records the number of calls to a child during one run of the parent.
  void noteCalls(const std::string &Parent, const std::string &ChildName, std::uint32_t Calls);

private:
  Child *findOrCreate(const std::string &Parent, const std::string &ChildName);
  std::unordered_map<std::string, Children> Parents_;
};

/// How a child call ended.
enum class CallEnd {
  Good,
  Failed, ///< refused or answered with an error; the next call of this kind is a retry
  Lost,   ///< not answered; the share of the call is lost
};

/// Attempt allowance of one call that runs on the local backend server (design section 7).
/// Each child call sent costs one attempt and gets a share of the allowance for the calls below it.
/// The allowance is split and never copied, so that retries don't multiply along a chain.
class AttemptAccount {
public:
  /// \param Needs outlives the account.
  /// \param Parent kind of the call, for example its route.
  /// \param Allowance attempts for all calls below this one: at the entry node the limit of the
  ///        class, at an executor Call::Attempts_ minus one for the call itself.
  AttemptAccount(SubtreeNeeds &Needs, std::string Parent, std::uint32_t Allowance)
      : Needs_(Needs), Parent_(std::move(Parent)), Balance_(Allowance) {}

  /// Deducts the share of a new child call and returns it, or nothing if the call must be refused
  /// as AttemptsExhausted.
  /// \param Id id that no open call of this account has; a duplicate is refused.
  /// \param ChildName kind of the child call, for example its service.
  /// Cost: linear in the kinds of children, at most 32.
  std::optional<std::uint32_t> open(CallId Id, const std::string &ChildName);

  /// Ends a child call and returns its unused attempts to the balance, at most its share minus one.
  /// Duplicates, unknown ids and answers after settle() are ignored.
  void close(CallId Id, std::uint32_t Unused, CallEnd End = CallEnd::Good);

  /// Closes the account and returns its unused attempts, for Answer::UnusedAttempts_. The shares of
  /// calls that are still open are lost.
  std::uint32_t settle();

  std::uint32_t balance() const { return Balance_; }

private:
  struct OpenCall {
    std::string ChildName_;
    std::uint32_t Share_;
  };
  void countCall(const std::string &ChildName);
  std::uint32_t shareOf(const std::string &ChildName) const;

  SubtreeNeeds &Needs_;
  std::string Parent_;
  std::uint32_t Balance_;
  bool Settled_ = false;
  std::unordered_map<CallId, OpenCall> Open_;
  std::map<std::string, std::uint32_t> Calls_; ///< calls of each kind, without retries
  std::set<std::string> Failed_;               ///< kinds of which the last call failed
};

/// A call that ended without an answer from the backend server.
struct FailedCall {
  ServiceId Service_;
  Outcome Outcome_ = Outcome::Unknown;
  Refusal Refusal_ = Refusal::ConnectionLost;
  bool Idempotent_ = false;
  Duration TimeLeft_{};   ///< until the deadline
  Duration TimeNeeded_{}; ///< typical latency of the service
};

/// Decides on retries with a budget for each service: by default 10 % of recent calls, at least
/// 1/s, both over 10 s (design section 7). Limit: 2,048 services; calls to further services aren't
/// retried.
class RetryPolicy {
public:
  /// \param Share retries allowed per first attempt, 0 to 1.
  explicit RetryPolicy(double Share = 0.1) : Share_(Share) {}

  /// Records the first attempt of a call.
  void noteCall(TimePoint Now, const ServiceId &Service);
  /// Returns whether a call may be retried, and charges the retry to the budget. Cost: constant.
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
