#include "bronzestand/attempts.h"

#include <random>

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace bronzestand;

namespace {

struct AttemptsFixture {
  /// Runs a call and all calls below it, and returns its unused attempts.
  /// \param Depth hops from the entry node.
  std::uint32_t run(unsigned Depth, std::uint32_t Allowance) {
    ++Attempts_;
    Deepest_ = std::max(Deepest_, Depth);
    const std::string Parent = fmt::format("hop{}", Depth);
    AttemptAccount Account(Needs_, Parent, Allowance - 1);
    const unsigned Children = Depth >= MaxDepth_ ? 0 : 1 + (VaryFanOut_ ? Random_() % 3 : 0);
    CallId Id = 0;
    for (unsigned Child = 0; Child < Children; ++Child)
      for (unsigned Try = 0; Try < Tries_; ++Try)
        callChild(Account, ++Id, Depth + 1);
    return Account.settle();
  }

  void callChild(AttemptAccount &Account, CallId Id, unsigned Depth) {
    const auto Share = Account.open(Id, fmt::format("hop{}", Depth));
    if (!Share)
      return;
    const std::uint32_t Unused = run(Depth, *Share);
    if (Faults_ && Random_() % 4 == 0)
      return; // the answer is lost
    Account.close(Id, Unused);
    if (Faults_)
      Account.close(Id, 1000); // a duplicate answer with a wrong count
  }

  std::mt19937 Random_{Catch::rngSeed()};
  SubtreeNeeds Needs_;
  unsigned Attempts_ = 0, Deepest_ = 0, MaxDepth_ = 18, Tries_ = 1;
  bool VaryFanOut_ = false, Faults_ = false;
};

} // namespace

// Guards against an allowance that is copied at a hop, which makes retries multiply along a chain.
TEST_CASE_METHOD(AttemptsFixture, "attempts_random_trees_stay_within_limit") {
  INFO("seed " << Catch::rngSeed());
  VaryFanOut_ = Faults_ = true;
  for (int Round = 0; Round < 3000; ++Round) {
    MaxDepth_ = 1 + Random_() % 18;
    Tries_ = 1 + Random_() % 4;
    Attempts_ = 0;
    run(1, 64);
    REQUIRE(Attempts_ <= 64);
  }
}

// Guards against an allowance that halves at each hop, which ends a chain after six hops.
TEST_CASE_METHOD(AttemptsFixture, "attempts_chain_of_18_hops_always_reaches_the_end") {
  for (int Round = 0; Round < 50; ++Round) {
    Deepest_ = 0;
    run(1, 64);
    CHECK(Deepest_ == 18);
  }
}

// Guards against a call that uses up the allowance of the siblings after it.
TEST_CASE_METHOD(AttemptsFixture, "attempts_siblings_with_learned_estimates_all_get_their_need") {
  for (int Round = 0; Round < 8; ++Round) {
    AttemptAccount Account(Needs_, "parent", 63);
    std::vector<std::uint32_t> Shares;
    for (CallId Id = 0; Id < 10; ++Id)
      Shares.push_back(Account.open(Id, Id < 5 ? "deep" : "flat").value_or(0));
    for (CallId Id = 0; Id < 10; ++Id)
      if (const std::uint32_t Need = Id < 5 ? 6 : 2; Shares[Id] > 0)
        Account.close(Id, Shares[Id] > Need ? Shares[Id] - Need : 0);
    Account.settle();
    if (Round < 7)
      continue;
    for (CallId Id = 0; Id < 10; ++Id)
      CHECK(Shares[Id] >= (Id < 5 ? 6 : 2));
  }
}

// Guards against a late answer or call that makes attempts of a settled account available again.
TEST_CASE_METHOD(AttemptsFixture, "attempts_settled_account_grants_no_attempts") {
  AttemptAccount Account(Needs_, "parent", 10);
  const auto Share = Account.open(1, "child");
  REQUIRE(Share.has_value());
  CHECK(Account.settle() == 10 - *Share);
  Account.close(1, *Share);
  CHECK_FALSE(Account.open(2, "child").has_value());
  CHECK(Account.settle() == 0);
}

// Guards against retries of calls that may have run, after the deadline, or beyond the budget.
TEST_CASE("retry_decision_follows_outcome_deadline_and_budget") {
  RetryPolicy Policy;
  TimePoint Now{std::chrono::seconds(100)};
  const ServiceId Service("payments");
  for (int Count = 0; Count < 1000; ++Count)
    Policy.noteCall(Now, Service);
  FailedCall Failed{Service,
                    Outcome::Unknown,
                    Refusal::ConnectionLost,
                    false,
                    std::chrono::milliseconds(50),
                    std::chrono::milliseconds(10)};
  CHECK_FALSE(Policy.mayRetry(Now, Failed));
  Failed.Outcome_ = Outcome::NotRun;
  Failed.Refusal_ = Refusal::AttemptsExhausted;
  CHECK_FALSE(Policy.mayRetry(Now, Failed));
  Failed.Refusal_ = Refusal::Overloaded;
  Failed.TimeLeft_ = std::chrono::milliseconds(5);
  CHECK_FALSE(Policy.mayRetry(Now, Failed));
  Failed.TimeLeft_ = std::chrono::milliseconds(50);
  int Retries = 0;
  for (int Count = 0; Count < 1000; ++Count)
    Retries += Policy.mayRetry(Now, Failed) ? 1 : 0;
  CHECK(Retries == 100);
}

// Guards against retries that count as expected calls: a chain that had failed would then reserve
// attempts for them at each hop, and its lower hops would run out of attempts permanently.
TEST_CASE("attempts_share_after_failed_retries_is_not_reduced") {
  SubtreeNeeds Needs;
  AttemptAccount Failing(Needs, "parent", 30);
  for (CallId Id = 1; Id <= 3; ++Id) {
    const auto Share = Failing.open(Id, "child");
    REQUIRE(Share);
    Failing.close(Id, *Share / 2, CallEnd::Failed);
  }
  Failing.settle();
  AttemptAccount Healthy(Needs, "parent", 30);
  CHECK(Healthy.open(1, "child").value_or(0) > 20);
}
