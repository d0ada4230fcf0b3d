#include "bronzestand/backend_choice.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace bronzestand {
namespace {

double seconds(Duration Time) { return std::chrono::duration<double>(Time).count(); }

/// Share of the latency objective that a nearer server may be slower before a call goes farther,
/// for any call and for each kilobyte of it. Links between data centres are billed by volume, those
/// between regions about seven times as much; an answer of 6 KB there costs most of a cheap
/// request's worth.
constexpr std::array<double, 3> DistancePenalty{0.0, 0.05, 0.4};
constexpr std::array<double, 3> KilobytePenalty{0.0, 0.03, 0.3};
/// Round trip to a server by distance, in seconds; order of magnitude of both reference networks.
constexpr std::array<double, 3> RoundTrip{0.0005, 0.003, 0.024};
/// Weight of one result in the failure rate.
constexpr double FailureWeight = 0.12;
/// A failure rate halves in this time without calls, so that a bad server is tried again.
constexpr double FailureHalfLifeS = 2.0;
/// A server that fails always costs this many objectives more.
constexpr double FailurePenalty = 4.0;
/// A report says little about the load after this time.
constexpr Duration ReportLife = std::chrono::seconds(1);
/// An unreachable server is tried again after this time.
constexpr Duration AvoidTime = std::chrono::milliseconds(1500);
/// An objective for routes without one.
constexpr Duration DefaultObjective = std::chrono::seconds(1);
/// Servers with an unknown service time are taken to need this share of the objective.
constexpr double UnknownTimeShare = 0.2;
/// A cold server counts as this much slower.
constexpr double ColdFactor = 2.0;
/// Share of the limit from which on a server counts as slowing down.
constexpr double BusyShare = 0.7;

} // namespace

BackendChoice::BackendChoice(DataCentreId Home, std::unordered_map<std::string, std::string> Region)
    : Home_(std::move(Home)), Region_(std::move(Region)) {}

Locality BackendChoice::localityOf(const BackendServer &Server) const {
  if (Server.DataCentre_ == Home_)
    return Locality::SameDataCentre;
  const auto Own = Region_.find(Home_.str());
  const auto Other = Region_.find(Server.DataCentre_.str());
  const bool Same = Own != Region_.end() && Other != Region_.end() && Own->second == Other->second;
  return Same ? Locality::SameRegion : Locality::OtherRegion;
}

double BackendChoice::failureRate(TimePoint Now, const Record &Item) const {
  const double Age = seconds(Now - Item.FailureAt_);
  return Item.FailureRate_ * std::exp2(-Age / FailureHalfLifeS);
}

std::uint32_t BackendChoice::busyOf(TimePoint Now, const Record &Item) {
  const bool Fresh = Now - Item.Reported_ < ReportLife;
  const std::uint32_t Reported = Item.Load_.Running_ + Item.Load_.Waiting_ + Item.SinceReport_;
  return std::max(Item.InFlight_, Fresh ? Reported : 0U);
}

std::uint32_t BackendChoice::limitOf(const Record &Item, const BackendServer &Server) {
  return Item.Load_.Limit_ != 0 ? Item.Load_.Limit_ : Server.Slots_;
}

Duration BackendChoice::waitOf(TimePoint Now, const Record &Item,
                               const BackendServer &Server) const {
  const std::uint32_t Limit = limitOf(Item, Server);
  const std::uint32_t Busy = busyOf(Now, Item);
  if (Limit == 0 || Busy < Limit)
    return Duration::zero();
  return Item.Load_.ServiceTime_ * (Busy - Limit + 1) / Limit;
}

double BackendChoice::cost(TimePoint Now, const BackendServer &Server, Duration Objective,
                           double Bytes) const {
  const auto Distance = static_cast<std::size_t>(localityOf(Server));
  const double Aim = seconds(Objective > Duration::zero() ? Objective : DefaultObjective);
  double Result = RoundTrip[Distance] +
                  (DistancePenalty[Distance] + KilobytePenalty[Distance] * Bytes / 1000.0) * Aim;
  const auto Found = Records_.find(Server.Id_);
  if (Found == Records_.end())
    return Result + UnknownTimeShare * Aim;
  const Record &Item = Found->second;
  double Service = seconds(Item.Load_.ServiceTime_);
  if (Service <= 0.0)
    Service = UnknownTimeShare * Aim;
  if (const std::uint32_t Limit = limitOf(Item, Server); Limit != 0)
    Service *= 1.0 + std::max(0.0, static_cast<double>(busyOf(Now, Item)) / Limit - BusyShare);
  if (Now < Item.ColdUntil_)
    Service *= ColdFactor;
  Result += Service + 2.0 * seconds(waitOf(Now, Item, Server));
  return Result + FailurePenalty * Aim * failureRate(Now, Item);
}

