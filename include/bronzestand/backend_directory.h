#ifndef BRONZESTAND_BACKEND_DIRECTORY_H
#define BRONZESTAND_BACKEND_DIRECTORY_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bronzestand/types.h"

namespace bronzestand {

/// A backend server as the platform lists it.
struct BackendServer {
  std::string Id_; ///< changes with most restarts
  HostId Host_;    ///< IP address of its host, where its node runs too
  std::uint16_t Port_ = 0;
  ServiceId Service_;
  DataCentreId DataCentre_;
  std::uint32_t Slots_ = 0;     ///< requests that it runs at the same time; 0 if not known
  std::uint64_t StartedMs_ = 0; ///< Unix time; tells restarts under the same id apart
  Duration ColdFor_{};          ///< time that it stays slow, from when the entry was written
  bool Leaving_ = false;
};

/// The backend servers of the fleet. An entry that vanishes while the platform's list can't be
/// trusted is kept until the list had time to recover. Design section 4.
class BackendDirectory {
public:
  /// Adds or replaces an entry.
  /// \return whether anything but its count of heartbeats changed.
  bool put(BackendServer Entry);
  /// Removes an entry.
  /// \param Trusted the list was served without interruption, so the server has left or died.
  bool remove(TimePoint Now, const std::string &Id, bool Trusted);
  /// Replaces the whole list, after it was read anew; entries that it lacks are removed.
  bool replace(TimePoint Now, std::vector<BackendServer> Entries, bool Trusted);
  /// Drops entries that stayed away after the list has recovered. \return whether any was dropped.
  bool expire(TimePoint Now);

  const BackendServer *find(const std::string &Id) const;
  /// Server at a host, the one started last; nullptr if none is listed.
  const BackendServer *at(const HostId &Host) const;
  /// Servers of a service, in the order of their ids.
  std::vector<const BackendServer *> of(const ServiceId &Service) const;
  /// Hosts of all listed servers.
  std::set<HostId> hosts() const;
  const std::map<std::string, BackendServer> &all() const { return Entries_; }

private:
  std::map<std::string, BackendServer> Entries_;
  std::map<std::string, TimePoint> Missing_; ///< entries that wait for their return, with the end
};

} // namespace bronzestand

#endif
