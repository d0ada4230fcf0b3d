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
  bool Leaving_ = false; ///< said so in the handshake
};

/// Why there is no link to a host any more.
enum class LinkEnd {
  Idle,   ///< closed on purpose
  Failed, ///< could not be opened, or broke
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
  using HeardCallback = std::function<bool(const Peer &From)>;
  using HostDownCallback = std::function<void(const HostId &Host, LinkEnd Reason)>;

  PeerLinks(boost::asio::io_context &Io, const Settings &Config, Incarnation Run);
  ~PeerLinks() override;

  void setHandler(MessageKind Kind, MessageHandler Handler);
  void setResolver(Resolver Find);
  void addLinkDown(LinkDownCallback Callback);
  void addLinkUp(LinkUpCallback Callback);
  /// Told before each message is handled; the message is dropped if it returns false.
  void setHeard(HeardCallback Callback);
  /// Told when the last link to a host ended, or when one could not be opened.
  void addHostDown(HostDownCallback Callback);
  /// Told of every message that is written, with its size.
  using SentCounter = std::function<void(const HostId &To, MessageKind Kind, std::size_t Bytes)>;
  void setSentCounter(SentCounter Count);
  /// Sets the epoch of all messages from now on, after this process was paused.
  void setEpoch(std::uint64_t Epoch);
  /// Says in later handshakes that this host leaves.
  void setLeaving();

  /// Sends a message, over a new link if there is none. May lose it; tells so through OnSent.
  void send(const HostId &To, MessageKind Kind, nlohmann::json Body, SentCallback OnSent = {},
            WantedCheck Wanted = {});
  /// Opens a link to an address whose host is not known yet, unless there is one; used at start.
  void connect(const Endpoint &Address);
  /// Opens a new link to a host. Once it is open, earlier ones are closed; if it can't be opened,
  /// they are closed too, because they were found silent.
  void open(const HostId &Host);
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
