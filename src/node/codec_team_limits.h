#ifndef BRONZESTAND_NODE_CODEC_TEAM_LIMITS_H
#define BRONZESTAND_NODE_CODEC_TEAM_LIMITS_H

#include <nlohmann/json.hpp>

#include "bronzestand/team_limits.h"

namespace bronzestand {

/// CBOR form of the messages of team limits: the number of the message type, then its fields by
/// position, to keep messages small. from_json throws json::exception on malformed input and on
/// numbers outside the range that a sender can produce.
void to_json(nlohmann::json &Out, const LimitMessage &In);
void from_json(const nlohmann::json &In, LimitMessage &Out);

} // namespace bronzestand

#endif
