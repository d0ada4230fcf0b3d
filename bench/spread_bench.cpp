#include <chrono>
#include <cstdio>

#include "../tests/unit/spread_simulation.h"
#include "bronzestand/membership.h"

using namespace bronzestand;
using namespace bronzestand::testing;

namespace {

/// Estimated bytes of a CBOR field name with its header, of a number, and of the frame's envelope.
constexpr std::uint64_t FieldBytes = 8;
constexpr std::uint64_t NumberBytes = 9;
constexpr std::uint64_t EnvelopeBytes = 110;

std::uint64_t bytesOf(const std::vector<DocumentVersion> &Versions) {
  std::uint64_t Bytes = 0;
  for (const DocumentVersion &Version : Versions)
    Bytes += Version.Path_.size() + NumberBytes + 1 + 3 * FieldBytes;
  return Bytes;
}

std::uint64_t bytesOf(const std::vector<ReaderHeartbeat> &Stamps) {
  std::uint64_t Bytes = 0;
  for (const ReaderHeartbeat &Stamp : Stamps)
    Bytes += Stamp.Reader_.str().size() + 4 * NumberBytes + 5 * FieldBytes;
  return Bytes;
}

struct SizeVisitor {
  std::uint64_t operator()(const ConfigAnnounce &M) const {
    return bytesOf(M.Heartbeats_) + bytesOf(M.Versions_);
  }
  std::uint64_t operator()(const ConfigPull &M) const { return bytesOf(M.Wanted_); }
  std::uint64_t operator()(const ConfigDocuments &M) const {
    std::uint64_t Bytes = 0;
    for (const Document &Version : M.Documents_)
      Bytes += Version.Path_.size() + (Version.Text_ ? Version.Text_->size() : 0) + NumberBytes +
               3 * FieldBytes;
    return Bytes;
  }
  std::uint64_t operator()(const ConfigDigest &M) const {
    return bytesOf(M.Heartbeats_) + M.Nodes_.size() * (2 * FieldBytes + NumberBytes + 2) +
           NumberBytes + 6 * FieldBytes;
  }
  std::uint64_t operator()(const ConfigVersions &M) const {
    return M.Buckets_.size() * 2 + bytesOf(M.Versions_) + 4 * FieldBytes;
  }
};

struct Counter {
  explicit Counter(SpreadSimulation &World) : World_(World) {
    World_.OnMessage_ = [this](const ConfigMessage &Message) {
      Bytes_ += EnvelopeBytes + std::visit(SizeVisitor(), Message);
    };
  }
  void reset() { Bytes_ = World_.Messages_ = World_.Reads_ = 0; }
  SpreadSimulation &World_;
  std::uint64_t Bytes_ = 0;
};

std::string document() { return "{rate: 1, burst: 1}" + std::string(1000, ' '); }

double untilConverged(SpreadSimulation &World) {
  const TimePoint Start = World.Net_.now();
  while (!World.converged() && World.Net_.now() - Start < 30s)
    World.run(5ms);
  return std::chrono::duration<double, std::milli>(World.Net_.now() - Start).count();
}

void measureCost(std::size_t DataCentres, std::size_t PerDataCentre) {
  SpreadSimulation World(7, DataCentres, PerDataCentre);
  const double Nodes = static_cast<double>(DataCentres * PerDataCentre);
  World.publish("teams/a", document());
  World.run(10s);
  Counter Count(World);
  Count.reset();
  constexpr double IdleSeconds = 20.0;
  World.run(20s);
  const double Messages = static_cast<double>(World.Messages_) / IdleSeconds / Nodes;
  const double Bytes = static_cast<double>(Count.Bytes_) / IdleSeconds / Nodes;
  const double Reads = static_cast<double>(World.Reads_) / IdleSeconds;
  Count.reset();
  constexpr int Changes = 20;
  std::vector<double> Times;
  for (int Change = 0; Change < Changes; ++Change) {
    World.publish("teams/a", document());
    const TimePoint Start = World.Net_.now();
    Times.push_back(untilConverged(World));
    World.run(1s - (World.Net_.now() - Start));
  }
  std::sort(Times.begin(), Times.end());
  // A change is published each second, so the idle cost of one second is subtracted.
  const double PerChange = static_cast<double>(World.Messages_) / Changes / Nodes - Messages;
  const double BytesPerChange = static_cast<double>(Count.Bytes_) / Changes / Nodes - Bytes;
  const double ReadsPerChange = static_cast<double>(World.Reads_) / Changes;
  std::printf(
      "%zu data centres x %zu nodes: idle %.2f messages/s %.0f B/s a node, %.2f reads/s in "
      "all; per change %.2f messages %.0f B a node, %.2f reads; converged median %.0f ms max "
      "%.0f ms\n",
      DataCentres, PerDataCentre, Messages, Bytes, Reads, PerChange, BytesPerChange, ReadsPerChange,
      Times[Times.size() / 2], Times.back());
}

void measureTakeOver(std::size_t PerDataCentre, double Loss, std::uint64_t Seeds) {
  std::vector<double> Times;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    SpreadSimulation World(Seed, 1, PerDataCentre);
    World.Net_.Loss_ = Loss;
    World.run(5s);
    for (std::size_t Node = 0; Node < World.Nodes_.size(); ++Node)
      if (World.Nodes_[Node].Spread_->isReader())
        World.stop(Node);
    World.publish("teams/a", document());
    Times.push_back(untilConverged(World));
  }
  std::sort(Times.begin(), Times.end());
  std::printf("readers killed, 1 x %zu nodes, loss %.0f %%, %zu runs: converged median %.0f ms max "
              "%.0f ms\n",
              PerDataCentre, Loss * 100, Times.size(), Times[Times.size() / 2], Times.back());
}

