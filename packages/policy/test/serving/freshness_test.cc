#include "gypsumtrack/policy/serving/freshness.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a belief may be used for as long as a withdrawal has time") {
  const FreshnessLimits limits;
  const base::Instant read_at(seconds(100));
  SECTION("a key in force when the rules were read may be used") {
    CHECK(MayUseKeys(limits, read_at, read_at + seconds(4)));
  }
  SECTION("a key withdrawn right after the read is refused in time") {
    const auto withdrawn_at = read_at + milliseconds(1);
    const auto bound = withdrawn_at + limits.withdrawal_bound;
    CHECK_FALSE(MayUseKeys(limits, read_at, bound - kDispatchMargin));
  }
  SECTION("a denial needs a belief that a change would have reached") {
    CHECK(MayRejectUnknown(limits, read_at, read_at + seconds(2)));
    CHECK_FALSE(
        MayRejectUnknown(limits, read_at, read_at + limits.change_bound));
  }
  SECTION("before anything was read nothing is certain") {
    const base::Instant never{};
    CHECK_FALSE(MayUseKeys(limits, never, read_at));
    CHECK_FALSE(MayRejectUnknown(limits, never, read_at));
  }
}

TEST_CASE("a daemon that can't hear of a job's end starts no items of it") {
  const base::Duration bound = seconds(3);
  const base::Instant read_at(seconds(100));
  CHECK(MayStartItems(bound, read_at, read_at + seconds(2)));
  // The store turned the daemon away right after the read, and acknowledged the
  // end to another one.
  const auto ended_at = read_at + milliseconds(1);
  CHECK_FALSE(
      MayStartItems(bound, read_at, ended_at + bound - kItemDispatchMargin));
}

}  // namespace
}  // namespace gypsumtrack::policy
