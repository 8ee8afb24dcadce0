#ifndef GYPSUMTRACK_POLICY_SERVING_JOB_OWNERS_H_
#define GYPSUMTRACK_POLICY_SERVING_JOB_OWNERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"

/// Which daemon runs which open batch job, as the store's rows say.
namespace gypsumtrack::policy {

/// Names a job: ids are unique within an organisation.
struct JobKey {
  base::Organisation organisation;
  base::JobId job;

  auto operator<=>(const JobKey&) const = default;
};

/// A row that names a job's owner; an empty name means nobody.
struct OwnerRow {
  JobKey key;
  base::VmId owner;
  std::uint64_t version = 0;
};

/// Why a daemon must stop running a job.
enum class JobLossReason { kEnded, kOwnedElsewhere };

inline constexpr auto kJobLossReasonNames = base::MakeEnumTable<JobLossReason>({
    {JobLossReason::kEnded, "ended"},
    {JobLossReason::kOwnedElsewhere, "owned-elsewhere"},
});

struct LostJob {
  JobKey key;
  JobLossReason reason = JobLossReason::kEnded;

  auto operator<=>(const LostJob&) const = default;
};

/// What is known of the daemons' leases.
struct LeaseView {
  std::function<bool(const base::VmId&)> is_lost;
  std::vector<base::VmId> holders;
};

/// Not thread-safe; used on one thread.
class JobOwners {
 public:
  explicit JobOwners(base::VmId self);

  // Commands.

  /// This daemon runs the job under the owner's row of that version.
  void OnAcquired(const JobKey& key, std::uint64_t version, base::Instant now);
  /// This daemon doesn't run it any more.
  void OnReleased(const JobKey& key);
  /// The job was ended here.
  void OnJobEnded(const JobKey& key);
  /// All rows of the table; complete up to the store's version `as_of`. Returns
  /// the jobs that this daemon must stop running.
  std::vector<LostJob> ApplySnapshot(const std::vector<OwnerRow>& rows,
                                     std::uint64_t as_of, base::Instant now);
  std::vector<LostJob> ApplyRow(const OwnerRow& row, base::Instant now);
  std::vector<LostJob> ApplyRemoval(const JobKey& key);

  // Queries.

  /// Jobs without a living owner that fall to this daemon: each to the holder
  /// of a lease that ranks first for it, so that daemons don't race.
  std::vector<OwnerRow> OrphansToAdopt(const LeaseView& leases,
                                       base::Instant now) const;

 private:
  struct Known {
    base::VmId owner;
    std::uint64_t version = 0;
    base::Instant seen_at{};
  };

  void Note(const OwnerRow& row, base::Instant now);

  base::VmId self;
  std::map<JobKey, Known> rows;
  /// Jobs that this daemon runs, with their rows' versions.
  std::map<JobKey, std::uint64_t> mine;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_JOB_OWNERS_H_
