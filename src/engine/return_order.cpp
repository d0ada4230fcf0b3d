#include "bronzestand/return_order.h"

#include <algorithm>
#include <cmath>

namespace bronzestand {
namespace {

/// Factor on the position of a request for each time that it was refused.
constexpr double ReturnFactor = 0.25;
/// Callers come back at random within this part of the expected time before and after it.
constexpr double SpreadShare = 0.5;
/// A caller that comes back later than this part of its time has too little left to be served.
constexpr double LatestReturnShare = 1.0 / 3;
/// Callers that are refused for lack of room come back in the time in which it becomes free, but
/// not in this first part of it, because they would be refused again, and over at least MinSpreadS,
/// so that those of one moment do not come back at one moment.
constexpr double EarliestReturnShare = 1.0 / 3;
constexpr double MinSpreadS = 0.5;
/// If room for all becomes free only in this multiple of the latest time, hardly any of the callers
/// is admitted before the degradation ends. They come back in the last part of the time then.
constexpr double HopelessFactor = 4.0;
constexpr double LateReturnShare = 0.9;

} // namespace

void ReturnOrder::dropOld(TimePoint Now) {
  while (!Order_.empty() && (Order_.size() > Capacity || Now - Order_.front().first > Lifetime)) {
    const auto Found = Waiting_.find(Order_.front().second);
    if (Found != Waiting_.end() && Found->second.At_ == Order_.front().first)
      Waiting_.erase(Found);
    Order_.pop_front();
  }
}

ReturnOrder::Place ReturnOrder::arrived(TimePoint Now, Fingerprint Request) {
  dropOld(Now);
  Place Result{std::uniform_real_distribution<double>()(Random_), 0};
  const auto Found = Waiting_.find(Request);
  if (Found == Waiting_.end())
    return Result;
  Result.Refusals_ = Found->second.Refusals_;
  Result.Position_ *= std::pow(ReturnFactor, Result.Refusals_);
  if (--Found->second.Callers_ == 0)
    Waiting_.erase(Found);
  return Result;
}

void ReturnOrder::refused(TimePoint Now, Fingerprint Request, const Place &Place) {
  Refused &Item = Waiting_[Request];
  ++Item.Callers_;
  Item.Refusals_ = std::max(Item.Refusals_, Place.Refusals_ + 1);
  Item.At_ = Now;
  Order_.emplace_back(Now, Request);
  dropOld(Now);
}

Duration ReturnOrder::retryAfter(Duration Expected, Duration TimeLeft) {
  const double Latest = std::chrono::duration<double>(TimeLeft).count() * LatestReturnShare;
  const double Mean = std::clamp(std::chrono::duration<double>(Expected).count(), 0.0,
                                 std::max(0.0, Latest / (1.0 + SpreadShare)));
  const double Factor =
      std::uniform_real_distribution<double>(1.0 - SpreadShare, 1.0 + SpreadShare)(Random_);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Mean * Factor));
}

Duration ReturnOrder::retryWithin(Duration Free, Duration TimeLeft) {
  const double Latest = std::chrono::duration<double>(TimeLeft).count() * LatestReturnShare;
  const double Until =
      std::min(Latest, std::max(MinSpreadS, std::chrono::duration<double>(Free).count()));
  const bool IsHopeless = std::chrono::duration<double>(Free).count() >= HopelessFactor * Latest;
  const double Earliest = Until * (IsHopeless ? LateReturnShare : EarliestReturnShare);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      std::uniform_real_distribution<double>(Earliest, Until)(Random_)));
}

} // namespace bronzestand
