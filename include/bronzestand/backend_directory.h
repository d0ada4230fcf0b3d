#ifndef BRONZESTAND_BACKEND_DIRECTORY_H
#define BRONZESTAND_BACKEND_DIRECTORY_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bronzestand/types.h"

namespace bronzestand {

/// A backend server as the platform lists it.
struct BackendServer {
  std::string Id_; ///< changes on most restarts
  HostId Host_;    ///< IP address of its host, which also runs its node
  std::uint16_t Port_ = 0;
  ServiceId Service_;
  DataCentreId DataCentre_;
  std::uint32_t Slots_ = 0;     ///< requests that it runs concurrently; 0 if unknown
  std::uint64_t StartedMs_ = 0; ///< Unix time; differs after a restart with the same id
  Duration ColdFor_{};          ///< remaining warm-up time when the entry was written
  bool Leaving_ = false;
};

/// The backend servers of the fleet. An entry that disappears while the platform's list is not
/// reliable is kept until the list has had time to recover. Design section 4.
class BackendDirectory {
public:
  /// Adds or replaces an entry. A run of a server that is leaving stays so, also after its
  /// removal.
  /// \return whether the entry is new or a field changed; false also for an entry of an earlier run
  ///         of the server, which does not replace the current one.
  bool put(BackendServer Entry);
  /// Marks the listed run of a server as leaving, because the server itself said so.
  /// \return whether it is listed and was not leaving.
  bool markLeaving(const std::string &Id);
  /// Removes an entry, or keeps it for now if the list is not reliable and the server was not
  /// leaving.
  /// \param Trusted the list was available without interruption, so the server has left or failed.
  /// \return whether the entry was removed.
  bool remove(TimePoint Now, const std::string &Id, bool Trusted);
  /// Replaces the whole list; entries that are missing from the new one are removed as in remove().
  /// \param NewHistory the platform lost its last changes, so the list may contain servers that
  ///        one of them had removed.
  ///        These are held back until the list has had time to recover, also if it is read again
  ///        meanwhile.
  /// \return whether any entry changed or was removed.
  bool replace(TimePoint Now, std::vector<BackendServer> Entries, bool Trusted,
               bool NewHistory = false);
  /// Removes entries that are still missing after the time that the list needs to recover, and adds
  /// those that were held back and are still listed.
  /// \return whether any was removed or added.
  bool expire(TimePoint Now);

  /// Returns the server with an id, or nullptr if it is not listed.
  const BackendServer *find(const std::string &Id) const;
  /// Returns whether a server is missing from the platform's list and kept, because the list is not
  /// reliable.
  bool isMissing(const std::string &Id) const { return Missing_.count(Id) != 0; }
  /// Returns the server at a host, the one started last; nullptr if none is listed. Cost: as
  /// findByService().
  const BackendServer *findByHost(const HostId &Host) const;
  /// Returns the servers of a service, ordered by id; valid until the directory changes. Cost:
  /// constant, but linear in the directory after a change.
  const std::vector<const BackendServer *> &findByService(const ServiceId &Service) const;
  /// Returns the hosts of all listed servers.
  std::set<HostId> hosts() const;
  /// Returns their number. Cost: constant, unless entries have changed.
  std::size_t hostCount() const { return index().ByHost_.size(); }
  /// Returns all listed servers by id.
  const std::map<std::string, BackendServer> &all() const { return Entries_; }

private:
  std::map<std::string, BackendServer> Entries_;
  /// The latest run of a server that was removed.
  struct Departure {
    std::uint64_t StartedMs_ = 0;
    bool Leaving_ = false; ///< it was leaving before
    TimePoint At_;
  };
  /// A listed entry that is not used until a time.
  struct HeldEntry {
    BackendServer Entry_;
    TimePoint Until_;
  };

  /// Finds entries by other fields than their id. A copy is empty, because it would point into the
  /// entries of the other directory.
  struct Index {
    Index() = default;
    Index(const Index & /*Other*/) {}
    Index &operator=(const Index & /*Other*/) {
      Valid_ = false;
      return *this;
    }
    ~Index() = default;

    bool Valid_ = false;
    std::unordered_map<ServiceId, std::vector<const BackendServer *>> ByService_;
    std::unordered_map<HostId, const BackendServer *> ByHost_;
  };

  const Index &index() const;
  /// Tells whether the run of an entry, or a later one, was removed and is not used again.
  bool hasDeparted(const BackendServer &Entry) const;
  void erase(TimePoint Now, const std::string &Id);

  std::map<std::string, TimePoint> Missing_; ///< kept entries and when they expire
  std::map<std::string, Departure> Departed_;
  std::map<std::string, HeldEntry> Held_;
  mutable Index Index_;
};

} // namespace bronzestand

#endif
