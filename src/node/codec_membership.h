#ifndef BRONZESTAND_NODE_CODEC_MEMBERSHIP_H
#define BRONZESTAND_NODE_CODEC_MEMBERSHIP_H

#include <nlohmann/json.hpp>

#include "bronzestand/membership.h"

namespace bronzestand {

/// CBOR form of heartbeats and leaving notices. Fields are positional.
void to_json(nlohmann::json &Out, const Heartbeat &In);
void from_json(const nlohmann::json &In, Heartbeat &Out);
void to_json(nlohmann::json &Out, const LeavingNotice &In);
void from_json(const nlohmann::json &In, LeavingNotice &Out);

} // namespace bronzestand

#endif
