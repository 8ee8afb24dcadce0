#include "gypsumtrack/policy/serving/job_run.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <random>
#include <set>

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::Instant kStart(seconds(10));

StreamEvent MakeEvent(std::uint64_t id, std::string data) {
  return {"", id, std::move(data)};
}

TEST_CASE("each item of a job runs and is listed once") {
  JobRun job({{"a", 10}, {"b", 20}}, {}, {});
  SECTION("an item's output is the data of its events") {
    const auto start = job.StartNextItem(kStart);
    REQUIRE(start);
    CHECK_FALSE(start->after_event);
    CHECK(job.OnEvent(start->index, MakeEvent(1, "x")));
    CHECK(job.OnEvent(start->index, MakeEvent(2, "y")));
    job.OnRunEnd(start->index, ItemRunOutcome::kComplete, kStart);
    const auto results = job.UnlistedResults(10);
    REQUIRE(results.size() == 1);
    CHECK(results[0] == JobItemResult{"a", JobItemStatus::kDone, "x\ny"});
    SECTION("the same result is returned until it is listed") {
      CHECK(job.UnlistedResults(10) == results);
      CHECK(job.UnlistedTokens() == 30);
      job.OnResultsListed(1);
      CHECK(job.UnlistedResults(10).empty());
      CHECK(job.next_position() == 1);
      CHECK(job.UnlistedTokens() == 20);
      CHECK_FALSE(job.all_listed());
    }
  }
  SECTION("an interrupted item resumes after its last event") {
    const auto start = job.StartNextItem(kStart);
    job.OnEvent(start->index, MakeEvent(1, "x"));
    job.OnRunEnd(start->index, ItemRunOutcome::kInterrupted, kStart);
    const auto again = job.StartNextItem(kStart);
    REQUIRE(again);
    CHECK(again->index == start->index);
    CHECK(again->after_event == 1);
    SECTION("and accepts neither duplicate events nor gaps") {
      CHECK_FALSE(job.OnEvent(again->index, MakeEvent(1, "x")));
      CHECK_FALSE(job.OnEvent(again->index, MakeEvent(3, "z")));
      CHECK(job.OnEvent(again->index, MakeEvent(2, "y")));
      job.OnRunEnd(again->index, ItemRunOutcome::kComplete, kStart);
      CHECK(job.UnlistedResults(1)[0].output == "x\ny");
    }
  }
  SECTION("an output has ids in all of its events or in none") {
    const auto start = job.StartNextItem(kStart);
    const StreamEvent without_id{"data: y\n\n", std::nullopt, "y"};
    SECTION("events with neither id nor data are no part of it") {
      const StreamEvent comment{": y\n\n", std::nullopt, ""};
      CHECK(job.OnEvent(start->index, comment));
      CHECK(job.OnEvent(start->index, comment));
      CHECK(job.OnEvent(start->index, MakeEvent(1, "x")));
      CHECK(job.OnEvent(start->index, comment));
      CHECK(job.event_count(start->index) == 1);
      job.OnRunEnd(start->index, ItemRunOutcome::kComplete, kStart);
      CHECK(job.UnlistedResults(1)[0].output == "x");
    }
    SECTION("data without an id after an event with one is rejected") {
      CHECK(job.OnEvent(start->index, MakeEvent(1, "x")));
      CHECK_FALSE(job.OnEvent(start->index, without_id));
      job.OnRunEnd(start->index, ItemRunOutcome::kInterrupted, kStart);
      CHECK(job.StartNextItem(kStart)->after_event == 1);
    }
    SECTION("an id after data without one is rejected, and all starts anew") {
      CHECK(job.OnEvent(start->index, without_id));
      CHECK(job.OnEvent(start->index, without_id));
      CHECK_FALSE(job.OnEvent(start->index, MakeEvent(1, "x")));
      job.OnRunEnd(start->index, ItemRunOutcome::kInterrupted, kStart);
      const auto again = job.StartNextItem(kStart);
      CHECK_FALSE(again->after_event);
      CHECK(job.OnEvent(again->index, MakeEvent(1, "x")));
      job.OnRunEnd(again->index, ItemRunOutcome::kComplete, kStart);
      CHECK(job.UnlistedResults(1)[0].output == "x");
    }
  }
  SECTION("an item that didn't run is retried after a delay") {
    const auto start = job.StartNextItem(kStart);
    job.OnRunEnd(start->index, ItemRunOutcome::kNotRun, kStart);
    const auto other = job.StartNextItem(kStart);
    REQUIRE(other);
    CHECK(other->index != start->index);
    CHECK_FALSE(job.StartNextItem(kStart));
    CHECK(job.StartNextItem(kStart + milliseconds(150)));
  }
  SECTION("an item is given up after max_failures failures, not before") {
    auto now = kStart;
    for (int run = 0; run < 3; ++run) {
      CHECK(job.UnlistedResults(1).empty());
      now += seconds(1);
      const auto start = job.StartNextItem(now);
      REQUIRE(start);
      // Only item "a" should fail: return item "b" as not run.
      if (job.item(start->index).id == "b") {
        job.OnRunEnd(start->index, ItemRunOutcome::kNotRun, now);
        --run;
        continue;
      }
      job.OnRunEnd(start->index, ItemRunOutcome::kFailed, now);
    }
    CHECK(job.UnlistedResults(1)[0] ==
          JobItemResult{"a", JobItemStatus::kGivenUp, ""});
  }
  SECTION("an item that no endpoint can run is given up at once") {
    const auto start = job.StartNextItem(kStart);
    job.OnRunEnd(start->index, ItemRunOutcome::kImpossible, kStart);
    CHECK(job.UnlistedResults(1)[0].status == JobItemStatus::kGivenUp);
  }
  SECTION("giving up doesn't stop running items") {
    const auto start = job.StartNextItem(kStart);
    job.GiveUpWaitingItems();
    CHECK(job.UnlistedResults(10).size() == 1);
    job.OnRunEnd(start->index, ItemRunOutcome::kComplete, kStart);
    CHECK(job.UnlistedResults(10).size() == 2);
  }
}

