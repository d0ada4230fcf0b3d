#include "node/http_client.h"

#include <sys/socket.h>

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace bronzestand::node {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint64_t MaxResponseBytes = 4ULL * 1024 * 1024;
constexpr std::uint32_t MaxResponseHeaderBytes = 64 * 1024;

/// One connection with at most one running request.
class Connection : public boost::intrusive_ref_counter<Connection, boost::thread_unsafe_counter> {
public:
  Connection(asio::io_context &Io, std::function<void(Connection &, bool Reusable)> OnFree)
      : Stream_(Io), OnFree_(std::move(OnFree)) {}

  void run(const Endpoint &Server, HttpRequest &&Request, Duration Timeout, HttpCallback Callback,
           HttpClient::MayWrite Check);
  void cancel() { finish(HttpResult::Cancelled); }
  /// Tells whether the server has closed or written to an idle connection.
  bool isStale();
  void forget() { OnFree_ = nullptr; }

private:
  using Ptr = boost::intrusive_ptr<Connection>;

  void write();
  void read();
  void onFailure(const error_code &Failure);
  void finish(HttpResult Result);

  beast::tcp_stream Stream_;
  std::function<void(Connection &, bool)> OnFree_;
  beast::flat_buffer Buffer_;
  std::optional<http::request<http::string_body>> Request_;
  std::optional<http::response_parser<http::string_body>> Parser_;
  HttpCallback Callback_;
  HttpClient::MayWrite MayWrite_;
  bool Connected_ = false;
  bool Sent_ = false;
};

void Connection::run(const Endpoint &Server, HttpRequest &&Request, Duration Timeout,
                     HttpCallback Callback, HttpClient::MayWrite Check) {
  Callback_ = std::move(Callback);
  MayWrite_ = std::move(Check);
  Sent_ = false;
  Request_.emplace();
  Request_->version(11);
  Request_->method_string(Request.Method_);
  Request_->target(Request.Target_);
  bool HasHost = false;
  for (const Header &Field : Request.Headers_) {
    if (isHopByHop(Field.Name_))
      continue;
    HasHost = HasHost || sameName(Field.Name_, "Host");
    Request_->insert(Field.Name_, Field.Value_);
  }
  if (!HasHost)
    Request_->set(http::field::host, Server.str());
  Request_->body() = std::move(Request.Body_);
  Request_->prepare_payload();
  Stream_.expires_after(Timeout);
  if (Connected_) {
    write();
    return;
  }
  error_code Failure;
  const tcp::endpoint Address(asio::ip::make_address(Server.Address_, Failure), Server.Port_);
  Stream_.async_connect(Address, [Self = Ptr(this)](error_code ConnectFailure) {
    if (ConnectFailure) {
      Self->finish(HttpResult::NotSent);
      return;
    }
    error_code Ignored;
    Self->Stream_.socket().set_option(tcp::no_delay(true), Ignored);
    Self->Connected_ = true;
    Self->write();
  });
}

bool Connection::isStale() {
  char Byte = 0;
  const ssize_t Count = ::recv(Stream_.socket().native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count >= 0 || errno != EAGAIN;
}

void Connection::write() {
  if (!Callback_)
    return;
  if (MayWrite_ && !MayWrite_()) {
    finish(HttpResult::NotSent);
    return;
  }
  Sent_ = true;
  http::async_write(Stream_, *Request_, [Self = Ptr(this)](error_code Failure, std::size_t) {
    if (Failure)
      Self->onFailure(Failure);
    else
      Self->read();
  });
}

void Connection::read() {
  Parser_.emplace();
  Parser_->body_limit(MaxResponseBytes);
  Parser_->header_limit(MaxResponseHeaderBytes);
  http::async_read(Stream_, Buffer_, *Parser_, [Self = Ptr(this)](error_code Failure, std::size_t) {
    if (Failure)
      Self->onFailure(Failure);
    else if (Self->Parser_->need_eof())
      Self->finish(HttpResult::Lost); // only a length tells a whole body from a truncated one
    else
      Self->finish(HttpResult::Answered);
  });
}

void Connection::onFailure(const error_code &Failure) {
  finish(Failure == beast::error::timeout ? HttpResult::TimedOut : HttpResult::Lost);
}

void Connection::finish(HttpResult Result) {
  if (!Callback_)
    return;
  const Ptr Keep(this);
  const HttpCallback Callback = std::exchange(Callback_, nullptr);
  MayWrite_ = nullptr;
  if (Result == HttpResult::Cancelled && !Sent_)
    Result = HttpResult::NotSent;
  HttpResponse Response;
  bool Reusable = false;
  if (Result == HttpResult::Answered) {
    auto Message = Parser_->release();
    Reusable = Message.keep_alive();
    Response.Status_ = Message.result_int();
    for (const auto &Field : Message)
      if (!isHopByHop(std::string_view(Field.name_string().data(), Field.name_string().size())))
        Response.Headers_.push_back({std::string(Field.name_string()), std::string(Field.value())});
    Response.Body_ = std::move(Message.body());
  }
  Stream_.expires_never();
  if (!Reusable)
    Stream_.close();
  if (OnFree_)
    OnFree_(*this, Reusable);
  Callback(Result, std::move(Response));
}

} // namespace

class HttpClient::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Io, Endpoint Server, std::size_t MaxConnections)
      : Io_(Io), Server_(std::move(Server)), MaxConnections_(MaxConnections) {}

  ~Impl() {
    for (auto &[Number, Item] : Running_)
      Item->forget();
  }

  RequestNumber send(HttpRequest Request, Duration Timeout, HttpCallback Callback, MayWrite Check) {
    const RequestNumber Number = ++LastNumber_;
    const auto Item = takeConnection();
    if (!Item) {
      asio::post(Io_, [Callback = std::move(Callback)] { Callback(HttpResult::NotSent, {}); });
      return Number;
    }
    Running_.emplace(Number, Item);
    Item->run(
        Server_, std::move(Request), Timeout,
        [Self = weak_from_this(), Number, Callback = std::move(Callback)](HttpResult Result,
                                                                          HttpResponse Response) {
          if (const auto Alive = Self.lock())
            Alive->Running_.erase(Number);
          Callback(Result, std::move(Response));
        },
        std::move(Check));
    return Number;
  }

  void cancel(RequestNumber Number) {
    const auto Found = Running_.find(Number);
    if (Found == Running_.end())
      return;
    const auto Item = Found->second;
    Item->cancel();
  }

  std::size_t connections() const { return Running_.size() + Idle_.size(); }

