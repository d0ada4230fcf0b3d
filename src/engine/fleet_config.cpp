#include "bronzestand/fleet_config.h"

#include <algorithm>
#include <numeric>
#include <random>

#include <fmt/format.h>

#include "bronzestand/error.h"

namespace bronzestand {
namespace {

std::string routeKey(std::string_view HostName, std::string_view Prefix) {
  std::string Key(HostName);
  Key.push_back('\0');
  return Key.append(Prefix);
}

bool isEqual(const std::vector<TrafficPart> &A, const std::vector<TrafficPart> &B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(),
                    [](const TrafficPart &First, const TrafficPart &Second) {
                      return First.Service_ == Second.Service_ && First.Weight_ == Second.Weight_;
                    });
}

absl::Status checkRegions(const AllowedRegions &Allowed, const std::set<RegionId> &Known,
                          const std::string &Document, std::string_view Table,
                          const std::string &Name) {
  if (!Allowed)
    return absl::OkStatus();
  for (const RegionId &Region : *Allowed)
    if (Known.count(Region) == 0)
      return makeError({ErrorCode::UnknownReference, Document,
                        fmt::format("{}.{}.AllowedRegions", Table, Name),
                        fmt::format("no data centre is in the region '{}'", Region.str())});
  return absl::OkStatus();
}

} // namespace

absl::Status checkRegions(const FleetConfig &Config, const std::set<RegionId> &Known) {
  absl::Status Result;
  for (const FleetRoute &Route : Config.Routes_)
    if (Result =
            checkRegions(Route.AllowedRegions_, Known, Config.Document_, "Routes", Route.Name_);
        !Result.ok())
      return Result;
  for (const FleetTeam &Team : Config.Teams_)
    if (Result = checkRegions(Team.AllowedRegions_, Known, Config.Document_, "Tenants",
                              Team.Spec_.Name_.str());
        !Result.ok())
      return Result;
  return Result;
}

RouteTable::RouteTable(std::vector<FleetRoute> Routes) : Routes_(std::move(Routes)) {
  for (std::size_t Index = 0; Index < Routes_.size(); ++Index)
    RouteByKey_.emplace(routeKey(Routes_[Index].HostName_, Routes_[Index].Prefix_), Index);
}

const FleetRoute *RouteTable::find(std::string_view HostName, std::string_view Path) const {
  for (std::size_t End = Path.rfind('/'); End != std::string_view::npos;
       End = End == 0 ? std::string_view::npos : Path.rfind('/', End - 1)) {
    const auto Found = RouteByKey_.find(routeKey(HostName, Path.substr(0, End + 1)));
    if (Found != RouteByKey_.end())
      return &Routes_[Found->second];
  }
  return nullptr;
}

// Smooth weighted round robin: adds each service's weight to its current weight, selects the
// service with the greatest current weight and subtracts the sum of the weights from it.
const ServiceId &TrafficSplitter::next(const FleetRoute &Route) {
  if (Route.Parts_.size() == 1)
    return Route.Parts_.front().Service_;
  const double Sum =
      std::accumulate(Route.Parts_.begin(), Route.Parts_.end(), 0.0,
                      [](double Total, const TrafficPart &Item) { return Total + Item.Weight_; });
  State &Current = States_[Route.Name_];
  if (!isEqual(Current.Parts_, Route.Parts_)) {
    Current.Parts_ = Route.Parts_;
    Current.CurrentWeights_.clear();
    std::mt19937_64 Random(Seed_ ^ std::hash<std::string>()(Route.Name_));
    for (const TrafficPart &Item : Route.Parts_)
      Current.CurrentWeights_.push_back(std::uniform_real_distribution<double>(0.0, Sum)(Random) *
                                        (Item.Weight_ / std::max(Sum, 1e-9)));
  }
  std::size_t Selected = 0;
  for (std::size_t Index = 0; Index < Current.Parts_.size(); ++Index) {
    Current.CurrentWeights_[Index] += Current.Parts_[Index].Weight_;
    const bool Zero = Current.Parts_[Index].Weight_ <= 0.0;
    if (!Zero && (Current.CurrentWeights_[Index] > Current.CurrentWeights_[Selected] ||
                  Current.Parts_[Selected].Weight_ <= 0.0))
      Selected = Index;
  }
  Current.CurrentWeights_[Selected] -= Sum;
  return Route.Parts_[Selected].Service_;
}

} // namespace bronzestand
