#ifndef GYPSUMTRACK_POLICY_SERVING_ATTEMPTS_H_
#define GYPSUMTRACK_POLICY_SERVING_ATTEMPTS_H_

#include <cstdint>
#include <optional>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/serving/serving_rules.h"

/// Decides what to do with a caller's request after each attempt to send it to
/// an endpoint: retry, deliver the response or report an error.
namespace gypsumtrack::policy {

/// How an attempt ended.
enum class AttemptOutcome {
  kResponded,  ///< complete response that doesn't report an endpoint failure
  kFailed,     ///< complete response that reports an endpoint failure
  kNotRun,     ///< endpoint wasn't reached or reported that it ran nothing
  kUnknown,    ///< may have run, but no complete response was received
};

/// Names of the outcomes in log events.
inline constexpr auto kAttemptOutcomeNames =
    base::MakeEnumTable<AttemptOutcome>({
        {AttemptOutcome::kResponded, "answered"},
        {AttemptOutcome::kFailed, "failed"},
        {AttemptOutcome::kNotRun, "not-run"},
        {AttemptOutcome::kUnknown, "lost"},
    });

/// What to do after an attempt has ended.
enum class NextStep {
  kRetry,    ///< send the request to another endpoint
  kDeliver,  ///< forward the endpoint's response to the caller
  kRefuse,   ///< report that the request didn't run and won't run
  kFail,     ///< report that the request failed and may have run
  kAbort,    ///< cut a response that has started and can't be completed
};

/// Names of the steps in log events.
inline constexpr auto kNextStepNames = base::MakeEnumTable<NextStep>({
    {NextStep::kRetry, "send-again"},
    {NextStep::kDeliver, "deliver"},
    {NextStep::kRefuse, "refuse"},
    {NextStep::kFail, "fail"},
    {NextStep::kAbort, "break-off"},
});

/// Maximum number of attempts with outcome kNotRun for one request, unless an
/// attempt of it was abandoned.
inline constexpr std::uint32_t kMaxNotRunAttempts = 6;
/// Minimum time until the caller's deadline for a retry. With less time, the
/// attempt would occupy an endpoint without a chance to finish.
inline constexpr base::Duration kMinAttemptTime = std::chrono::milliseconds(30);

/// Counts the attempts of one request and limits retries. Not thread-safe.
class AttemptTracker {
 public:
  /// Records an attempt that ended and returns the next step.
  /// `response_started` states whether the caller has received a part of the
  /// response; `time_left` is the time until the caller's deadline.
  NextStep OnAttemptEnd(const RouteRule& route, AttemptOutcome outcome,
                        bool response_started, base::Duration time_left);

  /// Whether the request may be sent again if the attempt in progress ends
  /// without a response. `time_left` as above.
  bool MayRetryLostAttempt(const RouteRule& route,
                           base::Duration time_left) const;
  /// Records that an attempt was given up though its endpoint might have gone
  /// on. From then on the number of attempts with outcome kNotRun doesn't limit
  /// retries. Call it before OnAttemptEnd.
  void OnAttemptAbandoned() { this->has_abandoned = true; }
  /// Whether an attempt was abandoned.
  bool abandoned() const { return this->has_abandoned; }  // NOLINT
  /// Whether retries should be spread over time, because kMaxNotRunAttempts
  /// attempts had the outcome kNotRun.
  bool IsRefusedOften() const { return this->not_run >= kMaxNotRunAttempts; }
  /// Whether an endpoint ran the request or may have run it.
  bool may_have_run() const { return this->possible_runs > 0; }  // NOLINT
  /// Number of attempts that have ended.
  std::uint32_t attempt_count() const {  // NOLINT
    return this->possible_runs + this->not_run;
  }

 private:
  /// Attempts with any outcome but kNotRun.
  std::uint32_t possible_runs = 0;
  std::uint32_t not_run = 0;
  bool has_abandoned = false;
};

/// Until when a request waits for a free slot at an endpoint. Refusals have to
/// be sent within a quarter of the latency objective, so that callers can still
/// retry in time. Thread-safe.
base::Instant CapacityWaitDeadline(base::Instant arrived,
                                   const RouteRule& route);

/// Until when a request that arrives at a daemon that was started at
/// `started_at` waits for the daemon to read the rules and the endpoints. After
/// a restart of all daemons no other one could serve it sooner, and callers
/// retry only a few times. Not later than `arrived` if the daemon has had time
/// enough: then the store is away, and another daemon may have read it.
/// Thread-safe.
base::Instant StartWaitDeadline(base::Instant started_at, base::Instant arrived,
                                std::optional<base::Duration> timeout);

/// Time after which a caller that was refused for lack of capacity should
/// retry. Requests that run now have freed their slots by then; `random`, any
/// number, spreads the retries so that callers don't return at the same time.
/// Thread-safe.
base::Duration RefusalRetryAfter(std::uint64_t random);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_ATTEMPTS_H_
