#include <optional>
#include <thread>
#include <vector>

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "ctl/node_page.h"
#include "http_client_fixture.h"
#include "mesh_fixture.h"
#include "node/clock.h"
#include "node/codec_call.h"
#include "node/peer_links.h"
#include "standins/link_relay.h"
#include "store_client.h"

using namespace bronzestand;
using namespace bronzestand::node;

namespace {

const std::string Page = R"({"items":[],"MorePages":false,"CurrentRev":5})";

/// An answer that no reader may take, although its body is a valid page.
struct BrokenAnswer {
  std::string Status_ = "200";
  std::string Line_; ///< a line of the head
  bool HasLength_ = true;

  std::string text() const {
    const std::string Length =
        HasLength_ ? "Content-Length: " + std::to_string(Page.size()) + "\r\n" : "";
    return "HTTP/1.1 " + Status_ + " Status\r\nX-Before: 1\r\n" + Line_ + Length + "\r\n" + Page;
  }
};

const std::vector<BrokenAnswer> BrokenAnswers = {
    {"000", "", true},
    {"999", "", true},
    {"200", "X Extra: 1\r\n", true},
    {"200", "X-Extra : 1\r\n", true},
    {"200", " X-Extra: 1\r\n", true},
    {"200", std::string("X-\0Extra: 1\r\n", 13), true},
    {"200",
     "X-\x01"
     "Extra: 1\r\n",
     true},
    {"200", "Content-Length : 3\r\n", false},
    {"200", "", false},
};

/// A sound answer that its server resets before its end.
std::vector<Reply> cutAnswers() {
  const std::string Open = "HTTP/1.1 200 OK\r\n";
  std::vector<Reply> Result;
  for (const std::string &Rest :
       {fmt::format("\r\n{}", Page),
        fmt::format("Content-Length: {}\r\n\r\n{}", Page.size() + 1, Page),
        fmt::format("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n", Page.size(), Page)})
    for (const bool Late : {false, true}) {
      Reply Next{Open + Rest, true};
      Next.Reset_ = true;
      Next.Late_ = Late;
      Result.push_back(Next);
    }
  return Result;
}

/// A sound answer whose trailer is longer than the library's containers hold.
std::string answerWithLongTrailer() {
  return fmt::format("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n"
                     "X-Long: {}\r\n\r\n",
                     Page.size(), Page, std::string(66'000, 'x'));
}

/// Sends page requests to a server whose answers are scripted.
struct StoreAnswersFixture : ClientFixture {
  platform::StoreClient Store_{Io_, {"127.0.0.1", Acceptor_.local_endpoint().port()}};

  platform::ReadResult read(const Reply &Next) {
    Replies_ = {Next};
    std::optional<platform::ReadResult> End;
    Store_.readPage("", [&End](platform::ReadResult Result, const auto &) { End = Result; });
    while (!End)
      Io_.run_one();
    return *End;
  }
};

/// The same in a thread of its own, because the tool runs an event loop until it has its page.
struct ToolAnswersFixture : ClientFixture {
  ToolAnswersFixture() : Thread_([this] { Io_.run(); }) {}
  ~ToolAnswersFixture() {
    Io_.stop();
    Thread_.join();
  }
  ToolAnswersFixture(const ToolAnswersFixture &) = delete;
  ToolAnswersFixture &operator=(const ToolAnswersFixture &) = delete;

  ctl::NodePage read(const Reply &Next) {
    boost::asio::post(Io_, [this, Next] { Replies_ = {Next}; });
    return ctl::readPage("127.0.0.1:" + std::to_string(Port_), "/state");
  }

  const std::uint16_t Port_ = Acceptor_.local_endpoint().port();
  std::thread Thread_;
};

/// A node, and a stand-in for one of an earlier build that answers all calls as it is told.
struct LinkAnswersFixture : MeshFixture {
  const std::string Entry_ = "127.0.0.2";
  const std::string Other_ = "127.0.0.3";
  const Settings Config_ = behindRelay();
  standin::LinkRelay Relay_{Io_, {Other_, PeerPort_}, Config_.PeerListen_};
  PeerLinks Links_{Io_, Config_, wallMicroseconds()};
  Answer Next_;
  int Calls_ = 0;

  LinkAnswersFixture() {
    Links_.setHandler(MessageKind::Call, [this](const Peer &From, const json &Body) {
      ++Calls_;
      Next_.Id_ = Body.get<Call>().Id_;
      Links_.send(From.Host_, MessageKind::Answer, Next_);
    });
    REQUIRE(Links_.start().ok());
    Next_.Outcome_ = Outcome::Served;
    Next_.HttpStatus_ = 200;
    Next_.Headers_ = {{"Server-Signature", "s"}};
    putServer(Store_, "i-1", Other_);
    putConfig(Store_, 3, {"/w/"}, "unsafe");
    startNode(Entry_);
    REQUIRE(runUntil([&] { return statusOf(Entry_, "/other/") == 404; }));
  }
  ~LinkAnswersFixture() { Links_.stop(); }
  LinkAnswersFixture(const LinkAnswersFixture &) = delete;
  LinkAnswersFixture &operator=(const LinkAnswersFixture &) = delete;

private:
  Settings behindRelay() const {
    Settings Result = settingsOf(Other_);
    Result.PeerListen_.Port_ = freePort();
    return Result;
  }
};

} // namespace

// Guards against a page of the store that is taken from a broken answer.
TEST_CASE_METHOD(StoreAnswersFixture, "broken_answers_of_store_are_not_taken") {
  CHECK(read({BrokenAnswer().text(), true}) == platform::ReadResult::Done);
  for (const BrokenAnswer &Broken : BrokenAnswers) {
    INFO(Broken.text());
    CHECK(read({Broken.text(), true}) == platform::ReadResult::Unreachable);
  }
  for (const Reply &Cut : cutAnswers()) {
    INFO(Cut.Text_ << " late " << Cut.Late_);
    CHECK(read(Cut) == platform::ReadResult::Unreachable);
  }
}

// Guards against a process that ends at an answer with a long trailer, for which the HTTP library
// throws, from the store.
TEST_CASE_METHOD(StoreAnswersFixture, "sound_answer_of_store_with_long_trailer_is_taken") {
  CHECK(read({answerWithLongTrailer()}) == platform::ReadResult::Done);
}

// Guards against the same in a tool.
TEST_CASE_METHOD(ToolAnswersFixture, "sound_answer_of_node_with_long_trailer_is_shown") {
  CHECK(read({answerWithLongTrailer()}).Code_ == ctl::ExitCode::Ok);
}

// Guards against a tool that shows a broken answer as the page of a node.
TEST_CASE_METHOD(ToolAnswersFixture, "broken_answers_of_nodes_are_not_shown") {
  CHECK(read({BrokenAnswer().text(), true}).Code_ == ctl::ExitCode::Ok);
  for (const BrokenAnswer &Broken : BrokenAnswers) {
    INFO(Broken.text());
    CHECK(read({Broken.text(), true}).Code_ == ctl::ExitCode::Unreadable);
  }
  for (const Reply &Cut : cutAnswers()) {
    INFO(Cut.Text_ << " late " << Cut.Late_);
    CHECK(read(Cut).Code_ == ctl::ExitCode::Unreadable);
  }
}

// Guards against a broken answer that a node of an earlier build passes on, and that reaches the
// caller because only the node beside the server examines it.
TEST_CASE_METHOD(LinkAnswersFixture, "broken_answers_of_other_nodes_are_unknown") {
  CHECK(statusOf(Entry_, "/w/1") == 200);
  for (const unsigned Status : {0U, 99U, 100U, 199U, 600U, 999U}) {
    INFO(Status);
    Next_.HttpStatus_ = Status;
    CHECK(statusOf(Entry_, "/w/1") == 502);
  }
  Next_.HttpStatus_ = 200;
  for (const Header &Field :
       {Header{"", "1"}, Header{"X Extra", "1"}, Header{"X-Extra ", "1"}, Header{" X-Extra", "1"},
        Header{"X-\x01", "1"}, Header{"X:", "1"}, Header{"X-Extra", "1\r\nContent-Length: 0"},
        Header{"X-Extra", std::string(1, '\0')}}) {
    INFO(Field.Name_ << ": " << Field.Value_);
    Next_.Headers_ = {{"Server-Signature", "s"}, Field};
    CHECK(statusOf(Entry_, "/w/1") == 502);
  }
  // All bytes that a name may have, and some of a value.
  Next_.Headers_ = {{"Server-Signature", "s"}, {"!#$%&'*+-.^_`|~09AZaz", "a \t\xe9"}};
  CHECK(statusOf(Entry_, "/w/1") == 200);
  CHECK(Calls_ == 16);
}

// Guards against the first part of an answer that is passed on because its link was reset.
TEST_CASE_METHOD(LinkAnswersFixture, "broken_answers_on_reset_link_are_unknown") {
  constexpr std::size_t Bytes = 1'000'000;
  Next_.Body_ = std::string(Bytes, 'y');
  CHECK(statusOf(Entry_, "/w/1") == 200);
  Relay_.resetAfter(Bytes + Bytes / 2);
  CHECK(statusOf(Entry_, "/w/2") == 504); // the stand-in does not answer the query for it
  CHECK(Calls_ == 2);
}
