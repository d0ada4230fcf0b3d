#include "node/http_server.h"

#include <algorithm>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "node/http_session.h"

namespace bronzestand::node {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using detail::HttpServerState;
using detail::HttpSession;
using detail::HttpSessionPtr;

namespace {

/// A connection that was opened before a drain gets this long for its first request.
constexpr std::chrono::milliseconds FirstRequestLimit{1000};
/// Time-outs of callers are enforced to this precision.
constexpr std::chrono::milliseconds TimeoutCheckInterval{250};
/// A connection makes way for a new one only after it has not been used for this time, so that a
/// crowd that keeps opening connections does not displace callers that are about to send.
constexpr std::chrono::milliseconds MinUnused{1000};
/// A caller that has taken no byte of its answers for this time counts as one that does not read.
/// Systems announce room that a slow reader makes in steps that may take a second.
constexpr std::chrono::milliseconds UnreadLimit{2000};
/// Pause after a failed accept, which usually means that there are no descriptors.
constexpr std::chrono::milliseconds AcceptPause{50};

} // namespace

class HttpServer::Impl {
public:
  Impl(asio::io_context &Io, Endpoint Listen, HttpServerLimits Limits, HttpHandler Handler,
       HttpServerOptions Options)
      : Io_(Io), Listen_(std::move(Listen)), Acceptor_(Io), TimeoutTimer_(Io), AcceptTimer_(Io),
        State_(std::make_shared<HttpServerState>()) {
    State_->Limits_ = Limits;
    State_->Handler_ = std::move(Handler);
    State_->HeadFirst_ = Options.HeadFirst_;
    State_->Memory_ = std::move(Options.Memory_);
    if (!State_->Memory_)
      State_->Memory_ = std::make_shared<MemoryAccount>(Io, MemoryAccount::NoLimit);
  }

  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;
  /// A request that waits for its body or for its answer refers to its session and its session to
  /// it, so the sessions would not end by themselves.
  ~Impl() {
    for (const HttpSessionPtr &Item : sessions())
      Item->abandon();
  }

  absl::Status start() {
    error_code Failure;
    const tcp::endpoint Address(asio::ip::make_address(Listen_.Address_, Failure), Listen_.Port_);
    if (!Failure)
      Acceptor_.open(Address.protocol(), Failure);
    if (!Failure)
      Acceptor_.set_option(tcp::acceptor::reuse_address(true), Failure);
    if (!Failure)
      Acceptor_.bind(Address, Failure);
    if (!Failure)
      Acceptor_.listen(asio::socket_base::max_listen_connections, Failure);
    if (Failure)
      return makeError({ErrorCode::ListenFailed, Listen_.str(), "", Failure.message()});
    accept();
    checkTimeouts();
    return absl::OkStatus();
  }

  void setLimits(const HttpServerLimits &Limits) { State_->Limits_ = Limits; }
  void onCut(CutCallback Callback) { State_->OnCut_ = std::move(Callback); }
  void announceClose() { State_->Closing_ = true; }

  void drain() {
    State_->Draining_ = true;
    acceptWaiting();
    error_code Ignored;
    Acceptor_.close(Ignored);
    for (HttpSession &Item : State_->Sessions_)
      if (Item.isNew())
        Item.closeUnlessUsed(FirstRequestLimit);
    for (const HttpSessionPtr &Item : sessions())
      if (!Item->isNew() && Item->isIdle())
        Item->closeAfterDelivery();
  }

  void stop() {
    drain();
    TimeoutTimer_.cancel();
    AcceptTimer_.cancel();
    for (const HttpSessionPtr &Item : sessions())
      Item->close();
  }

  std::size_t connections() const { return State_->Sessions_.size(); }
  std::size_t runningRequests() const { return State_->RunningRequests_; }
  std::size_t answerBytes() const { return State_->AnswerBytes_; }

  bool hasBlockedAnswers() const {
    return std::any_of(State_->Sessions_.begin(), State_->Sessions_.end(),
                       [](const HttpSession &Item) { return Item.isBlocked(); });
  }

  bool closeUnread(bool EvenBlocked) {
    HttpSession *Found = nullptr;
    const auto Latest = HttpSession::Clock::now() - UnreadLimit;
    for (HttpSession &Item : State_->Sessions_)
      if (Item.answerBytes() != 0 && Item.lastDelivery() <= Latest &&
          (EvenBlocked || !Item.isBlocked()) &&
          (Found == nullptr || Found->answerBytes() < Item.answerBytes()))
        Found = &Item;
    if (Found == nullptr)
      return false;
    State_->Memory_->count(MemoryMeasure::ClosedUnread);
    HttpSessionPtr(Found)->close();
    return true;
  }

private:
  /// Returns the sessions at this moment, because a session that closes leaves the list.
  std::vector<HttpSessionPtr> sessions() const {
    std::vector<HttpSessionPtr> Result;
    for (HttpSession &Item : State_->Sessions_)
      Result.emplace_back(&Item);
    return Result;
  }

