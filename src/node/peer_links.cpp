#include "node/peer_links.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <unordered_map>

#include <boost/asio/ip/tcp.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "node/clock.h"
#include "node/link_proof.h"
#include "node/log.h"
#include "node/socket_bytes.h"

namespace bronzestand::node {
namespace {

using nlohmann::json;
using WsServer = websocketpp::server<websocketpp::config::asio>;
using WsClient = websocketpp::client<websocketpp::config::asio_client>;
using ConnectionHandle = websocketpp::connection_hdl;

constexpr std::size_t MaxFrameBytes = 8ULL * 1024 * 1024;
/// Part of the memory of the process for messages that wait to be written; beyond it the link with
/// the longest queue is closed. Checked after frames of LargeFrameBytes and at each tick.
constexpr std::size_t QueueMemoryDivisor = 8;
constexpr std::size_t LargeFrameBytes = 64ULL * 1024;
/// Maximum number of messages per host queued until a link opens. Further messages are dropped,
/// like messages lost by the network.
constexpr std::size_t MaxWaiting = 256;
/// A completed handshake shows that the peer is responsive only if it took a short time.
constexpr Duration HandshakeLimit = std::chrono::seconds(1);
constexpr Duration IdleLimit = std::chrono::seconds(60);
/// The two ends reach the idle limit at slightly different times. A link that the peer closes
/// within this margin before the limit counts as idle, not as failed.
constexpr Duration IdleMargin = std::chrono::seconds(2);

struct WaitingMessage {
  MessageKind Kind_;
  json Body_;
  PeerLinks::SentCallback OnSent_;
  PeerLinks::WantedCheck Wanted_;
};

struct Link {
  LinkId Id_ = 0;
  ConnectionHandle Handle_;
  bool Outgoing_ = false;
  bool Open_ = false;     ///< the handshake is complete
  bool Replaces_ = false; ///< opened to replace silent links to the same host
  bool Broken_ = false;   ///< closed because it was silent
  Peer Peer_;
  std::string Address_; ///< address that an outgoing link was opened to
  HostId Target_;       ///< host that an outgoing link was opened for; empty if not known
  std::string OwnNonce_;
  std::string PeerNonce_;
  TimePoint Created_;
  TimePoint LastUsed_; ///< last message other than a heartbeat
};

struct KindCounter {
  std::uint64_t Messages_ = 0;
  std::uint64_t Bytes_ = 0;
};

} // namespace

class PeerLinks::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(boost::asio::io_context &Io, const Settings &Config, Incarnation Run)
      : Io_(Io), Config_(Config), Run_(Run), Log_(makeLogger("peer_links")) {
    prepare(Server_);
    prepare(Client_);
    Server_.set_reuse_addr(true);
  }

  absl::Status start() {
    bindHandlers(Server_, false);
    bindHandlers(Client_, true);
    websocketpp::lib::error_code Failure;
    const boost::asio::ip::tcp::endpoint Address(
        boost::asio::ip::make_address(Config_.PeerListen_.Address_), Config_.PeerListen_.Port_);
    Server_.listen(Address, Failure);
    if (!Failure)
      Server_.start_accept(Failure);
    if (Failure)
      return makeError({ErrorCode::ListenFailed, Config_.PeerListen_.str(), "", Failure.message()});
    return absl::OkStatus();
  }

  void stop() {
    websocketpp::lib::error_code Ignored;
    if (Server_.is_listening())
      Server_.stop_listening(Ignored);
    std::vector<LinkId> Ids;
    for (const auto &[Id, Item] : Links_)
      Ids.push_back(Id);
    for (const LinkId Id : Ids)
      closeLink(Id, "node is stopping");
  }

