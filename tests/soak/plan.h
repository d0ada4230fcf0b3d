#ifndef BRONZESTAND_TESTS_SOAK_PLAN_H
#define BRONZESTAND_TESTS_SOAK_PLAN_H

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

#include "bronzestand/types.h"

namespace bronzestand::soak {

/// What the soak does to the fleet from outside.
enum class FaultKind {
  NodeTerm,     ///< SIGTERM, start again after it has ended
  NodeKill,     ///< SIGKILL, start again
  NodePause,    ///< SIGSTOP and SIGCONT
  NodeHup,      ///< SIGHUP
  HerdKill,     ///< SIGKILL of half of the nodes at once
  LinksHold,    ///< no byte passes to or from a node, nothing is closed
  LinksOneWay,  ///< no byte passes to a node
  LinksReset,   ///< links of a node are reset and refused
  LinksSilent,  ///< open links go silent for good, new ones work
  LinksDelay,   ///< bytes to a node come late
  StoreHold,    ///< the store is silent for one node
  StoreReset,   ///< the store is reset and refused for one node
  StoreDown,    ///< the store answers 503
  StoreSilent,  ///< the store answers nothing
  StoreSlow,    ///< the store answers late
  StoreForgets, ///< the store loses its history after a change
  StoreLapse,   ///< the store is down, and the servers' entries lapse meanwhile
  ServerErrors, ///< a server fails part of its requests
  ServerFull,   ///< a server rejects all requests as not run
  ServerSlow,   ///< a server takes ten times as long
  ServerReset,  ///< connections to a server are reset
  ServerHold,   ///< connections to a server are silent
  ServerLeaves, ///< a server drains, and another one takes its address
  ConfigChange, ///< a route is added, another removed, a key replaced
  Evacuate,     ///< a data centre is evacuated, and its servers are cold at the end
  ColdReturn,   ///< all servers of a data centre end and come back together
};
constexpr std::size_t FaultKinds = 26;

std::string_view faultName(FaultKind Kind);

/// Which kinds of faults a run has.
enum class Profile { Mixed, Planned, Processes, Links, Store, Servers, Placement };
constexpr std::size_t Profiles = 7;

std::string_view profileName(Profile Value);

struct Fault {
  Duration At_{}; ///< from the start of the faults
  Duration For_{};
  FaultKind Kind_ = FaultKind::NodeHup;
  std::size_t Target_ = 0; ///< number of the node, or of the node beside the server
};

struct Plan {
  Profile Profile_ = Profile::Mixed;
  std::vector<Fault> Faults_; ///< by time
  bool LongWork_ = false;     ///< servers take so long that a stopping node is never idle
};

/// Makes the plan of a seed; the same for the same arguments. Faults come in series and overlap.
/// \param Placement adds the faults of Profile::Placement to those of the seed's profile.
Plan makePlan(std::uint64_t Seed, std::size_t Nodes, Duration Length, bool Placement);

} // namespace bronzestand::soak

#endif
