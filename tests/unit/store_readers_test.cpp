#include <catch2/catch.hpp>

#include "readers_simulation.h"

using namespace bronzestand;
using namespace bronzestand::testing;
using std::chrono::seconds;

namespace {

using Faults = ReadersSimulation::Faults;

/// Time from the acknowledgement of a change until every node has it.
constexpr Duration Bound = ReadersSimulation::ApplyTime;
/// After a disturbance the number of readers is two again within this time.
constexpr Duration SettleTime = seconds(6);

/// A disturbance of the nodes that read, as a table of cases.
struct Disturbance {
  const char *Name_;
  void (*Change_)(Faults &);
  bool Calls_ = false; ///< only positions in calls reveal it
};
const Disturbance Disturbances[] = {
    {"killed", [](Faults &Item) { Item.Dead_ = true; }},
    {"frozen", [](Faults &Item) { Item.Frozen_ = true; }},
    {"cut off from the others", [](Faults &Item) { Item.Group_ = 1; }},
    {"not answered by the store", [](Faults &Item) { Item.StoreSilent_ = true; }},
    {"refused by the store", [](Faults &Item) { Item.StoreRefuses_ = true; }},
    {"given an old state by the store", [](Faults &Item) { Item.StoreStale_ = true; }, true},
};

/// Writes a change and checks that it arrives in time.
void checkChange(ReadersSimulation &Fleet) {
  const TimePoint Start = Fleet.network().now();
  const StorePosition Change = Fleet.change();
  Fleet.run(Bound);
  CHECK(Fleet.lacking(Change, Start) == 0);
}

} // namespace

// Guards against a fleet in which more nodes than two read, and against a start that asks the store
// for more than its first listing and two watches a node.
TEST_CASE("store_readers_calm_data_centre_has_two_readers") {
  for (const std::size_t Count : {7U, 24U, 98U}) {
    ReadersSimulation Fleet(Count, Count);
    Fleet.run(seconds(5));
    INFO(Count << " nodes");
    CHECK(Fleet.readers().size() == 2);
    CHECK(Fleet.readers(true).empty());
    CHECK(Fleet.calls() <= 2 * Count + 15);
    const std::uint64_t Before = Fleet.calls();
    Fleet.run(seconds(60));
    CHECK(Fleet.calls() - Before <= 62);
    checkChange(Fleet);
  }
  ReadersSimulation Small(6, 1);
  Small.run(seconds(5));
  CHECK(Small.readers().size() == 6);
}

// Guards against a change that waits for readers that no longer work, at any time between two of
// their watches, and against followers that go on reading.
TEST_CASE("store_readers_all_readers_disturbed_at_once_changes_arrive_in_time") {
  for (const Disturbance &Case : Disturbances)
    for (std::uint64_t Seed = 1; Seed <= seeds(40); ++Seed) {
      ReadersSimulation Fleet(24, Seed);
      Fleet.Calls_ = Case.Calls_;
      Fleet.run(seconds(5) + milliseconds(Fleet.network().randomBelow(3000)));
      const std::vector<std::size_t> Readers = Fleet.readers();
      for (const std::size_t Index : Readers)
        Fleet.disturb(Index, Case.Change_);
      INFO("readers are " << Case.Name_ << ", seed " << Seed);
      if (Seed % 2 == 0) // else the change is written in the moment of the disturbance
        Fleet.run(milliseconds(Fleet.network().randomBelow(3000)));
      checkChange(Fleet);
      Fleet.run(SettleTime);
      checkChange(Fleet);
      CHECK(Fleet.readers(true).empty());
      for (const std::size_t Index : Readers)
        Fleet.disturb(Index, [](Faults &Item) { Item = Faults(); });
      checkChange(Fleet);
      Fleet.run(SettleTime);
      CHECK(Fleet.readers().size() == 2);
      CHECK(Fleet.Backwards_ == 0);
    }
}

// Guards against nodes that the store does not serve and that their readers leave behind.
TEST_CASE("store_readers_nodes_without_store_follow_readers") {
  ReadersSimulation Fleet(24, 3);
  Fleet.run(seconds(5));
  const std::vector<std::size_t> Readers = Fleet.readers();
  for (std::size_t Index = 0; Index < Fleet.size(); Index += 2)
    Fleet.disturb(Index, [](Faults &Item) { Item.StoreRefuses_ = true; });
  Fleet.run(seconds(4));
  const StorePosition Change = Fleet.change();
  Fleet.run(Bound);
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    CHECK(Fleet.at(Index).Known_ == Change);
}

