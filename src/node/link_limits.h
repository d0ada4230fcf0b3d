#ifndef BRONZESTAND_NODE_LINK_LIMITS_H
#define BRONZESTAND_NODE_LINK_LIMITS_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "node/link_table.h"

namespace bronzestand::node {

/// Returns the bound of links to and from other nodes in a process that may open this many
/// descriptors.
std::size_t maxLinksOf(std::size_t Descriptors);
/// Returns how many descriptors this process may open.
std::size_t descriptorLimit();

/// Why a link was refused or closed because its other end, or all links together, went beyond what
/// is allowed.
enum class LinkMeasure : std::uint8_t {
  ClosedLargest,   ///< its frame held the most of all that arrive, and together they held too much
  ClosedQueue,     ///< the messages that wait for it held the most, and all together too much
  ClosedUnused,    ///< it was not used and made way for a new one
  ClosedUnproved,  ///< a connection without proof made way for another one
  ClosedOversized, ///< its frame stated a length over the limit
  ClosedMalformed, ///< its frame is no message
  FailedHandshake, ///< its other end did not prove to be a node, or not in time
  RefusedLink,     ///< a new one had no place, because all others are in use
  ProtocolError,   ///< its frame violates the agreed form
};
constexpr std::size_t LinkMeasureCount = 9;
/// Returns the name as it appears in the state dump and in metrics.
std::string_view linkMeasureName(LinkMeasure Measure);

/// Counts measures since the start of the process.
class LinkMeasures {
public:
  void count(LinkMeasure Measure) { ++Counts_[static_cast<std::size_t>(Measure)]; }
  /// Adds a value for each measure to an object.
  void dump(nlohmann::json &Result) const;
  /// Appends Prometheus text.
  void print(std::string &Out) const;

private:
  std::array<std::uint64_t, LinkMeasureCount> Counts_{};
};

/// Accepted connections whose other end has not proved yet that it is a node of the fleet. They are
/// bounded apart from the links, so that strangers never displace one.
///
/// Errors: none. Cost: logarithmic; linear in these connections when one has to make way.
class UnprovedConnections {
public:
  /// Adds a connection.
  void add(const ConnectionHandle &Handle) { Items_.emplace(Handle, ++Last_); }
  /// Forgets one that has proved it or has ended.
  void remove(const ConnectionHandle &Handle) { Items_.erase(Handle); }
  std::size_t size();
  /// Takes out the one that was added first.
  ConnectionHandle takeFirst();

private:
  /// Forgets connections that have ended without notice.
  void prune();

  std::map<ConnectionHandle, std::uint64_t, std::owner_less<ConnectionHandle>> Items_;
  std::uint64_t Last_ = 0;
};

} // namespace bronzestand::node

#endif
