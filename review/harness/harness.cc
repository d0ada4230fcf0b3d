#include "harness.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <sstream>

namespace review {
namespace {

const Clock::time_point Start = Clock::now();
std::mutex RecordMutex;
std::ofstream Record;

sockaddr_in socketAddress(const std::string &Ip, int Port) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Result.sin_addr);
  return Result;
}

/// Listens on an address; -1 if it is in use.
int listenOn(const std::string &Ip, int Port) {
  const int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Address = socketAddress(Ip, Port);
  if (::bind(Descriptor, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address)) == 0 &&
      ::listen(Descriptor, 512) == 0)
    return Descriptor;
  ::close(Descriptor);
  return -1;
}

/// The store keeps its history for this time, and ends a page of a listing at this size.
constexpr double HistoryS = 20.0;
constexpr std::size_t PageBytes = 1'000'000;

std::string base64(const std::string &In) {
  static const char Letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (std::size_t Index = 0; Index < In.size(); Index += 3) {
    unsigned Group = 0;
    for (std::size_t Byte = 0; Byte < 3; ++Byte)
      Group = Group << 8U |
              (Index + Byte < In.size() ? static_cast<unsigned char>(In[Index + Byte]) : 0U);
    for (std::size_t Digit = 0; Digit < 4; ++Digit)
      Out.push_back(Index + Digit > In.size() ? '=' : Letters[Group >> (18 - 6 * Digit) & 63U]);
  }
  return Out;
}

std::map<std::string, std::string> query(const std::string &Target) {
  std::map<std::string, std::string> Result;
  const std::size_t Question = Target.find('?');
  if (Question == std::string::npos)
    return Result;
  std::istringstream Parts(Target.substr(Question + 1));
  for (std::string Part; std::getline(Parts, Part, '&');) {
    const std::size_t Equals = Part.find('=');
    if (Equals != std::string::npos)
      Result[Part.substr(0, Equals)] = Part.substr(Equals + 1);
  }
  return Result;
}

std::string response(int Status, const std::vector<std::string> &Headers, const std::string &Body) {
  std::string Out = "HTTP/1.1 " + std::to_string(Status) + " " + (Status == 200 ? "OK" : "Other") +
                    "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n";
  for (const std::string &Header : Headers)
    Out += Header + "\r\n";
  return Out + "\r\n" + Body;
}

double statusMb(int Pid, const std::string &Name) {
  std::ifstream In("/proc/" + std::to_string(Pid) + "/status");
  for (std::string Line; std::getline(In, Line);)
    if (Line.rfind(Name + ":", 0) == 0)
      return std::atof(Line.c_str() + Name.size() + 1) / 1024.0;
  return 0.0;
}

} // namespace

double seconds() { return std::chrono::duration<double>(Clock::now() - Start).count(); }
void sleepSeconds(double Time) { std::this_thread::sleep_for(std::chrono::duration<double>(Time)); }

void openRecord(const std::string &File) { Record.open(File, std::ios::trunc); }

void record(const std::string &Text) {
  const std::lock_guard<std::mutex> Lock(RecordMutex);
  char Time[32];
  std::snprintf(Time, sizeof(Time), "%9.3f s  ", seconds());
  Record << Time << Text << std::endl;
}

void giveUp(const std::string &Reason) {
  record("could not run: " + Reason);
  std::cerr << "could not run: " << Reason << "\n";
  std::_Exit(CouldNotRun); // the nodes end with this process
}

bool isTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

std::string address(int N) {
  const int Pid = static_cast<int>(::getpid());
  return "127." + std::to_string(64 + Pid / 250 % 64) + "." + std::to_string(1 + Pid % 250) + "." +
         std::to_string(N);
}

int freePorts(int Count, int Last) {
  for (int First = 21000 + static_cast<int>(::getpid()) % 4000; First < 31000; First += Count) {
    bool Free = true;
    for (int N = 1; N <= Last && Free; ++N)
      for (int Port = First; Port < First + Count && Free; ++Port) {
        const int Descriptor = listenOn(address(N), Port);
        Free = Descriptor >= 0;
        if (Free)
          ::close(Descriptor);
      }
    if (Free)
      return First;
  }
  giveUp("no free ports");
}

