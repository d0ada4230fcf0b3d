#include "bronzestand/fleet_config.h"

#include <algorithm>
#include <numeric>
#include <random>

namespace bronzestand {
namespace {

std::string keyOf(std::string_view HostName, std::string_view Prefix) {
  std::string Key(HostName);
  Key.push_back('\0');
  return Key.append(Prefix);
}

bool isSame(const std::vector<TrafficPart> &A, const std::vector<TrafficPart> &B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(),
                    [](const TrafficPart &First, const TrafficPart &Second) {
                      return First.Service_ == Second.Service_ && First.Weight_ == Second.Weight_;
                    });
}

} // namespace

RouteTable::RouteTable(std::vector<FleetRoute> Routes) : Routes_(std::move(Routes)) {
  for (std::size_t Number = 0; Number < Routes_.size(); ++Number)
    Index_.emplace(keyOf(Routes_[Number].HostName_, Routes_[Number].Prefix_), Number);
}

const FleetRoute *RouteTable::find(std::string_view HostName, std::string_view Path) const {
  for (std::size_t End = Path.rfind('/'); End != std::string_view::npos;
       End = End == 0 ? std::string_view::npos : Path.rfind('/', End - 1)) {
    const auto Found = Index_.find(keyOf(HostName, Path.substr(0, End + 1)));
    if (Found != Index_.end())
      return &Routes_[Found->second];
  }
  return nullptr;
}

// Smooth weighted round robin: each part gains its weight, and the richest pays for the request.
const ServiceId &TrafficSplitter::next(const FleetRoute &Route) {
  if (Route.Parts_.size() == 1)
    return Route.Parts_.front().Service_;
  const double Sum =
      std::accumulate(Route.Parts_.begin(), Route.Parts_.end(), 0.0,
                      [](double Total, const TrafficPart &Part) { return Total + Part.Weight_; });
  State &Current = States_[Route.Name_];
  if (!isSame(Current.Parts_, Route.Parts_)) {
    Current.Parts_ = Route.Parts_;
    Current.Credit_.clear();
    std::mt19937_64 Random(Seed_ ^ std::hash<std::string>()(Route.Name_));
    for (const TrafficPart &Part : Route.Parts_)
      Current.Credit_.push_back(std::uniform_real_distribution<double>(0.0, Sum)(Random) *
                                (Part.Weight_ / std::max(Sum, 1e-9)));
  }
  std::size_t Richest = 0;
  for (std::size_t Number = 0; Number < Current.Parts_.size(); ++Number) {
    Current.Credit_[Number] += Current.Parts_[Number].Weight_;
    const bool Zero = Current.Parts_[Number].Weight_ <= 0.0;
    if (!Zero && (Current.Credit_[Number] > Current.Credit_[Richest] ||
                  Current.Parts_[Richest].Weight_ <= 0.0))
      Richest = Number;
  }
  Current.Credit_[Richest] -= Sum;
  return Route.Parts_[Richest].Service_;
}

} // namespace bronzestand
