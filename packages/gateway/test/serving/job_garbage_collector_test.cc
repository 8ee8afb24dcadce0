#include "../../src/serving/job_garbage_collector.h"

#include <catch2/catch.hpp>
#include <string>

#include "gypsumtrack/testing/memory_row_store.h"
#include "run_coroutine.h"

namespace gypsumtrack::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

const JobKey kKey{base::Organisation("club"), base::JobId("j1")};
/// The endpoints at which the items run.
const policy::OutputOrigin kOrigin{base::Service("s1"), "v1"};
constexpr base::Duration kKeep = minutes(6);
constexpr base::StoreMillis kMinute = 60'000;

/// A store with one job of `item_count` items that was accepted after one
/// minute of the store's time. All results are committed, each with an output
/// that is too large for a row.
class GarbageCollectionFixture {
 public:
  explicit GarbageCollectionFixture(std::size_t item_count) {
    for (std::size_t i = 0; i < item_count; ++i) {
      SubmittedItem item;
      item.id = "item-" + std::to_string(i);
      this->items.push_back(item);
    }
    const std::string submission(100'000, 's');
    this->rows.SetTime(kMinute);
    const auto accepted = RunCoroutine(
        AcceptJob(this->store, kKey, "sheets", this->items, submission, 0,
                  this->Deadline(), [] { return true; }));
    REQUIRE(accepted.owner_version != 0);
    this->job = std::make_shared<OwnedJob>(
        OwnedJob{kKey, accepted.row, this->items,
                 policy::JobRun(ToJobItems(this->items), {}, {}),
                 accepted.owner_version});
    this->CommitAllResults();
  }

  void Finish() {
    REQUIRE(RunCoroutine(FinishJob(this->store, *this->job)) ==
            CommitOutcome::kCommitted);
  }

  JobGarbageCollectionPass RunPass() {
    return RunCoroutine(RemoveExpiredJobs(this->store, kKeep));
  }

  std::size_t CountRows(const char* table) const {
    return this->rows.Table(table).size();
  }

  testing::MemoryRowStore rows;

 private:
  void CommitAllResults() {
    const base::Instant now(minutes(1));
    const std::string output(100'000, 'x');
    while (const auto start = this->job->run.StartNextItem(kOrigin, now)) {
      this->job->run.OnEvent(start->index, {"", 1, output});
      this->job->run.OnRunEnd(start->index, policy::ItemRunOutcome::kComplete,
                              now);
      const auto commit = RunCoroutine(CommitResults(
          this->store, *this->job, this->job->run.UnlistedResults(1)));
      this->job->run.OnResultsListed(commit.count);
    }
  }

  base::Instant Deadline() const {
    return this->clock.now() + milliseconds(400);
  }

  base::RowStore client = this->rows.Client();
  base::Clock clock = base::SystemClock();
  JobStore store{this->client, this->clock, {"vm-1", 1}};
  std::vector<SubmittedItem> items;
  OwnedJobPtr job;
};

TEST_CASE("rows and objects of an expired job are removed") {
  constexpr std::size_t kItemCount = 120;
  GarbageCollectionFixture fixture(kItemCount);
  REQUIRE(fixture.CountRows(layout::kResultTable) == kItemCount);
  REQUIRE(fixture.rows.object_count() == kItemCount + 1);
  SECTION("a job with an owner is kept, however old it is") {
    fixture.rows.SetTime(100 * kMinute);
    CHECK(fixture.RunPass().removed == 0);
    CHECK(fixture.CountRows(layout::kResultTable) == kItemCount);
    CHECK(fixture.rows.object_count() == kItemCount + 1);
  }
  SECTION("a finished job is kept until it expires") {
    fixture.Finish();
    fixture.rows.SetTime(6 * kMinute);
    CHECK(fixture.RunPass().removed == 0);
    CHECK(fixture.CountRows(layout::kResultTable) == kItemCount);
  }
  SECTION("an expired finished job is removed whole") {
    fixture.Finish();
    fixture.rows.SetTime(8 * kMinute);
    CHECK(fixture.RunPass().removed == 1);
    for (const auto* table :
         {layout::kJobTable, layout::kSubmissionTable, layout::kResultTable,
          layout::kPartialTable, layout::kOwnerTable}) {
      CHECK(fixture.CountRows(table) == 0);
    }
    // The route's row remains.
    CHECK(fixture.CountRows(layout::kBacklogTable) == 1);
    CHECK(fixture.rows.object_count() == 0);
  }
  SECTION("the next pass finishes an interrupted one") {
    fixture.Finish();
    fixture.rows.SetTime(8 * kMinute);
    fixture.rows.SetFaults({.lose_answers = 1});
    CHECK(fixture.RunPass().removed == 0);
    CHECK(fixture.CountRows(layout::kJobTable) == 1);
    CHECK(fixture.RunPass().removed == 1);
    CHECK(fixture.CountRows(layout::kResultTable) == 0);
  }
  SECTION("nothing is removed while the store is down") {
    fixture.Finish();
    fixture.rows.SetTime(8 * kMinute);
    fixture.rows.SetFaults({.down = true});
    CHECK(fixture.RunPass().failures == 1);
    fixture.rows.SetFaults({});
    CHECK(fixture.CountRows(layout::kJobTable) == 1);
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
