#include "mesh/entry.h"

#include <algorithm>
#include <charconv>

#include <boost/algorithm/string.hpp>
#include <boost/range/algorithm_ext/erase.hpp>
#include <fmt/format.h>

#include "bronzestand/quarantine.h"
#include "mesh/entry_call.h"
#include "node/clock.h"
#include "node/codec_call.h"

namespace bronzestand::node {
namespace {

/// Applies to requests without a deadline whose route has no timeout.
constexpr Duration DefaultTimeout = std::chrono::seconds(30);
/// A longer time is treated as this one; that of a caller may exceed what a Duration can hold.
constexpr std::chrono::milliseconds MaxTimeout = std::chrono::hours(24);
/// A node without a configuration usually receives one within this time.
constexpr Duration NotReadyRetryAfter = std::chrono::milliseconds(500);
/// A node that may lack changes usually receives them within this time.
constexpr Duration StaleRetryAfter = std::chrono::milliseconds(500);
/// A stopping node has restarted, or its callers have been moved, after about this time.
constexpr Duration ShuttingDownRetryAfter = std::chrono::seconds(1);
/// Assumed size of a request and its answer until one has been measured, and the weight of one
/// measurement in the moving average.
constexpr double DefaultBytes = 2000.0;
constexpr double MeanBytesWeight = 0.1;
/// An overload lasts for seconds; an earlier retry would usually be refused again.
constexpr Duration ShedRetryAfter = std::chrono::milliseconds(1200);
/// Interval at which a node tells another one of routes in trouble.
constexpr Duration TellInterval = std::chrono::milliseconds(200);
/// Nodes that are told at each tick while there is news: 22,000 nodes know it after some 0.8 s.
constexpr std::size_t NewsPeers = 3;
/// Interval at which the records of servers are forgotten that left while they had calls. The
/// update goes through all servers, which takes some 10 ms with 22,000.
constexpr Duration ChoiceUpdateInterval = std::chrono::seconds(5);
constexpr std::string_view KeyScheme = "bearer ";
constexpr std::uint32_t MaxRank = 15; ///< higher ranks are treated as this one

std::string_view hostNameOf(const HttpRequest &Request, std::string &Buffer) {
  Buffer = findHeader(Request.Headers_, "Host").value_or("");
  return std::string_view(Buffer).substr(0, Buffer.find(':'));
}

/// Nodes that start at the same moment draw different numbers.
std::uint64_t seedOf(const Settings &Config, Incarnation Run) {
  return Run ^ fingerprintOf(Config.Host_.str(), TeamId(), "");
}

/// Returns RootStanding::Place_ of a position.
std::uint8_t placeNumber(double Position) {
  constexpr double Places = 256.0;
  return static_cast<std::uint8_t>(std::clamp(Position * Places, 0.0, Places - 1.0));
}

/// Removes the Authorization headers from a request and returns the bearer key; empty if none.
std::string takeCallerKey(HttpRequest &Request) {
  std::string Key;
  for (const Header &Field : Request.Headers_)
    if (sameName(Field.Name_, "Authorization") && boost::istarts_with(Field.Value_, KeyScheme))
      Key = boost::trim_copy(Field.Value_.substr(KeyScheme.size()));
  boost::range::remove_erase_if(
      Request.Headers_, [](const Header &Field) { return sameName(Field.Name_, "Authorization"); });
  return Key;
}

ParentRun parentOf(const Call &Outgoing) {
  if (!Outgoing.Team_.empty())
    return ParentRun::Unknown;
  if (Outgoing.Root_ && Outgoing.Root_->Repeated_)
    return ParentRun::Repeated;
  return Outgoing.FirstRun_ ? ParentRun::First : ParentRun::Unknown;
}

} // namespace

Entry::Entry(const Parts &Environment, Incarnation Run)
    : Env_(Environment), LastCall_(Run),
      Choice_(Env_.Config_.DataCentre_, Env_.Config_.Mesh_->Regions_, seedOf(Env_.Config_, Run)),
      Budget_({Env_.Config_.Mesh_->RetryRatio_, Env_.Config_.Mesh_->RetryAllowance_}),
      Splitter_(Run), Order_(seedOf(Env_.Config_, Run)), Random_(seedOf(Env_.Config_, Run)) {}
Entry::~Entry() = default;

absl::Status Entry::start() {
  Env_.Links_.setHandler(MessageKind::Answer, [this](const Peer &From, const nlohmann::json &Body) {
    onAnswer(From.Host_, Body.get<Answer>());
  });
  Env_.Links_.setHandler(MessageKind::RouteHealth,
                         [this](const Peer &, const nlohmann::json &Body) {
                           Env_.Health_.heard(now(), decodeRouteStates(Body));
                         });
  Env_.Links_.addLinkUp([this](const Peer &Other) {
    LinkIncarnations_[Other.Link_] = Other.Incarnation_;
    if (const BackendServer *Server = Env_.Fleet_.servers().findByHost(Other.Host_))
      Choice_.reachable(Server->Id_);
  });
  Env_.Links_.addLinkDown([this](const HostId &Host, LinkId Link) { onLinkDown(Host, Link); });
  Env_.Links_.addHostDown([this](const HostId &Host, LinkEnd Reason) {
    if (Reason != LinkEnd::Idle)
      hostDown(Host);
  });
  Env_.Links_.setHandler(MessageKind::Leaving, [this](const Peer &From, const nlohmann::json &) {
    hostDown(From.Host_);
  });
  Env_.Fleet_.onConfig(
      [this] { Choice_.setRegionsRestricted(Env_.Fleet_.regions().isRestricting()); });
  Env_.Fleet_.onServers([this] { serversChanged(); });
  if (Env_.Config_.Mesh_->ColdOver_)
    Env_.Fleet_.onConfig([this] {
      std::set<ServiceId> Cold;
      for (const auto &[Name, Service] : Env_.Fleet_.config().Services_)
        if (Service.ColdRate_ > 0.0)
          Cold.insert(Name);
      Choice_.setColdServices(std::move(Cold));
      updateChoice(now());
    });
  Env_.Gate_.setFailureExchange(
      [this] { return Choice_.failures(now(), Env_.Fleet_.servers()); },
      [this](const std::vector<ServerFailure> &Items) { Choice_.heard(now(), Items); });
  return absl::OkStatus();
}

void Entry::updateChoice(TimePoint Now) {
  ChoiceUpdatedAt_ = Now;
  Choice_.update(Now, Env_.Fleet_.servers());
}

void Entry::serversChanged() {
  updateChoice(now());
  Budget_.setNodes(Env_.Fleet_.servers().hostCount());
}

void Entry::hostDown(const HostId &Host) {
  if (const BackendServer *Server = Env_.Fleet_.servers().findByHost(Host))
    Choice_.unreachable(now(), Server->Id_);
}

std::optional<Duration> Entry::requestedTimeout(const HttpRequest &Request) const {
  const auto Text = findHeader(Request.Headers_, Env_.Names_.Deadline_);
  if (!Text)
    return std::nullopt;
  std::int64_t Count = 0;
  const char *End = Text->data() + Text->size();
  const auto Parsed = std::from_chars(Text->data(), End, Count);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Count < 0)
    return std::nullopt;
  return std::chrono::milliseconds(std::min(Count, MaxTimeout.count()));
}

