#include "mesh_backend_fixture.h"

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

/// Node 0 is restarted with a grace period and then stopped.
struct MeshStopFixture : MeshBackendFixture {
  std::chrono::steady_clock::time_point Stopped_;

  void restart(Duration GracePeriod) {
    GracePeriod_ = GracePeriod;
    restartNode(0, hostOf(0));
    REQUIRE(runUntil([&] { return statusOf(hostOf(0), "/other/") == 404; }));
  }
  void stopNode() {
    Stopped_ = std::chrono::steady_clock::now();
    Nodes_[0]->shutdown();
  }
  /// Runs the event loop until a time after the node was told to stop.
  void waitUntil(milliseconds Time) {
    runUntil([&] { return std::chrono::steady_clock::now() - Stopped_ >= Time; }, 2 * Time);
  }
};

} // namespace

// Guards against a request that is taken late in the grace period, passed on, and cut at its end.
// The platform excuses a cut only for requests sent within 3 s of the signal.
TEST_CASE_METHOD(MeshStopFixture, "mesh_stop_request_that_may_outlast_grace_is_not_passed_on") {
  for (const auto &Server : Backends_)
    Server->ServeTime_ = 10s;
  restart(8s);
  const ReplyPtr Earlier = sendTo(0, "/safe/earlier", "", 20s); // keeps the node from ending
  wait(100ms);
  stopNode();
  waitUntil(3200ms);
  const ReplyPtr Late = sendTo(0, "/once/late", "b", 20s);
  CHECK(runUntil([&] { return Late->Ended_; }, 500ms));
  CHECK(Late->status() == 503);
  CHECK(runsOf("/once/late") == 0);
}

// Guards against a request that can end within the grace period and is refused.
TEST_CASE_METHOD(MeshStopFixture, "mesh_stop_request_with_early_deadline_is_served") {
  for (const auto &Server : Backends_)
    Server->ServeTime_ = 3500ms;
  restart(8s);
  const ReplyPtr Earlier = sendTo(0, "/safe/earlier", "", 20s);
  wait(100ms);
  for (const auto &Server : Backends_)
    Server->ServeTime_ = 30ms;
  stopNode();
  waitUntil(3200ms);
  CHECK(call(0, "/safe/late")->status() == 200);
  REQUIRE(runUntil([&] { return Earlier->Ended_; }));
  CHECK(Earlier->status() == 200);
}
