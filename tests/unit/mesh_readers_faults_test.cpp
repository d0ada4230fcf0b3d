#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "mesh_readers_fixture.h"

using namespace bronzestand;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// Times of the reference deployment, and of the requirements where they are fixed.
struct MeshReadersFaultsFixture : MeshReadersFixture {
  static constexpr milliseconds::rep ApplyLimit = 3000;
  static constexpr std::size_t Count = 9;

  MeshReadersFaultsFixture() { ApplyTime_ = milliseconds(ApplyLimit); }
};

} // namespace

// Guards against changes that wait for a reader that stops, and against a reader that leaves
// without a word, so that the others notice only when they no longer hear it.
TEST_CASE_METHOD(MeshReadersFaultsFixture, "mesh_readers_first_one_stops_others_miss_no_change") {
  GracePeriod_ = 30s;
  startFleet(Count);
  REQUIRE(allFrom(2, SettleTime, follows));
  // An unfinished request keeps the node from ending before the checks.
  tcp::socket Caller(Io_);
  Caller.connect({boost::asio::ip::make_address(Hosts_[0]), CallerPort_});
  boost::asio::write(Caller, boost::asio::buffer("GET /x/ HTTP/1.1\r\n", 18));
  REQUIRE(runUntil([&] { return stateOf(Hosts_[0]).at("caller_server").at("connections") == 1; }));
  Nodes_[0]->shutdown();
  CHECK(runUntil([&] { return Store_.waitingWatches() == 1; }, SettleTime));
  const json Stopping = stateOf(Hosts_[0]);
  REQUIRE(Stopping.is_object());
  CHECK(Stopping.at("draining") == true);
  CHECK(stateOf(Hosts_[2]).at("fleet_state").at("store_reader").at("duty") == "second");
  CHECK(slowestChange(1, 1s) <= ApplyLimit);
  Caller.close();
  // The node ends in this time.
  CHECK(slowestChange(1, 4s) <= ApplyLimit);
  CHECK(runUntil([&] { return stateOf(Hosts_[0]).is_discarded(); }, SettleTime));
  CHECK(runUntil([&] { return readers() == 2; }, SettleTime));
  CHECK(allFrom(3, SettleTime, follows));
}

// Guards against changes that wait for readers whose store takes requests and answers none, which
// they notice only by a time limit. The silence begins after a response, the worst moment.
TEST_CASE_METHOD(MeshReadersFaultsFixture,
                 "mesh_readers_store_silent_to_readers_changes_arrive_in_time") {
  startFleet(Count);
  REQUIRE(allFrom(2, SettleTime, follows));
  const int Watches = Replica_.watches();
  REQUIRE(runUntil([&] { return Replica_.watches() > Watches; }, SettleTime));
  Replica_.setSilent(true);
  Replica_.silenceWatches();
  CHECK(slowestChange(2, 6s) <= ApplyLimit);
  CHECK(runUntil([&] { return Store_.waitingWatches() == 2; }, SettleTime));
  CHECK(allFrom(4, SettleTime, follows));
  CHECK(allHave(LastVersion_));
  Replica_.setSilent(false);
  CHECK(runUntil([&] { return Store_.waitingWatches() == 0 && readers() == 2; }, SettleTime));
  CHECK(slowestChange(0, 1s) <= ApplyLimit);
}

// Guards against followers that wait for readers whose links are open and silent, and against the
// messages that were under way, which arrive at the end of the cut and are old by then.
TEST_CASE_METHOD(MeshReadersFaultsFixture,
                 "mesh_readers_cut_off_from_followers_changes_arrive_in_time") {
  startFleet(Count, true);
  REQUIRE(allFrom(2, SettleTime, follows));
  const auto SetCut = [&](bool Cut) {
    for (const auto &Relay : Relays_)
      Relay->setCut(Cut);
  };
  SetCut(true);
  CHECK(slowestChange(0, 6s) <= ApplyLimit);
  CHECK(runUntil([&] { return Store_.waitingWatches() == 2; }, SettleTime));
  CHECK(runUntil([&] { return Replica_.waitingWatches() == 2; }, SettleTime));
  CHECK(allFrom(4, SettleTime, follows));
  SetCut(false);
  CHECK(slowestChange(0, 3s) <= ApplyLimit);
  CHECK(runUntil([&] { return Store_.waitingWatches() == 0 && readers() == 2; }, SettleTime));
  CHECK(allFrom(2, SettleTime, follows));
}

// Guards against followers without a reader because nodes of an earlier build are first in rank,
// and against reader messages that such a node does not know.
TEST_CASE_METHOD(MeshReadersFaultsFixture,
                 "mesh_readers_earlier_builds_first_others_are_followed") {
  EarlierCount_ = GENERATE(1U, 2U);
  const std::size_t FirstFollower = EarlierCount_ + 2;
  startFleet(Count);
  REQUIRE(allFrom(FirstFollower, SettleTime, follows));
  for (const auto &[Index, Duty] :
       {std::pair(EarlierCount_, "first"), std::pair(EarlierCount_ + 1, "second")})
    CHECK(stateOf(Hosts_[Index]).at("fleet_state").at("store_reader").at("duty") == Duty);
  Earlier_.front()->query(HostId(Hosts_.back()));
  CHECK(runUntil([&] { return Earlier_.front()->replies() > 0; }));
  const auto AreEarlierCurrent = [&] {
    return std::all_of(Earlier_.begin(), Earlier_.end(),
                       [&](const auto &Item) { return Item->version() == LastVersion_; });
  };
  // Longer than a host that does not answer counts as one that may not serve.
  CHECK(slowestChange(EarlierCount_, 6s) <= ApplyLimit);
  CHECK(runUntil(AreEarlierCurrent, milliseconds(ApplyLimit)));
  CHECK(runUntil([&] { return readers() == 2 + EarlierCount_; }, SettleTime));
  CHECK(allFrom(FirstFollower, SettleTime, follows));
  killReaders();
  CHECK(slowestChange(FirstFollower, 2s) <= ApplyLimit);
  CHECK(runUntil([&] { return readers() == 2 + EarlierCount_; }, SettleTime));
  CHECK(allFrom(FirstFollower + 2, SettleTime, follows));
  CHECK(runUntil(AreEarlierCurrent, milliseconds(ApplyLimit)));
  for (const auto &Item : Earlier_) {
    CHECK(Item->queries() > 0);
    CHECK(Item->unknown() == 0);
  }
}
