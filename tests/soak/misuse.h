#ifndef BRONZESTAND_TESTS_SOAK_MISUSE_H
#define BRONZESTAND_TESTS_SOAK_MISUSE_H

#include <cstdint>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "node/settings.h"

namespace bronzestand::soak {

/// Callers that do not respect the limits: each node has one of each form all the time, which
/// connects again when its connection ends, and every few seconds. No request of them is whole and
/// allowed, so none may reach a server; the ledger reports those that no caller of it has sent.
class MisuseCallers {
public:
  /// \param Callers where each node takes requests.
  /// \param Path of a route that exists.
  /// \param Key that the route accepts; used only for requests that never end.
  MisuseCallers(boost::asio::io_context &Io, const std::vector<node::Endpoint> &Callers,
                const std::string &HostName, const std::string &Path, const std::string &Key);
  ~MisuseCallers();
  MisuseCallers(const MisuseCallers &) = delete;
  MisuseCallers &operator=(const MisuseCallers &) = delete;

  /// Returns how many connections were opened.
  std::uint64_t opened() const;

private:
  class Caller;
  std::vector<std::shared_ptr<Caller>> Callers_;
};

} // namespace bronzestand::soak

#endif
