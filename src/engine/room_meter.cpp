#include "bronzestand/room_meter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bronzestand {
namespace {

/// Half-lives in seconds: of the rate of calls now, of the usual rate, and of an arrival in the
/// share of rejections by which a degradation is recognised and in the one during it.
constexpr double RecentHalfLifeS = 0.5;
constexpr double UsualHalfLifeS = 3.0;
constexpr double RejectionHalfLifeS = 0.25;
constexpr double DegradationHalfLifeS = 2.0;
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

/// Half-life in seconds of an event in the rates of the last moment, and arrivals in it that show
/// the share of rejections.
constexpr double MomentHalfLifeS = 0.15;
constexpr double MinArrivals = 20.0;
/// A room is told after this time without arrivals too, so that it is not forgotten.
constexpr Duration MaxTellPause = std::chrono::milliseconds(800);
/// Share of rejections above which a call costs so many retries that hardly any request is whole.
constexpr double MostRejections = 0.85;
/// Servers are full if this logarithm of the ratio of the likelihoods shows it, and half-life in
/// seconds of the arrivals that it is computed from.
constexpr double FullEvidence = 8.0;
constexpr double EvidenceHalfLifeS = 2.0;
/// Share of rejections above which full servers are overloaded.
constexpr double HighRejections = 0.3;
/// Full servers are first given this part of what they accept while they are overloaded.
constexpr double UsedPart = 0.95;
/// Part by which a node follows the room that is known, for each measurement.
constexpr double FollowPart = 0.2;
/// Full servers are used best if they reject as many arrivals as the budget can repeat, spread over
/// a window of this many seconds, within these limits. The share of the calls changes by this part
/// of the difference for each measurement.
constexpr double WindowS = 10.0;
constexpr double LeastAimed = 0.05;
constexpr double MostAimed = 0.2;
constexpr double Gain = 0.3;
/// The share of the calls is used if this part of it arrives. What arrives varies by some 10 %.
constexpr double NearlyAll = 0.85;
/// Servers that are overloaded by this part of the calls that they were given first are not full.
constexpr double RefutedPart = 0.5;
/// A row of this many accepted arrivals shows that servers are no longer full: its chance is below
/// 1 % at 5 % rejections. The share grows by this factor for each measurement then.
constexpr double FreeRow = 100.0;
constexpr double FreeGrowth = 2.0;

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
      Degradation_(DegradationHalfLifeS, AssumedInDegradation), Served_(MomentHalfLifeS),
      Refused_(MomentHalfLifeS) {}

void RoomMeter::first(TimePoint Now, const ServiceId &Service, const ClassId &Class) {
  Entry &Item = Entries_[Service];
  Item.Recent_.add(Now);
  if (!Item.Degraded_ && !Item.Full_)
    Item.Usual_.add(Now);
  Item.Classes_[Class] = Now;
}

void RoomMeter::arrived(TimePoint Now, const ServiceId &Service, bool Accepted) {
  Entry &Item = Entries_[Service];
  Item.ArrivedAt_ = Now;
  Item.Rejections_.ended(Now, !Accepted);
  (Accepted ? Item.Served_ : Item.Refused_).add(Now);
  Item.Since_.Accepted_ += Accepted ? 1.0 : 0.0;
  Item.Since_.Number_ += 1.0;
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
      Item.Served_ = Item.Refused_ = RateMeter(MomentHalfLifeS);
      Item.MeasuredAt_ = Now;
      Item.Since_ = Item.Overload_ = Arrivals();
      Item.LogArrivals_ = 0.0;
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

double RoomMeter::rejected(TimePoint Now, const Entry &Item) {
  const double Refused = Item.Refused_.rate(Now);
  return Refused / std::max(1.0, Item.Served_.rate(Now) + Refused);
}

bool RoomMeter::isFull(const ServiceId &Service) const {
  const auto Found = Entries_.find(Service);
  return Found != Entries_.end() && Found->second.Full_;
}

bool RoomMeter::gainsByRetries(TimePoint Now, const ServiceId &Service) const {
  const auto Found = Entries_.find(Service);
  if (Found == Entries_.end())
    return true;
  const Entry &Item = Found->second;
  if (Item.Full_)
    return rejected(Now, Item) <= HighRejections;
  const double Arrivals =
      (Item.Served_.rate(Now) + Item.Refused_.rate(Now)) * MomentHalfLifeS / std::log(2.0);
  // The share of the last moment is known first, if there are enough arrivals.
  return (Arrivals >= MinArrivals ? rejected(Now, Item) : 1.0 - accepted(Now, Service)) <=
         MostRejections;
}

// Compares the likelihoods that the accepted arrivals are a constant number per second, and that
// they are a constant share of the arrivals. Both models have one parameter, taken from the sums.
double RoomMeter::fullEvidence(const Entry &Item) {
  const Arrivals &All = Item.Overload_;
  return All.Number_ > 0.0
             ? All.Accepted_ * std::log(All.Number_ / All.Seconds_) - Item.LogArrivals_
             : 0.0;
}

void RoomMeter::updateFull(TimePoint Now, Entry &Item, const Arrivals &Last,
                           const std::optional<Room> &Known) {
  // Servers that reject few arrivals accept nearly all, whether they are full or not.
  if (Last.rejected() > HighRejections && Last.Seconds_ > 0.0) {
    const double Weight = std::exp2(-Last.Seconds_ / EvidenceHalfLifeS);
    Arrivals &All = Item.Overload_;
    All.Accepted_ = All.Accepted_ * Weight + Last.Accepted_;
    All.Number_ = All.Number_ * Weight + Last.Number_;
    All.Seconds_ = All.Seconds_ * Weight + Last.Seconds_;
    Item.LogArrivals_ =
        Item.LogArrivals_ * Weight + Last.Accepted_ * std::log(Last.Number_ / Last.Seconds_);
  }
  const double Evidence = fullEvidence(Item);
  // Nodes whose own calls show less adopt it, because a room that they measure as the budget would
  // contradict the others.
  const bool IsTold =
      Known && Known->Full_ && Evidence > -FullEvidence && Item.AcceptedInRow_ < FreeRow;
  if (Item.Full_ || (Evidence < FullEvidence && !IsTold))
    return;
  const Arrivals &All = Item.Overload_;
  Item.Full_ = true;
  Item.FullAt_ = Now;
  Item.FirstCapacity_ =
      All.Seconds_ > 0.0
          ? std::min(1.0, UsedPart * All.Accepted_ / All.Seconds_ / std::max(1.0, Item.Reference_))
          : Known->Share_;
  Item.Capacity_ = Item.Taken_ = Item.FirstCapacity_;
}

void RoomMeter::updateCapacity(TimePoint Now, Entry &Item, double Retries,
                               const std::optional<Room> &Known) {
  Arrivals Last = std::exchange(Item.Since_, Arrivals());
  Last.Seconds_ = seconds(Now - std::exchange(Item.MeasuredAt_, Now));
  updateFull(Now, Item, Last, Known);
  // Calls of requests that were admitted before show nothing of the share that is told.
  if (!Item.Full_ || Now - Item.FullAt_ < PendingTime)
    return;
  if (Known)
    Item.Capacity_ += FollowPart * (Known->Share_ - Item.Capacity_);
  const double Rejected = Last.rejected();
  const double ServedRate = Item.Served_.rate(Now);
  const double RetryRate = Retries / WindowS;
  const double Aimed =
      std::clamp(RetryRate / std::max(1.0, RetryRate + ServedRate), LeastAimed, MostAimed);
  const double Served = ServedRate / std::max(1.0, Item.Reference_);
  const bool IsOverloaded = Rejected > HighRejections;
  if (IsOverloaded)
    Item.Taken_ += FollowPart * (Served - Item.Taken_);
  if (Item.AcceptedInRow_ >= FreeRow && Served >= NearlyAll * Item.Taken_)
    Item.Capacity_ *= FreeGrowth;
  // A share that is not used yet does not show that a larger one is accepted, but demand may have
  // fallen.
  else if (Rejected > Aimed || Served >= NearlyAll * Item.Capacity_ || !Item.Degraded_)
    Item.Capacity_ *= 1.0 + Gain * (Aimed - Rejected);
  const bool IsRefuted = IsOverloaded && Item.Capacity_ < RefutedPart * Item.FirstCapacity_;
  if (Item.Capacity_ < 1.0 && !IsRefuted)
    return;
  Item.Full_ = false;
  Item.Overload_ = Arrivals();
  Item.LogArrivals_ = 0.0;
}

RoomMeter::Room RoomMeter::room(TimePoint Now, const ServiceId &Service, double Retries,
                                const std::optional<Room> &Known) {
  const auto Found = Entries_.find(Service);
  if (Found == Entries_.end() || Found->second.DegradedAt_ == TimePoint())
    return {};
  Entry &Item = Found->second;
  if (Now - Item.ArrivedAt_ > MaxSilence) {
    if (std::exchange(Item.Degraded_, false) || std::exchange(Item.Full_, false))
      Item.EndedAt_ = Now;
    Item.Full_ = false;
    return {};
  }
  updateCapacity(Now, Item, Retries, Known);
  if (Item.Full_) {
    Item.EndedAt_ = Now;
    return {Item.Capacity_, Item.Capacity_, true};
  }
  if (!Item.Degraded_)
    return {};
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
  return {std::max(Least, BudgetRate / Needed), Accepted * (1.0 + BudgetRate / Item.Reference_),
          false};
}

bool RoomMeter::takeNews(TimePoint Now, const ServiceId &Service) {
  Entry &Item = Entries_[Service];
  if (Item.ArrivedAt_ <= Item.ToldAt_ && Now - Item.ToldAt_ < MaxTellPause)
    return false;
  Item.ToldAt_ = Now;
  return true;
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
