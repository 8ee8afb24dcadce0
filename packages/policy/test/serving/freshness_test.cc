#include "gypsumtrack/policy/serving/freshness.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("cached rules are used within the freshness limits") {
  const FreshnessLimits limits;
  const base::Instant read_at(seconds(100));
  SECTION("a key that was valid when the rules were read may be used") {
    CHECK(MayUseKeys(limits, read_at, read_at + seconds(4)));
  }
  SECTION("a key withdrawn right after the read is refused in time") {
    const auto withdrawn_at = read_at + milliseconds(1);
    const auto bound = withdrawn_at + limits.withdrawal_bound;
    CHECK_FALSE(MayUseKeys(limits, read_at, bound - kDispatchMargin));
  }
  SECTION("unknown keys and routes are rejected only within the change bound") {
    CHECK(MayRejectUnknown(limits, read_at, read_at + seconds(2)));
    CHECK_FALSE(
        MayRejectUnknown(limits, read_at, read_at + limits.change_bound));
  }
  SECTION("nothing is accepted or rejected before the first read") {
    const base::Instant never{};
    CHECK_FALSE(MayUseKeys(limits, never, read_at));
    CHECK_FALSE(MayRejectUnknown(limits, never, read_at));
  }
}

TEST_CASE("a daemon that can't see the end of a job stops sending its items") {
  const base::Duration bound = seconds(3);
  const base::Instant read_at(seconds(100));
  CHECK(MayStartItems(bound, read_at, read_at + seconds(2)));
  // Right after this read another daemon ended the job, and the store rejected
  // all later reads of this daemon.
  const auto ended_at = read_at + milliseconds(1);
  CHECK_FALSE(
      MayStartItems(bound, read_at, ended_at + bound - kItemDispatchMargin));
}

}  // namespace
}  // namespace gypsumtrack::policy
