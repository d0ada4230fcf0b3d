#include <fstream>
#include <functional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <malloc.h>
#include <unistd.h>
#ifdef __SANITIZE_ADDRESS__
// GCC's runtime has this function, but its packages lack the header that declares it.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#endif

#include "mesh_fixture.h"

using namespace bronzestand;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t MiB = 1024UL * 1024;

/// Memory of the process in use, in bytes. The address sanitizer keeps freed memory for up to
/// 256 MiB (its quarantine), so there it is what the process has allocated and not freed.
std::size_t usedBytes() {
#ifdef __SANITIZE_ADDRESS__
  return __sanitizer_get_current_allocated_bytes();
#else
  std::ifstream In("/proc/self/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  In >> Total >> Resident;
  return Resident * static_cast<std::size_t>(::getpagesize());
#endif
}

/// A caller that sends a text and then neither closes nor reads.
class Caller {
public:
  Caller(boost::asio::io_context &Io, const std::string &Host, std::uint16_t Port) : Socket_(Io) {
    Socket_.connect({boost::asio::ip::make_address(Host), Port});
  }
  /// \param Repeat how often the text is sent after the head.
  void send(std::string Head, std::shared_ptr<const std::string> Text, std::size_t Repeat) {
    Head_ = std::move(Head);
    Text_ = std::move(Text);
    Left_ = Repeat;
    write(boost::asio::buffer(Head_));
  }
  /// Returns the beginning of the answer.
  /// \param RunUntil runs the event loop until a condition holds.
  template <typename Run> std::string answer(Run RunUntil) {
    std::string Answer(2000, ' ');
    std::size_t Count = 0;
    Socket_.async_read_some(boost::asio::buffer(Answer), [&](const boost::system::error_code &,
                                                             std::size_t Read) { Count = Read; });
    REQUIRE(RunUntil([&] { return Count != 0; }));
    return Answer.substr(0, Count);
  }

private:
  void write(boost::asio::const_buffer Bytes) {
    boost::asio::async_write(Socket_, Bytes,
                             [this](const boost::system::error_code &Failure, std::size_t) {
                               if (Failure || Left_ == 0)
                                 return;
                               --Left_;
                               write(boost::asio::buffer(*Text_));
                             });
  }

  tcp::socket Socket_;
  std::string Head_;
  std::shared_ptr<const std::string> Text_;
  std::size_t Left_ = 0;
};

/// A node of a machine with little memory, and a crowd of callers that misuse it.
struct CrowdFixture : MeshFixture {
  static constexpr std::size_t MemoryMb = 64;
  /// The account of requests is three eighths of the memory; the rest of the half is for buffers
  /// of the allocator, of connections and of the callers, which are in the same process.
  static constexpr std::size_t GrowthLimit = MemoryMb * MiB / 2;
  static constexpr std::size_t Crowd = 40;
  static constexpr std::size_t BodyBytes = 4 * MiB; ///< of each; together 160 MiB
  const std::string Host_ = "127.0.0.2";

  CrowdFixture() {
    // Freed memory is returned, so that the resident size shows what is held.
    ::mallopt(M_MMAP_THRESHOLD, 64 * 1024);
    ::mallopt(M_TRIM_THRESHOLD, 64 * 1024);
    MemoryBytes_ = MemoryMb * MiB;
    MetricsPort_ = freePort();
    Store_.put("op/config",
               json{{"Version", 3},
                    {"Routes",
                     {{"Columns", {"Name", "Host", "Prefix", "Kind", "Service", "Public"}},
                      {"Rows", json::array({{"r", "a.example", "/r/", "safe", "s", true}})}}},
                    {"Limits", {{"MaxBodyBytes", 64 * MiB}, {"MaxHeaderBytes", 16 * 1024}}}}
                   .dump());
    startNode(Host_);
    REQUIRE(runUntil([&] { return statusOf(Host_, "/other/") == 404; }));
  }

  static std::string head(const std::string &Path, const std::string &Fields) {
    return "POST " + Path +
           " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q\r\nDeadline-Ms: 30000\r\n" + Fields +
           "\r\n";
  }

  /// Lets the crowd send, and checks that memory stays bounded while ordinary callers get answers.
  void check(const std::function<void(Caller &)> &Send, std::uint16_t Port,
             std::size_t Count = Crowd) {
    const std::size_t Before = usedBytes();
    std::vector<std::unique_ptr<Caller>> Callers;
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Callers.push_back(std::make_unique<Caller>(Io_, Host_, Port));
      Send(*Callers.back());
    }
    std::size_t Most = 0;
    const auto End = std::chrono::steady_clock::now() + 2500ms;
    while (std::chrono::steady_clock::now() < End) {
      const auto Start = std::chrono::steady_clock::now();
      // No backend server is there, so 503 is the answer to a request whose route is known.
      CHECK(statusOf(Host_, "/r/ordinary") == 503);
      CHECK(statusOf(Host_, "/other/") == 404);
      const json State = stateOf(Host_);
      REQUIRE_FALSE(State.is_discarded());
      const json &Account = State.at("request_memory");
      CHECK(Account.at("bytes").at("receiving").get<std::size_t>() +
                Account.at("bytes").at("running").get<std::size_t>() <=
            Account.at("max_bytes").get<std::size_t>());
      CHECK(std::chrono::steady_clock::now() - Start < 1500ms);
      const auto Next = std::chrono::steady_clock::now() + 100ms;
      runUntil([&] {
        Most = std::max(Most, usedBytes());
        return std::chrono::steady_clock::now() >= Next;
      });
    }
    INFO("grew by " << (Most - std::min(Most, Before)) / 1024 << " KiB");
    CHECK(Most < Before + GrowthLimit);
  }

  /// Sends bodies that stop one byte short of their end.
  void checkShortBodies(const std::string &Path, std::uint16_t Port) {
    const auto Whole = std::make_shared<const std::string>(BodyBytes - 1, 'x');
    const auto Piece = std::make_shared<const std::string>(1000, 'x');
    const auto Chunk =
        std::make_shared<const std::string>("fff0\r\n" + std::string(0xfff0, 'x') + "\r\n");
    const std::string Length = "Content-Length: " + std::to_string(BodyBytes) + "\r\n";
    SECTION("in one piece") {
      check([&](Caller &Item) { Item.send(head(Path, Length), Whole, 1); }, Port);
    }
    SECTION("in small pieces") {
      check([&](Caller &Item) { Item.send(head(Path, Length), Piece, BodyBytes / 1000); }, Port);
    }
    SECTION("in chunks") {
      check(
          [&](Caller &Item) {
            Item.send(head(Path, "Transfer-Encoding: chunked\r\n"), Chunk, BodyBytes / 0xfff0);
          },
          Port);
    }
  }
};

} // namespace

