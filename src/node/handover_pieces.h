#ifndef BRONZESTAND_NODE_HANDOVER_PIECES_H
#define BRONZESTAND_NODE_HANDOVER_PIECES_H

#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "bronzestand/claims.h"

namespace bronzestand::node {

/// One message of a HandoverReply that is sent in several.
struct HandoverPiece {
  std::uint64_t Number_ = 0; ///< of the reply; grows at its sender
  std::size_t Index_ = 0;
  std::size_t Count_ = 1;
  HandoverReply Reply_; ///< with a part of the entries
};

/// Splits a reply into pieces of at most MaxEntries entries; at least one piece.
std::vector<HandoverPiece> splitHandover(const HandoverReply &Reply, std::uint64_t Number,
                                         std::size_t MaxEntries);

/// Puts the pieces of replies together. A witness counts a reply as knowledge of all entries, so a
/// reply with a lost piece is dropped; the witness asks again.
class HandoverAssembler {
public:
  /// Takes a piece; returns the whole reply with its last piece.
  std::optional<HandoverReply> add(const HostId &From, HandoverPiece Piece);
  std::size_t unfinished() const { return Unfinished_.size(); }

private:
  struct Unfinished {
    std::uint64_t Number_ = 0;
    std::size_t Next_ = 0;
    std::vector<HandoverEntry> Entries_;
  };

  std::map<std::tuple<HostId, std::uint32_t, bool>, Unfinished> Unfinished_;
};

} // namespace bronzestand::node

#endif
