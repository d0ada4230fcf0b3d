#ifndef BRONZESTAND_NODE_NODE_H
#define BRONZESTAND_NODE_NODE_H

#include <memory>

#include <boost/asio/io_context.hpp>

#include "absl/status/status.h"
#include "node/settings.h"

namespace bronzestand::node {

/// The daemon beside one backend server: all parts of a node, run by a supervisor (design section
/// 12).
class Node {
public:
  Node(boost::asio::io_context &Io, Settings Config);
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;
  ~Node();

  /// Starts all parts. Fails if a listener can't be opened.
  absl::Status start();
  /// Starts a graceful shutdown. A second call aborts the requests in progress.
  void shutdown();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace bronzestand::node

#endif
