#include "job_garbage_collector.h"

#include <algorithm>
#include <utility>

#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

constexpr base::Duration kCallTimeout = std::chrono::milliseconds(1500);
/// With the expectation of the owner row this stays below the store's limit on
/// rows per transaction.
constexpr std::size_t kMaxRemovalsPerTransaction = 90;

base::RowKey JobRowKey(const char* table, const JobKey& key) {
  return {table, key.organisation.text, key.job.text};
}

/// A transaction that fails if the job has an owner row.
base::RowTransaction MakeUnownedTransaction(const JobKey& key) {
  base::RowTransaction transaction;
  transaction.expectations.push_back({JobRowKey(layout::kOwnerTable, key), 0});
  return transaction;
}

/// Returns whether the transaction was applied.
asio::awaitable<bool> Apply(const JobStore& store,
                            base::RowTransaction transaction) {
  const auto reply = co_await Transact(store.store, std::move(transaction),
                                       store.clock.now() + kCallTimeout);
  co_return reply.ok() && reply->applied;
}

asio::awaitable<bool> DeleteObject(const JobStore& store, std::string name) {
  const auto removed = co_await RemoveObject(store.store, std::move(name),
                                             store.clock.now() + kCallTimeout);
  co_return removed.ok();
}

/// Removes the job's result rows and the objects that hold their outputs.
/// Returns whether all were removed.
asio::awaitable<bool> RemoveResults(const JobStore& store, JobKey key) {
  auto range = layout::ResultRange(key.organisation, key.job, 0);
  const auto page = co_await ReadAllRows(store.store, std::move(range),
                                         store.clock.now() + kCallTimeout);
  if (!page.ok()) co_return false;
  for (std::size_t begin = 0; begin < page->rows.size();
       begin += kMaxRemovalsPerTransaction) {
    const auto end =
        std::min(begin + kMaxRemovalsPerTransaction, page->rows.size());
    auto removal = MakeUnownedTransaction(key);
    for (std::size_t i = begin; i < end; ++i) {
      const auto& row = page->rows[i];
      const auto result = layout::ParseResult(row.value);
      if (!result.output_object.empty()) {
        const bool object_removed =
            co_await DeleteObject(store, result.output_object);
        if (!object_removed) co_return false;
      }
      removal.removals.push_back(row.at);
    }
    const bool applied = co_await Apply(store, std::move(removal));
    if (!applied) co_return false;
  }
  co_return true;
}

/// Removes a job that has no owner. Returns whether it was removed whole.
asio::awaitable<bool> RemoveJob(const JobStore& store, JobKey key,
                                layout::JobRow job,
                                base::VersionedRow job_row) {
  // Checked before objects are removed: removing an object isn't transactional
  // and can't be conditioned on the owner row.
  const auto owner =
      co_await ReadRow(store.store, JobRowKey(layout::kOwnerTable, key),
                       store.clock.now() + kCallTimeout);
  if (!owner.ok() || !owner->rows.empty()) co_return false;
  const bool results_removed = co_await RemoveResults(store, key);
  if (!results_removed) co_return false;
  if (job.in_object) {
    const bool object_removed = co_await DeleteObject(
        store, layout::SubmissionObjectName(key.organisation, key.job));
    if (!object_removed) co_return false;
  }
  auto removal = MakeUnownedTransaction(key);
  removal.expectations.push_back({job_row.at, job_row.version});
  removal.removals.push_back(JobRowKey(layout::kSubmissionTable, key));
  removal.removals.push_back(JobRowKey(layout::kPartialTable, key));
  removal.removals.push_back({layout::kBacklogTable, key.organisation.text,
                              layout::JobBacklogKey(key.job)});
  removal.removals.push_back(job_row.at);
  const bool applied = co_await Apply(store, std::move(removal));
  if (applied) {
    base::LogEvent("job_removed", {{"job", key.job.text},
                                   {"organisation", key.organisation.text},
                                   {"accepted_at", job.accepted_at},
                                   {"row_version", job_row.version}});
  }
  co_return applied;
}

/// Removes the expired jobs of one organisation.
asio::awaitable<void> CollectPartition(const JobStore& store,
                                       std::string partition,
                                       base::Duration keep,
                                       JobGarbageCollectionPass& pass) {
  base::RowRange range;
  range.table = layout::kJobTable;
  range.partition = partition;
  const auto page = co_await ReadAllRows(store.store, std::move(range),
                                         store.clock.now() + kCallTimeout);
  if (!page.ok()) {
    ++pass.failures;
    co_return;
  }
  const auto keep_millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(keep).count();
  for (const auto& row : page->rows) {
    ++pass.jobs;
    const auto job = layout::ParseJob(row.value);
    if (!job.ok()) {
      base::LogEvent("job_unreadable", {{"job", row.at.key},
                                        {"row_version", row.version},
                                        {"reason", job.error().message}});
      ++pass.failures;
      continue;
    }
    if (page->store_time - job->accepted_at < keep_millis) continue;
    const JobKey key{base::Organisation(partition), base::JobId(row.at.key)};
    const bool removed = co_await RemoveJob(store, key, *job, row);
    if (removed) ++pass.removed;
  }
}

}  // namespace

asio::awaitable<JobGarbageCollectionPass> RemoveExpiredJobs(
    const JobStore& store, base::Duration keep) {
  JobGarbageCollectionPass pass;
  const auto partitions = co_await ListPartitions(
      store.store, layout::kJobTable, store.clock.now() + kCallTimeout);
  if (!partitions.ok()) {
    ++pass.failures;
    co_return pass;
  }
  for (const auto& partition : *partitions) {
    co_await CollectPartition(store, partition, keep, pass);
  }
  co_return pass;
}

}  // namespace gypsumtrack::gateway
