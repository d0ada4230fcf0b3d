#include "bronzestand/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace bronzestand {
namespace {

// Window of the fairness among teams. A team that was idle for longer gains no further advantage.
constexpr double UsageWindowSeconds = 4.0;
// The unit of usage grows as exp(t / window). It is rescaled well before it overflows.
constexpr double MaxUnitExponent = 10.0;
constexpr double NegligibleUsage = 0.01;

} // namespace

FairQueue::~FairQueue() {
  Deadlines_.clear();
  Arrivals_.clear();
  for (auto &[Rank, Queue] : Ranks_) {
    Queue.ByUsage_.clear();
    Queue.ByLength_.clear();
    for (auto &[Team, Entries] : Queue.Teams_)
      Entries.Items_.clear();
  }
}

void FairQueue::link(TeamQueue &Queue) {
  if (Queue.Items_.empty())
    return;
  Queue.Rank_->ByUsage_.insert(Queue);
  Queue.Rank_->ByLength_.insert(Queue);
}

void FairQueue::unlink(TeamQueue &Queue) {
  if (Queue.Items_.empty())
    return;
  Queue.Rank_->ByUsage_.erase(Queue.Rank_->ByUsage_.iterator_to(Queue));
  Queue.Rank_->ByLength_.erase(Queue.Rank_->ByLength_.iterator_to(Queue));
}

void FairQueue::push(TimePoint Now, const QueueEntry &Entry) {
  RankQueue &Rank = Ranks_[ClassOrder_ ? Entry.Standing_.ClassRank_ : 0];
  TeamQueue &Queue = Rank.Teams_[TeamFairness_ ? Entry.Team_ : TeamId()];
  Queue.Rank_ = &Rank;
  Item &New = Items_[Entry.Id_];
  New.Entry_ = Entry;
  New.Arrival_ = Now;
  New.Queue_ = &Queue;
  unlink(Queue);
  Queue.Items_.insert(New);
  link(Queue);
  Deadlines_.insert(New);
  Arrivals_.push_back(New);
  NonEmptyRanks_ += Rank.Size_++ == 0 ? 1 : 0;
  Rank.Work_ += Entry.Work_;
  Protected_ += Entry.Protected_ ? 1 : 0;
}

void FairQueue::unlinkItem(Item &Entry) {
  TeamQueue &Queue = *Entry.Queue_;
  unlink(Queue);
  Queue.Items_.erase(Queue.Items_.iterator_to(Entry));
  link(Queue);
  Deadlines_.erase(Deadlines_.iterator_to(Entry));
  Arrivals_.erase(Arrivals_.iterator_to(Entry));
  NonEmptyRanks_ -= --Queue.Rank_->Size_ == 0 ? 1 : 0;
  Queue.Rank_->Work_ -= Entry.Entry_.Work_;
  Protected_ -= Entry.Entry_.Protected_ ? 1 : 0;
}

FairQueue::Taken FairQueue::pop(TimePoint Now, bool LowestRank) {
  const auto IsNonEmpty = [](const auto &Rank) { return Rank.second.Size_ != 0; };
  RankQueue &Rank = LowestRank ? std::find_if(Ranks_.begin(), Ranks_.end(), IsNonEmpty)->second
                               : std::find_if(Ranks_.rbegin(), Ranks_.rend(), IsNonEmpty)->second;
  TeamQueue &Queue = *Rank.ByUsage_.begin();
  Item &First = *Queue.Items_.begin();
  const double Unit = usageUnit(Now);
  unlinkItem(First);
  unlink(Queue);
  Queue.Usage_ += Unit;
  link(Queue);
  Taken Result{std::move(First.Entry_), First.Arrival_};
  Items_.erase(Result.Entry_.Id_);
  return Result;
}

QueueEntry FairQueue::popLeastImportant() {
  for (auto &[Number, Rank] : Ranks_) {
    if (Rank.Size_ == 0)
      continue;
    Item &Last = *Rank.ByLength_.rbegin()->Items_.rbegin();
    unlinkItem(Last);
    QueueEntry Result = std::move(Last.Entry_);
    Items_.erase(Result.Id_);
    return Result;
  }
  return {};
}

bool FairQueue::erase(CallId Id) {
  const auto Found = Items_.find(Id);
  if (Found == Items_.end())
    return false;
  unlinkItem(Found->second);
  Items_.erase(Found);
  return true;
}

const QueueEntry *FairQueue::earliest() const {
  return Deadlines_.empty() ? nullptr : &Deadlines_.begin()->Entry_;
}

std::size_t FairQueue::ahead(std::uint8_t Rank, const TeamId &Team) const {
  std::size_t Result = 0;
  for (auto Higher = Ranks_.upper_bound(ClassOrder_ ? Rank : 0); Higher != Ranks_.end(); ++Higher)
    Result += Higher->second.Size_;
  const auto Own = Ranks_.find(ClassOrder_ ? Rank : 0);
  if (Own == Ranks_.end())
    return Result;
  const auto Queue = Own->second.Teams_.find(TeamFairness_ ? Team : TeamId());
  const std::size_t OwnEntries =
      Queue == Own->second.Teams_.end() ? 0 : Queue->second.Items_.size();
  return Result + std::min(Own->second.Size_, (OwnEntries + 1) * Own->second.ByUsage_.size());
}

Duration FairQueue::workAhead(std::uint8_t Rank, const TeamId &Team) const {
  Duration Result{};
  std::size_t Higher = 0;
  for (auto Item = Ranks_.upper_bound(ClassOrder_ ? Rank : 0); Item != Ranks_.end(); ++Item) {
    Result += Item->second.Work_;
    Higher += Item->second.Size_;
  }
  const auto Own = Ranks_.find(ClassOrder_ ? Rank : 0);
  if (Own == Ranks_.end() || Own->second.Size_ == 0)
    return Result;
  // Of the own rank, as many of the entries as are dispatched before, with their mean.
  return Result + Own->second.Work_ * (ahead(Rank, Team) - Higher) / Own->second.Size_;
}

std::vector<CallId>
FairQueue::match(const std::function<bool(const QueueEntry &)> &Predicate) const {
  std::vector<CallId> Result;
  for (const Item &Entry : Arrivals_)
    if (Predicate(Entry.Entry_))
      Result.push_back(Entry.Entry_.Id_);
  return Result;
}

double FairQueue::usageUnit(TimePoint Now) {
  const double Exponent =
      std::chrono::duration<double>(Now - UsageEpoch_).count() / UsageWindowSeconds;
  const double Unit = std::exp(std::min(Exponent, 2.0 * MaxUnitExponent));
  if (Exponent < MaxUnitExponent)
    return Unit;
  UsageEpoch_ = Now;
  removeIdleTeams(Unit);
  return 1.0;
}

void FairQueue::removeIdleTeams(double Unit) {
  for (auto &[Number, Rank] : Ranks_) {
    for (auto Team = Rank.Teams_.begin(); Team != Rank.Teams_.end();) {
      // Dividing all by the same factor keeps their order, so the sets stay valid.
      Team->second.Usage_ /= Unit;
      const bool Idle = Team->second.Items_.empty() && Team->second.Usage_ < NegligibleUsage;
      Team = Idle ? Rank.Teams_.erase(Team) : std::next(Team);
    }
  }
}

} // namespace bronzestand
