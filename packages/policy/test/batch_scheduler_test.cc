#include "gypsumtrack/policy/batch_scheduler.h"

#include <catch2/catch.hpp>
#include <map>

namespace gypsumtrack::policy {
namespace {

BatchJob MakeJob(const std::string& organisation, const std::string& uid,
                 std::uint32_t share, std::uint64_t items, int due_hours) {
  BatchJob job;
  job.organisation.text = organisation;
  job.uid = uid;
  job.share = share;
  job.items = items;
  job.due_at = base::WallTime(std::chrono::hours(due_hours));
  return job;
}

bool AlwaysEligible(const BatchJob&) { return true; }

}  // namespace

TEST_CASE("The batch scheduler picks jobs") {
  BatchScheduler scheduler(SchedulerOptions{}, 1);
  const base::WallTime now{};
  SECTION("of organisations in proportion to their shares") {
    scheduler.Put(MakeJob("cairo-federation", "a", 3, 100'000, 9));
    scheduler.Put(MakeJob("tartu-clocks", "b", 1, 100'000, 9));
    std::map<std::string, int> picks;
    for (int i = 0; i < 400; ++i) {
      const auto job = scheduler.Pick(now, AlwaysEligible);
      REQUIRE(job);
      ++picks[job->uid];
      scheduler.Charge(*job, 160);
    }
    CHECK(picks["a"] >= 295);
    CHECK(picks["a"] <= 305);
  }
  SECTION("of one organisation by due time, and every fourth by size") {
    scheduler.Put(MakeJob("cairo-federation", "large", 1, 100'000, 5));
    scheduler.Put(MakeJob("cairo-federation", "small", 1, 100, 9));
    std::map<std::string, int> picks;
    for (int i = 0; i < 40; ++i)
      ++picks[scheduler.Pick(now, AlwaysEligible)->uid];
    CHECK(picks["large"] == 30);
    CHECK(picks["small"] == 10);
  }
  SECTION("that are close to their due time first") {
    scheduler.Put(MakeJob("cairo-federation", "not-due", 8, 100'000, 9));
    scheduler.Put(MakeJob("tartu-clocks", "urgent", 1, 1'000, 1));
    const auto close_to_due = now + std::chrono::minutes(50);
    CHECK(scheduler.Pick(close_to_due, AlwaysEligible)->uid == "urgent");
  }
  SECTION("never if none is eligible") {
    scheduler.Put(MakeJob("cairo-federation", "a", 1, 10, 9));
    CHECK_FALSE(scheduler.Pick(now, [](const BatchJob&) { return false; }));
  }
}

}  // namespace gypsumtrack::policy
