#ifndef BRONZESTAND_TESTS_FREE_PORT_H
#define BRONZESTAND_TESTS_FREE_PORT_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace bronzestand {

/// Returns a loopback port that is free at the time of the call.
inline std::uint16_t freePort() {
  using boost::asio::ip::tcp;
  boost::asio::io_context Io;
  const tcp::acceptor Acceptor(Io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return Acceptor.local_endpoint().port();
}

} // namespace bronzestand

#endif
