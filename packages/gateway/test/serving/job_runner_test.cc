#include "../../src/serving/job_runner.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gypsumtrack/gateway/serving/row_store_await.h"
#include "gypsumtrack/testing/memory_row_store.h"
#include "run_coroutine.h"
#include "serving_fixture.h"

namespace gypsumtrack::gateway {
namespace {

using std::chrono::milliseconds;
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

/// A runner of a job of two items, of which the first was interrupted with some
/// output of kOrigin. No endpoint can be connected to; the requests for which
/// one was chosen are recorded.
class InterruptedItemFixture {
 public:
  /// A request to run an item.
  struct SentItem {
    std::string item;
    std::string endpoint;
    std::optional<std::uint64_t> after_event;

    auto operator<=>(const SentItem&) const = default;
  };

  InterruptedItemFixture()
      : daemon(this->client, "vm-1", this->MakeWire(), this->MakeViewSource()),
        runner(std::make_shared<JobRunner>(
            this->daemon.serving,
            JobStore{this->client, this->daemon.clock, {"vm-1", 1}})),
        job(MakeJob()) {
    this->runner->owners_confirmed_at = [this] { return this->Now(); };
    this->route.name = "sheets";
    this->route.services = {{kOrigin.service, 1}};
    this->AddEndpoint("old", kOrigin);
    this->AddEndpoint("new", {kOrigin.service, "v2"});
  }

  // The store outlives the daemon, whose feed request may still wait there.
  ~InterruptedItemFixture() { this->rows.DropFeeds(); }

  base::Instant Now() const { return this->daemon.clock.now(); }

  /// Lets the first item receive kEvents events before it is interrupted.
  void InterruptFirstItem(base::Duration ago) {
    const auto at = this->Now() - ago;
    REQUIRE(this->job->run.StartNextItem(kOrigin, at)->index == 0);
    for (std::uint64_t id = 1; id <= kEvents; ++id) {
      REQUIRE(this->job->run.OnEvent(0, {"", id, "word"}));
    }
    this->job->run.OnRunEnd(0, policy::ItemRunOutcome::kInterrupted, at);
  }

  void AddEndpoint(const std::string& id, const policy::OutputOrigin& origin) {
    policy::EndpointEntry entry;
    entry.id = base::EndpointId(id);
    entry.address = "127.0.0.1:1";
    entry.service = origin.service;
    entry.version = origin.version;
    entry.slots = kSlots;
    this->entries.push_back(entry);
  }

  /// Occupies all slots of the endpoint of kOrigin.
  void FillOldEndpoint() {
    this->registry().ReplaceEntries(this->entries, {}, this->Now());
    for (std::uint32_t i = 0; i < kSlots; ++i) {
      this->registry().OnAttemptStarted(base::EndpointId("old"),
                                        policy::WorkKind::kBatch, this->Now());
    }
  }

  /// Runs one tick and returns what was sent, by item.
  std::vector<SentItem> Tick() {
    this->daemon.store_view.Start();
    this->daemon.RunUntil(
        [&] { return this->daemon.store_view.Current()->rules != nullptr; });
    this->registry().ReplaceEntries(this->entries, {}, this->Now());
    this->runner->Add(this->job);
    this->daemon.Poll();
    this->daemon.RunUntil([&] { return this->job->running.empty(); });
    this->daemon.store_view.Stop();
    this->daemon.Poll();
    std::sort(this->sent.begin(), this->sent.end());
    return this->sent;
  }

  /// Number of events of the item that was interrupted. They take 0.9 s of the
  /// 4.5 s that a whole run is expected to take at first.
  static constexpr std::uint64_t kEvents = 30;
  static constexpr std::uint32_t kSlots = 8;

  testing::MemoryRowStore rows;
  base::RowStore client = this->rows.Client();
  policy::RouteRule route;
  std::vector<policy::EndpointEntry> entries;
  std::vector<SentItem> sent;
  ServingFixture daemon;
  std::shared_ptr<JobRunner> runner;
  OwnedJobPtr job;

 private:
  policy::EndpointRegistry& registry() {
    return this->daemon.serving.endpoints;
  }

  Wire MakeWire() {
    Wire wire;
    wire.item_headers = [this](const SubmittedItem& item, const std::string&,
                               const ForwardingMetadata& forwarding) {
      this->sent.push_back(
          {item.id, forwarding.endpoint.text, forwarding.after_event});
      return std::vector<Header>{};
    };
    wire.read_response = [](const ResponseHead&) { return ResponseMetadata{}; };
    return wire;
  }

