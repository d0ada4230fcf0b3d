#ifndef BRONZESTAND_TESTS_STANDINS_LINK_RELAY_H
#define BRONZESTAND_TESTS_STANDINS_LINK_RELAY_H

#include <array>
#include <functional>
#include <limits>
#include <list>
#include <memory>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "node/settings.h"

namespace bronzestand::standin {

/// Forwards connections from one address to another, in the process of the test. While it is cut,
/// it holds all bytes and closes nothing, as a network that drops packets; held bytes go on later.
class LinkRelay {
public:
  using tcp = boost::asio::ip::tcp;

  LinkRelay(boost::asio::io_context &Io, const node::Endpoint &Listen, const node::Endpoint &Target)
      : Io_(Io), Acceptor_(Io, addressOf(Listen)), Target_(addressOf(Target)) {
    accept();
  }

  void setCut(bool Cut) {
    Cut_ = Cut;
    if (!Cut_)
      for (const std::function<void()> &Resume : std::exchange(Held_, {}))
        Resume();
  }

  /// Resets each connection once it has forwarded so many bytes to its opener.
  void resetAfter(std::size_t Bytes) { MaxBytes_ = Bytes; }

private:
  struct Tunnel {
    explicit Tunnel(boost::asio::io_context &Io) : Ends_{tcp::socket(Io), tcp::socket(Io)} {}
    std::array<tcp::socket, 2> Ends_; ///< towards the opener and the target
    std::array<std::array<char, 16384>, 2> Data_{};
    std::size_t Returned_ = 0; ///< bytes forwarded to the opener
  };
  using TunnelPtr = std::shared_ptr<Tunnel>;
  using Error = boost::system::error_code;

  static tcp::endpoint addressOf(const node::Endpoint &In) {
    return {boost::asio::ip::make_address(In.Address_), In.Port_};
  }

  /// Calls a function, once the relay is no longer cut.
  void whenOpen(std::function<void()> Action) {
    if (Cut_)
      Held_.push_back(std::move(Action));
    else
      Action();
  }

  void accept() {
    const auto Item = std::make_shared<Tunnel>(Io_);
    Acceptor_.async_accept(Item->Ends_[0], [this, Item](const Error &Failure) {
      if (Failure)
        return;
      accept();
      whenOpen([this, Item] { connect(Item); });
    });
  }
  void connect(const TunnelPtr &Item) {
    Item->Ends_[1].async_connect(Target_, [this, Item](const Error &Failure) {
      if (Failure) {
        close(*Item);
        return;
      }
      pump(Item, 0);
      pump(Item, 1);
    });
  }
  void pump(const TunnelPtr &Item, std::size_t From) {
    Item->Ends_[From].async_read_some(
        boost::asio::buffer(Item->Data_[From]),
        [this, Item, From](const Error &Failure, std::size_t Size) {
          whenOpen([=] { Failure ? close(*Item) : forward(Item, From, Size); });
        });
  }
  void forward(const TunnelPtr &Item, std::size_t From, std::size_t Size) {
    Item->Returned_ += From == 1 ? Size : 0;
    if (Item->Returned_ > MaxBytes_) {
      Error Ignored;
      Item->Ends_[0].set_option(boost::asio::socket_base::linger(true, 0), Ignored);
      close(*Item);
      return;
    }
    boost::asio::async_write(Item->Ends_[1 - From],
                             boost::asio::buffer(Item->Data_[From].data(), Size),
                             [this, Item, From](const Error &Failure, std::size_t) {
                               Failure ? close(*Item) : pump(Item, From);
                             });
  }
  static void close(Tunnel &Item) {
    Error Ignored;
    for (tcp::socket &End : Item.Ends_)
      End.close(Ignored);
  }

  boost::asio::io_context &Io_;
  tcp::acceptor Acceptor_;
  tcp::endpoint Target_;
  bool Cut_ = false;
  std::size_t MaxBytes_ = std::numeric_limits<std::size_t>::max();
  std::vector<std::function<void()>> Held_;
};

} // namespace bronzestand::standin

#endif
