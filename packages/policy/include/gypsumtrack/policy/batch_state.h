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

/// Stored state of batch jobs: rows, their keys, and the commits that change
/// them. docs/design/batch-leases.md explains why each commit is safe.
/// Every function in this file is thread-safe.
namespace gypsumtrack::policy {

/// State of a job as stored in its row.
enum class JobState { kOpen, kCancelled, kFinished };

/// Names of job states, as stored in job rows.
inline constexpr auto kJobStateNames = base::MakeEnumTable<JobState>({
    {JobState::kOpen, "open"},
    {JobState::kCancelled, "cancelled"},
    {JobState::kFinished, "finished"},
});

/// A batch job as stored in its row. The row has version 1 exactly as long as
/// the job is open, as only a cancel or a finish writes it again. A commit can
/// therefore require an open job by a condition on version 1.
struct BatchJob {
  base::Organisation organisation;
  /// Chosen by the caller; unique within the organisation.
  base::JobId id;
  /// Globally unique name, used in the keys of the job's chunks and objects.
  std::string uid;
  JobState state = JobState::kOpen;
  /// Service that runs the items; empty for any.
  base::Service service;
  /// Model that runs the items; empty for any.
  base::Model model;
  /// Request path of an item at its endpoint.
  std::string path;
  /// Whether an item may be sent again after a failed attempt.
  bool idempotent = true;
  /// Weight of the organisation when the job was accepted.
  std::uint32_t share = 1;
  /// SHA-256 of the submitted body.
  std::string digest;
  /// Number of items in all chunks.
  std::uint64_t items = 0;
  /// Number of chunks.
  std::uint32_t chunks = 0;
  base::WallTime accepted_at{};
  /// When the job is due to be finished.
  base::WallTime due_at{};
  /// When the results expire.
  base::WallTime keep_until{};

  bool operator==(const BatchJob&) const = default;
};

/// Version of an open job's row.
inline constexpr std::uint64_t kOpenJobVersion = 1;

/// Row of an unfinished chunk. It is deleted when the chunk's result commits.
struct ChunkRow {
  /// Fencing token: increases with each lease. A result commits only under the
  /// newest token.
  std::uint64_t token = 0;
  /// Key of the holder's row; empty if the chunk is free.
  std::string holder;
  /// Index of the chunk's first item in the job, from 0.
  std::uint64_t first_item = 0;
  /// Number of items.
  std::uint32_t items = 0;
  /// Non-idempotent jobs: only this many items, in run order, may have been
  /// sent.
  std::uint32_t send_limit = 0;
  /// Name of the object with the results so far; may be empty.
  std::string partial;
  /// How many times a holder returned the chunk because none of its endpoints
  /// was known to be healthy.
  std::uint32_t returns = 0;

  bool operator==(const ChunkRow&) const = default;
};

/// Row of a finished chunk. It never changes.
struct ResultRow {
  /// Name of the object with the results.
  std::string object;
  /// Index of the chunk's first item in the job, from 0.
  std::uint64_t first_item = 0;
  /// Numbers of items by their final state.
  std::uint32_t completed = 0;
  std::uint32_t failed = 0;
  std::uint32_t unknown = 0;

  bool operator==(const ResultRow&) const = default;
};

/// Lease of a VM over all chunks that it holds, renewed by writing this one
/// row.
struct HolderRow {
  /// Name of the VM.
  std::string vm;
  std::vector<std::string> chunk_keys;

  bool operator==(const HolderRow&) const = default;
};

/// Marks chunk rows and input objects as garbage once the job has ended, or
/// once the upload that wrote them stops before its job is accepted.
struct StagingRow {
  /// Input objects numbered below this may exist.
  std::uint32_t objects = 0;
  /// True if the job has ended or the upload was found stalled. Otherwise the
  /// objects are garbage only once the upload makes no progress.
  bool ended = false;

