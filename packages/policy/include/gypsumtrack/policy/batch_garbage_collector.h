#ifndef GYPSUMTRACK_POLICY_BATCH_GARBAGE_COLLECTOR_H_
#define GYPSUMTRACK_POLICY_BATCH_GARBAGE_COLLECTOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/batch_state.h"
#include "gypsumtrack/policy/batch_store_calls.h"

/// Garbage collection after lost VMs, ended jobs and abandoned uploads.
namespace gypsumtrack::policy {

/// Receives the result of a cancel.
using CancelReply = std::function<void(base::Instant, const base::Status&)>;

/// Options of BatchGarbageCollector.
struct BatchGarbageCollectorOptions {
  /// A holder that hasn't renewed its leases for this long is fenced.
  base::Duration lease_timeout = std::chrono::seconds(50);
  /// Time between scans of the holder rows.
  base::Duration holder_check_interval = std::chrono::seconds(5);
  /// Number of holders checked per scan: those after this VM in key order.
  std::uint32_t holders_per_check = 8;
  /// An upload without progress for this long is removed.
  base::Duration staging_timeout = std::chrono::minutes(10);
  /// Shortest time between scans for garbage; jitter adds up to as much again.
  base::Duration sweep_interval = std::chrono::seconds(60);
  /// Staging rows read per scan.
  std::uint32_t sweep_page_rows = 20;
  /// Time between scans of a cancelled job's chunks while VMs still hold them.
  base::Duration cancel_poll_interval = std::chrono::milliseconds(500);
  /// Shortest time between the commit of a cancel and its acknowledgement.
  /// Longer than BatchOptions::peer_response_valid_for, so that no item starts
  /// on the strength of a peer's response from before the cancel.
  base::Duration cancel_grace_period = std::chrono::milliseconds(1500);
};

/// Recovers the chunks of lost holders, ends cancelled jobs, and removes
/// orphaned objects and expired results. Not thread-safe.
class BatchGarbageCollector {
 public:
  /// Precondition: `calls` outlives this object. `holder_key` is the key of
  /// this VM's holder row; `seed` spreads the scans of VMs.
  BatchGarbageCollector(StoreCalls& calls, std::string holder_key,
                        BatchGarbageCollectorOptions options,
                        std::uint64_t seed);

  // Commands.

  /// Runs what is due.
  void Tick(base::Instant now, base::WallTime wall);
  /// Cancels an open job and removes its chunks. `written` runs when the cancel
  /// is durable, and `done` when no VM holds a chunk of the job any more. If
  /// the job was cancelled before, `done` waits in the same way. Otherwise it
  /// receives the store's error: kConflict if the job has ended.
  void Cancel(base::Instant now, const BatchJob& job, CancelReply done,
              std::function<void(base::Instant)> written);

 private:
  /// The version of a row and when it was first seen.
  struct RowObservation {
    std::uint64_t version = 0;
    base::Instant since{};
  };
  using ChunkList = std::shared_ptr<std::vector<StoredChunk>>;
  using RowObservations = std::map<std::string, RowObservation>;

  /// Records the row's version. Returns whether scans have shown this version
  /// for longer than `timeout`.
  bool UnchangedFor(RowObservations& observations, const base::Row& row,
                    base::Instant now, base::Duration timeout) const;
  /// Scans the holders after this VM in key order; `wrapped` scans from the
  /// first one.
  void CheckHolders(base::Instant now, bool wrapped);
  /// Fences a holder whose lease has expired and frees its chunks.
  void StartRecovery(base::Instant now, const base::Row& row);
  void ReadHolderChunks(base::Instant now,
                        const std::shared_ptr<StoredHolder>& holder,
                        std::size_t next, const ChunkList& held_chunks);
  void SweepStaging(base::Instant now);
  void ClaimStaging(base::Instant now, const base::Row& row);
  void JoinEarlierCancel(base::Instant now, const BatchJob& job,
                         const CancelReply& done, const base::Status& conflict);
  void FinishCancel(base::Instant now, const std::string& uid,
                    const CancelReply& done);
  void AcknowledgeCancel(base::Instant now, base::Instant earliest,
                         const CancelReply& done);
  void RemoveChunkRows(base::Instant now, const std::string& uid,
                       const CancelReply& done);
  void RemoveInputs(base::Instant now, const std::string& uid,
                    std::uint32_t next, std::uint32_t end);
  void ExpireOldestJob(base::Instant now);
  void ExpireJob(base::Instant now, const BatchJob& job);
  void RemoveResults(base::Instant now, const BatchJob& job,
                     std::uint64_t job_version);

  StoreCalls* store_calls;
  /// Position of this VM in the key order of holders.
  std::string own_holder_key;
  BatchGarbageCollectorOptions options;
  std::uint64_t seed;
  RowObservations holder_observations;
  RowObservations staging_observations;
  /// Time of the last successful scan. A long gap discards the observations.
  base::Instant holders_scanned_at{};
  base::Instant staging_scanned_at{};
  base::Instant next_holder_check_at{};
  base::Instant next_sweep_at{};
  base::WallTime wall_time{};
  struct DelayedTask {
    base::Instant at{};
    std::function<void(base::Instant)> run;
  };
  std::vector<DelayedTask> delayed_tasks;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_BATCH_GARBAGE_COLLECTOR_H_
