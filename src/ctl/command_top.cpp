#include <charconv>
#include <chrono>
#include <ostream>
#include <thread>

#include <fmt/format.h>

#include "ctl/node_summary.h"

namespace bronzestand::ctl {

const char *const TopUsage =
    R"(Usage: bronzestandctl top [--json] [--count N] [--interval MS] NODE...

Shows nodes with the requests served and refused per second, again and again. NODE is the operator
address of a node, for example 127.0.0.1:7004.

Options:
  --count N      End after N views; 0 for no end [default: 0].
  --interval MS  Time between two views, 50 to 60000 [default: 1000].
  --json         Print each view as one line of JSON.

Exit codes: 0 ok, 2 wrong usage, 3 a node could not be read in the last view.
)";

namespace {

using Clock = std::chrono::steady_clock;

bool parseNumber(const std::string &Text, long Lowest, long Highest, long &Value) {
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value);
  return Result.ec == std::errc() && Result.ptr == End && Value >= Lowest && Value <= Highest;
}

double rateOf(std::uint64_t Now, std::uint64_t Before, double Seconds) {
  // A smaller count belongs to a restarted node.
  return Seconds <= 0.0 || Now < Before ? 0.0 : static_cast<double>(Now - Before) / Seconds;
}

struct View {
  std::vector<NodeSummary> Nodes_;
  Clock::time_point Time_;
};

void printView(const View &Now, const View &Before, bool Json, std::ostream &Out) {
  const double Seconds = std::chrono::duration<double>(Now.Time_ - Before.Time_).count();
  nlohmann::json Lines = nlohmann::json::array();
  std::vector<std::vector<std::string>> Rows{
      {"HOST", "STATE", "VERSION", "IN FLIGHT", "SERVED/S", "REFUSED/S", "SHED", "SHARE"}};
  for (std::size_t Index = 0; Index < Now.Nodes_.size(); ++Index) {
    const NodeSummary &Item = Now.Nodes_[Index];
    const NodeSummary &Old = Before.Nodes_[Index];
    const double Served = rateOf(Item.Served_, Old.Served_, Seconds);
    const double Refused = rateOf(Item.Refused_, Old.Refused_, Seconds);
    nlohmann::json Line = toJson(Item);
    Line["served_per_second"] = Served;
    Line["refused_per_second"] = Refused;
    Lines.push_back(std::move(Line));
    if (Item.Code_ != ExitCode::Ok)
      Rows.push_back({Item.Node_, Item.State_});
    else
      Rows.push_back({Item.Host_, Item.State_, std::to_string(Item.Version_),
                      std::to_string(Item.InFlight_), fmt::format("{:.1f}", Served),
                      fmt::format("{:.1f}", Refused), describeShed(Item), describeShares(Item)});
  }
  if (Json)
    Out << Lines.dump() << std::endl;
  else
    Out << "\x1b[H\x1b[2J" << formatTable(Rows) << std::flush; // clears the screen
}

} // namespace

ExitCode runTop(const Arguments &Given, CommandIo &Io) {
  long Count = 0;
  long Interval = 0;
  if (!parseNumber(Given.at("--count").asString(), 0, 1'000'000'000, Count) ||
      !parseNumber(Given.at("--interval").asString(), 50, 60'000, Interval)) {
    Io.Err_ << "--count or --interval is not a number in its range\n";
    return ExitCode::Usage;
  }
  const std::vector<std::string> Nodes = Given.at("NODE").asStringList();
  View Before{readSummaries(Nodes), Clock::now()};
  for (long Number = 1;; ++Number) {
    if (worstCode(Before.Nodes_) == ExitCode::Usage) {
      Io.Err_ << "a NODE is not an address and port\n";
      return ExitCode::Usage;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(Interval));
    View Now{readSummaries(Nodes), Clock::now()};
    printView(Now, Before, Given.at("--json").asBool(), Io.Out_);
    if (Number == Count)
      return worstCode(Now.Nodes_);
    Before = std::move(Now);
  }
}

} // namespace bronzestand::ctl
