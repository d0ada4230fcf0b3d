#include "ctl/command.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace bronzestand::ctl;
namespace fs = std::filesystem;

namespace {

struct CtlFixture {
  CtlFixture() : Directory_(fs::temp_directory_path() / ("ctl_test." + std::to_string(getpid()))) {
    fs::create_directories(Directory_ / "set/classes");
  }
  ~CtlFixture() { fs::remove_all(Directory_); }
  CtlFixture(const CtlFixture &) = delete;
  CtlFixture &operator=(const CtlFixture &) = delete;

  std::string write(const std::string &Name, const std::string &Text) const {
    std::ofstream(Directory_ / Name) << Text;
    return (Directory_ / Name).string();
  }
  ExitCode run(const std::vector<std::string> &Words, const std::string &Input = "") {
    std::istringstream In(Input);
    std::ostringstream Out;
    std::ostringstream Err;
    CommandIo Io{In, Out, Err};
    const ExitCode Code = runCommand(Words, Io);
    Out_ = Out.str();
    Err_ = Err.str();
    return Code;
  }
  bool printed(const std::string &Text) const { return Out_.find(Text) != std::string::npos; }

  fs::path Directory_;
  std::string Out_;
  std::string Err_;
};

const std::string Base = "fleet: {key_salt: s, regions: {west: [colombo]}}\n"
                         "classes/browsing: {target: {served: 0.9, within: 800}}\n"
                         "classes/history: {target: {served: 0.8, within: 800}}\n";

std::string team(const std::string &Name, const std::string &Rate, const std::string &Key) {
  return "teams/" + Name + ": {rate: " + Rate +
         ", burst: 9, keys: [{id: k1, hash: " + std::string(64, 'a') + Key + "}]}\n";
}

} // namespace

// Guards against examples that do not match the documents' check, and against example keys that
// do not work.
TEST_CASE_METHOD(CtlFixture, "check_examples_have_no_errors") {
  for (const char *Name : {"wijesinghe", "imbaraga"}) {
    const std::string File = std::string(BRONZESTAND_EXAMPLES) + "/" + Name + ".yaml";
    CHECK(run({"check", File}) == ExitCode::Ok);
    INFO(Out_);
    CHECK(printed(" 0 errors"));
  }
  std::ifstream Example(std::string(BRONZESTAND_EXAMPLES) + "/imbaraga.yaml");
  std::stringstream Text;
  Text << Example.rdbuf();
  CHECK(run({"hash-key", "--salt", "imbaraga-demo"}, "demo-key-wards\n") == ExitCode::Ok);
  CHECK(Text.str().find(Out_) != std::string::npos);
}

// Guards against a check that stops early or does not say where the error is.
TEST_CASE_METHOD(CtlFixture, "check_directory_with_errors_reports_all_with_place") {
  write("set/fleet.yaml", "{key_salt: s, regions: {west: [colombo]}}");
  write("set/classes/bad.yaml", "{target: {served: 7, within: 0}}");
  write("set/other.yaml", "{}");
  write("set/notes.txt", "ignored");
  const std::string Set = (Directory_ / "set").string();
  CHECK(run({"check", Set}) == ExitCode::Findings);
  CHECK(printed("classes/bad.yaml: target.served"));
  CHECK(printed("classes/bad.yaml: target.within"));
  CHECK(printed("other.yaml: is not a document path (unknown_path)"));
  CHECK(printed("3 documents, 3 errors"));
  CHECK(run({"check", "--json", Set}) == ExitCode::Findings);
  const auto Result = nlohmann::json::parse(Out_);
  CHECK(Result["documents"] == 3);
  CHECK(Result["errors"][0]["code"] == "out_of_range");
}

// Guards against errors that show only between documents.
TEST_CASE_METHOD(CtlFixture, "check_map_finds_missing_class_and_shared_key") {
  const std::string File = write(
      "map.yaml", Base + team("labs", "1", "") + team("wards", "1", "") +
                      "services/stock: {routes: [{method: GET, path: /stock/*, class: none}]}\n");
  CHECK(run({"check", File}) == ExitCode::Findings);
  CHECK(printed("services/stock: routes[0].class: classes/none does not exist"));
  CHECK(printed("teams/wards: the hash of key k1: is also in teams/labs"));
  CHECK(printed("6 documents, 2 errors"));
}

