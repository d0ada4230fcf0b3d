#ifndef BRONZESTAND_RETRY_BUDGET_H
#define BRONZESTAND_RETRY_BUDGET_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "bronzestand/types.h"

namespace bronzestand {

namespace detail {

/// Counts the events of the last 20 s in slots of a quarter of a second. A loan leaves out one slot
/// of each window, so longer ones cost more of it.
class RecentCount {
public:
  static constexpr Duration SlotTime = std::chrono::milliseconds(250);
  static constexpr std::size_t Slots = 81; ///< 20 s and the slot that is being filled

  void add(TimePoint Now);
  /// Returns the number of events in a range of slots. Cost: linear in the range.
  /// \param First age of the newest slot in the range; 0 for the slot that is being filled.
  /// \param Last age of the oldest slot in the range, inclusive.
  std::uint32_t sum(TimePoint Now, std::size_t First, std::size_t Last) const;

private:
  static std::int64_t slotNumber(TimePoint Now);

  struct Slot {
    std::int64_t Number_ = -1;
    std::uint32_t Count_ = 0;
  };
  std::array<Slot, Slots> Slots_{};
};

} // namespace detail

/// What is known of the run that makes a call.
enum class ParentRun {
  Unknown,  ///< not known, or the call is made by a caller
  First,    ///< neither it nor a run above it is a repeat
  Repeated, ///< it, or a run above it, is a repeat
};

/// Limits the retries to each service over the whole fleet without communication: every node uses
/// only the retries that its own first attempts have earned, and its share of a fixed allowance
/// (design section 7).
///
/// In any window of 10 s a node sends at most a fraction of its first attempts as retries. First
/// attempts are counted as the mean of that window and of the window that ends 5 s earlier, so that
/// retries stay possible for some seconds after the first attempts stop, as they do when requests
/// are shed. The sum over all nodes stays below that fraction of the larger of the two windows of
/// the fleet, regardless of how the traffic moves between nodes.
///
/// A retried run makes its calls again, and these count as retries at the services that it calls. A
/// service whose backend servers make calls therefore gets a smaller fraction of the budget: the
/// fractions of a chain of MaxDepth services add up to at most 1.
///
/// While a service that makes no calls is degraded, its callers may use the fractions of the
/// services above it too (lend()). They are earned only by calls whose runs are known not to be
/// repeats. Calls of repeated runs are then deducted like retries, and refused when nothing is
/// left, until the borrowed retries have left the window; so the sum holds without messages.
/// docs/design/whole-requests.md.
class RetryBudget {
public:
  static constexpr unsigned MaxDepth = 4;

  struct Settings {
    double Ratio_ = 0.2;          ///< retries that the fleet may send per request
    double FleetAllowance_ = 0.0; ///< additional retries of all nodes together, per window
  };

  explicit RetryBudget(const Settings &Values) : Settings_(Values) {}

  /// \param Count nodes that share the allowance, at least 1.
  void setNodes(std::size_t Count);
  /// Records whether the backend servers of a service make calls. Initially assumed to be true.
  void noteCalls(const ServiceId &Service, bool MakesCalls);
  /// Records a first attempt. One of a repeated run earns nothing.
  /// \param Urgent the retries earned by urgent attempts are reserved for urgent requests.
  /// \param RepeatedShare of the runs that could have made the call if Parent is Unknown, the share
  ///        that are repeats, 0 to 1. As many of these calls count as calls of repeated runs.
  void noteFirst(TimePoint Now, const ServiceId &Service, bool Urgent,
                 ParentRun Parent = ParentRun::Unknown, double RepeatedShare = 0.0);
  /// Returns whether a call of a repeated run may be sent; to be asked before noteFirst().
  bool mayRepeat(TimePoint Now, const ServiceId &Service) const;
  /// Returns whether retries can be lent to a service. They can't if most of its calls are made by
  /// backend servers and not known to be of first runs, so that hardly anything is earned.
  bool mayLend(TimePoint Now, const ServiceId &Service) const;
  /// Lends the fractions of the services above to a service, or ends the loan.
  void lend(const ServiceId &Service, bool Lent);
  /// Spreads a number of retries to a service over a time, or ends that. Few may follow at once.
  void spread(const ServiceId &Service, std::optional<double> Retries, Duration Time);
  /// Returns the retries that the budget can provide within a time, from what is left and from what
  /// will be earned.
  double available(TimePoint Now, const ServiceId &Service, Duration Within) const;
  /// Deducts one retry; returns false if the budget is used up.
  /// \param Urgent urgent requests may use the retries earned by all first attempts.
  /// \param Place of the request that needs the call, 0 to 1. While a loan is nearly used up, those
  ///        with a low one go first; 0 if it is not known, or if it has got answers already.
  bool take(TimePoint Now, const ServiceId &Service, bool Urgent, double Place = 0.0);

private:
  struct Account {
    detail::RecentCount FirstAttempts_;
    detail::RecentCount Retries_;
  };
  struct Service {
    Account Urgent_;
    Account Other_;
    detail::RecentCount Known_;    ///< first attempts of runs that are known not to be repeats
    detail::RecentCount Repeated_; ///< first attempts of repeated runs
    detail::RecentCount Borrowed_; ///< retries beyond the fraction of the service itself
    double RepeatedPart_ = 0.0;    ///< sum of shares of repeated runs, less the calls counted
    TimePoint Since_{};            ///< first attempts are counted since then
    bool Leaf_ = false;            ///< its backend servers are known to make no calls
    Duration Interval_{};          ///< between retries that are spread; 0 if they are not
    TimePoint NextRetryAt_{};      ///< time from which the next one may be sent
    bool Lent_ = false;            ///< the fractions of the services above are lent to it
  };

  double budgetFraction(const Service &Item) const;
  static double earned(TimePoint Now, const detail::RecentCount &First);
  static double spent(TimePoint Now, const Account &Item);
  /// Returns whether a loan is open, or retries that were borrowed are in the window.
  static bool hasBorrowed(TimePoint Now, const Service &Item);
  double allowance(const Service &Item) const;
  /// Returns how many retries may be borrowed. Cost: linear in the slots, and in those of a window.
  double leftOfLoan(TimePoint Now, const Service &Item) const;
  /// Returns whether a retry keeps all windows within the budget, also if first attempts stop.
  bool fitsLaterWindows(TimePoint Now, const Service &Item) const;

  Settings Settings_;
  std::size_t Nodes_ = 1;
  std::unordered_map<ServiceId, Service> Services_;
};

} // namespace bronzestand

#endif