// Guards against a node that stops and on which the others rely until they miss it.
TEST_CASE("store_readers_stopping_reader_is_replaced_at_once") {
  ReadersSimulation Fleet(24, 4);
  Fleet.run(seconds(15)); // no node remembers the start, in which others were asked
  const std::size_t Reader = Fleet.readers().front();
  Fleet.at(Reader).Readers_->stop();
  Fleet.run(milliseconds(600));
  const std::vector<std::size_t> Readers = Fleet.readers();
  CHECK(Readers.size() == 2);
  CHECK(std::count(Readers.begin(), Readers.end(), Reader) == 0);
  CHECK(Fleet.readers(true).empty());
}

// Guards against a follower that goes back to the history before a restore of the store.
TEST_CASE("store_readers_restored_store_is_followed_in_new_era") {
  for (std::uint64_t Seed = 1; Seed <= seeds(20); ++Seed) {
    ReadersSimulation Fleet(24, Seed);
    Fleet.run(seconds(5));
    const std::size_t Frozen = Fleet.readers().front();
    Fleet.disturb(Frozen, [](Faults &Item) { Item.Frozen_ = true; });
    Fleet.restore();
    checkChange(Fleet);
    Fleet.disturb(Frozen, [](Faults &Item) { Item.Frozen_ = false; });
    checkChange(Fleet);
    CHECK(Fleet.Backwards_ == 0);
  }
}

// Guards against a combination of disturbances that none of the other tests plays.
TEST_CASE("store_readers_random_disturbances_changes_arrive_in_time") {
  for (std::uint64_t Seed = 1; Seed <= seeds(30); ++Seed) {
    ReadersSimulation Fleet(7 + Seed * 3, Seed);
    Fleet.Calls_ = true;
    Fleet.network().Jitter_ = milliseconds(5);
    Fleet.run(seconds(4));
    INFO("seed " << Seed << ", " << Fleet.size() << " nodes");
    for (int Step = 0; Step < 30; ++Step) {
      const auto &Case = Disturbances[Fleet.network().randomBelow(std::size(Disturbances))];
      const std::uint64_t Share = 1 + Fleet.network().randomBelow(4);
      for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
        if (Fleet.network().randomBelow(4) < Share)
          Fleet.disturb(Index, [&](Faults &Item) {
            const Faults Before = std::exchange(Item, Faults());
            if (Before.Group_ == 0 && Fleet.network().chance(0.5))
              Case.Change_(Item);
          });
      Fleet.run(milliseconds(Fleet.network().randomBelow(2500)));
      checkChange(Fleet);
    }
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
      Fleet.disturb(Index, [](Faults &Item) { Item = Faults(); });
    Fleet.run(2 * SettleTime);
    CHECK(Fleet.readers().size() == 2);
    CHECK(Fleet.Backwards_ == 0);
  }
}

// Guards against notices that a slow link delivers late, so that their ages say nothing.
TEST_CASE("store_readers_late_notices_do_not_confirm") {
  std::vector<HostId> Hosts;
  for (int Index = 1; Index <= 7; ++Index)
    Hosts.emplace_back("10.0.0." + std::to_string(Index));
  const HostId Self("10.0.0.200"); // not listed, so it follows
  StoreReaders Readers(Self, ReadersSimulation::ApplyTime);
  Readers.setHosts(Hosts);
  TimePoint Now{seconds(1000)};
  const std::vector<ReaderMessage> First = Readers.tick(Now, {});
  REQUIRE(First.size() == 2);
  const HostId Reader = First.front().To_;
  ReaderNotice Notice;
  Notice.Echo_ = std::get<ReaderFollow>(First.front().Body_).Sequence_;
  CHECK(Readers.handle(Now, Reader, Notice, {}));
  CHECK(Readers.duty(Now) == ReadDuty::None);
  for (int Step = 0; Step < 24; ++Step) {
    Now += milliseconds(100);
    Readers.tick(Now, {});
    Readers.handle(Now, Reader, Notice, {});
  }
  CHECK_FALSE(Readers.isServing(Now, Reader));
  CHECK(Readers.duty(Now) == ReadDuty::Cover);
}
