#include "mesh/entry.h"

#include <charconv>

#include <boost/algorithm/string.hpp>
#include <boost/range/algorithm_ext/erase.hpp>

#include "mesh/entry_call.h"
#include "node/clock.h"
#include "node/codec_call.h"

namespace bronzestand::node {
namespace {

/// Requests without a deadline and without a time-out of the route.
constexpr Duration DefaultTime = std::chrono::seconds(30);
/// A node without a configuration expects one within this time.
constexpr Duration NotReadyRetry = std::chrono::milliseconds(500);
/// A node that stops is back, or its callers are moved, in about this time.
constexpr Duration ShuttingDownRetry = std::chrono::seconds(1);
/// Size of a request and its answer until some were seen, and the weight of one in the mean.
constexpr double DefaultBytes = 2000.0;
constexpr double BytesWeight = 0.1;
/// An overload lasts for seconds, so that an earlier return is mostly in vain.
constexpr Duration ShedRetry = std::chrono::milliseconds(1200);
constexpr std::string_view KeyScheme = "bearer ";
constexpr std::uint32_t MaxRank = 15; ///< ranks beyond it are treated alike

std::string_view hostNameOf(const HttpRequest &Request, std::string &Held) {
  Held = findHeader(Request.Headers_, "Host").value_or("");
  return std::string_view(Held).substr(0, Held.find(':'));
}

/// Removes the key from a request and returns it.
std::string takeCallerKey(HttpRequest &Request) {
  std::string Key;
  for (const Header &Field : Request.Headers_)
    if (sameName(Field.Name_, "Authorization") && boost::istarts_with(Field.Value_, KeyScheme))
      Key = boost::trim_copy(Field.Value_.substr(KeyScheme.size()));
  boost::range::remove_erase_if(
      Request.Headers_, [](const Header &Field) { return sameName(Field.Name_, "Authorization"); });
  return Key;
}

} // namespace

Entry::Entry(const Parts &Environment, Incarnation Run)
    : Env_(Environment), LastCall_(Run),
      Choice_(Env_.Config_.DataCentre_, Env_.Config_.Mesh_->Regions_),
      Budget_({Env_.Config_.Mesh_->RetryRatio_, Env_.Config_.Mesh_->RetryAllowance_}),
      Splitter_(Run), Random_(Run) {}
Entry::~Entry() = default;

absl::Status Entry::start() {
  Env_.Links_.setHandler(MessageKind::Answer, [this](const Peer &From, const nlohmann::json &Body) {
    onAnswer(From.Host_, Body.get<Answer>());
  });
  Env_.Links_.addLinkUp([this](const Peer &Other) {
    LinkRuns_[Other.Link_] = Other.Incarnation_;
    if (const BackendServer *Server = Env_.Fleet_.servers().findByHost(Other.Host_))
      Choice_.reachable(Server->Id_);
  });
  Env_.Links_.addLinkDown([this](const HostId &Host, LinkId Link) { onLinkDown(Host, Link); });
  Env_.Links_.addHostDown([this](const HostId &Host, LinkEnd Reason) {
    if (Reason == LinkEnd::Failed)
      hostDown(Host);
  });
  Env_.Links_.setHandler(MessageKind::Leaving, [this](const Peer &From, const nlohmann::json &) {
    hostDown(From.Host_);
  });
  Env_.Fleet_.onServers([this] { serversChanged(); });
  return absl::OkStatus();
}

void Entry::serversChanged() {
  Choice_.update(now(), Env_.Fleet_.servers());
  Budget_.setNodes(Env_.Fleet_.servers().hosts().size());
}

void Entry::hostDown(const HostId &Host) {
  if (const BackendServer *Server = Env_.Fleet_.servers().findByHost(Host))
    Choice_.unreachable(now(), Server->Id_);
}

std::optional<Duration> Entry::timeAllowed(const HttpRequest &Request) const {
  const auto Text = findHeader(Request.Headers_, Env_.Names_.Deadline_);
  if (!Text)
    return std::nullopt;
  std::int64_t Count = 0;
  const char *End = Text->data() + Text->size();
  const auto Parsed = std::from_chars(Text->data(), End, Count);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Count < 0)
    return std::nullopt;
  return std::chrono::milliseconds(Count);
}

// Calls of backend servers come without a team. They share the place of the least important one,
// where requests of teams go before them only by their fair share.
std::uint32_t Entry::leastTeamRank() const {
  std::uint32_t Least = 0;
  for (const FleetTeam &Team : Env_.Fleet_.config().Teams_)
    Least = std::max(Least, Team.Rank_.value_or(0));
  return Least;
}

