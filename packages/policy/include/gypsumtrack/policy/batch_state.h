#ifndef GYPSUMTRACK_POLICY_BATCH_STATE_H_
#define GYPSUMTRACK_POLICY_BATCH_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/table.h"
#include "gypsumtrack/base/time.h"

/// What the platform keeps of batch work: rows, their keys, and the commits
/// that change them. docs/design/batch-leases.md tells why each is safe.
namespace gypsumtrack::policy {

enum class JobState { kOpen, kCancelled, kFinished };

inline constexpr auto kJobStateNames = base::MakeEnumTable<JobState>({
    {JobState::kOpen, "open"},
    {JobState::kCancelled, "cancelled"},
    {JobState::kFinished, "finished"},
});

/// A job. Its row has version 1 as long as the job is open: cancel and finish
/// each write it, so that "version 1" is the condition "still open".
struct BatchJob {
  base::Organisation organisation;
  base::JobId id;
  /// Names the job's chunks and objects; never used by another job.
  std::string uid;
  JobState state = JobState::kOpen;
  base::Service service;
  base::Model model;
  /// Path of the endpoint that runs an item.
  std::string path;
  bool idempotent = true;
  /// Weight of the organisation when the job was accepted.
  std::uint32_t share = 1;
  /// SHA-256 of the submitted body.
  std::string digest;
  std::uint64_t items = 0;
  std::uint32_t chunks = 0;
  base::WallTime accepted_at{};
  base::WallTime due_at{};
  base::WallTime keep_until{};

  bool operator==(const BatchJob&) const = default;
};

inline constexpr std::uint64_t kOpenJobVersion = 1;

/// A chunk that isn't finished. The row is deleted when its result commits.
struct ChunkRow {
  /// Rises with each lease; a result commits only under the newest.
  std::uint64_t token = 0;
  /// Key of the holder's row; empty if the chunk is free.
  std::string holder;
  /// Number of the chunk's first item in the job, from 0.
  std::uint64_t first_item = 0;
  std::uint32_t items = 0;
  /// Non-idempotent jobs: this many items, in run order, may have been sent.
  std::uint32_t sent = 0;
  /// Object with the results of sent items that are known; may be empty.
  std::string partial;
  /// How often a holder gave it back since no endpoint of its was known to
  /// work.
  std::uint32_t returns = 0;

  bool operator==(const ChunkRow&) const = default;
};

/// A finished chunk. Never written again.
struct ResultRow {
  std::string object;
  std::uint64_t first_item = 0;
  std::uint32_t completed = 0;
  std::uint32_t failed = 0;
  std::uint32_t unknown = 0;

  bool operator==(const ResultRow&) const = default;
};

/// The lease of a VM over all chunks that it holds. Renewed as one row.
struct HolderRow {
  std::string vm;
  std::vector<std::string> chunk_keys;

  bool operator==(const HolderRow&) const = default;
};

/// Chunk rows and input objects to remove: of an upload that didn't end in a
/// job, or of a job that ended.
struct StagingRow {
  /// Objects numbered below this may exist.
  std::uint32_t objects = 0;
  /// Removed at once; otherwise only when the upload stands still.
  bool ended = false;

