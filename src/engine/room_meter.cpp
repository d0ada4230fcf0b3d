#include "bronzestand/room_meter.h"

#include <algorithm>
#include <cmath>

namespace bronzestand {
namespace {

/// Half-lives in seconds: of the rate of calls now, of the usual rate, and of an arrival in the
/// share of rejections by which a degradation is recognised and in the one during it.
constexpr double RecentHalfLifeS = 0.5;
constexpr double UsualHalfLifeS = 3.0;
constexpr double RejectionHalfLifeS = 0.25;
constexpr double DegradationHalfLifeS = 1.0;
/// Arrivals that are assumed to have been accepted, so that a few rejections prove little, and the
/// same for the share during a degradation.
constexpr double AssumedAccepted = 3.0;
constexpr double AssumedInDegradation = 0.5;
/// Share of rejections above which a service counts as degraded. One server of twelve that rejects
/// everything stays below.
constexpr double DegradedLevel = 0.1;
/// A degradation ends with a row of accepted arrivals that has this probability during it, and at
/// most this length. A share of rejections would show the end late while few calls are admitted.
constexpr double ChanceOfRow = 1e-4;
constexpr double MaxRow = 60.0;
/// Share that is told while nothing shows the end.
constexpr double LeastShare = 0.04;
/// It also ends after this time without arrivals.
constexpr Duration MaxSilence = std::chrono::seconds(5);
/// Half-life of the usual rate during a degradation, in seconds; demand may fall meanwhile.
constexpr double ReferenceHalfLifeS = 15.0;
/// Lowest share of accepted arrivals that is assumed. Below it hardly any call can be completed.
constexpr double MinAccepted = 0.02;
/// Time from the measurement of the room until the calls of requests that were admitted by it:
/// until the entry nodes know it 0.2 to 0.3 s, and about half the life of a request of 0.2 to 1 s.
constexpr Duration PendingTime = std::chrono::milliseconds(600);
/// Classes that were called within this time are those that are called now.
constexpr Duration RecentTime = std::chrono::seconds(10);

/// Half-life in seconds of an event in the rates that show whether servers are full.
constexpr double MomentHalfLifeS = 0.15;
/// Servers are full if their share of rejections, at first above HighestShare, falls below this
/// part of it soon after a degradation began, because fewer requests are admitted; and the arrivals
/// in that share.
constexpr double HighestShare = 0.5;
constexpr double FallenPart = 0.6;
constexpr double MinArrivals = 30.0;
constexpr Duration MaxResponse = std::chrono::seconds(2);
/// Part by which a node follows the room that is known, for each measurement.
constexpr double FollowPart = 0.2;
/// Share of rejections above which full servers are overloaded. They are given UsedPart of what
/// they take then.
constexpr double HighRejections = 0.25;
constexpr double UsedPart = 0.95;
/// Share of rejections at which full servers are used to about 95 %, and the change of the share of
/// the calls for each measurement, as a part of the difference.
constexpr double AimedRejections = 0.05;
constexpr double Gain = 0.3;
/// A row of this many accepted arrivals shows that servers are no longer full: its chance is below
/// 1 % at the aimed share of rejections. The share grows by this factor for each measurement then.
constexpr double FreeRow = 100.0;
constexpr double FreeGrowth = 1.3;

double seconds(Duration Time) { return std::chrono::duration<double>(Time).count(); }

double decay(Duration Age, double HalfLifeS) {
  return std::exp2(-seconds(std::max(Duration::zero(), Age)) / HalfLifeS);
}

} // namespace

void RateMeter::add(TimePoint Now) {
  Count_ = Count_ * decay(Now - Updated_, HalfLifeS_) + 1.0;
  Updated_ = Now;
}

double RateMeter::rate(TimePoint Now) const {
  return Count_ * decay(Now - Updated_, HalfLifeS_) * std::log(2.0) / HalfLifeS_;
}

RoomMeter::Entry::Entry()
    : Recent_(RecentHalfLifeS), Usual_(UsualHalfLifeS),
      Rejections_(RejectionHalfLifeS, AssumedAccepted),
      Degradation_(DegradationHalfLifeS, AssumedInDegradation), Called_(MomentHalfLifeS),
      Served_(MomentHalfLifeS), Refused_(MomentHalfLifeS) {}

void RoomMeter::first(TimePoint Now, const ServiceId &Service, const ClassId &Class) {
  Entry &Item = Entries_[Service];
  Item.Recent_.add(Now);
  Item.Called_.add(Now);
  if (!Item.Degraded_ && !Item.Full_)
    Item.Usual_.add(Now);
  Item.Classes_[Class] = Now;
}

void RoomMeter::arrived(TimePoint Now, const ServiceId &Service, bool Accepted) {
  Entry &Item = Entries_[Service];
  Item.ArrivedAt_ = Now;
  Item.Rejections_.ended(Now, !Accepted);
  (Accepted ? Item.Served_ : Item.Refused_).add(Now);
  Item.AcceptedInRow_ = Accepted ? Item.AcceptedInRow_ + 1.0 : 0.0;
  if (!Item.Degraded_) {
    if (Accepted || Item.Rejections_.share(Now) <= DegradedLevel)
      return;
    Item.Degraded_ = true;
    // After a row that ended a degradation by chance, the usual rate is that of before.
    const bool Resumed =
        Item.Full_ || (Item.EndedAt_ != TimePoint() && Now - Item.EndedAt_ <= TellRecovery);
    if (!Resumed) {
      Item.DegradedAt_ = Now;
      Item.MostRejected_ = 0.0;
    }
    Item.Reference_ = std::max(Item.Usual_.rate(Now), Resumed ? Item.Reference_ : 0.0);
    Item.ReferenceAt_ = Now;
    Item.ToldShare_ = 1.0;
    Item.Degradation_ = FailureMeter(DegradationHalfLifeS, AssumedInDegradation);
  }
  Item.Degradation_.ended(Now, !Accepted);
  if (!Accepted) {
    Item.Row_ = std::clamp(std::log(ChanceOfRow) / std::log(1.0 - Item.Degradation_.share(Now)),
                           1.0, MaxRow);
  } else if (Item.AcceptedInRow_ >= Item.Row_) {
    Item.Degraded_ = false;
    Item.EndedAt_ = Now;
  }
}

bool RoomMeter::isDegraded(const ServiceId &Service) const {
  const auto Found = Entries_.find(Service);
  return Found != Entries_.end() && Found->second.Degraded_;
}

double RoomMeter::accepted(TimePoint Now, const ServiceId &Service) const {
  const auto Found = Entries_.find(Service);
  return Found == Entries_.end() || !Found->second.Degraded_
             ? 1.0
             : 1.0 - Found->second.Degradation_.share(Now);
}

void RoomMeter::updateCapacity(TimePoint Now, Entry &Item, std::optional<double> Known) {
  const double Served = Item.Served_.rate(Now);
  const double Refused = Item.Refused_.rate(Now);
  const double Called = Item.Called_.rate(Now);
  const double Rejected = Refused / std::max(1.0, Served + Refused);
  const double Share = UsedPart * Served / std::max(1.0, Item.Reference_);
  const bool Counts = (Served + Refused) * MomentHalfLifeS / std::log(2.0) >= MinArrivals;
  if (!Item.Full_) {
    if (!Counts || Now - Item.DegradedAt_ > MaxResponse)
      return;
    Item.MostRejected_ = std::max(Item.MostRejected_, Rejected);
    if (Item.MostRejected_ < HighestShare || Rejected > FallenPart * Item.MostRejected_)
      return;
    Item.Full_ = true;
    Item.Capacity_ = Share;
  }
  if (Known)
    Item.Capacity_ += FollowPart * (*Known - Item.Capacity_);
  if (Rejected > HighRejections && Served < Called)
    Item.Capacity_ = std::min(Item.Capacity_, Share);
  else if (Item.AcceptedInRow_ >= FreeRow)
    Item.Capacity_ *= FreeGrowth;
  else
    Item.Capacity_ *= 1.0 + Gain * (AimedRejections - Rejected);
  if (Item.Capacity_ < 1.0)
    return;
  Item.Full_ = false;
  Item.Capacity_ = 1.0;
}

RoomMeter::Room RoomMeter::room(TimePoint Now, const ServiceId &Service, double Retries,
                                std::optional<double> Known) {
  const auto Found = Entries_.find(Service);
  if (Found == Entries_.end() || (!Found->second.Degraded_ && !Found->second.Full_))
    return {};
  Entry &Item = Found->second;
  updateCapacity(Now, Item, Known);
  if (Item.Full_) {
    Item.EndedAt_ = Now;
    return {Item.Capacity_, Item.Capacity_};
  }
  if (!Item.Degraded_)
    return {};
  if (Now - Item.ArrivedAt_ > MaxSilence) {
    Item.Degraded_ = false;
    Item.EndedAt_ = Now;
    return {};
  }
  Item.Reference_ = std::max(Item.Recent_.rate(Now),
                             Item.Reference_ * decay(Now - Item.ReferenceAt_, ReferenceHalfLifeS));
  // Requests that were admitted by the shares told until now will still need retries.
  const double Fading = decay(Now - Item.ReferenceAt_, seconds(PendingTime) / 2.0);
  Item.ReferenceAt_ = Now;
  const double Accepted = std::max(MinAccepted, accepted(Now, Service));
  const double Needed = Item.Reference_ * (1.0 - Accepted) / Accepted;
  const double Pending = Item.ToldShare_ * Needed * seconds(PendingTime);
  const double BudgetRate = std::max(0.0, Retries - Pending) / seconds(Horizon - PendingTime);
  Item.ToldShare_ += (1.0 - Fading) * (std::min(1.0, BudgetRate / Needed) - Item.ToldShare_);
  if (Needed <= BudgetRate)
    return {};
  // The longer the row, the more requests are admitted, because only their calls show the end.
  const double Shown = std::min(1.0, Item.AcceptedInRow_ / std::max(1.0, Item.Row_));
  const double Least = Shown < 0.5 ? 0.0 : std::pow(LeastShare, 1.0 - Shown);
  return {std::max(Least, BudgetRate / Needed), Accepted * (1.0 + BudgetRate / Item.Reference_)};
}

std::vector<ServiceId> RoomMeter::told(TimePoint Now) const {
  std::vector<ServiceId> Result;
  for (const auto &[Service, Item] : Entries_)
    if (Item.Degraded_ || (Item.EndedAt_ != TimePoint() && Now - Item.EndedAt_ <= TellRecovery))
      Result.push_back(Service);
  return Result;
}

std::vector<ClassId> RoomMeter::classes(TimePoint Now, const ServiceId &Service) const {
  std::vector<ClassId> Result;
  const auto Found = Entries_.find(Service);
  if (Found != Entries_.end())
    for (const auto &[Class, At] : Found->second.Classes_)
      if (Now - At <= RecentTime)
        Result.push_back(Class);
  return Result;
}

} // namespace bronzestand
