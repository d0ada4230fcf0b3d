#include "daemons.h"

#include <array>
#include <fstream>
#include <stdexcept>

#include <fmt/format.h>

namespace bronzestand::soak {
namespace {

using boost::asio::ip::tcp;
using node::Endpoint;

/// Below the ports that the kernel gives to outgoing connections.
constexpr std::uint16_t LockPort = 17'000;
constexpr std::uint16_t ControlPort = 17'001;
constexpr std::uint16_t StorePort = 17'002;
constexpr std::uint16_t ServerPort = 17'003;
constexpr std::uint16_t CallerPort = 17'004;
constexpr std::uint16_t EgressPort = 17'005;
constexpr std::uint16_t PeerPort = 17'006;
constexpr std::uint16_t OperatorPort = 17'007;
constexpr std::uint16_t MetricsPort = 17'008;

constexpr unsigned FirstBlock = 20;
constexpr unsigned LastBlock = 250;
/// Hosts of one use; their number is the last byte of an address.
constexpr std::size_t MaxNodes = 250;

std::string addressOf(unsigned Block, unsigned Kind, std::size_t Number) {
  return fmt::format("127.{}.{}.{}", Block, Kind, Number + 1);
}

/// Takes a block of loopback addresses that no other run uses.
unsigned takeBlock(tcp::acceptor &Lock) {
  for (unsigned Block = FirstBlock; Block <= LastBlock; ++Block) {
    boost::system::error_code Failure;
    tcp::acceptor Taken(Lock.get_executor());
    const tcp::endpoint Address(boost::asio::ip::make_address(addressOf(Block, 0, 0)), LockPort);
    Taken.open(Address.protocol(), Failure);
    Taken.bind(Address, Failure);
    if (Failure)
      continue;
    Lock = std::move(Taken);
    return Block;
  }
  throw std::runtime_error("all blocks of loopback addresses are in use");
}

} // namespace

Daemons::Daemons(boost::asio::io_context &Io, std::size_t Nodes, std::string Directory,
                 std::string MoreSettings)
    : Lock_(Io), Block_(takeBlock(Lock_)), Directory_(std::move(Directory)),
      MoreSettings_(std::move(MoreSettings)) {
  if (Nodes > MaxNodes)
    throw std::runtime_error("too many nodes");
  Nodes_.resize(Nodes);
  const Endpoint Control = endpoint(Use::Shared, 0, ControlPort);
  std::vector<std::string> Arguments{"--control", Control.str()};
  const auto Route = [&](const std::string &Name, const Endpoint &From, const Endpoint &To) {
    Arguments.emplace_back("--route");
    Arguments.push_back(fmt::format("{}={}={}", Name, From.str(), To.str()));
  };
  for (std::size_t Node = 0; Node < Nodes; ++Node) {
    Route(hostName(Node), endpoint(Use::Links, Node, PeerPort),
          endpoint(Use::Node, Node, PeerPort));
    Route(serverName(Node), endpoint(Use::ServerProxy, Node, ServerPort), server(Node));
    Route(storeName(Node), endpoint(Use::StoreProxy, Node, StorePort), store());
  }
  Proxy_ = std::make_unique<test::Process>("proxy", "tests/fault_proxy", Arguments);
  Control_ = std::make_unique<node::HttpClient>(Io, Control, MaxNodes);
}

Endpoint Daemons::endpoint(Use Kind, std::size_t Node, std::uint16_t Port) const {
  return {addressOf(Block_, static_cast<unsigned>(Kind), Node), Port};
}

std::string Daemons::hostName(std::size_t Node) const {
  return endpoint(Use::Links, Node, PeerPort).Address_;
}
Endpoint Daemons::store() const { return endpoint(Use::Shared, 0, StorePort); }
Endpoint Daemons::server(std::size_t Node) const { return endpoint(Use::Server, Node, ServerPort); }
Endpoint Daemons::callers(std::size_t Node) const { return endpoint(Use::Node, Node, CallerPort); }
Endpoint Daemons::operators(std::size_t Node) const {
  return endpoint(Use::Node, Node, OperatorPort);
}
Endpoint Daemons::metrics(std::size_t Node) const { return endpoint(Use::Node, Node, MetricsPort); }
std::string Daemons::advertised(std::size_t Node) const {
  return endpoint(Use::Links, Node, ServerPort).str();
}

std::string Daemons::dataCentreOf(std::size_t Node) {
  constexpr std::array<const char *, 3> Names{"colombo", "negombo", "galle"};
  return Names[Node / 2 % Names.size()];
}
std::string Daemons::regionOf(std::size_t Node) {
  return dataCentreOf(Node) == "galle" ? "southern" : "western";
}
std::string Daemons::serviceOf(std::size_t Node) {
  return Node % 2 == 0 ? "catalogue" : "bookings";
}

std::string Daemons::settings(std::size_t Node) const {
  const std::string DataCentre = dataCentreOf(Node);
  return fmt::format("host_id: {}\ndata_centre: {}\nregion: {}\nservice: {}\ncaller_listen: {}\n"
                     "egress_listen: {}\npeer_listen: {}\noperator_listen: {}\nbackend_server: {}\n"
                     "mesh:\n  store: {}\n  regions: {{colombo: western, negombo: western, galle: "
                     "southern}}\n"
                     "  retry_ratio: 0.2\n  retry_allowance: 50\n  grace_seconds: 6\n  "
                     "metrics_listen: {}\n",
                     hostName(Node), DataCentre, regionOf(Node), serviceOf(Node),
                     callers(Node).str(), endpoint(Use::Node, Node, EgressPort).str(),
                     endpoint(Use::Node, Node, PeerPort).str(), operators(Node).str(),
                     endpoint(Use::ServerProxy, Node, ServerPort).str(),
                     endpoint(Use::StoreProxy, Node, StorePort).str(), metrics(Node).str()) +
         MoreSettings_;
}

void Daemons::start(std::size_t Node) {
  const std::string File = fmt::format("{}/node-{}.yaml", Directory_, Node);
  std::ofstream(File) << settings(Node);
  if (Nodes_[Node])
    Ended_.push_back(std::move(Nodes_[Node]));
  Nodes_[Node] = std::make_unique<test::Process>(fmt::format("node {}", Node), "bronzestandd",
                                                 std::vector<std::string>{"--settings", File});
}

void Daemons::control(const std::string &Target) {
  node::HttpRequest Request;
  Request.Method_ = "POST";
  Request.Target_ = Target;
  Control_->send(std::move(Request), std::chrono::seconds(5),
                 [Target](node::HttpResult Result, const node::HttpResponse &) {
                   if (Result != node::HttpResult::Answered)
                     throw std::runtime_error("the fault proxy did not answer to " + Target);
                 });
}

void Daemons::setRule(const std::string &From, const std::string &To, const std::string &Mode) {
  control(fmt::format("/control/rule?from={}&to={}&mode={}", From, To, Mode));
}
void Daemons::setBoth(const std::string &Name, const std::string &Mode) {
  setRule(Name, "*", Mode);
  setRule("*", Name, Mode);
}
void Daemons::freeze(const std::string &From, const std::string &To) {
  control(fmt::format("/control/freeze?from={}&to={}", From, To));
}
void Daemons::clearRules() { control("/control/clear"); }

std::string Daemons::logs() const {
  std::string Text;
  for (const auto *List : {&Nodes_, &Ended_})
    for (const auto &Item : *List)
      if (Item)
        Text += "== " + Item->name() + "\n" + Item->log() + "\n";
  return Text;
}

} // namespace bronzestand::soak
