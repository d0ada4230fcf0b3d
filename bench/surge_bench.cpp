// Overload control over real processes: surges, a deep service that slows down and one team far
// above its rate, with and without the mechanisms. Choose a deployment by name and a run by
// sections: surge_bench wijesinghe -c surge -c on. Writes CSV and SVG files into bench_out/.
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "replay.h"
#include "surge_reference.h"

using namespace bronzestand;
using namespace bronzestand::bench;
using std::chrono::milliseconds;

namespace {

struct Variant {
  std::string Name_;
  std::string Disabled_;
};

const std::vector<Variant> Variants{
    {"on", ""},
    {"off", "dispatcher, fairness, admission, attempts"},
    {"no dispatcher", "dispatcher"},
    {"no fairness", "fairness"},
    {"no admission", "admission"},
    {"no attempts", "attempts"},
};

struct Trigger {
  std::string Name_;
  double SurgeFactor_;
  double GreedyFactor_;
  bool DeepSlower_;
  bool EachOff_; ///< also run with each mechanism off
};

const std::vector<Trigger> Triggers{
    {"surge", 4.0, 4.0, false, false},
    {"slow", 4.0, 4.0, true, true},
    // 5 times its rate alone fits into the capacity, so all teams send a little more.
    {"team", 1.3, 6.5, false, false},
};

constexpr double SlowDown = 5.0;
constexpr unsigned HardRetries = 8;

std::uint64_t backendRuns(test::Fleet &Hosts) {
  std::uint64_t Sum = 0;
  for (const test::HostOptions &Host : Hosts.hosts())
    Sum += Hosts.backendStats(Host.Id_).value("received", std::uint64_t(0));
  return Sum;
}

void setDeepServiceTime(test::Fleet &Hosts, const std::string &Service, double Factor) {
  for (const test::HostOptions &Host : Hosts.hosts())
    if (Host.Service_ == Service)
      Hosts.backendStats(Host.Id_,
                         fmt::format("service_us={:.0f}", std::stod(Host.ServiceTimeUs_) * Factor));
}

void writeFiles(const std::string &Name, const ReplayResult &Result, const TraceShape &Shape) {
  std::filesystem::create_directories("bench_out");
  std::ofstream Csv("bench_out/" + Name + ".csv");
  Csv << "seconds,sent,served\n";
  std::string Sent;
  std::string Served;
  double Top = 1.0;
  for (const std::uint64_t Count : Result.SentByBin_)
    Top = std::max(Top, static_cast<double>(Count));
  for (std::size_t Bin = 0; Bin < Result.SentByBin_.size(); ++Bin) {
    const std::uint64_t Good = Bin < Result.ServedByBin_.size() ? Result.ServedByBin_[Bin] : 0;
    const double X = 40.0 + 12.0 * static_cast<double>(Bin);
    Csv << fmt::format("{:.2f},{},{}\n", 0.25 * static_cast<double>(Bin), Result.SentByBin_[Bin],
                       Good);
    Sent += fmt::format("{:.0f},{:.0f} ", X,
                        210.0 - 180.0 * static_cast<double>(Result.SentByBin_[Bin]) / Top);
    Served += fmt::format("{:.0f},{:.0f} ", X, 210.0 - 180.0 * static_cast<double>(Good) / Top);
  }
  std::ofstream("bench_out/" + Name + ".svg") << fmt::format(
      "<svg xmlns='http://www.w3.org/2000/svg' width='660' height='240' "
      "font-family='sans-serif' font-size='11'>"
      "<text x='40' y='18'>{}: requests (grey) and goodput (blue), top {:.0f}/s, "
      "trigger from {} to {} ms</text>"
      "<polyline fill='none' stroke='#999' points='{}'/>"
      "<polyline fill='none' stroke='#03c' stroke-width='2' points='{}'/>"
      "<line x1='40' y1='210' x2='640' y2='210' stroke='#000'/></svg>\n",
      Name, Top * 4.0, Shape.SurgeStart_.count(), Shape.SurgeEnd_.count(), Sent, Served);
}

void run(const Deployment &Scaled, const std::string &Deep, const Trigger &Cause,
         const Variant &Control) {
  TraceShape Shape = Scaled.Shape_;
  Shape.SurgeFactor_ = Cause.SurgeFactor_;
  Shape.GreedyTeam_ = Shape.Teams_.front().Team_;
  Shape.GreedyFactor_ = Cause.GreedyFactor_;
  Shape.Retries_ = HardRetries;
  const std::vector<TraceRequest> Trace = generateTrace(Shape, 1);
  // Team limits would refuse most of the surge before overload control sees it.
  const auto Hosts = startDeployment(
      Scaled, Control.Disabled_.empty() ? "team_limits" : "team_limits, " + Control.Disabled_);
  std::map<milliseconds, std::function<void()>> During;
  if (Cause.DeepSlower_) {
    During[Shape.SurgeStart_] = [&] { setDeepServiceTime(*Hosts, Deep, SlowDown); };
    During[Shape.SurgeEnd_] = [&] { setDeepServiceTime(*Hosts, Deep, 1.0); };
  }
  const std::uint64_t RunsBefore = backendRuns(*Hosts);
  const ReplayResult Result = replay(*Hosts, Trace, During);
  const std::uint64_t Runs = backendRuns(*Hosts) - RunsBefore;

  const SurgeReference Reference(Scaled, Trace, Shape,
                                 Cause.DeepSlower_ ? std::map<std::string, double>{{Deep, SlowDown}}
                                                   : std::map<std::string, double>{});
  std::uint64_t Served = 0;
  std::uint64_t Requests = 0;
  std::uint64_t Tries = 0;
  for (const auto &[Name, Row] : Result.ByClass_) {
    Served += Row.Served_;
    Requests += Row.Requests_;
    Tries += Row.Tries_;
  }
  const std::string Name = fmt::format("{}_{}_{}", Scaled.Name_, Cause.Name_, Control.Name_);
  std::cout << "== " << Name << "\n" << Reference.table(Result) << formatTable(Result);
  std::cout << fmt::format(
      "summary,{},{},{},goodput %,{:.1f},recovery ms,{},worst team %,{:.1f},tries,{:.2f},"
      "backend runs per served request,{:.2f}\n\n",
      Scaled.Name_, Cause.Name_, Control.Name_, 100.0 * Reference.goodputShare(Result),
      Reference.recoveryTime(Result).count(), 100.0 * Reference.worstTeamShare(Result),
      static_cast<double>(Tries) / static_cast<double>(Requests),
      static_cast<double>(Runs) / static_cast<double>(std::max<std::uint64_t>(Served, 1)));
  writeFiles(Name, Result, Shape);
  CHECK(Requests == Trace.size());
}

/// Gives each host 10 slots, the smallest number of the reference deployments. The learned limit
/// starts at 10 and needs thousands of calls to fall: with 1 or 2 slots, a run would measure its
/// start only. The deep service keeps times that fit into the deadlines when it slows down.
Deployment withTenSlots(Deployment Scaled, const std::string &Deep) {
  for (test::HostOptions &Host : Scaled.Hosts_) {
    const double Factor = Host.Service_ == Deep ? 2.5 : 10.0 / std::stod(Host.Slots_);
    Host.Slots_ = "10";
    Host.ServiceTimeUs_ = fmt::format("{:.0f}", Factor * std::stod(Host.ServiceTimeUs_));
  }
  return Scaled;
}

void runAll(const Deployment &Scaled, const std::string &Deep) {
  for (const Trigger &Cause : Triggers)
    DYNAMIC_SECTION(Cause.Name_) {
      for (const Variant &Control : Variants)
        if (Cause.EachOff_ || Control.Name_ == "on" || Control.Name_ == "off")
          DYNAMIC_SECTION(Control.Name_) { run(Scaled, Deep, Cause, Control); }
    }
}

} // namespace

TEST_CASE("wijesinghe") { runAll(withTenSlots(wijesinghe(), "payments"), "payments"); }
TEST_CASE("imbaraga") { runAll(withTenSlots(imbaraga(), "batches"), "batches"); }
