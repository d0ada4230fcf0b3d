#ifndef BRONZESTAND_NODE_LINK_CODEC_H
#define BRONZESTAND_NODE_LINK_CODEC_H

#include <array>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "node/envelope.h"
#include "node/text_table.h"

namespace bronzestand::node {

/// Version of the short frames that this build offers in the handshake.
constexpr unsigned LinkCodecVersion = 1;

/// Why a short frame violates the protocol.
enum class FrameError : std::uint8_t {
  Truncated,     ///< it ends within a value
  Surplus,       ///< bytes follow its last value
  UnknownKind,   ///< only calls and answers have a short form
  UnknownTag,    ///< no value begins with this byte
  UnknownNumber, ///< a number of a text that is not defined
  TextTooLong,   ///< a definition of a text that is empty or too long
  TableFull,     ///< a definition beyond the bounds of the table
  TooManyItems,  ///< more values, fields or levels than a frame may have
  TooMuchText,   ///< texts from the table beyond what a frame may refer to
  WrongBase,     ///< a difference to a value that was not sent before
};

/// Returns the name as it appears in logs.
std::string_view frameErrorName(FrameError Error);

/// Names of headers, without regard to case, whose values repeat from call to call. Values of other
/// headers are always sent whole, because they may be secret or of one request.
class RepeatingHeaders {
public:
  RepeatingHeaders();
  void add(std::string_view Name);
  bool contains(std::string_view Name) const;

private:
  std::vector<std::string> Names_;
};

/// What the last frame of a kind contained, as far as it takes little memory: numbers, and texts,
/// bodies and lists that were empty. A null has to be sent.
using FrameBase = std::vector<nlohmann::json>;

/// State of one direction of a link that both ends hold.
struct FrameState {
  std::array<FrameBase, 2> Bases_; ///< of calls and answers
  std::uint64_t Epoch_ = 0;
};

/// Encodes calls and answers in the short form that refers to earlier frames of the link.
class FrameEncoder {
public:
  explicit FrameEncoder(const RepeatingHeaders &Repeating) : Repeating_(Repeating) {}

  static bool hasShortForm(MessageKind Kind);
  /// Encodes a message. commit() or rollback() must follow.
  /// \return whether it has a short form within the bounds of a frame; otherwise Out is undefined.
  bool encode(MessageKind Kind, bool Repeated, std::uint64_t Epoch, const nlohmann::json &Body,
              std::string &Out);
  /// The frame was written.
  void commit();
  /// The frame was not written, so the other end does not know what it defines.
  void rollback();

  const TextTable &table() const { return Texts_.table(); }

private:
  class Writer;

  const RepeatingHeaders &Repeating_;
  TextDefiner Texts_;
  FrameState State_;
  std::size_t Index_ = 0; ///< of the base of the current frame
  std::vector<std::pair<std::size_t, nlohmann::json>> Changes_; ///< of that base
  std::uint64_t Epoch_ = 0;                                     ///< of the current frame
};

struct DecodedFrame {
  Envelope Message_;
  bool Repeated_ = false; ///< a call that is not the first attempt of its request
};

/// Decodes what a FrameEncoder at the other end has encoded. After an error the state of the two
/// ends differs, so the link must end.
class FrameDecoder {
public:
  /// Returns whether a frame has the short form; the earlier form begins with an array of CBOR.
  static bool isShort(std::string_view Frame);
  std::variant<DecodedFrame, FrameError> decode(std::string_view Frame);

  const TextTable &table() const { return Texts_; }

private:
  class Reader;

  TextTable Texts_;
  FrameState State_;
};

} // namespace bronzestand::node

#endif
