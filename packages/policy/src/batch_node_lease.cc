#include <algorithm>
#include <utility>

#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/policy/batch_node.h"

namespace gypsumtrack::policy {

void BatchNode::RefreshIndex(base::Instant now) {
  if (this->index_scan_pending || now < this->next_index_refresh_at) return;
  this->index_scan_pending = true;
  this->next_index_refresh_at = now + this->options.index_refresh_interval;
  if (this->index_resume_key.empty()) this->index_uids.clear();
  base::TableScan scan;
  scan.prefix = kOpenPrefix;
  scan.after = this->index_resume_key;
  scan.limit = this->options.index_page_rows;
  this->store_calls.Scan(
      now, std::move(scan), CallMode::kOnce,
      [this](base::Instant, base::Outcome<base::ScanReply> page) {
        this->index_scan_pending = false;
        if (page.ok()) this->OnIndexPage(std::move(*page));
      });
}

void BatchNode::OnIndexPage(base::ScanReply page) {
  for (const auto& row : page.rows) {
    auto job = DecodeJob(row.value);
    if (!job.ok() || this->IsKnownCancelled(job->uid)) continue;
    this->index_uids.insert(job->uid);
    if (this->job_queue.Find(job->uid) == nullptr) this->job_queue.Put(*job);
  }
  if (page.more) {
    this->index_resume_key = page.rows.back().key;
    return;
  }
  this->index_resume_key.clear();
  for (const auto& job : this->job_queue.Jobs()) {
    if (this->index_uids.count(job.uid) == 0) this->job_queue.Remove(job.uid);
  }
  std::erase_if(this->paused_jobs, [this](const auto& entry) {
    return this->job_queue.Find(entry.first) == nullptr;
  });
}

void BatchNode::LeaseChunksIfNeeded(base::Instant now) {
  if (this->chunk_scan_pending || this->draining) return;
  if (this->HolderVersionUnknown() || this->store_calls.down()) return;
  if (this->chunks.size() >= this->options.max_held_chunks) return;
  if (this->PendingResultBytes() >= this->options.max_pending_result_bytes)
    return;
  const auto free_slots = this->FreeSlots();
  if (free_slots == 0 || this->StartableItems() >= free_slots) return;
  const auto job =
      this->job_queue.Pick(this->wall_time, [&](const BatchJob& candidate) {
        const auto retry_time = this->paused_jobs.find(candidate.uid);
        if (retry_time != this->paused_jobs.end() && now < retry_time->second)
          return false;
        return std::any_of(this->endpoints.begin(), this->endpoints.end(),
                           [&](const auto& entry) {
                             const auto& endpoint = entry.second;
                             return endpoint.running <
                                        endpoint.capacity.slots &&
                                    this->Serves(endpoint, candidate);
                           });
      });
  if (!job) return;
  // VMs start at different chunks, so that they rarely contend for the same
  // one.
  const auto hash = base::Hash64(job->uid, this->seed + this->last_run);
  const auto first = job->chunks > this->options.lease_scan_rows
                         ? static_cast<std::uint32_t>(hash % job->chunks)
                         : 0;
  this->chunk_scan_pending = true;
  this->ScanChunks(now, *job, first == 0 ? "" : ChunkRowKey(job->uid, first));
}

void BatchNode::ScanChunks(base::Instant now, const BatchJob& job,
                           std::string after) {
  base::TableScan scan;
  scan.prefix = ChunkPrefix(job.uid);
  scan.after = std::move(after);
  scan.limit = this->options.lease_scan_rows;
  const bool from_start = scan.after.empty();
  this->store_calls.Scan(
      now, std::move(scan), CallMode::kOnce,
      [this, job, from_start](base::Instant at,
                              base::Outcome<base::ScanReply> page) {
        this->chunk_scan_pending = false;
        if (page.ok()) this->OnChunkRows(at, job, from_start, *page);
      });
}

void BatchNode::OnChunkRows(base::Instant now, const BatchJob& job,
                            bool from_start, const base::ScanReply& page) {
  if (this->draining || this->HolderVersionUnknown()) return;
  std::vector<StoredChunk> free_chunks;
  for (const auto& row : page.rows) {
    const auto chunk = DecodeChunk(row.value);
    if (!chunk.ok() || !chunk->holder.empty()) continue;
    free_chunks.push_back({row.key, row.version, *chunk});
  }
  if (!free_chunks.empty()) {
    this->LeaseFreeChunks(now, job, std::move(free_chunks));
  } else if (!from_start) {
    this->chunk_scan_pending = true;
    this->ScanChunks(now, job, "");
  } else if (page.rows.empty()) {
    this->FinishJobIfEmpty(now, job);
    this->job_queue.Remove(job.uid);
  } else {
    this->paused_jobs[job.uid] = now + this->options.held_job_retry_delay;
  }
}

void BatchNode::LeaseFreeChunks(base::Instant now, const BatchJob& job,
                                std::vector<StoredChunk> free_chunks) {
  const auto startable = this->StartableItems();
  const auto slots = this->FreeSlots();
  if (startable >= slots) return;
  const auto first =
      base::Hash64(job.uid, this->seed + now.time_since_epoch().count()) %
      free_chunks.size();
  std::rotate(free_chunks.begin(),
              free_chunks.begin() + static_cast<std::ptrdiff_t>(first),
              free_chunks.end());
  std::vector<StoredChunk> chunks_to_lease;
  std::uint32_t items = startable;
  for (auto& chunk : free_chunks) {
    if (items >= slots) break;
    if (chunks_to_lease.size() == this->options.max_chunks_per_lease) break;
    items += chunk.row.items;
    chunks_to_lease.push_back(std::move(chunk));
  }
  this->UpdateHolderChunkKeys();
  for (const auto& chunk : chunks_to_lease) {
    this->holder.row.chunk_keys.push_back(chunk.key);
  }
  this->holder_write_pending = true;
  auto commit = LeaseChunks(this->store_calls.NextOperationId(), job,
                            this->holder, chunks_to_lease);
  this->store_calls.Commit(
      now, std::move(commit), CallMode::kUntilSettled,
      [this, now, job, chunks_to_lease](base::Instant at,
                                        const base::Status& status) {
        this->holder_write_pending = false;
        if (status.ok()) {
          this->OnChunksLeased(at, now, job, chunks_to_lease);
        } else {
          this->paused_jobs[job.uid] = at + this->options.store_probe_interval;
          this->CheckFenced(at);
        }
      });
}

void BatchNode::OnChunksLeased(base::Instant now, base::Instant sent_at,
                               const BatchJob& job,
                               std::vector<StoredChunk> leased) {
  ++this->holder.version;
  // The commit confirms only that this job is open. It counts as a renewal only
  // if no other chunks are held.
  if (this->chunks.empty()) {
    this->lease_confirmed_at = sent_at;
    this->next_renewal_at = sent_at + this->options.renew_interval;
  }
  for (auto& stored : leased) {
    ++stored.version;
    ++stored.row.token;
    stored.row.holder = this->holder.key;
    this->job_queue.Charge(job, stored.row.items);
    HeldChunk chunk;
    chunk.job = job;
    chunk.number = ChunkOfKey(stored.key).value_or(0);
    chunk.stored = stored;
    this->chunks[stored.key] = std::move(chunk);
    if (this->IsKnownCancelled(job.uid) || this->draining) {
      this->ReleaseChunk(now, stored.key);
    } else {
      this->LoadChunk(now, stored.key);
    }
  }
}

/// Lists the held chunks in the holder row, and those whose release isn't
/// committed yet, so that all of them can be recovered whenever this VM is
/// lost.
void BatchNode::UpdateHolderChunkKeys() {
  this->holder.row.chunk_keys.assign(this->releasing.begin(),
                                     this->releasing.end());
  for (const auto& [key, chunk] : this->chunks) {
    this->holder.row.chunk_keys.push_back(key);
  }
}

/// Reads the holder row, only to find out whether the table can be reached.
void BatchNode::ProbeStore(base::Instant now) {
  this->store_probe_pending = true;
  base::TableScan scan;
  scan.prefix = this->holder.key;
  scan.limit = 1;
  this->store_calls.Scan(
      now, std::move(scan), CallMode::kOnce,
      [this](base::Instant at, const base::Outcome<base::ScanReply>& page) {
        this->store_probe_pending = false;
        if (!page.ok()) this->QueryPeersIfStale(at);
      });
}

/// A successful renewal also confirms that no held job was cancelled before it.
void BatchNode::RenewLeases(base::Instant now) {
  if (this->holder_write_pending) {
    // A write of the holder row is pending and its reply may be lost, so a scan
    // is used instead of a renewal.
    this->ProbeStore(now);
    return;
  }
  this->holder_write_pending = true;
  this->store_probe_pending = true;
  this->next_renewal_at = now + this->options.renew_interval;
  if (!this->pending_renewal) {
    std::map<std::string, BatchJob> held_jobs;
    this->UpdateHolderChunkKeys();
    for (const auto& [key, chunk] : this->chunks) {
      held_jobs.emplace(chunk.job.uid, chunk.job);
    }
    std::vector<BatchJob> open_jobs;
    for (auto& [uid, job] : held_jobs) open_jobs.push_back(std::move(job));
    this->pending_renewal = RenewHolder(this->store_calls.NextOperationId(),
                                        this->holder, open_jobs);
    this->renewal_sent_at = now;
  }
  this->store_calls.Commit(
      now, *this->pending_renewal, CallMode::kOnce,
      [this](base::Instant at, const base::Status& status) {
        this->OnRenewal(at, status);
      });
}

bool BatchNode::HolderVersionUnknown() const {
  return this->holder_write_pending || this->pending_renewal;
}

void BatchNode::OnRenewal(base::Instant now, const base::Status& status) {
  this->holder_write_pending = false;
  this->store_probe_pending = false;
  if (status.ok()) {
    this->pending_renewal.reset();
    ++this->holder.version;
    this->lease_confirmed_at = this->renewal_sent_at;
    return;
  }
  if (status.error().Is(base::Errc::kConflict)) {
    this->pending_renewal.reset();
    this->lease_confirmed_at = now - this->options.lease_confirmed_for;
    this->CheckFenced(now);
    this->CheckHeldJobs(now);
    return;
  }
  this->next_renewal_at = now + this->options.store_probe_interval;
  this->QueryPeersIfStale(now);
}

/// Called when the table can't be reached. Queries the peers for held jobs that
/// have ended. If a peer that can reach the table responds in time,
/// OnPeerResponse first releases the chunks of the ended jobs, and items may
/// then start once. They may also start once if no such peer responds, but not
/// after a late response.
void BatchNode::QueryPeersIfStale(base::Instant now) {
  if (now < this->lease_confirmed_at + this->options.lease_confirmed_for)
    return;
  if (this->peer_query_pending || this->chunks.empty()) return;
  std::set<std::string> keys;
  for (const auto& [key, chunk] : this->chunks) {
    keys.insert(OpenRowKey(chunk.job));
  }
  this->peer_query_pending = true;
  this->store_calls.SendPeerQuery(
      now, {keys.begin(), keys.end()},
      [this, now](base::Instant at, const base::Status& status) {
        this->peer_query_pending = false;
        const auto response_age = at - now;
        if (status.ok() &&
            response_age > this->options.peer_response_valid_for) {
          return;
        }
        this->may_start_unconfirmed = true;
        this->StartWork(at);
        this->may_start_unconfirmed = false;
      });
}

/// After a conflict, finds out whether this VM was fenced.
void BatchNode::CheckFenced(base::Instant now) {
  base::TableScan scan;
  scan.prefix = this->holder.key;
  scan.limit = 1;
  const auto expected = this->holder.version;
  this->store_calls.Scan(
      now, std::move(scan), CallMode::kOnce,
      [this, expected](base::Instant at, base::Outcome<base::ScanReply> page) {
        if (!page.ok() || this->HolderVersionUnknown()) return;
        if (expected != this->holder.version) return;
        const auto version = page->rows.empty() ? 0 : page->rows[0].version;
        if (version != expected) this->OnFenced(at);
      });
}

void BatchNode::CheckHeldJobs(base::Instant now) {
  std::map<std::string, BatchJob> held_jobs;
  for (const auto& [key, chunk] : this->chunks) {
    held_jobs.emplace(chunk.job.uid, chunk.job);
  }
  for (const auto& [uid, job] : held_jobs) {
    base::TableScan scan;
    scan.prefix = JobRowKey(job.organisation, job.id);
    scan.limit = 1;
    this->store_calls.Scan(
        now, std::move(scan), CallMode::kOnce,
        [this, held_job = job](base::Instant at,
                               base::Outcome<base::ScanReply> page) {
          if (!page.ok()) return;
          if (IsOpen(*page, held_job)) return;
          this->OnCancelled(at, held_job.uid);
        });
  }
}

void BatchNode::OnFenced(base::Instant now) {
  ++this->totals.times_fenced;
  ++this->epoch;
  this->holder.key = HolderRowKey(this->self, this->epoch);
  this->holder.version = 0;
  this->holder.row.chunk_keys.clear();
  this->pending_renewal.reset();
  this->totals.chunks_lost += this->chunks.size();
  for (const auto& [key, chunk] : this->chunks) this->StopChunkItems(chunk);
  this->chunks.clear();
  this->StartWork(now);
}

void BatchNode::LoadChunk(base::Instant now, const std::string& key) {
  const auto& chunk = this->chunks.at(key);
  const auto input = InputObject(chunk.job.uid, chunk.number);
  const auto partial = chunk.stored.row.partial;
  const auto token = chunk.stored.row.token;
  this->store_calls.Get(
      now, input,
      [this, key, partial, token](base::Instant at,
                                  base::Outcome<std::string> bytes) {
        if (!this->Holds(key, token)) return;
        if (!bytes.ok()) return this->DropLostChunk(at, key);
        if (partial.empty()) return this->OnChunkLoaded(at, key, *bytes, {});
        this->store_calls.Get(
            at, partial,
            [this, key, token, input_bytes = std::move(*bytes)](
                base::Instant then, base::Outcome<std::string> known) {
              if (!this->Holds(key, token)) return;
              if (!known.ok()) return this->DropLostChunk(then, key);
              auto results = DecodeResults(*known);
              if (!results.ok()) return this->DropLostChunk(then, key);
              this->OnChunkLoaded(then, key, input_bytes, *results);
            });
      });
}

bool BatchNode::Holds(const std::string& key, std::uint64_t token) {
  const auto* chunk = this->FindChunk(key);
  return chunk != nullptr && chunk->stored.row.token == token;
}

void BatchNode::OnChunkLoaded(base::Instant now, const std::string& key,
                              const std::string& input,
                              const ItemResults& known) {
  auto& chunk = this->chunks.at(key);
  chunk.run.emplace(SplitLines(input), chunk.job.idempotent,
                    this->options.poison, chunk.stored.row, known);
  if (!this->options.safeguards.intents) chunk.run->RaiseSendLimit(UINT32_MAX);
  chunk.phase = Phase::kRunning;
  this->AdvanceChunk(now, key);
}

}  // namespace gypsumtrack::policy