TEST_CASE("a daemon that takes a job over runs only unlisted items") {
  JobRun job({{"a", 1}, {"b", 2}, {"c", 4}}, {"b"}, {});
  CHECK(job.next_position() == 1);
  CHECK(job.UnlistedTokens() == 5);
  std::set<std::string> started;
  while (const auto start = job.StartNextItem(kStart)) {
    started.insert(job.item(start->index).id);
    job.OnRunEnd(start->index, ItemRunOutcome::kComplete, kStart);
  }
  CHECK(started == std::set<std::string>{"a", "c"});
  job.OnResultsListed(2);
  CHECK(job.all_listed());
}

TEST_CASE("a daemon that takes a job over resumes partial items") {
  JobRun before({{"a", 1}, {"b", 2}}, {}, {});
  const auto start = before.StartNextItem(kStart);
  before.OnEvent(start->index, MakeEvent(4, "x"));
  before.OnEvent(start->index, MakeEvent(5, "y"));
  const auto partials = before.PartialItems(1000);
  CHECK(partials == std::vector{PartialItem{"a", 5, 2, "x\ny"}});
  SECTION("items that don't fit are left out") {
    CHECK(before.PartialItems(3).empty());
  }
  JobRun after({{"a", 1}, {"b", 2}}, {}, {});
  after.RestorePartialItems(partials);
  const auto again = after.StartNextItem(kStart);
  REQUIRE(again);
  CHECK(after.item(again->index).id == "a");
  CHECK(again->after_event == 5);
  CHECK(after.OnEvent(again->index, MakeEvent(6, "z")));
  after.OnRunEnd(again->index, ItemRunOutcome::kComplete, kStart);
  CHECK(after.UnlistedResults(1)[0].output == "x\ny\nz");
  SECTION("an item listed meanwhile isn't resumed") {
    JobRun listed({{"a", 1}, {"b", 2}}, {"a"}, {});
    listed.RestorePartialItems(partials);
    CHECK(listed.item(listed.StartNextItem(kStart)->index).id == "b");
  }
}

TEST_CASE("each item is listed once, whatever the outcomes of its runs") {
  rc::prop("no result or event is lost or duplicated", [] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 8);
    std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
    std::vector<JobItem> items;
    for (std::size_t i = 0; i < count; ++i) {
      items.push_back({std::to_string(i), i});
    }
    JobRun job(items, {}, {});
    std::vector<JobItemResult> listed;
    auto now = kStart;
    for (int step = 0; step < 2000 && !job.all_listed(); ++step) {
      now += milliseconds(100);
      if (const auto start = job.StartNextItem(now)) {
        auto next = start->after_event.value_or(0) + 1;
        const auto events = random() % 4;
        for (std::uint64_t i = 0; i < events && next <= 3; ++i, ++next) {
          RC_ASSERT(
              job.OnEvent(start->index, MakeEvent(next, std::to_string(next))));
        }
        const auto end = next > 3            ? ItemRunOutcome::kComplete
                         : random() % 2 == 0 ? ItemRunOutcome::kInterrupted
                                             : ItemRunOutcome::kNotRun;
        job.OnRunEnd(start->index, end, now);
      }
      const auto ready = job.UnlistedResults(2);
      job.OnResultsListed(ready.size());
      listed.insert(listed.end(), ready.begin(), ready.end());
    }
    RC_ASSERT(listed.size() == count);
    std::set<std::string> ids;
    for (const auto& result : listed) {
      ids.insert(result.item);
      RC_ASSERT(result.output == "1\n2\n3");
    }
    RC_ASSERT(ids.size() == count);
  });
}

}  // namespace
}  // namespace gypsumtrack::policy
