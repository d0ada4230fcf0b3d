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
    A_.started(Now_, 1, 1, Team);
    A_.started(Now_, 2, 2, Other);
    deliver("a", A_.crashed(Now_));
  }
  /// Crashes node b while the suspect 1 and the harmless request 3, which is no suspect, run.
  void crashSecond() {
    B_.started(Now_, 1, 1, Team);
    B_.started(Now_, 3, 3, Other);
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
  B_.started(Now_, 1, 1, Team);
  CHECK(B_.mayStart(Now_, 2, Other) == StartVerdict::WaitAlone);
  CHECK(B_.mayStart(Now_, 3, Other) == StartVerdict::Start);
  B_.started(Now_, 2, 2, Other); // as if started before the message arrived
  deliver("b", B_.crashed(Now_));
  CHECK(B_.quarantinedCount() == 0);
}

// Guards against quarantining a harmless suspect for the crashes of a second poison request: if the
// table holds a crash at which it did not run, it must be the only suspect at two crashes.
TEST_CASE_METHOD(QuarantineFixture, "crash_with_a_second_cause_needs_confirmation") {
  crashFirst();
  C_.started(Now_, 4, 4, Other);
  deliver("c", C_.crashed(Now_));
  crashSecond();
  CHECK(B_.quarantinedCount() == 0);
  C_.started(Now_, 5, 1, Team);
  deliver("c", C_.crashed(Now_));
  CHECK(A_.mayStart(Now_, 1, Team) == StartVerdict::Quarantined);
  // Fingerprint 4 remains a suspect; the crashes at which 2 and 3 ran are attributed to 1.
  CHECK(A_.size() == 2);
}

// Guards against quarantining a request because one faulty backend server crashes repeatedly.
TEST_CASE_METHOD(QuarantineFixture, "crash_of_one_host_twice_quarantines_none") {
  crashFirst();
  A_.started(Now_, 1, 1, Team);
  deliver("a", A_.crashed(Now_));
  CHECK(A_.quarantinedCount() == 0);
}

// Guards against a harmless suspect that must wait for other suspects for 10 min.
TEST_CASE_METHOD(QuarantineFixture, "suspect_that_is_served_is_cleared_everywhere") {
  crashFirst();
  B_.started(Now_, 2, 2, Other);
  deliver("b", B_.finished(Now_, 2, true));
  CHECK(C_.size() == 1);
  C_.started(Now_, 1, 1, Team);
  CHECK(C_.mayStart(Now_, 2, Other) == StartVerdict::Start);
}

// Guards against the loss of the first message, and against a new node that does not get the table.
TEST_CASE_METHOD(QuarantineFixture, "lost_message_is_repeated_within_a_second") {
  crashFirst();
  B_.started(Now_, 1, 1, Team);
  B_.crashed(Now_); // all messages lost
  Now_ += 300ms;
  deliver("b", B_.tick(Now_));
  CHECK(C_.mayStart(Now_, 1, Team) == StartVerdict::Quarantined);
  Now_ += 600ms;
  B_.tick(Now_);
  Now_ += 600ms;
  CHECK(B_.tick(Now_).empty());
  B_.started(Now_, 7, 7, Other);
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

TEST_CASE("fingerprint_depends_on_route_team_and_body") {
  const Fingerprint RequestFingerprint = fingerprintOf("POST /orders", Team, "x");
  CHECK(RequestFingerprint == fingerprintOf("POST /orders", Team, "x"));
  CHECK(RequestFingerprint != fingerprintOf("POST /orders", Other, "x"));
  CHECK(RequestFingerprint != fingerprintOf("POST /order", Team, "x"));
  CHECK(RequestFingerprint != fingerprintOf("POST /orders", Team, "y"));
}
