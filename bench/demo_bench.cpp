// Demonstration of the whole path: one of the reference deployments, scaled down, with stand-ins
// for backend servers and platform; ends with the outcomes by class and by team.
#include <iostream>
#include <thread>

#include <catch2/catch.hpp>

#include "replay.h"

using namespace bronzestand::bench;

namespace {

void runDemo(const Deployment &Scaled) {
  std::cout << "deployment " << Scaled.Name_ << ": " << Scaled.Hosts_.size()
            << " nodes, 12 s of steady load with a surge of 4 times from second 4 to 8\n";
  const auto Hosts = startDeployment(Scaled, "");
  // Lets the fleet share out the team limits before the first request.
  std::this_thread::sleep_for(std::chrono::seconds(2));
  TraceShape Shape = Scaled.Shape_;
  Shape.SurgeFactor_ = 4.0;
  const ReplayResult Result = replay(*Hosts, generateTrace(Shape, 1));
  std::cout << formatTable(Result) << "\n";
  CHECK(Result.ByTeam_.size() == Shape.Teams_.size());
}

} // namespace

TEST_CASE("demo_wijesinghe") { runDemo(wijesinghe()); }
TEST_CASE("demo_imbaraga") { runDemo(imbaraga()); }
