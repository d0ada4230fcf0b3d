#include <cstring>
#include <optional>

#include "node/frame_format.h"

namespace bronzestand::node {

using nlohmann::json;

/// Reads a short frame. After the first error all values are null and error() names it.
class FrameDecoder::Reader {
public:
  Reader(FrameDecoder &State, std::string_view Frame) : State_(State), Left_(Frame) {}

  std::optional<FrameError> error() const { return Error_; }

  DecodedFrame readFrame() {
    DecodedFrame Result;
    const unsigned First = readByte();
    const unsigned Kind = First & detail::KindMask;
    if (Kind >= MessageKindCount || !FrameEncoder::hasShortForm(static_cast<MessageKind>(Kind)))
      fail(FrameError::UnknownKind);
    if (Error_)
      return Result;
    Result.Message_.Kind_ = static_cast<MessageKind>(Kind);
    Result.Repeated_ = (First & detail::RepeatedFlag) != 0;
    if ((First & detail::EpochFlag) != 0)
      State_.State_.Epoch_ = readVarint();
    Result.Message_.Epoch_ = State_.State_.Epoch_;
    Result.Message_.Body_ =
        readBody(State_.State_.Bases_[detail::baseIndexOf(Result.Message_.Kind_)]);
    if (!Left_.empty())
      fail(FrameError::Surplus);
    return Result;
  }

private:
  void fail(FrameError Reason) {
    if (!Error_)
      Error_ = Reason;
    Left_ = {};
  }

  unsigned readByte() {
    if (Left_.empty()) {
      fail(FrameError::Truncated);
      return 0;
    }
    const auto Value = static_cast<unsigned char>(Left_.front());
    Left_.remove_prefix(1);
    return Value;
  }

  std::uint64_t readVarint() {
    std::uint64_t Value = 0;
    for (unsigned Shift = 0; Shift < 64; Shift += 7) {
      const unsigned Byte = readByte();
      Value |= static_cast<std::uint64_t>(Byte & 0x7FU) << Shift;
      if ((Byte & 0x80U) == 0)
        return Value;
    }
    fail(FrameError::UnknownTag);
    return 0;
  }

  std::string_view readBytes(std::uint64_t Count) {
    if (Count > Left_.size()) {
      fail(FrameError::Truncated);
      return {};
    }
    const std::string_view Result = Left_.substr(0, Count);
    Left_.remove_prefix(Count);
    return Result;
  }

  std::uint64_t readFixed() {
    std::uint64_t Value = 0;
    for (unsigned Shift = 0; Shift < 64; Shift += 8)
      Value |= static_cast<std::uint64_t>(readByte()) << Shift;
    return Value;
  }

  /// Counts items before memory is allocated for them. \return whether the frame may have them.
  bool count(std::uint64_t Items) {
    if (Items > detail::MaxItems - Items_) {
      fail(FrameError::TooManyItems);
      return false;
    }
    Items_ += Items;
    return true;
  }

  static bool hasBit(std::string_view Mask, std::size_t Index) {
    return ((static_cast<unsigned char>(Mask[Index / 8]) >> (Index % 8)) & 1U) != 0;
  }

  json readBody(FrameBase &Base) {
    const std::uint64_t Fields = readVarint();
    if (Fields > detail::MaxFields)
      fail(FrameError::TooManyItems);
    const std::string_view Mask = readBytes(Error_ ? 0 : (Fields + 7) / 8);
    json::array_t Body;
    for (std::size_t Field = 0; Field < Fields && !Error_; ++Field) {
      if (!hasBit(Mask, Field)) {
        Body.push_back(detail::fieldOf(Base, Field));
        continue;
      }
      Body.push_back(readValue(detail::fieldOf(Base, Field), 1));
      json Kept = detail::baseOf(Body.back());
      if (!Error_ && (!Kept.is_null() || Field < Base.size()))
        detail::setField(Base, Field, std::move(Kept));
    }
    return Body;
  }

  /// \param Previous the base of the value; null if it has none.
  json readValue(const json &Previous, std::size_t Depth) {
    const unsigned Tag = readByte();
    if (Error_ || Tag == detail::Changed)
      return Error_ ? json() : readChanged(Previous);
    if (Tag == detail::HeaderList)
      return readHeaders();
    if (Tag >= detail::ShortList && Tag < detail::Reference)
      return readList(Tag - detail::ShortList, Depth);
    if (Tag == detail::List)
      return readList(readVarint(), Depth);
    if (!count(1))
      return {};
    if (Tag < detail::ShortText)
      return Tag;
    if (isText(Tag))
      return readText(Tag);
    return readScalar(Tag, Previous);
  }

  json readScalar(unsigned Tag, const json &Previous) {
    switch (Tag) {
    case detail::Unsigned:
      return readVarint();
    case detail::Negative:
      return -1 - static_cast<std::int64_t>(readVarint() & ~(std::uint64_t{1} << 63U));
    case detail::Float: {
      const std::uint64_t Bits = readFixed();
      double Value = 0;
      std::memcpy(&Value, &Bits, sizeof(Value));
      return Value;
    }
    case detail::False:
      return false;
    case detail::True:
      return true;
    case detail::Null:
      return {};
    case detail::Fixed:
      return readFixed();
    case detail::Difference:
      return readDifference(Previous);
    case detail::Binary: {
      const std::string_view Bytes = readBytes(readVarint());
      return json::binary(std::vector<std::uint8_t>(Bytes.begin(), Bytes.end()));
    }
    default:
      fail(FrameError::UnknownTag);
      return {};
    }
  }

