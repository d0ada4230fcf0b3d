#include "node/http_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "node/answer_budget.h"
#include "node/answer_head.h"
#include "node/clock.h"
#include "node/http_client_message.h"
#include "node/message_parser.h"

namespace bronzestand::node {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint64_t MaxResponseBytes = 4ULL * 1024 * 1024;
constexpr std::uint32_t MaxResponseHeaderBytes = 64 * 1024;
/// The parser limits the header and the body, but not the trailers, which it needs in the buffer.
constexpr std::size_t MaxBufferBytes = std::size_t{2} * MaxResponseHeaderBytes;

/// Answers that belong to earlier requests and are dropped before a connection is given up.
constexpr int MaxForeignAnswers = 3;
/// Refused requests that a kept connection remembers; a bound on its memory.
constexpr std::size_t MaxRefusedIds = 16;
/// Interim answers before a connection is given up.
constexpr int MaxInterimAnswers = 16;
/// Read at once at most.
constexpr std::size_t MaxReadBytes = std::size_t{64} * 1024;
/// Read at once behind an interim answer, until a version is there.
constexpr std::size_t InterimReadBytes = 512;
constexpr std::string_view HttpVersion = "HTTP/1.";
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned FirstInterimStatus = 100;
constexpr unsigned SwitchingProtocols = 101;
/// A kept connection is given up this long before the server's own limit.
constexpr std::chrono::milliseconds KeepAliveMargin{500};

/// Time that the server keeps an idle connection, from a Keep-Alive header.
std::optional<std::chrono::seconds> keepAliveOf(std::string_view Value) {
  constexpr std::string_view Name = "timeout=";
  const std::size_t Start = Value.find(Name);
  if (Start == std::string_view::npos)
    return std::nullopt;
  unsigned Seconds = 0;
  const char *Begin = Value.data() + Start + Name.size();
  if (std::from_chars(Begin, Value.data() + Value.size(), Seconds).ec != std::errc())
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

/// Tells whether a head without a final status is an interim response of RFC 9110, section 15.2,
/// behind which the final one follows. A server in trouble may also give its whole answer a status
/// of 1xx. The two differ in that an interim response has no content and must not state a length or
/// chunks (sections 8.6 and 15.2), not even a length of zero. 101 is no interim response here,
/// because the client asks for no other protocol. A wrong answer that states no length shows by
/// its content, which begins no status line; see beginsStatusLine().
bool isInterim(const HttpResponse &Head) {
  return Head.Status_ >= FirstInterimStatus && Head.Status_ < FirstFinalStatus &&
         Head.Status_ != SwitchingProtocols && !findHeader(Head.Headers_, "Content-Length") &&
         !findHeader(Head.Headers_, "Transfer-Encoding");
}

/// Tells whether bytes are a status line, or the first part of one.
bool beginsStatusLine(beast::flat_buffer::const_buffers_type Bytes) {
  const std::string_view Text(static_cast<const char *>(Bytes.data()), Bytes.size());
  return Text.substr(0, HttpVersion.size()) == HttpVersion.substr(0, Text.size());
}

/// Value of the header that the answer to a request must repeat; empty if there is none.
std::string echoValue(const HttpRequest &Request, const SendOptions &Options) {
  if (Options.EchoHeader_.empty())
    return {};
  return findHeader(Request.Headers_, Options.EchoHeader_).value_or("");
}

/// Seconds of silence before the first probe, between probes, and probes before the connection
/// ends.
constexpr int ProbeIdleS = 1;
constexpr int ProbeIntervalS = 1;
constexpr int ProbeCount = 2;

void probeWhenSilent(tcp::socket &Socket) {
  error_code Ignored;
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  const int Descriptor = Socket.native_handle();
  ::setsockopt(Descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &ProbeIdleS, sizeof(ProbeIdleS));
  ::setsockopt(Descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &ProbeIntervalS, sizeof(ProbeIntervalS));
  ::setsockopt(Descriptor, IPPROTO_TCP, TCP_KEEPCNT, &ProbeCount, sizeof(ProbeCount));
}

/// One connection with at most one running request.
class Connection final
    : public boost::intrusive_ref_counter<Connection, boost::thread_unsafe_counter>,
      public IncomingAnswer {
public:
  Connection(asio::io_context &Io, std::shared_ptr<AnswerBudget> Budget,
             std::function<void(Connection &, bool Reusable)> OnFree)
      : Socket_(Io), Timer_(Io), Budget_(std::move(Budget)), OnFree_(std::move(OnFree)) {}
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection() { Budget_->remove(*this); }

  void run(const Endpoint &Server, HttpRequest &&Request, Duration Timeout, HttpCallback Callback,
           HttpClient::MayWrite Check, SendOptions Options);
  void cancel() { finish(HttpResult::Cancelled); }
  /// Tells whether the connection can't carry another request.
  bool isStale();
  bool wasIdleFor(Duration Limit) const { return Clock::now() - Freed_ > Limit; }
  /// Tells whether the server refused a request with this value of the echo header here.
  bool hasRefused(const std::string &Id) const {
    return std::find(RefusedIds_.begin(), RefusedIds_.end(), Id) != RefusedIds_.end();
  }
  void forget() { OnFree_ = nullptr; }

private:
  using Ptr = boost::intrusive_ptr<Connection>;
  using Clock = std::chrono::steady_clock;
  using Parser = detail::MessageParser<false>;
  /// Goes on after bytes were added at the end of the buffer.
  using Step = void (Connection::*)(std::size_t Added);

  void setTimer(Clock::time_point At);
  void write();
  void read();
  void readHead();
  void readMore(std::size_t Size, Step Next);
  void parseHead(std::size_t Added);
  void takeHeadLines(error_code &Failure);
  void readSome();
  void onRead(const error_code &Failure);
  /// Tells whether there is room for the answer as far as its size is known; it waits if not.
  bool hasRoom();
  void readBody();
  void onRoom() override;
  void readAfterInterim(std::size_t Added);
  void onAnswer();
  void finish(HttpResult Result);
  void giveUp() override { finish(HttpResult::Lost); }

  tcp::socket Socket_;
  asio::steady_timer Timer_;
  std::shared_ptr<AnswerBudget> Budget_;
  std::function<void(Connection &, bool)> OnFree_;
  beast::flat_buffer Buffer_{MaxBufferBytes};
  std::string Output_;       ///< head of the request
  bool AsksForHead_ = false; ///< the answer has no body, whatever length it states
  std::optional<Parser> Parser_;
  FoldDetector Fold_; ///< of the current answer
  HttpCallback Callback_;
  HttpClient::MayWrite MayWrite_;
  SendOptions Options_;
  std::string EchoValue_;
  std::vector<std::string> RefusedIds_; ///< values of the echo header
  std::uint64_t Run_ = 0; ///< number of the request, so that handlers of an earlier one are ignored
  int Foreign_ = 0;
  int Interim_ = 0;
  bool Connected_ = false;
  bool HeadSeen_ = false;     ///< the head of the current answer
  std::size_t HeadBytes_ = 0; ///< bytes of it that the parser has taken
  bool Sent_ = false;
  bool Written_ = false;
  /// The write was told that the connection was reset or timed out. The system tells that once, so
  /// a read behind such a write shows the same end as behind an orderly close. After an orderly
  /// close the write fails as broken_pipe, which does not count.
  bool Aborted_ = false;
  Clock::time_point Limit_; ///< end of the running request
  Clock::time_point Freed_;
  TimePoint OpenedAt_{};
  Clock::time_point KeptUntil_ = Clock::time_point::max();
};

void Connection::run(const Endpoint &Server, HttpRequest &&Request, Duration Timeout,
                     HttpCallback Callback, HttpClient::MayWrite Check, SendOptions Options) {
  Callback_ = std::move(Callback);
  MayWrite_ = std::move(Check);
  Options_ = std::move(Options);
  EchoValue_ = echoValue(Request, Options_);
  Sent_ = Written_ = Aborted_ = false;
  Foreign_ = Interim_ = 0;
  const std::uint64_t Run = ++Run_;
  if (Options_.Body_.empty())
    Options_.Body_ = std::move(Request.Body_);
  AsksForHead_ = Request.Method_ == "HEAD";
  Output_ = detail::serializeHead(Request, Server.str(), Options_.Body_.str().size());
  Limit_ = Clock::now() + Timeout;
  if (Connected_) {
    setTimer(Limit_);
    write();
    return;
  }
  setTimer(std::min<Clock::time_point>(Limit_, Clock::now() + Options_.ConnectTimeout_));
  error_code Failure;
  const tcp::endpoint Address(asio::ip::make_address(Server.Address_, Failure), Server.Port_);
  Socket_.async_connect(Address, [Self = Ptr(this), Run](error_code ConnectFailure) {
    if (Self->Run_ != Run || !Self->Callback_)
      return;
    if (ConnectFailure) {
      Self->finish(HttpResult::NotSent);
      return;
    }
    error_code Ignored;
    Self->Socket_.set_option(tcp::no_delay(true), Ignored);
    if (Self->Options_.ProbeWhenSilent_)
      probeWhenSilent(Self->Socket_);
    Self->Connected_ = true;
    Self->OpenedAt_ = now();
    Self->setTimer(Self->Limit_);
    Self->write();
  });
}

void Connection::setTimer(Clock::time_point At) {
  Timer_.expires_at(At);
  Timer_.async_wait([Self = Ptr(this), Run = Run_](error_code Failure) {
    if (!Failure && Self->Run_ == Run)
      Self->finish(Self->Sent_ ? HttpResult::TimedOut : HttpResult::NotSent);
  });
}

// A server that has closed an idle connection, or sent bytes that no request asked for.
bool Connection::isStale() {
  char Byte = 0;
  const ssize_t Count = ::recv(Socket_.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count >= 0 || errno != EAGAIN || Clock::now() >= KeptUntil_;
}

void Connection::write() {
  if (!Callback_)
    return;
  if (MayWrite_ && !MayWrite_()) {
    finish(HttpResult::NotSent);
    return;
  }
  Sent_ = true;
  // The server may answer before it has read the whole body.
  const std::string &Body = Options_.Body_.str();
  const std::array<asio::const_buffer, 2> Parts{asio::buffer(Output_), asio::buffer(Body)};
  asio::async_write(Socket_, Parts,
                    [Self = Ptr(this), Run = Run_,
                     Holder = Options_.Body_](const error_code &Failure, std::size_t) {
                      // A failed write shows at the read, behind an answer that the server may have
                      // sent before.
                      if (Self->Run_ == Run) {
                        Self->Written_ = true;
                        Self->Aborted_ = Failure && Failure != asio::error::broken_pipe;
                      }
                    });
  read();
}

void Connection::read() {
  Parser_.emplace();
  Parser_->body_limit(MaxResponseBytes);
  Parser_->header_limit(MaxResponseHeaderBytes);
  Parser_->skip(AsksForHead_);
  // The body begins when there is room for it.
  Parser_->eager(false);
  HeadSeen_ = false;
  HeadBytes_ = 0;
  Fold_ = {};
  if (Buffer_.size() == 0)
    readHead();
  else
    parseHead(Buffer_.size());
}

// The read of the library takes lines out of the buffer before they can be examined.
void Connection::readHead() {
  const std::size_t Size = beast::read_size(Buffer_, MaxReadBytes);
  if (Size == 0) {
    finish(HttpResult::Lost);
    return;
  }
  readMore(Size, &Connection::parseHead);
}

void Connection::readMore(std::size_t Size, Step Next) {
  Socket_.async_read_some(Buffer_.prepare(Size), [Self = Ptr(this), Run = Run_, Next](
                                                     const error_code &Failure, std::size_t Count) {
    if (Self->Run_ != Run || !Self->Callback_)
      return;
    Self->Buffer_.commit(Count);
    if (Failure)
      Self->finish(HttpResult::Lost);
    else
      ((*Self).*Next)(Count);
  });
}

void Connection::parseHead(std::size_t Added) {
  const std::string_view Bytes(static_cast<const char *>(Buffer_.data().data()), Buffer_.size());
  error_code Failure;
  if (Fold_.put(Bytes.substr(Bytes.size() - Added)))
    Failure = http::error::bad_field;
  else
    takeHeadLines(Failure);
  if (Failure == http::error::need_more)
    readHead();
  else
    onRead(Failure);
}

// The parser compares its bound with what is in the buffer only, and takes whole lines out of it.
void Connection::takeHeadLines(error_code &Failure) {
  const std::size_t Taken = Parser_->put(Buffer_.data(), Failure);
  Buffer_.consume(Taken);
  HeadBytes_ += Taken;
  const std::size_t Pending = Parser_->is_header_done() ? 0 : Buffer_.size();
  if (HeadBytes_ + Pending > MaxResponseHeaderBytes &&
      (!Failure || Failure == http::error::need_more))
    Failure = http::error::header_limit;
}

void Connection::readSome() {
  http::async_read_some(Socket_, Buffer_, *Parser_,
                        [Self = Ptr(this), Run = Run_](error_code Failure, std::size_t) {
                          if (Self->Run_ == Run && Self->Callback_)
                            Self->onRead(Failure);
                        });
}

void Connection::onRead(const error_code &Failure) {
  if (Parser_->is_header_done()) {
    const HttpResponse &Head = Parser_->get();
    if (!isFinalStatus(Head.Status_) && !isInterim(Head)) {
      finish(HttpResult::Invalid);
      return;
    }
  }
  if (Failure) {
    finish(HttpResult::Lost);
    return;
  }
  if (!Parser_->is_done()) {
    const std::uint64_t Run = Run_;
    Budget_->update(*this, Buffer_.capacity() + Parser_->get().Body_.capacity(),
                    Parser_->content_length().has_value());
    if (Run_ == Run && hasRoom())
      readBody();
    return;
  }
  // Only a length tells a whole body from one that was cut short, unless the server says that it
  // ends its answers by closing, and has closed.
  if (Parser_->need_eof() && (!Options_.EndsByClose_ || Aborted_))
    finish(HttpResult::Lost);
  else
    onAnswer();
}

bool Connection::hasRoom() {
  const std::size_t Body = Parser_->get().Body_.size();
  std::size_t Whole = Buffer_.capacity() + Body;
  if (const auto Length = Parser_->content_length())
    Whole = Buffer_.capacity() + std::min(*Length, MaxResponseBytes);
  else if (Whole > AnswerBudget::SmallBytes / 2)
    Whole = Buffer_.capacity() + MaxResponseBytes;
  return Budget_->reserve(*this, Whole);
}

// Bytes behind a head are in the buffer already, and the server may send no more.
void Connection::readBody() {
  if (std::exchange(HeadSeen_, true)) {
    readSome();
    return;
  }
  Parser_->eager(true);
  error_code Failure;
  if (Buffer_.size() != 0)
    Buffer_.consume(Parser_->put(Buffer_.data(), Failure));
  if (Failure == http::error::need_more)
    Failure = {};
  if (Failure || Parser_->is_done())
    onRead(Failure);
  else
    readSome();
}

void Connection::onRoom() {
  const Ptr Keep(this);
  readBody();
}

void Connection::onAnswer() {
  const HttpResponse &Answer = Parser_->get();
  const bool Interim = !isFinalStatus(Answer.Status_);
  const bool Foreign =
      !EchoValue_.empty() &&
      findHeader(Answer.Headers_, Options_.EchoHeader_).value_or(EchoValue_) != EchoValue_;
  if (!Interim && !Foreign) {
    finish(HttpResult::Answered);
    return;
  }
  Foreign_ += Foreign ? 1 : 0;
  Interim_ += Interim ? 1 : 0;
  // The parser also knows that an answer without a length has ended the connection. A read after
  // the end would wait for the time-out.
  if (Foreign_ > MaxForeignAnswers || Interim_ > MaxInterimAnswers || !Parser_->keep_alive())
    finish(HttpResult::Lost);
  else if (Interim)
    readAfterInterim(Buffer_.size());
  else
    read();
}

// The parser would wait for more bytes while there are fewer than a version has.
void Connection::readAfterInterim(std::size_t /*Added*/) {
  if (!beginsStatusLine(Buffer_.data())) {
    finish(HttpResult::Invalid);
    return;
  }
  if (Buffer_.size() >= HttpVersion.size()) {
    read();
    return;
  }
  readMore(InterimReadBytes, &Connection::readAfterInterim);
}

void Connection::finish(HttpResult Result) {
  if (!Callback_)
    return;
  const Ptr Keep(this);
  ++Run_;
  Timer_.cancel();
  Budget_->remove(*this);
  const HttpCallback Callback = std::exchange(Callback_, nullptr);
  MayWrite_ = nullptr;
  Options_.Body_ = {}; // a write that has not ended holds it
  if (Result == HttpResult::Cancelled && !Sent_)
    Result = HttpResult::NotSent;
  HttpResponse Response;
  bool Reusable = false;
  if (Result == HttpResult::Answered) {
    Response = std::move(Parser_->get());
    Response.ConnectionOpenedAt_ = OpenedAt_;
    // An answer that does not name the request may belong to another one, so that the answer to
    // this one may follow.
    const bool Named = EchoValue_.empty() || findHeader(Response.Headers_, Options_.EchoHeader_);
    if (const auto Kept = keepAliveOf(findHeader(Response.Headers_, "Keep-Alive").value_or("")))
      KeptUntil_ = Clock::now() + *Kept - KeepAliveMargin;
    auto &Fields = Response.Headers_;
    Fields.erase(std::remove_if(Fields.begin(), Fields.end(),
                                [](const Header &Field) { return isHopByHop(Field.Name_); }),
                 Fields.end());
    if (Options_.SaysNotRun_ && Options_.SaysNotRun_(Response))
      RefusedIds_.push_back(EchoValue_);
    // Bytes behind the answer belong to no request.
    Reusable = Parser_->keep_alive() && Written_ && Named && Foreign_ == 0 && Buffer_.size() == 0 &&
               RefusedIds_.size() < MaxRefusedIds;
  } else if (Parser_) {
    if (Result == HttpResult::Invalid && Parser_->is_header_done())
      Response.Status_ = Parser_->get().Status_;
    Parser_->dropBody();
  }
  Freed_ = Clock::now();
  error_code Ignored;
  if (!Reusable)
    Socket_.close(Ignored);
  if (OnFree_)
    OnFree_(*this, Reusable);
  Callback(Result, std::move(Response));
}

} // namespace

class HttpClient::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Io, Endpoint Server, std::size_t MaxConnections,
       std::size_t MaxAnswerBytes)
      : Io_(Io), Server_(std::move(Server)), MaxConnections_(MaxConnections),
        Budget_(std::make_shared<AnswerBudget>(Io, MaxAnswerBytes)) {}

