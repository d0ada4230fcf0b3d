#include "node/http_server.h"

#include <algorithm>
#include <iterator>

#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/intrusive/list.hpp>

namespace bronzestand::node {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace intrusive = boost::intrusive;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

/// What the server needs to know of a session. Sessions own themselves through the handlers of
/// their pending operations; the list only enumerates them.
class SessionBase : public boost::intrusive_ref_counter<SessionBase, boost::thread_unsafe_counter>,
                    public intrusive::list_base_hook<intrusive::link_mode<intrusive::auto_unlink>> {
public:
  virtual ~SessionBase() = default;
  virtual void close() = 0;
  /// Tells whether no request has arrived, not even in part, that is not answered yet.
  virtual bool isIdle() = 0;
  virtual bool isNew() const = 0;
  /// Closes the connection if no request arrives in time.
  virtual void closeUnlessUsed(std::chrono::milliseconds Limit) = 0;
};
using SessionList = intrusive::list<SessionBase, intrusive::constant_time_size<false>>;

/// A connection that was opened before a drain gets this long for its first request.
constexpr std::chrono::milliseconds FirstRequestLimit{1000};

/// State that the sessions of one server share.
struct ServerState {
  HttpServerLimits Limits_;
  HttpHandler Handler_;
  SessionList Sessions_;
  std::size_t RunningRequests_ = 0;
  bool Draining_ = false;
};

/// Maps a parse error to the refusal that the caller gets.
Refusal refusalOf(const error_code &Failure) {
  if (Failure == http::error::header_limit || Failure == http::error::buffer_overflow)
    return Refusal::HeaderTooLarge;
  if (Failure == http::error::body_limit)
    return Refusal::BodyTooLarge;
  return Refusal::BadRequest;
}

/// Tells whether the length of the body and the host are stated in one way only. The parser lets
/// some other forms pass, which a second parser may read differently.
bool isUnambiguous(const http::request<http::string_body> &Message) {
  const auto Length = Message.equal_range(http::field::content_length);
  if (std::distance(Length.first, Length.second) > 1)
    return false;
  const auto Stated = Message[http::field::content_length];
  if (std::any_of(Stated.begin(), Stated.end(), [](char C) { return C < '0' || C > '9'; }))
    return false;
  const auto Encoding = Message.equal_range(http::field::transfer_encoding);
  if (std::distance(Encoding.first, Encoding.second) > 1)
    return false;
  if (Encoding.first != Encoding.second && !beast::iequals(Encoding.first->value(), "chunked"))
    return false;
  return Message.version() < 11 || Message.count(http::field::host) == 1;
}

bool isParseError(const error_code &Failure) {
  return Failure.category() == http::make_error_code(http::error::bad_method).category() &&
         Failure != http::error::end_of_stream && Failure != http::error::partial_message;
}

class Session final : public SessionBase {
public:
  Session(tcp::socket Socket, std::shared_ptr<ServerState> State)
      : Stream_(std::move(Socket)), State_(std::move(State)) {}

  void readFirst() { readRequest(); }
  void readNext();
  void respond(std::uint64_t RequestNumber, HttpResponse Response);
  void setCancel(std::uint64_t RequestNumber, std::function<void()> Callback);
  void close() override;
  bool isIdle() override { return !Running_ && !Receiving_ && !hasInput(); }
  bool isNew() const override { return RequestNumber_ == 0; }
  void closeUnlessUsed(std::chrono::milliseconds Limit) override;

private:
  friend class Exchange;
  using Parser = http::request_parser<http::string_body>;

  bool hasInput();
  void onRead(const error_code &Failure);
  void readRequest();
  void refuse(Refusal Reason);
  void handle();
  void watchForClose();
  void write(HttpResponse Response, bool KeepAlive);
  void finishRequest();

