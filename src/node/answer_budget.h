#ifndef BRONZESTAND_NODE_ANSWER_BUDGET_H
#define BRONZESTAND_NODE_ANSWER_BUDGET_H

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>

namespace bronzestand::node {

/// An answer that is being received, as AnswerBudget knows it.
class IncomingAnswer {
public:
  using Clock = std::chrono::steady_clock;
  IncomingAnswer(const IncomingAnswer &) = delete;
  IncomingAnswer &operator=(const IncomingAnswer &) = delete;

protected:
  IncomingAnswer() = default;
  ~IncomingAnswer() = default;

private:
  friend class AnswerBudget;
  using AutoUnlink = boost::intrusive::link_mode<boost::intrusive::auto_unlink>;
  using Hook = boost::intrusive::list_member_hook<AutoUnlink>;

  /// Reads on, because there is room for the whole answer.
  virtual void onRoom() = 0;
  /// Ends the connection and frees what was received.
  virtual void giveUp() = 0;
  /// Memory that counts.
  std::size_t bytes() const { return std::max(Held_, Reserved_); }

  Hook Known_;
  Hook Waiting_;
  std::size_t Held_ = 0;     ///< memory of what has arrived
  std::size_t Reserved_ = 0; ///< of the whole answer if it is large; 0 if it is not read that far
  std::size_t Wanted_ = 0;   ///< to reserve; valid while it waits
  bool HasLength_ = false;
  Clock::time_point WaitsSince_{};
  Clock::time_point ReservedAt_{};
  Clock::time_point ProgressAt_{}; ///< when it grew last
};

/// Where answers go after they were received. A default one holds none.
struct AnswerOutlet {
  /// Returns the memory of the answers that callers and other nodes have not taken yet.
  std::function<std::size_t()> Bytes_;
  /// Tells whether answers are held that can't be passed on before another one has arrived.
  std::function<bool()> IsBlocked_;
  /// Ends a connection of a caller that does not read its answers; false if there is none.
  /// \param EvenBlocked also one whose answers can't be passed on yet.
  std::function<bool(bool EvenBlocked)> CloseUnread_;
};

/// Bounds the memory of all answers that are being received together. A large answer is read only
/// when its whole size has room beside the other large ones and those that were passed on and not
/// taken yet; until then it stays with the server. If these can't be passed on before an earlier
/// one of the same connection has arrived, answers are read one at a time, up to the bound itself.
/// Answers make room for those that wait only if
/// they do not end in GiveUpAfter, or if their callers do not read them. Beyond the bound itself
/// the answer that holds the most is given up at once, first of those that do not state their
/// length: a faulty server may send bytes without end on all of its connections.
///
/// Errors: none. Cost: constant; linear in the number of answers when one is given up.
class AnswerBudget : public std::enable_shared_from_this<AnswerBudget> {
public:
  using Clock = IncomingAnswer::Clock;

  /// An answer of this size with its buffer needs no reservation; most have a tenth of it.
  static constexpr std::size_t SmallBytes = 128UL * 1024;
  /// Bytes for large answers on all of their ways within a bound. What waits for callers and for
  /// other nodes may have as much each, so no answer of a caller that reads exceeds those bounds.
  static constexpr std::size_t largeBytes(std::size_t MaxBytes) { return MaxBytes / 3 * 2; }
  /// Answers that wait look for room at this interval; a large answer takes longer to send.
  static constexpr std::chrono::milliseconds WakeInterval{10};
  /// Well above the time that a server needs to send 4 MiB, and below most deadlines.
  static constexpr std::chrono::milliseconds GiveUpAfter{2000};

  AnswerBudget(boost::asio::io_context &Io, std::size_t MaxBytes)
      : Timer_(Io), MaxBytes_(MaxBytes) {}

  void setOutlet(AnswerOutlet Outlet) { Outlet_ = std::move(Outlet); }
  /// Records the memory that an answer holds, and gives up answers, perhaps this one, while all
  /// together hold too much. Linear in the number of answers if they do.
  /// \param HasLength whether the answer states the length of its body.
  void update(IncomingAnswer &Item, std::size_t Bytes, bool HasLength);
  /// Reserves memory for a whole answer that update() knows, once.
  /// \return false if there is no room; onRoom() is called when there is.
  bool reserve(IncomingAnswer &Item, std::size_t Whole);
  /// Forgets an answer that has ended; it may be unknown.
  void remove(IncomingAnswer &Item);
  /// Lets answers that wait go on, and makes room for them if they have waited for too long.
  void wake(Clock::time_point Now);

  std::size_t bytes() const { return Bytes_; }
  std::size_t maxBytes() const { return MaxBytes_; }
  std::size_t waiting() const { return Waiting_.size(); }
  std::uint64_t paused() const { return Paused_; }
  std::uint64_t givenUp() const { return GivenUp_; }

private:
  using KnownList = boost::intrusive::list<
      IncomingAnswer,
      boost::intrusive::member_hook<IncomingAnswer, IncomingAnswer::Hook, &IncomingAnswer::Known_>,
      boost::intrusive::constant_time_size<false>>;
  using WaitingList =
      boost::intrusive::list<IncomingAnswer,
                             boost::intrusive::member_hook<IncomingAnswer, IncomingAnswer::Hook,
                                                           &IncomingAnswer::Waiting_>,
                             boost::intrusive::constant_time_size<false>>;

  bool fits(std::size_t Whole) const;
  /// Memory that large answers have on all of their ways.
  std::size_t used() const;
  void set(IncomingAnswer &Item, std::size_t Held, std::size_t Reserved);
  bool giveUpEndless(Clock::time_point Now);
  void giveUp(IncomingAnswer &Item);
  void schedule();

  boost::asio::steady_timer Timer_;
  std::size_t MaxBytes_;
  AnswerOutlet Outlet_;
  std::size_t Bytes_ = 0;
  std::size_t Reserved_ = 0; ///< of all answers
  KnownList Known_;
  WaitingList Waiting_; ///< in the order of arrival
  bool Scheduled_ = false;
  std::uint64_t Paused_ = 0;
  std::uint64_t GivenUp_ = 0;
};

} // namespace bronzestand::node

#endif
