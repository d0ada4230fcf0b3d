#include "node/codec_quarantine.h"

#include <catch2/catch.hpp>

using namespace bronzestand;
using nlohmann::json;

namespace {

QuarantineItem makeItem(std::size_t Crashes) {
  QuarantineItem Item{TeamId("hotels"), 77, {}, std::chrono::minutes(9)};
  for (std::size_t Number = 1; Number <= Crashes; ++Number)
    Item.Crashes_.push_back({HostId("cat-1"), Number, Number == 1});
  return Item;
}

} // namespace

// Guards against a field that is lost in encoding or decoding.
TEST_CASE("codec_quarantine_round_trip_keeps_all_fields") {
  const auto Cleared = std::get<SuspectMessage>(
      decodeQuarantine(encodeQuarantine(SuspectMessage{{makeItem(2)}, true})));
  CHECK(Cleared.Cleared_);
  REQUIRE(Cleared.Items_.size() == 1);
  const QuarantineItem &Item = Cleared.Items_.front();
  CHECK(Item.Team_.str() == "hotels");
  CHECK(Item.Fingerprint_ == 77);
  CHECK(Item.TimeLeft_ == std::chrono::minutes(9));
  REQUIRE(Item.Crashes_.size() == 2);
  CHECK(Item.Crashes_[0].OnlySuspect_);
  CHECK(Item.Crashes_[1].Number_ == 2);
  CHECK(!std::get<SuspectMessage>(decodeQuarantine(encodeQuarantine(SuspectMessage()))).Cleared_);
  const auto Body = decodeQuarantine(encodeQuarantine(QuarantineMessage{{makeItem(1)}}));
  CHECK(std::get<QuarantineMessage>(Body).Items_.size() == 1);
}

// Guards against a malformed message that fills the table or is decoded as another kind.
TEST_CASE("codec_quarantine_malformed_message_is_refused") {
  const auto TooMany = SuspectMessage{{makeItem(Quarantine::CrashLimit + 1)}, false};
  for (const json &Body :
       {json(), json::array({0}), json::array({4, json::array()}),
        json::array({0, json::array({json::array({1})})}),
        json::array({3, json::array({json::array({1})})}), encodeQuarantine(TooMany)})
    CHECK_THROWS_AS(decodeQuarantine(Body), json::exception);
}

// Guards against a query for the table that is decoded as an empty message.
TEST_CASE("codec_quarantine_query_remains_a_query") {
  CHECK(std::holds_alternative<QuarantineQuery>(
      decodeQuarantine(encodeQuarantine(QuarantineQuery()))));
}
