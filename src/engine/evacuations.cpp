#include "bronzestand/evacuations.h"

#include <algorithm>
#include <cmath>

#include "bronzestand/rendezvous.h"

namespace bronzestand {
namespace {

/// Part of the time over which entries stop, from when each has learned of the evacuation. With 5 s
/// this is 1.25 s, in which servers elsewhere report their load many times.
constexpr double StopShare = 0.25;
/// From this part on nodes beside servers refuse calls. The rest, 3.5 s of 5 s, is for a change
/// that reaches a node late and for requests that are on their way to the server.
constexpr double CloseShare = 0.3;
/// An entry or a node that was out of contact with the store stops or closes at these parts of the
/// time since the last moment at which the key was certainly not there, or at once after them.
constexpr double LatestStopShare = 0.6;
constexpr double LatestCloseShare = 0.7;
/// Entries resume from this part on, when the nodes beside the servers know of the end too, and all
/// have resumed after the second part. Longer than the stop, because the servers may be cold.
constexpr double FirstResumeShare = 0.1;
constexpr double LastResumeShare = 0.7;
/// Spreads need no more time than the load reports take, however long the time of an evacuation is.
constexpr Duration MaxSpreadTime = std::chrono::seconds(20);

Duration partOf(Duration Time, double Share) {
  return std::chrono::duration_cast<Duration>(Time * Share);
}

/// Returns the end of a part of the time since a moment that may be unknown; Now if it has passed.
TimePoint latest(TimePoint Now, TimePoint WrittenAfter, Duration Part) {
  return WrittenAfter <= Now - Part ? Now : WrittenAfter + Part;
}

} // namespace

double Evacuations::placeOf(const DataCentreId &Name) const {
  return std::ldexp(static_cast<double>(rendezvousScore(Name.str(), Self_)), -64);
}

// A data centre that was not used again yet stays unused, so that an evacuation that is written
// again within seconds sends it no calls in between.
bool Evacuations::begin(TimePoint Now, const DataCentreId &Name, TimePoint WrittenAfter) {
  Centre &Item = Centres_[Name];
  if (Item.Listed_)
    return false;
  const bool Unused = isUnused(Now, Item);
  const Duration Spread = std::min(Time_, MaxSpreadTime);
  Item.Listed_ = true;
  Item.BegunAt_ = Now;
  Item.StopAt_ = Item.CloseAt_ = Now;
  if (Unused)
    return true;
  Item.StopAt_ = std::min(Now + partOf(Spread, StopShare * placeOf(Name)),
                          latest(Now, WrittenAfter, partOf(Time_, LatestStopShare)));
  Item.CloseAt_ = std::min(Now + partOf(Spread, CloseShare),
                           latest(Now, WrittenAfter, partOf(Time_, LatestCloseShare)));
  return true;
}

bool Evacuations::end(TimePoint Now, const DataCentreId &Name) {
  const auto Found = Centres_.find(Name);
  if (Found == Centres_.end() || !Found->second.Listed_)
    return false;
  Centre &Item = Found->second;
  const bool Unused = isUnused(Now, Item);
  Item.Listed_ = false;
  Item.ResumeAt_ = Now;
  if (!Unused)
    return true;
  const double Share = FirstResumeShare + (LastResumeShare - FirstResumeShare) * placeOf(Name);
  Item.ResumeAt_ = Now + partOf(std::min(Time_, MaxSpreadTime), Share);
  return true;
}

std::set<DataCentreId> Evacuations::listed() const {
  std::set<DataCentreId> Result;
  for (const auto &[Name, Item] : Centres_)
    if (Item.Listed_)
      Result.insert(Name);
  return Result;
}

bool Evacuations::isListed(const DataCentreId &Name) const {
  const auto Found = Centres_.find(Name);
  return Found != Centres_.end() && Found->second.Listed_;
}

std::set<DataCentreId> Evacuations::unused(TimePoint Now) const {
  std::set<DataCentreId> Result;
  for (const auto &[Name, Item] : Centres_)
    if (isUnused(Now, Item))
      Result.insert(Name);
  return Result;
}

bool Evacuations::isClosed(TimePoint Now, const DataCentreId &Name) const {
  const auto Found = Centres_.find(Name);
  return Found != Centres_.end() && Found->second.Listed_ && Now >= Found->second.CloseAt_;
}

void Evacuations::expire(TimePoint Now) {
  for (auto Item = Centres_.begin(); Item != Centres_.end();)
    Item = !Item->second.Listed_ && !isUnused(Now, Item->second) ? Centres_.erase(Item)
                                                                 : std::next(Item);
}

} // namespace bronzestand