  void send(const HostId &To, MessageKind Kind, json Body, SentCallback OnSent,
            WantedCheck Wanted) {
    if (Link *Open = findOpenLink(To)) {
      if (Kind != MessageKind::Heartbeat)
        Open->LastUsed_ = now();
      if (write(*Open, Kind, Body)) {
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
    Waiting.push_back({Kind, std::move(Body), std::move(OnSent), std::move(Wanted)});
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

  bool isLinked(const HostId &Host) { return findOpenLink(Host) != nullptr; }

  std::size_t unacknowledgedBytes() {
    std::size_t Sum = queuedBytes();
    for (const auto &Entry : Links_)
      if (Entry.second.Open_)
        withConnection(Entry.second, [&Sum](auto &Connection) {
          const int Descriptor = Connection.get_raw_socket().native_handle();
          Sum += node::unacknowledgedBytes(Descriptor).value_or(0);
        });
    return Sum;
  }

  void tick(TimePoint Now) {
    std::vector<std::pair<LinkId, const char *>> Closing;
    for (auto &[Id, Item] : Links_) {
      if (!Item.Open_) {
        if (Now - Item.Created_ > HandshakeLimit)
          Closing.emplace_back(Id, "handshake timed out");
      } else if (Now - Item.LastUsed_ > IdleLimit) {
        Closing.emplace_back(Id, "link is idle");
      }
    }
    for (const auto &[Id, Reason] : Closing)
      closeLink(Id, Reason);
    limitQueues();
  }

  json dump() {
    json Result{{"incarnation", Run_},
                {"epoch", Epoch_},
                {"queued_bytes", queuedBytes()},
                {"links", json::array()}};
    for (const auto &[Id, Item] : Links_)
      Result["links"].push_back(
          {{"id", Id}, {"host", Item.Peer_.Host_.str()}, {"open", Item.Open_}});
    for (std::size_t Index = 0; Index < MessageKindCount; ++Index) {
      const auto Name = std::string(messageKindName(static_cast<MessageKind>(Index)));
      Result["sent"][Name] = {{"messages", Sent_[Index].Messages_}, {"bytes", Sent_[Index].Bytes_}};
      Result["received"][Name] = {{"messages", Received_[Index].Messages_},
                                  {"bytes", Received_[Index].Bytes_}};
    }
    return Result;
  }

  std::array<MessageHandler, MessageKindCount> Handlers_;
  Resolver Resolver_;
  SentCounter SentCounter_;
  std::vector<LinkDownCallback> LinkDown_;
  std::vector<LinkUpCallback> LinkUp_;
  HeardCallback Heard_;
  std::vector<HostDownCallback> HostDown_;
  std::uint64_t Epoch_ = 0;
  bool Leaving_ = false;

private:
  template <typename Endpoint> void prepare(Endpoint &Side) {
    Side.clear_access_channels(websocketpp::log::alevel::all);
    Side.clear_error_channels(websocketpp::log::elevel::all);
    Side.init_asio(&Io_);
    Side.set_max_message_size(MaxFrameBytes);
    Side.set_open_handshake_timeout(2000);
    Side.set_close_handshake_timeout(500);
  }

  template <typename Endpoint> void bindHandlers(Endpoint &Side, bool Outgoing) {
    const auto Self = weak_from_this();
    Side.set_open_handler([Self, Outgoing](const ConnectionHandle &Handle) {
      if (const auto Alive = Self.lock())
        Alive->onOpen(Handle, Outgoing);
    });
    const auto OnClosed = [Self](const ConnectionHandle &Handle) {
      if (const auto Alive = Self.lock())
        Alive->onClosed(Handle);
    };
    Side.set_close_handler(OnClosed);
    Side.set_fail_handler(OnClosed);
    Side.set_message_handler([Self](const ConnectionHandle &Handle, const auto &Message) {
      if (const auto Alive = Self.lock())
        Alive->onFrame(Handle, Message->get_payload());
    });
    Side.set_tcp_post_init_handler([&Side](const ConnectionHandle &Handle) {
      websocketpp::lib::error_code Failure;
      const auto Connection = Side.get_con_from_hdl(Handle, Failure);
      boost::system::error_code Ignored;
      if (Connection)
        Connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
    });
  }

  /// Calls a function with the connection of a link, unless it has ended.
  template <typename Function> void withConnection(const Link &Item, Function Action) {
    websocketpp::lib::error_code Failure;
    if (Item.Outgoing_) {
      if (const auto Connection = Client_.get_con_from_hdl(Item.Handle_, Failure))
        Action(*Connection);
    } else if (const auto Connection = Server_.get_con_from_hdl(Item.Handle_, Failure)) {
      Action(*Connection);
    }
  }

  std::size_t queuedBytesOf(const Link &Item) {
    std::size_t Bytes = 0;
    withConnection(Item, [&](auto &Connection) { Bytes = Connection.get_buffered_amount(); });
    return Bytes;
  }

  std::size_t queuedBytes() {
    std::size_t Sum = 0;
    for (const auto &[Id, Item] : Links_)
      Sum += queuedBytesOf(Item);
    return Sum;
  }

  void limitQueues() {
    while (queuedBytes() > Config_.MemoryBytes_ / QueueMemoryDivisor) {
      const auto Longest =
          std::max_element(Links_.begin(), Links_.end(), [this](const auto &A, const auto &B) {
            return queuedBytesOf(A.second) < queuedBytesOf(B.second);
          });
      Log_->warn("closing link to {}: {} bytes are queued", Longest->second.Peer_.Host_.str(),
                 queuedBytesOf(Longest->second));
      closeLink(Longest->first, "queue is too long");
    }
  }

  Link &addLink(const ConnectionHandle &Handle, bool Outgoing, const HostId &Target) {
    Link &Item = Links_[++LastLink_];
    Item.Id_ = LastLink_;
    Item.Handle_ = Handle;
    Item.Outgoing_ = Outgoing;
    Item.Target_ = Target;
    Item.OwnNonce_ = makeNonce();
    Item.Created_ = Item.LastUsed_ = now();
    LinkByHandle_[Handle] = Item.Id_;
    return Item;
  }

  bool ensureOpening(const HostId &To) {
    for (const auto &[Id, Item] : Links_)
      if (Item.Target_ == To && !Item.Open_)
        return true;
    const auto Address = Resolver_ ? Resolver_(To) : std::nullopt;
    return Address && openAddress(*Address, To);
  }

  bool openAddress(const Endpoint &Address, const HostId &Target) {
    websocketpp::lib::error_code Failure;
    const auto Connection = Client_.get_connection("ws://" + Address.str() + "/", Failure);
    if (Failure)
      return false;
    // Identifies the opening host in packet captures and proxies; not used for authentication.
    Connection->append_header("Bronzestand-Host", Config_.Host_.str());
    addLink(Connection->get_handle(), true, Target).Address_ = Address.str();
    Client_.connect(Connection);
    return true;
  }

  Link *findOpenLink(const HostId &Host) {
    const auto Found = LinkByHost_.find(Host.str());
    if (Found == LinkByHost_.end())
      return nullptr;
    const auto Item = Links_.find(Found->second);
    return Item == Links_.end() ? nullptr : &Item->second;
  }

  Link *findByHandle(const ConnectionHandle &Handle) {
    const auto Found = LinkByHandle_.find(Handle);
    if (Found == LinkByHandle_.end())
      return nullptr;
    return &Links_.at(Found->second);
  }

  void onOpen(const ConnectionHandle &Handle, bool Outgoing) {
    if (Outgoing)
      return; // the accepting side sends its challenge first
    Link &Item = addLink(Handle, false, HostId());
    write(Item, MessageKind::Challenge, {{"nonce", Item.OwnNonce_}});
  }

  void onClosed(const ConnectionHandle &Handle) {
    if (const Link *Item = findByHandle(Handle))
      removeLink(Item->Id_);
  }

  void onFrame(const ConnectionHandle &Handle, const std::string &Frame) {
    Link *Item = findByHandle(Handle);
    if (Item == nullptr)
      return;
    const auto Message = decode(Frame);
    if (!Message) {
      closeLink(Item->Id_, "malformed frame");
      return;
    }
    auto &Counter = Received_[static_cast<std::size_t>(Message->Kind_)];
    ++Counter.Messages_;
    Counter.Bytes_ += Frame.size();
    try {
      if (Item->Open_)
        deliver(*Item, *Message);
      else
        handshake(*Item, *Message);
    } catch (const json::exception &Failure) {
      Log_->warn("malformed {} message from {}", messageKindName(Message->Kind_),
                 Item->Peer_.Host_.str());
    }
  }

  /// Text covered by the MAC of one side: both nonces, its host, incarnation and role. The role
  /// prevents reflection of a MAC to the side that computed it.
  std::string proofText(const Link &Item, const HostId &Host, Incarnation Run, bool Opener) const {
    const std::string &First = Item.Outgoing_ ? Item.OwnNonce_ : Item.PeerNonce_;
    const std::string &Second = Item.Outgoing_ ? Item.PeerNonce_ : Item.OwnNonce_;
    return First + Second + Host.str() + "/" + std::to_string(Run) + (Opener ? "/open" : "/accept");
  }

  void handshake(Link &Item, const Envelope &Message) {
    const auto OwnMac = [&] {
      return makeMac(Config_.PeerSecret_, proofText(Item, Config_.Host_, Run_, Item.Outgoing_));
    };
    const auto PeerMacValid = [&] {
      const std::string Expected =
          makeMac(Config_.PeerSecret_,
                  proofText(Item, Message.Sender_, Message.Incarnation_, !Item.Outgoing_));
      return equalMacs(Expected, Message.Body_.at("mac").get<std::string>());
    };
    if (Item.Outgoing_ && Message.Kind_ == MessageKind::Challenge) {
      Item.PeerNonce_ = Message.Body_.at("nonce").get<std::string>();
      write(Item, MessageKind::Proof,
            {{"nonce", Item.OwnNonce_}, {"mac", OwnMac()}, {"leaving", Leaving_}});
      return;
    }
    if (!Item.Outgoing_ && Message.Kind_ == MessageKind::Proof) {
      Item.PeerNonce_ = Message.Body_.at("nonce").get<std::string>();
      if (PeerMacValid()) {
        write(Item, MessageKind::Accepted, {{"mac", OwnMac()}, {"leaving", Leaving_}});
        completeHandshake(Item, Message);
        return;
      }
    }
    if (Item.Outgoing_ && Message.Kind_ == MessageKind::Accepted && PeerMacValid() &&
        (Item.Target_.empty() || Item.Target_ == Message.Sender_)) {
      completeHandshake(Item, Message);
      return;
    }
    Log_->warn("handshake with {} failed", Message.Sender_.str());
    closeLink(Item.Id_, "handshake failed");
  }

  void completeHandshake(Link &Item, const Envelope &Message) {
    Item.Open_ = true;
    Item.Peer_ = {Message.Sender_, Message.Incarnation_, Message.Epoch_, Item.Id_,
                  Message.Body_.at("leaving").get<bool>()};
    const HostId Host = Message.Sender_;
    if (Item.Replaces_)
      closeOthers(Host, Item.Id_);
    LinkByHost_[Host.str()] = Item.Id_;
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

  bool write(Link &Item, MessageKind Kind, const json &Body) {
    const std::string Frame = encode({Kind, Epoch_, Body, Config_.Host_, Run_});
    websocketpp::lib::error_code Failure;
    if (Item.Outgoing_)
      Client_.send(Item.Handle_, Frame, websocketpp::frame::opcode::binary, Failure);
    else
      Server_.send(Item.Handle_, Frame, websocketpp::frame::opcode::binary, Failure);
    if (Failure)
      return false;
    auto &Counter = Sent_[static_cast<std::size_t>(Kind)];
    ++Counter.Messages_;
    Counter.Bytes_ += Frame.size();
    if (SentCounter_ && Item.Open_)
      SentCounter_(Item.Peer_.Host_, Kind, Frame.size());
    if (Frame.size() >= LargeFrameBytes)
      boost::asio::post(Io_, [Self = weak_from_this()] {
        if (const auto Alive = Self.lock())
          Alive->limitQueues();
      });
    return true;
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
             std::move(Message.Wanted_));
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
    const auto Found = Links_.find(Id);
    if (Found == Links_.end())
      return;
    Log_->debug("closing link to {}: {}", Found->second.Peer_.Host_.str(), Reason);
    const Link Closed = Found->second;
    removeLink(Id);
    // Closes the socket without a WebSocket close handshake, which a silent peer would not answer.
    withConnection(Closed, [](auto &Connection) {
      boost::system::error_code Ignored;
      Connection.get_raw_socket().close(Ignored);
    });
  }

  void removeLink(LinkId Id) {
    const auto Found = Links_.find(Id);
    if (Found == Links_.end())
      return;
    const Link Item = std::move(Found->second);
    Links_.erase(Found);
    LinkByHandle_.erase(Item.Handle_);
    const auto ByHost = LinkByHost_.find(Item.Peer_.Host_.str());
    if (ByHost != LinkByHost_.end() && ByHost->second == Id)
      selectOtherLink(Item.Peer_.Host_);
    if (!Item.Open_ && !Item.Target_.empty()) {
      dropWaiting(Item.Target_);
      if (findOpenLink(Item.Target_) == nullptr)
        notifyHostDown(Item.Target_, LinkEnd::Failed);
      else if (Item.Replaces_)
        closeOthers(Item.Target_, Id);
    }
    if (!Item.Open_)
      return;
    for (const LinkDownCallback &Callback : LinkDown_)
      Callback(Item.Peer_.Host_, Id);
    const bool Idle = !Item.Broken_ && now() - Item.LastUsed_ > IdleLimit - IdleMargin;
    if (findOpenLink(Item.Peer_.Host_) == nullptr)
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

  void selectOtherLink(const HostId &Host) {
    LinkByHost_.erase(Host.str());
    for (const auto &[Id, Item] : Links_)
      if (Item.Open_ && Item.Peer_.Host_ == Host)
        LinkByHost_[Host.str()] = Id;
  }

  boost::asio::io_context &Io_;
  const Settings &Config_;
  Incarnation Run_;
  Logger Log_;
  WsServer Server_;
  WsClient Client_;
  LinkId LastLink_ = 0;
  std::map<LinkId, Link> Links_;
  std::map<ConnectionHandle, LinkId, std::owner_less<ConnectionHandle>> LinkByHandle_;
  std::unordered_map<std::string, LinkId> LinkByHost_;
  std::unordered_map<HostId, std::deque<WaitingMessage>> Waiting_;
  std::array<KindCounter, MessageKindCount> Sent_{};
  std::array<KindCounter, MessageKindCount> Received_{};
};

PeerLinks::PeerLinks(boost::asio::io_context &Io, const Settings &Config, Incarnation Run)
    : Impl_(std::make_shared<Impl>(Io, Config, Run)) {}
PeerLinks::~PeerLinks() = default;

void PeerLinks::setHandler(MessageKind Kind, MessageHandler Handler) {
  Impl_->Handlers_[static_cast<std::size_t>(Kind)] = std::move(Handler);
}
void PeerLinks::setSentCounter(SentCounter Count) { Impl_->SentCounter_ = std::move(Count); }
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
void PeerLinks::setLeaving() { Impl_->Leaving_ = true; }
void PeerLinks::send(const HostId &To, MessageKind Kind, json Body, SentCallback OnSent,
                     WantedCheck Wanted) {
  Impl_->send(To, Kind, std::move(Body), std::move(OnSent), std::move(Wanted));
}
void PeerLinks::connect(const Endpoint &Address) { Impl_->connect(Address); }
void PeerLinks::open(const HostId &Host) { Impl_->open(Host); }
bool PeerLinks::isLinked(const HostId &Host) const { return Impl_->isLinked(Host); }
std::size_t PeerLinks::unacknowledgedBytes() const { return Impl_->unacknowledgedBytes(); }
absl::Status PeerLinks::start() { return Impl_->start(); }
void PeerLinks::stop() { Impl_->stop(); }
void PeerLinks::tick(TimePoint Now) { Impl_->tick(Now); }
json PeerLinks::dump() const { return Impl_->dump(); }

} // namespace bronzestand::node
