#ifndef GYPSUMTRACK_TESTING_MEMORY_ROW_STORE_H_
#define GYPSUMTRACK_TESTING_MEMORY_ROW_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/base/row_store.h"

/// An in-memory row store of the platform, with fault injection.
namespace gypsumtrack::testing {

/// Injected faults; all off by default.
struct RowStoreFaults {
  /// Calls fail with kUnavailable and have no effect. Listing partitions still
  /// works.
  bool down = false;
  /// Number of next transactions that are carried out but fail with kUnknown.
  std::uint32_t lose_answers = 0;
  /// Number of next transactions that fail with kUnknown and are carried
  /// out only at CarryOutLate, if their expectations then hold.
  std::uint32_t delay = 0;
};

/// A row and object store in memory. All methods are thread-safe. Handlers are
/// called before a call returns, except for feeds without changes.
class MemoryRowStore {
 public:
  // Commands.

  /// Replaces the injected faults.
  void SetFaults(const RowStoreFaults& faults);
  /// Carries out the delayed transactions in the order of their submission.
  void CarryOutLate();
  /// Completes all pending feeds, without rows if nothing has changed.
  void ExpireFeeds();
  /// Discards the pending feeds without calling their handlers.
  void DropFeeds();
  /// Discards the change history: feeds from earlier versions get history_lost.
  void ForgetHistory();
  /// Sets the store's clock; it is 0 until then.
  void SetTime(base::StoreMillis time);

  // Queries.

  /// A client of the store. Precondition: the store outlives it.
  base::RowStore Client();
  /// The row with this key, if any.
  std::optional<base::VersionedRow> Find(const base::RowKey& at) const;
  /// All rows of a table, ordered by key.
  std::vector<base::VersionedRow> Table(const std::string& table) const;
  /// Calls of all clients, without those that list partitions.
  std::uint64_t calls() const;  // NOLINT
  /// Number of stored objects.
  std::size_t object_count() const;  // NOLINT

 private:
  /// A feed request without changes to return yet.
  struct PendingFeed {
    base::FeedRequest request;
    base::StoreHandler<base::FeedPage> handler;
  };
  /// A feed response, delivered after the mutex is released.
  struct FeedResponse {
    std::function<void()> deliver;
  };

  /// Applies a transaction if its expectations hold.
  base::Outcome<base::TransactionReply> Apply(
      const base::RowTransaction& transaction);
  /// Applies a transaction subject to the injected faults.
  base::Outcome<base::TransactionReply> Transact(
      const base::RowTransaction& transaction);
  /// Reads a page of rows.
  base::RowPage Read(const base::RowRange& range) const;
  /// Changes after the requested version; nullopt if there are none.
  std::optional<base::FeedPage> ReadChanges(
      const base::FeedRequest& request) const;
  /// Removes the feeds that have changes, or all if `expire`, and returns their
  /// responses.
  std::vector<FeedResponse> CompleteFeeds(bool expire);

  mutable std::mutex mutex;
  RowStoreFaults faults;
  std::uint64_t version = 0;
  std::uint64_t history_start_version = 0;
  std::uint64_t call_count = 0;
  base::StoreMillis time = 0;
  std::map<base::RowKey, base::VersionedRow> rows;
  std::vector<base::VersionedRow> history;
  std::map<std::string, std::string> objects;
  std::vector<PendingFeed> feeds;
  std::vector<base::RowTransaction> delayed_transactions;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_MEMORY_ROW_STORE_H_