// Calls made by backend servers have no team. Those whose root is not known get the rank of the
// least important team, so that requests of that team precede them only up to its fair share.
std::uint32_t Entry::leastUrgentTeamRank() const {
  std::uint32_t LeastUrgent = 0;
  for (const FleetTeam &Team : Env_.Fleet_.config().Teams_)
    LeastUrgent = std::max(LeastUrgent, Team.Rank_.value_or(0));
  return LeastUrgent;
}

std::optional<Entry::RefusalDetails> Entry::identify(const HttpRequest &Request,
                                                     const std::string &Key, Call &Outgoing,
                                                     const FleetRoute *&Route) {
  if (!Env_.Fleet_.isReady())
    return RefusalDetails{Refusal::NotReady, NotReadyRetryAfter};
  std::string HostName;
  Route = Env_.Fleet_.routes().find(hostNameOf(Request, HostName), pathOf(Request.Target_));
  if (Route == nullptr)
    return refusalByConfig(Refusal::RouteUnknown);
  Outgoing.StartRegions_.Route_ = Route->AllowedRegions_;
  std::uint32_t Rank = std::min(Route->Rank_, MaxRank);
  std::uint32_t TeamRank = leastUrgentTeamRank();
  if (!Route->Open_ && !Env_.Fleet_.config().Teams_.empty()) {
    const auto Owner = Env_.Fleet_.keys().authenticate(Key);
    if (!Owner)
      return refusalByConfig(Key.empty() ? Refusal::KeyMissing : Refusal::KeyUnknown);
    Outgoing.Team_ = Owner->Team_;
    const FleetTeam *Team = Env_.Fleet_.findTeam(Owner->Team_);
    TeamRank = Team == nullptr ? 0U : Team->Rank_.value_or(0);
    if (Team != nullptr)
      Outgoing.StartRegions_.Team_ = Team->AllowedRegions_;
  }
  Rank += (MaxRank + 1) * std::min(TeamRank, MaxRank - 1);
  Outgoing.Standing_.ClassRank_ = Outgoing.Team_.empty() && Outgoing.Root_
                                      ? Outgoing.Root_->ClassRank_
                                      : static_cast<std::uint8_t>(255 - Rank);
  return std::nullopt;
}

