#include "mesh/mesh_node.h"

#include <algorithm>
#include <limits>

#include <sys/resource.h>

#include <fmt/format.h>

#include "mesh/backend_gate.h"
#include "mesh/entry.h"
#include "mesh/link_watch.h"
#include "mesh/mesh_metrics.h"
#include "mesh/state_exchange.h"
#include "mesh/team_share_part.h"
#include "node/clock.h"
#include "node/crash_guard.h"
#include "node/http_server.h"
#include "node/peer_links.h"
#include "node/remote_calls.h"
#include "node/supervisor.h"

namespace bronzestand::node {
namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
/// The platform asks for readiness each second and takes a node out after two misses.
constexpr Duration MinDrainTime = std::chrono::milliseconds(2300);
/// New requests are taken although they may not end in time for this part of the grace period, but
/// no longer than MaxAcceptTime. The platform lets a node break off only what it took in this time.
constexpr double AcceptShare = 0.5;
constexpr Duration MaxAcceptTime = std::chrono::seconds(3);
/// Kept back from the grace period for the answers of what is ended early; at most AbortShare of
/// it, because the platform lets a node break off requests in the last sixth only.
constexpr Duration AbortMargin = std::chrono::milliseconds(600);
constexpr double AbortShare = 0.125;
/// Time in which callers and peers read what they have received before the process ends.
constexpr Duration WriteTime = std::chrono::milliseconds(150);
/// A stopping node waits no longer for peers that receive nothing for this time.
constexpr Duration PeerWait = std::chrono::seconds(1);
/// Callers that read slowly get their answers until this long before the end of the grace period.
constexpr Duration EndMargin = std::chrono::milliseconds(500);
/// Pipelined requests of one connection that run at the same time.
constexpr std::size_t Pipelined = 16;
/// Connections of callers at the 4,100 descriptors of a node. The others are left to the backend
/// server (1,024), the listeners of the operator and of metrics (128), peers and the store.
constexpr std::size_t CallerConnections = 2500;
/// Part of the descriptors for callers where a process may open fewer.
constexpr double CallerDescriptorShare = 0.61;
/// An answer that a caller does not read in this time ends the connection.
constexpr std::chrono::milliseconds CallerReadTimeout{15'000};

/// The entry, the gate and the client of the server each hold a copy of the head of a request.
constexpr std::size_t HeadCopies = 3;
/// Monitors and the platform's checks need a few connections and send no bodies worth keeping.
constexpr std::size_t OperatorConnections = 64;
constexpr std::uint64_t OperatorBodyBytes = 64ULL * 1024;

/// Part of the memory of the process for answers that callers have not read. Those of its own
/// server exceed an eighth only while an earlier answer of a connection is missing.
constexpr std::size_t unreadMemoryOf(std::size_t ProcessBytes) { return ProcessBytes / 16 * 3; }
/// The same for the listeners of the operator and of metrics, each.
constexpr std::size_t OperatorAnswerDivisor = 32;

/// Connections of callers that leave the others their descriptors.
std::size_t callerConnections() {
  rlimit Limit{};
  if (::getrlimit(RLIMIT_NOFILE, &Limit) != 0 || Limit.rlim_cur == RLIM_INFINITY)
    return CallerConnections;
  const double Share = CallerDescriptorShare * static_cast<double>(Limit.rlim_cur);
  return std::min(CallerConnections, static_cast<std::size_t>(Share));
}

HttpResponse page(unsigned Status, std::string_view Type, std::string Body) {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Headers_ = {{"Content-Type", std::string(Type)}};
  Response.Body_ = std::move(Body);
  return Response;
}

HttpServerLimits limitsOf(const CallerLimits &Values, std::size_t MemoryBytes) {
  HttpServerLimits Limits;
  Limits.HeaderBytes_ = Values.HeaderBytes_;
  Limits.BodyBytes_ = Values.BodyBytes_;
  Limits.HeaderTimeout_ = Values.HeaderTimeout_;
  Limits.ReadTimeout_ = CallerReadTimeout;
  Limits.IdleTimeout_ = Values.IdleTimeout_;
  Limits.Connections_ = callerConnections();
  Limits.Pipelined_ = Pipelined;
  Limits.AnswerBytes_ = unreadMemoryOf(MemoryBytes);
  Limits.HeadCopies_ = HeadCopies;
  return Limits;
}

HttpServerLimits operatorLimits(std::size_t MemoryBytes) {
  HttpServerLimits Limits;
  Limits.AnswerBytes_ = MemoryBytes / OperatorAnswerDivisor;
  Limits.BodyBytes_ = OperatorBodyBytes;
  Limits.Connections_ = OperatorConnections;
  return Limits;
}

} // namespace

class MeshNode::Impl {
public:
  Impl(boost::asio::io_context &Io, Settings Config, HeaderNames Names, const MakeSource &Source)
      : Io_(Io), Config_(std::move(Config)), Names_(std::move(Names)), Run_(wallMicroseconds()),
        Timer_(Io), Events_(Config_.Host_.str()), Links_(Io, Config_, Run_),
        Fleet_(Config_, Events_), Source_(Source(Io, Config_, Fleet_, Events_)),
        Guard_(Io, Config_, Links_, CrashGuard::Restarts::Slow),
        Gate_(Io, Config_, Names_, Fleet_, Guard_, Health_, Events_),
        RemoteCalls_(Gate_, Links_, Run_), Exchange_(Config_, Fleet_, Links_, Events_, Run_),
        Shares_(Io, Config_, Fleet_, Links_, Events_),
        Entry_({Io, Config_, Names_, Fleet_, Links_, Gate_, Health_, Shares_, Metrics_, Events_},
               Run_),
        Watch_(Links_, Entry_, Events_),
        Memory_(std::make_shared<MemoryAccount>(Io, requestMemoryOf(Config_.MemoryBytes_))),
        CallerServer_(Io, Config_.CallerListen_, limitsOf({}, Config_.MemoryBytes_),
                      [this](HttpRequest Request, const HttpExchangePtr &Exchange) {
                        Entry_.handle(std::move(Request), Exchange);
                      },
                      {true, Memory_}),
        OperatorServer_(Io, Config_.OperatorListen_, operatorLimits(Config_.MemoryBytes_),
                        [this](const HttpRequest &Request, const HttpExchangePtr &Exchange) {
                          handleOperator(Request, Exchange);
                        },
                        {true, Memory_}) {
    if (const auto &Listen = Config_.Mesh_->MetricsListen_)
      MetricsServer_ = std::make_unique<HttpServer>(
          Io, *Listen, operatorLimits(Config_.MemoryBytes_),
          [this](const HttpRequest &Request, const HttpExchangePtr &Exchange) {
            handleMetrics(Request, Exchange);
          },
          HttpServerOptions{true, Memory_});
  }

