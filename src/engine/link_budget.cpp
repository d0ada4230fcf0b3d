#include "bronzestand/link_budget.h"

#include <algorithm>

namespace bronzestand {
namespace {

constexpr double BytesPerMbit = 1e6 / 8.0;
/// The bucket holds half a second of the share, which limits queueing on the link to that time.
constexpr double CapacitySeconds = 0.5;
/// Fraction of the bucket that calls of the lowest class rank can't use.
constexpr double MaxReserve = 0.5;

constexpr std::array<std::string_view, 3> TrafficNames{"call", "answer", "control"};

} // namespace

std::string_view linkTrafficName(LinkTraffic Kind) {
  return TrafficNames[static_cast<std::size_t>(Kind)];
}

void LinkBudget::setShare(TimePoint Now, double Mbit, std::size_t LiveNodes) {
  refill(Now);
  BytesPerSecond_ = Mbit * BytesPerMbit / static_cast<double>(std::max<std::size_t>(LiveNodes, 1));
  Capacity_ = BytesPerSecond_ * CapacitySeconds;
  // The bucket of a restarted node is empty, so that restarts don't add to the rate of the link.
  Tokens_ = std::min(Tokens_, Capacity_);
}

void LinkBudget::setRanks(std::uint8_t Lowest, std::uint8_t Highest) {
  LowestRank_ = Lowest;
  HighestRank_ = std::max(Lowest, Highest);
}

void LinkBudget::refill(TimePoint Now) {
  const double Seconds = std::chrono::duration<double>(Now - Refilled_).count();
  if (Started_ && Seconds > 0.0)
    Tokens_ = std::min(Capacity_, Tokens_ + Seconds * BytesPerSecond_);
  if (!Started_ || Seconds > 0.0)
    Refilled_ = Now;
  Started_ = true;
}

double LinkBudget::reserveFor(std::uint8_t Rank) const {
  if (Rank >= HighestRank_)
    return 0.0;
  const double RanksBelowHighest = HighestRank_ - std::max(Rank, LowestRank_);
  return Capacity_ * MaxReserve * RanksBelowHighest / (HighestRank_ - LowestRank_);
}

void LinkBudget::deduct(LinkTraffic Kind, std::size_t Bytes) {
  Tokens_ -= static_cast<double>(Bytes);
  LinkCounter &Counter = Counters_[static_cast<std::size_t>(Kind)];
  Counter.Bytes_ += Bytes;
  ++Counter.Messages_;
}

bool LinkBudget::trySend(TimePoint Now, std::uint8_t Rank, std::size_t Bytes) {
  refill(Now);
  const double Reserve = reserveFor(Rank);
  const double Needed = std::min(static_cast<double>(Bytes), Capacity_ - Reserve);
  if (Capacity_ <= 0.0 || Tokens_ - Needed < Reserve) {
    LinkCounter &Counter = Counters_[static_cast<std::size_t>(LinkTraffic::Call)];
    Counter.RefusedBytes_ += Bytes;
    ++Counter.RefusedMessages_;
    return false;
  }
  deduct(LinkTraffic::Call, Bytes);
  return true;
}

void LinkBudget::send(TimePoint Now, LinkTraffic Kind, std::size_t Bytes) {
  refill(Now);
  deduct(Kind, Bytes);
}

} // namespace bronzestand
