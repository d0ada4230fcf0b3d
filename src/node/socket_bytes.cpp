#include "node/socket_bytes.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace bronzestand::node {

std::optional<std::size_t> unacknowledgedBytes(int Descriptor) {
  int Count = 0;
  if (::ioctl(Descriptor, SIOCOUTQ, &Count) != 0 || Count < 0)
    return std::nullopt;
  return static_cast<std::size_t>(Count);
}

std::size_t unreadBytes(int Descriptor) {
  int Count = 0;
  if (::ioctl(Descriptor, SIOCINQ, &Count) != 0 || Count < 0)
    return 0;
  return static_cast<std::size_t>(Count);
}

} // namespace bronzestand::node
