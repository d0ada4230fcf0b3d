#include "node/link_bytes.h"

#include <string_view>

#include <fmt/format.h>

namespace bronzestand::node {
namespace {

constexpr std::array<std::string_view, 2> DirectionNames{"sent", "received"};
constexpr std::array<std::string_view, TrafficKindCount> KindNames{"call", "repeat", "answer",
                                                                   "state", "control"};
constexpr std::array<std::string_view, LinkDistanceCount> DistanceNames{
    "same_data_centre", "other_data_centre", "other_region", "unknown"};

} // namespace

TrafficKind trafficKindOf(MessageKind Kind, bool Repeated) {
  switch (Kind) {
  case MessageKind::Call:
    return Repeated ? TrafficKind::Repeat : TrafficKind::Call;
  case MessageKind::Answer:
    return TrafficKind::Answer;
  case MessageKind::ConfigSpread:
  case MessageKind::Quarantine:
  case MessageKind::RouteHealth:
    return TrafficKind::State;
  default:
    return TrafficKind::Control;
  }
}

void LinkBytes::add(Direction Way, TrafficKind Kind, LinkDistance Distance, std::size_t Bytes) {
  Counter &Item = Counters_[static_cast<std::size_t>(Way)][static_cast<std::size_t>(Kind)]
                           [static_cast<std::size_t>(Distance)];
  ++Item.Frames_;
  Item.Bytes_ += Bytes;
}

void LinkBytes::print(std::string &Out) const {
  const auto PrintAll = [&](std::string_view Name, std::uint64_t Counter::*Member) {
    for (std::size_t Way = 0; Way < DirectionCount; ++Way)
      for (std::size_t Kind = 0; Kind < TrafficKindCount; ++Kind)
        for (std::size_t Distance = 0; Distance < LinkDistanceCount; ++Distance)
          if (const Counter &Item = Counters_[Way][Kind][Distance]; Item.Frames_ != 0)
            Out += fmt::format("{}{{direction=\"{}\",kind=\"{}\",distance=\"{}\"}} {}\n", Name,
                               DirectionNames[Way], KindNames[Kind], DistanceNames[Distance],
                               Item.*Member);
  };
  Out += "# HELP bronzestand_link_bytes_total Bytes of frames between nodes\n"
         "# TYPE bronzestand_link_bytes_total counter\n";
  PrintAll("bronzestand_link_bytes_total", &Counter::Bytes_);
  Out += "# HELP bronzestand_link_frames_total Frames between nodes\n"
         "# TYPE bronzestand_link_frames_total counter\n";
  PrintAll("bronzestand_link_frames_total", &Counter::Frames_);
}

nlohmann::json LinkBytes::dump() const {
  nlohmann::json Result = nlohmann::json::object();
  for (std::size_t Way = 0; Way < DirectionCount; ++Way)
    for (std::size_t Kind = 0; Kind < TrafficKindCount; ++Kind)
      for (std::size_t Distance = 0; Distance < LinkDistanceCount; ++Distance)
        if (const Counter &Item = Counters_[Way][Kind][Distance]; Item.Frames_ != 0)
          Result[std::string(DirectionNames[Way])][std::string(KindNames[Kind])][std::string(
              DistanceNames[Distance])] = {{"frames", Item.Frames_}, {"bytes", Item.Bytes_}};
  return Result;
}

} // namespace bronzestand::node
