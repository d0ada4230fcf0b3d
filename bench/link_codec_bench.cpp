// Bytes, processor time and memory of short frames of calls and answers (docs/design/link-texts.md)
// against the earlier form in the same run. Bodies are empty.
#include <cstdlib>
#include <iostream>
#include <memory>
#include <new>

#include <fmt/format.h>
#include <malloc.h>

#include "node/clock.h"
#include "node/codec_call.h"
#include "node/link_codec.h"

using namespace bronzestand;
using namespace bronzestand::node;
using nlohmann::json;

namespace {

/// Bytes in use, with the header of each block. The statistics of the allocator also count blocks
/// that it keeps for the next allocation.
std::size_t InUse = 0;
constexpr std::size_t BlockHeader = 8;

std::size_t sizeOf(void *Block) { return ::malloc_usable_size(Block) + BlockHeader; }

} // namespace

// Not inlined, because GCC then takes the pair of operators for mismatched.
[[gnu::noinline]] void *operator new(std::size_t Size) {
  void *Block = std::malloc(Size);
  if (Block == nullptr)
    throw std::bad_alloc();
  InUse += sizeOf(Block);
  return Block;
}

[[gnu::noinline]] void operator delete(void *Block) noexcept {
  if (Block == nullptr)
    return;
  InUse -= sizeOf(Block);
  std::free(Block);
}

void operator delete(void *Block, std::size_t /*Size*/) noexcept { operator delete(Block); }

