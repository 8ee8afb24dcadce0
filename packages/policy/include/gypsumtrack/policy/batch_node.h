#ifndef GYPSUMTRACK_POLICY_BATCH_NODE_H_
#define GYPSUMTRACK_POLICY_BATCH_NODE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/batch_action.h"
#include "gypsumtrack/policy/batch_chunk.h"
#include "gypsumtrack/policy/batch_garbage_collector.h"
#include "gypsumtrack/policy/batch_scheduler.h"
#include "gypsumtrack/policy/batch_state.h"
#include "gypsumtrack/policy/batch_store_calls.h"

/// Runs batch jobs on one daemon.
namespace gypsumtrack::policy {

/// Safeguards of batch processing. Tests switch them off to show what each one
/// prevents.
struct BatchSafeguards {
  /// Results commit only under the newest lease and while the job is open.
  bool fencing = true;
  /// A non-idempotent item is sent only after an intent for it is durable.
  bool intents = true;
  /// An item starts only while its lease is confirmed. If this VM can't reach
  /// the table, it starts only right after a peer has reported which jobs have
  /// ended, or when no peer that can reach the table responds.
  bool lease_check = true;
  /// Only failures on an endpoint known to be healthy count against an item.
  bool require_healthy_endpoint = true;
};

/// Options of BatchNode.
struct BatchOptions {
  /// Time between renewals of the leases.
  base::Duration renew_interval = std::chrono::seconds(20);
  /// How long leases count as confirmed, from when their last successful
  /// renewal was sent.
  base::Duration lease_confirmed_for = std::chrono::seconds(30);
  /// Time between probes of an unavailable store while items wait to start.
  /// Also the pause of a job after a conflict.
  base::Duration store_probe_interval = std::chrono::milliseconds(500);
  /// A peer's response lets items start only if it arrives within this time
  /// after the query.
  base::Duration peer_response_valid_for = std::chrono::seconds(1);
  /// Shortest time between two starts at an endpoint, so that an online request
  /// doesn't wait behind the prompts of many batch items.
  base::Duration start_interval = std::chrono::milliseconds(30);
  /// Time between scans of the index of open jobs.
  base::Duration index_refresh_interval = std::chrono::seconds(10);
  /// Index rows read per scan.
  std::uint32_t index_page_rows = 200;
  /// Chunk rows read per scan for free chunks.
  std::uint32_t lease_scan_rows = 24;
  /// No more chunks are leased while this many are held.
  std::uint32_t max_held_chunks = 16;
  /// Chunks leased by one commit.
  std::uint32_t max_chunks_per_lease = 4;
  /// A job whose chunks are all held is scanned again after this time.
  base::Duration held_job_retry_delay = std::chrono::seconds(5);
  /// How long a job is left to other VMs after one of its chunks was returned
  /// because no endpoint here was known to be healthy.
  base::Duration returned_job_retry_delay = std::chrono::seconds(60);
  /// No item starts while results that aren't committed have this many bytes.
  std::uint64_t max_pending_result_bytes = 32ULL * 1024 * 1024;
  /// Non-idempotent items that one intent covers.
  std::uint32_t intent_items = 16;
  PoisonOptions poison;
  SchedulerOptions scheduler;
  BatchGarbageCollectorOptions garbage_collector;
  BatchSafeguards safeguards;
};

/// Totals since the BatchNode was created.
struct BatchCounters {
  /// Runs of items, including repeated ones.
  std::uint64_t items_started = 0;
  std::uint64_t items_completed = 0;
  std::uint64_t items_stopped = 0;
  std::uint64_t chunks_committed = 0;
  /// Chunks given up because of a lost lease, an ended job or an unusable
  /// object.
  std::uint64_t chunks_lost = 0;
  std::uint64_t times_fenced = 0;
};

/// Leases chunks, runs their items and commits their results. It performs no
/// I/O: the caller passes events with their time, and performs the actions that
/// TakeActions returns after each event. Not thread-safe.
class BatchNode {
 public:
  /// `seed` should differ between VMs, so that they rarely choose the same
  /// chunks.
  BatchNode(base::VmId self, BatchOptions options, std::uint64_t seed);
  ~BatchNode();
  BatchNode(const BatchNode&) = delete;
  BatchNode& operator=(const BatchNode&) = delete;

  // Commands.