const BackendServer *BackendChoice::choose(TimePoint Now, const BackendDirectory &Directory,
                                           const ServiceId &Service,
                                           const std::set<std::string> &Excluded,
                                           Duration Objective, double Bytes) const {
  const BackendServer *Best = nullptr;
  const BackendServer *Avoided = nullptr;
  double BestCost = 0.0;
  for (const BackendServer *Server : Directory.of(Service)) {
    // A later server at the same address has taken it over.
    if (Server->Leaving_ || Excluded.count(Server->Id_) != 0 ||
        Directory.at(Server->Host_) != Server)
      continue;
    const auto Found = Records_.find(Server->Id_);
    if (Found != Records_.end() && Now < Found->second.AvoidUntil_) {
      if (Avoided == nullptr || Found->second.AvoidUntil_ < Records_.at(Avoided->Id_).AvoidUntil_)
        Avoided = Server;
      continue;
    }
    const double Cost = cost(Now, *Server, Objective, Bytes);
    if (Best == nullptr || Cost < BestCost) {
      Best = Server;
      BestCost = Cost;
    }
  }
  return Best != nullptr ? Best : Avoided;
}

void BackendChoice::started(const std::string &Id) {
  Record &Item = Records_[Id];
  ++Item.InFlight_;
  ++Item.SinceReport_;
}

void BackendChoice::finished(TimePoint Now, const std::string &Id, TryResult Result) {
  Record &Item = Records_[Id];
  Item.InFlight_ -= Item.InFlight_ == 0 ? 0 : 1;
  if (Result == TryResult::Cancelled || Result == TryResult::Busy)
    return;
  const bool Failed = Result != TryResult::Served;
  Item.FailureRate_ = failureRate(Now, Item);
  Item.FailureRate_ += FailureWeight * ((Failed ? 1.0 : 0.0) - Item.FailureRate_);
  Item.FailureAt_ = Now;
  if (Result == TryResult::Unreachable || Result == TryResult::Wrong)
    Item.AvoidUntil_ = Now + AvoidTime;
  else if (!Failed)
    Item.AvoidUntil_ = TimePoint();
}

void BackendChoice::report(TimePoint Now, const std::string &Id, const BackendLoad &Load) {
  Record &Item = Records_[Id];
  Item.Load_ = Load;
  Item.Reported_ = Now;
  Item.SinceReport_ = 0;
}

void BackendChoice::unreachable(TimePoint Now, const std::string &Id) {
  Records_[Id].AvoidUntil_ = Now + AvoidTime;
}

void BackendChoice::reachable(const std::string &Id) {
  const auto Found = Records_.find(Id);
  if (Found != Records_.end())
    Found->second.AvoidUntil_ = TimePoint();
}

void BackendChoice::update(TimePoint Now, const BackendDirectory &Directory) {
  for (auto Item = Records_.begin(); Item != Records_.end();) {
    const bool Gone = Directory.find(Item->first) == nullptr && Item->second.InFlight_ == 0;
    Item = Gone ? Records_.erase(Item) : std::next(Item);
  }
  for (const auto &[Id, Server] : Directory.all()) {
    Record &Item = Records_[Id];
    if (Item.StartedMs_ == Server.StartedMs_)
      continue;
    const std::uint32_t InFlight = Item.InFlight_;
    Item = Record();
    Item.InFlight_ = InFlight;
    Item.StartedMs_ = Server.StartedMs_;
    Item.ColdUntil_ = Now + Server.ColdFor_;
  }
}

Duration BackendChoice::expectedWait(TimePoint Now, const BackendDirectory &Directory,
                                     const ServiceId &Service) const {
  Duration Best = Duration::max();
  for (const BackendServer *Server : Directory.of(Service)) {
    const auto Found = Records_.find(Server->Id_);
    if (!Server->Leaving_ && Found != Records_.end())
      Best = std::min(Best, waitOf(Now, Found->second, *Server));
  }
  return Best == Duration::max() ? Duration::zero() : Best;
}

} // namespace bronzestand
