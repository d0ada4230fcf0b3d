#include "bronzestand/share_loans.h"

#include <string>

#include "bronzestand/rendezvous.h"

namespace bronzestand {
namespace {

/// A loan is offered again after this time, at the next call of tick().
constexpr Duration OfferInterval = std::chrono::milliseconds(150);
/// Term of a loan: two offers and the round trips between regions. A restarted node waits for it.
constexpr Duration LoanTerm = std::chrono::milliseconds(500);
/// Term on the lender's clock, which may run 5 % faster than the broker's.
constexpr Duration LenderTerm = LoanTerm + LoanTerm / 20;
/// A broker that does not answer for this time is taken to be unreachable.
constexpr Duration SilentTime = std::chrono::milliseconds(500);
/// Longer times between two calls of tick() show that this process was paused.
constexpr Duration MaxTickGap = std::chrono::milliseconds(300);
/// An unreachable host is tried again after this time.
constexpr Duration RetryInterval = std::chrono::seconds(1);

} // namespace

ShareLoans::ShareLoans(HostId Self, TimePoint Started)
    : Self_(std::move(Self)), Started_(Started) {}

void ShareLoans::setHosts(std::vector<HostId> Hosts) {
  if (Hosts == Hosts_)
    return;
  Hosts_ = std::move(Hosts);
  for (Shard Item = 0; Item < ShardCount; ++Item)
    Ranking_[Item] = topHosts("limit-shard/" + std::to_string(Item), Hosts_, Hosts_.size());
}

void ShareLoans::unreachable(TimePoint Now, const HostId &Host) {
  if (Host != Self_)
    Unreachable_[Host] = Now;
}

void ShareLoans::reachable(const HostId &Host) { Unreachable_.erase(Host); }

std::vector<std::pair<HostId, ShareLoans::Answer>> ShareLoans::leave(TimePoint Now) {
  Leaving_ = true;
  std::vector<std::pair<HostId, Answer>> Out;
  for (Shard Item = 0; Item < ShardCount; ++Item) {
    Holding &Held = Holding_[Item];
    for (auto &[Host, Value] : Held.Loans_) {
      if (Host == Self_)
        continue;
      Out.push_back({Host, {Item, TimePoint(), Now, false, false, true}});
      Value.End_ = Held.NextEnd_ = Now;
    }
  }
  return Out;
}

TimePoint ShareLoans::nextStamp(TimePoint Now) {
  LastStamp_ = std::max(Now, LastStamp_ + Duration(1));
  return LastStamp_;
}

const HostId &ShareLoans::bestCandidate(Shard Item) const {
  for (const HostId &Host : Ranking_[Item])
    if (Unreachable_.count(Host) == 0 && !(Leaving_ && Host == Self_))
      return Host;
  return Self_;
}

void ShareLoans::setBroker(Lending &Own, const HostId &Broker) {
  Own.Broker_ = Broker;
  Own.BrokerTime_.reset();
  Own.Probed_ = HostId();
  Own.ProbedSince_.reset();
  Own.UnansweredSince_.reset();
  Own.OfferedAt_ = TimePoint();
}

// A broker that answers stays in use until a better candidate has answered too, so that trying an
// unreachable host again does not interrupt anything.
void ShareLoans::chooseBroker(TimePoint Now, Shard Item) {
  Lending &Own = Lending_[Item];
  if (Own.UnansweredSince_ && Now - *Own.UnansweredSince_ >= SilentTime)
    unreachable(Now, Own.Broker_);
  if (Own.ProbedSince_ && Now - *Own.ProbedSince_ >= SilentTime)
    unreachable(Now, Own.Probed_);
  const HostId &Best = bestCandidate(Item);
  const bool Usable = !Own.Broker_.empty() && Unreachable_.count(Own.Broker_) == 0 &&
                      std::find(Hosts_.begin(), Hosts_.end(), Own.Broker_) != Hosts_.end();
  if (!Usable || Best == Self_) {
    if (Own.Broker_ != Best)
      setBroker(Own, Best);
    return;
  }
  const HostId Probed = Best == Own.Broker_ ? HostId() : Best;
  if (Own.Probed_ != Probed) {
    Own.Probed_ = Probed;
    Own.ProbedSince_.reset();
  }
}

Duration ShareLoans::startsIn(TimePoint Now) const {
  return std::max(Duration::zero(), Started_ + LenderTerm - Now);
}

bool ShareLoans::isOwn(TimePoint Now, const Lending &Own) const {
  if (Own.Holder_.empty()) // an earlier run may have lent it
    return startsIn(Now) == Duration::zero();
  return Own.Holder_ == Self_ || Now >= Own.HeldUntil_;
}

bool ShareLoans::mayLend(TimePoint Now, const Lending &Own) const {
  return Own.BrokerTime_ && Now - Own.BrokerTimeAt_ < LoanTerm &&
         (Own.Holder_ == Own.Broker_ || isOwn(Now, Own));
}

ShareLoans::Offer ShareLoans::makeOffer(TimePoint Now, Shard Item) {
  Lending &Own = Lending_[Item];
  Offer Value{Item, nextStamp(Now), std::nullopt, static_cast<std::uint32_t>(Hosts_.size()), false};
  if (!mayLend(Now, Own))
    return Value;
  drop(Holding_[Item], Self_);
  if (Own.Holder_ != Own.Broker_)
    Own.HeldUntil_ = Own.LentFor_ = TimePoint();
  Own.Holder_ = Own.Broker_;
  Own.HeldUntil_ = std::max(Own.HeldUntil_, Own.BrokerTimeAt_ + LenderTerm);
  Own.LentFor_ = std::max(Own.LentFor_, *Own.BrokerTime_);
  Own.RecalledAt_.reset();
  Value.BrokerTime_ = Own.BrokerTime_;
  return Value;
}

void ShareLoans::keepUnlentShare(TimePoint Now, Shard Item) {
  Lending &Own = Lending_[Item];
  if (!isOwn(Now, Own) || Hosts_.empty())
    return;
  Own.Holder_ = Self_;
  hold(Holding_[Item], Self_, {TimePoint::max(), 1.0 / static_cast<double>(Hosts_.size())});
}

std::vector<ShareLoans::Outgoing> ShareLoans::tick(TimePoint Now) {
  // After a pause of this process, answers may have arrived that are not handled yet.
  if (Now - TickedAt_ >= MaxTickGap)
    for (Lending &Own : Lending_) {
      Own.UnansweredSince_.reset();
      Own.ProbedSince_.reset();
    }
  TickedAt_ = Now;
  for (auto Item = Unreachable_.begin(); Item != Unreachable_.end();)
    Item = Now - Item->second >= RetryInterval ? Unreachable_.erase(Item) : std::next(Item);
  std::vector<Outgoing> Out;
  for (Shard Item = 0; Item < ShardCount && !Hosts_.empty(); ++Item) {
    chooseBroker(Now, Item);
    keepUnlentShare(Now, Item);
    tickShard(Now, Item, Out);
  }
  return Out;
}

void ShareLoans::tickShard(TimePoint Now, Shard Item, std::vector<Outgoing> &Out) {
  Lending &Own = Lending_[Item];
  const bool Unlent = Own.Holder_ == Self_ && Own.Broker_ != Self_ && mayLend(Now, Own);
  if (Now - Own.OfferedAt_ < OfferInterval && !Unlent)
    return;
  Own.OfferedAt_ = Now;
  const auto Hosts = static_cast<std::uint32_t>(Hosts_.size());
  if (Own.Broker_ != Self_) {
    Out.push_back({Own.Broker_, makeOffer(Now, Item)});
    Own.UnansweredSince_ = Own.UnansweredSince_.value_or(Now);
  }
  if (!Own.Probed_.empty()) {
    Out.push_back({Own.Probed_, {Item, nextStamp(Now), std::nullopt, Hosts, false}});
    Own.ProbedSince_ = Own.ProbedSince_.value_or(Now);
  }
  if (Own.Holder_ != Own.Broker_ && !isOwn(Now, Own) && !Own.Holder_.empty()) {
    const TimePoint Stamp = nextStamp(Now);
    Own.RecalledAt_ = Own.RecalledAt_.value_or(Stamp);
    Out.push_back({Own.Holder_, {Item, Stamp, std::nullopt, Hosts, true}});
  }
}

ShareLoans::Answer ShareLoans::offered(TimePoint Now, const HostId &From, const Offer &Value) {
  Holding &Held = Holding_[Value.Shard_];
  auto Last = Held.Recalls_.find(From);
  // An offer from before that recall is void by the broker time in it.
  if (Last != Held.Recalls_.end() && Now - Last->second.At_ > LoanTerm) {
    Held.Recalls_.erase(Last);
    Last = Held.Recalls_.end();
  }
  if (Value.Recalled_) {
    const TimePoint SentAt =
        Last == Held.Recalls_.end() ? Value.SentAt_ : std::max(Value.SentAt_, Last->second.SentAt_);
    Held.Recalls_[From] = {SentAt, Now};
    drop(Held, From);
  } else if (Value.BrokerTime_ && !Leaving_ && *Value.BrokerTime_ >= Started_ &&
             *Value.BrokerTime_ <= Now && Now - *Value.BrokerTime_ < LoanTerm &&
             (Last == Held.Recalls_.end() || Value.SentAt_ > Last->second.SentAt_)) {
    const std::size_t Hosts = std::max<std::size_t>({1, Value.Hosts_, Hosts_.size()});
    hold(Held, From, {*Value.BrokerTime_ + LoanTerm, 1.0 / static_cast<double>(Hosts)});
  }
  return {Value.Shard_, Value.SentAt_, Now, Value.Recalled_, Held.Loans_.count(From) != 0,
          Leaving_};
}

std::vector<ShareLoans::Outgoing> ShareLoans::answered(TimePoint Now, const HostId &From,
                                                       const Answer &Value) {
  const Shard Item = Value.Shard_;
  Lending &Own = Lending_[Item];
  std::vector<Outgoing> Out;
  if (!Value.Leaving_ && Value.SentAt_ < Started_) // to an earlier run
    return Out;
  // A broker that leaves accepts no offer any more, so it holds nothing after this answer. A later
  // run of it accepts no time that an earlier one told.
  const bool Returned =
      Own.Holder_ == From && !Value.Held_ &&
      (Value.Leaving_ ? Value.BrokerTime_ >= Own.LentFor_
                      : Value.Recalled_ && Own.RecalledAt_ && Value.SentAt_ >= *Own.RecalledAt_);
  if (Returned) {
    Own.HeldUntil_ = Now;
    Own.RecalledAt_.reset();
  }
  if (Value.Leaving_) {
    unreachable(Now, From);
    chooseBroker(Now, Item);
    tickShard(Now, Item, Out);
    return Out;
  }
  const bool Better = From == Own.Probed_;
  if (Better)
    setBroker(Own, From);
  if (From == Own.Broker_) {
    Own.UnansweredSince_.reset();
    Own.BrokerTime_ = Value.BrokerTime_;
    Own.BrokerTimeAt_ = Now;
    // A loan of an earlier run goes on. The share is nowhere else.
    if (Value.Held_ && Own.Holder_.empty()) {
      Own.Holder_ = From;
      Own.HeldUntil_ = Now + LenderTerm;
    }
  }
  const bool Unlent = Own.Holder_ != Own.Broker_ || Now >= Own.HeldUntil_;
  if (Better)
    tickShard(Now, Item, Out);
  else if (Own.Broker_ != Self_ && Unlent && mayLend(Now, Own))
    Out.push_back({Own.Broker_, makeOffer(Now, Item)});
  return Out;
}

bool ShareLoans::advance(TimePoint Now, Shard Item) {
  Holding &Held = Holding_[Item];
  const TimePoint Until = std::min(Now, Held.NextEnd_);
  if (Until > Held.Updated_) {
    Held.Integral_ += fraction(Item) * std::chrono::duration<double>(Until - Held.Updated_).count();
    Held.Updated_ = Until;
  }
  if (Held.NextEnd_ > Now)
    return false;
  bool Ended = false;
  Held.Sum_ = 0.0;
  const TimePoint Reached = Held.NextEnd_;
  Held.NextEnd_ = TimePoint::max();
  for (auto Loan = Held.Loans_.begin(); Loan != Held.Loans_.end();) {
    if (Loan->second.End_ <= Reached) {
      Loan = Held.Loans_.erase(Loan);
      Ended = true;
      continue;
    }
    Held.Sum_ += Loan->second.Weight_;
    Held.NextEnd_ = std::min(Held.NextEnd_, Loan->second.End_);
    ++Loan;
  }
  return Ended || Held.NextEnd_ <= Now;
}

void ShareLoans::hold(Holding &Held, const HostId &From, const Loan &Value) {
  Loan &Entry = Held.Loans_[From];
  Held.Sum_ += Value.Weight_ - Entry.Weight_;
  Entry.Weight_ = Value.Weight_;
  Entry.End_ = std::max(Entry.End_, Value.End_);
  Held.NextEnd_ = std::min(Held.NextEnd_, Entry.End_);
}

void ShareLoans::drop(Holding &Held, const HostId &From) {
  const auto Found = Held.Loans_.find(From);
  if (Found == Held.Loans_.end())
    return;
  Held.Sum_ -= Found->second.Weight_;
  Held.Loans_.erase(Found);
}

} // namespace bronzestand
