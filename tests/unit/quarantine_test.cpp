#include "bronzestand/quarantine.h"

#include <catch2/catch.hpp>

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

const TeamId Team("wards");
const TeamId Other("labs");

struct QuarantineFixture {
  QuarantineFixture() {
    for (Quarantine *Node : {&A_, &B_, &C_})
      Node->setPeers(Now_, Peers_);
  }
  void deliver(const char *From, const std::vector<QuarantineSend> &Sends) {
    for (const QuarantineSend &Send : Sends)
      node(Send.To_).handle(Now_, HostId(From), Send.Message_);
  }
  Quarantine &node(const HostId &Host) {
    return Host.str() == "a" ? A_ : Host.str() == "b" ? B_ : C_;
  }
  /// Crashes node a while the poison request 1 and the harmless request 2 run.
  void crashFirst() {
    A_.started(1, 1, Team);
    A_.started(2, 2, Other);
    deliver("a", A_.crashed(Now_));
  }
  /// Crashes node b while the suspect 1 and the harmless request 3, which is no suspect, run.
  void crashSecond() {
    B_.started(1, 1, Team);
    B_.started(3, 3, Other);
    deliver("b", B_.crashed(Now_));
  }
  TimePoint Now_{1s};
  std::set<HostId> Peers_{HostId("a"), HostId("b"), HostId("c")};
  Quarantine A_{HostId("a")}, B_{HostId("b")}, C_{HostId("c")};
};

} // namespace

// Guards against a poison request that crashes a third backend server, and against blocking
// requests that only ran at the same time.
TEST_CASE_METHOD(QuarantineFixture, "crash_of_two_hosts_quarantines_the_only_suspect") {
  crashFirst();
  CHECK(C_.mayStart(Now_, 1, Team) == StartVerdict::Start);
  crashSecond();
  for (Quarantine *Node : {&A_, &B_, &C_}) {
    CHECK(Node->mayStart(Now_, 1, Team) == StartVerdict::Quarantined);
    CHECK(Node->mayStart(Now_, 2, Other) == StartVerdict::Start);
    CHECK(Node->mayStart(Now_, 3, Other) == StartVerdict::Start);
    CHECK(Node->quarantinedCount() == 1);
  }
  Now_ += 10min;
  CHECK(C_.mayStart(Now_, 1, Team) == StartVerdict::Start);
  C_.tick(Now_);
  CHECK(C_.size() == 0);
}

// Guards against quarantining a request while another suspect could be the cause.
TEST_CASE_METHOD(QuarantineFixture, "crash_with_two_suspects_quarantines_none") {
  crashFirst();
  B_.started(1, 1, Team);
  CHECK(B_.mayStart(Now_, 2, Other) == StartVerdict::WaitAlone);
  CHECK(B_.mayStart(Now_, 3, Other) == StartVerdict::Start);
  B_.started(2, 2, Other); // as if started before the message arrived
  deliver("b", B_.crashed(Now_));
  CHECK(B_.quarantinedCount() == 0);
}

// Guards against quarantining a harmless suspect for the crashes of a second poison request: if the
// table holds a crash at which it did not run, it must be the only suspect at two crashes.
TEST_CASE_METHOD(QuarantineFixture, "crash_with_a_second_cause_needs_confirmation") {
  crashFirst();
  C_.started(4, 4, Other);
  deliver("c", C_.crashed(Now_));
  crashSecond();
  CHECK(B_.quarantinedCount() == 0);
  C_.started(5, 1, Team);
  deliver("c", C_.crashed(Now_));
  CHECK(A_.mayStart(Now_, 1, Team) == StartVerdict::Quarantined);
  // Fingerprint 4 remains a suspect; the crashes at which 2 and 3 ran are attributed to 1.
  CHECK(A_.size() == 2);
}

// Guards against quarantining a request because one faulty backend server crashes repeatedly.
TEST_CASE_METHOD(QuarantineFixture, "crash_of_one_host_twice_quarantines_none") {
  crashFirst();
  A_.started(1, 1, Team);
  deliver("a", A_.crashed(Now_));
  CHECK(A_.quarantinedCount() == 0);
}

