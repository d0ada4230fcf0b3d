#ifndef BRONZESTAND_NODE_CODEC_CONFIG_H
#define BRONZESTAND_NODE_CODEC_CONFIG_H

#include <nlohmann/json.hpp>

#include "bronzestand/config_spread.h"

namespace bronzestand {

/// CBOR form of the messages of configuration dissemination: the message's place in the variant,
/// then its fields by position.
void to_json(nlohmann::json &Out, const ConfigMessage &In);
void from_json(const nlohmann::json &In, ConfigMessage &Out);

} // namespace bronzestand

#endif
