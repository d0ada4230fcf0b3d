#ifndef BRONZESTAND_NODE_PEER_LINKS_H
#define BRONZESTAND_NODE_PEER_LINKS_H

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "node/envelope.h"
#include "node/link_bytes.h"
#include "node/part.h"
#include "node/settings.h"

namespace bronzestand::node {

/// Identifies a connection; unique within one run of the process. 0 means no connection.
using LinkId = std::uint64_t;

/// Sender of a message, authenticated by the handshake of the link.
struct Peer {
  HostId Host_;
  Incarnation Incarnation_ = 0;
  std::uint64_t Epoch_ = 0;
  LinkId Link_ = 0;
  bool Leaving_ = false; ///< announced in the handshake that it leaves the fleet
};

/// Whether a message is sent for the first time; only counted.
enum class Sending { First, Repeat };

/// Why the last link to a host ended.
enum class LinkEnd {
  Idle,   ///< closed because it was idle
  Failed, ///< could not be opened
  Lost,   ///< the connection failed while it was in use
};

/// WebSocket connections (links) to other nodes, authenticated with a secret shared by the fleet
/// (design section 11). A link is opened on the first message to a host and closed when idle.
class PeerLinks final : public Part {
public:
  using MessageHandler = std::function<void(const Peer &From, const nlohmann::json &Body)>;
  using Resolver = std::function<std::optional<Endpoint>(const HostId &Host)>;
  /// Called once per message with the link that it was written to, or 0 if it was dropped.
  using SentCallback = std::function<void(LinkId Link)>;
  /// Called before a queued message is written to a new link; the message is dropped if it returns
  /// false.
  using WantedCheck = std::function<bool()>;
  using LinkDownCallback = std::function<void(const HostId &Host, LinkId Link)>;
  using LinkUpCallback = std::function<void(const Peer &Other)>;
  using HeardCallback = std::function<bool(const Peer &From)>;
  /// Returns where a host is.
  using DistanceFinder = std::function<LinkDistance(const HostId &Host)>;
  using HostDownCallback = std::function<void(const HostId &Host, LinkEnd Reason)>;

  PeerLinks(boost::asio::io_context &Io, const Settings &Config, Incarnation Run);
  ~PeerLinks() override;

  void setHandler(MessageKind Kind, MessageHandler Handler);
  void setResolver(Resolver Find);
  void setDistance(DistanceFinder Find);
  /// Adds a header whose value repeats from call to call, so that short frames send it once.
  void addRepeatingHeader(std::string_view Name);
  /// Sends and accepts only the earlier form of frames on later links.
  void disableShortFrames();
  void addLinkDown(LinkDownCallback Callback);
  void addLinkUp(LinkUpCallback Callback);
  /// Sets a callback that is called before each message is handled; the message is dropped if it
  /// returns false.
  void setHeard(HeardCallback Callback);
  /// Adds a callback that is called when the last link to a host has ended, or when a link could
  /// not be opened.
  void addHostDown(HostDownCallback Callback);
  /// Called for each message written to an open link, with the size of its frame in bytes.
  using SentCounter = std::function<void(const HostId &To, MessageKind Kind, std::size_t Bytes)>;
  void setSentCounter(SentCounter Count);
  /// Sets the epoch of all later messages. It increases after each pause of this process.
  void setEpoch(std::uint64_t Epoch);
  /// Announces in later handshakes that this host leaves the fleet.
  void setLeaving();

  /// Sends a message, and opens a link if there is none. Delivery is not guaranteed.
  /// \param OnSent reports whether the message was written.
  /// \param Wanted checked only if the message has to be queued.
  /// \param Order whether a call is the first attempt of its request.
  void send(const HostId &To, MessageKind Kind, nlohmann::json Body, SentCallback OnSent = {},
            WantedCheck Wanted = {}, Sending Order = Sending::First);
  /// Opens a link to an address whose host is not known yet, unless one was opened to this address.
  /// Used at start-up.
  void connect(const Endpoint &Address);
  /// Opens a new link to a host whose existing links are silent. These are closed when the new link
  /// is open, and also if the attempt to open it fails.
  void open(const HostId &Host);
  bool isLinked(const HostId &Host) const;
  /// Returns the counters of all frames of this run of the process.
  const LinkBytes &bytes() const;
  /// Returns the bytes of all messages that were written to open links and that the other nodes
  /// have not acknowledged.
  std::size_t unacknowledgedBytes() const;
  /// Returns the bytes of all messages that wait to be written.
  std::size_t queuedBytes() const;

  std::string_view name() const override { return "peer_links"; }
  absl::Status start() override;
  void stop() override;
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override;
  /// Appends Prometheus text: bytes and frames, memory of frames that arrive, links that were
  /// refused or closed.
  void print(std::string &Out) const;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace bronzestand::node

#endif
