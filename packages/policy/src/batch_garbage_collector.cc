#include "gypsumtrack/policy/batch_garbage_collector.h"

#include <algorithm>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

/// Observations are discarded if scans are further apart than this many
/// intervals.
constexpr int kMaxMissedScans = 3;
/// Rows removed in one commit.
constexpr std::uint32_t kRowsPerCommit = 100;

std::string KeyOfJobRow(const BatchJob& job) {
  return JobRowKey(job.organisation, job.id);
}

}  // namespace

BatchGarbageCollector::BatchGarbageCollector(
    StoreCalls& calls, std::string holder_key,
    BatchGarbageCollectorOptions collector_options,
    std::uint64_t collector_seed)
    : store_calls(&calls),
      own_holder_key(std::move(holder_key)),
      options(collector_options),
      seed(collector_seed) {}

void BatchGarbageCollector::Tick(base::Instant now, base::WallTime wall_now) {
  this->wall_time = wall_now;
  std::vector<DelayedTask> due;
  std::erase_if(this->delayed_tasks, [&](DelayedTask& task) {
    if (task.at > now) return false;
    due.push_back(std::move(task));
    return true;
  });
  for (const auto& task : due) task.run(now);
  if (now >= this->next_holder_check_at) {
    this->next_holder_check_at = now + this->options.holder_check_interval;
    this->CheckHolders(now, false);
  }
  if (now >= this->next_sweep_at) {
    const auto jitter = base::Hash64(this->own_holder_key, this->seed) % 1000;
    this->next_sweep_at =
        now + this->options.sweep_interval +
        this->options.sweep_interval * static_cast<std::int64_t>(jitter) / 1000;
    this->SweepStaging(now);
    this->ExpireOldestJob(now);
  }
}

bool BatchGarbageCollector::UnchangedFor(RowObservations& observations,
                                         const base::Row& row,
                                         base::Instant now,
                                         base::Duration timeout) const {
  auto& observation = observations[row.key];
  if (observation.version != row.version) {
    observation = {row.version, now};
    return false;
  }
  return now - observation.since > timeout;
}

void BatchGarbageCollector::CheckHolders(base::Instant now, bool wrapped) {
  base::TableScan scan;
  scan.prefix = kHolderPrefix;
  scan.after = wrapped ? "" : this->own_holder_key;
  scan.limit = this->options.holders_per_check;
  this->store_calls->Scan(
      now, std::move(scan), CallMode::kOnce,
      [this, wrapped](base::Instant at, base::Outcome<base::ScanReply> page) {
        if (!page.ok()) return;
        const auto gap = at - this->holders_scanned_at;
        if (gap > this->options.holder_check_interval * kMaxMissedScans) {
          // The table was unavailable, so holders couldn't renew either.
          this->holder_observations.clear();
        }
        this->holders_scanned_at = at;
        std::erase_if(this->holder_observations, [&](const auto& entry) {
          return at - entry.second.since > this->options.lease_timeout * 4;
        });
        for (const auto& row : page->rows) {
          if (this->UnchangedFor(this->holder_observations, row, at,
                                 this->options.lease_timeout)) {
            this->StartRecovery(at, row);
          }
        }
        if (!wrapped && !page->more) this->CheckHolders(at, true);
      });
}

void BatchGarbageCollector::StartRecovery(base::Instant now,
                                          const base::Row& row) {
  this->holder_observations.erase(row.key);
  const auto decoded = DecodeHolder(row.value);
  if (!decoded.ok()) return;
  auto holder = std::make_shared<StoredHolder>();
  *holder = {row.key, row.version, *decoded};
  this->ReadHolderChunks(now, holder, 0,
                         std::make_shared<std::vector<StoredChunk>>());
}

void BatchGarbageCollector::ReadHolderChunks(
    base::Instant now, const std::shared_ptr<StoredHolder>& holder,
    std::size_t next, const ChunkList& held_chunks) {
  if (next == holder->row.chunk_keys.size()) {
    auto commit = RecoverHolder(this->store_calls->NextOperationId(), *holder,
                                *held_chunks);
    this->store_calls->Commit(now, std::move(commit), CallMode::kUntilSettled,
                              nullptr);
    return;
  }
  base::TableScan scan;
  scan.prefix = holder->row.chunk_keys[next];
  scan.limit = 1;
  this->store_calls->Scan(
      now, std::move(scan), CallMode::kOnce,
      [this, holder, next, held_chunks](base::Instant at,
                                        base::Outcome<base::ScanReply> page) {
        if (!page.ok()) return;
        for (const auto& row : page->rows) {
          const auto chunk = DecodeChunk(row.value);
          if (!chunk.ok() || chunk->holder != holder->key) continue;
          held_chunks->push_back({row.key, row.version, *chunk});
        }
        this->ReadHolderChunks(at, holder, next + 1, held_chunks);
      });
}

