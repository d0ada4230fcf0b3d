#ifndef BRONZESTAND_TESTS_SOAK_SERVERS_H
#define BRONZESTAND_TESTS_SOAK_SERVERS_H

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "ledger.h"
#include "node/http_server.h"

namespace bronzestand::soak {

/// A stand-in of a backend server that tells the ledger what it runs.
class Server {
public:
  static constexpr const char *HealthPath = "/health";
  /// Makes the call that a request needs, through the node of the server.
  using MakeCall = std::function<void(std::function<void(bool Served)> Done)>;

  Server(boost::asio::io_context &Io, Ledger &Book, std::size_t Node, std::string Service,
         const node::Endpoint &Listen);

  /// Requests need a call of their own from now on.
  void setCall(MakeCall Call) { Call_ = std::move(Call); }
  /// The server is cold for a time after each start, and crashes above a number of requests in a
  /// second while it is.
  void setCold(Duration Time, double Bound, std::function<void()> OnCrash);
  void turnCold();
  /// How much longer the server stays cold; zero if it is warm.
  Duration coldFor() const;
  /// Ends the server with all connections; start() begins it again.
  void end();
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

  absl::Status start();
  void stop() { Listeners_.back()->stop(); }
  const std::string &id() const { return Id_; }
  const std::string &service() const { return Service_; }

private:
  struct Work;
  using WorkPtr = std::shared_ptr<Work>;

  void handle(node::HttpRequest Request, const node::HttpExchangePtr &Exchange);
  /// Counts a request at a cold server. \return whether the server crashes by it.
  bool crashes(const node::HttpRequest &Request);
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
  Duration ColdTime_{};    ///< after each start; zero if the server is never cold
  double ColdBound_ = 0.0; ///< most requests in a second while cold
  TimePoint ColdUntil_{};
  std::deque<TimePoint> ColdArrivals_; ///< of the last second, since the server is cold
  std::function<void()> OnCrash_;
  std::vector<node::HttpExchangePtr> Crashing_; ///< unanswered until the crash
  unsigned Life_ = 0;                           ///< number of the start
  std::mt19937_64 Random_;
  node::Endpoint Listen_;
  std::vector<std::unique_ptr<node::HttpServer>> Listeners_; ///< one for each start
};

} // namespace bronzestand::soak

#endif
