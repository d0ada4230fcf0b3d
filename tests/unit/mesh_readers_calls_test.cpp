#include "mesh_readers_fixture.h"
#include "standins/mesh_backend.h"

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

/// What happens to the readers at the moment of a change.
enum class Fault : std::uint8_t { None, ReadersKilled, ReadersFrozen };

/// Callers of followers, and backend servers beside the last of them in rank. Times of the
/// reference deployment, and of the requirements where they are fixed.
struct MeshReadersCallsFixture : MeshReadersFixture {
  static constexpr milliseconds WithdrawnLimit{5000};
  static constexpr milliseconds LeavingLimit{3000};
  static constexpr milliseconds EvacuateLimit{5000};
  static constexpr std::size_t Count = 9;
  static constexpr std::size_t FirstServer = 6; ///< position in rank

  std::vector<std::unique_ptr<standin::MeshBackend>> Backends_;

  MeshReadersCallsFixture() {
    ApplyTime_ = 3s;
    EvacuateTime_ = EvacuateLimit;
    ListedService_ = "other";
    startFleet(Count);
    for (std::size_t Index = FirstServer; Index < Count; ++Index) {
      for (standin::PlatformStore *Store : {&Store_, &Replica_})
        Store->remove("servers/i-" + Hosts_[Index]);
      startServer(Hosts_[Index], "z");
    }
    putTeams({"kept", "withdrawn"});
    REQUIRE(allHave(LastVersion_));
    REQUIRE(allFrom(2, SettleTime, follows));
  }

  void startServer(const std::string &Host, const std::string &DataCentre) {
    Backends_.push_back(
        std::make_unique<standin::MeshBackend>(Io_, node::Endpoint{Host, BackendPort_}, Store_));
    Backends_.back()->Zone_ = DataCentre;
    REQUIRE(Backends_.back()->start());
    const std::string Key = "servers/" + Backends_.back()->id();
    Replica_.put(Key, Store_.copy().Items_.at(Key).first);
  }
  /// Stores a configuration with a route that needs a key, and a team with a key for each name.
  void putTeams(const std::vector<std::string> &Names) {
    json Teams = json::array();
    for (const std::string &Name : Names)
      Teams.push_back({Name, {Name}});
    const json Routes{{"Columns", {"Name", "Host", "Prefix", "Kind", "Service", "MaxAttempts"}},
                      {"Rows", json::array({{"x", "a.example", "/x/", "safe", "s", 3}})}};
    const json Config{{"Version", ++LastVersion_},
                      {"Routes", Routes},
                      {"Tenants", {{"Columns", {"Name", "ApiKeys"}}, {"Rows", Teams}}}};
    for (standin::PlatformStore *Store : {&Store_, &Replica_})
      Store->put("op/config", Config.dump());
  }
  /// Calls the followers in turn for a time, with each key in turn; the path names the key.
  /// \return the statuses by key.
  std::map<std::string, std::vector<unsigned>> callFor(milliseconds Time,
                                                       const std::vector<std::string> &Keys) {
    std::map<std::string, std::vector<unsigned>> Result;
    const auto End = Clock::now() + Time;
    for (std::size_t Index = 2; Clock::now() < End; Index = Index + 1 < Count ? Index + 1 : 2)
      for (const std::string &Key : Keys)
        Result[Key].push_back(statusOf(Hosts_[Index], "/x/" + Key, Key));
    return Result;
  }
  /// Changes something in both stores, and returns the time of the acknowledgement.
  template <typename Change> Clock::time_point change(Fault With, Change Apply) {
    Apply();
    const auto Result = Clock::now();
    if (With == Fault::ReadersKilled)
      killReaders();
    if (With == Fault::ReadersFrozen)
      for (const std::size_t Index : {0U, 1U})
        freeze(Index);
    return Result;
  }
  /// Returns how many milliseconds after a moment a server got its last call of a target; negative
  /// if none came after it.
  static milliseconds::rep lastCall(const standin::MeshBackend &Server, Clock::time_point Since,
                                    const std::string &Target) {
    milliseconds::rep Result = -1;
    for (const auto &Item : Server.arrivals())
      if (Item.Target_ == Target)
        Result =
            std::max(Result, std::chrono::duration_cast<milliseconds>(Item.At_ - Since).count());
    return Result;
  }
};

} // namespace