  absl::Status start() {
    Links_.setResolver([this](const HostId &Host) {
      return std::optional<Endpoint>({Host.str(), Config_.PeerListen_.Port_});
    });
    for (const std::string &Name : {Names_.Team_, Names_.CallingService_, Names_.ExpectedServer_,
                                    Names_.Signature_, Names_.Rate_, Names_.Leaving_})
      Links_.addRepeatingHeader(Name);
    Links_.setDistance([this](const HostId &Host) { return distanceTo(Host); });
    Fleet_.onServers([this] { setServiceHosts(); });
    Guard_.onCrash([this](const CrashGuard::CrashReport &Report) {
      Events_.write(now(), EventClass::Belief, "backend_gate", "server_crashed",
                    {{"calls", Report.Calls_}, {"quarantined", Report.Quarantined_}});
    });
    Fleet_.onConfig([this] {
      CallerServer_.setLimits(limitsOf(Fleet_.config().Limits_, Config_.MemoryBytes_));
    });
    CallerServer_.onCut([this](const CutConnection &Item) {
      Events_.write(now(), EventClass::Decision, "caller_server", "connection_cut",
                    {{"unacknowledged_bytes", Item.UnacknowledgedBytes_},
                     {"unread_bytes", Item.UnreadBytes_},
                     {"draining", Draining_}});
    });
    Gate_.setAnswerOutlet(
        {[this] { return CallerServer_.answerBytes() + Links_.queuedBytes(); },
         [this] { return CallerServer_.hasBlockedAnswers(); },
         [this](bool EvenBlocked) { return CallerServer_.closeUnread(EvenBlocked); }});
    for (Part *Child : children())
      Supervisor_.add(*Child);
    Events_.write(now(), EventClass::Belief, "node", "started",
                  {{"incarnation", Run_},
                   {"service", Config_.Service_.str()},
                   {"data_centre", Config_.DataCentre_.str()},
                   {"peers_authenticated", !Config_.PeerSecret_.empty()}});
    absl::Status Result = OperatorServer_.start();
    if (Result.ok() && MetricsServer_)
      Result = MetricsServer_->start();
    if (Result.ok())
      Result = Supervisor_.start();
    if (!Result.ok())
      return Result;
    scheduleTick();
    return CallerServer_.start();
  }

