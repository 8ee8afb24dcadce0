#include "../../src/serving/job_store.h"

#include <catch2/catch.hpp>
#include <memory>

#include "gypsumtrack/gateway/serving/row_store_await.h"
#include "gypsumtrack/testing/memory_row_store.h"
#include "run_coroutine.h"

namespace gypsumtrack::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const JobKey kKey{base::Organisation("club"), base::JobId("j1")};
/// The endpoints at which the items run.
const policy::OutputOrigin kOrigin{base::Service("s1"), "v1"};

/// Two daemons that share a store.
class JobStoreFixture {
 public:
  JobStoreFixture() {
    for (const auto* id : {"a", "b", "c"}) {
      SubmittedItem item;
      item.id = id;
      item.target = "/sheets/1";
      item.tokens = 100;
      this->items.push_back(item);
    }
  }

  JobAcceptance Accept(const JobStore& daemon, const JobKey& key = kKey,
                       std::uint64_t max_tokens = 0) {
    return RunCoroutine(AcceptJob(daemon, key, "sheets", this->items, "body",
                                  max_tokens, this->Deadline(),
                                  [] { return true; }));
  }

  OwnedJobPtr Own(const JobAcceptance& acceptance) {
    auto job = std::make_shared<OwnedJob>(
        OwnedJob{kKey, acceptance.row, this->items,
                 policy::JobRun(ToJobItems(this->items), {}, {}),
                 acceptance.owner_version});
    return job;
  }

  /// Runs the next `count` items to completion.
  static void RunItems(OwnedJob& job, int count) {
    for (int i = 0; i < count; ++i) {
      const auto start =
          job.run.StartNextItem(kOrigin, base::Instant(seconds(1)));
      job.run.OnEvent(start->index, {"", 1, "text"});
      job.run.OnRunEnd(start->index, policy::ItemRunOutcome::kComplete,
                       base::Instant(seconds(1)));
    }
  }

  ResultsCommit Commit(const JobStore& daemon, OwnedJob& job) {
    const auto commit =
        RunCoroutine(CommitResults(daemon, job, job.run.UnlistedResults(10)));
    if (commit.outcome == CommitOutcome::kCommitted)
      job.run.OnResultsListed(commit.count);
    return commit;
  }

  std::vector<std::string> ListedIds() {
    return *RunCoroutine(
        ReadListedItems(this->first_daemon, kKey, this->Deadline()));
  }

  base::Instant Deadline() const {
    return this->clock.now() + milliseconds(400);
  }

  testing::MemoryRowStore rows;
  base::RowStore client = this->rows.Client();
  base::Clock clock = base::SystemClock();
  JobStore first_daemon{this->client, this->clock, {"vm-1", 1}};
  JobStore second_daemon{this->client, this->clock, {"vm-2", 1}};
  std::vector<SubmittedItem> items;
};

TEST_CASE("a job is accepted once despite failed, lost and delayed calls") {
  JobStoreFixture fixture;
  SECTION("a retry at another daemon finds the job accepted") {
    CHECK(fixture.Accept(fixture.first_daemon).owner_version != 0);
    const auto retry = fixture.Accept(fixture.second_daemon);
    CHECK(retry.outcome == AcceptOutcome::kAccepted);
    CHECK(retry.owner_version == 0);
    CHECK(fixture.rows.Table(layout::kJobTable).size() == 1);
  }
  SECTION("it is not accepted while the store is down") {
    fixture.rows.SetFaults({.down = true});
    CHECK(fixture.Accept(fixture.first_daemon).outcome ==
          AcceptOutcome::kNotAccepted);
    CHECK(fixture.rows.Table(layout::kJobTable).empty());
  }
  SECTION("after a lost response the next attempt finds it accepted") {
    fixture.rows.SetFaults({.lose_answers = 1});
    CHECK(fixture.Accept(fixture.first_daemon).outcome ==
          AcceptOutcome::kAccepted);
    CHECK(fixture.rows.Table(layout::kJobTable).size() == 1);
  }
  SECTION("the outcome is unknown if the store delays all calls") {
    fixture.rows.SetFaults({.delay = 1000});
    CHECK(fixture.Accept(fixture.first_daemon).outcome ==
          AcceptOutcome::kUnknown);
    SECTION("the store applies only one of the delayed calls") {
      fixture.rows.SetFaults({});
      fixture.rows.CarryOutLate();
      CHECK(fixture.rows.Table(layout::kJobTable).size() == 1);
      CHECK(fixture.Accept(fixture.second_daemon).outcome ==
            AcceptOutcome::kAccepted);
    }
  }
  SECTION("a delayed call is not applied after a later one") {
    // The delayed call expects the previous version of the route's row.
    fixture.rows.SetFaults({.delay = 1});
    const auto accepted = fixture.Accept(fixture.first_daemon);
    CHECK(accepted.outcome == AcceptOutcome::kAccepted);
    fixture.rows.CarryOutLate();
    CHECK(fixture.rows.Table(layout::kOwnerTable).size() == 1);
    CHECK(fixture.rows.Table(layout::kOwnerTable)[0].version ==
          accepted.owner_version);
  }
}

