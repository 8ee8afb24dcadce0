#ifndef GYPSUMTRACK_POLICY_RETRY_H_
#define GYPSUMTRACK_POLICY_RETRY_H_

#include <cstdint>

#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/run_state.h"

/// Whether a request that got no complete response is retried.
namespace gypsumtrack::policy {

/// Limits of retries.
struct RetryOptions {
  /// Retries of requests that may have run, per recent request.
  double budget_ratio = 0.1;
  /// Maximum number of retries that the budget accumulates.
  double budget_capacity = 10;
  /// Maximum number of attempts per request, the first one included.
  std::uint32_t max_attempts = 4;

  // Disabled only by tests that show the effect of each check.

  bool check_idempotent = true;
  bool check_budget = true;
};

/// Limits retries to a fraction of the traffic, so that they can't multiply the
/// load of failing endpoints. Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryOptions& options);

  /// Adds the fraction of a retry that each new request earns.
  void OnRequest();
  /// Takes one retry from the budget, or returns false if there is none.
  bool TryTake();

  /// Returns the number of retries in the budget.
  double available() const { return this->tokens; }  // NOLINT

 private:
  double ratio;
  double capacity;
  double tokens;
};

/// An attempt that ended without a complete response.
struct FailedAttempt {
  /// Run state of this attempt alone.
  RunState run_state = RunState::kNotRun;
  /// Run state of all attempts so far, including this one.
  RunState combined_run_state = RunState::kNotRun;
  bool idempotent = true;
  /// The caller disconnected or the job was cancelled.
  bool cancelled = false;
  /// Number of attempts so far, including this one.
  std::uint32_t attempts = 1;
  base::Instant deadline = base::kNever;
};

/// Returns the run state of a request whose earlier attempts combine to
/// `so_far` and whose last attempt ended as `next`. Thread-safe.
RunState CombineRunStates(RunState so_far, RunState next);

/// Returns whether to retry a request. A request that may have run is retried
/// only if it is idempotent. If this attempt may have run, the retry is also
/// taken from the budget, which must have one. An attempt that certainly didn't
/// run costs no budget. Thread-safe if `budget` isn't used concurrently.
bool TakeRetry(const RetryOptions& options, const FailedAttempt& attempt,
               base::Instant now, RetryBudget& budget);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_RETRY_H_
