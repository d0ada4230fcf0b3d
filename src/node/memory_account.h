#ifndef BRONZESTAND_NODE_MEMORY_ACCOUNT_H
#define BRONZESTAND_NODE_MEMORY_ACCOUNT_H

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/intrusive/list.hpp>
#include <nlohmann/json.hpp>

namespace bronzestand::node {

/// Parts of the memory that requests of callers take.
enum class MemoryShare : std::uint8_t {
  Receiving, ///< requests that have arrived in part
  Running,   ///< requests that have arrived and are not answered, with the copies on their path
};
constexpr std::size_t MemoryShareCount = 2;
std::string_view memoryShareName(MemoryShare Share);

/// Returns the bound of both shares in a process that may use this much memory, in bytes. The other
/// bounds take a half; an eighth is left for what is not counted.
constexpr std::size_t requestMemoryOf(std::size_t ProcessBytes) { return ProcessBytes / 8 * 3; }

/// What was done for lack of memory or of connections.
enum class MemoryMeasure : std::uint8_t {
  Paused,            ///< a body was not read further for a while
  RefusedNeverFits,  ///< a request was refused, because it can never have room
  RefusedNoRoom,     ///< a request was refused, because it had no room in time
  ClosedLargest,     ///< the connection that held the most was closed
  ClosedSilent,      ///< an unused connection was closed, because a new one had no place
  ClosedUnread,      ///< a connection was closed whose caller did not read its answers
  RefusedConnection, ///< a new connection was closed, because all others are used
};
constexpr std::size_t MemoryMeasureCount = 7;
std::string_view memoryMeasureName(MemoryMeasure Measure);

/// A connection with a request that has arrived in part, as MemoryAccount knows it.
class MemoryHolder {
public:
  using Clock = std::chrono::steady_clock;
  MemoryHolder(const MemoryHolder &) = delete;
  MemoryHolder &operator=(const MemoryHolder &) = delete;

protected:
  MemoryHolder() = default;
  ~MemoryHolder() = default;

private:
  friend class MemoryAccount;
  using AutoUnlink = boost::intrusive::link_mode<boost::intrusive::auto_unlink>;
  using Hook = boost::intrusive::list_member_hook<AutoUnlink>;

  /// Continues with what had no room; asks again whether it has.
  virtual void onRoom() = 0;
  /// Refuses the request that had no room in time, and frees its memory.
  virtual void onNoRoom() = 0;
  /// Closes the connection and frees its memory.
  virtual void giveUp() = 0;

  Hook Held_;
  Hook Waiting_;
  std::size_t Bytes_ = 0;
  Clock::time_point ProgressAt_{}; ///< when it grew last
  std::size_t Wanted_ = 0;         ///< growth of the account that it waits for
  Clock::time_point WaitsSince_{};
};

/// Bounds the memory of all requests that a process receives and runs, on all of its listeners. A
/// request that has no room waits, is refused after RefuseAfter, and after CloseAfter of such a
/// lack the connection that holds the most is closed. Small requests may use a part of the bound
/// that is kept for them, and close the largest holder at once if that is full too.
///
/// Errors: none; a request without room gets false. Cost: constant, linear in the number of
/// connections for each one that is closed. Design: docs/design/request-memory.md.
class MemoryAccount : public std::enable_shared_from_this<MemoryAccount> {
public:
  using Clock = MemoryHolder::Clock;

  static constexpr std::size_t NoLimit = std::numeric_limits<std::size_t>::max();
  /// A request of this many bytes with its copies counts as small; most have a tenth of it.
  static constexpr std::size_t SmallBytes = 64UL * 1024;
  /// Part of the bound that is kept for small requests.
  static constexpr std::size_t SmallDivisor = 4;
  /// Well below the time-outs of callers, and long enough for the answers of a busy node.
  static constexpr std::chrono::milliseconds RefuseAfter{500};
  /// Refusals have then had time to make room.
  static constexpr std::chrono::milliseconds CloseAfter{1000};

  /// \param MaxBytes bound of both shares together.
  MemoryAccount(boost::asio::io_context &Io, std::size_t MaxBytes) : Io_(Io), MaxBytes_(MaxBytes) {}

  /// Tells whether a large request of this many bytes, copies included, could ever have room.
  bool canEverFit(std::size_t Bytes) const { return Bytes <= SmallBytes || Bytes <= largeBytes(); }
  /// Tells whether the account may grow for a holder, and makes room for small growth by closing
  /// others that hold more.
  /// \param Growth in bytes.
  /// \param Whole size of the request after it, copies included.
  bool makeRoom(MemoryHolder &Item, std::size_t Growth, std::size_t Whole);
  /// Records the memory that a request in receipt holds; 0 if there is none any more.
  void hold(MemoryHolder &Item, std::size_t Bytes);
  /// Closes the largest holders while the account is over its bound.
  void relieve();
  /// Calls onRoom() when there is room for the growth, or onNoRoom() if there is none in time.
  void waitForRoom(MemoryHolder &Item, std::size_t Growth, Clock::time_point Now);
  void stopWaiting(MemoryHolder &Item);
  /// Records a request that has arrived and runs from now on.
  void started(std::size_t Bytes);
  /// Records that one was answered or dropped.
  void ended(std::size_t Bytes);
  void count(MemoryMeasure Measure) { ++Counts_[static_cast<std::size_t>(Measure)]; }
  /// Refuses and closes what is due.
  void tick(Clock::time_point Now);

  std::size_t bytes() const { return Bytes_[0] + Bytes_[1]; }
  std::size_t bytes(MemoryShare Share) const { return Bytes_[static_cast<std::size_t>(Share)]; }
  std::size_t maxBytes() const { return MaxBytes_; }
  std::uint64_t measured(MemoryMeasure Measure) const {
    return Counts_[static_cast<std::size_t>(Measure)];
  }
  /// Requests and connections that ended for lack of memory.
  std::uint64_t refusedAndClosed() const;
  nlohmann::json dump() const;
  /// Appends gauges and counters in Prometheus text.
  void print(std::string &Out) const;

private:
  std::size_t largeBytes() const { return MaxBytes_ - MaxBytes_ / SmallDivisor; }
  bool closeLargest(const MemoryHolder *Below);
  /// Lets the holders that wait go on, after the current handler.
  void wakeLater();
  void wake();

  using HeldList = boost::intrusive::list<
      MemoryHolder,
      boost::intrusive::member_hook<MemoryHolder, MemoryHolder::Hook, &MemoryHolder::Held_>,
      boost::intrusive::constant_time_size<false>>;
  using WaitingList = boost::intrusive::list<
      MemoryHolder,
      boost::intrusive::member_hook<MemoryHolder, MemoryHolder::Hook, &MemoryHolder::Waiting_>,
      boost::intrusive::constant_time_size<false>>;

  boost::asio::io_context &Io_;
  std::size_t MaxBytes_;
  std::array<std::size_t, MemoryShareCount> Bytes_{};
  std::array<std::uint64_t, MemoryMeasureCount> Counts_{};
  HeldList Held_;
  WaitingList Waiting_; ///< in the order of arrival
  bool WakePosted_ = false;
  bool RefusedSinceTick_ = false;
  Clock::time_point ShortSince_ = Clock::time_point::max(); ///< since when requests have no room
};

} // namespace bronzestand::node

#endif
