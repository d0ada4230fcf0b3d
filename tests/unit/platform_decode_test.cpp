#include "decode.h"

#include <cmath>
#include <random>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"

#include "bronzestand/key_table.h"

using namespace bronzestand;
using namespace bronzestand::platform;

namespace {

const std::string ConfigText = R"({"Version":7,
  "Routes":{"Columns":["Name","Host","Prefix","Kind","TimeoutMs","TargetLatencyMs","Priority",
                       "TrafficSplit","MaxAttempts","Public","Service"],
    "Rows":[["r-1","a.example","/x/","safe",1200,1500,2,
             [{"Service":"s1","Weight":90},{"Service":"s2","Weight":10}],2,false,null],
            ["r-2","b.example","/y/","unsafe",null,2000,0,null,3,true,"s3"]]},
  "Services":{"Columns":["Name","HealthPath","MaxConnections","Protocol","Tls"],
    "Rows":[["s1","/health",316,"h1",false]]},
  "Limits":{"MaxHeaderBytes":8192,"MaxBodyBytes":1000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
  "Tenants":{"Columns":["Name","ApiKeys","Priority","RatePerS","Burst"],
    "Rows":[["t1",["key-one","key-two"],1,40,50],["t2",["key-three"],null,null,null]]}})";

const std::string ServerText =
    R"({"Address":"10.0.0.9:8080","Info":{"Service":"s1","Version":"v1","Zone":"galle","Slots":36},)"
    R"("Status":{"State":"ready","Sequence":4,"ColdRemainingMs":250},"born":1700000000123})";

/// Time of the tests; the server of ServerText has been running for some minutes.
constexpr std::uint64_t WallMicroseconds = 1'700'000'900'000'000;

/// A configuration with allowed regions and cold starts.
const std::string PlacementText = R"({"Version":7,
 "Routes":{"Columns":["Name","Host","Prefix","Kind","Service","AllowedRegions"],
  "Rows":[["r-1","a.example","/x/","unsafe","s1",["western"],null],
          ["r-2","b.example","/y/","safe","s2",[]]]},
 "Services":{"Columns":["Name","HealthPath","MaxConnections","ColdStartS","ColdPerS"],
  "Rows":[["s1","/health",910,3.0,13.5],["s2","/health",520]]},
 "Tenants":{"Columns":["Name","ApiKeys","RatePerS","Burst","AllowedRegions"],
  "Rows":[["t1",["key-one"],40,50,["southern","western"]],["t2",["key-two"],40,50,[]]]}})";

std::string withReplacement(const std::string &Text, const std::string &Old,
                            const std::string &New) {
  std::string Result = Text;
  const std::size_t Position = Result.find(Old);
  REQUIRE(Position != std::string::npos);
  return Result.replace(Position, Old.size(), New);
}

/// Levels of the nested texts; a function that recurses once a level ends the process with the
/// usual stack size of 8 MiB.
constexpr std::size_t DeepLevels = 100'000;

/// Returns a value nested in lists or objects.
std::string nested(bool Lists, std::size_t Levels, bool Closed) {
  std::string Text;
  for (std::size_t Level = 0; Level < Levels; ++Level)
    Text += Lists ? "[" : R"({"a":)";
  if (!Closed)
    return Text;
  return Text + "0" + std::string(Levels, Lists ? ']' : '}');
}

/// Changes JSON documents at random: replaces, deletes or adds a value anywhere.
class Mutator {
public:
  explicit Mutator(unsigned Seed) : Random_(Seed) {}

  nlohmann::json changed(nlohmann::json Document) {
    for (std::size_t Count = 1 + pick(3); Count > 0; --Count)
      change(Document);
    return Document;
  }
  std::size_t pick(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random_);
  }

