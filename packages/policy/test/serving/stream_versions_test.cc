#include "gypsumtrack/policy/serving/stream_versions.h"

#include <catch2/catch.hpp>
#include <string>

namespace gypsumtrack::policy {
namespace {

using std::chrono::seconds;

const base::Service kService("clocks");
constexpr base::Duration kLifetime = seconds(10);
constexpr base::Instant kStart(seconds(100));

const VersionCounts kOld{{"v1", {3, 3}}};
const VersionCounts kMixed{{"v1", {3, 1}}, {"v2", {2, 2}}};
const VersionCounts kNew{{"v2", {3, 3}}};

using Change = std::optional<DefaultVersionChange>;

// Streams without a record belong to the default version, so a default that
// changes too early joins streams of two versions.
TEST_CASE("a service has a default software version") {
  DefaultVersions versions;
  const auto observe = [&](const VersionCounts& counts, base::Instant now) {
    versions.Observe(kService, counts, kLifetime, now);
  };
  SECTION("at first the one with most endpoints") {
    CHECK_FALSE(versions.DueChange(kService, kStart));
    observe({}, kStart);
    CHECK_FALSE(versions.DueChange(kService, kStart));
    observe(kMixed, kStart);
    CHECK(versions.DueChange(kService, kStart) ==
          Change(DefaultVersionChange{"v2", 0}));
    CHECK_FALSE(versions.Find(kService));
  }
  SECTION("which stays as long as one of its streams can be continued") {
    versions.ApplyRow(kService, "v1", 7);
    CHECK(versions.Find(kService) == "v1");
    observe(kOld, kStart);
    observe(kMixed, kStart + seconds(20));
    observe(kMixed, kStart + seconds(60));
    CHECK_FALSE(versions.DueChange(kService, kStart + seconds(60)));
    observe(kNew, kStart + seconds(69));
    CHECK_FALSE(versions.DueChange(kService, kStart + seconds(69)));
    observe(kNew, kStart + seconds(70));
    CHECK(versions.DueChange(kService, kStart + seconds(70)) ==
          Change(DefaultVersionChange{"v2", 7}));
    versions.ApplyRow(kService, "v2", 8);
    CHECK_FALSE(versions.DueChange(kService, kStart + seconds(70)));
  }
  SECTION("a daemon that has just started can't tell that") {
    versions.ApplyRow(kService, "v1", 7);
    observe(kNew, kStart);
    CHECK_FALSE(versions.DueChange(kService, kStart + seconds(9)));
    observe(kNew, kStart + seconds(10));
    CHECK(versions.DueChange(kService, kStart + seconds(10)) ==
          Change(DefaultVersionChange{"v2", 7}));
  }
  // Guards against a default that changes while streams of the old one go on,
  // which endpoints began while this daemon stood still or couldn't read them.
  SECTION("a daemon that didn't read the endpoints for a while can't either") {
    versions.ApplyRow(kService, "v1", 7);
    const auto read_at = [&](base::Instant at, base::Instant now) {
      versions.OnEndpointsRead(at, kLifetime, now);
    };
    read_at(kStart, kStart);
    observe(kOld, kStart);
    read_at(kStart + seconds(3), kStart + seconds(4));
    observe(kMixed, kStart + seconds(4));
    const auto woken = kStart + seconds(24);
    SECTION("until all streams of that time have ended") {
      read_at(kStart + seconds(23), woken);
      observe(kNew, woken);
      CHECK_FALSE(versions.DueChange(kService, woken));
      observe(kNew, woken + seconds(9));
      CHECK_FALSE(versions.DueChange(kService, woken + seconds(9)));
      CHECK_FALSE(versions.SoleVersion(kService, woken + seconds(9)));
      observe(kNew, woken + seconds(10));
      CHECK(versions.DueChange(kService, woken + seconds(10)) ==
            Change(DefaultVersionChange{"v2", 7}));
      CHECK(versions.SoleVersion(kService, woken + seconds(10)) == "v2");
    }
    SECTION("one that read them all the while can") {
      for (int second = 5; second <= 14; ++second) {
        const auto now = kStart + seconds(second);
        read_at(now - seconds(1), now);
        observe(kNew, now);
      }
      CHECK(versions.DueChange(kService, kStart + seconds(14)) ==
            Change(DefaultVersionChange{"v2", 7}));
    }
  }
  SECTION("rows may be removed or read anew") {
    versions.ApplyRow(kService, "v1", 7);
    versions.ApplyRemoval(kService);
    CHECK_FALSE(versions.Find(kService));
    versions.ApplyRow(kService, "v1", 8);
    versions.ForgetRows();
    CHECK_FALSE(versions.Find(kService));
  }
}

TEST_CASE("a list of endpoints is current for a while") {
  CHECK(IsCurrentEndpointList(kStart, kStart));
  CHECK(IsCurrentEndpointList(kStart, kStart + kMaxEndpointListAge));
  CHECK_FALSE(IsCurrentEndpointList(
      kStart, kStart + kMaxEndpointListAge + std::chrono::milliseconds(1)));
  CHECK_FALSE(IsCurrentEndpointList({}, kStart));
}

TEST_CASE("a daemon knows when all streams are of one software version") {
  DefaultVersions versions;
  const auto observe = [&](const VersionCounts& counts, base::Instant now) {
    versions.Observe(kService, counts, kLifetime, now);
  };
  CHECK_FALSE(versions.SoleVersion(kService, kStart));
  observe(kOld, kStart);
  SECTION("not right after its start") {
    observe(kOld, kStart + seconds(9));
    CHECK_FALSE(versions.SoleVersion(kService, kStart + seconds(9)));
  }
  SECTION("but later") {
    observe(kOld, kStart + seconds(10));
    CHECK(versions.SoleVersion(kService, kStart + seconds(10)) == "v1");
  }
  SECTION("not until the streams of another version have ended") {
    observe(kMixed, kStart + seconds(20));
    CHECK_FALSE(versions.SoleVersion(kService, kStart + seconds(20)));
    observe(kNew, kStart + seconds(29));
    CHECK_FALSE(versions.SoleVersion(kService, kStart + seconds(29)));
    observe(kNew, kStart + seconds(30));
    CHECK(versions.SoleVersion(kService, kStart + seconds(30)) == "v2");
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
