#ifndef BRONZESTAND_NODE_MESSAGE_PARSER_H
#define BRONZESTAND_NODE_MESSAGE_PARSER_H

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/system/error_code.hpp>

#include "node/http_message.h"

namespace bronzestand::node::detail {

/// Parser of the library that keeps the message itself. The message types of the library throw for
/// a field whose name or value has 65,534 bytes or more, while limits of heads may be larger and
/// trailers have none. This one has no such bound.
///
/// Trailers must be well-formed and are dropped, so that none is taken for a field of the head
/// (RFC 9110, section 6.5.1).
///
/// Errors: those of the library's parser, as error codes; it never throws one of the library's.
/// Cost: linear in the bytes, each is copied once.
template <bool IsRequest>
class MessageParser final : public boost::beast::http::basic_parser<IsRequest> {
public:
  using Message = std::conditional_t<IsRequest, HttpRequest, HttpResponse>;

  /// Returns the message as far as it has arrived.
  Message &get() { return Message_; }
  const Message &get() const { return Message_; }
  /// Version of HTTP: 10 or 11; 0 before the first line.
  unsigned version() const { return Version_; }
  /// Memory of the fields while they are in get().
  std::size_t fieldBytes() const {
    return Message_.Headers_.capacity() * sizeof(Header) + FieldTextBytes_;
  }
  /// Drops the body from now on, and what has arrived of it.
  void dropBody() {
    Dropping_ = true;
    std::string().swap(Message_.Body_);
  }
  bool isDropping() const { return Dropping_; }
  /// Moves the head out and leaves the body.
  Message takeHead() {
    Message Head = std::move(Message_);
    Message_ = {};
    Message_.Body_ = std::move(Head.Body_);
    Head.Body_.clear();
    FieldTextBytes_ = 0;
    return Head;
  }

private:
  using ErrorCode = boost::system::error_code;
  using Text = boost::beast::string_view;

  void on_request_impl(boost::beast::http::verb /*Known*/, Text Method, Text Target, int Version,
                       ErrorCode & /*Failure*/) override {
    if constexpr (IsRequest) {
      Message_.Method_.assign(Method.data(), Method.size());
      Message_.Target_.assign(Target.data(), Target.size());
    }
    Version_ = static_cast<unsigned>(Version);
  }
  void on_response_impl(int Status, Text /*Reason*/, int Version,
                        ErrorCode & /*Failure*/) override {
    if constexpr (!IsRequest)
      Message_.Status_ = static_cast<unsigned>(Status);
    Version_ = static_cast<unsigned>(Version);
  }
  void on_field_impl(boost::beast::http::field /*Known*/, Text Name, Text Value,
                     ErrorCode & /*Failure*/) override {
    if (HeadDone_)
      return;
    const std::string_view Trimmed = trim({Value.data(), Value.size()});
    Message_.Headers_.push_back({std::string(Name.data(), Name.size()), std::string(Trimmed)});
    FieldTextBytes_ += Name.size() + Trimmed.size();
  }
  void on_header_impl(ErrorCode & /*Failure*/) override { HeadDone_ = true; }
  void on_body_init_impl(const boost::optional<std::uint64_t> &Length,
                         ErrorCode & /*Failure*/) override {
    // A server sends what it has stated; a caller need not. The parser has compared the length with
    // its limit.
    if constexpr (!IsRequest)
      if (Length)
        Message_.Body_.reserve(static_cast<std::size_t>(*Length));
  }
  std::size_t on_body_impl(Text Part, ErrorCode & /*Failure*/) override { return append(Part); }
  void on_chunk_header_impl(std::uint64_t /*Bytes*/, Text /*Extensions*/,
                            ErrorCode & /*Failure*/) override {}
  std::size_t on_chunk_body_impl(std::uint64_t /*Left*/, Text Part,
                                 ErrorCode & /*Failure*/) override {
    return append(Part);
  }
  void on_finish_impl(ErrorCode & /*Failure*/) override {}

  std::size_t append(Text Part) {
    if (!Dropping_)
      Message_.Body_.append(Part.data(), Part.size());
    return Part.size();
  }
  /// Returns a value without the blanks around it.
  static std::string_view trim(std::string_view Value) {
    constexpr std::string_view Blanks = " \t";
    const std::size_t First = std::min(Value.find_first_not_of(Blanks), Value.size());
    Value.remove_prefix(First);
    return Value.substr(0, Value.find_last_not_of(Blanks) + 1);
  }

  Message Message_;
  std::size_t FieldTextBytes_ = 0;
  unsigned Version_ = 0;
  bool HeadDone_ = false;
  bool Dropping_ = false;
};

} // namespace bronzestand::node::detail

#endif
