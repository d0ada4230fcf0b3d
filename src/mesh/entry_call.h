#ifndef BRONZESTAND_MESH_ENTRY_CALL_H
#define BRONZESTAND_MESH_ENTRY_CALL_H

#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "mesh/entry.h"

namespace bronzestand::node {

/// One request of a caller from admission to answer, with all of its attempts. Design section 7.
class EntryCall final
    : public boost::intrusive_ref_counter<EntryCall, boost::thread_unsafe_counter> {
public:
  /// \param MaxRuns number of backend servers that the request may reach, at least 1.
  /// \param Place of the request among those that are admitted.
  /// \param Key by which the caller was identified, if the call has a team.
  EntryCall(Entry &Owner, Call Outgoing, std::string Key, HttpExchangePtr Exchange,
            std::uint32_t MaxRuns, const ReturnOrder::Place &Place);

  void start();
  void onAnswer(const Answer &Result);
  /// Handles the loss of a link to a host. If this call was sent there, asks the host for its
  /// result over a new link.
  void onLinkDown(const HostId &Host);
  /// Ends the call at once because the node is stopping.
  void abort();
  const HostId &host() const { return Host_; }
  TimePoint sentAt() const { return AttemptStarted_; }

private:
  using Ptr = boost::intrusive_ptr<EntryCall>;

  void startAttempt();
  /// Returns the servers that the call may use now, those already tried included.
  ServerScope scope() const;
  const BackendServer *chooseServer(TimePoint Now) const;
  /// Returns why no server could be chosen.
  Refusal reasonWithoutServer() const;
  /// Returns why the server of the current attempt may no longer be used, if it may not.
  std::optional<Refusal> placementRefusal() const;
  /// Returns whether the configuration in force still has the key of the request. Cost: one hash if
  /// the configuration has changed since the request was admitted.
  bool isAuthorized() const;
  void sendRemote();
  void onSent(std::uint32_t Attempt, LinkId Link);
  void query();
  void onAttemptEnd(const Answer &Result);
  /// Starts another attempt after one that ended with this result.
  void retry(const Answer &Result);
  bool mayRetry(const Answer &Result);
  void endAttempt(const Answer &Result);
  void onTimeout();
  void cancel();
  void sendCancel();
  /// Returns whether the current attempt has certainly not been sent to a server. If it is ended at
  /// once, it never will be.
  bool isUnsent() const;
  void finish(const Answer &Result);
  void log(const Answer &Result, bool Final);
  Duration timeLeft() const;

  Entry &Owner_;
  Call Call_;
  std::string Key_;
  std::uint64_t ConfigVersion_; ///< by which the request was admitted
  HttpExchangePtr Exchange_;
  std::uint32_t MaxRuns_;
  ReturnOrder::Place Place_;
  boost::asio::steady_timer Timer_;
  boost::asio::steady_timer QueryTimer_;
  TimePoint Started_;
  TimePoint Deadline_;
  Duration Objective_;
  std::set<std::string> TriedServers_;     ///< ids of the backend servers of all attempts
  std::set<std::string> ReachedServers_;   ///< servers that the request reached or may have reached
  std::set<std::string> RejectingServers_; ///< reached servers that did not run it; may be retried
  std::set<RegionId> RefusedRegions_;      ///< regions whose nodes do not allow the request
  std::string Server_;                     ///< id of the backend server of the current attempt
  DataCentreId DataCentre_;                ///< of that server
  std::set<DataCentreId> ClosedCentres_;   ///< whose nodes refused the call as evacuated
  HostId Host_;
  RegionId Region_;                    ///< of that server
  LinkId Link_ = 0;                    ///< link over which the call was sent; 0 until it is sent
  Incarnation QueriedIncarnation_ = 0; ///< incarnation of the host that is queried; 0 if none
  std::uint32_t Queries_ = 0;
  std::uint32_t Attempt_ = 0;
  std::uint32_t Diverted_ = 0; ///< attempts that were refused because of an evacuation
  std::uint32_t Crashes_ = 0;  ///< attempts at whose end the backend server crashed
  std::uint32_t Arrivals_ = 0; ///< attempts that reached or may have reached a backend server
  TimePoint AttemptStarted_;
  bool AttemptRunning_ = false;
  bool Done_ = false;
  bool CallerGone_ = false;
  std::optional<Refusal> MayHaveRun_; ///< result of an earlier attempt that may have run
  std::optional<Answer> LastError_;   ///< error response of a backend server in an earlier attempt
};

} // namespace bronzestand::node

#endif
