#ifndef BRONZESTAND_REFUSAL_H
#define BRONZESTAND_REFUSAL_H

#include <optional>
#include <string_view>

namespace bronzestand {

/// How a request ended.
enum class Outcome {
  Served,  ///< the whole answer of the backend server was delivered
  NotRun,  ///< refused, and proven never to have reached a backend server
  Unknown, ///< may have run
};

std::string_view outcomeName(Outcome Value);

/// Why a request was not served. Design section 2 lists the conditions.
enum class Refusal {
  BadRequest,
  KeyMissing,
  KeyUnknown,
  KeyAmbiguous,
  RouteUnknown,
  CallContextMissing,
  IdempotencyKeyMissing,
  IdempotencyKeyReused,
  HeaderTooLarge,
  BodyTooLarge,
  OverTeamLimit,
  Overloaded,
  DeadlineTooShort,
  NoBackendServer,
  AttemptsExhausted,
  Quarantined,
  ClaimUnavailable,
  NotReady,
  ShuttingDown,
  Cancelled,
  ConnectionLost,
  TimedOut,
  OutcomeUnknown,
  BackendRejected, ///< the backend server said that it did not run the request
  WrongBackend,    ///< another backend server has the address
  /// The node may lack a change that allows the request.
  StaleConfiguration,
  /// No server of the service is in the regions that the route and the team allow.
  NoAllowedServer,
  /// The configuration of the server's node does not allow the request in its region.
  RegionNotAllowed,
  Evacuated, ///< the data centre of the server, or of all servers, is being evacuated
};

/// How a refusal is reported to a caller.
struct RefusalInfo {
  std::string_view Name_;
  unsigned HttpStatus_;
  Outcome Outcome_;
  bool MayRetry_; ///< the caller may send the same request again; Retry-After is set
};

const RefusalInfo &refusalInfo(Refusal Value);

/// Returns the refusal with this name, std::nullopt if there is none.
std::optional<Refusal> refusalByName(std::string_view Name);

} // namespace bronzestand

#endif
