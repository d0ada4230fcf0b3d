// Overload control over separate processes: a surge, a greedy team, and both without control.
#include <algorithm>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "bronzestand/key_table.h"
#include "fleet.h"
#include "replay.h"

using namespace bronzestand;
using namespace bronzestand::bench;
using namespace bronzestand::test;
using std::chrono::milliseconds;

namespace {

// Two hosts of 10 slots and 200 ms.
constexpr double Capacity = 100.0;

TraceShape shape() {
  TraceShape Shape;
  Shape.Kinds_ = {{"looking", "GET", "/goods", milliseconds(1000), 0.85},
                  {"buying", "POST", "/orders", milliseconds(1000), 0.15}};
  Shape.Teams_ = {{"alpha", 20}, {"beta", 20}, {"gamma", 20}};
  Shape.SurgeStart_ = milliseconds(1500);
  Shape.SurgeEnd_ = milliseconds(4000);
  Shape.Length_ = milliseconds(7000);
  Shape.Retries_ = 2;
  return Shape;
}

struct Run {
  std::vector<TraceRequest> Trace_;
  TraceShape Shape_;
  ReplayResult Result_;
  std::uint64_t BackendRuns_ = 0;
  std::uint64_t BackendRunsOfServed_ = 0;

  /// Share of the requests of a class (or team) of a time that were served.
  double share(std::string TraceRequest::*Field, const std::string &Name, milliseconds From,
               milliseconds To) const {
    double Sent = 0.0;
    double Served = 0.0;
    for (std::size_t Index = 0; Index < Trace_.size(); ++Index) {
      const TraceRequest &Request = Trace_[Index];
      if (Request.Time_ < From || Request.Time_ >= To || (!Name.empty() && Request.*Field != Name))
        continue;
      Sent += 1.0;
      Served += Result_.AnswerTimes_[Index] >= milliseconds(0) ? 1.0 : 0.0;
    }
    return Served / Sent;
  }
  double inSurge(std::string TraceRequest::*Field, const std::string &Name) const {
    return share(Field, Name, Shape_.SurgeStart_, Shape_.SurgeEnd_);
  }
  double afterRecovery() const {
    return share(&TraceRequest::Class_, "", Shape_.SurgeEnd_ + milliseconds(2000), Shape_.Length_);
  }
};

Run runTrace(const TraceShape &Shape, const std::string &Disabled) {
  Fleet Hosts({{"shop-1", "shop", "colombo", "western", {}, "10", "200000"},
               {"shop-2", "shop", "negombo", "western", {}, "10", "200000"},
               {"desk-1", "desk", "colombo", "western"}},
              Fleet::PeerPath::Direct, Disabled);
  Hosts.putBasics({{"shop", "- {method: GET, path: /goods, class: looking, idempotent: true}\n"
                            "- {method: POST, path: /orders, class: buying}\n"},
                   {"desk", "- {method: GET, path: /desk, class: looking}\n"}});
  Hosts.put("classes/looking", "target: {served: 0.9, within: 1000}\n");
  Hosts.put("classes/buying", "{target: {served: 0.99, within: 1000}, may_be_shed: false}\n");
  // The rates are far above the surge, so that overload control alone acts.
  for (const TraceTeam &Team : Shape.Teams_)
    Hosts.put("teams/" + Team.Team_,
              fmt::format("rate: 10000\nburst: 10000\nkeys:\n- {{id: k1, hash: {}}}\n",
                          hashKey(Fleet::KeySalt, "demo-key-" + Team.Team_)));
  REQUIRE(Hosts.waitUntilInForce());
  Run Done;
  Done.Shape_ = Shape;
  Done.Trace_ = generateTrace(Shape, 1);
  Done.Result_ = replay(Hosts, Done.Trace_);
  for (const char *Host : {"shop-1", "shop-2"})
    Done.BackendRuns_ += Hosts.backendStats(Host)["received"].get<std::uint64_t>();
  for (const auto &[Name, Row] : Done.Result_.ByClass_)
    Done.BackendRunsOfServed_ += Row.Served_;
  UNSCOPED_INFO(formatTable(Done.Result_));
  return Done;
}

Run runSurge(const std::string &Disabled) {
  TraceShape Shape = shape();
  Shape.SurgeFactor_ = 4.0 * Capacity / 60.0;
  return runTrace(Shape, Disabled);
}

Run runGreedyTeam(const std::string &Disabled) {
  TraceShape Shape = shape();
  Shape.GreedyTeam_ = "alpha";
  Shape.GreedyFactor_ = 5.0;
  return runTrace(Shape, Disabled);
}

double worstOtherTeam(const Run &Done) {
  return std::min(Done.inSurge(&TraceRequest::Team_, "beta"),
                  Done.inSurge(&TraceRequest::Team_, "gamma"));
}

} // namespace

// Guards against protected work shed before lesser work, against refusals that can't tell whether
// the request was run, against expired work that is run, and against overload that outlasts the
// surge.
TEST_CASE("overload_surge_keeps_protected_work_and_recovers") {
  const Run Done = runSurge("team_limits");
  CHECK(Done.inSurge(&TraceRequest::Class_, "buying") >= 0.95);
  CHECK(Done.inSurge(&TraceRequest::Class_, "looking") < 0.5);
  const Tally &Looking = Done.Result_.ByClass_.at("looking");
  std::uint64_t Failed = 0;
  std::uint64_t Refused = 0;
  for (const auto &[Name, Count] : Looking.Refusals_) {
    Failed += Count;
    const auto Reason = refusalByName(Name);
    if (Reason && refusalInfo(*Reason).Outcome_ == Outcome::NotRun)
      Refused += Count;
  }
  CHECK(static_cast<double>(Refused) >= 0.98 * static_cast<double>(Failed));
  CHECK(static_cast<double>(Done.BackendRuns_) <=
        1.05 * static_cast<double>(Done.BackendRunsOfServed_));
  CHECK(Done.afterRecovery() >= 0.95);
}

// Guards against a team that takes capacity away from teams inside their share.
TEST_CASE("overload_greedy_team_harms_no_other") {
  CHECK(worstOtherTeam(runGreedyTeam("team_limits")) >= 0.95);
}

// Guards against checks that would pass without the mechanisms.
TEST_CASE("overload_without_control_fails_the_checks") {
  const Run Surge = runSurge("team_limits, dispatcher, fairness, admission");
  CHECK(Surge.inSurge(&TraceRequest::Class_, "buying") < 0.95);
  CHECK(static_cast<double>(Surge.BackendRuns_) >
        1.05 * static_cast<double>(Surge.BackendRunsOfServed_));
  CHECK(worstOtherTeam(runGreedyTeam("team_limits, fairness")) < 0.95);
}
