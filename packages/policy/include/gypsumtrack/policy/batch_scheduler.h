#ifndef GYPSUMTRACK_POLICY_BATCH_SCHEDULER_H_
#define GYPSUMTRACK_POLICY_BATCH_SCHEDULER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/batch_state.h"

/// Chooses the job from which chunks are leased next.
namespace gypsumtrack::policy {

/// Options of BatchScheduler.
struct SchedulerOptions {
  /// Credit in items that an organisation with a share of 1 receives per round.
  std::int64_t quantum_items = 10;
  /// Bound, in rounds, of the credit that an idle organisation accumulates, and
  /// of the debt beyond which its urgent jobs wait for their turn.
  std::int64_t max_credit_rounds = 64;
  /// Upper bound, exclusive, of the debt in items with which an organisation
  /// starts. It differs between VMs, so that the sum of their choices soon
  /// matches the organisations' shares.
  std::uint64_t max_start_offset_items = 160;
  /// One in this many picks within an organisation goes to its smallest job.
  std::uint32_t picks_per_smallest_job = 4;
  /// A job is urgent from this long before its due time.
  base::Duration urgent_before_due = std::chrono::minutes(15);
};

/// Weighted deficit round robin among organisations, and earliest due time
/// first within an organisation. An urgent job is picked ahead of its
/// organisation's turn; later rounds repay the debt. Not thread-safe.
class BatchScheduler {
 public:
  /// Returns whether a job may be picked now.
  using Eligible = std::function<bool(const BatchJob&)>;

  /// `seed` makes the initial debts of VMs differ.
  BatchScheduler(SchedulerOptions options, std::uint64_t seed);

  // Commands.

  /// Adds or replaces an open job.
  void Put(const BatchJob& job);
  /// Removes a job, if present.
  void Remove(const std::string& uid);
  /// Returns the next job among those that are eligible; empty if none is.
  std::optional<BatchJob> Pick(base::WallTime now, const Eligible& eligible);
  /// Deducts leased items from the credit of the job's organisation.
  void Charge(const BatchJob& job, std::uint32_t items);

  // Queries.

  /// Returns the job with this uid, or null. Valid until the next command.
  const BatchJob* Find(const std::string& uid) const;
  /// Returns all jobs, ordered by uid.
  std::vector<BatchJob> Jobs() const;
  /// Returns the number of jobs.
  std::size_t size() const { return this->by_uid.size(); }  // NOLINT

 private:
  /// Earliest due time first, then fewest items, then by uid.
  struct DueOrder {
    bool operator()(const BatchJob& a, const BatchJob& b) const;
  };
  struct OrganisationQueue {
    std::int64_t credit = 0;
    std::uint32_t picks = 0;
    std::uint32_t share = 1;
    /// Jobs and their numbers of items.
    std::map<BatchJob, std::uint64_t, DueOrder> jobs;
  };

  const BatchJob* ChooseJob(const OrganisationQueue& queue,
                            const Eligible& eligible) const;
  const BatchJob* MostUrgentJob(base::WallTime now,
                                const Eligible& eligible) const;
  void AddCreditRound(const std::vector<OrganisationQueue*>& eligible_queues);
  std::int64_t MaxCredit(const OrganisationQueue& queue) const;

  SchedulerOptions options;
  std::uint64_t seed;
  std::map<base::Organisation, OrganisationQueue> queues;
  std::map<std::string, BatchJob> by_uid;
  /// Organisation of the last pick in turn.
  base::Organisation last_organisation;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_BATCH_SCHEDULER_H_
