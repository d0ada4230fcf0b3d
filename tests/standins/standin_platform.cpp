// Stand-in of the platform's configuration service: values by path, read and watched over HTTP.
// Tests change values and make it fail through /control.
#include <list>
#include <optional>

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "standin.h"

using namespace bronzestand;
using namespace bronzestand::standin;
using nlohmann::json;

namespace {

struct Value {
  Revision Revision_ = 0;
  std::optional<std::string> Text_;
};

struct Store {
  Revision Revision_ = 0;
  std::map<std::string, Value> Values_;
};

struct Watch {
  Revision Since_ = 0;
  node::HttpExchangePtr Exchange_;
  std::shared_ptr<boost::asio::steady_timer> Timer_;
};

class Platform {
public:
  explicit Platform(boost::asio::io_context &Io) : Io_(Io) {}

  void handle(const node::HttpRequest &Request, const node::HttpExchangePtr &Exchange) {
    const auto Query = queryOf(Request.Target_);
    const std::string Path(node::pathOf(Request.Target_));
    if (boost::starts_with(Path, "/control/")) {
      Exchange->respond(control(Request, Path, Query));
      return;
    }
    ++Reads_;
    if (Mode_ == "down")
      return; // the dropped exchange answers with an error, as a failing service does
    const Revision Since = std::stoull(Query.count("since") ? Query.at("since") : "0");
    if (Path == "/v1/watch" && Since >= visible().Revision_)
      wait(Since, Query, Exchange);
    else
      Exchange->respond(reply(200, changesSince(Since)));
  }

private:
  /// "stale" freezes what is seen; "old" goes back to what was frozen last.
  const Store &visible() const { return Mode_ == "stale" || Mode_ == "old" ? Stale_ : Current_; }

  std::string changesSince(Revision Since) const {
    json Result{{"revision", visible().Revision_}, {"values", json::array()}};
    for (const auto &[Path, Item] : visible().Values_)
      if (Item.Revision_ > Since)
        Result["values"].push_back({{"path", Path},
                                    {"revision", Item.Revision_},
                                    {"text", Item.Text_ ? json(*Item.Text_) : json()}});
    return Result.dump();
  }

  void wait(Revision Since, const std::map<std::string, std::string> &Query,
            const node::HttpExchangePtr &Exchange) {
    auto Timer = std::make_shared<boost::asio::steady_timer>(
        Io_, std::chrono::milliseconds(std::stoll(Query.at("wait_ms"))));
    Watches_.push_back({Since, Exchange, Timer});
    Timer->async_wait([this, Timer](const boost::system::error_code &Failure) {
      if (!Failure)
        answerWatches([&](const Watch &Item) { return Item.Timer_ == Timer; });
    });
  }

  template <typename Predicate> void answerWatches(Predicate Matches) {
    for (auto Item = Watches_.begin(); Item != Watches_.end();) {
      if (!Matches(*Item)) {
        ++Item;
        continue;
      }
      const Watch Answered = *Item;
      Item = Watches_.erase(Item);
      if (Mode_ != "down")
        Answered.Exchange_->respond(reply(200, changesSince(Answered.Since_)));
    }
  }

  node::HttpResponse control(const node::HttpRequest &Request, const std::string &Path,
                             const std::map<std::string, std::string> &Query) {
    if (Path == "/control/value") {
      Value &Item = Current_.Values_[Query.at("path")];
      Item.Revision_ = ++Current_.Revision_;
      Item.Text_ = Request.Method_ == "DELETE" ? std::nullopt : std::optional(Request.Body_);
    } else if (Path == "/control/mode") {
      if (Query.at("mode") == "stale")
        Stale_ = Current_;
      Mode_ = Query.at("mode");
    } else if (Path != "/control/stats") {
      return reply(404, "{}");
    }
    const Revision Seen = visible().Revision_;
    answerWatches([&](const Watch &Item) { return Mode_ == "down" || Item.Since_ < Seen; });
    return reply(
        200, json{{"revision", Current_.Revision_}, {"reads", Reads_}, {"watches", Watches_.size()}}
                 .dump());
  }

  boost::asio::io_context &Io_;
  Store Current_;
  Store Stale_;
  std::string Mode_ = "up";
  std::uint64_t Reads_ = 0;
  std::list<Watch> Watches_;
};

} // namespace

int main(int argc, char **argv) {
  const Options Given(argc, argv);
  boost::asio::io_context Io(1);
  Platform Service(Io);
  node::HttpServerLimits Limits;
  Limits.BodyBytes_ = 2ULL * 1024 * 1024;
  node::HttpServer Server(
      Io, Given.endpoint("--listen"), Limits,
      [&](const node::HttpRequest &Request, const node::HttpExchangePtr &Exchange) {
        Service.handle(Request, Exchange);
      });
  startOrExit(Server);
  return runUntilSignal(Io);
}
