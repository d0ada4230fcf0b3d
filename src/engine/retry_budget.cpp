#include "bronzestand/retry_budget.h"

#include <algorithm>

namespace bronzestand {
namespace {

/// Fraction of the budget for a service that makes no calls (a leaf). The services above it in a
/// chain share the rest.
constexpr double LeafFraction = 0.5;
constexpr double InnerFraction = (1.0 - LeafFraction) / (RetryBudget::MaxDepth - 1) * 0.9;
/// Upper limit of a node's share of the allowance: one retry of a call to a leaf service.
constexpr double MaxNodeAllowance = 1.0;

/// Slots of a window of 10 s, the window that the platform measures. First attempts are counted
/// over at most 10 s, including the slot that is being filled, and retries over at least 10 s.
constexpr std::size_t WindowSlots = 20;
constexpr std::size_t HalfWindow = WindowSlots / 2;

} // namespace

namespace detail {

std::int64_t RecentCount::slotNumber(TimePoint Now) { return Now.time_since_epoch() / SlotTime; }

void RecentCount::add(TimePoint Now) {
  const std::int64_t Number = slotNumber(Now);
  Slot &Item = Slots_[static_cast<std::size_t>(Number) % Slots];
  if (Item.Number_ != Number)
    Item = {Number, 0};
  ++Item.Count_;
}

std::uint32_t RecentCount::sum(TimePoint Now, std::size_t First, std::size_t Last) const {
  const std::int64_t Newest = slotNumber(Now) - static_cast<std::int64_t>(First);
  const std::int64_t Oldest = slotNumber(Now) - static_cast<std::int64_t>(Last);
  std::uint32_t Result = 0;
  for (const Slot &Item : Slots_)
    if (Item.Number_ >= Oldest && Item.Number_ <= Newest)
      Result += Item.Count_;
  return Result;
}

} // namespace detail

void RetryBudget::setNodes(std::size_t Count) { Nodes_ = std::max<std::size_t>(1, Count); }

double RetryBudget::budgetFraction(const Service &Item) const {
  return Item.Leaf_ ? LeafFraction : InnerFraction;
}

double RetryBudget::earned(TimePoint Now, const Account &Item) {
  return (Item.FirstAttempts_.sum(Now, 0, WindowSlots - 1) +
          Item.FirstAttempts_.sum(Now, HalfWindow, HalfWindow + WindowSlots - 1)) /
         2.0;
}

double RetryBudget::spent(TimePoint Now, const Account &Item) {
  return Item.Retries_.sum(Now, 0, WindowSlots);
}

void RetryBudget::noteCalls(const ServiceId &Name, bool MakesCalls) {
  Services_[Name].Leaf_ = !MakesCalls;
}

void RetryBudget::noteFirst(TimePoint Now, const ServiceId &Name, bool Urgent) {
  Service &Item = Services_[Name];
  (Urgent ? Item.Urgent_ : Item.Other_).FirstAttempts_.add(Now);
}

bool RetryBudget::take(TimePoint Now, const ServiceId &Name, bool Urgent) {
  Service &Item = Services_[Name];
  const double Share = Settings_.Ratio_ * budgetFraction(Item);
  // The allowance is for leaf services only: a retry above them causes several retries there.
  const double Allowance =
      Item.Leaf_ ? std::min(MaxNodeAllowance,
                            Settings_.FleetAllowance_ * LeafFraction / static_cast<double>(Nodes_))
                 : 0.0;
  const double SpentOther = spent(Now, Item.Other_);
  const double EarnedOther = Share * earned(Now, Item.Other_);
  const double Earned = Share * earned(Now, Item.Urgent_) + EarnedOther + Allowance;
  if (Earned - spent(Now, Item.Urgent_) - SpentOther < 1.0 ||
      (!Urgent && EarnedOther + Allowance - SpentOther < 1.0))
    return false;
  (Urgent ? Item.Urgent_ : Item.Other_).Retries_.add(Now);
  return true;
}

} // namespace bronzestand
