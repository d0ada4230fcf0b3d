#ifndef BRONZESTAND_MESH_ENTRY_H
#define BRONZESTAND_MESH_ENTRY_H

#include <map>
#include <random>
#include <set>
#include <unordered_map>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include "bronzestand/backend_choice.h"
#include "bronzestand/retry_budget.h"
#include "bronzestand/return_order.h"
#include "bronzestand/route_health.h"
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

/// Receives the requests of the callers on this host, admits or refuses them, and forwards each
/// admitted request to a backend server. Design section 2.
class Entry final : public Part {
public:
  struct Parts {
    boost::asio::io_context &Io_;
    const Settings &Config_;
    const HeaderNames &Names_;
    FleetState &Fleet_;
    PeerLinks &Links_;
    BackendGate &Gate_;
    RouteHealth &Health_;
    TeamSharePart &Shares_;
    MeshMetrics &Metrics_;
    EventLog &Events_;
  };

  Entry(const Parts &Environment, Incarnation Run);
  ~Entry() override;

  /// Judges a request from its head, and asks for the body only of one that it admits.
  /// \param Request the head, without a body.
  void handle(HttpRequest Request, const HttpExchangePtr &Exchange);
  /// Refuses new requests that arrive at or after From and whose deadline is later than End.
  void drain(TimePoint From, TimePoint End);
  /// Ends all running requests at once, each with the outcome that applies to it.
  void abort();
  std::size_t running() const { return Running_.size(); }
  /// Returns the remote hosts from which an answer is outstanding, each with the start time of the
  /// oldest attempt there.
  std::map<HostId, TimePoint> waitingHosts() const;
  /// Records that the node of a host does not answer or is leaving.
  void hostDown(const HostId &Host);

  std::string_view name() const override { return "entry"; }
  absl::Status start() override;
  void stop() override;
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override;
  /// Appends metrics as Prometheus text.
  void print(TimePoint Now, std::string &Out) const;

private:
  friend class EntryCall;
  using EntryCallPtr = boost::intrusive_ptr<EntryCall>;
  struct RefusalDetails {
    Refusal Reason_;
    std::optional<Duration> RetryAfter_;
  };

  /// A request that waits for tokens or for its body. The route is a copy, because the
  /// configuration may change meanwhile.
  struct WaitingRequest {
    HttpRequest Request_;
    std::string Key_; ///< of the caller
    Call Outgoing_;
    FleetRoute Route_;
    std::uint64_t ConfigVersion_ = 0; ///< by which it was judged
    bool CallerGone_ = false;
  };
  using WaitingRequestPtr = std::shared_ptr<WaitingRequest>;

  /// Finds the route of a request, authenticates its team and sets its rank in the queues.
  /// \return the reason for a refusal, if any.
  std::optional<RefusalDetails> identify(const HttpRequest &Request, const std::string &Key,
                                         Call &Outgoing, const FleetRoute *&Route);
  /// Gives a call of the local backend server the standing of the request to which it belongs, if
  /// this is known.
  void noteOwnCall(const HttpRequest &Request, const FleetRoute &Route, Call &Outgoing);
  /// Refuses a request that has too little time, or asks for its body.
  void receive(const WaitingRequestPtr &Waiting, const HttpExchangePtr &Exchange);
  /// Runs a request whose body has arrived, unless the configuration now forbids it.
  void onBody(const WaitingRequestPtr &Waiting, const HttpExchangePtr &Exchange);
  /// Sets the time that a request has. \return the reason for a refusal, if any.
  std::optional<RefusalDetails> setTimeLeft(const HttpRequest &Request, const FleetRoute &Route,
                                            Call &Outgoing) const;
  /// Returns a refusal that says that the configuration does not allow a request; while this node
  /// may lack changes, one that asks the caller to come back.
  RefusalDetails refusalByConfig(Refusal Reason) const;
  /// Returns the value of the deadline header; none if it is missing or invalid.
  std::optional<Duration> requestedTimeout(const HttpRequest &Request) const;
  /// Starts a request that is within the rate limit of its team or has no team.
  /// \param Key of the caller; empty if the route needs none.
  void run(HttpRequest Request, std::string Key, Call Outgoing, const FleetRoute &Route,
           const HttpExchangePtr &Exchange);
  void prepareHeaders(HttpRequest &Request, const Call &Outgoing) const;
  /// Returns whether a request that starts now with this time left may be broken off by the end of
  /// the process.
  bool mayOutlastDrain(Duration TimeLeft) const;
  void refuse(const HttpRequest &Request, const Call &Outgoing, const FleetRoute *Route,
              const RefusalDetails &Details, const HttpExchangePtr &Exchange);
  /// Returns the team's token of a request that has not run.
  void returnToken(const Call &Outgoing);
  void onAnswer(const HostId &From, const Answer &Result);
  void onLinkDown(const HostId &Host, LinkId Link);
  std::uint32_t leastUrgentTeamRank() const;
  void serversChanged();
  void updateChoice(TimePoint Now);
  /// Decides by the shed level of the service, the rank of the route and the place of the request
  /// whether to refuse it because a service in its call chain is overloaded.
  bool shouldShed(const Call &Outgoing, const FleetRoute &Route,
                  const ReturnOrder::Place &Place) const;
  /// Tells another node which routes are in trouble, so that all know although few calls remain.
  void tellRouteHealth(TimePoint Now);
  /// Adapts the shares of the routes that are admitted to how their requests end, and to the room
  /// of the routes that they need.
  void updateAdmission(TimePoint Now);
  /// Logs the routes of which a share is admitted from now on, or all requests again.
  void noteLimited(TimePoint Now, const std::vector<RouteAdmission::Demand> &Demands);
  /// Returns the time after which the caller of a refused request should come back.
  Duration retryAfter(Duration Expected, const Call &Outgoing);
  /// Returns the servers that an attempt of a call that starts now may use, by the configuration in
  /// force. A route or a team that the configuration no longer has keeps the regions with which the
  /// request started.
  ServerScope scopeOf(const Call &Outgoing) const;
  /// Takes over the load that the node of a server reported with an answer.
  void noteLoad(const Call &Outgoing, const std::string &Server, const BackendLoad &Load);
  /// Records the shed level of an answer and returns the one that applies to requests like it.
  ShedLevel noteShedLevel(const Call &Outgoing, const std::string &Server, const BackendLoad &Load);
  double expectedBytes(const Call &Outgoing) const;
  void noteBytes(const Call &Outgoing, const Answer &Result);

  Parts Env_;
  TimePoint RefuseFrom_ = TimePoint::max(); ///< for requests that may end after DrainDeadline_
  TimePoint DrainDeadline_ = TimePoint::max();
  CallId LastCall_;
  std::map<CallId, EntryCallPtr> Running_;
  std::map<LinkId, Incarnation> LinkIncarnations_; ///< incarnation of the peer of each open link
  BackendChoice Choice_;
  RetryBudget Budget_;
  RoomMeter Rooms_;
  TrafficSplitter Splitter_;
  ShedTable Shed_;
  RouteAdmission Admission_;
  std::set<ClassId> Limited_; ///< routes of which not all requests are admitted
  ReturnOrder Order_;
  TimePoint ToldAt_{}; ///< last message of tellRouteHealth()
  TimePoint ChoiceUpdatedAt_{};
  std::mt19937_64 Random_;
  std::unordered_map<std::string, double>
      MeanBytes_; ///< moving average of request plus answer body, by route
};

} // namespace bronzestand::node

#endif
