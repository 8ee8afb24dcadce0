#include "job_store.h"

#include <algorithm>
#include <utility>

#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

constexpr base::Duration kCallTimeout = std::chrono::milliseconds(1200);
constexpr base::Duration kPauseAfterFailure = std::chrono::milliseconds(60);
/// Parts of the largest row that bytes may fill before they are encoded: base64
/// takes a third more, JSON some on top. What is larger goes to an object, or
/// is left out of the partial texts.
constexpr double kOutputPart = 0.35;
constexpr double kPartialsPart = 0.5;
constexpr double kSubmissionPart = 0.6;
constexpr base::Duration kObjectTimeout = std::chrono::milliseconds(2500);
/// Bytes of results that one answer to a caller holds.
constexpr std::size_t kMaxPageBytes = std::size_t{512} * 1024;
constexpr std::uint32_t kMaxPageRows = 100;

std::size_t PartOfRow(const JobStore& store, double part) {
  return static_cast<std::size_t>(static_cast<double>(store.max_row_bytes) *
                                  part);
}

base::RowKey RowOf(const char* table, const JobKey& key) {
  return {table, key.organisation.text, key.job.text};
}

base::RowKey BacklogOf(const JobKey& key) {
  return {layout::kBacklogTable, key.organisation.text,
          layout::BacklogKey(key.job)};
}

const base::VersionedRow* FindRow(const std::vector<base::VersionedRow>& rows,
                                  const base::RowKey& at) {
  const auto found = std::find_if(rows.begin(), rows.end(), [&](const auto& r) {
    return r.at == at && !r.removed && r.version != 0;
  });
  return found == rows.end() ? nullptr : &*found;
}

/// The organisation's backlog on a route as of one moment.
struct Backlog {
  std::uint64_t tokens = 0;
  /// Version of the route's row; 0 if there is none.
  std::uint64_t route_version = 0;
  base::StoreMillis store_time = 0;
};

Backlog SumBacklog(const base::RowPage& page, const std::string& route) {
  Backlog sum;
  sum.store_time = page.store_time;
  for (const auto& row : page.rows) {
    if (row.at.key == layout::RouteKey(route)) sum.route_version = row.version;
    if (!layout::IsJobBacklog(row.at.key)) continue;
    const auto backlog = layout::ReadBacklog(row.value);
    if (backlog.ok() && backlog->route == route) sum.tokens += backlog->tokens;
  }
  return sum;
}

std::uint64_t SumTokens(const std::vector<SubmittedItem>& items) {
  std::uint64_t tokens = 0;
  for (const auto& item : items) tokens += item.tokens;
  return tokens;
}

