#ifndef BRONZESTAND_FLEET_CONFIG_H
#define BRONZESTAND_FLEET_CONFIG_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "bronzestand/config.h"
#include "bronzestand/server_scope.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// A service that gets a share of the requests of a route.
struct TrafficPart {
  ServiceId Service_;
  double Weight_ = 1.0; ///< relative to the other weights of the route
};

/// A route, selected by host name and path prefix, with the settings of its requests.
struct FleetRoute {
  std::string Name_;
  std::string HostName_; ///< value of the Host header
  std::string Prefix_;   ///< begins and ends with a slash
  std::vector<TrafficPart> Parts_;
  bool Idempotent_ = false;   ///< a request may be executed more than once
  Duration Timeout_{};        ///< maximum time to the final response; zero for no limit
  Duration Objective_{};      ///< time within which a response has its full value; zero if not set
  std::uint32_t Rank_ = 0;    ///< 0 is the most important
  std::uint32_t MaxRuns_ = 1; ///< number of backend servers that one request may be sent to
  bool Open_ = false;         ///< requests need no API key
  AllowedRegions AllowedRegions_;
};

/// A team with the hashes of its API keys.
struct FleetTeam {
  TeamSpec Spec_;
  std::optional<std::uint32_t> Rank_; ///< compared before the ranks of the routes
  AllowedRegions AllowedRegions_;
};

/// Limits for connections of callers.
struct CallerLimits {
  std::uint32_t HeaderBytes_ = 16 * 1024;
  std::uint64_t BodyBytes_ = 1024ULL * 1024;
  std::chrono::milliseconds HeaderTimeout_{15'000};
  std::chrono::milliseconds IdleTimeout_{60'000};
};

/// Settings of a service.
struct ServiceSettings {
  std::uint32_t MaxConnections_ = 0; ///< per backend server; 0 if not given
  std::string HealthPath_;
  Duration ColdStart_{};  ///< time for which a server is cold after its start
  double ColdRate_ = 0.0; ///< requests/s that a cold server bears; 0 if its servers are never cold
};

/// One version of the configuration of the whole fleet.
struct FleetConfig {
  std::uint64_t Version_ = 0;              ///< increases with each change
  std::string Document_ = "configuration"; ///< name of its source, for errors; not sent to nodes
  std::vector<FleetRoute> Routes_;
  std::vector<FleetTeam> Teams_;
  std::unordered_map<ServiceId, ServiceSettings> Services_;
  CallerLimits Limits_;
};

/// Checks the allowed regions of all routes and teams.
/// \param Known regions to which data centres belong.
/// \return an error that names the first route or team with an unknown region.
absl::Status checkRegions(const FleetConfig &Config, const std::set<RegionId> &Known);

/// Finds routes by host name and longest path prefix. Design section 4.
class RouteTable {
public:
  RouteTable() = default;
  /// \param Routes stored in the table; the first of two with the same host name and prefix is
  /// used.
  explicit RouteTable(std::vector<FleetRoute> Routes);

  /// Returns the route of a request; nullptr if none matches.
  /// \param Path path without the query.
  /// Cost: at most one hash lookup per slash of the path.
  const FleetRoute *find(std::string_view HostName, std::string_view Path) const;
  const std::vector<FleetRoute> &routes() const { return Routes_; }

private:
  std::vector<FleetRoute> Routes_;
  std::unordered_map<std::string, std::size_t> RouteByKey_;
};

/// Distributes the requests of a route over its services in proportion to their weights, by smooth
/// weighted round robin. Nodes do not coordinate; random initial weights keep nodes
/// with few requests from all choosing the same service.
class TrafficSplitter {
public:
  explicit TrafficSplitter(std::uint64_t Seed) : Seed_(Seed) {}

  /// Returns the service for the next request of a route. Cost: linear in the route's services.
  const ServiceId &next(const FleetRoute &Route);

private:
  struct State {
    std::vector<TrafficPart> Parts_;
    std::vector<double> CurrentWeights_;
  };

  std::uint64_t Seed_;
  std::unordered_map<std::string, State> States_;
};

} // namespace bronzestand

#endif
