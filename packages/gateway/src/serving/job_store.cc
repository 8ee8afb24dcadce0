#include "job_store.h"

#include <algorithm>
#include <utility>

#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/base/utf8.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

constexpr base::Duration kCallTimeout = std::chrono::milliseconds(1200);
constexpr base::Duration kRetryDelay = std::chrono::milliseconds(60);
/// Fractions of the maximum row size that unencoded data may fill. Base64 adds
/// a third to its size, and JSON adds more. Larger outputs and submissions are
/// stored as objects; partial output that doesn't fit is left out.
constexpr double kMaxOutputFraction = 0.35;
constexpr double kMaxPartialsFraction = 0.5;
constexpr double kMaxSubmissionFraction = 0.6;
constexpr base::Duration kObjectTimeout = std::chrono::milliseconds(2500);
/// Maximum size of the outputs in one page of results.
constexpr std::size_t kMaxPageBytes = std::size_t{512} * 1024;
constexpr std::uint32_t kMaxPageRows = 100;

std::size_t MaxPayloadBytes(const JobStore& store, double fraction) {
  return static_cast<std::size_t>(static_cast<double>(store.max_row_bytes) *
                                  fraction);
}

base::RowKey JobRowKey(const char* table, const JobKey& key) {
  return {table, key.organisation.text, key.job.text};
}

base::RowKey BacklogRowKey(const JobKey& key) {
  return {layout::kBacklogTable, key.organisation.text,
          layout::JobBacklogKey(key.job)};
}

const base::VersionedRow* FindRow(const std::vector<base::VersionedRow>& rows,
                                  const base::RowKey& key) {
  const auto found =
      std::find_if(rows.begin(), rows.end(), [&](const auto& row) {
        return row.at == key && !row.removed && row.version != 0;
      });
  return found == rows.end() ? nullptr : &*found;
}

/// An organisation's backlog on a route as of one read.
struct Backlog {
  /// Sum over the organisation's jobs on the route.
  std::uint64_t tokens = 0;
  /// Version of the route's row; 0 if there is none.
  std::uint64_t route_version = 0;
  base::StoreMillis store_time = 0;
};

Backlog SumBacklog(const base::RowPage& page, const std::string& route) {
  Backlog sum;
  sum.store_time = page.store_time;
  for (const auto& row : page.rows) {
    if (row.at.key == layout::RouteBacklogKey(route))
      sum.route_version = row.version;
    if (!layout::IsJobBacklogKey(row.at.key)) continue;
    const auto backlog = layout::ParseBacklog(row.value);
    if (backlog.ok() && backlog->route == route) sum.tokens += backlog->tokens;
  }
  return sum;
}

std::uint64_t SumTokens(const std::vector<SubmittedItem>& items) {
  std::uint64_t tokens = 0;
  for (const auto& item : items) tokens += item.tokens;
  return tokens;
}

/// A transaction that accepts the job with that owner unless it exists already
/// or another job was accepted on the route since `backlog` was read.
base::RowTransaction MakeAcceptTransaction(const JobKey& key,
                                           const layout::JobRow& row,
                                           const Backlog& backlog,
                                           std::uint64_t tokens,
                                           const std::string& owner_value) {
  const base::RowKey route{layout::kBacklogTable, key.organisation.text,
                           layout::RouteBacklogKey(row.route)};
  const auto job = JobRowKey(layout::kJobTable, key);
  base::RowTransaction accept;
  // Each acceptance rewrites the route's row, so that the store applies none
  // that was decided on an older backlog. Two jobs that exceed the limit
  // together can't both be accepted, and a call that reaches the store late
  // fails.
  accept.expectations.push_back({route, backlog.route_version});
  accept.expectations.push_back({job, 0});
  accept.puts.push_back({route, "{}"});
  accept.puts.push_back({job, layout::SerializeJob(row)});
  accept.puts.push_back({JobRowKey(layout::kOwnerTable, key), owner_value});
  accept.puts.push_back(
      {BacklogRowKey(key), layout::SerializeBacklog({row.route, tokens})});
  return accept;
}

asio::awaitable<base::Outcome<base::RowPage>> ReadBacklogs(
    const JobStore& store, const JobKey& key) {
  base::RowRange range;
  range.table = layout::kBacklogTable;
  range.partition = key.organisation.text;
  return ReadAllRows(store.store, std::move(range),
                     store.clock.now() + kCallTimeout);
}

}  // namespace

