#ifndef GYPSUMTRACK_BASE_TABLE_H_
#define GYPSUMTRACK_BASE_TABLE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"

/// Interface to the platform's transactional table and object store. The
/// platform package implements it over HTTP.
namespace gypsumtrack::base {

/// A stored row. Its version starts at 1 and rises by one with each write.
struct Row {
  std::string key;
  std::uint64_t version = 0;
  std::string value;

  bool operator==(const Row&) const = default;
};

/// A condition that the row has this version, or doesn't exist if it is 0.
struct RowCondition {
  std::string key;
  std::uint64_t version = 0;
};

/// Sets the row's value, or deletes the row if `value` is empty (`nullopt`).
struct RowWrite {
  std::string key;
  std::optional<std::string> value;
};

/// An atomic change. A commit retried with the same operation id, after its
/// response was lost, returns the result of the first attempt.
struct TableCommit {
  std::string operation_id;
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
};

/// Selects at most `limit` rows whose keys have `prefix` and follow `after`, in
/// key order.
struct TableScan {
  std::string prefix;
  std::string after;
  std::uint32_t limit = 1000;
};

/// One page of a scan; `more` if further rows match.
struct ScanReply {
  std::vector<Row> rows;
  bool more = false;
};

/// Receives the result of a call. Errors: kConflict (nothing changed),
/// kUnavailable and kThrottled (nothing was sent), kUnknown (may have taken
/// effect).
using CommitHandler = std::function<void(Status)>;
/// As `CommitHandler`, with the rows of a scan.
using ScanHandler = std::function<void(Outcome<ScanReply>)>;
/// As `CommitHandler`, with an object's bytes.
using ObjectHandler = std::function<void(Outcome<std::string>)>;
/// As `CommitHandler`, for changes of objects.
using StatusHandler = std::function<void(Status)>;

/// Asynchronous calls to the platform's table. Each handler is called exactly
/// once, by the deadline.
struct Table {
  std::function<void(TableCommit, Instant deadline, CommitHandler)> commit;
  std::function<void(TableScan, Instant deadline, ScanHandler)> scan;
};

/// Asynchronous calls to the platform's object store. Objects are written as a
/// whole and never modified.
struct ObjectStore {
  std::function<void(std::string name, std::string bytes, Instant deadline,
                     StatusHandler)>
      put;
  std::function<void(std::string name, Instant deadline, ObjectHandler)> get;
  std::function<void(std::string name, Instant deadline, StatusHandler)> remove;
};

}  // namespace gypsumtrack::base

#endif  // GYPSUMTRACK_BASE_TABLE_H_