  ~Impl() {
    for (auto &[Number, Item] : Running_)
      Item->forget();
  }

  RequestNumber send(HttpRequest Request, Duration Timeout, HttpCallback Callback, MayWrite Check,
                     SendOptions Options) {
    const RequestNumber Number = ++LastNumber_;
    const auto Item = takeConnection(Options.MaxIdle_, echoValue(Request, Options));
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
        std::move(Check), std::move(Options));
    return Number;
  }

  std::uint64_t opened() const { return Opened_; }
  void closeIdle() { Idle_.clear(); }

  void cancel(RequestNumber Number) {
    const auto Found = Running_.find(Number);
    if (Found == Running_.end())
      return;
    const auto Item = Found->second;
    Item->cancel();
  }

  AnswerBudget &budget() { return *Budget_; }
  std::size_t connections() const { return Running_.size() + Idle_.size(); }

private:
  using ConnectionPtr = boost::intrusive_ptr<Connection>;

  ConnectionPtr takeConnection(Duration MaxIdle, const std::string &Id) {
    // The connection at the back was used last.
    for (std::size_t Index = Idle_.size(); Index-- > 0 && !Idle_[Index]->wasIdleFor(MaxIdle);) {
      if (Idle_[Index]->hasRefused(Id))
        continue;
      ConnectionPtr Item = std::move(Idle_[Index]);
      Idle_.erase(Idle_.begin() + static_cast<std::ptrdiff_t>(Index));
      if (!Item->isStale())
        return Item;
    }
    if (Running_.size() >= MaxConnections_)
      return nullptr;
    if (connections() >= MaxConnections_)
      Idle_.erase(Idle_.begin());
    ++Opened_;
    return ConnectionPtr(
        new Connection(Io_, Budget_, [Self = weak_from_this()](Connection &Item, bool Reusable) {
          const auto Alive = Self.lock();
          if (Alive && Reusable)
            Alive->Idle_.emplace_back(&Item);
        }));
  }

  asio::io_context &Io_;
  Endpoint Server_;
  std::size_t MaxConnections_;
  std::shared_ptr<AnswerBudget> Budget_;
  RequestNumber LastNumber_ = 0;
  std::map<RequestNumber, ConnectionPtr> Running_;
  std::vector<ConnectionPtr> Idle_;
  std::uint64_t Opened_ = 0;
};

HttpClient::HttpClient(asio::io_context &Io, Endpoint Server, std::size_t MaxConnections,
                       std::size_t MaxAnswerBytes)
    : Impl_(std::make_shared<Impl>(Io, std::move(Server), MaxConnections, MaxAnswerBytes)) {}
HttpClient::~HttpClient() = default;
HttpClient::RequestNumber HttpClient::send(HttpRequest Request, Duration Timeout,
                                           HttpCallback Callback, MayWrite Check,
                                           SendOptions Options) {
  return Impl_->send(std::move(Request), Timeout, std::move(Callback), std::move(Check),
                     std::move(Options));
}
void HttpClient::setOutlet(AnswerOutlet Outlet) { Impl_->budget().setOutlet(std::move(Outlet)); }
const AnswerBudget &HttpClient::answers() const { return Impl_->budget(); }
std::size_t HttpClient::answerBytes() const { return answers().bytes(); }
std::uint64_t HttpClient::opened() const { return Impl_->opened(); }
void HttpClient::closeIdle() { Impl_->closeIdle(); }
void HttpClient::cancel(RequestNumber Number) { Impl_->cancel(Number); }
std::size_t HttpClient::connections() const { return Impl_->connections(); }

} // namespace bronzestand::node
