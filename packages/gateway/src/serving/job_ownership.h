#ifndef GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_OWNERSHIP_H_
#define GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_OWNERSHIP_H_

#include <memory>
#include <string>
#include <vector>

#include "gypsumtrack/gateway/serving/fleet_service.h"
#include "gypsumtrack/gateway/serving/serving_context.h"
#include "gypsumtrack/gateway/serving/table_follower.h"
#include "gypsumtrack/policy/serving/job_owners.h"
#include "job_row_cache.h"
#include "job_runner.h"
#include "job_store.h"

/// Which daemon owns each batch job, and the jobs that this one runs as their
/// owner.
namespace gypsumtrack::gateway {

/// A job of which this daemon has become the owner.
struct AcquiredJob {
  JobKey key;
  FoundJob found;
  std::vector<SubmittedItem> items;
  /// Ids of the items whose results are committed, in order.
  std::vector<std::string> listed_ids;
  /// Partial output that the previous owner saved.
  std::vector<policy::PartialItem> partials;
  /// Version of the owner row that names this daemon.
  std::uint64_t owner_version = 0;
  /// The regions whose daemons may own the job.
  policy::RegionLimit allowed_regions;
  /// The job's route; null if it isn't among the rules.
  const policy::RouteRule* route = nullptr;
};

/// Returns the job with the deadlines of its route, counted from its
/// acceptance. Its outputs are charged to `output_memory`. Thread-safe.
OwnedJobPtr MakeOwnedJob(AcquiredJob acquired, base::Instant now,
                         std::shared_ptr<base::MemoryBudget> output_memory);

/// Follows the store's owner rows, runs the jobs that this daemon acquires and
/// stops those that it loses. Not thread-safe; used on the context's thread.
class JobOwnership {
 public:
  /// Sets the hooks of the runner that concern owners. Precondition: all
  /// arguments outlive the ownership.
  JobOwnership(ServingContext& context, const FleetService& fleet,
               JobRunner& runner, JobRowCache& rows);

  // Commands.

  /// Starts to follow the owner rows. Precondition: called once.
  void Start();
  /// Stops following the owner rows. Precondition: called after Start.
  void Stop();
  /// Runs a job that this daemon has acquired. Returns false if the job has
  /// ended or has been taken over since.
  bool Own(AcquiredJob acquired);
  /// Stops a job that this daemon ended for its caller by a change of the store
  /// that has that version.
  void OnJobEnded(const JobKey& key, std::uint64_t version);

  // Queries.

  /// Jobs without a live owner that this daemon should take over.
  std::vector<policy::OwnerRow> FindOrphans() const;

 private:
  TableFollowerHooks MakeFollowerHooks();
  void ApplySnapshot(const std::vector<base::VersionedRow>& snapshot,
                     std::uint64_t as_of);
  void ApplyChange(const base::VersionedRow& row);
  void DropLostJobs(const std::vector<policy::LostJob>& lost_jobs);

  ServingContext& context;
  const FleetService& fleet;
  JobRunner& runner;
  JobRowCache& rows;
  policy::JobOwners owners;
  std::shared_ptr<TableFollower> follower;
  /// When the last successful read of the owner table was sent.
  base::Instant confirmed_at{};
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_OWNERSHIP_H_
