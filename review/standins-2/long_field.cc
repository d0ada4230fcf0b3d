// Case 7: a client sends a request with a header field of 66,000 bytes, within MaxHeaderBytes of
// the configuration in force. Counts the requests of other clients that were passed on to a backend
// and whose kept connection ends without an answer.
#include "world.hh"

using namespace review;

namespace {

std::string configOf(int Version, int HeaderBytes, const std::string &Host) {
  return "{\"Version\":" + std::to_string(Version) +
         ",\"Routes\":{\"Columns\":[\"Name\",\"Host\",\"Prefix\",\"Kind\",\"TimeoutMs\","
         "\"TargetLatencyMs\",\"Priority\",\"TrafficSplit\",\"MaxAttempts\",\"Public\","
         "\"Service\"],\"Rows\":[[\"reserve\",\"" +
         Host +
         "\",\"/reserve/\",\"unsafe\",1500,2000,0,null,2,false,\"bookings\"]]},"
         "\"Services\":{\"Columns\":[\"Name\",\"HealthPath\",\"MaxConnections\",\"Protocol\","
         "\"Tls\"],\"Rows\":[[\"bookings\",\"/health\",316,\"h1\",false],[\"catalogue\","
         "\"/health\",316,\"h1\",false]]},\"Limits\":{\"MaxHeaderBytes\":" +
         std::to_string(HeaderBytes) +
         ",\"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":20000},"
         "\"Tenants\":{\"Columns\":[\"Name\",\"ApiKeys\",\"RatePerS\",\"Burst\"],\"Rows\":[["
         "\"pulo780\",[\"6wsjnbanfqasnmgkcuyj\"],0,0]]}}";
}

} // namespace

int main(int Count, char **Words) {
  if (Count != 4)
    return 2;
  const std::string Folder = Words[1];
  record().open(Words[2]);
  const bool Trouble = std::string(Words[3]) != "0";
  record().line(Trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
  const std::size_t FieldBytes = Trouble ? 66000 : 60000;

  const std::vector<std::string> Ips{"127.43.1.1", "127.43.2.1"};
  const std::string StoreIp = "127.43.9.1";
  const std::vector<int> Free = freePorts({Ips[0], Ips[1], StoreIp}, 7);
  const Daemon::Ports Ports{Free[0], Free[1], Free[2], Free[3], Free[4], Free[5]};
  Store Platform;
  if (!Platform.start(StoreIp, Free[6]))
    return 2;
  const std::string Host = "hulo84.example";
  Platform.put("op/config", configOf(7, 16384, Host));

  std::mutex Mutex;
  std::set<std::string> Runs;
  Backend Catalogue(Ips[0], Ports.Backend_, "catalogue", "colombo", Platform);
  Backend Bookings(Ips[1], Ports.Backend_, "bookings", "negombo", Platform);
  Bookings.WorkS_ = 0.29;
  Bookings.OnRun_ = [&](const Backend &, const Message &Request) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Runs.insert(Request.header("Request-Id"));
  };
  if (!Catalogue.start("i-catalogue") || !Bookings.start("i-bookings"))
    return 2;
  const std::string Regions = "{\"colombo\":\"western\",\"negombo\":\"western\"}";
  const std::string StoreAddress = StoreIp + ":" + std::to_string(Free[6]);
  Daemon Entry(Folder, Ips[0], Ports);
  Daemon Gate(Folder, Ips[1], Ports);
  Entry.configure("colombo", "western", "catalogue", StoreAddress, Regions);
  Gate.configure("negombo", "western", "bookings", StoreAddress, Regions);
  Entry.start();
  Gate.start();
  if (!Entry.waitReady(10.0) || !Gate.waitReady(10.0))
    return 2;

  // 28 requests/s on eight kept connections.
  struct Outcome {
    int Status_;
    bool Kept_; ///< an earlier request was answered on the connection
  };
  std::map<std::string, Outcome> Told;
  std::atomic<bool> Stopping{false};
  std::vector<std::thread> Threads;
  for (int Number = 0; Number < 8; ++Number)
    Threads.emplace_back([&, Number] {
      Client Caller(Ips[0], Ports.Caller_);
      Caller.Key_ = "6wsjnbanfqasnmgkcuyj";
      bool Kept = false;
      sleepFor(0.036 * Number);
      while (!Stopping) {
        const double Next = seconds() + 0.29;
        const std::string Id = newId();
        Message Answer;
        const int Status = Caller.request("POST", Host, "/reserve/" + Id, Id, 5000,
                                          std::string(4000, 'b'), Answer);
        {
          std::lock_guard<std::mutex> Lock(Mutex);
          Told[Id] = {Status, Kept};
        }
        Kept = Status > 0;
        if (Status != 200)
          record().line("client: " + Id + " ends with " + std::to_string(Status) +
                        (Status == 0 ? ", the connection is closed without an answer" : ""));
        sleepFor(std::max(Status < 0 ? 0.1 : 0.0, Next - seconds()));
      }
    });

  sleepFor(4.0);
  Platform.put("op/config", configOf(9, 131072, Host));
  record().line("the store acknowledges version 9 with MaxHeaderBytes 131072");
  sleepFor(3.5);
  int Ends = 0;
  for (int Round = 0; Round < 3; ++Round) {
    Client Caller(Ips[0], Ports.Caller_);
    Caller.Key_ = "6wsjnbanfqasnmgkcuyj\r\nBaggage: " + std::string(FieldBytes, 'g');
    const std::string Id = newId();
    Message Answer;
    const int Status =
        Caller.request("POST", Host, "/reserve/" + Id, Id, 5000, std::string(4000, 'b'), Answer);
    record().line("client: " + Id + " with a field of " + std::to_string(FieldBytes) +
                  " bytes ends with " + std::to_string(Status));
    sleepFor(0.5);
    if (!Entry.isRunning()) {
      ++Ends;
      const int End = Entry.endStatus();
      record().line("the process of node " + Entry.ip() + " has ended by itself, " +
                    (WIFSIGNALED(End) ? "signal " + std::to_string(WTERMSIG(End))
                                      : "status " + std::to_string(WEXITSTATUS(End))));
      Entry.start();
      if (!Entry.waitReady(10.0))
        return 2;
    }
    sleepFor(4.0);
  }
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
    record().line(std::to_string(Told.size()) + " requests, " + std::to_string(Served) +
                  " served, " + std::to_string(Lost) + " lost, the process ended by itself " +
                  std::to_string(Ends) + " times");
  }
  Entry.kill(SIGKILL);
  Gate.kill(SIGKILL);
  if (Served < 200)
    return 2;
  return Lost > 3 ? 1 : 0;
}
