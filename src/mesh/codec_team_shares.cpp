#include "mesh/codec_team_shares.h"

#include <cmath>

#include "node/codec_call.h"

namespace bronzestand::node {
namespace {

using nlohmann::json;

enum class Form : std::uint8_t { Request, Grant, Offer, Answer };

/// Larger times and counts are not sent; the bounds keep sums far from overflow.
constexpr Duration MaxTime = std::chrono::hours(24LL * 366 * 100);
constexpr std::uint32_t MaxTokens = 1'000'000;
constexpr std::uint32_t MaxHosts = 1'000'000;
constexpr double MaxRate = 1e9;

[[noreturn]] void failRange(const json &In) {
  throw json::out_of_range::create(401, "number out of range", &In);
}

json timeOf(TimePoint Value) { return Value.time_since_epoch().count(); }

Duration durationOf(const json &In) {
  const Duration Value(In.get<Duration::rep>());
  if (Value < Duration::zero() || Value > MaxTime)
    failRange(In);
  return Value;
}

TimePoint timePointOf(const json &In) { return TimePoint(durationOf(In)); }

std::uint32_t countOf(const json &In, std::uint32_t Max) {
  const auto Value = In.get<std::uint64_t>();
  if (Value > Max)
    failRange(In);
  return static_cast<std::uint32_t>(Value);
}

double rateOf(const json &In) {
  const auto Value = In.get<double>();
  if (!std::isfinite(Value) || Value < 0.0 || Value > MaxRate)
    failRange(In);
  return Value;
}

ShareLoans::Shard shardOf(const json &In) { return countOf(In, ShareLoans::ShardCount - 1); }

json form(Form Value) { return static_cast<unsigned>(Value); }

json encode(const TeamShares::TokenRequest &In) {
  json Out = json::array({form(Form::Request), In.Team_.str(), In.Count_, timeOf(In.SentAt_)});
  if (In.Limit_) {
    Out.push_back(In.Limit_->Rate_);
    Out.push_back(In.Limit_->Burst_);
  }
  return Out;
}

json encode(const TeamShares::Grant &In) {
  return json::array({form(Form::Grant), In.Team_.str(), In.Count_, timeOf(In.SentAt_),
                      In.EmptyFor_.count(), In.Unlimited_});
}

json encode(const ShareLoans::Offer &In) {
  return json::array({form(Form::Offer), In.Shard_, timeOf(In.SentAt_), In.Hosts_, In.Recalled_,
                      In.BrokerTime_ ? timeOf(*In.BrokerTime_) : json()});
}

json encode(const ShareLoans::Answer &In) {
  return json::array({form(Form::Answer), In.Shard_, timeOf(In.SentAt_), timeOf(In.BrokerTime_),
                      In.Recalled_, In.Held_, In.Leaving_});
}

TeamShares::TokenRequest decodeRequest(const json &In) {
  TeamShares::TokenRequest Out;
  In.at(1).get_to(Out.Team_);
  Out.Count_ = countOf(In.at(2), MaxTokens);
  Out.SentAt_ = timePointOf(In.at(3));
  if (In.size() > 4)
    Out.Limit_ = {rateOf(In.at(4)), rateOf(In.at(5))};
  return Out;
}

TeamShares::Grant decodeGrant(const json &In) {
  TeamShares::Grant Out;
  In.at(1).get_to(Out.Team_);
  Out.Count_ = countOf(In.at(2), MaxTokens);
  Out.SentAt_ = timePointOf(In.at(3));
  Out.EmptyFor_ = durationOf(In.at(4));
  In.at(5).get_to(Out.Unlimited_);
  return Out;
}

ShareLoans::Offer decodeOffer(const json &In) {
  ShareLoans::Offer Out;
  Out.Shard_ = shardOf(In.at(1));
  Out.SentAt_ = timePointOf(In.at(2));
  Out.Hosts_ = countOf(In.at(3), MaxHosts);
  In.at(4).get_to(Out.Recalled_);
  if (!In.at(5).is_null())
    Out.BrokerTime_ = timePointOf(In.at(5));
  return Out;
}

ShareLoans::Answer decodeAnswer(const json &In) {
  ShareLoans::Answer Out;
  Out.Shard_ = shardOf(In.at(1));
  Out.SentAt_ = timePointOf(In.at(2));
  Out.BrokerTime_ = timePointOf(In.at(3));
  In.at(4).get_to(Out.Recalled_);
  In.at(5).get_to(Out.Held_);
  In.at(6).get_to(Out.Leaving_);
  return Out;
}

} // namespace

json encodeTeamShares(const TeamShareBody &In) {
  return std::visit([](const auto &Value) { return encode(Value); }, In);
}

TeamShareBody decodeTeamShares(const json &In) {
  switch (static_cast<Form>(countOf(In.at(0), static_cast<std::uint32_t>(Form::Answer)))) {
  case Form::Request:
    return decodeRequest(In);
  case Form::Grant:
    return decodeGrant(In);
  case Form::Offer:
    return decodeOffer(In);
  case Form::Answer:
    break;
  }
  return decodeAnswer(In);
}

} // namespace bronzestand::node
