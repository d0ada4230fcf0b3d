#ifndef BRONZESTAND_NODE_HTTP_CONNECTION_H
#define BRONZESTAND_NODE_HTTP_CONNECTION_H

#include <deque>
#include <functional>
#include <limits>
#include <optional>
#include <string>

#include "node/http_request_reader.h"
#include "node/http_session.h"

namespace bronzestand::node::detail {

using BodyCallback = std::function<void(std::string Body)>;

/// One connection. Requests are read ahead up to the pipelining limit; a slot holds the place of
/// each answer until all earlier ones are written.
class Session final : public HttpSession, private MemoryHolder {
public:
  using Clock = HttpSession::Clock;

  Session(boost::asio::ip::tcp::socket Socket, std::shared_ptr<HttpServerState> State)
      : Socket_(std::move(Socket)), State_(std::move(State)) {}
  ~Session() override { State_->Memory_->hold(*this, 0); }

  void readFirst() override { readRequest(); }
  void respond(std::uint64_t RequestNumber, HttpResponse Response);
  void setCancel(std::uint64_t RequestNumber, std::function<void()> Callback);
  void receiveBody(std::uint64_t RequestNumber, BodyCallback Callback);
  void close() override;
  void abandon() override;
  void closeAfterDelivery() override;
  bool isIdle() override { return Slots_.empty() && !Writing_ && !Receiving_ && !hasInput(); }
  bool isNew() const override { return LastNumber_ == 0; }
  Clock::duration unusedFor(Clock::time_point Now) const override;
  Clock::time_point lastDelivery() const override { return DeliveredAt_; }
  bool isBlocked() const override { return AnswerBytes_ != 0 && !Writing_; }
  std::size_t answerBytes() const override { return AnswerBytes_; }
  void closeUnlessUsed(std::chrono::milliseconds Limit) override;
  void checkTimeouts(Clock::time_point Now) override;

private:
  using Step = RequestReader::Step;
  struct Slot {
    std::uint64_t Number_ = 0;
    bool KeepAlive_ = true;
    bool Counted_ = false;     ///< among the running requests: its body is there, or it is answered
    std::size_t RunBytes_ = 0; ///< memory while it runs
    std::optional<HttpResponse> Response_;
    std::function<void()> Cancel_;
  };

  bool hasInput();
  Slot *find(std::uint64_t Number);
  Slot &addSlot(bool KeepAlive);
  void endReading();
  void readRequest();
  void readSome();
  void onSome(const boost::system::error_code &Failure, std::size_t Count);
  /// Goes on with what has arrived, as far as there is room.
  void advance();
  void advanceLater();
  bool onHead();
  void handle(HttpRequest Head, std::uint64_t Number);
  bool onWhole();
  bool growBody();
  bool ensureRoom(std::size_t Growth, std::size_t Whole);
  void refuseForMemory(MemoryMeasure Measure);
  void countMemory();
  bool startRun(Slot &Item, std::size_t Bytes);
  void count(Slot &Item);
  void release(Slot &Item);
  void endRequest();
  void dropCurrent();
  void onRoom() override;
  void onNoRoom() override;
  void giveUp() override { close(); }
  void onRead(const boost::system::error_code &Failure);
  void refuse(Refusal Reason);
  void readMore();
  void addAnswerBytes(std::size_t Bytes);
  void removeAnswerBytes(std::size_t Bytes);
  void writeNext();
  void onWritten(const boost::system::error_code &Failure, bool KeepAlive);
  void onCallerGone();
  void reportCut();
  void closeSocket();
  void dropSlots();
  /// Tells whether the caller may still need time to receive or to read answers.
  bool mayLoseAnswers();
  void dropInput();
  void onDropped(const boost::system::error_code &Failure, std::size_t Count);
  void checkDelivery(Clock::time_point Now);
  /// Notes whether the caller takes what is written to it.
  void noteDelivery(Clock::time_point Now);

  boost::asio::ip::tcp::socket Socket_;
  std::shared_ptr<HttpServerState> State_;
  RequestReader Reader_;
  std::deque<Slot> Slots_;
  BodyCallback OnBody_;       ///< wants the body of the current request
  std::uint64_t Current_ = 0; ///< request whose head is there and whose body is read; 0 if none
  std::size_t HeadBytes_ = 0; ///< memory of its head
  bool CurrentKeepAlive_ = true;
  bool Deciding_ = false; ///< its handler has not asked for the body yet
  bool Parked_ = false;   ///< nothing is read until its handler decides or there is room
  bool InHandler_ = false;
  bool WritingCurrent_ = false; ///< the answer that is written is that of the current request
  Clock::time_point LastInput_ = Clock::now();
  std::optional<Clock::time_point> HeadBegan_; ///< first byte of a head that is not whole
  bool CloseAfterBody_ = false;                ///< its answer was the last one of the connection
  std::string Output_;                         ///< head of the answer that is written
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
  Clock::time_point WrittenAt_{};                ///< end of the last write
  Clock::time_point DeliveredAt_ = Clock::now(); ///< when the caller last took bytes
  std::size_t LastUnacknowledged_ = 0;           ///< bytes at that time
  std::size_t Unacknowledged_ = 0;               ///< least number of bytes seen while ending
  Clock::time_point EndLimit_{};                 ///< when the wait for the caller ends
  std::size_t DroppedBytes_ = 0;                 ///< input that was dropped while ending
  bool CallerEnded_ = false;                     ///< the caller sends nothing more
  bool Closed_ = false;
};
using SessionPtr = boost::intrusive_ptr<Session>;

} // namespace bronzestand::node::detail

#endif