// Guards against a key that runs on at followers because the readers that were told of its
// withdrawal ended before they passed it on.
TEST_CASE_METHOD(MeshReadersCallsFixture, "mesh_readers_key_withdrawn_without_readers_key_ends") {
  const Fault With = GENERATE(Fault::ReadersKilled, Fault::ReadersFrozen);
  REQUIRE(callFor(500ms, {"withdrawn"})["withdrawn"].back() == 200);
  const auto At = change(With, [&] { putTeams({"kept"}); });
  auto Statuses = callFor(WithdrawnLimit + 1s, {"withdrawn", "kept"});
  for (const auto &Server : Backends_)
    CHECK(lastCall(*Server, At, "/x/withdrawn") <= WithdrawnLimit.count());
  CHECK(Statuses["withdrawn"].back() == 401);
  CHECK(Statuses["kept"].back() == 200);
}

// Guards against calls to a data centre whose evacuation followers learn of only through readers,
// also if these end at the moment at which the store tells them.
TEST_CASE_METHOD(MeshReadersCallsFixture, "mesh_readers_evacuation_followers_leave_in_time") {
  const Fault With = GENERATE(Fault::None, Fault::ReadersKilled, Fault::ReadersFrozen);
  const std::string Far = "127.0.0." + std::to_string(Count + 2);
  DataCentres_[Far] = "far";
  startServer(Far, "far");
  startNode(Far);
  REQUIRE(allFrom(0, SettleTime, [](const json &State) { return State["servers"].size() == 10; }));
  REQUIRE(callFor(500ms, {"kept"})["kept"].back() == 200);
  REQUIRE(runUntil([&] { return Store_.waitingWatches() == 1; }, SettleTime)); // of the far node
  const auto At = change(With, [&] {
    Replica_.put("op/evacuate/z", "");
    // While readers work, the store of the others has no such key, only a change of another one.
    Store_.put(With == Fault::None ? "unrelated" : "op/evacuate/z", "");
  });
  CHECK(callFor(EvacuateLimit + 1s, {"kept"})["kept"].back() == 200);
  for (const auto &Server : Backends_)
    if (Server->Zone_ == "z")
      CHECK(lastCall(*Server, At, "/x/kept") <= EvacuateLimit.count());
  CHECK(lastCall(*Backends_.back(), At, "/x/kept") > EvacuateLimit.count());
}

// Guards against calls to a leaving server by followers that hear of its entry only from readers.
TEST_CASE_METHOD(MeshReadersCallsFixture, "mesh_readers_leaving_server_followers_stop_in_time") {
  const Fault With = GENERATE(Fault::None, Fault::ReadersKilled, Fault::ReadersFrozen);
  // Followers that do not know of the entry prefer the leaving server, which is the fastest.
  const standin::MeshBackend &Leaving = *Backends_.front();
  for (const auto &Server : Backends_)
    Server->ServeTime_ = Server == Backends_.front() ? 5ms : 80ms;
  const auto Begin = Clock::now();
  REQUIRE(callFor(2s, {"kept"})["kept"].back() == 200);
  REQUIRE(lastCall(Leaving, Begin, "/x/kept") > milliseconds(1500).count());
  const std::string Key = "servers/" + Leaving.id();
  json Entry = json::parse(Store_.copy().Items_.at(Key).first);
  Entry["Status"]["State"] = "draining";
  const auto At = change(With, [&] {
    for (standin::PlatformStore *Store : {&Store_, &Replica_})
      Store->put(Key, Entry.dump());
  });
  CHECK(callFor(LeavingLimit + 1s, {"kept"})["kept"].back() == 200);
  CHECK(lastCall(Leaving, At, "/x/kept") <= LeavingLimit.count());
}
