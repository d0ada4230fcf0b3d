#include "node/clock.h"
#include "node/routed_call.h"
#include "node/router.h"

namespace bronzestand::node {

// Calls of backend servers were counted with the request that they belong to, and open routes have
// no team. Bad requests were refused before, so they take no token.
void Router::enter(Call Request, const HttpExchangePtr &Exchange,
                   const std::shared_ptr<CallContext> &Parent, const std::string &Route) {
  if (Parent || Request.Team_.empty()) {
    run(std::move(Request), Exchange, Parent, Route);
    return;
  }
  const TeamId Team = Request.Team_;
  // Shared, because the request may wait for a lease.
  const auto Waiting = std::make_shared<Call>(std::move(Request));
  ++Held_;
  Env_.Limits_.admit(Team, [this, Waiting, Exchange, Route, Arrived = now()](bool Admitted) {
    --Held_;
    Waiting->TimeLeft_ -= now() - Arrived;
    const bool InTime = Waiting->TimeLeft_ > Duration::zero();
    if (Admitted && InTime) {
      run(std::move(*Waiting), Exchange, nullptr, Route);
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

void Router::run(Call Request, const HttpExchangePtr &Exchange,
                 const std::shared_ptr<CallContext> &Parent, const std::string &Route) {
  const CallId Id = Request.Id_;
  const RoutedCallPtr Item(new RoutedCall(*this, std::move(Request), Exchange, Parent, Route));
  Running_.emplace(Id, Item);
  Item->start();
}

} // namespace bronzestand::node
