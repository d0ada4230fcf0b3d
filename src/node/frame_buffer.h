#ifndef BRONZESTAND_NODE_FRAME_BUFFER_H
#define BRONZESTAND_NODE_FRAME_BUFFER_H

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/message_buffer/alloc.hpp>
#include <websocketpp/message_buffer/message.hpp>

#include "node/arriving_frames.h"

namespace bronzestand::node {

/// Message of the WebSocket library that grows by what has arrived and counts what it holds. That
/// of the library reserves the declared length, which the other end need not send.
class FrameBuffer final : public websocketpp::message_buffer::message<
                              websocketpp::message_buffer::alloc::con_msg_manager> {
  using Base =
      websocketpp::message_buffer::message<websocketpp::message_buffer::alloc::con_msg_manager>;

public:
  using ptr = std::shared_ptr<FrameBuffer>; // NOLINT(readability-identifier-naming): library's name

  /// A frame of this size is reserved at once; most have a tenth of it.
  static constexpr std::size_t ReservedBytes = 64UL * 1024;
  /// The library reads this much at a time.
  static constexpr std::size_t PieceBytes = websocketpp::config::asio::connection_read_buffer_size;

  /// A message that is not received.
  FrameBuffer() : Base(nullptr) {}
  /// \param Declared length of its first frame, in bytes.
  FrameBuffer(websocketpp::frame::opcode::value Code, std::size_t Declared,
              std::shared_ptr<ArrivingBytes> Arriving)
      : Base(nullptr, Code, Declared <= ReservedBytes ? Declared : 0), Declared_(Declared),
        Arriving_(std::move(Arriving)) {}
  FrameBuffer(const FrameBuffer &) = delete;
  FrameBuffer &operator=(const FrameBuffer &) = delete;
  ~FrameBuffer() {
    if (Arriving_)
      Arriving_->changed(Counted_, 0);
  }

  const std::shared_ptr<ArrivingBytes> &arriving() const { return Arriving_; }

  /// Returns the payload, with room for the next piece. The library calls it for each piece.
  std::string &get_raw_payload() { // NOLINT(readability-identifier-naming): library's name
    std::string &Text = Base::get_raw_payload();
    if (!Arriving_)
      return Text;
    grow(Text);
    if (Text.capacity() != Counted_)
      Arriving_->changed(std::exchange(Counted_, Text.capacity()), Text.capacity());
    return Text;
  }

private:
  void grow(std::string &Text) const {
    const std::size_t Size = Text.size();
    if (Size >= Declared_ || Text.capacity() - Size >= std::min(PieceBytes, Declared_ - Size))
      return;
    const std::size_t Step = std::max({Text.capacity() / 2, PieceBytes, ReservedBytes});
    // std::string::reserve() would at least double the memory of a string that has some.
    std::string Larger;
    Larger.reserve(std::min(Size + Step, Declared_));
    Larger.append(Text);
    Text.swap(Larger);
  }

  std::size_t Declared_ = 0;
  std::shared_ptr<ArrivingBytes> Arriving_;
  std::size_t Counted_ = 0; ///< memory that Arriving_ knows
};

/// Makes the messages of one connection.
class FrameBuffers {
public:
  // NOLINTBEGIN(readability-identifier-naming): names of the library
  using ptr = std::shared_ptr<FrameBuffers>;
  using weak_ptr = std::weak_ptr<FrameBuffers>;
  using message_ptr = FrameBuffer::ptr;

  message_ptr get_message() { return std::make_shared<FrameBuffer>(); }
  message_ptr get_message(websocketpp::frame::opcode::value Code, std::size_t Declared) {
    return std::make_shared<FrameBuffer>(Code, Declared, Arriving_);
  }
  // NOLINTEND(readability-identifier-naming)

private:
  std::shared_ptr<ArrivingBytes> Arriving_ = std::make_shared<ArrivingBytes>();
};

/// Configuration of the library with these messages.
template <typename Base> struct FrameConfig : Base {
  // NOLINTBEGIN(readability-identifier-naming): names of the library
  using type = FrameConfig;
  using base = Base;
  using message_type = FrameBuffer;
  using con_msg_manager_type = FrameBuffers;
  using endpoint_msg_manager_type =
      websocketpp::message_buffer::alloc::endpoint_msg_manager<FrameBuffers>;
  /// A request to open a link has no body. The library keeps one in memory, and bounds it by 32 MB
  /// for each connection otherwise.
  static constexpr std::size_t max_http_body_size = 0;
  // NOLINTEND(readability-identifier-naming)
};

} // namespace bronzestand::node

#endif
