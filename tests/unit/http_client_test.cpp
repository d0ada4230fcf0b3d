#include <memory>
#include <vector>

#include <catch2/catch.hpp>

#include "http_client_fixture.h"

using namespace bronzestand;
using namespace bronzestand::node;

// Guards against the late answer to an earlier request that is taken for the present one's.
TEST_CASE_METHOD(ClientFixture, "client_answer_to_other_request_is_dropped") {
  Replies_ = {{answerTo("a", "one")},
              {answerTo("a", "again") + answerTo("b", "two")},
              {answerTo("c", "three")}};
  CHECK(request("a") == std::make_pair(HttpResult::Answered, std::string("one")));
  CHECK(request("b") == std::make_pair(HttpResult::Answered, std::string("two")));
  CHECK(request("c") == std::make_pair(HttpResult::Answered, std::string("three")));
  // The connection that carried a foreign answer is not used again.
  CHECK(Accepted_ == 2);
}

// Guards against a copy of an earlier answer that comes in two parts, the second of them together
// with the answer to the present request, and against one that comes before the next request.
TEST_CASE_METHOD(ClientFixture, "client_late_copy_in_two_parts_is_dropped") {
  const std::string Copy = answerTo("a", "again");
  const std::size_t Split = GENERATE_COPY(std::size_t{1}, Copy.find("Request-Id") + 4,
                                          Copy.find("\r\n\r\n") + 2, Copy.size() - 2, Copy.size());
  INFO("split at " << Split);
  Replies_ = {{answerTo("a", "one")},
              inTwoParts(Copy.substr(0, Split), Copy.substr(Split) + answerTo("b", "two")),
              inTwoParts(answerTo("c", "three"), answerTo("c", "again")),
              {answerTo("d", "four")}};
  CHECK(request("a") == std::make_pair(HttpResult::Answered, std::string("one")));
  CHECK(request("b") == std::make_pair(HttpResult::Answered, std::string("two")));
  CHECK(request("c") == std::make_pair(HttpResult::Answered, std::string("three")));
  Io_.run_for(4 * Pause);
  CHECK(request("d") == std::make_pair(HttpResult::Answered, std::string("four")));
  CHECK(Accepted_ == 3);
}

// Guards against a refusal that the server sends once more and that is taken for the answer to the
// next attempt, which bears the same id.
TEST_CASE_METHOD(ClientFixture, "client_refused_id_takes_another_connection") {
  const std::string Refusal =
      "HTTP/1.1 503 Busy\r\nRequest-Id: a\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nbusy";
  Replies_ = {{Refusal}, {answerTo("b", "two")}, {answerTo("a", "one")}, {answerTo("c", "three")}};
  CHECK(request("a").second == "busy");
  CHECK(request("b").second == "two");
  CHECK(Accepted_ == 1);
  CHECK(request("a").second == "one");
  CHECK(Accepted_ == 2);
  CHECK(request("c").second == "three");
  CHECK(Accepted_ == 2);
}

