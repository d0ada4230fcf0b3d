#include "bronzestand/backend_directory.h"

#include <catch2/catch.hpp>

using namespace bronzestand;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct DirectoryFixture {
  BackendDirectory Directory_;
  TimePoint Now_{seconds(100)};

  static BackendServer makeServer(const std::string &Id, const std::string &Host,
                                  std::uint64_t StartedMs = 1) {
    BackendServer Server;
    Server.Id_ = Id;
    Server.Host_ = HostId(Host);
    Server.Port_ = 80;
    Server.Service_ = ServiceId("orders");
    Server.StartedMs_ = StartedMs;
    return Server;
  }
};

} // namespace

// Guards against calls to a server that left while the list was reliable.
TEST_CASE_METHOD(DirectoryFixture,
                 "directory_entry_removed_from_reliable_list_is_removed_at_once") {
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  CHECK(Directory_.remove(Now_, "i-1", true));
  CHECK(Directory_.find("i-1") == nullptr);
}

// Guards against losing all servers when the platform's list loses its entries.
TEST_CASE_METHOD(DirectoryFixture,
                 "directory_entry_missing_from_unreliable_list_is_kept_until_it_recovers") {
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  Directory_.put(makeServer("i-2", "10.0.0.2"));
  CHECK_FALSE(Directory_.replace(Now_, {}, false));
  CHECK(Directory_.find("i-1") != nullptr);
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  CHECK_FALSE(Directory_.expire(Now_ + seconds(2)));
  CHECK(Directory_.expire(Now_ + seconds(3)));
  CHECK(Directory_.find("i-1") != nullptr);
  CHECK(Directory_.find("i-2") == nullptr);
}

// Guards against calls to a leaving server whose entry is lost together with the list.
TEST_CASE_METHOD(DirectoryFixture,
                 "directory_leaving_entry_missing_from_unreliable_list_is_removed") {
  BackendServer Server = makeServer("i-1", "10.0.0.1");
  Server.Leaving_ = true;
  Directory_.put(Server);
  CHECK(Directory_.remove(Now_, "i-1", false));
}

// Guards against a delayed entry of an earlier run that replaces the current one.
TEST_CASE_METHOD(DirectoryFixture, "directory_entry_of_earlier_run_is_ignored") {
  Directory_.put(makeServer("i-1", "10.0.0.1", 2));
  BackendServer Old = makeServer("i-1", "10.0.0.1", 1);
  Old.Leaving_ = true;
  CHECK_FALSE(Directory_.put(Old));
  CHECK_FALSE(Directory_.find("i-1")->Leaving_);
}

// Guards against calls to a stopped server whose address another server now uses.
TEST_CASE_METHOD(DirectoryFixture, "directory_reused_address_belongs_to_the_later_server") {
  Directory_.put(makeServer("i-1", "10.0.0.1", 1));
  Directory_.put(makeServer("i-2", "10.0.0.1", 2));
  CHECK(Directory_.findByHost(HostId("10.0.0.1"))->Id_ == "i-2");
}
