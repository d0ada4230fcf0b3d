#include "node/answer_budget.h"

#include <algorithm>
#include <tuple>

namespace bronzestand::node {

void AnswerBudget::set(IncomingAnswer &Item, std::size_t Held, std::size_t Reserved) {
  Bytes_ -= Item.bytes();
  Reserved_ -= Item.Reserved_;
  Item.Held_ = Held;
  Item.Reserved_ = Reserved;
  Bytes_ += Item.bytes();
  Reserved_ += Reserved;
}

void AnswerBudget::update(IncomingAnswer &Item, std::size_t Bytes, bool HasLength) {
  if (!Item.Known_.is_linked())
    Known_.push_back(Item);
  Item.ProgressAt_ = Clock::now();
  Item.HasLength_ = HasLength;
  set(Item, Bytes, Item.Reserved_);
  while (Bytes_ > MaxBytes_) {
    const auto Largest = std::max_element(Known_.begin(), Known_.end(),
                                          [](const IncomingAnswer &A, const IncomingAnswer &B) {
                                            return std::make_tuple(!A.HasLength_, A.bytes()) <
                                                   std::make_tuple(!B.HasLength_, B.bytes());
                                          });
    giveUp(*Largest);
  }
}

void AnswerBudget::giveUp(IncomingAnswer &Item) {
  ++GivenUp_;
  remove(Item);
  Item.giveUp();
}

// A single answer always has room, whatever the bound is.
bool AnswerBudget::fits(std::size_t Whole) const {
  const std::size_t Used = used();
  if (Used == 0 || Used + Whole <= largeBytes(MaxBytes_))
    return true;
  return Reserved_ == 0 && Used + Whole <= MaxBytes_ && Outlet_.IsBlocked_ && Outlet_.IsBlocked_();
}

std::size_t AnswerBudget::used() const {
  return Reserved_ + (Outlet_.Bytes_ ? Outlet_.Bytes_() : 0);
}

bool AnswerBudget::reserve(IncomingAnswer &Item, std::size_t Whole) {
  if (Whole <= SmallBytes || Item.Reserved_ != 0)
    return true;
  const auto Now = Clock::now();
  if (Waiting_.empty() && fits(Whole)) {
    set(Item, Item.Held_, Whole);
    Item.ReservedAt_ = Now;
    return true;
  }
  ++Paused_;
  Item.Wanted_ = Whole;
  Item.WaitsSince_ = Now;
  Waiting_.push_back(Item);
  schedule();
  return false;
}

void AnswerBudget::remove(IncomingAnswer &Item) {
  Item.Waiting_.unlink();
  if (!Item.Known_.is_linked())
    return;
  Item.Known_.unlink();
  set(Item, 0, 0);
}

void AnswerBudget::schedule() {
  if (std::exchange(Scheduled_, true))
    return;
  Timer_.expires_after(WakeInterval);
  Timer_.async_wait([Self = weak_from_this()](const boost::system::error_code &Failure) {
    const auto Alive = Self.lock();
    if (Failure || !Alive)
      return;
    Alive->Scheduled_ = false;
    Alive->wake(Clock::now());
    if (!Alive->Waiting_.empty())
      Alive->schedule();
  });
}

void AnswerBudget::wake(Clock::time_point Now) {
  while (!Waiting_.empty() && fits(Waiting_.front().Wanted_)) {
    IncomingAnswer &First = Waiting_.front();
    Waiting_.pop_front();
    set(First, First.Held_, First.Wanted_);
    First.ReservedAt_ = First.ProgressAt_ = Now;
    First.onRoom();
  }
  if (!Waiting_.empty() && Now - Waiting_.front().WaitsSince_ >= GiveUpAfter &&
      !giveUpEndless(Now) && Outlet_.CloseUnread_)
    Outlet_.CloseUnread_(used() + Waiting_.front().Wanted_ > MaxBytes_);
}

/// Gives up the largest answer that has room and either does not end or has stopped.
bool AnswerBudget::giveUpEndless(Clock::time_point Now) {
  const auto Latest = Now - GiveUpAfter;
  IncomingAnswer *Found = nullptr;
  for (IncomingAnswer &Item : Known_) {
    const bool Stopped = Item.ProgressAt_ <= Latest;
    const bool Endless = !Item.HasLength_ && Item.ReservedAt_ <= Latest;
    if (Item.Reserved_ != 0 && (Stopped || Endless) &&
        (Found == nullptr || Found->bytes() < Item.bytes()))
      Found = &Item;
  }
  if (Found != nullptr)
    giveUp(*Found);
  return Found != nullptr;
}

} // namespace bronzestand::node
