#include "gypsumtrack/gateway/idempotency_store.h"

#include <algorithm>
#include <boost/json.hpp>
#include <optional>
#include <tuple>
#include <utility>

#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/gateway/store_await.h"

namespace gypsumtrack::gateway {
namespace {

namespace json = boost::json;

constexpr std::string_view kPrefix = "idempotency/";
constexpr std::size_t kOperationBytes = 12;
constexpr base::Duration kStoreTimeout = std::chrono::seconds(2);
/// A longer answer isn't kept; its resend is told that the request ran.
constexpr std::size_t kMaxStoredBytes = std::size_t{64} * 1024;

struct IntentRecord {
  std::string digest;
  std::optional<StoredAnswer> answer;
};

std::string TextField(const json::object& object, const char* name) {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->as_string())
             : std::string();
}

std::string Encode(const IntentRecord& record) {
  json::object out{{"digest", record.digest}};
  if (record.answer) {
    out["answer"] = json::object{{"status", record.answer->status},
                                 {"type", record.answer->content_type},
                                 {"body", record.answer->body}};
  }
  return json::serialize(out);
}

IntentRecord Decode(const std::string& text) {
  IntentRecord record;
  boost::system::error_code error;
  const auto parsed = json::parse(text, error);
  if (error || !parsed.is_object()) return record;
  record.digest = TextField(parsed.as_object(), "digest");
  const auto* answer = parsed.as_object().if_contains("answer");
  if (answer == nullptr || !answer->is_object()) return record;
  const auto& fields = answer->as_object();
  StoredAnswer stored;
  const auto* status = fields.if_contains("status");
  if (status != nullptr && status->is_int64()) {
    stored.status = static_cast<std::uint32_t>(status->as_int64());
  }
  stored.content_type = TextField(fields, "type");
  stored.body = TextField(fields, "body");
  record.answer = std::move(stored);
  return record;
}

std::string RowKey(const IdempotentRequest& request) {
  return std::string(kPrefix) + request.organisation.text + "/" +
         base::Sha256Hex(request.key);
}

/// What an earlier request's row means for a resend.
Intent FromRow(const std::string& row, const std::string& value,
               const std::string& digest) {
  const auto record = Decode(value);
  Intent intent;
  intent.row = row;
  if (record.digest != digest) {
    intent.state = IntentState::kOtherRequest;
  } else if (!record.answer) {
    intent.state = IntentState::kUnknown;
  } else {
    intent.state = IntentState::kDone;
    intent.answer = *record.answer;
  }
  return intent;
}

base::TableCommit MakeCommit(const std::string& row, std::uint64_t version,
                             std::optional<std::string> value) {
  base::TableCommit commit;
  commit.operation_id = base::RandomHex(kOperationBytes);
  commit.conditions.push_back({row, version});
  commit.writes.push_back({row, std::move(value)});
  return commit;
}

}  // namespace

std::string RequestDigest(std::string_view method, std::string_view path,
                          std::string_view query, std::string_view body) {
  std::string text;
  for (const auto part : {method, path, query, body}) {
    text += std::to_string(part.size());
    text += ':';
    text += part;
  }
  return base::Sha256Hex(text);
}

IdempotencyStore::IdempotencyStore(const Runtime& runtime)
    : runtime(&runtime) {}

boost::asio::awaitable<Intent> IdempotencyStore::Begin(
    IdempotentRequest request, base::Instant deadline) {
  const auto& platform = this->runtime->platform;
  const auto by =
      std::min(deadline, this->runtime->clock.now() + kStoreTimeout);
  Intent intent;
  intent.row = RowKey(request);
  auto commit = MakeCommit(intent.row, 0, Encode({request.digest, {}}));
  const auto written = co_await CommitWithRetries(
      platform, this->runtime->clock, std::move(commit), by);
  if (written.ok()) {
    intent.state = IntentState::kFresh;
    co_return intent;
  }
  // An unsettled write may have left the intent: the request isn't run, and a
  // resend is told unknown at worst.
  if (!written.error().Is(base::Errc::kConflict)) co_return intent;
  base::TableScan scan;
  scan.prefix = intent.row;
  scan.limit = 1;
  const auto found = co_await ScanTable(platform, std::move(scan), by);
  if (!found.ok() || found->rows.empty()) co_return intent;
  co_return FromRow(intent.row, found->rows.front().value, request.digest);
}

boost::asio::awaitable<void> IdempotencyStore::Finish(Intent intent,
                                                      StoredAnswer answer) {
  const auto& platform = this->runtime->platform;
  const auto by = this->runtime->clock.now() + kStoreTimeout;
  base::TableScan scan;
  scan.prefix = intent.row;
  scan.limit = 1;
  const auto found = co_await ScanTable(platform, std::move(scan), by);
  if (!found.ok() || found->rows.empty()) co_return;
  const auto& row = found->rows.front();
  if (answer.body.size() > kMaxStoredBytes) answer.body.clear();
  IntentRecord record = Decode(row.value);
  record.answer = std::move(answer);
  auto commit = MakeCommit(intent.row, row.version, Encode(record));
  std::ignore = co_await CommitWithRetries(platform, this->runtime->clock,
                                           std::move(commit), by);
}

boost::asio::awaitable<void> IdempotencyStore::Forget(Intent intent) {
  const auto by = this->runtime->clock.now() + kStoreTimeout;
  auto commit = MakeCommit(intent.row, 1, std::nullopt);
  std::ignore = co_await CommitWithRetries(
      this->runtime->platform, this->runtime->clock, std::move(commit), by);
}

}  // namespace gypsumtrack::gateway
