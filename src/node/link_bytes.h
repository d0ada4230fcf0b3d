#ifndef BRONZESTAND_NODE_LINK_BYTES_H
#define BRONZESTAND_NODE_LINK_BYTES_H

#include <array>
#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include "node/envelope.h"

namespace bronzestand::node {

/// What a frame between nodes is sent for.
enum class TrafficKind : std::uint8_t {
  Call,    ///< the first attempt of a request
  Repeat,  ///< a further attempt
  Answer,  ///< of a call
  State,   ///< what nodes tell each other without a call: fleet state, routes, quarantine
  Control, ///< all other kinds, with those of the handshake
};
constexpr std::size_t TrafficKindCount = 5;

/// Where the node at the other end of a link is. Bytes between data centres and regions are billed.
enum class LinkDistance : std::uint8_t {
  SameDataCentre,
  OtherDataCentre, ///< of the same region
  OtherRegion,
  Unknown, ///< the host is not listed, or the handshake failed
};
constexpr std::size_t LinkDistanceCount = 4;

/// Returns what messages of a kind are sent for.
/// \param Repeated whether a call is a further attempt.
TrafficKind trafficKindOf(MessageKind Kind, bool Repeated);

/// Counts the frames that a node sends and receives on its links, without the headers of WebSocket,
/// TCP and IP.
class LinkBytes {
public:
  enum class Direction : std::uint8_t { Sent, Received };

  void add(Direction Way, TrafficKind Kind, LinkDistance Distance, std::size_t Bytes);

  /// Appends Prometheus text.
  void print(std::string &Out) const;
  /// Returns the counters by direction, kind and distance, without those that are 0.
  nlohmann::json dump() const;

private:
  static constexpr std::size_t DirectionCount = 2;
  struct Counter {
    std::uint64_t Frames_ = 0;
    std::uint64_t Bytes_ = 0;
  };
  using ByDistance = std::array<Counter, LinkDistanceCount>;
  using ByKind = std::array<ByDistance, TrafficKindCount>;

  std::array<ByKind, DirectionCount> Counters_{};
};

} // namespace bronzestand::node

#endif
