#include <fmt/format.h>

#include <charconv>
#include <string>
#include <utility>

#include "command.h"
#include "gypsumtrack/gateway/report_service.h"
#include "gypsumtrack/telemetry/burn_report.h"

namespace gypsumtrack::ctl {
namespace {

using telemetry::BurnReport;
using telemetry::Objectives;

/// A flag that sets an objective.
struct ObjectiveFlag {
  Flag flag;
  const char* name;
  double Objectives::*objective;
  /// Values must be above 0 and below this.
  double limit;
  /// The allowed values, for error messages.
  const char* expected;
};

/// Exclusive; the highest bound of telemetry::kLatencyBucketBoundsMs is 30000.
constexpr double kLatencyThresholdLimitMs = 30001;

constexpr ObjectiveFlag kObjectiveFlags[] = {
    {Flag::kAvailability, "availability", &Objectives::availability, 1,
     "a fraction between 0 and 1"},
    {Flag::kLatency, "latency", &Objectives::latency, 1,
     "a fraction between 0 and 1"},
    {Flag::kLatencyMs, "latency-ms", &Objectives::latency_threshold_ms,
     kLatencyThresholdLimitMs, "milliseconds, at most 30000"},
    {Flag::kBatchDue, "batch-due", &Objectives::batch_due, 1,
     "a fraction between 0 and 1"},
};

base::Outcome<Objectives> ReadObjectives(const Invocation& invocation) {
  Objectives objectives;
  for (const auto& spec : kObjectiveFlags) {
    if (!invocation.Has(spec.flag)) continue;
    const auto text = invocation.GetText(spec.flag);
    double number = 0;
    const auto end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, number);
    const bool valid = failure == std::errc() && stop == end && number > 0 &&
                       number < spec.limit;
    if (!valid) {
      return base::Error(base::Errc::kInvalid,
                         fmt::format("--{}: got \"{}\", expected {}", spec.name,
                                     text, spec.expected));
    }
    objectives.*spec.objective = number;
  }
  return objectives;
}

Json::Value EncodeReport(const BurnReport& report) {
  Json::Value rows(Json::arrayValue);
  for (const auto& row : report.rows) {
    Json::Value entry;
    entry["organisation"] = row.series.organisation.text;
    entry["service"] = row.series.service.text;
    entry["objective"] =
        std::string(telemetry::kObjectiveKindNames.Name(row.kind));
    for (const auto& [window, name] : telemetry::kWindowNames.entries) {
      const auto& burn_rate = row.burn_rates[static_cast<std::size_t>(window)];
      entry["burn"][std::string(name)] =
          burn_rate ? Json::Value(*burn_rate) : Json::Value();
    }
    entry["budget_left"] = row.budget_left;
    entry["alarm"] = std::string(telemetry::kAlarmNames.Name(row.alarm));
    rows.append(entry);
  }
  Json::Value json;
  json["rows"] = rows;
  json["refused_over_rate"] =
      static_cast<Json::UInt64>(report.refused_over_rate);
  json["refused_within_rate"] =
      static_cast<Json::UInt64>(report.refused_within_rate);
  json["silent_vms"] = Json::Value(Json::arrayValue);
  for (const auto& vm : report.unresponsive_vms) json["silent_vms"].append(vm);
  return json;
}

ExitCode ReportBurn(const Invocation& invocation, const Client& client,
                    const std::vector<std::string>& /*arguments*/) {
  const auto objectives = ReadObjectives(invocation);
  if (!objectives.ok()) return FailUsage(objectives.error().message);
  const auto response = Get(client, "/admin/report/counts");
  if (!response.ok()) return Fail(response.error());
  const auto counts = gateway::DecodeCounts((*response)["counts"]);
  if (!counts.ok()) return Fail(counts.error());
  std::vector<std::string> unresponsive_vms;
  for (const auto& vm : (*response)["silent_vms"])
    unresponsive_vms.push_back(vm.asString());
  const auto report = telemetry::MakeBurnReport(*counts, *objectives,
                                                std::move(unresponsive_vms));
  if (invocation.Has(Flag::kJson)) {
    Print(invocation, EncodeReport(report));
  } else if (invocation.Has(Flag::kHtml)) {
    fmt::print("{}", telemetry::FormatBurnHtml(report));
  } else {
    fmt::print("{}", telemetry::FormatBurnText(report));
  }
  return report.unresponsive_vms.empty() ? ExitCode::kSuccess
                                         : ExitCode::kPartial;
}

}  // namespace

std::vector<Command> ReportCommands() {
  return {{{"report", "burn"},
           {},
           "print how fast each organisation's error budget is spent",
           {Flag::kHtml, Flag::kAvailability, Flag::kLatency, Flag::kLatencyMs,
            Flag::kBatchDue},
           ReportBurn}};
}

}  // namespace gypsumtrack::ctl
