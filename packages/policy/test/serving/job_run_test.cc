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
/// Endpoints of two versions of one service, and of one version of another.
const OutputOrigin kOrigin{base::Service("s1"), "v1"};
const OutputOrigin kNewVersion{base::Service("s1"), "v2"};
const OutputOrigin kOtherService{base::Service("s2"), "v1"};

StreamEvent MakeEvent(std::uint64_t id, std::string data) {
  return {"", id, std::move(data)};
}

TEST_CASE("each item of a job runs and is listed once") {
  JobRun job({{"a", 10}, {"b", 20}}, {}, {});
  SECTION("an item's output is the data of its events") {
    const auto start = job.StartNextItem(kOrigin, kStart);
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
    const auto start = job.StartNextItem(kOrigin, kStart);
    job.OnEvent(start->index, MakeEvent(1, "x"));
    job.OnRunEnd(start->index, ItemRunOutcome::kInterrupted, kStart);
    const auto again = job.StartNextItem(kOrigin, kStart);
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
    const auto start = job.StartNextItem(kOrigin, kStart);
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
      CHECK(job.StartNextItem(kOrigin, kStart)->after_event == 1);
    }
    SECTION("an id after data without one is rejected, and all starts anew") {
      CHECK(job.OnEvent(start->index, without_id));
      CHECK(job.OnEvent(start->index, without_id));
      CHECK_FALSE(job.OnEvent(start->index, MakeEvent(1, "x")));
      job.OnRunEnd(start->index, ItemRunOutcome::kInterrupted, kStart);
      const auto again = job.StartNextItem(kOrigin, kStart);
      CHECK_FALSE(again->after_event);
      CHECK(job.OnEvent(again->index, MakeEvent(1, "x")));
      job.OnRunEnd(again->index, ItemRunOutcome::kComplete, kStart);
      CHECK(job.UnlistedResults(1)[0].output == "x");
    }
  }
  SECTION("an item that didn't run is retried after a delay") {
    const auto start = job.StartNextItem(kOrigin, kStart);
    job.OnRunEnd(start->index, ItemRunOutcome::kNotRun, kStart);
    const auto other = job.StartNextItem(kOrigin, kStart);
    REQUIRE(other);
    CHECK(other->index != start->index);
    CHECK_FALSE(job.StartNextItem(kOrigin, kStart));
    CHECK(job.StartNextItem(kOrigin, kStart + milliseconds(150)));
  }
  SECTION("an item is given up after max_failures failures, not before") {
    auto now = kStart;
    for (int run = 0; run < 3; ++run) {
      CHECK(job.UnlistedResults(1).empty());
      now += seconds(1);
      const auto start = job.StartNextItem(kOrigin, now);
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
    const auto start = job.StartNextItem(kOrigin, kStart);
    job.OnRunEnd(start->index, ItemRunOutcome::kImpossible, kStart);
    CHECK(job.UnlistedResults(1)[0].status == JobItemStatus::kGivenUp);
  }
  SECTION("giving up doesn't stop running items") {
    const auto start = job.StartNextItem(kOrigin, kStart);
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
  while (const auto start = job.StartNextItem(kOrigin, kStart)) {
    started.insert(job.item(start->index).id);
    job.OnRunEnd(start->index, ItemRunOutcome::kComplete, kStart);
  }
  CHECK(started == std::set<std::string>{"a", "c"});
  job.OnResultsListed(2);
  CHECK(job.all_listed());
}

TEST_CASE("a daemon that takes a job over resumes partial items") {
  JobRun before({{"a", 1}, {"b", 2}}, {}, {});
  const auto start = before.StartNextItem(kOrigin, kStart);
  before.OnEvent(start->index, MakeEvent(4, "x"));
  before.OnEvent(start->index, MakeEvent(5, "y"));
  const auto partials = before.PartialItems(1000);
  CHECK(partials == std::vector{PartialItem{"a", 5, 2, "x\ny", kOrigin}});
  SECTION("items that don't fit are left out") {
    CHECK(before.PartialItems(3).empty());
  }
  JobRun after({{"a", 1}, {"b", 2}}, {}, {});
  after.RestorePartialItems(partials, kStart);
  const auto again = after.StartNextItem(kOrigin, kStart);
  REQUIRE(again);
  CHECK(after.item(again->index).id == "a");
  CHECK(again->after_event == 5);
  CHECK(after.OnEvent(again->index, MakeEvent(6, "z")));
  after.OnRunEnd(again->index, ItemRunOutcome::kComplete, kStart);
  CHECK(after.UnlistedResults(1)[0].output == "x\ny\nz");
  SECTION("an item listed meanwhile isn't resumed") {
    JobRun listed({{"a", 1}, {"b", 2}}, {"a"}, {});
    listed.RestorePartialItems(partials, kStart);
    CHECK(listed.item(listed.StartNextItem(kOrigin, kStart)->index).id == "b");
  }
}

// Guards against an output that is joined from what endpoints of two software
// versions, or of two services, write.
TEST_CASE("an output is continued only by endpoints of its origin") {
  JobRun job({{"a", 1}, {"b", 2}}, {}, {});
  const auto first = job.StartNextItem(kOrigin, kStart);
  REQUIRE(first);
  CHECK(job.OnEvent(first->index, MakeEvent(1, "x")));
  job.OnRunEnd(first->index, ItemRunOutcome::kInterrupted, kStart);
  CHECK(job.WaitingOrigins(kStart) == std::vector{kOrigin});
  SECTION("an endpoint of its origin continues it before another item begins") {
    const auto again = job.StartNextItem(kOrigin, kStart);
    REQUIRE(again);
    CHECK(again->index == first->index);
    CHECK(again->after_event == 1);
    CHECK(again->discarded_events == 0);
    CHECK(job.WaitingOrigins(kStart).empty());
  }
  for (const auto& other : {kNewVersion, kOtherService}) {
    DYNAMIC_SECTION("an endpoint of " << other.service.text << ", "
                                      << other.version << " has to pass it") {
      const auto begun = job.StartNextItem(other, kStart);
      REQUIRE(begun);
      CHECK(begun->index != first->index);
      CHECK_FALSE(begun->after_event);
      CHECK_FALSE(job.StartNextItem(other, kStart));
      SECTION("unless it may restart: then nothing of its output is left") {
        ItemStartFilter filter;
        filter.may_restart = [&](std::size_t index, const auto& origin) {
          CHECK(index == first->index);
          CHECK(origin == kOrigin);
          return true;
        };
        const auto again = job.StartNextItem(other, kStart, filter);
        REQUIRE(again);
        CHECK(again->index == first->index);
        CHECK_FALSE(again->after_event);
        CHECK(again->discarded_events == 1);
        CHECK(job.event_count(first->index) == 0);
        CHECK(job.OnEvent(first->index, MakeEvent(1, "y")));
        SECTION("and what it writes now is of the other origin") {
          job.OnRunEnd(first->index, ItemRunOutcome::kInterrupted, kStart);
          CHECK(job.WaitingOrigins(kStart) == std::vector{other});
          CHECK_FALSE(job.StartNextItem(kOrigin, kStart));
          CHECK(job.StartNextItem(other, kStart)->after_event == 1);
        }
        SECTION("and its result is whole from the other origin") {
          job.OnRunEnd(first->index, ItemRunOutcome::kComplete, kStart);
          CHECK(job.UnlistedResults(1)[0].output == "y");
        }
      }
    }
  }
  SECTION("a new owner of the job keeps to the origin") {
    JobRun after({{"a", 1}, {"b", 2}}, {}, {});
    after.RestorePartialItems(job.PartialItems(1000), kStart);
    CHECK(after.WaitingOrigins(kStart) == std::vector{kOrigin});
    const auto begun = after.StartNextItem(kNewVersion, kStart);
    REQUIRE(begun);
    CHECK(begun->index != first->index);
    CHECK_FALSE(after.StartNextItem(kNewVersion, kStart));
    CHECK(after.StartNextItem(kOrigin, kStart)->after_event == 1);
  }
  SECTION("its output is kept for a while after the run that added to it") {
    CHECK(job.output_kept_until(first->index) ==
          kStart + JobRunOptions{}.max_late_output_wait);
    SECTION("which a run that adds nothing doesn't prolong") {
      job.StartNextItem(kOrigin, kStart);
      job.OnRunEnd(first->index, ItemRunOutcome::kNotRun, kStart + seconds(1));
      CHECK(job.output_kept_until(first->index) ==
            kStart + JobRunOptions{}.max_late_output_wait);
    }
  }
}

// Guards against an item without output that is held to the version of an
// endpoint that wrote nothing, or nothing that can be continued.
TEST_CASE("an item without output that can be continued runs anywhere") {
  JobRun job({{"a", 1}}, {}, {});
  const auto first = job.StartNextItem(kOrigin, kStart);
  SECTION("after a run that wrote nothing") {
    job.OnRunEnd(first->index, ItemRunOutcome::kInterrupted, kStart);
  }
  SECTION("after a run whose events have no ids") {
    CHECK(job.OnEvent(first->index, {"data: x\n\n", std::nullopt, "x"}));
    const auto outcome =
        GENERATE(ItemRunOutcome::kInterrupted, ItemRunOutcome::kNotRun,
                 ItemRunOutcome::kFailed);
    job.OnRunEnd(first->index, outcome, kStart);
  }
  const auto later = kStart + seconds(1);
  CHECK(job.WaitingOrigins(later).empty());
  REQUIRE(job.StartNextItem(kNewVersion, later));
  CHECK(job.OnEvent(0, MakeEvent(1, "y")));
  job.OnRunEnd(0, ItemRunOutcome::kComplete, later);
  CHECK(job.UnlistedResults(1)[0].output == "y");
}

// Guards against an output that waits behind shorter ones of other origins.
TEST_CASE("origins wait in the order of their longest output") {
  JobRun job({{"a", 1}, {"b", 2}}, {}, {});
  const auto first = job.StartNextItem(kOrigin, kStart);
  const auto second = job.StartNextItem(kNewVersion, kStart);
  REQUIRE(second);
  job.OnEvent(first->index, MakeEvent(1, "x"));
  job.OnEvent(second->index, MakeEvent(1, "longer"));
  job.OnRunEnd(first->index, ItemRunOutcome::kInterrupted, kStart);
  job.OnRunEnd(second->index, ItemRunOutcome::kNotRun, kStart);
  CHECK(job.WaitingOrigins(kStart) == std::vector{kOrigin});
  CHECK(job.WaitingOrigins(kStart + seconds(1)) ==
        std::vector{kNewVersion, kOrigin});
}

// Guards against a daemon that runs out of memory because an endpoint writes
// without end (review/9).
TEST_CASE("an output without end is discarded") {
  constexpr std::uint64_t kTokens = 100;
  /// The last event of a stream may hold no token.
  constexpr std::size_t kSpareEvents = 16;
  constexpr std::size_t kMaxEvents = 100'000;
  JobRun job({{"a", kTokens}, {"no-tokens", 0}}, {}, {});
  const auto run_until_refused = [&](std::size_t index, auto make_event) {
    std::size_t accepted = 0;
    while (accepted < kMaxEvents && job.OnEvent(index, make_event(accepted)))
      ++accepted;
    return accepted;
  };
  const auto without_id = [](std::size_t size) {
    return [size](std::size_t) -> StreamEvent {
      return {"", std::nullopt, std::string(size, 'w')};
    };
  };
  REQUIRE(job.StartNextItem(kOrigin, kStart));
  REQUIRE(job.StartNextItem(kOrigin, kStart));
  SECTION("that has more events than the item has tokens") {
    CHECK(run_until_refused(0, without_id(1)) == kTokens + kSpareEvents);
  }
  SECTION("that has ids, too") {
    CHECK(run_until_refused(0, [](std::size_t accepted) {
            return MakeEvent(accepted + 1, "");
          }) == kTokens + kSpareEvents);
  }
  SECTION("that has more bytes than a page of results") {
    constexpr std::size_t kPageBytes = 1'000'000;
    const auto [index, event_bytes] =
        GENERATE(std::pair<std::size_t, std::size_t>{0, 50'000},
                 std::pair<std::size_t, std::size_t>{1, 1000});
    const auto accepted = run_until_refused(index, without_id(event_bytes));
    CHECK(accepted >= 19);
    CHECK(accepted * event_bytes <= kPageBytes);
    SECTION("of which it takes no more then") {
      CHECK_FALSE(job.OnEvent(index, {"", std::nullopt, "w"}));
    }
  }
}

// Guards against an output without end that leaves no memory for others, or is
// counted twice, or never given back.
TEST_CASE("the outputs of all jobs share the memory for them") {
  constexpr std::uint64_t kLimit = 200'000;
  constexpr std::size_t kEventBytes = 10'000;
  const auto memory = std::make_shared<base::MemoryBudget>(kLimit);
  JobRunOptions options;
  options.memory = memory;
  auto job = std::make_unique<JobRun>(std::vector<JobItem>{{"a", 0}, {"b", 0}},
                                      std::vector<std::string>{}, options);
  const StreamEvent large{"", std::nullopt, std::string(kEventBytes, 'w')};
  REQUIRE(job->StartNextItem(kOrigin, kStart));
  REQUIRE(job->StartNextItem(kOrigin, kStart));
  while (job->OnEvent(0, large)) {
  }
  CHECK(memory->is_exceeded());
  CHECK(job->exceeded_limit(0) == OutputLimit::kMemory);
  SECTION("of which small ones may use more") {
    CHECK(job->OnEvent(1, large));
    CHECK_FALSE(job->exceeded_limit(1));
    job->OnRunEnd(1, ItemRunOutcome::kComplete, kStart);
    SECTION("until their results are listed") {
      const auto before = memory->held_bytes();
      job->OnResultsListed(1);
      CHECK(memory->held_bytes() == before - kEventBytes);
    }
  }
  SECTION("which an output that exceeds it gives back at the end of its run") {
    job->OnRunEnd(0, ItemRunOutcome::kInterrupted, kStart);
    CHECK(memory->held_bytes() == 0);
    CHECK(job->event_count(0) == 0);
    SECTION("to run again from the beginning, not as a failure") {
      CHECK_FALSE(job->StartNextItem(kOrigin, kStart));
      const auto again = job->StartNextItem(kNewVersion, kStart + seconds(1));
      REQUIRE(again);
      CHECK_FALSE(again->after_event);
      CHECK(job->OnEvent(again->index, MakeEvent(1, "y")));
      job->OnRunEnd(again->index, ItemRunOutcome::kComplete, kStart);
      CHECK(job->UnlistedResults(1)[0] ==
            JobItemResult{"a", JobItemStatus::kDone, "y"});
    }
  }
  SECTION("which a restored output uses, once") {
    const PartialItem partial{"b", 2, 2, "x\ny", kOrigin};
    JobRun restored({{"b", 0}}, {}, options);
    const auto before = memory->held_bytes();
    restored.RestorePartialItems({partial, partial}, kStart);
    CHECK(memory->held_bytes() == before + partial.text.size());
    restored.GiveUpWaitingItems();
    CHECK(memory->held_bytes() == before);
  }
  job.reset();
  CHECK(memory->held_bytes() == 0);
}

// Guards against commits that copy as many outputs as there are, however large.
TEST_CASE("results are listed in portions of a size") {
  JobRun job({{"a", 0}, {"b", 0}, {"c", 0}}, {}, {});
  for (std::size_t i = 0; i < 3; ++i) {
    REQUIRE(job.StartNextItem(kOrigin, kStart));
    CHECK(job.OnEvent(i, MakeEvent(1, std::string(100, 'w'))));
    job.OnRunEnd(i, ItemRunOutcome::kComplete, kStart);
  }
  CHECK(job.UnlistedResults(10, 200).size() == 2);
  CHECK(job.UnlistedResults(10, 199).size() == 1);
  CHECK(job.UnlistedResults(10, 0).size() == 1);
  CHECK(job.UnlistedResults(2, 1000).size() == 2);
}

TEST_CASE("each item is listed once, whatever the outcomes of its runs") {
  rc::prop("no event is lost or duplicated or of another version", [] {
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
      const auto& origin = random() % 2 == 0 ? kOrigin : kNewVersion;
      ItemStartFilter filter;
      filter.may_restart = [&](auto, const auto&) { return random() % 4 == 0; };
      if (const auto start = job.StartNextItem(origin, now, filter)) {
        auto next = start->after_event.value_or(0) + 1;
        const auto events = random() % 4;
        for (std::uint64_t i = 0; i < events && next <= 3; ++i, ++next) {
          RC_ASSERT(job.OnEvent(
              start->index,
              MakeEvent(next, std::to_string(next) + origin.version)));
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
      RC_ASSERT((result.output == "1v1\n2v1\n3v1" ||
                 result.output == "1v2\n2v2\n3v2"));
    }
    RC_ASSERT(ids.size() == count);
  });
}

}  // namespace
}  // namespace gypsumtrack::policy
