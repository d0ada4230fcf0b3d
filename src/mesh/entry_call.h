#ifndef BRONZESTAND_MESH_ENTRY_CALL_H
#define BRONZESTAND_MESH_ENTRY_CALL_H

#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "mesh/entry.h"

namespace bronzestand::node {

/// One request of a caller from its admission to its answer, with its tries (design section 7).
class EntryCall final
    : public boost::intrusive_ref_counter<EntryCall, boost::thread_unsafe_counter> {
public:
  /// \param MaxRuns backend servers that the request may be sent to.
  EntryCall(Entry &Owner, Call Work, HttpExchangePtr Exchange, std::uint32_t MaxRuns);

  void start();
  void onAnswer(const Answer &Result);
  /// A link to a host was lost; if this call was sent there, asks what became of it.
  void onLinkDown(const HostId &Host);
  /// Ends the call at once, because the node stops.
  void abort();
  const HostId &host() const { return Host_; }
  TimePoint sentAt() const { return TryStarted_; }

private:
  using Ptr = boost::intrusive_ptr<EntryCall>;

  void attempt();
  const BackendServer *chooseServer(TimePoint Now) const;
  void sendRemote();
  void onSent(std::uint32_t Try, LinkId Link);
  void query();
  void onTryEnd(const Answer &Result);
  bool mayRetry(const Answer &Result);
  void endTry(const Answer &Result);
  void onTimeout();
  void cancel();
  void sendCancel();
  void finish(const Answer &Result);
  void log(const Answer &Result, bool Final);
  Duration timeLeft() const;

  Entry &Owner_;
  Call Work_;
  HttpExchangePtr Exchange_;
  std::uint32_t MaxRuns_;
  boost::asio::steady_timer Timer_;
  boost::asio::steady_timer QueryTimer_;
  TimePoint Started_;
  TimePoint Deadline_;
  Duration Objective_;
  std::set<std::string> Tried_;    ///< ids of backend servers
  std::set<std::string> Reached_;  ///< those that the request arrived at, or may have
  std::set<std::string> Rejected_; ///< those of them that did not run it and may be tried again
  std::string Server_;             ///< id of the backend server of the present try
  HostId Host_;
  LinkId Link_ = 0;         ///< link that the call was sent over; 0 while it waits for one
  Incarnation HostRun_ = 0; ///< incarnation that is asked for the call; 0 if none is
  std::uint32_t Queries_ = 0;
  std::uint32_t Try_ = 0;
  std::uint32_t Arrivals_ = 0; ///< tries that reached a backend server, or may have
  TimePoint TryStarted_;
  bool TryRuns_ = false;
  bool Done_ = false;
  bool CallerGone_ = false;
  std::optional<Refusal> MayHaveRun_; ///< end of an earlier try that may have run
  std::optional<Answer> LastError_;   ///< error answer of a backend server in an earlier try
};

} // namespace bronzestand::node

#endif
