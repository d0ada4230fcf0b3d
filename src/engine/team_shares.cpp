#include "bronzestand/team_shares.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace bronzestand {
namespace {

double seconds(Duration Time) { return std::chrono::duration<double>(Time).count(); }

Duration fromSeconds(double Time) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Time));
}

/// Time constant of the average demand.
constexpr double DemandWindowSeconds = 1.0;
/// A batch covers the demand of BatchSeconds. The next one is fetched when the tokens left cover
/// less than PrefetchSeconds, which is several round trips between regions.
constexpr double BatchSeconds = 0.3;
constexpr double PrefetchSeconds = 0.12;
/// With a lower demand, in requests per second, a node fetches tokens only when it needs them.
constexpr double MinPrefetchRate = 2.0;
/// Unused tokens expire after this time, so that they don't add up over idle nodes.
constexpr Duration BatchLifetime = std::chrono::seconds(1);
/// After this time without an answer, a node sends a new request.
constexpr Duration RequestTimeout = std::chrono::milliseconds(250);
/// Requests that a bucket holds beyond the burst, to make up for batches that expire unused. The
/// tolerance of a limit is about 20 requests and a quarter of the rate in any window.
constexpr double SlackRequests = 5.0;
/// Bounds of Grant::EmptyFor_.
constexpr Duration MinEmptyTime = std::chrono::milliseconds(100);
constexpr double MaxEmptySeconds = 0.5;
/// Bounds of retryAfter().
constexpr Duration MinRetryAfter = std::chrono::milliseconds(250);
constexpr Duration MaxRetryAfter = std::chrono::seconds(2);
/// Callers that are refused while this node starts are spread over this time.
constexpr double StartSpreadSeconds = 1.0;

ShareLoans::Shard shardOf(const TeamId &Name) {
  return static_cast<ShareLoans::Shard>(XXH3_64bits(Name.str().data(), Name.str().size()) %
                                        ShareLoans::ShardCount);
}

} // namespace

TeamShares::TeamShares(HostId Self, TimePoint Started, std::uint64_t Seed)
    : Loans_(std::move(Self), Started), Random_(Seed) {}

TeamShares::Team *TeamShares::find(const TeamId &Name) {
  const auto Found = Teams_.find(Name);
  return Found == Teams_.end() ? nullptr : &Found->second;
}

TeamShares::Team &TeamShares::add(const TeamId &Name, const Limit &Value) {
  Team &Item = Teams_[Name];
  Item.Shard_ = shardOf(Name);
  Item.Limit_ = Value;
  Item.Bucket_ = {0.0, Loans_.integral(Item.Shard_)};
  return Item;
}

void TeamShares::setLimits(TimePoint Now, const std::map<TeamId, Limit> &Limits) {
  advanceAll(Now);
  for (auto Item = Teams_.begin(); Item != Teams_.end();)
    Item = Limits.count(Item->first) == 0 ? Teams_.erase(Item) : std::next(Item);
  for (const auto &[Name, Value] : Limits) {
    Team *Item = find(Name);
    if (Item == nullptr) {
      add(Name, Value).DemandUpdated_ = Now;
      continue;
    }
    refill(*Item);
    Item->Limit_ = Value;
    Item->Provisional_ = false;
    Item->EmptyUntil_ = TimePoint();
    refill(*Item);
  }
}

double TeamShares::demandOf(TimePoint Now, const Team &Item) {
  return Item.Demand_ * std::exp(-seconds(Now - Item.DemandUpdated_) / DemandWindowSeconds);
}

std::uint32_t TeamShares::fetchedTokens(TimePoint Now, Team &Item) {
  Item.Batches_.erase(Item.Batches_.begin(), Item.Batches_.upper_bound(Now));
  std::uint32_t Count = 0;
  for (const auto &[Expires, Tokens] : Item.Batches_)
    Count += Tokens;
  return Count;
}

bool TeamShares::takeFetched(TimePoint Now, Team &Item, Token *Taken) {
  if (fetchedTokens(Now, Item) == 0)
    return false;
  const auto Oldest = Item.Batches_.begin();
  if (Taken != nullptr)
    Taken->Expires_ = Oldest->first;
  if (--Oldest->second == 0)
    Item.Batches_.erase(Oldest);
  return true;
}

double TeamShares::capacity(const Team &Item) const {
  return (Item.Limit_.Burst_ + SlackRequests) * Loans_.fraction(Item.Shard_);
}

void TeamShares::refill(Team &Item) const {
  const double Integral = Loans_.integral(Item.Shard_);
  Item.Bucket_.Tokens_ =
      std::min(capacity(Item),
               Item.Bucket_.Tokens_ + (Integral - Item.Bucket_.Integral_) * Item.Limit_.Rate_);
  Item.Bucket_.Integral_ = Integral;
}

