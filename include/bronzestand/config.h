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
  bool Open_ = false;              ///< requests need no API key
  std::uint32_t MaxAttempts_ = 64; ///< limit for the whole call tree
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

/// One API key of a team.
struct KeySpec {
  std::string Id_;
  std::string Hash_; ///< hex(SHA-256(key_salt + ":" + key))
  bool Withdrawn_ = false;
};

/// Document `teams/<name>`.
struct TeamSpec {
  TeamId Name_;
  double Rate_ = 0.0;  ///< requests per second over the whole fleet
  double Burst_ = 0.0; ///< requests
  std::vector<KeySpec> Keys_;
};

/// One host of a host list.
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

/// Result of parsing a document: the body if it is valid, otherwise all errors.
struct ParsedDocument {
  std::optional<DocumentBody> Body_;
  std::vector<ErrorDetail> Errors_;
};

/// Parses and validates one document. The result depends only on the two arguments, so that all
/// nodes and the command-line tool accept the same documents (design section 4).
/// \param Path path on the platform, for example "teams/hotels".
/// \param Text YAML text, at most 1 MB.
/// Cost: linear in the text.
ParsedDocument parseDocument(std::string_view Path, std::string_view Text);

/// Finds unresolved references between documents: from routes to classes, and from host lists to
/// services and data centres. Documents with unresolved references still load; requests that need a
/// missing document are refused.
std::vector<ErrorDetail> checkReferences(const std::map<std::string, DocumentBody> &Documents);

/// The documents in force, indexed for lookups by each request (design section 4).
class Catalogue {
public:
  Catalogue() = default;
  // Not copyable, because the indexes point into the documents.
  Catalogue(const Catalogue &) = delete;
  Catalogue &operator=(const Catalogue &) = delete;

  /// Adds a document or replaces the one of the same kind and name.
  /// Cost: linear in the old and the new document; for a class, linear in the number of classes.
  void put(DocumentBody Body);
  /// Removes the document at a path; does nothing if there is none. Cost: as for put.
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

  /// Returns the region of a data centre; empty if the fleet document does not list it.
  RegionId regionOf(const DataCentreId &DataCentre) const;

  /// Finds the route of a request; nullptr if none matches. An exact path takes precedence over a
  /// prefix and a longer prefix over a shorter one. If several services have the same route, the
  /// first service by name is chosen.
  /// \param Path path without the query.
  /// Cost: one hash lookup, and up to one more per distinct length of the prefixes.
  const RouteSpec *matchRoute(std::string_view Method, std::string_view Path) const;

  /// Returns the rank of a class, 1 to 255, where higher is more important; 0 for an unknown class.
  /// Ranks are derived only from the documents of the classes.
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
  /// Routes by method and path. If several services have the same route, the first service by name
  /// is used; when its route is removed, the next service takes over.
  RouteIndex ExactRoutes_;
  RouteIndex PrefixRoutes_;
  /// Number of prefix routes by the length of their paths, longest first.
  std::map<std::size_t, std::size_t, std::greater<>> PrefixLengths_;
  /// Entries by host id. If several lists contain a host, the first by data centre and service is
  /// used.
  std::unordered_map<std::string, std::vector<const HostSpec *>> Hosts_;
  std::unordered_map<std::string, RegionId> RegionOfDataCentre_;
};

} // namespace bronzestand

#endif