private:
  void change(nlohmann::json &Document) {
    nlohmann::json *Place = &Document;
    while (Place->is_structured() && !Place->empty()) {
      const auto Child =
          std::next(Place->begin(), static_cast<std::ptrdiff_t>(pick(Place->size())));
      const std::size_t Action = pick(8);
      if (Action == 0) {
        Place->erase(Child);
        return;
      }
      Place = &*Child;
      if (Action <= 2)
        break;
    }
    *Place = value();
  }

  nlohmann::json value() {
    using nlohmann::json;
    static const std::vector<json> Values{nullptr,
                                          true,
                                          false,
                                          0,
                                          1,
                                          -1,
                                          2.5,
                                          -0.0,
                                          1e18,
                                          1e300,
                                          -1e300,
                                          5e-324,
                                          std::numeric_limits<std::int64_t>::min(),
                                          std::numeric_limits<std::int64_t>::max(),
                                          std::numeric_limits<std::uint64_t>::max(),
                                          4'294'967'296,
                                          65'536,
                                          "",
                                          "text",
                                          "ready",
                                          "10.0.0.9:0",
                                          "10.0.0.9:65536",
                                          "10.0.0.9:99999999999",
                                          ":80",
                                          std::string(1, '\0'),
                                          std::string(100'000, 'x'),
                                          json::array(),
                                          json::object(),
                                          {1, "a", nullptr},
                                          {{"Key", 7}, {"a", json::array()}}};
    const std::size_t Number = pick(Values.size() + 1);
    return Number < Values.size() ? Values[Number]
                                  : json::parse(nested(pick(2) == 0, 1 + pick(50), true));
  }

  std::mt19937 Random_;
};

void checkSane(const BackendServer &Server) {
  CHECK(Server.Port_ != 0);
  CHECK_FALSE(Server.Host_.str().empty());
  CHECK(Server.Slots_ <= 1'000'000);
  CHECK(Server.ColdFor_ >= Duration::zero());
  CHECK(Server.ColdFor_ <= std::chrono::hours(1));
  CHECK(Server.StartedMs_ <= WallMicroseconds / 1'000 + 300'000);
}

void checkSane(const FleetConfig &Config) {
  constexpr Duration MaxTime = std::chrono::hours(24 * 366);
  for (const FleetRoute &Route : Config.Routes_) {
    CHECK_FALSE(Route.Parts_.empty());
    CHECK(Route.Timeout_ >= Duration::zero());
    CHECK(Route.Timeout_ <= MaxTime);
    CHECK(Route.Objective_ >= Duration::zero());
    CHECK(Route.Objective_ <= MaxTime);
    for (const TrafficPart &Part : Route.Parts_) {
      CHECK(std::isfinite(Part.Weight_));
      CHECK(Part.Weight_ >= 0.0);
    }
  }
  for (const FleetTeam &Team : Config.Teams_) {
    CHECK(std::isfinite(Team.Spec_.Rate_));
    CHECK(Team.Spec_.Rate_ >= 0.0);
    CHECK(std::isfinite(Team.Spec_.Burst_));
    CHECK(Team.Spec_.Burst_ >= 0.0);
  }
  CHECK(Config.Limits_.HeaderTimeout_.count() >= 0);
  CHECK(Config.Limits_.IdleTimeout_.count() >= 0);
}

} // namespace

// Guards against fields of the platform's configuration that are stored in the wrong member.
TEST_CASE("decode_config_valid_text_fills_all_fields") {
  const auto Config = decodeConfig(ConfigText);
  REQUIRE(Config.ok());
  CHECK(Config->Version_ == 7);
  REQUIRE(Config->Routes_.size() == 2);
  const FleetRoute &Split = Config->Routes_[0];
  CHECK(Split.HostName_ == "a.example");
  CHECK(Split.Prefix_ == "/x/");
  CHECK(Split.Idempotent_);
  CHECK(Split.Timeout_ == std::chrono::milliseconds(1200));
  CHECK(Split.Objective_ == std::chrono::milliseconds(1500));
  CHECK(Split.Rank_ == 2);
  CHECK(Split.MaxRuns_ == 2);
  REQUIRE(Split.Parts_.size() == 2);
  CHECK(Split.Parts_[1].Service_.str() == "s2");
  CHECK(Split.Parts_[1].Weight_ == 10.0);
  const FleetRoute &Plain = Config->Routes_[1];
  CHECK_FALSE(Plain.Idempotent_);
  CHECK(Plain.Open_);
  CHECK(Plain.Timeout_ == Duration::zero());
  REQUIRE(Plain.Parts_.size() == 1);
  CHECK(Plain.Parts_[0].Service_.str() == "s3");
  REQUIRE(Config->Teams_.size() == 2);
  CHECK(Config->Teams_[0].Spec_.Rate_ == 40.0);
  CHECK(Config->Teams_[0].Rank_ == 1U);
  CHECK_FALSE(Config->Teams_[1].Rank_.has_value());
  CHECK(Config->Teams_[1].Spec_.Rate_ == 0.0);
  CHECK(Config->Limits_.HeaderTimeout_ == std::chrono::milliseconds(3000));
  CHECK(Config->Services_.at(ServiceId("s1")).MaxConnections_ == 316);
}

