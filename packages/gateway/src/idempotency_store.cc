#include "gypsumtrack/gateway/idempotency_store.h"

#include <algorithm>
#include <boost/json.hpp>
#include <optional>
#include <tuple>
#include <utility>

#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/base/utf8.h"
#include "gypsumtrack/gateway/store_await.h"

namespace gypsumtrack::gateway {
namespace {

namespace json = boost::json;

constexpr std::string_view kRowPrefix = "idempotency/";
constexpr std::size_t kOperationIdBytes = 12;
constexpr base::Duration kStoreTimeout = std::chrono::seconds(2);
constexpr std::size_t kMaxStoredBodyBytes = std::size_t{64} * 1024;

/// Whether the record of a request can hold the body. A longer one, and one
/// that isn't UTF-8, isn't stored; a repeated request gets the status, which
/// shows that it ran, and an empty body.
bool IsStorableBody(const std::string& body) {
  return body.size() <= kMaxStoredBodyBytes && base::IsUtf8(body);
}

/// Value of an intent's row.
struct IntentRecord {
  std::string digest;
  std::optional<StoredResponse> response;
};

std::string StringField(const json::object& object, const char* name) {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->as_string())
             : std::string();
}

std::string EncodeRecord(const IntentRecord& record) {
  json::object encoded{{"digest", record.digest}};
  if (record.response) {
    encoded["answer"] = json::object{{"status", record.response->status},
                                     {"type", record.response->content_type},
                                     {"body", record.response->body}};
  }
  return json::serialize(encoded);
}

IntentRecord DecodeRecord(const std::string& text) {
  IntentRecord record;
  boost::system::error_code error;
  const auto parsed = json::parse(text, error);
  if (error || !parsed.is_object()) return record;
  record.digest = StringField(parsed.as_object(), "digest");
  const auto* response = parsed.as_object().if_contains("answer");
  if (response == nullptr || !response->is_object()) return record;
  const auto& fields = response->as_object();
  StoredResponse response_record;
  const auto* status = fields.if_contains("status");
  if (status != nullptr && status->is_int64()) {
    response_record.status = static_cast<std::uint32_t>(status->as_int64());
  }
  response_record.content_type = StringField(fields, "type");
  response_record.body = StringField(fields, "body");
  record.response = std::move(response_record);
  return record;
}

std::string RowKey(const IdempotentRequest& request) {
  return std::string(kRowPrefix) + request.organisation.text + "/" +
         base::Sha256Hex(request.key);
}

/// Compares a request with the row that an earlier request wrote for its key.
Intent IntentFromRow(const std::string& row, const std::string& value,
                     const std::string& digest) {
  const auto record = DecodeRecord(value);
  Intent intent;
  intent.row_key = row;
  if (record.digest != digest) {
    intent.state = IntentState::kKeyReused;
  } else if (!record.response) {
    intent.state = IntentState::kOutcomeUnknown;
  } else {
    intent.state = IntentState::kCompleted;
    intent.response = *record.response;
  }
  return intent;
}

base::TableCommit MakeCommit(const std::string& row, std::uint64_t version,
                             std::optional<std::string> value) {
  base::TableCommit commit;
  commit.operation_id = base::RandomHex(kOperationIdBytes);
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
  const auto store_deadline =
      std::min(deadline, this->runtime->clock.now() + kStoreTimeout);
  Intent intent;
  intent.row_key = RowKey(request);
  auto commit =
      MakeCommit(intent.row_key, 0, EncodeRecord({request.digest, {}}));
  const auto written = co_await CommitWithRetries(
      platform, this->runtime->clock, std::move(commit), store_deadline);
  if (written.ok()) {
    intent.state = IntentState::kNew;
    co_return intent;
  }
  // A failed write may still have stored the intent. The request isn't run; if
  // it is sent again, its outcome is at worst reported as unknown.
  if (!written.error().Is(base::Errc::kConflict)) co_return intent;
  base::TableScan scan;
  scan.prefix = intent.row_key;
  scan.limit = 1;
  const auto found =
      co_await ScanTable(platform, std::move(scan), store_deadline);
  if (!found.ok() || found->rows.empty()) co_return intent;
  co_return IntentFromRow(intent.row_key, found->rows.front().value,
                          request.digest);
}

boost::asio::awaitable<void> IdempotencyStore::Finish(Intent intent,
                                                      StoredResponse response) {
  const auto& platform = this->runtime->platform;
  const auto store_deadline = this->runtime->clock.now() + kStoreTimeout;
  base::TableScan scan;
  scan.prefix = intent.row_key;
  scan.limit = 1;
  const auto found =
      co_await ScanTable(platform, std::move(scan), store_deadline);
  if (!found.ok() || found->rows.empty()) co_return;
  const auto& row = found->rows.front();
  if (!IsStorableBody(response.body)) response.body.clear();
  IntentRecord record = DecodeRecord(row.value);
  record.response = std::move(response);
  auto commit = MakeCommit(intent.row_key, row.version, EncodeRecord(record));
  std::ignore = co_await CommitWithRetries(platform, this->runtime->clock,
                                           std::move(commit), store_deadline);
}

boost::asio::awaitable<void> IdempotencyStore::Discard(Intent intent) {
  const auto store_deadline = this->runtime->clock.now() + kStoreTimeout;
  auto commit = MakeCommit(intent.row_key, 1, std::nullopt);
  std::ignore =
      co_await CommitWithRetries(this->runtime->platform, this->runtime->clock,
                                 std::move(commit), store_deadline);
}

}  // namespace gypsumtrack::gateway
