#include "soak_run.h"

#include <algorithm>
#include <stdexcept>

#include <fmt/format.h>

namespace bronzestand::soak {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *HostName = "soak.example";
constexpr Duration StartLimit = seconds(15);
/// Calm traffic before the faults, so that checks that need a calm fleet hold from the start.
constexpr Duration CalmTime = seconds(4);
constexpr Duration RouteTimeout = milliseconds(1500);
constexpr Duration CallTimeout = milliseconds(800);
constexpr Duration CallerDeadline = milliseconds(4000);
constexpr Duration AfterTimeout = milliseconds(500);
/// In a calm fleet with room, all but a few requests are served.
constexpr double RecoveredShare = 0.9;
constexpr milliseconds LongWorkTime{350};
constexpr std::size_t CallerConnections = 256;

/// Parts of the traffic.
constexpr double ReserveShare = 0.25;
constexpr double LimitedShare = 0.15;
constexpr double ProbeShare = 0.1;
constexpr double GiveUpShare = 0.08;
constexpr int ShortestPatienceMs = 5;
constexpr int LongestPatienceMs = 200;

/// The team with a limit sends about twice its rate.
constexpr double LimitedRatePerNode = 1.2;
constexpr double LimitedBurst = 10.0;

constexpr const char *LargeTeam = "hotels";
constexpr const char *LimitedTeam = "walk-ins";
constexpr const char *RotatingTeam = "builders";

/// Parts of the traffic of runs with placement, and what bounds it. The route allows two of three
/// data centres, the team one.
constexpr double BoundRouteShare = 0.2;
constexpr double BoundTeamShare = 0.05;
constexpr const char *BoundPath = "/bound/";
constexpr const char *BoundTeam = "locals";
constexpr const char *RouteRegion = "western";
constexpr const char *TeamRegion = "southern";
/// Servers get some 25 requests/s, which is well above the bound of a cold one.
constexpr Duration ColdTime = seconds(3);
constexpr double ColdPerS = 6.0;
/// A server that crashed is back after this time.
constexpr Duration CrashTime = seconds(1);
constexpr Duration ColdRefresh = milliseconds(1500);

std::string extraPath(unsigned Version) { return fmt::format("/extra-{}/", Version); }
std::string rotatingKey(unsigned Version) { return fmt::format("key-rotating-{}", Version); }
std::string keyOf(const std::string &Team) { return "key-" + Team; }

json table(std::vector<std::string> Columns, std::vector<json> Rows) {
  return {{"Columns", std::move(Columns)}, {"Rows", std::move(Rows)}};
}

/// Settings of runs with placement; without them none of these rules is in force.
std::string settingsOf(const RunOptions &Options) {
  if (!Options.Placement_)
    return {};
  return fmt::format("  cold_over: {}\n  cold_slack: {}\n  evacuate_ms: {}\n", Bounds().ColdOver_,
                     Bounds().ColdSlack_,
                     std::chrono::duration_cast<milliseconds>(Bounds().Evacuate_).count());
}

/// Adds what runs with placement have: a bound route, a bound team and services that start cold.
void addPlacement(json &Config) {
  const auto Add = [&](const char *Table, const std::vector<json> &Columns,
                       const std::function<std::vector<json>(const std::string &)> &ValuesOf) {
    for (const json &Column : Columns)
      Config[Table]["Columns"].push_back(Column);
    for (json &Row : Config[Table]["Rows"])
      for (json &Value : ValuesOf(Row.at(0).get<std::string>()))
        Row.push_back(Value);
  };
  json Bound = Config["Routes"]["Rows"][0];
  Bound[0] = "bound";
  Bound[2] = BoundPath;
  Config["Routes"]["Rows"].push_back(Bound);
  Config["Tenants"]["Rows"].push_back({BoundTeam, {keyOf(BoundTeam)}, 0, 0, 0});
  const auto Regions = [](const char *Region) { return std::vector<json>{json::array({Region})}; };
  const std::vector<json> Any{nullptr};
  Add("Routes", {"AllowedRegions"},
      [&](const std::string &Name) { return Name == "bound" ? Regions(RouteRegion) : Any; });
  Add("Tenants", {"AllowedRegions"},
      [&](const std::string &Name) { return Name == BoundTeam ? Regions(TeamRegion) : Any; });
  Add("Services", {"HealthPath", "ColdStartS", "ColdPerS"}, [](const std::string &) {
    return std::vector<json>{Server::HealthPath, std::chrono::duration<double>(ColdTime).count(),
                             ColdPerS};
  });
}

std::string configOf(unsigned Version, double LimitedRate, bool Placement) {
  const auto Route = [](const char *Name, const std::string &Prefix, const char *Service,
                        const char *Kind, unsigned Attempts, Duration Timeout, bool Open) {
    const auto Ms = std::chrono::duration_cast<milliseconds>(Timeout).count();
    return json::array(
        {Name, HostName, Prefix, Service, Kind, Attempts, Ms, Ms / 2, Open ? 2 : 1, Open});
  };
  json Config{
      {"Version", Version},
      {"Routes",
       table({"Name", "Host", "Prefix", "Service", "Kind", "MaxAttempts", "TimeoutMs",
              "TargetLatencyMs", "Priority", "Public"},
             {Route("browse", "/browse/", "catalogue", "safe", 3, RouteTimeout, false),
              Route("reserve", "/reserve/", "bookings", "unsafe", 2, RouteTimeout, false),
              Route("count", "/count/", "catalogue", "safe", 2, CallTimeout, true),
              Route("extra", extraPath(Version), "catalogue", "safe", 3, RouteTimeout, false)})},
      {"Services", table({"Name", "MaxConnections"}, {{"catalogue", 300}, {"bookings", 300}})},
      {"Tenants", table({"Name", "ApiKeys", "RatePerS", "Burst", "Priority"},
                        {{LargeTeam, {keyOf(LargeTeam)}, 0, 0, 0},
                         {LimitedTeam, {keyOf(LimitedTeam)}, LimitedRate, LimitedBurst, 0},
                         {RotatingTeam, {rotatingKey(Version)}, 0, 0, 0}})},
      {"Limits",
       {{"MaxHeaderBytes", 16384},
        {"MaxBodyBytes", 1000000},
        {"HeaderTimeoutMs", 5000},
        {"IdleTimeoutMs", 10000}}}};
  if (Placement)
    addPlacement(Config);
  return Config.dump();
}

} // namespace

