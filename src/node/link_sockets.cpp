#include "node/link_sockets.h"

#include <boost/asio/ip/tcp.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/server.hpp>

#include "bronzestand/error.h"
#include "node/frame_buffer.h"
#include "node/socket_bytes.h"

namespace bronzestand::node {
namespace {

using WsServer = websocketpp::server<FrameConfig<websocketpp::config::asio>>;
using WsClient = websocketpp::client<FrameConfig<websocketpp::config::asio_client>>;
using Failure = websocketpp::lib::error_code;
namespace opcode = websocketpp::frame::opcode;
namespace status = websocketpp::close::status;

/// The connection holds the counter; a message of it leads there.
template <typename Connection> std::shared_ptr<ArrivingBytes> arrivingOf(Connection &Item) {
  return Item.get_message(opcode::binary, 0)->arriving();
}

template <typename Connection> SocketEnd endOf(const Connection &Item) {
  if (Item.get_local_close_code() == status::message_too_big)
    return SocketEnd::Oversized;
  return Item.get_remote_close_code() == status::going_away ? SocketEnd::Unneeded
                                                            : SocketEnd::Usual;
}

} // namespace

class LinkSockets::Impl {
public:
  Impl(boost::asio::io_context &Io, std::shared_ptr<ArrivingFrames> Arriving)
      : Io_(Io), Arriving_(std::move(Arriving)) {
    prepare(Server_);
    prepare(Client_);
    Server_.set_reuse_addr(true);
  }

  void bind(const Handlers &Callbacks) {
    bind(Server_, Callbacks, false);
    bind(Client_, Callbacks, true);
  }

  /// Calls a function with the connection of a link, unless it has ended.
  template <typename Function> void withConnection(const Link &Item, Function Action) {
    Failure Ended;
    if (Item.Outgoing_) {
      if (const auto Connection = Client_.get_con_from_hdl(Item.Handle_, Ended))
        Action(*Connection);
    } else if (const auto Connection = Server_.get_con_from_hdl(Item.Handle_, Ended)) {
      Action(*Connection);
    }
  }

  boost::asio::io_context &Io_;
  std::shared_ptr<ArrivingFrames> Arriving_;
  WsServer Server_;
  WsClient Client_;

private:
  template <typename Endpoint> void prepare(Endpoint &Side) {
    Side.clear_access_channels(websocketpp::log::alevel::all);
    Side.clear_error_channels(websocketpp::log::elevel::all);
    Side.init_asio(&Io_);
    Side.set_max_message_size(MaxUnprovedBytes);
    Side.set_open_handshake_timeout(2000);
    Side.set_close_handshake_timeout(500);
  }

  template <typename Endpoint> void bind(Endpoint &Side, const Handlers &Callbacks, bool Outgoing) {
    Side.set_open_handler([Call = Callbacks.OnOpen_, Outgoing](const ConnectionHandle &Handle) {
      Call(Handle, Outgoing);
    });
    const auto OnClosed = [&Side, Call = Callbacks.OnClosed_](const ConnectionHandle &Handle) {
      Failure Ended;
      const auto Connection = Side.get_con_from_hdl(Handle, Ended);
      Call(Handle, Connection ? endOf(*Connection) : SocketEnd::Usual);
    };
    Side.set_close_handler(OnClosed);
    Side.set_fail_handler(OnClosed);
    Side.set_message_handler(
        [Call = Callbacks.OnFrame_](const ConnectionHandle &Handle, const auto &Message) {
          Call(Handle, Message->get_payload());
        });
    Side.set_tcp_post_init_handler(
        [this, &Side, Outgoing, Call = Callbacks.OnAccepted_](const ConnectionHandle &Handle) {
          Failure Ended;
          const auto Connection = Side.get_con_from_hdl(Handle, Ended);
          if (!Connection)
            return;
          boost::system::error_code Ignored;
          Connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
          arrivingOf(*Connection)->track(Arriving_);
          if (!Outgoing)
            Call(Handle);
        });
  }
};

LinkSockets::LinkSockets(boost::asio::io_context &Io, std::shared_ptr<ArrivingFrames> Arriving)
    : Impl_(std::make_unique<Impl>(Io, std::move(Arriving))) {}
LinkSockets::~LinkSockets() = default;
void LinkSockets::bind(const Handlers &Callbacks) { Impl_->bind(Callbacks); }

absl::Status LinkSockets::listen(const Endpoint &Address) {
  Failure Result;
  const boost::asio::ip::tcp::endpoint Local(boost::asio::ip::make_address(Address.Address_),
                                             Address.Port_);
  Impl_->Server_.listen(Local, Result);
  if (!Result)
    Impl_->Server_.start_accept(Result);
  if (Result)
    return makeError({ErrorCode::ListenFailed, Address.str(), "", Result.message()});
  return absl::OkStatus();
}

void LinkSockets::stopListening() {
  Failure Ignored;
  if (Impl_->Server_.is_listening())
    Impl_->Server_.stop_listening(Ignored);
}

bool LinkSockets::connect(const Endpoint &Address, const HostId &Own,
                          const std::function<void(const ConnectionHandle &Handle)> &Added) {
  Failure Result;
  const auto Connection = Impl_->Client_.get_connection("ws://" + Address.str() + "/", Result);
  if (Result)
    return false;
  // Identifies the opening host in packet captures and proxies.
  Connection->append_header("Bronzestand-Host", Own.str());
  Added(Connection->get_handle());
  Impl_->Client_.connect(Connection);
  return true;
}

bool LinkSockets::send(const Link &Item, const std::string &Frame) {
  Failure Result;
  if (Item.Outgoing_)
    Impl_->Client_.send(Item.Handle_, Frame, websocketpp::frame::opcode::binary, Result);
  else
    Impl_->Server_.send(Item.Handle_, Frame, websocketpp::frame::opcode::binary, Result);
  return !Result;
}

void LinkSockets::admitLargeFrames(const Link &Item) {
  Impl_->withConnection(Item,
                        [](auto &Connection) { Connection.set_max_message_size(MaxFrameBytes); });
}

// Without a WebSocket close handshake, which a silent peer would not answer.
void LinkSockets::close(const Link &Item) {
  Impl_->withConnection(Item, [](auto &Connection) {
    arrivingOf(Connection)->end();
    boost::system::error_code Ignored;
    Connection.get_raw_socket().close(Ignored);
  });
}

void LinkSockets::closeAccepted(const ConnectionHandle &Handle) {
  Link Item;
  Item.Handle_ = Handle;
  close(Item);
}

void LinkSockets::release(const Link &Item) {
  Impl_->withConnection(Item, [](auto &Connection) {
    Failure Ignored;
    Connection.close(status::going_away, "link is not needed", Ignored);
  });
}

std::size_t LinkSockets::arrivingBytes(const Link &Item) {
  std::size_t Bytes = 0;
  Impl_->withConnection(Item, [&](auto &Connection) { Bytes = arrivingOf(Connection)->bytes(); });
  return Bytes;
}

std::size_t LinkSockets::queuedBytes(const Link &Item) {
  std::size_t Bytes = 0;
  Impl_->withConnection(Item, [&](auto &Connection) { Bytes = Connection.get_buffered_amount(); });
  return Bytes;
}

std::size_t LinkSockets::unacknowledgedBytes(const Link &Item) {
  std::size_t Bytes = 0;
  Impl_->withConnection(Item, [&](auto &Connection) {
    const int Descriptor = Connection.get_raw_socket().native_handle();
    Bytes = node::unacknowledgedBytes(Descriptor).value_or(0);
  });
  return Bytes;
}

} // namespace bronzestand::node
