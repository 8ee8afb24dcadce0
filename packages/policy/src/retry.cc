#include "gypsumtrack/policy/retry.h"

#include <algorithm>

namespace gypsumtrack::policy {

RetryBudget::RetryBudget(const RetryOptions& options)
    : ratio(options.budget_ratio),
      capacity(options.budget_capacity),
      tokens(options.budget_capacity) {}

void RetryBudget::OnRequest() {
  this->tokens = std::min(this->capacity, this->tokens + this->ratio);
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
  if (attempt.run_state == RunState::kNotRun || !options.check_budget) {
    return true;
  }
  return budget.TryTake();
}

}  // namespace gypsumtrack::policy