void TeamShares::refillShard(ShareLoans::Shard Item) {
  for (auto &[Name, Value] : Teams_)
    if (Value.Shard_ == Item)
      refill(Value);
}

void TeamShares::advance(TimePoint Now, ShareLoans::Shard Item) {
  while (Loans_.advance(Now, Item))
    refillShard(Item);
}

// Tokens beyond the remaining fraction of the capacity belong to a share that this node has lost.
void TeamShares::dropExcess(ShareLoans::Shard Item, double FractionBefore) {
  if (Loans_.fraction(Item) < FractionBefore)
    refillShard(Item);
}

void TeamShares::advanceAll(TimePoint Now) {
  for (ShareLoans::Shard Item = 0; Item < ShareLoans::ShardCount; ++Item)
    advance(Now, Item);
}

std::vector<std::pair<HostId, ShareLoans::Answer>> TeamShares::leave(TimePoint Now) {
  advanceAll(Now);
  auto Out = Loans_.leave(Now);
  advanceAll(Now);
  return Out;
}

std::vector<ShareLoans::Outgoing> TeamShares::tick(TimePoint Now) {
  advanceAll(Now);
  std::array<double, ShareLoans::ShardCount> Before{};
  for (ShareLoans::Shard Item = 0; Item < ShareLoans::ShardCount; ++Item)
    Before[Item] = Loans_.fraction(Item);
  std::vector<ShareLoans::Outgoing> Out = Loans_.tick(Now);
  for (ShareLoans::Shard Item = 0; Item < ShareLoans::ShardCount; ++Item)
    dropExcess(Item, Before[Item]);
  return Out;
}

ShareLoans::Answer TeamShares::offered(TimePoint Now, const HostId &From,
                                       const ShareLoans::Offer &Value) {
  advance(Now, Value.Shard_);
  const double Before = Loans_.fraction(Value.Shard_);
  const ShareLoans::Answer Result = Loans_.offered(Now, From, Value);
  dropExcess(Value.Shard_, Before);
  return Result;
}

std::vector<ShareLoans::Outgoing> TeamShares::answered(TimePoint Now, const HostId &From,
                                                       const ShareLoans::Answer &Value) {
  advance(Now, Value.Shard_);
  const double Before = Loans_.fraction(Value.Shard_);
  std::vector<ShareLoans::Outgoing> Out = Loans_.answered(Now, From, Value);
  dropExcess(Value.Shard_, Before);
  return Out;
}

void TeamShares::messagesLost(const HostId &Host) {
  for (auto &[Name, Item] : Teams_)
    if (Loans_.broker(Item.Shard_) == Host)
      Item.RequestedAt_.reset();
}

double TeamShares::rateFraction(const TeamId &Name) const { return Loans_.fraction(shardOf(Name)); }

const HostId &TeamShares::brokerOf(const TeamId &Name) const {
  return Loans_.broker(shardOf(Name));
}

TeamShares::Decision TeamShares::admit(TimePoint Now, const TeamId &Name, Token *Taken) {
  Team *Item = find(Name);
  if (Item == nullptr || Item->Limit_.Rate_ <= 0.0)
    return Decision::Admitted;
  Item->Demand_ = demandOf(Now, *Item) + 1.0 / DemandWindowSeconds;
  Item->DemandUpdated_ = Now;
  if (takeFetched(Now, *Item, Taken))
    return Decision::Admitted;
  if (Now < Item->EmptyUntil_)
    return Decision::Refused;
  ++Item->Held_;
  return Decision::Held;
}

TeamShares::Decision TeamShares::decide(TimePoint Now, const TeamId &Name, Token *Taken) {
  Team *Item = find(Name);
  if (Item == nullptr)
    return Decision::Admitted;
  const bool Admitted = takeFetched(Now, *Item, Taken);
  if (!Admitted && Now >= Item->EmptyUntil_)
    return Decision::Held;
  Item->Held_ -= Item->Held_ == 0 ? 0 : 1;
  return Admitted ? Decision::Admitted : Decision::Refused;
}

TeamShares::Decision TeamShares::decideWithoutBroker(TimePoint Now, const TeamId &Name,
                                                     Token *Taken) {
  Team *Item = find(Name);
  if (Item == nullptr)
    return Decision::Admitted;
  Item->Held_ -= Item->Held_ == 0 ? 0 : 1;
  if (takeTokens(Now, *Item, 1) == 0)
    return Decision::Refused;
  if (Taken != nullptr)
    Taken->Expires_ = Now + BatchLifetime;
  return Decision::Admitted;
}

