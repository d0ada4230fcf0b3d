#include "bronzestand/types.h"

#include <catch2/catch.hpp>

using namespace bronzestand;

// Guards against ids that are not compared by value.
TEST_CASE("strong_string_equal_values_compare_equal") {
  CHECK(HostId("a") == HostId("a"));
  CHECK(HostId("a") < HostId("b"));
}
