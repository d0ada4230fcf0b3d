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
/// Memory of a field in the parser beside its text: links, offsets and the block of the allocator.
constexpr std::size_t FieldOverheadBytes = 96;

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
  FieldBytes_ = 0;
  HeadTaken_ = false;
}

// The parser bounds only what is in the buffer, and it takes whole lines out of it.
void RequestReader::countHead(std::string_view Part) {
  HeadUsed_ += Part.size();
  FieldBytes_ += Part.size() + FieldOverheadBytes * static_cast<std::size_t>(
                                                        std::count(Part.begin(), Part.end(), '\n'));
}

asio::mutable_buffer RequestReader::prepare() {
  const std::size_t Piece = HeadTaken_ ? BodyPieceBytes : HeadPieceBytes;
  return Buffer_.prepare(std::min(Piece, Buffer_.max_size() - Buffer_.size()));
}

RequestReader::Step RequestReader::parse(error_code &Failure) {
  while (true) {
    if (HeadTaken_ && Parser_->is_done()) {
      Parser_->get().clear(); // trailers
      return Step::Whole;
    }
    const bool InChunks = HeadTaken_ && Parser_->chunked();
    if (Buffer_.size() < (InChunks ? LastChunkBytes : 1))
      return Step::NeedMore;
    const std::size_t Used = Parser_->put(Buffer_.data(), Failure);
    if (!HeadTaken_)
      countHead({static_cast<const char *>(Buffer_.data().data()), Used});
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
    if (!HeadTaken_ && Parser_->is_header_done()) {
      FieldBytes_ = 0;
      for (const auto &Field : Parser_->get())
        FieldBytes_ += FieldOverheadBytes + Field.name_string().size() + Field.value().size();
      return Step::Head;
    }
  }
}

bool RequestReader::isUnambiguous() const { return detail::isUnambiguous(Parser_->get()); }

HttpRequest RequestReader::takeHead() {
  auto &Message = Parser_->get();
  HttpRequest Request;
  Request.Method_ = std::string(Message.method_string());
  Request.Target_ = std::string(Message.target());
  for (const auto &Field : Message)
    Request.Headers_.push_back({std::string(Field.name_string()), std::string(Field.value())});
  // The parser has taken the framing of the body from the fields and does not need them again.
  Message.clear();
  FieldBytes_ = 0;
  HeadTaken_ = true;
  return Request;
}

std::string RequestReader::takeBody() { return std::move(Parser_->get().body().Text_); }

void RequestReader::dropBody() {
  if (!Parser_)
    return;
  Parser_->get().body().Drop_ = true;
  std::string().swap(Parser_->get().body().Text_);
}

std::optional<std::uint64_t> RequestReader::bodyLength() const {
  const auto Length = Parser_->content_length();
  return Length ? std::optional<std::uint64_t>(*Length) : std::nullopt;
}

std::size_t RequestReader::bytes() const {
  return Buffer_.capacity() + FieldBytes_ + (Parser_ ? bodyBytes() : 0);
}

std::size_t RequestReader::nextGrowth() const {
  const auto &Body = Parser_->get().body();
  if (!HeadTaken_ || Body.Drop_ || Parser_->is_done())
    return 0;
  // What is buffered may hold more than one piece.
  const std::size_t Free = Body.Text_.capacity() - Body.Text_.size();
  const std::uint64_t Left =
      Parser_->content_length_remaining().value_or(std::numeric_limits<std::uint64_t>::max());
  const std::size_t Next = std::max(BodyPieceBytes, Buffer_.size());
  if (Free >= std::min<std::uint64_t>(Next, Left))
    return 0;
  const std::size_t Wanted = std::max(Next - std::min(Free, Next), Body.Text_.capacity() / 2);
  return static_cast<std::size_t>(std::min<std::uint64_t>(Wanted, Left - Free));
}

void RequestReader::grow() {
  // std::string::reserve() would at least double the memory of a string that has some.
  std::string &Text = Parser_->get().body().Text_;
  std::string Larger;
  Larger.reserve(Text.capacity() + nextGrowth());
  Larger.append(Text);
  Text.swap(Larger);
}

} // namespace bronzestand::node::detail
