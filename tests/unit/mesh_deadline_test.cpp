#include "mesh_backend_fixture.h"

using namespace bronzestand;

// Guards against a time limit that exceeds what a time can hold, so that the request ends at once
// or the behaviour of the process is undefined.
TEST_CASE_METHOD(MeshBackendFixture, "mesh_deadline_of_any_length_is_served") {
  for (const char *Deadline : {"9223372036854775807", "9223372036854776", "9223372036854775",
                               "9000000000000000", "100000000000", "18446744073709551616"}) {
    INFO(Deadline);
    node::HttpClient Client(Io_, {hostOf(0), CallerPort_}, 1);
    node::HttpRequest Request;
    Request.Method_ = "GET";
    Request.Target_ = "/open/1";
    Request.Headers_ = {{"Host", "a.example"}, {"Request-Id", "q1"}, {"Deadline-Ms", Deadline}};
    unsigned Status = 0;
    bool Ended = false;
    Client.send(std::move(Request), std::chrono::seconds(3),
                [&](node::HttpResult, const node::HttpResponse &Response) {
                  Ended = true;
                  Status = Response.Status_;
                });
    CHECK(runUntil([&] { return Ended; }));
    CHECK(Status == 200);
  }
}
