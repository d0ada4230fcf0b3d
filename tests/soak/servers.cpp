#include "servers.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bronzestand::soak {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t Slots = 24;
constexpr std::size_t MaxQueue = 24;
constexpr int SlowFactor = 10;

std::string idOf(const node::HttpRequest &Request) {
  return node::findHeader(Request.Headers_, wireNames().RequestId_).value_or("");
}

} // namespace

struct Server::Work {
  node::HttpRequest Request_;
  node::HttpExchangePtr Exchange_;
  std::string Signature_;
  bool Cancelled_ = false;
};

Server::Server(boost::asio::io_context &Io, Ledger &Book, std::size_t Node, std::string Service,
               const node::Endpoint &Listen)
    : Io_(Io), Book_(Book), Node_(Node), Service_(std::move(Service)), Random_(Node),
      Listener_(Io, Listen, {},
                [this](node::HttpRequest Request, const node::HttpExchangePtr &Exchange) {
                  handle(std::move(Request), Exchange);
                }) {
  replace();
}

void Server::replace() {
  Id_ = fmt::format("i-{}-{}", Node_, ++Incarnation_);
  StartedMs_ = node::wallMicroseconds() / 1000;
}

std::string Server::entry(const std::string &State, const std::string &Address,
                          const std::string &DataCentre) const {
  return nlohmann::json{
      {"Address", Address},
      {"Info", {{"Service", Service_}, {"Zone", DataCentre}, {"Slots", Slots}, {"Version", "1"}}},
      {"Status", {{"State", State}, {"ColdRemainingMs", 0}, {"Sequence", 1}}},
      {"born", StartedMs_}}
      .dump();
}

void Server::reject(const node::HttpRequest &Request, const node::HttpExchangePtr &Exchange,
                    unsigned Status) {
  Run Arrived{Id_, Service_, Node_, node::now(), "", Status, true};
  Book_.started(Request, std::move(Arrived));
  Exchange->respond(
      {Status, {{wireNames().RequestId_, idOf(Request)}, {wireNames().NotRun_, "1"}}, ""});
}

void Server::handle(node::HttpRequest Request, const node::HttpExchangePtr &Exchange) {
  const auto Wanted = node::findHeader(Request.Headers_, wireNames().ExpectedServer_);
  if (Wanted && *Wanted != Id_) {
    reject(Request, Exchange, 421);
    return;
  }
  if (Full_ || Queue_.size() >= MaxQueue) {
    reject(Request, Exchange, 503);
    return;
  }
  const auto Item = std::make_shared<Work>();
  Item->Request_ = std::move(Request);
  Item->Exchange_ = Exchange;
  Exchange->onCancelled([Weak = std::weak_ptr<Work>(Item)] {
    if (const auto Alive = Weak.lock())
      Alive->Cancelled_ = true;
  });
  Queue_.push_back(Item);
  startNext();
}

void Server::startNext() {
  while (Running_ < Slots && !Queue_.empty()) {
    const WorkPtr Item = Queue_.front();
    Queue_.pop_front();
    if (!Item->Cancelled_)
      run(Item);
  }
}

void Server::run(const WorkPtr &Item) {
  ++Running_;
  Item->Signature_ = fmt::format("{}.{}", Id_, ++Signatures_);
  Book_.started(Item->Request_, {Id_, Service_, Node_, node::now(), Item->Signature_});
  std::exponential_distribution<double> Time(1.0);
  const double Factor = Time(Random_) * (Slow_ ? SlowFactor : 1);
  auto Timer = std::make_shared<boost::asio::steady_timer>(
      Io_, std::chrono::duration_cast<Duration>(WorkTime_ * Factor));
  Timer->async_wait([this, Item, Timer](const boost::system::error_code &) {
    const bool Fails = std::uniform_real_distribution<double>()(Random_) < ErrorShare_;
    if (Fails || !Call_ || Item->Cancelled_) {
      finish(Item, Fails ? 500 : 200);
      return;
    }
    Call_([this, Item](bool Served) { finish(Item, Served ? 200 : 500); });
  });
}

void Server::finish(const WorkPtr &Item, unsigned Status) {
  --Running_;
  Book_.finished(idOf(Item->Request_), Item->Signature_, Status);
  Item->Exchange_->respond(
      {Status,
       {{wireNames().RequestId_, idOf(Item->Request_)}, {wireNames().Signature_, Item->Signature_}},
       bodyOf(Item->Signature_, Item->Request_.Body_)});
  startNext();
}

} // namespace bronzestand::soak
