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

const WindowCounts& GetWindowCounts(const ServiceCounts& counts,
                                    Window window) {
  return counts.at(kSeries)[static_cast<std::size_t>(window)];
}

TEST_CASE("counts expire from each window after its duration") {
  ServiceLevels levels;
  levels.Record(kSeries, ServiceEvent::kServed, milliseconds(120), kStart);
  const auto now = levels.Counts(kStart);
  CHECK(
      GetWindowCounts(now, Window::kFiveMinutes).Count(ServiceEvent::kServed) ==
      1);
  CHECK(GetWindowCounts(now, Window::kFiveMinutes).latency[2] == 1);
  const auto later = levels.Counts(kStart + minutes(10));
  CHECK(GetWindowCounts(later, Window::kFiveMinutes)
            .Count(ServiceEvent::kServed) == 0);
  CHECK(GetWindowCounts(later, Window::kHour).Count(ServiceEvent::kServed) ==
        1);
  const auto next_week = levels.Counts(kStart + hours(24 * 7));
  CHECK(GetWindowCounts(next_week, Window::kThreeDays)
            .Count(ServiceEvent::kServed) == 0);
}

TEST_CASE("merged counts of two daemons equal those of a single daemon") {
  rc::prop("any distribution of events",
           [](const std::vector<std::uint8_t>& minutes_apart) {
             ServiceLevels single;
             ServiceLevels split[2];
             auto now = kStart;
             for (const auto gap : minutes_apart) {
               now += minutes(gap);
               single.Record(kSeries, ServiceEvent::kFailed, {}, now);
               split[gap % 2].Record(kSeries, ServiceEvent::kFailed, {}, now);
             }
             auto merged = split[0].Counts(now);
             MergeCounts(merged, split[1].Counts(now));
             RC_ASSERT(merged == single.Counts(now));
           });
}

}  // namespace
}  // namespace gypsumtrack::telemetry
