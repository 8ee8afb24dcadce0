#include "gypsumtrack/policy/batch_state.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace gypsumtrack::policy {
namespace {

constexpr char kFieldTerminator = '\t';
constexpr std::size_t kMaxJobIdBytes = 128;

base::Error MalformedRow(std::string_view row_kind) {
  return {base::Errc::kInvalid, fmt::format("malformed {} row", row_kind)};
}

void AppendEscaped(std::string& out, std::string_view text) {
  for (const char c : text) {
    if (c == '\t') {
      out += "\\t";
    } else if (c == '\n') {
      out += "\\n";
    } else if (c == '\\') {
      out += "\\\\";
    } else {
      out += c;
    }
  }
}

/// Appends fields to a line, each with a terminator.
class FieldWriter {
 public:
  FieldWriter& Text(std::string_view text) {
    AppendEscaped(this->line, text);
    this->line += kFieldTerminator;
    return *this;
  }
  FieldWriter& Number(std::uint64_t number) {
    this->line += std::to_string(number);
    this->line += kFieldTerminator;
    return *this;
  }
  FieldWriter& Time(base::WallTime time) {
    return this->Number(
        static_cast<std::uint64_t>(time.time_since_epoch().count()));
  }
  std::string Take() { return std::move(this->line); }

 private:
  std::string line;
};

/// Reads fields in the order in which FieldWriter wrote them. `failed` is set
/// by the first error.
class FieldReader {
 public:
  explicit FieldReader(std::string_view line) : remaining(line) {}

  std::string Text() {
    const auto end = this->remaining.find(kFieldTerminator);
    if (end == std::string_view::npos) {
      this->failed = true;
      return {};
    }
    std::string text;
    for (std::size_t i = 0; i < end; ++i) {
      char c = this->remaining[i];
      if (c == '\\' && i + 1 < end) {
        c = this->remaining[++i];
        if (c == 't') c = '\t';
        if (c == 'n') c = '\n';
      }
      text += c;
    }
    this->remaining.remove_prefix(end + 1);
    return text;
  }

  template <typename T = std::uint64_t>
  T Number() {
    const auto text = this->Text();
    T number{};
    const auto* last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), last, number);
    if (parsed.ec != std::errc() || parsed.ptr != last) this->failed = true;
    return number;
  }

  base::WallTime Time() {
    return base::WallTime(std::chrono::milliseconds(this->Number()));
  }

  bool AtEnd() const { return this->remaining.empty(); }
  bool Complete() const { return !this->failed && this->remaining.empty(); }
  bool Failed() const { return this->failed; }

 private:
  std::string_view remaining;
  bool failed = false;
};

base::RowCondition JobOpenCondition(const BatchJob& job) {
  return {JobRowKey(job.organisation, job.id), kOpenJobVersion};
}

std::string PaddedMillis(base::WallTime time) {
  return fmt::format("{:014}", time.time_since_epoch().count());
}

}  // namespace

std::string EncodeJob(const BatchJob& job) {
  FieldWriter line;
  line.Text(job.organisation.text).Text(job.id.text).Text(job.uid);
  line.Text(kJobStateNames.Name(job.state));
  line.Text(job.service.text).Text(job.model.text).Text(job.path);
  line.Number(job.idempotent ? 1 : 0).Number(job.share).Text(job.digest);
  line.Number(job.items).Number(job.chunks);
  line.Time(job.accepted_at).Time(job.due_at).Time(job.keep_until);
  return line.Take();
}

base::Outcome<BatchJob> DecodeJob(std::string_view value) {
  FieldReader line(value);
  BatchJob job;
  job.organisation.text = line.Text();
  job.id.text = line.Text();
  job.uid = line.Text();
  const auto state = kJobStateNames.Parse(line.Text());
  job.service.text = line.Text();
  job.model.text = line.Text();
  job.path = line.Text();
  job.idempotent = line.Number() != 0;
  job.share = line.Number<std::uint32_t>();
  job.digest = line.Text();
  job.items = line.Number();
  job.chunks = line.Number<std::uint32_t>();
  job.accepted_at = line.Time();
  job.due_at = line.Time();
  job.keep_until = line.Time();
  if (!line.Complete() || !state) return MalformedRow("job");
  job.state = *state;
  return job;
}

std::string EncodeChunk(const ChunkRow& row) {
  FieldWriter line;
  line.Number(row.token).Text(row.holder);
  line.Number(row.first_item).Number(row.items);
  line.Number(row.send_limit).Text(row.partial).Number(row.returns);
  return line.Take();
}