  StoreViewSource MakeViewSource() {
    base::RowTransaction put;
    put.puts.push_back({{"rules", "", "rules"}, "rules"});
    const auto written =
        RunCoroutine(Transact(this->client, std::move(put), base::kNever));
    REQUIRE(written.ok());
    StoreViewSource source;
    source.rules_table = "rules";
    source.rules_key = "rules";
    source.endpoints_table = "endpoints";
    source.read_rules = [this](std::string_view) {
      policy::ServingRules rules;
      rules.version = 1;
      rules.routes = {this->route};
      return base::Outcome<policy::ServingRules>(std::move(rules));
    };
    return source;
  }

  static OwnedJobPtr MakeJob() {
    std::vector<SubmittedItem> items(2);
    items[0].id = "a";
    items[1].id = "b";
    layout::JobRow row;
    row.route = "sheets";
    return std::make_shared<OwnedJob>(OwnedJob{
        kKey, row, items, policy::JobRun(ToJobItems(items), {}, {}), 1});
  }
};

// Guards against an output that is joined from two origins, is thrown away for
// nothing, or holds up other items.
TEST_CASE("an interrupted item goes on at the origin of its output") {
  using Sent = InterruptedItemFixture::SentItem;
  constexpr auto kEvents = InterruptedItemFixture::kEvents;
  InterruptedItemFixture fixture;
  SECTION("if there is room at an endpoint of its version") {
    fixture.InterruptFirstItem(seconds(0));
    const auto sent = fixture.Tick();
    REQUIRE(sent.size() == 2);
    CHECK(sent[0] == Sent{"a", "old", kEvents});
    CHECK(sent[1].item == "b");
  }
  SECTION("if these are full, other items go past it") {
    fixture.FillOldEndpoint();
    const Sent other{"b", "new", std::nullopt};
    const Sent restarted{"a", "new", std::nullopt};
    SECTION("a relaxed one waits") {
      fixture.InterruptFirstItem(seconds(60));
      fixture.job->due = fixture.Now() + seconds(60);
      CHECK(fixture.Tick() == std::vector{other});
      CHECK(fixture.job->run.event_count(0) == kEvents);
    }
    SECTION("an urgent one restarts if a whole run can be in time") {
      fixture.InterruptFirstItem(seconds(0));
      fixture.job->due = fixture.Now() + milliseconds(5000);
      CHECK(fixture.Tick() == std::vector{restarted, other});
    }
    SECTION("an urgent one waits if only its output can be in time") {
      fixture.InterruptFirstItem(seconds(60));
      fixture.job->due = fixture.Now() + milliseconds(3750);
      CHECK(fixture.Tick() == std::vector{other});
    }
    SECTION("a late one waits at first") {
      fixture.InterruptFirstItem(seconds(0));
      fixture.job->due = fixture.Now() - seconds(10);
      CHECK(fixture.Tick() == std::vector{other});
    }
    SECTION("a late one restarts in the end") {
      fixture.InterruptFirstItem(seconds(3));
      fixture.job->due = fixture.Now() - seconds(10);
      CHECK(fixture.Tick() == std::vector{restarted, other});
    }
  }
  SECTION("if its version has gone it restarts, whatever the urgency") {
    fixture.InterruptFirstItem(seconds(0));
    std::erase_if(fixture.entries, [](const auto& each) {
      return each.version == kOrigin.version;
    });
    CHECK(fixture.Tick() == std::vector<Sent>{{"a", "new", std::nullopt},
                                              {"b", "new", std::nullopt}});
  }
  SECTION("if the route leads to another service it restarts there") {
    fixture.InterruptFirstItem(seconds(0));
    const base::Service other("s2");
    fixture.AddEndpoint("other", {other, kOrigin.version});
    fixture.route.services = {{other, 1}};
    CHECK(fixture.Tick() == std::vector<Sent>{{"a", "other", std::nullopt},
                                              {"b", "other", std::nullopt}});
  }
}

// Guards against giving up a job on a new route: a daemon that takes it over
// may not have read the rules that added the route yet.
TEST_CASE("the rules don't have the route of a job") {
  InterruptedItemFixture fixture;
  fixture.route.name = "clocks";
  SECTION("its items wait if the rules may be older than the job") {
    fixture.job->acquired_at = fixture.Now() + seconds(60);
    CHECK(fixture.Tick().empty());
    CHECK(fixture.job->run.waiting_count() == 2);
  }
  SECTION("its items are given up if the rules are newer than the job") {
    fixture.job->acquired_at = fixture.Now();
    CHECK(fixture.Tick().empty());
    CHECK(fixture.job->run.waiting_count() == 0);
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