  /// Time from the signal after which requests that still run are ended.
  Duration abortTime() const {
    const Duration Grace = Config_.Mesh_->GracePeriod_;
    return Grace - std::min(AbortMargin, std::chrono::duration_cast<Duration>(Grace * AbortShare));
  }

  void shutdown() {
    if (Draining_) {
      stopAll();
      return;
    }
    Draining_ = true;
    DrainStart_ = now();
    Events_.write(DrainStart_, EventClass::Belief, "node", "stopping",
                  {{"requests", Entry_.running()}, {"calls", Gate_.running()}});
    CallerServer_.announceClose();
    const auto AcceptTime =
        std::chrono::duration_cast<Duration>(Config_.Mesh_->GracePeriod_ * AcceptShare);
    Entry_.drain(DrainStart_ + std::min(AcceptTime, MaxAcceptTime), DrainStart_ + abortTime());
    Gate_.drain();
    Shares_.drain();
    Exchange_.drain();
    for (const HostId &Host : Fleet_.servers().hosts())
      if (Links_.isLinked(Host))
        Links_.send(Host, MessageKind::Leaving, nullptr);
  }

private:
  std::vector<Part *> children() {
    return {&Links_, &Fleet_, Source_.get(), &Exchange_, &Metrics_, &Shares_,
            &Guard_, &Gate_,  &RemoteCalls_, &Entry_,    &Watch_};
  }

  LinkDistance distanceTo(const HostId &Host) const {
    const BackendServer *Server = Fleet_.servers().findByHost(Host);
    if (Server == nullptr)
      return LinkDistance::Unknown;
    if (Server->DataCentre_ == Config_.DataCentre_)
      return LinkDistance::SameDataCentre;
    const auto &Regions = Config_.Mesh_->Regions_;
    const auto Other = Regions.find(Server->DataCentre_.str());
    if (Other == Regions.end())
      return LinkDistance::Unknown;
    const auto Own = Regions.find(Config_.DataCentre_.str());
    const std::string &OwnRegion = Own == Regions.end() ? Config_.Region_.str() : Own->second;
    return Other->second == OwnRegion ? LinkDistance::OtherDataCentre : LinkDistance::OtherRegion;
  }

  void setServiceHosts() {
    std::set<HostId> Hosts;
    for (const BackendServer *Server : Fleet_.servers().findByService(Config_.Service_))
      Hosts.insert(Server->Host_);
    Guard_.setHosts(Hosts);
  }

