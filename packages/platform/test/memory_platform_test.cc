#include "gypsumtrack/platform/memory_platform.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::platform {
namespace {

TEST_CASE("MemoryPlatform: concurrent commits to a row") {
  MemoryPlatform platform;
  const base::TableCommit first{"op-1", {{"a", 0}}, {{"a", "one"}}};
  REQUIRE(platform.Commit(first).ok());
  SECTION("the second commit fails its condition") {
    const auto late = platform.Commit({"op-2", {{"a", 0}}, {{"a", "two"}}});
    CHECK(late.error().Is(base::Errc::kConflict));
    CHECK(platform.Scan({.prefix = "a"}).rows.front().value == "one");
  }
  SECTION(
      "the first commit, repeated, returns its result and changes nothing") {
    REQUIRE(platform.Commit({"op-3", {{"a", 1}}, {{"a", "two"}}}).ok());
    CHECK(platform.Commit(first).ok());
    CHECK(platform.Scan({.prefix = "a"}).rows.front() ==
          base::Row{"a", 2, "two"});
  }
}

TEST_CASE("MemoryPlatform: a scan continues after the last row of a page") {
  MemoryPlatform platform;
  for (const auto* key : {"x/1", "x/2", "x/3", "y/1"}) {
    REQUIRE(platform.Commit({key, {}, {{key, "value"}}}).ok());
  }
  const auto first = platform.Scan({.prefix = "x/", .limit = 2});
  CHECK(first.rows.size() == 2);
  CHECK(first.more);
  const auto rest = platform.Scan({.prefix = "x/", .after = "x/2"});
  REQUIRE(rest.rows.size() == 1);
  CHECK(rest.rows.front().key == "x/3");
  CHECK_FALSE(rest.more);
}

}  // namespace
}  // namespace gypsumtrack::platform
