#ifndef BRONZESTAND_SHARE_LOANS_H
#define BRONZESTAND_SHARE_LOANS_H

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "bronzestand/types.h"

namespace bronzestand {

/// Lends the shares of the nodes to brokers. Each node owns one share of the rates of all teams;
/// with N nodes, a share is 1/N. Teams are divided into shards. For each shard, a node lends its
/// share to one broker at a time, or uses it itself, so that the fractions of all brokers together
/// never exceed the whole, whatever nodes can't reach each other or see links fail.
///
/// A loan has a term on the clock of each side. The broker's term runs from a time that it told the
/// lender before, and the lender's from the arrival of that time, so that the broker's term ends
/// first, however long messages take. A lender offers its share again before the term ends. Design
/// section 6.
class ShareLoans {
public:
  using Shard = std::uint32_t;
  static constexpr Shard ShardCount = 4;

  /// From a lender to a broker.
  struct Offer {
    Shard Shard_ = 0;
    TimePoint SentAt_; ///< on the lender's clock; increases with each message
    /// The last time that the broker told this lender. None if the share is not lent with this
    /// message, which then only asks for the broker's time.
    std::optional<TimePoint> BrokerTime_;
    std::uint32_t Hosts_ = 0; ///< nodes of the fleet that the lender knows
    bool Recalled_ = false;   ///< asks the broker to end the loan
  };
  /// The broker's answer.
  struct Answer {
    Shard Shard_ = 0;
    TimePoint SentAt_;      ///< of the offer
    TimePoint BrokerTime_;  ///< on the broker's clock
    bool Recalled_ = false; ///< the offer was a recall
    bool Held_ = false;     ///< whether the broker holds the lender's share
    bool Leaving_ = false;  ///< the broker stops; the lender should choose another one
  };
  struct Outgoing {
    HostId To_;
    Offer Offer_;
  };

  /// \param Started start of this run of the process. What an earlier run lent is not known, so
  /// nothing is lent or used before these loans have ended.
  ShareLoans(HostId Self, TimePoint Started);

  /// Sets the nodes of the fleet, this one included. They are the candidates for brokers.
  void setHosts(std::vector<HostId> Hosts);
  /// Records that no link to a host could be opened. It is not chosen as a broker for a while.
  void unreachable(TimePoint Now, const HostId &Host);
  /// Records that a link to a host is open.
  void reachable(const HostId &Host);
  /// Ends all loans to this node, which stops. \return the lenders with an answer for each.
  std::vector<std::pair<HostId, Answer>> leave(TimePoint Now);

  /// Returns the offers to send now; to be called every 100 ms.
  std::vector<Outgoing> tick(TimePoint Now);
  /// Handles an offer as a broker.
  Answer offered(TimePoint Now, const HostId &From, const Offer &Value);
  /// Handles a broker's answer. \return offers to send now.
  std::vector<Outgoing> answered(TimePoint Now, const HostId &From, const Answer &Value);

  /// The node that this one takes to be the broker of a shard; empty if no hosts are set.
  const HostId &broker(Shard Item) const { return Lending_[Item].Broker_; }
  /// Advances a shard to Now, or to the end of a loan before that. \return whether a loan has ended
  /// at the time reached; the caller must call again then.
  bool advance(TimePoint Now, Shard Item);
  /// Time until a node that has just started may lend or use its shares; zero later.
  Duration startsIn(TimePoint Now) const;
  /// Fraction of the shares of a shard that this node holds, as of the last advance().
  double fraction(Shard Item) const { return std::min(1.0, Holding_[Item].Sum_); }
  /// Integral of the fraction over time in seconds, up to the last advance().
  double integral(Shard Item) const { return Holding_[Item].Integral_; }
  std::size_t lenders(Shard Item) const { return Holding_[Item].Loans_.size(); }
  std::size_t hosts() const { return Hosts_.size(); }
  std::size_t unreachableHosts() const { return Unreachable_.size(); }

private:
  /// Use of the own share of a shard.
  struct Lending {
    HostId Broker_;                       ///< gets the share and the requests for tokens
    std::optional<TimePoint> BrokerTime_; ///< last time that it told
    TimePoint BrokerTimeAt_{};            ///< arrival of that time, on the own clock
    HostId Holder_;                       ///< the share was last lent to this node
    TimePoint HeldUntil_{};               ///< end of that loan
    TimePoint LentFor_{};                 ///< the holder's time in the last offer of that loan
    std::optional<TimePoint> RecalledAt_; ///< first recall sent to the holder
    HostId Probed_;                       ///< a better broker that has not answered yet
    TimePoint OfferedAt_{};
    std::optional<TimePoint> UnansweredSince_; ///< first offer to the broker without an answer
    std::optional<TimePoint> ProbedSince_;
  };
  struct Loan {
    TimePoint End_;
    double Weight_ = 0.0;
  };
  /// Loans of other nodes, and the own share while it is not lent.
  struct Holding {
    std::map<HostId, Loan> Loans_;
    struct Recall {
      TimePoint SentAt_; ///< on the lender's clock
      TimePoint At_;     ///< on the own clock
    };
    std::map<HostId, Recall> Recalls_;
    double Sum_ = 0.0; ///< of the weights
    double Integral_ = 0.0;
    TimePoint Updated_{};
    TimePoint NextEnd_ = TimePoint::max(); ///< no loan ends before
  };

  void chooseBroker(TimePoint Now, Shard Item);
  static void setBroker(Lending &Own, const HostId &Broker);
  const HostId &bestCandidate(Shard Item) const;
  void expire(TimePoint Now);
  bool isOwn(TimePoint Now, const Lending &Own) const;
  bool mayLend(TimePoint Now, const Lending &Own) const;
  Offer makeOffer(TimePoint Now, Shard Item);
  void keepUnlentShare(TimePoint Now, Shard Item);
  void tickShard(TimePoint Now, Shard Item, std::vector<Outgoing> &Out);
  static void hold(Holding &Held, const HostId &From, const Loan &Value);
  static void drop(Holding &Held, const HostId &From);
  TimePoint nextStamp(TimePoint Now);

  HostId Self_;
  TimePoint Started_;
  TimePoint LastStamp_{};
  TimePoint TickedAt_{};
  bool Leaving_ = false;
  std::vector<HostId> Hosts_;
  std::map<HostId, TimePoint> Unreachable_;
  std::array<std::vector<HostId>, ShardCount> Ranking_; ///< best candidates for brokers first
  std::array<Lending, ShardCount> Lending_;
  std::array<Holding, ShardCount> Holding_;
};

} // namespace bronzestand

#endif
