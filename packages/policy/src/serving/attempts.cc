#include "gypsumtrack/policy/serving/attempts.h"

#include <algorithm>

namespace gypsumtrack::policy {
namespace {

/// The maximum wait for capacity is the latency objective divided by this. A
/// fifth leaves time to send the refusal within a quarter of the objective.
constexpr int kCapacityWaitDivisor = 5;
/// A daemon that starts has read the store within this time, unless the store
/// is away.
constexpr base::Duration kUsualStartTime = std::chrono::milliseconds(1500);
/// Maximum time that a request waits for it.
constexpr base::Duration kMaxStartWait = std::chrono::milliseconds(500);
constexpr base::Duration kMinRetryAfter = std::chrono::milliseconds(500);
constexpr base::Duration kRetryAfterSpread = std::chrono::milliseconds(700);

}  // namespace

NextStep AttemptTracker::OnAttemptEnd(const RouteRule& route,
                                      AttemptOutcome outcome,
                                      bool response_started,
                                      base::Duration time_left) {
  ++(outcome == AttemptOutcome::kNotRun ? this->not_run : this->possible_runs);
  if (outcome == AttemptOutcome::kResponded) return NextStep::kDeliver;
  const bool has_time = time_left >= kMinAttemptTime;
  if (outcome == AttemptOutcome::kNotRun) {
    const bool may_run = !this->may_have_run() || MayRunAgain(route);
    const bool may_retry = this->has_abandoned || !this->IsRefusedOften();
    if (has_time && may_run && may_retry) return NextStep::kRetry;
  } else if (has_time && MayRunAgain(route) &&
             this->possible_runs < route.max_runs) {
    return NextStep::kRetry;
  }
  if (response_started) return NextStep::kAbort;
  if (outcome == AttemptOutcome::kFailed) return NextStep::kDeliver;
  return this->may_have_run() ? NextStep::kFail : NextStep::kRefuse;
}

bool AttemptTracker::MayRetryLostAttempt(const RouteRule& route,
                                         base::Duration time_left) const {
  return MayRunAgain(route) && time_left >= kMinAttemptTime &&
         this->possible_runs + 1 < route.max_runs;
}

base::Instant CapacityWaitDeadline(base::Instant arrived,
                                   const RouteRule& route) {
  return arrived + route.latency_objective / kCapacityWaitDivisor;
}

base::Instant StartWaitDeadline(base::Instant started_at, base::Instant arrived,
                                std::optional<base::Duration> timeout) {
  auto wait = kMaxStartWait;
  if (timeout) wait = std::min(wait, *timeout / kCapacityWaitDivisor);
  const auto deadline = std::min(started_at + kUsualStartTime, arrived + wait);
  return std::max(arrived, deadline);
}

base::Duration RefusalRetryAfter(std::uint64_t random) {
  const auto spread = static_cast<std::uint64_t>(kRetryAfterSpread.count());
  return kMinRetryAfter +
         base::Duration(static_cast<std::int64_t>(random % spread));
}

}  // namespace gypsumtrack::policy
