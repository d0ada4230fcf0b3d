#include "placement_fixture.h"

using namespace bronzestand;

// Guards against entry nodes that know little and all send their calls to the same server.
TEST_CASE_METHOD(PlacementFixture, "placement_many_entries_with_few_calls_spread_their_calls") {
  const std::size_t Count = GENERATE(16, 48, 96);
  addEntries(Count);
  run(RunTime);
  INFO(Count << " entries, busiest against mean " << busiestAgainstMean());
  CHECK(busiestAgainstMean() <= 2.0);
  CHECK(waitOf99InHundred() <= MeanServiceTime / 10);
}

// Guards against each entry finding out alone that a server fails, or that it is slow.
TEST_CASE_METHOD(PlacementFixture, "placement_few_failing_servers_get_few_calls") {
  const std::size_t Count = GENERATE(48, 96);
  addEntries(Count);
  run(10s);
  const std::size_t Before = Calls_;
  Servers_[3].Failing_ = Servers_[12].Failing_ = true;
  Servers_[21].Slow_ = Servers_[30].Slow_ = true;
  run(10s);
  const double Spent = static_cast<double>(FailedCalls_) / static_cast<double>(Calls_ - Before);
  INFO(Count << " entries, spent on failing servers " << Spent);
  // A fifth of what they would get among equals.
  CHECK(Spent <= 0.2 * 2.0 / Servers);
  CHECK(waitOf99InHundred() <= MeanServiceTime / 2);
}

// Guards against a server that joins and is not used, or gets all calls of all entries at once.
TEST_CASE_METHOD(PlacementFixture, "placement_server_that_joins_gets_its_share") {
  addEntries(96);
  run(10s);
  addServer();
  for (const auto &Entry : Entries_)
    Entry->update(Now_, Directory_);
  const std::size_t Before = Calls_;
  run(10s);
  const double Share = static_cast<double>(Servers_.back().Calls_) /
                       static_cast<double>(Calls_ - Before) * static_cast<double>(Servers_.size());
  INFO("calls against mean " << Share);
  CHECK(Share >= 0.3);
  CHECK(Share <= 2.0);
}
