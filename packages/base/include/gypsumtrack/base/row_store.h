#ifndef GYPSUMTRACK_BASE_ROW_STORE_H_
#define GYPSUMTRACK_BASE_ROW_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"

/// A linearizable store of versioned rows with a change feed, and of objects:
/// all that a daemon keeps beyond its own life. An adapter carries the calls.
namespace gypsumtrack::base {

/// Rows of one partition change together in a transaction.
struct RowKey {
  std::string table;
  std::string partition;
  std::string key;

  auto operator<=>(const RowKey&) const = default;
};

/// Versions come from one counter of the whole store, so a version never
/// returns once a row has changed.
struct VersionedRow {
  RowKey at;
  std::string value;
  std::uint64_t version = 0;
  /// In a feed: the row is no longer there.
  bool removed = false;
};

/// Holds if the row has this version; 0 means that there is no row.
struct RowExpectation {
  RowKey at;
  std::uint64_t version = 0;
};

struct RowPut {
  RowKey at;
  std::string value;
};

/// Applied whole or not at all. All rows lie in one partition.
struct RowTransaction {
  std::vector<RowExpectation> expectations;
  std::vector<RowPut> puts;
  std::vector<RowKey> removals;
};

/// Milliseconds on the store's own steady clock, one for all daemons.
using StoreMillis = std::int64_t;

struct TransactionReply {
  /// False if an expectation didn't hold; nothing was changed then.
  bool applied = false;
  /// The version of the rows written.
  std::uint64_t version = 0;
  /// The rows of the expectations as they are, if not applied.
  std::vector<VersionedRow> current;
  StoreMillis store_time = 0;
};

/// Keys in [from, until) in byte order; an empty bound is open.
struct RowRange {
  std::string table;
  std::string partition;
  std::string from;
  std::string until;
  std::uint32_t limit = 500;
  /// An answer that is arriving at the deadline is waited for until then.
  std::optional<Instant> transfer_deadline;
};

struct RowPage {
  std::vector<VersionedRow> rows;
  bool more = false;
  /// The store's newest version when the page was read.
  std::uint64_t store_version = 0;
  StoreMillis store_time = 0;
};

struct FeedRequest {
  std::string table;
  std::uint64_t after_version = 0;
  /// How long the store holds the call when nothing has changed.
  Duration hold{0};
  /// As in a range.
  std::optional<Instant> transfer_deadline;
};

struct FeedPage {
  std::vector<VersionedRow> rows;
  std::uint64_t next_version = 0;
  /// The changes asked for are forgotten: the table must be read anew.
  bool history_lost = false;
};

/// Errors of all calls: kUnavailable and kThrottled (nothing was done),
/// kUnknown (it may have been done, or may be done later), kInvalid (an answer
/// that can't be read). Each handler is called once, by the deadline, or by
/// `transfer_deadline` where that is set.
template <typename Reply>
using StoreHandler = std::function<void(Outcome<Reply>)>;

struct RowStore {
  std::function<void(RowTransaction, Instant deadline,
                     StoreHandler<TransactionReply>)>
      transact;
  std::function<void(RowRange, Instant deadline, StoreHandler<RowPage>)> read;
  std::function<void(FeedRequest, Instant deadline, StoreHandler<FeedPage>)>
      feed;
  /// The partitions of a table that hold rows.
  std::function<void(std::string table, Instant deadline,
                     StoreHandler<std::vector<std::string>>)>
      list_partitions;
  /// Creates an object; one that exists is left as it is, which is a success.
  std::function<void(std::string name, std::string bytes, Instant deadline,
                     StoreHandler<Done>)>
      put_object;
  /// Errors: also kNotFound.
  std::function<void(std::string name, Instant deadline,
                     StoreHandler<std::string>)>
      get_object;
  /// An object that isn't there is removed already.
  std::function<void(std::string name, Instant deadline, StoreHandler<Done>)>
      remove_object;
};

}  // namespace gypsumtrack::base

#endif  // GYPSUMTRACK_BASE_ROW_STORE_H_