  beast::tcp_stream Stream_;
  std::shared_ptr<ServerState> State_;
  beast::flat_buffer Buffer_;
  std::optional<Parser> Parser_;
  std::optional<http::response<http::string_body>> Response_;
  std::function<void()> Cancel_;
  std::uint64_t RequestNumber_ = 0;
  bool KeepAlive_ = true;
  bool Running_ = false;
  bool Receiving_ = false; ///< the header has arrived, the body has not
};
using SessionPtr = boost::intrusive_ptr<Session>;

class Exchange final : public HttpExchange {
public:
  Exchange(SessionPtr Owner, std::uint64_t Number) : Owner_(std::move(Owner)), Number_(Number) {}
  ~Exchange() override {
    // A handler that drops the exchange must not leave the caller without an answer.
    Owner_->respond(Number_, refusalResponse(Refusal::ConnectionLost, RequestId()));
  }
  void respond(HttpResponse Response) override { Owner_->respond(Number_, std::move(Response)); }
  void onCancelled(std::function<void()> Callback) override {
    Owner_->setCancel(Number_, std::move(Callback));
  }

private:
  SessionPtr Owner_;
  std::uint64_t Number_;
};

bool Session::hasInput() {
  error_code Failure;
  return Buffer_.size() != 0 || (Stream_.socket().available(Failure) != 0 && !Failure);
}

void Session::closeUnlessUsed(std::chrono::milliseconds Limit) {
  const auto Timer = std::make_shared<asio::steady_timer>(Stream_.get_executor(), Limit);
  Timer->async_wait([Self = SessionPtr(this), Timer](error_code) {
    if (Self->isIdle())
      Self->close();
  });
}

void Session::readNext() {
  // A pipelined request that has arrived is still answered.
  if (State_->Draining_ && !hasInput()) {
    close();
    return;
  }
  readRequest();
}

void Session::readRequest() {
  Parser_.emplace();
  Parser_->header_limit(State_->Limits_.HeaderBytes_);
  Parser_->body_limit(State_->Limits_.BodyBytes_);
  const bool Started = Buffer_.size() != 0;
  Stream_.expires_after(Started ? State_->Limits_.ReadTimeout_ : State_->Limits_.IdleTimeout_);
  http::async_read_header(Stream_, Buffer_, *Parser_,
                          [Self = SessionPtr(this)](error_code Failure, std::size_t) {
                            if (Failure) {
                              Self->onRead(Failure);
                              return;
                            }
                            Self->Receiving_ = true;
                            Self->Stream_.expires_after(Self->State_->Limits_.ReadTimeout_);
                            http::async_read(Self->Stream_, Self->Buffer_, *Self->Parser_,
                                             [Self](error_code BodyFailure, std::size_t) {
                                               Self->onRead(BodyFailure);
                                             });
                          });
}

void Session::onRead(const error_code &Failure) {
  Receiving_ = false;
  Stream_.expires_never();
  if (!Failure) {
    handle();
  } else if (isParseError(Failure)) {
    refuse(refusalOf(Failure));
  } else {
    close();
  }
}

void Session::refuse(Refusal Reason) {
  Running_ = true;
  ++State_->RunningRequests_;
  ++RequestNumber_;
  write(refusalResponse(Reason, RequestId()), false);
}

void Session::handle() {
  auto Message = Parser_->release();
  if (!isUnambiguous(Message)) {
    refuse(Refusal::BadRequest);
    return;
  }
  KeepAlive_ = Message.keep_alive();
  HttpRequest Request;
  Request.Method_ = std::string(Message.method_string());
  Request.Target_ = std::string(Message.target());
  for (const auto &Field : Message)
    Request.Headers_.push_back({std::string(Field.name_string()), std::string(Field.value())});
  Request.Body_ = std::move(Message.body());
  Running_ = true;
  ++State_->RunningRequests_;
  ++RequestNumber_;
  const HttpExchangePtr Current(new Exchange(SessionPtr(this), RequestNumber_));
  watchForClose();
  State_->Handler_(std::move(Request), Current);
}

void Session::watchForClose() {
  const std::uint64_t Number = RequestNumber_;
  Stream_.socket().async_wait(
      tcp::socket::wait_read, [Self = SessionPtr(this), Number](error_code Failure) {
        if (!Self->Running_ || Self->RequestNumber_ != Number || !Self->Cancel_)
          return;
        char Byte = 0;
        const ssize_t Count =
            ::recv(Self->Stream_.socket().native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool Closed = Failure || Count == 0 || (Count < 0 && errno != EAGAIN);
        // Readable data is a pipelined request; it is read after this answer.
        if (Closed)
          std::exchange(Self->Cancel_, nullptr)();
      });
}

void Session::setCancel(std::uint64_t RequestNumber, std::function<void()> Callback) {
  if (Running_ && RequestNumber == RequestNumber_)
    Cancel_ = std::move(Callback);
}

void Session::respond(std::uint64_t RequestNumber, HttpResponse Response) {
  if (!Running_ || RequestNumber != RequestNumber_ || Response_)
    return;
  write(std::move(Response), KeepAlive_ && (!State_->Draining_ || hasInput()));
}

void Session::write(HttpResponse Response, bool KeepAlive) {
  Cancel_ = nullptr;
  Response_.emplace(http::int_to_status(Response.Status_), 11U);
  Response_->result(Response.Status_);
  for (const Header &Field : Response.Headers_)
    if (!isHopByHop(Field.Name_))
      Response_->insert(Field.Name_, Field.Value_);
  Response_->keep_alive(KeepAlive);
  Response_->body() = std::move(Response.Body_);
  Response_->prepare_payload();
  Stream_.expires_after(State_->Limits_.ReadTimeout_);
  http::async_write(Stream_, *Response_,
                    [Self = SessionPtr(this), KeepAlive](error_code Failure, std::size_t) {
                      Self->finishRequest();
                      if (Failure || !KeepAlive)
                        Self->close();
                      else
                        Self->readNext();
                    });
}

void Session::finishRequest() {
  Response_.reset();
  if (std::exchange(Running_, false))
    --State_->RunningRequests_;
}

void Session::close() {
  error_code Ignored;
  Stream_.socket().shutdown(tcp::socket::shutdown_both, Ignored);
  Stream_.close();
  if (auto Callback = std::exchange(Cancel_, nullptr))
    Callback();
}

} // namespace

class HttpServer::Impl {
public:
  Impl(asio::io_context &Io, Endpoint Listen, HttpServerLimits Limits, HttpHandler Handler)
      : Io_(Io), Listen_(std::move(Listen)), Acceptor_(Io),
        State_(std::make_shared<ServerState>()) {
    State_->Limits_ = Limits;
    State_->Handler_ = std::move(Handler);
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
    return absl::OkStatus();
  }

