#include "node/link_codec.h"

#include <random>

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "node/codec_call.h"

using namespace bronzestand;
using namespace bronzestand::node;
using nlohmann::json;

namespace {

/// One direction of a link.
struct LinkCodecFixture {
  RepeatingHeaders Repeating_;
  FrameEncoder Encoder_{Repeating_};
  FrameDecoder Decoder_;
  std::uint64_t Epoch_ = 0;
  unsigned LastCall_ = 0;

  LinkCodecFixture() {
    for (const char *Name : {"Caller-Service", "Target-Instance", "Tenant-Id", "Server-Signature"})
      Repeating_.add(Name);
  }

  static Call makeCall(unsigned Number) {
    Call Result;
    Result.Id_ = 1'790'405'166'000'000 + Number;
    Result.Request_ = RequestId("7cb1b042f3f8" + std::to_string(1000 + Number));
    Result.Team_ = TeamId("bony476");
    Result.Class_ = ClassId("r-x8ewnp9");
    Result.Service_ = ServiceId("tije45c");
    Result.Method_ = "GET";
    Result.Target_ = "/loxa971/9c7c38/" + std::to_string(1000 + Number);
    Result.Headers_ = {{"Host", "bony.example"},
                       {"Request-Id", Result.Request_.str()},
                       {"Deadline-Ms", std::to_string(1500 - Number % 7)},
                       {"Caller-Service", "tije45c"},
                       {"Tenant-Id", "bony476"},
                       {"User-Agent", "mesh-caller/2.1"},
                       {"Accept", "*/*"},
                       {"Target-Instance", "i-b6d591a02a"}};
    Result.TimeLeft_ = std::chrono::microseconds(1'499'000 + Number);
    Result.Objective_ = std::chrono::microseconds(1'499'000 + Number);
    Result.Attempts_ = 1;
    Result.Standing_ = {253, 255};
    Result.Fingerprint_ = 0x9E3779B97F4A7C15U * (Number + 1);
    Result.Idempotent_ = true;
    Result.Known_ = {{1'790'405'100, 24}, 14};
    return Result;
  }
  static Answer makeAnswer(unsigned Number) {
    Answer Result;
    Result.Id_ = 1'790'405'166'000'000 + Number;
    Result.Outcome_ = Outcome::Served;
    Result.HttpStatus_ = 200;
    Result.Headers_ = {{"Request-Id", "7cb1b042f3f8" + std::to_string(1000 + Number)},
                       {"Server-Signature", "s1"},
                       {"Instance-Load", std::to_string(Number % 30) + ",0,32,100"},
                       {"Keep-Alive", "timeout=60"},
                       {"Content-Type", "application/json"}};
    Result.Load_.Running_ = Number % 30;
    Result.Load_.Limit_ = 36;
    Result.Load_.ServiceTime_ = std::chrono::microseconds(20'000 + Number);
    Result.Known_ = {{1'790'405'100, 24}, 14};
    return Result;
  }
  /// Sends a message; returns the size of its frame.
  std::size_t pass(MessageKind Kind, const json &Body, bool Repeated = false) {
    std::string Frame;
    REQUIRE(Encoder_.encode(Kind, Repeated, Epoch_, Body, Frame));
    Encoder_.commit();
    auto Result = Decoder_.decode(Frame);
    REQUIRE(std::holds_alternative<DecodedFrame>(Result));
    const auto &Decoded = std::get<DecodedFrame>(Result);
    CHECK(Decoded.Message_.Kind_ == Kind);
    CHECK(Decoded.Message_.Epoch_ == Epoch_);
    CHECK(Decoded.Repeated_ == Repeated);
    CHECK(Decoded.Message_.Body_ == Body);
    return Frame.size();
  }
  /// Returns the size of the earlier form of a frame.
  static std::size_t earlierSize(MessageKind Kind, const json &Body) {
    return encode({Kind, 0, Body, HostId(), 0}).size();
  }
  FrameError errorOf(const std::string &Frame) {
    const auto Result = Decoder_.decode(Frame);
    REQUIRE(std::holds_alternative<FrameError>(Result));
    return std::get<FrameError>(Result);
  }
};

/// Texts of a few that repeat, and of many that do not.
std::string makeText() {
  const auto Common = *rc::gen::element<std::string>("", "a", "GET", "Host", "host", "X-Trace",
                                                     "0123456789abcdef", std::string(300, 'x'));
  return *rc::gen::element(0, 1) == 0 ? Common : *rc::gen::arbitrary<std::string>();
}

std::vector<Header> makeHeaders() {
  std::vector<Header> Result(*rc::gen::inRange<std::size_t>(0, 12));
  for (Header &Item : Result)
    Item = {makeText(), makeText()};
  return Result;
}

Call makeRandomCall() {
  Call Result;
  Result.Id_ = *rc::gen::arbitrary<std::uint64_t>();
  Result.Request_ = RequestId(makeText());
  Result.Team_ = TeamId(makeText());
  Result.Class_ = ClassId(makeText());
  Result.Method_ = makeText();
  Result.Target_ = makeText();
  Result.Headers_ = makeHeaders();
  Result.Body_ = makeText();
  Result.TimeLeft_ = std::chrono::microseconds(*rc::gen::arbitrary<std::int64_t>());
  Result.Fingerprint_ = *rc::gen::arbitrary<std::uint64_t>();
  Result.Idempotent_ = *rc::gen::arbitrary<bool>();
  Result.Known_.Version_ = *rc::gen::inRange<std::uint64_t>(0, 3);
  Result.ServerRate_ = *rc::gen::element(0.0, 18.2);
  if (*rc::gen::arbitrary<bool>())
    Result.Crashes_ = {{HostId(makeText()), 1, true}};
  if (*rc::gen::arbitrary<bool>())
    Result.Failing_ = {{makeText(), 0.5, std::chrono::milliseconds(40)}};
  if (*rc::gen::arbitrary<bool>())
    Result.Root_ = RootStanding{1, 2, TeamId(makeText()), true};
  return Result;
}

Answer makeRandomAnswer() {
  Answer Result;
  Result.Id_ = *rc::gen::arbitrary<std::uint64_t>();
  Result.HttpStatus_ = *rc::gen::element(200U, 404U, 0U);
  Result.Headers_ = makeHeaders();
  Result.Body_ = makeText();
  Result.Load_.Running_ = *rc::gen::arbitrary<std::uint32_t>();
  Result.Load_.Rate_ = *rc::gen::element(0.0, 18.2);
  Result.Leaving_ = *rc::gen::arbitrary<bool>();
  if (*rc::gen::arbitrary<bool>())
    Result.Levels_ = {{ServiceId(makeText()), 7}};
  if (*rc::gen::arbitrary<bool>()) {
    RouteState State;
    State.Class_ = ClassId(makeText());
    State.Success_ = 0.5;
    State.Room_ = 0.25;
    State.Limit_ = ClassId(makeText());
    Result.Routes_ = {State};
  }
  return Result;
}

} // namespace

// Guards against a request or an answer that arrives changed, also after frames that were not sent.
TEST_CASE("link_codec_random_messages_arrive_unchanged") {
  rc::prop("messages arrive as they were sent", [] {
    LinkCodecFixture Link;
    const auto Count = *rc::gen::inRange(1, 30);
    for (int Number = 0; Number < Count; ++Number) {
      const bool IsCall = *rc::gen::arbitrary<bool>();
      const json Body = IsCall ? json(makeRandomCall()) : json(makeRandomAnswer());
      const auto Kind = IsCall ? MessageKind::Call : MessageKind::Answer;
      if (*rc::gen::inRange(0, 4) == 0) {
        std::string Frame;
        Link.Encoder_.encode(Kind, false, Link.Epoch_ + 1, Body, Frame);
        Link.Encoder_.rollback();
      }
      Link.Epoch_ += *rc::gen::inRange(0, 2);
      Link.pass(Kind, Body, IsCall && Number % 2 == 0);
      RC_ASSERT(Link.Encoder_.table().size() == Link.Decoder_.table().size());
      RC_ASSERT(Link.Encoder_.table().bytes() == Link.Decoder_.table().bytes());
    }
  });
}

// Guards against frames that grow beyond half of the earlier form, the target of
// docs/design/hard-load-terms.md, part D.
TEST_CASE_METHOD(LinkCodecFixture, "link_codec_repeated_texts_take_half_of_the_bytes") {
  for (unsigned Number = 0; Number < 100; ++Number) {
    const json Request = makeCall(Number);
    const json Result = makeAnswer(Number);
    const std::size_t CallBytes = pass(MessageKind::Call, Request);
    const std::size_t AnswerBytes = pass(MessageKind::Answer, Result);
    if (Number < 2)
      continue;
    CHECK(CallBytes * 2 <= earlierSize(MessageKind::Call, Request));
    CHECK(AnswerBytes * 2 <= earlierSize(MessageKind::Answer, Result));
  }
}

// Guards against secrets and texts of one request that stay in the memory of the link, and against
// texts that occurred once.
TEST_CASE_METHOD(LinkCodecFixture, "link_codec_own_texts_are_not_kept") {
  Call Request = makeCall(1);
  Request.Team_ = {};    // also in the header Tenant-Id
  Request.Service_ = {}; // also in the header Caller-Service
  Request.Headers_.push_back({"Authorization", "Bearer secret"});
  pass(MessageKind::Call, Request);
  CHECK(Decoder_.table().size() == 0);
  for (int Number = 0; Number < 3; ++Number)
    pass(MessageKind::Call, Request);
  CHECK(Decoder_.table().size() > 0);
  for (std::size_t Number = 0; Number < TextTable::MaxEntries; ++Number) {
    const std::string *Text = Decoder_.table().find(Number);
    if (Text == nullptr)
      continue;
    CHECK(*Text != "Bearer secret");
    CHECK(*Text != Request.Target_);
    CHECK(*Text != Request.Request_.str());
  }
}

// Guards against a table that grows without bound, and against one that keeps texts which are no
// longer in use instead of new ones.
TEST_CASE_METHOD(LinkCodecFixture, "link_codec_many_texts_stay_within_bounds") {
  for (unsigned Number = 0; Number < 2000; ++Number) {
    Call Request = makeCall(Number);
    Request.Headers_.push_back({"X-" + std::string(Number / 2 % 250, 'x'), "1"});
    Request.Class_ = ClassId("class-" + std::to_string(Number / 2));
    pass(MessageKind::Call, Request);
    REQUIRE(Encoder_.table().bytes() <= TextTable::MaxBytes);
    REQUIRE(Encoder_.table().size() <= TextTable::MaxEntries);
  }
  const json Request = makeCall(2000);
  pass(MessageKind::Call, Request);
  CHECK(pass(MessageKind::Call, makeCall(2001)) * 2 <= earlierSize(MessageKind::Call, Request));
}

// Guards against a frame of which a decoded form would take far more memory than the frame.
TEST_CASE_METHOD(LinkCodecFixture, "link_codec_messages_beyond_bounds_have_no_short_form") {
  Call Request = makeCall(1);
  std::string Frame;
  Request.Headers_.resize(2000);
  CHECK_FALSE(Encoder_.encode(MessageKind::Call, false, 0, Request, Frame));
  Encoder_.rollback();
  CHECK_FALSE(Encoder_.encode(MessageKind::Heartbeat, false, 0, json(1), Frame));
  CHECK_FALSE(Encoder_.encode(MessageKind::Call, false, 0, json::object(), Frame));
  // Headers that repeat a long text are sent whole beyond the bound of referred texts.
  Request.Headers_.assign(1000, {"Accept", std::string(250, 'a')});
  for (int Number = 0; Number < 3; ++Number)
    pass(MessageKind::Call, Request);
}

// Guards against frames of a faulty peer that are taken, or that use memory beyond the bounds.
TEST_CASE_METHOD(LinkCodecFixture, "link_codec_violations_have_typed_errors") {
  const std::string Body = "\x01\x01"; // one field, which is present
  const auto Define = [](unsigned Number, std::size_t Size) {
    std::string Result{'\x61', static_cast<char>(Number)};
    for (; Size >= 0x80; Size >>= 7U)
      Result.push_back(static_cast<char>((Size & 0x7FU) | 0x80U));
    Result.push_back(static_cast<char>(Size));
    return Result;
  };
  CHECK(errorOf("\x03") == FrameError::UnknownKind);
  CHECK(errorOf("\x04" + Body + "\x85") == FrameError::UnknownNumber);
  CHECK(errorOf("\x04" + Body + Define(200, 1) + "a") == FrameError::UnknownNumber);
  CHECK(errorOf("\x04" + Body + Define(0, 257) + std::string(257, 'a')) == FrameError::TextTooLong);
  CHECK(errorOf("\x04" + Body + Define(0, 0)) == FrameError::TextTooLong);
  CHECK(errorOf("\x04" + Body + "\x6C\x01") == FrameError::WrongBase);
  CHECK(errorOf("\x04" + Body + "\x6F") == FrameError::Truncated);
  CHECK(errorOf("\x04" + Body + "\x01\x01") == FrameError::Surplus);
  CHECK(errorOf("\x04\x7F") == FrameError::TooManyItems);
  std::optional<FrameError> Last;
  for (unsigned Number = 0; Number < TextTable::MaxEntries && !Last; ++Number) {
    const auto Result =
        Decoder_.decode("\x04" + Body + Define(Number, 200) + std::string(200, 'a'));
    if (std::holds_alternative<FrameError>(Result))
      Last = std::get<FrameError>(Result);
  }
  CHECK(Last == FrameError::TableFull);
  CHECK(Decoder_.table().bytes() <= TextTable::MaxBytes);
}

// Guards against a crash or unbounded memory through damaged frames; the seed makes a failure
// repeatable.
TEST_CASE_METHOD(LinkCodecFixture, "link_codec_damaged_frames_are_bounded") {
  constexpr unsigned Seed = 20'261;
  std::mt19937 Random(Seed);
  for (unsigned Round = 0; Round < 3000; ++Round) {
    LinkCodecFixture Link;
    for (unsigned Number = 0; Number < 4; ++Number) {
      std::string Frame;
      const json Body = Number % 2 == 0 ? json(makeCall(Number / 2)) : json(makeAnswer(Number / 2));
      const auto Kind = Number % 2 == 0 ? MessageKind::Call : MessageKind::Answer;
      REQUIRE(Link.Encoder_.encode(Kind, false, 0, Body, Frame));
      Link.Encoder_.commit();
      for (unsigned Change = Random() % 4; Change > 0; --Change)
        Frame[Random() % Frame.size()] = static_cast<char>(Random());
      if (Random() % 4 == 0)
        Frame.resize(Random() % (Frame.size() + 1));
      const auto Result = Link.Decoder_.decode(Frame);
      if (!std::holds_alternative<DecodedFrame>(Result))
        break;
      CHECK(encode(std::get<DecodedFrame>(Result).Message_).size() <= 128UL * 1024);
      CHECK(Link.Decoder_.table().bytes() <= TextTable::MaxBytes);
    }
  }
}
