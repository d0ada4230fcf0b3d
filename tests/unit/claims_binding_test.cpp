// Messages of at-most-once execution between nodes: their form, and long handovers in pieces.
#include <catch2/catch.hpp>

#include "bronzestand/claims.h"
#include "node/codec_claims.h"
#include "node/handover_pieces.h"

using namespace bronzestand;
using namespace bronzestand::node;

namespace {

HandoverReply makeReply(std::size_t Entries) {
  HandoverReply Reply;
  Reply.Slot_ = 5;
  Reply.Revision_ = 7;
  Reply.Witness_ = 9;
  Reply.Fence_ = true;
  Reply.KnownFor_ = std::chrono::seconds(30);
  Reply.LaterSets_ = {{HostId("a"), HostId("b")}};
  for (std::size_t Index = 0; Index < Entries; ++Index)
    Reply.Entries_.push_back(
        {{Index, Index + 1, 3}, 4, {HostId("a"), 5, 6}, std::chrono::seconds(1), Index == 1});
  return Reply;
}

} // namespace

// Guards against a field that is lost or exchanged on the way.
TEST_CASE("claims_codec_handover_and_vote_survive_the_way") {
  const auto Reply = std::get<HandoverReply>(
      decodeClaim(nlohmann::json::from_cbor(nlohmann::json::to_cbor(encodeClaim(makeReply(2))))));
  CHECK(Reply.Slot_ == 5);
  CHECK(Reply.Revision_ == 7);
  CHECK(Reply.Witness_ == 9);
  CHECK(Reply.Fence_);
  CHECK(Reply.KnownFor_ == std::chrono::seconds(30));
  CHECK(Reply.LaterSets_ == makeReply(0).LaterSets_);
  REQUIRE(Reply.Entries_.size() == 2);
  CHECK(Reply.Entries_[1].Key_.Low_ == 2);
  CHECK(Reply.Entries_[1].Owner_.Attempt_ == 6);
  CHECK(Reply.Entries_[1].Contested_);
  ClaimVote Vote;
  Vote.Verdict_ = ClaimVerdict::Taken;
  Vote.Known_ = {1, 2};
  const auto Other = std::get<ClaimVote>(decodeClaim(encodeClaim(Vote)));
  CHECK(Other.Verdict_ == ClaimVerdict::Taken);
  CHECK(Other.Known_ == Vote.Known_);
  CHECK_THROWS_AS(decodeClaim(nlohmann::json::array({99, nlohmann::json::array()})),
                  nlohmann::json::exception);
}

// Guards against a handover that counts although entries of it were lost.
TEST_CASE("claims_handover_in_pieces_counts_only_when_whole") {
  const HostId From("w");
  const auto Pieces = splitHandover(makeReply(25), 1, 10);
  REQUIRE(Pieces.size() == 3);
  HandoverAssembler Assembler;
  CHECK_FALSE(Assembler.add(From, Pieces[0]));
  CHECK_FALSE(Assembler.add(From, Pieces[1]));
  const auto Whole = Assembler.add(From, Pieces[2]);
  REQUIRE(Whole);
  CHECK(Whole->Entries_.size() == 25);
  CHECK(Whole->Entries_[24].Key_.High_ == 24);
  // A lost piece, then pieces of two replies that are mixed.
  CHECK_FALSE(Assembler.add(From, Pieces[0]));
  CHECK_FALSE(Assembler.add(From, Pieces[2]));
  const auto Second = splitHandover(makeReply(25), 2, 10);
  CHECK_FALSE(Assembler.add(From, Pieces[0]));
  CHECK_FALSE(Assembler.add(From, Second[1]));
  CHECK_FALSE(Assembler.add(From, Second[2]));
  CHECK(Assembler.unfinished() == 0);
  CHECK(splitHandover(makeReply(0), 3, 10).size() == 1);
}

// Guards against child calls that the time rule refuses although it admits their parent.
TEST_CASE("claims_key_derived_from_a_uuid_has_its_time") {
  const std::string Parent = "018f3c1a-5b2c-7abc-8def-0123456789ab";
  const auto TimeOf = [](const std::string &Key) {
    return digestOf({TeamId("t"), "POST /deposits", Key}).KeyUnixMs_;
  };
  CHECK(TimeOf(Parent) == 0x018f3c1a5b2c);
  CHECK(TimeOf(Parent + "/1") == TimeOf(Parent));
  CHECK(TimeOf(Parent + "/1/12") == TimeOf(Parent));
  CHECK(TimeOf(Parent + "1") == 0);
  CHECK_FALSE(digestOf({TeamId("t"), "r", Parent}) == digestOf({TeamId("t"), "r", Parent + "/1"}));
}
