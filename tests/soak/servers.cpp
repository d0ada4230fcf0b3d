#include "servers.h"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bronzestand::soak {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t Slots = 24;
constexpr std::size_t MaxQueue = 24;
constexpr int SlowFactor = 10;
/// A cold server has half its speed.
constexpr int ColdFactor = 2;
constexpr Duration ColdSpan = std::chrono::seconds(1);

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
      Listen_(Listen) {
  replace();
}

absl::Status Server::start() {
  Listeners_.push_back(std::make_unique<node::HttpServer>(
      Io_, Listen_, node::HttpServerLimits(),
      [this](node::HttpRequest Request, const node::HttpExchangePtr &Exchange) {
        handle(std::move(Request), Exchange);
      }));
  return Listeners_.back()->start();
}

void Server::end() {
  ++Life_;
  Running_ = 0;
  Queue_.clear();
  Listeners_.back()->stop();
  Crashing_.clear();
}

void Server::setCold(Duration Time, double Bound, std::function<void()> OnCrash) {
  ColdTime_ = Time;
  ColdBound_ = Bound;
  OnCrash_ = std::move(OnCrash);
  turnCold();
}

void Server::turnCold() {
  ColdArrivals_.clear();
  ColdUntil_ = node::now() + ColdTime_;
}

Duration Server::coldFor() const { return std::max(Duration::zero(), ColdUntil_ - node::now()); }

bool Server::crashes(const node::HttpRequest &Request) {
  const TimePoint Now = node::now();
  if (Now >= ColdUntil_)
    return false;
  ColdArrivals_.push_back(Now);
  while (Now - ColdArrivals_.front() > ColdSpan)
    ColdArrivals_.pop_front();
  if (static_cast<double>(ColdArrivals_.size()) <= ColdBound_)
    return false;
  Book_.violated(Promise::ColdBounded, idOf(Request),
                 fmt::format("{} got {} requests in a second while cold, {} allowed", Id_,
                             ColdArrivals_.size(), ColdBound_));
  return true;
}

void Server::replace() {
  Id_ = fmt::format("i-{}-{}", Node_, ++Incarnation_);
  StartedMs_ = node::wallMicroseconds() / 1000;
  turnCold();
}

std::string Server::entry(const std::string &State, const std::string &Address,
                          const std::string &DataCentre) const {
  return nlohmann::json{
      {"Address", Address},
      {"Info", {{"Service", Service_}, {"Zone", DataCentre}, {"Slots", Slots}, {"Version", "1"}}},
      {"Status",
       {{"State", State},
        {"ColdRemainingMs", std::chrono::duration_cast<milliseconds>(coldFor()).count()},
        {"Sequence", 1}}},
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
  if (ColdTime_ != Duration::zero() && Request.Target_ == HealthPath) {
    const auto ColdMs = std::chrono::duration_cast<milliseconds>(coldFor()).count();
    Exchange->respond(
        {200, {{wireNames().Instance_, Id_}, {wireNames().ColdFor_, std::to_string(ColdMs)}}, ""});
    return;
  }
  const auto Wanted = node::findHeader(Request.Headers_, wireNames().ExpectedServer_);
  if (Wanted && *Wanted != Id_) {
    reject(Request, Exchange, 421);
    return;
  }
  if (crashes(Request)) {
    // The listener can't end inside its own handler.
    boost::asio::post(Io_, [this, Life = Life_] {
      if (Life == Life_)
        OnCrash_();
    });
    Crashing_.push_back(Exchange);
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
  const double Factor =
      Time(Random_) * (Slow_ ? SlowFactor : 1) * (coldFor() > Duration::zero() ? ColdFactor : 1);
  auto Timer = std::make_shared<boost::asio::steady_timer>(
      Io_, std::chrono::duration_cast<Duration>(WorkTime_ * Factor));
  Timer->async_wait([this, Item, Timer, Life = Life_](const boost::system::error_code &) {
    if (Life != Life_)
      return;
    const bool Fails = std::uniform_real_distribution<double>()(Random_) < ErrorShare_;
    if (Fails || !Call_ || Item->Cancelled_) {
      finish(Item, Fails ? 500 : 200);
      return;
    }
    Call_([this, Item, Life](bool Served) {
      if (Life == Life_)
        finish(Item, Served ? 200 : 500);
    });
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
