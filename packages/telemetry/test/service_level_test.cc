#include "gypsumtrack/telemetry/service_level.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <chrono>

namespace gypsumtrack::telemetry {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

const SeriesId kSeries{base::Organisation("cairo"), base::Service("clockdesk")};
const base::WallTime kStart{hours(24 * 365)};

const WindowCounts& At(const ServiceCounts& counts, Window window) {
  return counts.at(kSeries)[static_cast<std::size_t>(window)];
}

TEST_CASE("counts leave each window in their turn") {
  ServiceLevels levels;
  levels.Record(kSeries, ServiceEvent::kServed, milliseconds(120), kStart);
  const auto now = levels.Counts(kStart);
  CHECK(At(now, Window::kFiveMinutes).Count(ServiceEvent::kServed) == 1);
  CHECK(At(now, Window::kFiveMinutes).latency[2] == 1);
  const auto later = levels.Counts(kStart + minutes(10));
  CHECK(At(later, Window::kFiveMinutes).Count(ServiceEvent::kServed) == 0);
  CHECK(At(later, Window::kHour).Count(ServiceEvent::kServed) == 1);
  const auto next_week = levels.Counts(kStart + hours(24 * 7));
  CHECK(At(next_week, Window::kThreeDays).Count(ServiceEvent::kServed) == 0);
}

TEST_CASE("merged counts of daemons equal one daemon that saw all") {
  rc::prop("any split", [](const std::vector<std::uint8_t>& minutes_apart) {
    ServiceLevels whole;
    ServiceLevels parts[2];
    auto now = kStart;
    for (const auto gap : minutes_apart) {
      now += minutes(gap);
      whole.Record(kSeries, ServiceEvent::kFailed, {}, now);
      parts[gap % 2].Record(kSeries, ServiceEvent::kFailed, {}, now);
    }
    auto merged = parts[0].Counts(now);
    MergeCounts(merged, parts[1].Counts(now));
    RC_ASSERT(merged == whole.Counts(now));
  });
}

}  // namespace
}  // namespace gypsumtrack::telemetry
