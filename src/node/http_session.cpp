#include "node/http_connection.h"

#include <algorithm>
#include <array>
#include <limits>
#include <optional>

#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "node/http_server_message.h"
#include "node/socket_bytes.h"

namespace bronzestand::node::detail {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

/// A caller that has received all answers gets this long to read them and to close the connection.
constexpr std::chrono::milliseconds CloseWait{1000};
/// Input that is dropped after the last answer, and the part that is read at a time. What exceeds
/// it is left to the system, which holds the caller back.
constexpr std::size_t MaxDroppedBytes = 1024UL * 1024;
constexpr std::size_t DropReadBytes = 16UL * 1024;

/// Closes the connections that hold the most answers while all together hold too much.
void limitAnswers(HttpServerState &State) {
  while (State.AnswerBytes_ > State.Limits_.AnswerBytes_) {
    const auto Largest = std::max_element(State.Sessions_.begin(), State.Sessions_.end(),
                                          [](const HttpSession &A, const HttpSession &B) {
                                            return A.answerBytes() < B.answerBytes();
                                          });
    const HttpSessionPtr Item(&*Largest);
    State.Memory_->count(MemoryMeasure::ClosedUnread);
    Item->close();
  }
}

} // namespace

bool Session::hasInput() {
  error_code Failure;
  return Reader_.hasInput() || (Socket_.available(Failure) != 0 && !Failure);
}

Session::Slot *Session::find(std::uint64_t Number) {
  const auto Found = std::find_if(Slots_.begin(), Slots_.end(),
                                  [&](const Slot &Item) { return Item.Number_ == Number; });
  return Found == Slots_.end() ? nullptr : &*Found;
}

Session::Slot &Session::addSlot(bool KeepAlive) {
  Slots_.emplace_back();
  Slots_.back().Number_ = ++LastNumber_;
  Slots_.back().KeepAlive_ = KeepAlive;
  return Slots_.back();
}

void Session::count(Slot &Item) {
  State_->RunningRequests_ += std::exchange(Item.Counted_, true) ? 0 : 1;
}

/// Ends what a slot has in the account and in the counts.
void Session::release(Slot &Item) {
  State_->RunningRequests_ -= std::exchange(Item.Counted_, false) ? 1 : 0;
  if (Item.RunBytes_ != 0)
    State_->Memory_->ended(std::exchange(Item.RunBytes_, 0));
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
  noteDelivery(Now);
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

Session::Clock::duration Session::unusedFor(Clock::time_point Now) const {
  if (Ending_ || Closed_)
    return {};
  if (Writing_)
    return Now - DeliveredAt_;
  // A request whose body arrives does not run yet.
  const bool Receives = Slots_.size() == 1 && Slots_.front().Number_ == Current_ && OnBody_;
  if ((!Slots_.empty() && !Receives) || Delivering_ || Parked_)
    return {};
  return Now - HeadBegan_.value_or(LastInput_);
}

void Session::noteDelivery(Clock::time_point Now) {
  if (AnswerBytes_ == 0) {
    DeliveredAt_ = Now;
    return;
  }
  const std::size_t Left = unacknowledgedBytes(Socket_.native_handle()).value_or(0);
  if (Left != std::exchange(LastUnacknowledged_, Left))
    DeliveredAt_ = Now;
}

// The answers to earlier requests are still written.
void Session::endReading() {
  const SessionPtr Keep(this);
  NoMore_ = true;
  ReadLimit_ = Clock::time_point::max();
  dropCurrent();
  if (Slots_.empty() && !Writing_)
    closeAfterDelivery();
}

void Session::onCallerGone() {
  const SessionPtr Keep(this);
  NoMore_ = true;
  dropCurrent();
  const bool HasAnswers = Writing_ || (!Slots_.empty() && Slots_.front().Response_);
  // Answers that are ready are still written, because the caller may have closed one side only.
  std::vector<std::function<void()>> Callbacks;
  for (Slot &Item : Slots_)
    if (Item.Cancel_)
      Callbacks.push_back(std::exchange(Item.Cancel_, nullptr));
  for (const auto &Callback : Callbacks)
    Callback();
  if (Slots_.empty() || (!HasAnswers && !Callbacks.empty()))
    closeSocket();
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
  const std::function<void()> Cancel = std::exchange(Item->Cancel_, nullptr);
  addAnswerBytes(memoryOf(*Item->Response_));
  release(*Item);
  count(*Item);
  // The body of a request that is answered already is read and dropped.
  BodyCallback Unused;
  if (RequestNumber == Current_) {
    Unused = std::exchange(OnBody_, nullptr);
    Reader_.dropBody();
    Deciding_ = false;
    State_->Memory_->stopWaiting(*this);
    HeadBytes_ = 0;
    State_->Memory_->hold(*this, Reader_.bytes());
    if (std::exchange(Parked_, false))
      advanceLater();
  }
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
  release(Item);
  WritingCurrent_ = Item.Number_ == Current_;
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
  if (!KeepAlive && WritingCurrent_ && Current_ != 0) {
    // A caller that sends its whole body before it reads would lose the answer.
    CloseAfterBody_ = true;
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
  if (Slots_.empty() && Reading_ && !Receiving_ && !Writing_ && !Reader_.hasInput())
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

void Session::abandon() {
  const SessionPtr Keep(this);
  std::vector<std::function<void()>> Unused;
  for (Slot &Item : Slots_)
    if (Item.Cancel_)
      Unused.push_back(std::exchange(Item.Cancel_, nullptr));
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
  const BodyCallback Unused = std::exchange(OnBody_, nullptr);
  Reader_.dropBody();
  endRequest();
  std::deque<Slot> Slots = std::move(Slots_);
  Slots_.clear();
  for (Slot &Item : Slots)
    release(Item);
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

HttpSessionPtr makeHttpSession(tcp::socket Socket, std::shared_ptr<HttpServerState> State) {
  HttpServerState &Shared = *State;
  HttpSessionPtr Item(new Session(std::move(Socket), std::move(State)));
  Shared.Sessions_.push_back(*Item);
  return Item;
}

} // namespace bronzestand::node::detail
