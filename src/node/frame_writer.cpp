#include <algorithm>
#include <cstring>

#include "node/frame_format.h"

namespace bronzestand::node {
namespace {

using nlohmann::json;

/// Which texts of a field are in the table.
enum class TextUse : std::uint8_t {
  Own,     ///< none, because they belong to one request or may be secret
  Shared,  ///< all
  Headers, ///< all names, and values of headers that repeat
};
constexpr TextUse Own = TextUse::Own;
constexpr TextUse Shared = TextUse::Shared;
constexpr TextUse Headers = TextUse::Headers;

/// By the position of the field in codec_call.cpp. Fields beyond the end are Own; the other end
/// does not need to know the tables.
constexpr std::array<TextUse, 25> CallTexts{
    Own, Own, Shared, Shared, Shared, Shared, Own, Headers, Own,    Own, Own,    Own,   Own,
    Own, Own, Own,    Own,    Own,    Own,    Own, Own,     Shared, Own, Shared, Shared};
constexpr std::array<TextUse, 17> AnswerTexts{Own, Own, Own, Own, Headers, Own, Own,    Shared, Own,
                                              Own, Own, Own, Own, Shared,  Own, Shared, Shared};

TextUse useOf(MessageKind Kind, std::size_t Field) {
  if (Kind == MessageKind::Call)
    return Field < CallTexts.size() ? CallTexts[Field] : Own;
  return Field < AnswerTexts.size() ? AnswerTexts[Field] : Own;
}

bool isHeader(const json &Item) {
  return Item.is_array() && Item.size() == 2 && Item[0].is_string() && Item[1].is_string();
}

bool isNatural(const json &Value) {
  return Value.is_number_unsigned() ||
         (Value.is_number_integer() && Value.get<std::int64_t>() >= 0);
}

int digitOf(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  return C >= 'a' && C <= 'f' ? C - 'a' + 10 : -1;
}

bool isHex(std::string_view Text) {
  return Text.size() % 2 == 0 &&
         std::all_of(Text.begin(), Text.end(), [](char C) { return digitOf(C) >= 0; });
}

constexpr std::size_t FixedBytes = 8;

std::size_t varintBytes(std::uint64_t Value) {
  std::size_t Count = 1;
  for (; Value >= 0x80; Value >>= 7U)
    ++Count;
  return Count;
}

} // namespace

/// Appends the body of a message to a short frame.
class FrameEncoder::Writer {
public:
  Writer(FrameEncoder &State, std::string &Out) : State_(State), Out_(Out) {}

  void putByte(unsigned Value) { Out_.push_back(static_cast<char>(Value)); }

  void putVarint(std::uint64_t Value) {
    for (; Value >= 0x80; Value >>= 7U)
      putByte(static_cast<unsigned>(Value & 0x7FU) | 0x80U);
    putByte(static_cast<unsigned>(Value));
  }

  /// \return whether the frame is within its bounds.
  bool writeBody(MessageKind Kind, const json &Body) {
    const FrameBase &Base = State_.State_.Bases_[State_.Index_];
    putVarint(Body.size());
    const std::size_t MaskAt = Out_.size();
    Out_.append((Body.size() + 7) / 8, '\0');
    for (std::size_t Field = 0; Field < Body.size() && Within_; ++Field) {
      const json &Value = Body[Field];
      const json &Previous = detail::fieldOf(Base, Field);
      if (detail::isSame(Value, Previous))
        continue;
      setBit(MaskAt, Field);
      writeField(Value, Previous, useOf(Kind, Field));
      json Kept = detail::baseOf(Value);
      if (!Kept.is_null() || !Previous.is_null())
        State_.Changes_.emplace_back(Field, std::move(Kept));
    }
    return Within_;
  }

private:
  void setBit(std::size_t MaskAt, std::size_t Index) {
    char &Byte = Out_[MaskAt + Index / 8];
    Byte = static_cast<char>(static_cast<unsigned char>(Byte) | (1U << (Index % 8)));
  }

