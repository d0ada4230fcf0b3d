// Case 8: a tenant sends many times its usual, GET and HEAD requests on kept connections. Counts
// the answers that do not begin with a status line.
#include "world.hh"

using namespace review;

int main(int Count, char **Words) {
  if (Count != 4)
    return 2;
  const std::string Folder = Words[1];
  record().open(Words[2]);
  const bool Trouble = std::string(Words[3]) != "0";
  record().line(Trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
  const double UsualPerS = 10.0;
  const double TimesUsual = 7.5;
  const double TroubleS = 6.5;

  const std::vector<std::string> Ips{"127.45.1.1", "127.45.2.1"};
  const std::string StoreIp = "127.45.9.1";
  const std::vector<int> Free = freePorts({Ips[0], Ips[1], StoreIp}, 7);
  const Daemon::Ports Ports{Free[0], Free[1], Free[2], Free[3], Free[4], Free[5]};
  Store Platform;
  if (!Platform.start(StoreIp, Free[6]))
    return 2;
  const std::string Host = "hulo84.example";
  const std::string Key = "6wsjnbanfqasnmgkcuyj";
  // The quota is 1.6 times what the tenant usually sends.
  Platform.put("op/config",
               "{\"Version\":7,\"Routes\":{\"Columns\":[\"Name\",\"Host\",\"Prefix\",\"Kind\","
               "\"TimeoutMs\",\"TargetLatencyMs\",\"Priority\",\"TrafficSplit\",\"MaxAttempts\","
               "\"Public\",\"Service\"],\"Rows\":[[\"lookup\",\"" +
                   Host +
                   "\",\"/lookup/\",\"safe\",1200,1500,2,null,2,false,\"catalogue\"]]},"
                   "\"Services\":{\"Columns\":[\"Name\",\"HealthPath\",\"MaxConnections\","
                   "\"Protocol\",\"Tls\"],\"Rows\":[[\"catalogue\",\"/health\",316,\"h1\",false]]},"
                   "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,"
                   "\"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":20000},\"Tenants\":{\"Columns\":["
                   "\"Name\",\"ApiKeys\",\"RatePerS\",\"Burst\"],\"Rows\":[[\"pulo780\",[\"" +
                   Key + "\"],16,16]]}}");

  std::vector<std::unique_ptr<Backend>> Backends;
  std::vector<std::unique_ptr<Daemon>> Nodes;
  const std::vector<std::string> Zones{"colombo", "negombo"};
  for (std::size_t Index = 0; Index < Ips.size(); ++Index) {
    Backends.push_back(
        std::make_unique<Backend>(Ips[Index], Ports.Backend_, "catalogue", Zones[Index], Platform));
    Backends.back()->BodyBytes_ = 1500;
    if (!Backends.back()->start("i-" + std::to_string(Index)))
      return 2;
  }
  for (std::size_t Index = 0; Index < Ips.size(); ++Index) {
    Nodes.push_back(std::make_unique<Daemon>(Folder, Ips[Index], Ports));
    Nodes.back()->configure(Zones[Index], "western", "catalogue",
                            StoreIp + ":" + std::to_string(Free[6]),
                            "{\"colombo\":\"western\",\"negombo\":\"western\"}");
    Nodes.back()->start();
  }
  for (const auto &Node : Nodes)
    if (!Node->waitReady(10.0))
      return 2;
  sleepFor(1.0);

  std::mutex Mutex;
  std::map<std::string, int> Ends;
  int Mixed = 0;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> Hot{false};
  std::vector<std::thread> Threads;
  // Ten clients that send GET and HEAD requests by turns.
  for (int Number = 0; Number < 10; ++Number)
    Threads.emplace_back([&, Number] {
      Client Caller(Ips[static_cast<std::size_t>(Number) % 2], Ports.Caller_);
      Caller.Key_ = Key;
      sleepFor(0.1 * Number);
      std::string Before = "none";
      for (int Turn = Number; !Stopping; ++Turn) {
        const double Next = seconds() + 10.0 / UsualPerS / (Hot ? TimesUsual : 1.0);
        const std::string Method = Turn % 2 == 0 ? "GET" : "HEAD";
        const std::string Id = newId();
        Message Answer;
        const int Status = Caller.request(Method, Host, "/lookup/" + Id, Id, 5000, "", Answer);
        std::string End = Method + " " + std::to_string(Status);
        if (Status >= 0 && !Answer.First_.empty() && Answer.First_.rfind("HTTP/1.1 ", 0) != 0) {
          std::lock_guard<std::mutex> Lock(Mutex);
          ++Mixed;
          End = Method + " got bytes that are no answer";
          record().line("MIXED: " + Id + " (" + Method + ") on the connection of " + Before +
                        ": its answer begins with " + Answer.First_.substr(0, 120));
          Caller.drop();
        }
        {
          std::lock_guard<std::mutex> Lock(Mutex);
          ++Ends[End];
        }
        Before = Id + " (" + Method + ", " + std::to_string(Status) + ")";
        sleepFor(std::max(0.0, Next - seconds()));
      }
    });
  sleepFor(6.0);
  record().line("hot_tenant begins");
  Hot = Trouble;
  sleepFor(TroubleS);
  Hot = false;
  record().line("hot_tenant ends");
  sleepFor(4.0);
  Stopping = true;
  for (std::thread &Item : Threads)
    Item.join();
  int Served = 0;
  for (const auto &[End, Times] : Ends) {
    record().line(End + ": " + std::to_string(Times));
    Served += End == "GET 200" || End == "HEAD 200" ? Times : 0;
  }
  record().line(std::to_string(Mixed) + " answers were bytes that are no answer");
  for (const auto &Node : Nodes)
    Node->kill(SIGKILL);
  if (Served < 100)
    return 2;
  return Mixed > 0 ? 1 : 0;
}
