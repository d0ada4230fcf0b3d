#ifndef BRONZESTAND_NODE_ANSWER_HEAD_H
#define BRONZESTAND_NODE_ANSWER_HEAD_H

#include <string_view>

#include "bronzestand/call.h"

namespace bronzestand::node {

/// Tells whether a status ends a request: 200 to 599.
bool isFinalStatus(unsigned Status);

/// Tells whether a field has a name and a value that may be sent (RFC 9110, sections 5.1 and 5.5).
/// Constant time per byte.
bool isSound(const Header &Field);

/// Finds folded lines in the head of an answer as it arrives, which are lines that begin with a
/// blank. RFC 9112, section 5.2, forbids servers to send them. The parser of the library appends
/// such a line to the value before it, so a field whose name begins with a blank would be passed on
/// as a part of another one, and a length that it states would not apply.
///
/// Errors: none. Cost: linear in the bytes of the head.
class FoldDetector {
public:
  /// Takes the next bytes of an answer; those behind the head are ignored.
  /// \return whether a line so far is folded.
  bool put(std::string_view Bytes);

private:
  bool LineEmpty_ = false; ///< the current line has no bytes; the status line counts as begun
  bool Ended_ = false;     ///< the empty line that ends the head was seen
  bool Folded_ = false;
};

} // namespace bronzestand::node

#endif