  /// Runs what is due. Call at least every 100 ms.
  void Tick(base::Instant now, base::WallTime wall);
  /// Sets the capacity of all endpoints. An endpoint that isn't listed has
  /// none. Excess items are stopped if they are idempotent.
  void SetCapacity(base::Instant now,
                   const std::vector<BatchCapacity>& capacity);
  /// Marks the endpoint as healthy: it completed a request, or reported its
  /// load after a failure.
  void MarkHealthy(const base::EndpointId& endpoint);
  /// Handles the reply to a CommitCall, PutCall or RemoveCall.
  void OnStatus(base::Instant now, CallId id, const base::Status& status);
  /// Handles the reply to a ScanCall.
  void OnScan(base::Instant now, CallId id,
              base::Outcome<base::ScanReply> reply);
  /// Handles the reply to a GetCall.
  void OnObject(base::Instant now, CallId id, base::Outcome<std::string> reply);
  /// Handles the end of a run that StartItem started.
  void OnItemEnd(base::Instant now, RunId run, RunResult result);
  /// Handles the reply to QueryPeers. `any_response` says whether any peer that
  /// can reach the table responded; `ended_keys` are the queried keys that are
  /// no longer in the index of open jobs.
  void OnPeerResponse(base::Instant now, CallId id, bool any_response,
                      const std::vector<std::string>& ended_keys);
  /// Receives the keys of jobs that have ended.
  using EndedJobsReply = std::function<void(
      base::Instant, base::Outcome<std::vector<std::string>>)>;
  /// Looks up which of the keys are no longer in the index of open jobs, for a
  /// peer that can't reach the table. Errors: kUnavailable if this VM can't
  /// reach it either.
  void FindEnded(base::Instant now, const std::vector<std::string>& open_keys,
                 EndedJobsReply reply);
  /// Handles a report that a job was cancelled or has otherwise ended: stops
  /// its items and releases its chunks.
  void OnCancelled(base::Instant now, const std::string& uid);
  /// Adds a job that this VM accepted, without waiting for the next scan of the
  /// index.
  void OnAccepted(base::Instant now, const BatchJob& job);
  /// Cancels a job. `done` runs once no item of the job runs or can start on
  /// any VM. Otherwise it receives the store's error: kConflict if the job has
  /// ended.
  void Cancel(base::Instant now, const BatchJob& job, CancelReply done);
  /// Starts no more items and returns unfinished chunks.
  void Drain(base::Instant now);
  /// Returns the actions to perform, and clears them.
  std::vector<BatchAction> TakeActions();

  // Queries.

  /// Returns whether, after Drain, no chunk is held and no item or lease write
  /// is pending.
  bool Drained() const;
  /// Returns the totals so far.
  const BatchCounters& counters() const { return this->totals; }  // NOLINT
  /// Returns the number of batch items that run on the endpoint.
  std::uint32_t Running(const base::EndpointId& endpoint) const;
  /// Returns whether the job is known to have ended, by a cancel or otherwise.
  bool IsKnownCancelled(const std::string& uid) const;
  /// Returns the open jobs that this VM knows.
  const BatchScheduler& scheduler() const { return this->job_queue; }  // NOLINT
  /// Returns the number of chunks held.
  std::size_t held_chunks() const { return this->chunks.size(); }  // NOLINT

 private:
  enum class Phase {
    kLoading,     ///< reading the items
    kRunning,     ///< items may start
    kIntent,      ///< an intent is being written
    kCommitting,  ///< the result is being written
    kReturning,   ///< the return to other VMs is being written
    kReleasing,   ///< released once none of its items runs
  };
  struct HeldChunk {
    BatchJob job;
    StoredChunk stored;
    /// Number of the chunk in the job.
    std::uint32_t number = 0;
    Phase phase = Phase::kLoading;
    std::optional<ChunkRun> run;
    /// Number of partial result objects written under this token.
    std::uint32_t parts = 0;
  };
  struct EndpointState {
    BatchCapacity capacity;
    std::uint32_t running = 0;
    /// Has completed a request since its last failure, or never failed.
    bool known_healthy = true;
    /// Runs an item that requires that no other batch item runs here.
    bool exclusive = false;
    /// No item starts earlier: backoff after failures.
    base::Instant retry_at{};
    /// No item starts earlier: BatchOptions::start_interval.
    base::Instant next_start_at{};
    /// Consecutive failures.
    std::uint32_t failures = 0;
  };
  struct RunningItem {
    std::string chunk_key;
    std::uint64_t token = 0;
    ItemStart start;
    base::EndpointId endpoint;
    /// State of the endpoint before the run started.
    bool known_healthy = false;
    bool stopping = false;
    bool idempotent = true;
    /// Only checks the endpoint's health; the result is discarded.
    bool is_probe = false;
  };

