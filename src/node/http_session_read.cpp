#include "node/http_connection.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "node/http_server_message.h"

namespace bronzestand::node::detail {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

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
  void receiveBody(BodyCallback Callback) override {
    Owner_->receiveBody(Number_, std::move(Callback));
  }

private:
  SessionPtr Owner_;
  std::uint64_t Number_;
};

} // namespace

void Session::readRequest() {
  Reading_ = true;
  Receiving_ = Reader_.hasInput();
  HeadBegan_ = Receiving_ ? std::optional(Clock::now()) : std::nullopt;
  Reader_.begin(State_->Limits_.HeaderBytes_, State_->Limits_.BodyBytes_);
  // A connection with unanswered requests is not idle.
  if (Slots_.empty())
    ReadLimit_ =
        Clock::now() + (Receiving_ ? State_->Limits_.HeaderTimeout_ : State_->Limits_.IdleTimeout_);
  else
    ReadLimit_ = Clock::time_point::max();
  if (Receiving_) {
    advanceLater();
    return;
  }
  // The time for the header counts from its first byte.
  Socket_.async_wait(tcp::socket::wait_read, [Self = SessionPtr(this)](error_code Failure) {
    if (Failure || Self->Closed_ || Self->Ending_) {
      Self->onRead(Failure);
      return;
    }
    Self->HeadBegan_ = Clock::now();
    Self->ReadLimit_ = *Self->HeadBegan_ + Self->State_->Limits_.HeaderTimeout_;
    Self->readSome();
  });
}

void Session::readSome() {
  Socket_.async_read_some(Reader_.prepare(),
                          [Self = SessionPtr(this)](error_code Failure, std::size_t Count) {
                            Self->onSome(Failure, Count);
                          });
}

void Session::onSome(const error_code &Failure, std::size_t Count) {
  if (Failure || Closed_ || Ending_ || NoMore_) {
    onRead(Failure);
    return;
  }
  LastInput_ = Clock::now();
  Reader_.commit(Count);
  advance();
}

void Session::advanceLater() {
  asio::post(Socket_.get_executor(), [Self = SessionPtr(this)] { Self->advance(); });
}

void Session::advance() {
  const SessionPtr Keep(this);
  while (!Closed_ && !Ending_ && Reading_) {
    if (NoMore_) {
      onRead({});
      return;
    }
    if (!growBody())
      return;
    error_code Failure;
    const Step Next = Reader_.parse(Failure);
    if (Next == Step::Failed) {
      onRead(Failure);
      return;
    }
    if ((Next == Step::Head && !onHead()) || (Next == Step::Whole && onWhole()))
      return;
    if (Next == Step::NeedMore) {
      countMemory();
      if (!Closed_)
        readSome();
      return;
    }
  }
}

/// \return whether to go on reading this request.
bool Session::onHead() {
  Receiving_ = true;
  HeadBegan_.reset();
  ReadLimit_ = Clock::now() + State_->Limits_.ReadTimeout_;
  if (!Reader_.isUnambiguous()) {
    Reading_ = Receiving_ = false;
    refuse(Refusal::BadRequest);
    return false;
  }
  CurrentKeepAlive_ = Reader_.keepAlive();
  HttpRequest Head = Reader_.takeHead();
  HeadBytes_ = memoryOf(Head);
  Slot &Item = addSlot(CurrentKeepAlive_);
  Current_ = Item.Number_;
  const std::size_t HeadCopies = HeadBytes_ * State_->Limits_.HeadCopies_;
  countMemory();
  if (Closed_)
    return false;
  if (Reader_.isWhole()) {
    const std::uint64_t Number = Current_;
    const bool Started = startRun(Item, HeadCopies);
    endRequest();
    if (!Started)
      respond(Number, refusalResponse(Refusal::Overloaded, RequestId()));
    else
      handle(std::move(Head), Number);
    readMore();
    return false;
  }
  const std::uint64_t Length = Reader_.bodyLength().value_or(0);
  Deciding_ = true;
  if (!State_->Memory_->canEverFit(HeadCopies + Length))
    refuseForMemory(MemoryMeasure::RefusedNeverFits);
  else if (!State_->Memory_->makeRoom(*this, 0, HeadCopies))
    refuseForMemory(MemoryMeasure::RefusedNoRoom);
  else
    handle(std::move(Head), Current_);
  Parked_ = Deciding_ && !Closed_;
  return !Parked_;
}

void Session::handle(HttpRequest Head, std::uint64_t Number) {
  const HttpExchangePtr Caller(new Exchange(SessionPtr(this), Number));
  InHandler_ = true;
  if (State_->HeadFirst_) {
    State_->Handler_(std::move(Head), Caller);
  } else {
    const auto Request = std::make_shared<HttpRequest>(std::move(Head));
    Caller->receiveBody([State = State_, Request, Caller](std::string Body) {
      Request->Body_ = std::move(Body);
      State->Handler_(std::move(*Request), Caller);
    });
  }
  InHandler_ = false;
}

void Session::receiveBody(std::uint64_t RequestNumber, BodyCallback Callback) {
  const Slot *Item = find(RequestNumber);
  if (Item == nullptr || Item->Response_)
    return;
  if (RequestNumber != Current_) {
    Callback(std::string()); // it has none
    return;
  }
  OnBody_ = std::move(Callback);
  Deciding_ = false;
  if (std::exchange(Parked_, false) && !InHandler_)
    advanceLater();
}