// Guards against a harmless suspect that must wait for other suspects for 10 min.
TEST_CASE_METHOD(QuarantineFixture, "suspect_that_is_served_is_cleared_everywhere") {
  crashFirst();
  B_.started(2, 2, Other);
  deliver("b", B_.finished(Now_, 2, true));
  CHECK(C_.size() == 1);
  C_.started(1, 1, Team);
  CHECK(C_.mayStart(Now_, 2, Other) == StartVerdict::Start);
}

// Guards against the loss of the first message, and against a new node that does not get the table.
TEST_CASE_METHOD(QuarantineFixture, "lost_message_is_repeated_within_a_second") {
  crashFirst();
  B_.started(1, 1, Team);
  B_.crashed(Now_); // all messages lost
  Now_ += 300ms;
  deliver("b", B_.tick(Now_));
  CHECK(C_.mayStart(Now_, 1, Team) == StartVerdict::Quarantined);
  Now_ += 600ms;
  B_.tick(Now_);
  Now_ += 600ms;
  CHECK(B_.tick(Now_).empty());
  B_.started(7, 7, Other);
  B_.crashed(Now_); // adds a suspect beside the quarantined fingerprint
  Peers_.insert(HostId("d"));
  CHECK(B_.setPeers(Now_, Peers_).size() == 2);
}