  void count(std::size_t Items) {
    Items_ += Items;
    Within_ = Within_ && Items_ <= detail::MaxItems;
  }

  void writeField(const json &Value, const json &Previous, TextUse Use) {
    if (Use == Headers && Value.is_array() && std::all_of(Value.begin(), Value.end(), isHeader))
      writeHeaders(Value);
    else if (Value.is_array() && Previous.is_array() && !Value.empty() &&
             Value.size() == Previous.size() && !detail::baseOf(Value).is_null())
      writeChanged(Value, Previous);
    else if (isNatural(Value))
      writeNatural(Value, Previous);
    else
      writeValue(Value, Use == Shared, 1);
  }

  void writeHeaders(const json &Value) {
    count(1 + 3 * Value.size());
    putByte(detail::HeaderList);
    putVarint(Value.size());
    for (const json &Item : Value) {
      const auto &Name = Item[0].get_ref<const std::string &>();
      writeText(Name, true);
      writeText(Item[1].get_ref<const std::string &>(), State_.Repeating_.contains(Name));
    }
  }

  void writeChanged(const json &Value, const json &Previous) {
    count(1 + Value.size());
    putByte(detail::Changed);
    const std::size_t MaskAt = Out_.size();
    Out_.append((Value.size() + 7) / 8, '\0');
    for (std::size_t Index = 0; Index < Value.size(); ++Index) {
      if (detail::isSame(Value[Index], Previous[Index]))
        continue;
      setBit(MaskAt, Index);
      if (isNatural(Value[Index]))
        writeNatural(Value[Index], Previous[Index]);
      else
        writeValue(Value[Index], false, detail::MaxDepth);
    }
  }

  /// \param Previous the number that the other end holds; null if none.
  void writeNatural(const json &Value, const json &Previous) {
    count(1);
    const auto Number = Value.get<std::uint64_t>();
    if (Number < detail::SmallNumbers) {
      putByte(static_cast<unsigned>(Number));
      return;
    }
    const std::size_t Plain = std::min(varintBytes(Number), FixedBytes);
    if (isNatural(Previous)) {
      const std::uint64_t Step = Number - Previous.get<std::uint64_t>();
      const bool Down = (Step >> 63U) != 0;
      const std::uint64_t Coded = (Step << 1U) ^ (Down ? ~std::uint64_t{0} : 0);
      if (varintBytes(Coded) < Plain) {
        putByte(detail::Difference);
        putVarint(Coded);
        return;
      }
    }
    if (varintBytes(Number) <= FixedBytes) {
      putByte(detail::Unsigned);
      putVarint(Number);
    } else {
      putByte(detail::Fixed);
      putFixed(Number);
    }
  }

  void putFixed(std::uint64_t Number) {
    for (unsigned Shift = 0; Shift < 64; Shift += 8)
      putByte(static_cast<unsigned>((Number >> Shift) & 0xFFU));
  }

  void writeValue(const json &Value, bool ShareTexts, std::size_t Depth) {
    switch (Value.type()) {
    case json::value_t::string:
      count(1);
      writeText(Value.get_ref<const std::string &>(), ShareTexts);
      return;
    case json::value_t::number_unsigned:
    case json::value_t::number_integer:
      writeInteger(Value);
      return;
    case json::value_t::number_float:
      count(1);
      putByte(detail::Float);
      writeFloat(Value.get<double>());
      return;
    case json::value_t::boolean:
      count(1);
      putByte(Value.get<bool>() ? detail::True : detail::False);
      return;
    case json::value_t::null:
      count(1);
      putByte(detail::Null);
      return;
    case json::value_t::binary:
      count(1);
      writeBinary(Value.get_binary());
      return;
    case json::value_t::array:
      writeList(Value, ShareTexts, Depth);
      return;
    default:
      Within_ = false; // objects have no short form
    }
  }

