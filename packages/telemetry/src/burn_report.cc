#include "gypsumtrack/telemetry/burn_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace gypsumtrack::telemetry {
namespace {

/// Burn rates that spend 2% of a 30-day budget in 1 h, and 10% in 3 d.
constexpr double kPageBurn = 14.4;
constexpr double kTicketBurn = 1.0;

struct GoodBad {
  std::uint64_t good = 0;
  std::uint64_t bad = 0;
};

GoodBad Availability(const WindowCounts& counts) {
  return {counts.Count(ServiceEvent::kServed),
          counts.Count(ServiceEvent::kRefusedNoShare) +
              counts.Count(ServiceEvent::kRefusedIsolated) +
              counts.Count(ServiceEvent::kRefusedOverload) +
              counts.Count(ServiceEvent::kFailed)};
}

GoodBad Latency(const WindowCounts& counts, double threshold_ms) {
  GoodBad sum;
  for (std::size_t i = 0; i < kLatencyBucketCount; ++i) {
    const bool within =
        i < kLatencyEdgesMs.size() && kLatencyEdgesMs[i] <= threshold_ms;
    (within ? sum.good : sum.bad) += counts.latency[i];
  }
  return sum;
}

GoodBad BatchDue(const WindowCounts& counts) {
  return {counts.Count(ServiceEvent::kBatchOnTime),
          counts.Count(ServiceEvent::kBatchLate)};
}

GoodBad Judge(ObjectiveKind kind, const WindowCounts& counts,
              const Objectives& objectives) {
  switch (kind) {
    case ObjectiveKind::kAvailability:
      return Availability(counts);
    case ObjectiveKind::kLatency:
      return Latency(counts, objectives.latency_threshold_ms);
    case ObjectiveKind::kBatchDue:
      return BatchDue(counts);
  }
  return {};
}

double Target(ObjectiveKind kind, const Objectives& objectives) {
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

std::optional<double> BurnRate(const GoodBad& counts, double target) {
  const auto total = counts.good + counts.bad;
  if (total == 0) return std::nullopt;
  const double bad_part =
      static_cast<double>(counts.bad) / static_cast<double>(total);
  const double budget = std::max(1 - target, 1e-9);
  return bad_part / budget;
}

bool BothAbove(const BurnRow& row, Window shorter, Window longer,
               double limit) {
  const auto above = [&](Window window) {
    return row.burn[static_cast<std::size_t>(window)].value_or(0) > limit;
  };
  return above(shorter) && above(longer);
}

Alarm FindAlarm(const BurnRow& row) {
  if (BothAbove(row, Window::kFiveMinutes, Window::kHour, kPageBurn)) {
    return Alarm::kPage;
  }
  if (BothAbove(row, Window::kSixHours, Window::kThreeDays, kTicketBurn)) {
    return Alarm::kTicket;
  }
  return Alarm::kNone;
}

std::optional<BurnRow> MakeRow(const SeriesId& series,
                               const SeriesCounts& counts, ObjectiveKind kind,
                               const Objectives& objectives) {
  BurnRow row{.series = series, .kind = kind};
  const auto target = Target(kind, objectives);
  for (std::size_t i = 0; i < kWindowCount; ++i) {
    row.burn[i] = BurnRate(Judge(kind, counts[i], objectives), target);
  }
  const auto& longest = row.burn.back();
  if (!longest) return std::nullopt;
  row.budget_left = 1 - *longest;
  row.alarm = FindAlarm(row);
  return row;
}

std::string BurnCell(const std::optional<double>& burn) {
  return burn ? fmt::format("{:.2f}", *burn) : "-";
}

std::string Bar(double part) {
  constexpr int kWidth = 20;
  const auto filled =
      static_cast<int>(std::lround(std::clamp(part, 0.0, 1.0) * kWidth));
  return std::string(filled, '#') + std::string(kWidth - filled, '.');
}

std::string EscapeHtml(const std::string& text) {
  std::string out;
  for (const char letter : text) {
    switch (letter) {
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
        out += letter;
    }
  }
  return out;
}

/// Bars of the four burn rates, on a scale that ends at the paging rate.
std::string BurnPlot(const BurnRow& row) {
  constexpr int kBarWidth = 18;
  constexpr int kHeight = 40;
  std::string plot =
      fmt::format("<svg width=\"{}\" height=\"{}\" role=\"img\">",
                  kBarWidth * static_cast<int>(kWindowCount), kHeight);
  for (std::size_t i = 0; i < kWindowCount; ++i) {
    const double part =
        std::clamp(row.burn[i].value_or(0) / kPageBurn, 0.0, 1.0);
    const auto height = static_cast<int>(std::lround(part * kHeight));
    plot += fmt::format(
        "<rect x=\"{}\" y=\"{}\" width=\"{}\" height=\"{}\" fill=\"{}\"/>",
        static_cast<int>(i) * kBarWidth, kHeight - height, kBarWidth - 3,
        height, row.alarm == Alarm::kNone ? "#4a7" : "#c43");
  }
  return plot + "</svg>";
}

}  // namespace

BurnReport MakeBurnReport(const ServiceCounts& counts,
                          const Objectives& objectives,
                          std::vector<std::string> silent_vms) {
  BurnReport report;
  report.silent_vms = std::move(silent_vms);
  for (const auto& [series, windows] : counts) {
    for (const auto& [kind, name] : kObjectiveKindNames.entries) {
      auto row = MakeRow(series, windows, kind, objectives);
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
        kObjectiveKindNames.Name(row.kind), BurnCell(row.burn[0]),
        BurnCell(row.burn[1]), BurnCell(row.burn[2]), BurnCell(row.burn[3]),
        Bar(row.budget_left), row.budget_left * 100,
        kAlarmNames.Name(row.alarm));
  }
  text += fmt::format("Refused in the last hour: {} over rate, {} within.\n",
                      report.refused_over_rate, report.refused_within_rate);
  for (const auto& vm : report.silent_vms) {
    text += fmt::format("No answer from {}: its counts are missing.\n", vm);
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
        BurnPlot(row), BurnCell(row.burn[0]), BurnCell(row.burn[1]),
        BurnCell(row.burn[2]), BurnCell(row.burn[3]), row.budget_left * 100,
        kAlarmNames.Name(row.alarm));
  }
  page += fmt::format(
      "</table><p>Refused in the last hour: {} over rate, {} within.</p>",
      report.refused_over_rate, report.refused_within_rate);
  for (const auto& vm : report.silent_vms) {
    page += fmt::format("<p>No answer from {}: its counts are missing.</p>",
                        EscapeHtml(vm));
  }
  return page + "</html>\n";
}

}  // namespace gypsumtrack::telemetry
