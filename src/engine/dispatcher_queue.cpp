#include "bronzestand/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace bronzestand {
namespace {

// Window of the fairness among teams: a team that was idle longer has no further credit.
constexpr double UseWindowSeconds = 4.0;
// The unit of use grows as exp(t / window); it is rescaled well before it overflows.
constexpr double MaxUnitExponent = 10.0;
constexpr double NegligibleUse = 0.01;

} // namespace

FairQueue::~FairQueue() {
  Deadlines_.clear();
  Arrivals_.clear();
  for (auto &[Rank, Queue] : Ranks_) {
    Queue.Use_.clear();
    Queue.Length_.clear();
    for (auto &[Team, Entries] : Queue.Teams_)
      Entries.Items_.clear();
  }
}

void FairQueue::link(TeamQueue &Queue) {
  if (Queue.Items_.empty())
    return;
  Queue.Rank_->Use_.insert(Queue);
  Queue.Rank_->Length_.insert(Queue);
}

void FairQueue::unlink(TeamQueue &Queue) {
  if (Queue.Items_.empty())
    return;
  Queue.Rank_->Use_.erase(Queue.Rank_->Use_.iterator_to(Queue));
  Queue.Rank_->Length_.erase(Queue.Rank_->Length_.iterator_to(Queue));
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
  Waiting_ += Rank.Size_++ == 0 ? 1 : 0;
  Protected_ += Entry.Protected_ ? 1 : 0;
}

void FairQueue::detach(Item &Entry) {
  TeamQueue &Queue = *Entry.Queue_;
  unlink(Queue);
  Queue.Items_.erase(Queue.Items_.iterator_to(Entry));
  link(Queue);
  Deadlines_.erase(Deadlines_.iterator_to(Entry));
  Arrivals_.erase(Arrivals_.iterator_to(Entry));
  Waiting_ -= --Queue.Rank_->Size_ == 0 ? 1 : 0;
  Protected_ -= Entry.Entry_.Protected_ ? 1 : 0;
}

FairQueue::Taken FairQueue::pop(TimePoint Now, bool LowestRank) {
  const auto Holds = [](const auto &Rank) { return Rank.second.Size_ != 0; };
  RankQueue &Rank = LowestRank ? std::find_if(Ranks_.begin(), Ranks_.end(), Holds)->second
                               : std::find_if(Ranks_.rbegin(), Ranks_.rend(), Holds)->second;
  TeamQueue &Queue = *Rank.Use_.begin();
  Item &First = *Queue.Items_.begin();
  const double Unit = useUnit(Now);
  detach(First);
  unlink(Queue);
  Queue.Use_ += Unit;
  link(Queue);
  Taken Result{std::move(First.Entry_), First.Arrival_};
  Items_.erase(Result.Entry_.Id_);
  return Result;
}

QueueEntry FairQueue::popLeastImportant() {
  for (auto &[Number, Rank] : Ranks_) {
    if (Rank.Size_ == 0)
      continue;
    Item &Last = *Rank.Length_.rbegin()->Items_.rbegin();
    detach(Last);
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
  detach(Found->second);
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
  const std::size_t Mine = Queue == Own->second.Teams_.end() ? 0 : Queue->second.Items_.size();
  return Result + std::min(Own->second.Size_, (Mine + 1) * Own->second.Use_.size());
}

std::vector<CallId>
FairQueue::match(const std::function<bool(const QueueEntry &)> &Predicate) const {
  std::vector<CallId> Result;
  for (const Item &Entry : Arrivals_)
    if (Predicate(Entry.Entry_))
      Result.push_back(Entry.Entry_.Id_);
  return Result;
}

double FairQueue::useUnit(TimePoint Now) {
  const double Exponent = std::chrono::duration<double>(Now - UseEpoch_).count() / UseWindowSeconds;
  const double Unit = std::exp(std::min(Exponent, 2.0 * MaxUnitExponent));
  if (Exponent < MaxUnitExponent)
    return Unit;
  UseEpoch_ = Now;
  forgetIdleTeams(Unit);
  return 1.0;
}

void FairQueue::forgetIdleTeams(double Unit) {
  for (auto &[Number, Rank] : Ranks_) {
    for (auto Team = Rank.Teams_.begin(); Team != Rank.Teams_.end();) {
      // Division by a common factor keeps the order, so the sets stay valid.
      Team->second.Use_ /= Unit;
      const bool Idle = Team->second.Items_.empty() && Team->second.Use_ < NegligibleUse;
      Team = Idle ? Rank.Teams_.erase(Team) : std::next(Team);
    }
  }
}

} // namespace bronzestand