SoakRun::SoakRun(const RunOptions &Options, std::string Directory)
    : Options_(Options),
      Plan_(makePlan(Options.Seed_, Options.Nodes_, Options.Length_, Options.Placement_)),
      Random_(Options.Seed_), Book_(Bounds()),
      Daemons_(Io_, Options.Nodes_, std::move(Directory), settingsOf(Options)),
      Store_(Io_, Daemons_.store()) {
  Nodes_.resize(Options.Nodes_);
  for (std::size_t Number = 0; Number < Options.Nodes_; ++Number) {
    Servers_.push_back(std::make_unique<Server>(Io_, Book_, Number, Daemons::serviceOf(Number),
                                                Daemons_.server(Number)));
    Nodes_[Number].Callers_ =
        std::make_unique<node::HttpClient>(Io_, Daemons_.callers(Number), CallerConnections);
    Nodes_[Number].OwnCalls_ =
        std::make_unique<node::HttpClient>(Io_, Daemons_.callers(Number), CallerConnections);
    if (Options.Placement_)
      Servers_[Number]->setCold(ColdTime, ColdPerS * Bounds().ColdOver_ + Bounds().ColdSlack_,
                                [this, Number] { endServer(Number, CrashTime); });
    if (Plan_.LongWork_)
      Servers_[Number]->setWorkTime(LongWorkTime);
    if (Servers_[Number]->service() == "bookings")
      Servers_[Number]->setCall(
          [this, Number](const std::function<void(bool)> &Done) { callOf(Number, Done); });
  }
  const double Rate = LimitedRatePerNode * static_cast<double>(Options.Nodes_);
  Book_.setTeamLimit(LimitedTeam, Rate, LimitedBurst);
  Book_.setPlannedOnly(Plan_.Profile_ == Profile::Planned && !Options.Placement_);
}

SoakRun::~SoakRun() {
  Store_.stop();
  for (const auto &Item : Servers_)
    Item->stop();
}

void SoakRun::at(TimePoint Time, std::function<void()> Step) {
  Steps_.emplace(Time, std::move(Step));
}
void SoakRun::after(Duration Time, std::function<void()> Step) {
  at(node::now() + Time, std::move(Step));
}

