#include "bronzestand/call_parents.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace bronzestand {
namespace {

constexpr std::array<std::string_view, 4> MatchNames{"deadline", "ambiguous", "class", "none"};

/// Deadlines are compared in whole milliseconds, because that is how they are written. Measured on
/// real traffic, that of a call is 0 to 2 ms earlier than that of its run: the server and its
/// client round the time left down, and the way takes a part of a millisecond.
constexpr std::int64_t MaxEarlierMs = 3;
/// Tried if no run matches so: a server that counts in microseconds adds the time on the way to it
/// to its deadline, which may pass the next whole millisecond.
constexpr std::int64_t MaxLaterMs = 1;
/// A class has a time limit of its own if fewer of its calls match a run. Its matches are
/// accidental and do not show which runs make the calls: with 50 runs at a server and time limits
/// of a second, up to a fifth of such calls match one.
constexpr double MinMatchedShare = 0.5;
/// Calls whose callers must be known before a class counts as called by one class of runs only, and
/// the share of them that this class must have; the rest allows for accidental matches.
constexpr double MinKnownCalls = 8.0;
constexpr double MinOnlyCallerShare = 0.95;
/// Share of the calls during which another class of runs may be at the server. With more, the
/// calls during which there is none are those of a few runs, which may be of one class by chance.
constexpr double MaxOtherPresence = 0.5;
/// At this number of calls all counts are halved, so that a change of the callers shows.
constexpr double MaxCountedCalls = 256.0;

/// At this number of runs all counts of presence are halved. Runs of which 4 are at the server on
/// average leave it without one 18 times in 1,000 runs; fewer runs would show too few such times.
constexpr double MaxCountedRuns = 2048.0;
/// Evidence that a class of runs makes all calls: the times without one of them, the calls that
/// would fall into these times if it did not make them, and the part of these that may do so
/// nevertheless. Calls come in groups, so a class that makes half of them would be seen present
/// at all by chance in about 1 of 200 cases.
constexpr double MinTimesAbsent = 6.0;
constexpr double MinExpectedAbsences = 24.0;
constexpr double MaxAbsentPart = 0.05;
/// The part above which the class is no longer taken for the caller.
constexpr double LostAbsentPart = 0.1;
/// The share of the calls during which a class may be absent that is nearly always present, because
/// a server may go on with a run whose caller has given up, and the least share and number of those
/// during which each other class must be absent.
constexpr double MaxAbsentShare = 0.003;
constexpr double MinAbsentShare = 0.01;
constexpr double MinAbsences = 4.0;
/// The calls of such a class show in numbers: during a call of one of its runs there is one run
/// more than a run finds when it is added. This is the least part of it, the part below which the
/// class is no longer taken for the caller, and the runs and calls for the mean, for each run at
/// the server (the number at one moment has a variance equal to the mean).
constexpr double MinExcess = 0.6;
constexpr double LostExcess = 0.1;
constexpr double CountedPerRun = 48.0;
/// Counts below this are of classes that are no longer at the server.
constexpr double MinKeptCount = 0.5;

std::int64_t wholeMs(TimePoint Time) {
  return std::chrono::floor<std::chrono::milliseconds>(Time).time_since_epoch().count();
}

/// Returns whether a run is known to be a repeat, or to belong to one.
bool isRepeated(const std::optional<RootStanding> &Standing) {
  return Standing && Standing->Repeated_;
}

} // namespace

std::string_view parentMatchName(ParentMatch Value) {
  return MatchNames[static_cast<std::size_t>(Value)];
}

bool CallParents::MoreUrgent::operator()(const Run *A, const Run *B) const {
  if (A->Standing_.has_value() != B->Standing_.has_value())
    return A->Standing_.has_value();
  if (A->Standing_ && A->Standing_->ClassRank_ != B->Standing_->ClassRank_)
    return A->Standing_->ClassRank_ > B->Standing_->ClassRank_;
  if (A->Standing_ && A->Standing_->Place_ != B->Standing_->Place_)
    return A->Standing_->Place_ < B->Standing_->Place_;
  return A->Number_ < B->Number_;
}

void CallParents::add(RunNumber Number, TimePoint Deadline, const ClassId &Class,
                      const std::optional<RootStanding> &Standing) {
  const auto [Found, Added] =
      Runs_.try_emplace(Number, Run{Number, wholeMs(Deadline), Class, Standing});
  if (!Added)
    return;
  const Run &Item = Found->second;
  ClassRuns &Same = Classes_[Class];
  Arrivals &Seen = Arrivals_[Class];
  Seen.Count_ += 1.0;
  Seen.Alone_ += Same.All_.empty() ? 1.0 : 0.0;
  Seen.Found_ += static_cast<double>(Same.All_.size());
  if (++Arrived_ >= MaxCountedRuns)
    agePresence();
  Same.All_.insert(&Item);
  Same.ByDeadline_[Item.DeadlineMs_].insert(&Item);
  Same.Repeated_ += isRepeated(Item.Standing_) ? 1 : 0;
  Same.Unknown_ += Item.Standing_ ? 0 : 1;
}

