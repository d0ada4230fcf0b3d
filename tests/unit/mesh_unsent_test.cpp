#include <list>

#include <boost/asio/ip/tcp.hpp>

#include "mesh/backend_gate.h"
#include "mesh_fixture.h"

using namespace bronzestand;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

const std::string EntryHost = "127.0.0.2";
const std::string OtherHost = "127.0.0.3";
const std::string MuteHost = "127.0.0.8"; ///< accepts connections and says nothing
const std::string DeadHost = "127.0.0.9"; ///< refuses connections

constexpr unsigned Slots = 4; ///< of each server that the fixture lists

/// A server that accepts no connection: the system drops further ones once those that nobody
/// accepts fill the queue. When this ends, it refuses them.
class FullServer {
public:
  FullServer(boost::asio::io_context &Io, const tcp::endpoint &Address) : Acceptor_(Io) {
    Acceptor_.open(tcp::v4());
    Acceptor_.set_option(tcp::acceptor::reuse_address(true));
    Acceptor_.bind(Address);
    Acceptor_.listen(0);
    Sockets_.emplace_back(Io).connect(Address);
    for (int Number = 0; Number < 3; ++Number)
      Sockets_.emplace_back(Io).async_connect(Address, [](boost::system::error_code) {});
  }

private:
  tcp::acceptor Acceptor_;
  std::list<tcp::socket> Sockets_;
};

/// Requests that must not run twice, to servers that never answer.
struct MeshUnsentFixture : MeshFixture {
  std::vector<std::unique_ptr<tcp::acceptor>> Acceptors_;
  std::vector<std::unique_ptr<tcp::socket>> Sockets_;
  std::vector<std::unique_ptr<node::HttpClient>> Clients_;
  std::vector<node::HttpResponse> Answers_;

  MeshUnsentFixture() { putConfig(Store_, 3, {"/w/"}, "unsafe"); }

  void startEntry() {
    startNode(EntryHost);
    REQUIRE(runUntil([&] { return statusOf(EntryHost, "/other/") == 404; }));
  }
  /// Accepts connections at an address and reads nothing from them.
  void listenMute(const std::string &Address, std::uint16_t Port) {
    Acceptors_.push_back(std::make_unique<tcp::acceptor>(
        Io_, tcp::endpoint(boost::asio::ip::make_address(Address), Port)));
    accept(*Acceptors_.back());
  }
  void accept(tcp::acceptor &From) {
    From.async_accept([this, &From](boost::system::error_code Failure, tcp::socket Socket) {
      if (Failure)
        return;
      Sockets_.push_back(std::make_unique<tcp::socket>(std::move(Socket)));
      accept(From);
    });
  }
  void post(milliseconds Deadline) {
    node::HttpRequest Request;
    Request.Method_ = "POST";
    Request.Target_ = "/w/" + std::to_string(Clients_.size());
    Request.Headers_ = {{"Host", "a.example"},
                        {"Request-Id", "q" + std::to_string(Clients_.size())},
                        {"Deadline-Ms", std::to_string(Deadline.count())}};
    Clients_.push_back(
        std::make_unique<node::HttpClient>(Io_, node::Endpoint{EntryHost, CallerPort_}, 1));
    Clients_.back()->send(std::move(Request), Deadline + 2s,
                          [this](node::HttpResult, node::HttpResponse Response) {
                            Answers_.push_back(std::move(Response));
                          });
  }
  std::size_t answersOf(unsigned Status) const {
    return static_cast<std::size_t>(
        std::count_if(Answers_.begin(), Answers_.end(),
                      [&](const auto &Item) { return Item.Status_ == Status; }));
  }
};

/// The gate of a node without the node, and its entry replaced by a timer for each call. The answer
/// of a gate reaches the entry of another node in time only on a machine that is fast enough, so
/// the order is checked here.
struct UnsentGateFixture : MeshFixture {
  static constexpr milliseconds Deadline{100};
  static constexpr milliseconds Margin{5}; ///< of the gate before the deadline
  static constexpr int MaxAttempts = 20;