/// \return whether this request ends here or waits for room.
bool Session::onWhole() {
  Slot *Item = find(Current_);
  if (Item == nullptr || Item->Response_) {
    NoMore_ = !CurrentKeepAlive_;
    endRequest();
    const bool Last = State_->Draining_ && !hasInput();
    if (CloseAfterBody_ || ((NoMore_ || Last) && Slots_.empty() && !Writing_))
      closeAfterDelivery();
    else
      readMore();
    return true;
  }
  const std::size_t Bytes = HeadBytes_ * State_->Limits_.HeadCopies_ + Reader_.bodyBytes();
  const std::size_t Held = HeadBytes_ + Reader_.bytes();
  if (!ensureRoom(Bytes - std::min(Bytes, Held), Bytes))
    return Parked_;
  NoMore_ = !CurrentKeepAlive_;
  Item->RunBytes_ = Bytes;
  count(*Item);
  const BodyCallback Callback = std::exchange(OnBody_, nullptr);
  std::string Body = Reader_.takeBody();
  endRequest();
  State_->Memory_->started(Bytes);
  Callback(std::move(Body));
  readMore();
  return true;
}

/// Starts a request without a body.
bool Session::startRun(Slot &Item, std::size_t Bytes) {
  count(Item);
  NoMore_ = !CurrentKeepAlive_;
  if (!State_->Memory_->makeRoom(*this, Bytes, Bytes)) {
    State_->Memory_->count(MemoryMeasure::RefusedNoRoom);
    return false;
  }
  Item.RunBytes_ = Bytes;
  State_->Memory_->started(Bytes);
  return true;
}

/// Ends the reading of the current request.
void Session::endRequest() {
  Reading_ = Receiving_ = Deciding_ = Parked_ = false;
  ReadLimit_ = Clock::time_point::max();
  Current_ = 0;
  HeadBytes_ = 0;
  State_->Memory_->stopWaiting(*this);
  State_->Memory_->hold(*this, 0);
}

/// Forgets the current request unless it was answered.
void Session::dropCurrent() {
  if (Current_ == 0)
    return;
  const bool Pending = Reading_ && !Parked_;
  const BodyCallback Callback = std::exchange(OnBody_, nullptr);
  std::function<void()> Cancel;
  if (!Slots_.empty() && Slots_.back().Number_ == Current_ && !Slots_.back().Response_) {
    Cancel = std::exchange(Slots_.back().Cancel_, nullptr);
    release(Slots_.back());
    Slots_.pop_back();
  }
  Reader_.dropBody();
  endRequest();
  Reading_ = Pending;
  if (Cancel)
    Cancel();
}

/// \return false if the body waits for room.
bool Session::growBody() {
  if (Current_ == 0)
    return true;
  const std::size_t Growth = Reader_.nextGrowth();
  if (Growth == 0)
    return true;
  const std::size_t Whole = HeadBytes_ * State_->Limits_.HeadCopies_ + Reader_.bodyBytes() + Growth;
  if (ensureRoom(Growth, Whole)) {
    Reader_.grow();
    countMemory();
  }
  return !Parked_ && !Closed_;
}

/// \return false if the request was refused, or waits for room, which Parked_ tells.
bool Session::ensureRoom(std::size_t Growth, std::size_t Whole) {
  if (!State_->Memory_->canEverFit(Whole)) {
    refuseForMemory(MemoryMeasure::RefusedNeverFits);
    return false;
  }
  if (State_->Memory_->makeRoom(*this, Growth, Whole))
    return true;
  if (Whole <= MemoryAccount::SmallBytes) {
    refuseForMemory(MemoryMeasure::RefusedNoRoom);
    return false;
  }
  Parked_ = true;
  State_->Memory_->waitForRoom(*this, Growth, Clock::now());
  return false;
}

void Session::refuseForMemory(MemoryMeasure Measure) {
  State_->Memory_->count(Measure);
  respond(Current_, refusalResponse(Refusal::Overloaded, RequestId()));
}

void Session::countMemory() {
  const SessionPtr Keep(this);
  State_->Memory_->hold(*this, Reader_.bytes() + HeadBytes_);
  State_->Memory_->relieve();
}

void Session::onRoom() {
  Parked_ = false;
  advance();
}

void Session::onNoRoom() {
  const SessionPtr Keep(this);
  refuseForMemory(MemoryMeasure::RefusedNoRoom);
}

void Session::onRead(const error_code &Failure) {
  Reading_ = false;
  HeadBegan_.reset();
  Receiving_ = false;
  ReadLimit_ = Clock::time_point::max();
  if (Current_ == 0)
    State_->Memory_->hold(*this, 0);
  if (Closed_ || Ending_)
    return;
  if (Failure && !isParseError(Failure))
    onCallerGone();
  else if (Failure && !NoMore_)
    refuse(refusalOfParseError(Failure));
  // Otherwise the request took too long.
}

void Session::refuse(Refusal Reason) {
  const SessionPtr Keep(this);
  const Slot *Item = find(Current_);
  const bool Answered = Current_ != 0 && (Item == nullptr || Item->Response_);
  NoMore_ = true;
  dropCurrent();
  State_->Memory_->hold(*this, 0);
  if (!Answered) {
    const std::uint64_t Number = addSlot(false).Number_;
    respond(Number, refusalResponse(Reason, RequestId()));
  } else if (Slots_.empty() && !Writing_) {
    closeAfterDelivery();
  }
}

} // namespace bronzestand::node::detail
