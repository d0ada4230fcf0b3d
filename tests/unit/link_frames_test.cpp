#include <memory>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

#include "free_port.h"
#include "node/codec_call.h"
#include "node/link_proof.h"
#include "node/peer_links.h"

using namespace bronzestand;
using namespace bronzestand::node;
using nlohmann::json;

namespace {

/// Two nodes of a fleet; the first one opens the link.
struct LinkFramesFixture {
  static constexpr std::uint64_t FirstRun = 7;

  boost::asio::io_context Io_;
  const std::uint16_t Port_ = freePort();
  std::array<Settings, 2> Configs_;
  std::array<std::unique_ptr<PeerLinks>, 2> Nodes_;
  std::vector<json> Received_; ///< calls at the second node
  std::vector<Peer> Ended_;    ///< links that ended at the second node

  static HostId hostOf(std::size_t Index) { return HostId("127.0.0." + std::to_string(2 + Index)); }
  void start(bool FirstOffers, bool SecondOffers) {
    for (std::size_t Index = 0; Index < 2; ++Index) {
      Settings &Config = Configs_[Index];
      Config.Host_ = hostOf(Index);
      Config.PeerListen_ = {Config.Host_.str(), Port_};
      Config.PeerSecret_ = "secret";
      Nodes_[Index] = std::make_unique<PeerLinks>(Io_, Config, FirstRun + Index);
      if (!(Index == 0 ? FirstOffers : SecondOffers))
        Nodes_[Index]->disableShortFrames();
      Nodes_[Index]->setResolver([this](const HostId &Host) {
        return std::optional<Endpoint>({Host.str(), Port_});
      });
      REQUIRE(Nodes_[Index]->start().ok());
    }
    Nodes_[1]->setHandler(MessageKind::Call, [this](const Peer & /*From*/, const json &Body) {
      Received_.push_back(Body);
    });
    Nodes_[1]->addLinkDown([this](const HostId &Host, LinkId Link) {
      Ended_.push_back({Host, 0, 0, Link, false});
    });
  }
  ~LinkFramesFixture() {
    for (const auto &Node : Nodes_)
      if (Node)
        Node->stop();
    Io_.poll();
  }
  LinkFramesFixture() = default;
  LinkFramesFixture(const LinkFramesFixture &) = delete;
  LinkFramesFixture &operator=(const LinkFramesFixture &) = delete;

  static json makeCall(CallId Id) {
    Call Result;
    Result.Id_ = Id;
    Result.Class_ = ClassId("browsing");
    Result.Headers_ = {{"Host", "a.example"}, {"hOST", "b.example"}, {"Host", "a.example"}};
    Result.Body_ = std::string("\x00\xFF\n", 3);
    return Result;
  }
  template <typename Condition> bool runUntil(Condition Holds) {
    const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!Holds() && std::chrono::steady_clock::now() < End)
      Io_.run_one_for(std::chrono::milliseconds(20));
    return Holds();
  }
  bool hasShortFrames(std::size_t Index) const {
    const json Links = Nodes_[Index]->dump().at("links");
    return !Links.empty() && Links.at(0).at("short_frames").get<bool>();
  }
  std::uint64_t protocolErrors() const {
    return Nodes_[1]->dump().at("protocol_errors").get<std::uint64_t>();
  }
};

/// A peer that completes the handshake and then sends what a node would not.
struct RawPeer {
  using Client = websocketpp::client<websocketpp::config::asio_client>;

  Client Client_;
  Client::connection_ptr Connection_;
  bool Open_ = false;
  bool Closed_ = false;

  RawPeer(boost::asio::io_context &Io, const Endpoint &To, const HostId &Host, bool Offer) {
    Client_.clear_access_channels(websocketpp::log::alevel::all);
    Client_.clear_error_channels(websocketpp::log::elevel::all);
    Client_.init_asio(&Io);
    const auto OnEnd = [this](const websocketpp::connection_hdl &) { Closed_ = true; };
    Client_.set_close_handler(OnEnd);
    Client_.set_fail_handler(OnEnd);
    Client_.set_message_handler(
        [this, Host, Offer](const websocketpp::connection_hdl &, const Client::message_ptr &Frame) {
          const auto Message = decode(Frame->get_payload());
          if (!Message || Message->Kind_ != MessageKind::Challenge) {
            Open_ = Message && Message->Kind_ == MessageKind::Accepted;
            return;
          }
          const std::string Own = "nonce";
          const auto Nonce = Message->Body_.at("nonce").get<std::string>();
          json Body{{"nonce", Own},
                    {"mac", makeMac("secret", Own + Nonce + Host.str() + "/1/open")},
                    {"leaving", false}};
          if (Offer)
            Body["short_frames"] = 1;
          send(encode({MessageKind::Proof, 0, Body, Host, 1}));
        });
    websocketpp::lib::error_code Failure;
    Connection_ = Client_.get_connection("ws://" + To.str() + "/", Failure);
    REQUIRE_FALSE(Failure);
    Client_.connect(Connection_);
  }
  void send(const std::string &Frame) {
    Connection_->send(Frame, websocketpp::frame::opcode::binary);
  }
};

} // namespace