// Guards against allowed regions and cold-start figures that are lost or stored in the wrong
// member.
TEST_CASE("decode_config_regions_and_cold_start_fill_all_fields") {
  const auto Config = decodeConfig(PlacementText);
  REQUIRE(Config.ok());
  CHECK(Config->Routes_.at(0).AllowedRegions_ == AllowedRegions({RegionId("western")}));
  CHECK_FALSE(Config->Routes_.at(1).AllowedRegions_);
  CHECK(Config->Teams_.at(0).AllowedRegions_ ==
        AllowedRegions({RegionId("southern"), RegionId("western")}));
  CHECK_FALSE(Config->Teams_.at(1).AllowedRegions_);
  const ServiceSettings &Cold = Config->Services_.at(ServiceId("s1"));
  CHECK(Cold.MaxConnections_ == 910);
  CHECK(Cold.HealthPath_ == "/health");
  CHECK(Cold.ColdStart_ == std::chrono::milliseconds(3000));
  CHECK(Cold.ColdRate_ == 13.5);
  CHECK(Config->Services_.at(ServiceId("s2")).ColdRate_ == 0.0);
}

// Guards against regions of another type that are taken for no restriction, and against cold-start
// figures that are negative, huge or incomplete.
TEST_CASE("decode_config_invalid_regions_or_cold_start_are_refused") {
  const std::vector<std::pair<std::string, std::vector<std::string>>> Replacements{
      {R"(["western"],)", {"\"western\",", "[7],", "{\"a\":1},", "[null],"}},
      {R"(["southern","western"])", {"\"southern\"", "7", "[[]]", "true"}},
      {"3.0,13.5",
       {"-1,13.5", "3.0,-1", "1e300,13.5", "3.0,1e300", "null,13.5", "3.0,null", "0,13.5", "3.0,0",
        "true,13.5", "3.0,\"13\"", "[],13.5"}}};
  for (const auto &[Old, Values] : Replacements)
    for (const std::string &New : Values) {
      INFO(Old << " -> " << New);
      CHECK_FALSE(decodeConfig(withReplacement(PlacementText, Old, New)).ok());
    }
}

// Guards against plaintext keys in the decoded configuration, and against hashes that do not match
// their keys.
TEST_CASE("decode_config_keys_are_hashed_and_authenticate") {
  const auto Config = decodeConfig(ConfigText);
  REQUIRE(Config.ok());
  KeyTable Keys;
  for (const FleetTeam &Team : Config->Teams_) {
    for (const KeySpec &Key : Team.Spec_.Keys_)
      CHECK(Key.Hash_.find("key-") == std::string::npos);
    Keys.setTeam(Team.Spec_);
  }
  CHECK(Keys.authenticate("key-two")->Team_.str() == "t1");
  CHECK(Keys.authenticate("key-three")->Team_.str() == "t2");
  CHECK_FALSE(Keys.authenticate("key-four"));
}

// Guards against a configuration that is applied in part, and against a crash on malformed input.
TEST_CASE("decode_config_malformed_text_is_refused_whole") {
  for (const std::string &Text :
       {std::string(), std::string("[]"), ConfigText.substr(0, ConfigText.size() / 2),
        withReplacement(ConfigText, "\"safe\"", "\"other\""),
        withReplacement(ConfigText, "\"s3\"", "null"), withReplacement(ConfigText, "1200", "\"x\""),
        withReplacement(ConfigText, "\"Version\":7", "\"V\":7"),
        withReplacement(ConfigText, "[\"key-three\"]", "3")}) {
    INFO(Text);
    CHECK_FALSE(decodeConfig(Text).ok());
  }
}

