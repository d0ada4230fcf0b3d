#ifndef BRONZESTAND_MESH_EVENT_LOG_H
#define BRONZESTAND_MESH_EVENT_LOG_H

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "bronzestand/types.h"

namespace bronzestand::node {

/// How much a line matters when there are more than may be written.
enum class EventClass {
  Routine,  ///< a request that was served as usual
  Decision, ///< a request was refused, repeated or failed
  Belief,   ///< what this node holds to be true has changed
};

/// Structured log: one JSON object a line on standard output, with time, part, event and the inputs
/// of the decision. Each class of lines has a rate limit of its own, and lines that standard output
/// can't take at once are dropped; both are counted in the next line that is written.
class EventLog {
public:
  using Fields = std::initializer_list<std::pair<std::string_view, nlohmann::json>>;

  explicit EventLog(std::string HostName);

  /// Tells whether a line would be written now, so that its fields need not be made in vain.
  bool mayWrite(TimePoint Now, EventClass Class);
  /// Writes a line. \param Part of the node that decided. \param Event short name, the same for all
  /// lines of a kind.
  void write(TimePoint Now, EventClass Class, std::string_view Part, std::string_view Event,
             Fields Values);
  std::uint64_t dropped() const { return DroppedTotal_; }

private:
  struct Bucket {
    double Tokens_;
    double Rate_;
    double Capacity_;
    TimePoint Filled_{};
  };

  void refill(TimePoint Now, Bucket &Item);

  std::string HostName_;
  std::array<Bucket, 3> Buckets_;
  std::uint64_t Dropped_ = 0;
  std::uint64_t DroppedTotal_ = 0;
};

} // namespace bronzestand::node

#endif
