#include "gypsumtrack/base/outcome.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::base {
namespace {

Outcome<int> Half(int number) {
  if (number % 2 != 0) return Error(Errc::kInvalid, "odd");
  return number / 2;
}

TEST_CASE("an outcome holds a value or an error") {
  SECTION("a value") {
    const auto half = Half(8);
    REQUIRE(half.ok());
    CHECK(*half == 4);
  }
  SECTION("an error keeps its code and message") {
    const auto half = Half(7);
    REQUIRE_FALSE(half.ok());
    CHECK(half.error().Is(Errc::kInvalid));
    CHECK(half.error().code.message() == "invalid");
    CHECK(half.error().message == "odd");
  }
}

}  // namespace
}  // namespace gypsumtrack::base