std::unique_ptr<Connection> Connection::open(const std::string &Ip, int Port, bool SmallWindow) {
  const int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (SmallWindow) {
    const int Segment = 1460;
    const int Window = 8192;
    ::setsockopt(Descriptor, IPPROTO_TCP, TCP_MAXSEG, &Segment, sizeof(Segment));
    ::setsockopt(Descriptor, SOL_SOCKET, SO_RCVBUF, &Window, sizeof(Window));
  }
  const sockaddr_in Address = socketAddress(Ip, Port);
  if (::connect(Descriptor, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address)) != 0) {
    ::close(Descriptor);
    return nullptr;
  }
  const int On = 1;
  ::setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return std::make_unique<Connection>(Descriptor);
}

bool Connection::write(const std::string &Bytes) {
  for (std::size_t Done = 0; Done < Bytes.size();) {
    const ssize_t Count =
        ::send(Descriptor_, Bytes.data() + Done, Bytes.size() - Done, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Done += static_cast<std::size_t>(Count);
  }
  return true;
}

int Connection::read(char *Data, int Most, double Limit) {
  if (!Input_.empty()) {
    const int Count = std::min<int>(Most, static_cast<int>(Input_.size()));
    std::memcpy(Data, Input_.data(), static_cast<std::size_t>(Count));
    Input_.erase(0, static_cast<std::size_t>(Count));
    return Count;
  }
  pollfd Item{Descriptor_, POLLIN, 0};
  if (::poll(&Item, 1, std::max(0, static_cast<int>(Limit * 1000))) <= 0)
    return -1;
  const ssize_t Count = ::recv(Descriptor_, Data, static_cast<std::size_t>(Most), 0);
  return Count < 0 ? -1 : static_cast<int>(Count);
}

bool Connection::fill(double Limit) {
  char Data[65536];
  pollfd Item{Descriptor_, POLLIN, 0};
  if (::poll(&Item, 1, std::max(0, static_cast<int>(Limit * 1000))) <= 0)
    return false;
  const ssize_t Count = ::recv(Descriptor_, Data, sizeof(Data), 0);
  if (Count <= 0)
    return false;
  Input_.append(Data, static_cast<std::size_t>(Count));
  return true;
}

std::optional<std::string> Connection::line(double Limit) {
  const double End = seconds() + Limit;
  for (std::size_t Found = 0; (Found = Input_.find("\r\n")) == std::string::npos;)
    if (!fill(End - seconds()))
      return std::nullopt;
  const std::size_t Found = Input_.find("\r\n");
  std::string Result = Input_.substr(0, Found);
  Input_.erase(0, Found + 2);
  return Result;
}

std::optional<std::string> Connection::bytes(std::size_t Count, double Limit) {
  const double End = seconds() + Limit;
  while (Input_.size() < Count)
    if (!fill(End - seconds()))
      return std::nullopt;
  std::string Result = Input_.substr(0, Count);
  Input_.erase(0, Count);
  return Result;
}

void Connection::shutdown() { ::shutdown(Descriptor_, SHUT_RDWR); }

void Connection::close() {
  if (Descriptor_ >= 0)
    ::close(Descriptor_);
  Descriptor_ = -1;
}

std::string Message::header(const std::string &Name) const {
  const auto Found = Headers_.find(Name);
  return Found == Headers_.end() ? std::string() : Found->second;
}

int Message::status() const { return std::atoi(First_.c_str() + First_.find(' ') + 1); }

std::optional<Message> readMessage(Connection &From, double Limit) {
  const double End = seconds() + Limit;
  Message Result;
  auto Line = From.line(Limit);
  if (!Line)
    return std::nullopt;
  Result.First_ = *Line;
  while ((Line = From.line(End - seconds())) && !Line->empty()) {
    const std::size_t Colon = Line->find(':');
    std::string Name = Line->substr(0, Colon);
    for (char &C : Name)
      C = static_cast<char>(std::tolower(C));
    const std::size_t Value = Line->find_first_not_of(' ', Colon + 1);
    Result.Headers_[Name] = Value == std::string::npos ? "" : Line->substr(Value);
  }
  if (!Line)
    return std::nullopt;
  const auto Body =
      From.bytes(static_cast<std::size_t>(std::atoll(Result.header("content-length").c_str())),
                 End - seconds());
  if (!Body)
    return std::nullopt;
  Result.Body_ = *Body;
  return Result;
}

std::string request(const std::string &Method, const std::string &Path, const std::string &Host,
                    const std::string &Id, int DeadlineMs, const std::string &Key,
                    const std::string &Body) {
  std::string Out = Method + " " + Path + " HTTP/1.1\r\nHost: " + Host + "\r\nRequest-Id: " + Id +
                    "\r\nDeadline-Ms: " + std::to_string(DeadlineMs) +
                    "\r\nAuthorization: Bearer " + Key + "\r\n";
  if (!Body.empty() || Method == "POST")
    Out += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Out + "\r\n" + Body;
}

int call(const std::string &Ip, int Port, const std::string &Request, double Limit,
         Message *Answer) {
  const auto Link = Connection::open(Ip, Port);
  if (!Link)
    return 0;
  if (!Link->write(Request))
    return -1;
  const auto Result = readMessage(*Link, Limit);
  if (Result && Answer != nullptr)
    *Answer = *Result;
  return Result ? Result->status() : -1;
}

Listener::Listener(std::string Ip, int Port, Serve Handler)
    : Ip_(std::move(Ip)), Descriptor_(listenOn(Ip_, Port)), Handler_(std::move(Handler)) {
  if (Descriptor_ < 0)
    giveUp("address in use: " + Ip_ + ":" + std::to_string(Port));
  Thread_ = std::thread([this] { accept(); });
}

Listener::~Listener() { stop(); }

void Listener::accept() {
  while (!Stopped_) {
    pollfd Item{Descriptor_, POLLIN, 0};
    if (::poll(&Item, 1, 100) <= 0)
      continue;
    const int Descriptor = ::accept4(Descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
    if (Descriptor < 0)
      continue;
    const int On = 1;
    ::setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    const auto Open = std::make_shared<Connection>(Descriptor);
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Open_.push_back(Open);
    Threads_.emplace_back([this, Open] {
      Handler_(*Open);
      Open->shutdown();
    });
  }
}

void Listener::stop() {
  if (Stopped_.exchange(true))
    return;
  Thread_.join();
  ::close(Descriptor_);
  for (const auto &Open : Open_)
    Open->shutdown();
  for (std::thread &Item : Threads_)
    Item.join();
}

Store::Store(std::string Ip, int Port) : Ip_(std::move(Ip)), Port_(Port) {
  Listener_ = std::make_unique<Listener>(Ip_, Port_, [this](Connection &From) { serve(From); });
}

void Store::put(const std::string &Key, const std::string &Value) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  Items_[Key] = {Value, ++Rev_};
  Events_.push_back({seconds(), Rev_, Key, false, Value});
  Changed_.notify_all();
}

void Store::remove(const std::string &Key) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  if (Items_.erase(Key) != 0)
    Events_.push_back({seconds(), ++Rev_, Key, true, {}});
  Changed_.notify_all();
}

