#ifndef BRONZESTAND_TESTS_FREE_PORT_H
#define BRONZESTAND_TESTS_FREE_PORT_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace bronzestand {

/// A port of the loopback address that nobody listens on.
inline std::uint16_t freePort() {
  using boost::asio::ip::tcp;
  boost::asio::io_context Io;
  const tcp::acceptor Free(Io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return Free.local_endpoint().port();
}

} // namespace bronzestand

#endif
