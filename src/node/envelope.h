#ifndef BRONZESTAND_NODE_ENVELOPE_H
#define BRONZESTAND_NODE_ENVELOPE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "bronzestand/types.h"

namespace bronzestand::node {

/// The messages between nodes (design section 11).
enum class MessageKind : std::uint8_t {
  Challenge,
  Proof,
  Accepted,
  Heartbeat,
  Call,
  Answer,
  Cancel,
  CallQuery,
  ConfigSpread,
  Leaving,
  TeamLimits,
  Claims,
  Quarantine,
};
constexpr std::size_t MessageKindCount = 13;

std::string_view messageKindName(MessageKind Kind);

/// What every message between nodes carries besides its body.
struct Envelope {
  MessageKind Kind_ = MessageKind::Heartbeat;
  std::uint64_t Epoch_ = 0; ///< grows each time the sender was paused
  nlohmann::json Body_;
  /// Set in messages of the handshake only, which prove them for all later messages of the link.
  HostId Sender_;
  Incarnation Incarnation_ = 0;
};

/// Tells whether messages of a kind open a link.
bool isHandshake(MessageKind Kind);

/// Encodes as a CBOR array.
std::string encode(const Envelope &Message);

/// Decodes a frame; nothing if it is malformed.
std::optional<Envelope> decode(const std::string &Frame);

} // namespace bronzestand::node

#endif
