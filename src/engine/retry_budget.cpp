#include "bronzestand/retry_budget.h"

#include <algorithm>

namespace bronzestand {
namespace {

/// Part of the budget that a service without calls of its own gets; the rest is shared by the
/// services above it in a chain.
constexpr double LeafPart = 0.5;
constexpr double InnerPart = (1.0 - LeafPart) / (RetryBudget::MaxDepth - 1) * 0.9;
/// A node can always repeat one request of a last service.
constexpr double MinAllowance = 1.0;

/// Slots of a window of 10 s, the window that the platform measures. First sends are counted over
/// at most 10 s, the slot that is being filled among them, and repeats over at least that.
constexpr std::size_t WindowSlots = 20;
constexpr std::size_t HalfWindow = WindowSlots / 2;

} // namespace

namespace detail {

std::int64_t RecentCount::numberOf(TimePoint Now) { return Now.time_since_epoch() / SlotTime; }

void RecentCount::add(TimePoint Now) {
  const std::int64_t Number = numberOf(Now);
  Slot &Item = Slots_[static_cast<std::size_t>(Number) % Slots];
  if (Item.Number_ != Number)
    Item = {Number, 0};
  ++Item.Count_;
}

std::uint32_t RecentCount::sum(TimePoint Now, std::size_t First, std::size_t Last) const {
  const std::int64_t Newest = numberOf(Now) - static_cast<std::int64_t>(First);
  const std::int64_t Oldest = numberOf(Now) - static_cast<std::int64_t>(Last);
  std::uint32_t Result = 0;
  for (const Slot &Item : Slots_)
    if (Item.Number_ >= Oldest && Item.Number_ <= Newest)
      Result += Item.Count_;
  return Result;
}

} // namespace detail

void RetryBudget::setNodes(std::size_t Count) { Nodes_ = std::max<std::size_t>(1, Count); }

double RetryBudget::part(const Service &Item) const { return Item.Leaf_ ? LeafPart : InnerPart; }

double RetryBudget::earned(TimePoint Now, const Account &Item) {
  return (Item.First_.sum(Now, 0, WindowSlots - 1) +
          Item.First_.sum(Now, HalfWindow, HalfWindow + WindowSlots - 1)) /
         2.0;
}

double RetryBudget::spent(TimePoint Now, const Account &Item) {
  return Item.Again_.sum(Now, 0, WindowSlots);
}

void RetryBudget::noteCalls(const ServiceId &Name, bool MakesCalls) {
  Services_[Name].Leaf_ = !MakesCalls;
}

void RetryBudget::noteFirst(TimePoint Now, const ServiceId &Name, bool Urgent) {
  Service &Item = Services_[Name];
  (Urgent ? Item.Urgent_ : Item.Other_).First_.add(Now);
}

bool RetryBudget::take(TimePoint Now, const ServiceId &Name, bool Urgent) {
  Service &Item = Services_[Name];
  const double Share = Settings_.Ratio_ * part(Item);
  // The allowance is for the last services of a chain, because a repeat above makes several there.
  const double Allowance = Item.Leaf_
                               ? std::min(MinAllowance, Settings_.FleetAllowance_ * LeafPart /
                                                            static_cast<double>(Nodes_))
                               : 0.0;
  const double SpentOther = spent(Now, Item.Other_);
  const double EarnedOther = Share * earned(Now, Item.Other_);
  const double Earned = Share * earned(Now, Item.Urgent_) + EarnedOther + Allowance;
  if (Earned - spent(Now, Item.Urgent_) - SpentOther < 1.0 ||
      (!Urgent && EarnedOther + Allowance - SpentOther < 1.0))
    return false;
  (Urgent ? Item.Urgent_ : Item.Other_).Again_.add(Now);
  return true;
}

} // namespace bronzestand
