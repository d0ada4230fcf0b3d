#ifndef BRONZESTAND_NODE_PART_H
#define BRONZESTAND_NODE_PART_H

#include <string_view>

#include <nlohmann/json.hpp>

#include "absl/status/status.h"
#include "bronzestand/types.h"

namespace bronzestand::node {

/// Part of a node that the supervisor starts, ticks, restarts and stops (design section 12).
class Part {
public:
  Part() = default;
  Part(const Part &) = delete;
  Part &operator=(const Part &) = delete;
  virtual ~Part() = default;

  /// Name used in logs and in the state dump.
  virtual std::string_view name() const = 0;
  virtual absl::Status start() = 0;
  /// Stops at once. In a graceful shutdown, requests in progress have ended before.
  virtual void stop() = 0;
  /// Called every 100 ms.
  virtual void tick(TimePoint Now) { (void)Now; }
  /// Called after this process was paused for more than 1 s, before any other work. Drops all state
  /// that may have expired: leases, admission levels, queued work.
  virtual void onPause(TimePoint Now) { (void)Now; }
  /// Returns the state for operators. Must not contain callers' keys.
  virtual nlohmann::json dump() const = 0;
};

} // namespace bronzestand::node

#endif
