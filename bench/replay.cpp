#include "replay.h"

#include <algorithm>
#include <array>

#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include "node/call_contexts.h"
#include "node/clock.h"

namespace bronzestand::bench {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds RetryDelay{50};
/// Time that a caller waits beyond its deadline before it gives up on the connection.
constexpr milliseconds AnswerGrace{200};

std::vector<test::HostOptions> hostsOf(const std::string &Region,
                                       const std::vector<std::string> &DataCentres,
                                       const std::vector<test::HostOptions> &Services) {
  std::vector<test::HostOptions> Hosts;
  for (const std::string &DataCentre : DataCentres)
    for (test::HostOptions Host : Services) {
      Host.Id_ = DataCentre + "-" + Host.Service_ + "-1";
      Host.DataCentre_ = DataCentre;
      Host.Region_ = Region;
      Hosts.push_back(std::move(Host));
    }
  return Hosts;
}

std::vector<test::HostOptions> concat(std::vector<test::HostOptions> A,
                                      const std::vector<test::HostOptions> &B) {
  A.insert(A.end(), B.begin(), B.end());
  return A;
}

/// A UUIDv7, as callers are advised to use for idempotency keys.
std::string makeIdempotencyKey() {
  const std::string Random = node::randomToken();
  const std::string Time = fmt::format("{:012x}", node::wallMicroseconds() / 1000);
  return fmt::format("{}-{}-7{}-8{}-{}", Time.substr(0, 8), Time.substr(8, 4), Random.substr(0, 3),
                     Random.substr(3, 3), Random.substr(6, 12));
}

class Player {
public:
  Player(test::Fleet &Hosts, const std::vector<TraceRequest> &Trace, ReplayResult &Result)
      : Trace_(Trace), Result_(Result), Timer_(Io_), Begin_(std::chrono::steady_clock::now()) {
    for (const test::HostOptions &Host : Hosts.hosts())
      Clients_.push_back(
          std::make_unique<node::HttpClient>(Io_, Hosts.callerAddress(Host.Id_), 1000));
  }

  void run(const std::map<milliseconds, std::function<void()>> &During) {
    std::vector<std::unique_ptr<boost::asio::steady_timer>> Timers;
    for (const auto &[Time, Action] : During) {
      Timers.push_back(std::make_unique<boost::asio::steady_timer>(Io_, Begin_ + Time));
      Timers.back()->async_wait([&Run = Action](const boost::system::error_code &) { Run(); });
    }
    scheduleNext();
    Io_.run();
  }

private:
  struct Running {
    const TraceRequest *Request_;
    std::string Key_;
    unsigned Tries_ = 0;
  };
  using RunningPtr = std::shared_ptr<Running>;

  void scheduleNext() {
    if (Next_ == Trace_.size())
      return;
    Timer_.expires_at(Begin_ + Trace_[Next_].Time_);
    Timer_.async_wait([this](const boost::system::error_code &) {
      const TraceRequest &Request = Trace_[Next_++];
      count(Result_.SentByBin_, Request.Time_);
      for (Tally *Item : tallies(Request))
        ++Item->Requests_;
      send(std::make_shared<Running>(Running{&Request, makeIdempotencyKey()}));
      scheduleNext();
    });
  }

  void send(const RunningPtr &Item) {
    const TraceRequest &Request = *Item->Request_;
    ++Item->Tries_;
    node::HttpRequest Message{Request.Method_, Request.Target_, {}, {}};
    Message.Headers_ = {{"Authorization", "Bearer demo-key-" + Request.Team_},
                        {"Idempotency-Key", Item->Key_},
                        {"Bronzestand-Deadline-Ms", std::to_string(Request.Deadline_.count())}};
    const auto Start = std::chrono::steady_clock::now();
    Clients_[NextNode_++ % Clients_.size()]->send(
        std::move(Message), Request.Deadline_ + AnswerGrace,
        [this, Item, Start](node::HttpResult Outcome, node::HttpResponse Response) {
          onAnswer(Item, Start, {Outcome, std::move(Response)});
        });
  }

  void onAnswer(const RunningPtr &Item, std::chrono::steady_clock::time_point Start,
                const test::HttpReply &Reply) {
    const TraceRequest &Request = *Item->Request_;
    const auto Now = std::chrono::steady_clock::now();
    const bool Served = Reply.Result_ == node::HttpResult::Answered && Reply.status() == 200 &&
                        Now - Start <= Request.Deadline_;
    for (Tally *Entry : tallies(Request)) {
      ++Entry->Tries_;
      if (!Served)
        ++Entry->Refusals_[Reply.refusal().empty() ? "no_answer" : Reply.refusal()];
    }
    if (Served) {
      const auto Time = std::chrono::duration_cast<milliseconds>(Now - Begin_);
      count(Result_.ServedByBin_, Time);
      count(Result_.ServedByClassAndBin_[Request.Class_], Time);
      for (Tally *Entry : tallies(Request))
        ++Entry->Served_;
      return;
    }
    if (Item->Tries_ <= Request.Retries_) {
      auto Delay = std::make_shared<boost::asio::steady_timer>(Io_, RetryDelay);
      Delay->async_wait([this, Item, Delay](const boost::system::error_code &) { send(Item); });
    } else if (Reply.outcome() != "not-run") {
      for (Tally *Entry : tallies(Request))
        ++Entry->Unknown_;
    }
  }

