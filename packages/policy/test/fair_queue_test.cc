#include "gypsumtrack/policy/fair_queue.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <string>

namespace gypsumtrack::policy {
namespace {

using base::Instant;
using base::Organisation;

const Organisation kHeavyOrganisation("heavy");
const Organisation kLightOrganisation("light");
constexpr base::Duration kTimePerRequest = std::chrono::milliseconds(10);

/// Returns how many requests of kLightOrganisation are among the first
/// `served`, when kHeavyOrganisation queued `heavy_count` requests before them.
std::uint32_t LightRequestsServed(const FairQueueOptions& options,
                                  std::uint64_t heavy_count,
                                  std::uint64_t light_count,
                                  std::uint64_t served) {
  FairQueue queue(options);
  std::uint64_t id = 0;
  for (std::uint64_t i = 0; i < heavy_count; ++i)
    queue.Push({id++, kHeavyOrganisation}, {}, {});
  const auto first_light = id;
  for (std::uint64_t i = 0; i < light_count; ++i)
    queue.Push({id++, kLightOrganisation}, {}, {});
  std::uint32_t count = 0;
  for (std::uint64_t i = 0; i < served; ++i) {
    const auto popped = queue.Pop();
    if (popped && *popped >= first_light) count++;
  }
  return count;
}

TEST_CASE("one organisation queues many requests before another") {
  rc::prop("the other is served in every second turn", [] {
    const auto light_count = *rc::gen::inRange<std::uint64_t>(1, 20);
    const auto heavy_count = *rc::gen::inRange<std::uint64_t>(light_count, 400);
    RC_ASSERT(LightRequestsServed({}, heavy_count, light_count,
                                  2 * light_count) >= light_count - 1);
  });
  SECTION("in order of arrival it is served last") {
    FairQueueOptions arrival_order;
    arrival_order.fair = false;
    CHECK(LightRequestsServed(arrival_order, 400, 20, 40) == 0);
    CHECK(LightRequestsServed({}, 400, 20, 40) >= 19);
  }
}

TEST_CASE("the queue is full of one organisation's requests") {
  FairQueueOptions options;
  options.max_requests = 8;
  FairQueue queue(options);
  for (std::uint64_t id = 0; id < 8; ++id)
    queue.Push({id, kHeavyOrganisation}, {}, {});
  SECTION("its own next request is refused") {
    CHECK_FALSE(queue.Push({9, kHeavyOrganisation}, {}, {}).accepted);
  }
  SECTION("a request of another organisation evicts its last one") {
    const auto decision = queue.Push({9, kLightOrganisation}, {}, {});
    CHECK(decision.accepted);
    CHECK(decision.evicted == 7);
    CHECK(queue.size() == 8);
  }
}

TEST_CASE("a request that can't be served by its deadline is refused at once") {
  FairQueue queue({});
  for (std::uint64_t id = 0; id < 10; ++id) {
    queue.Push({id, kHeavyOrganisation}, kTimePerRequest, Instant());
  }
  const QueuedRequest late{11, kHeavyOrganisation, 1,
                           Instant(kTimePerRequest * 5)};
  const auto decision = queue.Push(late, kTimePerRequest, Instant());
  CHECK_FALSE(decision.accepted);
  CHECK(decision.retry_at == Instant(kTimePerRequest * 11));
  CHECK(queue
            .Push({12, kHeavyOrganisation, 1, Instant(kTimePerRequest * 50)},
                  kTimePerRequest, Instant())
            .accepted);
}

TEST_CASE("organisations are served in proportion to their shares") {
  FairQueue queue({});
  for (std::uint64_t id = 0; id < 30; ++id) {
    queue.Push({id, kLightOrganisation, 2}, {}, {});
    queue.Push({100 + id, kHeavyOrganisation, 1}, {}, {});
  }
  for (int i = 0; i < 30; ++i) queue.Pop();
  CHECK(queue.CountFor(kLightOrganisation) == 10);
  CHECK(queue.CountFor(kHeavyOrganisation) == 20);
}

}  // namespace
}  // namespace gypsumtrack::policy
