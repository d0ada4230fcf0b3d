#include "plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace bronzestand::soak {
namespace {

using std::chrono::milliseconds;

struct KindInfo {
  std::string_view Name_;
  Profile Profile_;
  milliseconds Shortest_;
  milliseconds Longest_;
};

constexpr std::array<KindInfo, FaultKinds> Kinds{{
    {"node_term", Profile::Planned, milliseconds(0), milliseconds(500)},
    {"node_kill", Profile::Processes, milliseconds(0), milliseconds(1500)},
    {"node_pause", Profile::Processes, milliseconds(100), milliseconds(3000)},
    {"node_hup", Profile::Planned, milliseconds(0), milliseconds(0)},
    {"herd_kill", Profile::Processes, milliseconds(0), milliseconds(1000)},
    {"links_hold", Profile::Links, milliseconds(200), milliseconds(4000)},
    {"links_one_way", Profile::Links, milliseconds(200), milliseconds(4000)},
    {"links_reset", Profile::Links, milliseconds(0), milliseconds(2000)},
    {"links_silent", Profile::Links, milliseconds(0), milliseconds(0)},
    {"links_delay", Profile::Links, milliseconds(500), milliseconds(4000)},
    {"store_hold", Profile::Store, milliseconds(500), milliseconds(5000)},
    {"store_reset", Profile::Store, milliseconds(200), milliseconds(3000)},
    {"store_down", Profile::Store, milliseconds(500), milliseconds(4000)},
    {"store_silent", Profile::Store, milliseconds(500), milliseconds(4000)},
    {"store_slow", Profile::Store, milliseconds(500), milliseconds(4000)},
    {"store_forgets", Profile::Store, milliseconds(500), milliseconds(1000)},
    {"store_lapse", Profile::Store, milliseconds(2000), milliseconds(4000)},
    {"server_errors", Profile::Servers, milliseconds(500), milliseconds(4000)},
    {"server_full", Profile::Servers, milliseconds(500), milliseconds(4000)},
    {"server_slow", Profile::Servers, milliseconds(500), milliseconds(4000)},
    {"server_reset", Profile::Servers, milliseconds(0), milliseconds(2000)},
    {"server_hold", Profile::Servers, milliseconds(200), milliseconds(3000)},
    {"server_leaves", Profile::Planned, milliseconds(3500), milliseconds(4000)},
    {"config_change", Profile::Planned, milliseconds(0), milliseconds(0)},
    {"evacuate", Profile::Placement, milliseconds(1000), milliseconds(7000)},
    {"cold_return", Profile::Placement, milliseconds(500), milliseconds(1000)},
}};

constexpr std::array<std::string_view, Profiles> ProfileNames{
    "mixed", "planned", "processes", "links", "store", "servers", "placement"};
/// Mean time between the faults of a run, and between those of a series.
constexpr double GapS = 0.9;
constexpr double SeriesGapS = 0.15;
constexpr double SeriesShare = 0.25; ///< part of the faults that begin a series
constexpr int SeriesLength = 3;
/// One of this many faults is one of placement, where the run has them.
constexpr std::size_t PlacementShare = 4;

const KindInfo &infoOf(FaultKind Kind) { return Kinds[static_cast<std::size_t>(Kind)]; }

std::vector<FaultKind> kindsOf(Profile Value) {
  std::vector<FaultKind> Result;
  for (std::size_t Number = 0; Number < FaultKinds; ++Number)
    if (Kinds[Number].Profile_ == Value ||
        (Value == Profile::Mixed && Kinds[Number].Profile_ != Profile::Placement) ||
        (Value != Profile::Planned && Value != Profile::Placement &&
         Kinds[Number].Name_ == "config_change"))
      Result.push_back(static_cast<FaultKind>(Number));
  return Result;
}

} // namespace

std::string_view faultName(FaultKind Kind) { return infoOf(Kind).Name_; }
std::string_view profileName(Profile Value) {
  return ProfileNames[static_cast<std::size_t>(Value)];
}

Plan makePlan(std::uint64_t Seed, std::size_t Nodes, Duration Length, bool Placement) {
  std::mt19937_64 Random(Seed);
  Plan Result;
  // Half of the seeds mix all kinds.
  Result.Profile_ = Seed % 2 == 0 ? Profile::Mixed : static_cast<Profile>(1 + Seed / 2 % 5);
  const std::vector<FaultKind> Kinds = kindsOf(Result.Profile_);
  const std::vector<FaultKind> PlacementKinds = kindsOf(Profile::Placement);
  const auto Pick = [&](std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random);
  };
  const auto Gap = [&](double Mean) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::exponential_distribution<double>(1.0 / Mean)(Random)));
  };
  Duration At = Gap(GapS);
  while (At < Length) {
    const bool Series = std::uniform_real_distribution<double>()(Random) < SeriesShare;
    const bool Places = Placement && Pick(PlacementShare) == 0;
    const FaultKind Kind =
        Places ? PlacementKinds[Pick(PlacementKinds.size())] : Kinds[Pick(Kinds.size())];
    const std::size_t Target = Pick(Nodes);
    for (int Count = 0; Count < (Series ? SeriesLength : 1) && At < Length; ++Count) {
      const KindInfo &Info = infoOf(Kind);
      const auto For = std::uniform_int_distribution<std::int64_t>(Info.Shortest_.count(),
                                                                   Info.Longest_.count())(Random);
      Result.Faults_.push_back({At, milliseconds(For), Kind, (Target + Count) % Nodes});
      At += Gap(Series ? SeriesGapS : GapS);
    }
  }
  Result.LongWork_ = Result.Profile_ == Profile::Planned && Random() % 2 == 0;
  return Result;
}

} // namespace bronzestand::soak
