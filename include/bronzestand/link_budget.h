#ifndef BRONZESTAND_LINK_BUDGET_H
#define BRONZESTAND_LINK_BUDGET_H

#include <array>
#include <cstdint>
#include <string_view>

#include "bronzestand/types.h"

namespace bronzestand {

/// What bytes on the cross-region link are used for.
enum class LinkTraffic : std::uint8_t { Call, Answer, Control };

std::string_view linkTrafficName(LinkTraffic Kind);

struct LinkCounter {
  std::uint64_t Bytes_ = 0;
  std::uint64_t Messages_ = 0;
  std::uint64_t RefusedBytes_ = 0;
  std::uint64_t RefusedMessages_ = 0;
};

/// Bounds the bytes that this node sends over the cross-region link (design section 9). Each node
/// has an equal share of the link; the shares of the live nodes of a region add up to the link.
class LinkBudget {
public:
  /// Sets the share. Tokens above the new capacity are lost; debt stays.
  /// \param Mbit rate of the whole link in Mbit/s, above 0.
  /// \param LiveNodes live nodes of this node's region; 0 counts as 1.
  void setShare(TimePoint Now, double Mbit, std::size_t LiveNodes);

  /// Sets the lowest and highest class rank in force. Half of the bucket is closed to the lowest
  /// rank, nothing to the highest, and a share in between to the others.
  void setRanks(std::uint8_t Lowest, std::uint8_t Highest);

  /// Asks to send a call over the link; deducts and counts the bytes if it may.
  /// A call larger than the bucket may pass on a full bucket and leaves a debt.
  bool trySend(TimePoint Now, std::uint8_t Rank, std::size_t Bytes);

  /// Deducts and counts bytes that are never refused: control traffic, and answers to work that
  /// has already run. May leave a debt, which delays calls.
  void send(TimePoint Now, LinkTraffic Kind, std::size_t Bytes);

  const LinkCounter &counter(LinkTraffic Kind) const {
    return Counters_[static_cast<std::size_t>(Kind)];
  }
  double bytesPerSecond() const { return BytesPerSecond_; }
  /// Bytes left in the bucket at the last event; negative while in debt.
  double tokens() const { return Tokens_; }

private:
  void refill(TimePoint Now);
  double reserveFor(std::uint8_t Rank) const;
  void deduct(LinkTraffic Kind, std::size_t Bytes);

  double BytesPerSecond_ = 0.0;
  double Capacity_ = 0.0;
  double Tokens_ = 0.0;
  TimePoint Refilled_{};
  bool Started_ = false;
  std::uint8_t LowestRank_ = 1;
  std::uint8_t HighestRank_ = 255;
  std::array<LinkCounter, 3> Counters_{};
};

} // namespace bronzestand

#endif
