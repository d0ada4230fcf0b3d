#ifndef BRONZESTAND_TESTS_SOAK_SERVERS_H
#define BRONZESTAND_TESTS_SOAK_SERVERS_H

#include <deque>
#include <memory>
#include <random>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "ledger.h"
#include "node/http_server.h"

namespace bronzestand::soak {

/// A stand-in of a backend server that tells the ledger what it runs.
class Server {
public:
  /// Makes the call that a request needs, through the node of the server.
  using MakeCall = std::function<void(std::function<void(bool Served)> Done)>;

  Server(boost::asio::io_context &Io, Ledger &Book, std::size_t Node, std::string Service,
         const node::Endpoint &Listen);

  /// Requests need a call of their own from now on.
  void setCall(MakeCall Call) { Call_ = std::move(Call); }
  /// Another server takes the address.
  void replace();
  void setErrorShare(double Share) { ErrorShare_ = Share; }
  void setFull(bool Full) { Full_ = Full; }
  void setSlow(bool Slow) { Slow_ = Slow; }
  /// Mean time of a request.
  void setWorkTime(std::chrono::milliseconds Time) { WorkTime_ = Time; }
  /// Entry of the server in the platform's store. \param State as the platform names it.
  std::string entry(const std::string &State, const std::string &Address,
                    const std::string &DataCentre) const;

  absl::Status start() { return Listener_.start(); }
  void stop() { Listener_.stop(); }
  const std::string &id() const { return Id_; }
  const std::string &service() const { return Service_; }

private:
  struct Work;
  using WorkPtr = std::shared_ptr<Work>;

  void handle(node::HttpRequest Request, const node::HttpExchangePtr &Exchange);
  void startNext();
  void run(const WorkPtr &Item);
  void finish(const WorkPtr &Item, unsigned Status);
  void reject(const node::HttpRequest &Request, const node::HttpExchangePtr &Exchange,
              unsigned Status);

  boost::asio::io_context &Io_;
  Ledger &Book_;
  std::size_t Node_;
  std::string Service_;
  std::string Id_;
  unsigned Incarnation_ = 0;
  std::uint64_t StartedMs_ = 0;
  MakeCall Call_;
  double ErrorShare_ = 0.0;
  bool Full_ = false;
  bool Slow_ = false;
  std::chrono::milliseconds WorkTime_{50};
  std::size_t Running_ = 0;
  std::deque<WorkPtr> Queue_;
  std::uint64_t Signatures_ = 0;
  std::mt19937_64 Random_;
  node::HttpServer Listener_;
};

} // namespace bronzestand::soak

#endif
