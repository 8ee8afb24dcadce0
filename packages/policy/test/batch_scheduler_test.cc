#include "gypsumtrack/policy/batch_scheduler.h"

#include <catch2/catch.hpp>
#include <map>

namespace gypsumtrack::policy {
namespace {

BatchJob Job(const std::string& organisation, const std::string& uid,
             std::uint32_t share, std::uint64_t items, int due_hours) {
  BatchJob job;
  job.organisation.text = organisation;
  job.uid = uid;
  job.share = share;
  job.items = items;
  job.due_at = base::WallTime(std::chrono::hours(due_hours));
  return job;
}

bool Any(const BatchJob&) { return true; }

}  // namespace

TEST_CASE("The batch scheduler shares out chunks") {
  BatchScheduler scheduler(SchedulerOptions{}, 1);
  const base::WallTime now{};
  SECTION("among organisations by their shares") {
    scheduler.Put(Job("cairo-federation", "a", 3, 100'000, 9));
    scheduler.Put(Job("tartu-clocks", "b", 1, 100'000, 9));
    std::map<std::string, int> picks;
    for (int i = 0; i < 400; ++i) {
      const auto job = scheduler.Pick(now, Any);
      REQUIRE(job);
      ++picks[job->uid];
      scheduler.Charge(*job, 160);
    }
    CHECK(picks["a"] >= 295);
    CHECK(picks["a"] <= 305);
  }
  SECTION("within one to the earliest due, and now and then the smallest") {
    scheduler.Put(Job("cairo-federation", "large", 1, 100'000, 5));
    scheduler.Put(Job("cairo-federation", "small", 1, 100, 9));
    std::map<std::string, int> picks;
    for (int i = 0; i < 40; ++i) ++picks[scheduler.Pick(now, Any)->uid];
    CHECK(picks["large"] == 30);
    CHECK(picks["small"] == 10);
  }
  SECTION("first to a job in danger of missing its due time") {
    scheduler.Put(Job("cairo-federation", "calm", 8, 100'000, 9));
    scheduler.Put(Job("tartu-clocks", "urgent", 1, 1'000, 1));
    const auto soon = now + std::chrono::minutes(50);
    CHECK(scheduler.Pick(soon, Any)->uid == "urgent");
  }
  SECTION("to nobody when nothing is eligible") {
    scheduler.Put(Job("cairo-federation", "a", 1, 10, 9));
    CHECK_FALSE(scheduler.Pick(now, [](const BatchJob&) { return false; }));
  }
}

}  // namespace gypsumtrack::policy
