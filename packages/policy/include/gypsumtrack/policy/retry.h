#ifndef GYPSUMTRACK_POLICY_RETRY_H_
#define GYPSUMTRACK_POLICY_RETRY_H_

#include <cstdint>

#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/run_state.h"

/// Whether a request that got no whole answer is sent again.
namespace gypsumtrack::policy {

struct RetryOptions {
  /// Retries of possibly-run requests, as a share of recent requests.
  double budget_share = 0.1;
  /// Retries that a quiet daemon may make at once.
  double budget_limit = 10;
  std::uint32_t max_attempts = 4;
  /// Off only in tests that show what the check is for.
  bool check_idempotent = true;
  bool check_budget = true;
};

/// Bounds retries to a share of traffic, so that they can't multiply the load
/// of endpoints that fail. Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryOptions& options);

  /// Each first attempt earns a share of a retry.
  void OnRequest();
  /// Takes one retry if the budget holds one.
  bool TryTake();

  double available() const { return this->tokens; }  // NOLINT

 private:
  double share;
  double limit;
  double tokens;
};

/// An attempt that ended without a whole answer.
struct FailedAttempt {
  /// Of this attempt alone.
  RunState run_state = RunState::kNotRun;
  /// Of all attempts so far, this one included.
  RunState combined_run_state = RunState::kNotRun;
  bool idempotent = true;
  /// The caller is gone or the job was cancelled.
  bool cancelled = false;
  std::uint32_t attempts = 1;
  base::Instant deadline = base::kNever;
};

/// What is known once another attempt ended as `next`.
RunState CombineRunStates(RunState so_far, RunState next);

/// Whether to send again. A request that may have run is sent again only if it
/// is idempotent and the budget holds a retry, which is then taken. One that
/// surely didn't run may go elsewhere freely.
bool TakeRetry(const RetryOptions& options, const FailedAttempt& attempt,
               base::Instant now, RetryBudget& budget);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_RETRY_H_
