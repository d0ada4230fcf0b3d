#include <algorithm>
#include <ostream>

#include <boost/algorithm/string/join.hpp>
#include <fmt/format.h>

#include "ctl/command.h"
#include "ctl/document_set.h"

namespace bronzestand::ctl {

const char *const DiffUsage = R"(Usage: bronzestandctl diff [--json] OLD NEW

Shows what changes for classes, teams, keys, routes and hosts between two sets of documents.
OLD and NEW are directories or files as for check.

Options:
  --json  Print the result as JSON.

Exit codes: 0 no changes, 1 changes, 2 wrong usage, 3 a set cannot be read or has errors.
)";

namespace {

struct Change {
  std::string_view Kind_;
  std::string Name_;
  std::string Text_;
};

/// A property of an item, with its value as text.
template <typename Item> struct Property {
  std::string_view Label_;
  std::string (*Value_)(const Item &);
};

template <typename Item> using Items = std::map<std::string, const Item *>;

std::string number(double Value) { return fmt::format("{}", Value); }
std::string yesNo(bool Value) { return Value ? "yes" : "no"; }

const std::vector<Property<ClassSpec>> ClassProperties{
    {"target share served", [](const ClassSpec &C) { return number(C.Served_); }},
    {"target time in ms",
     [](const ClassSpec &C) {
       return fmt::format("{}",
                          std::chrono::duration_cast<std::chrono::milliseconds>(C.Within_).count());
     }},
    {"may wait", [](const ClassSpec &C) { return yesNo(C.MayWait_); }},
    {"may be shed", [](const ClassSpec &C) { return yesNo(C.MayBeShed_); }},
    {"runs at most once", [](const ClassSpec &C) { return yesNo(C.AtMostOnce_); }},
    {"open without key", [](const ClassSpec &C) { return yesNo(C.Open_); }},
    {"attempts at most", [](const ClassSpec &C) { return fmt::format("{}", C.MaxAttempts_); }},
};

const std::vector<Property<TeamSpec>> TeamProperties{
    {"rate in requests/s", [](const TeamSpec &T) { return number(T.Rate_); }},
    {"burst in requests", [](const TeamSpec &T) { return number(T.Burst_); }},
};

const std::vector<Property<KeySpec>> KeyProperties{
    {"withdrawn", [](const KeySpec &K) { return yesNo(K.Withdrawn_); }},
    {"hash", [](const KeySpec &K) { return K.Hash_; }},
};

const std::vector<Property<RouteSpec>> RouteProperties{
    {"service", [](const RouteSpec &R) { return R.Service_.str(); }},
    {"class", [](const RouteSpec &R) { return R.Class_.str(); }},
    {"idempotent", [](const RouteSpec &R) { return yesNo(R.Idempotent_); }},
};

const std::vector<Property<HostSpec>> HostProperties{
    {"service", [](const HostSpec &H) { return H.Service_.str(); }},
    {"data centre", [](const HostSpec &H) { return H.DataCentre_.str(); }},
    {"address", [](const HostSpec &H) { return fmt::format("{}:{}", H.Address_, H.Port_); }},
    {"leaving", [](const HostSpec &H) { return yesNo(H.Leaving_); }},
};

const std::vector<Property<FleetSpec>> FleetProperties{
    {"key salt (keys work only with hashes made with it)",
     [](const FleetSpec &F) { return F.KeySalt_; }},
    {"cross-region link in Mbit/s", [](const FleetSpec &F) { return number(F.CrossRegionMbit_); }},
    {"regions",
     [](const FleetSpec &F) {
       std::vector<std::string> Regions;
       for (const auto &[Region, DataCentres] : F.Regions_) {
         std::vector<std::string> Names;
         for (const DataCentreId &Name : DataCentres)
           Names.push_back(Name.str());
         Regions.push_back(fmt::format("{} ({})", Region.str(), boost::join(Names, ", ")));
       }
       return boost::join(Regions, ", ");
     }},
};

/// All items of a set, by the names that operators use.
struct Inventory {
  explicit Inventory(const DocumentSet &Set) {
    for (const auto &[Path, Body] : Set.Documents_)
      std::visit([this](const auto &Value) { add(Value); }, Body);
  }
  void add(const FleetSpec &Fleet) { Fleet_["fleet"] = &Fleet; }
  void add(const ClassSpec &Class) {
    Classes_[Class.Name_.str()] = &Class;
    Documents_.put(Class);
  }
  void add(const ServiceSpec &Service) {
    // Two services may claim one route, so the service is part of the name there.
    for (const RouteSpec &Route : Service.Routes_) {
      std::string Name =
          fmt::format("{} {}{}", Route.Method_, Route.Path_, Route.Prefix_ ? "*" : "");
      if (!Routes_.emplace(Name, &Route).second)
        Routes_.emplace(fmt::format("{} of {}", Name, Service.Name_.str()), &Route);
    }
  }
  void add(const TeamSpec &Team) {
    Teams_[Team.Name_.str()] = &Team;
    for (const KeySpec &Key : Team.Keys_)
      Keys_[fmt::format("{} of team {}", Key.Id_, Team.Name_.str())] = &Key;
  }
  void add(const HostListSpec &List) {
    for (const HostSpec &Host : List.Hosts_)
      Hosts_[Host.Id_.str()] = &Host;
  }

