#include "../../src/serving/job_runner.h"

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "gypsumtrack/testing/memory_row_store.h"
#include "run_coroutine.h"
#include "serving_fixture.h"

namespace gypsumtrack::gateway {
namespace {

using std::chrono::seconds;

const JobKey kKey{base::Organisation("club"), base::JobId("j1")};
/// The endpoints at which the items run.
const policy::OutputOrigin kOrigin{base::Service("s1"), "v1"};

/// A runner that owns a job of two items, one of which runs at an endpoint. Its
/// loops aren't started, so that no time passes.
class JobRunnerFixture {
 public:
  JobRunnerFixture()
      : daemon(this->client, "vm-1", {}),
        runner(std::make_shared<JobRunner>(
            this->daemon.serving,
            JobStore{this->runner_client, this->clock, {"vm-1", 1}})),
        job(this->AcceptJobOfTwoItems()) {
    this->runner->owners_confirmed_at = [] { return base::Instant{}; };
    this->runner->Add(this->job);
    this->job->run.StartNextItem(kOrigin, base::Instant(seconds(1)));
    this->job->run.OnEvent(0, {"", 1, "half"});
    this->job->running[0] = {base::EndpointId("e1"), this->cancel,
                             base::Instant(seconds(1))};
  }

  /// Saves the partial output as the background loop does.
  void SavePartialOutput() {
    RunCoroutine(this->WithResult(this->runner->SavePartialOutput()));
  }

  /// Adds a run of the job, of which the results of these items are listed.
  OwnedJobPtr AddRun(std::uint64_t owner_version,
                     const std::vector<std::string>& listed_ids) {
    auto run = std::make_shared<OwnedJob>(
        OwnedJob{kKey, this->job->row, this->job->items,
                 policy::JobRun(ToJobItems(this->job->items), listed_ids, {}),
                 owner_version});
    this->runner->Add(run);
    return run;
  }

  void EndElsewhere() {
    REQUIRE(RunCoroutine(EndJob(this->other, kKey, base::kNever)).ok());
  }

  testing::MemoryRowStore rows;
  base::RowStore client = this->rows.Client();
  /// The runner's client. Its transactions can be held.
  base::RowStore runner_client = this->MakeRunnerClient();
  bool hold_transactions = false;
  /// Carries out the transaction that is held; empty if none is.
  std::function<void()> held_transaction;
  base::Clock clock = base::SystemClock();
  JobStore self{this->client, this->clock, {"vm-1", 1}};
  JobStore other{this->client, this->clock, {"vm-2", 1}};
  ServingFixture daemon;
  std::shared_ptr<JobRunner> runner;
  std::shared_ptr<CallCancellation> cancel =
      std::make_shared<CallCancellation>();
  OwnedJobPtr job;

 private:
  base::RowStore MakeRunnerClient() {
    auto made = this->client;
    made.transact = [this](const base::RowTransaction& transaction,
                           base::Instant deadline, auto handler) {
      if (!this->hold_transactions) {
        return this->client.transact(transaction, deadline, std::move(handler));
      }
      this->held_transaction = [this, transaction, deadline, handler] {
        this->client.transact(transaction, deadline, handler);
      };
    };
    return made;
  }

  static boost::asio::awaitable<bool> WithResult(
      boost::asio::awaitable<void> coroutine) {
    co_await std::move(coroutine);
    co_return true;
  }

  OwnedJobPtr AcceptJobOfTwoItems() {
    std::vector<SubmittedItem> items(2);
    items[0].id = "a";
    items[1].id = "b";
    const auto acceptance =
        RunCoroutine(AcceptJob(this->self, kKey, "sheets", items, "body", 0,
                               base::kNever, [] { return true; }));
    REQUIRE(acceptance.owner_version != 0);
    return std::make_shared<OwnedJob>(OwnedJob{
        kKey, acceptance.row, items, policy::JobRun(ToJobItems(items), {}, {}),
        acceptance.owner_version});
  }
};

// Guards against an item that runs on, and others that start, at a daemon that
// isn't the owner any more, until its first item completes.
TEST_CASE("a daemon learns that it lost a job when it saves partial output") {
  JobRunnerFixture fixture;
  SECTION("the job runs on while the daemon owns it") {
    fixture.SavePartialOutput();
    CHECK(fixture.rows.Table(layout::kPartialTable).size() == 1);
    CHECK(fixture.runner->Find(kKey) == fixture.job);
    CHECK_FALSE(fixture.cancel->cancelled());
  }
  SECTION("the job runs on if the store is unavailable") {
    fixture.rows.SetFaults({.down = true});
    fixture.SavePartialOutput();
    CHECK(fixture.runner->Find(kKey) == fixture.job);
    CHECK_FALSE(fixture.cancel->cancelled());
  }
  SECTION("the job runs on if the response is lost") {
    fixture.rows.SetFaults({.lose_answers = 1});
    fixture.SavePartialOutput();
    CHECK(fixture.runner->Find(kKey) == fixture.job);
    CHECK_FALSE(fixture.cancel->cancelled());
  }
  SECTION("the job is dropped if it has ended") {
    fixture.EndElsewhere();
    fixture.SavePartialOutput();
    CHECK(fixture.runner->Find(kKey) == nullptr);
    CHECK(fixture.cancel->cancelled());
  }
  SECTION("the job is dropped if another daemon has taken it over") {
    REQUIRE(RunCoroutine(
        TakeOver(fixture.other, kKey, fixture.job->owner_version)));
    fixture.SavePartialOutput();
    CHECK(fixture.runner->Find(kKey) == nullptr);
    CHECK(fixture.cancel->cancelled());
  }
}

// Guards against a job that stands still and is loaded anew because an earlier
// run of it here learns late that it lost the job.
TEST_CASE("a late outcome of an earlier run doesn't end a later one") {
  JobRunnerFixture fixture;
  fixture.runner->Drop(kKey, "test");
  const auto version = fixture.job->owner_version;
  // All results are listed, so that the run sends the call that finishes it.
  fixture.hold_transactions = true;
  fixture.AddRun(version, {"a", "b"});
  fixture.daemon.Poll();
  REQUIRE(fixture.held_transaction != nullptr);
  // Another daemon takes the job over, and this one takes it back.
  fixture.runner->Drop(kKey, "owned-elsewhere");
  const auto taken = RunCoroutine(TakeOver(fixture.other, kKey, version));
  REQUIRE(taken);
  const auto taken_back = RunCoroutine(TakeOver(fixture.self, kKey, *taken));
  REQUIRE(taken_back);
  const auto later_run = fixture.AddRun(*taken_back, {"a"});
  fixture.held_transaction();
  fixture.daemon.Poll();
  CHECK(fixture.runner->Find(kKey) == later_run);
  CHECK_FALSE(later_run->dropped);
}

}  // namespace
}  // namespace gypsumtrack::gateway
