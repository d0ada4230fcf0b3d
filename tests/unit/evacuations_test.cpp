#include "bronzestand/evacuations.h"

#include <algorithm>
#include <map>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

constexpr Duration Time = 5s;
constexpr TimePoint Start{1000s};
const DataCentreId East("east");
const DataCentreId West("west");

bool isUnused(const Evacuations &Item, TimePoint Now, const DataCentreId &Name = East) {
  return Item.unused(Now).count(Name) != 0;
}

std::vector<Evacuations> makeNodes(std::size_t Count) {
  std::vector<Evacuations> Result;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Result.emplace_back(HostId("10.0.0." + std::to_string(Index)), Time);
  return Result;
}

std::size_t countUnused(const std::vector<Evacuations> &Nodes, TimePoint Now) {
  return static_cast<std::size_t>(std::count_if(
      Nodes.begin(), Nodes.end(), [&](const Evacuations &Item) { return isUnused(Item, Now); }));
}

} // namespace

// Guards against all load of a data centre that moves in one moment, in either direction, and
// against a node beside a server that refuses calls of entries that have not stopped yet.
TEST_CASE("evacuations_nodes_stop_and_resume_at_different_moments") {
  std::vector<Evacuations> Nodes = makeNodes(400);
  for (Evacuations &Item : Nodes)
    REQUIRE(Item.begin(Start, East, Start));
  for (TimePoint Now = Start; Now < Start + Time; Now += 250ms)
    CHECK(countUnused(Nodes, Now + 250ms) - countUnused(Nodes, Now) <= Nodes.size() / 3);
  CHECK(countUnused(Nodes, Start + Time / 2) == Nodes.size());
  for (TimePoint Now = Start; Now < Start + Time; Now += 10ms)
    if (Nodes.front().isClosed(Now, East))
      CHECK(countUnused(Nodes, Now) == Nodes.size());
  const TimePoint End = Start + 60s;
  for (Evacuations &Item : Nodes)
    REQUIRE(Item.end(End, East));
  CHECK(countUnused(Nodes, End) == Nodes.size());
  CHECK_FALSE(Nodes.front().isClosed(End, East));
  for (TimePoint Now = End; Now < End + Time; Now += 250ms)
    CHECK(countUnused(Nodes, Now) - countUnused(Nodes, Now + 250ms) <= Nodes.size() / 6);
  CHECK(countUnused(Nodes, End + Time) == 0);
}

// Guards against a request after the time although the change reached the node late, and against a
// node that starts during an evacuation and uses the data centre first.
TEST_CASE("evacuations_change_that_is_late_is_in_time") {
  for (const Duration Late : {0s, 1s, 2s, 3s})
    for (Evacuations &Item : makeNodes(50)) {
      REQUIRE(Item.begin(Start + Late, East, Start + Late));
      CHECK(isUnused(Item, Start + Time));
      CHECK(Item.isClosed(Start + Time - 200ms, East));
    }
  for (const Duration Late : {4s, 100s})
    for (Evacuations &Item : makeNodes(50)) {
      REQUIRE(Item.begin(Start + Late, East, Start));
      CHECK(isUnused(Item, Start + Late));
      CHECK(Item.isClosed(Start + Late, East));
    }
  for (Evacuations &Item : makeNodes(50)) {
    REQUIRE(Item.begin(Start, East, TimePoint::min()));
    CHECK(isUnused(Item, Start));
    CHECK(Item.isClosed(Start, East));
  }
}

// Guards against an evacuation that ended before this node had stopped and is carried out later.
TEST_CASE("evacuations_end_before_stop_keeps_data_centre_in_use") {
  Evacuations Item(HostId("10.0.0.1"), Time);
  REQUIRE(Item.begin(Start, East, Start));
  REQUIRE_FALSE(isUnused(Item, Start));
  REQUIRE(Item.end(Start, East));
  for (TimePoint Now = Start; Now < Start + 2 * Time; Now += 50ms)
    CHECK_FALSE(isUnused(Item, Now));
}

// Guards against calls to a data centre between two evacuations that follow within seconds.
TEST_CASE("evacuations_written_again_within_a_second_is_not_used_between") {
  Evacuations Item(HostId("10.0.0.1"), Time);
  REQUIRE(Item.begin(Start, East, Start));
  REQUIRE(Item.begin(Start, West, Start));
  REQUIRE_FALSE(Item.begin(Start + 1s, East, Start)); // another value of the same key
  const TimePoint End = Start + 30s;
  REQUIRE(Item.end(End, East));
  REQUIRE_FALSE(Item.end(End, East));
  for (TimePoint Now = End; Now < End + 400ms; Now += 50ms)
    CHECK(isUnused(Item, Now));
  REQUIRE(Item.begin(End + 400ms, East, End + 400ms));
  for (TimePoint Now = End + 400ms; Now < End + 2 * Time; Now += 50ms) {
    CHECK(isUnused(Item, Now));
    CHECK(isUnused(Item, Now, West));
  }
  CHECK(Item.isClosed(End + 400ms, East));
  CHECK(Item.listed() == std::set<DataCentreId>{East, West});
}

// Guards against a sequence of evacuations of several data centres after which one is used in spite
// of its key, or not used without one.
TEST_CASE("evacuations_property_use_follows_keys") {
  rc::prop("after the time, use follows the keys, and a listed data centre is never resumed", [] {
    Evacuations Item(HostId("10.0.0.7"), Time);
    std::map<DataCentreId, TimePoint> Keys; // when each was written
    std::map<DataCentreId, TimePoint> Removed;
    TimePoint Now = Start;
    for (const unsigned Step :
         *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 4U * 100U))) {
      Now += 25ms * (Step / 4);
      const DataCentreId &Name = Step % 2 == 0 ? East : West;
      const bool WasUnused = isUnused(Item, Now, Name);
      const bool Had = Keys.count(Name) != 0;
      if ((Step & 2U) != 0U) {
        RC_ASSERT(Item.begin(Now, Name, Now) != Had);
        Keys.emplace(Name, Now);
        RC_ASSERT(!WasUnused || isUnused(Item, Now, Name));
      } else {
        RC_ASSERT(Item.end(Now, Name) == Had);
        if (Keys.erase(Name) != 0)
          Removed[Name] = Now;
        RC_ASSERT(!Item.isClosed(Now, Name));
      }
      Item.expire(Now);
      for (const DataCentreId &Each : {East, West}) {
        const auto Key = Keys.find(Each);
        RC_ASSERT(Item.isListed(Each) == (Key != Keys.end()));
        if (Key != Keys.end() && Now - Key->second >= Time / 2)
          RC_ASSERT(isUnused(Item, Now, Each) && Item.isClosed(Now, Each));
        if (Key == Keys.end() && Now - Removed[Each] >= Time)
          RC_ASSERT(!isUnused(Item, Now, Each));
        // Entries have stopped when the nodes beside the servers refuse.
        RC_ASSERT(!Item.isClosed(Now, Each) || isUnused(Item, Now, Each));
      }
    }
  });
}
