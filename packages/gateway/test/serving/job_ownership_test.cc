#include "../../src/serving/job_ownership.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::gateway {
namespace {

using std::chrono::seconds;

constexpr base::Instant kNow(seconds(1000));
const policy::OutputOrigin kOrigin{base::Service("clocks"), "v1"};

/// A job of the items "a" and "b" that was accepted 20 s before it was read.
AcquiredJob MakeAcquiredJob(const policy::RouteRule* route) {
  AcquiredJob acquired;
  acquired.key = {base::Organisation("club"), base::JobId("j1")};
  acquired.found.row.accepted_at = 50'000;
  acquired.found.store_time = 70'000;
  acquired.items.resize(2);
  acquired.items[0].id = "a";
  acquired.items[1].id = "b";
  acquired.owner_version = 7;
  acquired.route = route;
  return acquired;
}

policy::RouteRule MakeRoute() {
  policy::RouteRule route;
  route.due_after = seconds(60);
  route.give_up_after = seconds(300);
  route.max_runs = 1;
  return route;
}

TEST_CASE("the deadlines of an acquired job count from its acceptance") {
  const auto route = MakeRoute();
  const auto job = MakeOwnedJob(MakeAcquiredJob(&route), kNow, nullptr);
  CHECK(job->due == kNow + seconds(40));
  CHECK(job->give_up_at == kNow + seconds(280));
  SECTION("a job whose route was removed has none") {
    const auto without_route =
        MakeOwnedJob(MakeAcquiredJob(nullptr), kNow, nullptr);
    CHECK(without_route->due == base::kNever);
    CHECK(without_route->give_up_at == base::kNever);
  }
}

TEST_CASE("an acquired job runs the items that are left") {
  const auto route = MakeRoute();
  auto acquired = MakeAcquiredJob(&route);
  SECTION("all if it was just accepted") {
    const auto job = MakeOwnedJob(acquired, kNow, nullptr);
    CHECK(job->items.size() == 2);
    CHECK(job->owner_version == 7);
    CHECK(job->run.waiting_count() == 2);
  }
  SECTION("none whose result is committed") {
    acquired.listed_ids = {"a"};
    const auto job = MakeOwnedJob(acquired, kNow, nullptr);
    REQUIRE(job->run.waiting_count() == 1);
    CHECK(job->run.StartNextItem(kOrigin, kNow)->index == 1);
  }
  SECTION("from the output that the previous owner saved") {
    acquired.partials = {{"b", 5, 5, "half", kOrigin}};
    const auto job = MakeOwnedJob(acquired, kNow, nullptr);
    const auto start = job->run.StartNextItem(kOrigin, kNow);
    REQUIRE(start);
    CHECK(start->index == 1);
    CHECK(start->after_event == 5);
  }
  SECTION("as often as its route allows") {
    const auto job = MakeOwnedJob(acquired, kNow, nullptr);
    const auto start = job->run.StartNextItem(kOrigin, kNow);
    job->run.OnRunEnd(start->index, policy::ItemRunOutcome::kFailed, kNow);
    CHECK(job->run.waiting_count() == 1);
    CHECK(job->run.UnlistedResults(2).size() == 1);
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
