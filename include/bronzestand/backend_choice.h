#ifndef BRONZESTAND_BACKEND_CHOICE_H
#define BRONZESTAND_BACKEND_CHOICE_H

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bronzestand/backend_directory.h"
#include "bronzestand/balancer.h"
#include "bronzestand/call.h"

namespace bronzestand {

/// How one try ended, as far as it tells something about the backend server.
enum class TryResult {
  Served,
  Failed,      ///< an error of the server, or no answer
  Rejected,    ///< the server refused the request as full
  Busy,        ///< the node refused it, because it could not be served in time
  Unreachable, ///< no connection to the node or to the server
  Wrong,       ///< another server has the address
  Cancelled,   ///< says nothing about the server
};

/// Chooses a backend server for each call, from its distance, its reported load and what this node
/// observed. Near servers go first while they can meet the latency objective, because answers that
/// cross data centres or regions cost money. Design section 9.
class BackendChoice {
public:
  /// \param Region region of each data centre.
  BackendChoice(DataCentreId Home, std::unordered_map<std::string, std::string> Region);

  /// Chooses a server.
  /// \param Excluded ids of servers that this request has tried.
  /// \param Objective time in which the answer is useful in full.
  /// \param Bytes expected size of request and answer.
  /// \return nullptr if none may be used. Cost: linear in the servers of the service.
  const BackendServer *choose(TimePoint Now, const BackendDirectory &Directory,
                              const ServiceId &Service, const std::set<std::string> &Excluded,
                              Duration Objective, double Bytes) const;

  void started(const std::string &Id);
  void finished(TimePoint Now, const std::string &Id, TryResult Result);
  void report(TimePoint Now, const std::string &Id, const BackendLoad &Load);
  /// A node could not be reached; its server is avoided for a while.
  void unreachable(TimePoint Now, const std::string &Id);
  /// A node answers again.
  void reachable(const std::string &Id);
  /// Forgets servers that are no longer listed and restarts under a known id.
  void update(TimePoint Now, const BackendDirectory &Directory);
  /// Time that a call of the service takes at its best server now, for the age of Retry-After.
  Duration expectedWait(TimePoint Now, const BackendDirectory &Directory,
                        const ServiceId &Service) const;
  Locality localityOf(const BackendServer &Server) const;

private:
  struct Record {
    std::uint64_t StartedMs_ = 0;
    std::uint32_t InFlight_ = 0;
    std::uint32_t SinceReport_ = 0; ///< calls started since the last report
    BackendLoad Load_;
    TimePoint Reported_{};
    double FailureRate_ = 0.0; ///< moving average of failed and rejected calls, 0 to 1
    TimePoint FailureAt_{};
    TimePoint AvoidUntil_{};
    TimePoint ColdUntil_{};
  };

  static std::uint32_t busyOf(TimePoint Now, const Record &Item);
  static std::uint32_t limitOf(const Record &Item, const BackendServer &Server);
  double failureRate(TimePoint Now, const Record &Item) const;
  double cost(TimePoint Now, const BackendServer &Server, Duration Objective, double Bytes) const;
  Duration waitOf(TimePoint Now, const Record &Item, const BackendServer &Server) const;

  DataCentreId Home_;
  std::unordered_map<std::string, std::string> Region_;
  std::unordered_map<std::string, Record> Records_;
};

} // namespace bronzestand

#endif
