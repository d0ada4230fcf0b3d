#include <random>

#include <catch2/catch.hpp>

#include "node/http_request_reader.h"

using namespace bronzestand;
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
/// \param MaxHead bound of a head, in bytes.
Result feed(const std::string &Text, std::mt19937 &Random, std::size_t MaxPiece, bool Drop = false,
            std::uint32_t MaxHead = HeaderBytes) {
  Result Out;
  RequestReader Reader;
  Reader.begin(MaxHead, BodyBytes);
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
      Reader.begin(MaxHead, BodyBytes);
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

// Guards against an exception of the library that ends the process: its containers hold no field
// whose name or value has 65,534 bytes or more, whatever the limit of a head is.
TEST_CASE("request_reader_field_of_any_length_within_limit_is_read") {
  constexpr std::uint32_t MaxHead = 131'072;
  std::mt19937 Random(1);
  for (const std::size_t Size : {65'532, 65'533, 65'534, 65'535, 65'536, 66'000, 131'000}) {
    INFO(Size << " bytes");
    for (const Header &Field :
         {Header{"x", std::string(Size, 'v')}, Header{std::string(Size, 'n'), "1"}}) {
      const Result Out =
          feed("GET / HTTP/1.1\r\nHost: a\r\n" + Field.Name_ + ": " + Field.Value_ + "\r\n\r\n",
               Random, 5000, false, MaxHead);
      REQUIRE(Out.Requests_.size() == 1);
      REQUIRE(Out.Requests_[0].Headers_.size() == 2);
      CHECK(Out.Requests_[0].Headers_[1].Name_ == Field.Name_);
      CHECK(Out.Requests_[0].Headers_[1].Value_ == Field.Value_);
    }
  }
}

// Guards against the same exception at a trailer, which no limit of a head bounds, and against
// trailers that become fields of the head.
TEST_CASE("request_reader_trailer_of_any_length_is_dropped") {
  std::mt19937 Random(1);
  for (const std::size_t Size : {1, 65'533, 65'534, 66'000}) {
    INFO(Size << " bytes");
    const Result Out =
        feed("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
             "3\r\nabc\r\n0\r\nx: " +
                 std::string(Size, 'v') + "\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n",
             Random, 5000);
    REQUIRE(Out.Requests_.size() == 2);
    CHECK(Out.Requests_[0].Body_ == "abc");
    CHECK(Out.Requests_[0].Headers_.size() == 2);
    CHECK(Out.Requests_[1].Target_ == "/b");
  }
}

// Guards against blanks around a value that become part of it, and fields in another order.
TEST_CASE("request_reader_fields_are_as_sent") {
  std::mt19937 Random(1);
  const Result Out =
      feed("GET / HTTP/1.1\r\nHost: a\r\nB: \t two  \r\nA:1\r\nb:  \r\nC: x\ty\r\n\r\n", Random, 7);
  REQUIRE(Out.Requests_.size() == 1);
  std::string Fields;
  for (const Header &Field : Out.Requests_[0].Headers_)
    Fields += Field.Name_ + "=" + Field.Value_ + ";";
  CHECK(Fields == "Host=a;B=two;A=1;b=;C=x\ty;");
}