private:
  using ConnectionPtr = boost::intrusive_ptr<Connection>;

  ConnectionPtr takeConnection() {
    while (!Idle_.empty()) {
      ConnectionPtr Item = std::move(Idle_.back());
      Idle_.pop_back();
      if (!Item->isStale())
        return Item;
    }
    if (Running_.size() >= MaxConnections_)
      return nullptr;
    return ConnectionPtr(
        new Connection(Io_, [Self = weak_from_this()](Connection &Item, bool Reusable) {
          const auto Alive = Self.lock();
          if (Alive && Reusable)
            Alive->Idle_.emplace_back(&Item);
        }));
  }

  asio::io_context &Io_;
  Endpoint Server_;
  std::size_t MaxConnections_;
  RequestNumber LastNumber_ = 0;
  std::map<RequestNumber, ConnectionPtr> Running_;
  std::vector<ConnectionPtr> Idle_;
};

HttpClient::HttpClient(asio::io_context &Io, Endpoint Server, std::size_t MaxConnections)
    : Impl_(std::make_shared<Impl>(Io, std::move(Server), MaxConnections)) {}
HttpClient::~HttpClient() = default;
HttpClient::RequestNumber HttpClient::send(HttpRequest Request, Duration Timeout,
                                           HttpCallback Callback, MayWrite Check) {
  return Impl_->send(std::move(Request), Timeout, std::move(Callback), std::move(Check));
}
void HttpClient::cancel(RequestNumber Number) { Impl_->cancel(Number); }
std::size_t HttpClient::connections() const { return Impl_->connections(); }

} // namespace bronzestand::node
