#include <deque>

#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "mesh_fixture.h"
#include "node/clock.h"

using namespace bronzestand;
using boost::asio::ip::tcp;

namespace {

const std::string Host = "127.0.0.2";
constexpr Duration Pause = std::chrono::milliseconds(30);
/// More than the buffers of a connection take.
constexpr std::size_t UploadBytes = 16'000'000;

/// What the backend server writes for one request; "{id}" stands for the id of the request.
struct Reply {
  std::string Text_;
  bool Close_ = false; ///< closes the connection, which resets it if input is unread
  bool Late_ = false;  ///< with Close_: after a pause, so that the node has read the text
  bool Ended_ = false; ///< ends the sending side behind the text
};

const std::string Served = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: s1\r\n"
                           "Content-Length: 3\r\n\r\nyes";

/// An answer that states no length, so that it ends with its connection.
const std::string Unstated =
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: s\r\n\r\ntext";

/// An answer with an empty body; no header of the id if the id is empty.
std::string answer(unsigned Status, const std::string &Id, const std::string &More) {
  return "HTTP/1.1 " + std::to_string(Status) + " Status\r\n" +
         (Id.empty() ? "" : "Request-Id: " + Id + "\r\n") + More + "Content-Length: 0\r\n\r\n";
}

std::string refusal(unsigned Status, const std::string &Id) {
  return answer(Status, Id, "Not-Executed: 1\r\n");
}

/// A node with a scripted backend server, which serves requests once its script has ended. A
/// request on the route "/w/" must not run twice.
struct GateFixture : MeshFixture {
  tcp::acceptor Acceptor_{Io_, {boost::asio::ip::make_address(Host), BackendPort_}};
  std::deque<Reply> Replies_;
  std::string CopyOnReuse_;           ///< written before each answer but the first on a connection
  std::vector<std::string> Requests_; ///< ids of the requests that arrived
  std::string LastHead_;              ///< of the last request that arrived
  milliseconds Deadline_{1000};       ///< of the requests that are sent from now on
  std::string LastBody_;              ///< of the last answer that a caller got
  int Accepted_ = 0;

  struct Connection {
    explicit Connection(tcp::socket Socket) : Socket_(std::move(Socket)) {}
    tcp::socket Socket_;
    std::string Input_;
    std::string Output_;
    int Answered_ = 0;
  };

  GateFixture() {
    accept();
    putServer(Store_, "i-1", Host);
    putConfig(Store_, 3, {"/w/"}, "unsafe");
    startNode(Host);
    REQUIRE(runUntil([&] { return statusOf(Host, "/other/") == 404; }));
  }

  void accept() {
    Acceptor_.async_accept([this](boost::system::error_code Failure, tcp::socket Socket) {
      if (Failure)
        return;
      ++Accepted_;
      serve(std::make_shared<Connection>(std::move(Socket)));
      accept();
    });
  }
  void serve(const std::shared_ptr<Connection> &Item) {
    boost::asio::async_read_until(
        Item->Socket_, boost::asio::dynamic_buffer(Item->Input_), "\r\n\r\n",
        [this, Item](boost::system::error_code Failure, std::size_t Size) {
          if (!Failure)
            reply(Item, Size);
        });
  }
  void reply(const std::shared_ptr<Connection> &Item, std::size_t Size) {
    const std::string Name = "Request-Id: ";
    const std::size_t Start = Item->Input_.find(Name) + Name.size();
    const std::string Id = Item->Input_.substr(Start, Item->Input_.find("\r\n", Start) - Start);
    LastHead_ = Item->Input_.substr(0, Size);
    Item->Input_.erase(0, Size);
    Requests_.push_back(Id);
    Reply Next{Served};
    if (!Replies_.empty()) {
      Next = Replies_.front();
      Replies_.pop_front();
    }
    Item->Output_ = (Item->Answered_++ > 0 ? CopyOnReuse_ : "") + Next.Text_;
    boost::replace_all(Item->Output_, "{id}", Id);
    boost::asio::async_write(Item->Socket_, boost::asio::buffer(Item->Output_),
                             [this, Item, Next](boost::system::error_code, std::size_t) {
                               if (Next.Ended_)
                                 Item->Socket_.shutdown(tcp::socket::shutdown_send);
                               if (Next.Close_ && Next.Late_)
                                 closeLate(Item);
                               else if (Next.Close_)
                                 Item->Socket_.close();
                               else
                                 serve(Item);
                             });
  }

