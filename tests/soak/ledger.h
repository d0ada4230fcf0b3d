#ifndef BRONZESTAND_TESTS_SOAK_LEDGER_H
#define BRONZESTAND_TESTS_SOAK_LEDGER_H

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "mesh/header_names.h"
#include "node/clock.h"
#include "node/http_client.h"

namespace bronzestand::soak {

/// A promise of the platform's pages that the soak checks.
enum class Promise {
  RunsOnce,         ///< a request that must not be repeated runs once at most
  RefusedNotRun,    ///< "not run" is true, also later
  AnswerWhole,      ///< a success is the whole answer of the server that ran this request
  RequestUnchanged, ///< a server runs what the caller sent, with the right team and caller
  Routed,           ///< a request runs at the service of its route, with a key in force
  AttemptsBounded,
  RetriesBounded,
  TeamLimited,
  AnsweredInTime, ///< a final answer soon after the time-out of the route
  ChangeInForce,  ///< a change of the configuration is in force in time and stays so
  LeavingSpared,  ///< a leaving server gets no new work after its time
  CallerGone,     ///< no work for callers that left
  PlannedCutsNothing,
  EndsInGrace, ///< a node ends by itself within the grace period
  Recovers,
  ColdBounded,     ///< a cold server gets no more requests in a second than its bound
  RegionsKept,     ///< a request reaches servers of its allowed regions only
  EvacuatedSpared, ///< an evacuated data centre gets no requests after its time
};

std::string_view promiseName(Promise Value);

/// Bounds of the promises, as the platform's settings give them.
struct Bounds {
  Duration Contact_ = std::chrono::milliseconds(3000);
  Duration ConfigApply_ = std::chrono::milliseconds(2000);
  Duration Rollback_ = std::chrono::milliseconds(250);
  Duration Drain_ = std::chrono::milliseconds(2000);
  Duration Evacuate_ = std::chrono::milliseconds(2000);
  Duration Grace_ = std::chrono::seconds(6);
  Duration LossSlack_ = std::chrono::milliseconds(200);
  Duration Recovery_ = std::chrono::seconds(15);
  double ColdOver_ = 1.5;
  double ColdSlack_ = 4.0;
  double RetryRatio_ = 0.2;
  double RetrySlack_ = 50.0;
  Duration RetryWindow_ = std::chrono::seconds(10);
  double LimitOverage_ = 0.25;
  double LimitSlack_ = 20.0;
  Duration LimitWindow_ = std::chrono::seconds(5);
};

/// One request as its caller sent it.
struct Sent {
  std::string Id_;
  std::size_t Node_ = 0; ///< where it entered
  std::string Path_;
  std::string Body_;
  std::string Service_; ///< that its route names
  std::string CallingService_;
  std::string Team_; ///< empty for calls of servers
  bool Idempotent_ = true;
  unsigned MaxRuns_ = 1;
  Duration Timeout_{}; ///< of its route
  TimePoint At_;
  bool Probe_ = false; ///< may be refused by the configuration
  std::string Region_; ///< the only allowed one; empty for any
};

/// One arrival at a server that the server began to work on.
struct Run {
  std::string Server_; ///< id
  std::string Service_;
  std::size_t Node_ = 0; ///< beside the server
  TimePoint At_;
  std::string Signature_;
  unsigned Status_ = 0;   ///< of the answer; 0 while it runs
  bool Rejected_ = false; ///< arrived, but was not run
};

/// The platform's names of the headers.
const node::HeaderNames &wireNames();

/// Body that the servers of the soak answer with.
inline std::string bodyOf(const std::string &Signature, const std::string &Body) {
  return Signature + "/" + Body;
}

/// Records what callers sent and got and what servers ran, and checks the promises on it.
class Ledger {
public:
  explicit Ledger(const Bounds &Values) : Bounds_(Values) {}

  struct Violation {
    Promise Promise_;
    std::string Request_;
    std::string Detail_;
  };

  void setTeamLimit(const std::string &Team, double Rate, double Burst);
  /// A node, or its paths, are disturbed until a time.
  void disturb(std::size_t Node, TimePoint Until);
  void disturbStore(TimePoint Until) { StoreDisturbed_ = std::max(StoreDisturbed_, Until); }
  /// From now on a cut request counts only if it was cut by unplanned trouble.
  void setPlannedOnly(bool Planned) { PlannedOnly_ = Planned; }

  void sent(Sent Request);
  /// A server begins to work on a request. \param Request as it arrived.
  void started(const node::HttpRequest &Request, Run Begun);
  /// A server has answered a request that it ran.
  void finished(const std::string &Request, const std::string &Signature, unsigned Status);
  void answered(const std::string &Request, node::HttpResult Result,
                const node::HttpResponse &Response);
  void cancelled(const std::string &Request);
  /// Call at the time-out of the route, and again half a second later.
  void timedOut(const std::string &Request, bool Late);
  /// The servers of a data centre get no requests from now on, or may get them again.
  void evacuated(const std::string &DataCentre, bool Begins);
  void leaving(const std::string &Server) { Leaving_[Server] = node::now(); }
  /// Checks an answer against the configuration in force. \param Wanted only status that shows it;
  /// 0 for any. \param Unexpected status that shows an older one; 0 for none.
  void checkConfig(const std::string &Request, unsigned Wanted, unsigned Unexpected);
  void violated(Promise Broken, const std::string &Request, std::string Detail);

  /// Checks what needs the whole record.
  void finish();
  /// Share of the requests of teams sent in a span that were served; nothing if none were sent.
  std::optional<double> servedShare(TimePoint From, TimePoint To) const;

  const std::vector<Violation> &violations() const { return Violations_; }
  std::size_t requests() const { return Records_.size(); }
  /// Requests by the status of their answer; 0 for those without one.
  std::map<unsigned, std::size_t> statuses() const;
  bool isQuiet(std::size_t Node, TimePoint Now) const;

private:
  struct Record {
    Sent Sent_;
    std::vector<Run> Runs_;
    std::optional<node::HttpResult> Result_;
    unsigned Status_ = 0;
    bool PromisedNotRun_ = false;
    TimePoint Ended_{};
    std::optional<TimePoint> Cancelled_;
  };

  void checkArrival(const Record &Item, const node::HttpRequest &Request, const Run &Begun);
  void checkPlace(const Record &Item, const Run &Begun);
  void checkServed(const Record &Item, const node::HttpResponse &Response);
  void checkRefused(Record &Item);
  void checkRetries();
  void checkTeams();

  Bounds Bounds_;
  std::unordered_map<std::string, Record> Records_;
  std::map<std::string, std::pair<double, double>> Limits_; ///< rate and burst of a team
  std::map<std::size_t, TimePoint> Disturbed_;
  TimePoint StoreDisturbed_{};
  std::map<std::string, TimePoint> Leaving_;
  std::map<std::string, TimePoint> Evacuated_; ///< data centres and the times of their keys
  std::vector<Violation> Violations_;
  bool PlannedOnly_ = false;
  std::size_t AfterCallerLeft_ = 0;
  std::size_t OpenAtTimeout_ = 0;
  std::size_t LateAnswers_ = 0;
};

} // namespace bronzestand::soak

#endif