Entry::RefusalDetails Entry::refusalByConfig(Refusal Reason) const {
  if (Env_.Fleet_.isBehind(now()))
    return {Refusal::StaleConfiguration, StaleRetryAfter};
  return {Reason, std::nullopt};
}

void Entry::prepareHeaders(HttpRequest &Request, const Call &Outgoing) const {
  const HeaderNames &Names = Env_.Names_;
  boost::range::remove_erase_if(Request.Headers_, [&](const Header &Field) {
    return isHopByHop(Field.Name_) || sameName(Field.Name_, Names.Deadline_) ||
           sameName(Field.Name_, Names.Team_) || sameName(Field.Name_, Names.CallingService_) ||
           sameName(Field.Name_, Names.ExpectedServer_);
  });
  Request.Headers_.push_back({Names.CallingService_, Env_.Config_.Service_.str()});
  if (!Outgoing.Team_.empty())
    Request.Headers_.push_back({Names.Team_, Outgoing.Team_.str()});
}

void Entry::handle(HttpRequest Request, const HttpExchangePtr &Exchange) {
  Call Outgoing;
  Outgoing.Request_ = RequestId(findHeader(Request.Headers_, Env_.Names_.RequestId_).value_or(""));
  std::string Key = takeCallerKey(Request);
  const FleetRoute *Found = nullptr;
  if (const auto Details = identify(Request, Key, Outgoing, Found)) {
    refuse(Request, Outgoing, Found, *Details, Exchange);
    return;
  }
  const auto Waiting = std::make_shared<WaitingRequest>(WaitingRequest{
      std::move(Request), std::move(Key), std::move(Outgoing), *Found, Env_.Fleet_.version()});
  if (Waiting->Outgoing_.Team_.empty()) {
    noteOwnCall(Waiting->Request_, *Found, Waiting->Outgoing_);
    receive(Waiting, Exchange);
    return;
  }
  Exchange->onCancelled([Waiting] { Waiting->CallerGone_ = true; });
  Env_.Shares_.admit(Waiting->Outgoing_.Team_, [this, Waiting, Exchange](
                                                   bool Admitted, const TeamShares::Token &Taken) {
    Waiting->Outgoing_.TokenExpiry_ = Taken.Expires_;
    if (Waiting->CallerGone_)
      returnToken(Waiting->Outgoing_);
    else if (Admitted)
      receive(Waiting, Exchange);
    else
      refuse(Waiting->Request_, Waiting->Outgoing_, &Waiting->Route_,
             {Refusal::OverTeamLimit, Env_.Shares_.retryAfter(now(), Waiting->Outgoing_.Team_)},
             Exchange);
  });
}

void Entry::noteOwnCall(const HttpRequest &Request, const FleetRoute &Route, Call &Outgoing) {
  const ClassId Class(Route.Name_);
  const CallParents::Parent Parent = Env_.Gate_.noteOwnCall(Class, requestedTimeout(Request));
  Env_.Health_.called(now(), Class,
                      Parent.Class_.empty() ? std::nullopt : std::optional(Parent.Class_));
  Outgoing.Root_ = Parent.Standing_;
  Outgoing.FirstRun_ = Parent.First_;
  Outgoing.RepeatedShare_ = Parent.RepeatedShare_;
  if (Outgoing.Root_)
    Outgoing.Standing_.ClassRank_ = Outgoing.Root_->ClassRank_;
}