// Guards against memory that grows with the refusals on one connection.
TEST_CASE_METHOD(ClientFixture, "client_connection_with_many_refusals_is_not_kept") {
  constexpr int Requests = 40;
  for (int Index = 0; Index < Requests; ++Index) {
    const std::string Id = std::to_string(Index);
    Replies_ = {
        {"HTTP/1.1 503 Busy\r\nRequest-Id: " + Id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"}};
    CHECK(request(Id).first == HttpResult::Answered);
  }
  CHECK(Accepted_ > 1);
  CHECK(Accepted_ < 5);
}

// Guards against an answer without an id, after which the answer to the same request may follow.
TEST_CASE_METHOD(ClientFixture, "client_answer_without_id_ends_the_connection") {
  Replies_ = {{"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy"}, {answerTo("b", "two")}};
  CHECK(request("a").second == "busy");
  CHECK(request("b").second == "two");
  CHECK(Accepted_ == 2);
}

// Guards against a connection that is kept although the server has not read the whole request; a
// server that refused it can't run it later.
TEST_CASE_METHOD(ClientFixture, "client_answer_to_unfinished_request_ends_the_connection") {
  Replies_ = {{answerTo("a", "early")}, {answerTo("b", "two")}};
  CHECK(request("a", false, std::string(MaxEndlessBytes, 'x')).second == "early");
  CHECK(request("b").second == "two");
  CHECK(Accepted_ == 2);
}

// Guards against bytes behind an answer that become the start of the next one.
TEST_CASE_METHOD(ClientFixture, "client_bytes_behind_an_answer_end_the_connection") {
  Replies_ = {{answerTo("a", "one") + "garbage"}, {answerTo("b", "two")}};
  CHECK(request("a").second == "one");
  CHECK(request("b").second == "two");
  CHECK(Accepted_ == 2);
}

// Guards against a connection that is opened for each request.
TEST_CASE_METHOD(ClientFixture, "client_sound_connection_is_used_again") {
  Replies_ = {{answerTo("a", "one")}, {answerTo("b", "two")}};
  CHECK(request("a").second == "one");
  CHECK(request("b").second == "two");
  CHECK(Accepted_ == 1);
}

// Guards against a body that was cut short and is taken as whole.
TEST_CASE_METHOD(ClientFixture, "client_cut_answer_is_lost") {
  const std::string Open = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n";
  Replies_ = {{Open + "Content-Length: 10\r\n\r\nabc", true},
              {Open + "Transfer-Encoding: chunked\r\n\r\n5\r\nab", true},
              {"nonsense\r\n\r\n", true},
              {Open + "\r\nabc", true}};
  CHECK(request("a").first == HttpResult::Lost);
  CHECK(request("a").first == HttpResult::Lost);
  CHECK(request("a").first == HttpResult::Lost);
  CHECK(request("a").first == HttpResult::Lost);
}

// Guards against an answer without a length that is dropped although its server ends answers so.
TEST_CASE_METHOD(ClientFixture, "client_answer_that_ends_with_its_connection_is_whole") {
  Replies_ = {{"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nabc", true}};
  CHECK(request("a", true) == std::make_pair(HttpResult::Answered, std::string("abc")));
}

// Guards against an answer that ends inside its head, or inside a body whose end is marked, and is
// taken as whole because its server ends answers by closing.
TEST_CASE_METHOD(ClientFixture, "client_answer_cut_at_any_byte_is_lost") {
  const std::string Open = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n";
  for (const std::string &Whole :
       {answerTo("a", "one"), Open + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n"}) {
    for (std::size_t Left = 0; Left < Whole.size(); ++Left) {
      INFO(Whole.substr(0, Left));
      for (const bool Reset : {false, true}) {
        Replies_ = {{Whole.substr(0, Left), true, "", Reset}};
        CHECK(request("a", true).first == HttpResult::Lost);
      }
    }
  }
}

// Guards against an answer without a length that is taken as whole after a reset.
TEST_CASE_METHOD(ClientFixture, "client_answer_without_length_ended_by_reset_is_lost") {
  const std::string Open = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n";
  for (const std::string Body : {"", "abc"}) {
    Replies_ = {{Open + Body, true, "", true}};
    CHECK(request("a", true).first == HttpResult::Lost);
  }
}

// Guards against the first part of an answer that is taken as whole, because the write of the
// request is told of the reset that ended it, and the read sees the connection just end.
TEST_CASE_METHOD(ClientFixture, "client_answer_without_length_reset_during_upload_is_lost") {
  const std::string Upload(MaxEndlessBytes, 'x');
  const std::string Body = GENERATE("", "abc");
  const bool Late = GENERATE(false, true);
  // A server that closes with input unread resets the connection too.
  const bool Reset = GENERATE(false, true);
  INFO("body '" << Body << "' late " << Late << " reset " << Reset);
  Reply Next{"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n" + Body, true};
  Next.Reset_ = Reset;
  Next.Late_ = Late;
  Replies_ = {Next};
  CHECK(request("a", true, Upload).first == HttpResult::Lost);
}

// Guards against the first part of an answer that states its end and is taken as whole.
TEST_CASE_METHOD(ClientFixture, "client_answer_with_stated_end_cut_during_upload_is_lost") {
  const std::string Upload(MaxEndlessBytes, 'x');
  const std::string Rest =
      GENERATE("Content-Length: 9\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
               "X-Extra: 1\r\n");
  const bool Late = GENERATE(false, true);
  const bool Shutdown = GENERATE(false, true);
  INFO(Rest << " late " << Late << " shutdown " << Shutdown);
  Reply Next{"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n" + Rest, true};
  Next.Reset_ = true;
  Next.Late_ = Late;
  Next.Shutdown_ = Shutdown;
  Replies_ = {Next};
  CHECK(request("a", true, Upload).first == HttpResult::Lost);
}

// Guards against a whole answer that is dropped because its connection ends during the upload.
TEST_CASE_METHOD(ClientFixture, "client_whole_answer_during_upload_arrives") {
  const std::string Upload(MaxEndlessBytes, 'x');
  const bool Late = GENERATE(false, true);
  const bool Reset = GENERATE(false, true);
  const bool Stated = GENERATE(false, true);
  INFO("late " << Late << " reset " << Reset << " length stated " << Stated);
  Reply Next{Stated ? answerTo("a", "abc") : "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nabc", true};
  Next.Reset_ = Reset;
  Next.Late_ = Late;
  Next.Shutdown_ = !Stated; // the end of an answer without a length
  Replies_ = {Next};
  CHECK(request("a", true, Upload) == std::make_pair(HttpResult::Answered, std::string("abc")));
}

// Guards against a process that ends at a long trailer, for which the library throws whatever the
// limit of a head is, and against a whole answer that is withheld because of it.
TEST_CASE_METHOD(ClientFixture, "client_answer_with_long_trailer_arrives") {
  const std::size_t Size = GENERATE(1, 65'533, 65'534, 65'536, 66'000, 100'000);
  const bool InName = GENERATE(false, true);
  INFO(Size << " bytes, in name " << InName);
  const std::string Long(Size, 'x');
  Replies_ = {{chunkedAnswerTo("a") + (InName ? Long + ": 1" : "X-Long: " + Long) + "\r\n\r\n"},
              {answerTo("b", "two")}};
  CHECK(request("a") == std::make_pair(HttpResult::Answered, std::string("one")));
  CHECK(request("b") == std::make_pair(HttpResult::Answered, std::string("two")));
  CHECK(Accepted_ == 1);
}

// Guards against a trailer that says of the answer what only its head may say: that the request did
// not run, which request is answered, or a field that the caller gets.
TEST_CASE_METHOD(ClientFixture, "client_trailer_is_no_field_of_the_head") {
  Replies_ = {{chunkedAnswerTo("a") + "Not-Run: 1\r\nRequest-Id: b\r\nX-Extra: 1\r\n\r\n"},
              {answerTo("a", "two")}};
  CHECK(request("a") == std::make_pair(HttpResult::Answered, std::string("one")));
  REQUIRE(LastHeaders_.size() == 1);
  CHECK(LastHeaders_[0].Name_ == "Request-Id");
  CHECK(LastHeaders_[0].Value_ == "a");
  // The connection remembers no refusal.
  CHECK(request("a").second == "two");
  CHECK(Accepted_ == 1);
}

// Guards against a process that ends at a head with a long field: one within the bound of a head
// arrives, a longer one is lost.
TEST_CASE_METHOD(ClientFixture, "client_long_field_of_answer_is_bounded") {
  const auto [Size, Result] = GENERATE(table<std::size_t, HttpResult>(
      {{65'000, HttpResult::Answered}, {65'534, HttpResult::Lost}, {131'000, HttpResult::Lost}}));
  INFO(Size << " bytes");
  Replies_ = {{"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 0\r\nX-Long: " +
               std::string(Size, 'x') + "\r\n\r\n"}};
  CHECK(request("a").first == Result);
}

// Guards against an answer that is passed on with a malformed line of its head, or with a body that
// ends elsewhere because that line was to state its length.
TEST_CASE_METHOD(ClientFixture, "client_answer_with_malformed_field_name_is_lost") {
  constexpr int Delete = 0x7F;
  const std::string Field =
      GENERATE("Content-Length: 3", "Transfer-Encoding: chunked", "X-Extra: 1");
  const bool First = GENERATE(true, false);
  const std::string Sound = "Request-Id: a\r\nX-Before: 1\r\n";
  for (int Byte = 0; Byte <= 0xFF; ++Byte) {
    if (Byte > ' ' && Byte < Delete)
      continue;
    for (const std::size_t Place : {std::size_t{0}, std::size_t{1}, Field.find(':')}) {
      std::string Line = Field + "\r\n";
      Line.insert(Place, 1, static_cast<char>(Byte));
      INFO("byte " << Byte << " at " << Place << " of " << Field
                   << (First ? " in the first line" : " in a later line"));
      const std::string Head = "HTTP/1.1 200 OK\r\n" + (First ? Line + Sound : Sound + Line);
      const std::string Text = Head + "\r\nyes, and more";
      Replies_ = {{Text, true}};
      CHECK(request("a", true).first == HttpResult::Lost);
      if (Byte != ' ' && Byte != '\t')
        continue;
      // The byte comes with the line before it, or after it.
      for (const std::size_t Split : {Head.size() - Line.size(), Head.size() - Line.size() + 1}) {
        Replies_ = {inTwoParts(Text.substr(0, Split), Text.substr(Split))};
        CHECK(request("a", true).first == HttpResult::Lost);
      }
    }
  }
}

// Guards against a sound answer that is dropped because a name has an unusual byte.
TEST_CASE_METHOD(ClientFixture, "client_answer_with_any_name_of_allowed_bytes_arrives") {
  constexpr char First = '!';
  constexpr char Last = '~';
  const std::string Separators = "\"(),/:;<=>?@[\\]{}";
  for (char Byte = First; Byte <= Last; ++Byte) {
    const bool Allowed = Separators.find(Byte) == std::string::npos;
    INFO(Byte);
    Replies_ = {{"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n" + std::string(1, Byte) +
                 "x: 1\r\nContent-Length: 3\r\n\r\nabc"}};
    const auto End = request("a", true);
    CHECK(End.first == (Allowed ? HttpResult::Answered : HttpResult::Lost));
    CHECK(End.second == (Allowed ? "abc" : ""));
  }
}

// Guards against a sound answer that is dropped because its head or body looks like a malformed
// one.
TEST_CASE_METHOD(ClientFixture, "client_answer_with_blanks_elsewhere_arrives") {
  const std::string Text = "HTTP/1.1 200 A reason\r\nRequest-Id:\t a \r\nX-Extra:  1\t2 \r\n"
                           "Content-Length: 18\r\n\r\n one\r\n two\r\n\r\n x:y";
  for (std::size_t Split = 1; Split < Text.size(); ++Split) {
    INFO(Text.substr(0, Split));
    Replies_ = {inTwoParts(Text.substr(0, Split), Text.substr(Split))};
    CHECK(request("a", true) ==
          std::make_pair(HttpResult::Answered, std::string(" one\r\n two\r\n\r\n x:y")));
  }
  CHECK(Accepted_ == 1);
}

// Guards against a request that waits for ever on a silent server.
TEST_CASE_METHOD(ClientFixture, "client_silent_server_times_out") {
  Replies_ = {{""}};
  CHECK(request("a").first == HttpResult::TimedOut);
}

// Guards against a request that waits for its whole time on a server that has answered with a
// status that is none, and against such an answer that is passed on.
TEST_CASE_METHOD(ClientFixture, "client_status_that_is_not_final_ends_the_request_at_once") {
  const std::string Status = GENERATE("000", "099", "100", "101", "103", "199", "600", "999");
  const std::string Open = "HTTP/1.1 " + Status + " Odd\r\nRequest-Id: a\r\n";
  INFO(Status);
  // The last two state no length, so that their bodies look like the begin of a next answer.
  Replies_ = {{Open + "Content-Length: 3\r\n\r\nyes"},
              inTwoParts(Open + "Content-Length: 3\r\n\r\n", "yes"),
              {Open + "Content-Length: 0\r\n\r\n"},
              {Open + "Transfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n"},
              {Open + "\r\nyes"},
              inTwoParts(Open + "\r\n", "HTTPyes")};
  const int Cases = static_cast<int>(Replies_.size());
  for (int Number = 0; Number < Cases; ++Number)
    CHECK(request("a").first == HttpResult::Invalid);
  CHECK(Accepted_ == Cases);
}

// Guards against a final answer that is lost because an interim one precedes it.
TEST_CASE_METHOD(ClientFixture, "client_interim_answer_before_a_final_one_is_skipped") {
  const std::string Interim =
      GENERATE("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
               "HTTP/1.1 199 Other\r\nRequest-Id: a\r\n\r\n");
  const std::string Final = answerTo("a", "one");
  Replies_ = {{Interim + Final},
              inTwoParts(Interim, Final),
              inTwoParts(Interim + Final.substr(0, 3), Final.substr(3)),
              {Interim + Interim + Final}};
  for (int Number = 0; Number < 4; ++Number)
    CHECK(request("a") == std::make_pair(HttpResult::Answered, std::string("one")));
  CHECK(Accepted_ == 1);
}

// Guards against memory that grows, and a request that waits for its whole time, while a server
// sends bytes without end, in a head, in a body or as no answer at all.
TEST_CASE_METHOD(ClientFixture, "client_endless_bytes_end_the_request_and_the_connection") {
  const std::string Open = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n";
  const std::string Chunk = "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
  const std::pair<std::string, std::string> Streams[] = {
      {"", std::string(4096, 'x')},
      {"", "\r\n\r\n"},
      {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
      {Open, "X-Filler: " + std::string(1000, 'x') + "\r\n"},
      {Open + "X-Filler: ", std::string(4096, 'x')},
      {Open + "\r\n", std::string(4096, 'x')},
      {Open + "Transfer-Encoding: chunked\r\n\r\n", Chunk},
      {Open + "Content-Length: 99999999999\r\n\r\n", std::string(4096, 'x')},
      {Open + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
       "X-Filler: " + std::string(1000, 'x') + "\r\n"},
      {answerTo("other", "late"), answerTo("other", "late")},
  };
  for (const auto &[First, Rest] : Streams) {
    for (const bool EndsByClose : {false, true}) {
      Replies_ = {{First, false, Rest}};
      Sent_ = 0;
      INFO("stream " << First.substr(0, 60) << " / " << Rest.substr(0, 20));
      const auto Begin = std::chrono::steady_clock::now();
      const HttpResult Result = request("a", EndsByClose).first;
      CHECK((Result == HttpResult::Lost || Result == HttpResult::TimedOut));
      CHECK(std::chrono::steady_clock::now() - Begin < Timeout * 2);
      // The server sees the end of the connection.
      const std::size_t Before = Ended_;
      while (Ended_ == Before && std::chrono::steady_clock::now() - Begin < Timeout * 4)
        Io_.run_one_for(std::chrono::milliseconds(10));
      CHECK(Client_.connections() == 0);
      CHECK(Sent_ <= MaxEndlessBytes);
    }
  }
}

// Guards against a head without a bound on its size, whose fields take the memory of the process:
// the parser compares its bound with what is in the buffer only, and takes whole lines out of it.
TEST_CASE_METHOD(ClientFixture, "client_head_that_arrives_by_lines_is_bounded") {
  constexpr std::size_t MaxHeadBytes = 64UL * 1024;
  const std::string Lines = GENERATE(std::string("a: 1\r\n"), std::string(100, 'b') + ": 1\r\nc");
  INFO(Lines);
  Replies_ = {{"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nc", false, Lines}};
  CHECK(request("a").first == HttpResult::Lost);
  // What was sent and not read is in the buffers of the connection.
  CHECK(Sent_ <= MaxEndlessBytes / 2);
  CHECK(Client_.connections() == 0);
  Replies_ = {{"HTTP/1.1 200 OK\r\nRequest-Id: b\r\n" + std::string(MaxHeadBytes / 8, 'n') +
               ": 1\r\nContent-Length: 3\r\n\r\ntwo"}};
  CHECK(request("b").second == "two");
}

namespace {

/// A client that may hold MaxBytes of answers together.
struct BudgetFixture : ClientFixture {
  static constexpr std::size_t MaxBytes = 8UL * 1024 * 1024;
  static constexpr std::size_t Endless = 40;
  static constexpr Duration Limit = std::chrono::seconds(5);

  HttpClient Bounded_{Io_, {"127.0.0.1", Acceptor_.local_endpoint().port()}, 64, MaxBytes};
  std::size_t Most_ = 0; ///< bytes of answers seen at any time

  using Result = std::optional<std::pair<HttpResult, std::string>>;
  std::shared_ptr<Result> start(const std::string &Id, const Reply &Next) {
    Replies_.push_back(Next);
    HttpRequest Request;
    Request.Method_ = "GET";
    Request.Target_ = "/";
    Request.Headers_ = {{"Request-Id", Id}};
    SendOptions Options;
    Options.EchoHeader_ = "Request-Id";
    Options.EndsByClose_ = true;
    auto End = std::make_shared<Result>();
    Bounded_.send(
        std::move(Request), Limit,
        [End](HttpResult Outcome, const HttpResponse &Response) {
          End->emplace(Outcome, Response.Body_);
        },
        {}, Options);
    const int Before = Accepted_;
    while (Accepted_ == Before || !Replies_.empty())
      runOnce(); // the replies are given out in the order of the requests
    return End;
  }
  void runOnce() {
    Io_.run_one_for(std::chrono::milliseconds(10));
    Most_ = std::max(Most_, Bounded_.answerBytes());
  }
};

} // namespace

// Guards against memory that grows with the number of answers that do not end, of which each is
// bounded, in heads and in bodies; and against the loss of large sound answers beside them.
TEST_CASE_METHOD(BudgetFixture, "client_endless_answers_together_stay_bounded") {
  const std::string Chunk = "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
  const std::string Large(3UL * 1024 * 1024, 'y');
  std::vector<std::shared_ptr<Result>> Ends;
  for (std::size_t Number = 0; Number < Endless; ++Number) {
    const std::string Id = "e" + std::to_string(Number);
    const std::string Open = "HTTP/1.1 200 OK\r\nRequest-Id: " + Id + "\r\n";
    const Reply Streams[] = {
        {Open, false, "X-Filler: " + std::string(1000, 'x') + "\r\n"},
        {Open + "\r\n", false, std::string(4096, 'x')},
        {Open + "Transfer-Encoding: chunked\r\n\r\n", false, Chunk},
    };
    Ends.push_back(start(Id, Streams[Number % std::size(Streams)]));
  }
  const auto Sound = start("sound", {answerTo("sound", Large)});
  const auto Short = start("short", {"HTTP/1.1 200 OK\r\nRequest-Id: short\r\n\r\nabc", true});
  const auto Until = std::chrono::steady_clock::now() + Limit;
  while (std::chrono::steady_clock::now() < Until &&
         (!*Sound || !*Short ||
          std::any_of(Ends.begin(), Ends.end(), [](const auto &End) { return !*End; })))
    runOnce();
  CHECK(Most_ <= MaxBytes);
  CHECK(Most_ > MaxBytes / 2);
  REQUIRE(*Sound);
  CHECK((**Sound).first == HttpResult::Answered);
  CHECK((**Sound).second == Large);
  REQUIRE(*Short);
  CHECK((**Short).second == "abc");
  for (const auto &End : Ends) {
    REQUIRE(*End);
    CHECK((**End).first == HttpResult::Lost);
  }
  CHECK(Bounded_.answerBytes() == 0);
}

// Guards against large sound answers that are given up although they fit.
TEST_CASE_METHOD(BudgetFixture, "client_large_answers_within_the_bound_arrive_whole") {
  const std::string Large(1'500'000, 'y');
  std::vector<std::shared_ptr<Result>> Ends;
  for (int Number = 0; Number < 4; ++Number) {
    const std::string Id = "s" + std::to_string(Number);
    Ends.push_back(start(Id, {answerTo(Id, Large)}));
  }
  for (const auto &End : Ends) {
    while (!*End)
      runOnce();
    CHECK((**End).second == Large);
  }
}

// Guards against sound answers that are given up after their requests have run, because all at once
// exceed the bound although they fit one after another; with and without a stated length.
TEST_CASE_METHOD(BudgetFixture, "client_sound_answers_over_the_bound_arrive_one_after_another") {
  constexpr std::size_t Answers = 20; // together nearly four times MaxBytes
  const std::string Large(1'500'000, 'y');
  std::vector<std::shared_ptr<Result>> Ends;
  for (std::size_t Number = 0; Number < Answers; ++Number) {
    const std::string Id = "s" + std::to_string(Number);
    std::string Unstated = "HTTP/1.1 200 OK\r\nRequest-Id: ";
    Unstated.append(Id).append("\r\n\r\n").append(Large);
    const Reply Next = Number % 2 == 0 ? Reply{answerTo(Id, Large)} : Reply{Unstated, true};
    Ends.push_back(start(Id, Next));
  }
  const auto Until = std::chrono::steady_clock::now() + Limit;
  while (std::chrono::steady_clock::now() < Until &&
         std::any_of(Ends.begin(), Ends.end(), [](const auto &End) { return !*End; }))
    runOnce();
  CHECK(Most_ <= MaxBytes);
  for (const auto &End : Ends) {
    REQUIRE(*End);
    CHECK((**End).first == HttpResult::Answered);
    CHECK(((**End).second == Large)); // not printed if it fails
  }
  CHECK(Bounded_.answerBytes() == 0);
}
