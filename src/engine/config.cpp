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
        Regions.fail(ErrorCode::DuplicateName, Region, fmt::format("{} is in two places", Name));
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
    Reader.fail(ErrorCode::InvalidValue, "method", "must be in capitals");
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
  std::string_view Prefix_; ///< ends in '/' where a name follows
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

/// Order of classes by their targets; the more important class is the greater tuple.
auto importance(const ClassSpec &Class) {
  return std::make_tuple(!Class.MayBeShed_, Class.Served_, !Class.MayWait_, -Class.Within_.count());
}

std::string routeKey(std::string_view Method, std::string_view Path) {
  return fmt::format("{} {}", Method, Path);
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
  const auto Expect = [&](const std::string &Target, const std::string &Source,
                          const std::string &Field) {
    if (Documents.count(Target) == 0)
      Errors.push_back({ErrorCode::UnknownReference, Source, Field, Target + " does not exist"});
  };
  for (const auto &[Path, Body] : Documents) {
    if (const auto *Service = std::get_if<ServiceSpec>(&Body))
      for (std::size_t Index = 0; Index < Service->Routes_.size(); ++Index)
        Expect("classes/" + Service->Routes_[Index].Class_.str(), Path,
               fmt::format("routes[{}].class", Index));
    if (const auto *List = std::get_if<HostListSpec>(&Body)) {
      if (DataCentres.count(List->DataCentre_) == 0)
        Errors.push_back({ErrorCode::UnknownReference, Path, "",
                          "the data centre is not in the fleet document"});
      Expect("services/" + List->Service_.str(), Path, "");
    }
  }
  return Errors;
}

void Catalogue::store(FleetSpec &&Fleet) { Fleet_ = std::move(Fleet); }

void Catalogue::store(ClassSpec &&Class) {
  const ClassId Name = Class.Name_;
  Classes_.insert_or_assign(Name, std::move(Class));
}

void Catalogue::store(ServiceSpec &&Service) {
  const ServiceId Name = Service.Name_;
  Services_.insert_or_assign(Name, std::move(Service));
}

void Catalogue::store(TeamSpec &&Team) {
  const TeamId Name = Team.Name_;
  Teams_.insert_or_assign(Name, std::move(Team));
}

void Catalogue::store(HostListSpec &&List) {
  const std::pair Name(List.DataCentre_, List.Service_);
  HostLists_.insert_or_assign(Name, std::move(List));
}

void Catalogue::put(DocumentBody Body) {
  std::visit([this](auto &Value) { store(std::move(Value)); }, Body);
  rebuildRanks();
  rebuildRoutes();
  rebuildHosts();
}

void Catalogue::erase(const std::string &Path) {
  std::string_view Name;
  const DocumentKind *Kind = kindOf(Path, Name);
  if (Kind == nullptr)
    return;
  const std::string Owned(Name);
  if (Kind->Prefix_ == "fleet")
    Fleet_ = FleetSpec();
  else if (Kind->Prefix_ == "classes/")
    Classes_.erase(ClassId(Owned));
  else if (Kind->Prefix_ == "services/")
    Services_.erase(ServiceId(Owned));
  else if (Kind->Prefix_ == "teams/")
    Teams_.erase(TeamId(Owned));
  else
    eraseHostList(Owned);
  rebuildRanks();
  rebuildRoutes();
  rebuildHosts();
}

void Catalogue::eraseHostList(const std::string &Name) {
  const auto [DataCentre, Service] = splitName(Name);
  HostLists_.erase({DataCentreId(std::string(DataCentre)), ServiceId(std::string(Service))});
}

const ClassSpec *Catalogue::findClass(const ClassId &Name) const {
  const auto Found = Classes_.find(Name);
  return Found == Classes_.end() ? nullptr : &Found->second;
}

const TeamSpec *Catalogue::findTeam(const TeamId &Name) const {
  const auto Found = Teams_.find(Name);
  return Found == Teams_.end() ? nullptr : &Found->second;
}

const HostSpec *Catalogue::findHost(const HostId &Id) const {
  const auto Found = Hosts_.find(Id.str());
  return Found == Hosts_.end() ? nullptr : Found->second;
}

RegionId Catalogue::regionOf(const DataCentreId &DataCentre) const {
  const auto Found = RegionOfDataCentre_.find(DataCentre.str());
  return Found == RegionOfDataCentre_.end() ? RegionId() : Found->second;
}

const RouteSpec *Catalogue::matchRoute(std::string_view Method, std::string_view Path) const {
  const auto Exact = ExactRoutes_.find(routeKey(Method, Path));
  if (Exact != ExactRoutes_.end())
    return Exact->second;
  for (const RouteSpec *Route : PrefixRoutes_)
    if (Route->Method_ == Method && boost::starts_with(Path, Route->Path_))
      return Route;
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
  // Counted from the top, so that a new lesser class does not move the protected ones.
  for (std::size_t Index = 0; Index < Order.size(); ++Index)
    Ranks_[Order[Index]->Name_] =
        static_cast<std::uint8_t>(255 - std::min<std::size_t>(Index, 254));
}

void Catalogue::rebuildRoutes() {
  ExactRoutes_.clear();
  PrefixRoutes_.clear();
  for (const auto &[Name, Service] : Services_) {
    for (const RouteSpec &Route : Service.Routes_) {
      if (Route.Prefix_)
        PrefixRoutes_.push_back(&Route);
      else
        ExactRoutes_.emplace(routeKey(Route.Method_, Route.Path_), &Route);
    }
  }
  std::stable_sort(
      PrefixRoutes_.begin(), PrefixRoutes_.end(),
      [](const RouteSpec *A, const RouteSpec *B) { return A->Path_.size() > B->Path_.size(); });
}

void Catalogue::rebuildHosts() {
  Hosts_.clear();
  for (const auto &[Name, List] : HostLists_)
    for (const HostSpec &Host : List.Hosts_)
      Hosts_.emplace(Host.Id_.str(), &Host);
  RegionOfDataCentre_.clear();
  for (const auto &[Region, DataCentres] : Fleet_.Regions_)
    for (const DataCentreId &DataCentre : DataCentres)
      RegionOfDataCentre_.emplace(DataCentre.str(), Region);
}

} // namespace bronzestand