void Entry::receive(const WaitingRequestPtr &Waiting, const HttpExchangePtr &Exchange) {
  if (const auto Details = setTimeLeft(Waiting->Request_, Waiting->Route_, Waiting->Outgoing_)) {
    refuse(Waiting->Request_, Waiting->Outgoing_, &Waiting->Route_, *Details, Exchange);
    return;
  }
  Exchange->receiveBody([this, Waiting, Exchange](std::string Body) {
    Waiting->Request_.Body_ = std::move(Body);
    onBody(Waiting, Exchange);
  });
}

// A body may take long, and a route or a key that was withdrawn meanwhile must not run.
void Entry::onBody(const WaitingRequestPtr &Waiting, const HttpExchangePtr &Exchange) {
  if (Waiting->CallerGone_) {
    returnToken(Waiting->Outgoing_);
    return;
  }
  if (Waiting->ConfigVersion_ != Env_.Fleet_.version()) {
    const FleetRoute *Found = nullptr;
    if (const auto Details =
            identify(Waiting->Request_, Waiting->Key_, Waiting->Outgoing_, Found)) {
      refuse(Waiting->Request_, Waiting->Outgoing_, Found, *Details, Exchange);
      return;
    }
    Waiting->Route_ = *Found;
  }
  run(std::move(Waiting->Request_), std::move(Waiting->Key_), std::move(Waiting->Outgoing_),
      Waiting->Route_, Exchange);
}

std::optional<Entry::RefusalDetails>
Entry::setTimeLeft(const HttpRequest &Request, const FleetRoute &Route, Call &Outgoing) const {
  const Duration Allowed = requestedTimeout(Request).value_or(DefaultTimeout);
  Outgoing.TimeLeft_ =
      Route.Timeout_ > Duration::zero() ? std::min(Allowed, Route.Timeout_) : Allowed;
  if (Outgoing.TimeLeft_ <= Duration::zero())
    return RefusalDetails{Refusal::DeadlineTooShort, std::nullopt};
  if (mayOutlastDrain(Outgoing.TimeLeft_))
    return RefusalDetails{Refusal::ShuttingDown, ShuttingDownRetryAfter};
  return std::nullopt;
}

void Entry::run(HttpRequest Request, std::string Key, Call Outgoing, const FleetRoute &Route,
                const HttpExchangePtr &Exchange) {
  // The time of a request counts from the arrival of its body.
  if (const auto Details = setTimeLeft(Request, Route, Outgoing)) {
    refuse(Request, Outgoing, &Route, *Details, Exchange);
    return;
  }
  prepareHeaders(Request, Outgoing);
  Outgoing.Objective_ = Route.Objective_ > Duration::zero() ? Route.Objective_ : Outgoing.TimeLeft_;
  Outgoing.Class_ = ClassId(Route.Name_);
  Outgoing.Service_ = Splitter_.next(Route);
  Outgoing.Idempotent_ = Route.Idempotent_;
  std::string HostName;
  Outgoing.Fingerprint_ = fingerprintOf(
      fmt::format("{} {}{}", Request.Method_, hostNameOf(Request, HostName), Request.Target_),
      Outgoing.Team_, Request.Body_);
  ReturnOrder::Place Place;
  if (!Outgoing.Team_.empty()) {
    Place = Order_.arrived(now(), Outgoing.Fingerprint_);
    // Calls of backend servers belong to requests that were admitted, so they are not refused here.
    if (shouldShed(Outgoing, Route, Place) || !Admission_.admit(now(), Outgoing.Class_, Place)) {
      Order_.refused(now(), Outgoing.Fingerprint_, Place);
      const auto Free = Admission_.timeForRoom(now(), Outgoing.Class_, Order_.size());
      refuse(Request, Outgoing, &Route,
             {Refusal::Overloaded, Free ? Order_.retryWithin(*Free, Outgoing.TimeLeft_)
                                        : retryAfter(ShedRetryAfter, Outgoing)},
             Exchange);
      return;
    }
    Outgoing.Root_ = RootStanding{Outgoing.Standing_.ClassRank_, placeNumber(Place.Position_),
                                  Outgoing.Team_, false};
  }
  const ParentRun Parent = parentOf(Outgoing);
  if (Parent == ParentRun::Repeated && !Budget_.mayRepeat(now(), Outgoing.Service_)) {
    refuse(Request, Outgoing, &Route, {Refusal::Overloaded, retryAfter(ShedRetryAfter, Outgoing)},
           Exchange);
    return;
  }
  Outgoing.Method_ = std::move(Request.Method_);
  Outgoing.Target_ = std::move(Request.Target_);
  Outgoing.Headers_ = std::move(Request.Headers_);
  Outgoing.Body_ = std::move(Request.Body_);
  Budget_.noteFirst(now(), Outgoing.Service_, !Outgoing.Team_.empty(), Parent,
                    Outgoing.RepeatedShare_);
  Rooms_.first(now(), Outgoing.Service_, Outgoing.Class_);
  const EntryCallPtr Active(
      new EntryCall(*this, std::move(Outgoing), std::move(Key), Exchange, Route.MaxRuns_, Place));
  Active->start();
}

