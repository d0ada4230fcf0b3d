#include "node/envelope.h"

#include <array>

namespace bronzestand::node {
namespace {

using nlohmann::json;

constexpr std::size_t EnvelopeFields = 7;
constexpr std::array<std::string_view, MessageKindCount> KindNames{
    "challenge",  "proof",         "accepted", "heartbeat",   "call",   "answer",    "cancel",
    "call_query", "config_spread", "leaving",  "team_limits", "claims", "quarantine"};

} // namespace

std::string_view messageKindName(MessageKind Kind) {
  return KindNames[static_cast<std::size_t>(Kind)];
}

std::string encode(const Envelope &Message) {
  const json Array = json::array({static_cast<unsigned>(Message.Kind_), Message.Sender_.str(),
                                  Message.Incarnation_, Message.Epoch_, Message.ConfigRevision_,
                                  Message.ListRevision_, Message.Body_});
  std::string Frame;
  json::to_cbor(Array, Frame);
  return Frame;
}

std::optional<Envelope> decode(const std::string &Frame) {
  try {
    json Array = json::from_cbor(Frame);
    if (!Array.is_array() || Array.size() != EnvelopeFields)
      return std::nullopt;
    const auto Kind = Array[0].get<unsigned>();
    if (Kind >= MessageKindCount)
      return std::nullopt;
    Envelope Result;
    Result.Kind_ = static_cast<MessageKind>(Kind);
    Result.Sender_ = HostId(Array[1].get<std::string>());
    Result.Incarnation_ = Array[2].get<Incarnation>();
    Result.Epoch_ = Array[3].get<std::uint64_t>();
    Result.ConfigRevision_ = Array[4].get<Revision>();
    Result.ListRevision_ = Array[5].get<Revision>();
    Result.Body_ = std::move(Array[6]);
    return Result;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace bronzestand::node
