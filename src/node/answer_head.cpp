#include "node/answer_head.h"

#include <algorithm>

namespace bronzestand::node {
namespace {

constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned LastFinalStatus = 599;

bool isNameByte(char Byte) {
  constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
  return (Byte >= 'a' && Byte <= 'z') || (Byte >= 'A' && Byte <= 'Z') ||
         (Byte >= '0' && Byte <= '9') || Symbols.find(Byte) != std::string_view::npos;
}

bool isValueByte(char Byte) {
  constexpr unsigned char Delete = 0x7F;
  const auto Value = static_cast<unsigned char>(Byte);
  return (Value >= ' ' && Value != Delete) || Byte == '\t';
}

} // namespace

bool isFinalStatus(unsigned Status) {
  return Status >= FirstFinalStatus && Status <= LastFinalStatus;
}

bool isSound(const Header &Field) {
  return !Field.Name_.empty() && std::all_of(Field.Name_.begin(), Field.Name_.end(), isNameByte) &&
         std::all_of(Field.Value_.begin(), Field.Value_.end(), isValueByte);
}

bool FoldDetector::put(std::string_view Bytes) {
  for (const char Byte : Bytes) {
    if (Ended_ || Folded_)
      break;
    if (Byte == '\n') {
      Ended_ = LineEmpty_;
      LineEmpty_ = true;
    } else if (Byte != '\r') {
      Folded_ = LineEmpty_ && (Byte == ' ' || Byte == '\t');
      LineEmpty_ = false;
    }
  }
  return Folded_;
}

} // namespace bronzestand::node
