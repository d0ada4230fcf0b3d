#ifndef BRONZESTAND_NODE_CODEC_CLAIMS_H
#define BRONZESTAND_NODE_CODEC_CLAIMS_H

#include <nlohmann/json.hpp>

#include "bronzestand/claims.h"

namespace bronzestand {

/// CBOR form of a claim message: an array of the alternative's index and its fields.
/// A HandoverReply is encoded with the entries that it holds; splitting is up to the sender.
nlohmann::json encodeClaim(const ClaimMessage &Message);

/// Decodes a message made by encodeClaim.
/// Throws nlohmann::json::exception if the message is malformed.
ClaimMessage decodeClaim(const nlohmann::json &In);

} // namespace bronzestand

#endif
