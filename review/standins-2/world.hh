// Stand-ins for the scripts of this review: the platform's store, backends and clients as threads
// of one program, and the daemons as separate processes. All addresses are loopback addresses.
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

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

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline double seconds() {
  static const auto Start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - Start).count();
}
inline void sleepFor(double S) { std::this_thread::sleep_for(std::chrono::duration<double>(S)); }

/// record.txt: what was sent, answered and run.
class Record {
public:
  void open(const std::string &File) { Out_.open(File); }
  void line(const std::string &Text) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    char Time[32];
    std::snprintf(Time, sizeof(Time), "%9.4f ", seconds());
    Out_ << Time << Text << std::endl;
  }

private:
  std::mutex Mutex_;
  std::ofstream Out_;
};
inline Record &record() {
  static Record Item;
  return Item;
}

inline sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

inline int listenOn(const std::string &Ip, int Port) {
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  const sockaddr_in Address = addressOf(Ip, Port);
  if (bind(Fd, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address)) != 0 ||
      listen(Fd, 512) != 0) {
    close(Fd);
    return -1;
  }
  return Fd;
}

/// \param BufferBytes size of the receive buffer; 0 for that of the system.
inline int connectTo(const std::string &Ip, int Port, int BufferBytes = 0) {
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (BufferBytes != 0)
    setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &BufferBytes, sizeof(BufferBytes));
  const sockaddr_in Address = addressOf(Ip, Port);
  if (connect(Fd, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address)) != 0) {
    close(Fd);
    return -1;
  }
  const int One = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  return Fd;
}

inline bool sendAll(int Fd, const std::string &Text) {
  std::size_t Done = 0;
  while (Done < Text.size()) {
    const ssize_t Count = ::send(Fd, Text.data() + Done, Text.size() - Done, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Done += static_cast<std::size_t>(Count);
  }
  return true;
}

/// An HTTP/1.1 message. The first line holds the method and target, or the status.
struct Message {
  std::string First_;
  std::vector<std::pair<std::string, std::string>> Headers_;
  std::string Body_;

  std::string header(const std::string &Name) const {
    for (const auto &[Key, Value] : Headers_)
      if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return Value;
    return {};
  }
  std::string method() const { return First_.substr(0, First_.find(' ')); }
  std::string target() const {
    const auto From = First_.find(' ') + 1;
    return First_.substr(From, First_.find(' ', From) - From);
  }
  int status() const { return First_.size() < 12 ? 0 : std::atoi(First_.c_str() + 9); }
};

/// Reads messages with a length from a connection.
class Reader {
public:
  /// \param BytesPerS reads no faster than this; 0 for no limit.
  explicit Reader(int Fd, double BytesPerS = 0.0) : Fd_(Fd), BytesPerS_(BytesPerS) {}
  /// \param HasBody false for the answer to a HEAD request, which has no content.
  /// \return false at the end of the connection or after the time.
  bool read(Message &Out, double TimeoutS, bool HasBody = true) {
    const double Until = seconds() + TimeoutS;
    std::size_t End = 0;
    while ((End = Buffer_.find("\r\n\r\n")) == std::string::npos)
      if (!more(Until))
        return false;
    Out = Message();
    std::istringstream Lines(Buffer_.substr(0, End));
    std::string Line;
    std::getline(Lines, Line);
    Out.First_ = Line.substr(0, Line.find('\r'));
    while (std::getline(Lines, Line)) {
      Line = Line.substr(0, Line.find('\r'));
      const auto Colon = Line.find(':');
      auto Value = Line.substr(Colon + 1);
      Value.erase(0, Value.find_first_not_of(' '));
      Out.Headers_.emplace_back(Line.substr(0, Colon), Value);
    }
    Buffer_.erase(0, End + 4);
    const std::size_t Length =
        HasBody ? std::strtoul(Out.header("Content-Length").c_str(), nullptr, 10) : 0;
    while (Buffer_.size() < Length)
      if (!more(Until))
        return false;
    Out.Body_ = Buffer_.substr(0, Length);
    Buffer_.erase(0, Length);
    return true;
  }
  bool timedOut() const { return TimedOut_; }

private:
  bool more(double Until) {
    TimedOut_ = false;
    pollfd Item{Fd_, POLLIN, 0};
    const int Left = static_cast<int>(std::max(0.0, Until - seconds()) * 1000.0);
    if (poll(&Item, 1, Left) <= 0) {
      TimedOut_ = true;
      return false;
    }
    char Bytes[65536];
    const ssize_t Count = recv(Fd_, Bytes, sizeof(Bytes), 0);
    if (Count <= 0)
      return false;
    Buffer_.append(Bytes, static_cast<std::size_t>(Count));
    if (BytesPerS_ > 0.0)
      sleepFor(static_cast<double>(Count) / BytesPerS_);
    return true;
  }

  int Fd_;
  double BytesPerS_;
  std::string Buffer_;
  bool TimedOut_ = false;
};

inline std::string hexOf(std::size_t Value) {
  char Text[20];
  std::snprintf(Text, sizeof(Text), "%zx", Value);
  return Text;
}

inline std::string base64(const std::string &In) {
  static const char *Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (std::size_t At = 0; At < In.size(); At += 3) {
    unsigned Value = 0;
    for (std::size_t Next = 0; Next < 3; ++Next)
      Value =
          Value << 8U | (At + Next < In.size() ? static_cast<unsigned char>(In[At + Next]) : 0U);
    for (std::size_t Next = 0; Next < 4; ++Next)
      Out += At + Next <= In.size() ? Digits[Value >> (18 - 6 * Next) & 63U] : '=';
  }
  return Out;
}

/// A server with one thread for each connection.
class Server {
public:
  using Handler = std::function<void(int Fd)>;
  virtual ~Server() { stop(); }
  bool start(const std::string &Ip, int Port, Handler Handle) {
    Fd_ = listenOn(Ip, Port);
    if (Fd_ < 0)
      return false;
    Handle_ = std::move(Handle);
    Stopped_ = false;
    Thread_ = std::thread([this] { accept(); });
    return true;
  }
  /// Ends the listener and all connections at once, as the end of the process would.
  void stop() {
    if (Stopped_.exchange(true))
      return;
    shutdown(Fd_, SHUT_RDWR);
    if (Thread_.joinable())
      Thread_.join();
    close(Fd_);
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      for (const int Fd : Open_)
        shutdown(Fd, SHUT_RDWR);
    }
    while (Running_ != 0)
      sleepFor(0.001);
  }
  bool isStopped() const { return Stopped_; }

private:
  void accept() {
    while (!Stopped_) {
      const int Fd = accept4(Fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd < 0)
        return;
      const int One = 1;
      setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
      ++Running_;
      {
        std::lock_guard<std::mutex> Lock(Mutex_);
        Open_.insert(Fd);
      }
      std::thread([this, Fd] {
        Handle_(Fd);
        {
          std::lock_guard<std::mutex> Lock(Mutex_);
          Open_.erase(Fd);
          close(Fd);
        }
        --Running_;
      }).detach();
    }
  }

  int Fd_ = -1;
  Handler Handle_;
  std::thread Thread_;
  std::atomic<bool> Stopped_{true};
  std::atomic<int> Running_{0};
  std::mutex Mutex_;
  std::set<int> Open_;
};

