#ifndef BRONZESTAND_NODE_SETTINGS_H
#define BRONZESTAND_NODE_SETTINGS_H

#include <set>
#include <string>
#include <string_view>
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

/// Mechanisms that a measurement can switch off, to show what each one contributes.
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

/// Settings of one node. All of them need a restart; live configuration comes from the platform.
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
  Duration DrainLimit_ = std::chrono::seconds(30);
  LogSettings Log_;
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

/// Parses settings and reports all errors at once.
/// \param Source name used in errors, for example the file.
/// \param Text YAML text.
ParsedSettings parseSettings(const std::string &Source, const std::string &Text);

/// Reads and parses a file.
ParsedSettings loadSettings(const std::string &File);

} // namespace bronzestand::node

#endif
