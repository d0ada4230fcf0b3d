#include "bronzestand/retry_budget.h"

#include <algorithm>
#include <limits>

namespace bronzestand {
namespace {

/// Fraction of the budget for a service that makes no calls (a leaf). The services above it in a
/// chain share the rest.
constexpr double LeafFraction = 0.5;
constexpr double InnerFraction = (1.0 - LeafFraction) / (RetryBudget::MaxDepth - 1) * 0.9;
/// Fraction that is lent to a leaf service: that of the services above it in a chain, whose repeats
/// are deducted from it.
constexpr double LentFraction = 1.0 - LeafFraction;
/// Part of a loan that is left to requests with a lower place. A request that has got some of its
/// answers is lost with them if the others are not retried.
constexpr double PlaceReserve = 0.12;
/// Share of the first attempts that may be made by runs that are not known. With more, a loan is so
/// small that most requests would be refused for the lack of it.
constexpr double MaxUnknownShare = 0.75;
/// Upper limit of a node's share of the allowance: one retry of a call to a leaf service.
constexpr double MaxNodeAllowance = 1.0;

/// Slots of a window of 10 s, the window that the platform measures. First attempts are counted
/// over at most 10 s, including the slot that is being filled, and retries over at least 10 s.
constexpr std::size_t WindowSlots = 40;
/// Retries that are spread may be this many ahead of their times, because a call that is not
/// repeated at once is lost.
constexpr int SpreadBurst = 8;
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
  for (std::int64_t Number = std::max<std::int64_t>(0, Oldest); Number <= Newest; ++Number) {
    const Slot &Item = Slots_[static_cast<std::size_t>(Number) % Slots];
    Result += Item.Number_ == Number ? Item.Count_ : 0;
  }
  return Result;
}

} // namespace detail

void RetryBudget::setNodes(std::size_t Count) { Nodes_ = std::max<std::size_t>(1, Count); }

double RetryBudget::budgetFraction(const Service &Item) const {
  return Item.Leaf_ ? LeafFraction : InnerFraction;
}

double RetryBudget::earned(TimePoint Now, const detail::RecentCount &First) {
  return (First.sum(Now, 0, WindowSlots - 1) +
          First.sum(Now, HalfWindow, HalfWindow + WindowSlots - 1)) /
         2.0;
}

double RetryBudget::spent(TimePoint Now, const Account &Item) {
  return Item.Retries_.sum(Now, 0, WindowSlots);
}

void RetryBudget::noteCalls(const ServiceId &Name, bool MakesCalls) {
  Services_[Name].Leaf_ = !MakesCalls;
}

// Each window of 10 s that will contain a retry of now is compared with the first attempts of the
// window before it, so the sum over the nodes holds in every window. Few requests during a
// degradation cost nothing of it.
double RetryBudget::leftOfLoan(TimePoint Now, const Service &Item) const {
  double Left = Item.Leaf_ ? std::numeric_limits<double>::max() : 0.0;
  for (std::size_t Ahead = 0; Item.Leaf_ && Ahead <= WindowSlots; ++Ahead) {
    const std::uint32_t Earned =
        Item.Known_.sum(Now, WindowSlots + 1 - Ahead, 2 * WindowSlots - 1 - Ahead);
    const std::uint32_t Used = Item.Borrowed_.sum(Now, 0, WindowSlots - Ahead) +
                               Item.Repeated_.sum(Now, 0, WindowSlots - Ahead);
    Left = std::min(Left, Settings_.Ratio_ * LentFraction * Earned - Used);
  }
  return Left;
}

// The fraction of the service itself follows first attempts that may not count any more when the
// retry does. During a loan so many first attempts are held back that it matters. A node that has
// started lately has no earlier window to compare with.
bool RetryBudget::fitsLaterWindows(TimePoint Now, const Service &Item) const {
  if (Now - Item.Since_ < 2 * WindowSlots * detail::RecentCount::SlotTime)
    return true;
  for (std::size_t Ahead = 0; Ahead <= WindowSlots; ++Ahead) {
    const std::size_t First = WindowSlots + 1 - Ahead;
    const std::size_t Last = 2 * WindowSlots - 1 - Ahead;
    const std::uint32_t Earned = Item.Urgent_.FirstAttempts_.sum(Now, First, Last) +
                                 Item.Other_.FirstAttempts_.sum(Now, First, Last);
    std::uint32_t Used = 0;
    for (const detail::RecentCount *Count :
         {&Item.Urgent_.Retries_, &Item.Other_.Retries_, &Item.Borrowed_, &Item.Repeated_})
      Used += Count->sum(Now, 0, WindowSlots - Ahead);
    if (Settings_.Ratio_ * Earned + allowance(Item) - Used < 1.0)
      return false;
  }
  return true;
}

bool RetryBudget::hasBorrowed(TimePoint Now, const Service &Item) {
  return Item.Lent_ || Item.Borrowed_.sum(Now, 0, WindowSlots) > 0;
}

// The allowance is for leaf services only: a retry above them causes several retries there.
double RetryBudget::allowance(const Service &Item) const {
  return Item.Leaf_ ? std::min(MaxNodeAllowance, Settings_.FleetAllowance_ * LeafFraction /
                                                     static_cast<double>(Nodes_))
                    : 0.0;
}

