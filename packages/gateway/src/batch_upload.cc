#include "gypsumtrack/gateway/batch_upload.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/gateway/store_await.h"

namespace gypsumtrack::gateway {
namespace {

constexpr std::uint32_t kMaxChunkItems = 160;
constexpr std::size_t kMaxChunkBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t kMaxLineBytes = std::size_t{1} * 1024 * 1024;
/// Number of further objects that each write of the staging row announces.
constexpr std::uint32_t kObjectsPerStaging = 64;
constexpr std::size_t kMaxRowsPerCommit = 200;

bool IsJsonObject(std::string_view line) {
  boost::json::error_code error;
  const auto value = boost::json::parse({line.data(), line.size()}, error);
  return !error && value.is_object();
}

}  // namespace

base::Status ChunkSplitter::AddLine(std::string_view line,
                                    std::vector<Chunk>& out) {
  ++this->line_count;
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (line.empty()) return base::Done{};
  if (!IsJsonObject(line)) {
    return base::Error(
        base::Errc::kInvalid,
        fmt::format("line {}: expected a JSON object", this->line_count));
  }
  if (this->chunk.bytes.size() + line.size() > kMaxChunkBytes) this->Close(out);
  this->chunk.bytes.append(line);
  this->chunk.bytes += '\n';
  if (++this->chunk.items == kMaxChunkItems) this->Close(out);
  return base::Done{};
}

void ChunkSplitter::Close(std::vector<Chunk>& out) {
  if (this->chunk.items == 0) return;
  this->chained_digest = base::Sha256Hex(this->chained_digest +
                                         base::Sha256Hex(this->chunk.bytes));
  out.push_back(std::exchange(this->chunk, {}));
}

base::Outcome<std::vector<ChunkSplitter::Chunk>> ChunkSplitter::Append(
    std::string_view bytes) {
  std::vector<Chunk> out;
  this->pending_input.append(bytes);
  std::size_t start = 0;
  for (auto end = this->pending_input.find('\n'); end != std::string::npos;
       end = this->pending_input.find('\n', start)) {
    const std::string_view input = this->pending_input;
    const auto line = input.substr(start, end - start);
    const auto added = this->AddLine(line, out);
    if (!added.ok()) return added.error();
    start = end + 1;
  }
  this->pending_input.erase(0, start);
  if (this->pending_input.size() > kMaxLineBytes) {
    return base::Error(base::Errc::kInvalid,
                       fmt::format("line {}: longer than {} bytes",
                                   this->line_count + 1, kMaxLineBytes));
  }
  return out;
}

base::Outcome<std::vector<ChunkSplitter::Chunk>> ChunkSplitter::Finish() {
  std::vector<Chunk> out;
  if (!this->pending_input.empty()) {
    const auto added = this->AddLine(this->pending_input, out);
    if (!added.ok()) return added.error();
    this->pending_input.clear();
  }
  this->Close(out);
  return out;
}

BatchUpload::BatchUpload(const Runtime& daemon, std::string job_uid,
                         base::Instant upload_deadline)
    : runtime(&daemon), uid(std::move(job_uid)), deadline(upload_deadline) {}

std::string BatchUpload::NextOperationId() {
  return fmt::format("batch/upload/{}/{}", this->uid, ++this->operation_count);
}

boost::asio::awaitable<base::Status> BatchUpload::WriteStaging(
    std::uint32_t objects, bool ended) {
  base::TableCommit commit;
  commit.operation_id = this->NextOperationId();
  const auto key = policy::StagingRowKey(this->uid);
  commit.conditions = {{key, this->staging_version}};
  commit.writes = {{key, policy::EncodeStaging({objects, ended})}};
  auto status =
      co_await CommitWithRetries(this->runtime->platform, this->runtime->clock,
                                 std::move(commit), this->deadline);
  if (status.ok()) {
    ++this->staging_version;
    this->staged_objects = objects;
  }
  co_return status;
}

boost::asio::awaitable<base::Status> BatchUpload::AddChunk(
    ChunkSplitter::Chunk chunk) {
  const auto number = static_cast<std::uint32_t>(this->chunk_items.size());
  if (number == this->staged_objects) {
    auto status = co_await this->WriteStaging(
        this->staged_objects + kObjectsPerStaging, false);
    if (!status.ok()) co_return status;
  }
  auto status = co_await PutObject(this->runtime->platform,
                                   policy::InputObject(this->uid, number),
                                   std::move(chunk.bytes), this->deadline);
  if (!status.ok()) co_return status;
  this->chunk_items.push_back(chunk.items);
  co_return base::Done{};
}

boost::asio::awaitable<base::Status> BatchUpload::WriteChunkRows() {
  const auto count = static_cast<std::uint32_t>(this->chunk_items.size());
  for (std::uint32_t next = 0; next < count;) {
    base::TableCommit commit;
    commit.operation_id = this->NextOperationId();
    commit.conditions = {
        {policy::StagingRowKey(this->uid), this->staging_version}};
    while (next < count && commit.writes.size() < kMaxRowsPerCommit) {
      policy::ChunkRow row;
      row.first_item = this->item_count;
      row.items = this->chunk_items[next];
      this->item_count += row.items;
      commit.writes.push_back(
          {policy::ChunkRowKey(this->uid, next), policy::EncodeChunk(row)});
      ++next;
    }
    auto status = co_await CommitWithRetries(this->runtime->platform,
                                             this->runtime->clock,
                                             std::move(commit), this->deadline);
    if (!status.ok()) co_return status;
  }
  co_return base::Done{};
}

boost::asio::awaitable<base::Status> BatchUpload::Accept(
    policy::BatchJob& job) {
  auto written = co_await this->WriteChunkRows();
  if (!written.ok()) {
    co_return base::Error(base::Errc::kUnavailable, written.error().message);
  }
  job.uid = this->uid;
  job.items = this->item_count;
  job.chunks = static_cast<std::uint32_t>(this->chunk_items.size());
  co_return co_await CommitWithRetries(
      this->runtime->platform, this->runtime->clock,
      policy::AcceptJob(this->NextOperationId(), job, this->staging_version),
      this->deadline);
}

boost::asio::awaitable<void> BatchUpload::Abandon() {
  if (this->staging_version == 0) co_return;
  (void)co_await this->WriteStaging(this->staged_objects, true);
}

}  // namespace gypsumtrack::gateway