void Entry::drain(TimePoint From, TimePoint End) {
  RefuseFrom_ = From;
  DrainDeadline_ = End;
}

bool Entry::mayOutlastDrain(Duration TimeLeft) const {
  const TimePoint Now = now();
  return Now >= RefuseFrom_ && Now + TimeLeft > DrainDeadline_;
}

void Entry::refuse(const HttpRequest &Request, const Call &Outgoing, const FleetRoute *Route,
                   const RefusalDetails &Details, const HttpExchangePtr &Exchange) {
  const TimePoint Now = now();
  returnToken(Outgoing);
  Env_.Metrics_.refused(Details.Reason_);
  const RouteState Worst = Env_.Health_.worst(Now).value_or(RouteState());
  if (Env_.Events_.mayWrite(Now, EventClass::Decision))
    Env_.Events_.write(
        Now, EventClass::Decision, "entry", "refused",
        {{"request", Outgoing.Request_.str()},
         {"reason", refusalInfo(Details.Reason_).Name_},
         {"route", Route == nullptr ? "" : Route->Name_},
         {"team", Outgoing.Team_.str()},
         {"path", pathOf(Request.Target_)},
         {"service", Outgoing.Service_.str()},
         {"shed_level", Shed_.of(Now, Outgoing.Service_, scopeOf(Outgoing).Regions_)},
         {"admitted_share", Admission_.share(Outgoing.Class_)},
         {"worst_route", Worst.Class_.str()},
         {"worst_accepted", Worst.Accepted_},
         {"worst_success", Worst.Success_},
         {"worst_age_us", Worst.Age_.count()},
         {"retry_after_us", Details.RetryAfter_.value_or(Duration::zero()).count()},
         {"config_version", Env_.Fleet_.version()},
         {"era", Env_.Fleet_.position().Era_},
         {"revision", Env_.Fleet_.position().Revision_},
         {"behind", Env_.Fleet_.isBehind(Now)},
         {"confirmed_age_us", Env_.Fleet_.confirmationAge(Now).count()}});
  Exchange->respond(refusalResponse(Details.Reason_, Outgoing.Request_, Details.RetryAfter_));
}

void Entry::returnToken(const Call &Outgoing) {
  if (Outgoing.TokenExpiry_ != TimePoint())
    Env_.Shares_.returned(Outgoing.Team_, {Outgoing.TokenExpiry_});
}

bool Entry::shouldShed(const Call &Outgoing, const FleetRoute &Route,
                       const ReturnOrder::Place &Place) const {
  const ShedLevel Level = Shed_.of(now(), Outgoing.Service_, scopeOf(Outgoing).Regions_);
  return Place.Position_ >= 1.0 - shedShare(Level, Route.Rank_);
}

void Entry::tellRouteHealth(TimePoint Now) {
  const bool HasNews = Env_.Health_.hasNews(Now);
  if (Now - ToldAt_ < TellInterval && !HasNews)
    return;
  const std::vector<RouteState> States = Env_.Health_.states(Now);
  if (States.empty())
    return;
  ToldAt_ = Now;
  std::vector<HostId> Linked;
  // The set of the hosts takes several milliseconds to build in a large fleet.
  for (const auto &[Id, Server] : Env_.Fleet_.servers().all())
    if (Env_.Links_.isLinked(Server.Host_))
      Linked.push_back(Server.Host_);
  if (Linked.empty())
    return;
  std::uniform_int_distribution<std::size_t> Position(0, Linked.size() - 1);
  for (std::size_t Left = HasNews ? NewsPeers : 1; Left > 0; --Left)
    Env_.Links_.send(Linked[Position(Random_)], MessageKind::RouteHealth, States);
}

