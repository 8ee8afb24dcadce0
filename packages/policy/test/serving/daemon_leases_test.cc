#include "gypsumtrack/policy/serving/daemon_leases.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::policy {
namespace {

using std::chrono::seconds;

const base::Instant kStart(seconds(50));

TEST_CASE("a daemon that stops its heartbeats loses its lease") {
  DaemonLeases leases({});
  const base::VmId vm{"vm-1", 7};
  SECTION("no lease is lost or held before the first read") {
    CHECK_FALSE(leases.HasLostLease(vm));
    CHECK(leases.Holders().empty());
  }
  SECTION("a daemon holds its lease while its row changes") {
    for (int i = 0; i < 10; ++i) {
      leases.Observe({{vm, static_cast<std::uint64_t>(i) + 1}},
                     kStart + seconds(i));
    }
    CHECK_FALSE(leases.HasLostLease(vm));
    CHECK(leases.Holders().size() == 1);
  }
  SECTION("a daemon whose row no longer changes loses its lease") {
    for (int i = 0; i < 5; ++i) leases.Observe({{vm, 1}}, kStart + seconds(i));
    CHECK(leases.HasLostLease(vm));
    CHECK(leases.Holders().empty());
  }
  SECTION("it may serve until the end of the grace period") {
    for (int i = 0; i < 5; ++i) leases.Observe({{vm, 1}}, kStart + seconds(i));
    CHECK(leases.MayServe(vm));
    for (int i = 5; i < 7; ++i) leases.Observe({{vm, 1}}, kStart + seconds(i));
    CHECK_FALSE(leases.MayServe(vm));
  }
  SECTION("a daemon whose row is removed loses its lease at once") {
    leases.Observe({{vm, 1}}, kStart);
    leases.Observe({}, kStart + seconds(1));
    CHECK(leases.HasLostLease(vm));
  }
  SECTION("a row of a later incarnation ends the lease of the earlier one") {
    leases.Observe({{{"vm-1", 8}, 1}}, kStart);
    CHECK(leases.HasLostLease(vm));
    CHECK_FALSE(leases.HasLostLease({"vm-1", 8}));
  }
  SECTION("leases start anew after an outage of the store") {
    leases.Observe({{vm, 1}}, kStart);
    leases.Observe({{vm, 1}}, kStart + seconds(10));
    CHECK_FALSE(leases.HasLostLease(vm));
    for (int i = 11; i < 13; ++i) {
      leases.Observe({{vm, 1}}, kStart + seconds(i));
    }
    CHECK_FALSE(leases.HasLostLease(vm));
    leases.Observe({{vm, 1}}, kStart + seconds(13));
    CHECK(leases.HasLostLease(vm));
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