/// The platform's store: pages, watches, one revision counter.
class Store {
public:
  ~Store() { stop(); }
  bool start(const std::string &Ip, int Port) {
    return Server_.start(Ip, Port, [this](int Fd) { serve(Fd); });
  }
  void stop() {
    Stopping_ = true;
    Changed_.notify_all();
    Server_.stop();
  }
  void put(const std::string &Key, const std::string &Value) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Items_[Key] = item(Key, Value, ++Revision_);
    Events_.emplace_back(Revision_, Items_[Key]);
    Changed_.notify_all();
  }
  void remove(const std::string &Key) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (Items_.erase(Key) == 0)
      return;
    ++Revision_;
    Events_.emplace_back(Revision_, "{\"Key\":\"" + Key + "\",\"Rev\":" +
                                        std::to_string(Revision_) + ",\"Removed\":true}");
    Changed_.notify_all();
  }

private:
  static std::string item(const std::string &Key, const std::string &Value, long Rev) {
    return "{\"Key\":\"" + Key + "\",\"Value\":\"" + base64(Value) +
           "\",\"Rev\":" + std::to_string(Rev) + ",\"CreateRev\":" + std::to_string(Rev) +
           ",\"Lease\":0}";
  }
  static long query(const std::string &Target, const std::string &Name) {
    const auto At = Target.find(Name + "=");
    return At == std::string::npos ? 0 : std::atol(Target.c_str() + At + Name.size() + 1);
  }
  void serve(int Fd) {
    Reader In(Fd);
    Message Request;
    while (!Stopping_ && In.read(Request, 60.0)) {
      std::string Body;
      if (Request.target().rfind("/api/kv-watch", 0) == 0)
        Body = watch(Request.target());
      else
        Body = list();
      if (!sendAll(Fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                           std::to_string(Body.size()) + "\r\n\r\n" + Body))
        return;
    }
  }
  std::string list() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    std::string Items;
    for (const auto &[Key, Text] : Items_)
      Items += (Items.empty() ? "" : ",") + Text;
    return "{\"items\":[" + Items +
           "],\"MorePages\":false,\"CurrentRev\":" + std::to_string(Revision_) + "}";
  }
  std::string watch(const std::string &Target) {
    const long After = query(Target, "after");
    std::unique_lock<std::mutex> Lock(Mutex_);
    Changed_.wait_for(Lock, std::chrono::milliseconds(query(Target, "WaitMs")),
                      [&] { return Stopping_ || Revision_ > After; });
    std::string Events;
    for (const auto &[Rev, Text] : Events_)
      if (Rev > After)
        Events += (Events.empty() ? "" : ",") + Text;
    return "{\"events\":[" + Events + "],\"CurrentRev\":" + std::to_string(Revision_) + "}";
  }

  Server Server_;
  std::atomic<bool> Stopping_{false};
  std::mutex Mutex_;
  std::condition_variable Changed_;
  long Revision_ = 100;
  std::map<std::string, std::string> Items_;
  std::vector<std::pair<long, std::string>> Events_;
};