// Guards against a team that blocks another team by a colliding fingerprint or a full table.
TEST_CASE_METHOD(QuarantineFixture, "team_cannot_affect_other_teams") {
  crashFirst();
  crashSecond();
  CHECK(A_.mayStart(Now_, 1, Other) == StartVerdict::Start);
  const auto Flood = [&](const TeamId &Source) {
    QuarantineMessage Message;
    for (Fingerprint RequestFingerprint = 100; RequestFingerprint < 1'600; ++RequestFingerprint)
      Message.Items_.push_back({Source, RequestFingerprint, {}, 10min});
    C_.handle(Now_, HostId("a"), Message);
  };
  Flood(TeamId("noisy"));
  CHECK(C_.size() <= Quarantine::TeamLimit + 3);
  for (int Index = 0; Index < 20; ++Index)
    Flood(TeamId("noisy" + std::to_string(Index)));
  CHECK(C_.size() == Quarantine::TableLimit);
  CHECK(C_.mayStart(Now_, 1, Team) == StartVerdict::Quarantined);
}

// Guards against messages from hosts outside the service, and against a repeated message that
// extends the expiry.
TEST_CASE_METHOD(QuarantineFixture, "message_from_unknown_host_or_duplicate_changes_nothing") {
  const QuarantineMessage Message{{{Team, 9, {}, 1h}}};
  C_.handle(Now_, HostId("stranger"), Message);
  CHECK(C_.size() == 0);
  C_.handle(Now_, HostId("a"), Message);
  Now_ += 5min;
  C_.handle(Now_, HostId("a"), Message);
  Now_ += 5min;
  CHECK(C_.mayStart(Now_, 9, Team) == StartVerdict::Start);
}

// Guards against a request that must crash a third server before it is found, because it ran beside
// others at each of two crashes.
TEST_CASE_METHOD(QuarantineFixture, "crashes_with_one_common_request_quarantine_it_everywhere") {
  A_.started(1, 1, Team);
  A_.started(2, 2, Other);
  B_.started(1, 1, Team);
  B_.started(3, 3, Other);
  const auto First = A_.crashed(Now_);
  const auto Second = B_.crashed(Now_); // before the first message has arrived
  deliver("a", First);
  deliver("b", Second);
  for (Quarantine *Node : {&A_, &B_, &C_}) {
    CHECK(Node->mayStart(Now_, 1, Team) == StartVerdict::Quarantined);
    CHECK(Node->mayStart(Now_, 2, Other) == StartVerdict::Start);
    CHECK(Node->quarantinedCount() == 1);
  }
}

// Guards against two harmless requests that are quarantined because both ran at two crashes.
TEST_CASE_METHOD(QuarantineFixture, "crashes_with_two_common_requests_quarantine_none") {
  for (Quarantine *Node : {&A_, &B_}) {
    Node->started(1, 1, Team);
    Node->started(2, 2, Other);
    deliver(Node == &A_ ? "a" : "b", Node->crashed(Now_));
  }
  CHECK(C_.quarantinedCount() == 0);
  CHECK(C_.size() == 2);
}

// Guards against a frequent request that is a suspect after each crash of a server.
TEST_CASE_METHOD(QuarantineFixture, "request_served_recently_is_no_suspect") {
  A_.started(1, 2, Other);
  A_.finished(Now_, 1, true);
  B_.started(1, 3, Other);
  B_.finished(Now_, 1, true);
  crashFirst();
  CHECK(A_.size() == 1);
  A_.started(3, 3, Other);
  for (const QuarantineSend &Send : A_.crashed(Now_))
    if (Send.To_ == HostId("b"))
      deliver("b", B_.handle(Now_, HostId("a"), Send.Message_));
  CHECK(A_.crashesOf(Now_, 3, Other).empty());
  Now_ += 11s;
  A_.started(4, 2, Other);
  A_.crashed(Now_);
  CHECK(A_.crashesOf(Now_, 2, Other).size() == 1);
}

// Guards against a call that is blamed for a crash although it started after it.
TEST_CASE_METHOD(QuarantineFixture, "call_started_after_crash_is_no_suspect") {
  A_.started(1, 1, Team);
  A_.started(2, 2, Other);
  A_.crashed(Now_, 1);
  CHECK(A_.size() == 1);
  A_.crashed(Now_, 2);
  CHECK(A_.size() == 2);
}

// Guards against a crash with many harmless calls that delays each of them until all others have
// run, and against a suspect of two crashes that runs beside others.
TEST_CASE_METHOD(QuarantineFixture, "many_waiting_suspects_run_together_unless_one_crashed_twice") {
  crashFirst();
  B_.started(1, 2, Other);
  CHECK(B_.mayStart(Now_, 1, Team, 7) == StartVerdict::WaitAlone);
  CHECK(B_.mayStart(Now_, 1, Team, 8) == StartVerdict::Start);
  B_.learn(Now_, 7, Other, {{HostId("c"), 8, false}}); // a second cause, so that 1 isn't proven
  B_.learn(Now_, 1, Team, {{HostId("c"), 9, false}});
  CHECK(B_.mayStart(Now_, 1, Team, 80) == StartVerdict::WaitAlone);
  B_.finished(Now_, 1, true);
  B_.started(2, 1, Team);
  B_.learn(Now_, 5, Other, {{HostId("c"), 9, false}});
  CHECK(B_.mayStart(Now_, 5, Other, 80) == StartVerdict::WaitAlone);
}

// Guards against a retried call that arrives before the message about the crash and is not known as
// a suspect.
TEST_CASE_METHOD(QuarantineFixture, "call_that_reports_its_crash_is_a_suspect") {
  A_.started(1, 1, Team);
  A_.crashed(Now_);
  B_.learn(Now_, 1, Team, A_.crashesOf(Now_, 1, Team));
  B_.started(1, 1, Team);
  deliver("b", B_.crashed(Now_));
  CHECK(C_.mayStart(Now_, 1, Team) == StartVerdict::Quarantined);
}

// Guards against a restarted node without the table, and against one that never gets it.
TEST_CASE_METHOD(QuarantineFixture, "node_without_table_gets_it_from_peers") {
  crashFirst();
  crashSecond();
  Quarantine Restarted(HostId("c"));
  for (const QuarantineSend &Query : Restarted.setPeers(Now_, Peers_))
    for (const QuarantineSend &Reply : node(Query.To_).handle(Now_, HostId("c"), Query.Message_))
      Restarted.handle(Now_, Query.To_, Reply.Message_);
  CHECK(Restarted.mayStart(Now_, 1, Team) == StartVerdict::Quarantined);
  CHECK(Restarted.setPeers(Now_, Peers_).empty());
  Quarantine Late(HostId("c"));
  Late.setPeers(Now_, Peers_); // the queries are lost
  Late.started(1, 1, Team);
  for (const QuarantineSend &Report : Late.crashed(Now_))
    for (const QuarantineSend &Reply : node(Report.To_).handle(Now_, HostId("c"), Report.Message_))
      Late.handle(Now_, Report.To_, Reply.Message_);
  CHECK(Late.mayStart(Now_, 1, Team) == StartVerdict::Quarantined);
}

// Guards against a message that is lost because its sender's server has crashed and is not listed.
TEST_CASE_METHOD(QuarantineFixture, "peer_missing_from_list_is_heard_for_a_minute") {
  C_.setPeers(Now_, {HostId("b"), HostId("c")});
  crashFirst();
  CHECK(C_.size() == 2);
  Now_ += 61s;
  C_.tick(Now_);
  C_.handle(Now_, HostId("a"), QuarantineMessage{{{Team, 9, {}, 1min}}});
  CHECK(C_.quarantinedCount() == 0);
}

// Guards against a request that crashes the only server of its service again and again.
TEST_CASE_METHOD(QuarantineFixture, "sole_suspect_at_three_crashes_of_one_host_is_quarantined") {
  crashFirst();
  for (CallId Number = 1; Number <= 2; ++Number) {
    A_.started(Number, 1, Team);
    A_.crashed(Now_);
    CHECK(A_.quarantinedCount() == 0);
  }
  A_.started(3, 1, Team);
  A_.crashed(Now_);
  CHECK(A_.mayStart(Now_, 1, Team) == StartVerdict::Quarantined);
}

// Guards against an earlier crash with another cause that delays the proof for minutes.
TEST_CASE_METHOD(QuarantineFixture, "crash_long_ago_is_no_second_cause") {
  C_.started(4, 4, Other);
  deliver("c", C_.crashed(Now_));
  Now_ += 10s;
  crashFirst();
  crashSecond();
  CHECK(A_.mayStart(Now_, 1, Team) == StartVerdict::Quarantined);
}

// Guards against a mass crash whose suspects displace one of several crashes.
TEST_CASE_METHOD(QuarantineFixture, "suspect_of_most_crashes_is_evicted_last") {
  C_.learn(Now_, 1, Team, {{HostId("a"), 1, false}, {HostId("b"), 2, false}});
  for (Fingerprint Flood = 100; Flood < 100 + 2 * Quarantine::TeamLimit; ++Flood)
    C_.learn(Now_, Flood, Team, {{HostId("a"), 3, false}});
  CHECK(C_.size() == Quarantine::TeamLimit);
  CHECK(C_.crashesOf(Now_, 1, Team).size() == 2);
}

TEST_CASE("fingerprint_depends_on_route_team_and_body") {
  const Fingerprint RequestFingerprint = fingerprintOf("POST /orders", Team, "x");
  CHECK(RequestFingerprint == fingerprintOf("POST /orders", Team, "x"));
  CHECK(RequestFingerprint != fingerprintOf("POST /orders", Other, "x"));
  CHECK(RequestFingerprint != fingerprintOf("POST /order", Team, "x"));
  CHECK(RequestFingerprint != fingerprintOf("POST /orders", Team, "y"));
}

// Guards against suspects that wait for each other until their time is over, and against more of
// them at the same time than are needed for that.
TEST_CASE("quarantine_more_suspects_run_beside_others_if_they_would_wait_too_long") {
  using std::chrono::milliseconds;
  const milliseconds Allowed(1100);
  CHECK(Quarantine::waitingPerStart(25, milliseconds(20), Allowed) == Quarantine::MostPerStart);
  const std::size_t PerStart = Quarantine::waitingPerStart(25, milliseconds(100), Allowed);
  CHECK(Quarantine::expectedWait(25, milliseconds(100)) > Allowed);
  CHECK(Quarantine::expectedWait(25, milliseconds(100), PerStart) <= Allowed);
  CHECK(PerStart > Quarantine::LeastPerStart);
  CHECK(Quarantine::waitingPerStart(25, Allowed, Allowed) == Quarantine::LeastPerStart);
}
