#include "node/node.h"

#include <functional>

#include <boost/algorithm/string/predicate.hpp>

#include "node/admission_part.h"
#include "node/call_attempts.h"
#include "node/call_contexts.h"
#include "node/claims_part.h"
#include "node/clock.h"
#include "node/config_part.h"
#include "node/crash_guard.h"
#include "node/executor.h"
#include "node/host_choice.h"
#include "node/http_server.h"
#include "node/limits_part.h"
#include "node/link_part.h"
#include "node/membership_part.h"
#include "node/metrics.h"
#include "node/peer_links.h"
#include "node/platform_reader.h"
#include "node/remote_calls.h"
#include "node/router.h"
#include "node/supervisor.h"

namespace bronzestand::node {
namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
/// Time for writing answers to callers and peers before an immediate stop.
constexpr Duration AbortWriteTime = std::chrono::milliseconds(200);
constexpr std::string_view RequestsPath = "/requests/";
constexpr std::string_view JsonType = "application/json";

HttpResponse textResponse(unsigned Status, std::string_view Type, std::string Body) {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Headers_ = {{"Content-Type", std::string(Type)}};
  Response.Body_ = std::move(Body);
  return Response;
}

} // namespace

class Node::Impl {
public:
  Impl(boost::asio::io_context &Io, Settings Config)
      : Io_(Io), Config_(std::move(Config)), Run_(wallMicroseconds()), Log_(makeLogger("node")),
        Timer_(Io), Links_(Io, Config_, Run_), Reader_(Io, Config_),
        Documents_(Reader_, Links_, Config_, Run_), Members_(Links_, Documents_, Config_, Run_),
        Metrics_(Documents_), Recent_(Config_.Host_),
        Guard_(Io, Config_, Links_, CrashGuard::Restarts::Quick),
        Claims_(Config_, Documents_, Links_, Run_), Admission_(Config_), Attempts_(Config_),
        Executor_(Io, Config_, Documents_, Contexts_, Claims_, Guard_, Metrics_, Admission_,
                  Attempts_),
        RemoteCalls_(Executor_, Links_, Run_), Hosts_(Config_, Documents_, Members_, Run_),
        LinkBudget_(Config_, Documents_, Links_), Limits_(Io, Config_, Documents_, Links_, Run_),
        Router_({Io, Config_, Documents_, Contexts_, Links_, Executor_, Limits_, Members_, Hosts_,
                 LinkBudget_, Metrics_, Recent_, Admission_, Attempts_},
                Run_),
        Memory_(std::make_shared<MemoryAccount>(Io, requestMemoryOf(Config_.MemoryBytes_))),
        CallerServer_(Io, Config_.CallerListen_, {},
                      [this](HttpRequest Request, const HttpExchangePtr &Exchange) {
                        Members_.checkPause(now());
                        Router_.handleCaller(std::move(Request), Exchange);
                      },
                      {false, Memory_}),
        EgressServer_(Io, Config_.EgressListen_, {},
                      [this](HttpRequest Request, const HttpExchangePtr &Exchange) {
                        Members_.checkPause(now());
                        Router_.handleEgress(std::move(Request), Exchange);
                      },
                      {false, Memory_}),
        OperatorServer_(Io, Config_.OperatorListen_, {},
                        [this](const HttpRequest &Request, const HttpExchangePtr &Exchange) {
                          handleOperator(Request, Exchange);
                        },
                        {false, Memory_}) {}

  absl::Status start() {
    Links_.setResolver([this](const HostId &Host) { return addressOf(Host); });
    Members_.setPauseCallback([this](TimePoint Now) { Supervisor_.pause(Now); });
    Documents_.addChangeCallback([this](const std::string &Path) { Limits_.onChange(Path); });
    Documents_.addChangeCallback([this](const std::string &Path) {
      if (boost::starts_with(Path, "hosts/") &&
          boost::ends_with(Path, "/" + Config_.Service_.str()))
        Guard_.setHosts(hostsOfService());
    });
    Documents_.addChangeCallback([this](const std::string &Path) {
      if (boost::starts_with(Path, "teams/"))
        Executor_.onKeysChanged();
    });
    for (Part *Child : children())
      Supervisor_.add(*Child);
    for (HttpServer *Server : {&OperatorServer_, &EgressServer_}) {
      absl::Status Result = Server->start();
      if (!Result.ok())
        return Result;
    }
    absl::Status Result = Supervisor_.start();
    if (!Result.ok())
      return Result;
    scheduleTick();
    Log_->info("host {} started, address for callers {}", Config_.Host_.str(),
               Config_.CallerListen_.str());
    return CallerServer_.start();
  }

  void shutdown() {
    if (Draining_) {
      abort();
      return;
    }
    Draining_ = true;
    DrainEnd_ = now() + Config_.DrainLimit_;
    Log_->info("shutting down, {} requests in progress", Router_.running());
    Members_.leave();
    Hosts_.observe(Config_.Host_, Run_, true);
    Claims_.leave();
    CallerServer_.drain();
    Router_.drain();
    Executor_.drain();
  }

private:
  std::vector<Part *> children() {
    return {&Members_, &Links_,  &Reader_,    &Documents_, &LinkBudget_,  &Guard_, &Metrics_,
            &Limits_,  &Claims_, &Admission_, &Executor_,  &RemoteCalls_, &Router_};
  }

