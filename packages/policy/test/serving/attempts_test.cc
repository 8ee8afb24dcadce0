#include "gypsumtrack/policy/serving/attempts.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RouteRule MakeStream(bool resumable, std::uint32_t max_runs) {
  RouteRule route;
  route.kind = RequestKind::kStream;
  route.resumable = resumable;
  route.max_runs = max_runs;
  return route;
}

TEST_CASE("a request is retried only where that is safe") {
  AttemptTracker tracker;
  const base::Duration time_left = seconds(3);
  SECTION("a request that didn't run is sent to another endpoint") {
    const auto route = MakeStream(false, 1);
    CHECK(tracker.OnAttemptEnd(route, AttemptOutcome::kNotRun, false,
                               time_left) == NextStep::kRetry);
    CHECK_FALSE(tracker.may_have_run());
    SECTION("a limited number of times, then it is refused as not run") {
      auto step = NextStep::kRetry;
      for (int i = 0; i < 10 && step == NextStep::kRetry; ++i) {
        step = tracker.OnAttemptEnd(route, AttemptOutcome::kNotRun, false,
                                    time_left);
      }
      CHECK(step == NextStep::kRefuse);
      CHECK(tracker.attempt_count() == kMaxNotRunAttempts);
    }
  }
  SECTION("a request that may have run and must not run twice fails") {
    const auto route = MakeStream(false, 2);
    CHECK(tracker.OnAttemptEnd(route, AttemptOutcome::kUnknown, false,
                               time_left) == NextStep::kFail);
  }
  SECTION("a response that reports an endpoint failure is delivered") {
    const auto route = MakeStream(false, 2);
    CHECK(tracker.OnAttemptEnd(route, AttemptOutcome::kFailed, false,
                               time_left) == NextStep::kDeliver);
  }
  SECTION("a resumable stream runs at up to max_runs endpoints") {
    const auto route = MakeStream(true, 2);
    CHECK(tracker.OnAttemptEnd(route, AttemptOutcome::kUnknown, true,
                               time_left) == NextStep::kRetry);
    SECTION("and is aborted after the last of them") {
      CHECK(tracker.OnAttemptEnd(route, AttemptOutcome::kUnknown, true,
                                 time_left) == NextStep::kAbort);
    }
    SECTION("attempts that didn't run don't count as runs") {
      CHECK(tracker.OnAttemptEnd(route, AttemptOutcome::kNotRun, true,
                                 time_left) == NextStep::kRetry);
    }
  }
  SECTION("whether it may is known before an attempt is given up") {
    const auto route = MakeStream(true, 2);
    CHECK(tracker.MayRetryLostAttempt(route, time_left));
    CHECK_FALSE(tracker.MayRetryLostAttempt(route, milliseconds(5)));
    CHECK_FALSE(tracker.MayRetryLostAttempt(MakeStream(false, 2), time_left));
    tracker.OnAttemptEnd(route, AttemptOutcome::kNotRun, false, time_left);
    CHECK(tracker.MayRetryLostAttempt(route, time_left));
    tracker.OnAttemptEnd(route, AttemptOutcome::kUnknown, false, time_left);
    CHECK_FALSE(tracker.MayRetryLostAttempt(route, time_left));
  }
  SECTION("refusals don't end one whose attempt was abandoned") {
    const auto route = MakeStream(true, 2);
    tracker.OnAttemptAbandoned();
    tracker.OnAttemptEnd(route, AttemptOutcome::kUnknown, true, time_left);
    for (std::uint32_t i = 0; i < 2 * kMaxNotRunAttempts; ++i) {
      CHECK(tracker.IsRefusedOften() == (i >= kMaxNotRunAttempts));
      CHECK(tracker.OnAttemptEnd(route, AttemptOutcome::kNotRun, true,
                                 time_left) == NextStep::kRetry);
    }
    CHECK(tracker.OnAttemptEnd(route, AttemptOutcome::kNotRun, true,
                               milliseconds(5)) == NextStep::kAbort);
  }
  SECTION("a request that may have run isn't refused as not run") {
    const auto route = MakeStream(true, 3);
    tracker.OnAttemptEnd(route, AttemptOutcome::kUnknown, false, time_left);
    CHECK(tracker.OnAttemptEnd(route, AttemptOutcome::kNotRun, false,
                               milliseconds(5)) == NextStep::kFail);
  }
  SECTION("no attempt is made without enough time") {
    const auto route = MakeStream(true, 3);
    CHECK(tracker.OnAttemptEnd(route, AttemptOutcome::kNotRun, false,
                               milliseconds(5)) == NextStep::kRefuse);
  }
  SECTION("a response is delivered") {
    CHECK(tracker.OnAttemptEnd(MakeStream(true, 3), AttemptOutcome::kResponded,
                               true, time_left) == NextStep::kDeliver);
  }
}

TEST_CASE("a refused caller has time to retry") {
  RouteRule route;
  route.latency_objective = milliseconds(300);
  const base::Instant arrived(seconds(5));
  SECTION("the refusal is sent within a quarter of the latency objective") {
    CHECK(CapacityWaitDeadline(arrived, route) - arrived < milliseconds(75));
  }
  SECTION("retries are spread over the time in which slots are freed") {
    base::Duration shortest = seconds(100);
    base::Duration longest{0};
    for (std::uint64_t random = 0; random < 2'000'000; random += 9973) {
      shortest = std::min(shortest, RefusalRetryAfter(random));
      longest = std::max(longest, RefusalRetryAfter(random));
    }
    CHECK(shortest >= milliseconds(300));
    CHECK(longest - shortest > milliseconds(400));
  }
}

// Guards against requests that are refused for good after a restart of all
// daemons, whose clients retry once, at another daemon that knows as little.
TEST_CASE("a request waits for a daemon that has just started") {
  const base::Instant started(std::chrono::seconds(100));
  const auto arrived = started + milliseconds(100);
  CHECK(StartWaitDeadline(started, arrived, {}) == arrived + milliseconds(500));
  SECTION("for a part of its timeout at most") {
    CHECK(StartWaitDeadline(started, arrived, milliseconds(1000)) ==
          arrived + milliseconds(200));
  }
  SECTION("not at one that can't reach the store") {
    CHECK(StartWaitDeadline(started, started + milliseconds(1400), {}) ==
          started + milliseconds(1500));
    const auto late = started + milliseconds(1600);
    CHECK(StartWaitDeadline(started, late, {}) == late);
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
