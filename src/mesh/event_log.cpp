#include "mesh/event_log.h"

#include <algorithm>

#include <fcntl.h>
#include <unistd.h>

#include "node/clock.h"

namespace bronzestand::node {
namespace {

/// Lines a second and burst by class. Together they bound a node's log to some 10 KB a second.
constexpr double RoutineRate = 5.0;
constexpr double DecisionRate = 25.0;
constexpr double BeliefRate = 20.0;
constexpr double BurstSeconds = 4.0;

} // namespace

EventLog::EventLog(std::string HostName)
    : HostName_(std::move(HostName)),
      Buckets_{{{RoutineRate * BurstSeconds, RoutineRate, RoutineRate * BurstSeconds},
                {DecisionRate * BurstSeconds, DecisionRate, DecisionRate * BurstSeconds},
                {BeliefRate * BurstSeconds, BeliefRate, BeliefRate * BurstSeconds}}} {
  const int Flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (Flags >= 0)
    ::fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
}

void EventLog::refill(TimePoint Now, Bucket &Item) {
  const double Time = std::chrono::duration<double>(Now - Item.Filled_).count();
  Item.Tokens_ = std::min(Item.Capacity_, Item.Tokens_ + Item.Rate_ * std::max(0.0, Time));
  Item.Filled_ = Now;
}

bool EventLog::mayWrite(TimePoint Now, EventClass Class) {
  Bucket &Item = Buckets_[static_cast<std::size_t>(Class)];
  refill(Now, Item);
  if (Item.Tokens_ >= 1.0)
    return true;
  ++Dropped_;
  ++DroppedTotal_;
  return false;
}

void EventLog::write(TimePoint Now, EventClass Class, std::string_view Part, std::string_view Event,
                     Fields Values) {
  if (!mayWrite(Now, Class))
    return;
  Buckets_[static_cast<std::size_t>(Class)].Tokens_ -= 1.0;
  nlohmann::ordered_json Line{{"time_us", wallMicroseconds()},
                              {"uptime_clock_us", Now.time_since_epoch().count()},
                              {"host", HostName_},
                              {"part", Part},
                              {"event", Event}};
  for (const auto &[Name, Value] : Values)
    Line[std::string(Name)] = Value;
  if (Dropped_ != 0)
    Line["lines_dropped_before"] = Dropped_;
  const std::string Text =
      Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  // A reader that does not keep up must not stop the node.
  if (::write(STDOUT_FILENO, Text.data(), Text.size()) == static_cast<ssize_t>(Text.size())) {
    Dropped_ = 0;
  } else {
    ++Dropped_;
    ++DroppedTotal_;
  }
}

} // namespace bronzestand::node
