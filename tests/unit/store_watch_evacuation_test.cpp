#include "store_fixture.h"

using namespace bronzestand;
using namespace bronzestand::platform;

namespace {

using Names = std::set<DataCentreId>;

const DataCentreId Own("z");
const DataCentreId Far("far");
const DataCentreId Farther("farther");

/// The use of the own data centre as the fleet state reports it.
struct EvacuationFixture : StoreFixture {
  std::vector<bool> Reports_;

  EvacuationFixture() {
    Fleet_->onOwnEvacuation([this](bool Closed) { Reports_.push_back(Closed); });
  }
  void evacuate(const std::string &Name) { Store_.put("op/evacuate/" + Name, "x"); }
  void end(const std::string &Name) { Store_.remove("op/evacuate/" + Name); }
  /// Tells whether exactly these data centres are unused at some time within the limit.
  bool isUnused(const Names &Expected, milliseconds Limit = EvacuateTime) {
    return runUntil(
        [&] {
          Fleet_->tick(node::now());
          return Fleet_->evacuated(node::now()) == Expected;
        },
        Limit);
  }
};

} // namespace

// Guards against an evacuation that is not carried out or not ended, and against nodes that do not
// notice that they lack one because it has no place in the position.
TEST_CASE_METHOD(EvacuationFixture, "store_watch_evacuation_begins_and_ends_with_its_key") {
  startWatch();
  CHECK(Fleet_->evacuations().empty());
  evacuate("z");
  CHECK(isUnused({Own}));
  CHECK(runUntil([&] { return Fleet_->isClosed(node::now()); }, EvacuateTime));
  Fleet_->tick(node::now());
  CHECK(Reports_ == std::vector<bool>{true});
  CHECK(Fleet_->position() == StorePosition{Store_.era(), Store_.revision()});
  end("z");
  CHECK(runUntil([&] { return Reports_ == std::vector<bool>{true, false}; }, ApplyTime));
  CHECK_FALSE(Fleet_->isClosed(node::now()));
  CHECK(isUnused({}, 2 * EvacuateTime));
  CHECK(Fleet_->position() == StorePosition{Store_.era(), Store_.revision()});
}

// Guards against an evacuation that is not seen because of the value of its key.
TEST_CASE_METHOD(EvacuationFixture, "store_watch_evacuation_with_any_value_begins") {
  startWatch();
  Store_.putUnreadable("op/evacuate/far");
  Store_.put("op/evacuate/farther", "");
  CHECK(isUnused({Far, Farther}));
}

// Guards against a key with a wrong name that ends the process, the listing or another evacuation.
TEST_CASE_METHOD(EvacuationFixture, "store_watch_evacuation_of_unknown_name_changes_nothing") {
  evacuate("nowhere");
  evacuate("far");
  startWatch();
  CHECK(Fleet_->evacuations() == Names{Far});
  evacuate("");
  evacuate("z/");
  end("nowhere");
  evacuate("farther");
  CHECK(runUntil([&] { return Fleet_->evacuations() == Names{Far, Farther}; }));
  CHECK(decodeEvacuation("op/evacuate/z", Config_.Mesh_->Regions_).ok());
  const auto Refused = decodeEvacuation("op/evacuate/nowhere", Config_.Mesh_->Regions_);
  REQUIRE_FALSE(Refused.ok());
  CHECK(Refused.status().message().find("op/evacuate/nowhere") != std::string::npos);
}

// Guards against a node that starts during an evacuation and first uses the data centre.
TEST_CASE_METHOD(EvacuationFixture, "store_watch_evacuation_found_at_start_holds_at_once") {
  evacuate("z");
  evacuate("far");
  startWatch();
  CHECK(Fleet_->evacuated(node::now()) == Names{Own, Far});
  CHECK(Fleet_->isClosed(node::now()));
}

// Guards against an evacuation that a listing does not end, or of which it does not tell.
TEST_CASE_METHOD(EvacuationFixture, "store_watch_evacuations_are_replaced_by_listing") {
  evacuate("far");
  startWatch();
  Store_.holdWatches();
  Store_.drop("op/evacuate/far");
  evacuate("z");
  evacuate("farther");
  Store_.setPageItems(1);
  Store_.forgetHistory();
  CHECK(runUntil([&] { return Fleet_->evacuations() == Names{Own, Farther}; }, ApplyTime));
}

// Guards against calls to a data centre between two evacuations, in one batch or in two.
TEST_CASE_METHOD(EvacuationFixture, "store_watch_evacuation_written_again_is_not_used_between") {
  evacuate("z");
  startWatch();
  for (const milliseconds Pause : {milliseconds(0), milliseconds(400)}) {
    end("z");
    if (Pause.count() != 0)
      REQUIRE(runUntil([&] { return Fleet_->evacuations().empty(); }, ApplyTime));
    evacuate("z");
    const Revision Last = Store_.revision();
    CHECK(runUntil([&] {
      CHECK(Fleet_->evacuated(node::now()) == Names{Own});
      return Fleet_->position().Revision_ == Last;
    }));
    runUntil(
        [&] {
          CHECK(Fleet_->evacuated(node::now()) == Names{Own});
          return false;
        },
        EvacuateTime);
    CHECK(Fleet_->isClosed(node::now()));
  }
}

// Guards against an evacuation of before a restore that holds although the list lacks it, and one
// of the restored list that does not hold.
TEST_CASE_METHOD(EvacuationFixture, "store_watch_evacuations_of_restored_store_count") {
  evacuate("far");
  startWatch();
  const auto Copy = Store_.copy();
  end("far");
  evacuate("z");
  REQUIRE(isUnused({Own}, 2 * EvacuateTime));
  Store_.restore(Copy);
  putServer("i-3", "ready");
  CHECK(isUnused({Far}, ApplyTime + 2 * EvacuateTime));
}

// Guards against use of a data centre by a node that the store does not answer, although its peers
// know of the evacuation, and against an evacuation that ended meanwhile.
TEST_CASE_METHOD(EvacuationFixture, "store_watch_evacuation_during_outage_is_taken_from_peers") {
  startWatch();
  Store_.setSilent(true);
  Store_.failWatches(503);
  REQUIRE(runUntil([&] { return Fleet_->needsPeers(node::now()); }));
  runFor(EvacuateTime);
  evacuate("far");
  const StorePosition Written{Store_.era(), Store_.revision()};
  Fleet_->adopt(serversLikeFirst({"i-1"}), {}, Written, {Far});
  CHECK(Fleet_->evacuated(node::now()) == Names{Far});
  end("far");
  evacuate("farther");
  Fleet_->adopt(serversLikeFirst({"i-1"}), {}, {Store_.era(), Store_.revision()}, {Farther});
  CHECK(Fleet_->evacuations() == Names{Farther});
  Fleet_->adopt(serversLikeFirst({"i-1"}), {}, Written, {Far}); // a peer that is behind
  CHECK(Fleet_->evacuations() == Names{Farther});
  end("farther");
  Store_.setSilent(false);
  CHECK(runUntil([&] { return Fleet_->evacuations().empty(); }));
}
