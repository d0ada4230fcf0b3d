// Messages between nodes for at-most-once execution: their encoding, and handovers in pieces.
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

// Guards against a field that is lost or swapped in encoding or decoding.
TEST_CASE("claims_codec_round_trip_keeps_handover_and_vote") {
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
  const auto DecodedVote = std::get<ClaimVote>(decodeClaim(encodeClaim(Vote)));
  CHECK(DecodedVote.Verdict_ == ClaimVerdict::Taken);
  CHECK(DecodedVote.Known_ == Vote.Known_);
  CHECK_THROWS_AS(decodeClaim(nlohmann::json::array({99, nlohmann::json::array()})),
                  nlohmann::json::exception);
}

// Guards against accepting a handover of which entries were lost.
TEST_CASE("claims_handover_in_pieces_is_accepted_only_when_complete") {
  const HostId From("w");
  const auto Pieces = splitHandover(makeReply(25), 1, 10);
  REQUIRE(Pieces.size() == 3);
  HandoverAssembler Assembler;
  CHECK_FALSE(Assembler.add(From, Pieces[0]));
  CHECK_FALSE(Assembler.add(From, Pieces[1]));
  const auto Complete = Assembler.add(From, Pieces[2]);
  REQUIRE(Complete);
  CHECK(Complete->Entries_.size() == 25);
  CHECK(Complete->Entries_[24].Key_.High_ == 24);
  // One piece is lost; then pieces of two replies are mixed.
  CHECK_FALSE(Assembler.add(From, Pieces[0]));
  CHECK_FALSE(Assembler.add(From, Pieces[2]));
  const auto Second = splitHandover(makeReply(25), 2, 10);
  CHECK_FALSE(Assembler.add(From, Pieces[0]));
  CHECK_FALSE(Assembler.add(From, Second[1]));
  CHECK_FALSE(Assembler.add(From, Second[2]));
  CHECK(Assembler.unfinished() == 0);
  CHECK(splitHandover(makeReply(0), 3, 10).size() == 1);
}

// Guards against refusing a child call under the time rule although its parent is accepted.
TEST_CASE("claims_key_derived_from_uuid_has_creation_time_of_uuid") {
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
