#ifndef BRONZESTAND_TESTS_MESH_FIXTURE_H
#define BRONZESTAND_TESTS_MESH_FIXTURE_H

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "free_port.h"
#include "mesh/mesh_node.h"
#include "node/http_client.h"
#include "standins/platform_store.h"
#include "store_watch.h"
#include "wire_names.h"

namespace bronzestand {

/// Whole nodes in one process, each on a loopback address of its own, with a stand-in of the
/// platform's store. There are no backend servers: requests that are admitted are refused later.
struct MeshFixture {
  using json = nlohmann::json;
  using milliseconds = std::chrono::milliseconds;

  /// Time within which an evacuated data centre must get no more requests.
  static constexpr milliseconds EvacuateTime{1500};

  boost::asio::io_context Io_;
  Duration GracePeriod_ = std::chrono::seconds(6); ///< of the nodes that are started from now on
  /// ColdOver_ and ColdSlack_ of the nodes that are started from now on.
  std::optional<std::pair<double, double>> Cold_;
  ServiceId Service_{"s"};                                  ///< the same
  std::size_t MemoryBytes_ = node::Settings().MemoryBytes_; ///< the same
  std::optional<std::uint16_t> MetricsPort_;                ///< the same
  Duration ApplyTime_ = node::MeshSettings().ApplyTime_;    ///< the same
  Duration EvacuateTime_ = EvacuateTime;                    ///< the same
  const std::uint16_t StorePort_ = freePort();
  const std::uint16_t CallerPort_ = freePort();
  std::uint16_t PeerPort_ = freePort(); ///< of the nodes that are started from now on
  const std::uint16_t OperatorPort_ = freePort();
  const std::uint16_t BackendPort_ = freePort();
  standin::PlatformStore Store_{Io_, {"127.0.0.1", StorePort_}};
  std::map<std::string, std::string> DataCentres_; ///< of hosts that are not in "z"
  std::vector<std::unique_ptr<node::MeshNode>> Nodes_;
  std::vector<std::unique_ptr<node::MeshNode>> Stopped_; ///< kept for handlers that still run

  MeshFixture() { REQUIRE(Store_.start().ok()); }
  ~MeshFixture() { Store_.stop(); }
  MeshFixture(const MeshFixture &) = delete;
  MeshFixture &operator=(const MeshFixture &) = delete;

  /// Event loops of nodes that can be stopped for a while; runUntil() runs those listed here.
  std::vector<boost::asio::io_context *> OtherLoops_;

  /// Returns the settings of a node that reads from the store, or from another address in its
  /// place.
  node::Settings settingsOf(const std::string &Host,
                            std::optional<std::uint16_t> StorePort = std::nullopt) const {
    node::Settings Config;
    Config.Host_ = HostId(Host);
    const auto Found = DataCentres_.find(Host);
    Config.DataCentre_ = DataCentreId(Found == DataCentres_.end() ? "z" : Found->second);
    Config.Region_ = RegionId(Config.DataCentre_ == DataCentreId("z") ? "r" : "q");
    Config.Service_ = Service_;
    Config.CallerListen_ = {Host, CallerPort_};
    Config.PeerListen_ = {Host, PeerPort_};
    Config.OperatorListen_ = {Host, OperatorPort_};
    Config.BackendServer_ = {Host, BackendPort_};
    Config.Mesh_.emplace();
    Config.Mesh_->Store_ = {"127.0.0.1", StorePort.value_or(StorePort_)};
    Config.Mesh_->Regions_ = {{"z", "r"}, {"far", "q"}};
    Config.Mesh_->GracePeriod_ = GracePeriod_;
    if (Cold_)
      std::tie(Config.Mesh_->ColdOver_, Config.Mesh_->ColdSlack_) = *Cold_;
    Config.Mesh_->ApplyTime_ = ApplyTime_;
    Config.Mesh_->EvacuateTime_ = EvacuateTime_;
    Config.MemoryBytes_ = MemoryBytes_;
    if (MetricsPort_)
      Config.Mesh_->MetricsListen_ = node::Endpoint{Host, *MetricsPort_};
    return Config;
  }
  /// Starts a node with settingsOf().
  /// \param Loop its event loop; nullptr for that of the fixture.
  void startNode(const std::string &Host, std::optional<std::uint16_t> StorePort = std::nullopt,
                 boost::asio::io_context *Loop = nullptr) {
    Nodes_.push_back(std::make_unique<node::MeshNode>(
        Loop == nullptr ? Io_ : *Loop, settingsOf(Host, StorePort), platform::headerNames(),
        [](boost::asio::io_context &Io, const node::Settings &Values, node::FleetState &Fleet,
           node::EventLog &Events) {
          return std::make_unique<platform::StoreWatch>(Io, Values, Fleet, Events);
        }));
    REQUIRE(Nodes_.back()->start().ok());
  }