void BatchGarbageCollector::Cancel(base::Instant now, const BatchJob& job,
                                   CancelReply done,
                                   std::function<void(base::Instant)> written) {
  auto commit =
      EndJob(this->store_calls->NextOperationId(), job, JobState::kCancelled);
  this->store_calls->Commit(
      now, std::move(commit), CallMode::kUntilSettled,
      [this, job, done = std::move(done), written = std::move(written)](
          base::Instant at, const base::Status& status) {
        if (status.ok()) {
          written(at);
          this->FinishCancel(at, job.uid, done);
        } else {
          this->JoinEarlierCancel(at, job, done, status);
        }
      });
}

/// The job wasn't open. If it was cancelled before, waits for that cancel.
void BatchGarbageCollector::JoinEarlierCancel(base::Instant now,
                                              const BatchJob& job,
                                              const CancelReply& done,
                                              const base::Status& conflict) {
  base::TableScan scan;
  scan.prefix = KeyOfJobRow(job);
  scan.limit = 1;
  this->store_calls->Scan(
      now, std::move(scan), CallMode::kUntilSettled,
      [this, job, done, conflict](base::Instant at,
                                  base::Outcome<base::ScanReply> page) {
        if (page.ok() && !page->rows.empty()) {
          const auto stored = DecodeJob(page->rows.front().value);
          if (stored.ok() && stored->uid == job.uid &&
              stored->state == JobState::kCancelled) {
            return this->FinishCancel(at, job.uid, done);
          }
        }
        done(at, conflict);
      });
}

void BatchGarbageCollector::FinishCancel(base::Instant now,
                                         const std::string& uid,
                                         const CancelReply& done) {
  const auto earliest = now + this->options.cancel_grace_period;
  this->RemoveChunkRows(
      now, uid, [this, earliest, done](base::Instant at, const base::Status&) {
        this->AcknowledgeCancel(at, earliest, done);
      });
}

void BatchGarbageCollector::AcknowledgeCancel(base::Instant now,
                                              base::Instant earliest,
                                              const CancelReply& done) {
  if (now >= earliest) return done(now, base::Done{});
  this->delayed_tasks.push_back(
      {earliest, [done](base::Instant at) { done(at, base::Done{}); }});
}

/// Removes free chunks at once, and held ones once their holder releases them
/// or is fenced.
void BatchGarbageCollector::RemoveChunkRows(base::Instant now,
                                            const std::string& uid,
                                            const CancelReply& done) {
  base::TableScan scan;
  scan.prefix = ChunkPrefix(uid);
  scan.limit = kRowsPerCommit;
  this->store_calls->Scan(
      now, std::move(scan), CallMode::kUntilSettled,
      [this, uid, done](base::Instant at, base::Outcome<base::ScanReply> page) {
        if (!page.ok()) return done(at, page.error());
        if (page->rows.empty()) return done(at, base::Done{});
        base::TableCommit commit;
        commit.operation_id = this->store_calls->NextOperationId();
        for (const auto& row : page->rows) {
          const auto chunk = DecodeChunk(row.value);
          if (chunk.ok() && !chunk->holder.empty()) continue;
          commit.conditions.push_back({row.key, row.version});
          commit.writes.push_back({row.key, std::nullopt});
        }
        const auto remove_remaining = [this, uid, done](base::Instant then) {
          this->RemoveChunkRows(then, uid, done);
        };
        if (commit.writes.empty()) {
          this->delayed_tasks.push_back(
              {at + this->options.cancel_poll_interval, remove_remaining});
          return;
        }
        this->store_calls->Commit(
            at, std::move(commit), CallMode::kUntilSettled,
            [remove_remaining](base::Instant then, const base::Status&) {
              remove_remaining(then);
            });
      });
}

void BatchGarbageCollector::SweepStaging(base::Instant now) {
  base::TableScan scan;
  scan.prefix = kStagingPrefix;
  scan.limit = this->options.sweep_page_rows;
  this->store_calls->Scan(
      now, std::move(scan), CallMode::kOnce,
      [this](base::Instant at, base::Outcome<base::ScanReply> page) {
        if (!page.ok()) return;
        // With jitter, sweeps are up to two intervals apart.
        const auto gap = at - this->staging_scanned_at;
        if (gap > this->options.sweep_interval * 2 * kMaxMissedScans) {
          this->staging_observations.clear();
        }
        this->staging_scanned_at = at;
        for (const auto& row : page->rows) {
          const auto staging = DecodeStaging(row.value);
          if (!staging.ok()) continue;
          const auto timeout = staging->ended ? this->options.sweep_interval
                                              : this->options.staging_timeout;
          if (this->UnchangedFor(this->staging_observations, row, at,
                                 timeout)) {
            this->staging_observations.erase(row.key);
            this->ClaimStaging(at, row);
          }
        }
      });
}

