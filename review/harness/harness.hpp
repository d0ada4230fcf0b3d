// Shared parts of the review's scripts: the node as a separate process, and stand-ins of the
// platform's store, of backend servers and of clients. Everything listens on loopback addresses.
#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using json = nlohmann::json;
using Clock = std::chrono::steady_clock;

/// Result of a script, as its exit status.
enum Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

/// Seconds since the start of the script.
double seconds();
void sleepSeconds(double Time);
/// Appends a line with the time to the record of the case.
void record(const std::string &Text);
void openRecord(const std::string &File);
/// Ends the script as one that could not run.
[[noreturn]] void giveUp(const std::string &Reason);
/// Whether the disruption is to happen (TROUBLE is not 0).
bool isTrouble();

/// Loopback address number N of this run; its /24 network is drawn from the process id.
std::string address(int N);
/// First of Count consecutive ports that are free on the addresses 1 to Last.
int freePorts(int Count, int Last);

/// A connected or accepted socket with buffered input.
class Connection {
public:
  explicit Connection(int Descriptor) : Descriptor_(Descriptor) {}
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection() { close(); }
  /// \param SmallWindow gives the connection the segment size of an Ethernet and a receive buffer
  /// of 8 KB, as over a network; otherwise the loopback interface buffers megabytes.
  static std::unique_ptr<Connection> open(const std::string &Ip, int Port,
                                          bool SmallWindow = false);
  bool write(const std::string &Bytes);
  /// Reads what has arrived, at most Most bytes. \return 0 at the end of the connection, -1 on an
  /// error or after Limit seconds.
  int read(char *Data, int Most, double Limit);
  /// Takes one line without its end; nothing at the end of the connection or after Limit seconds.
  std::optional<std::string> line(double Limit);
  std::optional<std::string> bytes(std::size_t Count, double Limit);
  void close();
  void shutdown();
  int descriptor() const { return Descriptor_; }

private:
  bool fill(double Limit);
  int Descriptor_;
  std::string Input_;
};

/// A request or a response.
struct Message {
  std::string First_;                          ///< request line or status line
  std::map<std::string, std::string> Headers_; ///< names in lower case
  std::string Body_;
  std::string header(const std::string &Name) const;
  int status() const;
};
std::optional<Message> readMessage(Connection &From, double Limit);
std::string request(const std::string &Method, const std::string &Path, const std::string &Host,
                    const std::string &Id, int DeadlineMs, const std::string &Key,
                    const std::string &Body = {});
/// Sends one request over a connection of its own. \return the status; 0 if the connection could
/// not be opened, -1 if it ended without an answer.
int call(const std::string &Ip, int Port, const std::string &Request, double Limit,
         Message *Answer = nullptr);

/// Accepts connections and runs a function for each in a thread of its own.
class Listener {
public:
  using Serve = std::function<void(Connection &)>;
  Listener(std::string Ip, int Port, Serve Handler);
  ~Listener();
  void stop();

private:
  void accept();
  std::string Ip_;
  int Descriptor_ = -1;
  Serve Handler_;
  std::atomic<bool> Stopped_{false};
  std::thread Thread_;
  std::mutex Mutex_;
  std::vector<std::shared_ptr<Connection>> Open_;
  std::vector<std::thread> Threads_;
};

/// Stand-in of the platform's store, as far as nodes read it.
class Store {
public:
  Store(std::string Ip, int Port);
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  /// While it is down, it accepts connections and answers nothing, and waiting calls are cut.
  void setDown(bool Down);
  int port() const { return Port_; }
  const std::string &ip() const { return Ip_; }

  double AnswerS_ = 0.0; ///< time before each answer

private:
  struct Event {
    double At_;
    std::uint64_t Rev_;
    std::string Key_;
    bool Removed_;
    std::string Value_;
  };
  void serve(Connection &From);
  json item(const std::string &Key) const;
  std::string Ip_;
  int Port_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::map<std::string, std::pair<std::string, std::uint64_t>> Items_;
  std::deque<Event> Events_;
  std::uint64_t Rev_ = 100;
  std::uint64_t Forgotten_ = 0; ///< revision of the last event that is no longer kept
  bool Down_ = false;
  std::uint64_t Cuts_ = 0;
  std::unique_ptr<Listener> Listener_;
};

/// Stand-in of a backend server. It runs each request for a time and answers it whole.
class Backend {
public:
  /// One request that it began to run.
  struct Run {
    double At_;
    std::string Id_;
    std::string Tenant_;
    std::size_t BodyBytes_;
  };
  Backend(Store &Platform, std::string Id, std::string Service, std::string Zone, std::string Ip,
          int Port, double WorkS, std::size_t AnswerBytes);
  void announce();
  const std::string &id() const { return Id_; }
  std::vector<Run> runs();
  bool hasRun(const std::string &Id);

  int Slots_ = 36;
  bool Logged_ = true; ///< records each run

private:
  void serve(Connection &From);
  Store &Platform_;
  std::string Id_;
  std::string Service_;
  std::string Zone_;
  std::string Ip_;
  int Port_;
  double WorkS_;
  std::size_t AnswerBytes_;
  std::uint64_t BornMs_;
  std::mutex Mutex_;
  std::vector<Run> Runs_;
  std::unique_ptr<Listener> Listener_;
};

/// Ports of the nodes; the same on all machines.
struct Ports {
  int Caller_, Inbound_, Ready_, Peer_, App_;
};

/// One node: a process started with the command of the deploy file and settings rendered from its
/// template, as the platform does it.
class Node {
public:
  Node(const std::string &Ip, const std::string &Zone, const std::string &Service,
       const Store &Platform, const Ports &Used, const std::string &Folder);
  ~Node();
  void start();
  void signal(int Number);
  /// Returns whether the process has ended, and collects it.
  bool hasEnded();
  void waitEnd(double Limit);
  bool isReady() const;
  void waitReady(double Limit = 15.0);
  /// Largest amount of memory that the process has held, in MB.
  double peakMb() const;
  double memoryMb() const;
  const std::string &ip() const { return Ip_; }

private:
  std::string Ip_;
  Ports Ports_;
  std::string Settings_;
  std::string Log_;
  int Pid_ = 0;
};

/// A folder that is removed at the end.
class Folder {
public:
  Folder();
  ~Folder();
  const std::string &path() const { return Path_; }

private:
  std::string Path_;
};

/// The configuration of the operator: one tenant "acme" with the key "key-acme", a safe and an
/// unsafe route to a service.
json configuration(std::uint64_t Version, const std::string &Service, double RatePerS,
                   double Burst);

} // namespace review

#endif
