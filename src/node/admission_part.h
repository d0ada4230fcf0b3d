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

/// Returns the name of a route that tables use as a key.
std::string routeName(const RouteSpec &Route);

/// Assigns priorities to requests, stores the admission levels that other hosts report, and checks
/// requests against them at the entry node (design section 9).
class AdmissionPart final : public Part {
public:
  explicit AdmissionPart(const Settings &Config);

  /// Decides on a request of a caller: returns its priority, or nothing if it is refused as
  /// Overloaded.
  /// \param Spread any hash of the request.
  std::optional<Standing> admit(const std::string &Route, const TeamId &Team,
                                std::uint8_t ClassRank, std::uint64_t Spread);
  /// Records the levels of an answer.
  /// \param Route route under which the levels are checked, or reported in this host's answers: the
  ///        request's own route at the entry node, the parent call's route for a child call.
  void note(const HostId &From, const std::string &Route, const std::vector<ServiceLevel> &Levels);
  /// Returns the levels to report in an answer of this host.
  /// \param Own admission threshold of this host's dispatcher.
  std::vector<ServiceLevel> levels(const std::string &Route, std::uint16_t Own) const;

  std::string_view name() const override { return "admission"; }
  absl::Status start() override { return absl::OkStatus(); }
  void stop() override {}
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override;

private:
  const Settings &Config_;
  bool Enabled_;
  bool FairnessEnabled_;
  StandingSource Priorities_;
  LevelTable Levels_;
  TimePoint LastTick_;
  std::uint64_t Admitted_ = 0;
  std::uint64_t Refused_ = 0;
};

} // namespace bronzestand::node

#endif
