#include "../../src/serving/job_store.h"

#include <catch2/catch.hpp>
#include <memory>

#include "gypsumtrack/testing/memory_row_store.h"
#include "run_coroutine.h"

namespace gypsumtrack::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const JobKey kKey{base::Organisation("club"), base::JobId("j1")};

/// Two daemons on one store.
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

  Acceptance Accept(const JobStore& daemon, const JobKey& key = kKey,
                    std::uint64_t most_tokens = 0) {
    return RunCoroutine(AcceptJob(daemon, key, "sheets", this->items, "body",
                                  most_tokens, this->Soon(),
                                  [] { return true; }));
  }

  OwnedJobPtr Own(const Acceptance& acceptance) {
    auto job = std::make_shared<OwnedJob>(
        OwnedJob{kKey, acceptance.row, this->items,
                 policy::JobRun(ToJobItems(this->items), {}, {}),
                 acceptance.owner_version});
    return job;
  }

  /// Runs so many items to their end.
  static void RunItems(OwnedJob& job, int count) {
    for (int i = 0; i < count; ++i) {
      const auto start = job.run.StartNextItem(base::Instant(seconds(1)));
      job.run.OnEvent(start->index, {"", 1, "text"});
      job.run.OnRunEnd(start->index, policy::ItemRunOutcome::kComplete,
                       base::Instant(seconds(1)));
    }
  }

  Commitment Commit(const JobStore& daemon, OwnedJob& job) {
    const auto done =
        RunCoroutine(CommitResults(daemon, job, job.run.UnlistedResults(10)));
    if (done.end == CommitEnd::kListed) job.run.OnResultsListed(done.count);
    return done;
  }

  std::vector<std::string> Listed() {
    return *RunCoroutine(ReadListedItems(this->first, kKey, this->Soon()));
  }

  base::Instant Soon() const { return this->clock.now() + milliseconds(400); }

  testing::MemoryRowStore rows;
  base::RowStore client = this->rows.Client();
  base::Clock clock = base::SystemClock();
  JobStore first{this->client, this->clock, {"vm-1", 1}};
  JobStore second{this->client, this->clock, {"vm-2", 1}};
  std::vector<SubmittedItem> items;
};

TEST_CASE("a job is accepted once, whatever becomes of the calls") {
  JobStoreFixture fixture;
  SECTION("a resend at another daemon finds it accepted") {
    CHECK(fixture.Accept(fixture.first).owner_version != 0);
    const auto again = fixture.Accept(fixture.second);
    CHECK(again.end == AcceptEnd::kAccepted);
    CHECK(again.owner_version == 0);
    CHECK(fixture.rows.Table(layout::kJobTable).size() == 1);
  }
  SECTION("the store is down: it is refused, and nothing was accepted") {
    fixture.rows.SetFaults({.down = true});
    CHECK(fixture.Accept(fixture.first).end == AcceptEnd::kRefused);
    CHECK(fixture.rows.Table(layout::kJobTable).empty());
  }
  SECTION("an answer is lost: the next try finds it accepted") {
    fixture.rows.SetFaults({.lose_answers = 1});
    CHECK(fixture.Accept(fixture.first).end == AcceptEnd::kAccepted);
    CHECK(fixture.rows.Table(layout::kJobTable).size() == 1);
  }
  SECTION("all answers are lost: nothing is promised") {
    fixture.rows.SetFaults({.delay = 1000});
    CHECK(fixture.Accept(fixture.first).end == AcceptEnd::kInDoubt);
    SECTION("the store carries a call out later, and only one") {
      fixture.rows.SetFaults({});
      fixture.rows.CarryOutLate();
      CHECK(fixture.rows.Table(layout::kJobTable).size() == 1);
      CHECK(fixture.Accept(fixture.second).end == AcceptEnd::kAccepted);
    }
  }
  SECTION("a late call can't follow a refusal that another job caused") {
    // The delayed call expects the route's row as it was.
    fixture.rows.SetFaults({.delay = 1});
    const auto accepted = fixture.Accept(fixture.first);
    CHECK(accepted.end == AcceptEnd::kAccepted);
    fixture.rows.CarryOutLate();
    CHECK(fixture.rows.Table(layout::kOwnerTable).size() == 1);
    CHECK(fixture.rows.Table(layout::kOwnerTable)[0].version ==
          accepted.owner_version);
  }
}

TEST_CASE("what waits of an organisation is bounded over all daemons") {
  JobStoreFixture fixture;
  const JobKey other{kKey.organisation, base::JobId("j2")};
  CHECK(fixture.Accept(fixture.first, kKey, 500).end == AcceptEnd::kAccepted);
  SECTION("a second job that doesn't fit is refused") {
    CHECK(fixture.Accept(fixture.second, other, 500).end ==
          AcceptEnd::kOverLimit);
    CHECK(fixture.Accept(fixture.second, other, 600).end ==
          AcceptEnd::kAccepted);
  }
  SECTION("a resend of an accepted job isn't") {
    CHECK(fixture.Accept(fixture.second, kKey, 500).end ==
          AcceptEnd::kAccepted);
  }
  SECTION("listed items make room") {
    const auto job = fixture.Own(fixture.Accept(fixture.first));
    job->owner_version = fixture.rows.Table(layout::kOwnerTable)[0].version;
    JobStoreFixture::RunItems(*job, 2);
    CHECK(fixture.Commit(fixture.first, *job).count == 2);
    CHECK(fixture.Accept(fixture.second, other, 500).end ==
          AcceptEnd::kAccepted);
  }
  SECTION("an ended job makes room") {
    CHECK(RunCoroutine(EndJob(fixture.second, kKey, fixture.Soon())).ok());
    CHECK(fixture.Accept(fixture.second, other, 500).end ==
          AcceptEnd::kAccepted);
  }
}

