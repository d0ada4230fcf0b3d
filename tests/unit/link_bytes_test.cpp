#include "mesh_backend_fixture.h"

using namespace bronzestand;

namespace {

/// Servers 0 and 1 are in the data centre "z" of the region "r", servers 2 and 3 in "far" of "q".
struct LinkBytesFixture : MeshBackendFixture {
  LinkBytesFixture() : MeshBackendFixture(2) {}

  std::uint64_t bytes(std::size_t Index, const std::string &Way, const std::string &Kind,
                      const std::string &Distance, const std::string &Value = "bytes") {
    const json::json_pointer Path("/peer_links/bytes_by_distance/" + Way + "/" + Kind + "/" +
                                  Distance + "/" + Value);
    const json State = stateOf(hostOf(Index));
    return State.contains(Path) ? State.at(Path).get<std::uint64_t>() : 0;
  }
  std::uint64_t bytes(const std::string &Way, const std::string &Kind, const std::string &Distance,
                      const std::string &Value = "bytes") {
    std::uint64_t Sum = 0;
    for (std::size_t Index = 0; Index < ServerCount; ++Index)
      Sum += bytes(Index, Way, Kind, Distance, Value);
    return Sum;
  }
};

} // namespace

// Guards against bytes that are counted under a wrong kind or distance, and against the bytes of
// repeats that are taken for those of first attempts.
TEST_CASE_METHOD(LinkBytesFixture, "link_bytes_calls_are_counted_by_kind_and_distance") {
  for (const std::size_t Index : {std::size_t{2}, std::size_t{3}})
    Store_.remove("servers/" + Backends_[Index]->id());
  wait(std::chrono::milliseconds(500));
  for (int Number = 0; Number < 30; ++Number)
    CHECK(call(0, "/safe/" + std::to_string(Number))->status() == 200);
  CHECK(bytes(0, "sent", "call", "same_data_centre") > 0);
  CHECK(bytes(0, "received", "answer", "same_data_centre") > 0);
  CHECK(bytes(0, "sent", "call", "other_region") == 0);
  CHECK(bytes(0, "sent", "repeat", "same_data_centre") == 0);
  CHECK(bytes("sent", "call", "same_data_centre") == bytes("received", "call", "same_data_centre"));
  CHECK(bytes("sent", "control", "same_data_centre") > 0);
  CHECK(call(2, "/safe/far")->status() == 200);
  CHECK(bytes(2, "sent", "call", "other_region") > 0);
  CHECK(bytes(2, "sent", "call", "same_data_centre") == 0);
  // First attempts that earn a repeat. Server 0 counts as one that makes calls, because its node
  // has got requests without a team, so a call to it may not be repeated otherwise.
  constexpr std::size_t EarlierCount = 160;
  std::vector<ReplyPtr> Earlier;
  Earlier.reserve(EarlierCount);
  for (std::size_t Number = 0; Number < EarlierCount; ++Number)
    Earlier.push_back(sendTo(2, "/safe/earlier" + std::to_string(Number)));
  REQUIRE(runUntil([&] {
    return std::all_of(Earlier.begin(), Earlier.end(),
                       [](const ReplyPtr &Item) { return Item->Ended_; });
  }));
  CHECK(bytes(2, "sent", "repeat", "other_region") == 0);
  // A server that the store does not list rejects what is meant for the one before it.
  Backends_[0]->replaceUnlisted();
  Backends_[1]->replaceUnlisted();
  CHECK(call(2, "/safe/again")->status() != 200);
  CHECK(bytes(2, "sent", "repeat", "other_region") > 0);
}
