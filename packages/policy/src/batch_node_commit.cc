#include <algorithm>
#include <utility>

#include "gypsumtrack/policy/batch_node.h"

namespace gypsumtrack::policy {
namespace {

/// The final result object; intents and hand-backs number theirs from 1.
constexpr std::uint32_t kFinalPart = 0;

}  // namespace

/// The results so far go with the intent, so that a loss of this VM leaves
/// unknown only what the newest intent covers.
void BatchNode::WriteIntent(base::Instant now, HeldChunk& chunk) {
  chunk.phase = Phase::kIntent;
  ChunkRow next = chunk.stored.row;
  const auto more = chunk.run->sent() + this->options.intent_items;
  next.sent = std::min(more, next.items);
  this->UpdateRow(now, chunk, std::move(next));
}

void BatchNode::HandBack(base::Instant now, HeldChunk& chunk) {
  chunk.phase = Phase::kReturning;
  ChunkRow next = chunk.stored.row;
  next.holder.clear();
  if (chunk.run->Stuck()) {
    ++next.returns;
    this->paused[chunk.job.uid] = now + this->options.return_pause;
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
  auto commit =
      UpdateChunk(this->calls.NextOperationId(), chunk.job, chunk.stored, next);
  const auto write = [this, key, token, next, old_partial, commit](
                         base::Instant at, const base::Status& put) {
    if (!this->Holds(key, token)) return;
    if (!put.ok()) return this->Lose(at, key);
    this->calls.Commit(at, commit, CallMode::kUntilSettled,
                       [this, key, token, next, old_partial](
                           base::Instant then, const base::Status& status) {
                         if (!status.ok() && next.partial != old_partial) {
                           this->calls.Remove(then, next.partial, nullptr);
                         }
                         if (!this->Holds(key, token)) return;
                         if (!status.ok()) return this->Lose(then, key);
                         this->OnRowUpdated(then, key, next, old_partial);
                       });
  };
  if (!has_results) return write(now, base::Done{});
  this->calls.Put(now, next.partial, EncodeResults(chunk.run->results()),
                  write);
}

void BatchNode::OnRowUpdated(base::Instant now, const std::string& key,
                             const ChunkRow& row,
                             const std::string& old_partial) {
  if (!old_partial.empty() && old_partial != row.partial) {
    this->calls.Remove(now, old_partial, nullptr);
  }
  auto& chunk = this->chunks.at(key);
  if (row.holder.empty()) {
    this->chunks.erase(key);
    return;
  }
  const auto before = chunk.stored.row.sent;
  ++chunk.stored.version;
  chunk.stored.row = row;
  chunk.run->AllowMore(row.sent - before);
  chunk.phase = Phase::kRunning;
  this->Advance(now, key);
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
  auto commit =
      CommitResult(this->calls.NextOperationId(), job, chunk.stored, result);
  if (!this->options.safeguards.fencing) commit.conditions.clear();
  const auto object = result.object;
  this->calls.Put(now, object, EncodeResults(chunk.run->results()),
                  [this, key, token, job, partial, object, commit](
                      base::Instant at, const base::Status& put) {
                    if (!this->Holds(key, token)) return;
                    if (!put.ok()) return this->Lose(at, key);
                    this->calls.Commit(
                        at, commit, CallMode::kUntilSettled,
                        [this, key, token, job, partial, object](
                            base::Instant then, const base::Status& status) {
                          this->OnChunkCommitted(then, key, token, job, partial,
                                                 object, status);
                        });
                  });
}

void BatchNode::OnChunkCommitted(base::Instant now, const std::string& key,
                                 std::uint64_t token, const BatchJob& job,
                                 const std::string& partial,
                                 const std::string& object,
                                 const base::Status& status) {
  if (!status.ok()) {
    this->calls.Remove(now, object, nullptr);
    if (this->Holds(key, token)) this->Lose(now, key);
    return;
  }
  ++this->counted.chunks_committed;
  if (!partial.empty()) this->calls.Remove(now, partial, nullptr);
  if (this->Holds(key, token)) this->chunks.erase(key);
  const bool holds_more = std::any_of(
      this->chunks.begin(), this->chunks.end(),
      [&job](const auto& entry) { return entry.second.job.uid == job.uid; });
  if (!holds_more) this->FinishIfEmpty(now, job);
}

/// The chunk's commit failed: the lease is lost, or the job isn't open.
void BatchNode::Lose(base::Instant now, const std::string& key) {
  ++this->counted.chunks_lost;
  const auto job = this->chunks.at(key).job;
  this->paused[job.uid] = now + this->options.probe_every;
  this->Release(now, key);
  base::TableScan scan;
  scan.prefix = JobRowKey(job.organisation, job.id);
  scan.limit = 1;
  this->calls.Scan(
      now, std::move(scan), CallMode::kOnce,
      [this, job](base::Instant at, base::Outcome<base::ScanReply> page) {
        if (!page.ok() || IsOpen(*page, job)) return;
        this->OnCancelled(at, job.uid);
      });
}

/// The job is cancelled, or the lease came too late: the chunk goes back as it
/// is, once nothing of it runs.
void BatchNode::Release(base::Instant now, const std::string& key) {
  auto& chunk = this->chunks.at(key);
  this->StopChunk(chunk);
  if (chunk.run && chunk.run->running() > 0) {
    chunk.phase = Phase::kReleasing;
    return;
  }
  ChunkRow next = chunk.stored.row;
  next.holder.clear();
  base::TableCommit commit;
  commit.operation_id = this->calls.NextOperationId();
  commit.conditions = {{key, chunk.stored.version}};
  commit.writes = {{key, EncodeChunk(next)}};
  this->chunks.erase(key);
  this->releasing.insert(key);
  this->calls.Commit(now, std::move(commit), CallMode::kUntilSettled,
                     [this, key](base::Instant, const base::Status&) {
                       this->releasing.erase(key);
                     });
}

void BatchNode::FinishIfEmpty(base::Instant now, const BatchJob& job) {
  base::TableScan scan;
  scan.prefix = ChunkPrefix(job.uid);
  scan.limit = 1;
  this->calls.Scan(
      now, std::move(scan), CallMode::kUntilSettled,
      [this, job](base::Instant at, base::Outcome<base::ScanReply> page) {
        if (!page.ok() || !page->rows.empty()) return;
        this->jobs.Remove(job.uid);
        auto commit =
            EndJob(this->calls.NextOperationId(), job, JobState::kFinished);
        this->calls.Commit(at, std::move(commit), CallMode::kUntilSettled,
                           nullptr);
      });
}

}  // namespace gypsumtrack::policy
