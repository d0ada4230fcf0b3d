#ifndef BRONZESTAND_NODE_HTTP_REQUEST_READER_H
#define BRONZESTAND_NODE_HTTP_REQUEST_READER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>

#include "node/http_message.h"

namespace bronzestand::node::detail {

/// Body that grows by what has arrived, or is dropped. The body type of the library reserves the
/// declared length, which a caller need not send.
struct PieceBody {
  struct value_type { // NOLINT(readability-identifier-naming): named by the library
    std::string Text_;
    bool Drop_ = false;
  };
  class reader { // NOLINT(readability-identifier-naming): named by the library
  public:
    template <bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields> & /*Head*/, value_type &Body)
        : Body_(Body) {}
    template <class Length>
    void init(const Length & /*Stated*/, boost::system::error_code &Failure) {
      Failure = {};
    }
    template <class Buffers>
    std::size_t put(const Buffers &Parts, boost::system::error_code &Failure) {
      Failure = {};
      std::size_t Count = 0;
      for (auto Part = boost::asio::buffer_sequence_begin(Parts);
           Part != boost::asio::buffer_sequence_end(Parts); ++Part) {
        if (!Body_.Drop_)
          Body_.Text_.append(static_cast<const char *>(Part->data()), Part->size());
        Count += Part->size();
      }
      return Count;
    }
    void finish(boost::system::error_code &Failure) { Failure = {}; }

  private:
    value_type &Body_;
  };
};

/// Takes the bytes of one connection and makes requests of them, head first and the body by pieces.
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
  /// Returns the head without a body and frees the copy of the parser. Its form must be checked
  /// before by isUnambiguous().
  HttpRequest takeHead();
  std::string takeBody();
  /// Drops the body from now on, and what has arrived of it.
  void dropBody();
  bool isDropping() const { return Parser_ && Parser_->get().body().Drop_; }

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
  std::size_t bodyBytes() const { return Parser_->get().body().Text_.capacity(); }

private:
  /// Counts a part of the head that the parser takes.
  void countHead(std::string_view Part);

  using Parser = boost::beast::http::request_parser<PieceBody>;

  boost::beast::flat_buffer Buffer_;
  std::optional<Parser> Parser_;
  std::uint32_t HeaderBytes_ = 0; ///< bound on the head
  std::size_t HeadUsed_ = 0;      ///< bytes of the head that the parser has taken
  std::size_t FieldBytes_ = 0;    ///< memory of the fields while the parser holds them
  bool HeadTaken_ = false;
};

} // namespace bronzestand::node::detail

#endif
