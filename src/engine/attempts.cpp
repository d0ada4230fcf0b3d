#include "bronzestand/attempts.h"

#include <algorithm>
#include <cmath>

namespace bronzestand {
namespace {

constexpr std::size_t MaxParents = 1024;
constexpr std::size_t MaxChildren = 32;
constexpr std::size_t MaxServices = 2048;
constexpr double EstimateDecay = 1.0 / 16.0;
// Attempts kept back at each hop while there is no estimate. A chain of 18 hops, each with one
// attempt and this reserve, fits into the default limit of 64.
constexpr std::uint32_t UnknownReserve = 2;
// Allows for a retry after a lost answer, and lets an estimate that is too small double.
constexpr double EstimateMargin = 2.0;
constexpr double BudgetWindowSeconds = 10.0;
constexpr double MinRetriesPerSecond = 1.0;

void updateDecayingMax(double &Estimate, double Sample) {
  Estimate = Sample >= Estimate ? Sample : Estimate + (Sample - Estimate) * EstimateDecay;
}

bool isRetryable(const FailedCall &Failed) {
  switch (Failed.Outcome_) {
  case Outcome::Served:
    return false;
  case Outcome::NotRun:
    // Every other backend server would refuse the call for these two reasons as well.
    return refusalInfo(Failed.Refusal_).MayRetry_ && Failed.Refusal_ != Refusal::OverTeamLimit &&
           Failed.Refusal_ != Refusal::DeadlineTooShort;
  case Outcome::Unknown:
    return Failed.Idempotent_ && Failed.Refusal_ != Refusal::OutcomeUnknown;
  }
  return false;
}

} // namespace

const SubtreeNeeds::Children *SubtreeNeeds::find(const std::string &Parent) const {
  const auto Found = Parents_.find(Parent);
  return Found == Parents_.end() ? nullptr : &Found->second;
}

SubtreeNeeds::Child *SubtreeNeeds::findOrCreate(const std::string &Parent,
                                                const std::string &ChildName) {
  if (Parents_.size() >= MaxParents && Parents_.count(Parent) == 0)
    return nullptr;
  Children &Siblings = Parents_[Parent];
  if (Siblings.size() >= MaxChildren && Siblings.count(ChildName) == 0)
    return nullptr;
  return &Siblings[ChildName];
}

void SubtreeNeeds::noteUse(const std::string &Parent, const std::string &ChildName,
                           std::uint32_t Used) {
  if (Child *Entry = findOrCreate(Parent, ChildName))
    updateDecayingMax(Entry->Attempts_, std::max(1U, Used));
}

void SubtreeNeeds::noteCalls(const std::string &Parent, const std::string &ChildName,
                             std::uint32_t Calls) {
  if (Child *Entry = findOrCreate(Parent, ChildName))
    updateDecayingMax(Entry->Calls_, std::max(1U, Calls));
}

std::uint32_t AttemptAccount::shareOf(const std::string &ChildName) const {
  const SubtreeNeeds::Children *Siblings = Needs_.find(Parent_);
  const auto Own = Siblings ? Siblings->find(ChildName) : SubtreeNeeds::Children::const_iterator();
  if (!Siblings || Own == Siblings->end())
    return Balance_ - std::min(UnknownReserve, Balance_ / 8);
  const double Need = Own->second.Attempts_;
  // Splits the balance in proportion to the estimates of this call and of the expected siblings.
  double TotalNeed = Need;
  for (const auto &[Name, Child] : *Siblings) {
    const auto Count = Calls_.find(Name);
    const double Started =
        (Count == Calls_.end() ? 0.0 : Count->second) + (Name == ChildName ? 1.0 : 0.0);
    TotalNeed += std::max(0.0, std::round(Child.Calls_) - Started) * Child.Attempts_;
  }
  const double Proportional = Balance_ * Need / TotalNeed;
  const double Share = std::min(Proportional, std::ceil(Need * EstimateMargin));
  return std::clamp(static_cast<std::uint32_t>(Share), 1U, Balance_);
}

void AttemptAccount::countCall(const std::string &ChildName) {
  // Retries aren't counted: each hop of a chain that had failed would reserve attempts for them,
  // the lower hops would run out of attempts, fail and be retried, and the chain would never
  // recover.
  if (Failed_.erase(ChildName) == 0)
    ++Calls_[ChildName];
}

std::optional<std::uint32_t> AttemptAccount::open(CallId Id, const std::string &ChildName) {
  if (Settled_ || Open_.count(Id) != 0)
    return std::nullopt;
  if (Balance_ == 0) {
    // Counted, so that the next run of this parent reserves a share for the call.
    countCall(ChildName);
    Failed_.insert(ChildName);
    return std::nullopt;
  }
  const std::uint32_t Share = shareOf(ChildName);
  Balance_ -= Share;
  countCall(ChildName);
  Open_.emplace(Id, OpenCall{ChildName, Share});
  return Share;
}

void AttemptAccount::close(CallId Id, std::uint32_t Unused, CallEnd End) {
  const auto Found = Open_.find(Id);
  if (Settled_ || Found == Open_.end())
    return;
  const OpenCall &Call = Found->second;
  if (End != CallEnd::Good)
    Failed_.insert(Call.ChildName_);
  if (End == CallEnd::Lost) {
    Open_.erase(Found);
    return;
  }
  const std::uint32_t Returned = std::min(Unused, Call.Share_ - 1);
  Needs_.noteUse(Parent_, Call.ChildName_, Call.Share_ - Returned);
  Balance_ += Returned;
  Open_.erase(Found);
}

std::uint32_t AttemptAccount::settle() {
  if (Settled_)
    return 0;
  Settled_ = true;
  for (const auto &[Name, Calls] : Calls_)
    Needs_.noteCalls(Parent_, Name, Calls);
  Open_.clear();
  return std::exchange(Balance_, 0);
}

RetryPolicy::Counts *RetryPolicy::counts(TimePoint Now, const ServiceId &Service) {
  if (Services_.size() >= MaxServices && Services_.count(Service) == 0)
    return nullptr;
  Counts &Entry = Services_[Service];
  const double Elapsed = std::chrono::duration<double>(Now - Entry.Last_).count();
  const double Decay = std::exp(-std::max(0.0, Elapsed) / BudgetWindowSeconds);
  Entry.Calls_ *= Decay;
  Entry.Retries_ *= Decay;
  Entry.Last_ = Now;
  return &Entry;
}

void RetryPolicy::noteCall(TimePoint Now, const ServiceId &Service) {
  if (Counts *Entry = counts(Now, Service))
    Entry->Calls_ += 1.0;
}

bool RetryPolicy::mayRetry(TimePoint Now, const FailedCall &Failed) {
  if (!isRetryable(Failed) || Failed.TimeLeft_ <= Failed.TimeNeeded_)
    return false;
  Counts *Entry = counts(Now, Failed.Service_);
  const double MinBudget = MinRetriesPerSecond * BudgetWindowSeconds;
  if (!Entry || Entry->Retries_ + 1.0 > std::max(Share_ * Entry->Calls_, MinBudget))
    return false;
  Entry->Retries_ += 1.0;
  return true;
}

} // namespace bronzestand
