#include "node/peer_links.h"

#include <algorithm>
#include <array>
#include <deque>
#include <unordered_map>

#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include "bronzestand/error.h"
#include "node/clock.h"
#include "node/link_counters.h"
#include "node/link_handshake.h"
#include "node/link_limits.h"
#include "node/link_sockets.h"
#include "node/link_table.h"
#include "node/log.h"

namespace bronzestand::node {
namespace {

using nlohmann::json;

/// Part of the memory of the process for messages that wait to be written; beyond it the link with
/// the longest queue is closed. Checked after frames of LargeFrameBytes and at each tick.
constexpr std::size_t QueueMemoryDivisor = 8;
constexpr std::size_t LargeFrameBytes = 64ULL * 1024;
/// Part of the memory of the process for frames that arrive; beyond it the link that holds the most
/// is closed. At least one frame of the largest size always has room.
constexpr std::size_t ArrivingMemoryDivisor = 8;
/// Accepted connections that have not proved to be of a node may have this part of the links.
constexpr std::size_t UnprovedDivisor = 4;
/// A link makes way for a new one only after it has carried nothing for this time, so that links in
/// use do not displace each other.
constexpr Duration MinUnused = std::chrono::seconds(2);
/// Maximum number of messages per host queued until a link opens. Further messages are dropped,
/// like messages lost by the network.
constexpr std::size_t MaxWaiting = 256;
/// A completed handshake shows that the peer is responsive only if it took a short time.
constexpr Duration HandshakeLimit = std::chrono::seconds(1);
constexpr Duration IdleLimit = std::chrono::seconds(60);
/// The two ends reach the idle limit at slightly different times. A link that the peer closes
/// within this margin before the limit counts as idle, not as failed.
constexpr Duration IdleMargin = std::chrono::seconds(2);

/// Bytes of the bodies in a message. They make the size of a large one.
std::size_t bodyBytes(const json &Message) {
  std::size_t Sum = 0;
  if (Message.is_structured())
    for (const json &Item : Message)
      Sum += Item.is_binary() ? Item.get_binary().size() : 0;
  return Sum;
}

struct WaitingMessage {
  MessageKind Kind_;
  json Body_;
  PeerLinks::SentCallback OnSent_;
  PeerLinks::WantedCheck Wanted_;
  Sending Order_;
};

} // namespace

class PeerLinks::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(boost::asio::io_context &Io, const Settings &Config, Incarnation Run)
      : Handshake_(Config, Run), Io_(Io), Config_(Config), Run_(Run),
        Log_(makeLogger("peer_links")),
        Arriving_(std::make_shared<ArrivingFrames>(
            std::max(Config.MemoryBytes_ / ArrivingMemoryDivisor, LinkSockets::MaxFrameBytes))),
        Sockets_(Io, Arriving_), MaxLinks_(maxLinksOf(descriptorLimit())) {}

  absl::Status start() {
    const auto Self = weak_from_this();
    Sockets_.bind({[Self](const ConnectionHandle &Handle) {
                     if (const auto Alive = Self.lock())
                       Alive->onAccepted(Handle);
                   },
                   [Self](const ConnectionHandle &Handle, bool Outgoing) {
                     if (const auto Alive = Self.lock())
                       Alive->onOpen(Handle, Outgoing);
                   },
                   [Self](const ConnectionHandle &Handle, SocketEnd Reason) {
                     if (const auto Alive = Self.lock())
                       Alive->onClosed(Handle, Reason);
                   },
                   [Self](const ConnectionHandle &Handle, const std::string &Frame) {
                     if (const auto Alive = Self.lock())
                       Alive->onFrame(Handle, Frame);
                   }});
    Arriving_->onExceeded([Self] {
      if (const auto Alive = Self.lock())
        Alive->limitArrivingLater();
    });
    return Sockets_.listen(Config_.PeerListen_);
  }

  void stop() {
    Sockets_.stopListening();
    std::vector<LinkId> Ids;
    for (const auto &[Id, Item] : Links_)
      Ids.push_back(Id);
    for (const LinkId Id : Ids)
      closeLink(Id, "node is stopping");
  }