  // batch_node.cc: endpoints and items.
  void StartWork(base::Instant now);
  bool CanStartItems(base::Instant now);
  void FillEndpoint(base::Instant now, EndpointState& endpoint);
  bool StartNextItem(EndpointState& endpoint);
  bool StartProbeItem(EndpointState& endpoint);
  void StartRun(HeldChunk& chunk, const ItemStart& start,
                EndpointState& endpoint, bool is_probe);
  void RecordOutcome(base::Instant now, EndpointState& endpoint,
                     ItemOutcome outcome);
  void StopExcessItems(EndpointState& endpoint);
  void StopChunkItems(const HeldChunk& chunk);
  void AdvanceChunk(base::Instant now, const std::string& key);
  bool Serves(const EndpointState& endpoint, const BatchJob& job) const;
  bool HasHealthyEndpoint(const BatchJob& job) const;
  std::uint64_t PendingResultBytes() const;
  std::uint32_t FreeSlots() const;
  std::uint32_t StartableItems() const;

  // batch_node_lease.cc: leases and the index.
  void RefreshIndex(base::Instant now);
  void OnIndexPage(base::ScanReply page);
  void LeaseChunksIfNeeded(base::Instant now);
  void ScanChunks(base::Instant now, const BatchJob& job, std::string after);
  void OnChunkRows(base::Instant now, const BatchJob& job, bool from_start,
                   const base::ScanReply& page);
  void LeaseFreeChunks(base::Instant now, const BatchJob& job,
                       std::vector<StoredChunk> free_chunks);
  void OnChunksLeased(base::Instant now, base::Instant sent_at,
                      const BatchJob& job, std::vector<StoredChunk> leased);
  void UpdateHolderChunkKeys();
  void RenewLeases(base::Instant now);
  /// Whether a write of the holder row may have been applied without a reply,
  /// so that its version may be newer than known here.
  bool HolderVersionUnknown() const;
  void ProbeStore(base::Instant now);
  void OnRenewal(base::Instant now, const base::Status& status);
  void QueryPeersIfStale(base::Instant now);
  void CheckFenced(base::Instant now);
  void CheckHeldJobs(base::Instant now);
  void OnFenced(base::Instant now);
  void LoadChunk(base::Instant now, const std::string& key);
  bool Holds(const std::string& key, std::uint64_t token);
  void OnChunkLoaded(base::Instant now, const std::string& key,
                     const std::string& input, const ItemResults& known);

  // batch_node_commit.cc: intents, results and returned chunks.
  void WriteIntent(base::Instant now, HeldChunk& chunk);
  void CommitChunk(base::Instant now, HeldChunk& chunk);
  void ReturnChunk(base::Instant now, HeldChunk& chunk);
  void UpdateRow(base::Instant now, HeldChunk& chunk, ChunkRow next);
  void OnRowUpdated(base::Instant now, const std::string& key,
                    const ChunkRow& row, const std::string& old_partial);
  void OnChunkCommitted(base::Instant now, const std::string& key,
                        std::uint64_t token, const BatchJob& job,
                        const std::string& partial, const std::string& object,
                        const base::Status& status);
  void DropLostChunk(base::Instant now, const std::string& key);
  void ReleaseChunk(base::Instant now, const std::string& key);
  void FinishJobIfEmpty(base::Instant now, const BatchJob& job);
  HeldChunk* FindChunk(const std::string& key);

  base::VmId self;
  BatchOptions options;
  std::uint64_t seed;
  StoreCalls store_calls;
  BatchGarbageCollector garbage_collector;
  BatchScheduler job_queue;
  BatchCounters totals;
  std::vector<BatchAction> actions;

  std::map<std::string, HeldChunk> chunks;
  /// Keys of chunks released here whose rows still name this VM as holder.
  std::set<std::string> releasing;
  std::map<base::EndpointId, EndpointState> endpoints;
  std::map<RunId, RunningItem> running;
  RunId last_run = 0;
  /// Uids of jobs known to have ended, by a cancel or otherwise.
  std::set<std::string> cancelled;
  /// Jobs from which no chunk is leased before the given time, by uid.
  std::map<std::string, base::Instant> paused_jobs;

  std::uint64_t epoch = 0;
  StoredHolder holder;
  bool holder_write_pending = false;
  /// Renewal whose result isn't known; sent again unchanged.
  std::optional<base::TableCommit> pending_renewal;
  base::Instant renewal_sent_at{};
  base::Instant next_renewal_at{};
  /// Time at which the leases were last known to be valid.
  base::Instant lease_confirmed_at{};
  bool store_probe_pending = false;
  bool peer_query_pending = false;
  /// Set while items may start without a confirmed lease: this VM can't reach
  /// the table, and a peer has just reported which jobs have ended, or no peer
  /// that can reach the table responded.
  bool may_start_unconfirmed = false;
  base::Instant next_store_probe_at{};
  bool chunk_scan_pending = false;
  base::Instant next_index_refresh_at{};
  /// Last index key read; empty to start a new scan.
  std::string index_resume_key;
  bool index_scan_pending = false;
  /// Uids of the jobs seen by the current scan of the index.
  std::set<std::string> index_uids;
  base::WallTime wall_time{};
  bool draining = false;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_BATCH_NODE_H_