  void drain() {
    State_->Draining_ = true;
    acceptWaiting();
    error_code Ignored;
    Acceptor_.close(Ignored);
    for (SessionBase &Item : State_->Sessions_)
      if (Item.isNew())
        Item.closeUnlessUsed(FirstRequestLimit);
    closeWhere([](SessionBase &Item) { return !Item.isNew() && Item.isIdle(); });
  }

  void stop() {
    drain();
    closeWhere([](SessionBase &) { return true; });
  }

  std::size_t connections() const { return State_->Sessions_.size(); }
  std::size_t runningRequests() const { return State_->RunningRequests_; }

private:
  template <typename Predicate> void closeWhere(Predicate Matches) {
    std::vector<boost::intrusive_ptr<SessionBase>> Closing;
    for (SessionBase &Item : State_->Sessions_)
      if (Matches(Item))
        Closing.emplace_back(&Item);
    for (const auto &Item : Closing)
      Item->close();
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
    if (connections() >= State_->Limits_.Connections_)
      return;
    error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    const SessionPtr Item(new Session(std::move(Socket), State_));
    State_->Sessions_.push_back(*Item);
    Item->readFirst();
  }

  void accept() {
    Acceptor_.async_accept([this, State = State_](error_code Failure, tcp::socket Socket) {
      if (Failure == asio::error::operation_aborted)
        return;
      if (!Failure)
        add(std::move(Socket));
      if (!State->Draining_)
        accept();
    });
  }

  asio::io_context &Io_;
  Endpoint Listen_;
  tcp::acceptor Acceptor_;
  std::shared_ptr<ServerState> State_;
};

HttpServer::HttpServer(asio::io_context &Io, Endpoint Listen, HttpServerLimits Limits,
                       HttpHandler Handler)
    : Impl_(std::make_unique<Impl>(Io, std::move(Listen), Limits, std::move(Handler))) {}
HttpServer::~HttpServer() = default;
absl::Status HttpServer::start() { return Impl_->start(); }
void HttpServer::drain() { Impl_->drain(); }
void HttpServer::stop() { Impl_->stop(); }
std::size_t HttpServer::connections() const { return Impl_->connections(); }
std::size_t HttpServer::runningRequests() const { return Impl_->runningRequests(); }

} // namespace bronzestand::node
