#ifndef BRONZESTAND_TESTS_STANDINS_PLATFORM_STORE_H
#define BRONZESTAND_TESTS_STANDINS_PLATFORM_STORE_H

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <absl/strings/escaping.h>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "node/http_server.h"
#include "standin.h"

namespace bronzestand::standin {

/// Stand-in of the platform's metadata store: pages, watches, lost history, refusals, silence, and
/// restores from a copy.
class PlatformStore {
public:
  using json = nlohmann::json;

  PlatformStore(boost::asio::io_context &Io, const node::Endpoint &Listen)
      : Io_(Io),
        Server_(Io, Listen, {},
                [this](const node::HttpRequest &Request, const node::HttpExchangePtr &Exchange) {
                  handle(Request, Exchange);
                }) {}

  absl::Status start() { return Server_.start(); }
  void stop() {
    Server_.stop();
    Waiting_.clear();
  }

  Revision put(const std::string &Key, const std::string &Value) {
    Items_[Key] = {Value, ++Revision_};
    addEvent(itemOf(Key, Value, Revision_));
    return Revision_;
  }
  /// Lists an item with a value that is not base64 text, and tells watches of it.
  Revision putUnreadable(const std::string &Key) {
    Unreadable_.insert(Key);
    return put(Key, "");
  }
  bool has(const std::string &Key) const { return Items_.count(Key) != 0; }
  /// Removes an item without an event, as when the history is lost.
  void drop(const std::string &Key) { Items_.erase(Key); }
  Revision remove(const std::string &Key) {
    Items_.erase(Key);
    addEvent({{"Key", Key}, {"Rev", ++Revision_}, {"Removed", true}});
    return Revision_;
  }

  /// What a restore brings back.
  struct Copy {
    std::map<std::string, std::pair<std::string, Revision>> Items_;
    std::vector<json> Events_;
    Revision Revision_ = 0;
  };
  Copy copy() const { return {Items_, Events_, Revision_}; }
  /// Continues from a copy in a new era: what was written since is lost and its revisions are given
  /// out again. Watches that wait are cut.
  void restore(const Copy &Old) {
    Items_ = Old.Items_;
    Events_ = Old.Events_;
    Revision_ = Old.Revision_;
    Forgotten_ = std::min(Forgotten_, Revision_);
    ++Era_;
    failWatches(503);
  }
  /// Answers with an earlier era from now on, as a late answer does.
  void setEra(std::uint64_t Era) { Era_ = Era; }
  std::uint64_t era() const { return Era_; }

  /// Status of all answers from now on; 0 to serve.
  void setFailure(unsigned Status) { Failure_ = Status; }
  /// Takes calls and answers none of them.
  void setSilent(bool Silent) { Silent_ = Silent; }
  void setDelay(std::chrono::milliseconds Delay) { Delay_ = Delay; }
  void setPageItems(std::size_t Count) { PageItems_ = Count; }
  /// Watches that wait hear of no change from now on, until the history is lost.
  void holdWatches() { Held_ = true; }
  /// Drops all changes up to now; watches that wait are told so.
  void forgetHistory() {
    Forgotten_ = Revision_;
    Held_ = false;
    for (const WatchPtr &Item : std::exchange(Waiting_, {}))
      answer(Item->Exchange_, 410, {});
  }
  /// Ends the watches that wait with a status.
  void failWatches(unsigned Status) {
    for (const WatchPtr &Item : std::exchange(Waiting_, {}))
      answer(Item->Exchange_, Status, {});
  }
  /// Never answers the watches that wait now, as when their connections have gone silent.
  void silenceWatches() {
    for (WatchPtr &Item : std::exchange(Waiting_, {}))
      Silenced_.push_back(std::move(Item));
  }

  Revision revision() const { return Revision_; }
  std::size_t waitingWatches() const { return Waiting_.size(); }
  bool isWatched() const { return !Waiting_.empty(); }
  int watches() const { return Watches_; }
  int listings() const { return Listings_; }

private:
  struct Watch {
    explicit Watch(boost::asio::io_context &Io) : Timer_(Io) {}
    Revision After_ = 0;
    node::HttpExchangePtr Exchange_;
    boost::asio::steady_timer Timer_;
  };
  using WatchPtr = std::shared_ptr<Watch>;

  json itemOf(const std::string &Key, const std::string &Value, Revision Changed) const {
    const std::string Text = Unreadable_.count(Key) == 0 ? absl::Base64Escape(Value) : "!";
    return {{"Key", Key}, {"Value", Text}, {"Rev", Changed}, {"Lease", 0}};
  }

