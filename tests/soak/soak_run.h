#ifndef BRONZESTAND_TESTS_SOAK_SOAK_RUN_H
#define BRONZESTAND_TESTS_SOAK_SOAK_RUN_H

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "daemons.h"
#include "ledger.h"
#include "misuse.h"
#include "plan.h"
#include "servers.h"
#include "standins/platform_store.h"

namespace bronzestand::soak {

struct RunOptions {
  std::uint64_t Seed_ = 1;
  std::size_t Nodes_ = 8;
  Duration Length_ = std::chrono::seconds(12); ///< of the time with faults
  double RequestsPerNode_ = 15.0;              ///< a second
  bool Placement_ = false; ///< with allowed regions, cold servers and evacuations
  bool Misuse_ = false;    ///< with callers that do not respect the limits
};

/// One run: a fleet of real nodes with stand-ins for store, servers and callers, the faults of a
/// plan, and the checks.
class SoakRun {
public:
  SoakRun(const RunOptions &Options, std::string Directory);
  ~SoakRun();

  void run();
  const Ledger &ledger() const { return Book_; }
  const Plan &plan() const { return Plan_; }
  /// Connections of callers that do not respect the limits.
  std::uint64_t misuses() const { return Misuse_ ? Misuse_->opened() : 0; }
  std::string logs() const { return Daemons_.logs(); }

private:
  /// A process that ends this much after the grace period has missed it; the rest is the driver's
  /// own delay on a busy machine.
  static constexpr Duration EndSlack = std::chrono::milliseconds(500);

  enum class NodeState { Running, Stopping, Down };
  struct Node {
    NodeState State_ = NodeState::Down;
    TimePoint Started_{};
    TimePoint Stopping_{};   ///< time of the first SIGTERM
    bool Disturbed_ = false; ///< paused or killed since then
    int Pauses_ = 0;
    Duration StartAfter_{}; ///< from its end to the next start
    bool Leaves_ = false;   ///< its server drains
    bool ServerDown_ = false;
    bool ListedCold_ = false; ///< its server, in the store
    bool Gone_ = false;       ///< its server has ended, the next one is not listed yet
    std::unique_ptr<node::HttpClient> Callers_;
    std::unique_ptr<node::HttpClient> OwnCalls_; ///< of its server
  };
  /// What a caller asks for.
  struct Ask {
    std::string Method_;
    std::string Path_;
    std::string Key_;
    std::string Team_;
    std::string Service_;
    bool Idempotent_ = true;
    unsigned MaxRuns_ = 1;
    Duration Timeout_{};
    std::string Region_;      ///< the only allowed one; empty for any
    unsigned Unexpected_ = 0; ///< status that would show an old configuration; 0 for none
    unsigned Wanted_ = 0;     ///< only status that shows the new configuration; 0 for any
  };

  void at(TimePoint Time, std::function<void()> Step);
  void after(Duration Time, std::function<void()> Step);
  /// Runs until a condition holds. \return whether it did in time.
  bool until(Duration Limit, const std::function<bool()> &Holds);
  void runDue();

  void start();
  /// Fails the run if a node serves no metrics at the address of its settings.
  void checkMetrics();
  void sendNext(std::size_t Node);
  Ask chooseAsk();
  Ask browse() const;
  Ask probe();
  void send(std::size_t Node, const Ask &What);
  void callOf(std::size_t Node, const std::function<void(bool Served)> &Done);
  node::HttpRequest request(const Ask &What, Duration Deadline, Sent &Record, std::size_t Node);

  void inject(const Fault &Item);
  void injectNode(const Fault &Item);
  void injectLinks(const Fault &Item);
  void injectStore(const Fault &Item);
  void injectServer(const Fault &Item);
  void terminate(std::size_t Node, Duration StartAfter);
  void kill(std::size_t Node, Duration StartAfter);
  void pause(std::size_t Node, Duration For);
  /// Notices ends of processes and starts them again.
  void watchNodes();
  void noteEnd(std::size_t Node);
  void startNode(std::size_t Node);
  void leave(std::size_t Node, Duration For);
  void endServer(std::size_t Node, Duration For);
  void evacuate(const std::string &DataCentre, Duration For);
  /// Writes how long the servers stay cold, again and again.
  void refreshCold();
  void lapse(Duration For);
  void list(std::size_t Node, const std::string &State);
  void changeConfig();
  void recover();
  void stopNodes();

  RunOptions Options_;
  Plan Plan_;
  std::mt19937_64 Random_;
  boost::asio::io_context Io_;
  Ledger Book_;
  Daemons Daemons_;
  standin::PlatformStore Store_;
  std::vector<std::unique_ptr<Server>> Servers_;
  std::vector<Node> Nodes_;
  std::unique_ptr<MisuseCallers> Misuse_; ///< null if the run has none
  std::multimap<TimePoint, std::function<void()>> Steps_;
  std::set<std::string> Evacuated_; ///< data centres
  std::uint64_t Requests_ = 0;
  unsigned Version_ = 0; ///< of the configuration; names its routes and keys too
  TimePoint Changed_{};
  TimePoint FaultsStart_{};
  bool Sending_ = false;
  bool Ending_ = false;  ///< nodes that end are not started again
  std::size_t Open_ = 0; ///< requests without an end
};

} // namespace bronzestand::soak

#endif
