#include "gypsumtrack/policy/retry.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <vector>

namespace gypsumtrack::policy {
namespace {

using base::Instant;

/// A request's attempts against endpoints whose fates are given: what they ran,
/// and what the caller was told.
struct Story {
  std::uint32_t executions = 0;
  std::uint32_t sends = 0;
  RunState told = RunState::kNotRun;
};

/// Fate 0 refuses before running, 1 runs and loses the answer, 2 loses the
/// request on its way, 3 answers.
Story Play(const std::vector<int>& fates, bool idempotent,
           const RetryOptions& options, RetryBudget& budget) {
  Story story;
  budget.OnRequest();
  for (const int fate : fates) {
    story.sends++;
    if (fate == 1 || fate == 3) story.executions++;
    if (fate == 3) {
      story.told = RunState::kRan;
      return story;
    }
    const auto run = fate == 0 ? RunState::kNotRun : RunState::kUnknown;
    story.told = CombineRunStates(story.told, run);
    const FailedAttempt attempt{run,   story.told,  idempotent,
                                false, story.sends, base::kNever};
    if (!TakeRetry(options, attempt, Instant(), budget)) break;
  }
  return story;
}

std::vector<int> Fates() {
  return *rc::gen::container<std::vector<int>>(6, rc::gen::inRange(0, 4));
}

TEST_CASE("a request meets random faults") {
  const RetryOptions options;
  rc::prop("not-run is never said of one that ran", [&] {
    RetryBudget budget(options);
    const auto story =
        Play(Fates(), *rc::gen::arbitrary<bool>(), options, budget);
    RC_ASSERT(story.told != RunState::kNotRun || story.executions == 0);
  });
  rc::prop("a non-idempotent one runs at most once", [&] {
    RetryBudget budget(options);
    RC_ASSERT(Play(Fates(), false, options, budget).executions <= 1);
  });
  SECTION("without the check for idempotence it runs twice") {
    RetryOptions unchecked;
    unchecked.check_idempotent = false;
    RetryBudget budget(unchecked);
    CHECK(Play({1, 1, 3}, false, unchecked, budget).executions == 3);
  }
}

TEST_CASE("endpoints lose every answer") {
  const std::vector<int> lost(6, 1);
  constexpr std::uint32_t kRequests = 1000;
  RetryOptions options;
  auto sends = [&] {
    RetryBudget budget(options);
    std::uint32_t total = 0;
    for (std::uint32_t i = 0; i < kRequests; ++i) {
      total += Play(lost, true, options, budget).sends;
    }
    return total;
  };
  SECTION("retries stay within a share of the requests") {
    CHECK(sends() <=
          kRequests * (1 + options.budget_share) + options.budget_limit);
  }
  SECTION("without the budget they multiply the load") {
    options.check_budget = false;
    CHECK(sends() == kRequests * options.max_attempts);
  }
}

TEST_CASE("a refused request goes elsewhere until its deadline") {
  const RetryOptions options;
  RetryBudget budget(options);
  FailedAttempt attempt;
  attempt.deadline = Instant(std::chrono::seconds(5));
  CHECK(TakeRetry(options, attempt, Instant(), budget));
  CHECK_FALSE(TakeRetry(options, attempt, attempt.deadline, budget));
  attempt.cancelled = true;
  CHECK_FALSE(TakeRetry(options, attempt, Instant(), budget));
}

}  // namespace
}  // namespace gypsumtrack::policy
