#ifndef GYPSUMTRACK_BASE_ROW_STORE_H_
#define GYPSUMTRACK_BASE_ROW_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"

/// Interface to a linearizable store of versioned rows with a change feed, and
/// of objects. It holds all state that must survive a daemon. An adapter
/// implements the calls.
namespace gypsumtrack::base {

/// Identifies a row. A transaction can change several rows of one partition.
struct RowKey {
  std::string table;
  std::string partition;
  std::string key;

  auto operator<=>(const RowKey&) const = default;
};

/// A row and its version. One counter serves the whole store, so that a version
/// is never reused after a row has changed.
struct VersionedRow {
  RowKey at;
  std::string value;
  std::uint64_t version = 0;
  /// Only in a feed: the row was removed.
  bool removed = false;
};

/// A condition that the row has this version, or doesn't exist if it is 0.
struct RowExpectation {
  RowKey at;
  std::uint64_t version = 0;
};

/// Creates or replaces a row.
struct RowPut {
  RowKey at;
  std::string value;
};

/// Applied atomically. All rows must be in one partition.
struct RowTransaction {
  std::vector<RowExpectation> expectations;
  std::vector<RowPut> puts;
  std::vector<RowKey> removals;
};

/// Milliseconds on the store's steady clock, which all daemons share.
using StoreMillis = std::int64_t;

/// Result of a transaction.
struct TransactionReply {
  /// False if an expectation didn't hold, in which case nothing was changed.
  bool applied = false;
  /// Version of the written rows.
  std::uint64_t version = 0;
  /// If not applied: the current rows that the expectations refer to.
  std::vector<VersionedRow> current;
  StoreMillis store_time = 0;
};

/// Selects keys in [from, until) in byte order; an empty bound is unbounded.
struct RowRange {
  std::string table;
  std::string partition;
  std::string from;
  std::string until;
  std::uint32_t limit = 500;
  /// If set, a response still being received at the deadline may complete until
  /// this time.
  std::optional<Instant> transfer_deadline;
};

/// One page of a range read; `more` if the range has further rows.
struct RowPage {
  std::vector<VersionedRow> rows;
  bool more = false;
  /// Newest version in the store when the page was read.
  std::uint64_t store_version = 0;
  StoreMillis store_time = 0;
};

/// Requests the changes of a table after a version (long poll).
struct FeedRequest {
  std::string table;
  std::uint64_t after_version = 0;
  /// Maximum time that the store waits for a change before it responds.
  Duration hold{0};
  /// As in `RowRange`.
  std::optional<Instant> transfer_deadline;
};

/// Changed rows, and the version from which to continue.
struct FeedPage {
  std::vector<VersionedRow> rows;
  std::uint64_t next_version = 0;
  /// The store no longer has the requested changes: the caller must read the
  /// whole table again.
  bool history_lost = false;
};

/// Receives the result of a call. Errors of all calls: kUnavailable and
/// kThrottled (no effect), kUnknown (may have taken effect, or may do so
/// later), kInvalid (malformed response). Each handler is called exactly once,
/// by the deadline or, if set, by `transfer_deadline`.
template <typename Reply>
using StoreHandler = std::function<void(Outcome<Reply>)>;

/// Asynchronous calls to the store.
struct RowStore {
  /// Applies a transaction if all its expectations hold.
  std::function<void(RowTransaction, Instant deadline,
                     StoreHandler<TransactionReply>)>
      transact;
  /// Reads one page of a range.
  std::function<void(RowRange, Instant deadline, StoreHandler<RowPage>)> read;
  /// Reads changes of a table.
  std::function<void(FeedRequest, Instant deadline, StoreHandler<FeedPage>)>
      feed;
  /// Lists the partitions of a table that contain rows.
  std::function<void(std::string table, Instant deadline,
                     StoreHandler<std::vector<std::string>>)>
      list_partitions;
  /// Creates an object. Succeeds without a change if it already exists.
  std::function<void(std::string name, std::string bytes, Instant deadline,
                     StoreHandler<Done>)>
      put_object;
  /// Reads an object. Additional error: kNotFound.
  std::function<void(std::string name, Instant deadline,
                     StoreHandler<std::string>)>
      get_object;
  /// Removes an object. Succeeds if it doesn't exist.
  std::function<void(std::string name, Instant deadline, StoreHandler<Done>)>
      remove_object;
};

}  // namespace gypsumtrack::base

#endif  // GYPSUMTRACK_BASE_ROW_STORE_H_
