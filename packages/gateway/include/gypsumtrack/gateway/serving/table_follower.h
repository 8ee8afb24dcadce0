#ifndef GYPSUMTRACK_GATEWAY_SERVING_TABLE_FOLLOWER_H_
#define GYPSUMTRACK_GATEWAY_SERVING_TABLE_FOLLOWER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/base/row_store.h"

/// A copy of a table that follows the store's change feed.
namespace gypsumtrack::gateway {

struct TableFollowerOptions {
  std::string table;
  /// Rows of all partitions; else of the empty one alone.
  bool all_partitions = false;
  /// How long the store holds a call when nothing changes.
  base::Duration long_poll_timeout = std::chrono::milliseconds(1000);
  /// Shortest time between the ends of two calls, so that a table that changes
  /// all the time costs a bounded number of calls.
  base::Duration min_call_delay{0};
  /// Beyond `hold`, for the answer to come.
  base::Duration response_timeout = std::chrono::milliseconds(1500);
  /// Longest time that an answer may take as long as it goes on arriving: that
  /// of a large row to all daemons of a region at once, several times over.
  base::Duration transfer_timeout = std::chrono::milliseconds(8000);
  /// Pauses after a failed call: the first, then twice the one before, each
  /// shortened at random so that daemons don't call together.
  base::Duration initial_backoff = std::chrono::milliseconds(100);
  base::Duration max_backoff = std::chrono::milliseconds(600);
};

/// Called on the follower's executor.
struct TableFollowerHooks {
  /// The whole table as read; complete up to the store's version `as_of`.
  std::function<void(std::vector<base::VersionedRow> rows, std::uint64_t as_of)>
      on_snapshot;
  /// Rows changed or removed since.
  std::function<void(std::vector<base::VersionedRow> rows)> on_changes;
  /// What the hooks were told is complete as of `sent_at`, when the call that
  /// showed it was sent. Comes after the rows.
  std::function<void(base::Instant sent_at)> on_confirmed;
  /// A call failed; the next is tried by itself.
  std::function<void(const base::Error& error)> on_failure;
};

/// Follows a table until stopped.
class TableFollower : public std::enable_shared_from_this<TableFollower> {
 public:
  /// Precondition: `store` outlives the follower's calls.
  TableFollower(const boost::asio::any_io_executor& executor, base::Clock clock,
                const base::RowStore& store, TableFollowerOptions options,
                TableFollowerHooks hooks);

  /// Precondition: called once. Thread-safe.
  void Start();
  /// No hook is called once it returns on the executor.
  void Stop();

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<base::Status> ReadSnapshot();
  boost::asio::awaitable<base::Status> ReadChanges();
  boost::asio::awaitable<base::Outcome<std::uint64_t>> StoreVersion();
  struct PartitionList {
    std::vector<std::string> names;
    /// Read before them; not set where the first page says it.
    std::optional<std::uint64_t> as_of;
  };
  boost::asio::awaitable<base::Outcome<PartitionList>> Partitions();
  boost::asio::awaitable<base::Outcome<base::RowPage>> ReadPartition(
      std::string partition);
  base::Duration NextRetry();

  boost::asio::any_io_executor executor;
  base::Clock clock;
  const base::RowStore& store;
  TableFollowerOptions options;
  TableFollowerHooks hooks;
  bool stopped = false;
  bool has_snapshot = false;
  std::uint64_t version = 0;
  base::Duration retry{0};
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_TABLE_FOLLOWER_H_
