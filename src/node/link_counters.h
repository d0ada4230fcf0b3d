#ifndef BRONZESTAND_NODE_LINK_COUNTERS_H
#define BRONZESTAND_NODE_LINK_COUNTERS_H

#include <array>
#include <functional>

#include "node/envelope.h"
#include "node/link_bytes.h"
#include "node/link_table.h"

namespace bronzestand::node {

/// Counts the frames of all links by kind, and by the distance of the other end.
class LinkCounters {
public:
  void setDistance(std::function<LinkDistance(const HostId &Host)> Find) {
    Distance_ = std::move(Find);
  }
  /// Counts a frame; one of the handshake when the link opens or ends.
  void count(Link &Item, LinkBytes::Direction Way, MessageKind Kind, bool Repeated,
             std::size_t Bytes);
  /// Counts the handshake of a link that has opened or ended.
  void handshakeEnded(Link &Item);

  const LinkBytes &bytes() const { return Bytes_; }
  /// Adds the counters to a dump.
  void dump(nlohmann::json &Result) const;

private:
  struct KindCounter {
    std::uint64_t Messages_ = 0;
    std::uint64_t Bytes_ = 0;
  };
  using KindCounters = std::array<KindCounter, MessageKindCount>;

  std::function<LinkDistance(const HostId &Host)> Distance_;
  LinkBytes Bytes_;
  KindCounters Sent_{};
  KindCounters Received_{};
};

} // namespace bronzestand::node

#endif