std::optional<Entry::Refused> Entry::identify(HttpRequest &Request, Call &Work,
                                              const FleetRoute *&Route) {
  const std::string Key = takeCallerKey(Request);
  if (!Env_.Fleet_.isReady())
    return Refused{Refusal::NotReady, NotReadyRetry};
  std::string HostName;
  Route = Env_.Fleet_.routes().find(hostNameOf(Request, HostName), pathOf(Request.Target_));
  if (Route == nullptr)
    return Refused{Refusal::RouteUnknown, std::nullopt};
  std::uint32_t Rank = std::min(Route->Rank_, MaxRank);
  std::uint32_t TeamRank = leastTeamRank();
  if (!Route->Open_ && !Env_.Fleet_.config().Teams_.empty()) {
    const auto Owner = Env_.Fleet_.keys().authenticate(Key);
    if (!Owner)
      return Refused{Key.empty() ? Refusal::KeyMissing : Refusal::KeyUnknown, std::nullopt};
    Work.Team_ = Owner->Team_;
    const FleetTeam *Team = Env_.Fleet_.findTeam(Owner->Team_);
    TeamRank = Team == nullptr ? 0U : Team->Rank_.value_or(0);
  }
  Rank += (MaxRank + 1) * std::min(TeamRank, MaxRank - 1);
  Work.Standing_.ClassRank_ = static_cast<std::uint8_t>(255 - Rank);
  return std::nullopt;
}

void Entry::prepareHeaders(HttpRequest &Request, const Call &Work) const {
  const HeaderNames &Names = Env_.Names_;
  boost::range::remove_erase_if(Request.Headers_, [&](const Header &Field) {
    return isHopByHop(Field.Name_) || sameName(Field.Name_, Names.Deadline_) ||
           sameName(Field.Name_, Names.Team_) || sameName(Field.Name_, Names.CallingService_) ||
           sameName(Field.Name_, Names.ExpectedServer_);
  });
  Request.Headers_.push_back({Names.CallingService_, Env_.Config_.Service_.str()});
  if (!Work.Team_.empty())
    Request.Headers_.push_back({Names.Team_, Work.Team_.str()});
}

void Entry::handle(HttpRequest Request, const HttpExchangePtr &Exchange) {
  Call Work;
  Work.Request_ = RequestId(findHeader(Request.Headers_, Env_.Names_.RequestId_).value_or(""));
  const FleetRoute *Found = nullptr;
  if (const auto Why = identify(Request, Work, Found)) {
    refuse(Request, Work, Found, *Why, Exchange);
    return;
  }
  if (Work.Team_.empty()) {
    Env_.Gate_.noteOwnCall();
    run(std::move(Request), std::move(Work), *Found, Exchange);
    return;
  }
  const TeamId Team = Work.Team_;
  // Shared, because the request may wait for tokens; the route may change meanwhile.
  struct Held {
    HttpRequest Request_;
    Call Work_;
    FleetRoute Route_;
    bool CallerGone_ = false;
  };
  const auto Waiting = std::make_shared<Held>(Held{std::move(Request), std::move(Work), *Found});
  Exchange->onCancelled([Waiting] { Waiting->CallerGone_ = true; });
  Env_.Shares_.admit(Team, [this, Waiting, Exchange](bool Admitted) {
    const TimePoint Now = now();
    if (Waiting->CallerGone_)
      return;
    if (Admitted)
      run(std::move(Waiting->Request_), std::move(Waiting->Work_), Waiting->Route_, Exchange);
    else
      refuse(Waiting->Request_, Waiting->Work_, &Waiting->Route_,
             {Refusal::OverTeamLimit, Env_.Shares_.retryAfter(Now, Waiting->Work_.Team_)},
             Exchange);
  });
}

void Entry::run(HttpRequest Request, Call Work, const FleetRoute &Route,
                const HttpExchangePtr &Exchange) {
  const Duration Allowed = timeAllowed(Request).value_or(DefaultTime);
  Work.TimeLeft_ = Route.Timeout_ > Duration::zero() ? std::min(Allowed, Route.Timeout_) : Allowed;
  if (Work.TimeLeft_ <= Duration::zero()) {
    refuse(Request, Work, &Route, {Refusal::DeadlineTooShort, std::nullopt}, Exchange);
    return;
  }
  if (isTooLate(Work)) {
    refuse(Request, Work, &Route, {Refusal::ShuttingDown, ShuttingDownRetry}, Exchange);
    return;
  }
  prepareHeaders(Request, Work);
  Work.Objective_ = Route.Objective_ > Duration::zero() ? Route.Objective_ : Work.TimeLeft_;
  Work.Class_ = ClassId(Route.Name_);
  Work.Service_ = Splitter_.next(Route);
  if (!Work.Team_.empty() && isShed(Work.Service_, Route)) {
    refuse(Request, Work, &Route, {Refusal::Overloaded, ShedRetry}, Exchange);
    return;
  }
  Work.Idempotent_ = Route.Idempotent_;
  Work.Method_ = std::move(Request.Method_);
  Work.Target_ = std::move(Request.Target_);
  Work.Headers_ = std::move(Request.Headers_);
  Work.Body_ = std::move(Request.Body_);
  Budget_.noteFirst(now(), Work.Service_, !Work.Team_.empty());
  const EntryCallPtr Item(new EntryCall(*this, std::move(Work), Exchange, Route.MaxRuns_));
  Item->start();
}

