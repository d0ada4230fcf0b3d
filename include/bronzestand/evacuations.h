#ifndef BRONZESTAND_EVACUATIONS_H
#define BRONZESTAND_EVACUATIONS_H

#include <map>
#include <set>

#include "bronzestand/types.h"

namespace bronzestand {

/// Which data centres are being evacuated, and which of them this node must not use now. Load
/// pattern: a data centre with a quarter of the capacity leaves and returns while all entry nodes
/// learn of it within the same tenths of a second; each node stops and resumes at a moment of its
/// own, so that the load moves as fast as load reports follow. docs/design/evacuation.md.
///
/// A data centre has three uses at a node. Entries stop choosing its servers early, and resume
/// late. The node beside a server refuses what still arrives after all entries have stopped, and
/// accepts calls again before the first of them resumes.
class Evacuations {
public:
  /// \param Self this node; its moments depend on it.
  /// \param Time from the writing of the key until the servers must get no more requests.
  Evacuations(HostId Self, Duration Time) : Self_(std::move(Self)), Time_(Time) {}

  /// Begins the evacuation of a data centre, unless it has begun already.
  /// \param WrittenAfter moment after which the key was certainly or very probably written: Now for
  ///        a node that follows the store, an earlier one for a node that lost it meanwhile.
  ///        TimePoint::min() if it is not known; the data centre is then left out at once.
  /// \return whether it has begun.
  bool begin(TimePoint Now, const DataCentreId &Name, TimePoint WrittenAfter);
  /// Ends the evacuation of a data centre.
  /// \return whether it was being evacuated.
  bool end(TimePoint Now, const DataCentreId &Name);

  /// Returns the data centres that are being evacuated.
  std::set<DataCentreId> listed() const;
  bool isListed(const DataCentreId &Name) const;
  /// Returns the data centres that entries of this node must not use. Cost: linear in the data
  /// centres that are or recently were evacuated.
  std::set<DataCentreId> unused(TimePoint Now) const;
  /// Returns whether the node beside a server of a data centre must refuse calls.
  bool isClosed(TimePoint Now, const DataCentreId &Name) const;
  /// Returns when the evacuation of a data centre began at this node; it must be listed.
  TimePoint begunAt(const DataCentreId &Name) const { return Centres_.at(Name).BegunAt_; }
  /// Forgets the data centres that are used again.
  void expire(TimePoint Now);

private:
  struct Centre {
    bool Listed_ = false;
    TimePoint BegunAt_{};
    TimePoint StopAt_{};   ///< entries choose no server of it from then on
    TimePoint CloseAt_{};  ///< its nodes refuse calls from then on
    TimePoint ResumeAt_{}; ///< if not listed: entries choose its servers again
  };

  static bool isUnused(TimePoint Now, const Centre &Item) {
    return Item.Listed_ ? Now >= Item.StopAt_ : Now < Item.ResumeAt_;
  }
  /// Returns a number from 0 to 1 that differs between nodes and data centres.
  double placeOf(const DataCentreId &Name) const;

  HostId Self_;
  Duration Time_;
  std::map<DataCentreId, Centre> Centres_;
};

} // namespace bronzestand

#endif
