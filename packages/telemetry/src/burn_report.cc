#include "gypsumtrack/telemetry/burn_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace gypsumtrack::telemetry {
namespace {

/// Burn rates above which an alarm is raised: the first spends 2% of a 30-day
/// budget in 1 h, the second 10% in 3 d.
constexpr double kPageBurnRate = 14.4;
constexpr double kTicketBurnRate = 1.0;

/// Events that meet an objective and events that miss it.
struct EventCounts {
  std::uint64_t good = 0;
  std::uint64_t bad = 0;
};

EventCounts CountAvailability(const WindowCounts& counts) {
  return {counts.Count(ServiceEvent::kServed),
          counts.Count(ServiceEvent::kRefusedNoShare) +
              counts.Count(ServiceEvent::kRefusedIsolated) +
              counts.Count(ServiceEvent::kRefusedOverload) +
              counts.Count(ServiceEvent::kFailed)};
}

EventCounts CountLatency(const WindowCounts& counts, double threshold_ms) {
  EventCounts sum;
  for (std::size_t i = 0; i < kLatencyBucketCount; ++i) {
    const bool within = i < kLatencyBucketBoundsMs.size() &&
                        kLatencyBucketBoundsMs[i] <= threshold_ms;
    (within ? sum.good : sum.bad) += counts.latency[i];
  }
  return sum;
}

EventCounts CountBatchDue(const WindowCounts& counts) {
  return {counts.Count(ServiceEvent::kBatchOnTime),
          counts.Count(ServiceEvent::kBatchLate)};
}

EventCounts CountEvents(ObjectiveKind kind, const WindowCounts& counts,
                        const Objectives& objectives) {
  switch (kind) {
    case ObjectiveKind::kAvailability:
      return CountAvailability(counts);
    case ObjectiveKind::kLatency:
      return CountLatency(counts, objectives.latency_threshold_ms);
    case ObjectiveKind::kBatchDue:
      return CountBatchDue(counts);
  }
  return {};
}

double GetTarget(ObjectiveKind kind, const Objectives& objectives) {
  switch (kind) {
    case ObjectiveKind::kAvailability:
      return objectives.availability;
    case ObjectiveKind::kLatency:
      return objectives.latency;
    case ObjectiveKind::kBatchDue:
      return objectives.batch_due;
  }
  return 1;
}

std::optional<double> ComputeBurnRate(const EventCounts& counts,
                                      double target) {
  const auto total = counts.good + counts.bad;
  if (total == 0) return std::nullopt;
  const double bad_fraction =
      static_cast<double>(counts.bad) / static_cast<double>(total);
  const double budget = std::max(1 - target, 1e-9);
  return bad_fraction / budget;
}

bool BothExceed(const BurnRow& row, Window shorter, Window longer,
                double threshold) {
  const auto exceeds = [&](Window window) {
    return row.burn_rates[static_cast<std::size_t>(window)].value_or(0) >
           threshold;
  };
  return exceeds(shorter) && exceeds(longer);
}

Alarm DetermineAlarm(const BurnRow& row) {
  if (BothExceed(row, Window::kFiveMinutes, Window::kHour, kPageBurnRate)) {
    return Alarm::kPage;
  }
  if (BothExceed(row, Window::kSixHours, Window::kThreeDays, kTicketBurnRate)) {
    return Alarm::kTicket;
  }
  return Alarm::kNone;
}

std::optional<BurnRow> MakeBurnRow(const SeriesId& series,
                                   const SeriesCounts& counts,
                                   ObjectiveKind kind,
                                   const Objectives& objectives) {
  BurnRow row{.series = series, .kind = kind};
  const auto target = GetTarget(kind, objectives);
  for (std::size_t i = 0; i < kWindowCount; ++i) {
    row.burn_rates[i] =
        ComputeBurnRate(CountEvents(kind, counts[i], objectives), target);
  }
  const auto& longest = row.burn_rates.back();
  if (!longest) return std::nullopt;
  row.budget_left = 1 - *longest;
  row.alarm = DetermineAlarm(row);
  return row;
}

std::string FormatBurnRate(const std::optional<double>& burn_rate) {
  return burn_rate ? fmt::format("{:.2f}", *burn_rate) : "-";
}

std::string FormatBar(double fraction) {
  constexpr int kWidth = 20;
  const auto filled =
      static_cast<int>(std::lround(std::clamp(fraction, 0.0, 1.0) * kWidth));
  return std::string(filled, '#') + std::string(kWidth - filled, '.');
}

std::string EscapeHtml(const std::string& text) {
  std::string out;
  for (const char character : text) {
    switch (character) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      default:
        out += character;
    }
  }
  return out;
}

