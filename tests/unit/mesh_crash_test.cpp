#include "mesh_backend_fixture.h"

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

/// Servers that a request may crash before it is kept from running (design section 9).
constexpr int MaxCrashes = 2;

struct MeshCrashFixture : MeshBackendFixture {
  /// Sends a request to each node in turn, each time when all servers are up again.
  std::vector<unsigned> resend(const std::string &Target, std::size_t Times,
                               const std::string &Body = "") {
    std::vector<unsigned> Statuses;
    for (std::size_t Number = 0; Number < Times; ++Number) {
      REQUIRE(allUp());
      wait(100ms);
      Statuses.push_back(call(Number, Target, Body)->status());
    }
    return Statuses;
  }
};

} // namespace

// Guards against a request that is sent to server after server although each one ends while it
// runs it.
TEST_CASE_METHOD(MeshCrashFixture, "mesh_crash_request_resent_to_all_nodes_stops_running") {
  const bool Idempotent = GENERATE(true, false);
  INFO(Idempotent);
  const std::string Target = Idempotent ? "/safe/poison" : "/once/poison";
  resend(Target, 8, "b");
  CHECK(crashes() <= MaxCrashes);
  CHECK(call(1, Target, "b")->status() == 503);
  CHECK(call(1, Target, "b")->header("Bronzestand-Refusal") == "quarantined");
}

// Guards against the same while the platform's store answers no node.
TEST_CASE_METHOD(MeshCrashFixture, "mesh_crash_request_without_store_stops_running") {
  call(0, "/safe/1");
  Store_.setSilent(true);
  Store_.silenceWatches();
  for (std::size_t Number = 0; Number < 6; ++Number) {
    call(Number, "/safe/poison");
    wait(50ms);
  }
  CHECK(crashes() <= MaxCrashes);
}

// Guards against requests that are kept from running because they ran beside one that crashed the
// server.
TEST_CASE_METHOD(MeshCrashFixture, "mesh_crash_other_requests_are_served_after_it") {
  std::vector<ReplyPtr> Others;
  for (std::size_t Number = 0; Number < 40; ++Number)
    Others.push_back(sendTo(Number, "/safe/" + std::to_string(Number)));
  const ReplyPtr Poison = sendTo(0, "/safe/poison");
  REQUIRE(runUntil([&] { return Poison->Ended_; }));
  resend("/safe/poison", 4);
  CHECK(crashes() <= MaxCrashes);
  REQUIRE(allUp());
  wait(100ms);
  for (std::size_t Number = 0; Number < 40; ++Number)
    CHECK(call(Number, "/safe/" + std::to_string(Number))->status() == 200);
}

// Guards against a restarted node that sends a request again of which the other nodes know that it
// crashes servers.
TEST_CASE_METHOD(MeshCrashFixture, "mesh_crash_known_request_does_not_run_at_restarted_node") {
  resend("/safe/poison", 4);
  REQUIRE(allUp());
  const int Before = crashes();
  for (std::size_t Index = 0; Index < ServerCount; ++Index) {
    restartNode(Index, hostOf(Index));
    REQUIRE(runUntil([&] { return statusOf(hostOf(Index), "/other/") == 404; }));
    wait(300ms);
  }
  for (std::size_t Number = 0; Number < ServerCount; ++Number) {
    CHECK(call(Number, "/safe/poison")->status() == 503);
    CHECK(call(Number, "/safe/" + std::to_string(Number))->status() == 200);
  }
  CHECK(crashes() == Before);
}

// Guards against a frequent request that is kept from running because it stands at the crash of
// every server that ends by itself.
TEST_CASE_METHOD(MeshCrashFixture, "mesh_crash_frequent_request_survives_crashes_of_servers") {
  for (std::size_t Round = 0; Round < 6; ++Round) {
    std::vector<ReplyPtr> Running;
    for (std::size_t Number = 0; Number < 16; ++Number)
      Running.push_back(sendTo(Number, "/safe/same"));
    wait(15ms);
    Backends_[Round % ServerCount]->crash();
    wait(60ms);
    Backends_[(Round + 1) % ServerCount]->crash();
    REQUIRE(allUp());
    wait(100ms);
  }
  for (std::size_t Number = 0; Number < ServerCount; ++Number)
    CHECK(call(Number, "/safe/same")->status() == 200);
}
