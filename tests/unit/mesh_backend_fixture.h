#ifndef BRONZESTAND_TESTS_MESH_BACKEND_FIXTURE_H
#define BRONZESTAND_TESTS_MESH_BACKEND_FIXTURE_H

#include <numeric>

#include "mesh_fixture.h"
#include "standins/mesh_backend.h"

namespace bronzestand {

/// Four nodes in one process, each beside a backend server of the same service. Requests to
/// "/safe/" and "/open/" may be repeated, those to "/once/" may not. The route "/open/" never needs
/// a key.
struct MeshBackendFixture : MeshFixture {
  static constexpr std::size_t ServerCount = 4;

  /// What a caller got; status 0 if there is no answer yet, or none at all.
  struct Reply {
    bool Ended_ = false;
    milliseconds Time_{}; ///< from sending to the answer
    node::HttpResponse Response_;

    unsigned status() const { return Ended_ ? Response_.Status_ : 0; }
    std::string header(std::string_view Name) const {
      return node::findHeader(Response_.Headers_, Name).value_or("");
    }
  };
  using ReplyPtr = std::shared_ptr<Reply>;

  std::vector<std::unique_ptr<standin::MeshBackend>> Backends_;

  /// \param Near servers in the data centre "z" of the region "r"; the others are in "far" of "q".
  /// \param Cold as Cold_.
  explicit MeshBackendFixture(std::size_t Near = ServerCount,
                              std::optional<std::pair<double, double>> Cold = std::nullopt) {
    Cold_ = Cold;
    putConfigWithRetries(3);
    for (std::size_t Index = 0; Index < ServerCount; ++Index) {
      Backends_.push_back(std::make_unique<standin::MeshBackend>(
          Io_, node::Endpoint{hostOf(Index), BackendPort_}, Store_));
      if (Index >= Near)
        DataCentres_[hostOf(Index)] = Backends_.back()->Zone_ = "far";
      REQUIRE(Backends_.back()->start());
    }
    for (std::size_t Index = 0; Index < ServerCount; ++Index)
      startNode(hostOf(Index));
    for (std::size_t Index = 0; Index < ServerCount; ++Index)
      REQUIRE(runUntil([&] { return statusOf(hostOf(Index), "/other/") == 404; }));
  }
  static std::string hostOf(std::size_t Index) {
    return "127.0.0." + std::to_string(2 + Index % ServerCount);
  }

  /// Stores a configuration whose requests may reach three servers.
  /// \param Open whether its routes need no key; the caller has one in any case.
  /// \param ColdRate requests/s of a cold server; 0 if the servers are never cold.
  void putConfigWithRetries(std::uint64_t Version, bool Open = true, double ColdRate = 0.0) {
    json Rows = json::array();
    for (const auto &[Prefix, Kind] : {std::pair("/safe/", "safe"), std::pair("/once/", "unsafe")})
      Rows.push_back({Prefix, "a.example", Prefix, Kind, "s", Open, 3, 2});
    Rows.push_back({"/open/", "a.example", "/open/", "safe", "s", true, 3, 2});
    const json Columns{"Name",    "Host",   "Prefix",      "Kind",
                       "Service", "Public", "MaxAttempts", "Priority"};
    json Config{
        {"Version", Version},
        {"Routes", {{"Columns", Columns}, {"Rows", Rows}}},
        {"Tenants", {{"Columns", {"Name", "ApiKeys"}}, {"Rows", json::array({{"t", {"key"}}})}}}};
    if (ColdRate > 0.0)
      Config["Services"] = {{"Columns", {"Name", "HealthPath", "ColdStartS", "ColdPerS"}},
                            {"Rows", json::array({json::array({"s", "/health", 2, ColdRate})})}};
    Store_.put("op/config", Config.dump());
  }

  /// Sends a request to the node at a position; the reply is filled in while the event loop runs.
  ReplyPtr sendTo(std::size_t Index, const std::string &Target, const std::string &Body = "",
                  milliseconds Deadline = std::chrono::seconds(2)) {
    auto Result = std::make_shared<Reply>();
    node::HttpRequest Request;
    Request.Method_ = Body.empty() ? "GET" : "POST";
    Request.Target_ = Target;
    Request.Headers_ = {{"Host", "a.example"},
                        {"Request-Id", "q" + std::to_string(++LastRequest_)},
                        {"Deadline-Ms", std::to_string(Deadline.count())},
                        {"Authorization", "Bearer key"}};
    Request.Body_ = Body;
    Clients_.push_back(
        std::make_unique<node::HttpClient>(Io_, node::Endpoint{hostOf(Index), CallerPort_}, 1));
    Clients_.back()->send(std::move(Request), Deadline + std::chrono::seconds(1),
                          [Result, SentAt = std::chrono::steady_clock::now()](
                              node::HttpResult Outcome, node::HttpResponse Response) {
                            Result->Ended_ = true;
                            Result->Time_ = std::chrono::duration_cast<milliseconds>(
                                std::chrono::steady_clock::now() - SentAt);
                            Result->Response_ = std::move(Response);
                            if (Outcome != node::HttpResult::Answered)
                              Result->Response_.Status_ = 0;
                          });
    return Result;
  }
  /// Sends a request and waits for the answer.
  ReplyPtr call(std::size_t Index, const std::string &Target, const std::string &Body = "") {
    ReplyPtr Result = sendTo(Index, Target, Body);
    runUntil([&] { return Result->Ended_; });
    return Result;
  }
  void wait(milliseconds Time) {
    const auto End = std::chrono::steady_clock::now() + Time;
    runUntil([&] { return std::chrono::steady_clock::now() >= End; }, 2 * Time);
  }
  bool allUp() {
    return runUntil([&] {
      return std::all_of(Backends_.begin(), Backends_.end(),
                         [](const auto &Item) { return Item->isUp(); });
    });
  }
  int crashes() const {
    return std::accumulate(Backends_.begin(), Backends_.end(), 0,
                           [](int Sum, const auto &Item) { return Sum + Item->crashes(); });
  }
  std::size_t runsOf(const std::string &Target) const {
    return std::accumulate(
        Backends_.begin(), Backends_.end(), std::size_t{0},
        [&](std::size_t Sum, const auto &Item) { return Sum + Item->runsOf(Target); });
  }

private:
  std::vector<std::unique_ptr<node::HttpClient>> Clients_;
  int LastRequest_ = 0;
};

} // namespace bronzestand

#endif