/// A backend beside one node. It runs each request for a time and answers with its signature. A
/// request that names another backend gets 421, as in the platform's examples.
class Backend {
public:
  struct Run {
    std::string Request_;
    std::string Body_;
  };
  Backend(std::string Ip, int Port, std::string Service, std::string Zone, Store &Platform)
      : Ip_(std::move(Ip)), Port_(Port), Service_(std::move(Service)), Zone_(std::move(Zone)),
        Platform_(Platform) {}
  ~Backend() {
    Alive_ = false;
    Server_.stop();
  }
  bool start(const std::string &Id) {
    Id_ = Id;
    const auto Now = std::chrono::system_clock::now().time_since_epoch();
    BornMs_ = std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
    if (!Server_.start(Ip_, Port_, [this](int Fd) { serve(Fd); }))
      return false;
    Alive_ = true;
    Sequence_ = 0;
    StartedAt_ = seconds();
    sleepFor(ListedAfterS_);
    announce();
    record().line("backend " + Id_ + " of " + Service_ + " starts at " + Ip_);
    return true;
  }
  /// Ends without a word to the store; the entry stays there until it expires.
  void crash() {
    record().line("backend " + Id_ + " is killed");
    Alive_ = false;
    Server_.stop();
  }
  /// Writes the entry. Heartbeats change nothing but the sequence, so they are no changes.
  void announce(const char *State = "ready") {
    std::ostringstream Text;
    Text << "{\"Address\":\"" << Ip_ << ":" << Port_ << "\",\"Info\":{\"Service\":\"" << Service_
         << "\",\"Version\":\"v1\",\"Zone\":\"" << Zone_ << "\",\"Slots\":" << Slots_
         << "},\"Status\":{\"State\":\"" << State << "\",\"Sequence\":" << ++Sequence_
         << ",\"ColdRemainingMs\":0},\"born\":" << BornMs_ << "}";
    Platform_.put("servers/" + Id_, Text.str());
  }
  const std::string &id() const { return Id_; }