  bool operator==(const StagingRow&) const = default;
};

/// Encode rows as one line of tab-separated fields. The decoders report
/// kInvalid for anything else.
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

/// Returns whether `text` is a valid job id: 1 to 128 characters of
/// `A-Za-z0-9._-`.
bool IsJobId(std::string_view text);

/// Key prefixes of the index of open jobs, of holder rows, of staging rows and
/// of the index of jobs by `keep_until`.
inline constexpr std::string_view kOpenPrefix = "batch/open/";
inline constexpr std::string_view kHolderPrefix = "batch/holder/";
inline constexpr std::string_view kStagingPrefix = "batch/staging/";
inline constexpr std::string_view kKeepPrefix = "batch/keep/";

/// Returns the key prefix of the job rows of all organisations.
std::string JobPrefix();
/// Returns the key prefix of an organisation's job rows.
std::string JobPrefix(const base::Organisation& organisation);
/// Returns the key of a job's row.
std::string JobRowKey(const base::Organisation& organisation,
                      const base::JobId& id);
/// Returns the job's key in the index of open jobs, which is ordered by
/// organisation, then due time.
std::string OpenRowKey(const BatchJob& job);
/// Returns the job's key in the index of jobs by `keep_until`.
std::string KeepRowKey(const BatchJob& job);
/// Returns the key prefix of the job's chunk rows.
std::string ChunkPrefix(std::string_view uid);
/// Returns the key of a chunk row.
std::string ChunkRowKey(std::string_view uid, std::uint32_t chunk);
/// Returns the key prefix of the job's result rows.
std::string ResultPrefix(std::string_view uid);
/// Returns the key of a result row.
std::string ResultRowKey(std::string_view uid, std::uint32_t chunk);
/// Returns the key of the job's staging row.
std::string StagingRowKey(std::string_view uid);
/// Returns the key of a VM's holder row. The VM increments `epoch` each time it
/// was fenced.
std::string HolderRowKey(const base::VmId& vm, std::uint64_t epoch);
/// Returns the name of the object with the chunk's items.
std::string InputObject(std::string_view uid, std::uint32_t chunk);
/// Returns the name of an object with results of the chunk. `part` tells apart
/// the objects written under the same token.
std::string ResultObject(std::string_view uid, std::uint32_t chunk,
                         std::uint64_t token, std::uint32_t part);
/// Returns the chunk's number from the key of a chunk or result row; empty if
/// the key is malformed.
std::optional<std::uint32_t> ChunkOfKey(std::string_view key);
/// Returns the job's uid from the key of a chunk or result row; empty if the
/// key is malformed.
std::string_view UidOfKey(std::string_view key);

/// A chunk row, its key and the version that was read from the table.
struct StoredChunk {
  std::string key;
  std::uint64_t version = 0;
  ChunkRow row;
};

/// A holder row, its key and the version that its owner last wrote; 0 before
/// the first write.
struct StoredHolder {
  std::string key;
  std::uint64_t version = 0;
  HolderRow row;
};

/// Returns the commit that accepts a job. Precondition: its objects and chunk
/// rows are durable. Conflicts if the id is in use or the staging row has
/// changed.
base::TableCommit AcceptJob(std::string operation_id, const BatchJob& job,
                            std::uint64_t staging_version);

/// Returns the commit that leases `chunks` of an open job to the holder.
/// Preconditions: the chunks are free, and `holder.row` lists them. Conflicts
/// if the job isn't open, another VM changed one of the chunks, or the holder
/// was fenced.
base::TableCommit LeaseChunks(std::string operation_id, const BatchJob& job,
                              const StoredHolder& holder,
                              const std::vector<StoredChunk>& chunks);

/// Returns the commit that renews all leases of the holder. Conflicts if the
/// holder was fenced or one of `jobs` is no longer open.
base::TableCommit RenewHolder(std::string operation_id,
                              const StoredHolder& holder,
                              const std::vector<BatchJob>& jobs);

/// Returns the commit that records the result of a chunk. Conflicts if the
/// lease was lost or the job is no longer open.
base::TableCommit CommitResult(std::string operation_id, const BatchJob& job,
                               const StoredChunk& chunk,
                               const ResultRow& result);

/// Returns the commit that rewrites the row of a held chunk, to record an
/// intent or, with an empty `next.holder`, to return the chunk. Conflicts as
/// CommitResult does.
base::TableCommit UpdateChunk(std::string operation_id, const BatchJob& job,
                              const StoredChunk& chunk, const ChunkRow& next);

/// Returns the commit that fences a holder and frees its chunks. Conflicts if
/// the holder renewed its leases or one of the chunks has changed.
base::TableCommit RecoverHolder(std::string operation_id,
                                const StoredHolder& holder,
                                const std::vector<StoredChunk>& chunks);

/// Returns whether `page`, a scan for the job's row, shows the job as open.
bool IsOpen(const base::ScanReply& page, const BatchJob& job);

/// Returns the commit that ends an open job in `state`. Conflicts if the job is
/// no longer open.
base::TableCommit EndJob(std::string operation_id, BatchJob job,
                         JobState state);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_BATCH_STATE_H_
