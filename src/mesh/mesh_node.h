#ifndef BRONZESTAND_MESH_MESH_NODE_H
#define BRONZESTAND_MESH_MESH_NODE_H

#include <memory>

#include <boost/asio/io_context.hpp>

#include "absl/status/status.h"
#include "mesh/fleet_state.h"
#include "mesh/header_names.h"
#include "node/part.h"
#include "node/settings.h"

namespace bronzestand::node {

/// The daemon on a platform that publishes configuration and backend servers in a store that can
/// only be read. All parts of one node under a supervisor (design section 12).
class MeshNode {
public:
  /// Makes the part that feeds the fleet state; the adapter to the platform.
  using MakeSource = std::function<std::unique_ptr<Part>(
      boost::asio::io_context &Io, const Settings &Config, FleetState &Fleet, EventLog &Events)>;

  MeshNode(boost::asio::io_context &Io, Settings Config, HeaderNames Names,
           const MakeSource &Source);
  MeshNode(const MeshNode &) = delete;
  MeshNode &operator=(const MeshNode &) = delete;
  ~MeshNode();

  /// Starts all parts. Fails if a listener can't be opened.
  absl::Status start();
  /// Starts a graceful shutdown; a second call ends it at once.
  void shutdown();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace bronzestand::node

#endif