std::vector<policy::JobItem> ToJobItems(
    const std::vector<SubmittedItem>& items) {
  std::vector<policy::JobItem> out;
  out.reserve(items.size());
  for (const auto& item : items) out.push_back({item.id, item.tokens});
  return out;
}

asio::awaitable<JobAcceptance> AcceptJob(
    const JobStore& store, JobKey key, std::string route,
    const std::vector<SubmittedItem>& items, std::string submission,
    std::uint64_t max_waiting_tokens, base::Instant deadline,
    std::function<bool()> store_unreachable,
    policy::RegionLimit allowed_regions) {
  JobAcceptance acceptance;
  acceptance.outcome = AcceptOutcome::kNotAccepted;
  acceptance.row.route = std::move(route);
  acceptance.row.items = items.size();
  const auto tokens = SumTokens(items);
  acceptance.row.in_object =
      submission.size() > MaxPayloadBytes(store, kMaxSubmissionFraction);
  bool submission_stored = !acceptance.row.in_object;
  bool is_first_attempt = true;
  while (store.clock.now() < deadline) {
    if (!is_first_attempt) co_await Pause(kRetryDelay);
    is_first_attempt = false;
    const auto page = co_await ReadBacklogs(store, key);
    if (!page.ok()) {
      acceptance.reason = page.error().message;
      if (store_unreachable()) co_return acceptance;
      continue;
    }
    const auto backlog = SumBacklog(*page, acceptance.row.route);
    if (FindRow(page->rows, BacklogRowKey(key)) != nullptr) {
      acceptance.outcome = AcceptOutcome::kAccepted;
      co_return acceptance;
    }
    const bool fits = max_waiting_tokens == 0 ||
                      backlog.tokens + tokens <= max_waiting_tokens;
    if (!fits) {
      // The job may have been accepted earlier and have finished since.
      const auto existing =
          co_await FindJob(store, key, store.clock.now() + kCallTimeout);
      if (existing.ok()) {
        acceptance.outcome = AcceptOutcome::kAccepted;
        co_return acceptance;
      }
      if (!existing.error().Is(base::Errc::kNotFound)) continue;
      if (acceptance.outcome == AcceptOutcome::kNotAccepted) {
        acceptance.outcome = AcceptOutcome::kOverLimit;
      }
      co_return acceptance;
    }
    if (!submission_stored) {
      const auto put = co_await PutObject(
          store.store, layout::SubmissionObjectName(key.organisation, key.job),
          submission, store.clock.now() + kObjectTimeout);
      if (!put.ok()) {
        acceptance.reason = put.error().message;
        continue;
      }
      submission_stored = true;
    }
    acceptance.row.accepted_at = backlog.store_time;
    auto transaction = MakeAcceptTransaction(
        key, acceptance.row, backlog, tokens,
        layout::SerializeOwner(store.self, allowed_regions));
    if (!acceptance.row.in_object) {
      transaction.puts.push_back(
          {JobRowKey(layout::kSubmissionTable, key), submission});
    }
    const auto reply = co_await Transact(store.store, std::move(transaction),
                                         store.clock.now() + kCallTimeout);
    if (!reply.ok()) {
      acceptance.reason = reply.error().message;
      if (reply.error().Is(base::Errc::kUnknown)) {
        acceptance.outcome = AcceptOutcome::kUnknown;
      }
      continue;
    }
    if (reply->applied) {
      acceptance.outcome = AcceptOutcome::kAccepted;
      acceptance.owner_version = reply->version;
      co_return acceptance;
    }
    if (FindRow(reply->current, JobRowKey(layout::kJobTable, key)) != nullptr) {
      // An earlier call, of this daemon or another one, accepted the job. Its
      // present owner is in the owner row.
      acceptance.outcome = AcceptOutcome::kAccepted;
      co_return acceptance;
    }
    // The route's row has changed, so the store can't apply an earlier call of
    // this daemon any more.
    acceptance.outcome = AcceptOutcome::kNotAccepted;
    acceptance.reason =
        "another job was accepted on the route at the same time";
  }
  co_return acceptance;
}