  void closeLate(const std::shared_ptr<Connection> &Item) {
    const auto Timer = std::make_shared<boost::asio::steady_timer>(Io_, Pause);
    Timer->async_wait([Timer, Item](boost::system::error_code) { Item->Socket_.close(); });
  }

  /// Sends requests that must not run twice, at the same time, and returns the statuses of their
  /// answers.
  std::vector<unsigned> postAll(const std::vector<std::string> &Ids, const std::string &Body = "") {
    node::HttpClient Client(Io_, {Host, CallerPort_}, Ids.size());
    std::vector<unsigned> Statuses;
    for (const std::string &Id : Ids) {
      node::HttpRequest Request;
      Request.Method_ = "POST";
      Request.Target_ = "/w/" + Id;
      Request.Headers_ = {{"Host", "a.example"},
                          {"Request-Id", Id},
                          {"Deadline-Ms", std::to_string(Deadline_.count())}};
      Request.Body_ = Body;
      Client.send(std::move(Request), std::chrono::seconds(3),
                  [&](node::HttpResult Result, const node::HttpResponse &Response) {
                    Statuses.push_back(Result == node::HttpResult::Answered ? Response.Status_ : 0);
                    LastBody_ = Response.Body_;
                  });
    }
    runUntil([&] { return Statuses.size() == Ids.size(); });
    return Statuses;
  }
  /// Puts limits of what callers may send in force.
  void setLimits(const json &Limits) {
    json Config = json::parse(Store_.copy().Items_.at("op/config").first);
    Config["Version"] = 4;
    Config["Limits"] = Limits;
    Store_.put("op/config", Config.dump());
    REQUIRE(runUntil([&] { return versionOf(Host) == 4; }));
  }
  /// Prepares requests that are still written when the server answers.
  void allowUploads() {
    Deadline_ = milliseconds(2500); // time for the upload itself, with sanitizers too
    setLimits({{"MaxBodyBytes", UploadBytes}});
  }
  /// Sends bytes to a node on a new connection and returns the first line of the answer; empty if
  /// there is none.
  std::string exchange(const std::string &Text, const std::string &To = Host) {
    tcp::socket Socket(Io_);
    Socket.connect({boost::asio::ip::make_address(To), CallerPort_});
    std::string Answer;
    bool Ended = false;
    boost::asio::async_write(Socket, boost::asio::buffer(Text),
                             [](boost::system::error_code, std::size_t) {});
    boost::asio::async_read_until(Socket, boost::asio::dynamic_buffer(Answer), "\r\n",
                                  [&](boost::system::error_code, std::size_t) { Ended = true; });
    runUntil([&] { return Ended; });
    return Answer.substr(0, Answer.find("\r\n"));
  }
  unsigned post(const std::string &Id, const std::string &Body = "") {
    return postAll({Id}, Body).front();
  }
};

} // namespace

// Guards against a request that is reported as not run, or run again, after a refusal that does
// not name it.
TEST_CASE_METHOD(GateFixture, "backend_gate_refusal_without_id_is_unknown") {
  const std::string Text = GENERATE(refusal(503, ""), refusal(429, ""), refusal(421, ""),
                                    refusal(400, ""), answer(421, "", ""));
  INFO(Text);
  Replies_ = {{Text}};
  CHECK(post("a") == 502);
  CHECK(Requests_ == std::vector<std::string>{"a"});
  // The answer to the request may still follow on that connection.
  CHECK(post("b") == 200);
  CHECK(Accepted_ == 2);
}