  void scheduleTick() {
    Timer_.expires_after(TickInterval);
    Timer_.async_wait([this](const boost::system::error_code &Failure) {
      if (Failure)
        return;
      const TimePoint Now = now();
      Supervisor_.tick(Now);
      logMemoryMeasures(Now);
      if (Draining_ && drain(Now))
        return;
      scheduleTick();
    });
  }

  /// Writes a line when requests were refused or connections closed for lack of memory.
  void logMemoryMeasures(TimePoint Now) {
    const std::uint64_t Count = Memory_->refusedAndClosed();
    if (Count == LoggedMeasures_ || !Events_.mayWrite(Now, EventClass::Decision))
      return;
    LoggedMeasures_ = Count;
    Events_.write(Now, EventClass::Decision, "request_memory", "no_room",
                  {{"account", Memory_->dump()}, {"connections", CallerServer_.connections()}});
  }

  bool isIdle() const {
    return Entry_.running() == 0 && Gate_.running() == 0 && CallerServer_.runningRequests() == 0;
  }

  /// Tells whether other nodes still receive what was sent to them.
  bool arePeersReceiving(TimePoint Now) {
    const std::size_t Left = Links_.unacknowledgedBytes();
    if (Left < LeftForPeers_) {
      LeftForPeers_ = Left;
      PeersReceivedAt_ = Now;
    }
    return Left != 0 && Now - PeersReceivedAt_ < PeerWait;
  }

  /// \return whether the end of the process is on its way.
  bool drain(TimePoint Now) {
    const Duration Time = Now - DrainStart_;
    const bool Late = Time >= abortTime();
    if (!Late && (Time < MinDrainTime || !isIdle()))
      return false;
    if (!std::exchange(Closed_, true))
      CallerServer_.drain();
    if (Late && !std::exchange(Aborted_, true)) {
      Entry_.abort();
      Gate_.abort();
    }
    // A connection that was accepted before may still bring a request, and the end of the process
    // cuts answers that callers or other nodes are reading.
    if ((CallerServer_.connections() != 0 || arePeersReceiving(Now)) &&
        Time < Config_.Mesh_->GracePeriod_ - EndMargin)
      return false;
    Timer_.expires_after(WriteTime);
    Timer_.async_wait([this](const boost::system::error_code &Failure) {
      if (!Failure)
        stopAll();
    });
    return true;
  }

  void stopAll() {
    Timer_.cancel();
    CallerServer_.stop();
    OperatorServer_.stop();
    if (MetricsServer_)
      MetricsServer_->stop();
    Supervisor_.stop();
    Events_.write(now(), EventClass::Belief, "node", "stopped", {});
    Io_.stop();
  }

  void handleOperator(const HttpRequest &Request, const HttpExchangePtr &Exchange) {
    const std::string_view Path = pathOf(Request.Target_);
    if (Path == "/healthz")
      Exchange->respond(page(Fleet_.isReady() && !Draining_ ? 200 : 503, "text/plain", ""));
    else if (Path == "/state")
      // Names in settings and of other nodes may be no valid UTF-8.
      Exchange->respond(page(200, "application/json",
                             dump().dump(2, ' ', false, nlohmann::json::error_handler_t::replace)));
    else
      handleMetrics(Request, Exchange);
  }

  void handleMetrics(const HttpRequest &Request, const HttpExchangePtr &Exchange) {
    if (pathOf(Request.Target_) == "/metrics") {
      std::string Text = Metrics_.text();
      Shares_.print(Text);
      Fleet_.print(now(), Text);
      Gate_.print(now(), Text);
      Entry_.print(now(), Text);
      Memory_->print(Text);
      Links_.print(Text);
      printShares(Text);
      Exchange->respond(page(200, "text/plain; version=0.0.4", std::move(Text)));
      return;
    }
    Exchange->respond(page(404, "text/plain", "unknown page\n"));
  }

