#include "gypsumtrack/policy/fair_queue.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <string>

namespace gypsumtrack::policy {
namespace {

using base::Instant;
using base::Organisation;

const Organisation kFlood("flood");
const Organisation kCalm("calm");
constexpr base::Duration kEach = std::chrono::milliseconds(10);

/// Requests of kCalm served among the first `served`, when kFlood came first
/// with `flood` requests.
std::uint32_t CalmServed(const FairQueueOptions& options, std::uint64_t flood,
                         std::uint64_t calm, std::uint64_t served) {
  FairQueue queue(options);
  std::uint64_t id = 0;
  for (std::uint64_t i = 0; i < flood; ++i) queue.Push({id++, kFlood}, {}, {});
  const auto first_calm = id;
  for (std::uint64_t i = 0; i < calm; ++i) queue.Push({id++, kCalm}, {}, {});
  std::uint32_t count = 0;
  for (std::uint64_t i = 0; i < served; ++i) {
    const auto popped = queue.Pop();
    if (popped && *popped >= first_calm) count++;
  }
  return count;
}

TEST_CASE("one organisation floods the queue") {
  rc::prop("another gets half of the turns that it needs", [] {
    const auto calm = *rc::gen::inRange<std::uint64_t>(1, 20);
    const auto flood = *rc::gen::inRange<std::uint64_t>(calm, 400);
    RC_ASSERT(CalmServed({}, flood, calm, 2 * calm) >= calm - 1);
  });
  SECTION("in order of arrival it would get none") {
    FairQueueOptions unfair;
    unfair.fair = false;
    CHECK(CalmServed(unfair, 400, 20, 40) == 0);
    CHECK(CalmServed({}, 400, 20, 40) >= 19);
  }
}

TEST_CASE("the queue is full of one organisation's requests") {
  FairQueueOptions options;
  options.max_requests = 8;
  FairQueue queue(options);
  for (std::uint64_t id = 0; id < 8; ++id) queue.Push({id, kFlood}, {}, {});
  SECTION("its own next request is refused") {
    CHECK_FALSE(queue.Push({9, kFlood}, {}, {}).accepted);
  }
  SECTION("another's takes the place of its last") {
    const auto verdict = queue.Push({9, kCalm}, {}, {});
    CHECK(verdict.accepted);
    CHECK(verdict.evicted == 7);
    CHECK(queue.size() == 8);
  }
}

TEST_CASE("a request that can't be served by its deadline is refused at once") {
  FairQueue queue({});
  for (std::uint64_t id = 0; id < 10; ++id) {
    queue.Push({id, kFlood}, kEach, Instant());
  }
  const QueuedRequest late{11, kFlood, 1, Instant(kEach * 5)};
  const auto verdict = queue.Push(late, kEach, Instant());
  CHECK_FALSE(verdict.accepted);
  CHECK(verdict.retry_at == Instant(kEach * 11));
  CHECK(queue.Push({12, kFlood, 1, Instant(kEach * 50)}, kEach, Instant())
            .accepted);
}

TEST_CASE("shares weigh") {
  FairQueue queue({});
  for (std::uint64_t id = 0; id < 30; ++id) {
    queue.Push({id, kCalm, 2}, {}, {});
    queue.Push({100 + id, kFlood, 1}, {}, {});
  }
  for (int i = 0; i < 30; ++i) queue.Pop();
  CHECK(queue.CountOf(kCalm) == 10);
  CHECK(queue.CountOf(kFlood) == 20);
}

}  // namespace
}  // namespace gypsumtrack::policy
