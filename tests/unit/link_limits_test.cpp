#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <sys/resource.h>

#include "free_port.h"
#include "node/link_limits.h"
#include "node/link_proof.h"
#include "node/peer_links.h"

using namespace bronzestand;
using namespace bronzestand::node;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using nlohmann::json;

namespace {

constexpr std::size_t MiB = 1024UL * 1024;
constexpr std::size_t LinksWithFewDescriptors = 16;

/// Lowers the descriptors of this process while it exists.
struct FewDescriptors {
  FewDescriptors() {
    ::getrlimit(RLIMIT_NOFILE, &Before_);
    rlimit Few = Before_;
    Few.rlim_cur = 4 * LinksWithFewDescriptors;
    ::setrlimit(RLIMIT_NOFILE, &Few);
  }
  ~FewDescriptors() { ::setrlimit(RLIMIT_NOFILE, &Before_); }
  FewDescriptors(const FewDescriptors &) = delete;
  FewDescriptors &operator=(const FewDescriptors &) = delete;
  rlimit Before_{};
};

/// A node with little memory and few descriptors, and others that misuse its port.
struct LinkLimitsFixture {
  const std::string Secret_ = "secret";
  boost::asio::io_context Io_;
  Settings Config_;
  std::unique_ptr<PeerLinks> Links_;

  LinkLimitsFixture() {
    Config_.Host_ = HostId("127.0.0.2");
    Config_.PeerListen_ = {"127.0.0.2", freePort()};
    Config_.PeerSecret_ = Secret_;
    Config_.MemoryBytes_ = 64 * MiB; // an eighth, 8 MiB, for frames that arrive
    const FewDescriptors Few;
    Links_ = std::make_unique<PeerLinks>(Io_, Config_, 1);
    REQUIRE(Links_->start().ok());
  }
  ~LinkLimitsFixture() {
    Links_->stop();
    Io_.poll();
  }
  LinkLimitsFixture(const LinkLimitsFixture &) = delete;
  LinkLimitsFixture &operator=(const LinkLimitsFixture &) = delete;

  template <typename Condition>
  bool runUntil(Condition Holds, std::chrono::milliseconds Limit = 5s) {
    const auto End = std::chrono::steady_clock::now() + Limit;
    while (!Holds() && std::chrono::steady_clock::now() < End)
      Io_.run_one_for(5ms);
    return Holds();
  }
  std::size_t valueOf(const char *Name) const { return Links_->dump().at(Name).get<std::size_t>(); }
  /// Tells whether the metrics have a line.
  bool hasMetric(const std::string &Line) const {
    std::string Text;
    Links_->print(Text);
    return Text.find("\n" + Line + "\n") != std::string::npos;
  }
  std::size_t openLinks() const {
    std::size_t Count = 0;
    const json State = Links_->dump();
    for (const json &Item : State.at("links"))
      Count += Item.at("open").get<bool>() ? 1 : 0;
    return Count;
  }

