#ifndef BRONZESTAND_TESTS_SOAK_DAEMONS_H
#define BRONZESTAND_TESTS_SOAK_DAEMONS_H

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "node/http_client.h"
#include "process.h"

namespace bronzestand::soak {

/// The processes of one run: a fault proxy and the nodes, each on loopback addresses of its own.
/// Links between nodes, to the store and to the servers pass the proxy.
class Daemons {
public:
  /// \param Directory for the settings of the nodes; must exist.
  /// \param MoreSettings lines for the mesh section of the settings.
  Daemons(boost::asio::io_context &Io, std::size_t Nodes, std::string Directory,
          std::string MoreSettings);

  void start(std::size_t Node);
  /// Null before the first start.
  test::Process *process(std::size_t Node) { return Nodes_[Node].get(); }

  /// What happens to bytes from a name to another: pass, hold, cut or delay. "*" is every name.
  void setRule(const std::string &From, const std::string &To, const std::string &Mode);
  /// The same for the bytes from and to a name.
  void setBoth(const std::string &Name, const std::string &Mode);
  /// Makes the open connections silent for good.
  void freeze(const std::string &From, const std::string &To);
  void clearRules();

  /// Names of the two ends in rules.
  std::string hostName(std::size_t Node) const;
  static std::string storeName(std::size_t Node) { return "store-" + std::to_string(Node); }
  static std::string serverName(std::size_t Node) { return "server-" + std::to_string(Node); }

  node::Endpoint store() const;                   ///< where its stand-in listens
  node::Endpoint server(std::size_t Node) const;  ///< where its stand-in listens
  node::Endpoint callers(std::size_t Node) const; ///< where a node takes requests
  node::Endpoint operators(std::size_t Node) const;
  node::Endpoint metrics(std::size_t Node) const; ///< that serves the metrics alone
  /// Address of a server as its entry in the store names it.
  std::string advertised(std::size_t Node) const;
  static std::string dataCentreOf(std::size_t Node);
  static std::string regionOf(std::size_t Node);
  static std::string serviceOf(std::size_t Node);

  /// What all nodes have written, those that ended too.
  std::string logs() const;

private:
  /// What an address is for; a byte of it.
  enum class Use : unsigned { Shared, Links, Node, Server, ServerProxy, StoreProxy };

  node::Endpoint endpoint(Use Kind, std::size_t Node, std::uint16_t Port) const;
  std::string settings(std::size_t Node) const;
  void control(const std::string &Target);

  boost::asio::ip::tcp::acceptor Lock_; ///< keeps other runs from the addresses of this one
  unsigned Block_ = 0;                  ///< second byte of all addresses
  std::string Directory_;
  std::string MoreSettings_;
  std::unique_ptr<test::Process> Proxy_;
  std::vector<std::unique_ptr<test::Process>> Nodes_;
  std::vector<std::unique_ptr<test::Process>> Ended_;
  std::unique_ptr<node::HttpClient> Control_;
};

} // namespace bronzestand::soak

#endif
