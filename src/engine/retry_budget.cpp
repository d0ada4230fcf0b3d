#include "bronzestand/retry_budget.h"

#include <algorithm>
#include <utility>

namespace bronzestand {
namespace {

/// Part of the budget that a service without calls of its own gets; the rest is shared by the
/// services above it in a chain.
constexpr double LeafPart = 0.5;
constexpr double InnerPart = (1.0 - LeafPart) / (RetryBudget::MaxDepth - 1) * 0.9;
/// A node can always repeat one request, and keeps what it has earned over some hundred requests.
constexpr double MinCapacity = 1.0;
constexpr double EarnedCapacity = 4.0;
/// Part of the bucket that only urgent requests may use.
constexpr double UrgentShare = 0.5;

} // namespace

void RetryBudget::setNodes(std::size_t Count) { Nodes_ = std::max<std::size_t>(1, Count); }

double RetryBudget::part(const Bucket &Item) const { return Item.Leaf_ ? LeafPart : InnerPart; }

double RetryBudget::capacity(const Bucket &Item) const {
  const double Share = Settings_.FleetAllowance_ * part(Item) / static_cast<double>(Nodes_);
  return std::clamp(Share, MinCapacity, EarnedCapacity);
}

RetryBudget::Bucket &RetryBudget::bucketOf(const ServiceId &Service) { return Buckets_[Service]; }

void RetryBudget::noteCalls(const ServiceId &Service, bool MakesCalls) {
  Bucket &Item = bucketOf(Service);
  // The allowance is for the last services of a chain, because a repeat above makes several there.
  if (!MakesCalls && !std::exchange(Item.Given_, true))
    Item.Tokens_ +=
        std::min(MinCapacity, Settings_.FleetAllowance_ * LeafPart / static_cast<double>(Nodes_));
  Item.Leaf_ = !MakesCalls;
}

void RetryBudget::noteFirst(const ServiceId &Service) {
  Bucket &Item = bucketOf(Service);
  Item.Tokens_ = std::min(capacity(Item), Item.Tokens_ + Settings_.Ratio_ * part(Item));
}

bool RetryBudget::take(const ServiceId &Service, bool Urgent) {
  Bucket &Item = bucketOf(Service);
  const double Kept = Urgent ? 0.0 : UrgentShare * (capacity(Item) - MinCapacity);
  if (Item.Tokens_ < 1.0 + Kept)
    return false;
  Item.Tokens_ -= 1.0;
  return true;
}

} // namespace bronzestand