  node::Settings Config_ = settings();
  const node::HeaderNames Names_ = platform::headerNames();
  node::EventLog Events_{EntryHost};
  node::PeerLinks Links_{Io_, Config_, 1};
  node::FleetState Fleet_{Config_, Events_};
  node::CrashGuard Guard_{Io_, Config_, Links_, node::CrashGuard::Restarts::Slow};
  RouteHealth Health_;
  node::BackendGate Gate_{Io_, Config_, Names_, Fleet_, Guard_, Health_, Events_};
  CallId LastCall_ = 0;

  /// What became of one call.
  struct Ended {
    bool Timely_ = false; ///< the gate had the call before the margin had passed
    bool DeadlineFirst_ = false;
    std::optional<Answer> Answer_;
    std::unique_ptr<boost::asio::steady_timer> Timer_;
  };

  node::Settings settings() const {
    node::Settings Result;
    Result.Host_ = HostId(EntryHost);
    Result.Service_ = Service_;
    Result.BackendServer_ = {EntryHost, BackendPort_};
    Result.Mesh_.emplace();
    return Result;
  }
  std::shared_ptr<Ended> submit(milliseconds TimeLeft) {
    auto Result = std::make_shared<Ended>();
    const auto Started = std::chrono::steady_clock::now();
    Result->Timer_ = std::make_unique<boost::asio::steady_timer>(Io_, Started + TimeLeft);
    Result->Timer_->async_wait(
        [Known = std::weak_ptr<Ended>(Result)](boost::system::error_code Failure) {
          if (const auto Item = Known.lock())
            Item->DeadlineFirst_ = !Failure && !Item->Answer_;
        });
    Call Request;
    Request.Id_ = ++LastCall_;
    Request.Service_ = Service_;
    Request.Method_ = "POST";
    Request.Target_ = "/w/";
    Request.TimeLeft_ = Request.Objective_ = TimeLeft;
    Gate_.submitCall(Config_.Host_, Request,
                     [Result](const Answer &Value) { Result->Answer_ = Value; });
    Result->Timely_ = std::chrono::steady_clock::now() - Started < Margin;
    return Result;
  }
  /// Submits calls until the machine was fast enough for one, and checks that each was refused as
  /// not run, and that one before its deadline.
  void checkRefusedInTime() {
    for (int Number = 0; Number < MaxAttempts; ++Number) {
      const auto Item = submit(Deadline);
      REQUIRE_FALSE(Item->Answer_);
      REQUIRE(runUntil([&] { return Item->Answer_.has_value(); }));
      CHECK(Item->Answer_->Outcome_ == Outcome::NotRun);
      if (!Item->Timely_)
        continue;
      CHECK_FALSE(Item->DeadlineFirst_);
      return;
    }
    FAIL("the machine was too slow for each call");
  }
};

} // namespace

// Guards against a request that no node has sent to a server, because too little of its time was
// left, and whose caller is not told that it may send it again.
TEST_CASE_METHOD(MeshUnsentFixture, "mesh_unsent_for_lack_of_time_is_not_run") {
  putServer(Store_, "i-1", EntryHost);
  startEntry();
  post(2ms); // a gate refuses calls with less than 5 ms left
  REQUIRE(runUntil([&] { return Answers_.size() == 1; }));
  CHECK(answersOf(503) == 1);
  CHECK(node::findHeader(Answers_.front().Headers_, "Retry-After").has_value());
}

// Guards against requests that end as unknown at their deadline although they never left the queue
// of the node beside the server, and against requests that the server may have run and that end as
// not run.
TEST_CASE_METHOD(MeshUnsentFixture, "mesh_unsent_from_queue_at_deadline_is_not_run") {
  listenMute(EntryHost, BackendPort_);
  putServer(Store_, "i-1", EntryHost);
  startEntry();
  // The requests at the server end last, because each that ends makes room for one of the queue.
  for (std::size_t Number = 0; Number < Slots; ++Number)
    post(4s);
  REQUIRE(runUntil([&] { return stateOf(EntryHost).at("backend_gate").at("running") == Slots; }));
  constexpr std::size_t Waiting = 3;
  for (std::size_t Number = 0; Number < Waiting; ++Number)
    post(400ms);
  REQUIRE(runUntil([&] { return Answers_.size() == Waiting; }));
  CHECK(answersOf(503) == Waiting);
  REQUIRE(runUntil([&] { return Answers_.size() == Slots + Waiting; }, 10s));
  CHECK(answersOf(504) == Slots);
}

