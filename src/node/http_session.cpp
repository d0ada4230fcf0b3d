#include "node/http_session.h"

#include <algorithm>
#include <array>
#include <deque>
#include <limits>
#include <optional>

#include <sys/socket.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "node/http_server_message.h"
#include "node/socket_bytes.h"

namespace bronzestand::node::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Received bytes beyond a header that a connection buffers. Bounds trailers, which the parser does
/// not limit and needs in the buffer.
constexpr std::size_t ReadAheadBytes = 64UL * 1024;
/// A caller that has received all answers gets this long to read them and to close the connection.
constexpr std::chrono::milliseconds CloseWait{1000};
/// Input that is dropped after the last answer, and the part that is read at a time. What exceeds
/// it is left to the system, which holds the caller back.
constexpr std::size_t MaxDroppedBytes = 1024UL * 1024;
constexpr std::size_t DropReadBytes = 16UL * 1024;

/// One connection. Requests are read ahead up to the pipelining limit; a slot holds the place of
/// each answer until all earlier ones are written.
class Session final : public HttpSession {
public:
  Session(tcp::socket Socket, std::shared_ptr<HttpServerState> State)
      : Socket_(std::move(Socket)), State_(std::move(State)) {}

  void readFirst() override { readRequest(); }
  void respond(std::uint64_t RequestNumber, HttpResponse Response);
  void setCancel(std::uint64_t RequestNumber, std::function<void()> Callback);
  void close() override;
  void closeAfterDelivery() override;
  bool isIdle() override { return Slots_.empty() && !Writing_ && !Receiving_ && !hasInput(); }
  bool isNew() const override { return LastNumber_ == 0; }
  std::size_t answerBytes() const override { return AnswerBytes_; }
  void closeUnlessUsed(std::chrono::milliseconds Limit) override;
  void checkTimeouts(Clock::time_point Now) override;

private:
  friend class Exchange;
  using Parser = http::request_parser<http::string_body>;
  struct Slot {
    std::uint64_t Number_ = 0;
    bool KeepAlive_ = true;
    std::optional<HttpResponse> Response_;
    std::function<void()> Cancel_;
  };

  bool hasInput();
  Slot *find(std::uint64_t Number);
  Slot &addSlot(bool KeepAlive);
  void endReading();
  void readRequest();
  void readHeader();
  void onHeader(const error_code &Failure);
  void onRead(const error_code &Failure);
  void refuse(Refusal Reason);
  void handle();
  void readMore();
  void addAnswerBytes(std::size_t Bytes);
  void removeAnswerBytes(std::size_t Bytes);
  void writeNext();
  void onWritten(const error_code &Failure, bool KeepAlive);
  void onCallerGone();
  void reportCut();
  void closeSocket();
  void dropSlots();
  /// Tells whether the caller may still need time to receive or to read answers.
  bool mayLoseAnswers();
  void dropInput();
  void onDropped(const error_code &Failure, std::size_t Count);
  void checkDelivery(Clock::time_point Now);

