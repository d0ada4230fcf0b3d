#ifndef BRONZESTAND_NODE_FRAME_FORMAT_H
#define BRONZESTAND_NODE_FRAME_FORMAT_H

#include <cstdint>

#include "node/link_codec.h"

namespace bronzestand::node::detail {

// First byte of a short frame: the kind of the message and two flags. It is less than the first
// byte of a CBOR array.
constexpr unsigned KindMask = 0x1F;
constexpr unsigned RepeatedFlag = 0x20;
constexpr unsigned EpochFlag = 0x40; ///< the epoch follows, because it differs from the last one
constexpr unsigned FirstCborArray = 0x80;

/// First byte of a value. Numbers below SmallNumbers, short texts and short lists are in the tag
/// itself; a tag from Reference on is the number of a text.
enum Tag : std::uint8_t {
  SmallNumber = 0x00,
  ShortText = 0x40,
  Text = 0x60,
  Definition = 0x61, ///< number, length and text
  Unsigned = 0x62,
  Negative = 0x63, ///< -1 - value
  Float = 0x64,    ///< 8 bytes, little-endian
  False = 0x65,
  True = 0x66,
  Null = 0x67,
  Binary = 0x68,
  List = 0x69,
  HeaderList = 0x6A, ///< pairs of texts
  Changed = 0x6B,    ///< a list of numbers that differs in some from that of the last frame
  Difference = 0x6C, ///< to the number of the last frame, with its sign in the lowest bit
  Fixed = 0x6D,      ///< unsigned number of 8 bytes, little-endian
  SameText = 0x6E,   ///< an earlier text of this frame
  Hex = 0x6F,        ///< a text of lower-case hexadecimal digits, two in a byte
  ShortList = 0x70,
  Reference = 0x80,
};
constexpr std::size_t SmallNumbers = ShortText - SmallNumber;
constexpr std::size_t ShortTexts = Text - ShortText;
constexpr std::size_t ShortLists = Reference - ShortList;

/// A call has some 25 fields.
constexpr std::size_t MaxFields = 64;
/// Bounds the memory of a decoded frame, in which a value takes more space than on the link. Frames
/// with more values are sent in the earlier form.
constexpr std::size_t MaxItems = 4096;
constexpr std::size_t MaxDepth = 4;
/// Bounds the memory of texts that take one or two bytes of a frame.
constexpr std::size_t MaxReferredBytes = 64UL * 1024;
/// Lists of at most this many numbers are kept as the base of later frames.
constexpr std::size_t MaxBaseList = 16;
/// Whole texts of a frame that later ones of it may refer to, as the header with the id of the
/// request does.
constexpr std::size_t MaxRemembered = 4;
constexpr std::size_t MinRememberedBytes = 8;

/// Returns the index of the base of a kind.
inline std::size_t baseIndexOf(MessageKind Kind) { return Kind == MessageKind::Call ? 0 : 1; }

/// Returns what of a value is kept for later frames; null if nothing.
nlohmann::json baseOf(const nlohmann::json &Value);
/// Returns whether a value equals its base, also in the kind of the number.
bool isSame(const nlohmann::json &Value, const nlohmann::json &Base);
/// Returns the base of a field; null if there is none.
const nlohmann::json &fieldOf(const FrameBase &Base, std::size_t Field);
void setField(FrameBase &Base, std::size_t Field, nlohmann::json Value);

} // namespace bronzestand::node::detail

#endif
