// The tool against running nodes, and the operator pages that it reads.
#include <csignal>
#include <sstream>

#include <catch2/catch.hpp>

#include "ctl/command.h"
#include "fleet.h"

using namespace bronzestand;
using namespace bronzestand::test;
using ctl::ExitCode;
using nlohmann::json;

namespace {

struct ToolFixture {
  ToolFixture() : Fleet_({{"cat-1", "catalogue"}, {"cat-2", "catalogue"}, {"pay-1", "payments"}}) {
    Fleet_.putBasics({{"catalogue", "- {method: GET, path: /catalogue/*, class: browsing, "
                                    "idempotent: true}\n"},
                      {"payments", "- {method: GET, path: /pay, class: charging}\n"}});
    Fleet_.put("classes/browsing", "target: {served: 0.9, within: 2000}\n");
    Fleet_.put("classes/charging", "target: {served: 0.99, within: 2000}\n");
    Fleet_.putTeam("hotels");
    REQUIRE(Fleet_.waitUntilInForce());
    Node_ = Fleet_.operatorAddress("pay-1").str();
  }

  ExitCode run(const std::vector<std::string> &Words) {
    std::istringstream In;
    std::ostringstream Out;
    std::ostringstream Err;
    ctl::CommandIo Io{In, Out, Err};
    const ExitCode Code = ctl::runCommand(Words, Io);
    Out_ = Out.str();
    return Code;
  }
  json runJson(const std::vector<std::string> &Words) {
    REQUIRE(run(Words) == ExitCode::Ok);
    return json::parse(Out_);
  }
  bool printed(const std::string &Text) const { return Out_.find(Text) != std::string::npos; }

  Fleet Fleet_;
  std::string Node_;
  std::string Out_;
};

} // namespace

// Guards against a status without the version, the state or the shares that operators act on.
TEST_CASE_METHOD(ToolFixture, "ctl_node_status_dump_and_top_show_the_node") {
  for (int Number = 0; Number < 4; ++Number)
    CHECK(Fleet_.call("pay-1", "GET", "/catalogue/x", "hotels").status() == 200);
  const json Status = runJson({"status", "--json", Node_}).at(0);
  CHECK(Status["host"] == "pay-1");
  CHECK(Status["state"] == "live");
  CHECK(Status["version"] == Fleet_.state("pay-1")["config"]["revision"]);
  CHECK(Status["served"] == 4);
  CHECK(Status["share_by_team"]["hotels"] == 1.0);
  CHECK(run({"status", Node_, Fleet_.operatorAddress("cat-1").str()}) == ExitCode::Ok);
  CHECK(printed("hotels:100%"));
  CHECK(printed("cat-1"));
  CHECK(runJson({"dump", "--json", Node_})["host"] == "pay-1");
  CHECK(run({"dump", Node_}) == ExitCode::Ok);
  CHECK(printed("/host pay-1\n"));
  CHECK(runJson({"top", "--json", "--count", "1", "--interval", "50", Node_})[0]["served"] == 4);
  CHECK(run({"top", "--count", "2", "--interval", "50", Node_}) == ExitCode::Ok);
  CHECK(printed("SERVED/S"));
}

// Guards against a refusal that operators cannot trace to its place and reason.
TEST_CASE_METHOD(ToolFixture, "ctl_node_explain_names_hosts_and_reason") {
  Fleet_.backend("cat-1").signal(SIGKILL);
  Fleet_.backend("cat-2").signal(SIGKILL);
  const HttpReply Reply = Fleet_.call("pay-1", "GET", "/catalogue/x?secret=1", "hotels");
  CHECK(Reply.refusal() == "no_backend_server");
  const std::string Id = Reply.header("Bronzestand-Request-Id");
  const json Record = runJson({"explain", "--json", Node_, Id}).at(0);
  CHECK(Record["team"] == "hotels");
  CHECK(Record["class"] == "browsing");
  CHECK(Record["refusal"] == "no_backend_server");
  CHECK(Record["path"] == "/catalogue/x");
  CHECK(Record["tries"].size() == 2);
  CHECK(Record["refused_at"] == Record["tries"][1]["host"]);
  CHECK(run({"explain", Node_, Id}) == ExitCode::Ok);
  CHECK(printed("host cat-1: not-run no_backend_server"));
  const HttpReply Unkeyed = Fleet_.call("pay-1", "GET", "/catalogue/x", "");
  const std::string UnkeyedId = Unkeyed.header("Bronzestand-Request-Id");
  CHECK(runJson({"explain", "--json", Node_, UnkeyedId}).at(0)["refused_at"] == "pay-1");
}

// Guards against exit codes that scripts cannot rely on.
TEST_CASE_METHOD(ToolFixture, "ctl_node_exit_codes_hold") {
  CHECK(run({"explain", Node_, "abc123"}) == ExitCode::Findings);
  CHECK(run({"explain", Node_, "../state"}) == ExitCode::Usage);
  CHECK(run({"dump", "nowhere"}) == ExitCode::Usage);
  CHECK(run({"top", "--count", "x", Node_}) == ExitCode::Usage);
  Fleet_.node("cat-1").signal(SIGKILL);
  const std::string Dead = Fleet_.operatorAddress("cat-1").str();
  CHECK(run({"dump", Dead}) == ExitCode::Unreadable);
  CHECK(run({"status", Node_, Dead}) == ExitCode::Unreadable);
  CHECK(printed("pay-1"));
  CHECK(run({"top", "--count", "1", "--interval", "50", Dead}) == ExitCode::Unreadable);
}

// Guards against a key or an unbounded label in metrics, and against counters that stand still.
TEST_CASE_METHOD(ToolFixture, "ctl_node_metrics_are_bounded_and_hold_no_key") {
  CHECK(Fleet_.call("pay-1", "GET", "/catalogue/x", "hotels").status() == 200);
  CHECK(Fleet_.call("pay-1", "GET", "/catalogue/x", "strangers").refusal() == "key_unknown");
  node::HttpRequest Request;
  Request.Method_ = "GET";
  Request.Target_ = "/metrics";
  const std::string Text = httpCall(Fleet_.operatorAddress("pay-1"), Request).Response_.Body_;
  const auto Has = [&Text](const std::string &Line) {
    return Text.find(Line) != std::string::npos;
  };
  CHECK(Has("bronzestand_requests_total{origin=\"caller\",class=\"browsing\",team=\"hotels\","
            "outcome=\"served\",refusal=\"\"} 1\n"));
  CHECK(Has("team=\"none\",outcome=\"not-run\",refusal=\"key_unknown\"} 1\n"));
  CHECK(Has("bronzestand_request_seconds_count{class=\"browsing\"} 2\n"));
  CHECK(Has("bronzestand_added_seconds_bucket{role=\"entry\",le=\"+Inf\"} 1\n"));
  CHECK_FALSE(Has("strangers"));
  CHECK_FALSE(Has("key-"));
  CHECK_FALSE(Has("/catalogue"));
  Fleet_.removeDocument("teams/hotels");
  CHECK(waitFor(
      [&] {
        const json Rows = Fleet_.state("pay-1")["metrics"]["requests"];
        return Rows.dump().find("hotels") == std::string::npos &&
               Rows.dump().find("\"other\"") != std::string::npos;
      },
      std::chrono::seconds(7)));
}