void Store::setDown(bool Down) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  Down_ = Down;
  ++Cuts_;
  Changed_.notify_all();
}

json Store::item(const std::string &Key) const {
  const auto &[Value, Rev] = Items_.at(Key);
  return {{"Key", Key}, {"Value", base64(Value)}, {"Rev", Rev}, {"CreateRev", Rev}, {"Lease", 0}};
}

void Store::serve(Connection &From) {
  while (const auto Call = readMessage(From, 600.0)) {
    const std::string Target = Call->First_.substr(4, Call->First_.rfind(' ') - 4);
    const auto Query = query(Target);
    std::unique_lock<std::mutex> Lock(Mutex_);
    const std::uint64_t Cuts = Cuts_;
    if (Down_) {
      Changed_.wait(Lock, [&] { return Cuts_ != Cuts; });
      return;
    }
    json Body;
    if (Target.rfind("/api/kv-range", 0) == 0) {
      json Items = json::array();
      const auto After = Query.find("after");
      auto Item = After == Query.end() ? Items_.begin() : Items_.upper_bound(After->second);
      for (std::size_t Bytes = 0; Item != Items_.end() && Bytes < PageBytes; ++Item) {
        Items.push_back(item(Item->first));
        Bytes += Item->second.first.size();
      }
      Body = {{"items", Items}, {"MorePages", Item != Items_.end()}, {"CurrentRev", Rev_}};
    } else {
      const std::uint64_t After = std::stoull(Query.at("after"));
      Changed_.wait_for(Lock, std::chrono::milliseconds(std::stol(Query.at("WaitMs"))),
                        [&] { return Cuts_ != Cuts || Rev_ > After; });
      if (Cuts_ != Cuts)
        return;
      const double Oldest = seconds() - HistoryS;
      while (!Events_.empty() && Events_.front().At_ < Oldest) {
        Forgotten_ = Events_.front().Rev_;
        Events_.pop_front();
      }
      if (After < Forgotten_) {
        Lock.unlock();
        if (!From.write(response(410, {}, "")))
          return;
        continue;
      }
      json Events = json::array();
      for (const Event &Item : Events_) {
        if (Item.Rev_ <= After)
          continue;
        if (Item.Removed_)
          Events.push_back({{"Key", Item.Key_}, {"Rev", Item.Rev_}, {"Removed", true}});
        else
          Events.push_back({{"Key", Item.Key_},
                            {"Value", base64(Item.Value_)},
                            {"Rev", Item.Rev_},
                            {"CreateRev", Item.Rev_},
                            {"Lease", 0}});
      }
      Body = {{"events", Events}, {"CurrentRev", Rev_}};
    }
    Lock.unlock();
    sleepSeconds(AnswerS_);
    if (!From.write(response(200, {"Content-Type: application/json"}, Body.dump())))
      return;
  }
}