  /// Takes the connections that the kernel has accepted, because closing the listener resets them.
  void acceptWaiting() {
    error_code Failure;
    Acceptor_.non_blocking(true, Failure);
    while (!Failure && Acceptor_.is_open()) {
      tcp::socket Socket = Acceptor_.accept(Failure);
      if (!Failure)
        add(std::move(Socket));
    }
  }

  void add(tcp::socket Socket) {
    if (connections() >= State_->Limits_.Connections_ && !makeWay()) {
      State_->Memory_->count(MemoryMeasure::RefusedConnection);
      return;
    }
    error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    detail::makeHttpSession(std::move(Socket), State_)->readFirst();
  }

  /// Closes the connection that has not been used longest, first of those that never sent a
  /// request.
  bool makeWay() {
    HttpSession *Found = nullptr;
    const auto Now = HttpSession::Clock::now();
    const auto Order = [&](const HttpSession &Item) {
      return std::make_pair(Item.isNew(), Item.unusedFor(Now));
    };
    for (HttpSession &Item : State_->Sessions_)
      if (Item.unusedFor(Now) >= MinUnused && (Found == nullptr || Order(*Found) < Order(Item)))
        Found = &Item;
    if (Found == nullptr)
      return false;
    if (Found->answerBytes() != 0)
      HttpSessionPtr(Found)->close();
    else
      HttpSessionPtr(Found)->closeAfterDelivery();
    State_->Memory_->count(MemoryMeasure::ClosedSilent);
    return true; // the closed one ends with its pending operation
  }

  void accept() {
    Acceptor_.async_accept([this, State = State_](error_code Failure, tcp::socket Socket) {
      if (Failure == asio::error::operation_aborted)
        return;
      if (!Failure)
        add(std::move(Socket));
      if (State->Draining_)
        return;
      if (!Failure) {
        accept();
        return;
      }
      AcceptTimer_.expires_after(AcceptPause);
      AcceptTimer_.async_wait([this, State](error_code Stopped) {
        if (!Stopped && !State->Draining_)
          accept();
      });
    });
  }

  void checkTimeouts() {
    TimeoutTimer_.expires_after(TimeoutCheckInterval);
    TimeoutTimer_.async_wait([this, State = State_](error_code Failure) {
      if (Failure)
        return;
      const auto Now = HttpSession::Clock::now();
      for (const HttpSessionPtr &Item : sessions())
        Item->checkTimeouts(Now);
      State->Memory_->tick(Now);
      checkTimeouts();
    });
  }

  asio::io_context &Io_;
  Endpoint Listen_;
  tcp::acceptor Acceptor_;
  asio::steady_timer TimeoutTimer_;
  asio::steady_timer AcceptTimer_;
  std::shared_ptr<HttpServerState> State_;
};

HttpServer::HttpServer(asio::io_context &Io, Endpoint Listen, HttpServerLimits Limits,
                       HttpHandler Handler, HttpServerOptions Options)
    : Impl_(std::make_unique<Impl>(Io, std::move(Listen), Limits, std::move(Handler),
                                   std::move(Options))) {}
HttpServer::~HttpServer() = default;
absl::Status HttpServer::start() { return Impl_->start(); }
void HttpServer::setLimits(const HttpServerLimits &Limits) { Impl_->setLimits(Limits); }
void HttpServer::onCut(CutCallback Callback) { Impl_->onCut(std::move(Callback)); }
void HttpServer::announceClose() { Impl_->announceClose(); }
void HttpServer::drain() { Impl_->drain(); }
void HttpServer::stop() { Impl_->stop(); }
std::size_t HttpServer::connections() const { return Impl_->connections(); }
std::size_t HttpServer::runningRequests() const { return Impl_->runningRequests(); }
std::size_t HttpServer::answerBytes() const { return Impl_->answerBytes(); }
bool HttpServer::hasBlockedAnswers() const { return Impl_->hasBlockedAnswers(); }
bool HttpServer::closeUnread(bool EvenBlocked) { return Impl_->closeUnread(EvenBlocked); }

} // namespace bronzestand::node
