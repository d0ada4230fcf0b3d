#include <boost/asio/ip/tcp.hpp>

#include "mesh_fixture.h"

using namespace bronzestand;
using boost::asio::ip::tcp;

namespace {

const std::string Host = "127.0.0.2";

/// A node whose backend server accepts connections only when it is told to.
struct LateConnectionFixture : MeshFixture {
  tcp::acceptor Acceptor_{Io_};
  tcp::socket First_{Io_};
  std::vector<std::shared_ptr<tcp::socket>> Accepted_;
  std::size_t Received_ = 0; ///< bytes
  std::array<char, 1024> Buffer_{};
  node::HttpClient Client_{Io_, {Host, CallerPort_}, 1};
  bool Ended_ = false;
  node::HttpResponse Response_;

  LateConnectionFixture() {
    const tcp::endpoint Address(boost::asio::ip::make_address(Host), BackendPort_);
    Acceptor_.open(Address.protocol());
    Acceptor_.set_option(tcp::acceptor::reuse_address(true));
    Acceptor_.bind(Address);
    // The system then ignores further connections, and the node's system repeats them after 1 s.
    Acceptor_.listen(0);
    First_.connect(Address);
    putServer(Store_, "i-1", Host);
    putConfig(Store_, 3, {"/w/"}, "unsafe");
    startNode(Host);
    REQUIRE(runUntil([&] { return statusOf(Host, "/other/") == 404; }));
  }

  json gate() { return stateOf(Host).at("backend_gate"); }
  void accept() {
    Acceptor_.async_accept([this](boost::system::error_code Failure, tcp::socket Socket) {
      if (Failure)
        return;
      const auto Item = std::make_shared<tcp::socket>(std::move(Socket));
      Accepted_.push_back(Item);
      Item->async_read_some(
          boost::asio::buffer(Buffer_),
          [this, Item](boost::system::error_code, std::size_t Size) { Received_ += Size; });
      accept();
    });
  }
  void send() {
    node::HttpRequest Request;
    Request.Method_ = "POST";
    Request.Target_ = "/w/1";
    Request.Headers_ = {{"Host", "a.example"}, {"Request-Id", "q1"}, {"Deadline-Ms", "8000"}};
    Client_.send(std::move(Request), std::chrono::seconds(9),
                 [&](node::HttpResult, const node::HttpResponse &Response) {
                   Ended_ = true;
                   Response_ = Response;
                 });
  }
};

} // namespace

// Guards against a request that reaches a server of an evacuated data centre because it waited for
// its connection to the server when the node there closed.
TEST_CASE_METHOD(LateConnectionFixture, "mesh_connection_after_evacuation_gets_no_request") {
  send();
  REQUIRE(runUntil([&] { return gate().at("running") == 1; }));
  Store_.put("op/evacuate/z", "");
  REQUIRE(runUntil([&] { return gate().at("closed") == true; }));
  accept();
  REQUIRE(runUntil([&] { return Ended_; }, std::chrono::seconds(9)));
  CHECK(Response_.Status_ == 503);
  CHECK(Received_ == 0);
  CHECK(gate().at("refused_evacuated") == 1);
}