TEST_CASE("a result is listed once, at one position") {
  JobStoreFixture fixture;
  const auto job = fixture.Own(fixture.Accept(fixture.first));
  JobStoreFixture::RunItems(*job, 2);
  SECTION("its answer is lost: the same commit again lists nothing twice") {
    fixture.rows.SetFaults({.lose_answers = 1});
    CHECK(fixture.Commit(fixture.first, *job).end == CommitEnd::kTryAgain);
    JobStoreFixture::RunItems(*job, 1);
    const auto again = fixture.Commit(fixture.first, *job);
    CHECK(again.end == CommitEnd::kListed);
    CHECK(again.count == 2);
    CHECK(fixture.Commit(fixture.first, *job).count == 1);
    CHECK(fixture.Listed() == std::vector<std::string>{"a", "b", "c"});
  }
  SECTION("it is carried out late: the commit after it counts the same") {
    fixture.rows.SetFaults({.delay = 1});
    CHECK(fixture.Commit(fixture.first, *job).end == CommitEnd::kTryAgain);
    CHECK(fixture.Commit(fixture.first, *job).count == 2);
    fixture.rows.CarryOutLate();
    CHECK(fixture.Listed() == std::vector<std::string>{"a", "b"});
  }
  SECTION("another daemon has taken the job over: nothing is listed") {
    const auto taken =
        RunCoroutine(TakeOver(fixture.second, kKey, job->owner_version));
    REQUIRE(taken);
    CHECK(fixture.Commit(fixture.first, *job).end == CommitEnd::kLost);
    CHECK(fixture.Listed().empty());
    SECTION("and two daemons don't both take it") {
      CHECK_FALSE(
          RunCoroutine(TakeOver(fixture.first, kKey, job->owner_version)));
    }
  }
  SECTION("the job was ended: nothing more is listed") {
    CHECK(RunCoroutine(EndJob(fixture.second, kKey, fixture.Soon())).ok());
    CHECK(fixture.Commit(fixture.first, *job).end == CommitEnd::kLost);
    CHECK(fixture.Listed().empty());
    SECTION("and a resend of it isn't run") {
      CHECK(fixture.Accept(fixture.first).owner_version == 0);
      CHECK(fixture.rows.Table(layout::kOwnerTable).empty());
    }
  }
  SECTION("an output that is too large for a row lies in an object") {
    const auto large = fixture.Own(fixture.Accept(fixture.second));
    large->owner_version = job->owner_version;
    const auto start = large->run.StartNextItem(base::Instant(seconds(1)));
    const std::string text(100'000, 'x');
    large->run.OnEvent(start->index, {"", 1, text});
    large->run.OnRunEnd(start->index, policy::ItemRunOutcome::kComplete,
                        base::Instant(seconds(1)));
    CHECK(fixture.Commit(fixture.first, *large).count == 1);
    const auto results =
        RunCoroutine(ReadResults(fixture.second, kKey, 0, fixture.Soon()));
    REQUIRE(results.ok());
    CHECK(results->at(0).output == text);
  }
}

TEST_CASE("a job goes from one daemon to another with what has come of it") {
  JobStoreFixture fixture;
  const auto job = fixture.Own(fixture.Accept(fixture.first));
  const auto start = job->run.StartNextItem(base::Instant(seconds(1)));
  job->run.OnEvent(start->index, {"", 1, "half"});
  const auto load = [&] {
    return RunCoroutine(
        LoadJob(fixture.second, kKey, job->row, fixture.Soon()));
  };
  SECTION("handed over") {
    CHECK(RunCoroutine(HandOver(fixture.first, *job)));
    const auto loaded = load();
    REQUIRE(loaded.ok());
    CHECK(loaded->submission == "body");
    REQUIRE(loaded->partials.size() == 1);
    CHECK(loaded->partials[0].text == "half");
  }
  SECTION("kept, and the daemon is lost") {
    CHECK(RunCoroutine(SavePartials(fixture.first, *job)));
    CHECK(load()->partials.size() == 1);
  }
  SECTION("a daemon that lost the job keeps nothing any more") {
    RunCoroutine(TakeOver(fixture.second, kKey, job->owner_version));
    CHECK_FALSE(RunCoroutine(SavePartials(fixture.first, *job)));
    CHECK_FALSE(RunCoroutine(HandOver(fixture.first, *job)));
  }
  SECTION("once all is listed nothing of it is left but job and results") {
    JobStoreFixture::RunItems(*job, 2);
    job->run.OnRunEnd(start->index, policy::ItemRunOutcome::kComplete,
                      base::Instant(seconds(1)));
    CHECK(fixture.Commit(fixture.first, *job).count == 3);
    CHECK(RunCoroutine(FinishJob(fixture.first, *job)) == CommitEnd::kListed);
    CHECK(fixture.rows.Table(layout::kOwnerTable).empty());
    CHECK(fixture.rows.Table(layout::kPartialTable).empty());
    CHECK(fixture.rows.Table(layout::kResultTable).size() == 3);
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
