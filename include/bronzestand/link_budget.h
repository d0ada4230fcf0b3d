#ifndef BRONZESTAND_LINK_BUDGET_H
#define BRONZESTAND_LINK_BUDGET_H

#include <array>
#include <cstdint>
#include <string_view>

#include "bronzestand/types.h"

namespace bronzestand {

/// Kinds of traffic on the cross-region link.
enum class LinkTraffic : std::uint8_t { Call, Answer, Control };

std::string_view linkTrafficName(LinkTraffic Kind);

struct LinkCounter {
  std::uint64_t Bytes_ = 0;
  std::uint64_t Messages_ = 0;
  std::uint64_t RefusedBytes_ = 0;
  std::uint64_t RefusedMessages_ = 0;
};

/// Token bucket that limits the bytes that this node sends over the cross-region link (design
/// section 9). All live nodes of a region have equal shares of the rate of the link.
class LinkBudget {
public:
  /// Sets the share of this node. Tokens above the new capacity are discarded; a debt remains.
  /// \param Mbit rate of the whole link in Mbit/s, above 0.
  /// \param LiveNodes live nodes of this node's region; 0 counts as 1.
  void setShare(TimePoint Now, double Mbit, std::size_t LiveNodes);

  /// Sets the lowest and highest class rank in use. Calls of the lowest rank can't use half of the
  /// bucket, calls of the highest can use all, and the reserve for ranks between is interpolated.
  void setRanks(std::uint8_t Lowest, std::uint8_t Highest);

  /// Deducts and counts the bytes of a call, or returns false if the call must not be sent.
  /// A call larger than the bucket may be sent when the bucket is full, and leaves a debt.
  bool trySend(TimePoint Now, std::uint8_t Rank, std::size_t Bytes);

  /// Deducts and counts bytes of traffic that is never refused: control messages, and answers to
  /// calls that have already run. May leave a debt, which delays calls.
  void send(TimePoint Now, LinkTraffic Kind, std::size_t Bytes);

  const LinkCounter &counter(LinkTraffic Kind) const {
    return Counters_[static_cast<std::size_t>(Kind)];
  }
  double bytesPerSecond() const { return BytesPerSecond_; }
  /// Bytes left in the bucket at the last update; negative while in debt.
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
