#include "bronzestand/config.h"

#include <catch2/catch.hpp>

using namespace bronzestand;

namespace {

DocumentBody parsed(const std::string &Path, const std::string &Text) {
  ParsedDocument Result = parseDocument(Path, Text);
  for (const ErrorDetail &Error : Result.Errors_)
    UNSCOPED_INFO(describe(Error));
  REQUIRE(Result.Body_.has_value());
  return *Result.Body_;
}

struct CatalogueFixture {
  CatalogueFixture() {
    put("classes/browsing", "{target: {served: 0.9, within: 800}}");
    put("classes/confirming", "{target: {served: 0.99, within: 900}, may_be_shed: false}");
    put("services/orders", "routes:\n"
                           "- {method: GET, path: /orders/*, class: browsing}\n"
                           "- {method: GET, path: /orders/open, class: confirming}\n");
  }
  void put(const std::string &Path, const std::string &Text) { Documents_.put(parsed(Path, Text)); }
  Catalogue Documents_;
};

} // namespace

// Guards against validation that stops at the first error.
TEST_CASE("document_with_three_errors_reports_all") {
  const ParsedDocument Result =
      parseDocument("teams/wards", "{rate: -1, burst: x, keys: [{id: a, hash: zz}], weight: 3}");
  CHECK_FALSE(Result.Body_.has_value());
  CHECK(Result.Errors_.size() == 4);
}

// Guards against a crash on malformed text.
TEST_CASE("document_with_bad_syntax_is_refused") {
  CHECK_FALSE(parseDocument("teams/wards", "{rate: [").Body_.has_value());
  CHECK_FALSE(parseDocument("teams/wards", "- 1").Body_.has_value());
  CHECK_FALSE(parseDocument("nothing/here", "{}").Body_.has_value());
}

TEST_CASE_METHOD(CatalogueFixture, "route_exact_path_goes_before_prefix") {
  const RouteSpec *Exact = Documents_.matchRoute("GET", "/orders/open");
  const RouteSpec *Prefix = Documents_.matchRoute("GET", "/orders/7");
  REQUIRE(Exact != nullptr);
  REQUIRE(Prefix != nullptr);
  CHECK(Exact->Class_ == ClassId("confirming"));
  CHECK(Prefix->Class_ == ClassId("browsing"));
  CHECK(Documents_.matchRoute("POST", "/orders/7") == nullptr);
}

// Guards against a class that may not be shed but ranks below one that may.
TEST_CASE_METHOD(CatalogueFixture, "rank_class_that_may_not_be_shed_is_highest") {
  put("classes/urgent", "{target: {served: 1.0, within: 1}, may_wait: false}");
  CHECK(Documents_.rankOf(ClassId("confirming")) > Documents_.rankOf(ClassId("urgent")));
  CHECK(Documents_.rankOf(ClassId("urgent")) > Documents_.rankOf(ClassId("browsing")));
  CHECK(Documents_.rankOf(ClassId("none")) == 0);
}

// Guards against indexes that keep pointers into replaced documents, and against the loss of an
// entry that another document with the same key takes precedence over.
TEST_CASE_METHOD(CatalogueFixture, "catalogue_replaced_documents_leave_no_entries") {
  put("services/stock", "routes:\n- {method: GET, path: /orders/*, class: confirming}\n");
  put("hosts/a/stock", "hosts: [{id: h1, address: 10.0.0.1, port: 1}]");
  put("hosts/b/stock", "hosts: [{id: h1, address: 10.0.0.2, port: 2}]");
  CHECK(Documents_.matchRoute("GET", "/orders/7")->Service_ == ServiceId("orders"));
  CHECK(Documents_.findHost(HostId("h1"))->Port_ == 1);
  put("services/orders", "routes:\n- {method: GET, path: /other/*, class: browsing}\n");
  CHECK(Documents_.matchRoute("GET", "/orders/7")->Service_ == ServiceId("stock"));
  CHECK(Documents_.matchRoute("GET", "/orders/open")->Service_ == ServiceId("stock"));
  put("hosts/a/stock", "hosts: []");
  CHECK(Documents_.findHost(HostId("h1"))->Port_ == 2);
  Documents_.erase("hosts/b/stock");
  Documents_.erase("services/stock");
  CHECK(Documents_.findHost(HostId("h1")) == nullptr);
  CHECK(Documents_.matchRoute("GET", "/orders/7") == nullptr);
}