void Entry::updateAdmission(TimePoint Now) {
  if (Admission_.isOpen() && !Env_.Health_.worst(Now) && !Env_.Health_.isAnyLimited(Now))
    return;
  std::vector<RouteAdmission::Demand> Demands;
  for (const FleetRoute &Route : Env_.Fleet_.config().Routes_) {
    const ClassId Class(Route.Name_);
    Demands.push_back({Class, Route.Rank_, Env_.Health_.find(Now, Class)});
  }
  Admission_.update(Now, Demands);
  noteLimited(Now, Demands);
}

void Entry::noteLimited(TimePoint Now, const std::vector<RouteAdmission::Demand> &Demands) {
  for (const RouteAdmission::Demand &Item : Demands) {
    const double Share = Admission_.share(Item.Class_);
    const bool IsLimited = Share < 1.0;
    if (IsLimited == (Limited_.count(Item.Class_) != 0))
      continue;
    if (IsLimited)
      Limited_.insert(Item.Class_);
    else
      Limited_.erase(Item.Class_);
    const RouteState State = Item.State_.value_or(RouteState());
    Env_.Events_.write(Now, EventClass::Belief, "entry",
                       IsLimited ? "route_limited" : "route_unlimited",
                       {{"route", Item.Class_.str()},
                        {"admitted_share", Share},
                        {"limiting_route", State.Limit_.str()},
                        {"room", State.Room_},
                        {"room_age_us", State.RoomAge_.count()},
                        {"answers_needed", State.Answers_},
                        {"success", State.Success_}});
  }
}

Duration Entry::retryAfter(Duration Expected, const Call &Outgoing) {
  return Order_.retryAfter(Expected, Outgoing.TimeLeft_);
}

ServerScope Entry::scopeOf(const Call &Outgoing) const {
  ServerScope Scope;
  Scope.Regions_ =
      Env_.Fleet_.regions().regionsOf(Outgoing.Class_, Outgoing.Team_, Outgoing.StartRegions_);
  Scope.Evacuated_ = Env_.Fleet_.evacuated(now());
  return Scope;
}

// The level of a server does not tell which of its requests fill it. Those that may run elsewhere
// are refused only if all regions are full in which they may run.
ShedLevel Entry::noteShedLevel(const Call &Outgoing, const std::string &Server,
                               const BackendLoad &Load) {
  const ServerScope Scope = scopeOf(Outgoing);
  const bool HasRegions = Scope.Regions_ || Env_.Fleet_.regions().isRestricting();
  const BackendServer *Answering = HasRegions ? Env_.Fleet_.servers().find(Server) : nullptr;
  if (Answering == nullptr) {
    Shed_.report(now(), Outgoing.Service_, Load.Shed_, Scope.Regions_);
    return Load.Shed_;
  }
  std::set<RegionId> Choices;
  for (const BackendServer *Other : Env_.Fleet_.servers().findByService(Outgoing.Service_))
    if (Choice_.mayUse(*Other, Scope))
      Choices.insert(Choice_.regionOf(*Other));
  return Shed_.reportOf(now(), Outgoing.Service_, Load.Shed_, Scope.Regions_,
                        Choice_.regionOf(*Answering), Choices, Load.CalleeShed_);
}

void Entry::noteLoad(const Call &Outgoing, const std::string &Server, const BackendLoad &Load) {
  if (Load.Limit_ == 0)
    return;
  Budget_.noteCalls(Outgoing.Service_, Load.MakesCalls_);
  // What a limited server refuses may fit elsewhere, so it says nothing of the service.
  if (Load.Rate_ > 0.0 &&
      Choice_.hasUnlimited(Env_.Fleet_.servers(), Outgoing.Service_, scopeOf(Outgoing)))
    return;
  const ShedLevel Level = noteShedLevel(Outgoing, Server, Load);
  // The level that this node reports to callers concerns all requests of its server, so it must not
  // rise with a region that only some of them need.
  if (Outgoing.Team_.empty() && !scopeOf(Outgoing).Regions_)
    Env_.Gate_.noteDownstreamLevel(Outgoing.Service_, Level);
}

double Entry::expectedBytes(const Call &Outgoing) const {
  const auto Found = MeanBytes_.find(Outgoing.Class_.str());
  return Found == MeanBytes_.end() ? DefaultBytes : Found->second;
}

