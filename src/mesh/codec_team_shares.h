#ifndef BRONZESTAND_MESH_CODEC_TEAM_SHARES_H
#define BRONZESTAND_MESH_CODEC_TEAM_SHARES_H

#include <variant>

#include <nlohmann/json.hpp>

#include "bronzestand/team_shares.h"

namespace bronzestand::node {

/// A message of the team shares between two nodes.
using TeamShareBody = std::variant<TeamShares::TokenRequest, TeamShares::Grant, ShareLoans::Offer,
                                   ShareLoans::Answer>;

/// CBOR form of the messages. Fields are positional, to keep messages small. The receiver of a
/// request for tokens is not part of the message.
nlohmann::json encodeTeamShares(const TeamShareBody &In);
/// \throws nlohmann::json::exception if the message is malformed or a field is out of range.
TeamShareBody decodeTeamShares(const nlohmann::json &In);

} // namespace bronzestand::node

#endif