// Guards against a build that does not offer short frames and gets them, and against calls that
// arrive changed with either form.
TEST_CASE_METHOD(LinkFramesFixture, "link_frames_form_is_agreed_in_handshake") {
  const bool First = GENERATE(true, false);
  const bool Second = GENERATE(true, false);
  start(First, Second);
  constexpr CallId Calls = 5;
  for (CallId Id = 1; Id <= Calls; ++Id) {
    Nodes_[0]->send(hostOf(1), MessageKind::Call, makeCall(Id));
    REQUIRE(runUntil([&] { return Received_.size() == Id; }));
    CHECK(Received_.back() == makeCall(Id));
  }
  CHECK(hasShortFrames(0) == (First && Second));
  CHECK(hasShortFrames(1) == (First && Second));
  CHECK(protocolErrors() == 0);
}

// Guards against texts that are defined by a message which is dropped while its link opens: later
// messages would refer to them.
TEST_CASE_METHOD(LinkFramesFixture, "link_frames_dropped_message_defines_nothing") {
  start(true, true);
  for (CallId Id = 1; Id <= 6; ++Id)
    Nodes_[0]->send(hostOf(1), MessageKind::Call, makeCall(Id), {}, [Id] { return Id % 3 == 0; });
  REQUIRE(runUntil([&] { return Received_.size() == 2; }));
  for (CallId Id = 7; Id <= 9; ++Id)
    Nodes_[0]->send(hostOf(1), MessageKind::Call, makeCall(Id));
  REQUIRE(runUntil([&] { return Received_.size() == 5; }));
  CHECK(Received_.back() == makeCall(9));
  CHECK(protocolErrors() == 0);
}

// Guards against a table that outlives its link: the new link would refer to texts that the other
// end does not have.
TEST_CASE_METHOD(LinkFramesFixture, "link_frames_new_link_begins_with_empty_tables") {
  start(true, true);
  for (CallId Id = 1; Id <= 3; ++Id)
    Nodes_[0]->send(hostOf(1), MessageKind::Call, makeCall(Id));
  REQUIRE(runUntil([&] { return Received_.size() == 3; }));
  Nodes_[0]->open(hostOf(1));
  REQUIRE(runUntil([&] { return Ended_.size() == 1; }));
  for (CallId Id = 4; Id <= 6; ++Id)
    Nodes_[0]->send(hostOf(1), MessageKind::Call, makeCall(Id));
  REQUIRE(runUntil([&] { return Received_.size() == 6; }));
  CHECK(protocolErrors() == 0);
}

// Guards against a link that goes on after a violation, when its ends no longer hold the same
// texts, and against short frames that were not agreed.
TEST_CASE_METHOD(LinkFramesFixture, "link_frames_violation_ends_the_link") {
  start(true, true);
  const bool Offer = GENERATE(true, false);
  RawPeer Other(Io_, {hostOf(1).str(), Port_}, HostId("127.0.0.9"), Offer);
  REQUIRE(runUntil([&] { return Other.Open_; }));
  CHECK(Ended_.empty());
  Other.send("\x04\x01\x01\x85"); // a call whose first field is a text that was not defined
  REQUIRE(runUntil([&] { return Other.Closed_ && Ended_.size() == 1; }));
  CHECK(Ended_[0].Host_ == HostId("127.0.0.9"));
  CHECK(protocolErrors() == 1);
  CHECK(Received_.empty());
}

// Guards against frames that end the process, because the parser calls itself for each level of
// lists, maps and texts without a stated length, and against those that take many times their size.
TEST_CASE("link_frames_nested_or_crowded_frame_is_refused") {
  constexpr std::size_t Levels = 1024UL * 1024;
  for (const char Opening : {'\x81', '\xA1', '\x9F', '\x7F', '\x5F'})
    CHECK_FALSE(decode(std::string(Levels, Opening)));
  // A list of as many numbers, in the place of the body.
  const std::string Numbers =
      std::string("\x9A\x00\x30\x00\x00", 5) + std::string(3 * Levels, '\x01');
  CHECK_FALSE(decode(std::string("\x83\x03\x01", 3) + Numbers));
}

// Guards against the refusal of frames that nodes send.
TEST_CASE("link_frames_nested_configuration_is_decoded") {
  json Body = json::array({1.5, -3, nullptr, true, json::binary({1, 2, 3}), json::object(), ""});
  for (int Level = 0; Level < 30; ++Level)
    Body = {{"inner", Body}, {"number", 1'000'000'000'000}};
  const auto Result = decode(encode({MessageKind::ConfigSpread, 5, Body, HostId(), 0}));
  REQUIRE(Result);
  CHECK(Result->Body_ == Body);
}
