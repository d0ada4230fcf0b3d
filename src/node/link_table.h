#ifndef BRONZESTAND_NODE_LINK_TABLE_H
#define BRONZESTAND_NODE_LINK_TABLE_H

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "node/link_bytes.h"
#include "node/link_codec.h"
#include "node/peer_links.h"

namespace bronzestand::node {

/// Names a connection of the WebSocket library; expires when it has ended.
using ConnectionHandle = std::weak_ptr<void>;

/// Bytes of the handshake, counted when it has shown which host is at the other end.
struct HandshakeBytes {
  std::size_t Sent_ = 0;
  std::size_t Received_ = 0;
};

/// A connection to another node.
struct Link {
  LinkId Id_ = 0;
  ConnectionHandle Handle_;
  bool Outgoing_ = false;
  bool Open_ = false;     ///< the handshake is complete
  bool Replaces_ = false; ///< opened to replace silent links to the same host
  bool Broken_ = false;   ///< closed because it was silent
  Peer Peer_;
  std::string Address_; ///< address that an outgoing link was opened to
  HostId Target_;       ///< host that an outgoing link was opened for; empty if not known
  std::string OwnNonce_;
  std::string PeerNonce_;
  TimePoint Created_;
  TimePoint LastUsed_; ///< last message other than a heartbeat
  LinkDistance Distance_ = LinkDistance::Unknown;
  HandshakeBytes Handshake_;
  bool Short_ = false; ///< both ends have offered short frames
  // Null until the first short frame, because most links of a large fleet carry few calls.
  std::shared_ptr<FrameEncoder> Encoder_;
  std::shared_ptr<FrameDecoder> Decoder_;
};

/// The links of a node, found by number, by connection, and by host if they are open.
///
/// Errors: none. Cost: logarithmic in the number of links; linear when the link to a host that is
/// in use ends.
class LinkTable {
public:
  using Map = std::map<LinkId, Link>;

  /// Adds a link with a number and a nonce of its own.
  Link &add(const ConnectionHandle &Handle, bool Outgoing, const HostId &Target);
  /// Makes an open link the one over which messages to its host are sent.
  void select(const Link &Item) { ByHost_[Item.Peer_.Host_.str()] = Item.Id_; }
  /// Removes a link; messages to its host are sent over another open one, if there is one.
  std::optional<Link> take(LinkId Id);

  const Link *find(LinkId Id) const;
  /// Returns the open link over which messages to a host are sent; null if there is none.
  Link *findOpen(const HostId &Host);
  Link *findByHandle(const ConnectionHandle &Handle);
  /// Returns the open link that was not used longest; null if none is open.
  const Link *leastUsed() const;
  /// Counts the links that are open or were opened by this node.
  std::size_t size() const;

  Map::iterator begin() { return Links_.begin(); }
  Map::iterator end() { return Links_.end(); }
  Map::const_iterator begin() const { return Links_.begin(); }
  Map::const_iterator end() const { return Links_.end(); }

private:
  LinkId Last_ = 0;
  Map Links_;
  std::map<ConnectionHandle, LinkId, std::owner_less<ConnectionHandle>> ByHandle_;
  std::unordered_map<std::string, LinkId> ByHost_;
};

} // namespace bronzestand::node

#endif
