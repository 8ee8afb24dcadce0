#ifndef GYPSUMTRACK_GATEWAY_SERVING_ROW_STORE_AWAIT_H_
#define GYPSUMTRACK_GATEWAY_SERVING_ROW_STORE_AWAIT_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "gypsumtrack/base/row_store.h"

/// Store calls as coroutines. Each resumes on the executor of the calling
/// coroutine. Precondition of all: `store` outlives the call. Errors are those
/// of base::StoreHandler.
namespace gypsumtrack::gateway {

/// Applies a transaction.
boost::asio::awaitable<base::Outcome<base::TransactionReply>> Transact(
    const base::RowStore& store, base::RowTransaction transaction,
    base::Instant deadline);
/// Reads one page of a range.
boost::asio::awaitable<base::Outcome<base::RowPage>> ReadRows(
    const base::RowStore& store, base::RowRange range, base::Instant deadline);
/// Reads the changes of a table after a version.
boost::asio::awaitable<base::Outcome<base::FeedPage>> ReadFeed(
    const base::RowStore& store, base::FeedRequest request,
    base::Instant deadline);
/// Lists the partitions of a table that hold rows.
boost::asio::awaitable<base::Outcome<std::vector<std::string>>> ListPartitions(
    const base::RowStore& store, std::string table, base::Instant deadline);
/// Creates an object. Succeeds without a change if it already exists.
boost::asio::awaitable<base::Outcome<base::Done>> PutObject(
    const base::RowStore& store, std::string name, std::string bytes,
    base::Instant deadline);
/// Reads an object. Errors: also kNotFound.
boost::asio::awaitable<base::Outcome<std::string>> GetObject(
    const base::RowStore& store, std::string name, base::Instant deadline);
/// Removes an object. Succeeds if it doesn't exist.
boost::asio::awaitable<base::Outcome<base::Done>> RemoveObject(
    const base::RowStore& store, std::string name, base::Instant deadline);

/// Reads all rows of a range in pages of `range.limit` rows. The pages may be
/// read at different versions of the store; `store_version` and `store_time`
/// are those of the first page.
boost::asio::awaitable<base::Outcome<base::RowPage>> ReadAllRows(
    const base::RowStore& store, base::RowRange range, base::Instant deadline);
/// Reads a single row. The page is empty if the row doesn't exist.
boost::asio::awaitable<base::Outcome<base::RowPage>> ReadRow(
    const base::RowStore& store, base::RowKey key, base::Instant deadline);

/// Suspends the calling coroutine for `duration`; it resumes on its executor.
boost::asio::awaitable<void> Pause(base::Duration duration);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_ROW_STORE_AWAIT_H_
