#ifndef BRONZESTAND_NODE_SETTINGS_H
#define BRONZESTAND_NODE_SETTINGS_H

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "absl/status/statusor.h"
#include "bronzestand/claims.h"
#include "bronzestand/error.h"
#include "bronzestand/types.h"
#include "node/log.h"

namespace bronzestand::node {

/// IP address and port.
struct Endpoint {
  std::string Address_;
  std::uint16_t Port_ = 0;

  std::string str() const { return Address_ + ":" + std::to_string(Port_); }
};

/// Mechanisms that the settings can disable, to measure what each one contributes.
enum class Mechanism {
  TeamLimits,
  Claims,
  Dispatcher,
  Fairness,
  Admission,
  Attempts,
  Balancer,
  Quarantine,
  LinkBudget,
};

std::string_view mechanismName(Mechanism Value);

/// A fleet whose platform publishes the configuration and the backend servers in a metadata store
/// that nodes can only read. The values come from the platform's own settings.
struct MeshSettings {
  // Ranges of the settings that the command line may replace.
  static constexpr double MinColdOver = 1.0;
  static constexpr double MaxColdOver = 1e3;
  static constexpr double MaxColdSlack = 1e6;
  static constexpr std::uint64_t MinEvacuateMs = 100;
  static constexpr std::uint64_t MaxEvacuateMs = 3'600'000;

  Endpoint Store_;
  std::unordered_map<std::string, std::string> Regions_; ///< region of each data centre
  double RetryRatio_ = 0.1;      ///< retries per request that the fleet may send to a service
  double RetryAllowance_ = 10.0; ///< further retries of the whole fleet in a window
  Duration GracePeriod_ = std::chrono::seconds(6); ///< from SIGTERM to the end of the process
  Duration ApplyTime_ = std::chrono::seconds(2);   ///< in which a change must be in force
  /// Bound of the requests that a cold server gets in a second: its rate times this factor, plus
  /// ColdSlack_. Without a factor servers are never treated as cold.
  std::optional<double> ColdOver_;
  double ColdSlack_ = 0.0;
  /// In which an evacuated data centre must get no more requests; the default applies if the
  /// platform sets none.
  Duration EvacuateTime_ = std::chrono::seconds(5);
  std::optional<Endpoint>
      MetricsListen_; ///< serves only the metrics, in addition to operator_listen
};

/// Settings of one node. A change takes effect after a restart; configuration that changes at run
/// time comes from the platform.
struct Settings {
  HostId Host_;
  DataCentreId DataCentre_;
  RegionId Region_;
  ServiceId Service_;
  Endpoint CallerListen_;
  Endpoint EgressListen_;
  Endpoint PeerListen_;
  Endpoint OperatorListen_;
  Endpoint BackendServer_;
  std::vector<Endpoint> Platform_;
  std::vector<Endpoint> Peers_;
  std::string PeerSecret_;
  /// Memory that the process may use. What it holds for others is bounded by shares of it.
  std::size_t MemoryBytes_ = 256UL * 1024 * 1024;
  Duration DrainLimit_ = std::chrono::seconds(30);
  LogSettings Log_;
  std::optional<MeshSettings> Mesh_;
  ClaimSettings Claims_;         ///< shorter times are for tests only
  std::set<Mechanism> Disabled_; ///< for measurements only

  bool isEnabled(Mechanism Value) const { return Disabled_.count(Value) == 0; }
};

struct ParsedSettings {
  Settings Settings_;
  std::vector<ErrorDetail> Errors_;
};

/// Parses "address:port" with an IP address and a port of 1 to 65535.
absl::StatusOr<Endpoint> parseEndpoint(const std::string &Text);

/// Parses settings and collects all errors.
/// \param Source name used in errors, for example the file.
/// \param Text YAML text.
ParsedSettings parseSettings(const std::string &Source, const std::string &Text);

/// Reads and parses a file.
ParsedSettings loadSettings(const std::string &File);

} // namespace bronzestand::node

#endif