  tcp::socket Socket_;
  std::shared_ptr<HttpServerState> State_;
  beast::flat_buffer Buffer_;
  std::optional<Parser> Parser_;
  std::deque<Slot> Slots_;
  std::string Output_; ///< head of the answer that is written
  std::string OutputBody_;
  std::size_t OutputBytes_ = 0; ///< part of AnswerBytes_ that is written
  std::size_t AnswerBytes_ = 0;
  std::uint64_t LastNumber_ = 0;
  /// When the pending read or write ends the connection; max() if nothing limits it.
  Clock::time_point ReadLimit_ = Clock::time_point::max();
  Clock::time_point WriteLimit_ = Clock::time_point::max();
  bool Reading_ = false;
  bool Watching_ = false;  ///< waits for input or the end of the connection, without reading
  bool Receiving_ = false; ///< a request has arrived in part
  bool Writing_ = false;
  bool NoMore_ = false;     ///< no further request is read
  bool Ending_ = false;     ///< sends nothing more, and waits for the caller to receive the answers
  bool Delivering_ = false; ///< the caller may not have received the last answer yet
  Clock::time_point WrittenAt_{};  ///< end of the last write
  std::size_t Unacknowledged_ = 0; ///< least number of bytes seen while ending
  Clock::time_point EndLimit_{};   ///< when the wait for the caller ends
  std::size_t DroppedBytes_ = 0;   ///< input that was dropped while ending
  bool CallerEnded_ = false;       ///< the caller sends nothing more
  bool Closed_ = false;
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

/// Closes the connections that hold the most answers while all together hold too much.
void limitAnswers(HttpServerState &State) {
  while (State.AnswerBytes_ > State.Limits_.AnswerBytes_) {
    const auto Largest = std::max_element(State.Sessions_.begin(), State.Sessions_.end(),
                                          [](const HttpSession &A, const HttpSession &B) {
                                            return A.answerBytes() < B.answerBytes();
                                          });
    const HttpSessionPtr Item(&*Largest);
    Item->close();
  }
}

bool Session::hasInput() {
  error_code Failure;
  return Buffer_.size() != 0 || (Socket_.available(Failure) != 0 && !Failure);
}

Session::Slot *Session::find(std::uint64_t Number) {
  const auto Found = std::find_if(Slots_.begin(), Slots_.end(),
                                  [&](const Slot &Item) { return Item.Number_ == Number; });
  return Found == Slots_.end() ? nullptr : &*Found;
}

Session::Slot &Session::addSlot(bool KeepAlive) {
  ++State_->RunningRequests_;
  Slots_.emplace_back();
  Slots_.back().Number_ = ++LastNumber_;
  Slots_.back().KeepAlive_ = KeepAlive;
  return Slots_.back();
}

void Session::closeUnlessUsed(std::chrono::milliseconds Limit) {
  const auto Timer = std::make_shared<asio::steady_timer>(Socket_.get_executor(), Limit);
  Timer->async_wait([Self = SessionPtr(this), Timer](error_code) {
    if (Self->isIdle())
      Self->closeAfterDelivery();
  });
}

void Session::checkTimeouts(Clock::time_point Now) {
  if (Ending_) {
    checkDelivery(Now);
    return;
  }
  // The idle time begins when the caller has received its answer.
  if (Delivering_ && isIdle()) {
    Delivering_ = unacknowledgedBytes(Socket_.native_handle()).value_or(0) != 0;
    ReadLimit_ = Now + State_->Limits_.IdleTimeout_;
  }
  if (Now >= WriteLimit_)
    close();
  else if (Now >= ReadLimit_)
    endReading();
}

// The answers to earlier requests are still written.
void Session::endReading() {
  NoMore_ = true;
  ReadLimit_ = Clock::time_point::max();
  if (Slots_.empty() && !Writing_)
    closeAfterDelivery();
}

void Session::readRequest() {
  Reading_ = true;
  Receiving_ = Buffer_.size() != 0;
  Parser_.emplace();
  Parser_->header_limit(State_->Limits_.HeaderBytes_);
  Parser_->body_limit(State_->Limits_.BodyBytes_);
  Buffer_.max_size(State_->Limits_.HeaderBytes_ + ReadAheadBytes);
  // A connection with unanswered requests is not idle.
  if (Slots_.empty())
    ReadLimit_ =
        Clock::now() + (Receiving_ ? State_->Limits_.HeaderTimeout_ : State_->Limits_.IdleTimeout_);
  else
    ReadLimit_ = Clock::time_point::max();
  if (Receiving_) {
    readHeader();
    return;
  }
  // The time for the header counts from its first byte.
  Socket_.async_wait(tcp::socket::wait_read, [Self = SessionPtr(this)](error_code Failure) {
    if (Failure || Self->Closed_ || Self->Ending_) {
      Self->onRead(Failure);
      return;
    }
    Self->ReadLimit_ = Clock::now() + Self->State_->Limits_.HeaderTimeout_;
    Self->readHeader();
  });
}

void Session::readHeader() {
  http::async_read_header(
      Socket_, Buffer_, *Parser_,
      [Self = SessionPtr(this)](error_code Failure, std::size_t) { Self->onHeader(Failure); });
}

void Session::onHeader(const error_code &Failure) {
  if (Failure || Ending_) {
    onRead(Failure);
    return;
  }
  Receiving_ = true;
  ReadLimit_ = Clock::now() + State_->Limits_.ReadTimeout_;
  http::async_read(
      Socket_, Buffer_, *Parser_,
      [Self = SessionPtr(this)](error_code Failed, std::size_t) { Self->onRead(Failed); });
}

void Session::onRead(const error_code &Failure) {
  Reading_ = false;
  Receiving_ = false;
  ReadLimit_ = Clock::time_point::max();
  if (Closed_ || Ending_)
    return;
  if (Failure && !isParseError(Failure))
    onCallerGone();
  else if (NoMore_)
    return; // the request took too long
  else if (Failure)
    refuse(refusalOfParseError(Failure));
  else
    handle();
}

void Session::onCallerGone() {
  NoMore_ = true;
  const bool HasAnswers = Writing_ || (!Slots_.empty() && Slots_.front().Response_);
  // Answers that are ready are still written, because the caller may have closed one side only.
  std::vector<std::function<void()>> Callbacks;
  for (Slot &Item : Slots_)
    if (Item.Cancel_)
      Callbacks.push_back(std::exchange(Item.Cancel_, nullptr));
  const SessionPtr Keep(this);
  for (const auto &Callback : Callbacks)
    Callback();
  if (Slots_.empty() || (!HasAnswers && !Callbacks.empty()))
    closeSocket();
}

void Session::refuse(Refusal Reason) {
  NoMore_ = true;
  const std::uint64_t Number = addSlot(false).Number_;
  respond(Number, refusalResponse(Reason, RequestId()));
}

void Session::handle() {
  auto Message = Parser_->release();
  if (!isUnambiguous(Message)) {
    refuse(Refusal::BadRequest);
    return;
  }
  NoMore_ = !Message.keep_alive();
  const std::uint64_t Number = addSlot(Message.keep_alive()).Number_;
  HttpRequest Request;
  Request.Method_ = std::string(Message.method_string());
  Request.Target_ = std::string(Message.target());
  for (const auto &Field : Message)
    Request.Headers_.push_back({std::string(Field.name_string()), std::string(Field.value())});
  Request.Body_ = std::move(Message.body());
  const HttpExchangePtr Current(new Exchange(SessionPtr(this), Number));
  const SessionPtr Keep(this);
  State_->Handler_(std::move(Request), Current);
  readMore();
}

/// Reads on, also while requests run, because the end of the connection cancels them.
void Session::readMore() {
  if (Closed_ || Ending_ || Reading_)
    return;
  if (!NoMore_ && Slots_.size() < State_->Limits_.Pipelined_) {
    readRequest();
    return;
  }
  if (Slots_.empty() || Watching_)
    return;
  Watching_ = true;
  Socket_.async_wait(tcp::socket::wait_read, [Self = SessionPtr(this)](error_code Failure) {
    Self->Watching_ = false;
    if (Self->Closed_ || Self->Ending_ || Self->Reading_)
      return;
    char Byte = 0;
    const ssize_t Count = ::recv(Self->Socket_.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (Failure || Count == 0 || (Count < 0 && errno != EAGAIN))
      Self->onCallerGone();
    else if (!Self->NoMore_ && Self->Slots_.size() < Self->State_->Limits_.Pipelined_)
      Self->readMore();
  });
}

void Session::setCancel(std::uint64_t RequestNumber, std::function<void()> Callback) {
  if (Slot *Item = find(RequestNumber); Item != nullptr && !Item->Response_)
    Item->Cancel_ = std::move(Callback);
}

void Session::respond(std::uint64_t RequestNumber, HttpResponse Response) {
  Slot *Item = find(RequestNumber);
  if (Item == nullptr || Item->Response_)
    return;
  const SessionPtr Keep(this);
  Item->Response_ = std::move(Response);
  Item->Cancel_ = nullptr;
  addAnswerBytes(memoryOf(*Item->Response_));
  writeNext();
  limitAnswers(*State_);
}

void Session::addAnswerBytes(std::size_t Bytes) {
  AnswerBytes_ += Bytes;
  State_->AnswerBytes_ += Bytes;
}

void Session::removeAnswerBytes(std::size_t Bytes) {
  const std::size_t Removed = std::min(Bytes, AnswerBytes_);
  AnswerBytes_ -= Removed;
  State_->AnswerBytes_ -= Removed;
}

void Session::writeNext() {
  if (Closed_ || Ending_ || Writing_ || Slots_.empty() || !Slots_.front().Response_)
    return;
  Slot Item = std::move(Slots_.front());
  Slots_.pop_front();
  --State_->RunningRequests_;
  // A request that has arrived is still answered on this connection.
  const bool Last = Slots_.empty() && !Receiving_ && !hasInput();
  const bool KeepAlive = Item.KeepAlive_ && !Item.Response_->Close_ &&
                         !((State_->Draining_ || State_->Closing_) && Last);
  OutputBytes_ = memoryOf(*Item.Response_);
  Output_ = serializeHead(*Item.Response_, KeepAlive);
  OutputBody_ = hasBody(Item.Response_->Status_) ? std::move(Item.Response_->Body_) : "";
  Writing_ = true;
  WriteLimit_ = Clock::now() + State_->Limits_.ReadTimeout_;
  const std::array<asio::const_buffer, 2> Parts{asio::buffer(Output_), asio::buffer(OutputBody_)};
  asio::async_write(Socket_, Parts,
                    [Self = SessionPtr(this), KeepAlive](error_code Failure, std::size_t) {
                      Self->onWritten(Failure, KeepAlive);
                    });
}

void Session::onWritten(const error_code &Failure, bool KeepAlive) {
  Writing_ = false;
  WriteLimit_ = Clock::time_point::max();
  std::string().swap(OutputBody_);
  removeAnswerBytes(std::exchange(OutputBytes_, 0));
  WrittenAt_ = Clock::now();
  Delivering_ = true;
  if (Closed_)
    return;
  if (Failure) {
    closeSocket();
    return;
  }
  if (!KeepAlive || (NoMore_ && Slots_.empty())) {
    closeAfterDelivery();
    return;
  }
  writeNext();
  if (!Writing_ && Slots_.empty() && State_->Draining_ && !Receiving_ && !hasInput()) {
    closeAfterDelivery();
    return;
  }
  if (Slots_.empty() && Reading_ && !Receiving_ && !Writing_ && Buffer_.size() == 0)
    ReadLimit_ = Clock::now() + State_->Limits_.IdleTimeout_;
  readMore();
}

void Session::reportCut() {
  const int Descriptor = Socket_.native_handle();
  const std::size_t Unacknowledged = unacknowledgedBytes(Descriptor).value_or(0);
  if (Unacknowledged != 0 && State_->OnCut_)
    State_->OnCut_({Unacknowledged, unreadBytes(Descriptor)});
}

void Session::close() {
  if (!Closed_)
    reportCut();
  closeSocket();
}

void Session::closeSocket() {
  if (std::exchange(Closed_, true))
    return;
  const SessionPtr Keep(this);
  error_code Ignored;
  Socket_.shutdown(tcp::socket::shutdown_both, Ignored);
  Socket_.close(Ignored);
  dropSlots();
}

void Session::dropSlots() {
  removeAnswerBytes(AnswerBytes_);
  State_->RunningRequests_ -= Slots_.size();
  std::deque<Slot> Slots = std::move(Slots_);
  Slots_.clear();
  for (const Slot &Item : Slots)
    if (Item.Cancel_)
      Item.Cancel_();
}

bool Session::mayLoseAnswers() {
  return unacknowledgedBytes(Socket_.native_handle()).value_or(0) != 0 ||
         Clock::now() - WrittenAt_ < CloseWait;
}

// Input that meets a closed socket makes the system reset the connection, and the answers that the
// caller has not received are lost. So the input is read and dropped until the caller closes too.
void Session::closeAfterDelivery() {
  if (Closed_ || Ending_)
    return;
  const SessionPtr Keep(this);
  dropSlots();
  if (!mayLoseAnswers()) {
    closeSocket();
    return;
  }
  Ending_ = true;
  NoMore_ = true;
  ReadLimit_ = WriteLimit_ = Clock::time_point::max();
  error_code Ignored;
  Socket_.cancel(Ignored);
  Socket_.shutdown(tcp::socket::shutdown_send, Ignored);
  Unacknowledged_ = std::numeric_limits<std::size_t>::max();
  checkDelivery(Clock::now());
  Output_.resize(DropReadBytes);
  Output_.shrink_to_fit();
  dropInput();
}

void Session::dropInput() {
  if (DroppedBytes_ >= MaxDroppedBytes)
    return;
  Socket_.async_read_some(asio::buffer(Output_),
                          [Self = SessionPtr(this)](error_code Failure, std::size_t Count) {
                            if (!Self->Closed_)
                              Self->onDropped(Failure, Count);
                          });
}

void Session::onDropped(const error_code &Failure, std::size_t Count) {
  if (Failure && Failure != asio::error::eof) {
    closeSocket();
    return;
  }
  if (Failure) {
    CallerEnded_ = true;
    checkDelivery(Clock::now());
    return;
  }
  DroppedBytes_ += Count;
  dropInput();
}

// A caller that reads slowly is given time as long as it makes progress.
void Session::checkDelivery(Clock::time_point Now) {
  const std::size_t Left = unacknowledgedBytes(Socket_.native_handle()).value_or(0);
  if (Left == 0 && CallerEnded_) {
    closeSocket();
    return;
  }
  if (Left < Unacknowledged_) {
    Unacknowledged_ = Left;
    EndLimit_ = Now + (Left == 0 ? CloseWait : State_->Limits_.ReadTimeout_);
  }
  if (Now >= EndLimit_)
    close();
}

} // namespace

HttpSessionPtr makeHttpSession(tcp::socket Socket, std::shared_ptr<HttpServerState> State) {
  HttpServerState &Shared = *State;
  HttpSessionPtr Item(new Session(std::move(Socket), std::move(State)));
  Shared.Sessions_.push_back(*Item);
  return Item;
}

} // namespace bronzestand::node::detail
