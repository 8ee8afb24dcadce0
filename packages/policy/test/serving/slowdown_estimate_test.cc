#include "gypsumtrack/policy/serving/slowdown_estimate.h"

#include <catch2/catch.hpp>
#include <random>

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::Instant kStart(seconds(100));

// Load: endpoints that share their machine with others and report a figure that
// changes 20 times a second.
TEST_CASE("the estimate follows what lasts and not what jumps") {
  SlowdownEstimate estimate;
  CHECK(estimate.Expected(kStart) == 1);
  auto now = kStart;
  SECTION("a single jump hardly counts") {
    estimate.OnReport(4, now);
    CHECK(estimate.Expected(now) < 2);
  }
  SECTION("an endpoint that stays slow is known as such within a few reports") {
    for (int i = 0; i < 10; ++i) {
      now += milliseconds(100);
      estimate.OnReport(3, now);
    }
    CHECK(estimate.Expected(now) > 2);
    SECTION("until nothing is heard of it") {
      CHECK(estimate.Expected(now + seconds(5)) < 1.05);
    }
  }
  SECTION("jumps around the usual speed cancel out") {
    std::mt19937 random(1);
    std::uniform_real_distribution<double> jump(0.4, 1.6);
    for (int i = 0; i < 200; ++i) {
      now += milliseconds(50);
      estimate.OnReport(jump(random), now);
    }
    CHECK(estimate.Expected(now) == Approx(1).margin(0.35));
  }
  SECTION("an absurd figure is bounded") {
    for (int i = 0; i < 100; ++i) estimate.OnReport(1000, now);
    CHECK(estimate.Expected(now) <= 10);
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