// Guards against bodies of legal size that together take more than the memory of the machine.
TEST_CASE_METHOD(CrowdFixture, "request_memory_bodies_that_do_not_end_stay_bounded") {
  checkShortBodies("/r/large", CallerPort_);
}

// The same at a path without a route, whose request is refused whatever its body is.
TEST_CASE_METHOD(CrowdFixture, "request_memory_bodies_without_route_stay_bounded") {
  checkShortBodies("/other/", CallerPort_);
}

// The same at the listeners of the operator, and at the path of the readiness check.
TEST_CASE_METHOD(CrowdFixture, "request_memory_bodies_for_operator_stay_bounded") {
  const std::string Path = GENERATE("/healthz", "/state", "/metrics");
  const std::uint16_t Port = Path == "/metrics" ? *MetricsPort_ : OperatorPort_;
  const auto Body = std::make_shared<const std::string>(MiB - 1, 'x');
  check(
      [&](Caller &Item) {
        Item.send(head(Path, "Content-Length: " + std::to_string(MiB) + "\r\n"), Body, 1);
      },
      Port);
}

// Guards against bodies that are held although they are over the limit.
TEST_CASE_METHOD(CrowdFixture, "request_memory_bodies_over_limit_stay_bounded") {
  const auto Chunk =
      std::make_shared<const std::string>("fff0\r\n" + std::string(0xfff0, 'x') + "\r\n");
  const std::string Field = GENERATE(std::string("Content-Length: 4294967296\r\n"),
                                     std::string("Transfer-Encoding: chunked\r\n"));
  check([&](Caller &Item) { Item.send(head("/r/huge", Field), Chunk, 100); }, CallerPort_);
}