  void send(const HostId &To, MessageKind Kind, json Body, SentCallback OnSent, WantedCheck Wanted,
            Sending Order) {
    // The peer would close the link, and the copies of the frame take several times its size.
    if (Kind == MessageKind::Call && bodyBytes(Body) > LinkSockets::MaxFrameBytes) {
      if (OnSent)
        OnSent(0);
      return;
    }
    if (Link *Open = Links_.findOpen(To)) {
      if (Kind != MessageKind::Heartbeat)
        Open->LastUsed_ = now();
      if (write(*Open, Kind, Body, Order)) {
        if (OnSent)
          OnSent(Open->Id_);
        return;
      }
    }
    auto &Waiting = Waiting_[To];
    if (Waiting.size() >= MaxWaiting) {
      if (OnSent)
        OnSent(0);
      return;
    }
    Waiting.push_back({Kind, std::move(Body), std::move(OnSent), std::move(Wanted), Order});
    if (Waiting.size() == 1 && !ensureOpening(To))
      dropWaiting(To);
  }

  void connect(const Endpoint &Address) {
    const std::string Text = Address.str();
    if (std::none_of(Links_.begin(), Links_.end(),
                     [&](const auto &Entry) { return Entry.second.Address_ == Text; }))
      openAddress(Address, HostId());
  }

  void open(const HostId &Host) {
    if (!ensureOpening(Host)) {
      notifyHostDown(Host, LinkEnd::Failed);
      return;
    }
    for (auto &[Id, Item] : Links_)
      if (Item.Target_ == Host && !Item.Open_)
        Item.Replaces_ = true;
  }

  bool isLinked(const HostId &Host) { return Links_.findOpen(Host) != nullptr; }

  std::size_t unacknowledgedBytes() {
    std::size_t Sum = queuedBytes();
    for (const auto &Entry : Links_)
      if (Entry.second.Open_)
        Sum += Sockets_.unacknowledgedBytes(Entry.second);
    return Sum;
  }

  std::size_t queuedBytes() {
    std::size_t Sum = 0;
    for (const auto &[Id, Item] : Links_)
      Sum += Sockets_.queuedBytes(Item);
    return Sum;
  }

  void tick(TimePoint Now) {
    std::vector<std::pair<LinkId, const char *>> Closing;
    for (auto &[Id, Item] : Links_) {
      if (!Item.Open_) {
        if (Now - Item.Created_ > HandshakeLimit) {
          Measures_.count(LinkMeasure::FailedHandshake);
          Closing.emplace_back(Id, "handshake timed out");
        }
      } else if (Now - Item.LastUsed_ > IdleLimit) {
        Closing.emplace_back(Id, "link is idle");
      }
    }
    for (const auto &[Id, Reason] : Closing)
      closeLink(Id, Reason);
    limitQueues();
    limitArriving();
  }

  json dump() {
    json Result{{"incarnation", Run_},
                {"epoch", Epoch_},
                {"queued_bytes", queuedBytes()},
                {"arriving_bytes", Arriving_->bytes()},
                {"max_arriving_bytes", Arriving_->maxBytes()},
                {"max_links", MaxLinks_},
                {"unproved_connections", Unproved_.size()},
                {"links", json::array()}};
    Measures_.dump(Result);
    for (const auto &[Id, Item] : Links_)
      Result["links"].push_back(
          {{"id", Id},
           {"host", Item.Peer_.Host_.str()},
           {"open", Item.Open_},
           {"short_frames", Item.Short_},
           {"texts", (Item.Encoder_ ? Item.Encoder_->table().size() : 0) +
                         (Item.Decoder_ ? Item.Decoder_->table().size() : 0)}});
    Counters_.dump(Result);
    return Result;
  }

  void print(std::string &Out) {
    std::size_t Open = 0;
    for (const auto &Entry : Links_)
      Open += Entry.second.Open_ ? 1 : 0;
    Out += fmt::format(
        "# HELP bronzestand_link_memory_bytes Memory of frames of other nodes by share\n"
        "# TYPE bronzestand_link_memory_bytes gauge\n"
        "bronzestand_link_memory_bytes{{share=\"arriving\"}} {}\n"
        "# HELP bronzestand_link_memory_max_bytes Bound on the frames that arrive\n"
        "# TYPE bronzestand_link_memory_max_bytes gauge\n"
        "bronzestand_link_memory_max_bytes {}\n"
        "# HELP bronzestand_links Connections with other nodes by state\n"
        "# TYPE bronzestand_links gauge\n"
        "bronzestand_links{{state=\"open\"}} {}\n"
        "bronzestand_links{{state=\"unproved\"}} {}\n"
        "# HELP bronzestand_links_max Bound on connections with other nodes\n"
        "# TYPE bronzestand_links_max gauge\n"
        "bronzestand_links_max {}\n",
        Arriving_->bytes(), Arriving_->maxBytes(), Open, Unproved_.size(), MaxLinks_);
    Measures_.print(Out);
  }

