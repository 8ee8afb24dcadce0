#include "gypsumtrack/policy/serving/batch_urgency.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::Instant kStart(seconds(100));

TEST_CASE("load in steps: items wait for valleys while they have time") {
  const base::Duration run = seconds(5);
  SECTION("an item just submitted gives way") {
    CHECK(ClassifyUrgency(kStart + seconds(18), run, kStart) ==
          Urgency::kRelaxed);
  }
  SECTION("one that has just time to run keeps its place") {
    CHECK(ClassifyUrgency(kStart + seconds(7), run, kStart) ==
          Urgency::kUrgent);
    CHECK(ClassifyUrgency(kStart + seconds(5), run, kStart) ==
          Urgency::kUrgent);
  }
  SECTION("one that can't be in time takes only what is left over") {
    CHECK(ClassifyUrgency(kStart + seconds(4), run, kStart) == Urgency::kLate);
    CHECK(SlotsToKeepFree(Urgency::kLate) > SlotsToKeepFree(Urgency::kRelaxed));
  }
  SECTION("one that is nearly done is in time though its due time is near") {
    CHECK(ClassifyUrgency(kStart + seconds(1), milliseconds(500), kStart) ==
          Urgency::kUrgent);
  }
  SECTION("an urgent one may take the last place") {
    CHECK(SlotsToKeepFree(Urgency::kUrgent) == 0);
  }
}

TEST_CASE("a top of online requests over items: who gives way") {
  const std::vector<YieldCandidate> work = {
      {Urgency::kUrgent, kStart + seconds(1), 0},
      {Urgency::kRelaxed, kStart + seconds(9), 1},
      {Urgency::kRelaxed, kStart + seconds(17), 2},
      {Urgency::kLate, kStart - seconds(3), 3},
  };
  SECTION("late ones first, then those due last") {
    CHECK(SelectItemsToYield(work, 1) == std::vector<std::size_t>{3});
    CHECK(SelectItemsToYield(work, 2) == std::vector<std::size_t>{3, 2});
  }
  SECTION("urgent ones never") {
    CHECK(SelectItemsToYield(work, 10) == std::vector<std::size_t>{3, 2, 1});
  }
}

TEST_CASE("how long an item runs is learnt from those before") {
  ItemDurationEstimator durations;
  for (int i = 0; i < 100; ++i) {
    durations.OnItemComplete(200);
    durations.OnRunEnd(200, seconds(8));
  }
  CHECK(durations.EstimateRemaining(0) > seconds(7));
  CHECK(durations.EstimateRemaining(0) < seconds(9));
  CHECK(durations.EstimateRemaining(100) < seconds(5));
  SECTION("one with more events than usual isn't over at once") {
    CHECK(durations.EstimateRemaining(500) > milliseconds(100));
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
