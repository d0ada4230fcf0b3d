#include "node/text_table.h"

#include <algorithm>
#include <functional>

namespace bronzestand::node {
namespace {

/// A shorter text takes no more space than its definition saves.
constexpr std::size_t MinTextBytes = 2;

std::uint32_t hashOf(std::string_view Text) {
  return static_cast<std::uint32_t>(std::hash<std::string_view>()(Text));
}

} // namespace

std::size_t TextTable::bytesOf(std::size_t Number) const {
  const std::string *Text = find(Number);
  return Text == nullptr ? 0 : EntryBytes + Text->size();
}

bool TextTable::fits(std::size_t Number, std::string_view Text) const {
  return Number < MaxEntries && !Text.empty() && Text.size() <= MaxTextBytes &&
         Bytes_ - bytesOf(Number) + EntryBytes + Text.size() <= MaxBytes;
}

TextTable::Result TextTable::put(std::size_t Number, std::string_view Text) {
  if (Number >= MaxEntries)
    return Result::UnknownNumber;
  if (Text.empty() || Text.size() > MaxTextBytes)
    return Result::TextTooLong;
  if (!fits(Number, Text))
    return Result::Full;
  remove(Number);
  if (Number >= Texts_.size())
    Texts_.resize(Number + 1);
  Texts_[Number] = std::string(Text);
  Bytes_ += EntryBytes + Text.size();
  ++Size_;
  return Result::Stored;
}

void TextTable::remove(std::size_t Number) {
  if (find(Number) == nullptr)
    return;
  Bytes_ -= bytesOf(Number);
  --Size_;
  Texts_[Number] = std::string();
}

const std::string *TextTable::find(std::size_t Number) const {
  return Number < Texts_.size() && !Texts_[Number].empty() ? &Texts_[Number] : nullptr;
}

TextDefiner::Use TextDefiner::use(std::string_view Text) {
  if (Text.size() < MinTextBytes || Text.size() > TextTable::MaxTextBytes)
    return {};
  const std::uint32_t Hash = hashOf(Text);
  if (const std::uint8_t Found = find(Text, Hash); Found != None) {
    Slots_[Found].Used_ = true;
    return {Use::Form::Number, Found};
  }
  if (!occurredBefore(Hash))
    return {};
  const auto Number = selectNumber(Text);
  if (!Number)
    return {};
  const std::string *Previous = Table_.find(*Number);
  Undo_.push_back({*Number, Previous == nullptr ? std::string() : *Previous});
  set(*Number, Text);
  return {Use::Form::Definition, *Number};
}

void TextDefiner::rollback() {
  for (auto Item = Undo_.rbegin(); Item != Undo_.rend(); ++Item)
    set(Item->Number_, Item->Previous_);
  Undo_.clear();
  while (!Slots_.empty() && Table_.find(Slots_.size() - 1) == nullptr)
    Slots_.pop_back();
}

bool TextDefiner::occurredBefore(std::uint32_t Hash) {
  if (std::find(Seen_.begin(), Seen_.end(), Hash) != Seen_.end())
    return true;
  if (Seen_.size() < SeenCount)
    Seen_.push_back(Hash);
  else
    Seen_[NextSeen_] = Hash;
  NextSeen_ = (NextSeen_ + 1) % SeenCount;
  return false;
}

std::uint8_t TextDefiner::find(std::string_view Text, std::uint32_t Hash) const {
  if (Buckets_.empty())
    return None;
  std::uint8_t Number = Buckets_[Hash % BucketCount];
  while (Number != None && (Slots_[Number].Hash_ != Hash || *Table_.find(Number) != Text))
    Number = Slots_[Number].Next_;
  return Number;
}

std::optional<std::size_t> TextDefiner::selectNumber(std::string_view Text) {
  if (Slots_.size() < TextTable::MaxEntries && Table_.fits(Slots_.size(), Text))
    return Slots_.size();
  for (std::size_t Look = 0; Look < std::min(MaxLooks, Slots_.size()); ++Look) {
    const std::size_t Number = Hand_ % Slots_.size();
    Hand_ = Number + 1;
    if (!Slots_[Number].Used_ && Table_.fits(Number, Text))
      return Number;
    Slots_[Number].Used_ = false;
  }
  return std::nullopt;
}

void TextDefiner::set(std::size_t Number, std::string_view Text) {
  if (Buckets_.empty())
    Buckets_.assign(BucketCount, None);
  if (Number >= Slots_.size())
    Slots_.resize(Number + 1);
  Slot &Item = Slots_[Number];
  if (Table_.find(Number) != nullptr) {
    std::uint8_t *Place = &Buckets_[Item.Hash_ % BucketCount];
    while (*Place != Number)
      Place = &Slots_[*Place].Next_;
    *Place = Item.Next_;
    Table_.remove(Number);
  }
  if (Text.empty())
    return;
  Table_.put(Number, Text);
  Item.Hash_ = hashOf(Text);
  Item.Used_ = true;
  std::uint8_t &First = Buckets_[Item.Hash_ % BucketCount];
  Item.Next_ = First;
  First = static_cast<std::uint8_t>(Number);
}

} // namespace bronzestand::node
