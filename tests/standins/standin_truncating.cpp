// Stand-in of a backend server that ends its connection in the middle of each answer. The path
// chooses how the body is framed: /length, /chunked, or /close for a body that ends with the
// connection. /control/ paths get a whole answer.
#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "standin.h"

using namespace bronzestand;
using namespace bronzestand::standin;
using boost::asio::ip::tcp;

namespace {

std::string answerTo(const std::string &Request) {
  const std::string Start = "HTTP/1.1 200 OK\r\n";
  if (Request.find(" /control/") != std::string::npos)
    return Start + "Content-Length: 2\r\n\r\n{}";
  if (Request.find(" /length") != std::string::npos)
    return Start + "Content-Length: 100\r\n\r\nthe first part";
  if (Request.find(" /chunked") != std::string::npos)
    return Start + "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n";
  return Start + "\r\nthe first part";
}

void accept(tcp::acceptor &Acceptor) {
  Acceptor.async_accept([&](boost::system::error_code Failure, tcp::socket Accepted) {
    accept(Acceptor);
    if (Failure)
      return;
    const auto Socket = std::make_shared<tcp::socket>(std::move(Accepted));
    const auto Text = std::make_shared<std::string>();
    boost::asio::async_read_until(
        *Socket, boost::asio::dynamic_buffer(*Text), "\r\n\r\n",
        [Socket, Text](boost::system::error_code ReadFailure, std::size_t) {
          if (ReadFailure)
            return;
          const auto Reply = std::make_shared<std::string>(answerTo(*Text));
          boost::asio::async_write(*Socket, boost::asio::buffer(*Reply),
                                   [Socket, Reply](boost::system::error_code, std::size_t) {});
        });
  });
}

} // namespace

int main(int argc, char **argv) {
  const Options Given(argc, argv);
  const node::Endpoint Listen = Given.endpoint("--listen");
  boost::asio::io_context Io(1);
  tcp::acceptor Acceptor(Io, {boost::asio::ip::make_address(Listen.Address_), Listen.Port_});
  accept(Acceptor);
  return runUntilSignal(Io);
}
