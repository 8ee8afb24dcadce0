#include "gypsumtrack/policy/serving/batch_urgency.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::Instant kStart(seconds(100));

TEST_CASE("items wait for online load to drop while they have time") {
  const base::Duration remaining = seconds(5);
  SECTION("an item just submitted is relaxed") {
    CHECK(ClassifyUrgency(kStart + seconds(18), remaining, kStart) ==
          Urgency::kRelaxed);
  }
  SECTION("an item that is in time only if it runs now is urgent") {
    CHECK(ClassifyUrgency(kStart + seconds(7), remaining, kStart) ==
          Urgency::kUrgent);
    CHECK(ClassifyUrgency(kStart + seconds(5), remaining, kStart) ==
          Urgency::kUrgent);
  }
  SECTION("an item that can't be in time uses only spare capacity") {
    CHECK(ClassifyUrgency(kStart + seconds(4), remaining, kStart) ==
          Urgency::kLate);
    CHECK(SlotsToKeepFree(Urgency::kLate) > SlotsToKeepFree(Urgency::kRelaxed));
  }
  SECTION("an item that is nearly complete is in time close to its due time") {
    CHECK(ClassifyUrgency(kStart + seconds(1), milliseconds(500), kStart) ==
          Urgency::kUrgent);
  }
  SECTION("an urgent item may take the last free slot") {
    CHECK(SlotsToKeepFree(Urgency::kUrgent) == 0);
  }
}

TEST_CASE("items yield their slots to a peak of online requests") {
  const std::vector<YieldCandidate> candidates = {
      {Urgency::kUrgent, kStart + seconds(1), 0},
      {Urgency::kRelaxed, kStart + seconds(9), 1},
      {Urgency::kRelaxed, kStart + seconds(17), 2},
      {Urgency::kLate, kStart - seconds(3), 3},
  };
  SECTION("late items first, then those with the latest due time") {
    CHECK(SelectItemsToYield(candidates, 1) == std::vector<std::size_t>{3});
    CHECK(SelectItemsToYield(candidates, 2) == std::vector<std::size_t>{3, 2});
  }
  SECTION("urgent items never yield") {
    CHECK(SelectItemsToYield(candidates, 10) ==
          std::vector<std::size_t>{3, 2, 1});
  }
}

TEST_CASE("the duration of an item is estimated from earlier items") {
  ItemDurationEstimator estimator;
  for (int i = 0; i < 100; ++i) {
    estimator.OnItemComplete(200);
    estimator.OnRunEnd(200, seconds(8));
  }
  CHECK(estimator.EstimateRemaining(0) > seconds(7));
  CHECK(estimator.EstimateRemaining(0) < seconds(9));
  CHECK(estimator.EstimateRemaining(100) < seconds(5));
  SECTION("an item with more events than the average has time remaining") {
    CHECK(estimator.EstimateRemaining(500) > milliseconds(100));
  }
}

// Guards against an item whose output is thrown away for nothing, and against
// one that waits for good for endpoints that stay full.
TEST_CASE("an item whose version is full restarts only if that helps") {
  OutputWait wait;
  wait.remaining = seconds(1);
  wait.whole_run = seconds(2);
  wait.kept_until = kStart;
  SECTION("one that isn't due waits") {
    CHECK_FALSE(ShouldRestart(wait, kStart));
  }
  SECTION("a relaxed one waits") {
    wait.due = kStart + seconds(10);
    CHECK_FALSE(ShouldRestart(wait, kStart));
  }
  SECTION("an urgent one restarts while a whole run can be in time") {
    wait.due = kStart + seconds(3);
    CHECK(ShouldRestart(wait, kStart));
  }
  SECTION("an urgent one waits if only its output can be in time") {
    wait.due = kStart + milliseconds(1300);
    CHECK_FALSE(ShouldRestart(wait, kStart));
  }
  SECTION("a late one waits for a moment, then restarts") {
    wait.due = kStart;
    wait.kept_until = kStart + milliseconds(1);
    CHECK_FALSE(ShouldRestart(wait, kStart));
    CHECK(ShouldRestart(wait, wait.kept_until));
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
