#include "../soak/invariant_checker.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::testing {
namespace {

using std::chrono::milliseconds;

base::Instant At(int millis) { return base::Instant(milliseconds(millis)); }

/// A checker of one job with one item, whose end is acknowledged at 10 s.
struct EndedJob {
  InvariantChecker checker;

  EndedJob() {
    this->checker.RecordItem("item-1", {"club", "/sheets/item-1", "job-1"});
    this->checker.RecordEnd("job-1", At(10000));
  }

  /// Returns the violations if the item reaches an endpoint at `millis`.
  std::vector<std::string> CheckRunAt(
      int millis, const std::optional<std::string>& sender) const {
    EngineRun run;
    run.request_id = "item-1";
    run.organisation = "club";
    run.target = "/sheets/item-1";
    run.at = At(millis);
    return this->checker.Check({run}, {},
                               [&sender](const EngineRun&) { return sender; });
  }
};

TEST_CASE("an item may reach an endpoint until 3 s after the end of its job") {
  EndedJob job;
  CHECK(job.CheckRunAt(9000, "vm-0").empty());
  CHECK(job.CheckRunAt(13000, "vm-0").empty());
  const auto violations = job.CheckRunAt(13001, "vm-0");
  REQUIRE(violations.size() == 1);
  CHECK(violations.front() ==
        "item item-1 of job-1 ran 3001 ms after the end of the job, from vm-0");

  SECTION("also if its sender isn't known") {
    CHECK(job.CheckRunAt(13001, std::nullopt).size() == 1);
  }
  SECTION("counted from the first acknowledgement") {
    job.checker.RecordEnd("job-1", At(12000));
    CHECK(job.CheckRunAt(13001, "vm-0").size() == 1);
  }
  SECTION("unless the daemon that sent it was disrupted") {
    job.checker.RecordDisruption("vm-0", Disruption::kProcess, At(12000));
    CHECK(job.CheckRunAt(60000, "vm-0").empty());
    CHECK(job.CheckRunAt(60000, "vm-1").size() == 1);
    CHECK(job.CheckRunAt(60000, std::nullopt).size() == 1);

    SECTION("until 4 s after the disruption") {
      job.checker.RecordDisruptionEnd("vm-0", Disruption::kProcess, At(14000));
      CHECK(job.CheckRunAt(18000, "vm-0").empty());
      CHECK(job.CheckRunAt(18001, "vm-0").size() == 1);
    }
    SECTION("and the end of another kind of disruption doesn't end it") {
      job.checker.RecordDisruption("vm-0", Disruption::kStore, At(13000));
      job.checker.RecordDisruptionEnd("vm-0", Disruption::kStore, At(14000));
      CHECK(job.CheckRunAt(60000, "vm-0").empty());
    }
  }
  SECTION("and a later disruption doesn't excuse it") {
    job.checker.RecordDisruption("vm-0", Disruption::kProcess, At(13002));
    CHECK(job.CheckRunAt(13001, "vm-0").size() == 1);
  }
}

/// Returns the violations if an endpoint names a limit of 2 a second from 10 s
/// to 20 s and runs `count` requests of vm-0 in each second from `from_second`
/// on.
std::vector<std::string> CheckLimitedRuns(InvariantChecker& checker,
                                          int from_second, int count) {
  checker.RecordLimitedSpan({"i-1", 2, At(10000), At(20000)});
  std::vector<EngineRun> runs;
  for (int second = from_second; second < 20; ++second) {
    for (int i = 0; i < count; ++i) {
      EngineRun run;
      run.engine = "i-1";
      run.request_id = "r-" + std::to_string(runs.size());
      run.at = At(second * 1000 + i);
      checker.RecordRequest(run.request_id, {});
      runs.push_back(run);
    }
  }
  return checker.Check(runs, {}, [](const EngineRun&) { return "vm-0"; });
}

TEST_CASE("an endpoint that names a limit may get 1.5 times it and 5 more") {
  InvariantChecker checker;
  SECTION("in any 4 s") { CHECK(CheckLimitedRuns(checker, 10, 4).empty()); }
  SECTION("and no more") {
    const auto violations = CheckLimitedRuns(checker, 10, 5);
    REQUIRE(violations.size() == 1);
    CHECK(violations.front() ==
          "i-1 named a limit of 2 a second and ran 20 requests in 4 s from "
          "daemons that weren't disrupted, allowed 17");
  }
  SECTION("but for the first 4 s and daemons that were disrupted") {
    CHECK(CheckLimitedRuns(checker, 17, 5).empty());
    checker.RecordDisruption("vm-0", Disruption::kProcess, At(12000));
    CHECK(CheckLimitedRuns(checker, 10, 100).empty());
  }
}

/// Daemons vm-0 and vm-1 of three are cut from all endpoints from 10 s to 16 s.
struct CutDaemons {
  InvariantChecker checker;

