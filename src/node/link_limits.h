#ifndef BRONZESTAND_NODE_LINK_LIMITS_H
#define BRONZESTAND_NODE_LINK_LIMITS_H

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "node/link_table.h"

namespace bronzestand::node {

/// Returns the bound of links to and from other nodes in a process that may open this many
/// descriptors.
std::size_t maxLinksOf(std::size_t Descriptors);
/// Returns how many descriptors this process may open.
std::size_t descriptorLimit();

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
