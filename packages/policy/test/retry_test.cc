#include "gypsumtrack/policy/retry.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <vector>

namespace gypsumtrack::policy {
namespace {

using base::Instant;

/// What an endpoint does with an attempt.
enum AttemptFate {
  kRefusedBeforeRun,  ///< refuses the request before running it
  kResponseLost,      ///< runs the request, but the response is lost
  kRequestLost,       ///< never receives the request
  kResponded,         ///< runs the request and responds
};

/// Result of a request and its retries.
struct RequestResult {
  std::uint32_t executions = 0;
  std::uint32_t attempts = 0;
  /// The run state that the caller is given.
  RunState reported = RunState::kNotRun;
};

/// Runs a request whose attempts end as `fates` says, an `AttemptFate` each.
RequestResult RunRequest(const std::vector<int>& fates, bool idempotent,
                         const RetryOptions& options, RetryBudget& budget) {
  RequestResult result;
  budget.OnRequest();
  for (const int fate : fates) {
    result.attempts++;
    if (fate == kResponseLost || fate == kResponded) result.executions++;
    if (fate == kResponded) {
      result.reported = RunState::kRan;
      return result;
    }
    const auto run =
        fate == kRefusedBeforeRun ? RunState::kNotRun : RunState::kUnknown;
    result.reported = CombineRunStates(result.reported, run);
    const FailedAttempt attempt{run,   result.reported, idempotent,
                                false, result.attempts, base::kNever};
    if (!TakeRetry(options, attempt, Instant(), budget)) break;
  }
  return result;
}

std::vector<int> RandomFates() {
  return *rc::gen::container<std::vector<int>>(6, rc::gen::inRange(0, 4));
}

TEST_CASE("a request with random faults") {
  const RetryOptions options;
  rc::prop("a request that ran is never reported as not run", [&] {
    RetryBudget budget(options);
    const auto result =
        RunRequest(RandomFates(), *rc::gen::arbitrary<bool>(), options, budget);
    RC_ASSERT(result.reported != RunState::kNotRun || result.executions == 0);
  });
  rc::prop("a non-idempotent request runs at most once", [&] {
    RetryBudget budget(options);
    RC_ASSERT(RunRequest(RandomFates(), false, options, budget).executions <=
              1);
  });
  SECTION("without the idempotency check it runs several times") {
    RetryOptions unchecked;
    unchecked.check_idempotent = false;
    RetryBudget budget(unchecked);
    CHECK(RunRequest({kResponseLost, kResponseLost, kResponded}, false,
                     unchecked, budget)
              .executions == 3);
  }
}

TEST_CASE("endpoints lose every response") {
  const std::vector<int> lost(6, kResponseLost);
  constexpr std::uint32_t kRequests = 1000;
  RetryOptions options;
  auto count_attempts = [&] {
    RetryBudget budget(options);
    std::uint32_t total = 0;
    for (std::uint32_t i = 0; i < kRequests; ++i) {
      total += RunRequest(lost, true, options, budget).attempts;
    }
    return total;
  };
  SECTION("the budget limits retries to a fraction of the requests") {
    CHECK(count_attempts() <=
          kRequests * (1 + options.budget_ratio) + options.budget_capacity);
  }
  SECTION("without the budget retries multiply the load") {
    options.check_budget = false;
    CHECK(count_attempts() == kRequests * options.max_attempts);
  }
}

TEST_CASE("a refused request is retried until its deadline") {
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
