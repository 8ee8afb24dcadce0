#include "gypsumtrack/policy/serving/attempts.h"

namespace gypsumtrack::policy {
namespace {

constexpr int kRoomWaitPart = 5;
constexpr base::Duration kComeBackLeast = std::chrono::milliseconds(500);
constexpr base::Duration kComeBackSpread = std::chrono::milliseconds(700);

}  // namespace

NextStep AttemptTracker::OnAttemptEnd(const RouteRule& route,
                                      AttemptOutcome end, bool response_began,
                                      base::Duration time_left) {
  ++(end == AttemptOutcome::kNotRun ? this->unrun : this->runs);
  if (end == AttemptOutcome::kResponded) return NextStep::kDeliver;
  const bool has_time = time_left >= kMinAttemptTime;
  if (end == AttemptOutcome::kNotRun) {
    const bool first_run = !this->may_have_run() || MayRunAgain(route);
    if (has_time && first_run && this->unrun < kMaxNotRunAttempts) {
      return NextStep::kRetry;
    }
  } else if (has_time && MayRunAgain(route) && this->runs < route.max_runs) {
    return NextStep::kRetry;
  }
  if (response_began) return NextStep::kAbort;
  if (end == AttemptOutcome::kFailed) return NextStep::kDeliver;
  return this->may_have_run() ? NextStep::kFail : NextStep::kRefuse;
}

base::Instant CapacityWaitDeadline(base::Instant arrived,
                                   const RouteRule& route) {
  return arrived + route.latency_objective / kRoomWaitPart;
}

base::Duration RefusalRetryAfter(std::uint64_t dice) {
  const auto spread = static_cast<std::uint64_t>(kComeBackSpread.count());
  return kComeBackLeast +
         base::Duration(static_cast<std::int64_t>(dice % spread));
}

}  // namespace gypsumtrack::policy
