#ifndef BRONZESTAND_NODE_ADMISSION_PART_H
#define BRONZESTAND_NODE_ADMISSION_PART_H

#include <optional>
#include <string>
#include <vector>

#include "bronzestand/admission.h"
#include "bronzestand/config.h"
#include "node/part.h"
#include "node/settings.h"

namespace bronzestand::node {

/// Name of a route in tables kept by route.
std::string routeName(const RouteSpec &Route);

/// Standing of requests, admission levels of other hosts, and the check at the entry (design
/// section 9).
class AdmissionPart final : public Part {
public:
  explicit AdmissionPart(const Settings &Config);

  /// Decides on a request of a caller: its standing, or nothing if it is refused as Overloaded.
  /// \param Spread any hash of the request.
  std::optional<Standing> admit(const std::string &Route, const TeamId &Team,
                                std::uint8_t ClassRank, std::uint64_t Spread);
  /// Takes the levels of an answer.
  /// \param Route route that the check or an answer of this host will name: the request's own at
  ///        the entry, the parent call's for a child call.
  void note(const HostId &From, const std::string &Route, const std::vector<ServiceLevel> &Levels);
  /// Levels for an answer of this host.
  /// \param Own threshold of this host's dispatcher.
  std::vector<ServiceLevel> levels(const std::string &Route, std::uint16_t Own) const;

  std::string_view name() const override { return "admission"; }
  absl::Status start() override { return absl::OkStatus(); }
  void stop() override {}
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override;

private:
  const Settings &Config_;
  bool Enabled_;
  bool Fair_;
  StandingSource Standings_;
  LevelTable Levels_;
  TimePoint LastTick_;
  std::uint64_t Admitted_ = 0;
  std::uint64_t Refused_ = 0;
};

} // namespace bronzestand::node

#endif
