#include "fuzz/mutator.h"

#include <algorithm>
#include <array>

namespace bronzestand::fuzz {
namespace {

/// Inputs beyond this size only take time.
constexpr std::size_t MaxBytes = 256UL * 1024;
constexpr std::size_t MostChanges = 8;
/// Parts that are repeated, so that bounds of some tens of kilobytes are reached.
constexpr std::size_t MostRepeats = 400;
constexpr std::size_t LongPart = 64;

/// Bytes at the edges of ranges: signs, lengths, separators.
constexpr std::array<unsigned char, 16> EdgeBytes{0x00, 0x01, 0x0A, 0x0D, 0x20, 0x2C, 0x30, 0x3A,
                                                  0x7F, 0x80, 0x81, 0x9F, 0xBF, 0xC0, 0xFE, 0xFF};
/// Numbers at the edges of types.
constexpr std::array<const char *, 10> EdgeNumbers{
    "0",          "1",    "-1",         "2147483647",           "4294967295",
    "4294967296", "0x10", "0000000001", "18446744073709551615", "18446744073709551616"};

} // namespace

void Mutator::begin(std::uint64_t Seed, std::uint64_t Round) {
  std::seed_seq Start{static_cast<std::uint32_t>(Seed), static_cast<std::uint32_t>(Seed >> 32U),
                      static_cast<std::uint32_t>(Round), static_cast<std::uint32_t>(Round >> 32U)};
  Random_.seed(Start);
  Round_ = Round;
}

std::string Mutator::make() {
  if (Round_ < Corpus_.size())
    return Corpus_[Round_];
  static constexpr std::array<Change, 9> Changes{
      &Mutator::flipBit,      &Mutator::setByte,    &Mutator::removePart,
      &Mutator::repeatPart,   &Mutator::insertWord, &Mutator::insertBytes,
      &Mutator::changeNumber, &Mutator::joinOther,  &Mutator::cut};
  std::string Text = Corpus_[below(Corpus_.size())];
  for (std::size_t Left = 1 + below(MostChanges); Left > 0; --Left) {
    (this->*Changes[below(Changes.size())])(Text);
    if (Text.size() > MaxBytes)
      Text.resize(MaxBytes);
  }
  return Text;
}

void Mutator::flipBit(std::string &Text) {
  if (Text.empty())
    return;
  char &Byte = Text[below(Text.size())];
  Byte = static_cast<char>(static_cast<unsigned char>(Byte) ^ (1U << below(8)));
}

void Mutator::setByte(std::string &Text) {
  if (!Text.empty())
    Text[below(Text.size())] = static_cast<char>(EdgeBytes[below(EdgeBytes.size())]);
}

void Mutator::removePart(std::string &Text) {
  if (Text.empty())
    return;
  const std::size_t Start = below(Text.size());
  Text.erase(Start, 1 + below(std::min(LongPart, Text.size() - Start)));
}

void Mutator::repeatPart(std::string &Text) {
  if (Text.empty())
    return;
  const std::size_t Start = below(Text.size());
  const std::string Part = Text.substr(Start, 1 + below(LongPart));
  // Mostly a few times, because most bounds on numbers of parts are low.
  std::size_t Times = 1 + below(below(4) == 0 ? MostRepeats : 4);
  std::string Added;
  for (; Times > 0; --Times)
    Added += Part;
  Text.insert(Start, Added);
}

void Mutator::insertWord(std::string &Text) {
  if (!Words_.empty())
    Text.insert(below(Text.size() + 1), Words_[below(Words_.size())]);
}

void Mutator::insertBytes(std::string &Text) {
  std::string Bytes;
  for (std::size_t Left = 1 + below(8); Left > 0; --Left)
    Bytes += static_cast<char>(below(256));
  Text.insert(below(Text.size() + 1), Bytes);
}

void Mutator::changeNumber(std::string &Text) {
  const std::size_t Start = Text.find_first_of("0123456789", below(Text.size() + 1));
  if (Start == std::string::npos)
    return;
  const std::size_t End = Text.find_first_not_of("0123456789", Start);
  Text.replace(Start, std::min(End, Text.size()) - Start, EdgeNumbers[below(EdgeNumbers.size())]);
}

void Mutator::joinOther(std::string &Text) {
  const std::string &Other = Corpus_[below(Corpus_.size())];
  Text.resize(below(Text.size() + 1));
  Text += Other.substr(below(Other.size() + 1));
}

void Mutator::cut(std::string &Text) { Text.resize(below(Text.size() + 1)); }

} // namespace bronzestand::fuzz
