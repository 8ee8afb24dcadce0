#include "gypsumtrack/policy/serving/job_owners.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::Instant kStart(seconds(10));
const base::VmId kSelf{"vm-1", 1};
const base::VmId kOther{"vm-2", 1};

JobKey Job(const std::string& id) {
  return {base::Organisation("club"), base::JobId(id)};
}

LeaseView AllAlive() {
  return {[](const base::VmId&) { return false; }, {kSelf, kOther}};
}

TEST_CASE("a daemon stops a job that isn't its own any more") {
  JobOwners owners(kSelf);
  owners.OnAcquired(Job("a"), 10, kStart);
  SECTION("when another daemon has taken it over") {
    const auto lost = owners.ApplyRow({Job("a"), kOther, 12}, kStart);
    CHECK(lost ==
          std::vector{LostJob{Job("a"), JobLossReason::kOwnedElsewhere}});
  }
  SECTION("when its row is removed, since the job was ended") {
    CHECK(owners.ApplyRemoval(Job("a")) ==
          std::vector{LostJob{Job("a"), JobLossReason::kEnded}});
  }
  SECTION("when the store forgot its history and the row is gone") {
    // The end itself can't be seen in the feed any more.
    CHECK(owners.ApplySnapshot({}, 20, kStart) ==
          std::vector{LostJob{Job("a"), JobLossReason::kEnded}});
  }
  SECTION("but not for a snapshot that is older than its acceptance") {
    CHECK(owners.ApplySnapshot({}, 9, kStart).empty());
    CHECK(owners.ApplySnapshot({}, 11, kStart).size() == 1);
  }
  SECTION("nor for its own row") {
    CHECK(owners.ApplyRow({Job("a"), kSelf, 10}, kStart).empty());
    CHECK(owners.ApplySnapshot({{Job("a"), kSelf, 10}}, 20, kStart).empty());
  }
}

TEST_CASE("a job without a living owner falls to one daemon") {
  JobOwners owners(kSelf);
  JobOwners others(kOther);
  for (auto* each : {&owners, &others}) {
    each->ApplySnapshot({{Job("a"), {"vm-3", 1}, 5},
                         {Job("b"), {"vm-3", 1}, 6},
                         {Job("c"), {"vm-3", 1}, 7},
                         {Job("d"), {"", 0}, 8}},
                        9, kStart);
  }
  SECTION("none does while the owner holds its lease, but what has no owner") {
    const auto here = owners.OrphansToAdopt(AllAlive(), kStart).size();
    const auto there = others.OrphansToAdopt(AllAlive(), kStart).size();
    CHECK(here + there == 1);
  }
  SECTION("once the lease is lost each falls to exactly one") {
    auto view = AllAlive();
    view.is_lost = [](const base::VmId& vm) { return vm.name == "vm-3"; };
    const auto here = owners.OrphansToAdopt(view, kStart);
    const auto there = others.OrphansToAdopt(view, kStart);
    CHECK(here.size() + there.size() == 4);
    for (const auto& a : here) {
      for (const auto& b : there) CHECK(a.key != b.key);
    }
  }
  SECTION("a daemon that isn't sure of its own lease takes none") {
    auto view = AllAlive();
    view.is_lost = [](const base::VmId&) { return true; };
    view.holders = {kOther};
    CHECK(owners.OrphansToAdopt(view, kStart).empty());
  }
}

TEST_CASE(
    "a job accepted by a call whose answer was lost is run all the same") {
  JobOwners owners(kSelf);
  owners.ApplyRow({Job("a"), kSelf, 5}, kStart);
  CHECK(owners.OrphansToAdopt(AllAlive(), kStart + seconds(1)).empty());
  CHECK(owners.OrphansToAdopt(AllAlive(), kStart + seconds(2)).size() == 1);
  SECTION("unless it is running by then") {
    owners.OnAcquired(Job("a"), 5, kStart + seconds(1));
    CHECK(owners.OrphansToAdopt(AllAlive(), kStart + seconds(2)).empty());
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