TEST_CASE("the backlog of an organisation is limited across daemons") {
  JobStoreFixture fixture;
  const JobKey other_key{kKey.organisation, base::JobId("j2")};
  CHECK(fixture.Accept(fixture.first_daemon, kKey, 500).outcome ==
        AcceptOutcome::kAccepted);
  SECTION("a second job that exceeds the limit is not accepted") {
    CHECK(fixture.Accept(fixture.second_daemon, other_key, 500).outcome ==
          AcceptOutcome::kOverLimit);
    CHECK(fixture.Accept(fixture.second_daemon, other_key, 600).outcome ==
          AcceptOutcome::kAccepted);
  }
  SECTION("a retry of an accepted job is reported as accepted") {
    CHECK(fixture.Accept(fixture.second_daemon, kKey, 500).outcome ==
          AcceptOutcome::kAccepted);
  }
  SECTION("committed results reduce the backlog") {
    const auto job = fixture.Own(fixture.Accept(fixture.first_daemon));
    job->owner_version = fixture.rows.Table(layout::kOwnerTable)[0].version;
    JobStoreFixture::RunItems(*job, 2);
    CHECK(fixture.Commit(fixture.first_daemon, *job).count == 2);
    CHECK(fixture.Accept(fixture.second_daemon, other_key, 500).outcome ==
          AcceptOutcome::kAccepted);
  }
  SECTION("an ended job leaves the backlog") {
    CHECK(RunCoroutine(EndJob(fixture.second_daemon, kKey, fixture.Deadline()))
              .ok());
    CHECK(fixture.Accept(fixture.second_daemon, other_key, 500).outcome ==
          AcceptOutcome::kAccepted);
  }
}

