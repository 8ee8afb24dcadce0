#ifndef GYPSUMTRACK_POLICY_SERVING_ATTEMPTS_H_
#define GYPSUMTRACK_POLICY_SERVING_ATTEMPTS_H_

#include <cstdint>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/serving/serving_rules.h"

/// What becomes of a caller's request after each send to an endpoint.
namespace gypsumtrack::policy {

/// How a send ended.
enum class AttemptOutcome {
  kResponded,  ///< a whole answer that isn't the endpoint's failure
  kFailed,   ///< a whole answer that says the endpoint failed while running it
  kNotRun,   ///< the endpoint wasn't reached, or said that it didn't run it
  kUnknown,  ///< it may have run, and no whole answer came
};

inline constexpr auto kAttemptOutcomeNames =
    base::MakeEnumTable<AttemptOutcome>({
        {AttemptOutcome::kResponded, "answered"},
        {AttemptOutcome::kFailed, "failed"},
        {AttemptOutcome::kNotRun, "not-run"},
        {AttemptOutcome::kUnknown, "lost"},
    });

enum class NextStep {
  kRetry,    ///< to another endpoint
  kDeliver,  ///< give the caller the endpoint's answer
  kRefuse,   ///< say that it didn't run and never will
  kFail,     ///< say that it failed and may have run
  kAbort,    ///< the response began and can't be finished
};

inline constexpr auto kNextStepNames = base::MakeEnumTable<NextStep>({
    {NextStep::kRetry, "send-again"},
    {NextStep::kDeliver, "deliver"},
    {NextStep::kRefuse, "refuse"},
    {NextStep::kFail, "fail"},
    {NextStep::kAbort, "break-off"},
});

/// Most sends of one request that no endpoint ran.
inline constexpr std::uint32_t kMaxNotRunAttempts = 6;
/// A send with less time left would only use up an endpoint.
inline constexpr base::Duration kMinAttemptTime = std::chrono::milliseconds(30);

/// The sends of one request.
class AttemptTracker {
 public:
  /// Counts a send that ended and says what comes next. `time_left` is up to
  /// the caller's deadline.
  NextStep OnAttemptEnd(const RouteRule& route, AttemptOutcome end,
                        bool response_began, base::Duration time_left);

  /// Whether an endpoint may have run it.
  bool may_have_run() const { return this->runs > 0; }  // NOLINT
  std::uint32_t attempt_count() const {
    return this->runs + this->unrun;
  }  // NOLINT

 private:
  std::uint32_t runs = 0;
  std::uint32_t unrun = 0;
};

/// Until when a request without room waits for some: a refusal must come within
/// a quarter of the latency objective to let the caller come back in time.
base::Instant CapacityWaitDeadline(base::Instant arrived,
                                   const RouteRule& route);

/// When a caller refused for want of room should come back: when the requests
/// under way now have made room, spread so that callers don't come together.
base::Duration RefusalRetryAfter(std::uint64_t dice);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_ATTEMPTS_H_