// Guards against exit codes that scripts cannot rely on.
TEST_CASE_METHOD(CtlFixture, "command_exit_codes_follow_the_documentation") {
  const std::string Bad = write("bad.yaml", "fleet: [");
  const std::string Good = write("good.yaml", Base);
  CHECK(run({"check", Good}) == ExitCode::Ok);
  CHECK(run({"check", Bad}) == ExitCode::Findings);
  CHECK(run({"check", Good, Good}) == ExitCode::Findings);
  CHECK(run({"check", (Directory_ / "absent").string()}) == ExitCode::Unreadable);
  CHECK(run({"diff", Good, Bad}) == ExitCode::Unreadable);
  CHECK(run({"diff", Good, Good}) == ExitCode::Ok);
  CHECK(run({"diff", Good}) == ExitCode::Usage);
  CHECK(run({"check"}) == ExitCode::Usage);
  CHECK(run({"unknown"}) == ExitCode::Usage);
  CHECK(run({}) == ExitCode::Usage);
  CHECK(run({"hash-key", "--salt", "s"}, "\n") == ExitCode::Usage);
  CHECK(run({"--help"}) == ExitCode::Ok);
  CHECK(run({"diff", "--help"}) == ExitCode::Ok);
  CHECK(printed("Exit codes:"));
}

// Guards against a change that an operator does not see.
TEST_CASE_METHOD(CtlFixture, "diff_names_class_team_key_and_route_changes") {
  const std::string Old =
      write("old.yaml", Base + team("wards", "5", "") + team("labs", "1", "") +
                            "services/stock: {routes: [{method: GET, path: /a, class: history}]}");
  const std::string New =
      write("new.yaml", Base + "classes/confirming: {target: {served: 1, within: 9}}\n" +
                            team("wards", "8", ", withdrawn: true") +
                            "services/stock: {routes: [{method: GET, path: /a, class: browsing}]}");
  CHECK(run({"diff", Old, New}) == ExitCode::Findings);
  INFO(Out_);
  CHECK(printed("class confirming: added: target share served 1"));
  CHECK(printed("team wards: rate in requests/s: 5 -> 8\n"));
  CHECK(printed("team labs: removed\n"));
  CHECK(printed("key k1 of team wards: withdrawn: no -> yes\n"));
  CHECK(printed("route GET /a: class: history -> browsing\n"));
  CHECK_FALSE(printed("order of importance"));
  const std::string Swapped =
      write("swapped.yaml", "fleet: {key_salt: s, regions: {west: [colombo]}}\n"
                            "classes/browsing: {target: {served: 0.7, within: 800}}\n"
                            "classes/history: {target: {served: 0.8, within: 800}}\n");
  CHECK(run({"diff", "--json", write("base.yaml", Base), Swapped}) == ExitCode::Findings);
  const auto Result = nlohmann::json::parse(Out_);
  REQUIRE(Result["changes"].size() == 2);
  CHECK(Result["changes"][1]["change"] == "browsing > history -> history > browsing");
}

// Guards against an engineer on call who can't find what became of a request: its lines lie in the
// logs of several nodes, between other text, and in no order.
TEST_CASE_METHOD(CtlFixture, "explain_logs_of_two_nodes_shows_the_request_by_time") {
  const std::string Entry =
      write("entry.log", "starting\n"
                         "entry-1 {\"time_us\":300,\"host\":\"10.0.0.1\",\"part\":\"entry\","
                         "\"event\":\"answered\",\"request\":\"ab12\",\"status\":502}\n"
                         "{\"time_us\":250,\"host\":\"10.0.0.1\",\"part\":\"entry\",\"event\":"
                         "\"refused\",\"request\":\"ab13\",\"lines_dropped_before\":7}\n");
  const std::string Server =
      write("server.log",
            "{\"time_us\":200,\"host\":\"10.0.0.2\",\"part\":\"backend_gate\",\"event\":"
            "\"call_failed\",\"request\":\"ab12\",\"reached_server\":true}\n{broken ab12\n");
  CHECK(run({"explain", "--logs", "ab12", Entry, Server}) == ExitCode::Ok);
  CHECK(Out_ == "200 host 10.0.0.2 backend_gate call_failed: reached_server true\n"
                "300 host 10.0.0.1 entry answered: status 502\n");
  CHECK(run({"explain", "--json", "--logs", "ab12", Server, Entry}) == ExitCode::Ok);
  CHECK(nlohmann::json::parse(Out_).size() == 2);
  CHECK(run({"explain", "--logs", "ffff", Entry, Server}) == ExitCode::Findings);
  CHECK(Err_.find("left out 7 lines") != std::string::npos);
  CHECK(run({"explain", "--logs", "ab12", Entry + ".missing"}) == ExitCode::Unreadable);
}