// Guards against a request to a server that was replaced at its address and that is reported as
// lost, although a 421 with the id of the request says that it did not run.
TEST_CASE_METHOD(GateFixture, "backend_gate_421_with_id_is_not_run") {
  Replies_ = {{answer(421, "{id}", "")}};
  CHECK(post("a") == 503);
  CHECK(Requests_ == std::vector<std::string>{"a"});
}

// Guards against a 421 of another request that is reported as not run.
TEST_CASE_METHOD(GateFixture, "backend_gate_421_without_id_is_unknown") {
  Replies_ = {{answer(421, "", "")}};
  CHECK(post("a") == 502);
  CHECK(Requests_ == std::vector<std::string>{"a"});
}

// Guards against the refusal of an earlier request that is taken for the present one's.
TEST_CASE_METHOD(GateFixture, "backend_gate_refusal_of_other_request_is_dropped") {
  CopyOnReuse_ = refusal(503, "a");
  CHECK(post("a") == 200);
  CHECK(post("b") == 200);
  CHECK(Requests_ == std::vector<std::string>{"a", "b"});
  CHECK(Accepted_ == 1);
}

// Guards against a request that runs twice, because the copy of the refusal of its first attempt
// is taken for the answer to the second.
TEST_CASE_METHOD(GateFixture, "backend_gate_copied_refusal_does_not_answer_next_attempt") {
  const unsigned Status = GENERATE(503, 429, 421);
  INFO(Status);
  CopyOnReuse_ = refusal(Status, "{id}");
  Replies_ = {{refusal(Status, "{id}")}};
  CHECK(post("a") == 503);
  CHECK(post("a") == 200);
  CHECK(Requests_ == std::vector<std::string>{"a", "a"});
  CHECK(Accepted_ == 2);
}

// Guards against a request that runs twice, because the copy of a 421 without Not-Executed, which a
// server at the address of an earlier one sent, is taken for the answer to the second attempt.
TEST_CASE_METHOD(GateFixture, "backend_gate_copied_421_does_not_answer_next_attempt") {
  CopyOnReuse_ = answer(421, "{id}", "");
  Replies_ = {{CopyOnReuse_}};
  CHECK(post("a") == 503);
  CHECK(post("a") == 200);
  CHECK(Requests_ == std::vector<std::string>{"a", "a"});
  CHECK(Accepted_ == 2);
}

// Guards against a refusal that names its request and is not believed.
TEST_CASE_METHOD(GateFixture, "backend_gate_refusal_with_id_on_kept_connection_is_believed") {
  Replies_ = {{Served}, {refusal(503, "{id}")}};
  CHECK(post("a") == 200);
  CHECK(post("b") == 503);
  CHECK(Requests_ == std::vector<std::string>{"a", "b"});
  CHECK(Accepted_ == 1);
}

// Guards against an answer that is passed on although its backend server did not make it.
TEST_CASE_METHOD(GateFixture, "backend_gate_unsigned_answer_of_any_status_is_unknown") {
  const unsigned Status = GENERATE(200, 302, 400, 404, 408, 429, 500, 503, 504);
  const bool Named = GENERATE(true, false);
  INFO(Status << (Named ? " without signature" : " without id"));
  Replies_ = {{Named ? answer(Status, "{id}", "") : answer(Status, "", "Server-Signature: s\r\n")}};
  CHECK(post("a") == 502);
  CHECK(Requests_ == std::vector<std::string>{"a"});
}

// Guards against an error answer of a backend server that is withheld.
TEST_CASE_METHOD(GateFixture, "backend_gate_signed_error_is_passed_on") {
  const unsigned Status = GENERATE(404, 500, 504);
  Replies_ = {{answer(Status, "{id}", "Server-Signature: s\r\n")}};
  CHECK(post("a") == Status);
}