base::Outcome<ChunkRow> DecodeChunk(std::string_view value) {
  FieldReader line(value);
  ChunkRow row;
  row.token = line.Number();
  row.holder = line.Text();
  row.first_item = line.Number();
  row.items = line.Number<std::uint32_t>();
  row.send_limit = line.Number<std::uint32_t>();
  row.partial = line.Text();
  row.returns = line.Number<std::uint32_t>();
  if (!line.Complete()) return MalformedRow("chunk");
  return row;
}

std::string EncodeResult(const ResultRow& row) {
  FieldWriter line;
  line.Text(row.object).Number(row.first_item).Number(row.completed);
  line.Number(row.failed).Number(row.unknown);
  return line.Take();
}

base::Outcome<ResultRow> DecodeResult(std::string_view value) {
  FieldReader line(value);
  ResultRow row;
  row.object = line.Text();
  row.first_item = line.Number();
  row.completed = line.Number<std::uint32_t>();
  row.failed = line.Number<std::uint32_t>();
  row.unknown = line.Number<std::uint32_t>();
  if (!line.Complete()) return MalformedRow("result");
  return row;
}

std::string EncodeHolder(const HolderRow& row) {
  FieldWriter line;
  line.Text(row.vm);
  for (const auto& key : row.chunk_keys) line.Text(key);
  return line.Take();
}

base::Outcome<HolderRow> DecodeHolder(std::string_view value) {
  FieldReader line(value);
  HolderRow row;
  row.vm = line.Text();
  while (!line.AtEnd() && !line.Failed()) row.chunk_keys.push_back(line.Text());
  if (!line.Complete()) return MalformedRow("holder");
  return row;
}

std::string EncodeStaging(const StagingRow& row) {
  return FieldWriter().Number(row.objects).Number(row.ended ? 1 : 0).Take();
}

base::Outcome<StagingRow> DecodeStaging(std::string_view value) {
  FieldReader line(value);
  StagingRow row;
  row.objects = line.Number<std::uint32_t>();
  row.ended = line.Number() != 0;
  if (!line.Complete()) return MalformedRow("staging");
  return row;
}

bool IsJobId(std::string_view text) {
  if (text.empty() || text.size() > kMaxJobIdBytes) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
  });
}

std::string JobPrefix() { return "batch/job/"; }

std::string JobPrefix(const base::Organisation& organisation) {
  return fmt::format("{}{}/", JobPrefix(), organisation.text);
}

std::string JobRowKey(const base::Organisation& organisation,
                      const base::JobId& id) {
  return JobPrefix(organisation) + id.text;
}

std::string OpenRowKey(const BatchJob& job) {
  return fmt::format("{}{}/{}/{}", kOpenPrefix, job.organisation.text,
                     PaddedMillis(job.due_at), job.uid);
}

std::string KeepRowKey(const BatchJob& job) {
  return fmt::format("{}{}/{}", kKeepPrefix, PaddedMillis(job.keep_until),
                     job.uid);
}

std::string ChunkPrefix(std::string_view uid) {
  return fmt::format("batch/todo/{}/", uid);
}

std::string ChunkRowKey(std::string_view uid, std::uint32_t chunk) {
  return fmt::format("batch/todo/{}/{:07}", uid, chunk);
}

std::string ResultPrefix(std::string_view uid) {
  return fmt::format("batch/done/{}/", uid);
}

std::string ResultRowKey(std::string_view uid, std::uint32_t chunk) {
  return fmt::format("batch/done/{}/{:07}", uid, chunk);
}

std::string StagingRowKey(std::string_view uid) {
  return fmt::format("{}{}", kStagingPrefix, uid);
}

std::string HolderRowKey(const base::VmId& vm, std::uint64_t epoch) {
  return fmt::format("{}{}/{}/{}", kHolderPrefix, vm.name, vm.incarnation,
                     epoch);
}

std::string InputObject(std::string_view uid, std::uint32_t chunk) {
  return fmt::format("batch/{}/in/{:07}", uid, chunk);
}

std::string ResultObject(std::string_view uid, std::uint32_t chunk,
                         std::uint64_t token, std::uint32_t part) {
  return fmt::format("batch/{}/out/{:07}.{}.{}", uid, chunk, token, part);
}

std::optional<std::uint32_t> ChunkOfKey(std::string_view key) {
  const auto slash = key.rfind('/');
  if (slash == std::string_view::npos) return std::nullopt;
  const auto digits = key.substr(slash + 1);
  std::uint32_t chunk = 0;
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), chunk);
  if (parsed.ec != std::errc()) return std::nullopt;
  return chunk;
}

