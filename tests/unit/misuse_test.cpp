#include "crowd_fixture.h"
#include "node/peer_links.h"

using namespace bronzestand;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

/// Where a caller sends its requests.
struct Listener {
  const char *Name_;
  const char *Path_;
  std::size_t BodyBytes_; ///< a legal size
  std::uint16_t (*Port_)(const CrowdFixture &Fixture);
};

std::uint16_t callerPort(const CrowdFixture &Fixture) { return Fixture.CallerPort_; }
std::uint16_t operatorPort(const CrowdFixture &Fixture) { return Fixture.OperatorPort_; }
std::uint16_t metricsPort(const CrowdFixture &Fixture) { return *Fixture.MetricsPort_; }
std::uint16_t peerPort(const CrowdFixture &Fixture) { return Fixture.PeerPort_; }

constexpr Listener Listeners[]{{"callers", "/r/x", 4 * MiB, callerPort},
                               {"path without a route", "/other/", 4 * MiB, callerPort},
                               {"readiness", "/healthz", MiB, operatorPort},
                               {"operator", "/state", MiB, operatorPort},
                               {"metrics", "/metrics", MiB, metricsPort},
                               {"other nodes", "/", 4 * MiB, peerPort}};

/// What a caller does after it has connected.
struct Script {
  std::string Head_;
  std::string Piece_;        ///< sent again and again after the head
  std::size_t Pieces_ = 0;   ///< how often
  milliseconds SendPause_{}; ///< between pieces
  milliseconds ReadPause_{}; ///< between reads of a few bytes; zero: it never reads
};

std::string headOf(const Listener &At, const std::string &Fields) {
  return CrowdFixture::head(At.Path_, Fields);
}
std::string lengthField(std::size_t Bytes) {
  return "Content-Length: " + std::to_string(Bytes) + "\r\n";
}
std::string chunkOf(std::size_t Bytes) {
  char Length[20];
  std::snprintf(Length, sizeof(Length), "%zx\r\n", Bytes);
  return Length + std::string(Bytes, 'x') + "\r\n";
}

constexpr std::size_t SmallPiece = 1000;
constexpr std::size_t LargeChunk = 0xfff0;
/// Of a body over the limit that is sent.
constexpr std::size_t OverLimitChunks = 100;
constexpr std::size_t ManyFields = 2000;
constexpr std::size_t ManyRequests = 300;

Script onePiece(const Listener &At) {
  return {headOf(At, lengthField(At.BodyBytes_)), std::string(At.BodyBytes_ - 1, 'x'), 1, {}, {}};
}
Script smallPieces(const Listener &At) {
  return {headOf(At, lengthField(At.BodyBytes_)),
          std::string(SmallPiece, 'x'),
          (At.BodyBytes_ - 1) / SmallPiece,
          {},
          {}};
}
Script chunks(const Listener &At) {
  return {headOf(At, "Transfer-Encoding: chunked\r\n"),
          chunkOf(LargeChunk),
          At.BodyBytes_ / LargeChunk,
          {},
          {}};
}
Script overLimitLength(const Listener &At) {
  return {headOf(At, lengthField(4UL * 1024 * MiB)),
          std::string(LargeChunk, 'x'),
          OverLimitChunks,
          {},
          {}};
}
Script overLimitChunks(const Listener &At) {
  return {
      headOf(At, "Transfer-Encoding: chunked\r\n"), chunkOf(LargeChunk), OverLimitChunks, {}, {}};
}
/// Fields with names of their own, because a parser may join those with the same name.
Script shortFields(const Listener &At) {
  std::string Fields;
  for (std::size_t Number = 0; Number < ManyFields; ++Number) {
    char Name[8];
    std::snprintf(Name, sizeof(Name), "%zx", Number);
    Fields += std::string("f") + Name + ":b\r\n";
  }
  return {headOf(At, Fields + lengthField(10)), "x", 1, {}, {}};
}
Script pipelined(const Listener &At) {
  const std::string Request = headOf(At, lengthField(0));
  return {Request, Request, ManyRequests, {}, {}};
}
Script slowSender(const Listener &At) {
  return {headOf(At, lengthField(At.BodyBytes_)), "x", At.BodyBytes_ - 1, 50ms, {}};
}
Script slowReader(const Listener &At) {
  const std::string Request = headOf(At, lengthField(0));
  return {Request, Request, ManyRequests, {}, 50ms};
}
Script halfHead(const Listener &At) {
  const std::string Whole = headOf(At, lengthField(10));
  return {Whole.substr(0, Whole.size() / 2), "", 0, {}, {}};
}

struct Form {
  const char *Name_;
  Script (*Make_)(const Listener &At);
};
constexpr Form Forms[]{{"body in one piece that stops one byte short", onePiece},
                       {"body in small pieces that stops one byte short", smallPieces},
                       {"body in chunks that does not end", chunks},
                       {"body over the limit with a length", overLimitLength},
                       {"body over the limit in chunks", overLimitChunks},
                       {"very many short fields", shortFields},
                       {"pipelined requests without reading", pipelined},
                       {"slow sending", slowSender},
                       {"slow reading", slowReader},
                       {"half a head", halfHead}};

