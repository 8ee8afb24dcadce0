#include "../../src/serving/job_janitor.h"

#include <catch2/catch.hpp>
#include <string>

#include "gypsumtrack/testing/memory_row_store.h"
#include "run_coroutine.h"

namespace gypsumtrack::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

const JobKey kKey{base::Organisation("club"), base::JobId("j1")};
constexpr base::Duration kKeep = minutes(6);
constexpr base::StoreMillis kMinute = 60'000;

/// A store in which a job of `items` items was accepted at the start, and all
/// its results listed, each too large for a row.
class JanitorFixture {
 public:
  explicit JanitorFixture(std::size_t items) {
    for (std::size_t i = 0; i < items; ++i) {
      SubmittedItem item;
      item.id = "item-" + std::to_string(i);
      this->items.push_back(item);
    }
    const std::string submission(100'000, 's');
    this->rows.SetTime(kMinute);
    const auto accepted = RunCoroutine(
        AcceptJob(this->store, kKey, "sheets", this->items, submission, 0,
                  this->Soon(), [] { return true; }));
    REQUIRE(accepted.owner_version != 0);
    this->job = std::make_shared<OwnedJob>(
        OwnedJob{kKey, accepted.row, this->items,
                 policy::JobRun(ToJobItems(this->items), {}, {}),
                 accepted.owner_version});
    this->ListResults();
  }

  void Finish() {
    REQUIRE(RunCoroutine(FinishJob(this->store, *this->job)) ==
            CommitEnd::kListed);
  }

  JanitorPass Clean() {
    return RunCoroutine(RemoveOldJobs(this->store, kKeep));
  }

  std::size_t RowsOf(const char* table) const {
    return this->rows.Table(table).size();
  }

  testing::MemoryRowStore rows;

 private:
  void ListResults() {
    const base::Instant now(minutes(1));
    const std::string output(100'000, 'x');
    while (const auto start = this->job->run.StartNextItem(now)) {
      this->job->run.OnEvent(start->index, {"", 1, output});
      this->job->run.OnRunEnd(start->index, policy::ItemRunOutcome::kComplete,
                              now);
      const auto listed = RunCoroutine(CommitResults(
          this->store, *this->job, this->job->run.UnlistedResults(1)));
      this->job->run.OnResultsListed(listed.count);
    }
  }

  base::Instant Soon() const { return this->clock.now() + milliseconds(400); }

  base::RowStore client = this->rows.Client();
  base::Clock clock = base::SystemClock();
  JobStore store{this->client, this->clock, {"vm-1", 1}};
  std::vector<SubmittedItem> items;
  OwnedJobPtr job;
};

TEST_CASE("what a job has left goes some time after it") {
  constexpr std::size_t kItems = 120;
  JanitorFixture fixture(kItems);
  REQUIRE(fixture.RowsOf(layout::kResultTable) == kItems);
  REQUIRE(fixture.rows.object_count() == kItems + 1);
  SECTION("an open job keeps all, however old it is") {
    fixture.rows.SetTime(100 * kMinute);
    CHECK(fixture.Clean().removed == 0);
    CHECK(fixture.RowsOf(layout::kResultTable) == kItems);
    CHECK(fixture.rows.object_count() == kItems + 1);
  }
  SECTION("a finished one keeps its results for a while") {
    fixture.Finish();
    fixture.rows.SetTime(6 * kMinute);
    CHECK(fixture.Clean().removed == 0);
    CHECK(fixture.RowsOf(layout::kResultTable) == kItems);
  }
  SECTION("after that nothing of it is left") {
    fixture.Finish();
    fixture.rows.SetTime(8 * kMinute);
    CHECK(fixture.Clean().removed == 1);
    for (const auto* table :
         {layout::kJobTable, layout::kSubmissionTable, layout::kResultTable,
          layout::kPartialTable, layout::kOwnerTable}) {
      CHECK(fixture.RowsOf(table) == 0);
    }
    // The route's own row stays.
    CHECK(fixture.RowsOf(layout::kBacklogTable) == 1);
    CHECK(fixture.rows.object_count() == 0);
  }
  SECTION("a pass that was interrupted is finished by the next") {
    fixture.Finish();
    fixture.rows.SetTime(8 * kMinute);
    fixture.rows.SetFaults({.lose_answers = 1});
    CHECK(fixture.Clean().removed == 0);
    CHECK(fixture.RowsOf(layout::kJobTable) == 1);
    CHECK(fixture.Clean().removed == 1);
    CHECK(fixture.RowsOf(layout::kResultTable) == 0);
  }
  SECTION("while the store is down nothing happens") {
    fixture.Finish();
    fixture.rows.SetTime(8 * kMinute);
    fixture.rows.SetFaults({.down = true});
    CHECK(fixture.Clean().failures == 1);
    fixture.rows.SetFaults({});
    CHECK(fixture.RowsOf(layout::kJobTable) == 1);
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