  /// A connection that speaks the protocol by hand.
  struct Other {
    explicit Other(LinkLimitsFixture &Owner) : Owner_(Owner), Socket_(Owner.Io_) {
      Socket_.connect(
          {boost::asio::ip::make_address("127.0.0.2"), Owner.Config_.PeerListen_.Port_});
      read();
    }
    /// Opens the connection; the node then sends its challenge.
    void upgrade() {
      write("GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
            "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n");
      REQUIRE(Owner_.runUntil([this] { return Input_.find("nonce") != std::string::npos; }));
    }
    /// Proves to be a node. \param Number of the host.
    void prove(int Number) {
      upgrade();
      const std::size_t Frame = Input_.find("\r\n\r\n") + 4;
      const auto Challenge = decode(Input_.substr(Frame + 2));
      REQUIRE(Challenge);
      const std::string Host = "127.0.1." + std::to_string(Number);
      const std::string Text = "own" + Challenge->Body_.at("nonce").get<std::string>() + Host;
      const json Body{
          {"nonce", "own"}, {"mac", makeMac(Owner_.Secret_, Text + "/9/open")}, {"leaving", false}};
      const std::string Proof = encode({MessageKind::Proof, 1, Body, HostId(Host), 9});
      const std::size_t Before = Owner_.openLinks();
      sendFrame(Proof.size(), Proof);
      REQUIRE(Owner_.runUntil([&] { return Owner_.openLinks() == Before + 1; }));
    }
    /// Sends a frame, or only a part of it.
    /// \param Stated its length in bytes.
    void sendFrame(std::size_t Stated, const std::string &Part) {
      std::string Head = "\x82";
      const int Bytes = Stated < 126 ? 1 : (Stated <= 0xFFFF ? 2 : 8);
      Head += static_cast<char>(0x80U | (Bytes == 1 ? Stated : (Bytes == 2 ? 126U : 127U)));
      for (int Left = Bytes == 1 ? 0 : Bytes; Left > 0; --Left)
        Head += static_cast<char>(Stated >> static_cast<unsigned>(8 * (Left - 1)));
      write(Head + std::string(4, '\0') + Part);
    }
    void write(const std::string &Text) {
      const auto Kept = std::make_shared<std::string>(Text);
      boost::asio::async_write(Socket_, boost::asio::buffer(*Kept),
                               [Kept](const boost::system::error_code &, std::size_t) {});
    }
    void read() {
      Socket_.async_read_some(boost::asio::buffer(Piece_), [this](auto Failure, std::size_t Count) {
        if (Failure == boost::asio::error::operation_aborted)
          return;
        Ended_ = Failure.failed();
        Input_.append(Piece_.data(), Count);
        if (!Ended_)
          read();
      });
    }

    LinkLimitsFixture &Owner_;
    tcp::socket Socket_;
    std::array<char, 4096> Piece_{};
    std::string Input_;
    bool Ended_ = false;
  };
  using OtherPtr = std::unique_ptr<Other>;
  OtherPtr connect() { return std::make_unique<Other>(*this); }
};

} // namespace

// Guards against nodes that together send more than the memory of a small host, in frames that stop
// short of their end.
TEST_CASE_METHOD(LinkLimitsFixture, "link_limits_stalled_frames_close_the_largest") {
  std::vector<OtherPtr> Others;
  for (int Number = 0; Number < 3; ++Number) {
    Others.push_back(connect());
    Others.back()->prove(Number);
  }
  for (int Number = 0; Number < 2; ++Number)
    Others[static_cast<std::size_t>(Number)]->sendFrame(6 * MiB, std::string(2 * MiB, 'x'));
  REQUIRE(runUntil([&] { return valueOf("arriving_bytes") >= 4 * MiB; }));
  CHECK(openLinks() == 3);
  Others[2]->sendFrame(7 * MiB, std::string(6 * MiB, 'x'));
  CHECK(runUntil([&] { return Others[2]->Ended_; }));
  CHECK(openLinks() == 2);
  CHECK(valueOf("closed_largest") == 1);
  CHECK(valueOf("arriving_bytes") <= valueOf("max_arriving_bytes"));
  for (const OtherPtr &Item : Others)
    Item->Socket_.close();
  CHECK(runUntil([&] { return valueOf("arriving_bytes") == 0; }));
}

// Guards against memory for the length that a frame states, before the sender has proved to be a
// node or has sent it.
TEST_CASE_METHOD(LinkLimitsFixture, "link_limits_stated_length_takes_no_memory") {
  const OtherPtr Stranger = connect();
  Stranger->upgrade();
  Stranger->sendFrame(MiB, "x");
  CHECK(runUntil([&] { return Stranger->Ended_; }, 800ms)); // the handshake has a second
  const OtherPtr Member = connect();
  Member->prove(1);
  Member->sendFrame(8 * MiB, "x");
  CHECK(runUntil([&] { return valueOf("arriving_bytes") != 0; }));
  CHECK(valueOf("arriving_bytes") < MiB);
}

// Guards against strangers that take the descriptors of the links: silent, and within a request.
TEST_CASE_METHOD(LinkLimitsFixture, "link_limits_strangers_leave_links_alone") {
  REQUIRE(valueOf("max_links") == LinksWithFewDescriptors);
  const OtherPtr Member = connect();
  Member->prove(1);
  std::vector<OtherPtr> Strangers;
  for (std::size_t Number = 0; Number < 2 * LinksWithFewDescriptors; ++Number) {
    Strangers.push_back(connect());
    if (Number % 2 == 0)
      Strangers.back()->write("GET / HTTP/1.1\r\nX-Filler: ");
    runUntil([&] { return valueOf("closed_unproved") > Number; }, 20ms);
    CHECK(valueOf("unproved_connections") <= LinksWithFewDescriptors / 4);
  }
  CHECK(openLinks() == 1);
  const OtherPtr Next = connect();
  Next->prove(2);
  CHECK(openLinks() == 2);
}