/// Time of one changed list in a fleet of 22,000 hosts.
void measureMembership() {
  const TimePoint Start(1000s);
  Membership Hosts(Start, {HostId("self"), 1});
  std::vector<HostListSpec> Lists;
  for (std::size_t Centre = 0; Centre < 25; ++Centre)
    for (std::size_t Service = 0; Service < 64; ++Service) {
      HostListSpec List;
      List.DataCentre_ = SpreadSimulation::dataCentreName(Centre);
      List.Service_ = ServiceId(fmt::format("service-{}-{}", Centre, Service));
      for (std::size_t Index = 0; Index < 14; ++Index) {
        HostSpec Host;
        Host.Id_ = HostId(fmt::format("host-{}-{}-{}", Centre, Service, Index));
        Host.DataCentre_ = List.DataCentre_;
        Host.Service_ = List.Service_;
        List.Hosts_.push_back(Host);
      }
      Lists.push_back(List);
    }
  using WallClock = std::chrono::steady_clock;
  const auto Begin = WallClock::now();
  for (const HostListSpec &List : Lists)
    Hosts.setList(Start, List);
  const auto Loaded = WallClock::now();
  for (HostListSpec &List : Lists) {
    List.Hosts_.front().Leaving_ = true;
    Hosts.setList(Start, List);
  }
  const auto Changed = WallClock::now();
  const auto Microseconds = [](auto Time) {
    return std::chrono::duration<double, std::micro>(Time).count();
  };
  std::printf("membership of %zu hosts: load %.0f us, one changed list %.1f us\n", Hosts.listed(),
              Microseconds(Loaded - Begin),
              Microseconds(Changed - Loaded) / static_cast<double>(Lists.size()));
}

} // namespace

int main() {
  for (const std::size_t Nodes : {8, 32, 128, 880})
    measureCost(1, Nodes);
  measureCost(4, 32);
  for (const std::size_t Nodes : {8, 32, 128})
    measureTakeOver(Nodes, 0.0, 50);
  measureTakeOver(32, 0.2, 50);
  measureMembership();
  return 0;
}
