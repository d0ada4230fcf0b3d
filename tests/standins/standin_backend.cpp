// Stand-in of a backend server: a number of slots, a service time, child calls through the local
// node, and a record of what it ran. Tests read the record and change its behaviour by /control.
#include <deque>

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "node/http_client.h"
#include "standin.h"

using namespace bronzestand;
using namespace bronzestand::standin;
using nlohmann::json;

namespace {

/// A child call that every request makes, or only those to one path.
struct Child {
  std::string OnlyFor_;
  std::string Method_;
  std::string Target_;
};

struct Work {
  node::HttpRequest Request_;
  node::HttpExchangePtr Exchange_;
  bool Cancelled_ = false;
  std::size_t NextChild_ = 0;
};
using WorkPtr = std::shared_ptr<Work>;

class Backend {
public:
  Backend(boost::asio::io_context &Io, const Options &Given)
      : Io_(Io), Slots_(std::stoul(Given.get("--slots", "32"))),
        ServiceTime_(std::stol(Given.get("--service-us", "1000"))),
        CrashOn_(Given.get("--crash-on")) {
    if (!Given.get("--egress").empty())
      Egress_ = std::make_unique<node::HttpClient>(Io, Given.endpoint("--egress"), 300);
    for (const std::string &Text : Given.all("--child")) {
      const std::size_t Equals = Text.find('=');
      const std::string Call = Equals == std::string::npos ? Text : Text.substr(Equals + 1);
      const std::size_t Space = Call.find(' ');
      Children_.push_back({Equals == std::string::npos ? std::string() : Text.substr(0, Equals),
                           Call.substr(0, Space), Call.substr(Space + 1)});
    }
  }

  void handle(node::HttpRequest Request, const node::HttpExchangePtr &Exchange) {
    if (boost::starts_with(Request.Target_, "/control/")) {
      Exchange->respond(control(Request));
      return;
    }
    record(Request);
    if (!CrashOn_.empty() && Request.Body_.find(CrashOn_) != std::string::npos)
      std::_Exit(134);
    auto Item = std::make_shared<Work>();
    Item->Request_ = std::move(Request);
    Item->Exchange_ = Exchange;
    Exchange->onCancelled([Item] { Item->Cancelled_ = true; });
    Queue_.push_back(Item);
    startNext();
  }

private:
  void record(const node::HttpRequest &Request) {
    ++Received_;
    const std::string Service(node::pathOf(Request.Target_));
    ++RunsByPath_[Service];
    if (const auto Key = node::findHeader(Request.Headers_, "Idempotency-Key"))
      ++RunsByKey_[*Key];
    if (const auto Team = node::findHeader(Request.Headers_, "Bronzestand-Team"))
      ++RunsByTeam_[*Team];
    std::string Text = Request.Target_;
    for (const Header &Field : Request.Headers_)
      Text += "\n" + Field.Name_ + ": " + Field.Value_;
    if (!Secret_.empty() && Text.find(Secret_) != std::string::npos)
      ++SecretsSeen_;
  }

  void startNext() {
    while (InFlight_ < Slots_ && !Queue_.empty()) {
      const WorkPtr Item = Queue_.front();
      Queue_.pop_front();
      if (Item->Cancelled_) {
        ++Skipped_;
        continue;
      }
      ++InFlight_;
      auto Timer = std::make_shared<boost::asio::steady_timer>(Io_, ServiceTime_);
      Timer->async_wait(
          [this, Item, Timer](const boost::system::error_code &) { callChild(Item); });
    }
  }

  void callChild(const WorkPtr &Item) {
    if (Item->NextChild_ >= Children_.size() || !Egress_ || Item->Cancelled_) {
      finish(Item, 200);
      return;
    }
    const Child &Target = Children_[Item->NextChild_++];
    if (!Target.OnlyFor_.empty() && Target.OnlyFor_ != node::pathOf(Item->Request_.Target_)) {
      callChild(Item);
      return;
    }
    node::HttpRequest Request;
    Request.Method_ = Target.Method_;
    Request.Target_ = Target.Target_;
    const auto Token = node::findHeader(Item->Request_.Headers_, "Bronzestand-Call");
    Request.Headers_.push_back({"Bronzestand-Call", Token.value_or("")});
    Request.Body_ = Item->Request_.Body_;
    Egress_->send(std::move(Request), std::chrono::seconds(30),
                  [this, Item](node::HttpResult Result, const node::HttpResponse &Response) {
                    if (Result == node::HttpResult::Answered && Response.Status_ < 300)
                      callChild(Item);
                    else
                      finish(Item, 502);
                  });
  }

  void finish(const WorkPtr &Item, unsigned Status) {
    --InFlight_;
    ++(Status < 300 ? Succeeded_ : Failed_);
    const auto Request = node::findHeader(Item->Request_.Headers_, "Bronzestand-Request-Id");
    Item->Exchange_->respond(
        reply(Status, json{{"request_id", Request.value_or("")},
                           {"echo", Item->Request_.Body_},
                           {"target", Item->Request_.Target_}}
                          .dump(-1, ' ', false, json::error_handler_t::replace)));
    startNext();
  }

  node::HttpResponse control(const node::HttpRequest &Request) {
    const auto Query = queryOf(Request.Target_);
    if (Query.count("service_us"))
      ServiceTime_ = std::chrono::microseconds(std::stol(Query.at("service_us")));
    if (Query.count("slots"))
      Slots_ = std::stoul(Query.at("slots"));
    if (Query.count("secret"))
      Secret_ = Query.at("secret");
    return reply(200, json{{"received", Received_},
                           {"succeeded", Succeeded_},
                           {"failed", Failed_},
                           {"skipped", Skipped_},
                           {"in_flight", InFlight_},
                           {"queued", Queue_.size()},
                           {"runs_by_key", RunsByKey_},
                           {"runs_by_path", RunsByPath_},
                           {"runs_by_team", RunsByTeam_},
                           {"secrets_seen", SecretsSeen_}}
                          .dump());
  }

  boost::asio::io_context &Io_;
  std::size_t Slots_;
  std::chrono::microseconds ServiceTime_;
  std::string CrashOn_;
  std::string Secret_;
  std::vector<Child> Children_;
  std::unique_ptr<node::HttpClient> Egress_;
  std::deque<WorkPtr> Queue_;
  std::size_t InFlight_ = 0;
  std::uint64_t Received_ = 0;
  std::uint64_t Succeeded_ = 0;
  std::uint64_t Failed_ = 0;
  std::uint64_t Skipped_ = 0;
  std::uint64_t SecretsSeen_ = 0;
  std::map<std::string, std::uint64_t> RunsByKey_;
  std::map<std::string, std::uint64_t> RunsByPath_;
  std::map<std::string, std::uint64_t> RunsByTeam_;
};

} // namespace

int main(int argc, char **argv) {
  const Options Given(argc, argv);
  boost::asio::io_context Io(1);
  Backend Service(Io, Given);
  node::HttpServer Server(Io, Given.endpoint("--listen"), {},
                          [&](node::HttpRequest Request, const node::HttpExchangePtr &Exchange) {
                            Service.handle(std::move(Request), Exchange);
                          });
  startOrExit(Server);
  return runUntilSignal(Io);
}