void CallParents::remove(RunNumber Number) {
  const auto Found = Runs_.find(Number);
  if (Found == Runs_.end())
    return;
  const Run &Item = Found->second;
  const auto Same = Classes_.find(Item.Class_);
  const auto Slot = Same->second.ByDeadline_.find(Item.DeadlineMs_);
  Slot->second.erase(&Item);
  if (Slot->second.empty())
    Same->second.ByDeadline_.erase(Slot);
  Same->second.All_.erase(&Item);
  Same->second.Repeated_ -= isRepeated(Item.Standing_) ? 1 : 0;
  Same->second.Unknown_ -= Item.Standing_ ? 0 : 1;
  if (Same->second.All_.empty())
    Classes_.erase(Same);
  Runs_.erase(Found);
}

CallParents::Matches CallParents::matchDeadline(std::int64_t FirstMs, std::int64_t LastMs) const {
  Matches Result;
  for (const auto &[Class, Same] : Classes_) {
    auto Slot = Same.ByDeadline_.lower_bound(FirstMs);
    for (; Slot != Same.ByDeadline_.end() && Slot->first <= LastMs; ++Slot) {
      Result.Class_ = Result.Count_ == 0 || Result.Class_ == &Class ? &Class : nullptr;
      Result.Count_ += Slot->second.size();
      const Run *First = *Slot->second.begin();
      if (Result.MostUrgent_ == nullptr || MoreUrgent()(First, Result.MostUrgent_))
        Result.MostUrgent_ = First;
      Result.Repeated_ = Result.Repeated_ ||
                         std::any_of(Slot->second.begin(), Slot->second.end(),
                                     [](const Run *Item) { return isRepeated(Item->Standing_); });
    }
  }
  return Result;
}

CallParents::Callers &CallParents::callersOf(const ClassId &Called) {
  // There are as many classes as the configuration has routes; only changes of it exceed the bound.
  if (Called_.size() >= MaxCalledClasses && Called_.count(Called) == 0)
    Called_.clear();
  return Called_[Called];
}

void CallParents::learn(Callers &Item, const Matches &Found) {
  Item.Calls_ += 1.0;
  Item.Matched_ += Found.Count_ != 0 ? 1.0 : 0.0;
  const ClassId *Class = nullptr;
  if (Classes_.size() == 1)
    Class = &Classes_.begin()->first;
  else if (Item.Matched_ >= MinMatchedShare * Item.Calls_)
    Class = Found.Class_;
  if (Class != nullptr) {
    Item.Known_ += 1.0;
    Item.ByClass_[*Class] += 1.0;
  }
  if (Item.Calls_ < MaxCountedCalls)
    return;
  Item.Calls_ /= 2.0;
  Item.Matched_ /= 2.0;
  Item.Known_ /= 2.0;
  for (auto &[Name, Count] : Item.ByClass_)
    Count /= 2.0;
}

void CallParents::learnPresence(Callers &Item) {
  if (Item.Counted_ == 0.0)
    Item.ArrivedBefore_ = Arrived_;
  Item.Counted_ += 1.0;
  for (const auto &[Class, Same] : Classes_) {
    Presence &Seen = Item.Present_[Class];
    Seen.Calls_ += 1.0;
    Seen.Found_ += static_cast<double>(Same.All_.size());
  }
  // The calls until now are those of an earlier caller.
  if (!Item.Caller_.empty() && isContradicted(Item, Item.Caller_)) {
    Item.Caller_ = ClassId();
    Item.Counted_ = 0.0;
    Item.Present_.clear();
  }
  if (const ClassId *Shown = presentCaller(Item))
    Item.Caller_ = *Shown;
}

void CallParents::agePresence() {
  Arrived_ /= 2.0;
  for (auto Item = Arrivals_.begin(); Item != Arrivals_.end();) {
    Arrivals &Seen = Item->second;
    Seen = {Seen.Count_ / 2.0, Seen.Alone_ / 2.0, Seen.Found_ / 2.0};
    Item = Seen.Count_ < MinKeptCount ? Arrivals_.erase(Item) : std::next(Item);
  }
  for (auto &[Called, Item] : Called_) {
    Item.Counted_ /= 2.0;
    Item.ArrivedBefore_ /= 2.0;
    for (auto Present = Item.Present_.begin(); Present != Item.Present_.end();) {
      Presence &Seen = Present->second;
      Seen = {Seen.Calls_ / 2.0, Seen.Found_ / 2.0};
      Present = Seen.Calls_ < MinKeptCount ? Item.Present_.erase(Present) : std::next(Present);
    }
  }
}