TEST_CASE("a result is committed once, at one position") {
  JobStoreFixture fixture;
  const auto job = fixture.Own(fixture.Accept(fixture.first_daemon));
  JobStoreFixture::RunItems(*job, 2);
  SECTION("a retry after a lost response commits nothing twice") {
    fixture.rows.SetFaults({.lose_answers = 1});
    CHECK(fixture.Commit(fixture.first_daemon, *job).outcome ==
          CommitOutcome::kRetry);
    JobStoreFixture::RunItems(*job, 1);
    const auto retry = fixture.Commit(fixture.first_daemon, *job);
    CHECK(retry.outcome == CommitOutcome::kCommitted);
    CHECK(retry.count == 2);
    CHECK(fixture.Commit(fixture.first_daemon, *job).count == 1);
    CHECK(fixture.ListedIds() == std::vector<std::string>{"a", "b", "c"});
  }
  SECTION("a retry of a delayed commit has the same count") {
    fixture.rows.SetFaults({.delay = 1});
    CHECK(fixture.Commit(fixture.first_daemon, *job).outcome ==
          CommitOutcome::kRetry);
    CHECK(fixture.Commit(fixture.first_daemon, *job).count == 2);
    fixture.rows.CarryOutLate();
    CHECK(fixture.ListedIds() == std::vector<std::string>{"a", "b"});
  }
  SECTION("nothing is committed after another daemon took the job over") {
    const auto taken =
        RunCoroutine(TakeOver(fixture.second_daemon, kKey, job->owner_version));
    REQUIRE(taken);
    CHECK(fixture.Commit(fixture.first_daemon, *job).outcome ==
          CommitOutcome::kNotOwner);
    CHECK(fixture.ListedIds().empty());
    SECTION("only one daemon takes it over") {
      CHECK_FALSE(RunCoroutine(
          TakeOver(fixture.first_daemon, kKey, job->owner_version)));
    }
  }
  SECTION("nothing is committed after the job was ended") {
    CHECK(RunCoroutine(EndJob(fixture.second_daemon, kKey, fixture.Deadline()))
              .ok());
    CHECK(fixture.Commit(fixture.first_daemon, *job).outcome ==
          CommitOutcome::kNotOwner);
    CHECK(fixture.ListedIds().empty());
    SECTION("a retry of its submission does not run it") {
      CHECK(fixture.Accept(fixture.first_daemon).owner_version == 0);
      CHECK(fixture.rows.Table(layout::kOwnerTable).empty());
    }
  }
  SECTION("an output that is too large for a row is stored as an object") {
    const auto large = fixture.Own(fixture.Accept(fixture.second_daemon));
    large->owner_version = job->owner_version;
    const auto start =
        large->run.StartNextItem(kOrigin, base::Instant(seconds(1)));
    const std::string text(100'000, 'x');
    large->run.OnEvent(start->index, {"", 1, text});
    large->run.OnRunEnd(start->index, policy::ItemRunOutcome::kComplete,
                        base::Instant(seconds(1)));
    CHECK(fixture.Commit(fixture.first_daemon, *large).count == 1);
    const auto results = RunCoroutine(
        ReadResults(fixture.second_daemon, kKey, 0, fixture.Deadline()));
    REQUIRE(results.ok());
    CHECK(results->at(0).output == text);
  }
}

/// A row of a result as daemons of earlier releases wrote it if a byte of the
/// item's output was damaged: JSON with text that isn't UTF-8.
const std::string kDamagedResult =
    "{\"item\":\"b\",\"verdict\":\"done\",\"output\":\"te\xF8t\"}";

// Guards against a job that can't be read, and is never taken over, for one row
// of its results that can't.
TEST_CASE("a result that can't be read costs its own position only") {
  JobStoreFixture fixture;
  const auto job = fixture.Own(fixture.Accept(fixture.first_daemon));
  JobStoreFixture::RunItems(*job, 3);
  REQUIRE(fixture.Commit(fixture.first_daemon, *job).count == 3);
  const auto overwrite = [&](std::size_t position, const std::string& value) {
    base::RowTransaction change;
    change.puts.push_back({{layout::kResultTable, kKey.organisation.text,
                            layout::ResultKey(kKey.job, position)},
                           value});
    const auto reply = RunCoroutine(
        Transact(fixture.client, std::move(change), fixture.Deadline()));
    REQUIRE(reply.ok());
  };
  const auto read = [&] {
    return RunCoroutine(
        ReadResults(fixture.second_daemon, kKey, 0, fixture.Deadline()));
  };
  SECTION("its item is listed without output, the others with theirs") {
    overwrite(1, kDamagedResult);
    const auto results = read();
    REQUIRE(results.ok());
    REQUIRE(results->size() == 3);
    CHECK(results->at(0) ==
          policy::JobItemResult{"a", policy::JobItemStatus::kDone, "text"});
    CHECK(results->at(1) ==
          policy::JobItemResult{"b", policy::JobItemStatus::kGivenUp, ""});
    CHECK(results->at(2).output == "text");
    SECTION("and a new owner knows which items are listed") {
      CHECK(fixture.ListedIds() == std::vector<std::string>{"a", "b", "c"});
    }
  }
  SECTION("so is one whose output is a damaged object") {
    overwrite(1, R"({"item":"b","verdict":"done","object":"damaged"})");
    REQUIRE(RunCoroutine(PutObject(fixture.client, "damaged", "te\xF8t",
                                   fixture.Deadline()))
                .ok());
    const auto results = read();
    REQUIRE(results.ok());
    REQUIRE(results->size() == 3);
    CHECK(results->at(1) ==
          policy::JobItemResult{"b", policy::JobItemStatus::kGivenUp, ""});
  }
  SECTION("a row without any sense keeps its position") {
    overwrite(1, "{");
    const auto results = read();
    REQUIRE(results.ok());
    REQUIRE(results->size() == 3);
    CHECK(results->at(1) ==
          policy::JobItemResult{"", policy::JobItemStatus::kGivenUp, ""});
    CHECK(fixture.ListedIds() == std::vector<std::string>{"a", "", "c"});
  }
}

// Guards against a new owner that continues an output at another version, or
// can't read the row that a daemon of an earlier release has written.
TEST_CASE("a row of partial output names the origin of each output") {
  const std::vector<policy::PartialItem> partials{
      {"a", 5, 2, "x\ny", {base::Service("s1"), "v1"}},
      {"b", 1, 1, "z", {base::Service("s2"), "v2"}}};
  const auto row = layout::SerializePartials(partials);
  CHECK(*layout::ParsePartials(row) == partials);
  SECTION("an output without one is left out, and the others are read") {
    const auto parsed = layout::ParsePartials(
        R"({"partials":[)"
        R"({"item":"a","last_event":5,"events":2,"text":"x"},)"
        R"({"item":"b","last_event":1,"events":1,"text":"z",)"
        R"("service":"s2","version":"v2"}]})");
    REQUIRE(parsed.ok());
    CHECK(*parsed == std::vector{partials[1]});
  }
  SECTION("an output that isn't UTF-8 is left out, and the others are read") {
    auto damaged = row;
    damaged.replace(damaged.find("\"x"), 2, "\"\xF8");
    const auto parsed = layout::ParsePartials(damaged);
    REQUIRE(parsed.ok());
    CHECK(*parsed == std::vector{partials[1]});
  }
  SECTION("a damaged row is rejected") {
    CHECK_FALSE(layout::ParsePartials(R"({"partials":[{"item":"a"}]})").ok());
  }
}

TEST_CASE("a new owner loads the partial output of a job") {
  JobStoreFixture fixture;
  const auto job = fixture.Own(fixture.Accept(fixture.first_daemon));
  const auto start = job->run.StartNextItem(kOrigin, base::Instant(seconds(1)));
  job->run.OnEvent(start->index, {"", 1, "half"});
  const auto load = [&] {
    return RunCoroutine(
        LoadJob(fixture.second_daemon, kKey, job->row, fixture.Deadline()));
  };
  SECTION("of a job that was handed over") {
    CHECK(RunCoroutine(HandOver(fixture.first_daemon, *job)));
    const auto loaded = load();
    REQUIRE(loaded.ok());
    CHECK(loaded->submission == "body");
    REQUIRE(loaded->partials.size() == 1);
    CHECK(loaded->partials[0].text == "half");
    CHECK(loaded->partials[0].origin == kOrigin);
  }
  SECTION("saved periodically by an owner that is lost") {
    CHECK(RunCoroutine(SavePartials(fixture.first_daemon, *job)) ==
          CommitOutcome::kCommitted);
    CHECK(load()->partials.size() == 1);
  }
  SECTION("a daemon that no longer owns the job can't save it") {
    RunCoroutine(TakeOver(fixture.second_daemon, kKey, job->owner_version));
    CHECK(RunCoroutine(SavePartials(fixture.first_daemon, *job)) ==
          CommitOutcome::kNotOwner);
    CHECK_FALSE(RunCoroutine(HandOver(fixture.first_daemon, *job)));
  }
  SECTION("a daemon that the store doesn't answer saves it the next time") {
    fixture.rows.SetFaults({.lose_answers = 1});
    CHECK(RunCoroutine(SavePartials(fixture.first_daemon, *job)) ==
          CommitOutcome::kRetry);
    CHECK(RunCoroutine(SavePartials(fixture.first_daemon, *job)) ==
          CommitOutcome::kCommitted);
  }
  SECTION("a finished job leaves only its job row and results") {
    JobStoreFixture::RunItems(*job, 2);
    job->run.OnRunEnd(start->index, policy::ItemRunOutcome::kComplete,
                      base::Instant(seconds(1)));
    CHECK(fixture.Commit(fixture.first_daemon, *job).count == 3);
    CHECK(RunCoroutine(FinishJob(fixture.first_daemon, *job)) ==
          CommitOutcome::kCommitted);
    CHECK(fixture.rows.Table(layout::kOwnerTable).empty());
    CHECK(fixture.rows.Table(layout::kPartialTable).empty());
    CHECK(fixture.rows.Table(layout::kResultTable).size() == 3);
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