  std::array<MessageHandler, MessageKindCount> Handlers_;
  Resolver Resolver_;
  SentCounter SentCounter_;
  LinkCounters Counters_;
  LinkHandshake Handshake_;
  RepeatingHeaders Repeating_;
  std::vector<LinkDownCallback> LinkDown_;
  std::vector<LinkUpCallback> LinkUp_;
  HeardCallback Heard_;
  std::vector<HostDownCallback> HostDown_;
  std::uint64_t Epoch_ = 0;

private:
  void limitQueues() {
    while (queuedBytes() > Config_.MemoryBytes_ / QueueMemoryDivisor) {
      const auto Longest =
          std::max_element(Links_.begin(), Links_.end(), [this](const auto &A, const auto &B) {
            return Sockets_.queuedBytes(A.second) < Sockets_.queuedBytes(B.second);
          });
      Log_->warn("closing link to {}: {} bytes are queued", Longest->second.Peer_.Host_.str(),
                 Sockets_.queuedBytes(Longest->second));
      Measures_.count(LinkMeasure::ClosedQueue);
      closeLink(Longest->first, "queue is too long");
    }
  }

  /// After the current handler, which may read the frame of the link that must be closed.
  void limitArrivingLater() {
    if (std::exchange(LimitPosted_, true))
      return;
    boost::asio::post(Io_, [Self = weak_from_this()] {
      const auto Alive = Self.lock();
      if (!Alive)
        return;
      Alive->LimitPosted_ = false;
      Alive->limitArriving();
    });
  }

  void limitArriving() {
    if (!Arriving_->isExceeded())
      return;
    const auto Largest =
        std::max_element(Links_.begin(), Links_.end(), [this](const auto &A, const auto &B) {
          return Sockets_.arrivingBytes(A.second) < Sockets_.arrivingBytes(B.second);
        });
    if (Largest == Links_.end())
      return;
    Log_->warn("closing link to {}: frames of {} bytes arrive on all links",
               Largest->second.Peer_.Host_.str(), Arriving_->bytes());
    Measures_.count(LinkMeasure::ClosedLargest);
    closeLink(Largest->first, "its frame is the largest");
  }

  /// Makes way for a new link. \return false if all links are in use.
  bool makeWay() {
    if (Links_.size() + Unproved_.size() < MaxLinks_)
      return true;
    const Link *Found = Links_.leastUsed();
    if (Found == nullptr || now() - Found->LastUsed_ < MinUnused) {
      Measures_.count(LinkMeasure::RefusedLink);
      Log_->warn("refusing a link: all {} are in use", MaxLinks_);
      return false;
    }
    Measures_.count(LinkMeasure::ClosedUnused);
    const Link Unused = *Found;
    removeLink(Unused.Id_, true);
    Sockets_.release(Unused);
    return true;
  }

  void onAccepted(const ConnectionHandle &Handle) {
    if (Unproved_.size() >= std::max<std::size_t>(MaxLinks_ / UnprovedDivisor, 1)) {
      Measures_.count(LinkMeasure::ClosedUnproved);
      closeAccepted(Unproved_.takeFirst());
    }
    if (makeWay())
      Unproved_.add(Handle);
    else
      Sockets_.closeAccepted(Handle);
  }

  /// Closes an accepted connection whose other end has not proved that it is a node.
  void closeAccepted(const ConnectionHandle &Handle) {
    if (const Link *Item = Links_.findByHandle(Handle))
      closeLink(Item->Id_, "too many connections without proof");
    else
      Sockets_.closeAccepted(Handle);
  }

  bool ensureOpening(const HostId &To) {
    for (const auto &[Id, Item] : Links_)
      if (Item.Target_ == To && !Item.Open_)
        return true;
    const auto Address = Resolver_ ? Resolver_(To) : std::nullopt;
    return Address && openAddress(*Address, To);
  }

  bool openAddress(const Endpoint &Address, const HostId &Target) {
    if (!makeWay())
      return false;
    return Sockets_.connect(Address, Config_.Host_, [&](const ConnectionHandle &Handle) {
      Links_.add(Handle, true, Target).Address_ = Address.str();
    });
  }