/// Returns an SVG bar chart of the burn rates of all windows. The scale ends at
/// kPageBurnRate.
std::string FormatBurnChart(const BurnRow& row) {
  constexpr int kBarWidth = 18;
  constexpr int kChartHeight = 40;
  std::string svg =
      fmt::format("<svg width=\"{}\" height=\"{}\" role=\"img\">",
                  kBarWidth * static_cast<int>(kWindowCount), kChartHeight);
  for (std::size_t i = 0; i < kWindowCount; ++i) {
    const double fraction =
        std::clamp(row.burn_rates[i].value_or(0) / kPageBurnRate, 0.0, 1.0);
    const auto height = static_cast<int>(std::lround(fraction * kChartHeight));
    svg += fmt::format(
        "<rect x=\"{}\" y=\"{}\" width=\"{}\" height=\"{}\" fill=\"{}\"/>",
        static_cast<int>(i) * kBarWidth, kChartHeight - height, kBarWidth - 3,
        height, row.alarm == Alarm::kNone ? "#4a7" : "#c43");
  }
  return svg + "</svg>";
}

}  // namespace

BurnReport MakeBurnReport(const ServiceCounts& counts,
                          const Objectives& objectives,
                          std::vector<std::string> unresponsive_vms) {
  BurnReport report;
  report.unresponsive_vms = std::move(unresponsive_vms);
  for (const auto& [series, windows] : counts) {
    for (const auto& [kind, name] : kObjectiveKindNames.entries) {
      auto row = MakeBurnRow(series, windows, kind, objectives);
      if (row) report.rows.push_back(std::move(*row));
    }
    const auto& hour = windows[static_cast<std::size_t>(Window::kHour)];
    report.refused_over_rate += hour.Count(ServiceEvent::kRefusedOverRate);
    report.refused_within_rate += hour.Count(ServiceEvent::kRefusedNoShare) +
                                  hour.Count(ServiceEvent::kRefusedIsolated);
  }
  std::stable_sort(report.rows.begin(), report.rows.end(),
                   [](const BurnRow& a, const BurnRow& b) {
                     return std::tuple(b.alarm, a.budget_left) <
                            std::tuple(a.alarm, b.budget_left);
                   });
  return report;
}

std::string FormatBurnText(const BurnReport& report) {
  std::string text =
      fmt::format("{:<20} {:<14} {:<13} {:>7} {:>7} {:>7} {:>7}  {:<20} {}\n",
                  "ORGANISATION", "SERVICE", "OBJECTIVE", "5m", "1h", "6h",
                  "3d", "BUDGET LEFT", "ALARM");
  for (const auto& row : report.rows) {
    text += fmt::format(
        "{:<20} {:<14} {:<13} {:>7} {:>7} {:>7} {:>7}  {} {:.0f}% {}\n",
        row.series.organisation.text, row.series.service.text,
        kObjectiveKindNames.Name(row.kind), FormatBurnRate(row.burn_rates[0]),
        FormatBurnRate(row.burn_rates[1]), FormatBurnRate(row.burn_rates[2]),
        FormatBurnRate(row.burn_rates[3]), FormatBar(row.budget_left),
        row.budget_left * 100, kAlarmNames.Name(row.alarm));
  }
  text += fmt::format("Refused in the last hour: {} over rate, {} within.\n",
                      report.refused_over_rate, report.refused_within_rate);
  for (const auto& vm : report.unresponsive_vms) {
    text += fmt::format("No response from {}: its counts are missing.\n", vm);
  }
  return text;
}

std::string FormatBurnHtml(const BurnReport& report) {
  std::string page =
      "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">"
      "<title>Service-level burn</title><style>body{font-family:sans-serif}"
      "td,th{padding:4px 10px;text-align:left}</style>"
      "<h1>Service-level burn</h1><table><tr><th>Organisation<th>Service"
      "<th>Objective<th>Burn over 5 m, 1 h, 6 h, 3 d<th>Budget left<th>Alarm";
  for (const auto& row : report.rows) {
    page += fmt::format(
        "<tr><td>{}<td>{}<td>{}<td>{} {} / {} / {} / {}<td>{:.0f}%<td>{}",
        EscapeHtml(row.series.organisation.text),
        EscapeHtml(row.series.service.text), kObjectiveKindNames.Name(row.kind),
        FormatBurnChart(row), FormatBurnRate(row.burn_rates[0]),
        FormatBurnRate(row.burn_rates[1]), FormatBurnRate(row.burn_rates[2]),
        FormatBurnRate(row.burn_rates[3]), row.budget_left * 100,
        kAlarmNames.Name(row.alarm));
  }
  page += fmt::format(
      "</table><p>Refused in the last hour: {} over rate, {} within.</p>",
      report.refused_over_rate, report.refused_within_rate);
  for (const auto& vm : report.unresponsive_vms) {
    page += fmt::format("<p>No response from {}: its counts are missing.</p>",
                        EscapeHtml(vm));
  }
  return page + "</html>\n";
}

}  // namespace gypsumtrack::telemetry
