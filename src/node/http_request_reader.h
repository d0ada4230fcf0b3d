#ifndef BRONZESTAND_NODE_HTTP_REQUEST_READER_H
#define BRONZESTAND_NODE_HTTP_REQUEST_READER_H

#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/system/error_code.hpp>

#include "node/message_parser.h"

namespace bronzestand::node::detail {

/// Takes the bytes of one connection and makes requests of them, head first and the body by pieces.
/// The body grows by what has arrived, because a caller need not send the length that it states.
/// Has no socket, so that tests can feed it.
///
/// Errors: those of the parser, by parse(). Cost: linear in the bytes, each is copied once.
class RequestReader {
public:
  enum class Step {
    NeedMore, ///< bytes are missing: read into prepare()
    Head,     ///< the head is there: take it with takeHead()
    Whole,    ///< the body is there too: take it with takeBody()
    Failed,   ///< the input is no valid request
  };

  /// Begins with the next request.
  /// \param HeaderBytes, BodyBytes bounds of the head and of the body, in bytes.
  void begin(std::uint32_t HeaderBytes, std::uint64_t BodyBytes);
  /// Returns the place for the next bytes, never empty after a step NeedMore.
  boost::asio::mutable_buffer prepare();
  void commit(std::size_t Count) { Buffer_.commit(Count); }
  Step parse(boost::system::error_code &Failure);
  /// Returns the head without a body. Its form must be checked before by isUnambiguous().
  HttpRequest takeHead();
  std::string takeBody();
  /// Drops the body from now on, and what has arrived of it.
  void dropBody();
  bool isDropping() const { return Parser_ && Parser_->isDropping(); }

  bool isUnambiguous() const;
  bool keepAlive() const { return Parser_->keep_alive(); }
  bool isWhole() const { return Parser_->is_done(); }
  /// Declared length of the body; std::nullopt if it comes in chunks.
  std::optional<std::uint64_t> bodyLength() const;
  /// Bytes that have arrived and belong to no step yet.
  bool hasInput() const { return Buffer_.size() != 0; }
  /// Memory that the request holds.
  std::size_t bytes() const;
  /// Returns by how much the memory must grow for the next piece of the body; 0 if it need not.
  std::size_t nextGrowth() const;
  /// Grows by nextGrowth().
  void grow();
  /// Memory of the body alone.
  std::size_t bodyBytes() const { return Parser_->get().Body_.capacity(); }

private:
  boost::beast::flat_buffer Buffer_;
  std::optional<MessageParser<true>> Parser_;
  std::uint32_t HeaderBytes_ = 0; ///< bound on the head
  std::size_t HeadUsed_ = 0;      ///< bytes of the head that the parser has taken
  bool HeadTaken_ = false;
};

} // namespace bronzestand::node::detail

#endif
