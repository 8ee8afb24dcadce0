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
#include "gypsumtrack/policy/batch_janitor.h"
#include "gypsumtrack/policy/batch_scheduler.h"
#include "gypsumtrack/policy/batch_state.h"
#include "gypsumtrack/policy/batch_store_calls.h"

/// One daemon's part in running batch jobs.
namespace gypsumtrack::policy {

/// Safety mechanisms that a test switches off to show what they prevent.
struct BatchSafeguards {
  /// Results commit only under the newest lease of an open job.
  bool fencing = true;
  /// An intent is durable before a non-idempotent item is sent.
  bool intents = true;
  /// An item starts only while the lease is known to be good, or when neither
  /// the table nor a peer that can reach it answers.
  bool lease_check = true;
  /// Only failures on an endpoint known to work count against an item.
  bool require_healthy_endpoint = true;
};

struct BatchOptions {
  base::Duration renew_every = std::chrono::seconds(20);
  /// From the send of the last renewal that took effect.
  base::Duration fresh_for = std::chrono::seconds(30);
  /// Between probes of a store that doesn't answer, while items wait to start.
  base::Duration probe_every = std::chrono::milliseconds(500);
  /// A peer's answer lets items start for this long after it was asked.
  base::Duration answer_valid_for = std::chrono::seconds(1);
  /// Between two starts at an endpoint, so that prompts of batch items don't
  /// queue up before an online one.
  base::Duration start_interval = std::chrono::milliseconds(30);
  base::Duration index_every = std::chrono::seconds(10);
  std::uint32_t index_page_rows = 200;
  std::uint32_t lease_scan_rows = 24;
  std::uint32_t max_chunks = 16;
  std::uint32_t max_chunks_per_lease = 4;
  /// A job whose chunks are all held is looked at again after this.
  base::Duration job_pause = std::chrono::seconds(5);
  /// A job is left to other VMs after no endpoint here was known to work.
  base::Duration return_pause = std::chrono::seconds(60);
  /// Above this no item starts until results are durable.
  std::uint64_t max_pending_bytes = 32ULL * 1024 * 1024;
  /// Non-idempotent items that one intent covers.
  std::uint32_t intent_items = 16;
  PoisonOptions poison;
  SchedulerOptions scheduler;
  JanitorOptions janitor;
  BatchSafeguards safeguards;
};

struct BatchCounters {
  std::uint64_t items_started = 0;
  std::uint64_t items_completed = 0;
  std::uint64_t items_stopped = 0;
  std::uint64_t chunks_committed = 0;
  std::uint64_t chunks_lost = 0;
  std::uint64_t times_fenced = 0;
};

/// Leases chunks, runs their items and commits their results. Events go in with
/// the time; what to do comes out of TakeActions after each. Not thread-safe.
class BatchNode {
 public:
  /// `seed` spreads this VM's choices from those of others.
  BatchNode(base::VmId self, BatchOptions options, std::uint64_t seed);
  ~BatchNode();
  BatchNode(const BatchNode&) = delete;
  BatchNode& operator=(const BatchNode&) = delete;

  // Commands.

  /// Call often, at least every 100 ms.
  void Tick(base::Instant now, base::WallTime wall);
  /// What each endpoint may run; an endpoint left out gets nothing more.
  void SetCapacity(base::Instant now,
                   const std::vector<BatchCapacity>& capacity);
  /// The endpoint finished something, or reported load after a failure.
  void Vouch(const base::EndpointId& endpoint);
  void OnStatus(base::Instant now, CallId id, const base::Status& status);
  void OnScan(base::Instant now, CallId id,
              base::Outcome<base::ScanReply> reply);
  void OnObject(base::Instant now, CallId id, base::Outcome<std::string> reply);
  void OnItemEnd(base::Instant now, RunId run, RunResult result);
  /// The answer to QueryPeers: whether any peer that reaches the table
  /// answered, and which of the open rows it found gone.
  void OnPeerResponse(base::Instant now, CallId id, bool answered,
                      const std::vector<std::string>& ended_keys);
  /// Looks up which rows of the index of open jobs are gone, for a peer that
  /// lost the table.
  /// Errors: kUnavailable if this VM can't reach it either.
  using FoundReply = std::function<void(
      base::Instant, base::Outcome<std::vector<std::string>>)>;
  void FindEnded(base::Instant now, const std::vector<std::string>& open_keys,
                 FoundReply reply);
  /// A peer says that the job was cancelled.
  void OnCancelled(base::Instant now, const std::string& uid);
  /// A job was accepted here; saves waiting for the index.
  void OnAccepted(base::Instant now, const BatchJob& job);
  /// Cancels a job; `done` runs once nothing of it runs or can start, with
  /// kNotFound or kConflict (it has ended) otherwise.
  void Cancel(base::Instant now, const BatchJob& job, CancelReply done);
  /// Starts nothing more and hands back what isn't finished.
  void Drain(base::Instant now);
  std::vector<BatchAction> TakeActions();

  // Queries.

  /// After Drain: nothing is held or on its way.
  bool Drained() const;
  const BatchCounters& counters() const { return this->counted; }  // NOLINT
  /// Batch items running on the endpoint.
  std::uint32_t Running(const base::EndpointId& endpoint) const;
  bool KnowsCancelled(const std::string& uid) const;
  const BatchScheduler& scheduler() const { return this->jobs; }  // NOLINT
  std::size_t held() const { return this->chunks.size(); }        // NOLINT

