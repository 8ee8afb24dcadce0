#include <algorithm>
#include <utility>

#include "gypsumtrack/policy/batch_node.h"

namespace gypsumtrack::policy {
namespace {

/// Part number of the final result object. Partial results, written with
/// intents and returned chunks, have parts from 1.
constexpr std::uint32_t kFinalPart = 0;

}  // namespace

/// Writes an intent: raises the send limit in the chunk row, which limits how
/// many items may be sent. Writes the results so far with it, so that only the
/// items covered by the newest intent become unknown if this VM is lost.
void BatchNode::WriteIntent(base::Instant now, HeldChunk& chunk) {
  chunk.phase = Phase::kIntent;
  ChunkRow next = chunk.stored.row;
  const auto raised_limit =
      chunk.run->send_limit() + this->options.intent_items;
  next.send_limit = std::min(raised_limit, next.items);
  this->UpdateRow(now, chunk, std::move(next));
}

void BatchNode::ReturnChunk(base::Instant now, HeldChunk& chunk) {
  chunk.phase = Phase::kReturning;
  ChunkRow next = chunk.stored.row;
  next.holder.clear();
  if (chunk.run->AllRemainingDeferred()) {
    ++next.returns;
    this->paused_jobs[chunk.job.uid] =
        now + this->options.returned_job_retry_delay;
  }
  this->UpdateRow(now, chunk, std::move(next));
}

void BatchNode::UpdateRow(base::Instant now, HeldChunk& chunk, ChunkRow next) {
  const auto key = chunk.stored.key;
  const auto token = chunk.stored.row.token;
  const auto old_partial = chunk.stored.row.partial;
  const bool has_results = !chunk.run->results().empty();
  if (has_results) {
    next.partial = ResultObject(chunk.job.uid, chunk.number, token,
                                kFinalPart + ++chunk.parts);
  }
  auto commit = UpdateChunk(this->store_calls.NextOperationId(), chunk.job,
                            chunk.stored, next);
  const auto write_row = [this, key, token, next, old_partial, commit](
                             base::Instant at, const base::Status& put_status) {
    if (!this->Holds(key, token)) return;
    if (!put_status.ok()) return this->DropLostChunk(at, key);
    this->store_calls.Commit(
        at, commit, CallMode::kUntilSettled,
        [this, key, token, next, old_partial](base::Instant then,
                                              const base::Status& status) {
          if (!status.ok() && next.partial != old_partial) {
            this->store_calls.Remove(then, next.partial, nullptr);
          }
          if (!this->Holds(key, token)) return;
          if (!status.ok()) return this->DropLostChunk(then, key);
          this->OnRowUpdated(then, key, next, old_partial);
        });
  };
  if (!has_results) return write_row(now, base::Done{});
  this->store_calls.Put(now, next.partial, EncodeResults(chunk.run->results()),
                        write_row);
}

void BatchNode::OnRowUpdated(base::Instant now, const std::string& key,
                             const ChunkRow& row,
                             const std::string& old_partial) {
  if (!old_partial.empty() && old_partial != row.partial) {
    this->store_calls.Remove(now, old_partial, nullptr);
  }
  auto& chunk = this->chunks.at(key);
  if (row.holder.empty()) {
    this->chunks.erase(key);
    return;
  }
  const auto old_limit = chunk.stored.row.send_limit;
  ++chunk.stored.version;
  chunk.stored.row = row;
  chunk.run->RaiseSendLimit(row.send_limit - old_limit);
  chunk.phase = Phase::kRunning;
  this->AdvanceChunk(now, key);
}

void BatchNode::CommitChunk(base::Instant now, HeldChunk& chunk) {
  chunk.phase = Phase::kCommitting;
  const auto key = chunk.stored.key;
  const auto token = chunk.stored.row.token;
  const auto job = chunk.job;
  const auto partial = chunk.stored.row.partial;
  ResultRow result = chunk.run->Counts();
  result.first_item = chunk.stored.row.first_item;
  result.object = ResultObject(job.uid, chunk.number, token, kFinalPart);
  auto commit = CommitResult(this->store_calls.NextOperationId(), job,
                             chunk.stored, result);
  if (!this->options.safeguards.fencing) commit.conditions.clear();
  const auto object = result.object;
  this->store_calls.Put(
      now, object, EncodeResults(chunk.run->results()),
      [this, key, token, job, partial, object, commit](
          base::Instant at, const base::Status& put_status) {
        if (!this->Holds(key, token)) return;
        if (!put_status.ok()) return this->DropLostChunk(at, key);
        this->store_calls.Commit(
            at, commit, CallMode::kUntilSettled,
            [this, key, token, job, partial, object](
                base::Instant then, const base::Status& status) {
              this->OnChunkCommitted(then, key, token, job, partial, object,
                                     status);
            });
      });
}

void BatchNode::OnChunkCommitted(base::Instant now, const std::string& key,
                                 std::uint64_t token, const BatchJob& job,
                                 const std::string& partial,
                                 const std::string& object,
                                 const base::Status& status) {
  if (!status.ok()) {
    this->store_calls.Remove(now, object, nullptr);
    if (this->Holds(key, token)) this->DropLostChunk(now, key);
    return;
  }
  ++this->totals.chunks_committed;
  if (!partial.empty()) this->store_calls.Remove(now, partial, nullptr);
  if (this->Holds(key, token)) this->chunks.erase(key);
  const bool holds_more = std::any_of(
      this->chunks.begin(), this->chunks.end(),
      [&job](const auto& entry) { return entry.second.job.uid == job.uid; });
  if (!holds_more) this->FinishJobIfEmpty(now, job);
}

/// Called when the chunk's commit failed or its objects can't be used. The
/// lease is lost, or the job isn't open.
void BatchNode::DropLostChunk(base::Instant now, const std::string& key) {
  ++this->totals.chunks_lost;
  const auto job = this->chunks.at(key).job;
  this->paused_jobs[job.uid] = now + this->options.store_probe_interval;
  this->ReleaseChunk(now, key);
  base::TableScan scan;
  scan.prefix = JobRowKey(job.organisation, job.id);
  scan.limit = 1;
  this->store_calls.Scan(
      now, std::move(scan), CallMode::kOnce,
      [this, job](base::Instant at, base::Outcome<base::ScanReply> page) {
        if (!page.ok() || IsOpen(*page, job)) return;
        this->OnCancelled(at, job.uid);
      });
}

/// Releases a chunk once none of its items runs, without writing their results.
/// Used when the job was cancelled, the chunk was lost, or its lease was
/// granted only after this VM began to drain.
void BatchNode::ReleaseChunk(base::Instant now, const std::string& key) {
  auto& chunk = this->chunks.at(key);
  this->StopChunkItems(chunk);
  if (chunk.run && chunk.run->running() > 0) {
    chunk.phase = Phase::kReleasing;
    return;
  }
  ChunkRow next = chunk.stored.row;
  next.holder.clear();
  base::TableCommit commit;
  commit.operation_id = this->store_calls.NextOperationId();
  commit.conditions = {{key, chunk.stored.version}};
  commit.writes = {{key, EncodeChunk(next)}};
  this->chunks.erase(key);
  this->releasing.insert(key);
  this->store_calls.Commit(now, std::move(commit), CallMode::kUntilSettled,
                           [this, key](base::Instant, const base::Status&) {
                             this->releasing.erase(key);
                           });
}

void BatchNode::FinishJobIfEmpty(base::Instant now, const BatchJob& job) {
  base::TableScan scan;
  scan.prefix = ChunkPrefix(job.uid);
  scan.limit = 1;
  this->store_calls.Scan(
      now, std::move(scan), CallMode::kUntilSettled,
      [this, job](base::Instant at, base::Outcome<base::ScanReply> page) {
        if (!page.ok() || !page->rows.empty()) return;
        this->job_queue.Remove(job.uid);
        auto commit = EndJob(this->store_calls.NextOperationId(), job,
                             JobState::kFinished);
        this->store_calls.Commit(at, std::move(commit), CallMode::kUntilSettled,
                                 nullptr);
      });
}

}  // namespace gypsumtrack::policy
