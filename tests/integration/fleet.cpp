#include "fleet.h"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <random>
#include <set>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <unistd.h>

#include "bronzestand/key_table.h"
#include "node/clock.h"

namespace bronzestand::test {
namespace {

using nlohmann::json;
using node::Endpoint;
using node::HttpRequest;

constexpr std::chrono::milliseconds StartLimit{10'000};

/// Takes free ports of an address from the kernel, never the same one twice. All are held until
/// the last is taken: the kernel may give a port again before the process that it is meant for has
/// bound it, and a node then fails with listen_failed.
void takePorts(const std::string &Address, const std::vector<Endpoint *> &Endpoints) {
  static std::set<std::string> Taken;
  boost::asio::io_context Io;
  std::vector<boost::asio::ip::tcp::acceptor> Acceptors;
  Acceptors.reserve(Endpoints.size());
  for (Endpoint *Item : Endpoints) {
    do {
      Acceptors.emplace_back(
          Io, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(Address), 0),
          /*reuse_addr=*/true);
      *Item = {Address, Acceptors.back().local_endpoint().port()};
    } while (!Taken.insert(Item->str()).second);
  }
}

/// Gives each host of each test process an address of its own, so that ports do not collide.
std::string nextAddress() {
  static std::atomic<unsigned> Counter{0};
  const auto Process = static_cast<unsigned>(::getpid());
  return fmt::format("127.{}.{}.{}", 1 + (Process >> 8U) % 250, Process % 250, 1 + Counter++ % 250);
}

HttpRequest makeRequest(const std::string &Method, const std::string &Target,
                        const std::string &Body = {}) {
  HttpRequest Request;
  Request.Method_ = Method;
  Request.Target_ = Target;
  Request.Body_ = Body;
  return Request;
}

json parseBody(const HttpReply &Reply) {
  return Reply.Response_.Body_.empty() ? json()
                                       : json::parse(Reply.Response_.Body_, nullptr, false);
}

} // namespace

std::string HttpReply::header(const std::string &Name) const {
  return node::findHeader(Response_.Headers_, Name).value_or("");
}

std::vector<HttpReply> httpCalls(const Endpoint &Server, const std::vector<HttpRequest> &Requests,
                                 std::chrono::milliseconds Limit) {
  boost::asio::io_context Io(1);
  node::HttpClient Client(Io, Server, Requests.size() + 1);
  std::vector<HttpReply> Replies(Requests.size());
  for (std::size_t Index = 0; Index < Requests.size(); ++Index)
    Client.send(Requests[Index], Limit,
                [&Replies, Index](node::HttpResult Result, node::HttpResponse Response) {
                  Replies[Index] = {Result, std::move(Response)};
                });
  Io.run();
  return Replies;
}

HttpReply httpCall(const Endpoint &Server, HttpRequest Request, std::chrono::milliseconds Limit) {
  return httpCalls(Server, {std::move(Request)}, Limit).front();
}

bool waitFor(const std::function<bool()> &Condition, std::chrono::milliseconds Limit) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

std::string uuidV7() {
  static std::mt19937_64 Random(std::random_device{}());
  const auto Ms = node::wallMicroseconds() / 1000;
  return fmt::format("{:08x}-{:04x}-7{:03x}-8{:03x}-{:012x}", Ms >> 16U, Ms & 0xffffU,
                     Random() & 0xfffU, Random() & 0xfffU, Random() & 0xffffffffffffU);
}

Fleet::Fleet(std::vector<HostOptions> Hosts, PeerPath Path, std::string Disabled,
             std::string Claims)
    : Hosts_(std::move(Hosts)), Disabled_(std::move(Disabled)), Claims_(std::move(Claims)) {
  char Name[] = "/tmp/bronzestand-fleet-XXXXXX";
  Directory_ = ::mkdtemp(Name);
  const std::string Shared = nextAddress();
  takePorts(Shared, {&PlatformAddress_, &ProxyControl_, &ClosedAddress_});
  std::vector<std::string> ProxyArguments{"--control", ProxyControl_.str()};
  for (const HostOptions &Host : Hosts_) {
    const std::string Address = nextAddress();
    Addresses &Own = Addresses_[Host.Id_];
    takePorts(Address, {&Own.Caller_, &Own.Egress_, &Own.Peer_, &Own.Operator_, &Own.Backend_,
                        &Own.PeerProxy_});
    if (Path == PeerPath::Direct) {
      Own.PeerProxy_ = Own.Peer_;
      continue;
    }
    ProxyArguments.emplace_back("--route");
    ProxyArguments.push_back(
        fmt::format("{}={}={}", Host.Id_, Own.PeerProxy_.str(), Own.Peer_.str()));
  }
  Platform_ =
      std::make_unique<Process>("platform", "tests/standin_platform",
                                std::vector<std::string>{"--listen", PlatformAddress_.str()});
  Proxy_ = std::make_unique<Process>("proxy", "tests/fault_proxy", ProxyArguments);
  REQUIRE(waitFor([&] { return platformStats().is_object(); }, StartLimit));
  for (const HostOptions &Host : Hosts_) {
    startBackend(Host.Id_);
    startNode(Host.Id_);
  }
}

Fleet::~Fleet() {
  if (std::uncaught_exceptions() != 0)
    WARN(logs());
  for (const HostOptions &Host : Hosts_)
    ::unlink((Directory_ + "/" + Host.Id_ + ".yaml").c_str());
  ::rmdir(Directory_.c_str());
}

const HostOptions &Fleet::options(const std::string &Host) const {
  return *std::find_if(Hosts_.begin(), Hosts_.end(),
                       [&](const HostOptions &Item) { return Item.Id_ == Host; });
}

std::string Fleet::settingsFor(const HostOptions &Host) const {
  const Addresses &Own = Addresses_.at(Host.Id_);
  std::string Peers;
  for (const HostOptions &Other : Hosts_)
    if (Other.Id_ != Host.Id_)
      Peers += "- " + Addresses_.at(Other.Id_).PeerProxy_.str() + "\n";
  return fmt::format("host_id: {}\ndata_centre: {}\nregion: {}\nservice: {}\n"
                     "caller_listen: {}\negress_listen: {}\npeer_listen: {}\n"
                     "operator_listen: {}\nbackend_server: {}\nplatform: [\"{}\"]\n"
                     "peer_secret: integration-test-secret\nlog: {{level: info}}\ndisable: [{}]\n"
                     "claims: {{{}}}\n"
                     "peers:\n{}",
                     Host.Id_, Host.DataCentre_, Host.Region_, Host.Service_, Own.Caller_.str(),
                     Own.Egress_.str(), Own.Peer_.str(), Own.Operator_.str(), Own.Backend_.str(),
                     (Host.ReachesPlatform_ ? PlatformAddress_ : ClosedAddress_).str(), Disabled_,
                     Claims_, Peers);
}

void Fleet::startNode(const std::string &Host) {
  const std::string File = Directory_ + "/" + Host + ".yaml";
  std::ofstream(File) << settingsFor(options(Host));
  if (Nodes_[Host])
    Ended_.push_back(std::move(Nodes_[Host]));
  Nodes_[Host] = std::make_unique<Process>("node " + Host, "bronzestandd",
                                           std::vector<std::string>{"--settings", File});
  const bool Started = waitFor([&] { return state(Host).is_object(); }, StartLimit);
  INFO(Nodes_[Host]->logTail());
  REQUIRE(Started);
}

void Fleet::startBackend(const std::string &Host) {
  const HostOptions &Given = options(Host);
  const Addresses &Own = Addresses_.at(Host);
  std::vector<std::string> Arguments{"--listen",        Own.Backend_.str(),  "--egress",
                                     Own.Egress_.str(), "--slots",           Given.Slots_,
                                     "--service-us",    Given.ServiceTimeUs_};
  for (const std::string &Child : Given.Children_) {
    Arguments.emplace_back("--child");
    Arguments.push_back(Child);
  }
  Arguments.insert(Arguments.end(), Given.BackendOptions_.begin(), Given.BackendOptions_.end());
  if (Backends_[Host])
    Ended_.push_back(std::move(Backends_[Host]));
  Backends_[Host] = std::make_unique<Process>("backend " + Host, Given.BackendProgram_, Arguments);
  REQUIRE(waitFor([&] { return backendStats(Host).is_object(); }, StartLimit));
}

Process &Fleet::node(const std::string &Host) { return *Nodes_.at(Host); }
Process &Fleet::backend(const std::string &Host) { return *Backends_.at(Host); }

Endpoint Fleet::callerAddress(const std::string &Host) const { return Addresses_.at(Host).Caller_; }

Endpoint Fleet::operatorAddress(const std::string &Host) const {
  return Addresses_.at(Host).Operator_;
}

Endpoint Fleet::backendAddress(const std::string &Host) const {
  return Addresses_.at(Host).Backend_;
}

void Fleet::put(const std::string &Path, const std::string &Text) {
  if (Text.find("at_most_once: true") != std::string::npos)
    AwaitClaims_ = Disabled_.find("claims") == std::string::npos;
  const HttpReply Reply =
      httpCall(PlatformAddress_, makeRequest("PUT", "/control/value?path=" + Path, Text));
  LastRevision_ = parseBody(Reply).at("revision");
}

void Fleet::removeDocument(const std::string &Path) {
  const HttpReply Reply =
      httpCall(PlatformAddress_, makeRequest("DELETE", "/control/value?path=" + Path));
  LastRevision_ = parseBody(Reply).at("revision");
}

void Fleet::putBasics(const std::map<std::string, std::string> &RoutesByService) {
  std::map<std::string, std::vector<std::string>> Regions;
  for (const HostOptions &Host : Hosts_) {
    auto &DataCentres = Regions[Host.Region_];
    if (std::count(DataCentres.begin(), DataCentres.end(), Host.DataCentre_) == 0)
      DataCentres.push_back(Host.DataCentre_);
  }
  std::string Text = fmt::format("key_salt: {}\nregions:\n", KeySalt);
  for (const auto &[Region, DataCentres] : Regions)
    Text += fmt::format("  {}: [{}]\n", Region, fmt::join(DataCentres, ", "));
  put("fleet", Text);
  for (const auto &[Service, Routes] : RoutesByService)
    put("services/" + Service, "routes:\n" + Routes);
  putHosts();
}

void Fleet::putTeam(const std::string &Team, double Rate, double Burst, bool Withdrawn) {
  put("teams/" + Team,
      fmt::format("rate: {}\nburst: {}\nkeys:\n- {{id: k1, hash: {}, withdrawn: {}}}\n", Rate,
                  Burst, hashKey(KeySalt, "key-" + Team), Withdrawn));
}

void Fleet::putHosts(const std::vector<std::string> &Leaving,
                     const std::vector<std::string> &Gone) {
  std::map<std::string, std::string> Lists;
  for (const HostOptions &Host : Hosts_) {
    std::string &Text = Lists[Host.DataCentre_ + "/" + Host.Service_];
    if (std::count(Gone.begin(), Gone.end(), Host.Id_) != 0)
      continue;
    const Endpoint &Address = Addresses_.at(Host.Id_).PeerProxy_;
    const bool IsLeaving = std::count(Leaving.begin(), Leaving.end(), Host.Id_) != 0;
    Text += fmt::format("- {{id: {}, address: {}, port: {}, state: {}}}\n", Host.Id_,
                        Address.Address_, Address.Port_, IsLeaving ? "leaving" : "live");
  }
  for (const auto &[Name, Text] : Lists)
    put("hosts/" + Name, Text.empty() ? std::string("hosts: []\n") : "hosts:\n" + Text);
}

void Fleet::setPlatformMode(const std::string &Mode) {
  httpCall(PlatformAddress_, makeRequest("POST", "/control/mode?mode=" + Mode));
}

json Fleet::platformStats() {
  return parseBody(httpCall(PlatformAddress_, makeRequest("GET", "/control/stats")));
}

bool Fleet::waitUntilInForce(std::chrono::milliseconds Limit) {
  const bool InForce = waitFor(
      [&] {
        for (const auto &[Host, Running] : Nodes_) {
          if (!Running->isRunning())
            continue;
          const json State = state(Host);
          if (!State.is_object() || State["config"]["revision"].get<Revision>() < LastRevision_ ||
              (AwaitClaims_ && !State["claims"]["accepts_all_keys"].get<bool>()))
            return false;
        }
        AwaitClaims_ = false;
        return true;
      },
      Limit);
  // Hosts that start together count each other before they use their rights. A host that was
  // restarted waits longer, but has leases of other hosts.
  waitFor([&] { return allAdmit(); }, std::chrono::seconds(2));
  return InForce;
}

bool Fleet::allAdmit() {
  for (const auto &[Host, Running] : Nodes_) {
    const json State = Running->isRunning() ? state(Host) : json();
    if (!State.is_object() || !State["limits"]["enabled"].get<bool>())
      continue;
    if (!State["limits"]["own_right_usable"].get<bool>())
      return false;
  }
  return true;
}

json Fleet::state(const std::string &Host) {
  const HttpReply Reply = httpCall(operatorAddress(Host), makeRequest("GET", "/state"),
                                   std::chrono::milliseconds(1000));
  return Reply.Result_ == node::HttpResult::Answered ? parseBody(Reply) : json();
}

json Fleet::backendStats(const std::string &Host, const std::string &Query) {
  const HttpReply Reply =
      httpCall(Addresses_.at(Host).Backend_, makeRequest("GET", "/control/stats?" + Query),
               std::chrono::milliseconds(1000));
  return Reply.Result_ == node::HttpResult::Answered ? parseBody(Reply) : json();
}

void Fleet::setFault(const std::string &From, const std::string &To, const std::string &Mode) {
  httpCall(ProxyControl_,
           makeRequest("POST", fmt::format("/control/rule?from={}&to={}&mode={}", From, To, Mode)));
}

void Fleet::freezeLinks(const std::string &From, const std::string &To) {
  httpCall(ProxyControl_,
           makeRequest("POST", fmt::format("/control/freeze?from={}&to={}", From, To)));
}

void Fleet::clearFaults() { httpCall(ProxyControl_, makeRequest("POST", "/control/clear")); }

HttpReply Fleet::call(const std::string &Host, const std::string &Method, const std::string &Target,
                      const std::string &Team, std::vector<Header> Headers,
                      const std::string &Body) {
  HttpRequest Request = makeRequest(Method, Target, Body);
  Request.Headers_ = std::move(Headers);
  if (!Team.empty())
    Request.Headers_.push_back({"Authorization", "Bearer key-" + Team});
  return httpCall(callerAddress(Host), std::move(Request));
}

std::string Fleet::logs() const {
  std::string Text;
  for (const auto *Group : {&Nodes_, &Backends_})
    for (const auto &[Host, Item] : *Group)
      Text += "== " + Item->name() + "\n" + Item->logTail() + "\n";
  return Text;
}

} // namespace bronzestand::test
