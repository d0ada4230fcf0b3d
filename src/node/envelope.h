#ifndef BRONZESTAND_NODE_ENVELOPE_H
#define BRONZESTAND_NODE_ENVELOPE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "bronzestand/types.h"

namespace bronzestand::node {

/// Types of messages between nodes (design section 11). The values are sent on the wire.
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
  RouteHealth,
};
constexpr std::size_t MessageKindCount = 14;

std::string_view messageKindName(MessageKind Kind);

/// A message between nodes.
struct Envelope {
  MessageKind Kind_ = MessageKind::Heartbeat;
  std::uint64_t Epoch_ = 0; ///< increases after each pause of the sender
  nlohmann::json Body_;
  /// The sender's host and incarnation are set in handshake messages only. The handshake
  /// authenticates them for all later messages of the link.
  HostId Sender_;
  Incarnation Incarnation_ = 0;
};

/// Returns whether messages of this kind belong to the handshake that opens a link.
bool isHandshake(MessageKind Kind);

/// Encodes a message as a CBOR array of kind, epoch and body; in handshake messages, sender and
/// incarnation follow.
std::string encode(const Envelope &Message);

/// Decodes a frame. Returns nullopt if it is malformed.
std::optional<Envelope> decode(const std::string &Frame);

} // namespace bronzestand::node

#endif
