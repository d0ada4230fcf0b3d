#ifndef BRONZESTAND_MESH_BACKEND_GATE_H
#define BRONZESTAND_MESH_BACKEND_GATE_H

#include <array>
#include <map>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "bronzestand/call_parents.h"
#include "bronzestand/dispatcher.h"
#include "bronzestand/instance_load.h"
#include "bronzestand/route_health.h"
#include "bronzestand/server_failures.h"
#include "bronzestand/server_limit.h"
#include "bronzestand/shed_level.h"
#include "mesh/fleet_state.h"
#include "mesh/header_names.h"
#include "mesh/server_temperature.h"
#include "node/call_runner.h"
#include "node/crash_guard.h"
#include "node/http_client.h"
#include "node/part.h"

namespace bronzestand::node {

/// Sends calls to the backend server beside this node, at most as many at a time as it has slots.
/// Further calls are queued here by rank, team and deadline rather than in the server. Design
/// section 9.
class BackendGate final : public Part, public CallRunner {
public:
  BackendGate(boost::asio::io_context &Io, const Settings &Config, const HeaderNames &Names,
              FleetState &Fleet, CrashGuard &Guard, RouteHealth &Health, EventLog &Events);

  void submitCall(const HostId &Caller, Call Request, Reply Done) override;
  void cancel(const HostId &Caller, CallId Id) override;
  /// Returns whether a call is here and was not sent to the server.
  bool isWaiting(const HostId &Caller, CallId Id) const;
  /// Records that the backend server makes a call of its own.
  /// \param TimeLeft that the call names, if any.
  CallParents::Parent noteOwnCall(const ClassId &Called, std::optional<Duration> TimeLeft);
  /// Records the shed level with which a service answered a call of the backend server.
  void noteDownstreamLevel(const ServiceId &Service, ShedLevel Level);
  /// Sets the functions that name the failing servers to tell the callers' nodes of, and that take
  /// those of which these nodes tell.
  void setFailureExchange(std::function<std::vector<ServerFailure>()> Source,
                          std::function<void(const std::vector<ServerFailure> &)> Sink) {
    FailureSource_ = std::move(Source);
    FailureSink_ = std::move(Sink);
  }
  /// Sets where answers of the server go after this node has received them.
  void setAnswerOutlet(AnswerOutlet Outlet) { Client_.setOutlet(std::move(Outlet)); }
  std::size_t answerBytes() const { return Client_.answerBytes(); }
  /// Refuses new calls from now on; queued and running calls are finished.
  void drain() { Draining_ = true; }
  /// Cancels all running calls and refuses the queued ones, because the node is stopping.
  void abort();
  std::size_t running() const { return Calls_.size(); }
  BackendLoad load() const;
  /// Records that the server may have become cold without a restart, for example because the
  /// evacuation of its data centre has ended.
  void serverMayBeCold() { Temperature_.mayBeCold(); }

  std::string_view name() const override { return "backend_gate"; }
  absl::Status start() override;
  void stop() override { ExpiryTimer_.cancel(); }
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override;
  /// Appends metrics as Prometheus text.
  void print(TimePoint Now, std::string &Out) const;

private:
  using CallKey = std::pair<HostId, CallId>;
  struct PendingCall {
    Call Call_;
    Reply Done_;
    TimePoint Arrived_;
    TimePoint Deadline_;
    TimePoint SentAt_{};
    Duration Work_{};        ///< expected time at the server
    CallId QueueNumber_ = 0; ///< id in the queue
    HttpClient::RequestNumber Request_ = 0;
    bool AtServer_ = false;           ///< sent and not yet answered
    bool ServerLeaving_ = false;      ///< the server's answer says that it is leaving
    std::optional<Refusal> Withheld_; ///< why it was not written on its connection
  };