// Guards against a configuration with numbers that overflow or are narrowed to values that look
// valid, and against scalars that are read as lists.
TEST_CASE("decode_config_value_out_of_range_is_refused") {
  const std::vector<std::pair<std::string, std::vector<std::string>>> Replacements{
      {"1200", {"9223372036854775807", "18446744073709551615", "1e300", "-1", "true", "1e999"}},
      {"1500", {"9223372036854775807", "1e300", "-1", "true"}},
      {"1500,2,", {"1500,-1,", "1500,4294967296,", "1500,1e300,", "1500,1.5,", "1500,true,"}},
      {"90}", {"-1}", "1e300}", "true}", "null}", "\"90\"}"}},
      {"2,false", {"4294967298,false", "-1,false", "1e10,false", "true,false", "2,0"}},
      {"316", {"4294967297", "-1", "1e300", "true", "\"316\""}},
      {"40,50", {"-1,50", "1e300,50", "true,50", "40,-1", "40,1e300", "40,[]"}},
      {"1,40", {"-1,40", "4294967296,40", "true,40"}},
      {"8192", {"-1", "4294967297", "1e300", "true", "null"}},
      {":1000", {":-1", ":18446744073709551615", ":1e300", ":true"}},
      {":3000", {":-1", ":9223372036854775807", ":1e300", ":true"}},
      {":15000", {":-1", ":9223372036854775807", ":1e300", ":true"}},
      {"\"Version\":7", {"\"Version\":-1", "\"Version\":7.5", "\"Version\":1e300"}},
      {"[\"key-three\"]", {"\"key-three\"", "{\"a\":\"key-three\"}"}},
      {"null,3,true,\"s3\"", {"[],3,true,null", "{\"a\":1},3,true,\"s3\"", "7,3,true,\"s3\""}},
      {R"([["s1","/health",316,"h1",false]])", {"null", "{}", "7", "[7]", "[{}]", "\"s1\""}},
      {R"(["Name","HealthPath","MaxConnections","Protocol","Tls"])", {"null", "{}", "\"Name\""}}};
  for (const auto &[Old, Values] : Replacements)
    for (const std::string &New : Values) {
      INFO(Old << " -> " << New);
      CHECK_FALSE(decodeConfig(withReplacement(ConfigText, Old, New)).ok());
    }
}

// Guards against a valid configuration that is refused because of a check.
TEST_CASE("decode_config_value_at_bound_is_accepted") {
  const std::vector<std::pair<std::string, std::string>> Replacements{
      {"1200", "0"},         {"1200", "1200.5"},      {"1500,2,", "1500,4294967295,"},
      {"90}", "0}"},         {"90}", "0.25}"},        {"316", "null"},
      {"40,50", "0,0"},      {"40,50", "0.5,1e6"},    {":15000", ":86400000"},
      {":1000", ":1048576"}, {"1500,2,", "0,0,"},     {"null,3,true", "[],3,true"},
      {"8192", "1048576"},   {":3000", ":2147483647"}};
  for (const auto &[Old, New] : Replacements) {
    INFO(Old << " -> " << New);
    CHECK(decodeConfig(withReplacement(ConfigText, Old, New)).ok());
  }
}

TEST_CASE("decode_server_valid_entry_fills_all_fields") {
  const auto Server = decodeServer("i-1", ServerText, WallMicroseconds);
  REQUIRE(Server.ok());
  CHECK(Server->Id_ == "i-1");
  CHECK(Server->Host_.str() == "10.0.0.9");
  CHECK(Server->Port_ == 8080);
  CHECK(Server->Service_.str() == "s1");
  CHECK(Server->DataCentre_.str() == "galle");
  CHECK(Server->Slots_ == 36);
  CHECK(Server->ColdFor_ == std::chrono::milliseconds(250));
  CHECK(Server->StartedMs_ == 1'700'000'000'123U);
  CHECK_FALSE(Server->Leaving_);
  CHECK(decodeServer("i-1", withReplacement(ServerText, "ready", "draining"), WallMicroseconds)
            ->Leaving_);
}

