#include "gypsumtrack/policy/retry.h"

#include <algorithm>

namespace gypsumtrack::policy {

RetryBudget::RetryBudget(const RetryOptions& options)
    : share(options.budget_share),
      limit(options.budget_limit),
      tokens(options.budget_limit) {}

void RetryBudget::OnRequest() {
  this->tokens = std::min(this->limit, this->tokens + this->share);
}

bool RetryBudget::TryTake() {
  if (this->tokens < 1) return false;
  this->tokens -= 1;
  return true;
}

RunState CombineRunStates(RunState so_far, RunState next) {
  return std::max(so_far, next);
}

bool TakeRetry(const RetryOptions& options, const FailedAttempt& attempt,
               base::Instant now, RetryBudget& budget) {
  if (attempt.cancelled || now >= attempt.deadline) return false;
  if (attempt.attempts >= options.max_attempts) return false;
  const bool may_have_run = attempt.combined_run_state != RunState::kNotRun;
  if (may_have_run && !attempt.idempotent && options.check_idempotent) {
    return false;
  }
  if (attempt.run_state == RunState::kNotRun || !options.check_budget)
    return true;
  return budget.TryTake();
}

}  // namespace gypsumtrack::policy
