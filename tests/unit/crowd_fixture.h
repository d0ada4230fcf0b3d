#ifndef BRONZESTAND_TESTS_CROWD_FIXTURE_H
#define BRONZESTAND_TESTS_CROWD_FIXTURE_H

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

namespace bronzestand {

constexpr std::size_t MiB = 1024UL * 1024;

/// Memory of the process in use, in bytes. The address sanitizer keeps freed memory for up to
/// 256 MiB (its quarantine), so there it is what the process has allocated and not freed.
inline std::size_t usedBytes() {
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

  boost::asio::ip::tcp::socket Socket_;
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
    const auto End = std::chrono::steady_clock::now() + std::chrono::milliseconds(2500);
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
      CHECK(std::chrono::steady_clock::now() - Start < std::chrono::milliseconds(1500));
      const auto Next = std::chrono::steady_clock::now() + std::chrono::milliseconds(100);
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

} // namespace bronzestand

#endif