  unsigned limit() const;
  /// Returns whether the server is known or assumed to make calls of its own.
  bool makesCalls() const;
  bool isServerGone() const;
  /// Returns whether the data centre is evacuated and calls must not reach the server any more.
  bool isClosed() const;
  /// Refuses the calls that have not been sent to the server, so that their entries send them to
  /// another data centre.
  void refuseWaiting();
  /// Returns whether the server that a call names has been replaced at its address.
  bool isReplaced(const Call &Request) const;
  void noteReplaced(const std::string &Id);
  /// Returns whether the configuration of this node allows a call in its region.
  bool isRegionAllowed(const Call &Request) const;
  Duration meanServiceTime(const Call &Request) const;
  Duration expectedWait(const Call &Request) const;
  Duration allowedWait(const Call &Request) const;
  /// Returns the calls that are sent until a call has been, including it.
  std::size_t callsUntil(const Call &Request) const;
  /// Returns whether a call may wait until the limit that the server names allows it.
  bool fitsRate(const Call &Request) const;
  /// Returns the shed level of the server, including that for lack of room while it is cold.
  ShedLevel shedLevel() const;
  /// Returns what counts the calls that are refused now. Those for lack of room at a cold server
  /// say nothing of the load once it is warm.
  ShedController &shed();
  std::optional<Refusal> findRefusal(const Call &Request) const;
  void dispatch();
  /// Returns why a call must not reach the server whatever its load is; nothing if it may.
  std::optional<Refusal> findPlacementRefusal(const Call &Request) const;
  /// Returns why a call that leaves the queue is not sent, if it is not.
  std::optional<Refusal> findLateRefusal(const PendingCall &Current) const;
  void send(const CallKey &Key);
  void transmit(const CallKey &Key);
  /// Returns whether a call may still be written when its connection to the server is there, which
  /// may take long: the data centre or the region may be closed by then.
  bool mayWrite(const CallKey &Key);
  void noteWithheld(const CallKey &Key, Refusal Reason);
  void onResult(const CallKey &Key, HttpResult Result, HttpResponse Response);
  /// Counts the end of a call at the server as evidence of how well the server works.
  void noteEnd(const Call &Request, HttpResult Result, const HttpResponse &Response);
  Answer toAnswer(const Call &Request, HttpResult Result, HttpResponse &&Response);
  /// Tells whether a response repeats the id of the request.
  bool isNamed(const Call &Request, const HttpResponse &Response) const;
  /// Tells whether a response says that its request did not run, whichever request that is.
  bool saysNotRun(const HttpResponse &Response) const;
  bool isRefusal(const Call &Request, const HttpResponse &Response) const;
  bool isFromServer(const Call &Request, const HttpResponse &Response) const;
  bool saysLeaving(const HttpResponse &Response) const;
  /// Reads what an answer says of the server itself.
  void noteServerState(PendingCall &Current, const HttpResponse &Response);
  /// Returns whether a response was made by the backend server for a call.
  bool isOwn(const Call &Request, const HttpResponse &Response) const;
  /// Takes the time of a call into the means.
  void noteServiceTime(const Call &Request, Duration Time);
  /// Returns whether the server that a call names is known to be leaving.
  bool isNamedServerLeaving(const Call &Request) const;
  /// Forgets the limit of an earlier run of the server.
  void checkServerRun();
  void finish(const CallKey &Key, Answer Result);
  /// Refuses a call that does not leave the queue for the server.
  void refuse(const CallKey &Key, Refusal Reason);
  /// Ends a call early. \param Reason given if it has not been sent to the server.
  void end(const CallKey &Key, Refusal Reason);
  void expire();
  void scheduleExpiry();

  const Settings &Config_;
  const RegionId Region_; ///< of this node's data centre
  const HeaderNames &Names_;
  FleetState &Fleet_;
  CrashGuard &Guard_;
  RouteHealth &Health_;
  EventLog &Events_;
  boost::asio::steady_timer ExpiryTimer_;
  HttpClient Client_;
  FairQueue Queue_;
  std::map<CallKey, PendingCall> Calls_;
  std::map<CallId, CallKey> ByQueueNumber_;
  CallId LastQueueNumber_ = 0;
  unsigned InFlight_ = 0;    ///< calls at the server
  Duration InFlightWork_{};  ///< their expected time at the server
  double MeanSeconds_ = 0.0; ///< moving average of the service time of all calls, at usual pace
  std::map<std::string, double> SecondsByClass_; ///< the same by route
  PaceMeter Pace_;
  FailureMeter Failures_;
  std::function<std::vector<ServerFailure>()> FailureSource_;
  std::function<void(const std::vector<ServerFailure> &)> FailureSink_;
  ShedController Shed_;
  ShedController ColdShed_; ///< while the server is or may be cold
  ShedTable DownstreamLevels_;
  double ReducedSlots_ = 0.0; ///< slots withheld after rejections by the server
  TimePoint RestoredAt_{};
  ServerLimit Rate_;
  ServerTemperature Temperature_;
  GateLimits Limits_{Rate_, Temperature_.limit()};
  std::pair<std::string, std::uint64_t> ServerRun_; ///< id and start of the server of Rate_
  std::string ReplacedServer_;   ///< id that the server at the address rejected last
  unsigned ReplacedAnswers_ = 0; ///< such rejections in a row
  TimePoint ReplacedUntil_{};    ///< end of the time for which they hold
  bool Draining_ = false;
  bool WasListed_ = false; ///< whether the platform has listed the server since the start
  std::uint64_t OwnCalls_ = 0;
  CallParents Parents_;
  std::array<std::uint64_t, 4> ParentMatches_{}; ///< of OwnCalls_, by ParentMatch
  std::uint64_t Served_ = 0;
  std::uint64_t Refused_ = 0;
  std::uint64_t RefusedByRegion_ = 0; ///< of Refused_, those of routes or teams not allowed here
  std::uint64_t Unknown_ = 0;
  std::uint64_t Evacuated_ = 0; ///< calls that were refused because the data centre is evacuated
};

} // namespace bronzestand::node

#endif
