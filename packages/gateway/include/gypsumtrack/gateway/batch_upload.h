#ifndef GYPSUMTRACK_GATEWAY_BATCH_UPLOAD_H_
#define GYPSUMTRACK_GATEWAY_BATCH_UPLOAD_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumtrack/gateway/runtime.h"
#include "gypsumtrack/policy/batch_state.h"

/// A submitted body on its way into chunks; never held whole.
namespace gypsumtrack::gateway {

/// Cuts a body into chunks as it arrives. The cuts, and so the digest, depend
/// on the body alone. Not thread-safe.
class ChunkCutter {
 public:
  /// The lines of one chunk, each with its line end.
  struct Chunk {
    std::string bytes;
    std::uint32_t items = 0;
  };

  /// Takes a part of the body; the chunks that it completes. Errors: kInvalid
  /// with the number of the line that isn't a JSON object.
  base::Outcome<std::vector<Chunk>> Add(std::string_view part);
  /// The end of the body: what remains.
  base::Outcome<std::vector<Chunk>> End();
  /// SHA-256 over the digests of the chunks so far. Precondition: after End.
  const std::string& digest() const { return this->chain; }  // NOLINT

 private:
  base::Status AddLine(std::string_view line, std::vector<Chunk>& whole);
  void Close(std::vector<Chunk>& whole);

  std::string rest;
  Chunk open;
  std::uint64_t lines = 0;
  std::string chain;
};

/// Writes a job's chunks to the platform under a staging row, then the job.
/// Used by one coroutine at a time.
class BatchUpload {
 public:
  /// `runtime` outlives it.
  BatchUpload(const Runtime& runtime, std::string uid, base::Instant deadline);

  /// Errors: kUnavailable, kUnknown (the job isn't accepted either way).
  boost::asio::awaitable<base::Status> Add(ChunkCutter::Chunk chunk);
  /// Accepts the job; fills in its counts. Errors: kConflict (the id is taken),
  /// kUnavailable, kUnknown (it may have been accepted).
  boost::asio::awaitable<base::Status> Accept(policy::BatchJob& job);
  /// Leaves what was written to the janitors of all VMs, at once if possible.
  boost::asio::awaitable<void> Abandon();

 private:
  boost::asio::awaitable<base::Status> Stage(std::uint32_t objects, bool ended);
  boost::asio::awaitable<base::Status> WriteRows();
  std::string OperationId();

  const Runtime* runtime;
  std::string uid;
  base::Instant deadline;
  std::uint64_t staging_version = 0;
  std::uint32_t staged = 0;
  std::uint32_t operations = 0;
  std::uint64_t items = 0;
  std::vector<std::uint32_t> chunk_items;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_BATCH_UPLOAD_H_