base::RowTransaction AcceptTransaction(const JobKey& key,
                                       const layout::JobRow& row,
                                       const Backlog& backlog,
                                       std::uint64_t tokens,
                                       const base::VmId& owner) {
  const base::RowKey route{layout::kBacklogTable, key.organisation.text,
                           layout::RouteKey(row.route)};
  const auto job = RowOf(layout::kJobTable, key);
  base::RowTransaction accept;
  // The route's row changes with each job accepted there: two that fit only
  // one at a time can't both be accepted, and a call that the store carries
  // out late fails.
  accept.expectations.push_back({route, backlog.route_version});
  accept.expectations.push_back({job, 0});
  accept.puts.push_back({route, "{}"});
  accept.puts.push_back({job, layout::WriteJob(row)});
  accept.puts.push_back(
      {RowOf(layout::kOwnerTable, key), layout::WriteOwner(owner)});
  accept.puts.push_back(
      {BacklogOf(key), layout::WriteBacklog({row.route, tokens})});
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

asio::awaitable<Acceptance> AcceptJob(const JobStore& store, JobKey key,
                                      std::string route,
                                      const std::vector<SubmittedItem>& items,
                                      std::string submission,
                                      std::uint64_t max_waiting_tokens,
                                      base::Instant deadline,
                                      std::function<bool()> out_of_contact) {
  Acceptance acceptance;
  acceptance.end = AcceptEnd::kRefused;
  acceptance.row.route = std::move(route);
  acceptance.row.items = items.size();
  const auto tokens = SumTokens(items);
  acceptance.row.in_object =
      submission.size() > PartOfRow(store, kSubmissionPart);
  bool stored = !acceptance.row.in_object;
  bool first = true;
  while (store.clock.now() < deadline) {
    if (!first) co_await Pause(kPauseAfterFailure);
    first = false;
    const auto page = co_await ReadBacklogs(store, key);
    if (!page.ok()) {
      acceptance.reason = page.error().message;
      if (out_of_contact()) co_return acceptance;
      continue;
    }
    const auto backlog = SumBacklog(*page, acceptance.row.route);
    if (FindRow(page->rows, BacklogOf(key)) != nullptr) {
      acceptance.end = AcceptEnd::kAccepted;
      co_return acceptance;
    }
    const bool fits = max_waiting_tokens == 0 ||
                      backlog.tokens + tokens <= max_waiting_tokens;
    if (!fits) {
      // It may have been accepted, and finished, before.
      const auto known =
          co_await FindJob(store, key, store.clock.now() + kCallTimeout);
      if (known.ok()) {
        acceptance.end = AcceptEnd::kAccepted;
        co_return acceptance;
      }
      if (!known.error().Is(base::Errc::kNotFound)) continue;
      if (acceptance.end == AcceptEnd::kRefused) {
        acceptance.end = AcceptEnd::kOverLimit;
      }
      co_return acceptance;
    }
    if (!stored) {
      const auto put = co_await PutObject(
          store.store, layout::SubmissionObject(key.organisation, key.job),
          submission, store.clock.now() + kObjectTimeout);
      if (!put.ok()) {
        acceptance.reason = put.error().message;
        continue;
      }
      stored = true;
    }
    acceptance.row.accepted_at = backlog.store_time;
    auto transaction =
        AcceptTransaction(key, acceptance.row, backlog, tokens, store.self);
    if (!acceptance.row.in_object) {
      transaction.puts.push_back(
          {RowOf(layout::kSubmissionTable, key), submission});
    }
    const auto reply = co_await Transact(store.store, std::move(transaction),
                                         store.clock.now() + kCallTimeout);
    if (!reply.ok()) {
      acceptance.reason = reply.error().message;
      if (reply.error().Is(base::Errc::kUnknown)) {
        acceptance.end = AcceptEnd::kInDoubt;
      }
      continue;
    }
    if (reply->applied) {
      acceptance.end = AcceptEnd::kAccepted;
      acceptance.owner_version = reply->version;
      co_return acceptance;
    }
    if (FindRow(reply->current, RowOf(layout::kJobTable, key)) != nullptr) {
      // An earlier call of this daemon or another one did it; who owns it now
      // stands in the owner's row.
      acceptance.end = AcceptEnd::kAccepted;
      co_return acceptance;
    }
    // The route's row has changed, so an earlier call that is still under way
    // can't be carried out any more.
    acceptance.end = AcceptEnd::kRefused;
    acceptance.reason = "another job was accepted meanwhile";
  }
  co_return acceptance;
}

namespace {

/// Puts outputs that are too large for a row into objects.
asio::awaitable<base::Outcome<std::vector<layout::ResultRow>>> StoreOutputs(
    const JobStore& store, const OwnedJob& job,
    std::vector<policy::JobItemResult> results) {
  std::vector<layout::ResultRow> rows;
  auto position = job.run.next_position();
  for (auto& result : results) {
    layout::ResultRow row;
    row.result = std::move(result);
    if (row.result.output.size() > PartOfRow(store, kOutputPart)) {
      row.output_object =
          layout::OutputObject(job.key.organisation, job.key.job, position) +
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

base::RowTransaction CommitTransaction(
    const OwnedJob& job, const std::vector<layout::ResultRow>& rows) {
  base::RowTransaction commit;
  commit.expectations.push_back(
      {RowOf(layout::kOwnerTable, job.key), job.owner_version});
  auto left = job.run.UnlistedTokens();
  auto position = job.run.next_position();
  for (const auto& row : rows) {
    const base::RowKey at{layout::kResultTable, job.key.organisation.text,
                          layout::ResultKey(job.key.job, position)};
    commit.expectations.push_back({at, 0});
    commit.puts.push_back({at, layout::WriteResult(row)});
    left -= std::min(left, job.run.TokensOf(row.result.item));
    ++position;
  }
  commit.puts.push_back(
      {BacklogOf(job.key), layout::WriteBacklog({job.row.route, left})});
  return commit;
}

/// How many of the rows, from the first on, stand in the store already.
std::size_t CountStored(const OwnedJob& job,
                        const std::vector<layout::ResultRow>& rows,
                        const std::vector<base::VersionedRow>& current) {
  std::size_t count = 0;
  for (const auto& row : rows) {
    const base::RowKey at{
        layout::kResultTable, job.key.organisation.text,
        layout::ResultKey(job.key.job, job.run.next_position() + count)};
    const auto* stored = FindRow(current, at);
    if (stored == nullptr) break;
    const auto read = layout::ReadResult(stored->value);
    if (!read.ok() || read->result.item != row.result.item) break;
    ++count;
  }
  return count;
}

bool OwnsStill(const OwnedJob& job,
               const std::vector<base::VersionedRow>& current) {
  const auto* owner = FindRow(current, RowOf(layout::kOwnerTable, job.key));
  return owner != nullptr && owner->version == job.owner_version;
}

}  // namespace

asio::awaitable<Commitment> CommitResults(
    const JobStore& store, const OwnedJob& job,
    std::vector<policy::JobItemResult> results) {
  const auto rows = co_await StoreOutputs(store, job, std::move(results));
  if (!rows.ok()) co_return Commitment{};
  auto transaction = CommitTransaction(job, *rows);
  const auto reply = co_await Transact(store.store, std::move(transaction),
                                       store.clock.now() + kCallTimeout);
  Commitment commitment;
  if (!reply.ok()) co_return commitment;
  if (reply->applied) {
    commitment = {CommitEnd::kListed, rows->size()};
    co_return commitment;
  }
  if (!OwnsStill(job, reply->current)) {
    commitment.end = CommitEnd::kLost;
    co_return commitment;
  }
  // An earlier call of ours whose answer was lost.
  const auto stored = CountStored(job, *rows, reply->current);
  commitment = {stored > 0 ? CommitEnd::kListed : CommitEnd::kLost, stored};
  co_return commitment;
}

asio::awaitable<CommitEnd> FinishJob(const JobStore& store,
                                     const OwnedJob& job) {
  base::RowTransaction finish;
  const auto owner = RowOf(layout::kOwnerTable, job.key);
  finish.expectations.push_back({owner, job.owner_version});
  finish.removals.push_back(owner);
  finish.removals.push_back(BacklogOf(job.key));
  finish.removals.push_back(RowOf(layout::kPartialTable, job.key));
  const auto reply = co_await Transact(store.store, std::move(finish),
                                       store.clock.now() + kCallTimeout);
  if (!reply.ok()) co_return CommitEnd::kTryAgain;
  co_return reply->applied ? CommitEnd::kListed : CommitEnd::kLost;
}

namespace {

/// Names the owner of a job that this daemon, or a lost one, owns.
base::RowTransaction OwnerChange(const JobKey& key, std::uint64_t owner_version,
                                 const base::VmId& owner) {
  base::RowTransaction change;
  const auto at = RowOf(layout::kOwnerTable, key);
  change.expectations.push_back({at, owner_version});
  change.puts.push_back({at, layout::WriteOwner(owner)});
  return change;
}

void PutPartials(const JobStore& store, const OwnedJob& job,
                 base::RowTransaction& to) {
  const auto partials = job.run.PartialItems(PartOfRow(store, kPartialsPart));
  const auto at = RowOf(layout::kPartialTable, job.key);
  if (partials.empty()) {
    to.removals.push_back(at);
  } else {
    to.puts.push_back({at, layout::WritePartials(partials)});
  }
}

}  // namespace

asio::awaitable<std::optional<std::uint64_t>> TakeOver(
    const JobStore& store, JobKey key, std::uint64_t owner_version) {
  auto change = OwnerChange(key, owner_version, store.self);
  const auto reply = co_await Transact(store.store, std::move(change),
                                       store.clock.now() + kCallTimeout);
  if (!reply.ok() || !reply->applied) co_return std::nullopt;
  co_return reply->version;
}

asio::awaitable<bool> HandOver(const JobStore& store, const OwnedJob& job) {
  const base::VmId nobody;
  auto change = OwnerChange(job.key, job.owner_version, nobody);
  PutPartials(store, job, change);
  const auto reply = co_await Transact(store.store, std::move(change),
                                       store.clock.now() + kCallTimeout);
  co_return reply.ok() && reply->applied;
}

asio::awaitable<bool> SavePartials(const JobStore& store, const OwnedJob& job) {
  base::RowTransaction save;
  save.expectations.push_back(
      {RowOf(layout::kOwnerTable, job.key), job.owner_version});
  PutPartials(store, job, save);
  const auto reply = co_await Transact(store.store, std::move(save),
                                       store.clock.now() + kCallTimeout);
  co_return reply.ok() && reply->applied;
}

asio::awaitable<base::Outcome<std::string>> ReadSubmission(
    const JobStore& store, JobKey key, layout::JobRow row,
    base::Instant deadline) {
  if (row.in_object) {
    auto object = co_await GetObject(
        store.store, layout::SubmissionObject(key.organisation, key.job),
        deadline);
    co_return object;
  }
  auto page = co_await ReadRow(store.store,
                               RowOf(layout::kSubmissionTable, key), deadline);
  if (!page.ok()) co_return page.error();
  if (page->rows.empty()) {
    co_return base::Error(base::Errc::kInvalid, "the submission is missing");
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
  loaded.listed = std::move(*listed);
  const auto page = co_await ReadRow(
      store.store, RowOf(layout::kPartialTable, key), deadline);
  if (!page.ok()) co_return page.error();
  if (page->rows.empty()) co_return loaded;
  auto partials = layout::ReadPartials(page->rows.front().value);
  if (partials.ok()) {
    loaded.partials = std::move(*partials);
  } else {
    base::LogEvent("partials_unreadable", {{"job", key.job.text}});
  }
  co_return loaded;
}

asio::awaitable<base::Status> EndJob(const JobStore& store, JobKey key,
                                     base::Instant deadline) {
  base::Error last(base::Errc::kTimeout, "no time left");
  while (store.clock.now() < deadline) {
    const auto job =
        co_await FindJob(store, key, store.clock.now() + kCallTimeout);
    if (!job.ok()) {
      if (job.error().Is(base::Errc::kNotFound)) co_return job.error();
      last = job.error();
      co_await Pause(kPauseAfterFailure);
      continue;
    }
    // Not conditioned: the rows, once gone, never return.
    base::RowTransaction end;
    end.removals.push_back(RowOf(layout::kOwnerTable, key));
    end.removals.push_back(BacklogOf(key));
    end.removals.push_back(RowOf(layout::kPartialTable, key));
    const auto reply = co_await Transact(store.store, std::move(end),
                                         store.clock.now() + kCallTimeout);
    if (reply.ok()) co_return base::Done{};
    last = reply.error();
    co_await Pause(kPauseAfterFailure);
  }
  co_return last;
}

asio::awaitable<base::Outcome<FoundJob>> FindJob(const JobStore& store,
                                                 JobKey key,
                                                 base::Instant deadline) {
  const auto page =
      co_await ReadRow(store.store, RowOf(layout::kJobTable, key), deadline);
  if (!page.ok()) co_return page.error();
  if (page->rows.empty()) {
    co_return base::Error(base::Errc::kNotFound, "no such job");
  }
  auto row = layout::ReadJob(page->rows.front().value);
  if (!row.ok()) co_return row.error();
  FoundJob found{std::move(*row), page->store_time};
  co_return found;
}

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
    auto read = layout::ReadResult(row.value);
    if (!read.ok()) co_return read.error();
    if (!read->output_object.empty()) {
      auto output =
          co_await GetObject(store.store, read->output_object, deadline);
      if (!output.ok()) co_return output.error();
      read->result.output = std::move(*output);
    }
    bytes += read->result.output.size();
    if (!results.empty() && bytes > kMaxPageBytes) break;
    results.push_back(std::move(read->result));
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
    auto read = layout::ReadResult(row.value);
    if (!read.ok()) co_return read.error();
    items.push_back(std::move(read->result.item));
  }
  co_return items;
}

}  // namespace gypsumtrack::gateway
