#ifndef BRONZESTAND_NODE_ROUTER_H
#define BRONZESTAND_NODE_ROUTER_H

#include <map>
#include <memory>
#include <set>

#include <boost/asio/steady_timer.hpp>

#include "node/admission_part.h"
#include "node/call_attempts.h"
#include "node/call_contexts.h"
#include "node/caller_key.h"
#include "node/config_part.h"
#include "node/executor.h"
#include "node/host_choice.h"
#include "node/http_server.h"
#include "node/limits_part.h"
#include "node/link_part.h"
#include "node/metrics.h"
#include "node/part.h"
#include "node/peer_links.h"

namespace bronzestand::node {

class RoutedCall;

/// Accepts requests from callers and from the local backend server and routes each to a backend
/// server of the service that handles it (design section 2).
class Router final : public Part {
public:
  struct Parts {
    boost::asio::io_context &Io_;
    const Settings &Config_;
    const ConfigPart &Documents_;
    CallContexts &Contexts_;
    PeerLinks &Links_;
    Executor &Executor_;
    LimitsPart &Limits_;
    MembershipPart &Members_;
    HostChoice &Hosts_;
    LinkPart &LinkBudget_;
    Metrics &Metrics_;
    RecentRequests &Recent_;
    AdmissionPart &Admission_;
    CallAttempts &Attempts_;
  };

  Router(const Parts &Environment, Incarnation OwnIncarnation);
  ~Router() override;

  /// Handles a request on the caller listener.
  void handleCaller(HttpRequest Request, const HttpExchangePtr &Exchange);
  /// Handles a request of the local backend server on the egress listener.
  void handleEgress(HttpRequest Request, const HttpExchangePtr &Exchange);
  /// Refuses new requests from callers from now on; calls of running requests continue.
  void drain() { Draining_ = true; }
  /// Ends all running requests immediately, each with an outcome and a refusal reason.
  void abort();
  /// Number of requests that are running or waiting for a rate lease of their team.
  std::size_t running() const { return Running_.size() + AwaitingLease_; }

  std::string_view name() const override { return "router"; }
  absl::Status start() override;
  void stop() override;
  nlohmann::json dump() const override;

private:
  friend class RoutedCall;
  using RoutedCallPtr = boost::intrusive_ptr<RoutedCall>;

  void route(HttpRequest Request, const HttpExchangePtr &Exchange, Call Partial,
             const RouteSpec &Route, const std::shared_ptr<CallContext> &Parent);
  /// Starts the call; a caller's request is checked against its team's limit first.
  void startWithinLimit(Call Request, const HttpExchangePtr &Exchange,
                        const std::shared_ptr<CallContext> &Parent, const std::string &Route);
  void startCall(Call Request, const HttpExchangePtr &Exchange,
                 const std::shared_ptr<CallContext> &Parent, const std::string &Route);
  void finished(CallId Id);
  void record(RequestRecord Record);
  /// Records a request that was refused before it was routed to a host.
  void recordRefusal(const HttpRequest &Request, const Call &Partial, const RouteSpec *Route,
                     bool Child, Refusal Reason);
  HostId chooseHost(const Call &Request, const std::set<HostId> &Excluded);
  void onAnswer(const HostId &From, const Answer &Result);
  void onLinkDown(const HostId &Host, LinkId Link);

  Parts Env_;
  Incarnation OwnIncarnation_;
  Logger Log_;
  CallId LastCall_ = 0;
  std::map<CallId, RoutedCallPtr> Running_;
  std::size_t AwaitingLease_ = 0; ///< requests that wait for a rate lease of their team
  std::map<LinkId, Incarnation> LinkIncarnations_; ///< incarnation of the peer on each open link
  std::map<std::string, std::uint64_t> Outcomes_;  ///< count by refusal name or "served"
  bool Draining_ = false;
};

} // namespace bronzestand::node

#endif
