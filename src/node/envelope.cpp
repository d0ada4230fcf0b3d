#include "node/envelope.h"

#include <array>

namespace bronzestand::node {
namespace {

using nlohmann::json;

constexpr std::size_t EnvelopeFields = 3;
constexpr std::size_t HandshakeFields = 5;
constexpr std::array<std::string_view, MessageKindCount> KindNames{
    "challenge",   "proof",  "accepted",   "heartbeat",     "call",
    "answer",      "cancel", "call_query", "config_spread", "leaving",
    "team_limits", "claims", "quarantine", "route_health"};

/// Levels and values of a frame. The parser calls itself for each level, and a value takes 16 bytes
/// or more whatever its size in the frame; the whole state of a large fleet has some 300,000 values
/// on ten levels.
constexpr std::size_t MaxLevels = 64;
constexpr std::size_t MaxValues = 1024UL * 1024;

/// Tells whether a frame is one CBOR value with definite lengths, as encode() makes it, within
/// these bounds. Linear in the number of values, not in their sizes.
class FrameCheck {
public:
  explicit FrameCheck(std::string_view Frame) : Left_(Frame) {}

  bool passes() {
    std::array<std::uint64_t, MaxLevels> Missing{1}; ///< values of each open level
    std::size_t Level = 0;
    for (std::size_t Count = 0; Count < MaxValues; ++Count) {
      --Missing[Level];
      const std::optional<std::uint64_t> Inner = readValue();
      if (!Inner || (*Inner != 0 && ++Level == MaxLevels))
        return false;
      if (*Inner != 0)
        Missing[Level] = *Inner;
      while (Level != 0 && Missing[Level] == 0)
        --Level;
      if (Missing[Level] == 0)
        return Left_.empty();
    }
    return false;
  }

private:
  enum Major : unsigned { Unsigned, Negative, Bytes, Text, List, Map, Tag, Simple };

  /// \return the number of the values that it contains; nullopt if it is not allowed.
  std::optional<std::uint64_t> readValue() {
    const auto Head = readBytes(1);
    if (!Head)
      return std::nullopt;
    const unsigned Kind = static_cast<unsigned>(*Head) >> 5U;
    std::optional<std::uint64_t> Argument = *Head & 0x1FU;
    if (*Argument > 27)
      return std::nullopt;
    if (*Argument >= 24)
      Argument = readBytes(std::size_t{1} << (*Argument - 24));
    if (!Argument || Kind == Tag)
      return std::nullopt;
    if (Kind == Bytes || Kind == Text) {
      if (*Argument > Left_.size())
        return std::nullopt;
      Left_.remove_prefix(*Argument);
    }
    if (Kind != List && Kind != Map)
      return 0;
    if (*Argument > MaxValues)
      return std::nullopt;
    return Kind == Map ? 2 * *Argument : *Argument;
  }

  std::optional<std::uint64_t> readBytes(std::size_t Count) {
    if (Count > Left_.size())
      return std::nullopt;
    std::uint64_t Value = 0;
    for (const char Byte : Left_.substr(0, Count))
      Value = Value << 8U | static_cast<unsigned char>(Byte);
    Left_.remove_prefix(Count);
    return Value;
  }

  std::string_view Left_;
};

} // namespace

std::string_view messageKindName(MessageKind Kind) {
  return KindNames[static_cast<std::size_t>(Kind)];
}

bool isHandshake(MessageKind Kind) { return Kind <= MessageKind::Accepted; }

std::string encode(const Envelope &Message) {
  json Array = json::array({static_cast<unsigned>(Message.Kind_), Message.Epoch_, Message.Body_});
  if (isHandshake(Message.Kind_)) {
    Array.push_back(Message.Sender_.str());
    Array.push_back(Message.Incarnation_);
  }
  std::string Frame;
  json::to_cbor(Array, Frame);
  return Frame;
}

std::optional<Envelope> decode(const std::string &Frame) {
  if (!FrameCheck(Frame).passes())
    return std::nullopt;
  try {
    json Array = json::from_cbor(Frame);
    if (!Array.is_array() || Array.size() < EnvelopeFields)
      return std::nullopt;
    const auto Kind = Array[0].get<unsigned>();
    if (Kind >= MessageKindCount)
      return std::nullopt;
    Envelope Result;
    Result.Kind_ = static_cast<MessageKind>(Kind);
    const bool Handshake = isHandshake(Result.Kind_);
    if (Array.size() != (Handshake ? HandshakeFields : EnvelopeFields))
      return std::nullopt;
    Result.Epoch_ = Array[1].get<std::uint64_t>();
    Result.Body_ = std::move(Array[2]);
    if (Handshake) {
      Result.Sender_ = HostId(Array[3].get<std::string>());
      Result.Incarnation_ = Array[4].get<Incarnation>();
    }
    return Result;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace bronzestand::node
