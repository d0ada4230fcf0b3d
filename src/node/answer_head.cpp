#include "node/answer_head.h"

namespace bronzestand::node {

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
