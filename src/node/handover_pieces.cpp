#include "node/handover_pieces.h"

#include <algorithm>
#include <utility>

namespace bronzestand::node {

std::vector<HandoverPiece> splitHandover(const HandoverReply &Reply, std::uint64_t Number,
                                         std::size_t MaxEntries) {
  const std::size_t Size = Reply.Entries_.size();
  const std::size_t Count = std::max<std::size_t>(1, (Size + MaxEntries - 1) / MaxEntries);
  HandoverReply EmptyReply = Reply;
  EmptyReply.Entries_.clear();
  std::vector<HandoverPiece> Pieces;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    HandoverPiece Piece{Number, Index, Count, EmptyReply};
    const std::size_t First = Index * MaxEntries;
    const std::size_t Last = std::min(Size, First + MaxEntries);
    Piece.Reply_.Entries_.assign(Reply.Entries_.begin() + static_cast<std::ptrdiff_t>(First),
                                 Reply.Entries_.begin() + static_cast<std::ptrdiff_t>(Last));
    Pieces.push_back(std::move(Piece));
  }
  return Pieces;
}

std::optional<HandoverReply> HandoverAssembler::add(const HostId &From, HandoverPiece Piece) {
  const auto Key = std::make_tuple(From, Piece.Reply_.Slot_ % ClaimSlots, Piece.Reply_.Fence_);
  if (Piece.Index_ == 0)
    Unfinished_[Key] = {Piece.Number_, 0, {}};
  const auto Found = Unfinished_.find(Key);
  if (Found == Unfinished_.end())
    return std::nullopt;
  Unfinished &Current = Found->second;
  if (Current.Number_ != Piece.Number_ || Current.Next_ != Piece.Index_) {
    Unfinished_.erase(Found);
    return std::nullopt;
  }
  ++Current.Next_;
  Current.Entries_.insert(Current.Entries_.end(), Piece.Reply_.Entries_.begin(),
                          Piece.Reply_.Entries_.end());
  if (Current.Next_ < Piece.Count_)
    return std::nullopt;
  HandoverReply Whole = std::move(Piece.Reply_);
  Whole.Entries_ = std::move(Current.Entries_);
  Unfinished_.erase(Found);
  return Whole;
}

} // namespace bronzestand::node
