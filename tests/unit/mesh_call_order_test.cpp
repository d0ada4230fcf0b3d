#include <deque>

#include "mesh_fixture.h"
#include "standins/mesh_backend.h"
#include "stopped_clock.h"

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

const std::string FrontHost = "127.0.0.2";
const std::string SharedHost = "127.0.0.3";

/// Longer than any run of the test, because its order must not depend on deadlines that pass.
constexpr std::chrono::seconds LongTime{30};

/// A front server that makes a call to a shared server of another service for each request. The
/// shared server takes one call at a time, and answers it when the test lets it.
struct MeshCallOrderFixture : MeshFixture {
  standin::MeshBackend Front_{Io_, {FrontHost, BackendPort_}, Store_};
  standin::MeshBackend Shared_{Io_, {SharedHost, BackendPort_}, Store_};
  node::HttpClient FrontCalls_{Io_, {FrontHost, CallerPort_}, 16}; ///< of the front server
  node::HttpClient Callers_{Io_, {FrontHost, CallerPort_}, 16};
  std::deque<std::function<void()>> Held_; ///< answers of the shared server
  std::size_t Served_ = 0;
  std::optional<StoppedClock> Clock_; ///< set once the nodes are ready

  MeshCallOrderFixture() {
    const json RouteColumns{"Name", "Host", "Prefix", "Kind", "Service", "Public"};
    const json TeamColumns{"Name", "ApiKeys", "Priority"};
    Store_.put("op/config",
               json{{"Version", 3},
                    {"Routes",
                     {{"Columns", RouteColumns},
                      {"Rows",
                       {{"front", "a.example", "/front/", "unsafe", "s", false},
                        {"shared", "a.example", "/shared/", "unsafe", "u", true}}}}},
                    {"Tenants",
                     {{"Columns", TeamColumns},
                      {"Rows", json::array({json::array({"gold", json::array({"gold"}), 0}),
                                            json::array({"batch", json::array({"batch"}), 3})})}}}}
                   .dump());
    REQUIRE(Front_.start());
    REQUIRE(Shared_.start());
    Store_.put("servers/" + Shared_.id(),
               json{{"Address", SharedHost + ":" + std::to_string(BackendPort_)},
                    {"Info", {{"Service", "u"}, {"Zone", "z"}, {"Slots", 1}}},
                    {"Status", {{"State", "ready"}, {"ColdRemainingMs", 0}}},
                    {"born", 5}}
                   .dump());
    Shared_.Work_ = [this](const node::HttpRequest &, const std::function<void()> &Answer) {
      Held_.push_back(Answer);
    };
    Front_.Work_ = [this](const node::HttpRequest &Request, const std::function<void()> &Answer) {
      const auto Left = node::findHeader(Request.Headers_, "Deadline-Ms").value_or("0");
      const std::string Target = "/shared/" + Request.Target_.substr(std::string("/front/").size());
      send(FrontCalls_, Target, Left, "", [Answer](unsigned) { Answer(); });
    };
    startNode(FrontHost);
    Service_ = ServiceId("u");
    startNode(SharedHost);
    for (const std::string &Host : {FrontHost, SharedHost})
      REQUIRE(runUntil([&] { return statusOf(Host, "/other/") == 404; }));
    Clock_.emplace();
  }

  void send(node::HttpClient &Client, const std::string &Target, const std::string &Left,
            const std::string &Key, const std::function<void(unsigned Status)> &Done) {
    node::HttpRequest Request;
    Request.Method_ = "GET";
    Request.Target_ = Target;
    Request.Headers_ = {{"Host", "a.example"}, {"Request-Id", Target + Key}, {"Deadline-Ms", Left}};
    if (!Key.empty())
      Request.Headers_.push_back({"Authorization", "Bearer " + Key});
    Client.send(
        std::move(Request), LongTime,
        [Done](node::HttpResult, const node::HttpResponse &Result) { Done(Result.Status_); });
  }
  void sendRoot(const std::string &Team, int Number, milliseconds Deadline) {
    send(Callers_, "/front/" + Team + std::to_string(Number), std::to_string(Deadline.count()),
         Team, [this](unsigned Status) { Served_ += Status == 200 ? 1 : 0; });
  }
  /// Runs until a call is at the shared server and this many wait for it at its node.
  bool runUntilWaiting(std::size_t Count) {
    return runUntil([&] {
      const json State = stateOf(SharedHost);
      return Held_.size() == 1 && !State.is_discarded() &&
             State.at("backend_gate").at("waiting") == Count;
    });
  }
};

} // namespace

// Guards against calls for requests of a less urgent team that go before those of a more urgent one
// in a service that both need, although their deadlines are later.
TEST_CASE_METHOD(MeshCallOrderFixture, "mesh_call_order_calls_of_urgent_team_go_first") {
  constexpr int Batch = 5;
  constexpr int Gold = 2;
  for (int Number = 0; Number < Batch; ++Number)
    sendRoot("batch", Number, LongTime / 2 + Number * 20ms);
  REQUIRE(runUntilWaiting(Batch - 1));
  for (int Number = 0; Number < Gold; ++Number)
    sendRoot("gold", Number, LongTime + Number * 20ms);
  REQUIRE(runUntilWaiting(Batch - 1 + Gold));
  const json Found = stateOf(FrontHost).at("backend_gate").at("own_calls_by_parent");
  CHECK(Found.at("deadline") == Batch + Gold);
  while (Served_ < Batch + Gold) {
    REQUIRE(runUntil([&] { return !Held_.empty() || Served_ == Batch + Gold; }));
    for (; !Held_.empty(); Held_.pop_front())
      Held_.front()();
  }
  REQUIRE(Shared_.arrivals().size() == Batch + Gold);
  // The first call is at the server when the urgent ones arrive.
  for (std::size_t Index = 1; Index <= Gold; ++Index)
    CHECK(Shared_.arrivals()[Index].Target_.rfind("/shared/gold", 0) == 0);
}