Backend::Backend(Store &Platform, std::string Id, std::string Service, std::string Zone,
                 std::string Ip, int Port, double WorkS, std::size_t AnswerBytes)
    : Platform_(Platform), Id_(std::move(Id)), Service_(std::move(Service)), Zone_(std::move(Zone)),
      Ip_(std::move(Ip)), Port_(Port), WorkS_(WorkS), AnswerBytes_(AnswerBytes),
      BornMs_(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                             std::chrono::system_clock::now().time_since_epoch())
                                             .count())) {
  Listener_ = std::make_unique<Listener>(Ip_, Port_, [this](Connection &From) { serve(From); });
}

void Backend::announce() {
  Platform_.put(
      "servers/" + Id_,
      json{{"Address", Ip_ + ":" + std::to_string(Port_)},
           {"Info", {{"Service", Service_}, {"Version", "v1"}, {"Zone", Zone_}, {"Slots", Slots_}}},
           {"Status", {{"State", "ready"}, {"Sequence", 1}, {"ColdRemainingMs", 0}}},
           {"born", BornMs_}}
          .dump());
}

std::vector<Backend::Run> Backend::runs() {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return Runs_;
}

bool Backend::hasRun(const std::string &Id) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  for (const Run &Item : Runs_)
    if (Item.Id_ == Id)
      return true;
  return false;
}

void Backend::serve(Connection &From) {
  while (const auto Call = readMessage(From, 600.0)) {
    const std::string Id = Call->header("request-id");
    if (Call->header("target-instance") != Id_) {
      if (!From.write(response(421, {"Request-Id: " + Id, "Instance-Id: " + Id_}, "")))
        return;
      continue;
    }
    {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      Runs_.push_back({seconds(), Id, Call->header("tenant-id"), Call->Body_.size()});
    }
    if (Logged_)
      record("backend " + Id_ + " runs " + Id);
    sleepSeconds(WorkS_);
    if (!From.write(response(200, {"Request-Id: " + Id, "Server-Signature: sig-" + Id},
                             std::string(AnswerBytes_, 'a'))))
      return;
  }
}

Node::Node(const std::string &Ip, const std::string &Zone, const std::string &Service,
           const Store &Platform, const Ports &Used, const std::string &Folder)
    : Ip_(Ip), Ports_(Used), Settings_(Folder + "/" + Ip + ".yaml"),
      Log_(Folder + "/" + Ip + ".log") {
  const auto At = [&](int Port) { return Ip + ":" + std::to_string(Port); };
  const std::map<std::string, std::string> Values{
      {"Ip", Ip},
      {"Zone", Zone},
      {"Region", "western"},
      {"Service", Service},
      {"Listen.Outbound", At(Used.Caller_)},
      {"Listen.Inbound", At(Used.Inbound_)},
      {"Listen.Ready", At(Used.Ready_)},
      {"PortRange.0", std::to_string(Used.Peer_)},
      {"AppAddr", At(Used.App_)},
      {"Provider.Address", Platform.ip() + ":" + std::to_string(Platform.port())},
      {"Zones|json", R"({"colombo":"western","negombo":"western"})"},
      {"Bounds.RetryBudgetRatio", "0.2"},
      {"Bounds.BudgetSlack", "50"},
      {"Bounds.GracePeriodS", "6"},
      {"Bounds.ConfigApplyMs", "2000"}};
  std::ifstream In("deploy/settings.yaml");
  std::stringstream Template;
  Template << In.rdbuf();
  std::string Text = Template.str();
  if (Text.empty())
    giveUp("no template of the settings");
  for (const auto &[Name, Value] : Values) {
    const std::string Mark = "{{" + Name + "}}";
    for (std::size_t Found = 0; (Found = Text.find(Mark)) != std::string::npos;)
      Text.replace(Found, Mark.size(), Value);
  }
  std::ofstream(Settings_) << Text;
}