  void onOpen(const ConnectionHandle &Handle, bool Outgoing) {
    if (Outgoing)
      return; // the accepting side sends its challenge first
    Link &Item = Links_.add(Handle, false, HostId());
    write(Item, MessageKind::Challenge, LinkHandshake::challenge(Item));
  }

  void onClosed(const ConnectionHandle &Handle, SocketEnd Reason) {
    Unproved_.remove(Handle);
    const Link *Item = Links_.findByHandle(Handle);
    if (Reason == SocketEnd::Oversized) {
      Measures_.count(LinkMeasure::ClosedOversized);
      Log_->warn("closed link to {}: its frame is too large",
                 Item == nullptr ? "" : Item->Peer_.Host_.str());
    }
    if (Item != nullptr)
      removeLink(Item->Id_, Reason == SocketEnd::Unneeded);
  }

  void onFrame(const ConnectionHandle &Handle, const std::string &Frame) {
    Link *Item = Links_.findByHandle(Handle);
    if (Item == nullptr)
      return;
    const auto Received = decodeFrame(*Item, Frame);
    if (!Received)
      return;
    const Envelope &Message = Received->Message_;
    Counters_.count(*Item, LinkBytes::Direction::Received, Message.Kind_, Received->Repeated_,
                    Frame.size());
    try {
      if (Item->Open_)
        deliver(*Item, Message);
      else
        handshake(*Item, Message);
    } catch (const json::exception &Failure) {
      Log_->warn("malformed {} message from {}", messageKindName(Message.Kind_),
                 Item->Peer_.Host_.str());
    }
  }

  /// Decodes a frame, or closes its link.
  std::optional<DecodedFrame> decodeFrame(Link &Item, const std::string &Frame) {
    if (!FrameDecoder::isShort(Frame)) {
      if (auto Message = decode(Frame))
        return DecodedFrame{*std::move(Message)};
      Measures_.count(LinkMeasure::ClosedMalformed);
      Log_->warn("closing link to {}: malformed frame", Item.Peer_.Host_.str());
      closeLink(Item.Id_, "malformed frame");
      return std::nullopt;
    }
    if (!Item.Short_ || !Item.Open_) {
      endByError(Item, "short_frame_not_agreed");
      return std::nullopt;
    }
    if (!Item.Decoder_)
      Item.Decoder_ = std::make_shared<FrameDecoder>();
    auto Result = Item.Decoder_->decode(Frame);
    if (auto *Received = std::get_if<DecodedFrame>(&Result))
      return std::move(*Received);
    endByError(Item, frameErrorName(std::get<FrameError>(Result)));
    return std::nullopt;
  }

  /// Closes a link whose peer violates the protocol. Calls are queried as after any loss.
  void endByError(const Link &Item, std::string_view Reason) {
    Measures_.count(LinkMeasure::ProtocolError);
    Log_->warn("closing link: {}", describe({ErrorCode::ProtocolViolation, Item.Peer_.Host_.str(),
                                             "frame", std::string(Reason)}));
    closeLink(Item.Id_, "protocol violation");
  }

  void handshake(Link &Item, const Envelope &Message) {
    const LinkHandshake::Step Next = Handshake_.next(Item, Message);
    if (Next.Reply_)
      write(Item, Next.Reply_->first, Next.Reply_->second);
    if (Next.Outcome_ == LinkHandshake::Outcome::Complete) {
      completeHandshake(Item, Message);
    } else if (Next.Outcome_ == LinkHandshake::Outcome::Failed) {
      Measures_.count(LinkMeasure::FailedHandshake);
      Log_->warn("handshake with {} failed", Message.Sender_.str());
      closeLink(Item.Id_, "handshake failed");
    }
  }

  void completeHandshake(Link &Item, const Envelope &Message) {
    Handshake_.complete(Item, Message);
    Unproved_.remove(Item.Handle_);
    Sockets_.admitLargeFrames(Item);
    Counters_.handshakeEnded(Item);
    const HostId Host = Message.Sender_;
    if (Item.Replaces_)
      closeOthers(Host, Item.Id_);
    Links_.select(Item);
    const Peer Other = Item.Peer_;
    flushWaiting(Host);
    for (const LinkUpCallback &Callback : LinkUp_)
      Callback(Other);
  }

