#include "bronzestand/config.h"

#include <algorithm>
#include <array>
#include <set>
#include <tuple>

#include <boost/algorithm/string.hpp>
#include <fmt/format.h>

#include "engine/yaml_reader.h"

namespace bronzestand {
namespace {

using detail::YamlReader;

constexpr std::size_t MaxDocumentBytes = 1'000'000;
constexpr std::size_t KeyHashDigits = 64;
constexpr double MaxRate = 1e9;

Duration milliseconds(std::uint64_t Count) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(Count));
}

DocumentBody readFleet(std::string_view /*Name*/, YamlReader &Reader) {
  FleetSpec Fleet;
  Fleet.KeySalt_ = Reader.text("key_salt");
  Fleet.CrossRegionMbit_ = Reader.number("cross_region_mbit", 0.1, 1e6, false, 30.0);
  YamlReader Regions = Reader.map("regions");
  std::set<std::string> Seen;
  for (const std::string &Region : Regions.fieldNames()) {
    auto &DataCentres = Fleet.Regions_[RegionId(Region)];
    for (std::string &Name : Regions.texts(Region.c_str())) {
      if (!Seen.insert(Name).second)
        Regions.fail(ErrorCode::DuplicateName, Region,
                     fmt::format("data centre {} is listed more than once", Name));
      DataCentres.emplace_back(std::move(Name));
    }
  }
  return Fleet;
}

