#include "bronzestand/team_shares.h"

#include <algorithm>
#include <cmath>

#include "bronzestand/rendezvous.h"

namespace bronzestand {
namespace {

double seconds(Duration Time) { return std::chrono::duration<double>(Time).count(); }

Duration fromSeconds(double Time) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Time));
}

/// Window over which arrivals are averaged.
constexpr double DemandWindowS = 1.0;
/// A batch covers the demand of this time, and the next is fetched when this much is left; the
/// second is several round trips between regions.
constexpr double BatchS = 0.3;
constexpr double AheadS = 0.12;
/// A node with less demand fetches tokens one by one, when it needs them.
constexpr double MinAheadRate = 2.0;
/// Fetched tokens that are not used lapse, so that they don't add up over idle nodes.
constexpr Duration BatchLife = std::chrono::milliseconds(1500);
/// An answer of the broker that takes longer is lost.
constexpr Duration AskTimeout = std::chrono::milliseconds(250);
/// Requests beyond the burst that a bucket holds, for batches that lapse unused. The limits
/// tolerate some 20 requests and a quarter of the rate in a window.
constexpr double SlackRequests = 5.0;
/// Part of the equal share that a node admits alone; two groups of nodes that can't reach each
/// other stay within the tolerance together.
constexpr double AloneShare = 0.3;
/// A broker that reaches nobody still gives this part of the rate to its own callers.
constexpr double MinReachable = 0.2;
/// Part of the bucket that a new broker starts with.
constexpr double StartShare = 0.4;
/// A broker that was not asked for this long may have been replaced meanwhile, and starts anew.
constexpr Duration BrokerIdle = std::chrono::seconds(2);
constexpr Duration MinDry = std::chrono::milliseconds(100);
constexpr Duration MaxDry = std::chrono::milliseconds(500);
constexpr Duration MinRetryAfter = std::chrono::milliseconds(250);
constexpr Duration MaxRetryAfter = std::chrono::seconds(2);

} // namespace

void TeamShares::Bucket::refill(TimePoint Now, double Rate, double Capacity) {
  const double Time = std::max(0.0, seconds(Now - Filled_));
  Tokens_ = std::min(Capacity, Tokens_ + Time * Rate);
  Filled_ = Now;
}

bool TeamShares::Bucket::take() {
  if (Tokens_ < 1.0)
    return false;
  Tokens_ -= 1.0;
  return true;
}

void TeamShares::setHosts(std::vector<HostId> Hosts, const std::set<HostId> &Down) {
  Hosts_ = std::move(Hosts);
  Brokers_.clear();
  for (const HostId &Host : Hosts_)
    if (Down.count(Host) == 0 || Host == Self_)
      Brokers_.push_back(Host);
  Reachable_ = Hosts_.empty()
                   ? 1.0
                   : static_cast<double>(Brokers_.size()) / static_cast<double>(Hosts_.size());
}

void TeamShares::setLimits(TimePoint Now, const std::map<TeamId, Limit> &Limits) {
  for (auto Item = Teams_.begin(); Item != Teams_.end();)
    Item = Limits.count(Item->first) == 0 ? Teams_.erase(Item) : std::next(Item);
  for (const auto &[Name, Value] : Limits) {
    const bool Known = Teams_.count(Name) != 0;
    Team &Item = Teams_[Name];
    if (Known)
      Item.Broker_.refill(Now, Item.Limit_.Rate_, brokerCapacity(Item));
    Item.Limit_ = Value;
    const double Capacity = brokerCapacity(Item);
    if (!Known) {
      Item.Measured_ = Item.Fetched_ = Now;
      Item.Reserve_ = {1.0, Now};
      Item.Broker_ = {StartShare * Capacity, Now};
    }
    Item.Broker_.Tokens_ = std::min(Item.Broker_.Tokens_, Capacity);
    Item.DryUntil_ = TimePoint();
  }
}

TeamShares::Team *TeamShares::find(const TeamId &Name) {
  const auto Found = Teams_.find(Name);
  return Found == Teams_.end() ? nullptr : &Found->second;
}

double TeamShares::demandOf(TimePoint Now, const Team &Item) {
  return Item.Demand_ * std::exp(-seconds(Now - Item.Measured_) / DemandWindowS);
}

double TeamShares::brokerCapacity(const Team &Item) const {
  return (Item.Limit_.Burst_ + SlackRequests) * std::max(MinReachable, Reachable_);
}

