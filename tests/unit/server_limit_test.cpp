#include "bronzestand/server_limit.h"

#include <random>

#include <catch2/catch.hpp>

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};

/// Sends as often as a limit allows for a time and returns the number of requests.
int sendFor(ServerLimit &Limit, TimePoint &Now, Duration Time) {
  int Sent = 0;
  for (const TimePoint End = Now + Time; Now < End; Now += 1ms) {
    if (Limit.timeUntil(Now, 1) != Duration::zero())
      continue;
    Limit.sent(Now);
    ++Sent;
  }
  return Sent;
}

} // namespace

// Guards against a rate that is read from text that is not one.
TEST_CASE("parse_rate_accepts_finite_numbers_only") {
  CHECK(parseRate("18.2") == 18.2);
  CHECK(parseRate("0") == 0.0);
  CHECK(parseRate("3") == 3.0);
  for (const char *Text : {"", " 3", "3 ", "-1", "nan", "inf", "1e999", "3/s", "0x10"})
    CHECK(!parseRate(Text).has_value());
}

// Guards against more requests than the rate allows, and against a server that is left idle.
TEST_CASE("server_limit_named_rate_is_kept_and_used") {
  const double Rate = GENERATE(0.3, 1.0, 3.0, 18.2, 200.0);
  INFO(Rate);
  ServerLimit Limit;
  TimePoint Now = Start;
  CHECK(Limit.answered(Now, Rate, Now));
  const int Sent = sendFor(Limit, Now, 20s);
  CHECK(Sent <= 20.0 * Rate + std::max(1.0, Rate / 4));
  CHECK(Sent >= 0.95 * 20.0 * Rate);
}

// Guards against requests above the lowest of several rates in a row.
TEST_CASE("server_limit_rate_that_falls_is_kept_at_once") {
  ServerLimit Limit;
  TimePoint Now = Start;
  Limit.answered(Now, 100.0, Now);
  sendFor(Limit, Now, 1s);
  Limit.answered(Now, 3.0, Now);
  CHECK(sendFor(Limit, Now, 4s) <= 4 * 3 + 1);
}

// Guards against answers that each refill the bucket, because each names the rate again.
TEST_CASE("server_limit_named_again_adds_no_requests") {
  ServerLimit Limit;
  TimePoint Now = Start;
  int Sent = 0;
  for (int Step = 0; Step < 4000; ++Step, Now += 1ms) {
    Limit.answered(Now, 5.0, Now - 10ms);
    if (Limit.timeUntil(Now, 1) == Duration::zero()) {
      Limit.sent(Now);
      ++Sent;
    }
  }
  CHECK(Sent <= 4 * 5 + 2);
}

// Guards against a limit that is lifted by a late answer from before it, and against one that is
// never lifted.
TEST_CASE("server_limit_not_named_by_later_request_is_lifted") {
  ServerLimit Limit;
  Limit.answered(Start, 2.0, Start - 1s);
  CHECK(!Limit.answered(Start + 1s, std::nullopt, Start - 1ms));
  CHECK(Limit.rate() == 2.0);
  CHECK(Limit.answered(Start + 2s, std::nullopt, Start + 1ms));
  CHECK(!Limit.rate().has_value());
  CHECK(Limit.timeUntil(Start + 2s, 1000) == Duration::zero());
}

// Guards against what another node has heard replacing what the server has told this node.
TEST_CASE("server_limit_heard_by_others_is_adopted_before_the_first_answer_only") {
  ServerLimit Limit;
  Limit.adopt(Start, 4.0);
  CHECK(Limit.rate() == 4.0);
  Limit.answered(Start, std::nullopt, Start);
  Limit.adopt(Start, 4.0);
  CHECK(!Limit.rate().has_value());
  Limit.reset();
  Limit.adopt(Start, 4.0);
  CHECK(Limit.rate() == 4.0);
}

// Guards against a server with a limit of zero from which no answer can lift it.
TEST_CASE("server_limit_of_zero_still_sends_now_and_then") {
  ServerLimit Limit;
  TimePoint Now = Start;
  Limit.answered(Now, 0.0, Now);
  const int Sent = sendFor(Limit, Now, 30s);
  CHECK(Sent >= 2);
  CHECK(Sent <= 5);
}