void Entry::drain(TimePoint From, TimePoint End) {
  RefuseFrom_ = From;
  EndsAt_ = End;
}

bool Entry::isTooLate(const Call &Work) const {
  const TimePoint Now = now();
  return Now >= RefuseFrom_ && Now + Work.TimeLeft_ > EndsAt_;
}

void Entry::refuse(const HttpRequest &Request, const Call &Work, const FleetRoute *Route,
                   const Refused &Why, const HttpExchangePtr &Exchange) {
  const TimePoint Now = now();
  Env_.Metrics_.refused(Why.Reason_);
  if (Env_.Events_.mayWrite(Now, EventClass::Decision))
    Env_.Events_.write(Now, EventClass::Decision, "entry", "refused",
                       {{"request", Work.Request_.str()},
                        {"reason", refusalInfo(Why.Reason_).Name_},
                        {"route", Route == nullptr ? "" : Route->Name_},
                        {"team", Work.Team_.str()},
                        {"path", pathOf(Request.Target_)},
                        {"service", Work.Service_.str()},
                        {"shed_level", Shed_.of(Now, Work.Service_)},
                        {"retry_after_us", Why.RetryAfter_.value_or(Duration::zero()).count()},
                        {"config_version", Env_.Fleet_.version()},
                        {"revision", Env_.Fleet_.revision()}});
  Exchange->respond(refusalResponse(Why.Reason_, Work.Request_, Why.RetryAfter_));
}

bool Entry::isShed(const ServiceId &Service, const FleetRoute &Route) {
  const double Share = shedShare(Shed_.of(now(), Service), Route.Rank_);
  return Share > 0.0 && std::uniform_real_distribution<double>()(Random_) < Share;
}

void Entry::noteLoad(const Call &Work, const BackendLoad &Load) {
  if (Load.Limit_ == 0)
    return;
  Budget_.noteCalls(Work.Service_, Load.MakesCalls_);
  Shed_.report(now(), Work.Service_, Load.Shed_);
  if (Work.Team_.empty())
    Env_.Gate_.noteCalled(Work.Service_, Load.Shed_);
}

double Entry::expectedBytes(const Call &Work) const {
  const auto Found = Bytes_.find(Work.Class_.str());
  return Found == Bytes_.end() ? DefaultBytes : Found->second;
}

void Entry::noteBytes(const Call &Work, const Answer &Result) {
  if (Result.Outcome_ != Outcome::Served)
    return;
  const auto Size = static_cast<double>(Work.Body_.size() + Result.Body_.size());
  double &Mean = Bytes_.try_emplace(Work.Class_.str(), DefaultBytes).first->second;
  Mean += BytesWeight * (Size - Mean);
}

void Entry::onAnswer(const HostId &From, const Answer &Result) {
  Env_.Fleet_.noteRevision(Result.Known_);
  const auto Found = Running_.find(Result.Id_);
  if (Found == Running_.end())
    return;
  const EntryCallPtr Item = Found->second;
  if (Item->host() == From)
    Item->onAnswer(Result);
}

void Entry::onLinkDown(const HostId &Host, LinkId Link) {
  std::vector<EntryCallPtr> Items;
  for (const auto &[Id, Item] : Running_)
    Items.push_back(Item);
  for (const EntryCallPtr &Item : Items)
    Item->onLinkDown(Host);
  LinkRuns_.erase(Link);
}

std::map<HostId, TimePoint> Entry::waitingHosts() const {
  std::map<HostId, TimePoint> Result;
  for (const auto &[Id, Item] : Running_) {
    if (Item->host() == Env_.Config_.Host_ || Item->host().empty())
      continue;
    const auto Added = Result.emplace(Item->host(), Item->sentAt());
    if (!Added.second)
      Added.first->second = std::min(Added.first->second, Item->sentAt());
  }
  return Result;
}

void Entry::abort() {
  std::vector<EntryCallPtr> Items;
  for (const auto &[Id, Item] : Running_)
    Items.push_back(Item);
  for (const EntryCallPtr &Item : Items)
    Item->abort();
}

void Entry::stop() { Running_.clear(); }

void Entry::tick(TimePoint Now) { Choice_.update(Now, Env_.Fleet_.servers()); }

nlohmann::json Entry::dump() const { return {{"running", Running_.size()}}; }

} // namespace bronzestand::node