bool RetryBudget::mayRepeat(TimePoint Now, const ServiceId &Name) const {
  const auto Found = Services_.find(Name);
  return Found == Services_.end() || !hasBorrowed(Now, Found->second) ||
         leftOfLoan(Now, Found->second) >= 1.0;
}

bool RetryBudget::mayLend(TimePoint Now, const ServiceId &Name) const {
  const auto Found = Services_.find(Name);
  if (Found == Services_.end())
    return false;
  const Service &Item = Found->second;
  const auto Sum = [&](const detail::RecentCount &Count) {
    return static_cast<double>(Count.sum(Now, 0, 2 * WindowSlots - 1));
  };
  const double OfServers = Sum(Item.Other_.FirstAttempts_);
  return OfServers - Sum(Item.Known_) <=
         MaxUnknownShare * (OfServers + Sum(Item.Urgent_.FirstAttempts_));
}

void RetryBudget::lend(const ServiceId &Name, bool Lent) {
  Service &Item = Services_[Name];
  Item.Lent_ = Lent && Item.Leaf_;
}

void RetryBudget::spread(const ServiceId &Name, std::optional<double> Retries, Duration Time) {
  Services_[Name].Interval_ =
      Retries ? std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Time) /
                                                     std::max(1.0, *Retries))
              : Duration::zero();
}

double RetryBudget::available(TimePoint Now, const ServiceId &Name, Duration Within) const {
  const auto Found = Services_.find(Name);
  if (Found == Services_.end())
    return 0.0;
  const Service &Item = Found->second;
  // The earned and spent retries of the window that ends then, if first attempts go on as they did
  // for the same time.
  const auto Ahead =
      std::min(HalfWindow, static_cast<std::size_t>(Within / detail::RecentCount::SlotTime));
  const std::size_t Rest = WindowSlots - Ahead;
  const auto EarnedThen = [&](const detail::RecentCount &First) {
    return ((Ahead > 0 ? First.sum(Now, 0, Ahead - 1) : 0) + First.sum(Now, 0, Rest - 1) +
            First.sum(Now, HalfWindow - Ahead, HalfWindow - Ahead + WindowSlots - 1)) /
           2.0;
  };
  const double Earned = budgetFraction(Item) * (EarnedThen(Item.Urgent_.FirstAttempts_) +
                                                EarnedThen(Item.Other_.FirstAttempts_));
  const double Spent =
      Item.Urgent_.Retries_.sum(Now, 0, Rest) + Item.Other_.Retries_.sum(Now, 0, Rest);
  const double Loan = Item.Lent_ ? std::max(0.0, leftOfLoan(Now, Item)) : 0.0;
  return std::max(0.0, Settings_.Ratio_ * Earned + allowance(Item) - Spent) + Loan;
}

void RetryBudget::noteFirst(TimePoint Now, const ServiceId &Name, bool Urgent, ParentRun Parent,
                            double RepeatedShare) {
  Service &Item = Services_[Name];
  if (Item.Since_ == TimePoint())
    Item.Since_ = Now;
  if (Parent == ParentRun::Unknown)
    Item.RepeatedPart_ += RepeatedShare;
  if (Parent == ParentRun::Repeated || Item.RepeatedPart_ >= 1.0) {
    Item.RepeatedPart_ -= Parent == ParentRun::Repeated ? 0.0 : 1.0;
    Item.Repeated_.add(Now);
    return;
  }
  if (Parent == ParentRun::First)
    Item.Known_.add(Now);
  (Urgent ? Item.Urgent_ : Item.Other_).FirstAttempts_.add(Now);
}

bool RetryBudget::take(TimePoint Now, const ServiceId &Name, bool Urgent, double Place) {
  Service &Item = Services_[Name];
  if (Item.Interval_ > Duration::zero() && Now < Item.NextRetryAt_)
    return false;
  const double Share = Settings_.Ratio_ * budgetFraction(Item);
  const double Allowance = allowance(Item);
  const double SpentOther = spent(Now, Item.Other_);
  const double EarnedOther = Share * earned(Now, Item.Other_.FirstAttempts_);
  const double Earned = Share * earned(Now, Item.Urgent_.FirstAttempts_) + EarnedOther + Allowance;
  if (Item.Lent_ && !fitsLaterWindows(Now, Item))
    return false;
  if (Item.Lent_ && Place > 0.0) {
    const double Loan = Settings_.Ratio_ * LentFraction *
                        Item.Known_.sum(Now, WindowSlots + 1, 2 * WindowSlots - 1);
    const double Left =
        std::max(0.0, EarnedOther + Allowance - SpentOther) + std::max(0.0, leftOfLoan(Now, Item));
    if (Left < 1.0 + Place * PlaceReserve * Loan)
      return false;
  }
  if (Earned - spent(Now, Item.Urgent_) - SpentOther >= 1.0 &&
      (Urgent || EarnedOther + Allowance - SpentOther >= 1.0)) {
    (Urgent ? Item.Urgent_ : Item.Other_).Retries_.add(Now);
    Item.NextRetryAt_ =
        std::max(Item.NextRetryAt_, Now - SpreadBurst * Item.Interval_) + Item.Interval_;
    return true;
  }
  if (!Item.Lent_ || leftOfLoan(Now, Item) < 1.0)
    return false;
  Item.Borrowed_.add(Now);
  Item.NextRetryAt_ =
      std::max(Item.NextRetryAt_, Now - SpreadBurst * Item.Interval_) + Item.Interval_;
  return true;
}

} // namespace bronzestand