namespace {

/// Returns the rows of the results, after storing outputs that are too large
/// for a row as objects.
asio::awaitable<base::Outcome<std::vector<layout::ResultRow>>> StoreOutputs(
    const JobStore& store, const OwnedJob& job,
    std::vector<policy::JobItemResult> results) {
  std::vector<layout::ResultRow> rows;
  auto position = job.run.next_position();
  for (auto& result : results) {
    layout::ResultRow row;
    row.result = std::move(result);
    if (row.result.output.size() > MaxPayloadBytes(store, kMaxOutputFraction)) {
      row.output_object = layout::OutputObjectName(job.key.organisation,
                                                   job.key.job, position) +
                          "." + row.result.item;
      const auto put =
          co_await PutObject(store.store, row.output_object, row.result.output,
                             store.clock.now() + kCallTimeout);
      if (!put.ok()) co_return put.error();
    }
    rows.push_back(std::move(row));
    ++position;
  }
  co_return rows;
}

base::RowTransaction MakeCommitTransaction(
    const OwnedJob& job, const std::vector<layout::ResultRow>& rows) {
  base::RowTransaction commit;
  commit.expectations.push_back(
      {JobRowKey(layout::kOwnerTable, job.key), job.owner_version});
  auto unlisted_tokens = job.run.UnlistedTokens();
  auto position = job.run.next_position();
  for (const auto& row : rows) {
    const base::RowKey row_key{layout::kResultTable, job.key.organisation.text,
                               layout::ResultKey(job.key.job, position)};
    commit.expectations.push_back({row_key, 0});
    commit.puts.push_back({row_key, layout::SerializeResult(row)});
    unlisted_tokens -=
        std::min(unlisted_tokens, job.run.TokensOf(row.result.item));
    ++position;
  }
  commit.puts.push_back(
      {BacklogRowKey(job.key),
       layout::SerializeBacklog({job.row.route, unlisted_tokens})});
  return commit;
}

/// Number of rows, from the first one on, that the store holds already.
std::size_t CountStored(const OwnedJob& job,
                        const std::vector<layout::ResultRow>& rows,
                        const std::vector<base::VersionedRow>& current) {
  std::size_t count = 0;
  for (const auto& row : rows) {
    const base::RowKey row_key{
        layout::kResultTable, job.key.organisation.text,
        layout::ResultKey(job.key.job, job.run.next_position() + count)};
    const auto* stored = FindRow(current, row_key);
    if (stored == nullptr) break;
    const auto read = layout::ParseResult(stored->value);
    if (read.result.item != row.result.item) break;
    ++count;
  }
  return count;
}

bool IsStillOwner(const OwnedJob& job,
                  const std::vector<base::VersionedRow>& current) {
  const auto* owner = FindRow(current, JobRowKey(layout::kOwnerTable, job.key));
  return owner != nullptr && owner->version == job.owner_version;
}

}  // namespace

asio::awaitable<ResultsCommit> CommitResults(
    const JobStore& store, const OwnedJob& job,
    std::vector<policy::JobItemResult> results) {
  const auto rows = co_await StoreOutputs(store, job, std::move(results));
  if (!rows.ok()) co_return ResultsCommit{};
  auto transaction = MakeCommitTransaction(job, *rows);
  const auto reply = co_await Transact(store.store, std::move(transaction),
                                       store.clock.now() + kCallTimeout);
  ResultsCommit commit;
  if (!reply.ok()) co_return commit;
  if (reply->applied) {
    commit = {CommitOutcome::kCommitted, rows->size()};
    co_return commit;
  }
  if (!IsStillOwner(job, reply->current)) {
    commit.outcome = CommitOutcome::kNotOwner;
    co_return commit;
  }
  // Result rows exist at these positions. If they are those of the same items,
  // an earlier call of this daemon was applied, but its response was lost.
  const auto stored = CountStored(job, *rows, reply->current);
  commit = {stored > 0 ? CommitOutcome::kCommitted : CommitOutcome::kNotOwner,
            stored};
  co_return commit;
}

asio::awaitable<CommitOutcome> FinishJob(const JobStore& store,
                                         const OwnedJob& job) {
  base::RowTransaction finish;
  const auto owner = JobRowKey(layout::kOwnerTable, job.key);
  finish.expectations.push_back({owner, job.owner_version});
  finish.removals.push_back(owner);
  finish.removals.push_back(BacklogRowKey(job.key));
  finish.removals.push_back(JobRowKey(layout::kPartialTable, job.key));
  const auto reply = co_await Transact(store.store, std::move(finish),
                                       store.clock.now() + kCallTimeout);
  if (!reply.ok()) co_return CommitOutcome::kRetry;
  co_return reply->applied ? CommitOutcome::kCommitted
                           : CommitOutcome::kNotOwner;
}