namespace {

constexpr unsigned Messages = 50'000;
/// A node has links to the nodes beside the servers that it calls and to those of its callers.
constexpr unsigned Links = 300;
/// Calls after which all texts of a usual call are in the table.
constexpr unsigned WarmCalls = 3;
/// Distinct texts that fill a table: entries of 48 bytes and texts of 16.
constexpr unsigned ManyTexts = 400;

Call makeCall(unsigned Number, const std::string &Class = "r-x8ewnp9") {
  Call Result;
  Result.Id_ = 1'790'405'166'000'000 + Number;
  Result.Request_ = RequestId(fmt::format("{:016x}", 0x9E3779B97F4A7C15U * (Number + 1)));
  Result.Team_ = TeamId("bony476");
  Result.Class_ = ClassId(Class);
  Result.Service_ = ServiceId("tije45c");
  Result.Method_ = "GET";
  Result.Target_ = fmt::format("/loxa971/9c7c38/{:04}", Number % 10'000); // 20 characters
  Result.Headers_ = {{"Host", "bony.example"},
                     {"Request-Id", Result.Request_.str()},
                     {"Deadline-Ms", std::to_string(1500 - Number % 7)},
                     {"Caller-Service", "bara60b"},
                     {"Tenant-Id", "bony476"},
                     {"User-Agent", "mesh-caller/2.1"},
                     {"Accept", "*/*"},
                     {"Target-Instance", "i-b6d591a02a"}};
  Result.TimeLeft_ = std::chrono::microseconds(1'499'000 + Number % 900);
  Result.Objective_ = Result.TimeLeft_;
  Result.Standing_ = {253, 255};
  Result.Fingerprint_ = 0xD1B54A32D192ED03U * (Number + 1);
  Result.Idempotent_ = true;
  Result.Known_ = {{1'790'405'100, 24}, 14};
  return Result;
}

Answer makeAnswer(unsigned Number) {
  Answer Result;
  Result.Id_ = 1'790'405'166'000'000 + Number;
  Result.Outcome_ = Outcome::Served;
  Result.HttpStatus_ = 200;
  Result.Headers_ = {
      {"Request-Id", fmt::format("{:016x}", 0x9E3779B97F4A7C15U * (Number + 1))},
      {"Server-Signature", "s1"},
      {"Instance-Load", fmt::format("{},{},32,{}", Number % 30, Number % 3, 100 + Number % 40)},
      {"Keep-Alive", "timeout=60"},
      {"Content-Type", "application/json"}};
  Result.Load_.Running_ = Number % 30;
  Result.Load_.Waiting_ = Number % 3;
  Result.Load_.Limit_ = 36;
  Result.Load_.ServiceTime_ = std::chrono::microseconds(20'000 + Number % 700);
  Result.Load_.Pace_ = 1.0 + Number % 40 / 100.0;
  Result.Known_ = {{1'790'405'100, 24}, 14};
  return Result;
}

/// Adds the names of the platform as a node does.
RepeatingHeaders makeRepeating() {
  RepeatingHeaders Result;
  for (const char *Name : {"Caller-Service", "Tenant-Id", "Target-Instance", "Server-Signature"})
    Result.add(Name);
  return Result;
}

struct Cost {
  double Bytes_ = 0;
  double EncodeUs_ = 0;
  double DecodeUs_ = 0;
};

/// Measures all messages of a kind.
/// \param Encode and Decode the form of the frames.
template <typename Message, typename Encoder, typename Decoder>
Cost measure(Message (*Make)(unsigned), const Encoder &Encode, const Decoder &Decode) {
  Cost Result;
  Duration EncodeTime{};
  Duration DecodeTime{};
  for (unsigned Number = 0; Number < Messages; ++Number) {
    const Message Item = Make(Number);
    const TimePoint Begin = now();
    const std::string Frame = Encode(json(Item));
    const TimePoint Middle = now();
    const auto Received = Decode(Frame).template get<Message>();
    DecodeTime += now() - Middle;
    EncodeTime += Middle - Begin;
    if (Received.Id_ != Item.Id_)
      std::cout << "a message arrived changed\n";
    Result.Bytes_ += static_cast<double>(Frame.size());
  }
  Result.Bytes_ /= Messages;
  Result.EncodeUs_ = static_cast<double>(EncodeTime.count()) / Messages;
  Result.DecodeUs_ = static_cast<double>(DecodeTime.count()) / Messages;
  return Result;
}

template <typename Message>
void compare(const char *Name, MessageKind Kind, Message (*Make)(unsigned)) {
  const Cost Earlier = measure(
      Make,
      [&](const json &Body) {
        return encode({Kind, 0, Body, HostId(), 0});
      },
      [](const std::string &Frame) { return decode(Frame)->Body_; });
  const RepeatingHeaders Repeating = makeRepeating();
  FrameEncoder Encoder(Repeating);
  FrameDecoder Decoder;
  const Cost Short = measure(
      Make,
      [&](const json &Body) {
        std::string Frame;
        Encoder.encode(Kind, false, 0, Body, Frame);
        Encoder.commit();
        return Frame;
      },
      [&](const std::string &Frame) {
        return std::get<DecodedFrame>(Decoder.decode(Frame)).Message_.Body_;
      });
  for (const auto &[Form, Item] : {std::pair("earlier", Earlier), std::pair("short", Short)})
    std::cout << fmt::format("{:<8}{:<9}{:>8.1f}{:>12.2f}{:>12.2f}\n", Name, Form, Item.Bytes_,
                             Item.EncodeUs_, Item.DecodeUs_);
}

/// Both ends of a link that one node holds: it sends calls and receives answers.
struct LinkEnd {
  explicit LinkEnd(const RepeatingHeaders &Repeating) : Encoder_(Repeating) {}

  FrameEncoder Encoder_;
  FrameDecoder Decoder_;
};

/// Sends a call and receives its answer.
/// \return by how much the memory of the link has grown.
std::size_t passBoth(LinkEnd &End, FrameEncoder &Other, unsigned Number, bool ManyClasses) {
  const std::string Class =
      ManyClasses ? fmt::format("class-{:010}", Number / 2) : std::string("r-x8ewnp9");
  const json Request = makeCall(Number, Class);
  json Result = makeAnswer(Number);
  if (ManyClasses)
    Result[4].push_back({Class, "1"});
  std::string Sent;
  std::string Answered;
  Other.encode(MessageKind::Answer, false, 0, Result, Answered);
  Other.commit();
  const std::size_t Before = InUse;
  End.Encoder_.encode(MessageKind::Call, false, 0, Request, Sent);
  End.Encoder_.commit();
  Sent.clear();
  Sent.shrink_to_fit();
  End.Decoder_.decode(Answered);
  return InUse - Before;
}

/// Prints the memory of the links of a node after their calls and answers.
void measureMemory(const char *Name, unsigned Calls, bool ManyClasses) {
  const RepeatingHeaders Repeating = makeRepeating();
  std::vector<std::unique_ptr<LinkEnd>> Ends;
  std::vector<std::unique_ptr<FrameEncoder>> Others; // of the nodes at the other ends
  Ends.reserve(Links);
  Others.reserve(Links);
  std::size_t Bytes = 0;
  for (unsigned Index = 0; Index < Links; ++Index) {
    Others.push_back(std::make_unique<FrameEncoder>(Repeating));
    const std::size_t Before = InUse;
    Ends.push_back(std::make_unique<LinkEnd>(Repeating));
    Bytes += InUse - Before;
    for (unsigned Number = 0; Number < Calls; ++Number)
      Bytes += passBoth(*Ends.back(), *Others.back(), Number, ManyClasses);
  }
  std::cout << fmt::format("{:<24}{:>8} bytes a link, {:.2f} MB for {} links; texts {} and {}\n",
                           Name, Bytes / Links, static_cast<double>(Bytes) / 1e6, Links,
                           Ends.back()->Encoder_.table().size(),
                           Ends.back()->Decoder_.table().size());
}

} // namespace

int main() {
  std::cout << fmt::format("{:<17}{:>8}{:>12}{:>12}\n", "frames", "bytes", "encode us",
                           "decode us");
  compare<Call>("call", MessageKind::Call, [](unsigned Number) { return makeCall(Number); });
  compare<Answer>("answer", MessageKind::Answer, makeAnswer);
  measureMemory("before the first call", 0, false);
  measureMemory("usual", 100 * WarmCalls, false);
  measureMemory("full tables", 2 * ManyTexts, true);
}