  int Slots_ = 36;
  double WorkS_ = 0.03;
  std::size_t BodyBytes_ = 0; ///< least size of the bodies of its answers
  double ListedAfterS_ = 0.0; ///< from the start of its listener until it has written its entry
  /// Time for any answer in the first seconds after a start, in which a backend is slow.
  double StartingWorkS_ = 0.0;
  double StartingS_ = 0.0;
  /// Called with each answer before it is sent; returns whether a copy of it follows, late: at the
  /// point where the next answer on the connection is expected.
  std::function<bool(const Message &Request, int Status)> CopiesLate_;
  /// Called with each request that has run; if it returns lines, the answer has chunks and ends
  /// with these lines as its trailer.
  std::function<std::string(const Message &Request)> Trailer_;
  /// Called with each request that runs.
  std::function<void(const Backend &Self, const Message &Request)> OnRun_;
  std::atomic<int> Answers_{0};
  std::atomic<int> Copies_{0};

private:
  bool isStarting() const { return seconds() - StartedAt_ < StartingS_; }
  void serve(int Fd) {
    Reader In(Fd);
    Message Request;
    std::string Late;
    while (Alive_ && In.read(Request, 10.0)) {
      const std::string Request_ = Request.header("Request-Id");
      if (!Late.empty()) {
        record().line("backend " + Id_ + " sends the late copy on the connection of " + Request_);
        if (!sendAll(Fd, Late))
          return;
        Late.clear();
      }
      std::string Answer;
      int Status = 200;
      if (Request.header("Target-Instance") != Id_ && Request.target() != "/health") {
        Status = 421;
        sleepFor(isStarting() ? StartingWorkS_ : 0.0);
        Answer = "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + Request_ +
                 "\r\nInstance-Id: " + Id_ + "\r\nContent-Length: 0\r\n\r\n";
        record().line("backend " + Id_ + " rejects " + Request_ + " with 421, it names " +
                      Request.header("Target-Instance"));
      } else {
        if (OnRun_)
          OnRun_(*this, Request);
        sleepFor(isStarting() ? std::max(WorkS_, StartingWorkS_) : WorkS_);
        std::string Body = "served " + Request_;
        Body.resize(std::max(Body.size(), BodyBytes_), '.');
        const std::string Trailer = Trailer_ ? Trailer_(Request) : "";
        Answer = "HTTP/1.1 200 OK\r\nRequest-Id: " + Request_ + "\r\nServer-Signature: " + Id_ +
                 ".1\r\nInstance-Load: 1,0," + std::to_string(Slots_) + "\r\n";
        if (Trailer.empty())
          Answer += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
                    (Request.method() == "HEAD" ? "" : Body);
        else
          Answer += "Transfer-Encoding: chunked\r\n\r\n" + hexOf(Body.size()) + "\r\n" + Body +
                    "\r\n0\r\n" + Trailer + "\r\n";
      }
      ++Answers_;
      if (CopiesLate_ && CopiesLate_(Request, Status)) {
        ++Copies_;
        Late = Answer;
      }
      if (!Alive_ || !sendAll(Fd, Answer))
        return;
    }
  }

  std::string Ip_;
  int Port_;
  std::string Service_;
  std::string Zone_;
  Store &Platform_;
  std::string Id_;
  long BornMs_ = 0;
  double StartedAt_ = 0.0;
  std::atomic<long> Sequence_{0};
  std::atomic<bool> Alive_{false};
  Server Server_;
};