namespace {

/// A transaction that sets the owner of a job if its owner row still has the
/// given version.
base::RowTransaction MakeOwnerTransaction(const JobKey& key,
                                          std::uint64_t owner_version,
                                          const base::VmId& owner,
                                          const policy::RegionLimit& regions) {
  base::RowTransaction change;
  const auto row_key = JobRowKey(layout::kOwnerTable, key);
  change.expectations.push_back({row_key, owner_version});
  change.puts.push_back({row_key, layout::SerializeOwner(owner, regions)});
  return change;
}

/// Adds the update of the job's partial output to a transaction.
void AddPartials(const JobStore& store, const OwnedJob& job,
                 base::RowTransaction& transaction) {
  const auto partials =
      job.run.PartialItems(MaxPayloadBytes(store, kMaxPartialsFraction));
  const auto row_key = JobRowKey(layout::kPartialTable, job.key);
  if (partials.empty()) {
    transaction.removals.push_back(row_key);
  } else {
    transaction.puts.push_back({row_key, layout::SerializePartials(partials)});
  }
}

}  // namespace

asio::awaitable<std::optional<std::uint64_t>> TakeOver(
    const JobStore& store, JobKey key, std::uint64_t owner_version,
    policy::RegionLimit allowed_regions) {
  auto change =
      MakeOwnerTransaction(key, owner_version, store.self, allowed_regions);
  const auto reply = co_await Transact(store.store, std::move(change),
                                       store.clock.now() + kCallTimeout);
  if (!reply.ok() || !reply->applied) co_return std::nullopt;
  co_return reply->version;
}

asio::awaitable<bool> HandOver(const JobStore& store, const OwnedJob& job) {
  const base::VmId nobody;
  auto change = MakeOwnerTransaction(job.key, job.owner_version, nobody,
                                     job.allowed_regions);
  AddPartials(store, job, change);
  const auto reply = co_await Transact(store.store, std::move(change),
                                       store.clock.now() + kCallTimeout);
  co_return reply.ok() && reply->applied;
}

asio::awaitable<CommitOutcome> SavePartials(const JobStore& store,
                                            const OwnedJob& job) {
  base::RowTransaction save;
  save.expectations.push_back(
      {JobRowKey(layout::kOwnerTable, job.key), job.owner_version});
  AddPartials(store, job, save);
  const auto reply = co_await Transact(store.store, std::move(save),
                                       store.clock.now() + kCallTimeout);
  if (!reply.ok()) co_return CommitOutcome::kRetry;
  co_return reply->applied ? CommitOutcome::kCommitted
                           : CommitOutcome::kNotOwner;
}

asio::awaitable<base::Outcome<std::string>> ReadSubmission(
    const JobStore& store, JobKey key, layout::JobRow row,
    base::Instant deadline) {
  if (row.in_object) {
    auto object = co_await GetObject(
        store.store, layout::SubmissionObjectName(key.organisation, key.job),
        deadline);
    co_return object;
  }
  auto page = co_await ReadRow(
      store.store, JobRowKey(layout::kSubmissionTable, key), deadline);
  if (!page.ok()) co_return page.error();
  if (page->rows.empty()) {
    co_return base::Error(base::Errc::kInvalid,
                          "the submission row does not exist");
  }
  co_return std::move(page->rows.front().value);
}

asio::awaitable<base::Outcome<LoadedJob>> LoadJob(const JobStore& store,
                                                  JobKey key,
                                                  layout::JobRow row,
                                                  base::Instant deadline) {
  LoadedJob loaded;
  auto submission = co_await ReadSubmission(store, key, row, deadline);
  if (!submission.ok()) co_return submission.error();
  loaded.submission = std::move(*submission);
  auto listed = co_await ReadListedItems(store, key, deadline);
  if (!listed.ok()) co_return listed.error();
  loaded.listed_ids = std::move(*listed);
  const auto page = co_await ReadRow(
      store.store, JobRowKey(layout::kPartialTable, key), deadline);
  if (!page.ok()) co_return page.error();
  if (page->rows.empty()) co_return loaded;
  auto partials = layout::ParsePartials(page->rows.front().value);
  if (partials.ok()) {
    loaded.partials = std::move(*partials);
  } else {
    base::LogEvent("partials_unreadable", {{"job", key.job.text}});
  }
  co_return loaded;
}