  /// Ends the node at a position at once and starts another one in its place.
  void restartNode(std::size_t Index, const std::string &Host,
                   std::optional<std::uint16_t> StorePort = std::nullopt,
                   boost::asio::io_context *Loop = nullptr) {
    Nodes_[Index]->shutdown();
    Nodes_[Index]->shutdown(); // the second call ends it without waiting
    Io_.restart();
    Stopped_.push_back(std::move(Nodes_[Index]));
    startNode(Host, StorePort, Loop);
    Nodes_[Index] = std::move(Nodes_.back());
    Nodes_.pop_back();
  }

  void putServer(standin::PlatformStore &Store, const std::string &Id, const std::string &Host,
                 const std::string &Service = "s", const std::string &State = "ready") {
    Store.put("servers/" + Id, json{{"Address", Host + ":" + std::to_string(BackendPort_)},
                                    {"Info", {{"Service", Service}, {"Zone", "z"}, {"Slots", 4}}},
                                    {"Status", {{"State", State}, {"ColdRemainingMs", 0}}},
                                    {"born", 5}}
                                   .dump());
  }
  /// Stores a configuration with routes of the host name "a.example" that need no key.
  static void putConfig(standin::PlatformStore &Store, std::uint64_t Version,
                        const std::vector<std::string> &Prefixes,
                        const std::string &Kind = "safe") {
    json Rows = json::array();
    for (const std::string &Prefix : Prefixes)
      Rows.push_back({"r" + Prefix, "a.example", Prefix, Kind, "s", true});
    Store.put("op/config",
              json{{"Version", Version},
                   {"Routes",
                    {{"Columns", {"Name", "Host", "Prefix", "Kind", "Service", "Public"}},
                     {"Rows", Rows}}}}
                  .dump());
  }

  /// Runs the event loop until a condition holds; returns false if it does not in time.
  template <typename Condition>
  bool runUntil(Condition Holds, milliseconds Limit = std::chrono::seconds(5)) {
    const auto End = std::chrono::steady_clock::now() + Limit;
    while (!Holds() && std::chrono::steady_clock::now() < End) {
      if (Io_.stopped())
        Io_.restart(); // a node that ends stops the event loop
      Io_.run_one_for(milliseconds(OtherLoops_.empty() ? 20 : 2));
      for (boost::asio::io_context *Loop : OtherLoops_)
        Loop->poll();
    }
    return Holds();
  }
  /// Sends a request to a node and returns the status; 0 if there is no answer.
  unsigned statusOf(const std::string &Host, const std::string &Path, const std::string &Key = "") {
    return send({Host, CallerPort_}, Path, nullptr, Key);
  }
  /// Returns the state that a node shows to operators.
  json stateOf(const std::string &Host) {
    std::string Body;
    send({Host, OperatorPort_}, "/state", &Body);
    return json::parse(Body, nullptr, false);
  }
  std::uint64_t versionOf(const std::string &Host) {
    const json State = stateOf(Host);
    return State.is_discarded() ? 0 : State.at("fleet_state").at("version").get<std::uint64_t>();
  }

private:
  unsigned send(const node::Endpoint &To, const std::string &Path, std::string *Body = nullptr,
                const std::string &Key = "") {
    node::HttpClient Client(Io_, To, 1);
    node::HttpRequest Request;
    Request.Method_ = "GET";
    Request.Target_ = Path;
    Request.Headers_ = {{"Host", "a.example"}, {"Request-Id", "q1"}, {"Deadline-Ms", "1000"}};
    if (!Key.empty())
      Request.Headers_.push_back({"Authorization", "Bearer " + Key});
    bool Ended = false;
    unsigned Status = 0;
    Client.send(std::move(Request), std::chrono::seconds(3),
                [&](node::HttpResult Result, const node::HttpResponse &Response) {
                  Ended = true;
                  Status = Result == node::HttpResult::Answered ? Response.Status_ : 0;
                  if (Body != nullptr)
                    *Body = Response.Body_;
                });
    runUntil([&] { return Ended; });
    return Status;
  }
};

} // namespace bronzestand

#endif