/// A daemon, started with the command of the deploy file.
class Daemon {
public:
  struct Ports {
    int Caller_ = 0, Egress_ = 0, Peer_ = 0, Operator_ = 0, Backend_ = 0, Metrics_ = 0;
  };
  Daemon(std::string Folder, std::string Ip, const Ports &Numbers)
      : Folder_(std::move(Folder)), Ip_(std::move(Ip)), Ports_(Numbers) {}
  ~Daemon() { kill(SIGKILL); }
  void configure(const std::string &Zone, const std::string &Region, const std::string &Service,
                 const std::string &StoreAddress, const std::string &Regions) {
    std::ofstream Out(file());
    const auto At = [&](int Port) { return "\"" + Ip_ + ":" + std::to_string(Port) + "\"\n"; };
    Out << "host_id: \"" << Ip_ << "\"\ndata_centre: \"" << Zone << "\"\nregion: \"" << Region
        << "\"\nservice: \"" << Service << "\"\ncaller_listen: " << At(Ports_.Caller_)
        << "egress_listen: " << At(Ports_.Egress_) << "peer_listen: " << At(Ports_.Peer_)
        << "operator_listen: " << At(Ports_.Operator_) << "backend_server: " << At(Ports_.Backend_)
        << "mesh:\n  store: \"" << StoreAddress << "\"\n  regions: " << Regions
        << "\n  retry_ratio: 0.2\n  retry_allowance: 50\n  grace_seconds: 6\n  apply_ms: 2000\n"
        << "  metrics_listen: " << At(Ports_.Metrics_);
  }
  void start() {
    const std::string Log = Folder_ + "/" + Ip_ + ".log";
    const std::string Settings = file();
    Pid_ = fork();
    if (Pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this program, whatever ends it
      const int Fd = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(Fd, 1);
      dup2(Fd, 2);
      execl("target/bronzestandd", "target/bronzestandd", "--settings", Settings.c_str(),
            "--memory-mb", "260",
            "--cold-over=", "--cold-slack=", "--evacuate-ms=", static_cast<char *>(nullptr));
      _exit(127);
    }
    record().line("node " + Ip_ + " starts");
  }
  void kill(int Signal) {
    if (Pid_ <= 0)
      return;
    ::kill(Pid_, Signal);
    if (Signal == SIGKILL) {
      waitpid(Pid_, nullptr, 0);
      Pid_ = 0;
    }
  }
  /// \return whether the process runs.
  bool isRunning() {
    if (Pid_ > 0 && waitpid(Pid_, &EndStatus_, WNOHANG) == Pid_)
      Pid_ = 0;
    return Pid_ > 0;
  }
  int endStatus() const { return EndStatus_; }
  pid_t pid() const { return Pid_; }
  const std::string &ip() const { return Ip_; }
  const Ports &ports() const { return Ports_; }
  bool isReady() const {
    const int Fd = connectTo(Ip_, Ports_.Operator_);
    if (Fd < 0)
      return false;
    Message Answer;
    Reader In(Fd);
    const bool Ok = sendAll(Fd, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n") &&
                    In.read(Answer, 1.0) && Answer.status() == 200;
    close(Fd);
    return Ok;
  }
  bool waitReady(double TimeoutS) const {
    for (const double Until = seconds() + TimeoutS; seconds() < Until; sleepFor(0.1))
      if (isReady())
        return true;
    return false;
  }

private:
  std::string file() const { return Folder_ + "/" + Ip_ + ".yaml"; }
  std::string Folder_;
  std::string Ip_;
  Ports Ports_;
  pid_t Pid_ = 0;
  int EndStatus_ = 0;
};

/// Finds ports that are free on all the addresses.
inline std::vector<int> freePorts(const std::vector<std::string> &Ips, std::size_t Count) {
  std::vector<int> Result;
  std::srand(static_cast<unsigned>(getpid()));
  while (Result.size() < Count) {
    const int Port = 20000 + std::rand() % 12000;
    bool Free = std::find(Result.begin(), Result.end(), Port) == Result.end();
    for (const std::string &Ip : Ips) {
      const int Fd = Free ? listenOn(Ip, Port) : -1;
      Free = Free && Fd >= 0;
      if (Fd >= 0)
        close(Fd);
    }
    if (Free)
      Result.push_back(Port);
  }
  return Result;
}

inline std::string newId() {
  static std::atomic<unsigned long> Last{0};
  char Text[24];
  std::snprintf(Text, sizeof(Text), "%08lx%08lx", static_cast<unsigned long>(getpid()), ++Last);
  return Text;
}

/// A client's connection to its node.
class Client {
public:
  Client(std::string Ip, int Port) : Ip_(std::move(Ip)), Port_(Port) {}
  ~Client() { drop(); }
  void drop() {
    if (Fd_ >= 0)
      close(Fd_);
    Fd_ = -1;
    In_.reset();
  }
  /// Sends one request on the kept connection. \return the status; 0 if the connection ended
  /// without an answer, -1 without an answer in time, -2 without a connection.
  int request(const std::string &Method, const std::string &Host, const std::string &Target,
              const std::string &Id, int DeadlineMs, const std::string &Body, Message &Answer) {
    if (Fd_ < 0) {
      Fd_ = connectTo(Ip_, Port_, BytesPerS_ > 0.0 ? 65536 : 0);
      if (Fd_ < 0)
        return -2;
      In_ = std::make_unique<Reader>(Fd_, BytesPerS_);
    }
    std::string Text = Method + " " + Target + " HTTP/1.1\r\nHost: " + Host +
                       "\r\nRequest-Id: " + Id + "\r\nDeadline-Ms: " + std::to_string(DeadlineMs) +
                       "\r\n";
    if (!Key_.empty())
      Text += "Authorization: Bearer " + Key_ + "\r\n";
    if (!Body.empty())
      Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
    if (!sendAll(Fd_, Text + "\r\n" + Body) ||
        !In_->read(Answer, DeadlineMs / 1000.0 + 1.0, Method != "HEAD")) {
      const bool Late = In_->timedOut();
      drop();
      return Late ? -1 : 0;
    }
    if (strcasecmp(Answer.header("Connection").c_str(), "close") == 0)
      drop();
    return Answer.status();
  }
  std::string Key_;
  double BytesPerS_ = 0.0; ///< reads its answers no faster than this; 0 for no limit

private:
  std::string Ip_;
  int Port_;
  int Fd_ = -1;
  std::unique_ptr<Reader> In_;
};

} // namespace review

#endif
