#include "placement_fixture.h"

using namespace bronzestand;

namespace {

constexpr double Utilisation = 0.8;
/// A node refuses a call that would wait longer than this part of its latency objective.
constexpr double MaxWaitShare = 0.5;
/// docs/design.md: refusals inside a team's rate without a fault.
constexpr double MaxRefused = 0.001;

struct RegionLoadFixture : PlacementFixture {
  RegionLoadFixture() {
    TellsWaiting_ = true;
    FleetRate_ =
        Utilisation * Servers * Slots / std::chrono::duration<double>(MeanServiceTime).count();
  }

  static double refusedShare(const std::vector<Duration> &Waits) {
    const auto Refused = std::count_if(Waits.begin(), Waits.end(), [](const Duration &Wait) {
      return Wait > Objective * MaxWaitShare;
    });
    return static_cast<double>(Refused) / static_cast<double>(Waits.size());
  }
};

} // namespace

// Guards against calls that may run anywhere and stay in a region that is full of calls bound to
// it, although the other region has room. Without them 40 % of all calls fit into half the fleet.
TEST_CASE_METHOD(RegionLoadFixture, "placement_unbound_calls_leave_a_region_full_of_bound_ones") {
  const std::size_t Count = GENERATE(16, 96);
  BoundShare_ = 0.4;
  addEntries(Count);
  for (const auto &Entry : Entries_)
    Entry->setRegionsRestricted(true);
  run(RunTime);
  INFO(Count << " entries, refused " << refusedShare(BoundWaits_) << " of the bound calls, "
             << refusedShare(Waits_) << " of the others");
  CHECK(BoundOutside_ == 0);
  CHECK(refusedShare(BoundWaits_) <= MaxRefused);
  CHECK(refusedShare(Waits_) <= MaxRefused);
}

// Guards against calls that cross regions, whose traffic is billed, in fleets without allowed
// regions.
TEST_CASE_METHOD(RegionLoadFixture, "placement_without_allowed_regions_stays_in_own_region") {
  addEntries(16);
  run(RunTime);
  CHECK(static_cast<double>(Crossings_) <= MaxRefused * static_cast<double>(Calls_));
}