 private:
  enum class Phase {
    kLoading,     ///< reading the items
    kRunning,     ///< items may start
    kIntent,      ///< an intent is on its way to the store
    kCommitting,  ///< the result is on its way to the store
    kReturning,   ///< the hand-back is on its way to the store
    kReleasing,   ///< given up as soon as nothing of it runs
  };
  struct HeldChunk {
    BatchJob job;
    StoredChunk stored;
    std::uint32_t number = 0;
    Phase phase = Phase::kLoading;
    std::optional<ChunkRun> run;
    /// Objects written under this token.
    std::uint32_t parts = 0;
  };
  struct EndpointState {
    BatchCapacity capacity;
    std::uint32_t running = 0;
    /// Finished something since it last failed.
    bool vouched = true;
    /// Runs an item that no other batch item may run beside.
    bool alone = false;
    /// Nothing starts before this after failures in a row.
    base::Instant retry_at{};
    base::Instant start_at{};
    std::uint32_t failures = 0;
  };
  struct RunningItem {
    std::string chunk_key;
    std::uint64_t token = 0;
    ItemStart start;
    base::EndpointId endpoint;
    bool vouched = false;
    bool stopping = false;
    bool idempotent = true;
    /// Only shows whether the endpoint works.
    bool control = false;
  };

  // batch_node.cc: endpoints and items.
  void Pump(base::Instant now);
  bool MayStart(base::Instant now);
  void FillEndpoint(base::Instant now, EndpointState& endpoint);
  bool StartOne(EndpointState& endpoint);
  bool StartControl(EndpointState& endpoint);
  void Start(HeldChunk& chunk, const ItemStart& start, EndpointState& endpoint,
             bool control);
  void BookOutcome(base::Instant now, EndpointState& endpoint,
                   ItemOutcome outcome);
  void StopSurplus(EndpointState& endpoint);
  void StopChunk(const HeldChunk& chunk);
  void Advance(base::Instant now, const std::string& key);
  bool Serves(const EndpointState& endpoint, const BatchJob& job) const;
  std::uint64_t PendingBytes() const;
  std::uint32_t FreeSlots() const;
  std::uint32_t Startable() const;

  // batch_node_lease.cc: leases and the index.
  void RefreshIndex(base::Instant now);
  void OnIndexPage(base::ScanReply page);
  void LeaseMore(base::Instant now);
  void ScanChunks(base::Instant now, const BatchJob& job, std::string after);
  void OnChunkRows(base::Instant now, const BatchJob& job, bool from_start,
                   const base::ScanReply& page);
  void Lease(base::Instant now, const BatchJob& job,
             std::vector<StoredChunk> free);
  void OnLeased(base::Instant now, base::Instant sent_at, const BatchJob& job,
                std::vector<StoredChunk> leased);
  void ListHeld();
  void Renew(base::Instant now);
  void Probe(base::Instant now);
  void OnRenewal(base::Instant now, const base::Status& status);
  void AskPeersIfStale(base::Instant now);
  void CheckHolder(base::Instant now);
  void CheckJobs(base::Instant now);
  void Fenced(base::Instant now);
  void Load(base::Instant now, const std::string& key);
  bool Holds(const std::string& key, std::uint64_t token);
  void OnLoaded(base::Instant now, const std::string& key,
                const std::string& input, const ItemResults& known);

  // batch_node_commit.cc: intents, results and hand-backs.
  void WriteIntent(base::Instant now, HeldChunk& chunk);
  void CommitChunk(base::Instant now, HeldChunk& chunk);
  void HandBack(base::Instant now, HeldChunk& chunk);
  void UpdateRow(base::Instant now, HeldChunk& chunk, ChunkRow next);
  void OnRowUpdated(base::Instant now, const std::string& key,
                    const ChunkRow& row, const std::string& old_partial);
  void OnChunkCommitted(base::Instant now, const std::string& key,
                        std::uint64_t token, const BatchJob& job,
                        const std::string& partial, const std::string& object,
                        const base::Status& status);
  void Lose(base::Instant now, const std::string& key);
  void Release(base::Instant now, const std::string& key);
  void FinishIfEmpty(base::Instant now, const BatchJob& job);
  HeldChunk* Find(const std::string& key);

  base::VmId self;
  BatchOptions options;
  std::uint64_t seed;
  StoreCalls calls;
  BatchJanitor janitor;
  BatchScheduler jobs;
  BatchCounters counted;
  std::vector<BatchAction> actions;

  std::map<std::string, HeldChunk> chunks;
  /// Let go here, and not yet in the table.
  std::set<std::string> releasing;
  std::map<base::EndpointId, EndpointState> endpoints;
  std::map<RunId, RunningItem> running;
  RunId last_run = 0;
  std::set<std::string> cancelled;
  /// Jobs that had no free chunk, until when they are passed over.
  std::map<std::string, base::Instant> paused;

  std::uint64_t epoch = 0;
  StoredHolder holder;
  bool holder_busy = false;
  /// Sent and not settled yet.
  std::optional<base::TableCommit> renewal;
  base::Instant renewal_sent_at{};
  base::Instant renew_at{};
  /// The leases were good at this time.
  base::Instant confirmed_at{};
  bool probing = false;
  bool asking = false;
  /// Neither table nor peer answered just now: items may start.
  bool unreachable = false;
  base::Instant probe_at{};
  bool leasing = false;
  base::Instant index_at{};
  std::string index_after;
  bool index_busy = false;
  std::set<std::string> index_seen;
  base::WallTime wall{};
  bool draining = false;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_BATCH_NODE_H_