void SoakRun::runDue() {
  while (!Steps_.empty() && Steps_.begin()->first <= node::now()) {
    const auto Step = std::move(Steps_.begin()->second);
    Steps_.erase(Steps_.begin());
    Step();
  }
}

bool SoakRun::until(Duration Limit, const std::function<bool()> &Holds) {
  const TimePoint End = node::now() + Limit;
  while (!Holds()) {
    if (node::now() >= End)
      return false;
    runDue();
    watchNodes();
    Io_.run_one_for(milliseconds(2));
    Io_.poll();
    Io_.restart();
  }
  return true;
}

void SoakRun::run() {
  start();
  until(CalmTime, [] { return false; });
  FaultsStart_ = node::now();
  for (const Fault &Item : Plan_.Faults_)
    at(FaultsStart_ + Item.At_, [this, Item] { inject(Item); });
  until(Options_.Length_, [] { return false; });
  recover();
  Sending_ = false;
  until(CallerDeadline + seconds(2), [this] { return Open_ == 0; });
  stopNodes();
  Book_.finish();
}

void SoakRun::start() {
  const absl::Status Listening = Store_.start();
  if (!Listening.ok())
    throw std::runtime_error(std::string(Listening.message()));
  for (std::size_t Number = 0; Number < Nodes_.size(); ++Number) {
    const absl::Status Started = Servers_[Number]->start();
    if (!Started.ok())
      throw std::runtime_error(std::string(Started.message()));
    list(Number, "ready");
  }
  if (Options_.Placement_)
    refreshCold();
  changeConfig();
  std::size_t Ready = 0;
  for (std::size_t Number = 0; Number < Nodes_.size(); ++Number)
    startNode(Number);
  // Asks a node until it is ready, then starts its callers.
  std::vector<std::unique_ptr<node::HttpClient>> Clients;
  std::function<void(std::size_t)> Question = [&](std::size_t Number) {
    Clients[Number]->send({"GET", "/healthz", {}, ""}, seconds(1),
                          [&, Number](node::HttpResult Result, const node::HttpResponse &Answer) {
                            if (Result == node::HttpResult::Answered && Answer.Status_ == 200)
                              ++Ready;
                            else
                              after(milliseconds(100), [&, Number] { Question(Number); });
                          });
  };
  for (std::size_t Number = 0; Number < Nodes_.size(); ++Number) {
    Clients.push_back(std::make_unique<node::HttpClient>(Io_, Daemons_.operators(Number), 2));
    Question(Number);
  }
  if (!until(StartLimit, [&] { return Ready == Nodes_.size(); }))
    throw std::runtime_error(
        fmt::format("{} of {} nodes were ready in time", Ready, Nodes_.size()));
  checkMetrics();
  if (Options_.Misuse_) {
    std::vector<node::Endpoint> Callers;
    for (std::size_t Number = 0; Number < Nodes_.size(); ++Number)
      Callers.push_back(Daemons_.callers(Number));
    Misuse_ = std::make_unique<MisuseCallers>(Io_, Callers, HostName, "/browse/", keyOf(LargeTeam));
  }
  Sending_ = true;
  for (std::size_t Number = 0; Number < Nodes_.size(); ++Number)
    sendNext(Number);
}

void SoakRun::checkMetrics() {
  std::vector<std::unique_ptr<node::HttpClient>> Clients;
  std::size_t Good = 0;
  for (std::size_t Number = 0; Number < Nodes_.size(); ++Number) {
    Clients.push_back(std::make_unique<node::HttpClient>(Io_, Daemons_.metrics(Number), 1));
    Clients.back()->send({"GET", "/metrics", {}, ""}, seconds(1),
                         [&Good](node::HttpResult Result, const node::HttpResponse &Answer) {
                           const bool Served = Result == node::HttpResult::Answered &&
                                               Answer.Status_ == 200 && !Answer.Body_.empty();
                           Good += Served ? 1 : 0;
                         });
  }
  if (!until(seconds(2), [&] { return Good == Nodes_.size(); }))
    throw std::runtime_error(fmt::format("{} of {} nodes served metrics", Good, Nodes_.size()));
}

