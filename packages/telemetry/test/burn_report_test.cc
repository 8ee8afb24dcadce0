#include "gypsumtrack/telemetry/burn_report.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::telemetry {
namespace {

/// Returns the same counts for every window.
SeriesCounts MakeUniformCounts(std::uint64_t served, std::uint64_t failed) {
  SeriesCounts counts;
  for (auto& window : counts) {
    window.events[static_cast<std::size_t>(ServiceEvent::kServed)] = served;
    window.events[static_cast<std::size_t>(ServiceEvent::kFailed)] = failed;
  }
  return counts;
}

TEST_CASE("the report lists the highest alarm first") {
  ServiceCounts counts;
  counts[{base::Organisation("calm"), base::Service("s")}] =
      MakeUniformCounts(10000, 1);
  counts[{base::Organisation("<burning>"), base::Service("s")}] =
      MakeUniformCounts(100, 5);
  const auto report = MakeBurnReport(counts, {}, {"vm-9"});
  REQUIRE(report.rows.size() == 2);
  CHECK(report.rows[0].series.organisation.text == "<burning>");
  CHECK(report.rows[0].alarm == Alarm::kPage);
  CHECK(report.rows[1].alarm == Alarm::kNone);
  CHECK(report.rows[1].budget_left == Approx(0.9).epsilon(0.01));
  SECTION("and lists the VMs that did not respond") {
    CHECK(FormatBurnText(report).find("No response from vm-9") !=
          std::string::npos);
  }
  SECTION("and escapes names in the HTML page") {
    const auto page = FormatBurnHtml(report);
    CHECK(page.find("&lt;burning&gt;") != std::string::npos);
    CHECK(page.find("<burning>") == std::string::npos);
  }
}

TEST_CASE("refusals over the rate do not consume the error budget") {
  ServiceCounts counts;
  auto& series = counts[{base::Organisation("loud"), base::Service("s")}];
  series = MakeUniformCounts(100, 0);
  for (auto& window : series) {
    window.events[static_cast<std::size_t>(ServiceEvent::kRefusedOverRate)] =
        900;
  }
  const auto report = MakeBurnReport(counts, {}, {});
  REQUIRE(report.rows.size() == 1);
  CHECK(report.rows[0].budget_left == 1);
  CHECK(report.refused_over_rate == 900);
}

}  // namespace
}  // namespace gypsumtrack::telemetry
