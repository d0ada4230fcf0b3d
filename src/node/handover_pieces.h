#ifndef BRONZESTAND_NODE_HANDOVER_PIECES_H
#define BRONZESTAND_NODE_HANDOVER_PIECES_H

#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "bronzestand/claims.h"

namespace bronzestand::node {

/// One of the messages that a HandoverReply is split into.
struct HandoverPiece {
  std::uint64_t Number_ = 0; ///< identifies the reply; increases with each reply of a sender
  std::size_t Index_ = 0;    ///< position of this piece in the reply, from 0
  std::size_t Count_ = 1;    ///< number of pieces of the reply
  HandoverReply Reply_;      ///< the reply with this piece's entries only
};

/// Splits a reply into pieces of at most MaxEntries entries. Returns at least one piece.
std::vector<HandoverPiece> splitHandover(const HandoverReply &Reply, std::uint64_t Number,
                                         std::size_t MaxEntries);

/// Reassembles replies from their pieces, which must arrive in order. A witness treats a reply as
/// the complete list of entries, so a reply with a lost piece is dropped; the witness requests it
/// again.
class HandoverAssembler {
public:
  /// Adds a piece. Returns the whole reply when its last piece has arrived.
  std::optional<HandoverReply> add(const HostId &From, HandoverPiece Piece);
  /// Number of replies with missing pieces.
  std::size_t unfinished() const { return Unfinished_.size(); }

private:
  struct Unfinished {
    std::uint64_t Number_ = 0;
    std::size_t Next_ = 0; ///< index of the next expected piece
    std::vector<HandoverEntry> Entries_;
  };

  /// By sender, slot and Fence_ of the reply.
  std::map<std::tuple<HostId, std::uint32_t, bool>, Unfinished> Unfinished_;
};

} // namespace bronzestand::node

#endif
