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
constexpr double DemandWindowS = 1.5;
/// A node whose bucket holds more than this part of its capacity reports nothing.
constexpr double LowTokens = 0.5;
/// Part of its equal share that the broker takes a node without a report to use.
constexpr double QuietUse = 0.5;
/// A grant is used for this long after it arrived.
constexpr Duration GrantLife = std::chrono::milliseconds(1500);
/// Reports of a team that is within its limit, and of one that is short.
constexpr Duration ReportInterval = std::chrono::milliseconds(500);
constexpr Duration ShortReportInterval = std::chrono::milliseconds(100);
/// A report counts at the broker for this long.
constexpr Duration ReportLife = std::chrono::milliseconds(1500);
/// Part of a granted rate that a bucket holds beyond the burst, in seconds.
constexpr double BucketTimeS = 0.6;
/// Parts of the rate that grants give at most, without and with what quiet nodes may use. The
/// limits tolerate a quarter more.
constexpr double GrantFactor = 1.1;
constexpr double TotalFactor = 1.2;
constexpr Duration MinRetryAfter = std::chrono::milliseconds(200);
constexpr Duration MaxRetryAfter = std::chrono::seconds(2);

} // namespace

void TeamShares::setHosts(std::vector<HostId> Hosts) { Hosts_ = std::move(Hosts); }

void TeamShares::setLimits(TimePoint Now, const std::map<TeamId, Limit> &Limits) {
  for (auto Item = Teams_.begin(); Item != Teams_.end();)
    Item = Limits.count(Item->first) == 0 ? Teams_.erase(Item) : std::next(Item);
  for (const auto &[Name, Value] : Limits) {
    const bool Known = Teams_.count(Name) != 0;
    Team &Item = Teams_[Name];
    if (Known)
      refill(Now, Item);
    const bool Lower = Known && Value.Rate_ < Item.Limit_.Rate_;
    Item.Limit_ = Value;
    if (Lower)
      Item.GrantEnd_ = TimePoint(); // of the higher rate
    if (!Known) {
      Item.Filled_ = Item.Measured_ = Now;
      Item.Tokens_ = capacityOf(Now, Item);
    }
    Item.Tokens_ = std::min(Item.Tokens_, capacityOf(Now, Item));
  }
}

double TeamShares::equalShare(const Team &Item) const {
  return Item.Limit_.Rate_ / static_cast<double>(std::max<std::size_t>(1, Hosts_.size()));
}

double TeamShares::demandOf(TimePoint Now, const Team &Item) {
  return Item.Demand_ * std::exp(-seconds(Now - Item.Measured_) / DemandWindowS);
}

double TeamShares::rateOf(TimePoint Now, const Team &Item) const {
  return Now < Item.GrantEnd_ ? Item.Granted_ : equalShare(Item);
}

double TeamShares::capacityOf(TimePoint Now, const Team &Item) const {
  const double Burst =
      Item.Limit_.Burst_ / static_cast<double>(std::max<std::size_t>(1, Hosts_.size()));
  return std::max(1.5, Burst + rateOf(Now, Item) * BucketTimeS);
}

void TeamShares::refill(TimePoint Now, Team &Item) const {
  const double Time = std::max(0.0, seconds(Now - Item.Filled_));
  Item.Tokens_ = std::min(capacityOf(Now, Item), Item.Tokens_ + Time * rateOf(Now, Item));
  Item.Filled_ = Now;
}

bool TeamShares::admit(TimePoint Now, const TeamId &Name) {
  const auto Found = Teams_.find(Name);
  if (Found == Teams_.end() || Found->second.Limit_.Rate_ <= 0.0)
    return true;
  Team &Item = Found->second;
  Item.Demand_ = demandOf(Now, Item) + 1.0 / DemandWindowS;
  Item.Measured_ = Now;
  refill(Now, Item);
  if (Item.Tokens_ < 1.0) {
    Item.Short_ = true;
    return false;
  }
  Item.Tokens_ -= 1.0;
  return true;
}

Duration TeamShares::retryAfter(TimePoint Now, const TeamId &Name) const {
  const auto Found = Teams_.find(Name);
  if (Found == Teams_.end())
    return MinRetryAfter;
  const double Rate = std::max(0.1, rateOf(Now, Found->second));
  // Others of the team wait for the next tokens too.
  const double Waiting = std::max(1.0, demandOf(Now, Found->second) - Rate);
  return std::clamp(fromSeconds((1.0 - Found->second.Tokens_ + Waiting) / Rate), MinRetryAfter,
                    MaxRetryAfter);
}

ShareGrant TeamShares::handle(TimePoint Now, const HostId &From, const ShareReport &Report) {
  const auto Found = Teams_.find(Report.Team_);
  if (Found == Teams_.end())
    return {Report.Team_, 0.0};
  Team &Item = Found->second;
  Item.Reports_[From] = {Report.Demand_, Now};
  double Total = 0.0;
  for (auto Row = Item.Reports_.begin(); Row != Item.Reports_.end();) {
    if (Now - Row->second.At_ > ReportLife) {
      Row = Item.Reports_.erase(Row);
      continue;
    }
    Total += Row->second.Rate_;
    ++Row;
  }
  const double Quiet =
      static_cast<double>(Hosts_.size()) - static_cast<double>(Item.Reports_.size());
  const double Rate = std::min(Item.Limit_.Rate_ * GrantFactor,
                               Item.Limit_.Rate_ * TotalFactor -
                                   std::max(0.0, Quiet) * QuietUse * equalShare(Item));
  if (Total >= Rate)
    return {Report.Team_, Rate * Report.Demand_ / std::max(Total, 1e-9)};
  // What is left over goes to all alike, for demand that grows before the next report.
  const double Rest = (Rate - Total) / static_cast<double>(Item.Reports_.size());
  return {Report.Team_, Report.Demand_ + Rest};
}

void TeamShares::handle(TimePoint Now, const ShareGrant &Grant) {
  const auto Found = Teams_.find(Grant.Team_);
  if (Found == Teams_.end())
    return;
  refill(Now, Found->second);
  Found->second.Granted_ = Grant.Rate_;
  Found->second.GrantEnd_ = Now + GrantLife;
}

std::vector<TeamShares::SendReport> TeamShares::tick(TimePoint Now) {
  std::vector<SendReport> Result;
  for (auto &[Name, Item] : Teams_) {
    if (Item.Limit_.Rate_ <= 0.0 || Now < Item.NextReport_)
      continue;
    refill(Now, Item);
    const double Demand = demandOf(Now, Item);
    const bool Low = Item.Tokens_ < LowTokens * capacityOf(Now, Item);
    const bool Granted = Now < Item.GrantEnd_ && Demand > equalShare(Item);
    if (!Item.Short_ && !Low && !Granted)
      continue;
    const auto Broker = topHosts("limit/" + Name.str(), Hosts_, 1);
    if (Broker.empty())
      continue;
    Item.NextReport_ = Now + (Item.Short_ ? ShortReportInterval : ReportInterval);
    Item.Short_ = false;
    Result.push_back({Broker.front(), {Name, Demand}});
  }
  return Result;
}

} // namespace bronzestand
