#include "gypsumtrack/policy/serving/lost_runs.h"

#include <catch2/catch.hpp>
#include <string>

namespace gypsumtrack::policy {
namespace {

const EndpointIncarnation kFirst{base::EndpointId("e-1"), 1};
const EndpointIncarnation kSecond{base::EndpointId("e-1"), 2};
const CrashSuspect kCommon{SuspectKind::kPromptPart, "common"};
const CrashSuspect kBad{SuspectKind::kPromptPart, "bad"};

LostRun MakeRun(const EndpointIncarnation& endpoint,
                const std::string& request) {
  LostRun run;
  run.suspects = {kCommon, kBad};
  run.request = request;
  run.endpoint = endpoint;
  return run;
}

TEST_CASE("runs are lost at two starts of an endpoint") {
  constexpr std::size_t kMaxRuns = 3;
  LostRuns lost_runs(kMaxRuns);
  CHECK(lost_runs.Add(MakeRun(kFirst, "r-1")));
  CHECK(lost_runs.Add(MakeRun(kFirst, "r-2")));
  CHECK(lost_runs.Add(MakeRun(kSecond, "r-3")));
  SECTION("those of one are taken once") {
    CHECK(lost_runs.Take(kFirst).size() == 2);
    CHECK(lost_runs.Take(kFirst).empty());
    CHECK(lost_runs.size() == 1);
    CHECK(lost_runs.Take(kSecond).at(0).request == "r-3");
    CHECK(lost_runs.size() == 0);
  }
  SECTION("no more are kept than the limit allows") {
    CHECK_FALSE(lost_runs.Add(MakeRun(kSecond, "r-4")));
    lost_runs.Take(kFirst);
    CHECK(lost_runs.Add(MakeRun(kSecond, "r-4")));
  }
  SECTION("what made progress since is no suspect") {
    lost_runs.OnProgress({kCommon});
    for (const auto& run : lost_runs.Take(kFirst))
      CHECK(run.suspects == std::vector{kBad});
    SECTION("and a run without a suspect isn't returned") {
      lost_runs.OnProgress({kBad});
      CHECK(lost_runs.Take(kSecond).empty());
      CHECK(lost_runs.size() == 0);
    }
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