// The expiry stays that of the first use, so that the bound of the class holds.
void TeamShares::returned(TimePoint Now, const TeamId &Name, const Token &Unused) {
  Team *Item = find(Name);
  if (Item != nullptr && Item->Limit_.Rate_ > 0.0 && Unused.Expires_ > Now)
    ++Item->Batches_[Unused.Expires_];
}

Duration TeamShares::retryAfter(TimePoint Now, const TeamId &Name) {
  const Duration Start = Loans_.startsIn(Now);
  if (Start > Duration::zero())
    return Start +
           fromSeconds(std::uniform_real_distribution<double>(0.0, StartSpreadSeconds)(Random_));
  const Team *Item = find(Name);
  const Duration Empty =
      Item != nullptr && Item->EmptyUntil_ > Now ? Item->EmptyUntil_ - Now : Duration::zero();
  return std::clamp(Empty * 2, MinRetryAfter, MaxRetryAfter);
}

std::optional<TeamShares::TokenRequest> TeamShares::nextRequest(TimePoint Now, const TeamId &Name) {
  Team *Item = find(Name);
  if (Item == nullptr || Item->Limit_.Rate_ <= 0.0 || Now < Item->EmptyUntil_ ||
      Loans_.broker(Item->Shard_).empty())
    return std::nullopt;
  if (Item->RequestedAt_ && Now - *Item->RequestedAt_ < RequestTimeout)
    return std::nullopt;
  const double Demand = demandOf(Now, *Item);
  const bool Prefetch =
      Demand >= MinPrefetchRate && fetchedTokens(Now, *Item) < Demand * PrefetchSeconds;
  if (Item->Held_ == 0 && !Prefetch)
    return std::nullopt;
  Item->RequestedAt_ = Now;
  const double Count =
      std::ceil(Item->Held_ + (Demand >= MinPrefetchRate ? Demand * BatchSeconds : 0.0));
  return TokenRequest{Loans_.broker(Item->Shard_), Name,
                      std::max(1U, static_cast<std::uint32_t>(Count)), Now,
                      Item->SendLimit_ ? std::optional<Limit>(Item->Limit_) : std::nullopt};
}

std::uint32_t TeamShares::takeTokens(TimePoint Now, Team &Item, std::uint32_t Count) {
  advance(Now, Item.Shard_);
  refill(Item);
  double &Tokens = Item.Bucket_.Tokens_;
  std::uint32_t Granted = std::min(Count, static_cast<std::uint32_t>(Tokens));
  Tokens -= Granted;
  // A bucket for less than one token never fills up to a whole one.
  if (Granted == 0 && Count != 0 && capacity(Item) < 1.0) {
    Granted = std::uniform_real_distribution<double>()(Random_) < Tokens ? 1 : 0;
    Tokens = 0.0;
  }
  return Granted;
}

TeamShares::Grant TeamShares::serve(TimePoint Now, const TokenRequest &Request) {
  Team *Item = find(Request.Team_);
  if ((Item == nullptr || Item->Limit_.Rate_ <= 0.0) && Request.Limit_) {
    advanceAll(Now);
    Item = &add(Request.Team_, *Request.Limit_);
    Item->Provisional_ = true;
  }
  if (Item == nullptr || Item->Limit_.Rate_ <= 0.0)
    return {Request.Team_, 0, Request.SentAt_, Duration::zero(), true};
  if (Item->Provisional_ && Request.Limit_)
    Item->Limit_ = *Request.Limit_;
  const std::uint32_t Granted = takeTokens(Now, *Item, Request.Count_);
  if (Granted == Request.Count_)
    return {Request.Team_, Granted, Request.SentAt_, Duration::zero(), false};
  const double Missing = Request.Count_ - Granted - Item->Bucket_.Tokens_;
  const double Rate = Item->Limit_.Rate_ * Loans_.fraction(Item->Shard_);
  // Loans to a new broker arrive soon.
  const Duration EmptyFor =
      Rate > 0.0 ? fromSeconds(std::min(Missing / Rate, MaxEmptySeconds)) : Loans_.startsIn(Now);
  return {Request.Team_, Granted, Request.SentAt_, std::max(EmptyFor, MinEmptyTime), false};
}

void TeamShares::granted(TimePoint Now, const Grant &Value) {
  Team *Item = find(Value.Team_);
  if (Item == nullptr)
    return;
  if (Item->RequestedAt_ == Value.SentAt_)
    Item->RequestedAt_.reset();
  Item->SendLimit_ = Value.Unlimited_;
  const TimePoint Expires = Value.SentAt_ + BatchLifetime;
  if (Value.Count_ != 0 && Value.SentAt_ <= Now && Expires > Now)
    Item->Batches_[Expires] += Value.Count_;
  Item->EmptyUntil_ = Value.EmptyFor_ > Duration::zero() ? Now + Value.EmptyFor_ : TimePoint();
}

} // namespace bronzestand
