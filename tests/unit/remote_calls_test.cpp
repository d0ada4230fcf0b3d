#include "node/remote_calls.h"

#include <memory>

#include <catch2/catch.hpp>

#include "free_port.h"
#include "node/clock.h"
#include "node/codec_call.h"

using namespace bronzestand;
using namespace bronzestand::node;

namespace {

using std::chrono::seconds;

/// Serves each call at once.
class ServingRunner final : public CallRunner {
public:
  void submitCall(const HostId & /*Caller*/, Call Request, Reply Done) override {
    Answer Result;
    Result.Id_ = Request.Id_;
    Result.Outcome_ = Outcome::Served;
    Result.HttpStatus_ = 200;
    Done(Result);
  }
  void cancel(const HostId & /*Caller*/, CallId /*Id*/) override {}
};

/// A node that receives calls, and runs of another one that sends them.
class RemoteCallsFixture {
public:
  RemoteCallsFixture() {
    Receiver_.Host_ = HostId("10.0.0.1");
    Caller_.Host_ = HostId("10.0.0.2");
    for (Settings *Config : {&Receiver_, &Caller_}) {
      Config->PeerListen_ = {"127.0.0.1", freePort()};
      Config->PeerSecret_ = "secret";
    }
    Links_ = std::make_unique<PeerLinks>(Io_, Receiver_, 1);
    Calls_ = std::make_unique<RemoteCalls>(Runner_, *Links_, 1);
    REQUIRE(Links_->start().ok());
    REQUIRE(Calls_->start().ok());
  }

  /// Starts a run of the caller, sends one call and returns the answer to it.
  Answer callFromNewRun(Incarnation Run) {
    PeerLinks Links(Io_, Caller_, Run);
    REQUIRE(Links.start().ok());
    Answer Result;
    bool Answered = false;
    Links.setResolver([this](const HostId &) { return Receiver_.PeerListen_; });
    Links.setHandler(MessageKind::Answer, [&](const Peer &, const nlohmann::json &Body) {
      Result = Body.get<Answer>();
      Answered = true;
    });
    Call Request;
    Request.Id_ = Run + 1; // as in Entry
    Request.TimeLeft_ = seconds(1);
    Links.send(Receiver_.Host_, MessageKind::Call, Request);
    for (const TimePoint Start = now(); !Answered && now() - Start < seconds(2);)
      Io_.run_one_for(std::chrono::milliseconds(50));
    REQUIRE(Answered);
    Links.stop();
    Io_.poll();
    return Result;
  }

  boost::asio::io_context Io_;
  Settings Receiver_;
  Settings Caller_;
  ServingRunner Runner_;
  std::unique_ptr<PeerLinks> Links_;
  std::unique_ptr<RemoteCalls> Calls_;
};

} // namespace

// Guards against refused calls of a restarted node because a previous run used higher ids.
TEST_CASE_METHOD(RemoteCallsFixture, "remote_calls_caller_restarted_with_later_clock_is_served") {
  CHECK(callFromNewRun(2'000'000).Outcome_ == Outcome::Served);
  Calls_->tick(now() + seconds(11));
  CHECK(callFromNewRun(3'000'000).Outcome_ == Outcome::Served);
}

// Guards against refused calls of a node whose wall clock was set back before its restart.
TEST_CASE_METHOD(RemoteCallsFixture, "remote_calls_caller_restarted_with_earlier_clock_is_served") {
  CHECK(callFromNewRun(2'000'000).Outcome_ == Outcome::Served);
  Calls_->tick(now() + seconds(11));
  CHECK(callFromNewRun(1'000'000).Outcome_ == Outcome::Served);
}
