#include "trace.h"

#include <algorithm>
#include <fstream>
#include <random>

#include <nlohmann/json.hpp>

#include "bronzestand/error.h"

namespace bronzestand::bench {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

TraceRequest parseLine(const std::string &Line) {
  const json In = json::parse(Line);
  TraceRequest Request;
  Request.Time_ = milliseconds(In.at("t").get<std::int64_t>());
  In.at("team").get_to(Request.Team_);
  In.at("class").get_to(Request.Class_);
  In.at("method").get_to(Request.Method_);
  In.at("target").get_to(Request.Target_);
  Request.Deadline_ = milliseconds(In.at("deadline").get<std::int64_t>());
  In.at("retries").get_to(Request.Retries_);
  return Request;
}

} // namespace

absl::StatusOr<std::vector<TraceRequest>> readTrace(const std::string &File) {
  std::ifstream In(File);
  if (!In)
    return makeError({ErrorCode::Unreadable, File, "", "can't be read"});
  std::vector<TraceRequest> Requests;
  std::string Line;
  try {
    while (std::getline(In, Line))
      Requests.push_back(parseLine(Line));
  } catch (const json::exception &Failure) {
    return makeError({ErrorCode::InvalidSyntax, File, "line " + std::to_string(Requests.size() + 1),
                      Failure.what()});
  }
  return Requests;
}

void writeTrace(const std::string &File, const std::vector<TraceRequest> &Requests) {
  std::ofstream Out(File);
  for (const TraceRequest &Request : Requests)
    Out << json{{"t", Request.Time_.count()}, {"team", Request.Team_},
                {"class", Request.Class_},    {"method", Request.Method_},
                {"target", Request.Target_},  {"deadline", Request.Deadline_.count()},
                {"retries", Request.Retries_}}
               .dump()
        << "\n";
}

std::vector<TraceRequest> generateTrace(const TraceShape &Shape, unsigned Seed) {
  std::mt19937 Random(Seed);
  std::vector<double> Shares;
  for (const TraceKind &Kind : Shape.Kinds_)
    Shares.push_back(Kind.Share_);
  std::discrete_distribution<std::size_t> KindOf(Shares.begin(), Shares.end());
  std::vector<TraceRequest> Requests;
  for (const TraceTeam &Team : Shape.Teams_) {
    double TimeMs = 0.0;
    while (true) {
      const bool Surge = TimeMs >= static_cast<double>(Shape.SurgeStart_.count()) &&
                         TimeMs < static_cast<double>(Shape.SurgeEnd_.count());
      const double Factor = !Surge                            ? 1.0
                            : Team.Team_ == Shape.GreedyTeam_ ? Shape.GreedyFactor_
                                                              : Shape.SurgeFactor_;
      TimeMs += std::exponential_distribution<double>(Team.Rate_ * Factor / 1000.0)(Random);
      if (TimeMs >= static_cast<double>(Shape.Length_.count()))
        break;
      const TraceKind &Kind = Shape.Kinds_[KindOf(Random)];
      Requests.push_back({milliseconds(static_cast<std::int64_t>(TimeMs)), Team.Team_, Kind.Class_,
                          Kind.Method_, Kind.Target_, Kind.Deadline_, Shape.Retries_});
    }
  }
  std::stable_sort(Requests.begin(), Requests.end(),
                   [](const auto &A, const auto &B) { return A.Time_ < B.Time_; });
  return Requests;
}

TraceShape wijesingheShape() {
  TraceShape Shape;
  Shape.Kinds_ = {
      {"browsing", "GET", "/catalogue/washers", milliseconds(2000), 0.40},
      {"availability", "GET", "/availability/galle", milliseconds(1500), 0.25},
      {"history", "GET", "/hires/7", milliseconds(3000), 0.10},
      {"reserving", "POST", "/reservations", milliseconds(1500), 0.17},
      {"returning", "POST", "/returns", milliseconds(2000), 0.03},
      {"depositing", "POST", "/deposits", milliseconds(2500), 0.05},
  };
  Shape.Teams_ = {{"builders", 56}, {"hotels", 49}, {"councils", 38}, {"painters", 8},
                  {"boatyards", 7}, {"farms", 7},   {"schools", 5},   {"walk-ins", 4}};
  return Shape;
}

TraceShape imbaragaShape() {
  TraceShape Shape;
  Shape.Kinds_ = {
      {"browsing", "GET", "/catalogue/plaster", milliseconds(1500), 0.45},
      {"checking", "GET", "/stock/plaster", milliseconds(1000), 0.30},
      {"confirming", "POST", "/orders/confirmations", milliseconds(900), 0.20},
      {"batch-reserving", "POST", "/batches/reservations", milliseconds(1500), 0.05},
  };
  Shape.Teams_ = {{"wards", 84}, {"surgeries", 63}, {"clinics", 52},   {"depots", 11},
                  {"labs", 8},   {"outreach", 7},   {"pharmacies", 7}, {"training", 4}};
  return Shape;
}

} // namespace bronzestand::bench