  json readDifference(const json &Previous) {
    const std::uint64_t Coded = readVarint();
    if (!Previous.is_number_integer()) {
      fail(FrameError::WrongBase);
      return {};
    }
    const std::uint64_t Step = (Coded >> 1U) ^ ((Coded & 1U) != 0 ? ~std::uint64_t{0} : 0);
    return Previous.get<std::uint64_t>() + Step;
  }

  json readChanged(const json &Previous) {
    if (!Previous.is_array()) {
      fail(FrameError::WrongBase);
      return {};
    }
    if (!count(1 + Previous.size()))
      return {};
    const std::string_view Mask = readBytes((Previous.size() + 7) / 8);
    json::array_t Result;
    Result.reserve(Previous.size());
    for (std::size_t Index = 0; Index < Previous.size() && !Error_; ++Index)
      Result.push_back(hasBit(Mask, Index) ? readValue(Previous[Index], detail::MaxDepth)
                                           : Previous[Index]);
    return Result;
  }

  json readList(std::uint64_t Count, std::size_t Depth) {
    if (Depth >= detail::MaxDepth || Count > Left_.size()) {
      fail(Depth >= detail::MaxDepth ? FrameError::TooManyItems : FrameError::Truncated);
      return {};
    }
    if (!count(1))
      return {};
    json::array_t Result;
    for (std::uint64_t Index = 0; Index < Count && !Error_; ++Index)
      Result.push_back(readValue(json(), Depth + 1));
    return Result;
  }

  json readHeaders() {
    const std::uint64_t Count = readVarint();
    if (Count > Left_.size()) {
      fail(FrameError::Truncated);
      return {};
    }
    if (!count(1 + 3 * Count))
      return {};
    json::array_t Result;
    Result.reserve(Count);
    for (std::uint64_t Index = 0; Index < Count && !Error_; ++Index) {
      json::array_t Item(2);
      for (json &Text : Item)
        Text = readText(readByte());
      Result.emplace_back(std::move(Item));
    }
    return Result;
  }

  static bool isText(unsigned Tag) {
    return Tag >= detail::Reference || (Tag >= detail::ShortText && Tag <= detail::Definition) ||
           Tag == detail::SameText || Tag == detail::Hex;
  }

  std::string readText(unsigned Tag) {
    if (Tag >= detail::Reference)
      return refer(State_.Texts_.find(Tag - detail::Reference));
    if (Tag == detail::SameText) {
      const unsigned Index = readByte();
      return refer(Index < Remembered_.size() ? &Remembered_[Index] : nullptr);
    }
    if (Tag == detail::Definition)
      return readDefinition();
    if (Tag == detail::Hex)
      return remember(readHex());
    if (Tag == detail::Text)
      return remember(std::string(readBytes(readVarint())));
    if (Tag >= detail::ShortText && Tag < detail::Text)
      return remember(std::string(readBytes(Tag - detail::ShortText)));
    fail(FrameError::UnknownTag);
    return {};
  }

  /// Returns a text that the frame only refers to.
  std::string refer(const std::string *Text) {
    if (Text == nullptr) {
      fail(FrameError::UnknownNumber);
      return {};
    }
    if (Text->size() > detail::MaxReferredBytes - Referred_) {
      fail(FrameError::TooMuchText);
      return {};
    }
    Referred_ += Text->size();
    return *Text;
  }

  std::string remember(std::string Text) {
    if (Text.size() >= detail::MinRememberedBytes && Remembered_.size() < detail::MaxRemembered)
      Remembered_.push_back(Text);
    return Text;
  }

  std::string readHex() {
    constexpr std::string_view Digits = "0123456789abcdef";
    const std::string_view Bytes = readBytes(readVarint());
    std::string Result;
    Result.reserve(2 * Bytes.size());
    for (const char Byte : Bytes) {
      const auto Value = static_cast<unsigned char>(Byte);
      Result += {Digits[Value >> 4U], Digits[Value & 0xFU]};
    }
    return Result;
  }

  std::string readDefinition() {
    const unsigned Number = readByte();
    const std::uint64_t Size = readVarint();
    if (Size > TextTable::MaxTextBytes) {
      fail(FrameError::TextTooLong);
      return {};
    }
    const std::string_view Text = readBytes(Size);
    if (Error_)
      return {};
    switch (State_.Texts_.put(Number, Text)) {
    case TextTable::Result::Stored:
      return std::string(Text);
    case TextTable::Result::UnknownNumber:
      fail(FrameError::UnknownNumber);
      return {};
    case TextTable::Result::TextTooLong:
      fail(FrameError::TextTooLong);
      return {};
    case TextTable::Result::Full:
      fail(FrameError::TableFull);
      return {};
    }
    return {};
  }

  FrameDecoder &State_;
  std::string_view Left_;
  std::vector<std::string> Remembered_;
  std::uint64_t Items_ = 0;
  std::size_t Referred_ = 0;
  std::optional<FrameError> Error_;
};

std::variant<DecodedFrame, FrameError> FrameDecoder::decode(std::string_view Frame) {
  Reader Input(*this, Frame);
  DecodedFrame Result = Input.readFrame();
  if (const auto Failure = Input.error())
    return *Failure;
  return Result;
}

} // namespace bronzestand::node