  std::array<Tally *, 2> tallies(const TraceRequest &Request) {
    return {&Result_.ByClass_[Request.Class_], &Result_.ByTeam_[Request.Team_]};
  }

  static void count(std::vector<std::uint64_t> &Bins, milliseconds Time) {
    const auto Index = static_cast<std::size_t>(Time / ReplayResult::Bin);
    if (Bins.size() <= Index)
      Bins.resize(Index + 1);
    ++Bins[Index];
  }

  const std::vector<TraceRequest> &Trace_;
  ReplayResult &Result_;
  boost::asio::io_context Io_{1};
  boost::asio::steady_timer Timer_;
  std::chrono::steady_clock::time_point Begin_;
  std::vector<std::unique_ptr<node::HttpClient>> Clients_;
  std::size_t Next_ = 0;
  std::size_t NextNode_ = 0;
};

void appendRows(std::string &Text, const char *Title, const std::map<std::string, Tally> &Rows) {
  Text += fmt::format("{:<18}{:>10}{:>9}{:>9}{:>8}  {}\n", Title, "requests", "served", "unknown",
                      "tries", "failed tries by reason");
  for (const auto &[Name, Row] : Rows) {
    std::string Reasons;
    for (const auto &[Reason, Count] : Row.Refusals_)
      Reasons += fmt::format("{} {} ", Reason, Count);
    Text += fmt::format("{:<18}{:>10}{:>8.1f}%{:>9}{:>8.2f}  {}\n", Name, Row.Requests_,
                        100.0 * Row.servedShare(), Row.Unknown_,
                        static_cast<double>(Row.Tries_) /
                            static_cast<double>(std::max<std::uint64_t>(Row.Requests_, 1)),
                        Reasons);
  }
}

} // namespace

double ReplayResult::goodput(milliseconds From, milliseconds To) const {
  std::uint64_t Sum = 0;
  for (auto Index = From / Bin; Index < To / Bin; ++Index)
    if (static_cast<std::size_t>(Index) < ServedByBin_.size())
      Sum += ServedByBin_[static_cast<std::size_t>(Index)];
  return static_cast<double>(Sum) * 1000.0 / static_cast<double>((To - From).count());
}

milliseconds ReplayResult::recoveryTime(milliseconds From, double Reference, double Share) const {
  const milliseconds Window{1000};
  const auto End = milliseconds(static_cast<std::int64_t>(SentByBin_.size()) * Bin.count());
  milliseconds Recovered = From;
  for (milliseconds Time = From; Time + Window <= End; Time += Bin)
    if (goodput(Time, Time + Window) < Share * Reference)
      Recovered = Time + Bin;
  return Recovered - From;
}

Deployment wijesinghe() {
  // Of 35 slots 2 are kept and of 10 slots 1; service times give 50 and 40 calls/s a host.
  const std::vector<test::HostOptions> Services{
      {"", "catalogue", "", "", {}, "2", "40000"},
      {"", "bookings", "", "", {"/reservations=POST /deposits"}, "2", "40000"},
      {"", "payments", "", "", {}, "1", "25000"},
      {"", "records", "", "", {}, "2", "40000"}};
  return {"wijesinghe", "wijesinghe.yaml",
          concat(hostsOf("western", {"colombo", "negombo"}, Services),
                 hostsOf("southern", {"galle", "matara"}, Services)),
          wijesingheShape()};
}

Deployment imbaraga() {
  // Of 75 slots 2 are kept and of 10 slots 1.
  const std::vector<test::HostOptions> Services{
      {"", "catalogue", "", "", {}, "2", "40000"},
      {"", "orders", "", "", {"/orders/confirmations=POST /batches/reservations"}, "2", "40000"},
      {"", "stock", "", "", {}, "2", "40000"},
      {"", "batches", "", "", {}, "1", "20000"}};
  std::vector<std::string> Names;
  const YAML::Node Fleet =
      YAML::LoadFile(std::string(BRONZESTAND_EXAMPLES) + "/imbaraga.yaml")["fleet"]["regions"];
  return {"imbaraga", "imbaraga.yaml",
          concat(hostsOf("kigali", Fleet["kigali"].as<std::vector<std::string>>(), Services),
                 hostsOf("huye", Fleet["huye"].as<std::vector<std::string>>(), Services)),
          imbaragaShape()};
}

std::unique_ptr<test::Fleet> startDeployment(const Deployment &Scaled,
                                             const std::string &Disabled) {
  auto Hosts =
      std::make_unique<test::Fleet>(Scaled.Hosts_, test::Fleet::PeerPath::Direct, Disabled);
  const YAML::Node Documents =
      YAML::LoadFile(std::string(BRONZESTAND_EXAMPLES) + "/" + Scaled.Documents_);
  for (const auto &Entry : Documents)
    if (Entry.first.Scalar().rfind("hosts/", 0) != 0)
      Hosts->put(Entry.first.Scalar(), YAML::Dump(Entry.second));
  Hosts->putHosts();
  Hosts->waitUntilInForce();
  return Hosts;
}

ReplayResult replay(test::Fleet &Hosts, const std::vector<TraceRequest> &Trace,
                    const std::map<milliseconds, std::function<void()>> &During) {
  ReplayResult Result;
  Player(Hosts, Trace, Result).run(During);
  return Result;
}

std::string formatTable(const ReplayResult &Result) {
  std::string Text;
  appendRows(Text, "class", Result.ByClass_);
  Text += "\n";
  appendRows(Text, "team", Result.ByTeam_);
  return Text;
}

} // namespace bronzestand::bench
