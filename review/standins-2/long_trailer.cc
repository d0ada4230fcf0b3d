// Case 9: a faulty backend spoils a few of its answers: behind the last chunk comes a trailer of
// 66,000 wrong bytes. Counts the requests of clients on that machine that were passed on to sound
// backends of another machine and whose kept connection ends without an answer.
#include "world.hh"

using namespace review;

int main(int Count, char **Words) {
  if (Count != 4)
    return 2;
  const std::string Folder = Words[1];
  record().open(Words[2]);
  const bool Trouble = std::string(Words[3]) != "0";
  record().line(Trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
  const double TroubleS = 5.0;
  const double SpoiltShare = 0.02;
  const std::size_t TrailerBytes = 66000;

  const std::vector<std::string> Ips{"127.44.1.1", "127.44.2.1", "127.44.3.1"};
  const std::string StoreIp = "127.44.9.1";
  const std::vector<int> Free = freePorts({Ips[0], Ips[1], Ips[2], StoreIp}, 7);
  const Daemon::Ports Ports{Free[0], Free[1], Free[2], Free[3], Free[4], Free[5]};
  Store Platform;
  if (!Platform.start(StoreIp, Free[6]))
    return 2;
  const std::string Host = "hulo84.example";
  Platform.put(
      "op/config",
      "{\"Version\":7,\"Routes\":{\"Columns\":[\"Name\",\"Host\",\"Prefix\",\"Kind\",\"TimeoutMs\","
      "\"TargetLatencyMs\",\"Priority\",\"TrafficSplit\",\"MaxAttempts\",\"Public\",\"Service\"],"
      "\"Rows\":[[\"lookup\",\"" +
          Host +
          "\",\"/lookup/\",\"safe\",1200,1500,2,null,2,false,\"catalogue\"],[\"reserve\",\"" +
          Host +
          "\",\"/reserve/\",\"unsafe\",1500,2000,0,null,2,false,\"bookings\"]]},\"Services\":{"
          "\"Columns\":[\"Name\",\"HealthPath\",\"MaxConnections\",\"Protocol\",\"Tls\"],\"Rows\":["
          "["
          "\"bookings\",\"/health\",316,\"h1\",false],[\"catalogue\",\"/health\",316,\"h1\",false]]"
          "},\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":"
          "5000,\"IdleTimeoutMs\":20000},\"Tenants\":{\"Columns\":[\"Name\",\"ApiKeys\","
          "\"RatePerS\",\"Burst\"],\"Rows\":[[\"pulo780\",[\"6wsjnbanfqasnmgkcuyj\"],0,0]]}}");

  std::mutex Mutex;
  std::set<std::string> Runs;
  Backend Catalogue(Ips[0], Ports.Backend_, "catalogue", "colombo", Platform);
  Backend Bookings(Ips[1], Ports.Backend_, "bookings", "negombo", Platform);
  Backend Sound(Ips[2], Ports.Backend_, "catalogue", "galle", Platform);
  Bookings.WorkS_ = 0.29;
  Bookings.OnRun_ = [&](const Backend &, const Message &Request) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Runs.insert(Request.header("Request-Id"));
  };
  std::atomic<bool> Faulty{false};
  std::atomic<int> Answers{0};
  std::atomic<int> Spoilt{0};
  Catalogue.Trailer_ = [&](const Message &Request) {
    if (!Faulty)
      return std::string();
    const int Number = ++Answers;
    if (Spoilt + 1 > SpoiltShare * Number)
      return std::string();
    ++Spoilt;
    record().line("backend i-catalogue spoils its answer to " + Request.header("Request-Id"));
    return "X-Sum: " + std::string(TrailerBytes, '~') + "\r\n";
  };
  if (!Catalogue.start("i-catalogue") || !Bookings.start("i-bookings") || !Sound.start("i-sound"))
    return 2;
  const std::string Regions =
      "{\"colombo\":\"western\",\"negombo\":\"western\",\"galle\":\"southern\"}";
  const std::string StoreAddress = StoreIp + ":" + std::to_string(Free[6]);
  Daemon Faulted(Folder, Ips[0], Ports);
  Daemon Other(Folder, Ips[1], Ports);
  Daemon Third(Folder, Ips[2], Ports);
  Faulted.configure("colombo", "western", "catalogue", StoreAddress, Regions);
  Other.configure("negombo", "western", "bookings", StoreAddress, Regions);
  Third.configure("galle", "southern", "catalogue", StoreAddress, Regions);
  Faulted.start();
  Other.start();
  Third.start();
  if (!Faulted.waitReady(10.0) || !Other.waitReady(10.0) || !Third.waitReady(10.0))
    return 2;

  // On the machine of the faulty backend: 28 reservations/s on eight kept connections. On the
  // other machine: 40 look-ups/s, which the faulty backend runs.
  struct Outcome {
    int Status_;
    bool Kept_; ///< an earlier request was answered on the connection
  };
  std::map<std::string, Outcome> Told;
  std::map<std::string, int> Lookups;
  std::atomic<bool> Stopping{false};
  std::vector<std::thread> Threads;
  for (int Number = 0; Number < 12; ++Number)
    Threads.emplace_back([&, Number] {
      const bool Reserves = Number < 8;
      Client Caller(Ips[Reserves ? 0 : 1], Ports.Caller_);
      Caller.Key_ = "6wsjnbanfqasnmgkcuyj";
      bool Kept = false;
      sleepFor(0.036 * Number);
      while (!Stopping) {
        const double Next = seconds() + (Reserves ? 0.29 : 0.1);
        const std::string Id = newId();
        Message Answer;
        const int Status = Reserves
                               ? Caller.request("POST", Host, "/reserve/" + Id, Id, 5000,
                                                std::string(4000, 'b'), Answer)
                               : Caller.request("GET", Host, "/lookup/" + Id, Id, 5000, "", Answer);
        {
          std::lock_guard<std::mutex> Lock(Mutex);
          if (Reserves)
            Told[Id] = {Status, Kept};
          else
            ++Lookups[std::to_string(Status)];
        }
        Kept = Status > 0;
        if (Status != 200)
          record().line("client: " + Id + " ends with " + std::to_string(Status) +
                        (Status == 0 ? ", the connection is closed without an answer" : ""));
        sleepFor(std::max(Status < 0 ? 0.1 : 0.0, Next - seconds()));
      }
    });

  sleepFor(5.0);
  record().line("the trouble begins");
  Faulty = Trouble;
  int Ends = 0;
  for (const double Until = seconds() + TroubleS; seconds() < Until; sleepFor(0.1))
    if (!Faulted.isRunning()) {
      ++Ends;
      const int End = Faulted.endStatus();
      record().line("the process of node " + Faulted.ip() + " has ended by itself, " +
                    (WIFSIGNALED(End) ? "signal " + std::to_string(WTERMSIG(End))
                                      : "status " + std::to_string(WEXITSTATUS(End))));
      Faulted.start();
      Faulted.waitReady(5.0);
    }
  Faulty = false;
  record().line("the trouble ends: " + std::to_string(Spoilt) + " of " + std::to_string(Answers) +
                " answers spoilt");
  sleepFor(4.0);
  Stopping = true;
  for (std::thread &Item : Threads)
    Item.join();
  sleepFor(0.5);

  int Lost = 0;
  int Served = 0;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &[Id, Item] : Told) {
      Served += Item.Status_ == 200 ? 1 : 0;
      if (Item.Status_ == 0 && Item.Kept_ && Runs.count(Id) != 0) {
        ++Lost;
        record().line("LOST: " + Id + " ran, its kept connection was closed without an answer");
      }
    }
    for (const auto &[Status, Times] : Lookups)
      record().line("look-ups that ended with " + Status + ": " + std::to_string(Times));
    record().line(std::to_string(Told.size()) + " reservations, " + std::to_string(Served) +
                  " served, " + std::to_string(Lost) + " lost, the process ended by itself " +
                  std::to_string(Ends) + " times");
  }
  Faulted.kill(SIGKILL);
  Other.kill(SIGKILL);
  Third.kill(SIGKILL);
  if (Served < 100)
    return 2;
  return Lost > 3 ? 1 : 0;
}
