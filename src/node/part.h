#ifndef BRONZESTAND_NODE_PART_H
#define BRONZESTAND_NODE_PART_H

#include <string_view>

#include <nlohmann/json.hpp>

#include "absl/status/status.h"
#include "bronzestand/types.h"

namespace bronzestand::node {

/// One child of the supervisor (design section 12).
class Part {
public:
  Part() = default;
  Part(const Part &) = delete;
  Part &operator=(const Part &) = delete;
  virtual ~Part() = default;

  /// Name used in logs and in the state dump.
  virtual std::string_view name() const = 0;
  virtual absl::Status start() = 0;
  /// Stops at once; a graceful stop has drained before.
  virtual void stop() = 0;
  /// Called every 100 ms.
  virtual void tick(TimePoint Now) { (void)Now; }
  /// Called first after this process was paused for more than 1 s. Drops all state that may have
  /// expired: leases, admission levels, queued work.
  virtual void onPause(TimePoint Now) { (void)Now; }
  /// State for operators. Holds no key.
  virtual nlohmann::json dump() const = 0;
};

} // namespace bronzestand::node

#endif
