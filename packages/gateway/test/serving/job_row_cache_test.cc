#include "../../src/serving/job_row_cache.h"

#include <catch2/catch.hpp>
#include <string>

namespace gypsumtrack::gateway {
namespace {

JobKey MakeKey(std::size_t number) {
  return {base::Organisation("club"), base::JobId(std::to_string(number))};
}

layout::JobRow MakeRow(std::size_t items) {
  layout::JobRow row;
  row.items = items;
  return row;
}

std::size_t CountCached(const JobRowCache& cache, std::size_t inserted) {
  std::size_t count = 0;
  for (std::size_t i = 0; i < inserted; ++i) {
    if (cache.Find(MakeKey(i)) != nullptr) ++count;
  }
  return count;
}

TEST_CASE("rows of accepted jobs are cached") {
  JobRowCache cache;
  CHECK(cache.Find(MakeKey(1)) == nullptr);
  cache.Insert(MakeKey(1), MakeRow(7));
  REQUIRE(cache.Find(MakeKey(1)) != nullptr);
  CHECK(cache.Find(MakeKey(1))->items == 7);
  SECTION("by organisation and job") {
    const JobKey other{base::Organisation("guild"), base::JobId("1")};
    CHECK(cache.Find(other) == nullptr);
  }
}

// Guards against a daemon whose memory grows with each job that it accepts.
TEST_CASE("the cache of job rows is bounded") {
  JobRowCache cache;
  const auto count = JobRowCache::kMaxRows + 1;
  for (std::size_t i = 0; i < count; ++i) cache.Insert(MakeKey(i), MakeRow(1));
  CHECK(CountCached(cache, count) <= JobRowCache::kMaxRows);
  CHECK(cache.Find(MakeKey(count - 1)) != nullptr);
}

}  // namespace
}  // namespace gypsumtrack::gateway
