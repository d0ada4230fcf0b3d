#ifndef BRONZESTAND_FLEET_CONFIG_H
#define BRONZESTAND_FLEET_CONFIG_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bronzestand/config.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// One part of the traffic of a route.
struct TrafficPart {
  ServiceId Service_;
  double Weight_ = 1.0; ///< relative to the other parts of the route
};

/// Work of one kind, selected by host name and path prefix.
struct FleetRoute {
  std::string Name_;
  std::string HostName_; ///< value of the Host header
  std::string Prefix_;   ///< begins and ends with a slash
  std::vector<TrafficPart> Parts_;
  bool Idempotent_ = false;   ///< a request may run more than once
  Duration Timeout_{};        ///< longest time to the final answer; zero for none
  Duration Objective_{};      ///< time in which an answer is useful in full; zero for none
  std::uint32_t Rank_ = 0;    ///< 0 is the most important
  std::uint32_t MaxRuns_ = 1; ///< backend servers that one request may be sent to
  bool Open_ = false;         ///< needs no key
};

/// A team with its keys as hashes.
struct FleetTeam {
  TeamSpec Spec_;
  std::optional<std::uint32_t> Rank_; ///< goes before the rank of the route
};

/// What a caller may send.
struct CallerLimits {
  std::uint32_t HeaderBytes_ = 16 * 1024;
  std::uint64_t BodyBytes_ = 1024ULL * 1024;
  std::chrono::milliseconds HeaderTimeout_{15'000};
  std::chrono::milliseconds IdleTimeout_{60'000};
};

/// One version of the configuration of the whole fleet.
struct FleetConfig {
  std::uint64_t Version_ = 0; ///< grows with each change
  std::vector<FleetRoute> Routes_;
  std::vector<FleetTeam> Teams_;
  std::unordered_map<ServiceId, std::uint32_t> MaxConnections_; ///< of a backend server
  CallerLimits Limits_;
};

/// Finds routes by host name and longest path prefix. Design section 4.
class RouteTable {
public:
  RouteTable() = default;
  /// \param Routes kept in the table; of two equal selections the first counts.
  explicit RouteTable(std::vector<FleetRoute> Routes);

  /// Returns the route of a request; nullptr if none matches.
  /// \param Path without the query.
  /// Cost: one table access for each slash of the path.
  const FleetRoute *find(std::string_view HostName, std::string_view Path) const;
  const std::vector<FleetRoute> &routes() const { return Routes_; }

private:
  std::vector<FleetRoute> Routes_;
  std::unordered_map<std::string, std::size_t> Index_;
};

/// Deals the requests of routes with several parts in proportion to their weights. Each node deals
/// by itself; a random start keeps nodes with few requests from favouring the same part.
class TrafficSplitter {
public:
  explicit TrafficSplitter(std::uint64_t Seed) : Seed_(Seed) {}

  /// Service for the next request of a route. Cost: linear in the parts.
  const ServiceId &next(const FleetRoute &Route);

private:
  struct State {
    std::vector<TrafficPart> Parts_;
    std::vector<double> Credit_;
  };

  std::uint64_t Seed_;
  std::unordered_map<std::string, State> States_;
};

} // namespace bronzestand

#endif
