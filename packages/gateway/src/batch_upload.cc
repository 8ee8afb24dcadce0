#include "gypsumtrack/gateway/batch_upload.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/gateway/store_await.h"

namespace gypsumtrack::gateway {
namespace {

constexpr std::uint32_t kChunkItems = 160;
constexpr std::size_t kChunkBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t kLineBytes = std::size_t{1} * 1024 * 1024;
/// Objects that one write of the staging row announces.
constexpr std::uint32_t kStagedObjects = 64;
constexpr std::size_t kRowsPerCommit = 200;

bool IsJsonObject(std::string_view line) {
  boost::json::error_code error;
  const auto value = boost::json::parse({line.data(), line.size()}, error);
  return !error && value.is_object();
}

}  // namespace

base::Status ChunkCutter::AddLine(std::string_view line,
                                  std::vector<Chunk>& whole) {
  ++this->lines;
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (line.empty()) return base::Done{};
  if (!IsJsonObject(line)) {
    return base::Error(
        base::Errc::kInvalid,
        fmt::format("line {}: expected a JSON object", this->lines));
  }
  if (this->open.bytes.size() + line.size() > kChunkBytes) this->Close(whole);
  this->open.bytes.append(line);
  this->open.bytes += '\n';
  if (++this->open.items == kChunkItems) this->Close(whole);
  return base::Done{};
}

void ChunkCutter::Close(std::vector<Chunk>& whole) {
  if (this->open.items == 0) return;
  this->chain =
      base::Sha256Hex(this->chain + base::Sha256Hex(this->open.bytes));
  whole.push_back(std::exchange(this->open, {}));
}

base::Outcome<std::vector<ChunkCutter::Chunk>> ChunkCutter::Add(
    std::string_view part) {
  std::vector<Chunk> whole;
  this->rest.append(part);
  std::size_t start = 0;
  for (auto end = this->rest.find('\n'); end != std::string::npos;
       end = this->rest.find('\n', start)) {
    const std::string_view all = this->rest;
    const auto line = all.substr(start, end - start);
    const auto added = this->AddLine(line, whole);
    if (!added.ok()) return added.error();
    start = end + 1;
  }
  this->rest.erase(0, start);
  if (this->rest.size() > kLineBytes) {
    return base::Error(base::Errc::kInvalid,
                       fmt::format("line {}: longer than {} bytes",
                                   this->lines + 1, kLineBytes));
  }
  return whole;
}

base::Outcome<std::vector<ChunkCutter::Chunk>> ChunkCutter::End() {
  std::vector<Chunk> whole;
  if (!this->rest.empty()) {
    const auto added = this->AddLine(this->rest, whole);
    if (!added.ok()) return added.error();
    this->rest.clear();
  }
  this->Close(whole);
  return whole;
}

BatchUpload::BatchUpload(const Runtime& daemon, std::string job_uid,
                         base::Instant upload_deadline)
    : runtime(&daemon), uid(std::move(job_uid)), deadline(upload_deadline) {}

std::string BatchUpload::OperationId() {
  return fmt::format("batch/upload/{}/{}", this->uid, ++this->operations);
}

boost::asio::awaitable<base::Status> BatchUpload::Stage(std::uint32_t objects,
                                                        bool ended) {
  base::TableCommit commit;
  commit.operation_id = this->OperationId();
  const auto key = policy::StagingRowKey(this->uid);
  commit.conditions = {{key, this->staging_version}};
  commit.writes = {{key, policy::EncodeStaging({objects, ended})}};
  auto status =
      co_await CommitWithRetries(this->runtime->platform, this->runtime->clock,
                                 std::move(commit), this->deadline);
  if (status.ok()) {
    ++this->staging_version;
    this->staged = objects;
  }
  co_return status;
}

boost::asio::awaitable<base::Status> BatchUpload::Add(
    ChunkCutter::Chunk chunk) {
  const auto number = static_cast<std::uint32_t>(this->chunk_items.size());
  if (number == this->staged) {
    auto status = co_await this->Stage(this->staged + kStagedObjects, false);
    if (!status.ok()) co_return status;
  }
  auto status = co_await PutObject(this->runtime->platform,
                                   policy::InputObject(this->uid, number),
                                   std::move(chunk.bytes), this->deadline);
  if (!status.ok()) co_return status;
  this->chunk_items.push_back(chunk.items);
  co_return base::Done{};
}

boost::asio::awaitable<base::Status> BatchUpload::WriteRows() {
  const auto count = static_cast<std::uint32_t>(this->chunk_items.size());
  for (std::uint32_t next = 0; next < count;) {
    base::TableCommit commit;
    commit.operation_id = this->OperationId();
    commit.conditions = {
        {policy::StagingRowKey(this->uid), this->staging_version}};
    while (next < count && commit.writes.size() < kRowsPerCommit) {
      policy::ChunkRow row;
      row.first_item = this->items;
      row.items = this->chunk_items[next];
      this->items += row.items;
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
  auto written = co_await this->WriteRows();
  if (!written.ok()) {
    co_return base::Error(base::Errc::kUnavailable, written.error().message);
  }
  job.uid = this->uid;
  job.items = this->items;
  job.chunks = static_cast<std::uint32_t>(this->chunk_items.size());
  co_return co_await CommitWithRetries(
      this->runtime->platform, this->runtime->clock,
      policy::AcceptJob(this->OperationId(), job, this->staging_version),
      this->deadline);
}

boost::asio::awaitable<void> BatchUpload::Abandon() {
  if (this->staging_version == 0) co_return;
  (void)co_await this->Stage(this->staged, true);
}

}  // namespace gypsumtrack::gateway
