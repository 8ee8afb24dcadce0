#ifndef GYPSUMTRACK_TELEMETRY_BURN_REPORT_H_
#define GYPSUMTRACK_TELEMETRY_BURN_REPORT_H_

#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/telemetry/service_level.h"

/// How fast each organisation's error budget is spent.
namespace gypsumtrack::telemetry {

enum class ObjectiveKind { kAvailability, kLatency, kBatchDue };

inline constexpr auto kObjectiveKindNames = base::MakeEnumTable<ObjectiveKind>({
    {ObjectiveKind::kAvailability, "availability"},
    {ObjectiveKind::kLatency, "latency"},
    {ObjectiveKind::kBatchDue, "batch_due"},
});

/// The part of events that must be good.
struct Objectives {
  double availability = 0.999;
  double latency = 0.95;
  /// Rounded down to an edge of kLatencyEdgesMs.
  double latency_threshold_ms = 780;
  double batch_due = 0.99;
};

enum class Alarm {
  kNone,
  kTicket,  ///< slow burn: 6 h and 3 d windows
  kPage,    ///< fast burn: 5 min and 1 h windows
};

inline constexpr auto kAlarmNames = base::MakeEnumTable<Alarm>({
    {Alarm::kNone, "none"},
    {Alarm::kTicket, "ticket"},
    {Alarm::kPage, "page"},
});

struct BurnRow {
  SeriesId series;
  ObjectiveKind kind = ObjectiveKind::kAvailability;
  /// Bad part over the budgeted part, a window each; 1 spends the budget just
  /// in time. None if the window has no events.
  std::array<std::optional<double>, kWindowCount> burn;
  /// Part of the three days' budget that is left; below 0 if overspent.
  double budget_left = 1;
  Alarm alarm = Alarm::kNone;
};

struct BurnReport {
  std::vector<BurnRow> rows;
  /// Of the last hour, rightly and wrongly.
  std::uint64_t refused_over_rate = 0;
  std::uint64_t refused_within_rate = 0;
  /// Daemons whose counts are missing.
  std::vector<std::string> silent_vms;
};

/// Rows with an alarm first, then by budget left. Thread-safe.
BurnReport MakeBurnReport(const ServiceCounts& counts,
                          const Objectives& objectives,
                          std::vector<std::string> silent_vms);

/// Lines with bars for a terminal. Thread-safe.
std::string FormatBurnText(const BurnReport& report);

/// One page that needs no other file. Thread-safe.
std::string FormatBurnHtml(const BurnReport& report);

}  // namespace gypsumtrack::telemetry

#endif  // GYPSUMTRACK_TELEMETRY_BURN_REPORT_H_
