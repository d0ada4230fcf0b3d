#include "node/call_attempts.h"

#include "node/clock.h"

namespace bronzestand::node {
namespace {

constexpr std::size_t MaxServices = 2048;
constexpr int LatencyWeight = 16;

} // namespace

AttemptAccountPtr CallAttempts::account(const std::string &Parent, std::uint32_t Allowance) {
  return Enabled_ ? std::make_shared<AttemptAccount>(Needs_, Parent, Allowance) : nullptr;
}

void CallAttempts::noteCall(const ServiceId &Service) { Retries_.noteCall(now(), Service); }

void CallAttempts::noteLatency(const ServiceId &Service, Duration Latency) {
  const auto Found = Typical_.find(Service);
  if (Found != Typical_.end())
    Found->second += (Latency - Found->second) / LatencyWeight;
  else if (Typical_.size() < MaxServices)
    Typical_.emplace(Service, Latency);
}

bool CallAttempts::mayRetry(FailedCall Failed) {
  if (!Enabled_)
    return Failed.TimeLeft_ > Duration::zero() &&
           (Failed.Outcome_ == Outcome::NotRun ? refusalInfo(Failed.Refusal_).MayRetry_
                                               : Failed.Idempotent_);
  const auto Found = Typical_.find(Failed.Service_);
  if (Found != Typical_.end())
    Failed.TimeNeeded_ = Found->second;
  return Retries_.mayRetry(now(), Failed);
}

} // namespace bronzestand::node
