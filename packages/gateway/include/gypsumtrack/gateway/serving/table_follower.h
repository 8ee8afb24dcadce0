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

/// Replicates a table of the store: reads a snapshot of it, then follows the
/// store's change feed.
namespace gypsumtrack::gateway {

/// What a follower reads, and its timing.
struct TableFollowerOptions {
  std::string table;
  /// Reads the rows of all partitions instead of only those of the partition
  /// with the empty name.
  bool all_partitions = false;
  /// Time for which the store holds a feed request while nothing changes.
  base::Duration long_poll_timeout = std::chrono::milliseconds(1000);
  /// Minimum delay between the end of a call and the next call. Bounds the
  /// number of calls for a table that changes all the time.
  base::Duration min_call_delay{0};
  /// Maximum time until a response is received, in addition to
  /// `long_poll_timeout`.
  base::Duration response_timeout = std::chrono::milliseconds(1500);
  /// Maximum time of a call whose response keeps arriving, in addition to
  /// `long_poll_timeout`. Several times what it takes to send a large row to
  /// all daemons of a region at once.
  base::Duration transfer_timeout = std::chrono::milliseconds(8000);
  /// Delay after a failed call. It doubles with each failure, up to
  /// `max_backoff`, and is shortened at random so that daemons don't call at
  /// the same time.
  base::Duration initial_backoff = std::chrono::milliseconds(100);
  base::Duration max_backoff = std::chrono::milliseconds(600);
};

/// Hooks of a TableFollower, which calls them on its executor. `on_confirmed`
/// and `on_failure` may be empty.
struct TableFollowerHooks {
  /// The whole table, complete up to the store's version `as_of`.
  std::function<void(std::vector<base::VersionedRow> rows, std::uint64_t as_of)>
      on_snapshot;
  /// Rows that were changed or removed since the last call of `on_snapshot` or
  /// `on_changes`, complete up to the store's version `as_of`.
  std::function<void(std::vector<base::VersionedRow> rows, std::uint64_t as_of)>
      on_changes;
  /// The rows passed to the hooks so far are complete as of `sent_at`, when the
  /// newest successful read was sent. Called after the hook for its rows.
  std::function<void(base::Instant sent_at)> on_confirmed;
  /// A call failed. The follower retries it.
  std::function<void(const base::Error& error)> on_failure;
};

/// Follows a table until stopped.
class TableFollower : public std::enable_shared_from_this<TableFollower> {
 public:
  /// `executor` must run on one thread. Precondition: `store` outlives the
  /// follower's calls.
  TableFollower(const boost::asio::any_io_executor& executor, base::Clock clock,
                const base::RowStore& store, TableFollowerOptions options,
                TableFollowerHooks hooks);

  /// Starts to read the table. The follower is kept alive until it has stopped.
  /// Precondition: called once, on a follower owned by a shared_ptr.
  /// Thread-safe.
  void Start();
  /// Gives up the current call and the delay after a failure, and calls again
  /// at once: the call may hang on a dead connection, and the store be reached
  /// on others. Must be called on the executor. Precondition: started.
  void Retry();
  /// Stops the follower. Must be called on the executor; no hook is called
  /// after it returns.
  void Stop();

 private:
  struct PartitionList {
    std::vector<std::string> names;
    /// Version of the store before the names were read. Not set if only one
    /// partition is read: its first page states the version.
    std::optional<std::uint64_t> as_of;
  };

  /// Starts the coroutine of the current run.
  void StartRun();
  boost::asio::awaitable<void> Run(std::uint64_t run);
  boost::asio::awaitable<base::Status> ReadSnapshot(std::uint64_t run);
  boost::asio::awaitable<base::Status> ReadChanges(std::uint64_t run);
  /// Returns whether the run may still call hooks and read more.
  bool IsCurrent(std::uint64_t run) const;
  boost::asio::awaitable<base::Outcome<std::uint64_t>> ReadStoreVersion();
  /// Returns the partitions to read.
  boost::asio::awaitable<base::Outcome<PartitionList>> ReadPartitionList();
  boost::asio::awaitable<base::Outcome<base::RowPage>> ReadPartition(
      std::string partition);
  /// Returns the delay before the next attempt after a failure.
  base::Duration NextBackoff();

  boost::asio::any_io_executor executor;
  base::Clock clock;
  const base::RowStore& store;
  TableFollowerOptions options;
  TableFollowerHooks hooks;
  bool stopped = false;
  /// Number of runs that were given up.
  std::uint64_t current_run = 0;
  bool has_snapshot = false;
  /// Version of the store up to which the rows are complete.
  std::uint64_t version = 0;
  /// Delay after the last failure, before it was shortened; 0 after a success.
  base::Duration backoff{0};
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_TABLE_FOLLOWER_H_
