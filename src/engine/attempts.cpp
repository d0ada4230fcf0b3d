#include "bronzestand/attempts.h"

#include <algorithm>
#include <cmath>

namespace bronzestand {
namespace {

constexpr std::size_t MaxParents = 1024;
constexpr std::size_t MaxChildren = 32;
constexpr std::size_t MaxServices = 2048;
constexpr double NeedDecay = 1.0 / 16.0;
// 18 hops at one attempt and a reserve of two fit in the default bound of 64.
constexpr std::uint32_t UnknownReserve = 2;
// Leaves room for a retry after a lost answer, and doubles an estimate that proved too small.
constexpr double NeedMargin = 2.0;
constexpr double BudgetWindowSeconds = 10.0;
constexpr double MinRetriesPerSecond = 1.0;

void raiseOrDecay(double &Estimate, double Sample) {
  Estimate = Sample >= Estimate ? Sample : Estimate + (Sample - Estimate) * NeedDecay;
}

bool retryableAtThisHop(const FailedCall &Failed) {
  switch (Failed.Outcome_) {
  case Outcome::Served:
    return false;
  case Outcome::NotRun:
    // These two verdicts hold on every other backend server as well.
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

SubtreeNeeds::Child *SubtreeNeeds::slot(const std::string &Parent, const std::string &ChildName) {
  if (Parents_.size() >= MaxParents && Parents_.count(Parent) == 0)
    return nullptr;
  Children &Known = Parents_[Parent];
  if (Known.size() >= MaxChildren && Known.count(ChildName) == 0)
    return nullptr;
  return &Known[ChildName];
}

void SubtreeNeeds::noteUse(const std::string &Parent, const std::string &ChildName,
                           std::uint32_t Used) {
  if (Child *Slot = slot(Parent, ChildName))
    raiseOrDecay(Slot->Attempts_, std::max(1U, Used));
}

void SubtreeNeeds::noteCalls(const std::string &Parent, const std::string &ChildName,
                             std::uint32_t Calls) {
  if (Child *Slot = slot(Parent, ChildName))
    raiseOrDecay(Slot->Calls_, std::max(1U, Calls));
}

std::uint32_t AttemptAccount::shareOf(const std::string &ChildName) const {
  const SubtreeNeeds::Children *Known = Needs_.find(Parent_);
  const auto Own = Known ? Known->find(ChildName) : SubtreeNeeds::Children::const_iterator();
  if (!Known || Own == Known->end())
    return Balance_ - std::min(UnknownReserve, Balance_ / 8);
  const double Need = Own->second.Attempts_;
  // Split in proportion to the learned needs of this call and of the siblings still to come.
  double Outstanding = Need;
  for (const auto &[Name, Child] : *Known) {
    const auto Made = Calls_.find(Name);
    const double Done =
        (Made == Calls_.end() ? 0.0 : Made->second) + (Name == ChildName ? 1.0 : 0.0);
    Outstanding += std::max(0.0, std::round(Child.Calls_) - Done) * Child.Attempts_;
  }
  const double Proportional = Balance_ * Need / Outstanding;
  const double Share = std::min(Proportional, std::ceil(Need * NeedMargin));
  return std::clamp(static_cast<std::uint32_t>(Share), 1U, Balance_);
}

std::optional<std::uint32_t> AttemptAccount::open(CallId Id, const std::string &ChildName) {
  if (Settled_ || Open_.count(Id) != 0)
    return std::nullopt;
  if (Balance_ == 0) {
    // Counted so that the next run of this parent reserves a share for the call.
    ++Calls_[ChildName];
    return std::nullopt;
  }
  const std::uint32_t Share = shareOf(ChildName);
  Balance_ -= Share;
  ++Calls_[ChildName];
  Open_.emplace(Id, OpenCall{ChildName, Share});
  return Share;
}

void AttemptAccount::close(CallId Id, std::uint32_t Unused) {
  const auto Found = Open_.find(Id);
  if (Settled_ || Found == Open_.end())
    return;
  const OpenCall &Call = Found->second;
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
  Counts &Slot = Services_[Service];
  const double Elapsed = std::chrono::duration<double>(Now - Slot.Last_).count();
  const double Kept = std::exp(-std::max(0.0, Elapsed) / BudgetWindowSeconds);
  Slot.Calls_ *= Kept;
  Slot.Retries_ *= Kept;
  Slot.Last_ = Now;
  return &Slot;
}

void RetryPolicy::noteCall(TimePoint Now, const ServiceId &Service) {
  if (Counts *Slot = counts(Now, Service))
    Slot->Calls_ += 1.0;
}

bool RetryPolicy::mayRetry(TimePoint Now, const FailedCall &Failed) {
  if (!retryableAtThisHop(Failed) || Failed.TimeLeft_ <= Failed.TimeNeeded_)
    return false;
  Counts *Slot = counts(Now, Failed.Service_);
  const double Floor = MinRetriesPerSecond * BudgetWindowSeconds;
  if (!Slot || Slot->Retries_ + 1.0 > std::max(Share_ * Slot->Calls_, Floor))
    return false;
  Slot->Retries_ += 1.0;
  return true;
}

} // namespace bronzestand
