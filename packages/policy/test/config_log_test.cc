#include "gypsumtrack/policy/config_log.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::policy {
namespace {

Change MakeGrant(base::Revision revision, const char* hash) {
  return {revision, revision - 1,
          "op",     "amira",
          {},       KeyGrant{hash, base::Organisation("cairo"), hash}};
}

TEST_CASE("a log replica applies consecutive changes") {
  ConfigLog log;
  REQUIRE(log.Apply(MakeGrant(1, "a")).ok());
  REQUIRE(log.Apply(MakeGrant(2, "b")).ok());
  SECTION("a change after a gap is rejected and a known change is ignored") {
    CHECK(log.Apply(MakeGrant(4, "d")).error().Is(base::Errc::kConflict));
    CHECK(log.Apply(MakeGrant(1, "z")).ok());
    CHECK(log.head() == 2);
    CHECK(log.state().keys.count("z") == 0);
  }
  SECTION("a withdrawn key can't be granted again") {
    REQUIRE(log.Apply({3, 2, "op", "amira", {}, KeyWithdrawal{{"a"}}}).ok());
    REQUIRE(log.Apply(MakeGrant(4, "a")).ok());
    const auto access = MakeAccessSnapshot(log.state(), {});
    CHECK_FALSE(access.FindOrganisation("a"));
    CHECK(access.FindOrganisation("b"));
  }
  SECTION("a pending withdrawal applies before it is in the log") {
    const auto access = MakeAccessSnapshot(log.state(), {"b"});
    CHECK_FALSE(access.FindOrganisation("b"));
  }
  SECTION("a newer state is installed and an older one is ignored") {
    ConfigState older;
    older.revision = 1;
    CHECK_FALSE(log.InstallState(older));
    ConfigState newer;
    newer.revision = 7;
    CHECK(log.InstallState(newer));
    CHECK(log.head() == 7);
    CHECK_FALSE(log.ChangesAfter(2, 10));
    CHECK(log.ChangesAfter(7, 10)->empty());
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
