#include "gypsumtrack/policy/serving/job_owners.h"

#include <catch2/catch.hpp>
#include <optional>

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::Instant kStart(seconds(10));
const base::VmId kSelf{"vm-1", 1};
const base::VmId kOther{"vm-2", 1};

JobKey MakeKey(const std::string& id) {
  return {base::Organisation("club"), base::JobId(id)};
}

LeaseView AllLeasesHeld() {
  return {[](const base::VmId&) { return false; },
          [](const base::VmId&) {
            return std::vector{kSelf, kOther};
          }};
}

TEST_CASE("a daemon stops a job that it no longer owns") {
  JobOwners owners(kSelf);
  owners.OnAcquired(MakeKey("a"), 10, kStart);
  SECTION("when another daemon has taken the job over") {
    const auto lost = owners.ApplyRow({MakeKey("a"), kOther, 12}, kStart);
    CHECK(lost ==
          std::vector{LostJob{MakeKey("a"), JobLossReason::kOwnedElsewhere}});
  }
  SECTION("when the row was removed because the job ended") {
    CHECK(owners.ApplyRemoval(MakeKey("a")) ==
          std::vector{LostJob{MakeKey("a"), JobLossReason::kEnded}});
  }
  SECTION("when the change feed lost its history and the row was removed") {
    // The feed no longer contains the removal, so only a snapshot shows it.
    CHECK(owners.ApplySnapshot({}, 20, kStart) ==
          std::vector{LostJob{MakeKey("a"), JobLossReason::kEnded}});
  }
  SECTION("but not for a snapshot older than its own acceptance") {
    CHECK(owners.ApplySnapshot({}, 9, kStart).empty());
    CHECK(owners.ApplySnapshot({}, 11, kStart).size() == 1);
  }
  SECTION("but not for its own row") {
    CHECK(owners.ApplyRow({MakeKey("a"), kSelf, 10}, kStart).empty());
    CHECK(
        owners.ApplySnapshot({{MakeKey("a"), kSelf, 10}}, 20, kStart).empty());
  }
}

TEST_CASE("a job without a live owner is adopted by exactly one daemon") {
  JobOwners owners(kSelf);
  JobOwners other_owners(kOther);
  for (auto* each : {&owners, &other_owners}) {
    each->ApplySnapshot({{MakeKey("a"), {"vm-3", 1}, 5},
                         {MakeKey("b"), {"vm-3", 1}, 6},
                         {MakeKey("c"), {"vm-3", 1}, 7},
                         {MakeKey("d"), {"", 0}, 8}},
                        9, kStart);
  }
  SECTION("while the owner holds its lease only the job without an owner is") {
    const auto own_jobs = owners.OrphansToAdopt(AllLeasesHeld(), kStart).size();
    const auto other_jobs =
        other_owners.OrphansToAdopt(AllLeasesHeld(), kStart).size();
    CHECK(own_jobs + other_jobs == 1);
  }
  SECTION("once the lease is lost each job is adopted by exactly one") {
    auto view = AllLeasesHeld();
    view.is_lost = [](const base::VmId& vm) { return vm.name == "vm-3"; };
    const auto own_jobs = owners.OrphansToAdopt(view, kStart);
    const auto other_jobs = other_owners.OrphansToAdopt(view, kStart);
    CHECK(own_jobs.size() + other_jobs.size() == 4);
    for (const auto& a : own_jobs) {
      for (const auto& b : other_jobs) CHECK(a.key != b.key);
    }
  }
  SECTION("a daemon that isn't among the lease holders adopts none") {
    auto view = AllLeasesHeld();
    view.is_lost = [](const base::VmId&) { return true; };
    view.adopters = [](const base::VmId&) { return std::vector{kOther}; };
    CHECK(owners.OrphansToAdopt(view, kStart).empty());
  }
}