  /// Appends the memory of answers on their ways and the connections of the listeners.
  void printShares(std::string &Out) const {
    const HttpServer *Metrics = MetricsServer_.get();
    Out += fmt::format("# HELP bronzestand_answer_memory_bytes Memory of answers by share\n"
                       "# TYPE bronzestand_answer_memory_bytes gauge\n"
                       "bronzestand_answer_memory_bytes{{share=\"receiving\"}} {}\n"
                       "bronzestand_answer_memory_bytes{{share=\"unread\"}} {}\n"
                       "bronzestand_answer_memory_bytes{{share=\"queued\"}} {}\n"
                       "# HELP bronzestand_connections Open connections by listener\n"
                       "# TYPE bronzestand_connections gauge\n"
                       "bronzestand_connections{{listener=\"caller\"}} {}\n"
                       "bronzestand_connections{{listener=\"operator\"}} {}\n"
                       "bronzestand_connections{{listener=\"metrics\"}} {}\n"
                       "# HELP bronzestand_caller_connections_max Bound on connections of callers\n"
                       "# TYPE bronzestand_caller_connections_max gauge\n"
                       "bronzestand_caller_connections_max {}\n",
                       Gate_.answerBytes(), CallerServer_.answerBytes(), Links_.queuedBytes(),
                       CallerServer_.connections(), OperatorServer_.connections(),
                       Metrics == nullptr ? 0 : Metrics->connections(), callerConnections());
  }

  nlohmann::json dump() {
    nlohmann::json Result{{"host", Config_.Host_.str()},
                          {"service", Config_.Service_.str()},
                          {"incarnation", Run_},
                          {"draining", Draining_},
                          {"log_lines_dropped", Events_.dropped()},
                          {"supervisor", Supervisor_.dump()},
                          {"request_memory", Memory_->dump()}};
    Result["request_memory"]["connections"] = CallerServer_.connections();
    Result["caller_server"] = {{"answer_bytes", CallerServer_.answerBytes()},
                               {"connections", CallerServer_.connections()},
                               {"max_connections", callerConnections()}};
    for (const Part *Child : children())
      Result[std::string(Child->name())] = Child->dump();
    return Result;
  }

  boost::asio::io_context &Io_;
  Settings Config_;
  HeaderNames Names_;
  Incarnation Run_;
  boost::asio::steady_timer Timer_;
  Supervisor Supervisor_;
  EventLog Events_;
  PeerLinks Links_;
  FleetState Fleet_;
  std::unique_ptr<Part> Source_;
  MeshMetrics Metrics_;
  CrashGuard Guard_;
  RouteHealth Health_;
  BackendGate Gate_;
  RemoteCalls RemoteCalls_;
  StateExchange Exchange_;
  TeamSharePart Shares_;
  Entry Entry_;
  LinkWatch Watch_;
  std::shared_ptr<MemoryAccount> Memory_; ///< of the requests on all listeners
  std::uint64_t LoggedMeasures_ = 0;
  HttpServer CallerServer_;
  HttpServer OperatorServer_;
  std::unique_ptr<HttpServer> MetricsServer_; ///< null if the settings name no address for it
  bool Draining_ = false;
  TimePoint DrainStart_;
  bool Closed_ = false;  ///< callers can't connect any more
  bool Aborted_ = false; ///< requests that still ran were ended
  std::size_t LeftForPeers_ = std::numeric_limits<std::size_t>::max(); ///< least bytes not received
  TimePoint PeersReceivedAt_{};                                        ///< when it fell last
};

MeshNode::MeshNode(boost::asio::io_context &Io, Settings Config, HeaderNames Names,
                   const MakeSource &Source)
    : Impl_(std::make_unique<Impl>(Io, std::move(Config), std::move(Names), Source)) {}
MeshNode::~MeshNode() = default;
absl::Status MeshNode::start() { return Impl_->start(); }
void MeshNode::shutdown() { Impl_->shutdown(); }

} // namespace bronzestand::node
