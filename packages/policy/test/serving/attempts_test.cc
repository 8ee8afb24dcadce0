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

TEST_CASE("a request is sent again only where that does no harm") {
  AttemptTracker attempts;
  const base::Duration left = seconds(3);
  SECTION("one that surely didn't run goes to another endpoint") {
    const auto route = MakeStream(false, 1);
    CHECK(attempts.OnAttemptEnd(route, AttemptOutcome::kNotRun, false, left) ==
          NextStep::kRetry);
    CHECK_FALSE(attempts.may_have_run());
    SECTION("a bounded number of times, then it is refused as not run") {
      auto step = NextStep::kRetry;
      for (int i = 0; i < 10 && step == NextStep::kRetry; ++i) {
        step =
            attempts.OnAttemptEnd(route, AttemptOutcome::kNotRun, false, left);
      }
      CHECK(step == NextStep::kRefuse);
      CHECK(attempts.attempt_count() == kMaxNotRunAttempts);
    }
  }
  SECTION("one that may have run and must not run twice fails") {
    const auto route = MakeStream(false, 2);
    CHECK(attempts.OnAttemptEnd(route, AttemptOutcome::kUnknown, false, left) ==
          NextStep::kFail);
  }
  SECTION("a failure of the endpoint's own is delivered") {
    const auto route = MakeStream(false, 2);
    CHECK(attempts.OnAttemptEnd(route, AttemptOutcome::kFailed, false, left) ==
          NextStep::kDeliver);
  }
  SECTION("a stream that may be resumed goes on at as many as are allowed") {
    const auto route = MakeStream(true, 2);
    CHECK(attempts.OnAttemptEnd(route, AttemptOutcome::kUnknown, true, left) ==
          NextStep::kRetry);
    SECTION("and no more") {
      CHECK(attempts.OnAttemptEnd(route, AttemptOutcome::kUnknown, true,
                                  left) == NextStep::kAbort);
    }
    SECTION("a refusal in between isn't a run") {
      CHECK(attempts.OnAttemptEnd(route, AttemptOutcome::kNotRun, true, left) ==
            NextStep::kRetry);
    }
  }
  SECTION("after one that may have run, a refusal promises nothing") {
    const auto route = MakeStream(true, 3);
    attempts.OnAttemptEnd(route, AttemptOutcome::kUnknown, false, left);
    CHECK(attempts.OnAttemptEnd(route, AttemptOutcome::kNotRun, false,
                                milliseconds(5)) == NextStep::kFail);
  }
  SECTION("without time nothing is sent") {
    const auto route = MakeStream(true, 3);
    CHECK(attempts.OnAttemptEnd(route, AttemptOutcome::kNotRun, false,
                                milliseconds(5)) == NextStep::kRefuse);
  }
  SECTION("an answer is delivered") {
    CHECK(attempts.OnAttemptEnd(MakeStream(true, 3), AttemptOutcome::kResponded,
                                true, left) == NextStep::kDeliver);
  }
}

TEST_CASE("a refused caller has time to come back") {
  RouteRule route;
  route.latency_objective = milliseconds(300);
  const base::Instant arrived(seconds(5));
  SECTION("the refusal comes within a quarter of the objective") {
    CHECK(CapacityWaitDeadline(arrived, route) - arrived < milliseconds(75));
  }
  SECTION("callers are spread over the time in which room comes") {
    base::Duration least = seconds(100);
    base::Duration most{0};
    for (std::uint64_t dice = 0; dice < 2'000'000; dice += 9973) {
      least = std::min(least, RefusalRetryAfter(dice));
      most = std::max(most, RefusalRetryAfter(dice));
    }
    CHECK(least >= milliseconds(300));
    CHECK(most - least > milliseconds(400));
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
