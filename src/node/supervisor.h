#ifndef BRONZESTAND_NODE_SUPERVISOR_H
#define BRONZESTAND_NODE_SUPERVISOR_H

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "node/log.h"
#include "node/part.h"

namespace bronzestand::node {

/// Starts and stops the parts of a node, and restarts a part that fails while the others keep
/// running (design section 12).
class Supervisor {
public:
  Supervisor();

  /// Adds a part. Parts start in the order in which they were added and stop in reverse order.
  void add(Part &Child);
  /// Starts all parts. If one fails, stops those already started and returns its error.
  absl::Status start();
  void stop();
  /// Calls tick() of each running part. A part that throws is restarted, at most 5 times in 60 s;
  /// after that it stays stopped.
  void tick(TimePoint Now);
  /// Calls onPause() of each running part. A part that throws is restarted as in tick().
  void pause(TimePoint Now);
  nlohmann::json dump() const;

private:
  struct Child {
    Part *Part_ = nullptr;
    bool Running_ = false;
    std::deque<TimePoint> Restarts_;
    std::string LastFailure_;
  };

  template <typename Callable> void forEachRunning(TimePoint Now, Callable Function);
  void onFailure(Child &Failed, TimePoint Now, const std::string &Reason);

  Logger Log_;
  std::vector<Child> Children_;
};

} // namespace bronzestand::node

#endif