// Guards against a caller that waits in vain for, or is passed, a status that is none, against a
// server that is believed to have crashed because of it, and against a connection that is used
// again.
TEST_CASE_METHOD(GateFixture, "backend_gate_status_that_is_not_final_is_unknown") {
  const std::string Status = GENERATE("000", "099", "100", "103", "199", "600", "999");
  INFO(Status);
  const Reply Odd{"HTTP/1.1 " + Status + " Odd\r\nRequest-Id: {id}\r\nServer-Signature: s\r\n" +
                  "Content-Length: 3\r\n\r\nyes"};
  Replies_ = {Odd, Odd, Odd, Odd};
  const TimePoint Start = node::now();
  CHECK(postAll({"a", "b", "c", "d"}) == std::vector<unsigned>(4, 502));
  CHECK(node::now() - Start < milliseconds(500)); // half of the time that the callers allow
  CHECK(Requests_.size() == 4);
  const json State = stateOf(Host);
  CHECK(State.at("quarantine").at("crashes") == 0);
  CHECK(post("e") == 200);
  CHECK(Accepted_ == 5);
}

// Guards against an answer whose head is cut short and that is passed on as a whole one.
TEST_CASE_METHOD(GateFixture, "backend_gate_answer_cut_in_its_head_is_unknown") {
  const std::size_t Left =
      GENERATE_COPY(Served.find("\r\n") + 2, Served.find("Server-Signature"),
                    Served.find("Content-Length"), Served.find("\r\n\r\n") + 2);
  INFO(Served.substr(0, Left));
  Replies_ = {{Served.substr(0, Left), true}};
  CHECK(post("a") == 502);
  CHECK(Requests_ == std::vector<std::string>{"a"});
}

// Guards against the first part of an answer that callers get as a whole one, because the server
// reset the connection while the request was still being written.
TEST_CASE_METHOD(GateFixture, "backend_gate_answer_reset_during_upload_is_unknown") {
  allowUploads();
  Replies_ = {{Unstated, true, true}};
  CHECK(post("a", std::string(UploadBytes, 'x')) == 502);
  CHECK(Requests_ == std::vector<std::string>{"a"});
}

// Guards against a whole answer that is withheld because its server ends the connection before it
// has read the request.
TEST_CASE_METHOD(GateFixture, "backend_gate_answer_ended_in_order_during_upload_is_passed_on") {
  const bool Late = GENERATE(false, true);
  INFO("late " << Late);
  allowUploads();
  Replies_ = {{Unstated, true, Late, true}};
  CHECK(post("a", std::string(UploadBytes, 'x')) == 200);
  CHECK(LastBody_ == "text");
}

// Guards against an answer that is passed on with a malformed line of its head, or with a body that
// is not the server's because that line was to state its length.
TEST_CASE_METHOD(GateFixture, "backend_gate_answer_with_malformed_field_name_is_unknown") {
  const std::string Line =
      GENERATE("X Extra: 1", "X-Extra : 1", " X-Extra: 1", "\tX-Extra: 1", "X-\x01: 1", "X-\x7f: 1",
               "Content-Length : 3", " Content-Length: 3", "Content\x02Length: 3");
  INFO(Line);
  Replies_ = {{"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: s\r\n" + Line +
                   "\r\n\r\nyes, and more",
               true}};
  CHECK(post("a") == 502);
  CHECK(Requests_ == std::vector<std::string>{"a"});
}

// Guards against a server that is believed to have crashed, so that its requests are put into
// quarantine, because it sent several malformed heads at once.
TEST_CASE_METHOD(GateFixture, "backend_gate_malformed_heads_are_no_crash") {
  const std::string Line = GENERATE("X Extra: 1", "X-\x01: 1", " X-Extra: 1");
  INFO(Line);
  const Reply Odd{"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: s\r\n" + Line +
                  "\r\nContent-Length: 3\r\n\r\nyes"};
  Replies_ = {Odd, Odd, Odd, Odd};
  CHECK(postAll({"a", "b", "c", "d"}) == std::vector<unsigned>(4, 502));
  CHECK(Requests_.size() == 4);
  const json State = stateOf(Host);
  CHECK(State.at("quarantine").at("crashes") == 0);
  CHECK(post("e") == 200);
}

