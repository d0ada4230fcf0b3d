#ifndef BRONZESTAND_NODE_LINK_SOCKETS_H
#define BRONZESTAND_NODE_LINK_SOCKETS_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "absl/status/status.h"
#include "node/arriving_frames.h"
#include "node/link_table.h"
#include "node/settings.h"

namespace bronzestand::node {

/// How a connection ended.
enum class SocketEnd : std::uint8_t {
  Usual,     ///< closed or lost
  Unneeded,  ///< the other end closed it by release()
  Oversized, ///< the other end sent a frame over the limit
};

/// WebSocket connections of the links, in both directions.
///
/// Errors: a failed listener by listen(), others by false or by the end of the connection.
class LinkSockets {
public:
  struct Handlers {
    /// A connection of another process was accepted; it is not open yet.
    std::function<void(const ConnectionHandle &Handle)> OnAccepted_;
    /// A connection is open, before its first frame.
    std::function<void(const ConnectionHandle &Handle, bool Outgoing)> OnOpen_;
    /// A connection has ended, or could not be opened.
    std::function<void(const ConnectionHandle &Handle, SocketEnd Reason)> OnClosed_;
    std::function<void(const ConnectionHandle &Handle, const std::string &Frame)> OnFrame_;
  };

  /// Largest frame that is sent or accepted.
  static constexpr std::size_t MaxFrameBytes = 8ULL * 1024 * 1024;
  /// The same while the other end has not proved that it is a node. The largest message of a
  /// handshake has some 300 bytes.
  static constexpr std::size_t MaxUnprovedBytes = 4ULL * 1024;

  /// \param Arriving counts the frames of all connections.
  LinkSockets(boost::asio::io_context &Io, std::shared_ptr<ArrivingFrames> Arriving);
  LinkSockets(const LinkSockets &) = delete;
  LinkSockets &operator=(const LinkSockets &) = delete;
  ~LinkSockets();

  /// Sets the handlers; must be called before listen() and connect().
  void bind(const Handlers &Callbacks);
  absl::Status listen(const Endpoint &Address);
  void stopListening();
  /// Opens a connection.
  /// \param Own host that is named to the other end; not used for authentication.
  /// \param Added called with the connection before any of the handlers.
  bool connect(const Endpoint &Address, const HostId &Own,
               const std::function<void(const ConnectionHandle &Handle)> &Added);
  bool send(const Link &Item, const std::string &Frame);
  /// Takes large frames from now on, because the other end is a node.
  void admitLargeFrames(const Link &Item);
  /// Closes the socket of a link at once.
  void close(const Link &Item);
  /// The same for an accepted connection.
  void closeAccepted(const ConnectionHandle &Handle);
  /// Closes a link and tells the other end that it is not needed.
  void release(const Link &Item);
  /// Returns the memory of the frame that arrives; 0 if there is none.
  std::size_t arrivingBytes(const Link &Item);
  /// Returns the bytes that wait to be written.
  std::size_t queuedBytes(const Link &Item);
  /// Returns the bytes that were written and that the other end has not acknowledged.
  std::size_t unacknowledgedBytes(const Link &Item);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace bronzestand::node

#endif