Node::~Node() {
  if (Pid_ == 0)
    return;
  ::kill(Pid_, SIGKILL);
  ::waitpid(Pid_, nullptr, 0);
}

void Node::start() {
  record("node " + Ip_ + " starts");
  const char *Program = "target/bronzestandd";
  Pid_ = ::fork();
  if (Pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Output = ::open(Log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Output, STDOUT_FILENO);
    ::dup2(Output, STDERR_FILENO);
    ::execl(Program, Program, "--settings", Settings_.c_str(), nullptr);
    ::_exit(127);
  }
}

void Node::signal(int Number) {
  record("node " + Ip_ + " gets signal " + std::to_string(Number));
  ::kill(Pid_, Number);
}

bool Node::hasEnded() {
  int Status = 0;
  if (Pid_ == 0 || ::waitpid(Pid_, &Status, WNOHANG) != Pid_)
    return Pid_ == 0;
  record("node " + Ip_ + " has ended" +
         (WIFSIGNALED(Status) ? " by signal " + std::to_string(WTERMSIG(Status))
                              : " with status " + std::to_string(WEXITSTATUS(Status))));
  Pid_ = 0;
  return true;
}

void Node::waitEnd(double Limit) {
  for (const double End = seconds() + Limit; !hasEnded() && seconds() < End;)
    sleepSeconds(0.02);
}

bool Node::isReady() const {
  return call(Ip_, Ports_.Ready_, "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
              1.0) == 200;
}

void Node::waitReady(double Limit) {
  for (const double End = seconds() + Limit; !isReady(); sleepSeconds(0.05)) {
    if (hasEnded())
      giveUp("node " + Ip_ + " did not start");
    if (seconds() > End)
      giveUp("node " + Ip_ + " is not ready");
  }
}

double Node::peakMb() const { return statusMb(Pid_, "VmHWM"); }
double Node::memoryMb() const { return statusMb(Pid_, "VmRSS"); }

Folder::Folder() {
  char Name[] = "/tmp/bronzestand-review-XXXXXX";
  if (::mkdtemp(Name) == nullptr)
    giveUp("no temporary folder");
  Path_ = Name;
}

Folder::~Folder() {
  if (std::getenv("KEEP") == nullptr && std::system(("rm -rf " + Path_).c_str()) != 0)
    std::cerr << "could not remove " << Path_ << "\n";
}

json configuration(std::uint64_t Version, const std::string &Service, double RatePerS,
                   double Burst) {
  const auto Row = [](json::initializer_list_t Values) { return json::array(Values); };
  json Result;
  Result["Version"] = Version;
  Result["Routes"]["Columns"] =
      Row({"Name", "Host", "Prefix", "Kind", "TimeoutMs", "TargetLatencyMs", "Priority",
           "TrafficSplit", "MaxAttempts", "Public", "Service"});
  Result["Routes"]["Rows"] = Row({Row({"r-safe", "hulo84.example", "/safe/", "safe", 5000, 1500, 2,
                                       nullptr, 2, false, Service}),
                                  Row({"r-unsafe", "hulo84.example", "/unsafe/", "unsafe", 5000,
                                       2000, 0, nullptr, 2, false, Service})});
  Result["Services"]["Columns"] = Row({"Name", "HealthPath", "MaxConnections", "Protocol", "Tls"});
  Result["Services"]["Rows"].push_back(Row({Service, "/health", 316, "h1", false}));
  Result["Limits"] = {{"MaxHeaderBytes", 16384},
                      {"MaxBodyBytes", 67108864},
                      {"HeaderTimeoutMs", 3000},
                      {"IdleTimeoutMs", 15000}};
  Result["Tenants"]["Columns"] = Row({"Name", "ApiKeys", "Priority", "RatePerS", "Burst"});
  Result["Tenants"]["Rows"].push_back(Row({"acme", Row({"key-acme"}), 1, RatePerS, Burst}));
  return Result;
}

} // namespace review