  void addEvent(json Event) {
    Events_.push_back(std::move(Event));
    if (Held_)
      return;
    for (const WatchPtr &Item : std::exchange(Waiting_, {}))
      answerWatch(*Item);
  }

  json eventsAfter(Revision After) const {
    json Result = json::array();
    for (const json &Event : Events_)
      if (Event.at("Rev").get<Revision>() > After)
        Result.push_back(Event);
    return Result;
  }

  void answerWatch(const Watch &Item) {
    answer(Item.Exchange_, 200, {{"events", eventsAfter(Item.After_)}, {"CurrentRev", Revision_}});
  }

  void answer(const node::HttpExchangePtr &Exchange, unsigned Status, const json &Body) {
    const std::vector<Header> Headers{{"Store-Era", std::to_string(Era_)}};
    if (Delay_ == std::chrono::milliseconds::zero()) {
      Exchange->respond({Status, Headers, Body.dump()});
      return;
    }
    auto Timer = std::make_shared<boost::asio::steady_timer>(Io_, Delay_);
    Timer->async_wait(
        [Timer, Exchange, Status, Headers, Text = Body.dump()](const boost::system::error_code &) {
          Exchange->respond({Status, Headers, Text});
        });
  }

  void handle(const node::HttpRequest &Request, const node::HttpExchangePtr &Exchange) {
    const bool Listing = boost::starts_with(Request.Target_, "/api/kv-range");
    ++(Listing ? Listings_ : Watches_);
    if (Silent_) {
      Silenced_.push_back(std::make_shared<Watch>(Io_));
      Silenced_.back()->Exchange_ = Exchange;
    } else if (Failure_ != 0) {
      answer(Exchange, Failure_, {});
    } else if (Listing) {
      list(queryOf(Request.Target_), Exchange);
    } else {
      watch(queryOf(Request.Target_), Exchange);
    }
  }

  void list(const std::map<std::string, std::string> &Query,
            const node::HttpExchangePtr &Exchange) {
    const auto After = Query.find("after");
    auto Item = After == Query.end() ? Items_.begin() : Items_.upper_bound(After->second);
    json List = json::array();
    for (; Item != Items_.end() && List.size() < PageItems_; ++Item)
      List.push_back(itemOf(Item->first, Item->second.first, Item->second.second));
    answer(Exchange, 200,
           {{"items", List}, {"MorePages", Item != Items_.end()}, {"CurrentRev", Revision_}});
  }

  void watch(const std::map<std::string, std::string> &Query,
             const node::HttpExchangePtr &Exchange) {
    const auto Item = std::make_shared<Watch>(Io_);
    Item->After_ = std::stoull(Query.at("after"));
    Item->Exchange_ = Exchange;
    if (Item->After_ < Forgotten_ || Item->After_ > Revision_) {
      answer(Exchange, 410, {});
      return;
    }
    if (!Held_ && !eventsAfter(Item->After_).empty()) {
      answerWatch(*Item);
      return;
    }
    Waiting_.push_back(Item);
    Exchange->onCancelled(
        [this, Weak = std::weak_ptr<Watch>(Item)] { Waiting_.remove(Weak.lock()); });
    Item->Timer_.expires_after(std::chrono::milliseconds(std::stol(Query.at("WaitMs"))));
    Item->Timer_.async_wait(
        [this, Weak = std::weak_ptr<Watch>(Item)](const boost::system::error_code &Failed) {
          const WatchPtr Ended = Weak.lock();
          const auto Found = std::find(Waiting_.begin(), Waiting_.end(), Ended);
          if (Failed || Found == Waiting_.end())
            return;
          Waiting_.erase(Found);
          answerWatch(*Ended);
        });
  }

  boost::asio::io_context &Io_;
  std::map<std::string, std::pair<std::string, Revision>> Items_;
  std::set<std::string> Unreadable_; ///< keys whose values are not base64 text
  std::vector<json> Events_;
  Revision Revision_ = 10;
  std::uint64_t Era_ = 1;
  Revision Forgotten_ = 0; ///< changes up to this are no longer kept
  std::size_t PageItems_ = 500;
  unsigned Failure_ = 0;
  bool Silent_ = false;
  bool Held_ = false;
  std::chrono::milliseconds Delay_{0};
  std::list<WatchPtr> Waiting_;
  std::list<WatchPtr> Silenced_;
  int Watches_ = 0;
  int Listings_ = 0;
  node::HttpServer Server_;
};

} // namespace bronzestand::standin

#endif
