#ifndef BRONZESTAND_TESTS_SPREAD_SIMULATION_H
#define BRONZESTAND_TESTS_SPREAD_SIMULATION_H

#include <map>
#include <memory>
#include <stdexcept>

#include <fmt/format.h>

#include "bronzestand/config_spread.h"
#include "virtual_network.h"

namespace bronzestand::testing {

using namespace std::chrono_literals;

/// Simulates nodes in several data centres and a platform that keeps every published version.
struct SpreadSimulation {
  struct Node {
    HostId Id_;
    std::size_t DataCentre_ = 0;
    std::unique_ptr<ConfigSpread> Spread_; ///< null while the node is down
    std::uint64_t Run_ = 0;
    TimePoint PausedUntil_;
    std::map<std::string, Revision> InForce_;
  };

  SpreadSimulation(std::uint64_t Seed, std::size_t DataCentres, std::size_t HostsPerDataCentre)
      : Net_(Seed), Partitioned_(DataCentres, false), PlatformDown_(DataCentres, false) {
    for (std::size_t DataCentre = 0; DataCentre < DataCentres; ++DataCentre)
      for (std::size_t Index = 0; Index < HostsPerDataCentre; ++Index) {
        Node Value;
        Value.Id_ = HostId(fmt::format("host-{}-{}", DataCentre, Index));
        Value.DataCentre_ = DataCentre;
        HostLists_.resize(DataCentres);
        HostLists_[DataCentre].push_back(Value.Id_);
        IndexOf_[Value.Id_] = Nodes_.size();
        Nodes_.push_back(std::move(Value));
      }
    for (std::size_t Index = 0; Index < Nodes_.size(); ++Index) {
      start(Index);
      Net_.schedule(Net_.now() + Duration(Net_.randomBelow(100'000)),
                    [this, Index] { tick(Index); });
    }
  }

  static DataCentreId dataCentreName(std::size_t DataCentre) {
    return DataCentreId(fmt::format("centre-{}", DataCentre));
  }
  /// Each region consists of two data centres.
  static RegionId regionName(std::size_t DataCentre) {
    return RegionId(fmt::format("region-{}", DataCentre / 2));
  }

  void start(std::size_t Index) {
    Node &Value = Nodes_[Index];
    ConfigSpreadSettings Settings{Value.Id_, dataCentreName(Value.DataCentre_),
                                  regionName(Value.DataCentre_), ++Value.Run_,
                                  [this] { return Net_.random()(); }};
    Value.Spread_ = std::make_unique<ConfigSpread>(Net_.now(), Settings);
    Value.InForce_.clear();
    for (std::size_t DataCentre = 0; DataCentre < HostLists_.size(); ++DataCentre)
      Value.Spread_->setHosts(dataCentreName(DataCentre), regionName(DataCentre),
                              HostLists_[DataCentre]);
  }
  void stop(std::size_t Index) { Nodes_[Index].Spread_.reset(); }

  void tick(std::size_t Index) {
    Node &Value = Nodes_[Index];
    if (Value.Spread_ && Value.PausedUntil_ <= Net_.now())
      apply(Index, Value.Spread_->tick(Net_.now()));
    Net_.schedule(Net_.now() + 100ms, [this, Index] { tick(Index); });
  }

  /// Publishes a version; without a text, the document is removed.
  Revision publish(const std::string &Path, std::optional<std::string> Text) {
    History_.push_back({Path, ++Revision_, std::move(Text)});
    Newest_[Path] = Revision_;
    const std::vector<std::function<void()>> Pending = std::move(Watches_);
    Watches_.clear();
    for (const auto &Answer : Pending)
      Answer();
    return Revision_;
  }

  void run(Duration Time) { Net_.runUntil(Net_.now() + Time); }

  /// Returns whether all running nodes have the newest version of every document.
  bool converged() const {
    const ConfigSpread *First = nullptr;
    for (const Node &Value : Nodes_) {
      if (!Value.Spread_)
        continue;
      if (First == nullptr)
        First = Value.Spread_.get();
      if (Value.Spread_->store().digest(0, 0) != First->store().digest(0, 0))
        return false;
    }
    for (const DocumentState &State : First->store().states())
      if (std::max(State.Accepted_, State.Refused_) != Newest_.at(State.Path_))
        return false;
    return First->store().size() == Newest_.size();
  }

  VirtualNetwork Net_;
  std::vector<Node> Nodes_;
  std::vector<std::vector<HostId>> HostLists_;
  std::vector<bool> Partitioned_;  ///< by data centre: no connection to the others
  std::vector<bool> PlatformDown_; ///< by data centre: the platform is unreachable
  Revision Lag_ = 0;               ///< maximum lag of a platform replica, in revisions
  std::uint64_t Messages_ = 0;
  std::uint64_t Reads_ = 0;
  std::uint64_t RevisionRollbacks_ = 0; ///< accepted versions not newer than the previous one
  std::uint64_t LargestReply_ = 0;      ///< bytes of document text
  std::function<void(const ConfigMessage &)> OnMessage_ = [](const ConfigMessage &) {};

private:
  struct EffectVisitor {
    SpreadSimulation &World_;
    std::size_t Index_;
    void operator()(const SendConfig &Effect) const { World_.send(Index_, Effect); }
    void operator()(const ReadPlatform &Effect) const { World_.read(Index_, Effect); }
    void operator()(const DocumentAccepted &Effect) const {
      Revision &Known = World_.Nodes_[Index_].InForce_[Effect.Path_];
      if (Effect.Revision_ <= Known)
        ++World_.RevisionRollbacks_;
      Known = Effect.Revision_;
    }
    template <typename Other> void operator()(const Other & /*Effect*/) const {}
  };

  void apply(std::size_t Index, const ConfigEffects &Effects) {
    for (const ConfigEffect &Effect : Effects)
      std::visit(EffectVisitor{*this, Index}, Effect);
  }

  void send(std::size_t From, const SendConfig &Effect) {
    const auto Found = IndexOf_.find(Effect.To_);
    if (Found == IndexOf_.end())
      return;
    const std::size_t To = Found->second;
    ++Messages_;
    OnMessage_(Effect.Message_);
    if (const auto *Reply = std::get_if<ConfigDocuments>(&Effect.Message_)) {
      std::uint64_t Bytes = 0;
      for (const Document &Version : Reply->Documents_)
        Bytes += Version.Text_ ? Version.Text_->size() : 0;
      LargestReply_ = std::max(LargestReply_, Bytes);
    }
    const std::size_t FromDataCentre = Nodes_[From].DataCentre_;
    const std::size_t ToDataCentre = Nodes_[To].DataCentre_;
    if (FromDataCentre != ToDataCentre &&
        (Partitioned_[FromDataCentre] || Partitioned_[ToDataCentre]))
      return;
    const Duration Latency = FromDataCentre == ToDataCentre           ? Duration(250)
                             : FromDataCentre / 2 == ToDataCentre / 2 ? Duration(1500)
                                                                      : Duration(10'000);
    Net_.deliver(Latency, [this, From, To, Message = Effect.Message_] {
      onNode(To, [this, From, Message](ConfigSpread &Spread) {
        return Spread.handle(Net_.now(), Nodes_[From].Id_, Message);
      });
    });
  }

  /// Runs an action on a node; if the node is paused, when the pause ends.
  void onNode(std::size_t Index, const std::function<ConfigEffects(ConfigSpread &)> &Action) {
    Node &Value = Nodes_[Index];
    if (!Value.Spread_)
      return;
    if (Value.PausedUntil_ > Net_.now())
      Net_.schedule(Value.PausedUntil_, [this, Index, Action] { onNode(Index, Action); });
    else
      apply(Index, Action(*Value.Spread_));
  }

  void read(std::size_t Index, const ReadPlatform &Effect) {
    ++Reads_;
    const auto Answered = std::make_shared<bool>(false);
    const std::uint64_t Run = Nodes_[Index].Run_;
    const auto Answer = [this, Index, Effect, Answered, Run] {
      if (*Answered)
        return;
      *Answered = true;
      const Revision Lag =
          Lag_ == 0 ? 0 : std::min<Revision>(Revision_, Net_.randomBelow(Lag_ + 1));
      PlatformReply Reply{Effect.Since_, Revision_ - Lag, {}};
      std::map<std::string, Document> Changed;
      for (auto Version = History_.rbegin();
           Version != History_.rend() && Version->Revision_ > Effect.Since_; ++Version)
        if (Version->Revision_ <= Reply.Revision_)
          Changed.emplace(Version->Path_, *Version);
      for (auto &[Path, Version] : Changed)
        Reply.Values_.push_back(std::move(Version));
      const bool Down = PlatformDown_[Nodes_[Index].DataCentre_];
      Net_.schedule(Net_.now() + 2ms, [this, Index, Reply, Down, Run] {
        if (Nodes_[Index].Run_ != Run)
          return;
        onNode(Index, [this, Reply, Down](ConfigSpread &Spread) {
          if (!Down)
            return Spread.handlePlatformReply(Net_.now(), Reply);
          Spread.handlePlatformFailure(Net_.now());
          return ConfigEffects();
        });
      });
    };
    if (Effect.Since_ < Revision_ || PlatformDown_[Nodes_[Index].DataCentre_]) {
      Answer();
      return;
    }
    Watches_.push_back(Answer);
    Net_.schedule(Net_.now() + Effect.Wait_, Answer);
  }

  std::map<HostId, std::size_t> IndexOf_;
  std::vector<Document> History_;
  std::map<std::string, Revision> Newest_;
  Revision Revision_ = 0;
  std::vector<std::function<void()>> Watches_;
};

} // namespace bronzestand::testing

#endif
