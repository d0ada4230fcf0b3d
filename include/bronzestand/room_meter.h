#ifndef BRONZESTAND_ROOM_METER_H
#define BRONZESTAND_ROOM_METER_H

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "bronzestand/server_failures.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// Counts events with an exponential weight by age.
class RateMeter {
public:
  explicit RateMeter(double HalfLifeS) : HalfLifeS_(HalfLifeS) {}

  void add(TimePoint Now);
  /// Returns the events per second. Cost: constant.
  double rate(TimePoint Now) const;

private:
  double HalfLifeS_;
  double Count_ = 0.0;
  TimePoint Updated_{};
};

/// Measures at a node that calls a service which share of the usual calls can be completed while
/// its servers reject a part of the arrivals: the retries that the budget can provide, divided by
/// those that the calls would need. The usual calls are those before the degradation, so that the
/// result doesn't rise because fewer requests are admitted. Load pattern: servers of the last
/// service of a chain that reject a part of the arrivals for seconds. Memory: one entry for each
/// service that the node has called. docs/design/whole-requests.md.
class RoomMeter {
public:
  struct Room {
    double Share_ = 1.0; ///< of the usual calls that can be completed, if the others are not made
    double Open_ = 1.0;  ///< of the usual calls that can be completed, if all are made
    bool Full_ = false;  ///< the servers reject what exceeds their capacity, not a share
  };

  /// The room is told for this time after a degradation, so that all nodes learn of its end.
  static constexpr Duration TellRecovery = std::chrono::milliseconds(2500);
  /// What is left of the budget is spread over this time. Long enough that nodes learn of the room
  /// and admitted requests end meanwhile, short enough that the budget is used before it expires.
  static constexpr Duration Horizon = std::chrono::seconds(2);

  /// Records the first attempt of a call.
  void first(TimePoint Now, const ServiceId &Service, const ClassId &Class);
  /// Records an attempt that arrived at a server.
  /// \param Accepted false if the server refused to run it.
  void arrived(TimePoint Now, const ServiceId &Service, bool Accepted);
  /// Returns whether the servers of a service reject more than a normal part of the arrivals.
  bool isDegraded(const ServiceId &Service) const;
  /// Returns whether the servers of a service reject what exceeds their capacity, not a share.
  bool isFull(const ServiceId &Service) const;
  /// Returns whether the servers of a service reject a part of the arrivals, and retries complete
  /// calls. They don't if hardly any arrival is accepted, or if full servers are overloaded: each
  /// retry takes the place of another call then.
  bool gainsByRetries(TimePoint Now, const ServiceId &Service) const;
  /// Returns the share of the arrivals that is accepted, 0 to 1.
  double accepted(TimePoint Now, const ServiceId &Service) const;
  /// Returns the shares of the usual calls that can be completed; 1 if not degraded.
  /// \param Retries that the budget of this node can provide within Horizon.
  /// \param Known room that all nodes that measure it have told, if any. Nodes with full servers
  ///        follow it, because each sees the effect of what the others tell.
  Room room(TimePoint Now, const ServiceId &Service, double Retries,
            const std::optional<Room> &Known = std::nullopt);
  /// Returns whether to tell the room of a service now: it is known from new arrivals, or was told
  /// long ago. A node that repeats an old room contradicts those that have seen the end.
  bool takeNews(TimePoint Now, const ServiceId &Service);
  /// Returns the services whose room is to be told: degraded ones, and those whose degradation has
  /// ended recently.
  std::vector<ServiceId> told(TimePoint Now) const;
  /// Returns the classes of the recent calls to a service.
  std::vector<ClassId> classes(TimePoint Now, const ServiceId &Service) const;

private:
  struct Arrivals {
    double Accepted_ = 0.0;
    double Number_ = 0.0;
    double Seconds_ = 0.0; ///< time in which they arrived
    double rejected() const { return Number_ > 0.0 ? 1.0 - Accepted_ / Number_ : 0.0; }
  };
  struct Entry {
    Entry();
    RateMeter Recent_;
    RateMeter Usual_;
    FailureMeter Rejections_;
    FailureMeter Degradation_; ///< rejections since the start of the degradation
    double AcceptedInRow_ = 0.0;
    double Row_ = 0.0; ///< arrivals accepted in a row that end the degradation
    TimePoint ArrivedAt_{};
    bool Degraded_ = false;
    TimePoint DegradedAt_{}; ///< start of the degradation
    RateMeter Served_;       ///< accepted and rejected arrivals of the last moment
    RateMeter Refused_;
    Arrivals Since_;    ///< since the last measurement
    Arrivals Overload_; ///< in times with many rejections, weighted by age
    double LogArrivals_ =
        0.0; ///< sum of the logarithms of the arrivals per second, by accepted one
    TimePoint MeasuredAt_{};
    TimePoint ToldAt_{};
    TimePoint FullAt_{};         ///< time at which the servers were recognised as full
    double FirstCapacity_ = 1.0; ///< value of Capacity_ then
    double Taken_ = 1.0;         ///< share of the usual calls that overloaded servers accept
    bool Full_ = false;          ///< the servers reject what exceeds their capacity, not a share
    double Capacity_ = 1.0;      ///< share of the usual calls that full servers are given
    TimePoint EndedAt_{};        ///< of the last degradation
    double Reference_ = 0.0;     ///< usual calls per second, during a degradation
    TimePoint ReferenceAt_{};
    double ToldShare_ = 1.0;               ///< mean of the shares that were told lately
    std::map<ClassId, TimePoint> Classes_; ///< time of the last call of each
  };

  /// Returns the share of the arrivals of the last moment that was rejected.
  static double rejected(TimePoint Now, const Entry &Item);
  /// Returns the logarithm of the ratio of the likelihoods that servers are full and that they
  /// reject a share.
  static double fullEvidence(const Entry &Item);
  /// Recognises full servers.
  /// \param Last arrivals since the last measurement.
  static void updateFull(TimePoint Now, Entry &Item, const Arrivals &Last,
                         const std::optional<Room> &Known);
  /// Adapts Entry::Capacity_.
  /// \param Retries that the budget can provide.
  static void updateCapacity(TimePoint Now, Entry &Item, double Retries,
                             const std::optional<Room> &Known);

  std::map<ServiceId, Entry> Entries_;
};

} // namespace bronzestand

#endif
