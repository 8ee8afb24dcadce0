#ifndef GYPSUMTRACK_POLICY_SERVING_CRASH_QUARANTINE_H_
#define GYPSUMTRACK_POLICY_SERVING_CRASH_QUARANTINE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/serving/endpoint_liveness.h"

/// Finds what crashes endpoints, a request that comes again and again or a part
/// of prompts, and puts it in quarantine, so that nothing with it is sent.
///
/// A crash takes along all requests that the endpoint was running. What tells
/// them apart: a part that causes a crash never lets a run get an event of its
/// answer, and a request that does never gets its whole answer. Either is
/// suspected if its runs ended by crashes of several endpoints, and cleared as
/// soon as a run makes that progress. So what sound requests share is never
/// suspected for long, and what only crashes endpoints has nothing to clear it.
///
/// Each daemon sees few of the crashes. It writes a report for each suspect,
/// all daemons read the reports of the others, and a daemon that has seen a run
/// with the suspect make progress removes them.
namespace gypsumtrack::policy {

/// What a crash may be blamed on.
enum class SuspectKind {
  kPromptPart,  ///< a part of prompts; the id is that of the part
  kRequest,     ///< a request that comes again; the id is its fingerprint
};

inline constexpr auto kSuspectKindNames =
    base::MakeEnumTable<SuspectKind>({{SuspectKind::kPromptPart, "part"},
                                      {SuspectKind::kRequest, "fingerprint"}});

/// A part of prompts, or a request.
struct CrashSuspect {
  SuspectKind kind = SuspectKind::kPromptPart;
  std::string id;

  auto operator<=>(const CrashSuspect&) const = default;
};

/// Returns the parts of a prompt as suspects.
std::vector<CrashSuspect> ToSuspects(
    const std::vector<base::PromptPart>& parts);

/// Returns the suspects of that kind.
std::vector<CrashSuspect> SelectKind(const std::vector<CrashSuspect>& suspects,
                                     SuspectKind kind);

/// A run that an endpoint's crash ended.
struct CrashedRun {
  base::EndpointId endpoint;
  std::uint64_t incarnation = 0;
  /// The fingerprint of the request, or the id of the item.
  std::string request;

  auto operator<=>(const CrashedRun&) const = default;
};

/// Identifies a report: one for each suspect and daemon.
struct CrashReportKey {
  CrashSuspect suspect;
  /// Name of the reporting daemon's VM.
  std::string daemon;

  auto operator<=>(const CrashReportKey&) const = default;
};

/// The crashed runs with a suspect that one daemon has seen.
struct CrashReport {
  CrashReportKey key;
  std::set<CrashedRun> runs;
  base::WallTime last_crash_at{};
};

/// Thresholds and times of CrashQuarantine.
struct CrashQuarantineOptions {
  /// A suspect is put in quarantine once this many endpoints have crashed, a
  /// part only if not all of them crashed under the same request.
  std::size_t min_endpoints = 3;
  /// Time from the last crash until requests with the suspect are sent again.
  base::Duration duration = std::chrono::minutes(10);
  /// Progress of a run with a part this recently rules out that it caused a
  /// crash. Spares the reports on parts that many requests share.
  base::Duration progress_window = std::chrono::seconds(2);
  /// Maximum delay before a daemon removes the reports on a suspect that it has
  /// seen make progress. Spreads the daemons, so that few remove the same ones.
  base::Duration max_removal_delay = std::chrono::milliseconds(400);
  /// Time for which the first crash under a request isn't reported. Each crash
  /// ends sound requests, most of which are answered elsewhere in that time.
  base::Duration request_report_delay = std::chrono::seconds(1);
  /// Maximum number of suspects about which something is remembered.
  std::size_t max_suspects = 4096;
  /// Maximum number of runs in one report.
  std::size_t max_runs_per_report = 8;
};

/// A suspect that is in quarantine.
struct QuarantinedSuspect {
  CrashSuspect suspect;
  base::WallTime until{};
};

/// What is under suspicion, by the reports of all daemons. Not thread-safe.
class CrashQuarantine {
 public:
  /// `self` is the name of this daemon's VM.
  CrashQuarantine(std::string self, CrashQuarantineOptions options);

  // Commands.

  /// Records that a run with these suspects made progress: for parts that it
  /// got an event or its whole answer, for a request that it got its whole
  /// answer. `random` is any number.
  void OnProgress(const std::vector<CrashSuspect>& suspects, base::Instant now,
                  std::uint64_t random);
  /// Records that the endpoint's crash ended a run with these suspects before
  /// it made progress. `crashed_at` is the time of the crash.
  void OnCrash(const std::vector<CrashSuspect>& suspects, const CrashedRun& run,
               base::WallTime crashed_at, base::Instant now);
  /// Records that the endpoint still runs: what was recorded as its crash was a
  /// lost connection. Returns the number of suspects that it was recorded for.
  std::size_t OnAlive(const EndpointIncarnation& endpoint);
  /// Returns this daemon's reports that have changed since they were last
  /// returned, to be written to the store. A report on a request that one crash
  /// ended is held back for a moment.
  std::vector<CrashReport> TakeChangedReports(base::Instant now);
  /// Records that these reports couldn't be written; they count as changed.
  void OnWriteFailed(const std::vector<CrashReport>& reports);
  /// Forgets all reports that were read, before a snapshot of them is applied.
  void ForgetReports();
  /// Applies a report that was read from the store.
  void ApplyReport(CrashReport report, std::uint64_t version);
  /// Applies the removal of a report from the store.
  void ApplyRemoval(const CrashReportKey& key);
  /// Returns the reports to remove from the store, with the versions at which
  /// they may be removed: those on suspects that have made progress, those of
  /// this daemon that hold no crash any more, and expired ones of this daemon
  /// or, if `collects_all`, of all.
  std::vector<std::pair<CrashReportKey, std::uint64_t>> TakeReportsToRemove(
      bool collects_all, base::Instant now, base::WallTime wall);

  // Queries.

  /// The first of these that is in quarantine.
  std::optional<QuarantinedSuspect> Find(
      const std::vector<CrashSuspect>& suspects, base::WallTime wall) const;
  /// Whether a report has to be written or removed.
  bool has_pending_reports() const;  // NOLINT

 private:
  struct StoredReport {
    std::set<CrashedRun> runs;
    base::WallTime last_crash_at{};
    std::uint64_t version = 0;
  };
  struct Evidence {
    /// As in the store, keyed by daemon.
    std::map<std::string, StoredReport> reports;
    /// Crashed runs that this daemon has seen, written or not.
    std::set<CrashedRun> own_runs;
    base::WallTime last_own_crash_at{};
    bool own_changed = false;
    /// Whether this daemon's stored report holds only crashes that weren't any.
    bool own_withdrawn = false;
    /// When a report that is held back is to be written.
    base::Instant held_until{};
    /// When to remove the reports because of progress.
    base::Instant remove_at = base::kNever;
  };

  /// When the newest crash under the suspect was; unset if too few were
  /// reported for a quarantine.
  std::optional<base::WallTime> QuarantinedSince(
      SuspectKind kind, const Evidence& evidence) const;
  void RememberProgress(const CrashSuspect& part, base::Instant now);
  void ForgetOldProgress(base::Instant now);

  std::string self;
  CrashQuarantineOptions options;
  std::map<CrashSuspect, Evidence> known;
  /// When a run with the part last made progress.
  std::map<CrashSuspect, base::Instant> progress;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_CRASH_QUARANTINE_H_
