#include "gypsumtrack/gateway/serving/table_follower.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iterator>
#include <optional>
#include <random>
#include <utility>

#include "gypsumtrack/gateway/serving/row_store_await.h"

namespace gypsumtrack::gateway {

namespace asio = boost::asio;

TableFollower::TableFollower(const asio::any_io_executor& run_on,
                             base::Clock clock, const base::RowStore& store,
                             TableFollowerOptions options,
                             TableFollowerHooks hooks)
    : executor(run_on),
      clock(std::move(clock)),
      store(store),
      options(std::move(options)),
      hooks(std::move(hooks)) {}

void TableFollower::Start() { this->StartRun(); }

void TableFollower::StartRun() {
  asio::co_spawn(
      this->executor,
      [self = this->shared_from_this(), run = this->current_run] {
        return self->Run(run);
      },
      asio::detached);
}

void TableFollower::Retry() {
  ++this->current_run;
  this->StartRun();
}

void TableFollower::Stop() { this->stopped = true; }

bool TableFollower::IsCurrent(std::uint64_t run) const {
  return !this->stopped && run == this->current_run;
}

asio::awaitable<void> TableFollower::Run(std::uint64_t run) {
  while (this->IsCurrent(run)) {
    base::Status status = base::Done{};
    if (this->has_snapshot) {
      status = co_await this->ReadChanges(run);
    } else {
      status = co_await this->ReadSnapshot(run);
    }
    if (!this->IsCurrent(run)) co_return;
    base::Duration delay = this->options.min_call_delay;
    if (status.ok()) {
      this->backoff = {};
    } else {
      if (this->hooks.on_failure) this->hooks.on_failure(status.error());
      delay = this->NextBackoff();
    }
    if (delay > base::Duration::zero()) co_await Pause(delay);
  }
}

asio::awaitable<base::Outcome<TableFollower::PartitionList>>
TableFollower::ReadPartitionList() {
  PartitionList partitions;
  if (!this->options.all_partitions) {
    partitions.names.emplace_back();
    co_return partitions;
  }
  // The version is read before the names, so that the feed contains all changes
  // from here on, also those in partitions that are added meanwhile.
  const auto as_of = co_await this->ReadStoreVersion();
  if (!as_of.ok()) co_return as_of.error();
  partitions.as_of = *as_of;
  const auto deadline = this->clock.now() + this->options.response_timeout;
  auto names =
      co_await ListPartitions(this->store, this->options.table, deadline);
  if (!names.ok()) co_return names.error();
  partitions.names = std::move(*names);
  co_return partitions;
}

asio::awaitable<base::Outcome<base::RowPage>> TableFollower::ReadPartition(
    std::string partition) {
  const auto now = this->clock.now();
  base::RowRange range;
  range.table = this->options.table;
  range.partition = std::move(partition);
  range.transfer_deadline = now + this->options.transfer_timeout;
  return ReadAllRows(this->store, std::move(range),
                     now + this->options.response_timeout);
}

asio::awaitable<base::Outcome<std::uint64_t>>
TableFollower::ReadStoreVersion() {
  base::RowRange range;
  range.table = this->options.table;
  range.limit = 1;
  const auto deadline = this->clock.now() + this->options.response_timeout;
  const auto page = co_await ReadRows(this->store, std::move(range), deadline);
  if (!page.ok()) co_return page.error();
  co_return page->store_version;
}

asio::awaitable<base::Status> TableFollower::ReadSnapshot(std::uint64_t run) {
  const auto sent_at = this->clock.now();
  const auto partitions = co_await this->ReadPartitionList();
  if (!partitions.ok()) co_return partitions.error();
  std::optional<std::uint64_t> as_of = partitions->as_of;
  std::vector<base::VersionedRow> rows;
  for (const auto& partition : partitions->names) {
    auto page = co_await this->ReadPartition(partition);
    if (!page.ok()) co_return page.error();
    if (!as_of) as_of = page->store_version;
    std::move(page->rows.begin(), page->rows.end(), std::back_inserter(rows));
  }
  if (!this->IsCurrent(run)) co_return base::Done{};
  this->version = as_of.value_or(0);
  this->has_snapshot = true;
  this->hooks.on_snapshot(std::move(rows), this->version);
  if (this->hooks.on_confirmed) this->hooks.on_confirmed(sent_at);
  co_return base::Done{};
}

asio::awaitable<base::Status> TableFollower::ReadChanges(std::uint64_t run) {
  base::FeedRequest request;
  request.table = this->options.table;
  request.after_version = this->version;
  request.hold = this->options.long_poll_timeout;
  const auto sent_at = this->clock.now();
  request.transfer_deadline = sent_at + this->options.long_poll_timeout +
                              this->options.transfer_timeout;
  const auto deadline = sent_at + this->options.long_poll_timeout +
                        this->options.response_timeout;
  auto page = co_await ReadFeed(this->store, std::move(request), deadline);
  if (!page.ok()) co_return page.error();
  if (!this->IsCurrent(run)) co_return base::Done{};
  if (page->history_lost) {
    this->has_snapshot = false;
    co_return base::Done{};
  }
  this->version = std::max(this->version, page->next_version);
  if (!page->rows.empty()) {
    this->hooks.on_changes(std::move(page->rows), this->version);
  }
  if (this->hooks.on_confirmed) this->hooks.on_confirmed(sent_at);
  co_return base::Done{};
}

base::Duration TableFollower::NextBackoff() {
  const auto doubled =
      std::max(this->options.initial_backoff, 2 * this->backoff);
  this->backoff = std::min(doubled, this->options.max_backoff);
  static thread_local std::minstd_rand random(std::random_device{}());
  // A random delay between half of the backoff and all of it.
  const auto half = this->backoff.count() / 2;
  return base::Duration(half +
                        static_cast<std::int64_t>(random() % (half + 1)));
}

}  // namespace gypsumtrack::gateway
