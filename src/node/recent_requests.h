#ifndef BRONZESTAND_NODE_RECENT_REQUESTS_H
#define BRONZESTAND_NODE_RECENT_REQUESTS_H

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "bronzestand/call.h"

namespace bronzestand::node {

/// One host that a request was sent to.
struct TryRecord {
  HostId Host_;
  Outcome Outcome_ = Outcome::Unknown;
  std::optional<Refusal> Refusal_; ///< set unless Outcome_ is Served
  Duration Time_{};
};

/// How a request of a caller, or a call of the local backend server, ended. Holds no key.
struct RequestRecord {
  RequestId Request_;
  TeamId Team_;
  ClassId Class_;
  ServiceId Service_;
  std::string Method_;
  std::string Path_;
  bool Child_ = false; ///< call of the local backend server
  std::vector<TryRecord> Tries_;
  std::uint32_t Allowance_ = 0; ///< attempts that the request was given
  std::uint32_t Unused_ = 0;    ///< attempts that it gave back
  Outcome Outcome_ = Outcome::NotRun;
  std::optional<Refusal> Refusal_;
  Duration Whole_{};

  /// Time at this node besides waiting for the hosts that it was sent to.
  Duration added() const;
};

/// The last requests that ended at this node, for `bronzestandctl explain`.
class RecentRequests {
public:
  static constexpr std::size_t Capacity = 1024;

  /// \param Self this node's host, named where a request was refused before it was sent.
  explicit RecentRequests(HostId Self) : Self_(std::move(Self)) {}

  void add(RequestRecord Record);
  /// Returns all records of a request, oldest first; null if there is none.
  /// Cost: linear in Capacity.
  nlohmann::json find(const std::string &Request) const;

private:
  HostId Self_;
  std::deque<RequestRecord> Records_;
};

} // namespace bronzestand::node

#endif