TEST_CASE("a job that changed its owner just now isn't adopted") {
  JobOwners owners(kSelf);
  owners.ApplySnapshot({}, 4, kStart);
  owners.ApplyRow({MakeKey("a"), {"vm-3", 2}, 5}, kStart);
  // The registration of the owner's new incarnation hasn't been read yet.
  LeaseView view;
  view.is_lost = [](const base::VmId&) { return true; };
  view.adopters = [](const base::VmId&) { return std::vector{kSelf}; };
  CHECK(owners.OrphansToAdopt(view, kStart + seconds(1)).empty());
  CHECK(owners.OrphansToAdopt(view, kStart + seconds(2)).size() == 1);
}

TEST_CASE("a job is run even if the response to its acceptance was lost") {
  JobOwners owners(kSelf);
  owners.ApplyRow({MakeKey("a"), kSelf, 5}, kStart);
  CHECK(owners.OrphansToAdopt(AllLeasesHeld(), kStart + seconds(1)).empty());
  CHECK(owners.OrphansToAdopt(AllLeasesHeld(), kStart + seconds(2)).size() ==
        1);
  SECTION("unless it runs by then") {
    owners.OnAcquired(MakeKey("a"), 5, kStart + seconds(1));
    CHECK(owners.OrphansToAdopt(AllLeasesHeld(), kStart + seconds(2)).empty());
  }
}

TEST_CASE("a job that was lost while it was acquired isn't run") {
  // The store applied the acquisition as version 10; its response comes last.
  JobOwners owners(kSelf);
  owners.ApplySnapshot({}, 5, kStart);
  const auto acquire = [&] {
    return owners.OnAcquired(MakeKey("a"), 10, kStart);
  };
  const auto is_run = [&] {
    // A job that isn't run can't be lost once more.
    return !owners.ApplyRow({MakeKey("a"), kOther, 99}, kStart).empty();
  };
  SECTION("when it ended and the changes contain both") {
    owners.ApplyRow({MakeKey("a"), kSelf, 10}, kStart);
    owners.ApplyRemoval(MakeKey("a"));
    owners.OnChangesApplied(12);
    CHECK(acquire() == JobLossReason::kEnded);
    CHECK_FALSE(is_run());
  }
  SECTION("when it ended and a snapshot no longer contains it") {
    owners.ApplySnapshot({}, 12, kStart);
    CHECK(acquire() == JobLossReason::kEnded);
    CHECK_FALSE(is_run());
  }
  SECTION("when this daemon ended it for a caller") {
    owners.OnJobEnded(MakeKey("a"), 11);
    CHECK(acquire() == JobLossReason::kEnded);
    SECTION("also if older changes are read afterwards") {
      owners.ApplyRow({MakeKey("a"), kSelf, 10}, kStart);
      owners.OnChangesApplied(10);
      CHECK(acquire() == JobLossReason::kEnded);
      CHECK_FALSE(is_run());
    }
  }
  SECTION("when another daemon has taken it over") {
    owners.ApplyRow({MakeKey("a"), kOther, 11}, kStart);
    owners.OnChangesApplied(11);
    CHECK(acquire() == JobLossReason::kOwnedElsewhere);
    CHECK_FALSE(is_run());
  }
  SECTION("but it is when the changes don't reach that far yet") {
    owners.OnChangesApplied(9);
    CHECK(acquire() == std::nullopt);
    CHECK(is_run());
  }
  SECTION("but it is when nothing has happened to it") {
    owners.ApplyRow({MakeKey("a"), kSelf, 10}, kStart);
    owners.OnChangesApplied(12);
    CHECK(acquire() == std::nullopt);
    CHECK(is_run());
  }
}

TEST_CASE("a job that isn't run isn't taken over again either") {
  JobOwners owners(kSelf);
  owners.ApplySnapshot({}, 12, kStart);
  REQUIRE(owners.OnAcquired(MakeKey("a"), 10, kStart));
  CHECK(owners.OrphansToAdopt(AllLeasesHeld(), kStart + seconds(2)).empty());
}

}  // namespace
}  // namespace gypsumtrack::policy