  void deliver(Link &Item, const Envelope &Message) {
    // A message sent before a pause of the sender depends on state that the sender has dropped.
    if (Message.Epoch_ < Item.Peer_.Epoch_)
      return;
    Item.Peer_.Epoch_ = Message.Epoch_;
    if (Message.Kind_ != MessageKind::Heartbeat)
      Item.LastUsed_ = now();
    const MessageHandler &Handler = Handlers_[static_cast<std::size_t>(Message.Kind_)];
    const Peer From = Item.Peer_;
    if (Heard_ && !Heard_(From))
      return;
    if (Handler)
      Handler(From, Message.Body_);
  }

  bool write(Link &Item, MessageKind Kind, const json &Body, Sending Order = Sending::First) {
    // Short frames refer to each other, so they are encoded in the order in which they are sent.
    std::string Frame;
    const bool Short = encodeShort(Item, Kind, Body, Order, Frame);
    if (!Short)
      Frame = encode({Kind, Epoch_, Body, Config_.Host_, Run_});
    const bool Written = Sockets_.send(Item, Frame);
    if (Short && !Written)
      Item.Encoder_->rollback();
    else if (Short)
      Item.Encoder_->commit();
    if (!Written)
      return false;
    Counters_.count(Item, LinkBytes::Direction::Sent, Kind, Order == Sending::Repeat, Frame.size());
    if (SentCounter_ && Item.Open_)
      SentCounter_(Item.Peer_.Host_, Kind, Frame.size());
    if (Frame.size() >= LargeFrameBytes)
      boost::asio::post(Io_, [Self = weak_from_this()] {
        if (const auto Alive = Self.lock())
          Alive->limitQueues();
      });
    return true;
  }

  /// \return whether the message has a short form on this link.
  bool encodeShort(Link &Item, MessageKind Kind, const json &Body, Sending Order,
                   std::string &Frame) {
    if (!Item.Open_ || !Item.Short_ || !FrameEncoder::hasShortForm(Kind))
      return false;
    if (!Item.Encoder_)
      Item.Encoder_ = std::make_shared<FrameEncoder>(Repeating_);
    if (Item.Encoder_->encode(Kind, Order == Sending::Repeat, Epoch_, Body, Frame))
      return true;
    Item.Encoder_->rollback();
    return false;
  }

  void flushWaiting(const HostId &Host) {
    const auto Found = Waiting_.find(Host);
    if (Found == Waiting_.end())
      return;
    auto Messages = std::move(Found->second);
    Waiting_.erase(Found);
    for (WaitingMessage &Message : Messages) {
      if (!Message.Wanted_ || Message.Wanted_())
        send(Host, Message.Kind_, std::move(Message.Body_), std::move(Message.OnSent_),
             std::move(Message.Wanted_), Message.Order_);
      else if (Message.OnSent_)
        Message.OnSent_(0);
    }
  }

  void dropWaiting(const HostId &Host) {
    const auto Found = Waiting_.find(Host);
    if (Found == Waiting_.end())
      return;
    auto Messages = std::move(Found->second);
    Waiting_.erase(Found);
    for (const WaitingMessage &Message : Messages)
      if (Message.OnSent_)
        boost::asio::post(Io_, [OnSent = Message.OnSent_] { OnSent(0); });
  }

  void closeLink(LinkId Id, const char *Reason) {
    const Link *Found = Links_.find(Id);
    if (Found == nullptr)
      return;
    Log_->debug("closing link to {}: {}", Found->Peer_.Host_.str(), Reason);
    const Link Closed = *Found;
    removeLink(Id);
    Sockets_.close(Closed);
  }

  /// \param Unneeded one end had too many links, and this one was not used.
  void removeLink(LinkId Id, bool Unneeded = false) {
    std::optional<Link> Removed = Links_.take(Id);
    if (!Removed)
      return;
    Link &Item = *Removed;
    if (!Item.Open_ && !Item.Target_.empty()) {
      dropWaiting(Item.Target_);
      if (Links_.findOpen(Item.Target_) == nullptr)
        notifyHostDown(Item.Target_, LinkEnd::Failed);
      else if (Item.Replaces_)
        closeOthers(Item.Target_, Id);
    }
    if (!Item.Open_) {
      Counters_.handshakeEnded(Item);
      return;
    }
    for (const LinkDownCallback &Callback : LinkDown_)
      Callback(Item.Peer_.Host_, Id);
    const bool Idle =
        Unneeded || (!Item.Broken_ && now() - Item.LastUsed_ > IdleLimit - IdleMargin);
    if (Links_.findOpen(Item.Peer_.Host_) == nullptr)
      notifyHostDown(Item.Peer_.Host_, Idle ? LinkEnd::Idle : LinkEnd::Lost);
  }