std::string_view UidOfKey(std::string_view key) {
  const auto last = key.rfind('/');
  if (last == std::string_view::npos || last == 0) return {};
  const auto before = key.rfind('/', last - 1);
  if (before == std::string_view::npos) return {};
  return key.substr(before + 1, last - before - 1);
}

base::TableCommit AcceptJob(std::string operation_id, const BatchJob& job,
                            std::uint64_t staging_version) {
  const auto job_key = JobRowKey(job.organisation, job.id);
  const auto staging = StagingRowKey(job.uid);
  const auto row = EncodeJob(job);
  base::TableCommit commit;
  commit.operation_id = std::move(operation_id);
  commit.conditions = {{job_key, 0}, {staging, staging_version}};
  commit.writes = {{job_key, row},
                   {OpenRowKey(job), row},
                   {KeepRowKey(job), row},
                   {staging, std::nullopt}};
  return commit;
}

base::TableCommit LeaseChunks(std::string operation_id, const BatchJob& job,
                              const StoredHolder& holder,
                              const std::vector<StoredChunk>& chunks) {
  base::TableCommit commit;
  commit.operation_id = std::move(operation_id);
  commit.conditions = {JobOpenCondition(job), {holder.key, holder.version}};
  commit.writes = {{holder.key, EncodeHolder(holder.row)}};
  for (const auto& chunk : chunks) {
    ChunkRow leased = chunk.row;
    leased.holder = holder.key;
    ++leased.token;
    commit.conditions.push_back({chunk.key, chunk.version});
    commit.writes.push_back({chunk.key, EncodeChunk(leased)});
  }
  return commit;
}

base::TableCommit RenewHolder(std::string operation_id,
                              const StoredHolder& holder,
                              const std::vector<BatchJob>& jobs) {
  base::TableCommit commit;
  commit.operation_id = std::move(operation_id);
  commit.conditions = {{holder.key, holder.version}};
  for (const auto& job : jobs)
    commit.conditions.push_back(JobOpenCondition(job));
  commit.writes = {{holder.key, EncodeHolder(holder.row)}};
  return commit;
}

base::TableCommit CommitResult(std::string operation_id, const BatchJob& job,
                               const StoredChunk& chunk,
                               const ResultRow& result) {
  const auto number = ChunkOfKey(chunk.key).value_or(0);
  base::TableCommit commit;
  commit.operation_id = std::move(operation_id);
  commit.conditions = {JobOpenCondition(job), {chunk.key, chunk.version}};
  commit.writes = {{chunk.key, std::nullopt},
                   {ResultRowKey(job.uid, number), EncodeResult(result)}};
  return commit;
}

base::TableCommit UpdateChunk(std::string operation_id, const BatchJob& job,
                              const StoredChunk& chunk, const ChunkRow& next) {
  base::TableCommit commit;
  commit.operation_id = std::move(operation_id);
  commit.conditions = {JobOpenCondition(job), {chunk.key, chunk.version}};
  commit.writes = {{chunk.key, EncodeChunk(next)}};
  return commit;
}

base::TableCommit RecoverHolder(std::string operation_id,
                                const StoredHolder& holder,
                                const std::vector<StoredChunk>& chunks) {
  base::TableCommit commit;
  commit.operation_id = std::move(operation_id);
  commit.conditions = {{holder.key, holder.version}};
  commit.writes = {{holder.key, std::nullopt}};
  for (const auto& chunk : chunks) {
    ChunkRow free = chunk.row;
    free.holder.clear();
    commit.conditions.push_back({chunk.key, chunk.version});
    commit.writes.push_back({chunk.key, EncodeChunk(free)});
  }
  return commit;
}

bool IsOpen(const base::ScanReply& page, const BatchJob& job) {
  if (page.rows.empty()) return false;
  const auto& row = page.rows.front();
  if (row.key != JobRowKey(job.organisation, job.id)) return false;
  const auto stored = DecodeJob(row.value);
  return stored.ok() && stored->uid == job.uid &&
         stored->state == JobState::kOpen;
}

base::TableCommit EndJob(std::string operation_id, BatchJob job,
                         JobState state) {
  base::TableCommit commit;
  commit.operation_id = std::move(operation_id);
  commit.conditions = {JobOpenCondition(job)};
  job.state = state;
  commit.writes = {{JobRowKey(job.organisation, job.id), EncodeJob(job)},
                   {OpenRowKey(job), std::nullopt},
                   {StagingRowKey(job.uid), EncodeStaging({job.chunks, true})}};
  return commit;
}

}  // namespace gypsumtrack::policy
