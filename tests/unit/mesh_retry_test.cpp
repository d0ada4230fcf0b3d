#include "mesh_backend_fixture.h"

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

/// All servers have been replaced at their addresses, and the store has not told yet.
struct MeshReplacedFixture : MeshBackendFixture {
  MeshReplacedFixture() {
    for (const auto &Server : Backends_)
      Server->replaceUnlisted();
  }

  std::size_t arrivals() const {
    return std::accumulate(
        Backends_.begin(), Backends_.end(), std::size_t{0},
        [](std::size_t Sum, const auto &Item) { return Sum + Item->arrivals().size(); });
  }
};

} // namespace

// Guards against requests that are sent again without limit after servers have answered that they
// are others than the named ones: each arrival counts for the retry budget.
TEST_CASE_METHOD(MeshReplacedFixture, "mesh_retry_after_421_is_within_retry_budget") {
  constexpr std::size_t Requests = 40;
  const node::MeshSettings Budget;
  std::vector<ReplyPtr> Replies;
  for (std::size_t Number = 0; Number < Requests; ++Number)
    Replies.push_back(sendTo(Number, "/safe/" + std::to_string(Number)));
  REQUIRE(runUntil([&] {
    return std::all_of(Replies.begin(), Replies.end(),
                       [](const ReplyPtr &Item) { return Item->Ended_; });
  }));
  for (const ReplyPtr &Item : Replies)
    CHECK(Item->status() == 503);
  CHECK(static_cast<double>(arrivals()) <=
        (1.0 + Budget.RetryRatio_) * Requests + Budget.RetryAllowance_);
}

// Guards against calls to a server of which the node beside it has just learned that it is gone.
TEST_CASE_METHOD(MeshReplacedFixture,
                 "mesh_gate_server_replaced_at_address_gets_no_further_calls") {
  for (std::size_t Number = 0; Number < 20; ++Number)
    call(Number, "/once/" + std::to_string(Number), "b");
  for (const auto &Server : Backends_)
    CHECK(Server->arrivals().size() <= 2); // a single 421 may be a copy of another answer
}

// Guards against a request that is not sent to another server although the first one says that it
// did not run it.
TEST_CASE_METHOD(MeshBackendFixture, "mesh_retry_after_421_reaches_another_server") {
  // First attempts that earn one retry at the node.
  std::vector<ReplyPtr> Earlier;
  for (std::size_t Number = 0; Number < 160; ++Number)
    Earlier.push_back(sendTo(0, "/safe/" + std::to_string(Number)));
  REQUIRE(runUntil([&] {
    return std::all_of(Earlier.begin(), Earlier.end(),
                       [](const ReplyPtr &Item) { return Item->Ended_; });
  }));
  // Only one server is replaced, because a second one may use up the retry. The server of one call
  // usually gets the next one too.
  REQUIRE(call(0, "/safe/probe")->status() == 200);
  const auto Server = std::find_if(Backends_.begin(), Backends_.end(), [](const auto &Item) {
    return Item->runsOf("/safe/probe") == 1;
  });
  REQUIRE(Server != Backends_.end());
  (*Server)->replaceUnlisted();
  const auto Rejected = [&] { return (*Server)->arrivals().back().Rejected_; };
  constexpr std::size_t MaxRequests = 40;
  for (std::size_t Number = 0; Number < MaxRequests && !Rejected(); ++Number) {
    const std::string Target = "/once/" + std::to_string(Number);
    CHECK(call(0, Target, "b")->status() == 200);
    CHECK(runsOf(Target) == 1);
  }
  CHECK(Rejected());
}