/// A caller that follows a script and keeps its connection open.
class ScriptCaller {
public:
  ScriptCaller(boost::asio::io_context &Io, const std::string &Host, std::uint16_t Port,
               std::shared_ptr<const Script> What)
      : Socket_(Io), SendTimer_(Io), ReadTimer_(Io), What_(std::move(What)), Left_(What_->Pieces_) {
    Socket_.open(tcp::v4());
    Socket_.set_option(boost::asio::socket_base::receive_buffer_size(8192));
    Socket_.connect({boost::asio::ip::make_address(Host), Port});
    write(What_->Head_);
    if (What_->ReadPause_ > 0ms)
      readLater();
  }

private:
  void write(const std::string &Text) {
    boost::asio::async_write(Socket_, boost::asio::buffer(Text),
                             [this](const boost::system::error_code &Failure, std::size_t) {
                               if (Failure || Left_ == 0)
                                 return;
                               --Left_;
                               writeNext();
                             });
  }
  void writeNext() {
    if (What_->SendPause_ == 0ms) {
      write(What_->Piece_);
      return;
    }
    SendTimer_.expires_after(What_->SendPause_);
    SendTimer_.async_wait([this](const boost::system::error_code &Failure) {
      if (!Failure)
        write(What_->Piece_);
    });
  }
  void readLater() {
    ReadTimer_.expires_after(What_->ReadPause_);
    ReadTimer_.async_wait([this](const boost::system::error_code &Failure) {
      if (Failure)
        return;
      Socket_.async_read_some(boost::asio::buffer(Input_),
                              [this](const boost::system::error_code &Ended, std::size_t) {
                                if (!Ended)
                                  readLater();
                              });
    });
  }

  tcp::socket Socket_;
  boost::asio::steady_timer SendTimer_;
  boost::asio::steady_timer ReadTimer_;
  std::shared_ptr<const Script> What_;
  std::size_t Left_;
  std::array<char, 100> Input_{};
};

/// A crowd that misuses a node in one form at one listener.
struct MisuseFixture : CrowdFixture {
  static constexpr milliseconds Time{1200};

  /// Checks that ordinary requests are answered, by what they get.
  void checkOrdinary() {
    // No backend server is there, so 503 is the answer to a request whose route is known.
    CHECK(statusOf(Host_, "/r/ordinary") == 503);
    CHECK(statusOf(Host_, "/other/") == 404);
  }
  /// Checks that the operator is answered, and that the account keeps its bound.
  void checkState() {
    const json State = stateOf(Host_);
    REQUIRE_FALSE(State.is_discarded());
    const json &Account = State.at("request_memory");
    CHECK(Account.at("bytes").at("receiving").get<std::size_t>() +
              Account.at("bytes").at("running").get<std::size_t>() <=
          Account.at("max_bytes").get<std::size_t>());
  }
  /// Checks that another node can open a link.
  void checkLink() {
    node::Settings Other;
    Other.Host_ = HostId("127.0.0.9");
    Other.PeerListen_ = {Other.Host_.str(), PeerPort_};
    node::PeerLinks Links(Io_, Other, 1);
    REQUIRE(Links.start().ok());
    Links.connect({Host_, PeerPort_});
    CHECK(runUntil([&] { return Links.isLinked(HostId(Host_)); }));
    Links.stop();
    Io_.poll(); // handlers of its sockets refer to it
  }
  void runFor(milliseconds Span, std::size_t &Most) {
    const auto Next = std::chrono::steady_clock::now() + Span;
    runUntil(
        [&] {
          Most = std::max(Most, usedBytes());
          return std::chrono::steady_clock::now() >= Next;
        },
        2 * Span + 1s);
  }
  void misuse(const Form &How, const Listener &At) {
    const auto What = std::make_shared<const Script>(How.Make_(At));
    const std::size_t Before = usedBytes();
    std::vector<std::unique_ptr<ScriptCaller>> Callers;
    for (std::size_t Index = 0; Index < Crowd; ++Index)
      Callers.push_back(std::make_unique<ScriptCaller>(Io_, Host_, At.Port_(*this), What));
    std::size_t Most = 0;
    const auto End = std::chrono::steady_clock::now() + Time;
    do {
      runFor(100ms, Most);
      checkOrdinary();
      checkState();
      checkLink();
      Most = std::max(Most, usedBytes());
    } while (std::chrono::steady_clock::now() < End);
    INFO("grew by " << (Most - std::min(Most, Before)) / 1024 << " KiB");
    CHECK(Most < Before + GrowthLimit);
  }
};

} // namespace

// Guards against a crowd that ends a node, stops it, takes its memory, or keeps it from ordinary
// callers, the operator and other nodes: each form of misuse at each listener.
TEST_CASE_METHOD(MisuseFixture, "misuse_at_each_listener_node_serves_within_its_memory") {
  const std::size_t At = GENERATE(range(std::size_t{0}, std::size(Listeners)));
  const std::size_t How = GENERATE(range(std::size_t{0}, std::size(Forms)));
  INFO(Forms[How].Name_ << ", at " << Listeners[At].Name_);
  misuse(Forms[How], Listeners[At]);
}
