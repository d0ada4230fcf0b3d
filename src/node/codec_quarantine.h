#ifndef BRONZESTAND_NODE_CODEC_QUARANTINE_H
#define BRONZESTAND_NODE_CODEC_QUARANTINE_H

#include <nlohmann/json.hpp>

#include "bronzestand/quarantine.h"

namespace bronzestand {

/// CBOR form of the messages of the quarantine. Fields are positional, to keep messages small.
nlohmann::json encodeQuarantine(const QuarantineBody &In);
/// Throws nlohmann::json::exception if the message is malformed.
QuarantineBody decodeQuarantine(const nlohmann::json &In);

} // namespace bronzestand

#endif
