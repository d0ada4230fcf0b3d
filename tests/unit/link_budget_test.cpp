#include "bronzestand/link_budget.h"

#include <random>

#include <catch2/catch.hpp>

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

struct LinkBudgetFixture {
  LinkBudgetFixture() {
    Budget_.setShare(Now_, 8.0, 10); // 100,000 bytes/s for this node
    Budget_.setRanks(251, 255);
    Now_ += 10s;
  }
  std::size_t drain(std::uint8_t Rank) {
    std::size_t Sent = 0;
    while (Budget_.trySend(Now_, Rank, 1'000))
      Sent += 1'000;
    return Sent;
  }
  TimePoint Now_{1s};
  LinkBudget Budget_;
};

} // namespace

// Guards against more traffic than the share of the node, with mixed kinds, sizes and ranks.
TEST_CASE_METHOD(LinkBudgetFixture, "link_budget_mixed_traffic_stays_within_share_and_bucket") {
  std::mt19937_64 Random(11);
  std::uint64_t Sent = 0;
  for (int Step = 0; Step < 60'000; ++Step) {
    Now_ += 1ms;
    const std::size_t Bytes = 1 + Random() % 2'000;
    if (Step % 50 == 0) {
      Budget_.send(Now_, LinkTraffic::Control, Bytes);
      Sent += Bytes;
    } else if (Budget_.trySend(Now_, static_cast<std::uint8_t>(251 + Random() % 5), Bytes)) {
      Sent += Bytes;
    }
  }
  CHECK(Sent <= 60 * 100'000 + 50'000 + 2'000);
  CHECK(Sent >= 60 * 100'000 * 0.95);
  CHECK(Budget_.counter(LinkTraffic::Call).Bytes_ + Budget_.counter(LinkTraffic::Control).Bytes_ ==
        Sent);
}

// Guards against lower classes that use up the bucket before a higher class needs it.
TEST_CASE_METHOD(LinkBudgetFixture, "link_budget_higher_rank_after_refused_lower_rank_is_sent") {
  CHECK(drain(251) == 25'000);
  CHECK(drain(253) == 12'000); // reserve of 12,500 bytes
  CHECK(drain(255) == 13'000);
  CHECK(Budget_.counter(LinkTraffic::Call).RefusedMessages_ == 3);
}

// Guards against control traffic that is refused or not deducted.
TEST_CASE_METHOD(LinkBudgetFixture, "link_budget_control_traffic_is_deducted_without_refusal") {
  Budget_.send(Now_, LinkTraffic::Control, 150'000);
  CHECK(Budget_.tokens() == Approx(-100'000));
  CHECK(drain(255) == 0);
  Now_ += 1'100ms;
  CHECK(drain(255) == 10'000);
}

// Guards against a large call that can never be sent, and a share that ignores the number of nodes.
TEST_CASE_METHOD(LinkBudgetFixture,
                 "link_budget_large_call_on_full_bucket_is_sent_and_leaves_debt") {
  CHECK(Budget_.trySend(Now_, 251, 1'000'000));
  CHECK(Budget_.tokens() < 0);
  Now_ += 60s;
  Budget_.setShare(Now_, 8.0, 100);
  CHECK(Budget_.bytesPerSecond() == Approx(10'000));
  CHECK(drain(255) == 5'000);
}

// Guards against restarts that add tokens.
TEST_CASE("link_budget_after_restart_is_empty") {
  LinkBudget Budget;
  CHECK_FALSE(Budget.trySend(TimePoint(1s), 255, 1));
  Budget.setShare(TimePoint(2s), 8.0, 1);
  CHECK_FALSE(Budget.trySend(TimePoint(2s), 255, 1));
}
