#ifndef GYPSUMTRACK_POLICY_SERVING_JOB_OWNERS_H_
#define GYPSUMTRACK_POLICY_SERVING_JOB_OWNERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/serving/region_limit.h"

/// Tracks which daemon owns each open batch job, from the store's owner rows.
namespace gypsumtrack::policy {

/// Identifies a job: job ids are unique within an organisation.
struct JobKey {
  base::Organisation organisation;
  base::JobId job;

  auto operator<=>(const JobKey&) const = default;
};

/// A row of the store that states the owner of a job.
struct OwnerRow {
  JobKey key;
  /// Has an empty VM name if no daemon owns the job.
  base::VmId owner;
  std::uint64_t version = 0;
  /// The regions whose daemons may own the job.
  RegionLimit allowed_regions;
};

/// Why a daemon must stop running a job.
enum class JobLossReason {
  kEnded,           ///< its row was removed
  kOwnedElsewhere,  ///< a newer row exists, which this daemon didn't write
};

/// Names of the reasons in log events.
inline constexpr auto kJobLossReasonNames = base::MakeEnumTable<JobLossReason>({
    {JobLossReason::kEnded, "ended"},
    {JobLossReason::kOwnedElsewhere, "owned-elsewhere"},
});

/// A job that this daemon must stop running.
struct LostJob {
  JobKey key;
  JobLossReason reason = JobLossReason::kEnded;

  auto operator<=>(const LostJob&) const = default;
};

/// The state of the daemons' leases as this daemon sees it.
struct LeaseView {
  /// Whether that daemon has certainly lost its lease.
  std::function<bool(const base::VmId&)> is_lost;
  /// Returns the lease holders that may adopt a job of that daemon, or of none
  /// if its VM name is empty.
  std::function<std::vector<base::VmId>(const base::VmId&)> adopters;
  /// Returns the lease holders in the allowed regions, who may adopt a job that
  /// must not be held elsewhere.
  std::function<std::vector<base::VmId>(const RegionLimit&)> holders_in;
};

/// Returns whether the daemon ranks first for `name` among `candidates` by
/// rendezvous hashing, so that daemons that know the same candidates agree who
/// acts. Thread-safe.
bool RanksFirst(const base::VmId& daemon, const std::string& name,
                const std::vector<base::VmId>& candidates);

/// The owner rows of all open jobs and the jobs that this daemon runs. Not
/// thread-safe; used on one thread.
class JobOwners {
 public:
  /// `self_id` identifies this daemon.
  explicit JobOwners(base::VmId self_id);

  // Commands.

  /// Records that this daemon runs the job, under the owner row of that
  /// version. Returns the reason why it must not, if the job has ended or has
  /// been taken over since that version; nothing is recorded then. The rows
  /// are read beside the calls that acquire a job, so that they may already
  /// contain later changes.
  std::optional<JobLossReason> OnAcquired(const JobKey& key,
                                          std::uint64_t version,
                                          base::Instant now);
  /// Records that this daemon no longer runs the job.
  void OnReleased(const JobKey& key);
  /// Records that this daemon ended the job by a change of the store that has
  /// that version.
  void OnJobEnded(const JobKey& key, std::uint64_t version);
  /// Replaces the known rows by a snapshot of the table that is complete up to
  /// the store's version `as_of`. Returns the jobs that this daemon must stop
  /// running.
  std::vector<LostJob> ApplySnapshot(const std::vector<OwnerRow>& rows,
                                     std::uint64_t as_of, base::Instant now);
  /// Applies a new or changed row; returns its job if this daemon must stop
  /// running it.
  std::vector<LostJob> ApplyRow(const OwnerRow& row, base::Instant now);
  /// Applies the removal of a row; returns its job if this daemon must stop
  /// running it.
  std::vector<LostJob> ApplyRemoval(const JobKey& key);
  /// Records that all changes up to the store's version `as_of` were applied.
  void OnChangesApplied(std::uint64_t as_of);

  // Queries.

  /// Jobs without a live owner that this daemon should take over. Each job is
  /// assigned to the adopter that ranks first for it, so that daemons don't
  /// compete for it. A row that has just changed is left for a grace period:
  /// its owner may have started so recently that its lease isn't known yet, or
  /// be this daemon, which is about to run the job.
  std::vector<OwnerRow> OrphansToAdopt(const LeaseView& leases,
                                       base::Instant now) const;

 private:
  struct CachedRow {
    base::VmId owner;
    std::uint64_t version = 0;
    RegionLimit allowed_regions;
    /// When the row was first seen; the minimum if it was part of the first
    /// snapshot and may have been there for long.
    base::Instant seen_at{};
  };

  /// Caches the row unless the same or a later version of it is cached.
  void CacheRow(const OwnerRow& row, base::Instant now);

  base::VmId self;
  std::map<JobKey, CachedRow> rows;
  bool has_snapshot = false;
  /// Version of the store up to which `rows` holds all changes.
  std::uint64_t applied_version = 0;
  /// Jobs that this daemon ended by changes that aren't applied yet, with the
  /// versions of these changes.
  std::map<JobKey, std::uint64_t> ended_versions;
  /// Jobs that this daemon runs, with the versions of their owner rows.
  std::map<JobKey, std::uint64_t> owned_versions;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_JOB_OWNERS_H_