// Guards against entries of other programs that are mistaken for backend servers.
TEST_CASE("decode_server_entry_of_other_program_is_refused") {
  for (const std::string &Text :
       {std::string("\xff\xfe"), std::string("{}"), std::string("null"), std::string("[1,2]"),
        withReplacement(ServerText, "\"ready\"", "\"warming\""),
        withReplacement(ServerText, "\"ready\"", "7"),
        withReplacement(ServerText, "\"Slots\":36", "\"Slots\":\"many\""),
        withReplacement(ServerText, "\"Slots\":36", "\"Slots\":-1"),
        withReplacement(ServerText, "10.0.0.9:8080", "10.0.0.9"),
        withReplacement(ServerText, "10.0.0.9:8080", "10.0.0.9:99999"),
        withReplacement(ServerText, "\"s1\"", "null"),
        withReplacement(ServerText, "\"born\":1", "\"born\":\"1"),
        withReplacement(ServerText, "\"Info\"", "\"Other\"")}) {
    INFO(Text);
    CHECK_FALSE(decodeServer("i-1", Text, WallMicroseconds).ok());
  }
}

// Guards against numbers that overflow or are narrowed to a value that looks valid.
TEST_CASE("decode_server_number_out_of_range_is_refused") {
  for (const char *Slots : {"4294967297", "1e300", "36.5", "18446744073709551615", "true"}) {
    INFO(Slots);
    const std::string Text =
        withReplacement(ServerText, "\"Slots\":36", std::string("\"Slots\":") + Slots);
    CHECK_FALSE(decodeServer("i-1", Text, WallMicroseconds).ok());
  }
  for (const char *Cold : {"9223372036854775807", "1e300", "-1e300", "18446744073709551615",
                           "-9223372036854775808", "-1", "1e999", "true", "null"}) {
    INFO(Cold);
    const std::string Text = withReplacement(ServerText, "\"ColdRemainingMs\":250",
                                             std::string("\"ColdRemainingMs\":") + Cold);
    CHECK_FALSE(decodeServer("i-1", Text, WallMicroseconds).ok());
  }
  const std::string Fraction = withReplacement(ServerText, ":250}", ":249.5}");
  REQUIRE(decodeServer("i-1", Fraction, WallMicroseconds).ok());
  CHECK(decodeServer("i-1", Fraction, WallMicroseconds)->ColdFor_ ==
        std::chrono::microseconds(249'500));
}

// Guards against an entry with a start in the future, which would hide all later runs of the server
// from the list of backends.
TEST_CASE("decode_server_start_not_in_the_past_is_refused") {
  for (const char *Born : {"1700001200001", "18446744073709551615", "-1", "1.7e12", "1e300",
                           "1700000000123.5", "true", "null"}) {
    INFO(Born);
    CHECK_FALSE(
        decodeServer("i-1", withReplacement(ServerText, "1700000000123", Born), WallMicroseconds)
            .ok());
  }
  for (const char *Born : {"0", "1700000900001", "1700001200000"}) {
    INFO(Born);
    CHECK(decodeServer("i-1", withReplacement(ServerText, "1700000000123", Born), WallMicroseconds)
              .ok());
  }
}

// Guards against a port that is narrowed or read in part.
TEST_CASE("decode_server_address_out_of_form_is_refused") {
  for (const char *Address :
       {"10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999999999", "10.0.0.9:-1", "10.0.0.9:+80",
        "10.0.0.9: 80", "10.0.0.9:80 ", "10.0.0.9:80x", "10.0.0.9:", ":80", "80", "", "10.0.0.9"}) {
    INFO(Address);
    CHECK_FALSE(
        decodeServer("i-1", withReplacement(ServerText, "10.0.0.9:8080", Address), WallMicroseconds)
            .ok());
  }
  CHECK(decodeServer("i-1", withReplacement(ServerText, "10.0.0.9:8080", "10.0.0.9:65535"),
                     WallMicroseconds)
            ->Port_ == 65535);
}

// Guards against one unreadable item that makes the whole page unusable.
TEST_CASE("decode_page_unreadable_item_is_skipped_and_reported") {
  const auto Page = decodePage(
      R"({"items":[{"Key":"servers/i-1","Value":"!","Rev":4},
                   {"Key":"servers/i-2","Value":"e30=","Rev":5},
                   {"Key":"servers/i-3","Rev":6,"Removed":true}],"MorePages":true,"CurrentRev":9})");
  REQUIRE(Page.ok());
  CHECK(Page->More_);
  CHECK(Page->Position_.Revision_ == 9);
  REQUIRE(Page->Items_.size() == 2);
  CHECK(Page->Items_[0].Value_ == "{}");
  CHECK(Page->Items_[1].Removed_);
  REQUIRE(Page->Unreadable_.size() == 1);
  CHECK(Page->Unreadable_[0] == "servers/i-1");
  CHECK_FALSE(decodePage("{\"items\":[]}").ok());
  CHECK_FALSE(decodePage("<html>").ok());
}

