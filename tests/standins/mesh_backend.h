#ifndef BRONZESTAND_TESTS_STANDINS_MESH_BACKEND_H
#define BRONZESTAND_TESTS_STANDINS_MESH_BACKEND_H

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "node/http_server.h"
#include "platform_store.h"

namespace bronzestand::standin {

/// Stand-in of a backend server of the service "s" on a platform with a metadata store. It lists
/// itself in the store, serves each request after a fixed time, and ends while it runs a request
/// whose path contains "poison". An ended server starts again at its address with a new id.
class MeshBackend {
public:
  using json = nlohmann::json;
  using Clock = std::chrono::steady_clock;
  using milliseconds = std::chrono::milliseconds;

  /// A request that arrived.
  struct Arrival {
    std::string Target_;
    Clock::time_point At_;
    bool Rejected_ = false; ///< answered 421, because it names another server
    bool Cold_ = false;     ///< the server was cold
  };

  MeshBackend(boost::asio::io_context &Io, node::Endpoint Listen, PlatformStore &Store)
      : Io_(Io), Listen_(std::move(Listen)), Store_(Store), RestartTimer_(Io) {}
  MeshBackend(const MeshBackend &) = delete;
  MeshBackend &operator=(const MeshBackend &) = delete;
  ~MeshBackend() {
    RestartTimer_.cancel();
    if (Up_)
      Servers_.back()->stop();
  }

  /// Listens and lists a new server in the store.
  bool start() {
    Id_ = "i-" + Listen_.Address_ + "-" + std::to_string(++Run_);
    Up_ = listen();
    ColdUntil_ = Clock::now() + ColdTime_;
    announce();
    return Up_;
  }
  /// Writes the entry of the server to the store.
  void announce() {
    Store_.put("servers/" + Id_,
               json{{"Address", Listen_.str()},
                    {"Info", {{"Service", "s"}, {"Zone", Zone_}, {"Slots", Slots_}}},
                    {"Status", {{"State", "ready"}, {"ColdRemainingMs", 0}}},
                    {"born", Run_}}
                   .dump());
  }
  /// Ends the server with all of its connections; it starts again after RestartAfter_.
  void crash() {
    if (!Up_)
      return;
    Up_ = false;
    ++Crashes_;
    Servers_.back()->stop();
    RestartTimer_.expires_after(RestartAfter_);
    RestartTimer_.async_wait([this](const boost::system::error_code &Failure) {
      if (Failure)
        return;
      Store_.remove("servers/" + Id_);
      start();
    });
  }

  /// Goes on as a cold server.
  void turnCold(milliseconds Time) { ColdUntil_ = Clock::now() + Time; }
  /// Goes on as another server at the same address, of which the store does not tell.
  void replaceUnlisted() { Id_ += "-replaced"; }
  /// Ends all connections while the server goes on; its requests are not answered.
  void dropConnections() {
    Servers_.back()->stop();
    listen();
  }

  bool isUp() const { return Up_; }
  int crashes() const { return Crashes_; }
  const std::string &id() const { return Id_; }
  const std::vector<Arrival> &arrivals() const { return Arrivals_; }
  std::size_t runsOf(const std::string &Target) const {
    return static_cast<std::size_t>(
        std::count_if(Arrivals_.begin(), Arrivals_.end(), [&](const Arrival &Item) {
          return !Item.Rejected_ && Item.Target_ == Target;
        }));
  }