  CutDaemons() {
    this->checker.RecordCut({{"vm-0", "vm-1"}, At(10000), At(16000)});
  }

  /// Records tries that take 100 ms.
  void Try(const std::string& daemon, int millis, unsigned status, int count) {
    for (int i = 0; i < count; ++i) {
      this->checker.RecordTry({daemon, At(millis), At(millis + 100), status});
    }
  }
  /// Records tries in the span that is checked, of which 30 in 100 are served
  /// at the daemons that are cut, and 90 in 100 at the others.
  void TryEverywhere() {
    this->Try("vm-0", 14000, 200, 30);
    this->Try("vm-1", 15999, 0, 70);
    this->Try("vm-2", 14000, 200, 90);
    this->Try("vm-2", 15999, 503, 10);
  }
  std::vector<std::string> Check() const {
    return this->checker.Check({}, {},
                               [](const EngineRun&) { return std::nullopt; });
  }
};

TEST_CASE("a daemon that is cut from all endpoints serves by other ways") {
  CutDaemons cut;
  SECTION("at least two thirds as often as the others") {
    cut.TryEverywhere();
    const auto violations = cut.Check();
    REQUIRE(violations.size() == 1);
    CHECK(violations.front() ==
          "vm-0, vm-1 cut from all endpoints served 30 of 100 tries, the "
          "others 90 of 100");

    SECTION("which is enough") {
      cut.Try("vm-0", 14000, 200, 75);
      CHECK(cut.Check().empty());
    }
    SECTION("and less isn't") {
      cut.Try("vm-0", 14000, 200, 74);
      CHECK(cut.Check().size() == 1);
    }
    SECTION("from 4 s after the cut began until its end") {
      cut.Try("vm-0", 13999, 200, 1000);
      cut.Try("vm-0", 16000, 200, 1000);
      CHECK(cut.Check().size() == 1);
    }
    SECTION("but for tries that the rules refuse") {
      cut.Try("vm-0", 14000, 429, 1000);
      cut.Try("vm-2", 14000, 401, 1000);
      CHECK(cut.Check() == violations);
    }
    SECTION("unless it is also stopped, paused or cut from the store") {
      cut.checker.RecordDisruption("vm-1", Disruption::kStore, At(16050));
      CHECK(cut.Check().empty());
    }
    SECTION("and those that are don't count as the others") {
      cut.checker.RecordDisruption("vm-2", Disruption::kProcess, At(13000));
      CHECK(cut.Check().empty());
    }
  }
  SECTION("unless 10 + 1 in 50 tries or fewer fail there") {
    cut.Try("vm-2", 15000, 200, 1000);
    cut.Try("vm-1", 15000, 0, 10);
    CHECK(cut.Check().empty());
    cut.Try("vm-1", 15000, 503, 1);
    CHECK(cut.Check().size() == 1);
  }
}

}  // namespace
}  // namespace gypsumtrack::testing