// As above, with the queue of another node: its refusal has to reach the entry before the deadline.
TEST_CASE_METHOD(MeshUnsentFixture, "mesh_unsent_from_queue_of_other_node_at_deadline_is_not_run") {
  listenMute(OtherHost, BackendPort_);
  putServer(Store_, "i-1", OtherHost);
  startNode(OtherHost);
  startEntry();
  constexpr std::size_t Waiting = 3;
  for (std::size_t Number = 0; Number < Slots + Waiting; ++Number)
    post(400ms);
  REQUIRE(runUntil([&] { return Answers_.size() == Slots + Waiting; }));
  CHECK(answersOf(504) == Slots);
  CHECK(answersOf(503) == Waiting);
}

// Guards against a call whose refusal leaves the queue of a gate too late to reach the entry of
// another node before its deadline.
TEST_CASE_METHOD(UnsentGateFixture, "mesh_unsent_from_queue_is_refused_before_deadline") {
  tcp::acceptor Mute(Io_, {boost::asio::ip::make_address(EntryHost), BackendPort_});
  std::vector<std::shared_ptr<Ended>> Running;
  while (Gate_.load().Running_ < Gate_.load().Limit_)
    Running.push_back(submit(20s));
  checkRefusedInTime();
}

// Guards against a request that ends as unknown although the server did not accept a connection for
// it.
TEST_CASE_METHOD(MeshUnsentFixture, "mesh_unsent_without_connection_to_server_is_not_run") {
  const std::string ServerHost = GENERATE(EntryHost, OtherHost);
  INFO("server beside " << ServerHost);
  std::optional<FullServer> Server;
  Server.emplace(Io_, tcp::endpoint(boost::asio::ip::make_address(ServerHost), BackendPort_));
  putServer(Store_, "i-1", ServerHost);
  if (ServerHost != EntryHost)
    startNode(ServerHost);
  startEntry();
  post(20s);
  REQUIRE(runUntil([&] { return stateOf(ServerHost).at("backend_gate").at("running") == 1; }));
  REQUIRE(Answers_.empty());
  // The next packet of the attempt to connect, which the system sends 1, 3, 7 and 15 s after the
  // first, is refused.
  Server.reset();
  REQUIRE(runUntil([&] { return Answers_.size() == 1; }, 15s));
  CHECK(answersOf(503) == 1);
}

// Guards against a call that ends at its deadline or later although the server did not accept a
// connection for it, so that its entry has ended it as one that may have run.
TEST_CASE_METHOD(UnsentGateFixture, "mesh_unsent_attempt_to_connect_ends_before_deadline") {
  const FullServer Server(Io_, {boost::asio::ip::make_address(EntryHost), BackendPort_});
  checkRefusedInTime();
}

// Guards against requests that end as unknown because a first node could not be reached and a
// second one did not open a link until the deadline.
TEST_CASE_METHOD(MeshUnsentFixture, "mesh_unsent_second_attempt_without_link_is_not_run") {
  listenMute(MuteHost, PeerPort_);
  putServer(Store_, "i-8", MuteHost);
  putServer(Store_, "i-9", DeadHost);
  startEntry();
  constexpr std::size_t Requests = 20;
  for (std::size_t Number = 0; Number < Requests; ++Number)
    post(400ms);
  REQUIRE(runUntil([&] { return Answers_.size() == Requests; }));
  CHECK(answersOf(503) == Requests);
}

// Guards against a request that waits for a link when its node stops, and ends as unknown.
TEST_CASE_METHOD(MeshUnsentFixture, "mesh_unsent_when_node_stops_is_not_run") {
  GracePeriod_ = 1s;
  listenMute(MuteHost, PeerPort_);
  putServer(Store_, "i-8", MuteHost);
  startEntry();
  post(10s);
  REQUIRE_FALSE(runUntil([&] { return !Answers_.empty(); }, 100ms));
  Nodes_.front()->shutdown();
  REQUIRE(runUntil([&] { return !Answers_.empty(); }));
  CHECK(answersOf(503) == 1);
}
