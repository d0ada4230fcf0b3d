#include "node/clock.h"
#include "node/routed_call.h"
#include "node/router.h"

namespace bronzestand::node {

// Child calls are exempt, because the request that they belong to was counted already, and so are
// open routes, which have no team. Bad requests were refused earlier and use no token.
void Router::startWithinLimit(Call Request, const HttpExchangePtr &Exchange,
                              const std::shared_ptr<CallContext> &Parent,
                              const std::string &Route) {
  if (Parent || Request.Team_.empty()) {
    startCall(std::move(Request), Exchange, Parent, Route);
    return;
  }
  const TeamId Team = Request.Team_;
  // Shared, because the callback keeps the request while it waits for a rate lease.
  const auto Waiting = std::make_shared<Call>(std::move(Request));
  ++AwaitingLease_;
  Env_.Limits_.admit(Team, [this, Waiting, Exchange, Route, Arrived = now()](bool Admitted) {
    --AwaitingLease_;
    Waiting->TimeLeft_ -= now() - Arrived;
    const bool InTime = Waiting->TimeLeft_ > Duration::zero();
    if (Admitted && InTime) {
      startCall(std::move(*Waiting), Exchange, nullptr, Route);
      return;
    }
    const Refusal Reason = Admitted ? Refusal::DeadlineTooShort : Refusal::OverTeamLimit;
    HttpRequest Refused;
    Refused.Method_ = Waiting->Method_;
    Refused.Target_ = Waiting->Target_;
    RouteSpec Spec;
    Spec.Class_ = Waiting->Class_;
    Spec.Service_ = Waiting->Service_;
    recordRefusal(Refused, *Waiting, &Spec, false, Reason);
    Exchange->respond(refusalResponse(Reason, Waiting->Request_));
  });
}

void Router::startCall(Call Request, const HttpExchangePtr &Exchange,
                       const std::shared_ptr<CallContext> &Parent, const std::string &Route) {
  const CallId Id = Request.Id_;
  const RoutedCallPtr Item(new RoutedCall(*this, std::move(Request), Exchange, Parent, Route));
  Running_.emplace(Id, Item);
  Item->start();
}

} // namespace bronzestand::node