// Guards against a gate that does not read the pace that the server tells, or believes that of an
// answer which is not the server's.
TEST_CASE_METHOD(GateFixture, "backend_gate_pace_of_answers_is_told") {
  const auto Pace = [&] { return stateOf(Host).at("backend_gate").at("pace").get<double>(); };
  const std::string Load = "Instance-Load: 1,0,4,250\r\n";
  Replies_ = {{answer(200, "{id}", Load)}};
  CHECK(post("a") == 502); // not signed
  CHECK(Pace() == 1.0);
  Replies_ = {{answer(200, "{id}", "Server-Signature: s1\r\n" + Load)}};
  CHECK(post("b") == 200);
  CHECK(Pace() > 2.0);
  const auto Spread = stateOf(Host).at("entry").at("load_spread");
  CHECK(Spread.at("s").at("servers") == 1);
}

// Guards against a node that ends at a request with a body whose method has none: the library threw
// for TRACE when the request was to be written to the server.
TEST_CASE_METHOD(GateFixture, "backend_gate_body_of_any_method_is_passed_on") {
  const std::string Method = GENERATE("TRACE", "GET", "DELETE", "OPTIONS", "PATCH", "BREW");
  const std::string Start = Method + " /w/a HTTP/1.1\r\n";
  CHECK(exchange(Start + "Host: a.example\r\nRequest-Id: a\r\nDeadline-Ms: 1000\r\n"
                         "Content-Length: 4\r\n\r\nbody") == "HTTP/1.1 200 OK");
  CHECK(LastHead_.substr(0, Start.size()) == Start);
  CHECK(LastHead_.find("Content-Length: 4\r\n") != std::string::npos);
  CHECK(post("b") == 200);
}

// Guards against a node that ends at a field of 65,534 bytes or more, for which the library throws
// whatever the limit of a head is; the same on the way through another node.
TEST_CASE_METHOD(GateFixture, "backend_gate_long_field_within_limit_reaches_server") {
  const std::string Other = "127.0.0.3";
  startNode(Other);
  setLimits({{"MaxHeaderBytes", 131072}});
  REQUIRE(runUntil([&] { return versionOf(Other) == 4; }));
  const std::string Entry = GENERATE_COPY(Host, Other);
  const std::string Field =
      GENERATE("X-Long: " + std::string(66'000, 'v'), std::string(66'000, 'n') + ": 1",
               "X: " + std::string(65'534, 'v'));
  INFO(Field.substr(0, 10) << " at " << Entry);
  CHECK(exchange("POST /w/a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: a\r\nDeadline-Ms: 1000\r\n" +
                     Field + "\r\nContent-Length: 0\r\n\r\n",
                 Entry) == "HTTP/1.1 200 OK");
  CHECK(LastHead_.find("\r\n" + Field + "\r\n") != std::string::npos);
  CHECK(post("b") == 200);
}

// Guards against a node that ends at an answer with a long trailer, for which the library throws,
// and against a whole answer that callers do not get because of its trailers.
TEST_CASE_METHOD(GateFixture, "backend_gate_answer_with_long_trailer_is_passed_on") {
  const std::string Trailer =
      GENERATE("X-Sum: " + std::string(66'000, '~'), std::string("Not-Executed: 1"));
  INFO(Trailer.substr(0, 20));
  Replies_ = {{"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: s\r\n"
               "Transfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n" +
               Trailer + "\r\n\r\n"}};
  CHECK(post("a") == 200);
  CHECK(LastBody_ == "yes");
  CHECK(Requests_ == std::vector<std::string>{"a"});
  CHECK(post("b") == 200);
}
