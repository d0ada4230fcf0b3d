// Clients that pipeline safe requests read their answers slowly while the node gets SIGTERM.
#include <csignal>

#include "../harness/harness.hpp"

using namespace review;

namespace {

constexpr std::size_t AnswerBytes = 36'000;
constexpr double BytesPerSecond = 60'000.0;
constexpr int DeadlineMs = 6000;
constexpr double DrainSeconds = 7.0; ///< GracePeriodS and one second more

struct Sent {
  std::string Id_;
  double At_ = 0.0;
};

/// Keeps Depth requests on a connection and reads their answers at BytesPerSecond.
class SlowClient {
public:
  SlowClient(std::string Name, std::size_t Depth, std::unique_ptr<Connection> Link)
      : Name_(std::move(Name)), Depth_(Depth), Link_(std::move(Link)) {}

  void run(double Until) {
    while (Outstanding_.size() < Depth_)
      send();
    while (seconds() < Until + 4.0 && !Outstanding_.empty() && readAnswer())
      if (!Closing_ && seconds() < Until)
        send();
    EndedAt_ = seconds();
    record(Name_ + ": its connection ends, " + std::to_string(Outstanding_.size()) +
           " requests without a whole answer");
  }
  /// Requests without a whole answer, when the connection ended.
  const std::vector<Sent> &outstanding() const { return Outstanding_; }
  double endedAt() const { return EndedAt_; }
  int answered() const { return Answered_; }

private:
  void send() {
    const std::string Id = Name_ + "-" + std::to_string(++Number_);
    record(Name_ + " sends " + Id);
    Outstanding_.push_back({Id, seconds()});
    Link_->write(request("GET", "/safe/2f", "hulo84.example", Id, DeadlineMs, "key-acme"));
  }

  bool readAnswer() {
    Message Answer;
    auto Line = Link_->line(8.0);
    if (!Line)
      return false;
    Answer.First_ = *Line;
    std::size_t Length = 0;
    while ((Line = Link_->line(8.0)) && !Line->empty()) {
      if (Line->rfind("Content-Length: ", 0) == 0)
        Length = std::stoul(Line->substr(16));
      // The client respects this and sends nothing more.
      Closing_ = Closing_ || *Line == "Connection: close";
    }
    const std::size_t Whole = Length;
    while (Length != 0) {
      char Data[3000];
      const int Count = Link_->read(Data, static_cast<int>(std::min(Length, sizeof(Data))), 8.0);
      if (Count <= 0)
        return false;
      Length -= static_cast<std::size_t>(Count);
      sleepSeconds(Count / BytesPerSecond);
    }
    record(Name_ + " has read " + std::to_string(Answer.status()) + " with " +
           std::to_string(Whole) + " bytes for " + Outstanding_.front().Id_ +
           (Closing_ ? ", which closes the connection" : ""));
    Outstanding_.erase(Outstanding_.begin());
    ++Answered_;
    return true;
  }

  std::string Name_;
  std::size_t Depth_;
  std::unique_ptr<Connection> Link_;
  std::vector<Sent> Outstanding_;
  int Number_ = 0;
  int Answered_ = 0;
  bool Closing_ = false;
  double EndedAt_ = 0.0;
};

} // namespace

int main(int, char **argv) {
  openRecord(argv[1]);
  const Folder Temporary;
  const int First = freePorts(6, 3);
  const Ports Used{First, First + 1, First + 2, First + 3, First + 4};
  Store Platform(address(3), First + 5);
  Platform.put("op/config", configuration(7, "records", 0, 0).dump());
  Backend Records(Platform, "i-records", "records", "colombo", address(1), Used.App_, 0.1,
                  AnswerBytes);
  Backend Other(Platform, "i-other", "records", "negombo", address(2), Used.App_, 0.1, AnswerBytes);
  Records.announce();
  Other.announce();
  Node Machine(address(1), "colombo", "records", Platform, Used, Temporary.path());
  Node Neighbour(address(2), "negombo", "records", Platform, Used, Temporary.path());
  Machine.start();
  Neighbour.start();
  Machine.waitReady();
  Neighbour.waitReady();
  sleepSeconds(4.0); // ContactMs

  std::vector<std::unique_ptr<SlowClient>> Clients;
  std::vector<std::thread> Threads;
  const double Stop = seconds() + 4.0;
  for (std::size_t Depth = 3; Depth <= 4; ++Depth) {
    auto Link = Connection::open(address(1), Used.Caller_, true);
    if (!Link)
      giveUp("no connection");
    Clients.push_back(
        std::make_unique<SlowClient>("c" + std::to_string(Depth), Depth, std::move(Link)));
    Threads.emplace_back([Client = Clients.back().get(), Stop] { Client->run(Stop + 6.0); });
  }
  sleepSeconds(Stop - seconds());
  const double Signalled = seconds();
  if (isTrouble())
    Machine.signal(SIGTERM);
  for (std::thread &Item : Threads)
    Item.join();
  Machine.hasEnded();

  int Lost = 0;
  for (const auto &Client : Clients)
    for (const Sent &Item : Client->outstanding()) {
      const bool Ran = Records.hasRun(Item.Id_) || Other.hasRun(Item.Id_);
      const bool InTime = Client->endedAt() < Item.At_ + DeadlineMs / 1000.0 &&
                          Client->endedAt() < Signalled + DrainSeconds;
      record(Item.Id_ + (Ran ? " was passed on to a backend" : " was not passed on") +
             " and has no whole answer " + std::to_string(Client->endedAt() - Item.At_) +
             " s after it was sent" + (InTime ? "" : ", which is not counted"));
      Lost += Ran && InTime ? 1 : 0;
    }
  int Answered = 0;
  for (const auto &Client : Clients)
    Answered += Client->answered();
  record("answered " + std::to_string(Answered) + ", passed on and not answered " +
         std::to_string(Lost));
  if (Answered == 0)
    giveUp("no request was answered");
  if (!isTrouble() && Lost != 0)
    giveUp("requests were lost without the disruption");
  return Lost > 0 ? Broken : Held;
}