// Guards against an item with a field of another type that makes the whole page unusable, so that a
// node never gets past it.
TEST_CASE("decode_page_item_of_other_form_is_skipped_alone") {
  for (const char *Odd : {"null",
                          "7",
                          "1e300",
                          "\"text\"",
                          "[]",
                          "[[1]]",
                          "{}",
                          R"({"Key":7,"Value":"e30=","Rev":5})",
                          R"({"Key":null,"Value":"e30=","Rev":5})",
                          R"({"Key":{"a":[]},"Value":"e30=","Rev":5})",
                          R"({"Value":"e30=","Rev":5})",
                          R"({"Key":"servers/i-1","Value":"e30="})",
                          R"({"Key":"servers/i-1","Value":"e30=","Rev":"5"})",
                          R"({"Key":"servers/i-1","Value":"e30=","Rev":-1})",
                          R"({"Key":"servers/i-1","Value":"e30=","Rev":1e300})",
                          R"({"Key":"servers/i-1","Value":"e30=","Rev":true})",
                          R"({"Key":"servers/i-1","Value":"e30=","Rev":5,"Removed":"x"})",
                          R"({"Key":"servers/i-1","Value":"e30=","Rev":5,"Removed":null})",
                          R"({"Key":"servers/i-1","Value":7,"Rev":5})",
                          R"({"Key":"servers/i-1","Rev":5})",
                          R"({"Key":"servers/i-1","Value":"\ud83d\ude00","Rev":5})"}) {
    INFO(Odd);
    const auto Page = decodePage(R"({"items":[{"Key":"a","Value":"","Rev":3},)" + std::string(Odd) +
                                 R"(,{"Key":"z","Value":"e30=","Rev":6}],"CurrentRev":9})");
    REQUIRE(Page.ok());
    CHECK(Page->Unreadable_.size() == 1);
    REQUIRE(Page->Items_.size() == 2);
    CHECK(Page->Items_[0].Key_ == "a");
    CHECK(Page->Items_[1].Value_ == "{}");
  }
}

// Guards against a watch that continues after a revision that the store has not reached, because
// one item has a revision of another form.
TEST_CASE("decode_page_revision_beyond_page_is_limited_to_it") {
  const auto Page = decodePage(
      R"({"events":[{"Key":"a","Value":"","Rev":18446744073709551615}],"CurrentRev":9})");
  REQUIRE(Page.ok());
  REQUIRE(Page->Items_.size() == 1);
  CHECK(Page->Items_[0].Revision_ == 9);
  for (const char *Current : {"-1", "1e300", "\"9\"", "true", "null", "9.5"}) {
    INFO(Current);
    CHECK_FALSE(decodePage(R"({"items":[],"CurrentRev":)" + std::string(Current) + "}").ok());
  }
}

// Guards against a decoder that ends the process because it recurses into nested values.
TEST_CASE("decode_deeply_nested_text_is_refused") {
  for (const bool Lists : {true, false})
    for (const bool Closed : {true, false}) {
      const std::string Deep = nested(Lists, DeepLevels, Closed);
      INFO(Deep.substr(0, 5) << " closed: " << Closed);
      CHECK_FALSE(decodeServer("i-1", Deep, WallMicroseconds).ok());
      CHECK_FALSE(decodeConfig(Deep).ok());
      CHECK_FALSE(decodePage(Deep).ok());
      if (!Closed)
        continue;
      for (const char *Field :
           {"\"s1\"", "\"10.0.0.9:8080\"", "36", "\"ready\"", "250", "1700000000123",
            "{\"Service\":\"s1\",\"Version\":\"v1\",\"Zone\":\"galle\",\"Slots\":36}"}) {
        INFO(Field);
        CHECK_FALSE(
            decodeServer("i-1", withReplacement(ServerText, Field, Deep), WallMicroseconds).ok());
      }
      for (const char *Field :
           {"\"safe\"", "1200", "90", "316", "8192", "\"key-one\"", "40", "7"}) {
        INFO(Field);
        CHECK_FALSE(decodeConfig(withReplacement(ConfigText, Field, Deep)).ok());
      }
    }
  CHECK(decodeServer("i-1", withReplacement(ServerText, "\"v1\"", nested(true, DeepLevels, true)),
                     WallMicroseconds)
            .ok());
}