// Guards against heads that take much more memory than bytes on the wire: 2,500 fields of five
// bytes, in requests that wait for their bodies.
TEST_CASE_METHOD(CrowdFixture, "request_memory_short_fields_stay_bounded") {
  std::string Fields;
  for (int Index = 0; Index < 2500; ++Index)
    Fields += "a:b\r\n";
  check(
      [&](Caller &Item) {
        Item.send(head("/r/fields", Fields + "Content-Length: 10\r\n"),
                  std::make_shared<const std::string>("x"), 1);
      },
      CallerPort_, 300);
}

// Guards against answers and requests that pile up for callers that pipeline and never read.
TEST_CASE_METHOD(CrowdFixture, "request_memory_pipelining_without_reading_stays_bounded") {
  const std::string Target = GENERATE(std::string("/r/x"), std::string("/other/"));
  const auto Request = std::make_shared<const std::string>(head(Target, "Content-Length: 0\r\n"));
  check([&](Caller &Item) { Item.send(*Request, Request, 300); }, CallerPort_);
}

// Guards against a bound that hurts slow callers in calm: a body arrives in pieces over a second.
TEST_CASE_METHOD(CrowdFixture, "request_memory_slow_body_in_calm_is_served") {
  tcp::socket Socket(Io_);
  Socket.connect({boost::asio::ip::make_address(Host_), CallerPort_});
  boost::asio::write(Socket, boost::asio::buffer(head("/r/slow", "Content-Length: 20000\r\n")));
  for (int Part = 0; Part < 20; ++Part) {
    boost::asio::write(Socket, boost::asio::buffer(std::string(1000, 'x')));
    const auto Next = std::chrono::steady_clock::now() + 50ms;
    runUntil([&] { return std::chrono::steady_clock::now() >= Next; });
  }
  std::string Answer(2000, ' ');
  std::size_t Count = 0;
  Socket.async_read_some(boost::asio::buffer(Answer), [&](const boost::system::error_code &,
                                                          std::size_t Read) { Count = Read; });
  REQUIRE(runUntil([&] { return Count != 0; }));
  CHECK(Answer.find("no_backend_server") != std::string::npos);
}

// Guards against a legal body that is refused although there is room for it, because it counts for
// each of its holders. No backend server is there, which only a request that was taken on learns.
TEST_CASE_METHOD(CrowdFixture, "request_memory_legal_body_in_calm_has_room") {
  // Large requests may have three quarters of the account of 24 MiB; three copies had 45 MiB.
  constexpr std::size_t LegalBytes = 15 * MiB;
  const auto Body = std::make_shared<const std::string>(LegalBytes, 'x');
  Caller Item(Io_, Host_, CallerPort_);
  Item.send(head("/r/legal", "Content-Length: " + std::to_string(LegalBytes) + "\r\n"), Body, 1);
  CHECK(Item.answer([this](const auto &Ended) { return runUntil(Ended); })
            .find("no_backend_server") != std::string::npos);
  // The request for the state counts too.
  CHECK(runUntil([&] {
    return stateOf(Host_).at("request_memory").at("bytes").at("running").get<std::size_t>() < MiB;
  }));
}
