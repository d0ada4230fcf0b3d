#ifndef BRONZESTAND_BACKEND_CHOICE_H
#define BRONZESTAND_BACKEND_CHOICE_H

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bronzestand/backend_directory.h"
#include "bronzestand/balancer.h"
#include "bronzestand/call.h"
#include "bronzestand/server_failures.h"
#include "bronzestand/server_load.h"
#include "bronzestand/server_scope.h"

namespace bronzestand {

/// How one attempt of a call ended, as evidence about the backend server.
enum class AttemptResult {
  Served,
  Failed,      ///< the server returned an error or did not answer
  Rejected,    ///< the server refused the request because it was full
  Busy,        ///< the server's node refused the request because it could not be served in time
  Unreachable, ///< the node or the server could not be connected to
  WrongServer, ///< another server now uses the address
  Cancelled,   ///< the attempt is no evidence about the server
};

/// How evenly the servers of a service are loaded, as a node sees it.
struct LoadSpread {
  std::size_t Servers_ = 0; ///< that reported to this node lately
  double Busiest_ = 0.0;    ///< most outstanding calls per slot
  double Mean_ = 0.0;       ///< mean of all of them
};

/// Chooses a backend server for each call by distance, expected load and observed failures. Near
/// servers are preferred while they can meet the latency objective, because traffic between data
/// centres or regions is billed. Of each distance up to four servers are drawn at random in
/// proportion to the calls that they can serve, and the one with the least expected load is used
/// (Mitzenmacher 2001, The power of two choices), so that many nodes that know little or the same
/// do not all use one server. Load pattern: from a few nodes with many calls each to hundreds of
/// nodes with a few calls a second each. Design section 9 and docs/design/even-load.md.
class BackendChoice {
public:
  /// \param Home data centre of this node.
  /// \param Regions region of each data centre.
  /// \param Seed of the random choices; should differ between nodes.
  BackendChoice(DataCentreId Home, std::unordered_map<std::string, std::string> Regions,
                std::uint64_t Seed = 0);

  /// Chooses a server. One that is missing from the platform's list may have left, and is only
  /// chosen if there is no other. \param Scope the servers that may be used.
  /// \param Objective latency objective of the call; zero if it has none.
  /// \param Bytes expected size of request and answer.
  /// \return the server, or nullptr if none may be used.
  /// Cost: linear in the servers of the service.
  const BackendServer *choose(TimePoint Now, const BackendDirectory &Directory,
                              const ServiceId &Service, const ServerScope &Scope,
                              Duration Objective, double Bytes);

  /// Sets whether some calls may run in some regions only. The penalty for another region then
  /// falls as the own one fills, so that the other calls leave room to them.
  void setRegionsRestricted(bool Restricted) { RegionsRestricted_ = Restricted; }
  /// Sets the services whose servers may be cold; none by default. Their servers that are listed as
  /// cold, or have just returned, get few calls until they have reported.
  void setColdServices(std::set<ServiceId> Services) { ColdServices_ = std::move(Services); }
  /// Records the start of an attempt at a server.
  void started(const std::string &Id);
  /// Records the result of an attempt at a server.
  void finished(TimePoint Now, const std::string &Id, AttemptResult Result);
  /// Records the load that the server's node reported.
  void report(TimePoint Now, const std::string &Id, const BackendLoad &Load);
  /// Records the failing servers that another node has told of.
  void heard(TimePoint Now, const std::vector<ServerFailure> &Items);
  /// Returns the failing servers to tell other nodes of.
  std::vector<ServerFailure> failures(TimePoint Now, const BackendDirectory &Directory) {
    return Failures_.newest(Now, Directory);
  }
  /// Records that a server's node could not be reached; the server is avoided for a short
  /// time.
  void unreachable(TimePoint Now, const std::string &Id);
  /// Records that a server's node answers again.
  void reachable(const std::string &Id);
  /// Removes the records of servers that are no longer listed and have no calls in flight, and
  /// resets those of servers that restarted with the same id.
  void update(TimePoint Now, const BackendDirectory &Directory);
  /// Returns the shortest estimated queueing time at a server of the service that may be used, for
  /// Retry-After; zero if nothing is known.
  Duration expectedWait(TimePoint Now, const BackendDirectory &Directory, const ServiceId &Service,
                        const ServerScope &Scope) const;
  /// Returns the limit that a server has named recently, in requests per second; 0 if none.
  double rateOf(TimePoint Now, const std::string &Id) const;
  /// Returns whether a server of the service that may be used is not known to have a limit. Cost:
  /// linear in the servers of the service.
  bool hasUnlimited(const BackendDirectory &Directory, const ServiceId &Service,
                    const ServerScope &Scope) const;
  /// Returns the spread of load over the servers of each service to which this node sends calls.
  /// Cost: linear in all servers; not for use with each call.
  std::map<ServiceId, LoadSpread> spreads(TimePoint Now, const BackendDirectory &Directory) const;
  /// Returns the distance of a server from this node.
  Locality localityOf(const BackendServer &Server) const;
  /// Returns the region of a server; empty if the settings do not name its data centre.
  RegionId regionOf(const BackendServer &Server) const;
  /// Returns whether a server is not leaving and inside a scope.
  bool mayUse(const BackendServer &Server, const ServerScope &Scope) const;

private:
  struct ServerRecord;
  /// What a call needs of a server.
  struct CallNeeds {
    double ObjectiveS_ = 0.0;
    double Bytes_ = 0.0;
    double DistanceWeight_ = 1.0; ///< factor on the penalty for another region
  };
  enum class Kind { Sound, Resting, Failing };
  /// A server that may be used.
  struct Candidate {
    const BackendServer *Server_ = nullptr;
    const ServerRecord *Record_ = nullptr; ///< null if nothing is known of it
    std::size_t Group_ = 0;                ///< of its kind and distance
    double Slots_ = 0.0;
    double Rate_ = 0.0;   ///< calls per second that its slots can serve; 0 if not known
    double Weight_ = 0.0; ///< the same within the limit that it names
  };
  /// The candidates of a kind and distance, and some of them drawn at random in proportion to the
  /// calls that they can serve.
  struct Group {
    double Rate_ = 0.0;       ///< sum of the rates that are known
    double Weight_ = 0.0;     ///< sum of the weights of these servers
    double Slots_ = 0.0;      ///< of the servers whose rates are known
    double Recent_ = 0.0;     ///< of these slots, those of servers that have reported lately
    double Used_ = 0.0;       ///< of Recent_, mean over the last seconds
    double Calls_ = 0.0;      ///< calls at these servers, mean over the last seconds
    double MeanWeight_ = 0.0; ///< of the newest report
    std::size_t Known_ = 0;
    TimePoint ReportedAt_{}; ///< of the newest report
    std::array<const Candidate *, 4> Drawn_{};
    std::array<double, 4> Keys_{};

