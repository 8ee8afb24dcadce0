#include "gypsumtrack/policy/batch_janitor.h"

#include <algorithm>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

/// Looks further apart than this many intervals don't add up to one sighting.
constexpr int kMaxMissedLooks = 3;
/// Rows in one clearing commit.
constexpr std::uint32_t kRowsPerCommit = 100;

std::string RowKeyOf(const BatchJob& job) {
  return JobRowKey(job.organisation, job.id);
}

}  // namespace

BatchJanitor::BatchJanitor(StoreCalls& store_calls, std::string own_position,
                           JanitorOptions janitor_options,
                           std::uint64_t janitor_seed)
    : calls(&store_calls),
      position(std::move(own_position)),
      options(janitor_options),
      seed(janitor_seed) {}

void BatchJanitor::Tick(base::Instant now, base::WallTime wall_now) {
  this->wall = wall_now;
  std::vector<Pending> due;
  std::erase_if(this->later, [&](Pending& pending) {
    if (pending.at > now) return false;
    due.push_back(std::move(pending));
    return true;
  });
  for (const auto& pending : due) pending.run(now);
  if (now >= this->watch_at) {
    this->watch_at = now + this->options.watch_every;
    this->WatchHolders(now, false);
  }
  if (now >= this->sweep_at) {
    const auto jitter = base::Hash64(this->position, this->seed) % 1000;
    this->sweep_at =
        now + this->options.sweep_every +
        this->options.sweep_every * static_cast<std::int64_t>(jitter) / 1000;
    this->Sweep(now);
    this->Expire(now);
  }
}

bool BatchJanitor::StoodStill(Sightings& sightings, const base::Row& row,
                              base::Instant now, base::Duration lapse) const {
  auto& sighting = sightings[row.key];
  if (sighting.version != row.version) {
    sighting = {row.version, now};
    return false;
  }
  return now - sighting.since > lapse;
}

void BatchJanitor::WatchHolders(base::Instant now, bool wrapped) {
  base::TableScan scan;
  scan.prefix = kHolderPrefix;
  scan.after = wrapped ? "" : this->position;
  scan.limit = this->options.watched;
  this->calls->Scan(
      now, std::move(scan), CallMode::kOnce,
      [this, wrapped](base::Instant at, base::Outcome<base::ScanReply> page) {
        if (!page.ok()) return;
        const auto gap = at - this->holders_seen_at;
        if (gap > this->options.watch_every * kMaxMissedLooks) {
          // Holders couldn't renew either: their time begins anew.
          this->holders.clear();
        }
        this->holders_seen_at = at;
        std::erase_if(this->holders, [&](const auto& entry) {
          return at - entry.second.since > this->options.lease_lapse * 4;
        });
        for (const auto& row : page->rows) {
          if (this->StoodStill(this->holders, row, at,
                               this->options.lease_lapse)) {
            this->Recover(at, row);
          }
        }
        if (!wrapped && !page->more) this->WatchHolders(at, true);
      });
}

void BatchJanitor::Recover(base::Instant now, const base::Row& row) {
  this->holders.erase(row.key);
  const auto decoded = DecodeHolder(row.value);
  if (!decoded.ok()) return;
  auto holder = std::make_shared<StoredHolder>();
  *holder = {row.key, row.version, *decoded};
  this->ReadChunks(now, holder, 0,
                   std::make_shared<std::vector<StoredChunk>>());
}

void BatchJanitor::ReadChunks(base::Instant now,
                              const std::shared_ptr<StoredHolder>& holder,
                              std::size_t next, const ChunkList& found) {
  if (next == holder->row.chunk_keys.size()) {
    auto commit =
        RecoverHolder(this->calls->NextOperationId(), *holder, *found);
    this->calls->Commit(now, std::move(commit), CallMode::kUntilSettled,
                        nullptr);
    return;
  }
  base::TableScan scan;
  scan.prefix = holder->row.chunk_keys[next];
  scan.limit = 1;
  this->calls->Scan(now, std::move(scan), CallMode::kOnce,
                    [this, holder, next, found](
                        base::Instant at, base::Outcome<base::ScanReply> page) {
                      if (!page.ok()) return;
                      for (const auto& row : page->rows) {
                        const auto chunk = DecodeChunk(row.value);
                        if (!chunk.ok() || chunk->holder != holder->key)
                          continue;
                        found->push_back({row.key, row.version, *chunk});
                      }
                      this->ReadChunks(at, holder, next + 1, found);
                    });
}

