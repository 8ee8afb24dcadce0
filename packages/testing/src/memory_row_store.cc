#include "gypsumtrack/testing/memory_row_store.h"

#include <set>
#include <utility>

namespace gypsumtrack::testing {
namespace {

base::Error StoreUnavailable() {
  return {base::Errc::kUnavailable, "row store is unavailable"};
}

base::Error ResponseLost() {
  return {base::Errc::kUnknown, "no response from the row store"};
}

}  // namespace

void MemoryRowStore::SetFaults(const RowStoreFaults& new_faults) {
  const std::lock_guard lock(this->mutex);
  this->faults = new_faults;
}

void MemoryRowStore::CarryOutLate() {
  std::vector<FeedResponse> responses;
  {
    const std::lock_guard lock(this->mutex);
    for (const auto& transaction :
         std::exchange(this->delayed_transactions, {})) {
      static_cast<void>(this->Apply(transaction));
    }
    responses = this->CompleteFeeds(false);
  }
  for (const auto& response : responses) response.deliver();
}

void MemoryRowStore::ExpireFeeds() {
  std::vector<FeedResponse> responses;
  {
    const std::lock_guard lock(this->mutex);
    responses = this->CompleteFeeds(true);
  }
  for (const auto& response : responses) response.deliver();
}

void MemoryRowStore::DropFeeds() {
  std::vector<PendingFeed> dropped;
  const std::lock_guard lock(this->mutex);
  dropped.swap(this->feeds);
}

void MemoryRowStore::ForgetHistory() {
  const std::lock_guard lock(this->mutex);
  this->history.clear();
  this->history_start_version = ++this->version;
}

void MemoryRowStore::SetTime(base::StoreMillis now) {
  const std::lock_guard lock(this->mutex);
  this->time = now;
}

base::Outcome<base::TransactionReply> MemoryRowStore::Apply(
    const base::RowTransaction& transaction) {
  base::TransactionReply reply;
  reply.applied = true;
  reply.store_time = this->time;
  for (const auto& expected : transaction.expectations) {
    const auto found = this->rows.find(expected.at);
    const auto current = found == this->rows.end() ? 0 : found->second.version;
    if (current != expected.version) reply.applied = false;
    if (found != this->rows.end()) reply.current.push_back(found->second);
  }
  if (!reply.applied) return reply;
  reply.current.clear();
  reply.version = ++this->version;
  for (const auto& put : transaction.puts) {
    const base::VersionedRow row{put.at, put.value, this->version, false};
    this->rows[put.at] = row;
    this->history.push_back(row);
  }
  for (const auto& at : transaction.removals) {
    if (this->rows.erase(at) == 0) continue;
    this->history.push_back({at, {}, this->version, true});
  }
  return reply;
}

base::Outcome<base::TransactionReply> MemoryRowStore::Transact(
    const base::RowTransaction& transaction) {
  ++this->call_count;
  if (this->faults.down) return StoreUnavailable();
  if (this->faults.delay > 0) {
    --this->faults.delay;
    this->delayed_transactions.push_back(transaction);
    return ResponseLost();
  }
  auto reply = this->Apply(transaction);
  if (this->faults.lose_answers == 0) return reply;
  --this->faults.lose_answers;
  return ResponseLost();
}

base::RowPage MemoryRowStore::Read(const base::RowRange& range) const {
  base::RowPage page;
  page.store_version = this->version;
  page.store_time = this->time;
  for (const auto& [at, row] : this->rows) {
    if (at.table != range.table || at.partition != range.partition) continue;
    if (at.key < range.from) continue;
    if (!range.until.empty() && at.key >= range.until) continue;
    if (page.rows.size() == range.limit) {
      page.more = true;
      break;
    }
    page.rows.push_back(row);
  }
  return page;
}

std::optional<base::FeedPage> MemoryRowStore::ReadChanges(
    const base::FeedRequest& request) const {
  base::FeedPage page;
  if (request.after_version < this->history_start_version) {
    page.history_lost = true;
    return page;
  }
  for (const auto& row : this->history) {
    if (row.at.table != request.table) continue;
    if (row.version > request.after_version) page.rows.push_back(row);
  }
  if (page.rows.empty()) return std::nullopt;
  page.next_version = this->version;
  return page;
}

std::vector<MemoryRowStore::FeedResponse> MemoryRowStore::CompleteFeeds(
    bool expire) {
  std::vector<FeedResponse> responses;
  std::erase_if(this->feeds, [&](PendingFeed& feed) {
    auto page = this->ReadChanges(feed.request);
    if (!page && !expire) return false;
    if (!page) page = base::FeedPage{{}, this->version, false};
    responses.push_back({[handler = std::move(feed.handler),
                          page = std::move(*page)] { handler(page); }});
    return true;
  });
  return responses;
}

base::RowStore MemoryRowStore::Client() {
  base::RowStore client;
  client.transact =
      [this](const base::RowTransaction& transaction, base::Instant,
             const base::StoreHandler<base::TransactionReply>& handler) {
        std::vector<FeedResponse> responses;
        auto reply = [&] {
          const std::lock_guard lock(this->mutex);
          auto result = this->Transact(transaction);
          responses = this->CompleteFeeds(false);
          return result;
        }();
        handler(std::move(reply));
        for (const auto& response : responses) response.deliver();
      };
  client.read = [this](const base::RowRange& range, base::Instant,
                       const base::StoreHandler<base::RowPage>& handler) {
    std::unique_lock lock(this->mutex);
    ++this->call_count;
    if (this->faults.down) {
      lock.unlock();
      return handler(StoreUnavailable());
    }
    auto page = this->Read(range);
    lock.unlock();
    handler(std::move(page));
  };
  client.feed = [this](const base::FeedRequest& request, base::Instant,
                       base::StoreHandler<base::FeedPage> handler) {
    std::unique_lock lock(this->mutex);
    ++this->call_count;
    if (this->faults.down) {
      lock.unlock();
      return handler(StoreUnavailable());
    }
    auto page = this->ReadChanges(request);
    if (!page) {
      this->feeds.push_back({request, std::move(handler)});
      return;
    }
    lock.unlock();
    handler(std::move(*page));
  };
  client.list_partitions =
      [this](const std::string& table, base::Instant,
             const base::StoreHandler<std::vector<std::string>>& handler) {
        std::set<std::string> names;
        for (const auto& row : this->Table(table)) {
          names.insert(row.at.partition);
        }
        handler(std::vector<std::string>(names.begin(), names.end()));
      };
  client.put_object = [this](const std::string& name, const std::string& bytes,
                             base::Instant,
                             const base::StoreHandler<base::Done>& handler) {
    std::unique_lock lock(this->mutex);
    ++this->call_count;
    const bool is_down = this->faults.down;
    if (!is_down) this->objects.try_emplace(name, bytes);
    lock.unlock();
    if (is_down) return handler(StoreUnavailable());
    handler(base::Done{});
  };
  client.get_object = [this](const std::string& name, base::Instant,
                             const base::StoreHandler<std::string>& handler) {
    std::unique_lock lock(this->mutex);
    ++this->call_count;
    const bool is_down = this->faults.down;
    const auto found = this->objects.find(name);
    std::optional<std::string> bytes;
    if (found != this->objects.end()) bytes = found->second;
    lock.unlock();
    if (is_down) return handler(StoreUnavailable());
    if (!bytes) {
      return handler(
          base::Error(base::Errc::kNotFound, "object does not exist"));
    }
    handler(std::move(*bytes));
  };
  client.remove_object = [this](const std::string& name, base::Instant,
                                const base::StoreHandler<base::Done>& handler) {
    std::unique_lock lock(this->mutex);
    ++this->call_count;
    const bool is_down = this->faults.down;
    if (!is_down) this->objects.erase(name);
    lock.unlock();
    if (is_down) return handler(StoreUnavailable());
    handler(base::Done{});
  };
  return client;
}

std::optional<base::VersionedRow> MemoryRowStore::Find(
    const base::RowKey& at) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->rows.find(at);
  if (found == this->rows.end()) return std::nullopt;
  return found->second;
}

std::vector<base::VersionedRow> MemoryRowStore::Table(
    const std::string& table) const {
  const std::lock_guard lock(this->mutex);
  std::vector<base::VersionedRow> out;
  for (const auto& [at, row] : this->rows) {
    if (at.table == table) out.push_back(row);
  }
  return out;
}

std::size_t MemoryRowStore::object_count() const {
  const std::lock_guard lock(this->mutex);
  return this->objects.size();
}

std::uint64_t MemoryRowStore::calls() const {
  const std::lock_guard lock(this->mutex);
  return this->call_count;
}

}  // namespace gypsumtrack::testing
