#ifndef BRONZESTAND_TESTS_STANDINS_EARLIER_NODE_H
#define BRONZESTAND_TESTS_STANDINS_EARLIER_NODE_H

#include <boost/asio/steady_timer.hpp>

#include "mesh/codec_fleet_state.h"
#include "node/clock.h"
#include "node/peer_links.h"
#include "store_watch.h"

namespace bronzestand::standin {

/// What other nodes see of a node of a build before StoreReaders: it watches the store itself,
/// answers queries, takes a request to be notified for a query, and knows no other message.
class EarlierNode {
public:
  EarlierNode(boost::asio::io_context &Io, node::Settings Config)
      : Config_(watchingAlone(std::move(Config))), Events_(Config_.Host_.str()),
        Links_(Io, Config_, node::wallMicroseconds()), Fleet_(Config_, Events_),
        Watch_(Io, Config_, Fleet_, Events_), Timer_(Io) {}
  ~EarlierNode() {
    Watch_.stop();
    Links_.stop();
  }
  EarlierNode(const EarlierNode &) = delete;
  EarlierNode &operator=(const EarlierNode &) = delete;

  bool start() {
    Links_.disableShortFrames();
    Links_.setResolver([this](const HostId &Host) {
      return std::optional<node::Endpoint>({Host.str(), Config_.PeerListen_.Port_});
    });
    Links_.setHandler(
        node::MessageKind::ConfigSpread,
        [this](const node::Peer &From, const nlohmann::json &Body) { handle(From.Host_, Body); });
    tick();
    return Links_.start().ok() && Watch_.start().ok();
  }
  /// Asks another node for its whole state, as at the start.
  void query(const HostId &Other) {
    Links_.send(Other, node::MessageKind::ConfigSpread,
                node::encodeFleetState(node::FleetStateQuery()));
  }

  std::uint64_t version() const { return Fleet_.version(); }
  int queries() const { return Queries_; }
  int replies() const { return Replies_; }
  /// Number of messages that a build before StoreReaders does not know.
  int unknown() const { return Unknown_; }

private:
  /// With a time below 2 s every node watches the store, so that StoreReaders takes no part.
  static node::Settings watchingAlone(node::Settings Config) {
    Config.Mesh_->ApplyTime_ = std::chrono::milliseconds(1900);
    return Config;
  }

  void tick() {
    Timer_.expires_after(std::chrono::milliseconds(100));
    Timer_.async_wait([this](const boost::system::error_code &Failure) {
      if (Failure)
        return;
      for (node::Part *Item : std::initializer_list<node::Part *>{&Links_, &Fleet_, &Watch_})
        Item->tick(node::now());
      tick();
    });
  }

  // Fields after the known ones are ignored, as positional decoding does.
  void handle(const HostId &From, const nlohmann::json &Body) {
    const auto Form = Body.at(0).get<unsigned>();
    ++(Form == 0 ? Queries_ : Form == 1 ? Replies_ : Unknown_);
    if (Form != 0 || !Fleet_.isReady())
      return;
    node::FleetStateReply Reply;
    Reply.Position_ = Fleet_.position();
    Reply.Confirmed_ = true;
    if (Fleet_.version() > Body.at(3).get<std::uint64_t>())
      Reply.Config_ = Fleet_.config();
    Links_.send(From, node::MessageKind::ConfigSpread, node::encodeFleetState(std::move(Reply)));
  }

  node::Settings Config_;
  node::EventLog Events_;
  node::PeerLinks Links_;
  node::FleetState Fleet_;
  platform::StoreWatch Watch_;
  boost::asio::steady_timer Timer_;
  int Queries_ = 0;
  int Replies_ = 0;
  int Unknown_ = 0;
};

} // namespace bronzestand::standin

#endif