/// Writes the staging row. Its new version restarts the timeout on other VMs
/// and prevents a stalled upload from being accepted as a job.
void BatchGarbageCollector::ClaimStaging(base::Instant now,
                                         const base::Row& row) {
  const auto staging = DecodeStaging(row.value);
  base::TableCommit commit;
  commit.operation_id = this->store_calls->NextOperationId();
  commit.conditions = {{row.key, row.version}};
  commit.writes = {{row.key, EncodeStaging({staging->objects, true})}};
  const std::string uid(row.key.substr(kStagingPrefix.size()));
  this->store_calls->Commit(
      now, std::move(commit), CallMode::kUntilSettled,
      [this, uid, objects = staging->objects](base::Instant at,
                                              const base::Status& status) {
        if (!status.ok()) return;
        this->RemoveChunkRows(
            at, uid,
            [this, uid, objects](base::Instant then,
                                 const base::Status& removed) {
              if (removed.ok()) this->RemoveInputs(then, uid, 0, objects);
            });
      });
}

void BatchGarbageCollector::RemoveInputs(base::Instant now,
                                         const std::string& uid,
                                         std::uint32_t next,
                                         std::uint32_t end) {
  if (next < end) {
    this->store_calls->Remove(
        now, InputObject(uid, next),
        [this, uid, next, end](base::Instant at, const base::Status&) {
          this->RemoveInputs(at, uid, next + 1, end);
        });
    return;
  }
  base::TableCommit commit;
  commit.operation_id = this->store_calls->NextOperationId();
  commit.writes = {{StagingRowKey(uid), std::nullopt}};
  this->store_calls->Commit(now, std::move(commit), CallMode::kUntilSettled,
                            nullptr);
}

/// Only the first row is read, as the index is ordered by expiry time.
void BatchGarbageCollector::ExpireOldestJob(base::Instant now) {
  base::TableScan scan;
  scan.prefix = kKeepPrefix;
  scan.limit = 1;
  this->store_calls->Scan(
      now, std::move(scan), CallMode::kOnce,
      [this](base::Instant at, base::Outcome<base::ScanReply> page) {
        if (!page.ok() || page->rows.empty()) return;
        const auto job = DecodeJob(page->rows.front().value);
        if (job.ok() && job->keep_until < this->wall_time)
          this->ExpireJob(at, *job);
      });
}

void BatchGarbageCollector::ExpireJob(base::Instant now, const BatchJob& job) {
  base::TableScan scan;
  scan.prefix = KeyOfJobRow(job);
  scan.limit = 1;
  this->store_calls->Scan(
      now, std::move(scan), CallMode::kOnce,
      [this, job](base::Instant at, base::Outcome<base::ScanReply> page) {
        if (!page.ok()) return;
        if (!IsOpen(*page, job)) {
          const auto has_row =
              !page->rows.empty() && page->rows.front().key == KeyOfJobRow(job);
          this->RemoveResults(at, job,
                              has_row ? page->rows.front().version : 0);
          return;
        }
        // An expired job that is still open is cancelled first.
        this->Cancel(
            at, job, [](base::Instant, const base::Status&) {},
            [](base::Instant) {});
      });
}

void BatchGarbageCollector::RemoveResults(base::Instant now,
                                          const BatchJob& job,
                                          std::uint64_t job_version) {
  base::TableScan scan;
  scan.prefix = ResultPrefix(job.uid);
  scan.limit = kRowsPerCommit;
  this->store_calls->Scan(
      now, std::move(scan), CallMode::kOnce,
      [this, job, job_version](base::Instant at,
                               base::Outcome<base::ScanReply> page) {
        if (!page.ok()) return;
        base::TableCommit commit;
        commit.operation_id = this->store_calls->NextOperationId();
        for (const auto& row : page->rows) {
          const auto result = DecodeResult(row.value);
          if (result.ok())
            this->store_calls->Remove(at, result->object, nullptr);
          commit.writes.push_back({row.key, std::nullopt});
        }
        const bool last = !page->more;
        // Another VM may have removed the job already, and a new job may have
        // its id. The keep row is written only once, so its version is 1.
        commit.conditions = {{KeyOfJobRow(job), job_version},
                             {KeepRowKey(job), 1}};
        if (last) {
          commit.writes.push_back({KeyOfJobRow(job), std::nullopt});
          commit.writes.push_back({KeepRowKey(job), std::nullopt});
        }
        this->store_calls->Commit(
            at, std::move(commit), CallMode::kUntilSettled,
            [this, job, job_version, last](base::Instant then,
                                           const base::Status& status) {
              if (status.ok() && !last)
                this->RemoveResults(then, job, job_version);
            });
      });
}

}  // namespace gypsumtrack::policy