DocumentBody readClass(std::string_view Name, YamlReader &Reader) {
  ClassSpec Class;
  Class.Name_ = ClassId(std::string(Name));
  YamlReader Target = Reader.map("target");
  Class.Served_ = Target.number("served", 0.0, 1.0);
  Class.Within_ = milliseconds(Target.integer("within", 1, 600'000));
  Target.finish();
  Class.MayWait_ = Reader.flag("may_wait", true);
  Class.MayBeShed_ = Reader.flag("may_be_shed", true);
  Class.AtMostOnce_ = Reader.flag("at_most_once", false);
  Class.Open_ = Reader.flag("open", false);
  Class.MaxAttempts_ =
      static_cast<std::uint32_t>(Reader.integer("max_attempts", 1, 10'000, false, 64));
  return Class;
}

RouteSpec readRoute(const ServiceId &Service, YamlReader &Reader) {
  RouteSpec Route;
  Route.Service_ = Service;
  Route.Method_ = Reader.text("method");
  Route.Path_ = Reader.text("path");
  Route.Class_ = ClassId(Reader.text("class"));
  Route.Idempotent_ = Reader.flag("idempotent", false);
  if (!Route.Path_.empty() && Route.Path_.front() != '/')
    Reader.fail(ErrorCode::InvalidValue, "path", "must start with /");
  if (!boost::all(Route.Method_, boost::is_from_range('A', 'Z')))
    Reader.fail(ErrorCode::InvalidValue, "method", "must contain only upper-case letters");
  if (boost::ends_with(Route.Path_, "/*")) {
    Route.Prefix_ = true;
    Route.Path_.pop_back();
  }
  Reader.finish();
  return Route;
}

DocumentBody readService(std::string_view Name, YamlReader &Reader) {
  ServiceSpec Service;
  Service.Name_ = ServiceId(std::string(Name));
  std::set<std::pair<std::string, std::string>> Seen;
  for (YamlReader &Item : Reader.maps("routes")) {
    RouteSpec Route = readRoute(Service.Name_, Item);
    if (!Seen.emplace(Route.Method_, Route.Path_).second)
      Item.fail(ErrorCode::DuplicateName, "path", "the route is given twice");
    Service.Routes_.push_back(std::move(Route));
  }
  return Service;
}

KeySpec readKey(YamlReader &Reader) {
  KeySpec Key;
  Key.Id_ = Reader.text("id");
  Key.Hash_ = Reader.text("hash");
  Key.Withdrawn_ = Reader.flag("withdrawn", false);
  const bool Hex =
      boost::all(Key.Hash_, boost::is_from_range('0', '9') || boost::is_from_range('a', 'f'));
  if (!Hex || Key.Hash_.size() != KeyHashDigits)
    Reader.fail(ErrorCode::InvalidValue, "hash", "must be 64 lower-case hexadecimal digits");
  Reader.finish();
  return Key;
}

DocumentBody readTeam(std::string_view Name, YamlReader &Reader) {
  TeamSpec Team;
  Team.Name_ = TeamId(std::string(Name));
  Team.Rate_ = Reader.number("rate", 0.0, MaxRate);
  Team.Burst_ = Reader.number("burst", 1.0, MaxRate);
  std::set<std::string> Seen;
  for (YamlReader &Item : Reader.maps("keys", false)) {
    KeySpec Key = readKey(Item);
    if (!Seen.insert(Key.Id_).second)
      Item.fail(ErrorCode::DuplicateName, "id", "the key id is given twice");
    Team.Keys_.push_back(std::move(Key));
  }
  return Team;
}

HostSpec readHost(const HostListSpec &List, YamlReader &Reader) {
  HostSpec Host;
  Host.DataCentre_ = List.DataCentre_;
  Host.Service_ = List.Service_;
  Host.Id_ = HostId(Reader.text("id"));
  Host.Address_ = Reader.text("address");
  Host.Port_ = static_cast<std::uint16_t>(Reader.integer("port", 1, 65'535));
  const std::string State = Reader.text("state", false, "live");
  Host.Leaving_ = State == "leaving";
  if (State != "live" && State != "leaving")
    Reader.fail(ErrorCode::InvalidValue, "state", "must be live or leaving");
  Reader.finish();
  return Host;
}

bool isName(std::string_view Text) {
  const auto Allowed = [](char C) {
    const bool Letter = (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z');
    return Letter || (C >= '0' && C <= '9') || C == '-' || C == '_' || C == '.';
  };
  return !Text.empty() && Text.size() <= 64 && std::all_of(Text.begin(), Text.end(), Allowed);
}

/// Splits the name in a `hosts/` path into data centre and service.
std::pair<std::string_view, std::string_view> splitName(std::string_view Name) {
  const std::size_t Slash = Name.find('/');
  if (Slash == std::string_view::npos)
    return {Name, {}};
  return {Name.substr(0, Slash), Name.substr(Slash + 1)};
}

bool isEmpty(std::string_view Name) { return Name.empty(); }

bool isNamePair(std::string_view Name) {
  const auto [First, Second] = splitName(Name);
  return isName(First) && isName(Second);
}

DocumentBody readHosts(std::string_view Name, YamlReader &Reader) {
  HostListSpec List;
  const auto [DataCentre, Service] = splitName(Name);
  List.DataCentre_ = DataCentreId(std::string(DataCentre));
  List.Service_ = ServiceId(std::string(Service));
  std::set<std::string> Seen;
  for (YamlReader &Item : Reader.maps("hosts")) {
    HostSpec Host = readHost(List, Item);
    if (!Seen.insert(Host.Id_.str()).second)
      Item.fail(ErrorCode::DuplicateName, "id", "the host is given twice");
    List.Hosts_.push_back(std::move(Host));
  }
  return List;
}

struct DocumentKind {
  std::string_view Prefix_; ///< ends in '/' if a name follows
  bool (*MatchesName_)(std::string_view Name);
  DocumentBody (*Read_)(std::string_view Name, YamlReader &Reader);
};

constexpr std::array<DocumentKind, 5> DocumentKinds{{
    {"fleet", isEmpty, readFleet},
    {"classes/", isName, readClass},
    {"services/", isName, readService},
    {"teams/", isName, readTeam},
    {"hosts/", isNamePair, readHosts},
}};

const DocumentKind *kindOf(std::string_view Path, std::string_view &Name) {
  for (const DocumentKind &Kind : DocumentKinds) {
    if (!boost::starts_with(Path, Kind.Prefix_))
      continue;
    Name = Path.substr(Kind.Prefix_.size());
    if (Kind.MatchesName_(Name))
      return &Kind;
  }
  return nullptr;
}

/// Sort key of a class. The more important class has the greater key.
auto importance(const ClassSpec &Class) {
  return std::make_tuple(!Class.MayBeShed_, Class.Served_, !Class.MayWait_, -Class.Within_.count());
}

std::string routeKey(std::string_view Method, std::string_view Path) {
  return fmt::format("{} {}", Method, Path);
}

bool precedes(const RouteSpec *A, const RouteSpec *B) { return A->Service_ < B->Service_; }

bool precedes(const HostSpec *A, const HostSpec *B) {
  return std::tie(A->DataCentre_, A->Service_) < std::tie(B->DataCentre_, B->Service_);
}

/// Adds an entry to an index. The entries with the same key are kept sorted.
template <typename Index, typename Entry>
void addEntry(Index &Target, const std::string &Key, const Entry *Value) {
  auto &Entries = Target[Key];
  const auto Position =
      std::upper_bound(Entries.begin(), Entries.end(), Value,
                       [](const Entry *A, const Entry *B) { return precedes(A, B); });
  Entries.insert(Position, Value);
}

template <typename Index, typename Entry>
void removeEntry(Index &Target, const std::string &Key, const Entry *Value) {
  const auto Found = Target.find(Key);
  auto &Entries = Found->second;
  Entries.erase(std::find(Entries.begin(), Entries.end(), Value));
  if (Entries.empty())
    Target.erase(Found);
}

template <typename Index>
auto firstEntry(const Index &Source, const std::string &Key) ->
    typename Index::mapped_type::value_type {
  const auto Found = Source.find(Key);
  return Found == Source.end() ? nullptr : Found->second.front();
}

} // namespace

ParsedDocument parseDocument(std::string_view Path, std::string_view Text) {
  ParsedDocument Result;
  const std::string Source(Path);
  std::string_view Name;
  const DocumentKind *Kind = kindOf(Path, Name);
  if (Kind == nullptr)
    Result.Errors_.push_back({ErrorCode::UnknownPath, Source, "", "is not a document path"});
  else if (Text.size() > MaxDocumentBytes)
    Result.Errors_.push_back({ErrorCode::OutOfRange, Source, "", "is larger than 1 MB"});
  if (!Result.Errors_.empty())
    return Result;
  YamlReader Reader(YamlReader::parse(Text, Source, Result.Errors_), Source, "", Result.Errors_);
  DocumentBody Body;
  try {
    Body = Kind->Read_(Name, Reader);
    Reader.finish();
  } catch (const YAML::Exception &Failure) {
    Reader.fail(ErrorCode::InvalidSyntax, "", Failure.msg);
  }
  if (Result.Errors_.empty())
    Result.Body_ = std::move(Body);
  return Result;
}

std::vector<ErrorDetail> checkReferences(const std::map<std::string, DocumentBody> &Documents) {
  std::vector<ErrorDetail> Errors;
  std::set<DataCentreId> DataCentres;
  if (const auto Found = Documents.find("fleet"); Found == Documents.end())
    Errors.push_back({ErrorCode::MissingField, "fleet", "", "the document is missing"});
  else
    for (const auto &[Region, Names] : std::get<FleetSpec>(Found->second).Regions_)
      DataCentres.insert(Names.begin(), Names.end());
  const auto RequireDocument = [&](const std::string &Target, const std::string &Source,
                                   const std::string &Field) {
    if (Documents.count(Target) == 0)
      Errors.push_back({ErrorCode::UnknownReference, Source, Field, Target + " does not exist"});
  };
  for (const auto &[Path, Body] : Documents) {
    if (const auto *Service = std::get_if<ServiceSpec>(&Body))
      for (std::size_t Index = 0; Index < Service->Routes_.size(); ++Index)
        RequireDocument("classes/" + Service->Routes_[Index].Class_.str(), Path,
                        fmt::format("routes[{}].class", Index));
    if (const auto *List = std::get_if<HostListSpec>(&Body)) {
      if (DataCentres.count(List->DataCentre_) == 0)
        Errors.push_back({ErrorCode::UnknownReference, Path, "",
                          "the data centre is not in the fleet document"});
      RequireDocument("services/" + List->Service_.str(), Path, "");
    }
  }
  return Errors;
}

void Catalogue::store(FleetSpec &&Fleet) {
  Fleet_ = std::move(Fleet);
  RegionOfDataCentre_.clear();
  for (const auto &[Region, DataCentres] : Fleet_.Regions_)
    for (const DataCentreId &DataCentre : DataCentres)
      RegionOfDataCentre_.emplace(DataCentre.str(), Region);
}

void Catalogue::store(ClassSpec &&Class) {
  const ClassId Name = Class.Name_;
  Classes_.insert_or_assign(Name, std::move(Class));
  rebuildRanks();
}

void Catalogue::store(ServiceSpec &&Service) {
  const ServiceId Name = Service.Name_;
  eraseService(Name);
  addRoutes(Services_.emplace(Name, std::move(Service)).first->second);
}

void Catalogue::store(TeamSpec &&Team) {
  const TeamId Name = Team.Name_;
  Teams_.insert_or_assign(Name, std::move(Team));
}

void Catalogue::store(HostListSpec &&List) {
  const std::pair Name(List.DataCentre_, List.Service_);
  eraseHostList(Name);
  addHosts(HostLists_.emplace(Name, std::move(List)).first->second);
}

void Catalogue::put(DocumentBody Body) {
  std::visit([this](auto &Value) { store(std::move(Value)); }, Body);
}

void Catalogue::erase(const std::string &Path) {
  std::string_view Name;
  const DocumentKind *Kind = kindOf(Path, Name);
  if (Kind == nullptr)
    return;
  const std::string NameText(Name);
  if (Kind->Prefix_ == "fleet") {
    store(FleetSpec());
  } else if (Kind->Prefix_ == "classes/") {
    Classes_.erase(ClassId(NameText));
    rebuildRanks();
  } else if (Kind->Prefix_ == "services/") {
    eraseService(ServiceId(NameText));
  } else if (Kind->Prefix_ == "teams/") {
    Teams_.erase(TeamId(NameText));
  } else {
    const auto [DataCentre, Service] = splitName(Name);
    eraseHostList({DataCentreId(std::string(DataCentre)), ServiceId(std::string(Service))});
  }
}

void Catalogue::eraseService(const ServiceId &Name) {
  const auto Found = Services_.find(Name);
  if (Found == Services_.end())
    return;
  removeRoutes(Found->second);
  Services_.erase(Found);
}

void Catalogue::eraseHostList(const std::pair<DataCentreId, ServiceId> &Name) {
  const auto Found = HostLists_.find(Name);
  if (Found == HostLists_.end())
    return;
  removeHosts(Found->second);
  HostLists_.erase(Found);
}

const ClassSpec *Catalogue::findClass(const ClassId &Name) const {
  const auto Found = Classes_.find(Name);
  return Found == Classes_.end() ? nullptr : &Found->second;
}

const TeamSpec *Catalogue::findTeam(const TeamId &Name) const {
  const auto Found = Teams_.find(Name);
  return Found == Teams_.end() ? nullptr : &Found->second;
}

const HostSpec *Catalogue::findHost(const HostId &Id) const { return firstEntry(Hosts_, Id.str()); }

RegionId Catalogue::regionOf(const DataCentreId &DataCentre) const {
  const auto Found = RegionOfDataCentre_.find(DataCentre.str());
  return Found == RegionOfDataCentre_.end() ? RegionId() : Found->second;
}

const RouteSpec *Catalogue::matchRoute(std::string_view Method, std::string_view Path) const {
  if (const RouteSpec *Exact = firstEntry(ExactRoutes_, routeKey(Method, Path)))
    return Exact;
  for (const auto &[Length, Count] : PrefixLengths_) {
    // The path of a prefix route ends in '/'.
    if (Length > Path.size() || Path[Length - 1] != '/')
      continue;
    if (const RouteSpec *Route =
            firstEntry(PrefixRoutes_, routeKey(Method, Path.substr(0, Length))))
      return Route;
  }
  return nullptr;
}

std::uint8_t Catalogue::rankOf(const ClassId &Name) const {
  const auto Found = Ranks_.find(Name);
  return Found == Ranks_.end() ? 0 : Found->second;
}

void Catalogue::rebuildRanks() {
  std::vector<const ClassSpec *> Order;
  for (const auto &[Name, Class] : Classes_)
    Order.push_back(&Class);
  std::stable_sort(Order.begin(), Order.end(), [](const ClassSpec *A, const ClassSpec *B) {
    return importance(*A) > importance(*B);
  });
  Ranks_.clear();
  // Ranks count down from 255, so that a new, less important class does not change the ranks of the
  // more important ones.
  for (std::size_t Index = 0; Index < Order.size(); ++Index)
    Ranks_[Order[Index]->Name_] =
        static_cast<std::uint8_t>(255 - std::min<std::size_t>(Index, 254));
}

void Catalogue::addRoutes(const ServiceSpec &Service) {
  for (const RouteSpec &Route : Service.Routes_) {
    addEntry(Route.Prefix_ ? PrefixRoutes_ : ExactRoutes_, routeKey(Route.Method_, Route.Path_),
             &Route);
    if (Route.Prefix_)
      ++PrefixLengths_[Route.Path_.size()];
  }
}

void Catalogue::removeRoutes(const ServiceSpec &Service) {
  for (const RouteSpec &Route : Service.Routes_) {
    removeEntry(Route.Prefix_ ? PrefixRoutes_ : ExactRoutes_, routeKey(Route.Method_, Route.Path_),
                &Route);
    if (!Route.Prefix_)
      continue;
    const auto Length = PrefixLengths_.find(Route.Path_.size());
    if (--Length->second == 0)
      PrefixLengths_.erase(Length);
  }
}

void Catalogue::addHosts(const HostListSpec &List) {
  for (const HostSpec &Host : List.Hosts_)
    addEntry(Hosts_, Host.Id_.str(), &Host);
}

void Catalogue::removeHosts(const HostListSpec &List) {
  for (const HostSpec &Host : List.Hosts_)
    removeEntry(Hosts_, Host.Id_.str(), &Host);
}

} // namespace bronzestand
