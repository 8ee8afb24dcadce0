#include "../../src/serving/job_runner.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "gypsumtrack/testing/memory_row_store.h"
#include "run_coroutine.h"

namespace gypsumtrack::gateway {
namespace {

using std::chrono::seconds;

const JobKey kKey{base::Organisation("club"), base::JobId("j1")};

/// A runner that owns a job of two items, one of which runs at an endpoint. Its
/// loops aren't started, so that no time passes.
class JobRunnerFixture {
 public:
  JobRunnerFixture()
      : store_view(this->context.get_executor(), this->clock, this->client, {},
                   [] {}),
        endpoint_client(this->context.get_executor(), this->clock, {}),
        serving{.settings = {},
                .self = {"vm-1", 1},
                .wire = {},
                .clock = this->clock,
                .executor = this->context.get_executor(),
                .store = this->client,
                .store_view = this->store_view,
                .client = this->endpoint_client,
                .registry = this->registry,
                .metrics = ServingMetrics(this->registry),
                .endpoints = policy::EndpointRegistry({}),
                .quota = policy::FleetQuota({}),
                .batch_starts = policy::BatchStartLimiter({}),
                .random = std::minstd_rand(1)},
        runner(std::make_shared<JobRunner>(
            this->serving,
            JobStore{this->runner_client, this->clock, {"vm-1", 1}})),
        job(this->AcceptJobOfTwoItems()) {
    this->runner->owners_confirmed_at = [] { return base::Instant{}; };
    this->runner->Add(this->job);
    this->job->run.StartNextItem(base::Instant(seconds(1)));
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

  /// Carries out what is ready on the daemon's thread.
  void Poll() {
    this->context.restart();
    this->context.poll();
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
  boost::asio::io_context context;
  telemetry::Registry registry;
  StoreViewService store_view;
  EndpointClient endpoint_client;
  ServingContext serving;
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
  JobRunnerFixture daemon;
  SECTION("the job runs on while the daemon owns it") {
    daemon.SavePartialOutput();
    CHECK(daemon.rows.Table(layout::kPartialTable).size() == 1);
    CHECK(daemon.runner->Find(kKey) == daemon.job);
    CHECK_FALSE(daemon.cancel->cancelled());
  }
  SECTION("the job runs on if the store is unavailable") {
    daemon.rows.SetFaults({.down = true});
    daemon.SavePartialOutput();
    CHECK(daemon.runner->Find(kKey) == daemon.job);
    CHECK_FALSE(daemon.cancel->cancelled());
  }
  SECTION("the job runs on if the response is lost") {
    daemon.rows.SetFaults({.lose_answers = 1});
    daemon.SavePartialOutput();
    CHECK(daemon.runner->Find(kKey) == daemon.job);
    CHECK_FALSE(daemon.cancel->cancelled());
  }
  SECTION("the job is dropped if it has ended") {
    daemon.EndElsewhere();
    daemon.SavePartialOutput();
    CHECK(daemon.runner->Find(kKey) == nullptr);
    CHECK(daemon.cancel->cancelled());
  }
  SECTION("the job is dropped if another daemon has taken it over") {
    REQUIRE(
        RunCoroutine(TakeOver(daemon.other, kKey, daemon.job->owner_version)));
    daemon.SavePartialOutput();
    CHECK(daemon.runner->Find(kKey) == nullptr);
    CHECK(daemon.cancel->cancelled());
  }
}

// Guards against a job that stands still and is loaded anew because an earlier
// run of it here learns late that it lost the job.
TEST_CASE("a late outcome of an earlier run doesn't end a later one") {
  JobRunnerFixture daemon;
  daemon.runner->Drop(kKey, "test");
  const auto version = daemon.job->owner_version;
  // All results are listed, so that the run sends the call that finishes it.
  daemon.hold_transactions = true;
  daemon.AddRun(version, {"a", "b"});
  daemon.Poll();
  REQUIRE(daemon.held_transaction != nullptr);
  // Another daemon takes the job over, and this one takes it back.
  daemon.runner->Drop(kKey, "owned-elsewhere");
  const auto taken = RunCoroutine(TakeOver(daemon.other, kKey, version));
  REQUIRE(taken);
  const auto taken_back = RunCoroutine(TakeOver(daemon.self, kKey, *taken));
  REQUIRE(taken_back);
  const auto later_run = daemon.AddRun(*taken_back, {"a"});
  daemon.held_transaction();
  daemon.Poll();
  CHECK(daemon.runner->Find(kKey) == later_run);
  CHECK_FALSE(later_run->dropped);
}

}  // namespace
}  // namespace gypsumtrack::gateway