// Guards against a deeply nested item that ends the process or hides the others on its page.
TEST_CASE("decode_page_deeply_nested_item_is_skipped_alone") {
  for (const bool Lists : {true, false}) {
    const std::string Deep = nested(Lists, DeepLevels, true);
    for (const std::string &Odd : {Deep, R"({"Key":)" + Deep + R"(,"Value":"","Rev":5})",
                                   R"({"Key":"k","Value":)" + Deep + R"(,"Rev":5})",
                                   R"({"Key":"k","Value":"","Rev":)" + Deep + "}",
                                   R"({"Key":"k","Value":"","Rev":5,"Removed":)" + Deep + "}"}) {
      const auto Page = decodePage(R"({"items":[{"Key":"a","Value":"","Rev":3},)" + Odd +
                                   R"(,{"Key":"z","Value":"","Rev":6}],"CurrentRev":9})");
      REQUIRE(Page.ok());
      CHECK(Page->Items_.size() == 2);
      CHECK(Page->Unreadable_.size() == 1);
      CHECK(Page->LastKey_ == "z");
    }
  }
}

// Guards against entries, pages and configurations of any other form that end the process, hide
// valid items of the same page, or are accepted with values out of range.
TEST_CASE("decode_changed_documents_valid_parts_hold") {
  using nlohmann::json;
  constexpr unsigned Runs = 3'000;
  const json Server = json::parse(ServerText);
  const json Config = json::parse(ConfigText);
  const json Item{{"Key", "servers/i-2"}, {"Value", absl::Base64Escape(ServerText)}, {"Rev", 5}};
  std::size_t Refused = 0;
  for (unsigned Seed = 1; Seed <= Runs; ++Seed) {
    INFO("seed " << Seed);
    Mutator Change(Seed);
    const std::string Entry = Change.changed(Server).dump();
    const auto DecodedServer = decodeServer("i-2", Entry, WallMicroseconds);
    if (DecodedServer.ok())
      checkSane(*DecodedServer);
    else
      ++Refused;
    const auto DecodedConfig = decodeConfig(Change.changed(Config).dump());
    if (DecodedConfig.ok())
      checkSane(*DecodedConfig);

    json Odd = Change.changed(Item);
    if (Change.pick(2) == 0)
      Odd = {{"Key", "servers/i-2"}, {"Value", absl::Base64Escape(Entry)}, {"Rev", 5}};
    const json First{{"Key", "servers/i-1"}, {"Value", absl::Base64Escape(ServerText)}, {"Rev", 4}};
    const json Last{{"Key", "servers/i-3"}, {"Value", absl::Base64Escape(ServerText)}, {"Rev", 6}};
    const json Body{{"items", {First, std::move(Odd), Last}}, {"CurrentRev", 9}};
    const auto Page = decodePage(Body.dump());
    REQUIRE(Page.ok());
    CHECK(Page->Items_.size() + Page->Unreadable_.size() == 3);
    CHECK(Page->LastKey_ == "servers/i-3");
    for (const std::size_t Index : {std::size_t{0}, Page->Items_.size() - 1}) {
      const StoreItem &Neighbour = Page->Items_.at(Index);
      CHECK(Neighbour.Key_ == (Index == 0 ? "servers/i-1" : "servers/i-3"));
      CHECK(decodeServer("i-1", Neighbour.Value_, WallMicroseconds).ok());
    }
    const auto Other = decodePage(Change.changed(Body).dump()); // may be refused as a whole
    if (Other.ok())
      for (const StoreItem &Decoded : Other->Items_)
        CHECK(Decoded.Revision_ <= Other->Position_.Revision_);
  }
  CHECK(Refused > Runs / 4);
  CHECK(Refused < Runs);
}
