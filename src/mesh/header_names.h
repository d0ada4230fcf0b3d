#ifndef BRONZESTAND_MESH_HEADER_NAMES_H
#define BRONZESTAND_MESH_HEADER_NAMES_H

#include <string>

namespace bronzestand::node {

/// Names of the HTTP headers that callers, backend servers and nodes exchange; set by the adapter
/// to the platform.
struct HeaderNames {
  std::string RequestId_;      ///< repeated by backend servers in their answers
  std::string Deadline_;       ///< time left, in milliseconds
  std::string Team_;           ///< set for backend servers
  std::string CallingService_; ///< service of the host where the request began; set by the node
  std::string ExpectedServer_; ///< id of the backend server that may run the request
  std::string Signature_;      ///< marks answers that a backend server made itself
  std::string Rate_;           ///< requests per second that the backend server takes
  std::string Load_;           ///< "running,waiting,slots" and the pace of the backend server
  std::string Leaving_;        ///< "1": the backend server is leaving
  std::string Instance_;       ///< in health answers: id of the backend server
  std::string ColdFor_;        ///< in health answers: time that the server stays cold, in ms
  std::string NotRun_;         ///< the backend server says that it did not run the request
};

} // namespace bronzestand::node

#endif
