#include "gypsumtrack/policy/serving/second_tries.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kRoute("loans");

SecondTryOptions WithShare(double share) {
  SecondTryOptions options;
  options.max_share = share;
  return options;
}

/// Records responses that begin after about 40 ms.
void Serve(SecondTries& tries, int count) {
  std::mt19937 random(1);
  std::uniform_int_distribution<int> millis(36, 44);
  for (int i = 0; i < count; ++i) {
    tries.OnRequest(kRoute);
    tries.OnFirstEvent(kRoute, milliseconds(millis(random)));
  }
}

// Load: one endpoint is slow. Guards against callers who wait for it while the
// others would have answered long before.
TEST_CASE("a response that is later than usual gets a second try") {
  SecondTries tries(WithShare(0.02));
  SECTION("not before its usual time is known") {
    Serve(tries, 20);
    CHECK(tries.Take(kRoute, seconds(1)) == SecondTry::kUnknownTimes);
  }
  Serve(tries, 400);
  const auto late_after = tries.LateAfter(kRoute);
  REQUIRE(late_after);
  CHECK(*late_after >= milliseconds(40));
  CHECK(*late_after <= milliseconds(60));
  CHECK(tries.Take(kRoute, milliseconds(30)) == SecondTry::kNotLate);
  CHECK(tries.Take(kRoute, milliseconds(100)) == SecondTry::kGranted);
  SECTION("of routes that are known only") {
    CHECK(tries.Take("returns", seconds(1)) == SecondTry::kUnknownTimes);
  }
}

// Guards against extra work beyond the share that operators allow.
TEST_CASE("second tries stay within their share of the requests") {
  SecondTries tries(WithShare(0.02));
  Serve(tries, 100);
  int granted = 0;
  for (int i = 0; i < 5000; ++i) {
    tries.OnRequest(kRoute);
    tries.OnFirstEvent(kRoute, milliseconds(40));
    if (i % 10 == 0 &&
        tries.Take(kRoute, milliseconds(200)) == SecondTry::kGranted)
      ++granted;
  }
  CHECK(granted > 50);
  CHECK(granted <= 5100 * 0.02 + 3);
}

// Load: all endpoints are slow at once. Guards against more load on them.
TEST_CASE("while many responses are late nobody gets a second try") {
  SecondTries tries(WithShare(0.02));
  Serve(tries, 400);
  for (int i = 0; i < 12; ++i) tries.OnFirstEvent(kRoute, milliseconds(300));
  CHECK(tries.Take(kRoute, milliseconds(300)) == SecondTry::kManyLate);
  SECTION("until they are on time again") {
    Serve(tries, 60);
    CHECK(tries.Take(kRoute, milliseconds(300)) == SecondTry::kGranted);
  }
}

TEST_CASE("second tries are off unless operators allow a share") {
  SecondTries tries(WithShare(0));
  Serve(tries, 400);
  CHECK_FALSE(tries.LateAfter(kRoute));
  CHECK(tries.Take(kRoute, seconds(1)) == SecondTry::kOff);
}

}  // namespace
}  // namespace gypsumtrack::policy
