#include "gypsumtrack/gateway/serving/row_store_await.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iterator>
#include <utility>

#include "gypsumtrack/gateway/await.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

/// Calls a hook of the store with the arguments. Not a coroutine, since g++ 12
/// miscompiles the closure inside a co_await expression (see await.h).
template <typename Reply, typename Hook, typename... Args>
asio::awaitable<base::Outcome<Reply>> Call(const Hook& hook, Args... args) {
  auto start = [&hook, ... args = std::move(args)](auto handler) mutable {
    hook(std::move(args)..., std::move(handler));
  };
  return AwaitHandler<base::Outcome<Reply>>(std::move(start));
}

}  // namespace

asio::awaitable<base::Outcome<base::TransactionReply>> Transact(
    const base::RowStore& store, base::RowTransaction transaction,
    base::Instant deadline) {
  return Call<base::TransactionReply>(store.transact, std::move(transaction),
                                      deadline);
}

asio::awaitable<base::Outcome<base::RowPage>> ReadRows(
    const base::RowStore& store, base::RowRange range, base::Instant deadline) {
  return Call<base::RowPage>(store.read, std::move(range), deadline);
}

asio::awaitable<base::Outcome<base::FeedPage>> ReadFeed(
    const base::RowStore& store, base::FeedRequest request,
    base::Instant deadline) {
  return Call<base::FeedPage>(store.feed, std::move(request), deadline);
}

asio::awaitable<base::Outcome<std::vector<std::string>>> ListPartitions(
    const base::RowStore& store, std::string table, base::Instant deadline) {
  return Call<std::vector<std::string>>(store.list_partitions, std::move(table),
                                        deadline);
}

asio::awaitable<base::Outcome<base::Done>> PutObject(
    const base::RowStore& store, std::string name, std::string bytes,
    base::Instant deadline) {
  return Call<base::Done>(store.put_object, std::move(name), std::move(bytes),
                          deadline);
}

asio::awaitable<base::Outcome<std::string>> GetObject(
    const base::RowStore& store, std::string name, base::Instant deadline) {
  return Call<std::string>(store.get_object, std::move(name), deadline);
}

asio::awaitable<base::Outcome<base::Done>> RemoveObject(
    const base::RowStore& store, std::string name, base::Instant deadline) {
  return Call<base::Done>(store.remove_object, std::move(name), deadline);
}

asio::awaitable<base::Outcome<base::RowPage>> ReadAllRows(
    const base::RowStore& store, base::RowRange range, base::Instant deadline) {
  base::RowPage all;
  bool is_first = true;
  for (;;) {
    auto page = co_await ReadRows(store, range, deadline);
    if (!page.ok()) co_return page.error();
    if (is_first) {
      all.store_version = page->store_version;
      all.store_time = page->store_time;
    }
    is_first = false;
    // Each page but the first starts with the last row of the page before.
    std::erase_if(page->rows, [&](const base::VersionedRow& row) {
      return !all.rows.empty() && row.at.key == all.rows.back().at.key;
    });
    const bool has_more = page->more && !page->rows.empty();
    if (has_more) range.from = page->rows.back().at.key;
    std::move(page->rows.begin(), page->rows.end(),
              std::back_inserter(all.rows));
    if (!has_more) co_return all;
  }
}

asio::awaitable<base::Outcome<base::RowPage>> ReadRow(
    const base::RowStore& store, base::RowKey key, base::Instant deadline) {
  base::RowRange range;
  range.table = std::move(key.table);
  range.partition = std::move(key.partition);
  range.from = key.key;
  range.limit = 1;
  auto page = co_await ReadRows(store, range, deadline);
  if (page.ok() && !page->rows.empty() &&
      page->rows.front().at.key != key.key) {
    page->rows.clear();
  }
  co_return page;
}

asio::awaitable<void> Pause(base::Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(duration);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

}  // namespace gypsumtrack::gateway
