#ifndef BRONZESTAND_MESH_FLEET_CHANGE_H
#define BRONZESTAND_MESH_FLEET_CHANGE_H

#include <map>
#include <optional>
#include <set>
#include <string>

#include "bronzestand/backend_directory.h"
#include "bronzestand/fleet_config.h"

namespace bronzestand::node {

/// The changes that a reader found in the store from one position to a later one of the same era,
/// with the last state of each item. Applying it to a state between the two gives the later state.
struct FleetChange {
  StorePosition From_;
  StorePosition To_;
  bool Trusted_ = true; ///< a removed server has left or failed, as in BackendDirectory::remove()
  std::optional<FleetConfig> Config_;
  std::map<std::string, BackendServer> Servers_; ///< added or changed, by id
  std::set<std::string> Removed_;                ///< ids of servers that are no longer listed
  std::map<DataCentreId, bool> Evacuated_;       ///< whether an evacuation began or ended

  bool empty() const {
    return !Config_ && Servers_.empty() && Removed_.empty() && Evacuated_.empty();
  }
  void put(BackendServer Entry) {
    Removed_.erase(Entry.Id_);
    const std::string Id = Entry.Id_;
    Servers_[Id] = std::move(Entry);
  }
  void remove(const std::string &Id) {
    Servers_.erase(Id);
    Removed_.insert(Id);
  }
};

} // namespace bronzestand::node

#endif
