#include "node/http_request_reader.h"

#include <algorithm>
#include <limits>

#include <boost/beast/http/error.hpp>

#include "node/http_server_message.h"

namespace bronzestand::node::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Received bytes beyond a head that a connection buffers. Bounds trailers, which the parser does
/// not limit and needs in the buffer.
constexpr std::size_t ReadAheadBytes = 64UL * 1024;
/// Bytes that are read at a time. Most heads have less than the first.
constexpr std::size_t HeadPieceBytes = 4UL * 1024;
constexpr std::size_t BodyPieceBytes = 32UL * 1024;
/// A buffer with more than this is returned between two requests.
constexpr std::size_t KeptBufferBytes = HeadPieceBytes;
/// Least size of a last chunk, which every body in chunks still lacks while it is not whole. The
/// parser asserts that it has as many bytes of it.
constexpr std::size_t LastChunkBytes = 5;

} // namespace

void RequestReader::begin(std::uint32_t HeaderBytes, std::uint64_t BodyBytes) {
  Parser_.emplace();
  Parser_->header_limit(HeaderBytes);
  Parser_->body_limit(BodyBytes);
  Buffer_.max_size(std::max<std::size_t>(Buffer_.size(), HeaderBytes + ReadAheadBytes));
  if (Buffer_.capacity() > KeptBufferBytes)
    Buffer_.shrink_to_fit();
  HeaderBytes_ = HeaderBytes;
  HeadUsed_ = 0;
  HeadTaken_ = false;
}

asio::mutable_buffer RequestReader::prepare() {
  const std::size_t Piece = HeadTaken_ ? BodyPieceBytes : HeadPieceBytes;
  return Buffer_.prepare(std::min(Piece, Buffer_.max_size() - Buffer_.size()));
}

RequestReader::Step RequestReader::parse(error_code &Failure) {
  while (true) {
    if (HeadTaken_ && Parser_->is_done())
      return Step::Whole;
    const bool InChunks = HeadTaken_ && Parser_->chunked();
    if (Buffer_.size() < (InChunks ? LastChunkBytes : 1))
      return Step::NeedMore;
    const std::size_t Used = Parser_->put(Buffer_.data(), Failure);
    // The parser bounds only what is in the buffer, and it takes whole lines out of it.
    HeadUsed_ += HeadTaken_ ? 0 : Used;
    Buffer_.consume(Used);
    // The end of the last line shows with the byte behind it.
    const std::size_t Pending = HeadTaken_ || Parser_->is_header_done() ? 0 : Buffer_.size();
    if (!HeadTaken_ && HeadUsed_ + Pending > HeaderBytes_ &&
        (!Failure || Failure == http::error::need_more))
      Failure = http::error::header_limit;
    if (Failure == http::error::need_more) {
      if (Buffer_.size() < Buffer_.max_size()) {
        Failure = {};
        return Step::NeedMore;
      }
      Failure = http::error::buffer_overflow;
    }
    if (Failure)
      return Step::Failed;
    if (!HeadTaken_ && Parser_->is_header_done())
      return Step::Head;
  }
}

bool RequestReader::isUnambiguous() const {
  return detail::isUnambiguous(Parser_->get(), Parser_->version());
}

HttpRequest RequestReader::takeHead() {
  HeadTaken_ = true;
  return Parser_->takeHead();
}

std::string RequestReader::takeBody() { return std::move(Parser_->get().Body_); }

void RequestReader::dropBody() {
  if (Parser_)
    Parser_->dropBody();
}

std::optional<std::uint64_t> RequestReader::bodyLength() const {
  const auto Length = Parser_->content_length();
  return Length ? std::optional<std::uint64_t>(*Length) : std::nullopt;
}

std::size_t RequestReader::bytes() const {
  return Buffer_.capacity() + (Parser_ ? Parser_->fieldBytes() + bodyBytes() : 0);
}

std::size_t RequestReader::nextGrowth() const {
  const std::string &Body = Parser_->get().Body_;
  if (!HeadTaken_ || Parser_->isDropping() || Parser_->is_done())
    return 0;
  // What is buffered may hold more than one piece.
  const std::size_t Free = Body.capacity() - Body.size();
  const std::uint64_t Left =
      Parser_->content_length_remaining().value_or(std::numeric_limits<std::uint64_t>::max());
  const std::size_t Next = std::max(BodyPieceBytes, Buffer_.size());
  if (Free >= std::min<std::uint64_t>(Next, Left))
    return 0;
  const std::size_t Wanted = std::max(Next - std::min(Free, Next), Body.capacity() / 2);
  return static_cast<std::size_t>(std::min<std::uint64_t>(Wanted, Left - Free));
}

void RequestReader::grow() {
  // std::string::reserve() would at least double the memory of a string that has some.
  std::string &Text = Parser_->get().Body_;
  std::string Larger;
  Larger.reserve(Text.capacity() + nextGrowth());
  Larger.append(Text);
  Text.swap(Larger);
}

} // namespace bronzestand::node::detail
