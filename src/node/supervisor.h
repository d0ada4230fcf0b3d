#ifndef BRONZESTAND_NODE_SUPERVISOR_H
#define BRONZESTAND_NODE_SUPERVISOR_H

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "node/log.h"
#include "node/part.h"

namespace bronzestand::node {

/// Starts and stops the parts of a node and keeps one part's failure from ending the others
/// (design section 12).
class Supervisor {
public:
  Supervisor();

  /// Adds a child. Children start in the order of adding and stop in reverse.
  void add(Part &Child);
  /// Starts all children; stops the started ones again if one fails.
  absl::Status start();
  void stop();
  /// Runs tick() of each child. A child whose tick throws is restarted, at most 5 times in 60 s.
  void tick(TimePoint Now);
  /// Runs onPause() of each child, with the same treatment of failures.
  void pause(TimePoint Now);
  nlohmann::json dump() const;

private:
  struct Child {
    Part *Part_ = nullptr;
    bool Running_ = false;
    std::deque<TimePoint> Restarts_;
    std::string LastFailure_;
  };

  template <typename Callable> void forEachRunning(TimePoint Now, Callable Use);
  void onFailure(Child &Failed, TimePoint Now, const std::string &Reason);

  Logger Log_;
  std::vector<Child> Children_;
};

} // namespace bronzestand::node

#endif
