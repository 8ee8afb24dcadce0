#ifndef GYPSUMTRACK_GATEWAY_BATCH_UPLOAD_H_
#define GYPSUMTRACK_GATEWAY_BATCH_UPLOAD_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumtrack/gateway/runtime.h"
#include "gypsumtrack/policy/batch_state.h"

/// Splits a submitted body into chunks and stores them while the body arrives,
/// so that it is never held in memory as a whole.
namespace gypsumtrack::gateway {

/// Splits a body of JSON lines into chunks as it arrives. The chunk boundaries,
/// and with them the digest, depend only on the body, not on the parts in which
/// it arrives. A resubmitted body can therefore be recognised by its digest.
/// Not thread-safe.
class ChunkSplitter {
 public:
  /// One chunk of the body.
  struct Chunk {
    /// The items, one JSON object per line, each followed by a newline.
    std::string bytes;
    /// Number of items.
    std::uint32_t items = 0;
  };

  /// Appends the next bytes of the body and returns the chunks that they
  /// complete. Empty lines are skipped. Errors: kInvalid, with the number of
  /// the line, if a line isn't a JSON object or the last, unfinished line is
  /// too long.
  base::Outcome<std::vector<Chunk>> Append(std::string_view bytes);
  /// Ends the body and returns the remaining chunks. Errors: kInvalid if
  /// the last line isn't a JSON object.
  base::Outcome<std::vector<Chunk>> Finish();
  /// Returns the digest of the body in hexadecimal: a SHA-256 chained over the
  /// digests of the chunks. Empty if the body has no items. Precondition:
  /// Finish has succeeded.
  const std::string& digest() const { return this->chained_digest; }  // NOLINT

 private:
  /// Adds a line to the chunk. Appends the chunks that are complete to `out`.
  base::Status AddLine(std::string_view line, std::vector<Chunk>& out);
  /// Moves the current chunk to `out` and updates the digest.
  void Close(std::vector<Chunk>& out);

  /// Input after the last complete line.
  std::string pending_input;
  /// Lines of the chunk that isn't complete yet.
  Chunk chunk;
  std::uint64_t line_count = 0;
  std::string chained_digest;
};

/// Stores the chunks of a submitted job, then accepts the job. A staging row
/// announces the stored objects, so that garbage collection finds them if the
/// job isn't accepted. Not thread-safe; one coroutine at a time may use it.
class BatchUpload {
 public:
  /// `uid` is the uid of the new job. `deadline` limits each store operation,
  /// repetitions included. Precondition: `runtime` outlives the upload.
  BatchUpload(const Runtime& runtime, std::string uid, base::Instant deadline);

  /// Stores the next chunk. Errors: those of the store; the job isn't accepted,
  /// even after kUnknown.
  boost::asio::awaitable<base::Status> AddChunk(ChunkSplitter::Chunk chunk);
  /// Accepts the job, and sets its uid and its numbers of items and chunks.
  /// Errors: kConflict (the id is in use, or the staging row has changed),
  /// kUnavailable, kUnknown (the job may have been accepted).
  boost::asio::awaitable<base::Status> Accept(policy::BatchJob& job);
  /// Marks everything stored so far as garbage, which any VM may collect. If
  /// that fails, garbage collection waits until the upload counts as stalled.
  boost::asio::awaitable<void> Abandon();

 private:
  /// Writes the staging row: input objects numbered below `objects` may exist.
  /// `ended` marks them as garbage.
  boost::asio::awaitable<base::Status> WriteStaging(std::uint32_t objects,
                                                    bool ended);
  boost::asio::awaitable<base::Status> WriteChunkRows();
  std::string NextOperationId();

  const Runtime* runtime;
  std::string uid;
  base::Instant deadline;
  /// Version of the staging row; 0 before the first write.
  std::uint64_t staging_version = 0;
  /// Number of input objects that the staging row announces.
  std::uint32_t staged_objects = 0;
  std::uint32_t operation_count = 0;
  std::uint64_t item_count = 0;
  /// Numbers of items, by chunk.
  std::vector<std::uint32_t> chunk_items;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_BATCH_UPLOAD_H_