    void add(TimePoint Now, const Candidate &Server);
    void draw(const Candidate &Server, std::mt19937_64 &Random);
    bool empty() const { return Drawn_[0] == nullptr; }
    /// Returns the mean service time, in seconds; 0 if not known.
    double serviceTime() const { return Rate_ > 0.0 ? Slots_ / Rate_ : 0.0; }
    /// Return the mean load of the slots, which falls to zero once no server reports.
    double usedShare() const { return Recent_ > 0.0 ? Used_ / Recent_ * MeanWeight_ : 0.0; }
    double meanShare() const { return Recent_ > 0.0 ? Calls_ / Recent_ * MeanWeight_ : 0.0; }
  };
  /// The servers that may be used.
  struct Candidates {
    std::vector<Candidate> Servers_;
    std::array<Group, 9> Groups_;            ///< by kind and distance
    const BackendServer *Avoided_ = nullptr; ///< the one that was unreachable first

    void clear();
  };

  struct ServerRecord {
    std::uint64_t StartedMs_ = 0;
    ServerLoad Load_;
    double FailureRate_ = 0.0; ///< moving average of unsuccessful attempts, 0 to 1
    TimePoint FailureAt_{};    ///< last update of FailureRate_
    TimePoint AvoidUntil_{};
    TimePoint ColdUntil_{}; ///< expected end of the warm-up
    bool ListedCold_ = false;
    bool Unproven_ = false; ///< may be cold and has not reported since
    TimePoint RestUntil_{}; ///< a cold server is spared until then while others have room
  };

  /// Returns whether a server that may be cold has enough calls of this node for now.
  static bool isResting(TimePoint Now, const ServerRecord &Record) {
    return Now < Record.RestUntil_ || (Record.Unproven_ && Record.Load_.inFlight() != 0);
  }
  Duration randomTime(Duration Most);
  void updateCold(TimePoint Now, const BackendServer &Server, bool Returned, ServerRecord &Record);
  void addCandidate(TimePoint Now, const BackendServer &Server, Candidates &To);
  /// Returns the best server; nullptr if there is none.
  const BackendServer *best(TimePoint Now, Candidates &From, const CallNeeds &Needs);
  /// Decides whether a server is used that is farther and costs less by a difference.
  /// \param Penalty that for its distance.
  /// \param Age how long ago the nearer servers reported.
  bool isWorth(double Difference, double Penalty, Duration Age, const CallNeeds &Needs);
  /// Returns that age for a server and its group, if only the load speaks against the server.
  std::optional<Duration> loadAge(TimePoint Now, const Candidate &Server,
                                  const Group &Servers) const;
  /// Returns the server of a group to use if any of them is; nullptr if it is empty.
  const Candidate *bestOf(TimePoint Now, const Group &Servers, const CallNeeds &Needs) const;
  /// Returns the failure rate as this node has seen it.
  static double ownFailureRate(TimePoint Now, const ServerRecord &Record);
  /// Returns the higher of that and of what the node beside the server has measured.
  double failureRate(TimePoint Now, const std::string &Id, const ServerRecord &Record) const;
  /// Returns the cost of a server by which it is compared with those at other distances, in
  /// seconds. \param Servers its group.
  double cost(TimePoint Now, const Candidate &Server, const Group &Servers,
              const CallNeeds &Needs) const;
  /// Returns the cost of a server by which it is compared with those of its group, as a share of
  /// its slots.
  double costInGroup(TimePoint Now, const Candidate &Server, const Group &Servers,
                     const CallNeeds &Needs) const;
  /// Returns the penalty for a distance, in seconds.
  static double penalty(std::size_t Distance, const CallNeeds &Needs);
  /// Returns the factor on the penalty for another region by the load of the servers of this node's
  /// region that may be used.
  double distanceWeight(TimePoint Now, const BackendDirectory &Directory, const ServiceId &Service,
                        const ServerScope &Scope) const;
  Duration estimateWait(TimePoint Now, const ServerRecord &Record,
                        const BackendServer &Server) const;

  DataCentreId Home_;
  std::unordered_map<std::string, std::string> Regions_;
  std::unordered_map<std::string, ServerRecord> Records_;
  std::set<ServiceId> ColdServices_;
  ServerFailures Failures_;
  bool RegionsRestricted_ = false;
  Candidates Listed_;  ///< of the current choice; kept for their memory
  Candidates Missing_; ///< those that are missing from the platform's list
  std::mt19937_64 Random_;
};

} // namespace bronzestand

#endif