  std::string Zone_ = "z"; ///< data centre; takes effect with the next announce()
  unsigned Slots_ = 32;    ///< in its entry; takes effect with the next announce()
  milliseconds ServeTime_{30};
  milliseconds CrashAfter_{20}; ///< from the arrival of a request that crashes the server
  milliseconds RestartAfter_{300};
  milliseconds ColdTime_{0};    ///< after each start
  bool SlowIfCold_ = false;     ///< requests take twice the time while the server is cold
  std::string Body_ = "served"; ///< of all answers
  std::string HealthId_;        ///< that health answers name instead of id()
  /// Called with each request that runs, if it is set; the request is answered once Answer is
  /// called.
  std::function<void(const node::HttpRequest &Request, std::function<void()> Answer)> Work_;
  /// Headers of all answers, in addition to the usual ones.
  std::vector<Header> MoreHeaders_;

private:
  bool listen() {
    Servers_.push_back(std::make_unique<node::HttpServer>(
        Io_, Listen_, node::HttpServerLimits(),
        [this](const node::HttpRequest &Request, const node::HttpExchangePtr &Exchange) {
          handle(Request, Exchange);
        }));
    return Servers_.back()->start().ok();
  }

  static std::string valueOf(const node::HttpRequest &Request, std::string_view Name) {
    return node::findHeader(Request.Headers_, Name).value_or("");
  }

  milliseconds coldFor() const {
    const auto Left = std::chrono::ceil<milliseconds>(ColdUntil_ - Clock::now());
    return std::max(milliseconds(0), Left);
  }

  void answerHealth(const node::HttpExchangePtr &Exchange) {
    const milliseconds ColdFor = coldFor();
    Arrivals_.push_back({"/health", Clock::now(), false, ColdFor > milliseconds(0)});
    node::HttpResponse Response;
    Response.Status_ = ColdFor > milliseconds(0) ? 503 : 200;
    Response.Headers_.push_back({"Instance-Id", HealthId_.empty() ? Id_ : HealthId_});
    if (ColdFor > milliseconds(0))
      Response.Headers_.push_back({"Cold-Remaining-Ms", std::to_string(ColdFor.count())});
    Exchange->respond(std::move(Response));
  }

  void handle(const node::HttpRequest &Request, const node::HttpExchangePtr &Exchange) {
    if (Request.Target_ == "/health") {
      answerHealth(Exchange);
      return;
    }
    const bool Misdirected = valueOf(Request, "Target-Instance") != Id_;
    Arrivals_.push_back({Request.Target_, Clock::now(), Misdirected, coldFor() > milliseconds(0)});
    node::HttpResponse Response;
    Response.Headers_ = MoreHeaders_;
    Response.Headers_.push_back({"Request-Id", valueOf(Request, "Request-Id")});
    if (Misdirected) {
      Response.Status_ = 421;
      Exchange->respond(std::move(Response));
      return;
    }
    if (boost::contains(Request.Target_, "poison")) {
      // The exchange is kept, because it is answered when it is dropped.
      after(CrashAfter_, [this, Exchange] { crash(); });
      return;
    }
    Response.Headers_.push_back({"Server-Signature", "s1"});
    Response.Body_ = Body_;
    const auto Answer = [Exchange, Response] { Exchange->respond(Response); };
    if (Work_)
      Work_(Request, Answer);
    else
      after(ServeTime_ * (SlowIfCold_ && coldFor() > milliseconds(0) ? 2 : 1), Answer);
  }

  /// Calls a function after a time, unless this run of the server has ended.
  void after(milliseconds Time, std::function<void()> Action) {
    const auto Timer = std::make_shared<boost::asio::steady_timer>(Io_, Time);
    Timer->async_wait([this, Timer, Run = Run_,
                       Action = std::move(Action)](const boost::system::error_code &Failure) {
      if (!Failure && Up_ && Run == Run_)
        Action();
    });
  }

  boost::asio::io_context &Io_;
  node::Endpoint Listen_;
  PlatformStore &Store_;
  boost::asio::steady_timer RestartTimer_;
  std::vector<std::unique_ptr<node::HttpServer>> Servers_; ///< one for each run
  std::string Id_;
  std::uint64_t Run_ = 0;
  Clock::time_point ColdUntil_{};
  bool Up_ = false;
  int Crashes_ = 0;
  std::vector<Arrival> Arrivals_;
};

} // namespace bronzestand::standin

#endif
