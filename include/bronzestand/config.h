#ifndef BRONZESTAND_CONFIG_H
#define BRONZESTAND_CONFIG_H

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "bronzestand/error.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// Document `fleet`.
struct FleetSpec {
  std::string KeySalt_;
  std::map<RegionId, std::vector<DataCentreId>> Regions_;
  double CrossRegionMbit_ = 30.0;
};

/// Document `classes/<name>`.
struct ClassSpec {
  ClassId Name_;
  double Served_ = 0.0; ///< target share of whole requests served, 0 to 1
  Duration Within_{};   ///< target time of a whole request
  bool MayWait_ = true;
  bool MayBeShed_ = true;
  bool AtMostOnce_ = false;
  bool Open_ = false;
  std::uint32_t MaxAttempts_ = 64; ///< bound over the whole call tree
};

/// One route of a service. A prefix route matches every path that starts with Path_.
struct RouteSpec {
  std::string Method_;
  std::string Path_;
  bool Prefix_ = false;
  bool Idempotent_ = false;
  ClassId Class_;
  ServiceId Service_;
};

/// Document `services/<name>`.
struct ServiceSpec {
  ServiceId Name_;
  std::vector<RouteSpec> Routes_;
};

struct KeySpec {
  std::string Id_;
  std::string Hash_; ///< hex(SHA-256(key_salt + ":" + key))
  bool Withdrawn_ = false;
};

/// Document `teams/<name>`.
struct TeamSpec {
  TeamId Name_;
  double Rate_ = 0.0;  ///< requests a second over the whole fleet
  double Burst_ = 0.0; ///< requests
  std::vector<KeySpec> Keys_;
};

struct HostSpec {
  HostId Id_;
  ServiceId Service_;
  DataCentreId DataCentre_;
  std::string Address_;
  std::uint16_t Port_ = 0;
  bool Leaving_ = false;
};

/// Document `hosts/<data centre>/<service>`.
struct HostListSpec {
  DataCentreId DataCentre_;
  ServiceId Service_;
  std::vector<HostSpec> Hosts_;
};

using DocumentBody = std::variant<FleetSpec, ClassSpec, ServiceSpec, TeamSpec, HostListSpec>;

/// Result of a check: a body if there are no errors, otherwise all errors at once.
struct ParsedDocument {
  std::optional<DocumentBody> Body_;
  std::vector<ErrorDetail> Errors_;
};

/// Parses and checks one document. The verdict depends on the two arguments alone, so that all
/// nodes and the command-line tool decide alike (design section 4).
/// \param Path path on the platform, for example "teams/hotels".
/// \param Text YAML text, at most 1 MB.
/// Cost: linear in the text.
ParsedDocument parseDocument(std::string_view Path, std::string_view Text);

/// Finds references between documents that do not resolve: routes to classes, hosts to services
/// and data centres. Such a set still loads; requests that need the missing part are refused.
std::vector<ErrorDetail> checkReferences(const std::map<std::string, DocumentBody> &Documents);

/// The documents in force, indexed for use per request (design section 4).
class Catalogue {
public:
  Catalogue() = default;
  // The indexes point into the documents.
  Catalogue(const Catalogue &) = delete;
  Catalogue &operator=(const Catalogue &) = delete;

  /// Adds a document or replaces the one of the same kind and name.
  /// Cost: linear in the old and the new document; for a class, linear in the number of classes.
  void put(DocumentBody Body);
  /// Removes the document at a path; does nothing if there is none. Cost: as put.
  void erase(const std::string &Path);

  const FleetSpec &fleet() const { return Fleet_; }
  const ClassSpec *findClass(const ClassId &Name) const;
  const TeamSpec *findTeam(const TeamId &Name) const;
  const HostSpec *findHost(const HostId &Id) const;
  const std::map<ClassId, ClassSpec> &classes() const { return Classes_; }
  const std::map<TeamId, TeamSpec> &teams() const { return Teams_; }
  const std::map<ServiceId, ServiceSpec> &services() const { return Services_; }
  const std::map<std::pair<DataCentreId, ServiceId>, HostListSpec> &hostLists() const {
    return HostLists_;
  }

  /// Region of a data centre; empty if the fleet document does not name it.
  RegionId regionOf(const DataCentreId &DataCentre) const;

  /// Finds the route of a request: an exact path goes before a prefix, a longer prefix before a
  /// shorter one, then the service's name decides.
  /// \param Path path without the query.
  /// Cost: one table access, and one per length of prefix that any route has.
  const RouteSpec *matchRoute(std::string_view Method, std::string_view Path) const;

  /// Rank of a class, 1 to 255, higher is more important; 0 for an unknown class.
  /// Derived from the targets alone.
  std::uint8_t rankOf(const ClassId &Name) const;

private:
  using RouteIndex = std::unordered_map<std::string, std::vector<const RouteSpec *>>;

  void store(FleetSpec &&Fleet);
  void store(ClassSpec &&Class);
  void store(ServiceSpec &&Service);
  void store(TeamSpec &&Team);
  void store(HostListSpec &&List);
  void eraseService(const ServiceId &Name);
  void eraseHostList(const std::pair<DataCentreId, ServiceId> &Name);
  void rebuildRanks();
  void addRoutes(const ServiceSpec &Service);
  void removeRoutes(const ServiceSpec &Service);
  void addHosts(const HostListSpec &List);
  void removeHosts(const HostListSpec &List);

  FleetSpec Fleet_;
  std::map<ClassId, ClassSpec> Classes_;
  std::map<ServiceId, ServiceSpec> Services_;
  std::map<TeamId, TeamSpec> Teams_;
  std::map<std::pair<DataCentreId, ServiceId>, HostListSpec> HostLists_;
  std::map<ClassId, std::uint8_t> Ranks_;
  /// Routes by method and path. Of several services with the same route, the first by name is in
  /// force; the others take its place when it goes.
  RouteIndex ExactRoutes_;
  RouteIndex PrefixRoutes_;
  /// Number of prefix routes by the length of their path, the longest first.
  std::map<std::size_t, std::size_t, std::greater<>> PrefixLengths_;
  /// Entries by host id. If several lists name a host, the first by data centre and service counts.
  std::unordered_map<std::string, std::vector<const HostSpec *>> Hosts_;
  std::unordered_map<std::string, RegionId> RegionOfDataCentre_;
};

} // namespace bronzestand

#endif