  void notifyHostDown(const HostId &Host, LinkEnd Reason) {
    for (const HostDownCallback &Callback : HostDown_)
      Callback(Host, Reason);
  }

  /// Closes all open links to a host except one.
  void closeOthers(const HostId &Host, LinkId Kept) {
    std::vector<LinkId> Old;
    for (auto &[Id, Item] : Links_) {
      if (Id == Kept || !Item.Open_ || Item.Peer_.Host_ != Host)
        continue;
      Item.Broken_ = true;
      Old.push_back(Id);
    }
    for (const LinkId Id : Old)
      closeLink(Id, "replaced by a new link");
  }

  boost::asio::io_context &Io_;
  const Settings &Config_;
  Incarnation Run_;
  Logger Log_;
  std::shared_ptr<ArrivingFrames> Arriving_;
  bool LimitPosted_ = false;
  LinkSockets Sockets_;
  LinkTable Links_;
  UnprovedConnections Unproved_;
  std::size_t MaxLinks_;
  LinkMeasures Measures_;
  std::unordered_map<HostId, std::deque<WaitingMessage>> Waiting_;
};

PeerLinks::PeerLinks(boost::asio::io_context &Io, const Settings &Config, Incarnation Run)
    : Impl_(std::make_shared<Impl>(Io, Config, Run)) {}
PeerLinks::~PeerLinks() = default;

void PeerLinks::setHandler(MessageKind Kind, MessageHandler Handler) {
  Impl_->Handlers_[static_cast<std::size_t>(Kind)] = std::move(Handler);
}
void PeerLinks::setSentCounter(SentCounter Count) { Impl_->SentCounter_ = std::move(Count); }
void PeerLinks::setDistance(DistanceFinder Find) { Impl_->Counters_.setDistance(std::move(Find)); }
const LinkBytes &PeerLinks::bytes() const { return Impl_->Counters_.bytes(); }
void PeerLinks::disableShortFrames() { Impl_->Handshake_.disableShortFrames(); }
void PeerLinks::addRepeatingHeader(std::string_view Name) { Impl_->Repeating_.add(Name); }
void PeerLinks::setResolver(Resolver Find) { Impl_->Resolver_ = std::move(Find); }
void PeerLinks::addLinkDown(LinkDownCallback Callback) {
  Impl_->LinkDown_.push_back(std::move(Callback));
}
void PeerLinks::addLinkUp(LinkUpCallback Callback) {
  Impl_->LinkUp_.push_back(std::move(Callback));
}
void PeerLinks::setHeard(HeardCallback Callback) { Impl_->Heard_ = std::move(Callback); }
void PeerLinks::addHostDown(HostDownCallback Callback) {
  Impl_->HostDown_.push_back(std::move(Callback));
}
void PeerLinks::setEpoch(std::uint64_t Epoch) { Impl_->Epoch_ = Epoch; }
void PeerLinks::setLeaving() { Impl_->Handshake_.setLeaving(); }
void PeerLinks::send(const HostId &To, MessageKind Kind, json Body, SentCallback OnSent,
                     WantedCheck Wanted, Sending Order) {
  Impl_->send(To, Kind, std::move(Body), std::move(OnSent), std::move(Wanted), Order);
}
void PeerLinks::connect(const Endpoint &Address) { Impl_->connect(Address); }
void PeerLinks::open(const HostId &Host) { Impl_->open(Host); }
bool PeerLinks::isLinked(const HostId &Host) const { return Impl_->isLinked(Host); }
std::size_t PeerLinks::unacknowledgedBytes() const { return Impl_->unacknowledgedBytes(); }
std::size_t PeerLinks::queuedBytes() const { return Impl_->queuedBytes(); }
absl::Status PeerLinks::start() { return Impl_->start(); }
void PeerLinks::stop() { Impl_->stop(); }
void PeerLinks::tick(TimePoint Now) { Impl_->tick(Now); }
json PeerLinks::dump() const { return Impl_->dump(); }
void PeerLinks::print(std::string &Out) const {
  Impl_->Counters_.bytes().print(Out);
  Impl_->print(Out);
}

} // namespace bronzestand::node