  std::optional<Endpoint> addressOf(const HostId &Host) const {
    const HostSpec *Spec = Documents_.catalogue().findHost(Host);
    if (Spec == nullptr)
      return std::nullopt;
    return Endpoint{Spec->Address_, Spec->Port_};
  }

  void scheduleTick() {
    Timer_.expires_after(TickInterval);
    Timer_.async_wait([this](const boost::system::error_code &Failure) {
      if (Failure)
        return;
      Supervisor_.tick(now());
      if (Draining_ && now() >= DrainEnd_) {
        abort();
        return;
      }
      // Answers to other nodes may still be in a send buffer when the last call ends.
      DrainedTicks_ = Draining_ && isDrained() ? DrainedTicks_ + 1 : 0;
      // Other nodes hold leases from this one until its last request has ended. The leave notices
      // need one more tick to be written.
      if (DrainedTicks_ == 1) {
        Limits_.leaving(now());
        EgressServer_.drain();
      }
      if (DrainedTicks_ >= 2 && EgressServer_.connections() == 0) {
        stopAll();
        return;
      }
      scheduleTick();
    });
  }

  bool isDrained() const {
    return Router_.running() == 0 && Executor_.running() == 0 && CallerServer_.connections() == 0 &&
           Claims_.isHandedOver(now());
  }

  /// Ends the requests in progress, each with an outcome for its caller, and stops after the time
  /// for writing their answers.
  void abort() {
    Router_.abort();
    Executor_.abort();
    Timer_.expires_after(AbortWriteTime);
    Timer_.async_wait([this](const boost::system::error_code &Failure) {
      if (!Failure)
        stopAll();
    });
  }

  void stopAll() {
    Timer_.cancel();
    CallerServer_.stop();
    EgressServer_.stop();
    OperatorServer_.stop();
    Supervisor_.stop();
    Log_->info("stopped");
    Io_.stop();
  }

  void handleOperator(const HttpRequest &Request, const HttpExchangePtr &Exchange) {
    if (Request.Target_ == "/state")
      // Names in settings and of other nodes may be no valid UTF-8.
      Exchange->respond(textResponse(
          200, JsonType, dump().dump(2, ' ', false, nlohmann::json::error_handler_t::replace)));
    else if (Request.Target_ == "/metrics")
      Exchange->respond(textResponse(200, "text/plain; version=0.0.4", Metrics_.prometheusText()));
    else if (boost::starts_with(Request.Target_, RequestsPath))
      handleRequestPage(Request.Target_.substr(RequestsPath.size()), Exchange);
    else if (Request.Target_ == "/healthz")
      Exchange->respond(textResponse(Documents_.isReady() && !Draining_ ? 200 : 503, "text/plain",
                                     Documents_.isReady() ? "ready\n" : "not ready\n"));
    else
      Exchange->respond(textResponse(404, "text/plain", "unknown page\n"));
  }

  void handleRequestPage(const std::string &Id, const HttpExchangePtr &Exchange) {
    const nlohmann::json Records = Recent_.find(Id);
    if (Records.is_null())
      Exchange->respond(textResponse(404, "text/plain", "unknown request\n"));
    else
      Exchange->respond(textResponse(
          200, JsonType, Records.dump(2, ' ', false, nlohmann::json::error_handler_t::replace)));
  }

  std::set<HostId> hostsOfService() const {
    std::set<HostId> Hosts;
    for (const auto &[Name, List] : Documents_.catalogue().hostLists())
      if (List.Service_ == Config_.Service_)
        for (const HostSpec &Host : List.Hosts_)
          Hosts.insert(Host.Id_);
    return Hosts;
  }

  nlohmann::json dump() {
    nlohmann::json Result{{"host", Config_.Host_.str()},
                          {"data_centre", Config_.DataCentre_.str()},
                          {"region", Config_.Region_.str()},
                          {"service", Config_.Service_.str()},
                          {"incarnation", Run_},
                          {"draining", Draining_},
                          {"supervisor", Supervisor_.dump()}};
    for (const Part *Child : children())
      Result[std::string(Child->name())] = Child->dump();
    return Result;
  }

  boost::asio::io_context &Io_;
  Settings Config_;
  Incarnation Run_;
  Logger Log_;
  boost::asio::steady_timer Timer_;
  Supervisor Supervisor_;
  CallContexts Contexts_;
  PeerLinks Links_;
  PlatformReader Reader_;
  ConfigPart Documents_;
  MembershipPart Members_;
  Metrics Metrics_;
  RecentRequests Recent_;
  CrashGuard Guard_;
  ClaimsPart Claims_;
  AdmissionPart Admission_;
  CallAttempts Attempts_;
  Executor Executor_;
  RemoteCalls RemoteCalls_;
  HostChoice Hosts_;
  LinkPart LinkBudget_;
  LimitsPart Limits_;
  Router Router_;
  std::shared_ptr<MemoryAccount> Memory_; ///< of the requests on all listeners
  HttpServer CallerServer_;
  HttpServer EgressServer_;
  HttpServer OperatorServer_;
  bool Draining_ = false;
  TimePoint DrainEnd_;
  unsigned DrainedTicks_ = 0;
};

Node::Node(boost::asio::io_context &Io, Settings Config)
    : Impl_(std::make_unique<Impl>(Io, std::move(Config))) {}
Node::~Node() = default;
absl::Status Node::start() { return Impl_->start(); }
void Node::shutdown() { Impl_->shutdown(); }

} // namespace bronzestand::node
