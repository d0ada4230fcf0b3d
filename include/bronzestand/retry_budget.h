#ifndef BRONZESTAND_RETRY_BUDGET_H
#define BRONZESTAND_RETRY_BUDGET_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "bronzestand/types.h"

namespace bronzestand {

namespace detail {

/// Counts events of the last seconds in slots of half a second.
class RecentCount {
public:
  static constexpr Duration SlotTime = std::chrono::milliseconds(500);
  static constexpr std::size_t Slots = 31; ///< 15 s and the slot that is being filled

  void add(TimePoint Now);
  /// Events in the slots of an age, 0 for the one that is being filled. Cost: linear in the slots.
  /// \param First to \param Last ages of the slots, both counted.
  std::uint32_t sum(TimePoint Now, std::size_t First, std::size_t Last) const;

private:
  static std::int64_t numberOf(TimePoint Now);

  struct Slot {
    std::int64_t Number_ = -1;
    std::uint32_t Count_ = 0;
  };
  std::array<Slot, Slots> Slots_{};
};

} // namespace detail

/// Bounds repeated sends to each service over the whole fleet without messages: every node spends
/// only what its own first sends have earned, and its share of a fixed allowance. Design section 7.
///
/// In any window of 10 s a node repeats at most a part of its first sends. They are counted as the
/// mean of that window and the one half a window before, so that repeats go on for some seconds
/// when the first sends stop, as they do when work is shed. The sum over all nodes stays below the
/// larger of the two windows of the fleet, however the sends move between nodes.
///
/// A repeated run makes its calls again, which count as repeats at the services that it calls. A
/// service whose backend servers make calls therefore gets a smaller part of the budget, so that
/// the parts of a chain of MaxDepth services add up to the whole.
class RetryBudget {
public:
  static constexpr unsigned MaxDepth = 4;

  struct Settings {
    double Ratio_ = 0.2;          ///< repeats that the fleet may send for each request
    double FleetAllowance_ = 0.0; ///< repeats of all nodes together beyond that, in a window
  };

  explicit RetryBudget(const Settings &Values) : Settings_(Values) {}

  /// \param Count nodes that share the allowance, at least 1.
  void setNodes(std::size_t Count);
  /// Notes whether the backend servers of a service make calls; assumed until it is known.
  void noteCalls(const ServiceId &Service, bool MakesCalls);
  /// \param Urgent sends of this kind earn repeats that only urgent requests may use.
  void noteFirst(TimePoint Now, const ServiceId &Service, bool Urgent);
  /// Takes one repeat; false if the budget is spent.
  /// \param Urgent may use what all first sends have earned.
  bool take(TimePoint Now, const ServiceId &Service, bool Urgent);

private:
  struct Account {
    detail::RecentCount First_;
    detail::RecentCount Again_;
  };
  struct Service {
    Account Urgent_;
    Account Other_;
    bool Leaf_ = false; ///< known to make no calls
  };

  double part(const Service &Item) const;
  static double earned(TimePoint Now, const Account &Item);
  static double spent(TimePoint Now, const Account &Item);

  Settings Settings_;
  std::size_t Nodes_ = 1;
  std::unordered_map<ServiceId, Service> Services_;
};

} // namespace bronzestand

#endif
