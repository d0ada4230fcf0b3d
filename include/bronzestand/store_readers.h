#ifndef BRONZESTAND_STORE_READERS_H
#define BRONZESTAND_STORE_READERS_H

#include <array>
#include <map>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "bronzestand/types.h"

namespace bronzestand {

/// How a node reads the platform's store at present.
enum class ReadDuty : std::uint8_t {
  None,   ///< it follows readers
  Cover,  ///< it follows, but no reader whose store responds has been heard
  Second, ///< it is a reader beside one that reads more often
  First,  ///< it is the reader whose responses show that the store works
  Every,  ///< every node of its data centre reads
};

/// Returns the name that logs and the state dump use.
std::string_view readDutyName(ReadDuty Value);

/// What a reader says of its own access to the store.
enum class ReaderState : std::uint8_t {
  Current,  ///< the store responds to it
  Lost,     ///< its last request to the store failed
  Stopping, ///< its process ends
};

/// Asks a reader for notices for some seconds.
struct ReaderFollow {
  std::uint8_t Sequence_ = 0; ///< below StoreReaders::SequenceCount
};

/// Tells a follower that a reader is current.
struct ReaderNotice {
  ReaderState State_ = ReaderState::Current;
  StorePosition Known_;    ///< last change of configuration, servers or evacuations
  Revision Checked_ = 0;   ///< the reader has all changes up to it, in the era of Known_
  Duration ResponseAge_{}; ///< time since the store last responded to the reader
  std::uint8_t Echo_ = 0;  ///< sequence of the last ReaderFollow that the reader received
  bool Trusted_ = true;    ///< a server that is missing from the store's list has been removed
};

/// A message of StoreReaders to another node.
struct ReaderMessage {
  HostId To_;
  std::variant<ReaderFollow, ReaderNotice> Body_;
};

/// What a node has from the store, as it tells followers.
struct ReaderKnowledge {
  StorePosition Known_;  ///< as in ReaderNotice
  Revision Checked_ = 0; ///< as in ReaderNotice
  bool Trusted_ = true;  ///< as in ReaderNotice
};

/// Decides whether a node reads the platform's store or follows nodes of its data centre that do.
/// Load pattern: a store that bills or limits calls, and a fleet in which every node would have to
/// ask often enough to notice that the store no longer responds to it.
///
/// Hosts are ranked by a rendezvous hash. A node is a reader while fewer than two hosts above it
/// serve as readers, by what it hears itself, so that no agreement is needed. It follows the first
/// two hosts in rank that serve; a host that is followed reads. docs/design/store-readers.md.
class StoreReaders {
public:
  /// Sequences of ReaderFollow count from 0 to one less. A value below it takes one byte in CBOR.
  static constexpr std::uint8_t SequenceCount = 24;

  /// \param ApplyTime time within which a change must be in force.
  StoreReaders(HostId Self, Duration ApplyTime);

  /// Returns hosts of a data centre in the order in which they become readers.
  static std::vector<HostId> rank(const std::vector<HostId> &Hosts);
  /// Sets the hosts of the data centre that the server list names. This node need not be among
  /// them; it is then no reader. Cost: one hash per host and a sort, if the hosts differ.
  void setHosts(std::vector<HostId> Hosts);
  /// Stops being a reader, because the process ends.
  void stop();

  /// Records that the store responded to this node.
  void noteResponse(TimePoint Now);
  /// Records that a request of this node to the store failed.
  void noteLost();
  void handle(TimePoint Now, const HostId &From, const ReaderFollow &Message);
  /// \param Own position up to which this node has all changes.
  /// \return when the store last responded to the sender, if the sender serves as a reader.
  std::optional<TimePoint> handle(TimePoint Now, const HostId &From, const ReaderNotice &Message,
                                  StorePosition Own);
  /// Records that no link to a host can be opened.
  void noteUnreachable(TimePoint Now, const HostId &Host);
  /// Records that the last link to a host was lost; it is asked again at once.
  void noteLinkLost(TimePoint Now, const HostId &Host);
  /// Returns the messages that are due.
  std::vector<ReaderMessage> tick(TimePoint Now, const ReaderKnowledge &Own);

  /// Cost: linear in the hosts above this node that do not serve.
  ReadDuty duty(TimePoint Now) const;
  /// Returns whether the data centre is so large that its nodes follow readers.
  bool isShared() const;
  /// Returns a reader that shows that this node has all changes; empty if none does.
  HostId followed(TimePoint Now) const;
  /// Returns whether a host serves as a reader for this node.
  bool isServing(TimePoint Now, const HostId &Host) const;
  /// Returns the hosts that follow this node.
  std::vector<HostId> followers() const;
  /// Returns how often this node became a reader because others no longer served.
  std::uint64_t takeovers() const { return Takeovers_; }

private:
  /// What this node knows of another host as a reader.
  struct View {
    TimePoint AskedAt_{};    ///< time of the last ReaderFollow
    TimePoint TriedUntil_{}; ///< a first response is awaited until then
    TimePoint HeardAt_{};
    TimePoint ServingUntil_{}; ///< the host serves as a reader until then if it is not heard again
    TimePoint FreshUntil_{};   ///< until then it also shows that this node has all changes
    TimePoint EchoAt_{};       ///< sending time of the last ReaderFollow that it has received
    std::optional<TimePoint> LagSince_; ///< it has lacked changes that this node has
    std::uint8_t Sequence_ = 0;         ///< of the last ReaderFollow
    std::array<TimePoint, SequenceCount> SentAt_{};
  };
  struct Follower {
    TimePoint AskedAt_;
    std::uint8_t Echo_ = 0;
    bool Notified_ = false;
  };

  /// Returns whether a host serves, or may serve and has not been tried for long.
  bool isHopeful(TimePoint Now, const HostId &Host) const;
  static bool isHopeful(TimePoint Now, const View &Item);
  /// Returns the number of hosts above this one that serve or may serve, up to two.
  std::size_t hopefulAbove(TimePoint Now) const;
  bool hasFreshReader(TimePoint Now) const;
  std::optional<ReaderNotice> makeNotice(TimePoint Now, const ReaderKnowledge &Own) const;
  void addFollows(TimePoint Now, std::vector<ReaderMessage> &Out);
  void addNotices(TimePoint Now, const ReaderKnowledge &Own, std::vector<ReaderMessage> &Out);

  HostId Self_;
  Duration ApplyTime_;
  std::vector<HostId> Hosts_;  ///< sorted
  std::vector<HostId> Ranked_; ///< the same, the first in rank first
  bool Listed_ = false;        ///< this node is among the hosts
  bool Stopping_ = false;
  bool Lost_ = false;                     ///< the last request to the store failed
  std::optional<TimePoint> RespondedAt_;  ///< when the store last responded to this node
  std::optional<TimePoint> FirstHeardAt_; ///< when a reader was heard first
  std::optional<TimePoint> StartedAt_;    ///< when the store first responded to this node
  std::map<HostId, View> Views_;
  std::map<HostId, Follower> Followers_;
  bool NoticeDue_ = false;
  TimePoint NoticedAt_{};
  ReadDuty LastDuty_ = ReadDuty::Every;
  std::uint64_t Takeovers_ = 0;
};

} // namespace bronzestand

#endif
