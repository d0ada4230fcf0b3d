#ifndef BRONZESTAND_CALL_H
#define BRONZESTAND_CALL_H

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bronzestand/crash_record.h"
#include "bronzestand/refusal.h"
#include "bronzestand/server_scope.h"
#include "bronzestand/shared_body.h"
#include "bronzestand/types.h"

namespace bronzestand {

struct Header {
  std::string Name_;
  std::string Value_;
};

/// Priority of a request, assigned at the entry node and passed along the chain of calls, so that
/// every hop makes the same decision (design section 9).
struct Standing {
  std::uint8_t ClassRank_ = 0; ///< higher is more important
  std::uint8_t Band_ = 0;      ///< lower if the team exceeds its fair share

  std::uint16_t value() const {
    return static_cast<std::uint16_t>((static_cast<unsigned>(ClassRank_) << 8U) | Band_);
  }
};

/// Id of a call; unique within one incarnation of the node that sent it.
using CallId = std::uint64_t;

/// The share of failed calls at a backend server, as a node tells it to others.
struct ServerFailure {
  std::string Server_; ///< id
  double Share_ = 0.0; ///< 0 to 1
  Duration Age_{};     ///< since the node beside the server measured it
};

/// How well the calls of a class end, as nodes tell each other.
struct RouteState {
  ClassId Class_;
  double Success_ = 1.0;  ///< share of the runs that succeed, 0 to 1
  double Accepted_ = 1.0; ///< share of the calls that servers accept, 0 to 1
  Duration Age_{};        ///< since the newest measurement
  double Room_ = 1.0; ///< share of the calls that can be completed with the retry budget, 0 to 1
  ClassId Limit_;     ///< class whose calls limit the room; empty if the room is not known
  /// Share of the calls of the limiting class that can be completed if none is held back, 0 to 1.
  double Open_ = 1.0;
  double Answers_ = 1.0; ///< of the limiting class that a run needs
  Duration RoomAge_{};   ///< since the measurement of the room
  bool Full_ = false;    ///< the servers of the limiting class reject what exceeds their capacity
};

/// The request of a caller to which a call of a backend server belongs, as far as it orders calls
/// at later hops. docs/design/hard-load-terms.md, part B.
struct RootStanding {
  std::uint8_t ClassRank_ = 0; ///< as Standing::ClassRank_ of the request
  std::uint8_t Place_ = 0;     ///< ReturnOrder::Place::Position_ in 1/256; lower goes first
  TeamId Team_;
  bool Repeated_ = false; ///< the call is made by a run that was itself a repeat
};

/// A call to a service, sent by the calling node to an executor node.
struct Call {
  CallId Id_ = 0;
  RequestId Request_;
  TeamId Team_; ///< empty on open routes
  ClassId Class_;
  ServiceId Service_;
  std::string Method_;
  std::string Target_;
  std::vector<Header> Headers_;
  SharedBody Body_;
  Duration TimeLeft_{};        ///< until the deadline, from the moment of sending
  std::uint32_t Attempts_ = 0; ///< attempt allowance for this call and all calls below it
  Standing Standing_;
  std::string IdempotencyKey_; ///< empty when the route does not need one
  std::string KeyId_;          ///< id of the caller's key, never the key
  std::uint64_t Fingerprint_ = 0;
  bool AtMostOnce_ = false;
  bool Idempotent_ = false;
  Duration Objective_{}; ///< time left until the latency objective; later answers are less useful
  Knowledge Known_;      ///< what the sender knows from the platform
  /// Crashes of backend servers while they ran an earlier attempt of this call.
  std::vector<CrashRecord> Crashes_;
  double ServerRate_ = 0.0; ///< the server's limit in requests/s as the sender knows it; 0 if none
  std::vector<ServerFailure> Failing_; ///< servers of which the sender knows that their calls fail
  RequestRegions StartRegions_;        ///< kept by the entry node, not sent to others
  TimePoint TokenExpiry_{};            ///< of the team's token; kept by the entry node as well
  std::optional<RootStanding> Root_;   ///< no value: not known
  /// Of the runs that could have made the call, if it is made by a backend server: all are first
  /// attempts, and the share of those that are known to be repeats. Kept by the entry node.
  bool FirstRun_ = false;
  double RepeatedShare_ = 0.0;
};

/// Load of a backend server as its node reports it with each answer.
struct BackendLoad {
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0; ///< in the queue of the node
  std::uint32_t Limit_ = 0;   ///< calls that the node lets run at the same time; 0 if not known
  Duration ServiceTime_{};    ///< recent mean time that the server takes for a call
  bool MakesCalls_ = true;    ///< the server makes calls of its own
  double Shed_ = 0.0;         ///< ShedLevel of the server and of the services that it calls
  double Rate_ = 0.0;         ///< requests/s that the server takes; 0 if it names no limit
  Duration RateWait_{};       ///< time until the limit allows a further call
  double Failing_ = 0.0;      ///< share of the recent calls that failed at the server
  double Pace_ = 1.0;         ///< time that work takes on the server's host now; 1 is usual
  double CalleeShed_ = 0.0;   ///< part of Shed_ that is of the services that the server calls
};

/// Admission level of a service: calls below the threshold are refused at the entry.
struct ServiceLevel {
  ServiceId Service_;
  std::uint16_t Threshold_ = 0; ///< compared with Standing::value()
};

/// The result of a call, returned to the calling node.
struct Answer {
  CallId Id_ = 0;
  Outcome Outcome_ = Outcome::Unknown;
  Refusal Refusal_ = Refusal::ConnectionLost; ///< valid unless Outcome_ is Served
  unsigned HttpStatus_ = 0;                   ///< valid if Outcome_ is Served
  std::vector<Header> Headers_;
  std::string Body_;
  std::uint32_t UnusedAttempts_ = 0;
  std::vector<ServiceLevel> Levels_;
  bool Leaving_ = false;       ///< the executor's host is leaving
  bool ServerLeaving_ = false; ///< the backend server said that it is leaving
  BackendLoad Load_;
  Knowledge Known_; ///< as in Call
  /// Known crashes while the request ran, if the backend server has just crashed.
  std::vector<CrashRecord> Crashes_;
  std::vector<ServerFailure> Failing_; ///< as in Call
  std::vector<RouteState> Routes_;     ///< classes in trouble, as the sender knows

  static Answer refused(CallId Id, Refusal Reason) {
    Answer Result;
    Result.Id_ = Id;
    Result.Outcome_ = refusalInfo(Reason).Outcome_;
    Result.Refusal_ = Reason;
    return Result;
  }
};

} // namespace bronzestand

#endif
