#include "gypsumtrack/testing/batch_world.h"

#include <fmt/format.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace gypsumtrack::testing {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

std::vector<std::string> MakeLines(std::size_t count) {
  std::vector<std::string> lines;
  for (std::size_t i = 0; i < count; ++i) {
    lines.push_back(fmt::format("{{\"n\":{}}}", i));
  }
  return lines;
}

bool AllCompleted(const BatchSimulation& simulation, const SubmittedJob& job) {
  const auto results = simulation.Results(job);
  if (results.size() != job.lines.size()) return false;
  for (const auto& [item, result] : results) {
    if (result.state != policy::ItemState::kCompleted) return false;
    if (result.body != "done:" + job.lines[item]) return false;
  }
  return true;
}

}  // namespace

TEST_CASE("A small job runs to completion") {
  BatchSimulation simulation(BatchSimulationOptions{});
  const auto job =
      simulation.Submit("cairo-federation", "draw", MakeLines(40), 10);
  REQUIRE(simulation.RunUntilEnded(minutes(5)));
  CHECK(simulation.JobStateOf(job) == policy::JobState::kFinished);
  CHECK(AllCompleted(simulation, job));
  CHECK(simulation.attempts().size() == job.lines.size());
}

TEST_CASE("Chunks of a crashed VM are recovered") {
  BatchSimulation simulation(BatchSimulationOptions{});
  const auto job =
      simulation.Submit("cairo-federation", "draw", MakeLines(60), 10);
  simulation.RunFor(seconds(1));
  simulation.CrashVm(0, seconds(5));
  REQUIRE(simulation.RunUntilEnded(minutes(10)));
  CHECK(AllCompleted(simulation, job));
}

// Guards against a VM that takes its own renewal, whose response was lost, for
// that of a VM that recovered its chunks: it gave them up, and items that may
// be sent only once ended as unknown.
TEST_CASE("A VM whose renewal got no response keeps its chunks") {
  constexpr std::uint64_t kSeeds = 20;
  constexpr int kJobs = 4;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BatchSimulationOptions options;
    options.seed = seed;
    options.lost_responses = 0.1;
    options.max_item_duration = seconds(4);
    BatchSimulation simulation(options);
    std::vector<SubmittedJob> jobs;
    for (int i = 0; i < kJobs; ++i) {
      jobs.push_back(simulation.Submit("cairo-federation",
                                       fmt::format("draw{}", i), MakeLines(150),
                                       10, false));
    }
    REQUIRE(simulation.RunUntilEnded(minutes(30)));
    CAPTURE(seed);
    for (std::size_t vm = 0; vm < options.vms; ++vm) {
      CHECK(simulation.node(vm).counters().times_fenced == 0);
    }
    for (const auto& job : jobs) CHECK(AllCompleted(simulation, job));
  }
}

}  // namespace gypsumtrack::testing
