#ifndef GYPSUMTRACK_TELEMETRY_BURN_REPORT_H_
#define GYPSUMTRACK_TELEMETRY_BURN_REPORT_H_

#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/telemetry/service_level.h"

/// Error budget burn rates of each organisation and service.
namespace gypsumtrack::telemetry {

/// The service-level objectives that a report covers.
enum class ObjectiveKind { kAvailability, kLatency, kBatchDue };

/// The names of the objectives in reports.
inline constexpr auto kObjectiveKindNames = base::MakeEnumTable<ObjectiveKind>({
    {ObjectiveKind::kAvailability, "availability"},
    {ObjectiveKind::kLatency, "latency"},
    {ObjectiveKind::kBatchDue, "batch_due"},
});

/// Targets of the service-level objectives. Each is the fraction of events that
/// must be good, between 0 and 1, except for the latency threshold.
struct Objectives {
  /// Served requests among those within the rate.
  double availability = 0.999;
  /// Served requests whose first byte is sent within `latency_threshold_ms`.
  double latency = 0.95;
  /// In milliseconds; rounded down to a bound of kLatencyBucketBoundsMs.
  double latency_threshold_ms = 780;
  /// Batch items that finish by their due time.
  double batch_due = 0.99;
};

/// The severity of a burn rate: an alarm is raised only if the burn rates of
/// both windows exceed the limit.
enum class Alarm {
  kNone,
  kTicket,  ///< slow burn, over 6 h and 3 d
  kPage,    ///< fast burn, over 5 min and 1 h
};

/// The names of the alarms in reports.
inline constexpr auto kAlarmNames = base::MakeEnumTable<Alarm>({
    {Alarm::kNone, "none"},
    {Alarm::kTicket, "ticket"},
    {Alarm::kPage, "page"},
});

/// The state of one objective of one organisation and service.
struct BurnRow {
  SeriesId series;
  ObjectiveKind kind = ObjectiveKind::kAvailability;
  /// Fraction of bad events divided by the fraction that the objective allows,
  /// by Window. At 1 the budget lasts exactly its period. Empty if the window
  /// has no events.
  std::array<std::optional<double>, kWindowCount> burn_rates;
  /// Remaining fraction of the three-day budget; negative if overspent.
  double budget_left = 1;
  Alarm alarm = Alarm::kNone;
};

/// The burn rates of all organisations, as returned by MakeBurnReport.
struct BurnReport {
  std::vector<BurnRow> rows;
  /// Requests refused in the last hour because the organisation exceeded its
  /// rate and burst.
  std::uint64_t refused_over_rate = 0;
  /// Requests refused in the last hour although the organisation was within its
  /// rate.
  std::uint64_t refused_within_rate = 0;
  /// VMs whose daemon did not respond; their counts are missing.
  std::vector<std::string> unresponsive_vms;
};

/// Computes the burn rates of each series that has events in the three-day
/// window. Sorts rows by severity of the alarm, then by the remaining budget,
/// lowest first. Thread-safe.
BurnReport MakeBurnReport(const ServiceCounts& counts,
                          const Objectives& objectives,
                          std::vector<std::string> unresponsive_vms);

/// Formats the report as a text table for a terminal. Thread-safe.
std::string FormatBurnText(const BurnReport& report);

/// Formats the report as a self-contained HTML page. Thread-safe.
std::string FormatBurnHtml(const BurnReport& report);

}  // namespace gypsumtrack::telemetry

#endif  // GYPSUMTRACK_TELEMETRY_BURN_REPORT_H_
