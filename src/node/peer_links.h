#ifndef BRONZESTAND_NODE_PEER_LINKS_H
#define BRONZESTAND_NODE_PEER_LINKS_H

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "node/envelope.h"
#include "node/part.h"
#include "node/settings.h"

namespace bronzestand::node {

/// Number of a connection; never used twice in one run of the process. 0 is no connection.
using LinkId = std::uint64_t;

/// Who sent a message, as proven when the link was opened.
struct Peer {
  HostId Host_;
  Incarnation Incarnation_ = 0;
  std::uint64_t Epoch_ = 0;
  LinkId Link_ = 0;
};

/// Connections to other nodes over WebSocket, authenticated with the fleet's secret
/// (design section 11). A link is opened on the first message to a host and closed when idle.
class PeerLinks final : public Part {
public:
  using MessageHandler = std::function<void(const Peer &From, const nlohmann::json &Body)>;
  using Resolver = std::function<std::optional<Endpoint>(const HostId &Host)>;
  /// Told once per message: the link that it was written to, or 0 if it was never written.
  using SentCallback = std::function<void(LinkId Link)>;
  /// Asked before a message that has waited for a link is written; if false, it is dropped.
  using WantedCheck = std::function<bool()>;
  using LinkDownCallback = std::function<void(const HostId &Host, LinkId Link)>;
  using LinkUpCallback = std::function<void(const Peer &Other)>;

  PeerLinks(boost::asio::io_context &Io, const Settings &Config, Incarnation Run);
  ~PeerLinks() override;

  void setHandler(MessageKind Kind, MessageHandler Handler);
  void setResolver(Resolver Find);
  void addLinkDown(LinkDownCallback Callback);
  void addLinkUp(LinkUpCallback Callback);
  /// Told of every message that is written, with its size.
  using SentCounter = std::function<void(const HostId &To, MessageKind Kind, std::size_t Bytes)>;
  void setSentCounter(SentCounter Count);
  /// Revisions that every message from now on carries.
  void setRevisions(Revision Config, Revision List);
  /// Starts a new epoch after this process was paused.
  void advanceEpoch();

  /// Sends a message, over a new link if there is none. May lose it; tells so through OnSent.
  void send(const HostId &To, MessageKind Kind, nlohmann::json Body, SentCallback OnSent = {},
            WantedCheck Wanted = {});
  /// Opens a link to an address whose host is not known yet; used at start.
  void connect(const Endpoint &Address);
  bool isLinked(const HostId &Host) const;

  std::string_view name() const override { return "peer_links"; }
  absl::Status start() override;
  void stop() override;
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace bronzestand::node

#endif
