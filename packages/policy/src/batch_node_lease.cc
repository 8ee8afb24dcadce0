#include <algorithm>
#include <utility>

#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/policy/batch_node.h"

namespace gypsumtrack::policy {

void BatchNode::RefreshIndex(base::Instant now) {
  if (this->index_busy || now < this->index_at) return;
  this->index_busy = true;
  this->index_at = now + this->options.index_every;
  if (this->index_after.empty()) this->index_seen.clear();
  base::TableScan scan;
  scan.prefix = kOpenPrefix;
  scan.after = this->index_after;
  scan.limit = this->options.index_page_rows;
  this->calls.Scan(now, std::move(scan), CallMode::kOnce,
                   [this](base::Instant, base::Outcome<base::ScanReply> page) {
                     this->index_busy = false;
                     if (page.ok()) this->OnIndexPage(std::move(*page));
                   });
}

void BatchNode::OnIndexPage(base::ScanReply page) {
  for (const auto& row : page.rows) {
    auto job = DecodeJob(row.value);
    if (!job.ok() || this->KnowsCancelled(job->uid)) continue;
    this->index_seen.insert(job->uid);
    if (this->jobs.Find(job->uid) == nullptr) this->jobs.Put(*job);
  }
  if (page.more) {
    this->index_after = page.rows.back().key;
    return;
  }
  this->index_after.clear();
  for (const auto& job : this->jobs.Jobs()) {
    if (this->index_seen.count(job.uid) == 0) this->jobs.Remove(job.uid);
  }
  std::erase_if(this->paused, [this](const auto& entry) {
    return this->jobs.Find(entry.first) == nullptr;
  });
}

void BatchNode::LeaseMore(base::Instant now) {
  if (this->leasing || this->holder_busy || this->draining) return;
  if (this->calls.down()) return;
  if (this->chunks.size() >= this->options.max_chunks) return;
  if (this->PendingBytes() >= this->options.max_pending_bytes) return;
  const auto free = this->FreeSlots();
  if (free == 0 || this->Startable() >= free) return;
  const auto job = this->jobs.Pick(this->wall, [&](const BatchJob& candidate) {
    const auto pause = this->paused.find(candidate.uid);
    if (pause != this->paused.end() && now < pause->second) return false;
    return std::any_of(this->endpoints.begin(), this->endpoints.end(),
                       [&](const auto& entry) {
                         const auto& endpoint = entry.second;
                         return endpoint.running < endpoint.capacity.slots &&
                                this->Serves(endpoint, candidate);
                       });
  });
  if (!job) return;
  // VMs begin at different chunks, so that they seldom want the same one.
  const auto hash = base::Hash64(job->uid, this->seed + this->last_run);
  const auto first = job->chunks > this->options.lease_scan_rows
                         ? static_cast<std::uint32_t>(hash % job->chunks)
                         : 0;
  this->leasing = true;
  this->ScanChunks(now, *job, first == 0 ? "" : ChunkRowKey(job->uid, first));
}

void BatchNode::ScanChunks(base::Instant now, const BatchJob& job,
                           std::string after) {
  base::TableScan scan;
  scan.prefix = ChunkPrefix(job.uid);
  scan.after = std::move(after);
  scan.limit = this->options.lease_scan_rows;
  const bool from_start = scan.after.empty();
  this->calls.Scan(now, std::move(scan), CallMode::kOnce,
                   [this, job, from_start](
                       base::Instant at, base::Outcome<base::ScanReply> page) {
                     this->leasing = false;
                     if (page.ok())
                       this->OnChunkRows(at, job, from_start, *page);
                   });
}

void BatchNode::OnChunkRows(base::Instant now, const BatchJob& job,
                            bool from_start, const base::ScanReply& page) {
  if (this->draining || this->holder_busy) return;
  std::vector<StoredChunk> free;
  for (const auto& row : page.rows) {
    const auto chunk = DecodeChunk(row.value);
    if (!chunk.ok() || !chunk->holder.empty()) continue;
    free.push_back({row.key, row.version, *chunk});
  }
  if (!free.empty()) {
    this->Lease(now, job, std::move(free));
  } else if (!from_start) {
    this->leasing = true;
    this->ScanChunks(now, job, "");
  } else if (page.rows.empty()) {
    this->FinishIfEmpty(now, job);
    this->jobs.Remove(job.uid);
  } else {
    this->paused[job.uid] = now + this->options.job_pause;
  }
}

void BatchNode::Lease(base::Instant now, const BatchJob& job,
                      std::vector<StoredChunk> free) {
  const auto startable = this->Startable();
  const auto slots = this->FreeSlots();
  if (startable >= slots) return;
  const auto first =
      base::Hash64(job.uid, this->seed + now.time_since_epoch().count()) %
      free.size();
  std::rotate(free.begin(), free.begin() + static_cast<std::ptrdiff_t>(first),
              free.end());
  std::vector<StoredChunk> wanted;
  std::uint32_t items = startable;
  for (auto& chunk : free) {
    if (items >= slots) break;
    if (wanted.size() == this->options.max_chunks_per_lease) break;
    items += chunk.row.items;
    wanted.push_back(std::move(chunk));
  }
  this->ListHeld();
  for (const auto& chunk : wanted) {
    this->holder.row.chunk_keys.push_back(chunk.key);
  }
  this->holder_busy = true;
  auto commit =
      LeaseChunks(this->calls.NextOperationId(), job, this->holder, wanted);
  this->calls.Commit(
      now, std::move(commit), CallMode::kUntilSettled,
      [this, now, job, wanted](base::Instant at, const base::Status& status) {
        this->holder_busy = false;
        if (status.ok()) {
          this->OnLeased(at, now, job, wanted);
        } else {
          this->paused[job.uid] = at + this->options.probe_every;
          this->CheckHolder(at);
        }
      });
}

void BatchNode::OnLeased(base::Instant now, base::Instant sent_at,
                         const BatchJob& job, std::vector<StoredChunk> leased) {
  ++this->holder.version;
  // Only this job was confirmed to be open, so a lease isn't a renewal unless
  // it is the first.
  if (this->chunks.empty()) {
    this->confirmed_at = sent_at;
    this->renew_at = sent_at + this->options.renew_every;
  }
  for (auto& stored : leased) {
    ++stored.version;
    ++stored.row.token;
    stored.row.holder = this->holder.key;
    this->jobs.Charge(job, stored.row.items);
    HeldChunk chunk;
    chunk.job = job;
    chunk.number = ChunkOfKey(stored.key).value_or(0);
    chunk.stored = stored;
    this->chunks[stored.key] = std::move(chunk);
    if (this->KnowsCancelled(job.uid) || this->draining) {
      this->Release(now, stored.key);
    } else {
      this->Load(now, stored.key);
    }
  }
}

/// A chunk stays listed until the table no longer shows it as held, so that a
/// loss of this VM at any moment leaves none behind.
void BatchNode::ListHeld() {
  this->holder.row.chunk_keys.assign(this->releasing.begin(),
                                     this->releasing.end());
  for (const auto& [key, chunk] : this->chunks) {
    this->holder.row.chunk_keys.push_back(key);
  }
}

/// Only asks whether the table can be reached.
void BatchNode::Probe(base::Instant now) {
  this->probing = true;
  base::TableScan scan;
  scan.prefix = this->holder.key;
  scan.limit = 1;
  this->calls.Scan(
      now, std::move(scan), CallMode::kOnce,
      [this](base::Instant at, const base::Outcome<base::ScanReply>& page) {
        this->probing = false;
        if (!page.ok()) this->AskPeersIfStale(at);
      });
}

/// A renewal also proves that none of the held jobs was cancelled before it.
void BatchNode::Renew(base::Instant now) {
  if (this->holder_busy) {
    // A lease is on its way and may be lost: asked in another way.
    this->Probe(now);
    return;
  }
  this->holder_busy = true;
  this->probing = true;
  this->renew_at = now + this->options.renew_every;
  if (!this->renewal) {
    std::map<std::string, BatchJob> held;
    this->ListHeld();
    for (const auto& [key, chunk] : this->chunks) {
      held.emplace(chunk.job.uid, chunk.job);
    }
    std::vector<BatchJob> open;
    for (auto& [uid, job] : held) open.push_back(std::move(job));
    this->renewal =
        RenewHolder(this->calls.NextOperationId(), this->holder, open);
    this->renewal_sent_at = now;
  }
  this->calls.Commit(now, *this->renewal, CallMode::kOnce,
                     [this](base::Instant at, const base::Status& status) {
                       this->OnRenewal(at, status);
                     });
}

void BatchNode::OnRenewal(base::Instant now, const base::Status& status) {
  this->holder_busy = false;
  this->probing = false;
  if (status.ok()) {
    this->renewal.reset();
    ++this->holder.version;
    this->confirmed_at = this->renewal_sent_at;
    return;
  }
  if (status.error().Is(base::Errc::kConflict)) {
    this->renewal.reset();
    this->confirmed_at = now - this->options.fresh_for;
    this->CheckHolder(now);
    this->CheckJobs(now);
    return;
  }
  this->renew_at = now + this->options.probe_every;
  this->AskPeersIfStale(now);
}

void BatchNode::AskPeersIfStale(base::Instant now) {
  if (now < this->confirmed_at + this->options.fresh_for) return;
  if (this->asking || this->chunks.empty()) return;
  std::set<std::string> keys;
  for (const auto& [key, chunk] : this->chunks) {
    keys.insert(OpenRowKey(chunk.job));
  }
  this->asking = true;
  this->calls.Ask(now, {keys.begin(), keys.end()},
                  [this, now](base::Instant at, const base::Status& status) {
                    // Those known to be cancelled are gone by now.
                    this->asking = false;
                    const auto age = at - now;
                    if (status.ok() && age > this->options.answer_valid_for) {
                      return;
                    }
                    this->unreachable = true;
                    this->Pump(at);
                    this->unreachable = false;
                  });
}

/// After a conflict: was this VM fenced?
void BatchNode::CheckHolder(base::Instant now) {
  base::TableScan scan;
  scan.prefix = this->holder.key;
  scan.limit = 1;
  const auto expected = this->holder.version;
  this->calls.Scan(
      now, std::move(scan), CallMode::kOnce,
      [this, expected](base::Instant at, base::Outcome<base::ScanReply> page) {
        if (!page.ok() || this->holder_busy) return;
        if (expected != this->holder.version) return;
        const auto version = page->rows.empty() ? 0 : page->rows[0].version;
        if (version != expected) this->Fenced(at);
      });
}

void BatchNode::CheckJobs(base::Instant now) {
  std::map<std::string, BatchJob> held;
  for (const auto& [key, chunk] : this->chunks) {
    held.emplace(chunk.job.uid, chunk.job);
  }
  for (const auto& [uid, job] : held) {
    base::TableScan scan;
    scan.prefix = JobRowKey(job.organisation, job.id);
    scan.limit = 1;
    this->calls.Scan(
        now, std::move(scan), CallMode::kOnce,
        [this, held_job = job](base::Instant at,
                               base::Outcome<base::ScanReply> page) {
          if (!page.ok()) return;
          if (IsOpen(*page, held_job)) return;
          this->OnCancelled(at, held_job.uid);
        });
  }
}

void BatchNode::Fenced(base::Instant now) {
  ++this->counted.times_fenced;
  ++this->epoch;
  this->holder.key = HolderRowKey(this->self, this->epoch);
  this->holder.version = 0;
  this->holder.row.chunk_keys.clear();
  this->renewal.reset();
  this->counted.chunks_lost += this->chunks.size();
  for (const auto& [key, chunk] : this->chunks) this->StopChunk(chunk);
  this->chunks.clear();
  this->Pump(now);
}

void BatchNode::Load(base::Instant now, const std::string& key) {
  const auto& chunk = this->chunks.at(key);
  const auto input = InputObject(chunk.job.uid, chunk.number);
  const auto partial = chunk.stored.row.partial;
  const auto token = chunk.stored.row.token;
  this->calls.Get(
      now, input,
      [this, key, partial, token](base::Instant at,
                                  base::Outcome<std::string> bytes) {
        if (!this->Holds(key, token)) return;
        if (!bytes.ok()) return this->Lose(at, key);
        if (partial.empty()) return this->OnLoaded(at, key, *bytes, {});
        this->calls.Get(
            at, partial,
            [this, key, token, input_bytes = std::move(*bytes)](
                base::Instant then, base::Outcome<std::string> known) {
              if (!this->Holds(key, token)) return;
              if (!known.ok()) return this->Lose(then, key);
              auto results = DecodeResults(*known);
              if (!results.ok()) return this->Lose(then, key);
              this->OnLoaded(then, key, input_bytes, *results);
            });
      });
}

bool BatchNode::Holds(const std::string& key, std::uint64_t token) {
  const auto* chunk = this->Find(key);
  return chunk != nullptr && chunk->stored.row.token == token;
}

void BatchNode::OnLoaded(base::Instant now, const std::string& key,
                         const std::string& input, const ItemResults& known) {
  auto& chunk = this->chunks.at(key);
  chunk.run.emplace(SplitLines(input), chunk.job.idempotent,
                    this->options.poison, chunk.stored.row, known);
  if (!this->options.safeguards.intents) chunk.run->AllowMore(UINT32_MAX);
  chunk.phase = Phase::kRunning;
  this->Advance(now, key);
}

}  // namespace gypsumtrack::policy