// Guards against links that fill the descriptors: the one that is not used makes way, is told so,
// and those in use stay.
TEST_CASE_METHOD(LinkLimitsFixture, "link_limits_unused_link_makes_way") {
  std::vector<OtherPtr> Others;
  for (std::size_t Number = 0; Number < LinksWithFewDescriptors; ++Number) {
    Others.push_back(connect());
    Others.back()->prove(static_cast<int>(Number));
  }
  const OtherPtr Early = connect();
  CHECK(runUntil([&] { return Early->Ended_; })); // all links were used within two seconds
  const auto Wait = std::chrono::steady_clock::now() + 2100ms;
  runUntil([&] { return std::chrono::steady_clock::now() >= Wait; });
  const OtherPtr Late = connect();
  Late->prove(100);
  CHECK(openLinks() == LinksWithFewDescriptors);
  CHECK(valueOf("closed_unused") == 1);
  // A close frame of WebSocket with the code 1001.
  CHECK(runUntil([&] { return Others[0]->Input_.find("\x03\xE9") != std::string::npos; }));
}

// Guards against frames whose memory, and links whose end, the metrics do not show.
TEST_CASE_METHOD(LinkLimitsFixture, "link_limits_metrics_show_memory_and_reasons") {
  CHECK(hasMetric("bronzestand_link_memory_bytes{share=\"arriving\"} 0"));
  CHECK(hasMetric("bronzestand_link_memory_max_bytes " + std::to_string(8 * MiB)));
  CHECK(hasMetric("bronzestand_links_max " + std::to_string(LinksWithFewDescriptors)));
  const auto Measured = [this](const char *Name, int Count) {
    return hasMetric(std::string("bronzestand_link_measures_total{measure=\"") + Name + "\"} " +
                     std::to_string(Count));
  };
  const OtherPtr Oversized = connect();
  Oversized->upgrade();
  Oversized->sendFrame(MiB, "x");
  CHECK(runUntil([&] { return Measured("closed_oversized", 1); }));
  const OtherPtr Malformed = connect();
  Malformed->prove(1);
  CHECK(hasMetric("bronzestand_links{state=\"open\"} 1"));
  Malformed->sendFrame(2, "\xFF\xFF");
  CHECK(runUntil([&] { return Measured("closed_malformed", 1); }));
  const OtherPtr Wrong = connect();
  Wrong->upgrade();
  const std::string Proof =
      encode({MessageKind::Proof, 1, {{"nonce", "n"}, {"mac", "no"}}, HostId("127.0.1.2"), 9});
  Wrong->sendFrame(Proof.size(), Proof);
  CHECK(runUntil([&] { return Measured("failed_handshakes", 1); }));
  const OtherPtr Large = connect();
  Large->prove(3);
  Large->sendFrame(7 * MiB, std::string(4 * MiB, 'x'));
  CHECK(runUntil([&] { return valueOf("arriving_bytes") >= 4 * MiB; }));
  CHECK_FALSE(hasMetric("bronzestand_link_memory_bytes{share=\"arriving\"} 0"));
  const OtherPtr Next = connect();
  Next->prove(4);
  Next->sendFrame(7 * MiB, std::string(6 * MiB, 'x'));
  CHECK(runUntil([&] { return Measured("closed_largest", 1); }));
  for (const char *Name : {"closed_queue", "closed_unused", "refused_links", "protocol_errors"})
    CHECK(Measured(Name, 0));
}

// Guards against bounds that leave the other users of descriptors too few.
TEST_CASE("link_limits_follow_descriptors") {
  CHECK(maxLinksOf(64) == 16);
  CHECK(maxLinksOf(1024) == 256);
  CHECK(maxLinksOf(4100) == 410);
  CHECK(maxLinksOf(10'000) == 6310);
  CHECK(maxLinksOf(1'000'000) == 16'384);
}