  bool operator==(const StagingRow&) const = default;
};

/// Codec: one line of tab-separated fields. Decoding reports kInvalid.
/// Thread-safe, as is everything in this file.
std::string EncodeJob(const BatchJob& job);
base::Outcome<BatchJob> DecodeJob(std::string_view value);
std::string EncodeChunk(const ChunkRow& row);
base::Outcome<ChunkRow> DecodeChunk(std::string_view value);
std::string EncodeResult(const ResultRow& row);
base::Outcome<ResultRow> DecodeResult(std::string_view value);
std::string EncodeHolder(const HolderRow& row);
base::Outcome<HolderRow> DecodeHolder(std::string_view value);
std::string EncodeStaging(const StagingRow& row);
base::Outcome<StagingRow> DecodeStaging(std::string_view value);

/// Whether a caller may name a job so: 1 to 128 of `A-Za-z0-9._-`.
bool IsJobId(std::string_view text);

inline constexpr std::string_view kOpenPrefix = "batch/open/";
inline constexpr std::string_view kHolderPrefix = "batch/holder/";
inline constexpr std::string_view kStagingPrefix = "batch/staging/";
inline constexpr std::string_view kKeepPrefix = "batch/keep/";

/// Before the job rows of all organisations.
std::string JobPrefix();
std::string JobPrefix(const base::Organisation& organisation);
std::string JobRowKey(const base::Organisation& organisation,
                      const base::JobId& id);
/// The index of open jobs, by organisation, then due time.
std::string OpenRowKey(const BatchJob& job);
/// The index of jobs by the time until which their results are kept.
std::string KeepRowKey(const BatchJob& job);
std::string ChunkPrefix(std::string_view uid);
std::string ChunkRowKey(std::string_view uid, std::uint32_t chunk);
std::string ResultPrefix(std::string_view uid);
std::string ResultRowKey(std::string_view uid, std::uint32_t chunk);
std::string StagingRowKey(std::string_view uid);
/// `epoch` rises when the VM was fenced and begins anew.
std::string HolderRowKey(const base::VmId& vm, std::uint64_t epoch);
std::string InputObject(std::string_view uid, std::uint32_t chunk);
std::string ResultObject(std::string_view uid, std::uint32_t chunk,
                         std::uint64_t token, std::uint32_t part);
/// The chunk's number, from the key of a chunk or result row.
std::optional<std::uint32_t> ChunkOfKey(std::string_view key);
/// The job's uid, from the key of a chunk or result row.
std::string_view UidOfKey(std::string_view key);

/// A chunk row as read from the table.
struct StoredChunk {
  std::string key;
  std::uint64_t version = 0;
  ChunkRow row;
};

/// A holder row and the version that its owner last wrote; 0 before the first.
struct StoredHolder {
  std::string key;
  std::uint64_t version = 0;
  HolderRow row;
};

/// Accepts a job whose objects and chunk rows are durable. Conflicts if the id
/// is taken or the staging row was removed.
base::TableCommit AcceptJob(std::string operation_id, const BatchJob& job,
                            std::uint64_t staging_version);

/// Leases free `chunks` of an open job to the holder: `holder.row` must name
/// them already. Conflicts if the job isn't open, another VM was faster, or the
/// holder was fenced.
base::TableCommit LeaseChunks(std::string operation_id, const BatchJob& job,
                              const StoredHolder& holder,
                              const std::vector<StoredChunk>& chunks);

/// Renews all leases of the holder. Conflicts if it was fenced or one of the
/// jobs is no longer open.
base::TableCommit RenewHolder(std::string operation_id,
                              const StoredHolder& holder,
                              const std::vector<BatchJob>& jobs);

/// Records the chunk's result. Conflicts if the lease was lost or the job was
/// cancelled.
base::TableCommit CommitResult(std::string operation_id, const BatchJob& job,
                               const StoredChunk& chunk,
                               const ResultRow& result);

/// Rewrites a held chunk's row: an intent before a send, or a hand-back when
/// `next.holder` is empty. Conflicts like CommitResult.
base::TableCommit UpdateChunk(std::string operation_id, const BatchJob& job,
                              const StoredChunk& chunk, const ChunkRow& next);

/// Fences a holder that stopped renewing and frees its chunks.
base::TableCommit RecoverHolder(std::string operation_id,
                                const StoredHolder& holder,
                                const std::vector<StoredChunk>& chunks);

/// Whether `page`, a scan for the job's row, shows it open.
bool IsOpen(const base::ScanReply& page, const BatchJob& job);

/// Precondition: the job is open. Conflicts if it no longer is.
base::TableCommit EndJob(std::string operation_id, BatchJob job,
                         JobState state);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_BATCH_STATE_H_
