#ifndef GYPSUMTRACK_POLICY_SERVING_PROMPT_QUARANTINE_H_
#define GYPSUMTRACK_POLICY_SERVING_PROMPT_QUARANTINE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"

/// Finds parts of prompts that crash endpoints and puts them in quarantine, so
/// that no further request with them is sent.
///
/// A crash takes along all requests that the endpoint was running. What tells
/// them apart: the request that caused it never got an event of its answer. A
/// part is suspected if runs with it ended by crashes of several endpoints
/// before their first event, and cleared as soon as any run with it gets one.
/// So a part that many sound requests share is never suspected for long, and
/// a part that only crashes endpoints has nothing to clear it.
///
/// Each daemon sees few of the crashes. It writes a report for each suspected
/// part, all daemons read the reports of the others, and a daemon that has seen
/// a run with the part get an event removes them.
namespace gypsumtrack::policy {

/// A run that an endpoint's crash ended before the first event of the answer.
struct CrashedRun {
  base::EndpointId endpoint;
  std::uint64_t incarnation = 0;
  std::string request_id;

  auto operator<=>(const CrashedRun&) const = default;
};

/// Identifies a report: one for each part and daemon.
struct CrashReportKey {
  base::PromptPart part;
  /// Name of the reporting daemon's VM.
  std::string daemon;

  auto operator<=>(const CrashReportKey&) const = default;
};

/// The crashed runs with a part that one daemon has seen.
struct CrashReport {
  CrashReportKey key;
  std::set<CrashedRun> runs;
  base::WallTime last_crash_at{};
};

/// Thresholds and times of PromptQuarantine.
struct PromptQuarantineOptions {
  /// A part is put in quarantine once this many endpoints have crashed,
  std::size_t min_endpoints = 3;
  /// under this many requests.
  std::size_t min_requests = 2;
  /// Time from the last crash until requests with the part are sent again.
  base::Duration duration = std::chrono::minutes(10);
  /// A run with the part that got an event this recently rules out that the
  /// part caused a crash. Spares the reports on parts that many requests share.
  base::Duration progress_window = std::chrono::seconds(2);
  /// Maximum delay before a daemon removes the reports on a part that it has
  /// seen make progress. Spreads the daemons, so that few remove the same ones.
  base::Duration max_removal_delay = std::chrono::milliseconds(400);
  /// Maximum number of parts about which something is remembered.
  std::size_t max_parts = 4096;
  /// Maximum number of runs in one report.
  std::size_t max_runs_per_report = 8;
};

/// A part of a request that is in quarantine.
struct QuarantinedPart {
  base::PromptPart part;
  base::WallTime until{};
};

/// The parts under suspicion, from the reports of all daemons. Not thread-safe.
class PromptQuarantine {
 public:
  /// `self` is the name of this daemon's VM.
  PromptQuarantine(std::string self, PromptQuarantineOptions options);

  // Commands.

  /// Records that a run with these parts got an event, or its whole answer.
  /// `random` is any number.
  void OnProgress(const std::vector<base::PromptPart>& parts, base::Instant now,
                  std::uint64_t random);
  /// Records that the endpoint's crash ended a run with these parts before its
  /// first event. `crashed_at` is the time of the crash.
  void OnCrash(const std::vector<base::PromptPart>& parts,
               const CrashedRun& run, base::WallTime crashed_at,
               base::Instant now);
  /// Returns this daemon's reports that have changed since the last call, to be
  /// written to the store.
  std::vector<CrashReport> TakeChangedReports();
  /// Records that these reports couldn't be written; they count as changed.
  void OnWriteFailed(const std::vector<CrashReport>& reports);
  /// Forgets all reports that were read, before a snapshot of them is applied.
  void ForgetReports();
  /// Applies a report that was read from the store.
  void ApplyReport(CrashReport report, std::uint64_t version);
  /// Applies the removal of a report from the store.
  void ApplyRemoval(const CrashReportKey& key);
  /// Returns the reports to remove from the store, with the versions at which
  /// they may be removed: those on parts that have made progress, and expired
  /// ones of this daemon or, if `collects_all`, of all.
  std::vector<std::pair<CrashReportKey, std::uint64_t>> TakeReportsToRemove(
      bool collects_all, base::Instant now, base::WallTime wall);

  // Queries.

  /// The first of the parts that is in quarantine.
  std::optional<QuarantinedPart> Find(
      const std::vector<base::PromptPart>& parts, base::WallTime wall) const;
  /// Whether a report has to be written or removed.
  bool has_pending_reports() const;  // NOLINT

 private:
  struct StoredReport {
    std::set<CrashedRun> runs;
    base::WallTime last_crash_at{};
    std::uint64_t version = 0;
  };
  struct Suspect {
    /// As in the store, keyed by daemon.
    std::map<std::string, StoredReport> reports;
    /// Crashed runs that this daemon has seen, written or not.
    std::set<CrashedRun> own_runs;
    base::WallTime last_own_crash_at{};
    bool own_changed = false;
    /// When to remove the reports because of progress.
    base::Instant remove_at = base::kNever;
  };

  /// When the newest crash under the part was; unset if too few were reported
  /// for a quarantine.
  std::optional<base::WallTime> QuarantinedSince(const Suspect& suspect) const;
  void ForgetOldProgress(base::Instant now);

  std::string self;
  PromptQuarantineOptions options;
  std::map<base::PromptPart, Suspect> suspects;
  /// When a run with the part last got an event.
  std::unordered_map<base::PromptPart, base::Instant> progress;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_PROMPT_QUARANTINE_H_
