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

/// Which job's chunk to lease next.
namespace gypsumtrack::policy {

struct SchedulerOptions {
  /// Items of credit that an organisation of share 1 gets in a round.
  std::int64_t quantum_items = 160;
  /// Rounds of credit that an idle or overdrawn organisation may have.
  std::int64_t max_rounds = 4;
  /// Every so many picks within an organisation go to its smallest job.
  std::uint32_t smallest_every = 4;
  /// A job is in danger once its due time is this near.
  base::Duration danger = std::chrono::minutes(15);
};

/// Weighted deficit round robin among organisations; within one the earliest
/// due first. A job in danger goes ahead of its organisation's turn, on credit
/// that later rounds pay back. Not thread-safe.
class BatchScheduler {
 public:
  using Eligible = std::function<bool(const BatchJob&)>;

  explicit BatchScheduler(SchedulerOptions options);

  // Commands.

  /// Adds or replaces an open job.
  void Put(const BatchJob& job);
  void Remove(const std::string& uid);
  /// Chooses a job among those that are eligible.
  std::optional<BatchJob> Pick(base::WallTime now, const Eligible& eligible);
  /// Books leased items to the job's organisation.
  void Charge(const BatchJob& job, std::uint32_t items);

  // Queries.

  const BatchJob* Find(const std::string& uid) const;
  std::vector<BatchJob> Jobs() const;
  std::size_t size() const { return this->by_uid.size(); }  // NOLINT

 private:
  /// Earliest due first, then the smaller, then by uid.
  struct DueOrder {
    bool operator()(const BatchJob& a, const BatchJob& b) const;
  };
  struct Queue {
    std::int64_t credit = 0;
    std::uint32_t picks = 0;
    std::uint32_t share = 1;
    std::map<BatchJob, std::uint64_t, DueOrder> jobs;
  };

  const BatchJob* Choose(const Queue& queue, const Eligible& eligible) const;
  const BatchJob* InDanger(base::WallTime now, const Eligible& eligible) const;
  void AddRound(const std::vector<Queue*>& ready);
  std::int64_t MaxCredit(const Queue& queue) const;

  SchedulerOptions options;
  std::map<base::Organisation, Queue> queues;
  std::map<std::string, BatchJob> by_uid;
  /// The organisation picked last.
  base::Organisation last;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_BATCH_SCHEDULER_H_
