#include "gypsumtrack/testing/batch_world.h"

#include <fmt/format.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace gypsumtrack::testing {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

std::vector<std::string> Lines(std::size_t count) {
  std::vector<std::string> lines;
  for (std::size_t i = 0; i < count; ++i) {
    lines.push_back(fmt::format("{{\"n\":{}}}", i));
  }
  return lines;
}

bool AllCompleted(const BatchWorld& world, const SubmittedJob& job) {
  const auto results = world.Results(job);
  if (results.size() != job.lines.size()) return false;
  for (const auto& [item, result] : results) {
    if (result.state != policy::ItemState::kCompleted) return false;
    if (result.body != "done:" + job.lines[item]) return false;
  }
  return true;
}

}  // namespace

TEST_CASE("A job of a few items runs to its end") {
  BatchWorld world(BatchWorldOptions{});
  const auto job = world.Submit("cairo-federation", "draw", Lines(40), 10);
  REQUIRE(world.RunUntilEnded(minutes(5)));
  CHECK(world.StateOf(job) == policy::JobState::kFinished);
  CHECK(AllCompleted(world, job));
  CHECK(world.sends().size() == job.lines.size());
}

TEST_CASE("A lost VM's chunks are recovered") {
  BatchWorld world(BatchWorldOptions{});
  const auto job = world.Submit("cairo-federation", "draw", Lines(60), 10);
  world.RunFor(seconds(1));
  world.LoseVm(0, seconds(5));
  REQUIRE(world.RunUntilEnded(minutes(10)));
  CHECK(AllCompleted(world, job));
}

}  // namespace gypsumtrack::testing