  void writeInteger(const json &Value) {
    if (isNatural(Value)) {
      writeNatural(Value, json());
      return;
    }
    count(1);
    putByte(detail::Negative);
    putVarint(static_cast<std::uint64_t>(-1 - Value.get<std::int64_t>()));
  }

  void writeFloat(double Value) {
    std::uint64_t Bits = 0;
    std::memcpy(&Bits, &Value, sizeof(Bits));
    putFixed(Bits);
  }

  void writeBinary(const json::binary_t &Bytes) {
    putByte(detail::Binary);
    putVarint(Bytes.size());
    Out_.append(Bytes.begin(), Bytes.end());
  }

  void writeList(const json &Value, bool ShareTexts, std::size_t Depth) {
    count(1);
    if (Depth >= detail::MaxDepth) {
      Within_ = false;
      return;
    }
    if (Value.size() < detail::ShortLists) {
      putByte(detail::ShortList + static_cast<unsigned>(Value.size()));
    } else {
      putByte(detail::List);
      putVarint(Value.size());
    }
    for (auto Item = Value.begin(); Item != Value.end() && Within_; ++Item)
      writeValue(*Item, ShareTexts, Depth + 1);
  }

  bool mayRefer(std::size_t Bytes) const { return Referred_ + Bytes <= detail::MaxReferredBytes; }

  void writeText(const std::string &Text, bool Share) {
    if (Share && mayRefer(Text.size())) {
      const TextDefiner::Use Use = State_.Texts_.use(Text);
      if (Use.Form_ == TextDefiner::Use::Form::Number) {
        Referred_ += Text.size();
        putByte(detail::Reference + static_cast<unsigned>(Use.Number_));
        return;
      }
      if (Use.Form_ == TextDefiner::Use::Form::Definition) {
        putByte(detail::Definition);
        putByte(static_cast<unsigned>(Use.Number_));
        putVarint(Text.size());
        Out_ += Text;
        return;
      }
    }
    writeWhole(Text);
  }

  void writeWhole(const std::string &Text) {
    if (Text.size() >= detail::MinRememberedBytes) {
      const auto Same = std::find(Remembered_.begin(), Remembered_.end(), Text);
      if (Same != Remembered_.end() && mayRefer(Text.size())) {
        Referred_ += Text.size();
        putByte(detail::SameText);
        putByte(static_cast<unsigned>(Same - Remembered_.begin()));
        return;
      }
      if (Remembered_.size() < detail::MaxRemembered)
        Remembered_.push_back(Text);
      if (isHex(Text)) {
        putByte(detail::Hex);
        putVarint(Text.size() / 2);
        for (std::size_t At = 0; At < Text.size(); At += 2)
          putByte(static_cast<unsigned>(digitOf(Text[At]) * 16 + digitOf(Text[At + 1])));
        return;
      }
    }
    if (Text.size() < detail::ShortTexts) {
      putByte(detail::ShortText + static_cast<unsigned>(Text.size()));
    } else {
      putByte(detail::Text);
      putVarint(Text.size());
    }
    Out_ += Text;
  }

  FrameEncoder &State_;
  std::string &Out_;
  std::vector<std::string_view> Remembered_;
  std::size_t Items_ = 0;
  std::size_t Referred_ = 0;
  bool Within_ = true;
};

bool FrameEncoder::encode(MessageKind Kind, bool Repeated, std::uint64_t Epoch, const json &Body,
                          std::string &Out) {
  if (!hasShortForm(Kind) || !Body.is_array() || Body.size() > detail::MaxFields)
    return false;
  Index_ = detail::baseIndexOf(Kind);
  Epoch_ = Epoch;
  Out.clear();
  Writer Result(*this, Out);
  const bool NewEpoch = Epoch != State_.Epoch_;
  Result.putByte(static_cast<unsigned>(Kind) | (Repeated ? detail::RepeatedFlag : 0) |
                 (NewEpoch ? detail::EpochFlag : 0));
  if (NewEpoch)
    Result.putVarint(Epoch);
  return Result.writeBody(Kind, Body);
}

} // namespace bronzestand::node
