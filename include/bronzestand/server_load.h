#ifndef BRONZESTAND_SERVER_LOAD_H
#define BRONZESTAND_SERVER_LOAD_H

#include <cstdint>

#include "bronzestand/backend_directory.h"
#include "bronzestand/call.h"

namespace bronzestand {

/// A quantity that is measured from time to time. Between two measurements the estimate returns
/// from the last value to the mean.
class AgedValue {
public:
  /// Records a value. \param MeanTime time over which the mean is taken.
  void add(TimePoint Now, double Value, Duration MeanTime);
  /// Returns the expected value. \param Lifetime time in which the difference of the last value
  /// from the mean falls by the factor e.
  double at(TimePoint Now, Duration Lifetime) const;
  /// Returns the weight of the last value in that, 0 to 1.
  double weight(TimePoint Now, Duration Lifetime) const;
  double last() const { return Last_; }
  double mean() const { return Mean_; }
  bool isKnown() const { return Known_; }

private:
  double Last_ = 0.0;
  double Mean_ = 0.0;
  TimePoint At_{};
  bool Known_ = false;
};

/// What a node knows of the load of a backend server, from the reports in answers and from its own
/// calls. Load pattern: reports that are up to seconds old while the queue of the server changes
/// within tens of milliseconds. docs/design/even-load.md.
class ServerLoad {
public:
  void started();
  void finished();
  void report(TimePoint Now, const BackendLoad &Load);

  /// Returns what is known of a server that has restarted with the same id.
  ServerLoad restarted() const;

  const BackendLoad &reported() const { return Load_; }
  TimePoint reportedAt() const { return ReportedAt_; }
  std::uint32_t inFlight() const { return InFlight_; } ///< calls of this node
  /// Returns whether the server has reported its load.
  bool isKnown() const { return Share_.isKnown(); }
  /// Returns whether the number of calls in the last report still holds.
  bool isFresh(TimePoint Now) const;
  /// Returns the calls at the server by the last report, as long as it is fresh.
  std::uint32_t outstanding(TimePoint Now) const;
  /// Returns the calls that the server runs at the same time; 0 if not known.
  std::uint32_t limit(const BackendServer &Server) const;
  /// Returns the expected number of calls at the server for each that it runs at the same time.
  double share(TimePoint Now, std::uint32_t Limit) const;
  /// Returns how much the means of the last seconds still say, 0 to 1. A server that gets no calls
  /// does not report that it has room again.
  double meanWeight(TimePoint Now) const;
  /// Returns the mean of share() over the last seconds.
  double meanShare() const { return Share_.mean(); }
  /// Returns the mean share of its slots that was in use in the last seconds, 0 to 1.
  double usedShare() const { return Used_.mean(); }
  /// Returns the time that the server takes for a call now, in seconds; 0 if not known.
  double serviceTime(TimePoint Now) const;
  /// Returns the time in the queue by the last report, without that for the limit in requests per
  /// second.
  Duration queueTime(TimePoint Now, std::uint32_t Limit) const;
  /// Returns the expected time in the queue, in seconds. The older the last report is, the more the
  /// means of all servers at the same distance count, because those of one have large errors.
  /// \param UsedShare as usedShare(). \param MeanShare as meanShare().
  double expectedQueueTime(TimePoint Now, std::uint32_t Limit, double UsedShare,
                           double MeanShare) const;
  /// Returns the time until the server's limit in requests per second allows a further call.
  Duration rateTime(TimePoint Now) const;

private:
  /// Returns the time in which the number of calls returns to its mean.
  Duration queueLifetime(TimePoint Now) const;

  BackendLoad Load_;
  TimePoint ReportedAt_{};
  std::uint32_t InFlight_ = 0;
  std::uint32_t StartedSinceReport_ = 0;
  AgedValue Share_;    ///< of outstanding calls, per call of the limit
  AgedValue Used_;     ///< the same of running calls
  AgedValue ServiceS_; ///< at the usual pace
  AgedValue Pace_;
};

} // namespace bronzestand

#endif
