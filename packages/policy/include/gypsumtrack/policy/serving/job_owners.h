#ifndef GYPSUMTRACK_POLICY_SERVING_JOB_OWNERS_H_
#define GYPSUMTRACK_POLICY_SERVING_JOB_OWNERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"

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
  /// Daemons that hold a lease.
  std::vector<base::VmId> holders;
};

/// The owner rows of all open jobs and the jobs that this daemon runs. Not
/// thread-safe; used on one thread.
class JobOwners {
 public:
  /// `self_id` identifies this daemon.
  explicit JobOwners(base::VmId self_id);

  // Commands.

  /// Records that this daemon runs the job, under the owner row of that
  /// version.
  void OnAcquired(const JobKey& key, std::uint64_t version, base::Instant now);
  /// Records that this daemon no longer runs the job.
  void OnReleased(const JobKey& key);
  /// Records that this daemon ended the job.
  void OnJobEnded(const JobKey& key);
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

  // Queries.

  /// Jobs without a live owner that this daemon should take over. Each job is
  /// assigned to the lease holder that ranks first for it, so that daemons
  /// don't compete for it. Includes jobs whose row states this daemon as the
  /// owner although it hasn't run them for a grace period.
  std::vector<OwnerRow> OrphansToAdopt(const LeaseView& leases,
                                       base::Instant now) const;

 private:
  struct CachedRow {
    base::VmId owner;
    std::uint64_t version = 0;
    base::Instant seen_at{};
  };

  /// Caches the row unless the same or a later version of it is cached.
  void CacheRow(const OwnerRow& row, base::Instant now);

  base::VmId self;
  std::map<JobKey, CachedRow> rows;
  /// Jobs that this daemon runs, with the versions of their owner rows.
  std::map<JobKey, std::uint64_t> owned_versions;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_JOB_OWNERS_H_