void SoakRun::sendNext(std::size_t Node) {
  const double Gap = std::exponential_distribution<double>(Options_.RequestsPerNode_)(Random_);
  after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Gap)), [this, Node] {
    if (!Sending_)
      return;
    send(Node, chooseAsk());
    sendNext(Node);
  });
}

SoakRun::Ask SoakRun::browse() const {
  Ask Result;
  Result.Method_ = "GET";
  Result.Path_ = "/browse/";
  Result.Key_ = keyOf(LargeTeam);
  Result.Team_ = LargeTeam;
  Result.Service_ = "catalogue";
  Result.MaxRuns_ = 3;
  Result.Timeout_ = RouteTimeout;
  return Result;
}

// Requests that show which configuration a node goes by.
SoakRun::Ask SoakRun::probe() {
  Ask Result = browse();
  Result.Path_ = extraPath(Version_);
  Result.Team_ = RotatingTeam;
  Result.Key_ = rotatingKey(Version_);
  switch (std::uniform_int_distribution<int>(0, 3)(Random_)) {
  case 0:
    Result.Unexpected_ = 404;
    break;
  case 1:
    Result.Unexpected_ = 401;
    break;
  case 2:
    Result.Path_ = extraPath(Version_ - 1);
    Result.Wanted_ = 404;
    break;
  default:
    Result.Key_ = rotatingKey(Version_ - 1);
    Result.Wanted_ = 401;
    break;
  }
  return Result;
}

SoakRun::Ask SoakRun::chooseAsk() {
  double Dice = std::uniform_real_distribution<double>()(Random_);
  if ((Dice -= ProbeShare) < 0.0)
    return probe();
  Ask Result = browse();
  if (Options_.Placement_ && (Dice -= BoundRouteShare) < 0.0) {
    Result.Path_ = BoundPath;
    Result.Region_ = RouteRegion;
    return Result;
  }
  if (Options_.Placement_ && (Dice -= BoundTeamShare) < 0.0) {
    Result.Key_ = keyOf(BoundTeam);
    Result.Team_ = BoundTeam;
    Result.Region_ = TeamRegion;
    return Result;
  }
  if ((Dice -= LimitedShare) < 0.0) {
    Result.Key_ = keyOf(LimitedTeam);
    Result.Team_ = LimitedTeam;
  } else if (Dice < ReserveShare) {
    Result.Method_ = "POST";
    Result.Path_ = "/reserve/";
    Result.Service_ = "bookings";
    Result.Idempotent_ = false;
    Result.MaxRuns_ = 2;
  }
  return Result;
}

node::HttpRequest SoakRun::request(const Ask &What, Duration Deadline, Sent &Record,
                                   std::size_t Node) {
  const node::HeaderNames &Names = wireNames();
  node::HttpRequest Result;
  Result.Method_ = What.Method_;
  Result.Target_ = What.Path_ + std::to_string(++Requests_);
  if (What.Method_ == "POST")
    Result.Body_ = fmt::format("body of {}", Requests_);
  const auto Ms = std::chrono::duration_cast<milliseconds>(Deadline).count();
  Record = {fmt::format("{:x}-{:06x}", Options_.Seed_, Requests_),
            Node,
            Result.Target_,
            Result.Body_,
            What.Service_,
            Daemons::serviceOf(Node),
            What.Team_,
            What.Idempotent_,
            What.MaxRuns_,
            What.Timeout_,
            node::now(),
            What.Wanted_ != 0 || What.Unexpected_ != 0,
            What.Region_};
  Result.Headers_ = {
      {"Host", HostName}, {Names.RequestId_, Record.Id_}, {Names.Deadline_, std::to_string(Ms)}};
  if (!What.Key_.empty())
    Result.Headers_.push_back({"Authorization", "Bearer " + What.Key_});
  return Result;
}

