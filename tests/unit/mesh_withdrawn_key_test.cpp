#include "mesh_backend_fixture.h"

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

struct WithdrawnKeyFixture : MeshBackendFixture {
  bool isInForce(std::uint64_t Version) {
    return runUntil([&] {
      for (std::size_t Index = 0; Index < ServerCount; ++Index)
        if (versionOf(hostOf(Index)) != Version)
          return false;
      return true;
    });
  }
  /// Stores a configuration in which the team of the caller has these keys.
  void putKeys(std::uint64_t Version, const json &Keys) {
    Store_.put(
        "op/config",
        json{{"Version", Version},
             {"Routes",
              {{"Columns", {"Name", "Host", "Prefix", "Kind", "Service", "MaxAttempts"}},
               {"Rows", json::array({{"/safe/", "a.example", "/safe/", "safe", "s", 3}})}}},
             {"Tenants", {{"Columns", {"Name", "ApiKeys"}}, {"Rows", json::array({{"t", Keys}})}}}}
            .dump());
    REQUIRE(isInForce(Version));
  }
  /// Sends first attempts that earn retries at a node.
  void earnRetries() {
    REQUIRE(runUntil([&] { return call(0, "/safe/first")->status() == 200; }));
    constexpr int Count = 200;
    std::vector<ReplyPtr> Earlier;
    Earlier.reserve(Count);
    for (int Number = 0; Number < Count; ++Number)
      Earlier.push_back(sendTo(0, "/safe/" + std::to_string(Number)));
    REQUIRE(runUntil([&] {
      return std::all_of(Earlier.begin(), Earlier.end(),
                         [](const ReplyPtr &Item) { return Item->Ended_; });
    }));
  }
};

} // namespace

// Guards against a request that runs again, seconds after its key was withdrawn, because its first
// server fails then.
TEST_CASE_METHOD(WithdrawnKeyFixture, "mesh_withdrawn_key_request_is_not_retried") {
  const bool Withdrawn = GENERATE(true, false);
  INFO(Withdrawn);
  putKeys(4, {"key"});
  earnRetries();
  for (const auto &Server : Backends_)
    Server->ServeTime_ = 8s;
  const ReplyPtr Reply = sendTo(0, "/safe/late", "", 20s);
  REQUIRE(runUntil([&] { return runsOf("/safe/late") == 1; }));
  putKeys(5, Withdrawn ? json::array({"other"}) : json::array({"key", "other"}));
  for (const auto &Server : Backends_)
    Server->ServeTime_ = 1ms;
  for (const auto &Server : Backends_)
    if (Server->runsOf("/safe/late") != 0)
      Server->crash();
  REQUIRE(runUntil([&] { return Reply->Ended_; }));
  CHECK(runsOf("/safe/late") == (Withdrawn ? 1 : 2));
  CHECK(Reply->status() == (Withdrawn ? 502 : 200));
}