void Entry::noteBytes(const Call &Outgoing, const Answer &Result) {
  if (Result.Outcome_ != Outcome::Served)
    return;
  const auto Size = static_cast<double>(Outgoing.Body_.size() + Result.Body_.size());
  double &Mean = MeanBytes_.try_emplace(Outgoing.Class_.str(), DefaultBytes).first->second;
  Mean += MeanBytesWeight * (Size - Mean);
}

void Entry::onAnswer(const HostId &From, const Answer &Result) {
  Env_.Fleet_.noteKnowledge(Result.Known_);
  Choice_.heard(now(), Result.Failing_);
  Env_.Health_.heard(now(), Result.Routes_);
  const auto Found = Running_.find(Result.Id_);
  if (Found == Running_.end())
    return;
  const EntryCallPtr Active = Found->second;
  if (Active->host() == From)
    Active->onAnswer(Result);
}

void Entry::onLinkDown(const HostId &Host, LinkId Link) {
  std::vector<EntryCallPtr> ActiveCalls;
  for (const auto &[Id, Active] : Running_)
    ActiveCalls.push_back(Active);
  for (const EntryCallPtr &Active : ActiveCalls)
    Active->onLinkDown(Host);
  LinkIncarnations_.erase(Link);
}

std::map<HostId, TimePoint> Entry::waitingHosts() const {
  std::map<HostId, TimePoint> Result;
  for (const auto &[Id, Active] : Running_) {
    if (Active->host() == Env_.Config_.Host_ || Active->host().empty())
      continue;
    const auto Added = Result.emplace(Active->host(), Active->sentAt());
    if (!Added.second)
      Added.first->second = std::min(Added.first->second, Active->sentAt());
  }
  return Result;
}

void Entry::abort() {
  std::vector<EntryCallPtr> ActiveCalls;
  for (const auto &[Id, Active] : Running_)
    ActiveCalls.push_back(Active);
  for (const EntryCallPtr &Active : ActiveCalls)
    Active->abort();
}

void Entry::stop() { Running_.clear(); }

void Entry::tick(TimePoint Now) {
  if (Now - ChoiceUpdatedAt_ >= ChoiceUpdateInterval)
    updateChoice(Now);
  shareRooms(Now, Rooms_, Budget_, Env_.Health_);
  updateAdmission(Now);
  tellRouteHealth(Now);
}

nlohmann::json Entry::dump() const {
  nlohmann::json Limited = nlohmann::json::object();
  for (const FleetRoute &Route : Env_.Fleet_.config().Routes_)
    if (const double Share = Admission_.share(ClassId(Route.Name_)); Share < 1.0)
      Limited[Route.Name_] = Share;
  nlohmann::json Spreads = nlohmann::json::object();
  for (const auto &[Service, Spread] : Choice_.spreads(now(), Env_.Fleet_.servers()))
    Spreads[Service.str()] = {
        {"servers", Spread.Servers_}, {"busiest", Spread.Busiest_}, {"mean", Spread.Mean_}};
  return {{"running", Running_.size()},
          {"refused_waiting", Order_.size()},
          {"admitted_share", std::move(Limited)},
          {"load_spread", std::move(Spreads)}};
}

void Entry::print(TimePoint Now, std::string &Out) const {
  std::string Lines;
  for (const auto &[Service, Spread] : Choice_.spreads(Now, Env_.Fleet_.servers()))
    for (const auto &[Kind, Value] :
         {std::pair("busiest", Spread.Busiest_), std::pair("mean", Spread.Mean_)})
      Lines += fmt::format("bronzestand_server_load{{service=\"{}\",server=\"{}\"}} {:.3f}\n",
                           Service.str(), Kind, Value);
  if (!Lines.empty())
    Out += "# HELP bronzestand_server_load Outstanding calls per slot of the servers to which this "
           "node sends calls\n# TYPE bronzestand_server_load gauge\n" +
           Lines;
  if (Limited_.empty())
    return;
  Out += "# HELP bronzestand_admitted_share Share of the requests of a limited route that is "
         "admitted\n# TYPE bronzestand_admitted_share gauge\n";
  for (const ClassId &Class : Limited_)
    Out += fmt::format("bronzestand_admitted_share{{route=\"{}\"}} {:.3f}\n", Class.str(),
                       Admission_.share(Class));
}

} // namespace bronzestand::node