  Items<FleetSpec> Fleet_;
  Items<ClassSpec> Classes_;
  Items<TeamSpec> Teams_;
  Items<KeySpec> Keys_;
  Items<RouteSpec> Routes_;
  Items<HostSpec> Hosts_;
  Catalogue Documents_;
};

template <typename Item>
void compare(std::string_view Kind, const Items<Item> &Old, const Items<Item> &New,
             const std::vector<Property<Item>> &Properties, std::vector<Change> &Changes) {
  for (const auto &[Name, Value] : Old)
    if (New.count(Name) == 0)
      Changes.push_back({Kind, Name, "removed"});
  for (const auto &[Name, Value] : New) {
    const auto Before = Old.find(Name);
    std::vector<std::string> Texts;
    for (const Property<Item> &Row : Properties) {
      const std::string After = Row.Value_(*Value);
      if (Before == Old.end())
        Texts.push_back(fmt::format("{} {}", Row.Label_, After));
      else if (Row.Value_(*Before->second) != After)
        Changes.push_back(
            {Kind, Name,
             fmt::format("{}: {} -> {}", Row.Label_, Row.Value_(*Before->second), After)});
    }
    if (Before == Old.end())
      Changes.push_back({Kind, Name, "added: " + boost::join(Texts, ", ")});
  }
}

/// Names of the classes that both sets have, most important first.
std::string importanceOrder(const Inventory &Set, const Inventory &Other) {
  std::vector<std::string> Names;
  for (const auto &[Name, Class] : Set.Classes_)
    if (Other.Classes_.count(Name) != 0)
      Names.push_back(Name);
  std::stable_sort(Names.begin(), Names.end(), [&Set](const auto &A, const auto &B) {
    return Set.Documents_.rankOf(ClassId(A)) > Set.Documents_.rankOf(ClassId(B));
  });
  return boost::join(Names, " > ");
}

std::vector<Change> changesBetween(const DocumentSet &OldSet, const DocumentSet &NewSet) {
  const Inventory Old(OldSet);
  const Inventory New(NewSet);
  std::vector<Change> Changes;
  compare("fleet", Old.Fleet_, New.Fleet_, FleetProperties, Changes);
  compare("class", Old.Classes_, New.Classes_, ClassProperties, Changes);
  const std::string OldOrder = importanceOrder(Old, New);
  const std::string NewOrder = importanceOrder(New, Old);
  if (OldOrder != NewOrder)
    Changes.push_back({"classes", "order of importance", OldOrder + " -> " + NewOrder});
  compare("team", Old.Teams_, New.Teams_, TeamProperties, Changes);
  compare("key", Old.Keys_, New.Keys_, KeyProperties, Changes);
  compare("route", Old.Routes_, New.Routes_, RouteProperties, Changes);
  compare("host", Old.Hosts_, New.Hosts_, HostProperties, Changes);
  return Changes;
}

bool isUsable(const DocumentSet &Set, CommandIo &Io) {
  for (const ErrorDetail &Error : Set.Errors_)
    Io.Err_ << describe(Error) << '\n';
  return Set.Errors_.empty();
}

} // namespace

ExitCode runDiff(const Arguments &Given, CommandIo &Io) {
  const DocumentSet Old = readDocumentSet({Given.at("OLD").asString()});
  const DocumentSet New = readDocumentSet({Given.at("NEW").asString()});
  const bool OldUsable = isUsable(Old, Io);
  if (!isUsable(New, Io) || !OldUsable)
    return ExitCode::Unreadable;
  const std::vector<Change> Changes = changesBetween(Old, New);
  if (Given.at("--json").asBool()) {
    nlohmann::json Result = nlohmann::json::array();
    for (const Change &Item : Changes)
      Result.push_back(
          {{"kind", std::string(Item.Kind_)}, {"name", Item.Name_}, {"change", Item.Text_}});
    Io.Out_ << nlohmann::json{{"changes", Result}}.dump(2, ' ', false,
                                                        nlohmann::json::error_handler_t::replace)
            << '\n';
  } else {
    for (const Change &Item : Changes)
      Io.Out_ << fmt::format("{} {}: {}\n", Item.Kind_, Item.Name_, Item.Text_);
    if (Changes.empty())
      Io.Out_ << "no changes\n";
  }
  return Changes.empty() ? ExitCode::Ok : ExitCode::Findings;
}

} // namespace bronzestand::ctl
