#include "surge_reference.h"

#include <algorithm>

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

namespace bronzestand::bench {
namespace {

using std::chrono::milliseconds;

// Requests of the last moment of the surge are not counted: their retries are served after it.
constexpr milliseconds RetryTail{500};

void loadCatalogue(const Deployment &Scaled, Catalogue &Result) {
  const YAML::Node Documents =
      YAML::LoadFile(std::string(BRONZESTAND_EXAMPLES) + "/" + Scaled.Documents_);
  for (const auto &Entry : Documents) {
    ParsedDocument Parsed = parseDocument(Entry.first.Scalar(), YAML::Dump(Entry.second));
    if (Parsed.Body_)
      Result.put(std::move(*Parsed.Body_));
  }
}

/// Slots of all hosts of each service, that is slot seconds a second.
std::map<std::string, double> slotsOf(const Deployment &Scaled) {
  std::map<std::string, double> Result;
  for (const test::HostOptions &Host : Scaled.Hosts_)
    Result[Host.Service_] += std::stod(Host.Slots_);
  return Result;
}

/// Adds the slot seconds that a request takes of each service. A slot is held while child calls
/// run. Returns the time of the whole request without any queueing.
double addCost(const Deployment &Scaled, const Catalogue &Documents,
               const std::map<std::string, double> &Slower, const std::string &Method,
               const std::string &Target, std::map<std::string, double> &Cost) {
  const RouteSpec *Route = Documents.matchRoute(Method, Target);
  if (Route == nullptr)
    return 0.0;
  const std::string &Service = Route->Service_.str();
  const auto Host =
      std::find_if(Scaled.Hosts_.begin(), Scaled.Hosts_.end(),
                   [&](const test::HostOptions &Item) { return Item.Service_ == Service; });
  const auto Factor = Slower.find(Service);
  double Seconds =
      std::stod(Host->ServiceTimeUs_) / 1e6 * (Factor == Slower.end() ? 1.0 : Factor->second);
  for (const std::string &Child : Host->Children_) {
    const std::size_t Equals = Child.find('=');
    const std::size_t Space = Child.find(' ', Equals);
    if (Child.substr(0, Equals) == Target)
      Seconds += addCost(Scaled, Documents, Slower, Child.substr(Equals + 1, Space - Equals - 1),
                         Child.substr(Space + 1), Cost);
  }
  Cost[Service] += Seconds;
  return Seconds;
}

/// Gives each its demand up to an equal share of the total.
std::map<std::string, double> maxMin(const std::map<std::string, double> &Demands, double Total) {
  std::vector<std::pair<double, std::string>> Order;
  Order.reserve(Demands.size());
  for (const auto &[Name, Demand] : Demands)
    Order.emplace_back(Demand, Name);
  std::sort(Order.begin(), Order.end());
  std::map<std::string, double> Result;
  for (std::size_t Index = 0; Index < Order.size(); ++Index) {
    const double Equal = Total / static_cast<double>(Order.size() - Index);
    Result[Order[Index].second] = std::min(Order[Index].first, Equal);
    Total -= Result[Order[Index].second];
  }
  return Result;
}

} // namespace

SurgeReference::SurgeReference(const Deployment &Scaled, const std::vector<TraceRequest> &Trace,
                               const TraceShape &Shape, const std::map<std::string, double> &Slower)
    : Trace_(Trace), Shape_(Shape) {
  Catalogue Documents;
  loadCatalogue(Scaled, Documents);
  std::map<std::string, std::map<std::string, double>> ByClassAndTeam;
  for (const TraceRequest &Request : Trace) {
    if (!isCounted(Request))
      continue;
    Demand_[Request.Class_] += 1.0;
    TeamDemand_[Request.Team_] += 1.0;
    ByClassAndTeam[Request.Class_][Request.Team_] += 1.0;
  }
  std::vector<TraceKind> Kinds = Shape.Kinds_;
  std::sort(Kinds.begin(), Kinds.end(), [&](const TraceKind &A, const TraceKind &B) {
    return Documents.rankOf(ClassId(A.Class_)) > Documents.rankOf(ClassId(B.Class_));
  });
  const double Seconds =
      std::chrono::duration<double>(Shape.SurgeEnd_ - RetryTail - Shape.SurgeStart_).count();
  std::map<std::string, double> Left = slotsOf(Scaled);
  for (const TraceKind &Kind : Kinds) {
    std::map<std::string, double> Cost;
    addCost(Scaled, Documents, Slower, Kind.Method_, Kind.Target_, Cost);
    double Possible = Demand_[Kind.Class_];
    for (const auto &[Service, SlotSeconds] : Cost)
      Possible = std::min(Possible, Left[Service] * Seconds / SlotSeconds);
    for (const auto &[Service, SlotSeconds] : Cost)
      Left[Service] -= Possible * SlotSeconds / Seconds;
    Possible_[Kind.Class_] = Possible;
    for (const auto &[Team, Share] : maxMin(ByClassAndTeam[Kind.Class_], Possible))
      TeamPossible_[Team] += Share;
  }
}

bool SurgeReference::isCounted(const TraceRequest &Request) const {
  return Request.Time_ >= Shape_.SurgeStart_ && Request.Time_ < Shape_.SurgeEnd_ - RetryTail;
}

std::map<std::string, double> SurgeReference::served(const ReplayResult &Result,
                                                     std::string TraceRequest::*Name) const {
  std::map<std::string, double> Counts;
  for (std::size_t Index = 0; Index < Trace_.size(); ++Index)
    if (isCounted(Trace_[Index]) && Result.AnswerTimes_[Index] >= milliseconds(0) &&
        Result.AnswerTimes_[Index] < Shape_.SurgeEnd_)
      Counts[Trace_[Index].*Name] += 1.0;
  return Counts;
}

double SurgeReference::goodputShare(const ReplayResult &Result) const {
  std::map<std::string, double> Counts = served(Result, &TraceRequest::Class_);
  double Served = 0.0;
  double Possible = 0.0;
  for (const auto &[Class, Most] : Possible_) {
    Served += std::min(Most, Counts[Class]);
    Possible += Most;
  }
  return Served / Possible;
}

double SurgeReference::worstTeamShare(const ReplayResult &Result) const {
  std::map<std::string, double> Counts = served(Result, &TraceRequest::Team_);
  double Worst = 1.0;
  for (const auto &[Team, Most] : TeamPossible_)
    Worst = std::min(Worst, Counts[Team] / Most);
  return Worst;
}

milliseconds SurgeReference::recoveryTime(const ReplayResult &Result) const {
  constexpr milliseconds Window{1000};
  constexpr double Share = 0.95;
  milliseconds Recovered = Shape_.SurgeEnd_;
  for (milliseconds From = Shape_.SurgeEnd_; From + Window <= Shape_.Length_;
       From += ReplayResult::Bin) {
    double Sent = 0.0;
    double Served = 0.0;
    for (std::size_t Index = 0; Index < Trace_.size(); ++Index) {
      const TraceRequest &Request = Trace_[Index];
      if (Request.Time_ < From || Request.Time_ >= From + Window)
        continue;
      const milliseconds Answer = Result.AnswerTimes_[Index];
      Sent += 1.0;
      Served += Answer >= milliseconds(0) && Answer <= Request.Time_ + Request.Deadline_;
    }
    if (Served < Share * Sent)
      Recovered = From + ReplayResult::Bin;
  }
  return Recovered - Shape_.SurgeEnd_;
}

std::string SurgeReference::table(const ReplayResult &Result) const {
  std::string Text = fmt::format("{:<18}{:>9}{:>10}{:>9}{:>14}\n", "during the surge", "requests",
                                 "possible", "served", "of possible");
  const auto Append = [&](const auto &Demands, const auto &Most, auto Counts) {
    for (const auto &[Name, Demand] : Demands) {
      const double Possible = Most.at(Name);
      Text += fmt::format("{:<18}{:>9.0f}{:>10.0f}{:>9.0f}{:>13.1f}%\n", Name, Demand, Possible,
                          Counts[Name], Possible == 0.0 ? 100.0 : 100.0 * Counts[Name] / Possible);
    }
  };
  Append(Demand_, Possible_, served(Result, &TraceRequest::Class_));
  Append(TeamDemand_, TeamPossible_, served(Result, &TraceRequest::Team_));
  return Text;
}

} // namespace bronzestand::bench