void SoakRun::send(std::size_t Node, const Ask &What) {
  Sent Record;
  node::HttpRequest Request = request(What, CallerDeadline, Record, Node);
  const std::string Id = Record.Id_;
  const unsigned Version = Version_;
  const bool Settled = node::now() - Changed_ > Bounds().ConfigApply_;
  Book_.sent(std::move(Record));
  ++Open_;
  const auto Number =
      Nodes_[Node].Callers_->send(std::move(Request), CallerDeadline + seconds(1),
                                  [this, Id, What, Version, Settled](
                                      node::HttpResult Result, const node::HttpResponse &Response) {
                                    --Open_;
                                    Book_.answered(Id, Result, Response);
                                    if (Settled && Version == Version_)
                                      Book_.checkConfig(Id, What.Wanted_, What.Unexpected_);
                                  });
  after(RouteTimeout, [this, Id] { Book_.timedOut(Id, false); });
  after(RouteTimeout + AfterTimeout, [this, Id] { Book_.timedOut(Id, true); });
  if (std::uniform_real_distribution<double>()(Random_) >= GiveUpShare)
    return;
  const int Patience =
      std::uniform_int_distribution<int>(ShortestPatienceMs, LongestPatienceMs)(Random_);
  after(milliseconds(Patience), [this, Node, Id, Number] {
    Book_.cancelled(Id);
    Nodes_[Node].Callers_->cancel(Number);
  });
}

void SoakRun::callOf(std::size_t Node, const std::function<void(bool Served)> &Done) {
  Ask What = browse();
  What.Path_ = "/count/";
  What.Key_.clear();
  What.Team_.clear();
  What.MaxRuns_ = 2;
  What.Timeout_ = CallTimeout;
  Sent Record;
  node::HttpRequest Request = request(What, CallTimeout, Record, Node);
  const std::string Id = Record.Id_;
  Book_.sent(std::move(Record));
  ++Open_;
  Nodes_[Node].OwnCalls_->send(
      std::move(Request), CallTimeout,
      [this, Id, Done](node::HttpResult Result, const node::HttpResponse &Response) {
        --Open_;
        Book_.answered(Id, Result, Response);
        Done(Result == node::HttpResult::Answered && Response.Status_ < 300);
      });
}

void SoakRun::refreshCold() {
  for (std::size_t Number = 0; Number < Nodes_.size(); ++Number) {
    const bool Cold = Servers_[Number]->coldFor() > Duration::zero();
    // Entries that have lapsed come back with the others.
    if ((Cold || Nodes_[Number].ListedCold_) && Store_.has("servers/" + Servers_[Number]->id()))
      list(Number, Nodes_[Number].Leaves_ ? "draining" : "ready");
  }
  after(ColdRefresh, [this] { refreshCold(); });
}

void SoakRun::list(std::size_t Node, const std::string &State) {
  Nodes_[Node].ListedCold_ = Servers_[Node]->coldFor() > Duration::zero();
  Store_.put("servers/" + Servers_[Node]->id(),
             Servers_[Node]->entry(State, Daemons_.advertised(Node), Daemons::dataCentreOf(Node)));
}

void SoakRun::changeConfig() {
  ++Version_;
  Changed_ = node::now();
  Store_.put("op/config",
             configOf(Version_, LimitedRatePerNode * static_cast<double>(Nodes_.size()),
                      Options_.Placement_));
}

void SoakRun::recover() {
  const TimePoint End = node::now();
  // What runs on past the end of the faults ends by itself; processes are back soon after.
  const bool Recovered = until(Bounds().Recovery_, [this, End] {
    const TimePoint Now = node::now();
    const TimePoint To = Now - RouteTimeout;
    const auto Share = Book_.servedShare(To - seconds(1), To);
    return To - seconds(1) > End && Share && *Share >= RecoveredShare;
  });
  if (!Recovered)
    Book_.violated(Promise::Recovers, "",
                   fmt::format("less than {} of the requests served in each second up to the end",
                               RecoveredShare));
}

void SoakRun::stopNodes() {
  Ending_ = true;
  Daemons_.clearRules();
  for (std::size_t Number = 0; Number < Nodes_.size(); ++Number)
    if (Nodes_[Number].State_ == NodeState::Running)
      terminate(Number, std::chrono::hours(1));
  until(Bounds().Grace_ + EndSlack + seconds(1), [this] {
    return std::all_of(Nodes_.begin(), Nodes_.end(),
                       [](const auto &Item) { return Item.State_ == NodeState::Down; });
  });
  for (std::size_t Number = 0; Number < Nodes_.size(); ++Number)
    if (Nodes_[Number].State_ != NodeState::Down)
      Book_.violated(Promise::EndsInGrace, "", fmt::format("node {} still runs", Number));
}

} // namespace bronzestand::soak