void BatchJanitor::Cancel(base::Instant now, const BatchJob& job,
                          CancelReply done,
                          std::function<void(base::Instant)> written) {
  auto commit =
      EndJob(this->calls->NextOperationId(), job, JobState::kCancelled);
  this->calls->Commit(now, std::move(commit), CallMode::kUntilSettled,
                      [this, uid = job.uid, done = std::move(done),
                       written = std::move(written)](
                          base::Instant at, const base::Status& status) {
                        if (!status.ok()) return done(at, status);
                        written(at);
                        this->RemoveChunkRows(at, uid, done);
                      });
}

/// Removes free chunks at once and held ones when their holder lets go or is
/// fenced.
void BatchJanitor::RemoveChunkRows(base::Instant now, const std::string& uid,
                                   const CancelReply& done) {
  base::TableScan scan;
  scan.prefix = ChunkPrefix(uid);
  scan.limit = kRowsPerCommit;
  this->calls->Scan(
      now, std::move(scan), CallMode::kUntilSettled,
      [this, uid, done](base::Instant at, base::Outcome<base::ScanReply> page) {
        if (!page.ok()) return done(at, page.error());
        if (page->rows.empty()) return done(at, base::Done{});
        base::TableCommit commit;
        commit.operation_id = this->calls->NextOperationId();
        for (const auto& row : page->rows) {
          const auto chunk = DecodeChunk(row.value);
          if (chunk.ok() && !chunk->holder.empty()) continue;
          commit.conditions.push_back({row.key, row.version});
          commit.writes.push_back({row.key, std::nullopt});
        }
        const auto again = [this, uid, done](base::Instant then) {
          this->RemoveChunkRows(then, uid, done);
        };
        if (commit.writes.empty()) {
          this->later.push_back({at + this->options.cancel_poll, again});
          return;
        }
        this->calls->Commit(
            at, std::move(commit), CallMode::kUntilSettled,
            [again](base::Instant then, const base::Status&) { again(then); });
      });
}

void BatchJanitor::Sweep(base::Instant now) {
  base::TableScan scan;
  scan.prefix = kStagingPrefix;
  scan.limit = this->options.sweep_rows;
  this->calls->Scan(
      now, std::move(scan), CallMode::kOnce,
      [this](base::Instant at, base::Outcome<base::ScanReply> page) {
        if (!page.ok()) return;
        const auto gap = at - this->uploads_seen_at;
        if (gap > this->options.sweep_every * 2 * kMaxMissedLooks) {
          this->uploads.clear();
        }
        this->uploads_seen_at = at;
        for (const auto& row : page->rows) {
          const auto staging = DecodeStaging(row.value);
          if (!staging.ok()) continue;
          const auto lapse = staging->ended ? this->options.sweep_every
                                            : this->options.staging_lapse;
          if (this->StoodStill(this->uploads, row, at, lapse)) {
            this->uploads.erase(row.key);
            this->Claim(at, row);
          }
        }
      });
}

