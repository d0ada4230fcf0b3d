#ifndef BRONZESTAND_SERVER_FAILURES_H
#define BRONZESTAND_SERVER_FAILURES_H

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "bronzestand/backend_directory.h"
#include "bronzestand/call.h"

namespace bronzestand {

/// Measures the share of failed calls at one backend server over about the last second. The node
/// beside the server uses it, because all calls to the server pass there: in a large fleet each
/// other node sends it a call every few seconds only.
class FailureMeter {
public:
  /// \param HalfLifeS half-life of a call in the share, in seconds.
  /// \param AssumedServed calls that are assumed to have been served, so that the first failure
  ///        proves little.
  explicit FailureMeter(double HalfLifeS = 0.5, double AssumedServed = 3.0)
      : HalfLifeS_(HalfLifeS), AssumedServed_(AssumedServed) {}

  /// Records the end of a call at the server.
  void ended(TimePoint Now, bool Failed);
  /// Returns the share of failed calls, 0 to 1; close to 0 after few calls. Cost: constant.
  double share(TimePoint Now) const;

private:
  double decay(TimePoint Now) const;

  double HalfLifeS_;
  double AssumedServed_;
  double Calls_ = 0.0; ///< weighted by age
  double Failed_ = 0.0;
  TimePoint Updated_{};
};

/// Stores the servers of the fleet whose calls fail, as measured beside them. Nodes pass the
/// entries on with the answers that they send each other anyway, so the time until all nodes know
/// of a failing server grows with the logarithm of their number and not with the time between two
/// calls of one node to one server (epidemic broadcast, Demers et al. 1987). Load pattern: many
/// entry nodes that send few calls each to many servers. Design section 9.
class ServerFailures {
public:
  /// Entries are not passed on for longer. A node believes them for one to MaxBelief times this, at
  /// random, so that one node tries the server again before all the others.
  static constexpr Duration Lifetime = std::chrono::seconds(3);
  static constexpr double MaxBelief = 4.0;
  /// Lower shares are not passed on; a few failures are normal.
  static constexpr double MinShare = 0.25;
  /// Entries that an answer carries at most.
  static constexpr std::size_t MaxEntries = 4;

  /// \param Seed of the random times; should differ between nodes.
  explicit ServerFailures(std::uint64_t Seed = 0) : Random_(Seed) {}

  /// Records a measurement, unless a later one is known.
  void heard(TimePoint Now, const ServerFailure &Item);
  /// Returns the last known share of failed calls at a server; 0 if not known.
  double share(TimePoint Now, const std::string &Server) const;
  /// Returns the newest entries to pass on, also those of servers that have recovered. A service of
  /// which half of the servers fail is left out, because no other server of it is better. Cost:
  /// linear in the entries.
  std::vector<ServerFailure> newest(TimePoint Now, const BackendDirectory &Directory);
  std::size_t size() const { return Entries_.size(); }

private:
  struct Entry {
    double Share_ = 0.0;
    TimePoint At_;
    TimePoint BelievedUntil_;
  };

  std::map<std::string, Entry> Entries_;
  std::mt19937_64 Random_;
};

} // namespace bronzestand

#endif