const ClassId *CallParents::onlyCaller(const Callers &Item) {
  if (!Item.Caller_.empty())
    return &Item.Caller_;
  if (Item.Known_ < MinKnownCalls)
    return nullptr;
  const ClassId *Result = nullptr;
  for (const auto &[Class, Count] : Item.ByClass_)
    if (Count >= MinOnlyCallerShare * Item.Known_)
      Result = &Class;
  if (Result == nullptr)
    return nullptr;
  for (const auto &[Class, Seen] : Item.Present_)
    if (Class == *Result ? Seen.Calls_ < MinOnlyCallerShare * Item.Counted_
                         : Seen.Calls_ > MaxOtherPresence * Item.Counted_)
      return nullptr;
  return Result;
}

const ClassId *CallParents::presentCaller(const Callers &Item) const {
  const ClassId *Result = nullptr;
  const double DuringCalls = 1.0 - Item.ArrivedBefore_ / std::max(1.0, Arrived_);
  for (const auto &[Class, Seen] : Item.Present_) {
    const auto Usual = Arrivals_.find(Class);
    if (Usual == Arrivals_.end() || DuringCalls * Usual->second.Alone_ < MinTimesAbsent)
      continue;
    const double Expected = Item.Counted_ * Usual->second.Alone_ / Usual->second.Count_;
    if (Expected < MinExpectedAbsences || Item.Counted_ - Seen.Calls_ > MaxAbsentPart * Expected)
      continue;
    if (Result != nullptr)
      return nullptr;
    Result = &Class;
  }
  return Result == nullptr ? alwaysPresent(Item) : Result;
}

const ClassId *CallParents::alwaysPresent(const Callers &Item) const {
  const ClassId *Result = nullptr;
  const double DuringCalls = 1.0 - Item.ArrivedBefore_ / std::max(1.0, Arrived_);
  for (const auto &[Class, Seen] : Item.Present_) {
    const double Absent = Item.Counted_ - Seen.Calls_;
    if (Absent >= std::max(MinAbsences, MinAbsentShare * Item.Counted_))
      continue;
    const auto Usual = Arrivals_.find(Class);
    if (Result != nullptr || Usual == Arrivals_.end() || Absent > MaxAbsentShare * Item.Counted_)
      return nullptr;
    const double Before = Usual->second.Found_ / Usual->second.Count_;
    const double Least = CountedPerRun * (1.0 + Before);
    if (DuringCalls * Usual->second.Count_ < Least || Item.Counted_ < Least ||
        Seen.Found_ / Item.Counted_ - Before < MinExcess)
      return nullptr;
    Result = &Class;
  }
  return Result;
}

bool CallParents::isContradicted(const Callers &Item, const ClassId &Class) const {
  const auto Seen = Item.Present_.find(Class);
  const auto Usual = Arrivals_.find(Class);
  if (Seen == Item.Present_.end() || Usual == Arrivals_.end())
    return true;
  const Arrivals &Runs = Usual->second;
  const double Expected = Item.Counted_ * Runs.Alone_ / Runs.Count_;
  if (Item.Counted_ - Seen->second.Calls_ > std::max(MinAbsences, LostAbsentPart * Expected))
    return true;
  return Runs.Alone_ < MinTimesAbsent &&
         Seen->second.Found_ / Item.Counted_ - Runs.Found_ / Runs.Count_ < LostExcess;
}

CallParents::Parent CallParents::find(const ClassId &Called, std::optional<TimePoint> Deadline) {
  Callers &Item = callersOf(Called);
  learnPresence(Item);
  if (Runs_.empty())
    return {};
  Matches Found;
  if (Deadline) {
    const std::int64_t Ms = wholeMs(*Deadline);
    Found = matchDeadline(Ms, Ms + MaxEarlierMs);
    if (Found.Count_ == 0)
      Found = matchDeadline(Ms - MaxLaterMs, Ms - 1);
  }
  learn(Item, Found);
  const ClassId *Only = onlyCaller(Item);
  // The matches of a class with a time limit of its own are accidental.
  const bool IsAccidental = Only != nullptr && Item.Matched_ < MinMatchedShare * Item.Calls_ &&
                            Item.Calls_ >= MinKnownCalls;
  if (Found.Count_ != 0 && !IsAccidental) {
    Parent Result{Found.Count_ == 1 ? ParentMatch::Deadline : ParentMatch::Ambiguous,
                  Found.MostUrgent_->Standing_, Found.Class_ == nullptr ? ClassId() : *Found.Class_,
                  Found.MostUrgent_->Standing_ && !Found.Repeated_};
    // A call of a repeated run that counts as one of a first attempt would earn retries.
    if (Result.Standing_)
      Result.Standing_->Repeated_ = Found.Repeated_;
    return Result;
  }
  const auto Same = Only == nullptr ? Classes_.end() : Classes_.find(*Only);
  if (Same == Classes_.end())
    return {};
  const ClassRuns &Runs = Same->second;
  return {ParentMatch::Class, Runs.Repeated_ == 0 ? (*Runs.All_.begin())->Standing_ : std::nullopt,
          Same->first, Runs.Repeated_ == 0 && Runs.Unknown_ == 0,
          static_cast<double>(Runs.Repeated_) / static_cast<double>(Runs.All_.size())};
}

} // namespace bronzestand
