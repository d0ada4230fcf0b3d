#include "bronzestand/key_table.h"

#include <catch2/catch.hpp>

using namespace bronzestand;

namespace {

struct KeyTableFixture {
  void setTeam(const std::string &Name, bool Withdrawn) {
    TeamSpec Team;
    Team.Name_ = TeamId(Name);
    Team.Keys_ = {{"k1", hashKey("salt", "secret"), Withdrawn}};
    Documents_.put(Team);
    FleetSpec Fleet;
    Fleet.KeySalt_ = "salt";
    Documents_.put(Fleet);
    Keys_.rebuild(Documents_);
  }
  Catalogue Documents_;
  KeyTable Keys_;
};

} // namespace

// Guards against a key that is assigned to the wrong team or refused.
TEST_CASE_METHOD(KeyTableFixture, "key_valid_gives_its_team") {
  setTeam("wards", false);
  const auto Owner = Keys_.authenticate("secret");
  REQUIRE(Owner.has_value());
  CHECK(Owner->Team_ == TeamId("wards"));
  CHECK_FALSE(Keys_.authenticate("Secret").has_value());
}

// Guards against accepting a withdrawn key, both for new calls and for queued ones.
TEST_CASE_METHOD(KeyTableFixture, "key_withdrawn_is_rejected") {
  setTeam("wards", false);
  CHECK(Keys_.isValid(TeamId("wards"), "k1"));
  setTeam("wards", true);
  CHECK_FALSE(Keys_.authenticate("secret").has_value());
  CHECK_FALSE(Keys_.isValid(TeamId("wards"), "k1"));
}

// Guards against a key that is valid for a second team that lists its hash, and against a
// withdrawal in one team's document that another team's document undoes.
TEST_CASE_METHOD(KeyTableFixture, "key_of_two_teams_is_valid_for_neither") {
  setTeam("wards", false);
  setTeam("clinics", false);
  CHECK_FALSE(Keys_.authenticate("secret").has_value());
  CHECK_FALSE(Keys_.isValid(TeamId("wards"), "k1"));
  CHECK(Keys_.conflicts() == 1);
  Keys_.eraseTeam(TeamId("clinics"));
  CHECK(Keys_.authenticate("secret")->Team_ == TeamId("wards"));
  CHECK(Keys_.conflicts() == 0);
  setTeam("clinics", true);
  CHECK_FALSE(Keys_.authenticate("secret").has_value());
}