asio::awaitable<base::Outcome<std::uint64_t>> EndJob(const JobStore& store,
                                                     JobKey key,
                                                     base::Instant deadline) {
  base::Error last_error(base::Errc::kTimeout,
                         "the deadline passed before the first attempt");
  while (store.clock.now() < deadline) {
    const auto job =
        co_await FindJob(store, key, store.clock.now() + kCallTimeout);
    if (!job.ok()) {
      if (job.error().Is(base::Errc::kNotFound)) co_return job.error();
      last_error = job.error();
      co_await Pause(kRetryDelay);
      continue;
    }
    // Needs no expectations: removed rows of a job are never written again.
    base::RowTransaction end;
    end.removals.push_back(JobRowKey(layout::kOwnerTable, key));
    end.removals.push_back(BacklogRowKey(key));
    end.removals.push_back(JobRowKey(layout::kPartialTable, key));
    const auto reply = co_await Transact(store.store, std::move(end),
                                         store.clock.now() + kCallTimeout);
    if (reply.ok()) co_return reply->version;
    last_error = reply.error();
    co_await Pause(kRetryDelay);
  }
  co_return last_error;
}

asio::awaitable<base::Outcome<FoundJob>> FindJob(const JobStore& store,
                                                 JobKey key,
                                                 base::Instant deadline) {
  const auto page = co_await ReadRow(
      store.store, JobRowKey(layout::kJobTable, key), deadline);
  if (!page.ok()) co_return page.error();
  if (page->rows.empty()) {
    co_return base::Error(base::Errc::kNotFound, "the job does not exist");
  }
  auto row = layout::ParseJob(page->rows.front().value);
  if (!row.ok()) co_return row.error();
  FoundJob found{std::move(*row), page->store_time};
  co_return found;
}

namespace {

void LogDamagedResult(const JobKey& key, const std::string& row_key,
                      const std::string& item) {
  base::LogEvent("result_unreadable",
                 {{"job", key.job.text}, {"row", row_key}, {"item", item}});
}

/// Returns the result of a row with its output. Errors: only those of a call to
/// the store; what can't be read counts as given up.
asio::awaitable<base::Outcome<policy::JobItemResult>> ReadResult(
    const JobStore& store, JobKey key, const base::VersionedRow& row,
    base::Instant deadline) {
  auto read = layout::ParseResult(row.value);
  if (!read.output_object.empty()) {
    auto output = co_await GetObject(store.store, read.output_object, deadline);
    if (!output.ok()) co_return output.error();
    read.is_damaged = !base::IsUtf8(*output);
    if (read.is_damaged) {
      read.result.status = policy::JobItemStatus::kGivenUp;
    } else {
      read.result.output = std::move(*output);
    }
  }
  if (read.is_damaged) LogDamagedResult(key, row.at.key, read.result.item);
  co_return std::move(read.result);
}

}  // namespace

asio::awaitable<base::Outcome<std::vector<policy::JobItemResult>>> ReadResults(
    const JobStore& store, JobKey key, std::size_t from,
    base::Instant deadline) {
  auto range = layout::ResultRange(key.organisation, key.job, from);
  range.limit = kMaxPageRows;
  const auto page = co_await ReadRows(store.store, std::move(range), deadline);
  if (!page.ok()) co_return page.error();
  std::vector<policy::JobItemResult> results;
  std::size_t bytes = 0;
  for (const auto& row : page->rows) {
    auto result = co_await ReadResult(store, key, row, deadline);
    if (!result.ok()) co_return result.error();
    bytes += result->output.size();
    if (!results.empty() && bytes > kMaxPageBytes) break;
    results.push_back(std::move(*result));
  }
  co_return results;
}

asio::awaitable<base::Outcome<std::vector<std::string>>> ReadListedItems(
    const JobStore& store, JobKey key, base::Instant deadline) {
  auto range = layout::ResultRange(key.organisation, key.job, 0);
  const auto page =
      co_await ReadAllRows(store.store, std::move(range), deadline);
  if (!page.ok()) co_return page.error();
  std::vector<std::string> items;
  for (const auto& row : page->rows) {
    auto read = layout::ParseResult(row.value);
    if (read.is_damaged) LogDamagedResult(key, row.at.key, read.result.item);
    items.push_back(std::move(read.result.item));
  }
  co_return items;
}

}  // namespace gypsumtrack::gateway
