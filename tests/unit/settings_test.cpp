#include "node/settings.h"

#include <catch2/catch.hpp>

using namespace bronzestand;
using namespace bronzestand::node;

namespace {

std::string meshSettings(const std::string &MeshFields) {
  return "host_id: 10.0.0.1\ndata_centre: colombo\nregion: western\nservice: bookings\n"
         "caller_listen: 10.0.0.1:1\negress_listen: 10.0.0.1:2\npeer_listen: 10.0.0.1:3\n"
         "operator_listen: 10.0.0.1:4\nbackend_server: 10.0.0.1:5\n"
         "mesh:\n  store: 10.0.0.9:6\n  regions: {colombo: western}\n" +
         MeshFields;
}

} // namespace

// Guards against metrics that are served at a wrong address, or not at all although the operator
// set an address.
TEST_CASE("settings_mesh_metrics_address_is_optional") {
  const auto Without = parseSettings("node.yaml", meshSettings(""));
  CHECK(Without.Errors_.empty());
  REQUIRE(Without.Settings_.Mesh_);
  CHECK_FALSE(Without.Settings_.Mesh_->MetricsListen_);
  const auto With =
      parseSettings("node.yaml", meshSettings("  metrics_listen: \"10.0.0.1:9464\"\n"));
  CHECK(With.Errors_.empty());
  REQUIRE(With.Settings_.Mesh_->MetricsListen_);
  CHECK(With.Settings_.Mesh_->MetricsListen_->str() == "10.0.0.1:9464");
}

// Guards against a process whose bounds ignore the memory that it has.
TEST_CASE("settings_memory_is_optional_and_bounded") {
  constexpr std::size_t Mebibyte = 1024UL * 1024;
  CHECK(parseSettings("node.yaml", meshSettings("")).Settings_.MemoryBytes_ == 256 * Mebibyte);
  const auto With = parseSettings("node.yaml", "memory_mb: 160\n" + meshSettings(""));
  CHECK(With.Errors_.empty());
  CHECK(With.Settings_.MemoryBytes_ == 160 * Mebibyte);
  const auto Bad = parseSettings("node.yaml", "memory_mb: 1\n" + meshSettings(""));
  REQUIRE(Bad.Errors_.size() == 1);
  CHECK(Bad.Errors_.front().Path_.find("memory_mb") != std::string::npos);
}

// Guards against a node that starts without metrics because their address is invalid.
TEST_CASE("settings_mesh_invalid_metrics_address_reports_the_field") {
  const auto Bad = parseSettings("node.yaml", meshSettings("  metrics_listen: here\n"));
  REQUIRE(Bad.Errors_.size() == 1);
  CHECK(Bad.Errors_.front().Path_.find("metrics_listen") != std::string::npos);
}
