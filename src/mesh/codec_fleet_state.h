#ifndef BRONZESTAND_MESH_CODEC_FLEET_STATE_H
#define BRONZESTAND_MESH_CODEC_FLEET_STATE_H

#include <optional>
#include <set>
#include <variant>

#include <nlohmann/json.hpp>

#include "bronzestand/backend_directory.h"
#include "bronzestand/fleet_config.h"
#include "bronzestand/store_readers.h"
#include "mesh/fleet_change.h"

namespace bronzestand::node {

/// Asks another node for what it knows beyond the sender.
struct FleetStateQuery {
  Knowledge Known_;
};

/// Answers a query.
struct FleetStateReply {
  StorePosition Position_;
  bool Confirmed_ = false;            ///< the platform answers the sender, which has all changes
  std::optional<FleetConfig> Config_; ///< set if its version is higher
  std::optional<std::vector<BackendServer>> Servers_; ///< set if the position is later
  std::vector<std::string> Missing_; ///< ids of servers that the platform no longer lists
  std::set<DataCentreId> Evacuated_; ///< valid if Servers_ is set
};

/// Asks a reader of the data centre for notices. A node of an earlier build takes it for a query.
struct FleetFollow {
  Knowledge Known_;
  ReaderFollow Follow_;
};

using FleetStateBody =
    std::variant<FleetStateQuery, FleetStateReply, FleetFollow, ReaderNotice, FleetChange>;

/// CBOR form of the messages. Fields are positional, to keep messages small. API keys are sent as
/// hashes only.
nlohmann::json encodeFleetState(const FleetStateBody &In);
/// \throws nlohmann::json::exception if the message is malformed.
FleetStateBody decodeFleetState(const nlohmann::json &In);

} // namespace bronzestand::node

#endif
