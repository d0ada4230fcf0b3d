#include "node/memory_account.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace bronzestand::node {
namespace {

// In the order of the enumerators.
constexpr std::array<std::string_view, MemoryShareCount> ShareNames{"receiving", "running"};
constexpr std::array<std::string_view, MemoryMeasureCount> MeasureNames{
    "paused",        "refused_never_fits", "refused_no_room",   "closed_largest",
    "closed_silent", "closed_unread",      "refused_connection"};
static_assert(static_cast<std::size_t>(MemoryShare::Running) + 1 == MemoryShareCount);
static_assert(static_cast<std::size_t>(MemoryMeasure::RefusedConnection) + 1 == MemoryMeasureCount);

} // namespace

std::string_view memoryShareName(MemoryShare Share) {
  return ShareNames[static_cast<std::size_t>(Share)];
}

std::string_view memoryMeasureName(MemoryMeasure Measure) {
  return MeasureNames[static_cast<std::size_t>(Measure)];
}

bool MemoryAccount::makeRoom(MemoryHolder &Item, std::size_t Growth, std::size_t Whole) {
  const bool Small = Whole <= SmallBytes;
  const std::size_t Limit = Small ? MaxBytes_ : largeBytes();
  const auto Fits = [&] { return bytes() <= Limit && Growth <= Limit - bytes(); };
  while (!Fits())
    if (!Small || !closeLargest(&Item))
      return false;
  return true;
}

void MemoryAccount::hold(MemoryHolder &Item, std::size_t Bytes) {
  std::size_t &Sum = Bytes_[static_cast<std::size_t>(MemoryShare::Receiving)];
  Sum = Sum - Item.Bytes_ + Bytes;
  if (Bytes > Item.Bytes_)
    Item.ProgressAt_ = Clock::now();
  else if (Bytes < Item.Bytes_)
    wakeLater();
  Item.Bytes_ = Bytes;
  if (Bytes == 0)
    Item.Held_.unlink();
  else if (!Item.Held_.is_linked())
    Held_.push_back(Item);
}

void MemoryAccount::relieve() {
  while (bytes() > MaxBytes_ && closeLargest(nullptr)) {
  }
}

void MemoryAccount::waitForRoom(MemoryHolder &Item, std::size_t Growth, Clock::time_point Now) {
  count(MemoryMeasure::Paused);
  if (Waiting_.empty())
    ShortSince_ = std::min(ShortSince_, Now);
  Item.Wanted_ = Growth;
  Item.WaitsSince_ = Now;
  if (!Item.Waiting_.is_linked())
    Waiting_.push_back(Item);
}

void MemoryAccount::stopWaiting(MemoryHolder &Item) { Item.Waiting_.unlink(); }

void MemoryAccount::started(std::size_t Bytes) {
  Bytes_[static_cast<std::size_t>(MemoryShare::Running)] += Bytes;
}

void MemoryAccount::ended(std::size_t Bytes) {
  Bytes_[static_cast<std::size_t>(MemoryShare::Running)] -= Bytes;
  wakeLater();
}

/// \param Below a holder that is not closed itself, nor any that holds no more than it.
bool MemoryAccount::closeLargest(const MemoryHolder *Below) {
  const auto Largest = std::max_element(
      Held_.begin(), Held_.end(), [](const MemoryHolder &A, const MemoryHolder &B) {
        return std::make_tuple(A.Bytes_, B.ProgressAt_) < std::make_tuple(B.Bytes_, A.ProgressAt_);
      });
  if (Largest == Held_.end() || (Below != nullptr && Largest->Bytes_ <= Below->Bytes_))
    return false;
  count(MemoryMeasure::ClosedLargest);
  MemoryHolder &Item = *Largest;
  // What is closed is not counted any more, whatever the holder does.
  hold(Item, 0);
  stopWaiting(Item);
  Item.giveUp();
  return true;
}

void MemoryAccount::wakeLater() {
  if (Waiting_.empty() || std::exchange(WakePosted_, true))
    return;
  boost::asio::post(Io_, [Self = weak_from_this()] {
    if (const auto Alive = Self.lock())
      Alive->wake();
  });
}

void MemoryAccount::wake() {
  WakePosted_ = false;
  // A holder may wait again at once.
  for (std::size_t Left = Waiting_.size(); Left > 0 && !Waiting_.empty(); --Left) {
    MemoryHolder &First = Waiting_.front();
    if (bytes() > largeBytes() || First.Wanted_ > largeBytes() - bytes())
      return;
    Waiting_.pop_front();
    First.onRoom();
  }
}

void MemoryAccount::tick(Clock::time_point Now) {
  while (!Waiting_.empty() && Now - Waiting_.front().WaitsSince_ >= RefuseAfter) {
    MemoryHolder &First = Waiting_.front();
    Waiting_.pop_front();
    RefusedSinceTick_ = true;
    First.onNoRoom();
  }
  if (Waiting_.empty() && !std::exchange(RefusedSinceTick_, false))
    ShortSince_ = Clock::time_point::max();
  else if (ShortSince_ <= Now - CloseAfter)
    closeLargest(nullptr);
}

std::uint64_t MemoryAccount::refusedAndClosed() const {
  return measured(MemoryMeasure::RefusedNeverFits) + measured(MemoryMeasure::RefusedNoRoom) +
         measured(MemoryMeasure::ClosedLargest) + measured(MemoryMeasure::ClosedSilent) +
         measured(MemoryMeasure::ClosedUnread) + measured(MemoryMeasure::RefusedConnection);
}

nlohmann::json MemoryAccount::dump() const {
  nlohmann::json Result{{"max_bytes", MaxBytes_}};
  for (std::size_t Index = 0; Index < MemoryShareCount; ++Index)
    Result["bytes"][std::string(ShareNames[Index])] = Bytes_[Index];
  for (std::size_t Index = 0; Index < MemoryMeasureCount; ++Index)
    Result["measures"][std::string(MeasureNames[Index])] = Counts_[Index];
  return Result;
}

void MemoryAccount::print(std::string &Out) const {
  Out += "# HELP bronzestand_request_memory_bytes Memory of requests of callers by share\n"
         "# TYPE bronzestand_request_memory_bytes gauge\n";
  for (std::size_t Index = 0; Index < MemoryShareCount; ++Index)
    Out += fmt::format("bronzestand_request_memory_bytes{{share=\"{}\"}} {}\n", ShareNames[Index],
                       Bytes_[Index]);
  Out += fmt::format("# HELP bronzestand_request_memory_max_bytes Bound of all shares together\n"
                     "# TYPE bronzestand_request_memory_max_bytes gauge\n"
                     "bronzestand_request_memory_max_bytes {}\n",
                     MaxBytes_);
  Out += "# HELP bronzestand_request_memory_measures_total Measures for lack of memory\n"
         "# TYPE bronzestand_request_memory_measures_total counter\n";
  for (std::size_t Index = 0; Index < MemoryMeasureCount; ++Index)
    Out += fmt::format("bronzestand_request_memory_measures_total{{measure=\"{}\"}} {}\n",
                       MeasureNames[Index], Counts_[Index]);
}

} // namespace bronzestand::node
