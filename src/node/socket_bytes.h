#ifndef BRONZESTAND_NODE_SOCKET_BYTES_H
#define BRONZESTAND_NODE_SOCKET_BYTES_H

#include <cstddef>
#include <optional>

namespace bronzestand::node {

/// Returns the bytes written to a TCP socket that the other end has not acknowledged, which are
/// lost if the connection is reset; std::nullopt if the system doesn't say.
std::optional<std::size_t> unacknowledgedBytes(int Descriptor);

/// Returns the bytes that have arrived at a socket and are not read yet.
std::size_t unreadBytes(int Descriptor);

} // namespace bronzestand::node

#endif
