#ifndef BRONZESTAND_RETRY_BUDGET_H
#define BRONZESTAND_RETRY_BUDGET_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "bronzestand/types.h"

namespace bronzestand {

namespace detail {

/// Counts the events of the last 15 s in slots of half a second.
class RecentCount {
public:
  static constexpr Duration SlotTime = std::chrono::milliseconds(500);
  static constexpr std::size_t Slots = 31; ///< 15 s and the slot that is being filled

  void add(TimePoint Now);
  /// Returns the number of events in a range of slots. Cost: linear in the slots.
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
  /// Records a first attempt.
  /// \param Urgent the retries earned by urgent attempts are reserved for urgent requests.
  void noteFirst(TimePoint Now, const ServiceId &Service, bool Urgent);
  /// Deducts one retry; returns false if the budget is used up.
  /// \param Urgent urgent requests may use the retries earned by all first attempts.
  bool take(TimePoint Now, const ServiceId &Service, bool Urgent);

private:
  struct Account {
    detail::RecentCount FirstAttempts_;
    detail::RecentCount Retries_;
  };
  struct Service {
    Account Urgent_;
    Account Other_;
    bool Leaf_ = false; ///< its backend servers are known to make no calls
  };

  double budgetFraction(const Service &Item) const;
  static double earned(TimePoint Now, const Account &Item);
  static double spent(TimePoint Now, const Account &Item);

  Settings Settings_;
  std::size_t Nodes_ = 1;
  std::unordered_map<ServiceId, Service> Services_;
};

} // namespace bronzestand

#endif
