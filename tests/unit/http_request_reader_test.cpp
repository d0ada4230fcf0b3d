#include <random>

#include <catch2/catch.hpp>

#include "node/http_request_reader.h"

using namespace bronzestand::node;
using namespace bronzestand::node::detail;

namespace {

constexpr std::uint32_t HeaderBytes = 2048;
constexpr std::uint64_t BodyBytes = 100'000;

struct Result {
  std::vector<HttpRequest> Requests_;
  bool Failed_ = false;
  std::size_t MostBytes_ = 0;
};

/// Feeds a text in pieces of up to a size, and returns the requests that it contains.
Result feed(const std::string &Text, std::mt19937 &Random, std::size_t MaxPiece,
            bool Drop = false) {
  Result Out;
  RequestReader Reader;
  Reader.begin(HeaderBytes, BodyBytes);
  HttpRequest Head;
  std::size_t Offset = 0;
  while (!Out.Failed_) {
    if (Reader.nextGrowth() != 0)
      Reader.grow();
    boost::system::error_code Failure;
    const RequestReader::Step Next = Reader.parse(Failure);
    Out.MostBytes_ = std::max(Out.MostBytes_, Reader.bytes());
    if (Next == RequestReader::Step::Failed) {
      CHECK(Failure);
      Out.Failed_ = true;
    } else if (Next == RequestReader::Step::Head) {
      Out.Failed_ = !Reader.isUnambiguous();
      Head = Reader.takeHead();
      if (Drop)
        Reader.dropBody();
    } else if (Next == RequestReader::Step::Whole) {
      Head.Body_ = Reader.takeBody(); // NOLINT(bugprone-use-after-move): taken once
      Out.Requests_.push_back(std::move(Head));
      Reader.begin(HeaderBytes, BodyBytes);
    } else {
      if (Offset == Text.size())
        break;
      const auto Place = Reader.prepare();
      REQUIRE(Place.size() > 0);
      std::size_t Count = std::uniform_int_distribution<std::size_t>(1, MaxPiece)(Random);
      Count = std::min({Count, Place.size(), Text.size() - Offset});
      std::copy_n(Text.data() + Offset, Count, static_cast<char *>(Place.data()));
      Reader.commit(Count);
      Offset += Count;
    }
  }
  return Out;
}

/// A request with a length or in chunks, perhaps with trailers.
std::string makeRequest(std::mt19937 &Random, const std::string &Body) {
  std::string Text = "POST /p HTTP/1.1\r\nHost: a\r\n";
  for (unsigned Left = Random() % 20; Left > 0; --Left)
    Text += "f" + std::to_string(Left) + ": v\r\n";
  if (Random() % 2 == 0)
    return Text + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  Text += "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t Offset = 0; Offset < Body.size();) {
    const std::size_t Size = std::min<std::size_t>(1 + Random() % 9000, Body.size() - Offset);
    char Head[20];
    std::snprintf(Head, sizeof(Head), "%zx\r\n", Size);
    Text += Head + Body.substr(Offset, Size) + "\r\n";
    Offset += Size;
  }
  return Text + (Random() % 2 == 0 ? "0\r\n\r\n" : "0\r\nt: v\r\n\r\n");
}

} // namespace

// Guards against requests that depend on how their bytes are cut: pipelined ones, with lengths, in
// chunks and with trailers, and against memory that exceeds the body and the buffer.
TEST_CASE("request_reader_any_pieces_same_requests") {
  for (unsigned Seed = 1; Seed <= 300; ++Seed) {
    INFO("seed " << Seed);
    std::mt19937 Random(Seed);
    std::string Text;
    std::vector<std::string> Bodies;
    for (unsigned Left = 1 + Random() % 4; Left > 0; --Left) {
      Bodies.emplace_back(Random() % 3 == 0 ? Random() % 90'000 : Random() % 50,
                          static_cast<char>('a' + Random() % 20));
      Text += makeRequest(Random, Bodies.back());
    }
    const Result Out = feed(Text, Random, 1 + Random() % 40'000);
    REQUIRE_FALSE(Out.Failed_);
    REQUIRE(Out.Requests_.size() == Bodies.size());
    for (std::size_t Index = 0; Index < Bodies.size(); ++Index)
      CHECK(Out.Requests_[Index].Body_ == Bodies[Index]);
    // Half more than the body and a piece, and the buffer with the read-ahead.
    CHECK(Out.MostBytes_ <= (BodyBytes + 40'000) * 3 / 2 + HeaderBytes + 64UL * 1024);
    CHECK(feed(Text, Random, 5000, true).MostBytes_ <= 128UL * 1024);
  }
}

// Guards against faults of the parser path on input that was changed or cut anywhere.
TEST_CASE("request_reader_damaged_input_ends_or_fails") {
  for (unsigned Seed = 1; Seed <= 3000; ++Seed) {
    INFO("seed " << Seed);
    std::mt19937 Random(Seed);
    std::string Text = makeRequest(Random, std::string(Random() % 3000, 'x'));
    for (unsigned Left = Random() % 6; Left > 0; --Left)
      Text[Random() % Text.size()] = static_cast<char>(Random() % 256);
    if (Random() % 2 == 0)
      Text.resize(Random() % Text.size());
    const Result Out = feed(Text, Random, 1 + Random() % 2000, Random() % 2 == 0);
    CHECK(Out.MostBytes_ <= (BodyBytes + 40'000) * 3 / 2 + HeaderBytes + 64UL * 1024);
  }
}

// Guards against a declared length that takes memory before the bytes arrive.
TEST_CASE("request_reader_declared_length_reserves_little") {
  std::mt19937 Random(1);
  const std::string Text = "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\nx";
  const Result Out = feed(Text, Random, 100);
  CHECK(Out.Requests_.empty());
  CHECK(Out.MostBytes_ <= 64UL * 1024);
}

// Guards against a head without a bound on its size: the parser forgets the lines that it has
// taken, and does so when each piece ends with the first byte of a line.
TEST_CASE("request_reader_head_that_arrives_by_lines_is_bounded") {
  const std::string Line = "a:b\r\n";
  const std::string Start = "POST /p HTTP/1.1\r\nHost: a\r\na";
  RequestReader Reader;
  Reader.begin(HeaderBytes, BodyBytes);
  std::string Piece = Start;
  std::size_t Sent = 0;
  RequestReader::Step Next = RequestReader::Step::NeedMore;
  boost::system::error_code Failure;
  while (Next == RequestReader::Step::NeedMore && Sent < 10UL * HeaderBytes) {
    const auto Place = Reader.prepare();
    REQUIRE(Place.size() >= Piece.size());
    std::copy(Piece.begin(), Piece.end(), static_cast<char *>(Place.data()));
    Reader.commit(Piece.size());
    Sent += Piece.size();
    Next = Reader.parse(Failure);
    // Some hundred fields of four bytes take some 100 bytes each, and all must be counted.
    if (Next == RequestReader::Step::NeedMore && Sent > HeaderBytes / 2)
      CHECK(Reader.bytes() > 10 * Sent);
    Piece = Line.substr(1) + "a";
  }
  CHECK(Next == RequestReader::Step::Failed);
  CHECK(Failure == boost::beast::http::error::header_limit);
  CHECK(Sent <= HeaderBytes + Line.size());
}