TeamShares::Verdict TeamShares::admit(TimePoint Now, const TeamId &Name) {
  Team *Item = find(Name);
  if (Item == nullptr || Item->Limit_.Rate_ <= 0.0)
    return Verdict::Admitted;
  Item->Demand_ = demandOf(Now, *Item) + 1.0 / DemandWindowS;
  Item->Measured_ = Now;
  if (Now - Item->Fetched_ > BatchLife)
    Item->Tokens_ = 0.0;
  if (Item->Tokens_ >= 1.0) {
    Item->Tokens_ -= 1.0;
    return Verdict::Admitted;
  }
  if (Now < Item->DryUntil_)
    return Verdict::Refused;
  ++Item->Held_;
  return Verdict::Held;
}

TeamShares::Verdict TeamShares::decide(TimePoint Now, const TeamId &Name) {
  Team *Item = find(Name);
  if (Item == nullptr)
    return Verdict::Admitted;
  if (Item->Tokens_ < 1.0 && Now >= Item->DryUntil_)
    return Verdict::Held;
  Item->Held_ -= Item->Held_ == 0 ? 0 : 1;
  if (Item->Tokens_ < 1.0)
    return Verdict::Refused;
  Item->Tokens_ -= 1.0;
  return Verdict::Admitted;
}

TeamShares::Verdict TeamShares::decideAlone(TimePoint Now, const TeamId &Name) {
  Team *Item = find(Name);
  if (Item == nullptr)
    return Verdict::Admitted;
  Item->Held_ -= Item->Held_ == 0 ? 0 : 1;
  const auto Nodes = static_cast<double>(std::max<std::size_t>(1, Hosts_.size()));
  const double Share = AloneShare / Nodes;
  Item->Reserve_.refill(Now, Item->Limit_.Rate_ * Share,
                        std::max(1.0, (Item->Limit_.Burst_ + Item->Limit_.Rate_) * Share));
  return Item->Reserve_.take() ? Verdict::Admitted : Verdict::Refused;
}

Duration TeamShares::retryAfter(TimePoint Now, const TeamId &Name) const {
  const auto Found = Teams_.find(Name);
  if (Found == Teams_.end())
    return MinRetryAfter;
  const Team &Item = Found->second;
  const Duration Dry = Item.DryUntil_ > Now ? Item.DryUntil_ - Now : Duration::zero();
  return std::clamp(Dry * 2, MinRetryAfter, MaxRetryAfter);
}

std::optional<TeamShares::Ask> TeamShares::nextAsk(TimePoint Now, const TeamId &Name) {
  Team *Item = find(Name);
  if (Item == nullptr || Item->Limit_.Rate_ <= 0.0 || Brokers_.empty() || Now < Item->DryUntil_)
    return std::nullopt;
  if (Item->AskedAt_ && Now - *Item->AskedAt_ < AskTimeout)
    return std::nullopt;
  const double Demand = demandOf(Now, *Item);
  const bool Ahead = Demand >= MinAheadRate && Item->Tokens_ < Demand * AheadS;
  if (Item->Held_ == 0 && !Ahead)
    return std::nullopt;
  Item->AskedAt_ = Now;
  const double Count = std::ceil(Item->Held_ + (Demand >= MinAheadRate ? Demand * BatchS : 0.0));
  return Ask{topHosts("limit/" + Name.str(), Brokers_, 1).front(), Name,
             std::max(1U, static_cast<std::uint32_t>(Count))};
}

TeamShares::Grant TeamShares::serve(TimePoint Now, const TeamId &Name, std::uint32_t Count) {
  Team *Item = find(Name);
  // A team that is not known here yet is in a configuration that is on its way.
  if (Item == nullptr || Item->Limit_.Rate_ <= 0.0)
    return {Name, Count, Duration::zero()};
  const double Rate = Item->Limit_.Rate_ * std::max(MinReachable, Reachable_);
  const double Capacity = brokerCapacity(*Item);
  const bool Idle = Now - Item->Broker_.Filled_ > BrokerIdle;
  Item->Broker_.refill(Now, Rate, Idle ? StartShare * Capacity : Capacity);
  const auto Whole = static_cast<std::uint32_t>(std::max(0.0, Item->Broker_.Tokens_));
  const std::uint32_t Given = std::min(Count, Whole);
  Item->Broker_.Tokens_ -= Given;
  if (Given == Count)
    return {Name, Given, Duration::zero()};
  const double Missing = Count - Given - Item->Broker_.Tokens_;
  return {Name, Given, std::clamp(fromSeconds(Missing / Rate), MinDry, MaxDry)};
}

void TeamShares::granted(TimePoint Now, const Grant &Value) {
  Team *Item = find(Value.Team_);
  if (Item == nullptr)
    return;
  Item->AskedAt_.reset();
  Item->Tokens_ += Value.Count_;
  Item->Fetched_ = Now;
  Item->DryUntil_ = Value.DryFor_ > Duration::zero() ? Now + Value.DryFor_ : TimePoint();
}

} // namespace bronzestand