/// Writes the row, so that other VMs begin to wait anew and an upload that
/// stood still can no longer be accepted.
void BatchJanitor::Claim(base::Instant now, const base::Row& row) {
  const auto staging = DecodeStaging(row.value);
  base::TableCommit commit;
  commit.operation_id = this->calls->NextOperationId();
  commit.conditions = {{row.key, row.version}};
  commit.writes = {{row.key, EncodeStaging({staging->objects, true})}};
  const std::string uid(row.key.substr(kStagingPrefix.size()));
  this->calls->Commit(now, std::move(commit), CallMode::kUntilSettled,
                      [this, uid, objects = staging->objects](
                          base::Instant at, const base::Status& status) {
                        if (!status.ok()) return;
                        this->RemoveChunkRows(
                            at, uid,
                            [this, uid, objects](base::Instant then,
                                                 const base::Status& removed) {
                              if (removed.ok())
                                this->RemoveInputs(then, uid, 0, objects);
                            });
                      });
}

void BatchJanitor::RemoveInputs(base::Instant now, const std::string& uid,
                                std::uint32_t next, std::uint32_t end) {
  if (next < end) {
    this->calls->Remove(
        now, InputObject(uid, next),
        [this, uid, next, end](base::Instant at, const base::Status&) {
          this->RemoveInputs(at, uid, next + 1, end);
        });
    return;
  }
  base::TableCommit commit;
  commit.operation_id = this->calls->NextOperationId();
  commit.writes = {{StagingRowKey(uid), std::nullopt}};
  this->calls->Commit(now, std::move(commit), CallMode::kUntilSettled, nullptr);
}

/// The index of kept jobs is in the order of their keep-until times.
void BatchJanitor::Expire(base::Instant now) {
  base::TableScan scan;
  scan.prefix = kKeepPrefix;
  scan.limit = 1;
  this->calls->Scan(
      now, std::move(scan), CallMode::kOnce,
      [this](base::Instant at, base::Outcome<base::ScanReply> page) {
        if (!page.ok() || page->rows.empty()) return;
        const auto job = DecodeJob(page->rows.front().value);
        if (job.ok() && job->keep_until < this->wall) this->ExpireJob(at, *job);
      });
}

void BatchJanitor::ExpireJob(base::Instant now, const BatchJob& job) {
  base::TableScan scan;
  scan.prefix = RowKeyOf(job);
  scan.limit = 1;
  this->calls->Scan(
      now, std::move(scan), CallMode::kOnce,
      [this, job](base::Instant at, base::Outcome<base::ScanReply> page) {
        if (!page.ok()) return;
        if (!IsOpen(*page, job)) {
          const auto found =
              !page->rows.empty() && page->rows.front().key == RowKeyOf(job);
          this->RemoveResults(at, job, found ? page->rows.front().version : 0);
          return;
        }
        // Kept too long unfinished: it ends first.
        this->Cancel(
            at, job, [](base::Instant, const base::Status&) {},
            [](base::Instant) {});
      });
}

void BatchJanitor::RemoveResults(base::Instant now, const BatchJob& job,
                                 std::uint64_t job_version) {
  base::TableScan scan;
  scan.prefix = ResultPrefix(job.uid);
  scan.limit = kRowsPerCommit;
  this->calls->Scan(
      now, std::move(scan), CallMode::kOnce,
      [this, job, job_version](base::Instant at,
                               base::Outcome<base::ScanReply> page) {
        if (!page.ok()) return;
        base::TableCommit commit;
        commit.operation_id = this->calls->NextOperationId();
        for (const auto& row : page->rows) {
          const auto result = DecodeResult(row.value);
          if (result.ok()) this->calls->Remove(at, result->object, nullptr);
          commit.writes.push_back({row.key, std::nullopt});
        }
        const bool last = !page->more;
        // Another VM may have done it, and the id be taken anew.
        commit.conditions = {{RowKeyOf(job), job_version},
                             {KeepRowKey(job), 1}};
        if (last) {
          commit.writes.push_back({RowKeyOf(job), std::nullopt});
          commit.writes.push_back({KeepRowKey(job), std::nullopt});
        }
        this->calls->Commit(
            at, std::move(commit), CallMode::kUntilSettled,
            [this, job, job_version, last](base::Instant then,
                                           const base::Status& status) {
              if (status.ok() && !last)
                this->RemoveResults(then, job, job_version);
            });
      });
}

}  // namespace gypsumtrack::policy
