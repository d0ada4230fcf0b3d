#ifndef BRONZESTAND_MESH_ENTRY_H
#define BRONZESTAND_MESH_ENTRY_H

#include <map>
#include <random>
#include <unordered_map>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include "bronzestand/backend_choice.h"
#include "bronzestand/retry_budget.h"
#include "mesh/backend_gate.h"
#include "mesh/fleet_state.h"
#include "mesh/header_names.h"
#include "mesh/mesh_metrics.h"
#include "mesh/team_share_part.h"
#include "node/call_runner.h"
#include "node/http_server.h"
#include "node/peer_links.h"

namespace bronzestand::node {

class EntryCall;

/// Takes the requests of the callers on this host, decides whether they may run, and brings each to
/// a backend server (design section 2).
class Entry final : public Part {
public:
  struct Parts {
    boost::asio::io_context &Io_;
    const Settings &Config_;
    const HeaderNames &Names_;
    FleetState &Fleet_;
    PeerLinks &Links_;
    BackendGate &Gate_;
    TeamSharePart &Shares_;
    MeshMetrics &Metrics_;
    EventLog &Events_;
  };

  Entry(const Parts &Environment, Incarnation Run);
  ~Entry() override;

  void handle(HttpRequest Request, const HttpExchangePtr &Exchange);
  /// From a time on, refuses new requests that may not be answered by another time.
  void drain(TimePoint From, TimePoint End);
  /// Ends all running requests at once with typed outcomes.
  void abort();
  std::size_t running() const { return Running_.size(); }
  /// Hosts with calls that wait for an answer, each with the time of the oldest.
  std::map<HostId, TimePoint> waitingHosts() const;
  /// The node of a host does not answer.
  void hostDown(const HostId &Host);

  std::string_view name() const override { return "entry"; }
  absl::Status start() override;
  void stop() override;
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override;

private:
  friend class EntryCall;
  using EntryCallPtr = boost::intrusive_ptr<EntryCall>;
  struct Refused {
    Refusal Reason_;
    std::optional<Duration> RetryAfter_;
  };

  /// Finds route and team of a request.
  std::optional<Refused> identify(HttpRequest &Request, Call &Work, const FleetRoute *&Route);
  std::optional<Duration> timeAllowed(const HttpRequest &Request) const;
  /// Starts a request that is within its team's rate.
  void run(HttpRequest Request, Call Work, const FleetRoute &Route,
           const HttpExchangePtr &Exchange);
  void prepareHeaders(HttpRequest &Request, const Call &Work) const;
  bool isTooLate(const Call &Work) const;
  void refuse(const HttpRequest &Request, const Call &Work, const FleetRoute *Route,
              const Refused &Why, const HttpExchangePtr &Exchange);
  void onAnswer(const HostId &From, const Answer &Result);
  void onLinkDown(const HostId &Host, LinkId Link);
  std::uint32_t leastTeamRank() const;
  void serversChanged();
  /// Tells whether a request of a caller gives way to more urgent work of an overloaded service in
  /// its chain.
  bool isShed(const ServiceId &Service, const FleetRoute &Route);
  void noteLoad(const Call &Work, const BackendLoad &Load);
  double expectedBytes(const Call &Work) const;
  void noteBytes(const Call &Work, const Answer &Result);

  Parts Env_;
  TimePoint RefuseFrom_ = TimePoint::max(); ///< requests that may end after EndsAt_
  TimePoint EndsAt_ = TimePoint::max();
  CallId LastCall_;
  std::map<CallId, EntryCallPtr> Running_;
  std::map<LinkId, Incarnation> LinkRuns_; ///< incarnation at the other end of each open link
  BackendChoice Choice_;
  RetryBudget Budget_;
  TrafficSplitter Splitter_;
  ShedTable Shed_;
  std::mt19937_64 Random_;
  std::unordered_map<std::string, double> Bytes_; ///< mean size of request and answer, by route
};

} // namespace bronzestand::node

#endif
